//! A flat view of the workers' free resources, ordered by place.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::id::WorkerId;
use crate::shape::{Amount, Shape, Span};
use crate::table::{Placement, Tables};
use crate::topology::{Standing, Worker};

/// A worker's row of the view.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Resources in all; zero while the worker takes nothing new.
    pub total: Amount,
    /// Resources that nothing holds.
    pub free: Amount,
    /// Accelerators that back guarantees.
    pub planned: u32,
}

/// Workers ordered by region, domain, rack and name, with the ranges of each level.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Rows in order of place.
    pub cells: Vec<Cell>,
    index: BTreeMap<WorkerId, usize>,
    rows: Vec<Range<usize>>,
    racks: Vec<Range<usize>>,
    domains: Vec<Range<usize>>,
    regions: Vec<Range<usize>>,
}

impl View {
    /// Creates a view of the whole capacity of the workers that back guarantees.
    pub fn of_capacity(workers: &BTreeMap<WorkerId, Worker>) -> Self {
        Self::build(workers, Worker::backs_guarantees)
    }

    /// Creates a view of the free capacity of the ready workers.
    pub fn of_tables(tables: &Tables) -> Self {
        let mut view = Self::build(&tables.workers, |w| w.standing == Standing::Ready);
        for running in tables.running.values() {
            view.take(&running.demand.shape, &running.placement);
        }
        view
    }

    fn build(workers: &BTreeMap<WorkerId, Worker>, open: impl Fn(&Worker) -> bool) -> Self {
        let mut rows: Vec<(&WorkerId, &Worker)> = workers.iter().collect();
        rows.sort_by(|a, b| (&a.1.place, a.0).cmp(&(&b.1.place, b.0)));
        let cells = rows
            .iter()
            .map(|(id, worker)| {
                let total = if open(worker) { worker.capacity } else { Amount::default() };
                Cell { worker: (*id).clone(), total, free: total, planned: 0 }
            })
            .collect();
        let index = rows.iter().enumerate().map(|(at, (id, _))| ((*id).clone(), at)).collect();
        let ranges = |same: fn(&Worker, &Worker) -> bool| split(&rows, same);
        Self {
            rows: (0..rows.len()).map(|at| at..at + 1).collect(),
            cells,
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

    /// Returns the free amounts of all rows.
    pub fn free(&self) -> Vec<Amount> {
        self.cells.iter().map(|cell| cell.free).collect()
    }

    /// Returns the groups of rows at a level of the topology.
    pub fn groups(&self, span: Span) -> &[Range<usize>] {
        match span {
            Span::Worker => &self.rows,
            Span::Rack => &self.racks,
            Span::Domain => &self.domains,
            Span::Region => &self.regions,
        }
    }

    /// Returns whether the free amounts hold `shape` at `placement`.
    pub fn holds(&self, shape: &Shape, placement: &Placement) -> bool {
        placement.iter().all(|(worker, &tasks)| {
            self.row(worker).is_some_and(|at| self.cells[at].free.holds(shape.each().times(tasks)))
        })
    }

    /// Takes `shape` at `placement` from the free amounts.
    pub fn take(&mut self, shape: &Shape, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(at) = self.row(worker) {
                self.cells[at].free -= shape.each().times(tasks);
            }
        }
    }

    /// Gives `shape` at `placement` back to the free amounts.
    pub fn give(&mut self, shape: &Shape, placement: &Placement) {
        for (worker, &tasks) in placement {
            if let Some(at) = self.row(worker) {
                let cell = &mut self.cells[at];
                cell.free += shape.each().times(tasks);
                cell.free = cell.free.min(cell.total);
            }
        }
    }
}

fn split(rows: &[(&WorkerId, &Worker)], same: fn(&Worker, &Worker) -> bool) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    for at in 1..=rows.len() {
        if at == rows.len() || !same(rows[start].1, rows[at].1) {
            ranges.push(start..at);
            start = at;
        }
    }
    ranges
}
