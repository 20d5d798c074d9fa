//! Formats responses as text.

use serde_json::Value;

/// Maximum number of characters of a table cell.
const MAX_CELL_CHARS: usize = 48;

/// Name of the column that holds reasons; its cells are never truncated.
const REASON_COLUMN: &str = "why";

/// Formats a response body: as a table if it has rows, otherwise as one line per field.
pub fn to_text(body: &Value) -> String {
    match (&body["columns"], &body["rows"]) {
        (Value::Array(columns), Value::Array(rows)) => table(columns, rows, body) + &other_fields(body),
        _ => fields(body, 0),
    }
}

fn table(columns: &[Value], rows: &[Value], body: &Value) -> String {
    let names: Vec<&str> = columns.iter().filter_map(Value::as_str).collect();
    let mut lines: Vec<Vec<String>> = vec![names.iter().map(ToString::to_string).collect()];
    lines.extend(rows.iter().map(|row| names.iter().map(|name| cell(name, &row[name])).collect()));
    let widths: Vec<usize> = (0..names.len())
        .map(|column| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or_default())
        .collect();
    let mut text = String::new();
    for line in &lines {
        let cells: Vec<String> =
            line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text.push_str(&format!("{} rows", rows.len()));
    if body["more"] == true {
        text.push_str(" and more");
    }
    if let Some(missing) = body["missing"].as_array().filter(|missing| !missing.is_empty()) {
        let names: Vec<&str> = missing.iter().filter_map(Value::as_str).collect();
        text.push_str(&format!("; the part of {} is missing", names.join(", ")));
    }
    match body.get("config_age_ms").map(Value::as_u64) {
        // Views of the users' platform have no `config_age_ms`.
        None => {}
        Some(Some(age_ms)) if age_ms > 3_000 => {
            text.push_str(&format!("; the log has not answered for {} s", age_ms / 1_000));
        }
        Some(Some(_)) => {}
        Some(None) => text.push_str("; the log has not confirmed this configuration"),
    }
    text.push('\n');
    text
}

/// Formats the fields of a response that are not part of its table.
fn other_fields(body: &Value) -> String {
    let table_fields = ["columns", "rows", "missing", "config_age_ms", "more", "points"];
    let remaining = |(name, _): &(&String, &Value)| !table_fields.contains(&name.as_str());
    let remaining: serde_json::Map<String, Value> = body
        .as_object()
        .into_iter()
        .flatten()
        .filter(remaining)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    fields(&Value::Object(remaining), 0)
}

fn cell(name: &str, value: &Value) -> String {
    let text = match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    if name == REASON_COLUMN || text.chars().count() <= MAX_CELL_CHARS {
        return text;
    }
    let head: String = text.chars().take(MAX_CELL_CHARS - 1).collect();
    format!("{head}…")
}

fn fields(value: &Value, depth: usize) -> String {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(map) => {
            let line = |(name, value): (&String, &Value)| match value {
                Value::Object(_) => format!("{indent}{name}:\n{}", fields(value, depth + 1)),
                Value::Array(items) if items.iter().any(Value::is_object) => {
                    let items: String = items.iter().map(|item| fields(item, depth + 1)).collect();
                    format!("{indent}{name}:\n{items}")
                }
                Value::String(text) => format!("{indent}{name}: {text}\n"),
                other => format!("{indent}{name}: {other}\n"),
            };
            map.iter().map(line).collect()
        }
        Value::String(text) => format!("{indent}{text}\n"),
        other => format!("{indent}{other}\n"),
    }
}
