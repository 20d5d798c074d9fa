//! Best adjacent fit of a gang on given amounts.

use std::ops::Range;

use crate::shape::{Amount, Shape, Span};
use crate::table::Placement;
use crate::view::View;

/// Finds workers for `shape` within `amounts`, one amount for each row of `view`.
///
/// The narrowest level of the topology that holds the gang wins. At that level the group with the least
/// room left over is taken, so that large free areas stay whole.
///
/// # Panics
///
/// Panics if `amounts` has fewer entries than the view has rows.
pub fn find(view: &View, shape: &Shape, amounts: &[Amount]) -> Option<Placement> {
    let each = shape.each();
    let room: Vec<u32> =
        amounts[..view.cells.len()].iter().map(|amount| amount.tasks(each).min(shape.tasks)).collect();
    if u64::from(shape.tasks) > room.iter().map(|&tasks| u64::from(tasks)).sum() {
        return None;
    }
    for span in [Span::Worker, Span::Rack, Span::Domain, Span::Region] {
        if span > shape.span {
            return None;
        }
        if let Some(group) = tightest(view, shape, amounts, &room, span) {
            return Some(fill(view, shape, amounts, &room, group));
        }
    }
    None
}

/// Returns whether an empty fleet of the view's workers could hold `shape`.
pub fn fits_empty(view: &View, shape: &Shape) -> bool {
    let totals: Vec<Amount> = view.cells.iter().map(|cell| cell.total).collect();
    find(view, shape, &totals).is_some()
}

/// What a group would leave over: accelerators, planned accelerators, accelerators around it, slots.
type Score = (u32, u32, u32, u32);

/// Returns the group with the least room left over.
///
/// Among equals it takes the one with the least planned for guarantees, where nobody can break the gang up, and
/// then the one in the fullest part of the level above.
fn tightest(
    view: &View,
    shape: &Shape,
    amounts: &[Amount],
    room: &[u32],
    span: Span,
) -> Option<Range<usize>> {
    let around = match span {
        Span::Worker => free_around(view, Span::Rack),
        Span::Rack => free_around(view, Span::Domain),
        Span::Domain | Span::Region => free_around(view, Span::Region),
    };
    let mut best: Option<(Score, Range<usize>)> = None;
    for group in view.groups(span).iter().cloned() {
        let tasks: u32 = room[group.clone()].iter().sum();
        if tasks < shape.tasks {
            continue;
        }
        let accelerators: u32 = amounts[group.clone()].iter().map(|a| a.accelerators).sum();
        let slots: u32 = amounts[group.clone()].iter().map(|a| a.slots).sum();
        let planned = match shape.tasks {
            1 => 0,
            _ => view.cells[group.clone()].iter().map(|cell| cell.planned).sum(),
        };
        let left = (accelerators, planned, around[group.start], slots);
        if best.as_ref().is_none_or(|(least, _)| left < *least) {
            best = Some((left, group));
        }
    }
    best.map(|(_, group)| group)
}

/// Returns for each row the free accelerators of its group at a level.
fn free_around(view: &View, span: Span) -> Vec<u32> {
    let mut around = vec![0; view.cells.len()];
    for group in view.groups(span).iter().cloned() {
        let free: u32 = view.cells[group.clone()].iter().map(|cell| cell.free.accelerators).sum();
        around[group].fill(free);
    }
    around
}

/// Spreads the tasks over the rows of a group: the fullest use of few rows first, then the tightest last row.
fn fill(view: &View, shape: &Shape, amounts: &[Amount], room: &[u32], group: Range<usize>) -> Placement {
    let mut rows: Vec<usize> = group.filter(|&at| room[at] > 0).collect();
    rows.sort_by_key(|&at| (std::cmp::Reverse(room[at]), amounts[at], at));
    let mut left = shape.tasks;
    let mut placement = Placement::new();
    let mut next = 0;
    while left > 0 && next < rows.len() {
        let at = match last_row(&rows[next..], room, amounts, left) {
            Some(at) => at,
            None => rows[next],
        };
        let tasks = room[at].min(left);
        placement.insert(view.cells[at].worker.clone(), tasks);
        left -= tasks;
        next += 1;
    }
    placement
}

fn last_row(rows: &[usize], room: &[u32], amounts: &[Amount], left: u32) -> Option<usize> {
    let enough = rows.iter().copied().filter(|&at| room[at] >= left);
    enough.min_by_key(|&at| (amounts[at].accelerators, amounts[at].slots, at))
}
