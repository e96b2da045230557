//! Read access to a register: its own state, and what it knows of the other nodes.

use crate::register::{Register, VoterPhase};
use protocol::{ClusterState, VoterSet};
use std::time::Duration;

/// A node that is so many rounds behind the state in force, or fewer, has caught up.
const MAX_ROUNDS_BEHIND: u64 = 16;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Statistics {
    /// Rounds begun by this proposer.
    pub rounds_started: u64,
    /// Of them, those that were lost to another proposer or to a timeout.
    pub rounds_lost: u64,
    /// Writes of the voter's state.
    pub disk_writes: u64,
}

impl Register {
    /// Where this voter stands.
    ///
    /// ```
    /// # use quorum_register::{Event, Register, VoterPhase, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// let mut register = Register::new(config);
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
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).state().revision, 0);
    /// ```
    pub fn state(&self) -> &ClusterState {
        &self.chosen.state
    }

    /// The bytes of the configuration in force.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).configuration(), None);
    /// ```
    pub fn configuration(&self) -> Option<&[u8]> {
        self.configurations.get(&self.chosen.state.digest)
    }

    /// How long ago a quorum confirmed the state; none before the first time.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).confirmation_age(Default::default()), None);
    /// ```
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.chosen.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// True where a quorum confirmed the state by replies to a read that was sent at this moment or later.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert!(!Register::new(config).is_confirmed_since(Default::default()));
    /// ```
    pub fn is_confirmed_since(&self, asked_at: Duration) -> bool {
        self.chosen.confirmed_at.is_some_and(|at| at >= asked_at)
    }

    /// Counts since the start.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).statistics().rounds_started, 0);
    /// ```
    pub fn statistics(&self) -> Statistics {
        self.statistics
    }

    /// The voters by the newest state known here; empty before the bootstrap.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).voter_set().members().count(), 0);
    /// ```
    pub fn voter_set(&self) -> &VoterSet {
        let is_chosen_newer = self.chosen.ballot >= self.acceptor.latest.accepted_at
            && !self.chosen.state.voter_set.voters.is_empty();
        if is_chosen_newer {
            &self.chosen.state.voter_set
        } else {
            &self.acceptor.latest.accepted.voter_set
        }
    }

    /// True while this node votes.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert!(!Register::new(config).is_voter());
    /// ```
    pub fn is_voter(&self) -> bool {
        self.phase == VoterPhase::Active && self.voter_set().contains(&self.node)
    }

    /// How long nothing was heard from a control node; the whole time since the start where nothing ever was.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # use std::time::Duration;
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).time_since_heard(Duration::from_secs(4), "b"), Duration::from_secs(4));
    /// ```
    pub fn time_since_heard(&self, now: Duration, node: &str) -> Duration {
        now.saturating_sub(self.replicas.last_heard(node))
    }

    /// True where a node's disk surely holds a state that was in force a few rounds ago, or a newer one. Under many
    /// changes no node reports the newest in time.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert!(!Register::new(config).is_caught_up("b"));
    /// ```
    pub fn is_caught_up(&self, node: &str) -> bool {
        let chosen_round = self.chosen.ballot.round;
        self.replicas
            .persisted_ballot(node)
            .is_some_and(|ballot| ballot.round + MAX_ROUNDS_BEHIND >= chosen_round)
    }

    /// The round number of the state that a node's disk surely holds, as far as it reported.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).persisted_round("b"), None);
    /// ```
    pub fn persisted_round(&self, node: &str) -> Option<u64> {
        self.replicas
            .persisted_ballot(node)
            .map(|ballot| ballot.round)
    }

    /// How long the voter set in force has been known here; none while a change of it is under way, or none is in force.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).voter_set_stable_for(Default::default()), None);
    /// ```
    pub fn voter_set_stable_for(&self, now: Duration) -> Option<Duration> {
        let is_stable = self.chosen.confirmed_at.is_some() && !self.voter_set().is_joint();
        is_stable.then(|| now.saturating_sub(self.chosen.voter_set_since))
    }

    /// The highest lease epoch on this disk.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).lease_epoch(), 0);
    /// ```
    pub fn lease_epoch(&self) -> u64 {
        self.acceptor.persisted.lease_epoch
    }
}
