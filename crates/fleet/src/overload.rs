//! What is delayed and what is refused while capacity is short.
//!
//! Under overload not every job can end while its result is worth something to its caller. The work that waits is the
//! work whose delay costs callers least: by priority, by whether it can still be in time, by account, by value for the
//! work that it needs, and by deadline. A job that will certainly have no value is refused on arrival.
//!
//! The module is pure: it reads plain structs and has no clock. Placement and admission use the same order of work, so a
//! forecast counts as ahead of a job exactly what would be placed before it.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use sorrelland_forecast::Correction;

use crate::resources::Resources;
use crate::value::Timeliness;

/// Share of a fleet's capacity that can be used in practice, in thousandths: gangs leave gaps.
const USABLE_CAPACITY_MILLI: i64 = 750;

/// Steps from which the quartiles of a queue's correction count: of fewer, a quartile is one or two outliers.
const MIN_CORRECTION_STEPS: usize = 8;

/// Factor by which callers' declared estimates are off, in thousandths; it bounds a queue's work without evidence.
const MAX_ESTIMATE_ERROR_MILLI: u64 = 2_500;

/// Multiple of its target after which a job's result has no value to its caller.
const NO_VALUE_TARGETS: u64 = 3;

/// The Retry-After header has whole seconds, and callers read 0 as "at once".
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum Retry-After: callers that wait longer give up, and forecasts beyond it are not reliable.
const MAX_RETRY_AFTER_MS: u64 = 20_000;

/// Length of the window over which refused callers return, relative to the forecast, in thousandths: as work drains
/// evenly, their jobs then arrive no faster than room becomes free.
const RETRY_SPREAD_MILLI: u64 = 500;

/// Part of its account's fair share that a waiting unit falls into; accounts under theirs come first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Share {
    /// All that its account holds and queues is within its fair share, or the service isn't full.
    #[default]
    Under,
    /// Its account queues more than its fair share, but doesn't hold it yet.
    Owed,
    /// Its account gets more than its fair share with this unit.
    Beyond,
}

/// Position of waiting work in the order of placement.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    /// Whether a guarantee covers the job.
    pub guaranteed: bool,
    /// Timeliness of the job if the work starts now.
    pub timeliness: Timeliness,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    pub share: Share,
    /// Value that the job can still attain, per core-second of its work.
    pub value_density: f64,
    /// Latest start that preserves the timeliness, in milliseconds since 1970.
    pub latest_start: u64,
}

impl Rank {
    /// Compares two positions; the lesser is placed first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let key = |rank: &Self| {
            let missed = rank.timeliness == Timeliness::Missed;
            (!rank.guaranteed, missed, rank.priority, rank.timeliness, rank.share)
        };
        key(self)
            .cmp(&key(other))
            .then(other.value_density.total_cmp(&self.value_density))
            .then(self.latest_start.cmp(&other.latest_start))
    }
}

/// What an account holds and queues on a service beyond its guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Resources that its runs occupy.
    pub held: Resources,
    /// Resources of its units that could start now.
    pub queued: Resources,
}

/// What all accounts hold and queue on a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand<'a> {
    /// Resources that guaranteed jobs hold and queue; they come before any sharing.
    pub guaranteed: Resources,
    /// Whether a waiting job can't be in time any more: waiting has begun to cost callers.
    pub has_late: bool,
    pub accounts: BTreeMap<&'a str, Demand>,
}

/// Fair shares of a full service.
#[derive(Clone, Debug, PartialEq)]
pub struct FairShares<'a> {
    /// Share of the service that each account may use before others come first, as a part of 1.
    level: f64,
    /// Held share, and held and queued share of each account.
    accounts: BTreeMap<&'a str, (f64, f64)>,
    capacity: Resources,
}

