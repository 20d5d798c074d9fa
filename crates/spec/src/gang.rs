//! Model of gang commit with leases and epochs: two members, a second attempt on other workers, lost, late and
//! repeated messages, a crash of a member, and pauses longer than the lease.

use std::collections::BTreeSet;

use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_lease::{CommitPoint, Epoch, Member, Phase, RenewalReply};

use crate::check::Model;

/// Lease of members and tasks, in time steps.
const LEASE_STEPS: Millis = 1;

/// Bound of the search, in time steps.
const MAX_TIME: Millis = 4;

/// Epoch of the attempt on the two members.
const EPOCH: u64 = 1;

/// The correct model, or one that breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Breaks no rule.
    Correct,
    /// Breaks the barrier: a member starts its tasks as soon as it holds its slots.
    NoBarrier,
    /// Breaks the rule that the claimant fences an attempt before it starts the next.
    NoFence,
    /// Breaks the rule that a worker stops tasks whose lease has expired.
    NoWorkerLease,
    /// Breaks the rule that a member refuses a reservation for an earlier incarnation of its agent.
    AnyIncarnation,
    /// Breaks the rule that the claimant waits until the leases of members it cannot reach have expired.
    NoLeaseWait,
}

#[derive(Clone, Copy, Debug)]
pub struct GangModel {
    pub variant: Variant,
}

/// Message in flight: a reservation may arrive late and any number of times, the others late or never.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Reserve { member: usize, epoch: u64, incarnation: u64 },
    Renew { member: usize, epoch: u64, incarnation: u64, sent: Millis, finished: bool },
    Reply { member: usize, epoch: u64, incarnation: u64, sent: Millis, finished: bool, reply: RenewalReply },
}

impl Message {
    fn is_renewal_of(&self, of: usize) -> bool {
        match self {
            Self::Renew { member, .. } | Self::Reply { member, .. } => *member == of,
            Self::Reserve { .. } => false,
        }
    }
}

/// Tasks that a member's worker runs under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Task {
    epoch: u64,
    lease_end: Millis,
}

/// State of the whole system; member 0 is the commit point.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Millis,
    members: [Member; 2],
    commit: CommitPoint,
    tasks: [Option<Task>; 2],
    messages: BTreeSet<Message>,
    /// Whether the claimant has started the next attempt, on other workers.
    next_attempt_started: bool,
    /// Whether the claimant has given up the attempt.
    fencing: bool,
    /// Members that the claimant has fenced.
    fenced: BTreeSet<usize>,
    /// Time of the claimant's first fencing.
    fenced_at: Option<Millis>,
    incarnations: [u64; 2],
    /// Epochs that have been committed.
    committed: BTreeSet<u64>,
    /// Greatest fenced epoch of each member; unlike the members' own fences it survives a crash.
    fenced_epochs: [u64; 2],
    /// Whether a member accepted the result of a fenced epoch.
    late_result: bool,
}

fn job() -> JobId {
    JobId::new("j")
}

fn worker(member: usize) -> WorkerId {
    WorkerId::new(["a", "b"][member])
}

impl Model for GangModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            now: 0,
            members: [Member::new(), Member::new()],
            commit: CommitPoint::new(LEASE_STEPS),
            tasks: [None, None],
            messages: BTreeSet::from([
                Message::Reserve { member: 0, epoch: EPOCH, incarnation: 0 },
                Message::Reserve { member: 1, epoch: EPOCH, incarnation: 0 },
            ]),
            next_attempt_started: false,
            fencing: false,
            fenced: BTreeSet::new(),
            fenced_at: None,
            incarnations: [0, 0],
            committed: BTreeSet::new(),
            fenced_epochs: [0, 0],
            late_result: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        for message in &state.messages {
            let mut next = state.clone();
            if !matches!(message, Message::Reserve { .. }) {
                next.messages.remove(message);
            }
            self.deliver(&mut next, message);
            steps.push((format!("deliver {message:?}"), next));
        }
        for member in 0..2 {
            self.member_steps(state, member, &mut steps);
        }
        self.claimant_steps(state, &mut steps);
        if state.now < MAX_TIME {
            steps.push(("time advances".to_owned(), self.advance_time(state)));
        }
        steps.retain(|(_, next)| next != state);
        steps
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        let running: BTreeSet<u64> = state.tasks.iter().flatten().map(|task| task.epoch).collect();
        if !running.is_subset(&state.committed) {
            return Some("no member runs while its gang is not committed");
        }
        if state.next_attempt_started && !running.is_empty() {
            return Some("two attempts never run at the same time");
        }
        if state.late_result {
            return Some("no result of an epoch is accepted after fencing");
        }
        None
    }
}

impl GangModel {
    fn deliver(&self, state: &mut State, message: &Message) {
        match *message {
            Message::Reserve { member, epoch, incarnation } => {
                if incarnation == state.incarnations[member] || self.variant == Variant::AnyIncarnation {
                    self.reserve(state, member, epoch);
                }
            }
            Message::Renew { member, epoch, incarnation, sent, finished } => {
                let reply = state.commit.renew(&job(), Epoch(epoch), &worker(member), finished, state.now);
                record_commit(state);
                state.messages.insert(Message::Reply { member, epoch, incarnation, sent, finished, reply });
            }
            Message::Reply { member, epoch, incarnation, sent, finished, reply } => {
                // A reply reaches only the incarnation that sent the renewal.
                if incarnation == state.incarnations[member] {
                    self.apply_reply(state, member, epoch, sent, finished, reply);
                }
            }
        }
    }

