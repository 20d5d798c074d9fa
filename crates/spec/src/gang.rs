//! Gang commit with leases and epochs: two members, a second attempt elsewhere, lost, late and repeated
//! messages, a crash, pauses past the lease.

use std::collections::BTreeSet;

use sorrelland_core::id::{JobId, WorkerId};
use sorrelland_core::policy::Millis;
use sorrelland_lease::{CommitPoint, Epoch, Member, Phase, RenewalReply};

use crate::check::Model;

/// Lease of members, in steps of time.
const LEASE: Millis = 1;

/// Steps of time that are explored.
const HORIZON: Millis = 4;

/// The attempt that is explored.
const EPOCH: u64 = 1;

/// What is left out to show that a property can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing: the protocol as the daemon has it.
    Whole,
    /// A member starts its tasks as soon as it holds, without the barrier.
    NoBarrier,
    /// The claimant starts the next attempt without fencing the one before.
    NoFence,
    /// Workers go on with tasks whose lease has ended.
    NoWorkerLease,
    /// A member takes a reservation that was meant for an earlier life of its agent.
    AnyLife,
    /// The claimant does not wait until silent members must have stopped.
    NoSettling,
}

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct Gang {
    /// What is left out.
    pub variant: Variant,
}

/// A message on its way: a reservation may arrive late and any number of times, the others late or never.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Reserve { member: usize, epoch: u64, life: u64 },
    Renew { member: usize, epoch: u64, life: u64, sent: Millis, finished: bool },
    Answer { member: usize, epoch: u64, life: u64, sent: Millis, finished: bool, verdict: RenewalReply },
}

impl Message {
    fn is_renewal_of(&self, of: usize) -> bool {
        match self {
            Self::Renew { member, .. } | Self::Answer { member, .. } => *member == of,
            Self::Reserve { .. } => false,
        }
    }
}

/// Tasks that a worker runs under a lease.
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
    elsewhere: bool,
    fencing: bool,
    fenced: BTreeSet<usize>,
    fenced_at: Option<Millis>,
    lives: [u64; 2],
    committed: BTreeSet<u64>,
    fenced_epochs: [u64; 2],
    late_result: bool,
}

fn job() -> JobId {
    JobId::new("j")
}

fn worker(member: usize) -> WorkerId {
    WorkerId::new(["a", "b"][member])
}

impl Model for Gang {
    type State = State;

    fn start(&self) -> State {
        State {
            now: 0,
            members: [Member::new(), Member::new()],
            commit: CommitPoint::new(LEASE),
            tasks: [None, None],
            messages: BTreeSet::from([
                Message::Reserve { member: 0, epoch: EPOCH, life: 0 },
                Message::Reserve { member: 1, epoch: EPOCH, life: 0 },
            ]),
            elsewhere: false,
            fencing: false,
            fenced: BTreeSet::new(),
            fenced_at: None,
            lives: [0, 0],
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
        if state.now < HORIZON {
            steps.push(("time passes".to_owned(), self.pass_time(state)));
        }
        steps.retain(|(_, next)| next != state);
        steps
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        let running: BTreeSet<u64> = state.tasks.iter().flatten().map(|task| task.epoch).collect();
        if !running.is_subset(&state.committed) {
            return Some("no member runs while its gang is not committed");
        }
        if state.elsewhere && !running.is_empty() {
            return Some("two attempts never run at the same time");
        }
        if state.late_result {
            return Some("no result of an epoch is accepted after fencing");
        }
        None
    }
}

impl Gang {
    fn deliver(&self, state: &mut State, message: &Message) {
        match *message {
            Message::Reserve { member, epoch, life } => {
                if life == state.lives[member] || self.variant == Variant::AnyLife {
                    self.reserve(state, member, epoch);
                }
            }
            Message::Renew { member, epoch, life, sent, finished } => {
                let verdict = state.commit.renew(&job(), Epoch(epoch), &worker(member), finished, state.now);
                note_commit(state);
                state.messages.insert(Message::Answer { member, epoch, life, sent, finished, verdict });
            }
            Message::Answer { member, epoch, life, sent, finished, verdict } => {
                // An answer reaches the process that asked, or nobody.
                if life == state.lives[member] {
                    self.answer(state, member, epoch, sent, finished, verdict);
                }
            }
        }
    }