impl<'a> FairShares<'a> {
    /// Computes the max-min fair shares; `None` unless the service is full, waiting makes jobs late, and more than one
    /// account waits for room.
    ///
    /// An account's share is its share of the resource that it needs most. What an account leaves of its share goes to
    /// the others.
    pub fn new(demand: &ServiceDemand<'a>, capacity: &Resources) -> Option<Self> {
        let waiting = demand.accounts.values().filter(|own| own.queued != Resources::default()).count();
        let mut total = demand.guaranteed;
        for own in demand.accounts.values() {
            total += own.held;
            total += own.queued;
        }
        if waiting < 2 || !demand.has_late || total.share_of(capacity) <= USABLE_CAPACITY_MILLI {
            return None;
        }
        let shares = |own: &Demand| {
            let mut all = own.held;
            all += own.queued;
            (share(&own.held, capacity), share(&all, capacity))
        };
        let accounts: BTreeMap<&str, (f64, f64)> =
            demand.accounts.iter().map(|(name, own)| (*name, shares(own))).collect();
        let usable = USABLE_CAPACITY_MILLI as f64 / 1_000.0;
        let rest = (usable - share(&demand.guaranteed, capacity)).max(0.0);
        let level = max_min_level(accounts.values().map(|(_, all)| *all), rest);
        Some(Self { level, accounts, capacity: *capacity })
    }

    /// Returns the part of its account's fair share that a job of an account falls into at best.
    pub fn best_share(&self, account: &str) -> Share {
        match self.accounts.get(account).copied().unwrap_or_default() {
            (_, all) if all <= self.level => Share::Under,
            (held, _) if held < self.level => Share::Owed,
            _ => Share::Beyond,
        }
    }

    /// Returns the part of its account's fair share of each unit, given in the order in which they would be placed
    /// without regard to accounts.
    pub fn classify<'b>(&self, units: impl Iterator<Item = (&'b str, Resources)>) -> Vec<Share> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let class = |(account, need): (&'b str, Resources)| {
            let (held, all) = self.accounts.get(account).copied().unwrap_or_default();
            if all <= self.level {
                return Share::Under;
            }
            let used = used.entry(account).or_insert(held);
            let before = *used;
            *used += share(&need, &self.capacity);
            if before < self.level { Share::Owed } else { Share::Beyond }
        };
        units.map(class).collect()
    }
}

/// Returns the largest share of `capacity` that an amount takes of any one resource, as a part of 1.
fn share(amount: &Resources, capacity: &Resources) -> f64 {
    let each = |have: i64, of: i64| if of > 0 { have as f64 / of as f64 } else { 0.0 };
    each(amount.millicores, capacity.millicores)
        .max(each(amount.memory_mb, capacity.memory_mb))
        .max(each(amount.accelerators, capacity.accelerators))
}

/// Returns the level up to which each demand can be met so that all together take `total`.
fn max_min_level(demands: impl Iterator<Item = f64>, total: f64) -> f64 {
    let mut demands: Vec<f64> = demands.collect();
    demands.sort_by(f64::total_cmp);
    let mut rest = total;
    let mut level = total;
    for (met, demand) in demands.iter().enumerate() {
        level = rest / (demands.len() - met) as f64;
        if *demand > level {
            break;
        }
        rest -= demand;
    }
    level
}

/// Range of the ratio of actual work to declared estimates, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ratio {
    pub low_milli: u64,
    pub median_milli: u64,
    pub high_milli: u64,
}

impl Ratio {
    /// Returns the quartiles of a queue's correction, or the bounds of callers' errors while there is little evidence.
    pub fn new(correction: &Correction) -> Self {
        if correction.steps < MIN_CORRECTION_STEPS {
            return Self {
                low_milli: 1_000_000 / MAX_ESTIMATE_ERROR_MILLI,
                median_milli: 1_000,
                high_milli: MAX_ESTIMATE_ERROR_MILLI,
            };
        }
        Self {
            low_milli: correction.lower_quartile_milli,
            median_milli: correction.median_milli,
            high_milli: correction.upper_quartile_milli,
        }
    }
}

