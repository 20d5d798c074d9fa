//! Formats reports as text.

use crate::measure::{Report, Summary};

pub fn to_text(report: &Report) -> String {
    let mut lines = vec![format!("{} {} seed {}", report.scenario, report.policy, report.seed)];
    lines.push(summary_line("all", &report.all));
    for (size, summary) in &report.sizes {
        lines.push(summary_line(&format!("{size:?}").to_lowercase(), summary));
    }
    lines.push(summary_line("largest", &report.largest));
    lines.push(format!("fragmentation: {:.3}  stranded: {:.3}", report.fragmentation, report.stranded));
    lines.push(format!("breaches: {}", report.breaches));
    lines.push(format!(
        "longest reclaim {:.1} s  longest urgent wait {:.1} s  preemptions {}  failures {}  cancelled {}",
        report.longest_reclaim_s,
        report.longest_urgent_wait_s,
        report.preemptions,
        report.failures,
        report.cancelled,
    ));
    for (reason, count) in &report.refused {
        lines.push(format!("refused {count}: {reason}"));
    }
    lines.join("\n")
}

fn summary_line(name: &str, s: &Summary) -> String {
    format!(
        "{name:8} n {:5}  mean {:8.1} s  p50 {:8.1} s  p99 {:8.1} s  slowdown {:7.2}  longest wait {:8.1} s",
        s.jobs, s.mean_s, s.p50_s, s.p99_s, s.slowdown, s.longest_wait_s,
    )
}
