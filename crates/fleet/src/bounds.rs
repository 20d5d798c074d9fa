//! Bounds of the values that other processes write: announcements, reports, jobs and stored records.
//!
//! A decoder checks them where a value arrives, so that sums and products of what it lets through fit into 64 bits. They
//! are far beyond the sizes in docs/CAPACITY.md.

use derive_more::{Display, Error};

use crate::job::{Job, Schedule, Step, Submission};
use crate::report::{Report, WorkerInfo};
use crate::resources::Resources;
use crate::unit::{Unit, UnitKey};

/// Result of a check.
pub type Result<T> = std::result::Result<T, OutOfBounds>;

/// Maximum CPU of a worker or subtask, in thousandths of a core: a million cores.
pub const MAX_MILLICORES: i64 = 1_000_000_000;

/// Maximum memory of a worker or subtask, in megabytes: a petabyte.
pub const MAX_MEMORY_MB: i64 = 1_000_000_000;

/// Maximum number of accelerators of a worker or subtask.
pub const MAX_ACCELERATORS: i64 = 1_000_000;

/// Maximum duration, in milliseconds: ten years. Times such factors as a queue's stretch, it fits into 64 bits.
pub const MAX_DURATION_MS: u64 = 10 * 366 * 24 * 3_600_000;

/// Maximum multiple of the duration of its steps within which a job should end, in thousandths.
pub const MAX_STRETCH_MILLI: u64 = 1_000_000;

/// Latest time, in milliseconds since 1970: the end of the year 9999.
pub const MAX_WALL_MS: u64 = 253_402_300_799_999;

/// Maximum of numbers that only rise, such as those of announcements and ends: the largest that every JSON reader keeps
/// exactly.
pub const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Maximum length of a name or label, in bytes. Reports carry a worker's twice a second.
pub const MAX_NAME_BYTES: usize = 1_024;

/// Maximum number of a worker's labels.
pub const MAX_LABELS: usize = 64;

/// Maximum measurement of a run, in milliseconds of latency or thousandths of a core.
pub const MAX_MEASUREMENT: u64 = MAX_MILLICORES as u64;

/// Maximum number of subtasks of a job's occurrence, so that a small body cannot exhaust the memory.
pub const MAX_SUBTASKS: u64 = 10_000;

/// Units of a job that are not done from which no further occurrence is created: as many as one may have.
pub const MAX_OPEN_UNITS: usize = 10_000;

/// Maximum number of units that are created from a stored job: more than a record of its progress has room for.
pub const MAX_STORED_UNITS: usize = 100_000;

/// Maximum of counters that a planner continues from a stored value.
pub const MAX_COUNT: u32 = 1_000_000_000;

/// A value that no process writes on purpose.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field} out of bounds: {value}")]
pub struct OutOfBounds {
    pub field: &'static str,
    pub value: String,
}

/// Checks that a value is at most `max`.
///
/// # Errors
///
/// Returns the field and its value if it is greater.
pub fn check_max(field: &'static str, value: u64, max: u64) -> Result<()> {
    if value > max { Err(OutOfBounds { field, value: value.to_string() }) } else { Ok(()) }
}

/// Checks the length of a name or label.
///
/// # Errors
///
/// Returns the field and the length if it is longer than [`MAX_NAME_BYTES`].
pub fn check_name(field: &'static str, name: &str) -> Result<()> {
    let value = || format!("{} bytes", name.len());
    if name.len() > MAX_NAME_BYTES { Err(OutOfBounds { field, value: value() }) } else { Ok(()) }
}

impl Resources {
    /// Checks that the amounts are neither negative nor absurd.
    ///
    /// # Errors
    ///
    /// Returns the first that is out of bounds.
    pub fn check(&self) -> Result<()> {
        let check = |field, value: i64, max| match (0..=max).contains(&value) {
            true => Ok(()),
            false => Err(OutOfBounds { field, value: value.to_string() }),
        };
        check("millicores", self.millicores, MAX_MILLICORES)?;
        check("memory_mb", self.memory_mb, MAX_MEMORY_MB)?;
        check("accelerators", self.accelerators, MAX_ACCELERATORS)
    }

    /// Moves the amounts that are out of bounds to the nearest within; returns whether there were any.
    pub fn clamp(&mut self) -> bool {
        let before = *self;
        self.millicores = self.millicores.clamp(0, MAX_MILLICORES);
        self.memory_mb = self.memory_mb.clamp(0, MAX_MEMORY_MB);
        self.accelerators = self.accelerators.clamp(0, MAX_ACCELERATORS);
        *self != before
    }
}

impl WorkerInfo {
    /// Checks that a worker with these properties can be used.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of bounds.
    pub fn check(&self) -> Result<()> {
        check_name("worker", &self.incarnation)?;
        check_name("service", &self.service)?;
        check_name("domain", &self.domain)?;
        check_max("labels", self.labels.len() as u64, MAX_LABELS as u64)?;
        self.labels.iter().try_for_each(|label| check_name("label", label))?;
        check_max("remaining_ms", self.remaining_ms.unwrap_or(0), MAX_DURATION_MS)?;
        self.capacity.check()
    }
}

