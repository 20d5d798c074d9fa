//! Parses the log lines of the project's processes.

use std::collections::BTreeMap;

use chrono::DateTime;

/// A log line: its time and its `key=value` pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time of the line, in milliseconds since 1970.
    pub at_ms: i64,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` if it has no time or no event. Text before the time, such as a collector's prefix, is
    /// skipped.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("ts=").filter(|at| *at == 0 || line.as_bytes()[at - 1] == b' ')?;
        let fields = parse_fields(&line[start..]);
        let at_ms = DateTime::parse_from_rfc3339(fields.get("ts")?).ok()?.timestamp_millis();
        fields.contains_key("event").then_some(Self { at_ms, fields })
    }

    /// Returns a field; empty if the line doesn't have it.
    pub fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Returns a numeric field; `None` if the line doesn't have it or it is not a number.
    pub fn number<T: std::str::FromStr>(&self, key: &str) -> Option<T> {
        self.fields.get(key)?.parse().ok()
    }

    pub fn event(&self) -> &str {
        self.field("event")
    }
}

/// Parses `key=value` pairs; a value with spaces is in double quotes, with a backslash before a quote in it.
fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        // Words without a value before the key are skipped.
        let key = key.rsplit(' ').next().unwrap_or(key);
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => parse_quoted(quoted),
            None => {
                let (value, after) = after.split_once(' ').unwrap_or((after, ""));
                (value.trim_end().to_owned(), after)
            }
        };
        fields.insert(key.to_owned(), value);
        rest = after;
    }
    fields
}

/// Returns the text up to the closing quote, and what follows it.
fn parse_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            c => value.push(c),
        }
    }
    (value, "")
}