    fn reserve(&self, state: &mut State, member: usize, epoch: u64) {
        let held = state.members[member].reserve(&job(), Epoch(epoch), &worker(0), state.now + LEASE);
        if held.is_err() {
            return;
        }
        if member == 0 {
            state.commit.open(&job(), Epoch(epoch), [worker(0), worker(1)], state.now);
        }
        if self.variant == Variant::NoBarrier {
            state.tasks[member] = Some(Task { epoch, lease_end: state.now + LEASE });
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

    fn answer(
        &self,
        state: &mut State,
        member: usize,
        epoch: u64,
        sent: Millis,
        finished: bool,
        verdict: RenewalReply,
    ) {
        let (now, epoch_of) = (state.now, Epoch(epoch));
        let holds = &mut state.members[member];
        match verdict {
            RenewalReply::Stop => self.fence(state, member, epoch),
            RenewalReply::Wait => {
                // A lapsed hold is not extended.
                let _ = holds.extend_lease(&job(), epoch_of, sent, LEASE, now);
            }
            RenewalReply::Go if finished => {
                holds.fence(&job(), epoch_of);
                state.fenced_epochs[member] = state.fenced_epochs[member].max(epoch);
            }
            RenewalReply::Go => {
                let renewed = holds.extend_lease(&job(), epoch_of, sent, LEASE, now);
                let starts = renewed.and_then(|()| holds.pass_barrier(&job(), epoch_of, now));
                let lease_end = holds.holds().get(&job()).map_or(now, |hold| hold.lease_end_ms);
                match starts {
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
            let (epoch, life, sent) = (hold.epoch.0, state.lives[member], state.now);
            // A renewal that is sent again stands for the loss of the one before or of its answer.
            next.messages.retain(|message| !message.is_renewal_of(member));
            next.messages.insert(Message::Renew { member, epoch, life, sent, finished });
            steps.push((format!("member {member} renews"), next));
            let mut next = state.clone();
            let lapsed = next.members[member].expire(state.now);
            if !lapsed.is_empty() {
                next.fenced_epochs[member] = next.fenced_epochs[member].max(epoch);
                next.tasks[member] = None;
                steps.push((format!("member {member} sees its lease end"), next));
            }
        }
        if let Some(task) = state.tasks[member] {
            let mut next = state.clone();
            let accepted = next.members[member].mark_finished(&job(), Epoch(task.epoch), state.now).is_ok();
            next.tasks[member] = None;
            next.late_result |= accepted && task.epoch <= state.fenced_epochs[member];
            steps.push((format!("tasks of member {member} end"), next));
        }
        if member == 1 && state.lives[1] == 0 {
            // The new life finds the tasks of the old one on the worker and stops them.
            let mut next = state.clone();
            next.members[1] = Member::new();
            next.lives[1] += 1;
            if let Some(task) = next.tasks[1].take() {
                next.members[1].fence(&job(), Epoch(task.epoch));
            }
            steps.push(("member 1 crashes and starts again".to_owned(), next));
        }
    }

    fn claimant_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if !state.fencing {
            let mut next = state.clone();
            next.commit.request_commit(&job(), Epoch(EPOCH), state.now);
            note_commit(&mut next);
            steps.push(("claimant asks to commit".to_owned(), next));
            let mut next = state.clone();
            next.fencing = true;
            steps.push(("claimant gives the attempt up".to_owned(), next));
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
        if self.may_go_on(state) {
            let mut next = state.clone();
            next.elsewhere = true;
            steps.push(("claimant starts the next attempt on other workers".to_owned(), next));
        }
    }

    /// A fenced member breaks the gang: the commit point lapses within one lease, the other within another.
    fn may_go_on(&self, state: &State) -> bool {
        match self.variant {
            Variant::NoFence => true,
            Variant::NoSettling => !state.fenced.is_empty(),
            _ => {
                let settled = state.fenced_at.is_some_and(|at| state.now >= at + 2 * LEASE);
                state.fenced.len() == 2 || settled
            }
        }
    }

    fn pass_time(&self, state: &State) -> State {
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

fn note_commit(state: &mut State) {
    if let Some((epoch, _)) = state.commit.state(&job())
        && state.commit.ever_committed(&job())
    {
        state.committed.insert(epoch.0);
    }
}
