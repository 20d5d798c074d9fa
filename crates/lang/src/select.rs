//! Filtering and ordering of the rows of a table.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use serde_json::Value;

use crate::statement::{Condition, Op, Selection};

/// Values of the fields of a row, by field name.
pub type Row = BTreeMap<String, Value>;

/// Jaro-Winkler similarity from which a known field is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Error for a field that the table does not have.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("field {field:?} is not known{}; the fields are {}", suggestion_text(suggestion.as_deref()), known.join(", "))]
pub struct SelectError {
    pub field: String,
    /// Most similar known field, if it is similar enough.
    pub suggestion: Option<String>,
    /// All fields of the table.
    pub known: Vec<String>,
}

fn suggestion_text(suggestion: Option<&str>) -> String {
    suggestion.map(|name| format!(", did you mean {name:?}?")).unwrap_or_default()
}

/// Returns the rows that match a selection, in its order and up to its limit.
///
/// # Errors
///
/// Fails on the first field of the selection that is not in `fields`.
pub fn select(mut rows: Vec<Row>, selection: &Selection, fields: &[&str]) -> Result<Vec<Row>, SelectError> {
    check_fields(selection, fields)?;
    rows.retain(|row| matches(row, &selection.conditions));
    if let Some((field, descending)) = &selection.order {
        rows.sort_by(|a, b| {
            let order = compare(a.get(field), b.get(field));
            if *descending { order.reverse() } else { order }
        });
    }
    rows.truncate(selection.limit.unwrap_or(usize::MAX));
    Ok(rows)
}

/// Returns whether a row meets all `conditions`.
pub fn matches(row: &Row, conditions: &[Condition]) -> bool {
    conditions.iter().all(|condition| is_met(row.get(&condition.field), condition))
}

fn check_fields(selection: &Selection, fields: &[&str]) -> Result<(), SelectError> {
    let known: BTreeSet<&str> = fields.iter().copied().collect();
    let conditions = selection.conditions.iter().map(|condition| &condition.field);
    let used = conditions.chain(selection.order.iter().map(|(field, _)| field));
    for field in used {
        if !known.contains(field.as_str()) {
            let scored = known.iter().map(|k| (strsim::jaro_winkler(field, k), *k));
            let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
            let suggestion = best.filter(|(s, _)| *s >= MIN_SIMILARITY).map(|(_, k)| k.to_owned());
            let known = known.iter().map(ToString::to_string).collect();
            return Err(SelectError { field: field.clone(), suggestion, known });
        }
    }
    Ok(())
}

fn is_met(found: Option<&Value>, condition: &Condition) -> bool {
    let order = compare(found, Some(&condition.value));
    match condition.op {
        Op::Eq => order == Ordering::Equal,
        Op::Ne => order != Ordering::Equal,
        Op::Lt => order == Ordering::Less,
        Op::Le => order != Ordering::Greater,
        Op::Gt => order == Ordering::Greater,
        Op::Ge => order != Ordering::Less,
        Op::Contains => display_text(found).contains(&display_text(Some(&condition.value))),
    }
}

/// Compares two numbers numerically and other values as text; a missing value is the empty text and comes first.
fn compare(a: Option<&Value>, b: Option<&Value>) -> Ordering {
    match (a.and_then(Value::as_f64), b.and_then(Value::as_f64)) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => display_text(a).cmp(&display_text(b)),
    }
}

/// Returns the text under which a value is shown and compared.
pub fn display_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