impl Step {
    fn check(&self) -> Result<()> {
        self.resources.check()?;
        check_max("estimate_ms", self.estimate_ms, MAX_DURATION_MS)?;
        check_max("target_ms", self.target_ms.unwrap_or(0), MAX_DURATION_MS)?;
        check_name("label", self.label.as_deref().unwrap_or_default())?;
        check_name("preferred_rack", self.preferred_rack.as_deref().unwrap_or_default())?;
        check_name("image", self.image.as_deref().unwrap_or_default())
    }
}

impl Schedule {
    fn check(&self) -> Result<()> {
        check_max("first_ms", self.first_ms, MAX_WALL_MS)?;
        check_max("interval_ms", self.interval_ms, MAX_DURATION_MS)
    }
}

impl Submission {
    /// Returns the number of subtasks of an occurrence.
    pub fn subtasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Checks that a job can be planned.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of bounds.
    pub fn check(&self) -> Result<()> {
        check_max("subtasks", self.subtasks(), MAX_SUBTASKS)?;
        if let Some(step) = self.steps.iter().find(|step| step.count == 0) {
            return Err(OutOfBounds { field: "count", value: step.count.to_string() });
        }
        self.steps.iter().try_for_each(Step::check)?;
        self.schedule.map_or(Ok(()), |schedule| schedule.check())
    }
}

impl Submission {
    /// Cuts a stored job to its bounds, since it was accepted; returns the first field that is out of bounds.
    pub(crate) fn clamp(&mut self) -> Option<OutOfBounds> {
        let finding = self.check().err()?;
        let mut left = MAX_SUBTASKS;
        for step in &mut self.steps {
            step.count = u64::from(step.count).min(left) as u32;
            left -= u64::from(step.count);
            step.resources.clamp();
            step.estimate_ms = step.estimate_ms.min(MAX_DURATION_MS);
            step.target_ms = step.target_ms.map(|ms| ms.min(MAX_DURATION_MS));
        }
        if let Some(schedule) = &mut self.schedule {
            schedule.first_ms = schedule.first_ms.min(MAX_WALL_MS);
            schedule.interval_ms = schedule.interval_ms.min(MAX_DURATION_MS);
        }
        Some(finding)
    }
}

impl Unit {
    /// Cuts the numbers of a stored unit to their bounds; returns whether there were any beyond.
    pub(crate) fn clamp(&mut self) -> bool {
        let before = (self.run, self.failures, self.uncounted_losses, self.measured_work_ms);
        self.run = self.run.min(MAX_NUMBER);
        self.failures = self.failures.min(MAX_COUNT);
        self.uncounted_losses = self.uncounted_losses.min(MAX_COUNT);
        self.measured_work_ms = self.measured_work_ms.min(MAX_DURATION_MS);
        let mut is_cut = before != (self.run, self.failures, self.uncounted_losses, self.measured_work_ms);
        for crash in &mut self.crashes {
            is_cut |= crash.ran_ms > MAX_DURATION_MS;
            crash.ran_ms = crash.ran_ms.min(MAX_DURATION_MS);
        }
        is_cut
    }
}

impl Job {
    /// Returns whether a stored unit can be one of the job.
    pub(crate) fn may_have(&self, key: UnitKey) -> bool {
        let occurrences = (MAX_STORED_UNITS / self.units_per_occurrence().max(1)).max(1);
        let units = |step: &Step| if step.gang { 1 } else { step.count };
        key.occurrence < self.occurrences()
            && (key.occurrence as usize) < occurrences
            && self.sub.steps.get(key.step as usize).is_some_and(|step| key.index < units(step))
    }
}

impl Report {
    /// Returns the report without what is out of bounds, and the first finding; `None` if there is nothing. The worker is
    /// replaced by what `known` tells of it, and is left out if that is nothing. A rough figure is cut to its bounds.
    pub(crate) fn bounded(
        &self,
        known: impl FnOnce(&str) -> Option<WorkerInfo>,
    ) -> Option<(Self, OutOfBounds)> {
        let mut report = self.clone();
        let mut findings = Vec::new();
        if let Some(info) = &self.worker
            && let Err(e) = info.check()
        {
            findings.push(e);
            report.worker = known(&info.incarnation);
        }
        if let Some(ms) = self.silent_before_ms
            && let Err(e) = check_max("silent_before_ms", ms, MAX_DURATION_MS)
        {
            findings.push(e);
            report.silent_before_ms = None;
        }
        for run in &mut report.running {
            findings.extend(check_max("measurement", run.measurement, MAX_MEASUREMENT).err());
            run.measurement = run.measurement.min(MAX_MEASUREMENT);
        }
        report.ended.retain(|end| match check_max("end", end.number, MAX_NUMBER) {
            Ok(()) => true,
            Err(e) => {
                findings.push(e);
                false
            }
        });
        findings.into_iter().next().map(|finding| (report, finding))
    }
}
