//! Speed shares of subtasks that use idle CPU, so that serving subtasks on the same worker keep their latency targets.

use crate::planner::Planner;

/// Share of a latency target from which runs on idle CPU are paused, in percent. It is below 100 because the reported
/// latencies are rough and half a second old.
const PAUSE_PERCENT: u64 = 85;

/// Share of a latency target below which runs on idle CPU may be sped up, in percent.
const RAISE_PERCENT: u64 = 60;

/// Amount by which a speed share is raised, in percentage points.
const RAISE_STEP_PERCENT: u64 = 20;

/// Minimum time between a change and the next raise on a worker, in milliseconds: a raise shows in the reported
/// latencies after about a second.
const MIN_RAISE_INTERVAL_MS: u64 = 1_200;

impl Planner {
    /// Sets the speed shares of the runs on idle CPU on each worker from the tail latencies reported there.
    pub(crate) fn set_paces(&mut self, now: u64) {
        for worker in self.workers.values_mut() {
            let step_of = |task: &crate::Task| {
                let job = self.jobs.get(&task.job)?;
                job.sub.steps.get(task.step as usize)
            };
            let runs: Vec<_> = worker
                .running
                .keys()
                .filter(|(task, _)| step_of(task).is_some_and(|step| step.uses_idle_cpu))
                .cloned()
                .collect();
            if runs.is_empty() {
                continue;
            }
            // Highest tail latency as a percentage of its target.
            let strain = worker.running.iter().filter_map(|((task, _), run)| {
                let target = step_of(task)?.target_ms?;
                Some(run.measurement * 100 / target.max(1))
            });
            let strain = strain.max().unwrap_or(0);
            let before =
                runs.iter().map(|run| worker.paces.get(run).copied().unwrap_or(100)).min().unwrap_or(100);
            let pace = if strain >= PAUSE_PERCENT {
                0
            } else if strain < RAISE_PERCENT
                && before < 100
                && now >= worker.pace_changed_at + MIN_RAISE_INTERVAL_MS
            {
                (before + RAISE_STEP_PERCENT).min(100)
            } else {
                before
            };
            if pace != before {
                worker.pace_changed_at = now;
                self.agents_to_wake.insert(worker.agent.clone());
                self.log.push(format!(
                    "event=paced worker={} percent={pace} before={before} strain={strain}",
                    worker.info.incarnation
                ));
            }
            for run in runs {
                worker.paces.insert(run, pace);
            }
        }
    }
}
