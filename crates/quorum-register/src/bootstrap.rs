//! The first start of a cluster.
//!
//! A voter with a blank disk first asks every peer. If any has been bootstrapped, this disk may have lost promises and
//! must recover. Only where as many peers as the cluster starts with are there, and none has been bootstrapped, does it
//! vote for them as the initial voters, durably and once. When all of them voted alike, each is bootstrapped.

use crate::event::Effect;
use crate::register::{Register, VoterPhase};
use protocol::{BootstrapVote, Bootstrapped, ClusterState, Payload, VoterSet};
use std::collections::BTreeSet;
use std::time::Duration;

impl Register {
    pub(crate) fn tick_bootstrap(&mut self, now: Duration) {
        let is_bootstrapping = matches!(
            self.phase,
            VoterPhase::Blank { .. } | VoterPhase::Bootstrapping { .. }
        );
        if is_bootstrapping && now >= self.next_retry {
            let vote = Payload::BootstrapVote(self.bootstrap_vote(0));
            let other_peers: Vec<String> = self.other_peers().cloned().collect();
            self.send_to_each(&other_peers, &vote);
            self.vote_if_all_unbootstrapped();
        }
    }

    fn other_peers(&self) -> impl Iterator<Item = &String> {
        self.peers.iter().filter(|peer| **peer != self.node)
    }

    pub(crate) fn handle_bootstrap_vote(&mut self, from: &str, vote: BootstrapVote) {
        let is_request = vote.echo == 0;
        if !self.acceptor.persisted.initial_voters.is_empty() {
            if is_request {
                let voter_set = self.voter_set().clone();
                self.send(from, Payload::Bootstrapped(Bootstrapped { voter_set }));
            }
            return;
        }
        if matches!(self.phase, VoterPhase::Recovering(_) | VoterPhase::Failed) {
            return;
        }
        if is_request {
            let reply = self.bootstrap_vote(vote.incarnation);
            self.send(from, Payload::BootstrapVote(reply));
        }
        // Disks on which an operator left different states must not form one cluster.
        if vote.inherits != self.inherited_state_id() {
            return;
        }
        match &mut self.phase {
            VoterPhase::Blank { unbootstrapped } if vote.echo == self.incarnation => {
                unbootstrapped.insert(from.to_owned());
                self.vote_if_all_unbootstrapped();
            }
            VoterPhase::Bootstrapping { votes_from }
                if vote.initial_voters == self.acceptor.persisted.bootstrap_vote =>
            {
                votes_from.insert(from.to_owned());
                self.advance_bootstrap();
            }
            _ => {}
        }
    }

    /// This voter's vote; `echo` is the incarnation of the peer it replies to, or 0.
    fn bootstrap_vote(&self, echo: u64) -> BootstrapVote {
        BootstrapVote {
            initial_voters: self.acceptor.persisted.bootstrap_vote.clone(),
            incarnation: self.incarnation,
            echo,
            inherits: self.inherited_state_id(),
        }
    }

    /// Names the state that an operator left on this disk for the bootstrap; empty where there is none.
    fn inherited_state_id(&self) -> String {
        let state = &self.acceptor.latest.accepted;
        if state.revision == 0 {
            String::new()
        } else {
            format!("{} {}", state.revision, state.digest)
        }
    }

    /// Votes for the peers as initial voters, once all are there and none has been bootstrapped.
    fn vote_if_all_unbootstrapped(&mut self) {
        let VoterPhase::Blank { unbootstrapped } = &self.phase else {
            return;
        };
        let is_full =
            self.peers.len() == self.initial_voter_count && self.peers.contains(&self.node);
        let none_bootstrapped = self.other_peers().all(|peer| unbootstrapped.contains(peer));
        if is_full && none_bootstrapped && self.acceptor.latest.bootstrap_vote.is_empty() {
            self.acceptor.latest.bootstrap_vote = self.peers.clone();
            self.persist(Vec::new());
        }
    }

    /// Goes on after a write or a vote: the own vote begins the bootstrap, everybody's vote completes it.
    pub(crate) fn advance_bootstrap(&mut self) {
        let persisted = &self.acceptor.persisted;
        if matches!(self.phase, VoterPhase::Blank { .. }) && !persisted.bootstrap_vote.is_empty() {
            self.phase = VoterPhase::Bootstrapping {
                votes_from: BTreeSet::new(),
            };
        }
        let VoterPhase::Bootstrapping { votes_from } = &self.phase else {
            return;
        };
        if !persisted.initial_voters.is_empty() {
            self.phase = VoterPhase::Active;
            return;
        }
        let mut others = persisted
            .bootstrap_vote
            .iter()
            .filter(|voter| **voter != self.node);
        if others.all(|voter| votes_from.contains(voter)) {
            self.complete_bootstrap();
        }
    }

    /// Persists the initial voters and a new disk identity, then tells the other voters.
    fn complete_bootstrap(&mut self) {
        let latest = &mut self.acceptor.latest;
        if !latest.initial_voters.is_empty() {
            return;
        }
        latest.initial_voters = latest.bootstrap_vote.clone();
        latest.accepted.voter_set.voters = latest.bootstrap_vote.clone();
        latest.disk = self.random.next_u64().max(1);
        let mut notifications = Vec::new();
        for voter in &latest.initial_voters {
            if *voter == self.node {
                continue;
            }
            let voter_set = latest.accepted.voter_set.clone();
            notifications.push(Effect::Send {
                to: voter.clone(),
                body: Payload::Bootstrapped(Bootstrapped { voter_set }),
            });
        }
        self.persist(notifications);
    }

    /// Others were bootstrapped. A disk that voted for just these voters has promised nothing, so it lost nothing and
    /// joins as it is. Any other blank disk may have held promises, and recovers first; so does that of a node that never
    /// voted.
    pub(crate) fn handle_bootstrapped(&mut self, now: Duration, voter_set: VoterSet) {
        if voter_set.voters.is_empty() {
            return;
        }
        let latest = &self.acceptor.latest;
        match &self.phase {
            VoterPhase::Bootstrapping { .. }
                if self.acceptor.persisted.bootstrap_vote == voter_set.voters
                    && !voter_set.is_joint() =>
            {
                self.complete_bootstrap();
            }
            VoterPhase::Bootstrapping { .. } if latest.initial_voters.is_empty() => {
                self.start_recovery(now, voter_set, ClusterState::default());
            }
            VoterPhase::Blank { .. } if latest.bootstrap_vote.is_empty() => {
                self.start_recovery(now, voter_set, ClusterState::default());
            }
            _ => {}
        }
    }
}
