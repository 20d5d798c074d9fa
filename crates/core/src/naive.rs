//! A baseline scheduler for comparison: first come, first served and first fit, without plan or reservations.

use crate::id::{JobId, WorkerId};
use crate::shape::{Amount, Shape, Span};
use crate::table::{Placement, Tables, Waiting};
use crate::topology::{Place, Standing};

/// Returns the jobs to start, in order of arrival, up to the first that does not fit.
pub fn tick(tables: &Tables) -> Vec<(JobId, Placement)> {
    let mut free = free_amounts(tables);
    let mut jobs: Vec<(&JobId, &Waiting)> = tables.waiting.iter().collect();
    jobs.sort_by_key(|(id, waiting)| (waiting.since_ms, (*id).clone()));
    let mut started = Vec::new();
    for (job, waiting) in jobs {
        let Some(placement) = first_fit(&free, &waiting.demand.shape) else { break };
        for row in &mut free {
            let tasks = placement.get(&row.0).copied().unwrap_or_default();
            row.2 -= waiting.demand.shape.per_task().times(tasks);
        }
        started.push((job.clone(), placement));
    }
    started
}

/// A worker, its location and its free resources.
pub type Row = (WorkerId, Place, Amount);

/// Returns the free resources of each ready worker.
pub fn free_amounts(tables: &Tables) -> Vec<Row> {
    let mut rows = Vec::new();
    for (id, worker) in &tables.workers {
        if worker.standing != Standing::Ready {
            continue;
        }
        let mut free = worker.capacity;
        for running in tables.running.values() {
            free -= running.held(id);
        }
        rows.push((id.clone(), worker.place.clone(), free));
    }
    rows
}

/// Returns the first set of workers within the span of `shape` that fits the gang.
pub fn first_fit(free: &[Row], shape: &Shape) -> Option<Placement> {
    for first in free {
        let mut remaining = shape.tasks;
        let mut placement = Placement::new();
        for row in free.iter().filter(|row| within_span(shape.span, first, row)) {
            let tasks = row.2.tasks(shape.per_task()).min(remaining);
            if tasks > 0 {
                placement.insert(row.0.clone(), tasks);
                remaining -= tasks;
            }
        }
        if remaining == 0 {
            return Some(placement);
        }
    }
    None
}

fn within_span(span: Span, a: &Row, b: &Row) -> bool {
    match span {
        Span::Worker => a.0 == b.0,
        Span::Rack => a.1 == b.1,
        Span::Domain => a.1.region == b.1.region && a.1.domain == b.1.domain,
        Span::Region => a.1.region == b.1.region,
    }
}
