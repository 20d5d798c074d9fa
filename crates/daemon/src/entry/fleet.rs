//! What an entry knows of the agents, from their heartbeats.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sorrelland_core::eject::Outcomes;
use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_core::route::Candidate;
use sorrelland_core::shape::{Shape, Span};
use sorrelland_core::table::{Demand, Running};
use sorrelland_core::topology::{Standing, Worker};
use sorrelland_lease::Phase;
use sorrelland_wire::entry::{Heartbeat, Report};

/// Bytes that one heartbeat costs an entry on the wire, both ways, headers included.
pub const BEAT_BYTES: u64 = 330;

/// Bytes a second that an entry spends on heartbeats.
pub const BEAT_BUDGET_BYTES: u64 = 16_000;

/// Shortest time between two beats of one agent to one entry, in milliseconds.
pub const BEAT_SHORTEST_MS: u64 = 500;

/// Beats that may be missed before a worker counts as lost.
const MISSED_BEATS: u32 = 3;

/// Margin on top of the missed beats.
const LOST_MARGIN: Duration = Duration::from_millis(1_500);

/// An agent as the entry knows it.
#[derive(Clone, Debug)]
pub struct Row {
    /// Life of the agent.
    pub incarnation: u64,
    /// Number of the report.
    pub report_number: u64,
    /// Its newest report.
    pub report: Report,
    /// Short requests that it reported in flight.
    pub reported: u32,
    /// Short requests that this entry has in flight there.
    pub in_flight: u32,
    /// Mean service time of short requests, in microseconds.
    pub service_us: u32,
    /// Offset of the configuration that it has in force.
    pub offset: u64,
    /// When the newest beat came.
    pub seen: Instant,
}

/// The agents, by worker.
#[derive(Debug)]
pub struct Fleet {
    rows: BTreeMap<WorkerId, Row>,
    /// Outcomes by worker.
    pub outcomes: Outcomes,
    domain: String,
    origin: Instant,
}

impl Fleet {
    /// Creates the table of an entry in a failure domain.
    pub fn new(domain: &str) -> Self {
        Self {
            rows: BTreeMap::new(),
            outcomes: Outcomes::new(),
            domain: domain.to_owned(),
            origin: Instant::now(),
        }
    }

    /// Returns the agents.
    pub fn rows(&self) -> &BTreeMap<WorkerId, Row> {
        &self.rows
    }

    /// Returns the time between two beats of one agent, so that all of them fit the budget.
    pub fn beat_ms(&self) -> u64 {
        let agents = self.rows.len() as u64;
        (agents * BEAT_BYTES * 1_000 / BEAT_BUDGET_BYTES).max(BEAT_SHORTEST_MS)
    }

    /// Takes a heartbeat; returns the number of the report that the table has now.
    pub fn take(&mut self, beat: Heartbeat) -> u64 {
        let now = Instant::now();
        let known = self.rows.get_mut(&beat.worker);
        let same_life = known.as_ref().is_some_and(|row| row.incarnation == beat.incarnation);
        let row = match (known, beat.report) {
            (Some(row), None) if row.incarnation == beat.incarnation => row,
            (Some(row), Some(report)) => {
                if row.incarnation == beat.incarnation && beat.report_number < row.report_number {
                    // An older beat that was overtaken on the way.
                    return row.report_number;
                }
                row.incarnation = beat.incarnation;
                row.report_number = beat.report_number;
                row.report = report;
                row
            }
            (None, Some(report)) => self.rows.entry(beat.worker).or_insert(Row {
                incarnation: beat.incarnation,
                report_number: beat.report_number,
                report,
                reported: 0,
                in_flight: 0,
                service_us: 0,
                offset: 0,
                seen: now,
            }),
            (_, None) => return 0,
        };
        row.reported = beat.in_flight;
        row.service_us = beat.service_us;
        row.offset = if same_life { row.offset.max(beat.offset) } else { beat.offset };
        row.seen = now;
        row.report_number
    }

