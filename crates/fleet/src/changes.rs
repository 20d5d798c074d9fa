//! Changes of the planner's state on their way to the store.

use std::collections::BTreeSet;

use crate::cancels::CancelKey;
use crate::job::Step;
use crate::planner::Planner;
use crate::record::{self, Record};

/// What has to be stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    pub(crate) new_jobs: BTreeSet<String>,
    pub(crate) changed_jobs: BTreeSet<String>,
    /// Jobs that were cancelled while they were unknown.
    pub(crate) new_cancels: BTreeSet<CancelKey>,
    pub(crate) removals: Vec<Record>,
}

impl Changes {
    fn is_empty(&self) -> bool {
        self.new_jobs.is_empty()
            && self.changed_jobs.is_empty()
            && self.new_cancels.is_empty()
            && self.removals.is_empty()
    }
}

impl Planner {
    /// Drains the records that must be stored, together with their change number.
    pub fn take_changes(&mut self) -> Option<(Vec<Record>, u64)> {
        if self.untaken.is_empty() {
            return None;
        }
        self.taken = std::mem::take(&mut self.untaken);
        let Changes { new_jobs: submitted, changed_jobs: changed, new_cancels, removals } = &self.taken;
        let mut records = removals.clone();
        records.extend(self.digest_record.take());
        let jobs = |names: &BTreeSet<String>| {
            names.iter().filter_map(|name| self.jobs.get(name)).collect::<Vec<_>>()
        };
        let cancels = new_cancels.iter().filter_map(|key| Some((key, self.cancels.get(key)?)));
        let cancels = cancels.map(|(key, cancel)| record::cancel(key, &cancel.stored));
        let encoded = jobs(submitted).into_iter().map(record::submission);
        let encoded = encoded.chain(jobs(changed).into_iter().map(record::progress));
        let encoded = encoded.chain(cancels).collect::<Vec<_>>();
        for record in encoded {
            match record {
                Ok(record) => records.push(record),
                // Serializing plain structs to JSON does not fail; an error here is a bug.
                Err(e) => self.log.push(format!("event=record_failed cause=\"{e}\"")),
            }
        }
        let change = self.change;
        self.change += 1;
        Some((records, change))
    }

    /// Records that all changes up to `change` are stored.
    pub fn record_stored(&mut self, change: u64) {
        self.stored = self.stored.max(change);
        self.taken = Changes::default();
        while let Some((_, line)) = self.end_log.pop_front_if(|(change, _)| *change <= self.stored) {
            self.log.push(line);
        }
    }

    /// Takes back the changes that were taken last, none of which is or will be stored. The next ones contain them.
    pub fn return_changes(&mut self) {
        let Changes { mut new_jobs, mut changed_jobs, mut new_cancels, mut removals } =
            std::mem::take(&mut self.taken);
        new_jobs.append(&mut self.untaken.new_jobs);
        changed_jobs.append(&mut self.untaken.changed_jobs);
        new_cancels.append(&mut self.untaken.new_cancels);
        removals.append(&mut self.untaken.removals);
        self.untaken = Changes { new_jobs, changed_jobs, new_cancels, removals };
    }

    /// Forgets a job that was submitted if nothing of it is stored or being stored; returns whether it did. Nothing of such
    /// a job has run, since its placement takes effect only once it is stored.
    pub fn withdraw(&mut self, name: &str) -> bool {
        if !self.untaken.new_jobs.contains(name) {
            return false;
        }
        let Some(job) = self.jobs.get(name).filter(|job| job.outcome.is_none()) else { return false };
        for (key, unit) in &job.units {
            let reserved = job.sub.steps.get(key.step as usize).map(Step::reserved).unwrap_or_default();
            for (offset, member) in unit.members.iter().enumerate().filter(|(_, member)| !member.released) {
                if let Some(worker) = self.workers.get_mut(&member.worker)
                    && worker.placed.remove(&(key.task(name, offset), unit.run))
                {
                    worker.used -= reserved;
                }
            }
        }
        self.jobs.remove(name);
        self.live.remove(name);
        self.untaken.new_jobs.remove(name);
        self.untaken.changed_jobs.remove(name);
        self.approvals.remove_job(name);
        self.log_line(format!("event=withdrawn job={name}"));
        true
    }

    /// Returns the number of the newest stored change.
    pub fn stored(&self) -> u64 {
        self.stored
    }

    pub(crate) fn mark_changed(&mut self, name: &str) {
        self.untaken.changed_jobs.insert(name.to_owned());
    }
}
