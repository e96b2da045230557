//! The accept phase of a round: a state is proposed to those that promised, and is chosen once a quorum accepted it.

use crate::apply::{apply, apply_to_voters};
use crate::change::{Change, Decision};
use crate::proposer::MAX_CHANGES_PER_ROUND;
use crate::register::Register;
use crate::round::{
    AcceptPhase, ProposedDecision, RETRY_INTERVAL, Round, highest_lease_epoch, newest_promise,
};
use crate::state_transfer::{FULL_STATE, TransferredState};
use protocol::{Accept, AcceptDelta, Accepted, Ballot, ClusterState, ConfigurationBytes};
use protocol::{Payload, Prepare};
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Register {
    /// Proposes the newest promised state with the pending changes applied.
    pub(crate) fn start_accepting(&mut self, now: Duration) {
        let Round::Preparing(prepared) = std::mem::take(&mut self.proposer.round) else {
            return;
        };
        let newest = newest_promise(&prepared.promises)
            .cloned()
            .unwrap_or_default();
        let is_chosen =
            self.chosen.confirmed_at.is_some() && newest.accepted_at == self.chosen.ballot;
        let mut state = newest.accepted;
        let decided_before = state.decided;
        let decisions = self.apply_pending_changes(&mut state, is_chosen);
        self.proposer.round = Round::Accepting(AcceptPhase {
            ballot: prepared.ballot,
            round_started_at: prepared.started_at,
            started_at: now,
            retry_at: now + RETRY_INTERVAL,
            state,
            lease_epoch: highest_lease_epoch(&prepared.promises),
            decided_before,
            disks: BTreeMap::new(),
            decisions,
            accepted_by: BTreeSet::new(),
        });
        for (voter, promise) in prepared.promises {
            self.send_accept(&voter, promise.disk, promise.since);
        }
    }

    /// Applies the changes of one round. After a change of the voters the state is not one that is known to be chosen.
    fn apply_pending_changes(
        &mut self,
        state: &mut ClusterState,
        mut is_chosen: bool,
    ) -> Vec<ProposedDecision> {
        let mut decisions = Vec::new();
        let pending_changes = self.proposer.pending.iter_mut();
        for pending in pending_changes.take(MAX_CHANGES_PER_ROUND) {
            pending.proposed = true;
            let decision = apply_any(state, &pending.change, is_chosen);
            if pending.change.is_voter_change() && decision.code == ResultCode::Success {
                is_chosen = false;
            }
            decisions.push(ProposedDecision {
                request_id: pending.request_id,
                decision,
            });
        }
        decisions
    }

    /// Proposes the round's state to a voter that promised, as a difference to the voter's own where that is possible.
    pub(crate) fn send_accept(&mut self, voter: &str, disk: u64, since: Option<u64>) {
        let Round::Accepting(phase) = &mut self.proposer.round else {
            return;
        };
        phase.disks.insert(voter.to_owned(), disk);
        let ballot = phase.ballot.clone();
        let lease_epoch = phase.lease_epoch;
        let since = since.filter(|_| voter != self.node);
        let body = match TransferredState::encode(&phase.state, since) {
            TransferredState::Delta(delta) => Payload::AcceptDelta(AcceptDelta {
                ballot,
                delta,
                disk,
                lease_epoch,
            }),
            TransferredState::Full(state) => Payload::Accept(Accept {
                ballot,
                state,
                disk,
                lease_epoch,
            }),
        };
        self.send(voter, body);
    }

    /// Proposes the round's state again to the voters that haven't accepted it.
    pub(crate) fn retry_accepts(&mut self, now: Duration) {
        let Round::Accepting(phase) = &mut self.proposer.round else {
            return;
        };
        phase.retry_at = now + RETRY_INTERVAL;
        let decided_before = phase.decided_before;
        let unanswered: Vec<(String, u64)> = phase
            .disks
            .iter()
            .filter(|(voter, _)| !phase.accepted_by.contains(*voter))
            .map(|(voter, disk)| (voter.clone(), *disk))
            .collect();
        for (voter, disk) in unanswered {
            // A voter to whose state the difference doesn't apply asks for the full state.
            let accepts_deltas = self.replicas.accepts_deltas(&voter);
            self.send_accept(&voter, disk, accepts_deltas.then_some(decided_before));
        }
    }

    pub(crate) fn handle_accepted(&mut self, now: Duration, from: &str, reply: Accepted) {
        self.proposer.observe_round(&reply.promised);
        if reply.done {
            self.replicas.record_persisted(from, reply.ballot.clone());
        }
        let Round::Accepting(phase) = &mut self.proposer.round else {
            return;
        };
        if phase.ballot != reply.ballot {
            return;
        }
        if reply.needs_state {
            if let Some(disk) = phase.disks.get(from).copied() {
                self.send_accept(from, disk, FULL_STATE);
            }
        } else if reply.needs_configuration {
            let digest = phase.state.digest.clone();
            self.send_configuration_then_prepare(from, digest, reply.ballot);
        } else if !reply.done {
            self.back_off(now);
        } else {
            phase.accepted_by.insert(from.to_owned());
            let voter_set = &phase.state.voter_set;
            if voter_set.is_quorum(|voter| phase.accepted_by.contains(voter)) {
                self.complete_round();
            }
        }
    }

    /// A voter lacks the configuration's bytes: sends them, and asks for its promise again.
    fn send_configuration_then_prepare(&mut self, voter: &str, digest: String, ballot: Ballot) {
        let Some(compressed) = self.configurations.compressed(&digest) else {
            // The state was taken over from an earlier round; only other voters have the bytes.
            self.request_configuration(digest);
            return;
        };
        let configuration = ConfigurationBytes { digest, compressed };
        self.send(voter, Payload::ConfigurationBytes(configuration));
        let since = self.known_decision_count();
        self.send(voter, Payload::Prepare(Prepare { ballot, since }));
    }

    /// A quorum accepted the round's state: it is chosen.
    fn complete_round(&mut self) {
        self.proposer.consecutive_losses = 0;
        let Round::Accepting(phase) = std::mem::take(&mut self.proposer.round) else {
            return;
        };
        self.proposer.pending.drain(..phase.decisions.len());
        self.adopt(
            phase.ballot.clone(),
            phase.state.clone(),
            Some(phase.round_started_at),
        );
        self.broadcast_chosen(
            &phase.ballot,
            &phase.state,
            phase.decided_before,
            &phase.disks,
        );
        for proposed in phase.decisions {
            self.report_decision(proposed.request_id, proposed.decision);
        }
    }
}

/// Applies a change of any kind.
fn apply_any(state: &mut ClusterState, change: &Change, is_chosen: bool) -> Decision {
    if !change.is_voter_change() {
        return apply(state, change);
    }
    Decision {
        code: apply_to_voters(state, change, is_chosen),
        revision: state.revision,
    }
}
