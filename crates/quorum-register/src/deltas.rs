//! States that travel as what they add to an earlier one. Each question tells how many decided submissions the asker's
//! own state knows of; what is told to it leaves those out. A receiver that holds no state which the difference fits to
//! asks for the whole.

use crate::register::{Register, VoterPhase};
use protocol::{
    Accept, AcceptDelta, Accepted, Ballot, Chosen, ChosenDelta, ClusterState, Payload, Prepare,
    Promise, StateDelta,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// What `since` says where states are wanted whole.
pub(crate) const WHOLE: Option<u64> = Some(0);

/// A state as it travels to a receiver that knows of so many decided submissions: whole or as a difference.
pub(crate) fn told_state(
    state: &ClusterState,
    since: Option<u64>,
) -> (Option<ClusterState>, Option<StateDelta>) {
    match since.and_then(|since| StateDelta::since(state, since)) {
        Some(delta) => (None, Some(delta)),
        None => (Some(state.clone()), None),
    }
}

impl Register {
    /// How many decided submissions are known here. What is chosen goes first: every later state comes from it.
    pub(crate) fn since(&self) -> Option<u64> {
        let state = match &self.phase {
            VoterPhase::Recovering(recovery) => &recovery.base,
            _ if self.current.ballot > Ballot::default() => &self.current.state,
            _ => &self.durable.accepted,
        };
        Some(state.decided)
    }

    /// The whole state that a difference stands for, where a state is held here that it fits to.
    pub(crate) fn whole_state(&self, delta: &StateDelta) -> Option<ClusterState> {
        let base = match &self.phase {
            VoterPhase::Recovering(recovery) => Some(&recovery.base),
            _ => None,
        };
        let held = [&self.durable.accepted, &self.current.state]
            .into_iter()
            .chain(base);
        held.into_iter().find_map(|held| delta.apply_to(held))
    }

    /// A given promise with its state whole. Where nothing here fits to it, it is asked for anew.
    pub(crate) fn whole_promise(&mut self, from: &str, mut promise: Promise) -> Option<Promise> {
        let Some(delta) = promise.delta.take() else {
            return Some(promise);
        };
        match self.whole_state(&delta) {
            Some(state) => Some(Promise {
                accepted: state,
                ..promise
            }),
            None => {
                self.send(
                    from,
                    Payload::Prepare(Prepare {
                        ballot: promise.ballot,
                        since: WHOLE,
                    }),
                );
                None
            }
        }
    }

    pub(crate) fn accept_delta(&mut self, from: &str, accept: AcceptDelta) {
        let AcceptDelta {
            ballot,
            delta,
            disk,
            lease_epoch,
        } = accept;
        match self.whole_state(&delta) {
            Some(state) => self.accept(
                from,
                Accept {
                    ballot,
                    state,
                    disk,
                    lease_epoch,
                },
            ),
            None => self.want_state(from, ballot, disk),
        }
    }

    fn want_state(&mut self, from: &str, ballot: Ballot, disk: u64) {
        self.seen_round = self.seen_round.max(ballot.round);
        if self.phase == VoterPhase::Active && self.disk_is_free() {
            let promised = self.durable.promised.clone();
            let wants_state = disk == self.durable.disk && ballot >= promised;
            self.send(
                from,
                Payload::Accepted(Accepted {
                    ballot,
                    promised,
                    wants_state,
                    ..Accepted::default()
                }),
            );
        }
    }

    /// A state was chosen under a ballot. Where it is not known here, it is read.
    pub(crate) fn chosen_delta(&mut self, now: Duration, chosen: ChosenDelta) {
        let ChosenDelta { ballot, delta } = chosen;
        if ballot <= self.current.ballot {
            return;
        }
        // One proposer named one state under this ballot.
        let accepted = (self.durable.accepted_at == ballot).then(|| self.durable.accepted.clone());
        match accepted.or_else(|| self.whole_state(&delta?)) {
            Some(state) => self.adopt(ballot, state, None),
            None => self.confirm(now),
        }
    }

    /// Tells everybody what was chosen: whoever was asked to accept it only under which ballot, others what the round
    /// added, and those of an earlier version the whole state.
    pub(crate) fn tell_chosen(
        &mut self,
        ballot: Ballot,
        state: ClusterState,
        decided_before: u64,
        asked: &BTreeMap<String, u64>,
    ) {
        let delta = StateDelta::since(&state, decided_before);
        let nodes = self
            .replica_nodes()
            .into_iter()
            .filter(|node| *node != self.me);
        for node in nodes.collect::<Vec<_>>() {
            let takes_deltas = self.replicas.takes_deltas(&node);
            let delta = delta.clone().filter(|_| !asked.contains_key(&node));
            let ballot = ballot.clone();
            let body = match takes_deltas && (delta.is_some() || asked.contains_key(&node)) {
                true => Payload::ChosenDelta(ChosenDelta { ballot, delta }),
                false => Payload::Chosen(Chosen {
                    ballot,
                    state: state.clone(),
                }),
            };
            self.send(&node, body);
        }
    }
}
