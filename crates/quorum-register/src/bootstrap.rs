//! The first start of a fleet, and the return of a voter whose disk was lost.
//!
//! A blank voter asks everybody first. If any was founded, this disk has forgotten promises and must be
//! mended. Only where the full roster is there and none was founded does it endorse a roster, durably.

use crate::proposer::newest_promise;
use crate::register::{Effect, Recovery, Register, VoterPhase};
use protocol::{
    Ballot, BootstrapVote, Bootstrapped, ClusterState, ConfigurationRequest, DurableState, Payload,
    Prepare, Promise, VoterSet,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long one try of a recovery may take.
const RECOVERY_PHASE: Duration = Duration::from_millis(1000);
/// When a recovery that was outbid tries again.
const RECOVERY_RETRY: Duration = Duration::from_millis(50);

impl Register {
    pub(crate) fn tick_founding(&mut self, now: Duration) {
        if let VoterPhase::Recovering(recovery) = &self.phase {
            if now >= recovery.until {
                let voter_set = recovery.voter_set.clone();
                let newest = newest_promise(&recovery.promises).map(|promise| &promise.accepted);
                let base = newest.unwrap_or(&recovery.base).clone();
                self.start_recovery(now, voter_set, base);
            }
            return;
        }
        let asking = matches!(
            self.phase,
            VoterPhase::Blank { .. } | VoterPhase::Bootstrapping { .. }
        );
        if asking && now >= self.next_tell {
            let endorse = self.endorsement(0);
            let others: Vec<String> = self
                .peers
                .iter()
                .filter(|peer| **peer != self.me)
                .cloned()
                .collect();
            others
                .iter()
                .for_each(|peer| self.send(peer, Payload::BootstrapVote(endorse.clone())));
            self.endorse_if_alone();
        }
    }

    pub(crate) fn endorse(&mut self, from: &str, endorse: BootstrapVote) {
        if !self.synced.initial_voters.is_empty() {
            if endorse.echo == 0 {
                let voter_set = self.voter_set().clone();
                self.send(from, Payload::Bootstrapped(Bootstrapped { voter_set }));
            }
            return;
        }
        if matches!(self.phase, VoterPhase::Recovering(_) | VoterPhase::Failed) {
            return;
        }
        if endorse.echo == 0 {
            let answer = self.endorsement(endorse.incarnation);
            self.send(from, Payload::BootstrapVote(answer));
        }
        // Disks that an operator left different things on must not found together.
        if endorse.inherits != self.inherits() {
            return;
        }
        match &mut self.phase {
            VoterPhase::Blank { unbootstrapped } if endorse.echo == self.incarnation => {
                unbootstrapped.insert(from.to_owned());
                self.endorse_if_alone();
            }
            VoterPhase::Bootstrapping { bootstrap_vote }
                if endorse.initial_voters == self.synced.bootstrap_vote =>
            {
                bootstrap_vote.insert(from.to_owned());
                self.settle_founding();
            }
            _ => {}
        }
    }

    fn endorsement(&self, echo: u64) -> BootstrapVote {
        BootstrapVote {
            initial_voters: self.synced.bootstrap_vote.clone(),
            incarnation: self.incarnation,
            echo,
            inherits: self.inherits(),
        }
    }

    /// What an operator left on this disk for the founding.
    fn inherits(&self) -> String {
        let state = &self.durable.accepted;
        if state.revision == 0 {
            String::new()
        } else {
            format!("{} {}", state.revision, state.digest)
        }
    }

    /// Everybody is there and nobody was founded: endorse this roster, once and for all.
    fn endorse_if_alone(&mut self) {
        let VoterPhase::Blank { unbootstrapped } = &self.phase else {
            return;
        };
        let others = self.peers.iter().filter(|peer| **peer != self.me);
        let full = self.peers.len() == self.initial_voter_count && self.peers.contains(&self.me);
        if full
            && others.into_iter().all(|peer| unbootstrapped.contains(peer))
            && self.durable.bootstrap_vote.is_empty()
        {
            self.durable.bootstrap_vote = self.peers.clone();
            self.keep(Vec::new());
        }
    }

    /// After a sync: an endorsement starts the founding, everybody's endorsement ends it.
    pub(crate) fn settle_founding(&mut self) {
        if matches!(self.phase, VoterPhase::Blank { .. }) && !self.synced.bootstrap_vote.is_empty()
        {
            self.enter_phase(VoterPhase::Bootstrapping {
                bootstrap_vote: BTreeSet::new(),
            });
        }
        if matches!(self.phase, VoterPhase::Bootstrapping { .. })
            && !self.synced.initial_voters.is_empty()
        {
            return self.enter_phase(VoterPhase::Active);
        }
        let VoterPhase::Bootstrapping { bootstrap_vote } = &self.phase else {
            return;
        };
        let others = self
            .synced
            .bootstrap_vote
            .iter()
            .filter(|voter| **voter != self.me);
        if others
            .into_iter()
            .all(|voter| bootstrap_vote.contains(voter))
        {
            self.found();
        }
    }

    fn found(&mut self) {
        if self.durable.initial_voters.is_empty() {
            self.durable.initial_voters = self.durable.bootstrap_vote.clone();
            self.durable.accepted.voter_set.voters = self.durable.bootstrap_vote.clone();
            self.durable.disk = self.random.next_u64().max(1);
            let voter_set = self.durable.accepted.voter_set.clone();
            let tell = |voter: &String| {
                let body = Payload::Bootstrapped(Bootstrapped {
                    voter_set: voter_set.clone(),
                });
                Effect::Send {
                    to: voter.clone(),
                    body,
                }
            };
            let told = self
                .durable
                .initial_voters
                .iter()
                .filter(|voter| **voter != self.me)
                .map(tell)
                .collect();
            self.keep(told);
        }
    }

    /// Others were founded. A disk that endorsed just these voters never voted, so it forgot nothing and joins as it is.
    /// Any other blank disk may have held promises, and recovers first; so does that of a node that never voted.
    pub(crate) fn founded(&mut self, now: Duration, voter_set: VoterSet) {
        if voter_set.voters.is_empty() {
            return;
        }
        match &self.phase {
            VoterPhase::Bootstrapping { .. }
                if self.synced.bootstrap_vote == voter_set.voters && !voter_set.is_joint() =>
            {
                self.found();
            }
            VoterPhase::Bootstrapping { .. } if self.durable.initial_voters.is_empty() => {
                self.start_recovery(now, voter_set, ClusterState::default());
            }
            VoterPhase::Blank { .. } if self.durable.bootstrap_vote.is_empty() => {
                self.start_recovery(now, voter_set, ClusterState::default());
            }
            _ => {}
        }
    }

    fn start_recovery(&mut self, now: Duration, voter_set: VoterSet, base: ClusterState) {
        self.seen_round += 1;
        let ballot = Ballot {
            round: self.seen_round,
            voter: self.me.clone(),
            incarnation: self.incarnation,
        };
        let recovery = Recovery {
            voter_set,
            ballot,
            promises: BTreeMap::new(),
            base,
            until: now + RECOVERY_PHASE,
        };
        self.ask_for_recovery(&recovery, |_| true);
        self.enter_phase(VoterPhase::Recovering(recovery));
    }

    fn ask_for_recovery(&mut self, recovery: &Recovery, wanted: impl Fn(&str) -> bool) {
        let others = recovery
            .voter_set
            .members()
            .filter(|voter| **voter != self.me && wanted(voter));
        let others: Vec<String> = others.cloned().collect();
        let prepare = Payload::Prepare(Prepare {
            ballot: recovery.ballot.clone(),
            since: Some(recovery.base.decided),
        });
        others
            .iter()
            .for_each(|voter| self.send(voter, prepare.clone()));
    }

    /// A promise for the recovery round. Those who gave it can no longer accept what went before. A quorum of the others
    /// is needed, without this node: whatever its lost disk helped to choose, one of them has.
    pub(crate) fn take_recovery_promise(&mut self, now: Duration, from: &str, promise: Promise) {
        let VoterPhase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        if recovery.ballot != promise.ballot {
            return;
        }
        if promise.promised != promise.ballot {
            recovery.until = now + RECOVERY_RETRY;
            return;
        }
        let Some(promise) = self.whole_promise(from, promise) else {
            return;
        };
        let VoterPhase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        recovery.promises.insert(from.to_owned(), promise);
        let recovery = recovery.clone();
        self.recover_if_promised(recovery);
    }

    fn recover_if_promised(&mut self, recovery: Recovery) {
        let Some(newest) = newest_promise(&recovery.promises) else {
            return;
        };
        // The newest state tells who votes: it may not be those that the first answer named.
        let voter_set = newest.accepted.voter_set.clone();
        let promised = |voter: &str| voter != self.me && recovery.promises.contains_key(voter);
        if !voter_set.is_quorum(promised) {
            return self.widen_recovery(recovery, voter_set);
        }
        if self.durable.disk == 0 {
            self.recover(&recovery);
        }
    }

    fn widen_recovery(&mut self, recovery: Recovery, voter_set: VoterSet) {
        let asked: Vec<String> = recovery.voter_set.members().cloned().collect();
        let wider = Recovery {
            voter_set,
            ..recovery
        };
        self.ask_for_recovery(&wider, |voter| !asked.iter().any(|known| known == voter));
        self.enter_phase(VoterPhase::Recovering(wider));
    }

    fn recover(&mut self, recovery: &Recovery) {
        let newest = newest_promise(&recovery.promises)
            .cloned()
            .unwrap_or_default();
        let Promise {
            accepted_at,
            accepted,
            ..
        } = newest;
        if !accepted.digest.is_empty() && !self.held.contains(&accepted.digest) {
            return self.ask_for_recovered_setup(recovery, accepted.digest);
        }
        let lease_epoch = recovery
            .promises
            .values()
            .map(|promise| promise.lease_epoch)
            .max()
            .unwrap_or(0);
        let disk = self.random.next_u64().max(1);
        let initial_voters = accepted.voter_set.voters.clone();
        let promised = recovery.ballot.clone();
        self.durable = DurableState {
            disk,
            bootstrap_vote: initial_voters.clone(),
            initial_voters,
            promised,
            accepted_at,
            accepted,
            lease_epoch,
        };
        self.keep(Vec::new());
    }

    /// First the bytes, from one of those that have them; once they are synced, the recovery goes on.
    fn ask_for_recovered_setup(&mut self, recovery: &Recovery, digest: String) {
        let has_bytes = |promise: &Promise| promise.accepted.digest == digest;
        let holders = recovery
            .promises
            .iter()
            .filter(|(_, promise)| has_bytes(promise));
        let holders: Vec<String> = holders.map(|(voter, _)| voter.clone()).collect();
        let chosen = self.random.below(holders.len() as u64) as usize;
        if let Some(holder) = holders.get(chosen) {
            self.send(
                holder,
                Payload::ConfigurationRequest(ConfigurationRequest { digest }),
            );
        }
    }

    /// After a sync: the bytes that a recovery waited for are there, or its state is.
    pub(crate) fn settle_recovery(&mut self) {
        let VoterPhase::Recovering(recovery) = &self.phase else {
            return;
        };
        if self.synced.disk != 0 {
            return self.enter_phase(VoterPhase::Active);
        }
        if self.durable.disk == 0 {
            let recovery = recovery.clone();
            self.recover_if_promised(recovery);
        }
    }
}
