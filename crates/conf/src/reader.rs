//! Reader of typed values from INI text that collects findings.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use ini::Ini;

use crate::finding::{Finding, Findings};

/// Jaro-Winkler similarity from which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Reads values. A problem becomes a finding and reading continues with a default value, so that all problems are
/// reported together.
#[derive(Debug)]
pub struct Reader {
    file: String,
    /// Value and line by section and key.
    values: BTreeMap<(String, String), (String, usize)>,
    /// Line by section.
    sections: BTreeMap<String, usize>,
    /// Sections and keys that were read.
    known_keys: BTreeSet<(String, String)>,
    /// Sections whose keys may have any name.
    free_sections: BTreeSet<String>,
    findings: Vec<Finding>,
}

impl Reader {
    /// Parses `text`; `file` is the file name in findings.
    ///
    /// # Errors
    ///
    /// Returns a finding if the text is not valid INI.
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
        let lines = LineNumbers::new(text);
        let mut reader = Self {
            file: file.to_owned(),
            values: BTreeMap::new(),
            sections: lines.sections.clone(),
            known_keys: BTreeSet::new(),
            free_sections: BTreeSet::new(),
            findings: Vec::new(),
        };
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            for (key, value) in properties.iter() {
                reader.insert_value(&lines, section, key, value);
            }
        }
        Ok(reader)
    }

    fn insert_value(&mut self, lines: &LineNumbers, section: &str, key: &str, value: &str) {
        let location = (section.to_owned(), key.to_owned());
        let key_lines = lines.keys.get(&location).cloned().unwrap_or_default();
        if let Some((_, first)) = self.values.get(&location) {
            let message = format!("is set before, on line {first}");
            let line = key_lines.last().copied().unwrap_or_default();
            self.report_at(line, section, key, message);
            return;
        }
        let line = key_lines.first().copied().unwrap_or_default();
        self.values.insert(location, (value.trim().to_owned(), line));
    }

    pub fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Adds a finding about a key.
    pub fn report(&mut self, section: &str, key: &str, message: impl Display) {
        let location = (section.to_owned(), key.to_owned());
        let line = self.values.get(&location).map(|(_, line)| *line);
        let line = line.or_else(|| self.sections.get(section).copied()).unwrap_or_default();
        self.report_at(line, section, key, message);
    }

    fn report_at(&mut self, line: usize, section: &str, key: &str, message: impl Display) {
        self.findings.push(Finding {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            message: message.to_string(),
        });
    }

    /// Returns a value as text; `None` if it is missing or empty.
    pub fn optional_text(&mut self, section: &str, key: &str) -> Option<String> {
        let location = (section.to_owned(), key.to_owned());
        let value = self.values.get(&location).map(|(value, _)| value.clone());
        self.known_keys.insert(location);
        value.filter(|value| !value.is_empty())
    }

    /// Returns a value as text; a missing or empty one is a finding.
    pub fn required_text(&mut self, section: &str, key: &str, expected: &str) -> String {
        let value = self.optional_text(section, key);
        if value.is_none() {
            self.report(section, key, format!("is missing; expected {expected}"));
        }
        value.unwrap_or_default()
    }

    /// Returns a parsed and checked value, or `default` if it is missing or, with a finding, if it is not valid.
    ///
    /// `expected` describes a valid value in the finding.
    pub fn get<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        expected: &str,
        check: impl Fn(&T) -> bool,
    ) -> T {
        let Some(text) = self.optional_text(section, key) else { return default };
        match text.parse() {
            Ok(value) if check(&value) => value,
            _ => {
                self.report(section, key, format!("{text:?} is not {expected}"));
                default
            }
        }
    }

    /// Parses a list separated by commas; each item that is not valid is a finding.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let text = self.optional_text(section, key).unwrap_or_default();
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.report(section, key, format!("{part:?} is not {expected}")),
            }
        }
        values
    }

    /// Returns the keys and values of a section whose keys may have any name.
    pub fn free_section(&mut self, section: &str) -> BTreeMap<String, String> {
        self.free_sections.insert(section.to_owned());
        let rows = self.values.iter().filter(|((s, _), _)| s == section);
        rows.map(|((_, key), (value, _))| (key.clone(), value.clone())).collect()
    }

    /// Ends the reading and reports the keys and sections that were not read.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line, if there are any.
    pub fn finish(mut self) -> Result<(), Findings> {
        self.report_unknown();
        if self.findings.is_empty() {
            return Ok(());
        }
        self.findings.sort();
        Err(Findings { findings: self.findings })
    }

    fn report_unknown(&mut self) {
        let known_sections: BTreeSet<String> = self
            .known_keys
            .iter()
            .map(|(section, _)| section.clone())
            .chain(self.free_sections.clone())
            .collect();
        let unknown_sections: Vec<(String, usize)> = self
            .sections
            .iter()
            .filter(|(section, _)| !known_sections.contains(*section))
            .map(|(section, line)| (section.clone(), *line))
            .collect();
        for (section, line) in &unknown_sections {
            let suggestion = suggestion_for(section, known_sections.iter().map(String::as_str));
            self.report_at(*line, section, "", format!("section is not known{suggestion}"));
        }
        let keys: Vec<(String, String)> = self.values.keys().cloned().collect();
        for (section, key) in keys {
            let location = (section.clone(), key.clone());
            if self.known_keys.contains(&location)
                || self.free_sections.contains(&section)
                || !known_sections.contains(&section)
            {
                continue;
            }
            let suggestion = suggestion_for(
                &key,
                self.known_keys.iter().filter(|(s, _)| *s == section).map(|(_, k)| k.as_str()),
            );
            self.report(&section, &key, format!("key is not known{suggestion}"));
        }
    }
}

fn suggestion_for<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let scored = known.map(|k| (strsim::jaro_winkler(name, k), k));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((similarity, known)) if similarity >= MIN_SIMILARITY => format!("; did you mean {known:?}?"),
        _ => String::new(),
    }
}

/// Line numbers of sections and keys, which the INI library does not provide.
#[derive(Debug, Default)]
struct LineNumbers {
    sections: BTreeMap<String, usize>,
    keys: BTreeMap<(String, String), Vec<usize>>,
}

impl LineNumbers {
    fn new(text: &str) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
                section = name.trim().to_owned();
                lines.sections.entry(section.clone()).or_insert(index + 1);
            } else if !line.starts_with([';', '#'])
                && let Some((key, _)) = line.split_once(['=', ':'])
            {
                let location = (section.clone(), key.trim().to_owned());
                lines.keys.entry(location).or_default().push(index + 1);
            }
        }
        lines
    }
}
