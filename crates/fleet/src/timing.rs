//! How fast workers have to be for a unit to end in time.
//!
//! Designed for workers that differ in speed by factors, where a gang ends with its slowest member: an urgent job on a slow
//! worker is late although it never waited.

use crate::value::Timeliness;

/// Factor by which a run may take longer than its estimate at the measured speed of its worker, in thousandths. Speeds are
/// known to about a tenth, the work of a step's subtasks differs by as much.
const ERROR_FACTOR_MILLI: u64 = 1_200;

/// Share of the workers that have to be too slow for urgent jobs before speeds are taken into account, in percent. Fewer
/// may be errors of measurement.
const SLOW_WORKERS_PERCENT: usize = 10;

/// Factor by which the slow workers have to be faster than what makes urgent jobs late before speeds no longer count, in
/// thousandths: more than the error of a measured speed, so that this doesn't change with each measurement.
const HYSTERESIS_FACTOR_MILLI: u64 = 1_250;

/// Workers of known speed from which their speeds are compared.
const MIN_KNOWN_WORKERS: usize = 8;

/// Estimated times of a waiting unit's job, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTiming {
    /// Time since the job was accepted or its occurrence was due.
    pub age_ms: u64,
    /// Time from then on within which it has to end.
    pub target_ms: u64,
    /// Work that is left on the longest chain of steps that begins with the unit's, at the fleet's mean speed.
    pub remaining_ms: u64,
}

impl JobTiming {
    /// Returns the speed that a worker needs for the given timeliness if the unit starts now, in thousandths of the
    /// fleet's mean; `None` if no speed is enough. Any speed is enough for a job that has missed its value.
    pub fn required_speed(&self, timeliness: Timeliness) -> Option<u64> {
        let limit_ms = match timeliness {
            Timeliness::InTime => self.target_ms,
            Timeliness::Late => 3 * self.target_ms,
            Timeliness::Missed => return Some(0),
        };
        let left_ms = limit_ms.checked_sub(self.age_ms).filter(|left_ms| *left_ms > 0)?;
        Some(self.remaining_ms * ERROR_FACTOR_MILLI / left_ms)
    }
}

/// Speeds of a service's workers, where they differ so much that urgent jobs are late on some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedClasses {
    /// Speed from which a worker suits urgent jobs, in thousandths of the fleet's mean.
    pub urgent_milli: u64,
    /// Speed that one worker in four has.
    pub fast_milli: u64,
}

/// Class of a worker's speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// Urgent jobs are late on it.
    Slow,
    /// Urgent jobs that start at once end in time on it.
    Sufficient,
    /// Urgent jobs have slack left on it.
    Fast,
}

/// Speed from which urgent jobs have slack left, as a multiple of the speed that suits them, in thousandths.
const SLACK_FACTOR_MILLI: u64 = 1_500;

impl SpeedClasses {
    /// Returns the classes of workers of the given known speeds, or `None` if urgent jobs whose target is
    /// `stretch_milli` thousandths of their work end in time on all but a few of them. `counted` says whether the speeds
    /// counted before.
    pub fn new(mut speeds: Vec<u64>, stretch_milli: u64, counted: bool) -> Option<Self> {
        if speeds.len() < MIN_KNOWN_WORKERS || stretch_milli == 0 {
            return None;
        }
        speeds.sort_unstable();
        let slow_milli = speeds[speeds.len() * SLOW_WORKERS_PERCENT / 100];
        let factor_milli = if counted { HYSTERESIS_FACTOR_MILLI } else { 1_000 };
        if slow_milli * stretch_milli >= 1_000 * factor_milli {
            return None;
        }
        Some(Self {
            urgent_milli: 1_000 * ERROR_FACTOR_MILLI / stretch_milli,
            fast_milli: speeds[speeds.len() * 3 / 4],
        })
    }

    pub fn class(&self, speed_milli: u64) -> SpeedClass {
        if speed_milli < self.urgent_milli {
            return SpeedClass::Slow;
        }
        match speed_milli * 1_000 >= self.urgent_milli * SLACK_FACTOR_MILLI {
            true => SpeedClass::Fast,
            false => SpeedClass::Sufficient,
        }
    }

    /// Returns whether urgent jobs that start at once end in time on a worker.
    pub fn suits_urgent(&self, speed_milli: u64) -> bool {
        self.class(speed_milli) > SpeedClass::Slow
    }

    /// Returns the order of preference of a worker: urgent jobs go to the fastest, all others to the slowest that is fast
    /// enough for them, so that fast ones are free for urgent jobs.
    pub fn rank(&self, speed_milli: u64, is_urgent: bool) -> u8 {
        let class = self.class(speed_milli) as u8;
        if is_urgent { SpeedClass::Fast as u8 - class } else { class }
    }

    /// Returns the factor by which a run on a fast worker takes longer than its estimate, in thousandths.
    pub fn duration_factor_milli(&self) -> u64 {
        ERROR_FACTOR_MILLI * 1_000 / self.fast_milli.max(1)
    }
}
