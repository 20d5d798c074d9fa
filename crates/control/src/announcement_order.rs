//! Order of an incarnation's announcements, by the sequence numbers in them.
//!
//! Announcements arrive late, so one with a lower number than the newest changes nothing. Another writer's may have any
//! number, so a number counts only as part of a series: the worker goes on with its own, nobody goes on with another.

/// Largest difference between the numbers of two successive announcements that arrive: more than a worker sends in ten
/// minutes.
const MAX_STEP: u64 = 1_000;

/// Announcements of a series with lower numbers after which that series is the worker's.
const MIN_OLDER: u32 = 3;

/// Time from the first to the last of them, in milliseconds: more than a worker's interval of 1.5 s, so that its next
/// announcement precedes the last of a burst of late ones.
const MIN_OLDER_MS: u64 = 2_500;

/// Announcements of a series with higher numbers after which that series is the worker's.
const MIN_HIGHER: u32 = 2;

/// Series that are remembered beside the newest one.
const MAX_OTHERS: usize = 8;

/// How an announcement's number relates to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// It is the newest.
    Newest,
    Repeated,
    Older,
    /// It is too far above the newest to follow it.
    Jump,
}

/// Successive announcements that don't follow the newest one.
#[derive(Clone, Copy, Debug)]
struct Series {
    newest: u64,
    count: u32,
    /// When the first arrived, on the monotonic clock, in milliseconds.
    since: u64,
}

/// Numbers of an incarnation's announcements.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementOrder {
    newest: u64,
    /// Series since the newest announcement, the last extended one last.
    others: Vec<Series>,
}

impl AnnouncementOrder {
    /// Creates the order after an incarnation's first known announcement.
    pub fn new(first: u64) -> Self {
        Self { newest: first, others: Vec::new() }
    }

    /// Records an announcement that arrives at `now`, in milliseconds on the monotonic clock.
    pub fn record(&mut self, now: u64, sequence: u64) -> Position {
        if sequence == self.newest {
            return Position::Repeated;
        }
        if follows(sequence, self.newest) {
            *self = Self::new(sequence);
            return Position::Newest;
        }
        let position = if sequence < self.newest { Position::Older } else { Position::Jump };
        if self.others.iter().any(|series| series.newest == sequence) {
            return position;
        }
        let followed = self.others.iter().enumerate().filter(|(_, series)| follows(sequence, series.newest));
        let closest = followed.max_by_key(|(_, series)| series.newest).map(|(at, _)| at);
        let series = match closest.map(|at| self.others.remove(at)) {
            Some(series) => Series { newest: sequence, count: series.count.saturating_add(1), ..series },
            None => Series { newest: sequence, count: 1, since: now },
        };
        let is_own = match position {
            Position::Older => series.count >= MIN_OLDER && now >= series.since.saturating_add(MIN_OLDER_MS),
            _ => series.count >= MIN_HIGHER,
        };
        if is_own {
            *self = Self::new(sequence);
            return Position::Newest;
        }
        if self.others.len() >= MAX_OTHERS {
            self.others.remove(0);
        }
        self.others.push(series);
        position
    }
}

fn follows(sequence: u64, newest: u64) -> bool {
    sequence.checked_sub(newest).is_some_and(|step| (1..=MAX_STEP).contains(&step))
}