/// Accepted work that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub rank: Rank,
    /// Whether it holds its resources.
    pub is_placed: bool,
    /// Resources that it needs at the same time.
    pub need: Resources,
    /// Lower quartile of its remaining time at the fleet's mean speed, in milliseconds.
    pub low_ms: u64,
    /// Median of the same.
    pub median_ms: u64,
}

/// A job that asks for admission.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Its name, from which the spread of Retry-After follows.
    pub job: &'a str,
    /// Its rank if it can be in time.
    pub rank: Rank,
    /// Value for its work that it still has if it is late; see [`Rank::value_density`].
    pub late_value_density: f64,
    /// Number of priorities of its service that are more urgent than its own, and number of all.
    pub priority_level: (u32, u32),
    /// Resources that it needs any of.
    pub needs: Resources,
    /// Declared duration of its longest chain of steps, in milliseconds.
    pub chain_ms: u64,
    /// Range of its actual work over the declared one.
    pub ratio: Ratio,
    /// `stretch_milli` of its queue.
    pub stretch_milli: u64,
    /// `full_value_ms` of its queue.
    pub full_value_ms: u64,
}

/// Room that a job could use.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Capacity of the workers that it may use, weighted by their speeds.
    pub capacity: Resources,
    /// Whether all workers that may exist have reported.
    pub is_known: bool,
    /// Whether a first part of it fits into free room.
    pub has_room: bool,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It needs a larger fleet.
    NeverFits,
    /// It would end too late to have a value.
    NoValue,
    /// Its name stands for the job of another caller.
    NameInUse,
}

impl Cause {
    /// Returns the name for metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NeverFits => "never_fits",
            Self::NoValue => "no_value",
            Self::NameInUse => "name_in_use",
        }
    }
}

/// What a forecast of a job's start is made of, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Lower quartile of the time until the work ahead is done.
    pub low_wait_ms: u64,
    /// Time until the work ahead has drained, by the medians and the capacity that is usable in practice.
    pub drain_ms: u64,
    /// Longest wait with which the job can have a value.
    pub max_wait_ms: u64,
}

/// Reason to accept a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// Resources that it can use are free.
    Room,
    /// Not all workers are known.
    Unsure,
    /// It may be in time.
    InTime,
    /// It may end late but with some value.
    Late,
}

