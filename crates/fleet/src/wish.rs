//! The planner's wish for a worker, told to its agent.

use crate::orders::{Orders, Pace, Start, Stop};
use crate::planner::Planner;
use crate::task::Task;
use crate::unit::Where;

/// Time after which the rest of a gang that is done is stopped, in milliseconds; they end together by themselves.
const DONE_REST_MS: u64 = 2_000;

impl Planner {
    /// Returns the whole wish for an agent's worker and extends its grant; `None` while it has no worker.
    pub fn orders(&mut self, now: u64, agent: &str) -> Option<Orders> {
        let life = self.agents.get(agent)?.worker.clone()?;
        let (stored, grant_ms) = (self.stored, self.timing.grant_ms);
        let worker = self.workers.get_mut(&life)?;
        if worker.ends.1 <= stored {
            worker.seen = worker.ends.0;
        }
        worker.granted_until = worker.granted_until.max(now + grant_ms);
        self.order_number += 1;
        let mut orders =
            Orders { life: life.clone(), number: self.order_number, grant_ms, ..Orders::default() };
        orders.seen = worker.seen;
        let (placed, running) = (worker.placed.clone(), worker.running.keys().cloned().collect::<Vec<_>>());
        for (task, run) in &placed {
            let Some((key, _)) = self.locate(task) else { continue };
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let Some(unit) = job.units.get(&key) else { continue };
            let shown = running.contains(&(task.clone(), *run));
            match unit.at {
                Where::Placed if !shown && unit.placed_in <= stored => orders.starts.push(Start {
                    task: task.clone(),
                    run: *run,
                    spec: job.sub.spec.clone(),
                    saved: unit.saved.clone(),
                    ticket: self.approvals.newest_ticket(&Self::step_key_of(task), &life),
                }),
                Where::Ending | Where::Waiting => orders.stops.push(Stop { task: task.clone(), run: *run }),
                Where::Done if now > unit.since + DONE_REST_MS => {
                    orders.stops.push(Stop { task: task.clone(), run: *run });
                }
                Where::Placed | Where::Done => (),
            }
        }
        let pace = |((task, run), percent): (&(Task, u64), &u64)| Pace {
            task: task.clone(),
            run: *run,
            percent: *percent,
        };
        orders.paces =
            self.workers.get(&life).map(|worker| worker.paces.iter().map(pace).collect()).unwrap_or_default();
        // What nobody planned here was carried out late, or belongs to a run that was given up.
        let strays = running.into_iter().filter(|run| !placed.contains(run));
        orders.stops.extend(strays.map(|(task, run)| Stop { task, run }));
        Some(orders)
    }
}