    fn reserve(&self, state: &mut State, member: usize, epoch: u64) {
        let result = state.members[member].reserve(&job(), Epoch(epoch), &worker(0), state.now + LEASE_STEPS);
        if result.is_err() {
            return;
        }
        if member == 0 {
            state.commit.open(&job(), Epoch(epoch), [worker(0), worker(1)], state.now);
        }
        if self.variant == Variant::NoBarrier {
            state.tasks[member] = Some(Task { epoch, lease_end: state.now + LEASE_STEPS });
        }
    }

    fn fence(&self, state: &mut State, member: usize, epoch: u64) {
        if member == 0 {
            state.commit.stop(&job(), Epoch(epoch));
        }
        state.members[member].fence(&job(), Epoch(epoch));
        state.fenced_epochs[member] = state.fenced_epochs[member].max(epoch);
        if state.tasks[member].is_some_and(|task| task.epoch <= epoch) {
            state.tasks[member] = None;
        }
    }

    fn apply_reply(
        &self,
        state: &mut State,
        member: usize,
        epoch: u64,
        sent: Millis,
        finished: bool,
        reply: RenewalReply,
    ) {
        let (now, token) = (state.now, Epoch(epoch));
        let target = &mut state.members[member];
        match reply {
            RenewalReply::Stop => self.fence(state, member, epoch),
            RenewalReply::Wait => {
                // The lease of an expired hold is not extended.
                let _ = target.extend_lease(&job(), token, sent, LEASE_STEPS, now);
            }
            RenewalReply::Go if finished => {
                target.fence(&job(), token);
                state.fenced_epochs[member] = state.fenced_epochs[member].max(epoch);
            }
            RenewalReply::Go => {
                let renewed = target.extend_lease(&job(), token, sent, LEASE_STEPS, now);
                let must_start = renewed.and_then(|()| target.pass_barrier(&job(), token, now));
                let lease_end = target.holds().get(&job()).map_or(now, |hold| hold.lease_end_ms);
                match must_start {
                    Ok(true) => state.tasks[member] = Some(Task { epoch, lease_end }),
                    Ok(false) => {
                        if let Some(task) = &mut state.tasks[member] {
                            task.lease_end = task.lease_end.max(lease_end);
                        }
                    }
                    Err(_) => {}
                }
            }
        }
    }

    fn member_steps(&self, state: &State, member: usize, steps: &mut Vec<(String, State)>) {
        if let Some(hold) = state.members[member].holds().get(&job()) {
            let finished = hold.phase == Phase::Finished;
            let mut next = state.clone();
            let (epoch, incarnation, sent) = (hold.epoch.0, state.incarnations[member], state.now);
            // A new renewal replaces the one in flight, which models the loss of that message or of its reply.
            next.messages.retain(|message| !message.is_renewal_of(member));
            next.messages.insert(Message::Renew { member, epoch, incarnation, sent, finished });
            steps.push((format!("member {member} renews"), next));
            let mut next = state.clone();
            let expired = next.members[member].expire(state.now);
            if !expired.is_empty() {
                next.fenced_epochs[member] = next.fenced_epochs[member].max(epoch);
                next.tasks[member] = None;
                steps.push((format!("lease of member {member} expires"), next));
            }
        }
        if let Some(task) = state.tasks[member] {
            let mut next = state.clone();
            let accepted = next.members[member].mark_finished(&job(), Epoch(task.epoch), state.now).is_ok();
            next.tasks[member] = None;
            next.late_result |= accepted && task.epoch <= state.fenced_epochs[member];
            steps.push((format!("tasks of member {member} end"), next));
        }
        if member == 1 && state.incarnations[1] == 0 {
            // The new incarnation stops the tasks of the old one on the worker and fences their epoch.
            let mut next = state.clone();
            next.members[1] = Member::new();
            next.incarnations[1] += 1;
            if let Some(task) = next.tasks[1].take() {
                next.members[1].fence(&job(), Epoch(task.epoch));
            }
            steps.push(("member 1 crashes and restarts".to_owned(), next));
        }
    }

    fn claimant_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if !state.fencing {
            let mut next = state.clone();
            next.commit.request_commit(&job(), Epoch(EPOCH), state.now);
            record_commit(&mut next);
            steps.push(("claimant requests the commit".to_owned(), next));
            let mut next = state.clone();
            next.fencing = true;
            steps.push(("claimant gives up the attempt".to_owned(), next));
            return;
        }
        for member in 0..2 {
            if !state.fenced.contains(&member) {
                let mut next = state.clone();
                self.fence(&mut next, member, EPOCH);
                next.fenced.insert(member);
                next.fenced_at.get_or_insert(state.now);
                steps.push((format!("claimant stops member {member}"), next));
            }
        }
        if self.may_start_next(state) {
            let mut next = state.clone();
            next.next_attempt_started = true;
            steps.push(("claimant starts the next attempt on other workers".to_owned(), next));
        }
    }

    /// Returns whether the claimant may start the next attempt.
    ///
    /// Once a member is fenced, the commit point stops the gang within one lease, and the other member's lease expires
    /// within a second one.
    fn may_start_next(&self, state: &State) -> bool {
        match self.variant {
            Variant::NoFence => true,
            Variant::NoLeaseWait => !state.fenced.is_empty(),
            _ => {
                let leases_expired = state.fenced_at.is_some_and(|at| state.now >= at + 2 * LEASE_STEPS);
                state.fenced.len() == 2 || leases_expired
            }
        }
    }

    fn advance_time(&self, state: &State) -> State {
        let mut next = state.clone();
        next.now += 1;
        next.commit.expire(next.now);
        if self.variant != Variant::NoWorkerLease {
            for task in &mut next.tasks {
                *task = task.filter(|task| next.now < task.lease_end);
            }
        }
        next
    }
}

fn record_commit(state: &mut State) {
    if let Some((epoch, _)) = state.commit.state(&job())
        && state.commit.ever_committed(&job())
    {
        state.committed.insert(epoch.0);
    }
}
