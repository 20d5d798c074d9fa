//! Computes the assignments of a worker.

use std::collections::BTreeSet;

use crate::assignments::{Assignments, Pace, Start, Stop};
use crate::planner::Planner;
use crate::task::Task;
use crate::unit::UnitState as State;

/// Time after which the remaining members of a gang that is done are stopped, in milliseconds; normally they end
/// together without a stop.
const GANG_END_GRACE_MS: u64 = 2_000;

impl Planner {
    /// Returns the complete assignments of an agent's worker and extends its grant; `None` while the agent names no
    /// worker.
    pub fn assignments(&mut self, now: u64, agent: &str) -> Option<Assignments> {
        let incarnation = self.agents.get(agent).filter(|agent| agent.knows_worker)?.worker.clone()?;
        let (stored, grant_ms) = (self.stored, self.timing.grant_ms);
        let worker = self.workers.get_mut(&incarnation)?;
        if worker.applied_end.1 <= stored {
            worker.acknowledged_end = worker.applied_end.0;
        }
        worker.granted_until = worker.granted_until.max(now + grant_ms);
        self.assignments_number += 1;
        let mut assigned = Assignments {
            incarnation: incarnation.clone(),
            number: self.assignments_number,
            capacity: worker.info.capacity,
            grant_ms,
            ..Assignments::default()
        };
        assigned.acknowledged = worker.acknowledged_end;
        let (placed, running) = (worker.placed.clone(), worker.running.keys().cloned().collect::<Vec<_>>());
        for (task, run) in &placed {
            let Some((key, _)) = self.unit_of(task) else { continue };
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let Some(unit) = job.units.get(&key) else { continue };
            let reported = running.contains(&(task.clone(), *run));
            match unit.state {
                State::Placed if !reported && unit.placed_in <= stored => assigned.starts.push(Start {
                    task: task.clone(),
                    run: *run,
                    spec: job.sub.spec.clone(),
                    saved: unit.saved.clone(),
                    ticket: self.approvals.newest_ticket(&Self::step_key_of(task), &incarnation),
                }),
                State::Ending | State::Waiting => assigned.stops.push(Stop { task: task.clone(), run: *run }),
                State::Done if now > unit.since + GANG_END_GRACE_MS => {
                    assigned.stops.push(Stop { task: task.clone(), run: *run });
                }
                State::Placed | State::Done => (),
            }
        }
        let pace = |((task, run), percent): (&(Task, u64), &u64)| Pace {
            task: task.clone(),
            run: *run,
            percent: *percent,
        };
        assigned.paces = self
            .workers
            .get(&incarnation)
            .map(|worker| worker.paces.iter().map(pace).collect())
            .unwrap_or_default();
        // A run that is not placed here was started late, or the planner has given it up.
        let mut unexpected: BTreeSet<_> = running.into_iter().filter(|run| !placed.contains(run)).collect();
        unexpected.extend(self.given_up.get(&incarnation).into_iter().flatten().cloned());
        assigned.stops.extend(unexpected.into_iter().map(|(task, run)| Stop { task, run }));
        Some(assigned)
    }
}
