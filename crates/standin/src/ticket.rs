//! Tickets of the policy service's stand-in, which the workers' stand-ins check.

use crate::clock::wall_ms;

/// Text of a job whose subtasks need a ticket.
pub const NEEDS_TICKET: &str = "needs_ticket";

const SEPARATOR: char = '|';

/// Issues a ticket of a step on a worker, valid for `valid_ms`.
pub fn issue(step: &str, worker: &str, valid_ms: u64) -> String {
    let issued_ms = wall_ms();
    format!("{step}{SEPARATOR}{worker}{SEPARATOR}{issued_ms}{SEPARATOR}{}", issued_ms + valid_ms)
}

/// Returns whether a ticket allows a subtask on a worker that started at `started_ms`, in milliseconds since 1970.
pub fn allows(ticket: &str, task: &str, worker: &str, started_ms: u64) -> bool {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    let fields: Vec<&str> = ticket.split(SEPARATOR).collect();
    let [of_step, of_worker, issued_ms, valid_until_ms] = fields[..] else { return false };
    let (Ok(issued_ms), Ok(valid_until_ms)) = (issued_ms.parse::<u64>(), valid_until_ms.parse::<u64>())
    else {
        return false;
    };
    of_step == step && of_worker == worker && issued_ms >= started_ms && wall_ms() < valid_until_ms
}
