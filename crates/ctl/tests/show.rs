//! Tests the text form of an entry's views.

use serde_json::json;
use sorrelland_ctl::show::to_text;

// Guards against a table that drops the speeds or runs their columns together.
#[test]
fn to_text_shows_speeds_of_workers() {
    let body = json!({
        "columns": ["worker", "runs", "speed", "speed_steps", "heard_ms_ago"],
        "rows": [
            {"worker": "w0", "runs": 1, "speed": 613, "speed_steps": 7, "heard_ms_ago": 40},
            {"worker": "w1", "runs": 0, "speed": 1_000, "speed_steps": 0, "heard_ms_ago": 41},
        ],
        "more": false,
    });
    let text = to_text(&body);
    let cells: Vec<Vec<&str>> = text.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(cells[0], ["worker", "runs", "speed", "speed_steps", "heard_ms_ago"]);
    assert_eq!(cells[1], ["w0", "1", "613", "7", "40"]);
    assert_eq!(cells[2], ["w1", "0", "1000", "0", "41"]);
    assert_eq!(cells[3], ["2", "rows"]);
}