    /// Records the configuration that a worker's agent confirmed.
    pub fn configured(&mut self, worker: &WorkerId, offset: u64) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.offset = row.offset.max(offset);
        }
    }

    /// Counts a request that this entry sends to a worker.
    pub fn enter(&mut self, worker: &WorkerId) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.in_flight += 1;
        }
    }

    /// Counts the end of a request that this entry sent to a worker.
    pub fn exit(&mut self, worker: &WorkerId) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Returns milliseconds since the table was created.
    pub fn now_ms(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Records the outcome of work on a worker.
    pub fn judge(&mut self, worker: &WorkerId, worked: bool) {
        let now_ms = self.now_ms();
        if worked {
            self.outcomes.record_success(worker);
        } else if self.outcomes.record_failure(worker, self.rows.len(), now_ms) {
            log::warn!("worker {worker} is ejected: it fails what it starts");
        }
    }

    /// Returns whether a worker takes new work.
    pub fn standing(&self, worker: &WorkerId, row: &Row) -> Standing {
        let interval = Duration::from_millis(self.beat_ms());
        if row.seen.elapsed() > interval * MISSED_BEATS + LOST_MARGIN {
            Standing::Lost
        } else if row.report.draining {
            Standing::Draining
        } else if self.outcomes.is_ejected(worker, self.now_ms()) {
            Standing::Ejected
        } else {
            Standing::Ready
        }
    }

    /// Returns the workers as the decision core sees them.
    pub fn workers(&self) -> BTreeMap<WorkerId, Worker> {
        let worker = |(id, row): (&WorkerId, &Row)| {
            let mut worker = Worker::new(row.report.place.clone(), row.report.capacity);
            worker.standing = self.standing(id, row);
            (id.clone(), worker)
        };
        self.rows.iter().map(worker).collect()
    }

    /// Returns the gangs that the agents reported.
    pub fn running(&self, now_ms: Millis) -> BTreeMap<JobId, Running> {
        let mut gangs: BTreeMap<JobId, Running> = BTreeMap::new();
        for (worker, row) in &self.rows {
            if self.standing(worker, row) == Standing::Lost {
                continue;
            }
            for share in row.report.shares.iter().filter(|share| share.phase != Phase::Finished) {
                let gang = gangs.entry(share.job.clone()).or_insert_with(|| {
                    let started_ms = now_ms.saturating_sub(share.age_ms);
                    Running {
                        demand: Demand {
                            account: share.account.clone(),
                            shape: Shape::new(0, share.per_task.accelerators, Span::Region),
                            class: share.class,
                            declared_ms: share.age_ms,
                            preemptible: share.preemptible,
                        },
                        placement: BTreeMap::new(),
                        since_ms: started_ms,
                        started_ms,
                        done_ms: 0,
                    }
                });
                gang.demand.shape.tasks += share.tasks;
                gang.placement.insert(worker.clone(), share.tasks);
            }
        }
        gangs
    }

    /// Returns the agents that may get a short request, with what is known for routing.
    pub fn candidates(&self, except: &[WorkerId]) -> Vec<(WorkerId, Candidate)> {
        let ready = self.rows.iter().filter(|(id, row)| {
            !except.contains(id) && self.standing(id, row) == Standing::Ready && row.offset > 0
        });
        let candidate = |(id, row): (&WorkerId, &Row)| {
            let candidate = Candidate {
                in_flight: row.in_flight,
                reported_in_flight: row.reported,
                slots: row.report.capacity.slots,
                service_ms: f64::from(row.service_us) / 1_000.0,
                same_domain: *row.report.place.domain == self.domain,
            };
            (id.clone(), candidate)
        };
        ready.map(candidate).collect()
    }

    /// Forgets workers that have been silent for longer than `silence`.
    pub fn forget(&mut self, silence: Duration) {
        self.rows.retain(|_, row| row.seen.elapsed() < silence);
    }
}
