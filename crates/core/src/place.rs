//! Best-fit placement of a gang, on as narrow a level of the topology as possible.

use std::ops::Range;

use crate::shape::{Amount, Shape, Span};
use crate::table::Placement;
use crate::view::View;

/// Finds workers for `shape` within `amounts`, one amount for each row of `view`.
///
/// The narrowest level of the topology that fits the gang is used. At that level the group with the fewest
/// free resources is chosen, so that large free areas are not fragmented.
///
/// # Panics
///
/// Panics if `amounts` has fewer entries than the view has rows.
pub fn find(view: &View, shape: &Shape, amounts: &[Amount]) -> Option<Placement> {
    let per_task = shape.per_task();
    let task_capacity: Vec<u32> = amounts[..view.worker_rows.len()]
        .iter()
        .map(|amount| amount.tasks(per_task).min(shape.tasks))
        .collect();
    if u64::from(shape.tasks) > task_capacity.iter().map(|&tasks| u64::from(tasks)).sum() {
        return None;
    }
    for span in [Span::Worker, Span::Rack, Span::Domain, Span::Region] {
        if span > shape.span {
            return None;
        }
        if let Some(group) = best_fit_group(view, shape, amounts, &task_capacity, span) {
            return Some(assign_tasks(view, shape, amounts, &task_capacity, group));
        }
    }
    None
}

/// Returns whether `shape` would fit if none of the view's workers ran anything.
pub fn fits_empty(view: &View, shape: &Shape) -> bool {
    let totals: Vec<Amount> = view.worker_rows.iter().map(|row| row.total).collect();
    find(view, shape, &totals).is_some()
}

/// Rank of a group: free accelerators, accelerators planned for guarantees, free accelerators of the
/// enclosing group, free slots. The lowest is the best.
type Score = (u32, u32, u32, u32);

/// Returns the group with the fewest free accelerators that fits the shape.
///
/// Ties go to the group with the fewest accelerators planned for guarantees, where a gang of several tasks is
/// least likely to be preempted, and then to the one whose enclosing group has the fewest free accelerators.
fn best_fit_group(
    view: &View,
    shape: &Shape,
    amounts: &[Amount],
    task_capacity: &[u32],
    span: Span,
) -> Option<Range<usize>> {
    let enclosing_free = match span {
        Span::Worker => free_at_level(view, Span::Rack),
        Span::Rack => free_at_level(view, Span::Domain),
        Span::Domain | Span::Region => free_at_level(view, Span::Region),
    };
    let mut best: Option<(Score, Range<usize>)> = None;
    for group in view.groups(span).iter().cloned() {
        let tasks: u32 = task_capacity[group.clone()].iter().sum();
        if tasks < shape.tasks {
            continue;
        }
        let accelerators: u32 = amounts[group.clone()].iter().map(|a| a.accelerators).sum();
        let slots: u32 = amounts[group.clone()].iter().map(|a| a.slots).sum();
        let planned = match shape.tasks {
            1 => 0,
            _ => view.worker_rows[group.clone()].iter().map(|row| row.planned).sum(),
        };
        let score = (accelerators, planned, enclosing_free[group.start], slots);
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            best = Some((score, group));
        }
    }
    best.map(|(_, group)| group)
}

/// Returns for each row the free accelerators of its group at the level `span`.
fn free_at_level(view: &View, span: Span) -> Vec<u32> {
    let mut free_by_row = vec![0; view.worker_rows.len()];
    for group in view.groups(span).iter().cloned() {
        let free: u32 = view.worker_rows[group.clone()].iter().map(|row| row.free.accelerators).sum();
        free_by_row[group].fill(free);
    }
    free_by_row
}

/// Assigns the tasks to the rows of a group, on as few rows as possible.
///
/// Rows with the largest task capacity are filled first; the last one is the smallest that fits the rest.
fn assign_tasks(
    view: &View,
    shape: &Shape,
    amounts: &[Amount],
    task_capacity: &[u32],
    group: Range<usize>,
) -> Placement {
    let mut rows: Vec<usize> = group.filter(|&row| task_capacity[row] > 0).collect();
    rows.sort_by_key(|&row| (std::cmp::Reverse(task_capacity[row]), amounts[row], row));
    let mut remaining = shape.tasks;
    let mut placement = Placement::new();
    let mut next = 0;
    while remaining > 0 && next < rows.len() {
        let row = match smallest_sufficient_row(&rows[next..], task_capacity, amounts, remaining) {
            Some(row) => row,
            None => rows[next],
        };
        let tasks = task_capacity[row].min(remaining);
        placement.insert(view.worker_rows[row].worker.clone(), tasks);
        remaining -= tasks;
        next += 1;
    }
    placement
}

fn smallest_sufficient_row(
    rows: &[usize],
    task_capacity: &[u32],
    amounts: &[Amount],
    remaining: u32,
) -> Option<usize> {
    let sufficient = rows.iter().copied().filter(|&row| task_capacity[row] >= remaining);
    sufficient.min_by_key(|&row| (amounts[row].accelerators, amounts[row].slots, row))
}
