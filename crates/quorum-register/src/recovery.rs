//! The return of a voter whose disk was lost.
//!
//! What the lost disk promised is unknown, so the voter first runs a prepare phase under a new ballot at the other
//! voters. Once a quorum promised, without this node's help, it takes over the newest state among the promises.

use crate::register::{Register, VoterPhase};
use crate::round::{highest_lease_epoch, newest_promise};
use protocol::{
    Ballot, ClusterState, ConfigurationRequest, DurableState, Payload, Prepare, Promise, VoterSet,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long one attempt of a recovery may take.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1000);
/// When a recovery is retried whose ballot was too low.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a blank disk gathers before its voter takes part.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Recovery {
    /// The voters that a prepare was sent to, as far as they are known.
    voter_set: VoterSet,
    ballot: Ballot,
    promises: BTreeMap<String, Promise>,
    /// The newest state that an earlier attempt received: promises are sent as a difference to it.
    pub(crate) base: ClusterState,
    /// When to begin anew.
    retry_at: Duration,
}

impl Recovery {
    /// The newest state known to this attempt.
    fn newest_state(&self) -> &ClusterState {
        newest_promise(&self.promises).map_or(&self.base, |promise| &promise.accepted)
    }
}

impl Register {
    pub(crate) fn tick_recovery(&mut self, now: Duration) {
        let VoterPhase::Recovering(recovery) = &self.phase else {
            return;
        };
        if now >= recovery.retry_at {
            let voter_set = recovery.voter_set.clone();
            let base = recovery.newest_state().clone();
            self.start_recovery(now, voter_set, base);
        }
    }

    pub(crate) fn start_recovery(
        &mut self,
        now: Duration,
        voter_set: VoterSet,
        base: ClusterState,
    ) {
        let recovery = Recovery {
            voter_set,
            ballot: self.next_ballot(),
            promises: BTreeMap::new(),
            base,
            retry_at: now + RECOVERY_TIMEOUT,
        };
        self.send_recovery_prepares(&recovery, &VoterSet::default());
        self.phase = VoterPhase::Recovering(recovery);
    }

    /// Sends the recovery's prepare to its voters, but for those that have got it before.
    fn send_recovery_prepares(&mut self, recovery: &Recovery, sent_before: &VoterSet) {
        let voters: Vec<String> = recovery
            .voter_set
            .members()
            .filter(|voter| **voter != self.node)
            .filter(|voter| !sent_before.members().any(|known| known == *voter))
            .cloned()
            .collect();
        let prepare = Prepare {
            ballot: recovery.ballot.clone(),
            since: Some(recovery.base.decided),
        };
        self.send_to_each(&voters, &Payload::Prepare(prepare));
    }

    /// Counts a promise for the recovery's ballot. A voter that gave it can't accept any more what was proposed before.
    /// A quorum of the others is needed, without this node: whatever its lost disk helped to choose, one of them has.
    pub(crate) fn handle_recovery_promise(&mut self, now: Duration, from: &str, promise: Promise) {
        let VoterPhase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        if recovery.ballot != promise.ballot {
            return;
        }
        if promise.promised != promise.ballot {
            recovery.retry_at = now + RECOVERY_RETRY_DELAY;
            return;
        }
        let Some(promise) = self.with_full_state(from, promise) else {
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
        // The newest state names the voters: they may not be those that the first answer named.
        let voter_set = newest.accepted.voter_set.clone();
        let promised = |voter: &str| voter != self.node && recovery.promises.contains_key(voter);
        if !voter_set.is_quorum(promised) {
            self.widen_recovery(recovery, voter_set);
        } else if self.acceptor.latest.disk == 0 {
            self.recover(&recovery);
        }
    }

    fn widen_recovery(&mut self, recovery: Recovery, voter_set: VoterSet) {
        let sent_before = recovery.voter_set.clone();
        let wider = Recovery {
            voter_set,
            ..recovery
        };
        self.send_recovery_prepares(&wider, &sent_before);
        self.phase = VoterPhase::Recovering(wider);
    }

    /// Takes over the newest promised state, under a new disk identity.
    fn recover(&mut self, recovery: &Recovery) {
        let Promise {
            accepted_at,
            accepted,
            ..
        } = newest_promise(&recovery.promises)
            .cloned()
            .unwrap_or_default();
        let digest = &accepted.digest;
        if !digest.is_empty() && !self.configurations.is_persisted(digest) {
            self.request_recovered_configuration(recovery, accepted.digest);
            return;
        }
        let voters = accepted.voter_set.voters.clone();
        self.acceptor.latest = DurableState {
            disk: self.random.next_u64().max(1),
            bootstrap_vote: voters.clone(),
            initial_voters: voters,
            promised: recovery.ballot.clone(),
            accepted_at,
            accepted,
            lease_epoch: highest_lease_epoch(&recovery.promises),
            ..DurableState::default()
        };
        self.persist(Vec::new());
    }

    /// Requests the configuration's bytes from one of the voters that have them. Once they are on the disk, the recovery
    /// goes on.
    fn request_recovered_configuration(&mut self, recovery: &Recovery, digest: String) {
        let owners: Vec<&String> = recovery
            .promises
            .iter()
            .filter(|(_, promise)| promise.accepted.digest == digest)
            .map(|(voter, _)| voter)
            .collect();
        let index = self.random.below(owners.len() as u64) as usize;
        if let Some(owner) = owners.get(index) {
            let request = ConfigurationRequest { digest };
            self.send(owner, Payload::ConfigurationRequest(request));
        }
    }

    /// Goes on after a write: the configuration that the recovery waited for is on the disk, or the state itself is.
    pub(crate) fn advance_recovery(&mut self) {
        let VoterPhase::Recovering(recovery) = &self.phase else {
            return;
        };
        if self.acceptor.persisted.disk != 0 {
            self.phase = VoterPhase::Active;
        } else if self.acceptor.latest.disk == 0 {
            let recovery = recovery.clone();
            self.recover_if_promised(recovery);
        }
    }
}
