//! What a register tells of itself and of the others.

use crate::register::{Register, Statistics, VoterPhase};
use protocol::{ClusterState, VoterSet};
use std::time::Duration;

/// A node that is so many rounds behind the state in force, or fewer, has caught up.
const MAX_ROUNDS_BEHIND: u64 = 16;

impl Register {
    /// Where this voter stands.
    ///
    /// ```
    /// # use quorum_register::{Event, Register, VoterPhase, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// let mut register = Register::new(start);
    /// register.step(Default::default(), Event::DiskFailed);
    /// assert_eq!(*register.phase(), VoterPhase::Failed);
    /// ```
    pub fn phase(&self) -> &VoterPhase {
        &self.phase
    }

    /// The state in force here, once one is known to be chosen.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).state().revision, 0);
    /// ```
    pub fn state(&self) -> &ClusterState {
        &self.current.state
    }

    /// The bytes of the setup in force.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).configuration(), None);
    /// ```
    pub fn configuration(&self) -> Option<&[u8]> {
        self.configurations
            .get(&self.current.state.digest)
            .map(Vec::as_slice)
    }

    /// How long ago a majority confirmed the state; none before the first time.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).age(Default::default()), None);
    /// ```
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// True where a majority confirmed the state by answers to a question sent at this moment or later.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert!(!Register::new(start).is_confirmed_since(Default::default()));
    /// ```
    pub fn is_confirmed_since(&self, asked_at: Duration) -> bool {
        self.current.confirmed_at.is_some_and(|at| at >= asked_at)
    }

    /// What it did since its start.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).statistics().rounds_started, 0);
    /// ```
    pub fn statistics(&self) -> Statistics {
        self.statistics
    }

    /// Who votes, by the newest state known here; empty before the founding.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).voter_set().members().count(), 0);
    /// ```
    pub fn voter_set(&self) -> &VoterSet {
        let known = self.current.ballot >= self.durable.accepted_at
            && !self.current.state.voter_set.voters.is_empty();
        if known {
            &self.current.state.voter_set
        } else {
            &self.durable.accepted.voter_set
        }
    }

    /// True while this node votes.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert!(!Register::new(start).is_voter());
    /// ```
    pub fn is_voter(&self) -> bool {
        self.phase == VoterPhase::Active && self.voter_set().contains(&self.me)
    }

    /// How long nothing came from a control node; the whole time since the start where nothing ever did.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # use std::time::Duration;
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).time_since_heard(Duration::from_secs(4), "b"), Duration::from_secs(4));
    /// ```
    pub fn time_since_heard(&self, now: Duration, node: &str) -> Duration {
        now.saturating_sub(self.replicas.heard_at(node))
    }

    /// True where a node's disk surely holds a state that was in force a few rounds ago, or a newer one. In a storm of
    /// changes nobody tells of the newest in time; and a voter accepts no state that it doesn't hold.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert!(!Register::new(start).is_caught_up("b"));
    /// ```
    pub fn is_caught_up(&self, node: &str) -> bool {
        let current = self.current.ballot.round;
        self.replicas
            .synced_ballot(node)
            .is_some_and(|ballot| ballot.round + MAX_ROUNDS_BEHIND >= current)
    }

    /// The last ballot that a node's disk surely holds, as far as it told.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).persisted_round("b"), None);
    /// ```
    pub fn persisted_round(&self, node: &str) -> Option<u64> {
        self.replicas.synced_ballot(node).map(|ballot| ballot.round)
    }

    /// For how long the voter set in force is known here; none while a change of it is under way, or none is in force.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).voter_set_stable_for(Default::default()), None);
    /// ```
    pub fn voter_set_stable_for(&self, now: Duration) -> Option<Duration> {
        let settled = self.current.confirmed_at.is_some() && !self.voter_set().is_joint();
        settled.then(|| now.saturating_sub(self.voters_since))
    }

    /// The highest lease epoch that is safe on this disk.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).lease_epoch(), 0);
    /// ```
    pub fn lease_epoch(&self) -> u64 {
        self.synced.lease_epoch
    }
}
