//! Majority reads, which confirm that the state known here is the newest.

use crate::change::Change;
use crate::proposer::PendingChange;
use crate::register::{Register, VoterPhase};
use crate::state_transfer::FULL_STATE;
use protocol::{Ballot, ClusterState, Payload, Read, ReadBack, VoterSet};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How often the state is read until it is confirmed for the first time.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(150);

/// How many reads may be under way: over a slow link the replies to one come after the next was sent.
const MAX_READS: usize = 4;

/// A read under way.
#[derive(Clone, Debug, Hash)]
struct PendingRead {
    nonce: u64,
    sent_at: Duration,
    /// The ballot that the request named as known, and its state.
    known_ballot: Ballot,
    known_state: ClusterState,
    /// Under which ballot each node accepted its state.
    replies: BTreeMap<String, Ballot>,
}

impl PendingRead {
    /// Records what a node accepted last; its state too where it is known here.
    fn record_reply(
        &mut self,
        node: &str,
        accepted_at: Option<Ballot>,
        state: Option<ClusterState>,
    ) -> (Ballot, Option<ClusterState>) {
        let (ballot, state) = match accepted_at {
            Some(ballot) => (ballot, state),
            None => (self.known_ballot.clone(), Some(self.known_state.clone())),
        };
        self.replies.insert(node.to_owned(), ballot.clone());
        (ballot, state)
    }

    /// True where a quorum replied that it accepted its state under this ballot.
    fn has_quorum_at(&self, voter_set: &VoterSet, ballot: &Ballot) -> bool {
        voter_set.is_quorum(|voter| self.replies.get(voter) == Some(ballot))
    }

    /// True where a quorum replied that it accepted nothing under a higher ballot.
    fn has_quorum_up_to(&self, voter_set: &VoterSet, ballot: &Ballot) -> bool {
        voter_set.is_quorum(|voter| self.replies.get(voter).is_some_and(|at| at <= ballot))
    }
}

/// The majority reads of one node.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct MajorityReads {
    /// Reads under way, the earliest first.
    pending: VecDeque<PendingRead>,
    next_read: Duration,
    /// A confirmation was asked for after the read under way had begun.
    repeat: bool,
    /// A reply brought a difference that applies to nothing here: the next read asks for full states.
    needs_full_state: bool,
}

impl MajorityReads {
    fn push(&mut self, read: PendingRead) {
        let excess = (self.pending.len() + 1).saturating_sub(MAX_READS);
        self.pending.drain(..excess);
        self.pending.push_back(read);
    }

    /// Ends the read at this index and all before it.
    fn complete_up_to(&mut self, index: usize) {
        self.pending.drain(..=index);
    }
}

impl Register {
    pub(crate) fn tick_reads(&mut self, now: Duration) {
        if now < self.reads.next_read {
            return;
        }
        self.finish_round_if_split(now);
        self.start_read(now);
    }

    /// Confirms the state by a read that begins now or later: the one under way may have been answered before.
    pub(crate) fn confirm(&mut self, now: Duration) {
        if self.phase != VoterPhase::Active {
            return;
        }
        match self.reads.pending.back() {
            Some(read) if read.sent_at < now => self.reads.repeat = true,
            Some(_) => {}
            None => self.start_read(now),
        }
    }

    fn start_read(&mut self, now: Duration) {
        // Until the first confirmation this node can't do anything: replies may be missing for want of peers.
        let confirm_interval = self.timing.confirm_interval;
        let interval = if self.chosen.confirmed_at.is_some() {
            confirm_interval
        } else {
            confirm_interval.min(FIRST_READ_INTERVAL)
        };
        self.reads.next_read = now + interval;
        self.reads.repeat = false;
        let nonce = self.random.next_u64();
        let since = if std::mem::take(&mut self.reads.needs_full_state) {
            FULL_STATE
        } else {
            self.known_decision_count()
        };
        self.reads.push(PendingRead {
            nonce,
            sent_at: now,
            known_ballot: self.chosen.ballot.clone(),
            known_state: self.chosen.state.clone(),
            replies: BTreeMap::new(),
        });
        self.broadcast(Payload::Read(Read {
            nonce,
            known: self.chosen.ballot.clone(),
            since,
        }));
    }

    /// Proposes to finish a round that was left half done: the last read got a quorum of replies that differ. Of the
    /// nodes that replied, the first by name does it; any other only now and then, once the state is old.
    fn finish_round_if_split(&mut self, now: Duration) {
        let voter_set = self.voter_set();
        let is_split =
            |read: &&PendingRead| voter_set.is_quorum(|voter| read.replies.contains_key(voter));
        let first_replier = self
            .reads
            .pending
            .back()
            .filter(is_split)
            .and_then(|read| read.replies.keys().next());
        let is_first = first_replier == Some(&self.node);
        if is_first
            || (!self.proposer.has_pending() && self.is_state_old(now) && self.random.below(4) == 0)
        {
            self.proposer
                .push(PendingChange::new(now, None, Change::FinishRound));
        }
    }

    fn is_state_old(&self, now: Duration) -> bool {
        self.confirmation_age(now)
            .is_none_or(|age| age > self.timing.confirm_interval * 2)
    }

    pub(crate) fn handle_read_back(&mut self, now: Duration, from: &str, reply: ReadBack) {
        if self.phase != VoterPhase::Active {
            return;
        }
        let ReadBack {
            nonce,
            accepted_at,
            accepted,
            delta,
        } = reply;
        let mut pending = self.reads.pending.iter();
        let Some(index) = pending.position(|read| read.nonce == nonce) else {
            return;
        };
        let has_delta = delta.is_some();
        let state = accepted.or_else(|| self.apply_delta(&delta?));
        if state.is_none() && has_delta {
            self.reads.needs_full_state = true;
            return;
        }
        let read = &mut self.reads.pending[index];
        let sent_at = read.sent_at;
        let (ballot, state) = read.record_reply(from, accepted_at, state);
        // The state itself names those whose quorum makes it chosen.
        let chosen = state.filter(|state| {
            ballot >= self.chosen.ballot && read.has_quorum_at(&state.voter_set, &ballot)
        });
        self.replicas.record_persisted(from, ballot.clone());
        let Some(state) = chosen else {
            self.confirm_by_replies(now);
            return;
        };
        self.reads.complete_up_to(index);
        self.adopt(ballot, state, Some(sent_at));
        self.repeat_read(now);
    }

    /// Confirms the state in force where a quorum of its voters replied that they accepted nothing newer. Had anything
    /// newer been chosen before the read was sent, one of them would have accepted it. Under many changes, and while some
    /// disks lag, no quorum has the same ballot; but the chosen state known here catches up with what each reported.
    pub(crate) fn confirm_by_replies(&mut self, now: Duration) {
        let chosen = &self.chosen;
        let confirms =
            |read: &PendingRead| read.has_quorum_up_to(&chosen.state.voter_set, &chosen.ballot);
        let Some(index) = self.reads.pending.iter().rposition(confirms) else {
            return;
        };
        let sent_at = self.reads.pending[index].sent_at;
        self.reads.complete_up_to(index);
        self.chosen.confirmed_at = self.chosen.confirmed_at.max(Some(sent_at));
        self.repeat_read(now);
    }

    /// Starts the read that was asked for meanwhile.
    fn repeat_read(&mut self, now: Duration) {
        if self.reads.repeat {
            self.start_read(now);
        }
    }
}
