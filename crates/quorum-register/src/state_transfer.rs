//! States that are sent as a difference to an earlier one. Each request names how many decided submissions the sender's
//! own state knows of; the reply leaves those out. A receiver that has no state to which the difference applies asks for
//! the full state.

use crate::register::{Register, VoterPhase};
use protocol::{
    Accept, AcceptDelta, Ballot, Chosen, ChosenDelta, ClusterState, Payload, Prepare, Promise,
    StateDelta,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a request's `since` says where full states are wanted.
pub(crate) const FULL_STATE: Option<u64> = Some(0);

/// A state as it is sent.
pub(crate) enum TransferredState {
    Full(ClusterState),
    Delta(StateDelta),
}

impl TransferredState {
    /// A state for a receiver that knows of so many decided submissions: as a difference where that is possible.
    pub(crate) fn encode(state: &ClusterState, since: Option<u64>) -> TransferredState {
        match since.and_then(|since| StateDelta::since(state, since)) {
            Some(delta) => TransferredState::Delta(delta),
            None => TransferredState::Full(state.clone()),
        }
    }

    /// The two fields of a message, of which one is set.
    pub(crate) fn into_fields(self) -> (Option<ClusterState>, Option<StateDelta>) {
        match self {
            TransferredState::Full(state) => (Some(state), None),
            TransferredState::Delta(delta) => (None, Some(delta)),
        }
    }
}

impl Register {
    /// How many decided submissions are known here. A chosen state goes first: every later state descends from it.
    pub(crate) fn known_decision_count(&self) -> Option<u64> {
        let state = match &self.phase {
            VoterPhase::Recovering(recovery) => &recovery.base,
            _ if self.chosen.ballot > Ballot::default() => &self.chosen.state,
            _ => &self.acceptor.latest.accepted,
        };
        Some(state.decided)
    }

    /// The full state that a difference stands for, where a state is known here to which it applies.
    pub(crate) fn apply_delta(&self, delta: &StateDelta) -> Option<ClusterState> {
        let recovery_base = match &self.phase {
            VoterPhase::Recovering(recovery) => Some(&recovery.base),
            _ => None,
        };
        [&self.acceptor.latest.accepted, &self.chosen.state]
            .into_iter()
            .chain(recovery_base)
            .find_map(|base| delta.apply_to(base))
    }

    /// A promise with its full state. Where no state known here fits, the promise is requested again.
    pub(crate) fn with_full_state(&mut self, from: &str, mut promise: Promise) -> Option<Promise> {
        let Some(delta) = promise.delta.take() else {
            return Some(promise);
        };
        let Some(state) = self.apply_delta(&delta) else {
            let prepare = Prepare {
                ballot: promise.ballot,
                since: FULL_STATE,
            };
            self.send(from, Payload::Prepare(prepare));
            return None;
        };
        promise.accepted = state;
        Some(promise)
    }

    pub(crate) fn handle_accept_delta(&mut self, from: &str, accept: AcceptDelta) {
        let AcceptDelta {
            ballot,
            delta,
            disk,
            lease_epoch,
        } = accept;
        let Some(state) = self.apply_delta(&delta) else {
            self.request_full_state(from, ballot, disk);
            return;
        };
        let accept = Accept {
            ballot,
            state,
            disk,
            lease_epoch,
        };
        self.handle_accept(from, accept);
    }

    /// A state was chosen under a ballot. Where it is not known here, it is read.
    pub(crate) fn handle_chosen_delta(&mut self, now: Duration, chosen: ChosenDelta) {
        let ChosenDelta { ballot, delta } = chosen;
        if ballot <= self.chosen.ballot {
            return;
        }
        let latest = &self.acceptor.latest;
        let state = if latest.accepted_at == ballot {
            // One proposer proposed one state under this ballot.
            Some(latest.accepted.clone())
        } else {
            delta.and_then(|delta| self.apply_delta(&delta))
        };
        match state {
            Some(state) => self.adopt(ballot, state, None),
            None => self.confirm(now),
        }
    }

    /// Tells every node what was chosen: those that were asked to accept it only the ballot, others what the round added,
    /// and those of an earlier version the full state.
    pub(crate) fn broadcast_chosen(
        &mut self,
        ballot: &Ballot,
        state: &ClusterState,
        decided_before: u64,
        accept_sent_to: &BTreeMap<String, u64>,
    ) {
        let delta = StateDelta::since(state, decided_before);
        for node in self.replica_nodes() {
            if node == self.node {
                continue;
            }
            let knows_state = accept_sent_to.contains_key(&node);
            let delta = delta.clone().filter(|_| !knows_state);
            let ballot = ballot.clone();
            let body = if self.replicas.accepts_deltas(&node) && (delta.is_some() || knows_state) {
                Payload::ChosenDelta(ChosenDelta { ballot, delta })
            } else {
                Payload::Chosen(Chosen {
                    ballot,
                    state: state.clone(),
                })
            };
            self.send(&node, body);
        }
    }
}
