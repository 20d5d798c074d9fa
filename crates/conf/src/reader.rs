//! Reads typed values from an INI text and collects findings on the way.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use ini::Ini;

use crate::finding::{Finding, Findings};

/// Similarity above which a known name is suggested for an unknown one.
const SUGGEST_SIMILARITY: f64 = 0.7;

/// Reads values; every problem becomes a finding and a default takes the value's place.
#[derive(Debug)]
pub struct Reader {
    file: String,
    values: BTreeMap<(String, String), (String, usize)>,
    sections: BTreeMap<String, usize>,
    known: BTreeSet<(String, String)>,
    free: BTreeSet<String>,
    findings: Vec<Finding>,
}

impl Reader {
    /// Creates a reader of `text`; `file` is the name that findings show.
    ///
    /// # Errors
    ///
    /// Returns the finding when the text is not INI.
    pub fn new(file: &str, text: &str) -> Result<Self, Findings> {
        let ini = Ini::load_from_str(text).map_err(|e| {
            let finding = Finding {
                file: file.to_owned(),
                line: e.line + 1,
                section: String::new(),
                key: String::new(),
                message: format!("not INI: {}", e.msg),
            };
            Findings { findings: vec![finding] }
        })?;
        let lines = Lines::new(text);
        let mut reader = Self {
            file: file.to_owned(),
            values: BTreeMap::new(),
            sections: lines.sections.clone(),
            known: BTreeSet::new(),
            free: BTreeSet::new(),
            findings: Vec::new(),
        };
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            for (key, value) in properties.iter() {
                reader.take(&lines, section, key, value);
            }
        }
        Ok(reader)
    }

    fn take(&mut self, lines: &Lines, section: &str, key: &str, value: &str) {
        let place = (section.to_owned(), key.to_owned());
        let seen = lines.keys.get(&place).cloned().unwrap_or_default();
        if let Some((_, first)) = self.values.get(&place) {
            let message = format!("is set before, on line {first}");
            let line = seen.last().copied().unwrap_or_default();
            self.find_at(line, section, key, message);
            return;
        }
        let line = seen.first().copied().unwrap_or_default();
        self.values.insert(place, (value.trim().to_owned(), line));
    }

    /// Returns whether the file has a section.
    pub fn has(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Adds a finding on a key.
    pub fn find(&mut self, section: &str, key: &str, message: impl Display) {
        let place = (section.to_owned(), key.to_owned());
        let line = self.values.get(&place).map(|(_, line)| *line);
        let line = line.or_else(|| self.sections.get(section).copied()).unwrap_or_default();
        self.find_at(line, section, key, message);
    }

    fn find_at(&mut self, line: usize, section: &str, key: &str, message: impl Display) {
        self.findings.push(Finding {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            message: message.to_string(),
        });
    }

    /// Returns an optional text.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        let place = (section.to_owned(), key.to_owned());
        let value = self.values.get(&place).map(|(value, _)| value.clone());
        self.known.insert(place);
        value.filter(|value| !value.is_empty())
    }

    /// Returns a text that has to be there.
    pub fn required(&mut self, section: &str, key: &str, what: &str) -> String {
        let value = self.text(section, key);
        if value.is_none() {
            self.find(section, key, format!("is missing; expected {what}"));
        }
        value.unwrap_or_default()
    }

    /// Returns a value that is parsed and checked, or `default`.
    pub fn value<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        what: &str,
        check: impl Fn(&T) -> bool,
    ) -> T {
        let Some(text) = self.text(section, key) else { return default };
        match text.parse() {
            Ok(value) if check(&value) => value,
            _ => {
                self.find(section, key, format!("{text:?} is not {what}"));
                default
            }
        }
    }

    /// Returns the values of a list separated by commas.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, what: &str) -> Vec<T> {
        let text = self.text(section, key).unwrap_or_default();
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.find(section, key, format!("{part:?} is not {what}")),
            }
        }
        values
    }

    /// Returns all keys and values of a section whose keys are free.
    pub fn table(&mut self, section: &str) -> BTreeMap<String, String> {
        self.free.insert(section.to_owned());
        let rows = self.values.iter().filter(|((s, _), _)| s == section);
        rows.map(|((_, key), (value, _))| (key.clone(), value.clone())).collect()
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Returns all findings, among them every key and section that nothing read.
    pub fn finish(mut self) -> Result<(), Findings> {
        self.find_unknown();
        if self.findings.is_empty() {
            return Ok(());
        }
        self.findings.sort();
        Err(Findings { findings: self.findings })
    }

    fn find_unknown(&mut self) {
        let sections: BTreeSet<String> =
            self.known.iter().map(|(section, _)| section.clone()).chain(self.free.clone()).collect();
        let unknown: Vec<(String, usize)> = self
            .sections
            .iter()
            .filter(|(section, _)| !sections.contains(*section))
            .map(|(section, line)| (section.clone(), *line))
            .collect();
        for (section, line) in &unknown {
            let nearest = nearest(section, sections.iter().map(String::as_str));
            self.find_at(*line, section, "", format!("section is not known{nearest}"));
        }
        let keys: Vec<(String, String)> = self.values.keys().cloned().collect();
        for (section, key) in keys {
            let place = (section.clone(), key.clone());
            if self.known.contains(&place) || self.free.contains(&section) || !sections.contains(&section) {
                continue;
            }
            let near =
                nearest(&key, self.known.iter().filter(|(s, _)| *s == section).map(|(_, k)| k.as_str()));
            self.find(&section, &key, format!("key is not known{near}"));
        }
    }
}

fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let scored = known.map(|k| (strsim::jaro_winkler(name, k), k));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((similarity, known)) if similarity >= SUGGEST_SIMILARITY => format!("; did you mean {known:?}?"),
        _ => String::new(),
    }
}

/// Line numbers of sections and keys; the INI library does not keep them.
#[derive(Debug, Default)]
struct Lines {
    sections: BTreeMap<String, usize>,
    keys: BTreeMap<(String, String), Vec<usize>>,
}

impl Lines {
    fn new(text: &str) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
                section = name.trim().to_owned();
                lines.sections.entry(section.clone()).or_insert(at + 1);
            } else if !line.starts_with([';', '#'])
                && let Some((key, _)) = line.split_once(['=', ':'])
            {
                let place = (section.clone(), key.trim().to_owned());
                lines.keys.entry(place).or_default().push(at + 1);
            }
        }
        lines
    }
}
