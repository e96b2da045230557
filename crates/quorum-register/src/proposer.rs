//! The proposer's state, and the changes that wait for a decision.

use crate::change::{Change, Decision};
use crate::event::Effect;
use crate::register::{Register, VoterPhase};
use crate::round::Round;
use protocol::{Ballot, ClusterState};
use result_code::ResultCode;
use std::collections::VecDeque;
use std::time::Duration;

/// How many changes may wait here; more are rejected.
const MAX_PENDING_CHANGES: usize = 64;
/// How many changes one round takes along.
pub(crate) const MAX_CHANGES_PER_ROUND: usize = 16;

/// A change that waits for its decision.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingChange {
    /// None where nobody waits for the decision.
    pub(crate) request_id: Option<u64>,
    pub(crate) change: Change,
    submitted_at: Duration,
    /// True once some voter may have accepted it.
    pub(crate) proposed: bool,
}

impl PendingChange {
    pub(crate) fn new(submitted_at: Duration, request_id: Option<u64>, change: Change) -> Self {
        PendingChange {
            request_id,
            change,
            submitted_at,
            proposed: false,
        }
    }

    /// Digest of the configuration that it brings.
    fn digest(&self) -> Option<&String> {
        match &self.change {
            Change::Configuration { digest, .. } => Some(digest),
            _ => None,
        }
    }

    /// What becomes of it where it has waited too long.
    fn timeout_code(&self) -> ResultCode {
        if self.proposed {
            ResultCode::ChangeOutcomeUnknown
        } else {
            ResultCode::StaleView
        }
    }
}

/// The state of one proposer.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Proposer {
    pub(crate) round: Round,
    /// The highest round number seen in any ballot.
    highest_round: u64,
    pub(crate) pending: VecDeque<PendingChange>,
    /// Rounds lost since the last that was won.
    pub(crate) consecutive_losses: u32,
}

impl Proposer {
    /// A proposer that goes on above this round number.
    pub(crate) fn new(highest_round: u64) -> Proposer {
        Proposer {
            highest_round,
            ..Proposer::default()
        }
    }

    /// Takes note of a ballot's round number: the next ballot from here is higher.
    pub(crate) fn observe_round(&mut self, ballot: &Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// The round number of the next ballot from here.
    pub(crate) fn next_round(&mut self) -> u64 {
        self.highest_round += 1;
        self.highest_round
    }

    /// The state that waits for a quorum's acceptance.
    pub(crate) fn proposed_state(&self) -> Option<&ClusterState> {
        match &self.round {
            Round::Accepting(phase) => Some(&phase.state),
            Round::Idle | Round::BackingOff { .. } | Round::Preparing(_) => None,
        }
    }

    pub(crate) fn push(&mut self, change: PendingChange) {
        self.pending.push_back(change);
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_CHANGES
    }

    fn is_pending(&self, change: &Change) -> bool {
        self.pending.iter().any(|pending| pending.change == *change)
    }

    /// Digests of the configurations that pending changes bring.
    pub(crate) fn pending_digests(&self) -> impl Iterator<Item = String> {
        self.pending
            .iter()
            .filter_map(|pending| pending.digest().cloned())
    }

    /// Digests of the configurations that the next round proposes for the first time.
    pub(crate) fn unproposed_digests(&self) -> Vec<String> {
        self.pending
            .iter()
            .take(MAX_CHANGES_PER_ROUND)
            .filter(|pending| !pending.proposed)
            .filter_map(|pending| pending.digest().cloned())
            .collect()
    }

    /// Removes the changes that have waited for too long.
    fn take_timed_out(&mut self, now: Duration, timeout: Duration) -> Vec<PendingChange> {
        let (timed_out, rest): (Vec<PendingChange>, Vec<PendingChange>) = self
            .pending
            .drain(..)
            .partition(|pending| now >= pending.submitted_at + timeout);
        self.pending.extend(rest);
        timed_out
    }
}

impl Register {
    /// Takes in an operator's change, or rejects it.
    pub(crate) fn submit(
        &mut self,
        now: Duration,
        request_id: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    ) {
        let rejection = match self.phase {
            VoterPhase::Active if self.proposer.has_capacity() => None,
            VoterPhase::Active => Some(ResultCode::TooManyPendingChanges),
            _ => Some(ResultCode::StaleView),
        };
        if let Some(code) = rejection {
            self.report_decision(Some(request_id), self.decision_without_effect(code));
            return;
        }
        self.proposer
            .push(PendingChange::new(now, Some(request_id), change));
        if let Some(bytes) = bytes {
            self.store_configuration(protocol::digest(&bytes), bytes);
        }
        self.tick_round(now);
    }

    /// Takes in a change that nobody waits for. It is dropped where there is no capacity, or the same is pending.
    pub(crate) fn propose(&mut self, now: Duration, change: Change) {
        let is_accepted = self.phase == VoterPhase::Active
            && self.proposer.has_capacity()
            && !self.proposer.is_pending(&change);
        if is_accepted {
            self.proposer.push(PendingChange::new(now, None, change));
            self.tick_round(now);
        }
    }

    fn decision_without_effect(&self, code: ResultCode) -> Decision {
        Decision {
            code,
            revision: self.chosen.state.revision,
        }
    }

    pub(crate) fn report_decision(&mut self, request_id: Option<u64>, decision: Decision) {
        if let Some(request_id) = request_id {
            self.effects.push(Effect::Decided {
                request_id,
                decision,
            });
        }
    }

    pub(crate) fn tick_round(&mut self, now: Duration) {
        let timeout = self.timing.phase_timeout;
        match &self.proposer.round {
            Round::Idle if self.proposer.has_pending() => self.start_round(now),
            Round::BackingOff { until } if now >= *until => self.proposer.round = Round::Idle,
            Round::Preparing(phase) if now >= phase.started_at + timeout => self.back_off(now),
            Round::Accepting(phase) if now >= phase.started_at + timeout => self.back_off(now),
            Round::Preparing(phase) if now >= phase.retry_at => self.retry_prepares(now),
            Round::Accepting(phase) if now >= phase.retry_at => self.retry_accepts(now),
            _ => {}
        }
        self.time_out_changes(now);
    }

    fn time_out_changes(&mut self, now: Duration) {
        let timed_out = self
            .proposer
            .take_timed_out(now, self.timing.change_timeout);
        if timed_out.is_empty() {
            return;
        }
        // The round under way may carry one of them, and its decision must not be reported twice.
        self.back_off(now);
        for pending in timed_out {
            let decision = self.decision_without_effect(pending.timeout_code());
            self.report_decision(pending.request_id, decision);
        }
    }
}
