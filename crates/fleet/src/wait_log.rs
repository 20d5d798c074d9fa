//! Logs what a unit that has waited for long waits for: which workers are nearest to fitting it, and what holds them.

use std::fmt::Write;

use crate::outlook::{Outlook, Release};
use crate::pass::{Pass, step_key};
use crate::place::Candidate;
use crate::planner::Planner;
use crate::pool::{Need, Usage};
use crate::resources::Resources;
use crate::wait::WaitReason;

/// Lines of one pass; the others are due again in the next one.
const MAX_LINES_OF_PASS: usize = 4;

/// Runs that a line names.
const MAX_NAMED_RUNS: usize = 6;

impl Planner {
    /// Logs a long wait if a line on it is due.
    pub(crate) fn log_long_wait(&mut self, pass: &mut Pass, candidate: &Candidate, reason: WaitReason) {
        let (name, key, now) = (&candidate.job, candidate.key, pass.now);
        let Some(job) = self.jobs.get(name) else { return };
        let Some(unit) = job.units.get(&key).filter(|unit| unit.waits.is_line_due(now, unit.since)) else {
            return;
        };
        if pass.logged_waits.len() >= MAX_LINES_OF_PASS || !pass.logged_waits.insert(step_key(candidate)) {
            return;
        }
        let (Some(step), Some(queue)) = (job.sub.steps.get(key.step as usize), self.queue_of(name)) else {
            return;
        };
        let rooms = self.available_rooms(&pass.pool, now, candidate, step);
        let need = Need::new(step, if step.gang { step.count } else { 1 });
        let anywhere = pass.releases(self).earliest_fit(&rooms, &need);
        let mut line = format!(
            "event=long_wait job={name} task={} why={reason} waited_ms={} members={} each={} workers={} fit_now={} \
             used_milli={} failed_on={} runs_alone={} since_latest_start_ms={}",
            key.task(name, 0),
            now.saturating_sub(unit.since),
            need.members,
            need.per_member,
            rooms.len(),
            need.fitting(&rooms),
            format_usage(&pass.pool.usage(&queue.service)),
            unit.failed_on.len(),
            unit.must_run_alone(),
            pass.wall as i64 - candidate.latest_start as i64,
        );
        append_outlook(&mut line, "", anywhere.as_ref());
        if step.prefers_one_rack {
            let nearest = pass.releases(self).earliest_rack(&pass.pool, &rooms, &need);
            let rack = nearest.as_ref().map_or("none", |(rack, _)| pass.pool.rack_name(*rack));
            let _ = write!(line, " nearest_rack={rack}");
            append_outlook(&mut line, "rack_", nearest.as_ref().map(|(_, outlook)| outlook));
        }
        self.log_line(line);
        let unit = self.jobs.get_mut(name).and_then(|job| job.units.get_mut(&key));
        if let Some(unit) = unit {
            unit.waits.record_line(now);
        }
    }
}

/// Appends when a unit fits, how many members do now, and the runs that have to end before.
fn append_outlook(line: &mut String, prefix: &str, outlook: Option<&Outlook>) {
    let Some(Outlook { due_ms, fitting, held_by, .. }) = outlook else {
        let _ = write!(line, " {prefix}due_ms=never");
        return;
    };
    let run = |release: &Release| format!("{}:{}", release.task, release.in_ms);
    let runs: Vec<String> = held_by.iter().rev().take(MAX_NAMED_RUNS).map(run).collect();
    let _ =
        write!(line, " {prefix}due_ms={due_ms} {prefix}fit={fitting} {prefix}held_by=\"{}\"", runs.join(","));
}

/// Formats the shares in use as CPU, memory and accelerators, in thousandths.
fn format_usage(usage: &Usage) -> String {
    let Usage { capacity, used } = usage;
    let only = |resources: Resources| resources.share_of(capacity);
    format!(
        "{}/{}/{}",
        only(Resources::new(used.millicores, 0, 0)),
        only(Resources::new(0, used.memory_mb, 0)),
        only(Resources::new(0, 0, used.accelerators))
    )
}