/// Decision on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job is accepted.
    Accept(Acceptance),
    /// The job will have no value.
    Refuse {
        /// What decided.
        forecast: Forecast,
        /// Delay before the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a job is accepted. It is refused only if even the lower quartile of its wait leaves it no value.
pub fn decide(request: &Request<'_>, supply: &Supply, work: &[Work]) -> Decision {
    if supply.has_room {
        return Decision::Accept(Acceptance::Room);
    }
    if !supply.is_known {
        return Decision::Accept(Acceptance::Unsure);
    }
    let forecast = |rank: &Rank, targets: u64| Forecast {
        low_wait_ms: wait_ms(request, rank, supply, work, |work| work.low_ms, 1_000),
        drain_ms: wait_ms(request, rank, supply, work, |work| work.median_ms, USABLE_CAPACITY_MILLI),
        max_wait_ms: max_wait_ms(request, targets),
    };
    let in_time = forecast(&request.rank, 1);
    if in_time.low_wait_ms <= in_time.max_wait_ms {
        return Decision::Accept(Acceptance::InTime);
    }
    // By then it ranks with the work that is late as well.
    let late_rank =
        Rank { timeliness: Timeliness::Late, value_density: request.late_value_density, ..request.rank };
    let late = forecast(&late_rank, NO_VALUE_TARGETS);
    if late.low_wait_ms <= late.max_wait_ms {
        return Decision::Accept(Acceptance::Late);
    }
    Decision::Refuse { forecast: late, retry_after_ms: retry_after_ms(request, late.drain_ms) }
}

/// Returns the longest wait with which the job ends within a multiple of its target, for the ratio of its work to its
/// estimate that allows most: a target grows with the actual work.
fn max_wait_ms(request: &Request<'_>, targets: u64) -> u64 {
    let wait_ms = |ratio_milli: u64| {
        let chain_ms = request.chain_ms.saturating_mul(ratio_milli) / 1_000;
        let target_ms = chain_ms.saturating_mul(request.stretch_milli) / 1_000 + request.full_value_ms;
        targets.saturating_mul(target_ms).saturating_sub(chain_ms)
    };
    wait_ms(request.ratio.low_milli).max(wait_ms(request.ratio.high_milli))
}

/// Returns whether work is served before a job of the given rank. Work of lower priority can be preempted.
fn is_ahead(work: &Work, rank: &Rank) -> bool {
    if work.rank.guaranteed {
        return true;
    }
    if work.rank.priority > rank.priority {
        return false;
    }
    // Runs of jobs that can't be in time any more hold their resources nonetheless.
    work.is_placed || work.rank.compare(rank) == Ordering::Less
}

/// Returns the time that the work ahead takes, by the resource with the longest wait of those that the job needs.
fn wait_ms(
    request: &Request<'_>,
    rank: &Rank,
    supply: &Supply,
    work: &[Work],
    remaining_ms: impl Fn(&Work) -> u64,
    usable_milli: i64,
) -> u64 {
    let mut ahead = Resources::default();
    for work in work.iter().filter(|work| is_ahead(work, rank)) {
        ahead += work.need * remaining_ms(work) as i64;
    }
    let (needs, capacity) = (&request.needs, &supply.capacity);
    let each = |need: i64, work: i64, all: i64| match need {
        0 => 0,
        _ => (work / (all * usable_milli / 1_000).max(1)).max(0) as u64,
    };
    each(needs.millicores, ahead.millicores, capacity.millicores)
        .max(each(needs.memory_mb, ahead.memory_mb, capacity.memory_mb))
        .max(each(needs.accelerators, ahead.accelerators, capacity.accelerators))
}

/// Returns when a refused caller should retry: once the work ahead of it has drained, within a window in which more
/// urgent priorities come first, then earlier deadlines; callers alike are spread by the hash of the job's name.
fn retry_after_ms(request: &Request<'_>, drain_ms: u64) -> u64 {
    let longest_ms = drain_ms.saturating_mul(1_000 + RETRY_SPREAD_MILLI) / 1_000;
    let end_ms = longest_ms.clamp(2 * MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let start_ms = (end_ms * 1_000 / (1_000 + RETRY_SPREAD_MILLI)).max(MIN_RETRY_AFTER_MS);
    let (level, levels) = request.priority_level;
    let band_ms = (end_ms - start_ms) / u64::from(levels.max(1));
    let target_ms = request.chain_ms * request.stretch_milli / 1_000 + request.full_value_ms;
    // Half of the band is for the deadline, half for the spread.
    let deadline_ms = band_ms / 2 * target_ms / (target_ms + MAX_RETRY_AFTER_MS);
    let mut hasher = DefaultHasher::new();
    request.job.hash(&mut hasher);
    let spread_ms = hasher.finish() % (band_ms / 2).max(1);
    start_ms + band_ms * u64::from(level.min(levels.saturating_sub(1))) + deadline_ms + spread_ms
}

/// Sorts work by rank without regard to accounts, and sets the shares of what waits beyond guarantees.
pub fn assign_shares(fair: &FairShares<'_>, work: &mut [(&str, Work)]) {
    work.sort_by(|(_, one), (_, other)| {
        (Reverse(one.is_placed)).cmp(&Reverse(other.is_placed)).then(one.rank.compare(&other.rank))
    });
    let is_shared = |work: &Work| !work.is_placed && !work.rank.guaranteed;
    let shared = work.iter().filter(|(_, work)| is_shared(work));
    let shares = fair.classify(shared.map(|(account, work)| (*account, work.need)));
    for ((_, work), share) in work.iter_mut().filter(|(_, work)| is_shared(work)).zip(shares) {
        work.rank.share = share;
    }
}
