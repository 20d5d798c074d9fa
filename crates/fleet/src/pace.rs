//! Speed of subtasks that live on unused processor, so that those that serve beside them keep their targets.

use crate::planner::Planner;

/// Share of a target above which everything that fills beside is paused, in percent: figures are rough and half a
/// second old.
const PAUSE_PERCENT: u64 = 85;

/// Share of a target below which what fills beside may go faster, in percent.
const RAISE_PERCENT: u64 = 60;

/// Step by which speed is raised, in percent.
const RAISE_BY: u64 = 20;

/// Time between two raises on a worker, in milliseconds: a raise shows in the figures after about a second.
const RAISE_EVERY_MS: u64 = 1_200;

impl Planner {
    /// Sets the speed of what fills on each worker from the tail latencies beside it.
    pub(crate) fn set_paces(&mut self, now: u64) {
        for worker in self.workers.values_mut() {
            let step_of = |task: &crate::Task| {
                let job = self.jobs.get(&task.job)?;
                job.sub.steps.get(task.step as usize)
            };
            let fills: Vec<_> = worker
                .running
                .keys()
                .filter(|(task, _)| step_of(task).is_some_and(|step| step.fills))
                .cloned()
                .collect();
            if fills.is_empty() {
                continue;
            }
            // Highest tail latency as a share of its target.
            let strain = worker.running.iter().filter_map(|((task, _), run)| {
                let target = step_of(task)?.target_ms?;
                Some(run.figure * 100 / target.max(1))
            });
            let strain = strain.max().unwrap_or(0);
            let before =
                fills.iter().map(|run| worker.paces.get(run).copied().unwrap_or(100)).min().unwrap_or(100);
            let pace = if strain >= PAUSE_PERCENT {
                0
            } else if strain < RAISE_PERCENT && before < 100 && now >= worker.raised_at + RAISE_EVERY_MS {
                (before + RAISE_BY).min(100)
            } else {
                before
            };
            if pace != before {
                worker.raised_at = now;
                self.poked.insert(worker.agent.clone());
                self.log.push(format!(
                    "event=paced worker={} percent={pace} before={before} strain={strain}",
                    worker.info.life
                ));
            }
            for run in fills {
                worker.paces.insert(run, pace);
            }
        }
    }
}
