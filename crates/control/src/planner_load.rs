//! How much time the planner's work takes, as a line of the logs every few seconds.

use std::time::{Duration, Instant};

/// Time that one line covers.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Counts and durations of the planner's work since the last line.
#[derive(Clone, Debug)]
pub struct PlannerLoad {
    since: Instant,
    last_pass_ended: Instant,
    passes: u32,
    pass_time: Duration,
    longest_pass: Duration,
    longest_gap: Duration,
    reports: u32,
    report_time: Duration,
    replies: u32,
    reply_time: Duration,
}

impl PlannerLoad {
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_pass_ended: now,
            passes: 0,
            pass_time: Duration::ZERO,
            longest_pass: Duration::ZERO,
            longest_gap: Duration::ZERO,
            reports: 0,
            report_time: Duration::ZERO,
            replies: 0,
            reply_time: Duration::ZERO,
        }
    }

    /// Records a planning pass; returns its duration, and the time between its start and the end of the one before.
    pub fn record_pass(&mut self, began: Instant, ended: Instant) -> (Duration, Duration) {
        let pass = ended.saturating_duration_since(began);
        let gap = began.saturating_duration_since(self.last_pass_ended);
        self.last_pass_ended = ended;
        self.passes += 1;
        self.pass_time += pass;
        self.longest_pass = self.longest_pass.max(pass);
        self.longest_gap = self.longest_gap.max(gap);
        (pass, gap)
    }

    /// Records that a report of an agent was applied.
    pub fn record_report(&mut self, took: Duration) {
        self.reports += 1;
        self.report_time += took;
    }

    /// Records that the assignments of an agent were computed and compared with those sent before.
    pub fn record_reply(&mut self, took: Duration) {
        self.replies += 1;
        self.reply_time += took;
    }

    /// Returns the line that is due at `now`, and begins the next one.
    pub fn take_line(&mut self, now: Instant) -> Option<String> {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < LINE_INTERVAL {
            return None;
        }
        let line = format!(
            "event=planner_load over_ms={} passes={} pass_ms={} longest_pass_ms={} longest_gap_ms={} reports={} \
             report_ms={} replies={} reply_ms={}",
            elapsed.as_millis(),
            self.passes,
            self.pass_time.as_millis(),
            self.longest_pass.as_millis(),
            self.longest_gap.as_millis(),
            self.reports,
            self.report_time.as_millis(),
            self.replies,
            self.reply_time.as_millis()
        );
        *self = Self { last_pass_ended: self.last_pass_ended, ..Self::new(now) };
        Some(line)
    }
}
