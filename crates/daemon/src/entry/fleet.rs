//! State of the agents as their heartbeats report it.

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

/// Size of one heartbeat and its reply on the wire, headers included.
pub const HEARTBEAT_BYTES: u64 = 330;

/// Bandwidth that an entry spends on heartbeats.
pub const HEARTBEAT_BUDGET_BYTES_PER_S: u64 = 16_000;

/// Shortest interval between heartbeats of one agent to one entry.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Heartbeats that may be missed before a worker counts as lost.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Margin added to the missed heartbeats before a worker counts as lost.
const LOST_MARGIN: Duration = Duration::from_millis(1_500);

/// State of an agent.
#[derive(Clone, Debug)]
pub struct AgentRow {
    pub incarnation: u64,
    /// When the newest connection of this incarnation was accepted.
    pub connected_at: Instant,
    /// Number of the newest report.
    pub report_number: u64,
    pub report: Report,
    /// Short requests in flight that the agent reported.
    pub reported_in_flight: u32,
    /// Short requests that this entry has in flight at the agent.
    pub in_flight: u32,
    /// Mean service time of short requests, in microseconds.
    pub service_us: u32,
    /// One past the version of the configuration that the agent has applied; 0 if it has none.
    pub config_offset: u64,
    /// Arrival of the newest heartbeat.
    pub last_heartbeat: Instant,
}

/// The agents, by worker.
#[derive(Debug)]
pub struct Fleet {
    rows: BTreeMap<WorkerId, AgentRow>,
    /// Outcomes of work by worker, for ejection.
    pub outcomes: Outcomes,
    domain: String,
    origin: Instant,
}

impl Fleet {
    /// Creates an empty table for an entry in the failure domain `domain`.
    pub fn new(domain: &str) -> Self {
        Self {
            rows: BTreeMap::new(),
            outcomes: Outcomes::new(),
            domain: domain.to_owned(),
            origin: Instant::now(),
        }
    }

    pub fn rows(&self) -> &BTreeMap<WorkerId, AgentRow> {
        &self.rows
    }

    /// Returns the heartbeat interval at which all agents together stay within the bandwidth budget.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        let agents = self.rows.len() as u64;
        (agents * HEARTBEAT_BYTES * 1_000 / HEARTBEAT_BUDGET_BYTES_PER_S).max(MIN_HEARTBEAT_INTERVAL_MS)
    }

    /// Records a heartbeat; returns the number of the newest report in the table. `connected_at` is when the connection
    /// that delivered it was accepted.
    ///
    /// Returns 0 if it has no report from this incarnation: the agent then sends one. An agent was alive when its
    /// connection was accepted, so a heartbeat of another incarnation than the known one counts only if its connection
    /// is newer, or the known one is lost.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, connected_at: Instant) -> u64 {
        let now = Instant::now();
        let outdated = self.rows.get(&heartbeat.worker).is_some_and(|row| {
            row.incarnation != heartbeat.incarnation && connected_at <= row.connected_at && !self.is_lost(row)
        });
        if outdated {
            return 0;
        }
        let known = self.rows.get_mut(&heartbeat.worker);
        let same_incarnation = known.as_ref().is_some_and(|row| row.incarnation == heartbeat.incarnation);
        let row = match (known, heartbeat.report) {
            (Some(row), None) if row.incarnation == heartbeat.incarnation => row,
            (Some(row), Some(report)) => {
                if row.incarnation == heartbeat.incarnation && heartbeat.report_number < row.report_number {
                    // A newer heartbeat arrived before this one.
                    return row.report_number;
                }
                row.incarnation = heartbeat.incarnation;
                row.report_number = heartbeat.report_number;
                row.report = report;
                row
            }
            (None, Some(report)) => self.rows.entry(heartbeat.worker).or_insert(AgentRow {
                incarnation: heartbeat.incarnation,
                connected_at,
                report_number: heartbeat.report_number,
                report,
                reported_in_flight: 0,
                in_flight: 0,
                service_us: 0,
                config_offset: 0,
                last_heartbeat: now,
            }),
            (_, None) => return 0,
        };
        row.reported_in_flight = heartbeat.in_flight;
        row.service_us = heartbeat.service_us;
        row.config_offset = if same_incarnation {
            row.config_offset.max(heartbeat.config_offset)
        } else {
            heartbeat.config_offset
        };
        row.connected_at = if same_incarnation { row.connected_at.max(connected_at) } else { connected_at };
        row.last_heartbeat = now;
        row.report_number
    }

    /// Records the configuration that a worker's agent acknowledged.
    pub fn record_config_offset(&mut self, worker: &WorkerId, offset: u64) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.config_offset = row.config_offset.max(offset);
        }
    }

    /// Counts a short request that this entry sends to a worker.
    pub fn begin_request(&mut self, worker: &WorkerId) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.in_flight += 1;
        }
    }

    /// Counts the end of a short request that this entry sent to a worker.
    pub fn end_request(&mut self, worker: &WorkerId) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Returns the time since the table was created.
    pub fn now_ms(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Records whether work on a worker succeeded; ejects a worker that fails too often.
    pub fn record_outcome(&mut self, worker: &WorkerId, succeeded: bool) {
        let now_ms = self.now_ms();
        if succeeded {
            self.outcomes.record_success(worker);
        } else if self.outcomes.record_failure(worker, self.rows.len(), now_ms) {
            log::warn!("worker {worker} ejected: too many failures");
        }
    }

    fn is_lost(&self, row: &AgentRow) -> bool {
        let interval = Duration::from_millis(self.heartbeat_interval_ms());
        row.last_heartbeat.elapsed() > interval * MAX_MISSED_HEARTBEATS + LOST_MARGIN
    }

    /// Returns whether a worker is ready for new work, draining, ejected or lost.
    pub fn standing(&self, worker: &WorkerId, row: &AgentRow) -> Standing {
        if self.is_lost(row) {
            Standing::Lost
        } else if row.report.draining {
            Standing::Draining
        } else if self.outcomes.is_ejected(worker, self.now_ms()) {
            Standing::Ejected
        } else {
            Standing::Ready
        }
    }

    /// Returns the workers for the scheduler's tables.
    pub fn workers(&self) -> BTreeMap<WorkerId, Worker> {
        let worker = |(id, row): (&WorkerId, &AgentRow)| {
            let mut worker = Worker::new(row.report.place.clone(), row.report.capacity);
            worker.standing = self.standing(id, row);
            (id.clone(), worker)
        };
        self.rows.iter().map(worker).collect()
    }

    /// Returns the gangs that agents report as unfinished, without those of lost workers.
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

    /// Returns the agents that can take a short request, with their routing data.
    ///
    /// Agents without a configuration are left out.
    pub fn candidates(&self, except: &[WorkerId]) -> Vec<(WorkerId, Candidate)> {
        let ready = self.rows.iter().filter(|(id, row)| {
            !except.contains(id) && self.standing(id, row) == Standing::Ready && row.config_offset > 0
        });
        let candidate = |(id, row): (&WorkerId, &AgentRow)| {
            let candidate = Candidate {
                in_flight: row.in_flight,
                reported_in_flight: row.reported_in_flight,
                slots: row.report.capacity.slots,
                service_ms: f64::from(row.service_us) / 1_000.0,
                same_domain: *row.report.place.domain == self.domain,
            };
            (id.clone(), candidate)
        };
        ready.map(candidate).collect()
    }

    /// Removes workers that have sent no heartbeat for `max_age`.
    pub fn remove_unresponsive(&mut self, max_age: Duration) {
        self.rows.retain(|_, row| row.last_heartbeat.elapsed() < max_age);
    }
}
