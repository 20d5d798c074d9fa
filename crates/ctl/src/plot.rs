//! Draws the burn rate of the error budget over time as an SVG chart.

use std::fmt::Write;

use serde_json::Value;

/// Width and height of the chart in pixels.
const SIZE_PX: (f64, f64) = (720.0, 320.0);

/// Margin between the edge of the chart and the plot in pixels.
const MARGIN_PX: f64 = 48.0;

/// Minimum upper end of the burn axis; above 1, so that the line of a fully used budget is always visible.
const MIN_AXIS_TOP: f64 = 2.0;

/// Returns the SVG chart of the points of a burn report.
pub fn burn_chart(report: &Value) -> String {
    let points: Vec<(f64, f64)> = report["points"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|point| Some((point["ms_ago"].as_f64()? / 1_000.0, point["burn"].as_f64()?)))
        .collect();
    let oldest_s = points.iter().map(|(age_s, _)| *age_s).fold(10.0, f64::max);
    let axis_top = points.iter().map(|(_, burn)| *burn).fold(MIN_AXIS_TOP, f64::max);
    let x = |age_s: f64| MARGIN_PX + (1.0 - age_s / oldest_s) * (SIZE_PX.0 - 2.0 * MARGIN_PX);
    let y = |burn: f64| SIZE_PX.1 - MARGIN_PX - burn / axis_top * (SIZE_PX.1 - 2.0 * MARGIN_PX);
    let (left, right, bottom) = (x(oldest_s), x(0.0), y(0.0));
    let mut svg = String::new();
    // Writing to a `String` cannot fail.
    let mut line = |text: String| _ = writeln!(svg, "{text}");
    line(format!(r#"<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}">"#, SIZE_PX.0, SIZE_PX.1));
    line(r#"<rect width="100%" height="100%" fill="white"/>"#.to_owned());
    let objective = report["objective"].as_f64().unwrap_or_default() * 100.0;
    line(label(MARGIN_PX, 24.0, "start", &format!("budget burn, objective {objective:.0}% of jobs in time")));
    for burn in [0.0, 1.0, axis_top] {
        line(format!(
            r##"<line x1="{left}" x2="{right}" y1="{0}" y2="{0}" stroke="{1}"/>"##,
            y(burn),
            if burn == 1.0 { "#c00" } else { "#bbb" }
        ));
        line(label(left - 6.0, y(burn) + 4.0, "end", &format!("{burn:.1}")));
    }
    line(label(left, bottom + 20.0, "start", &format!("{oldest_s:.0} s ago")));
    line(label(right, bottom + 20.0, "end", "now"));
    let path: Vec<String> =
        points.iter().map(|(age_s, burn)| format!("{:.1},{:.1}", x(*age_s), y(*burn))).collect();
    line(format!(r##"<polyline points="{}" fill="none" stroke="#06c" stroke-width="2"/>"##, path.join(" ")));
    for point in &path {
        let (cx, cy) = point.split_once(',').unwrap_or_default();
        line(format!(r##"<circle cx="{cx}" cy="{cy}" r="3" fill="#06c"/>"##));
    }
    line("</svg>".to_owned());
    svg
}

fn label(x: f64, y: f64, anchor: &str, text: &str) -> String {
    format!(
        r#"<text x="{x}" y="{y}" font-family="sans-serif" font-size="13" text-anchor="{anchor}">{text}</text>"#
    )
}
