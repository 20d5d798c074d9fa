//! A flat view of the workers' free resources, ordered by location.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::id::WorkerId;
use crate::shape::{Amount, Shape, Span};
use crate::table::{Placement, Tables};
use crate::topology::{Standing, Worker};

/// A worker's row of the view.
#[derive(Clone, Debug)]
pub struct WorkerRow {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Total usable resources; zero for a worker that the view excludes.
    pub total: Amount,
    /// Resources that no gang holds.
    pub free: Amount,
    /// Accelerators planned for guarantees.
    pub planned: u32,
}

/// Workers ordered by region, domain, rack and name, with the row ranges of each level.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub worker_rows: Vec<WorkerRow>,
    index: BTreeMap<WorkerId, usize>,
    rows: Vec<Range<usize>>,
    racks: Vec<Range<usize>>,
    domains: Vec<Range<usize>>,
    regions: Vec<Range<usize>>,
}

impl View {
    /// Creates a view with the full capacity of the workers that may back guarantees.
    pub fn with_full_capacity(workers: &BTreeMap<WorkerId, Worker>) -> Self {
        Self::build(workers, Worker::backs_guarantees)
    }

    /// Creates a view with the free capacity of the ready workers.
    pub fn with_free_capacity(tables: &Tables) -> Self {
        let mut view = Self::build(&tables.workers, |w| w.standing == Standing::Ready);
        for running in tables.running.values() {
            view.allocate(&running.demand.shape, &running.placement);
        }
        view
    }

    fn build(workers: &BTreeMap<WorkerId, Worker>, is_usable: impl Fn(&Worker) -> bool) -> Self {
        let mut rows: Vec<(&WorkerId, &Worker)> = workers.iter().collect();
        rows.sort_by(|a, b| (&a.1.place, a.0).cmp(&(&b.1.place, b.0)));
        let worker_rows = rows
            .iter()
            .map(|(id, worker)| {
                let total = if is_usable(worker) { worker.capacity } else { Amount::default() };
                WorkerRow { worker: (*id).clone(), total, free: total, planned: 0 }
            })
            .collect();
        let index = rows.iter().enumerate().map(|(row, (id, _))| ((*id).clone(), row)).collect();
        let ranges = |same_group: fn(&Worker, &Worker) -> bool| group_ranges(&rows, same_group);
        Self {
            rows: (0..rows.len()).map(|row| row..row + 1).collect(),
            worker_rows,
            index,
            racks: ranges(|a, b| a.place == b.place),
            domains: ranges(|a, b| a.place.region == b.place.region && a.place.domain == b.place.domain),
            regions: ranges(|a, b| a.place.region == b.place.region),
        }
    }

    /// Returns the row number of a worker.
    pub fn row(&self, worker: &WorkerId) -> Option<usize> {
        self.index.get(worker).copied()
    }

    /// Returns the free resources of each row.
    pub fn free(&self) -> Vec<Amount> {
        self.worker_rows.iter().map(|worker_row| worker_row.free).collect()
    }

    /// Returns the row range of each group at a level of the topology.
    pub fn groups(&self, span: Span) -> &[Range<usize>] {
        match span {
            Span::Worker => &self.rows,
            Span::Rack => &self.racks,
            Span::Domain => &self.domains,
            Span::Region => &self.regions,
        }
    }

    /// Returns whether `shape` fits the free resources at `placement`.
    pub fn fits(&self, shape: &Shape, placement: &Placement) -> bool {
        placement.iter().all(|(worker, &tasks)| {
            self.row(worker)
                .is_some_and(|row| self.worker_rows[row].free.covers(shape.per_task().times(tasks)))
        })
    }

    /// Subtracts `shape` at `placement` from the free resources.
    pub fn allocate(&mut self, shape: &Shape, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(row) = self.row(worker) {
                self.worker_rows[row].free -= shape.per_task().times(tasks);
            }
        }
    }

    /// Returns `shape` at `placement` to the free resources.
    pub fn release(&mut self, shape: &Shape, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(row) = self.row(worker) {
                let worker_row = &mut self.worker_rows[row];
                worker_row.free += shape.per_task().times(tasks);
                worker_row.free = worker_row.free.min(worker_row.total);
            }
        }
    }
}

fn group_ranges(
    rows: &[(&WorkerId, &Worker)],
    same_group: fn(&Worker, &Worker) -> bool,
) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    for row in 1..=rows.len() {
        if row == rows.len() || !same_group(rows[start].1, rows[row].1) {
            ranges.push(start..row);
            start = row;
        }
    }
    ranges
}
