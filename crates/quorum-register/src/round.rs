//! The phases of a proposer's round.

use crate::change::Decision;
use protocol::{Ballot, ClusterState, Promise};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long after its sending a request is retried at the voters that haven't answered it: longer than an answer takes
/// between regions with its write, and well below the time of a phase.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The decision on a change, told once the round's state is chosen.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ProposedDecision {
    pub(crate) request_id: Option<u64>,
    pub(crate) decision: Decision,
}

/// The first phase of a round: promises are gathered.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PreparePhase {
    pub(crate) ballot: Ballot,
    pub(crate) started_at: Duration,
    pub(crate) retry_at: Duration,
    /// The nodes that a prepare was sent to.
    pub(crate) sent_to: BTreeSet<String>,
    pub(crate) promises: BTreeMap<String, Promise>,
}

/// The second phase of a round: acceptances are gathered.
#[derive(Clone, Debug, Hash)]
pub(crate) struct AcceptPhase {
    pub(crate) ballot: Ballot,
    /// When the round began.
    pub(crate) round_started_at: Duration,
    pub(crate) started_at: Duration,
    pub(crate) retry_at: Duration,
    /// The proposed state.
    pub(crate) state: ClusterState,
    /// The highest lease epoch among the promises.
    pub(crate) lease_epoch: u64,
    /// How many submissions were decided before this round.
    pub(crate) decided_before: u64,
    /// The nodes that an accept was sent to, with the disk whose promise was counted.
    pub(crate) disks: BTreeMap<String, u64>,
    pub(crate) decisions: Vec<ProposedDecision>,
    pub(crate) accepted_by: BTreeSet<String>,
}

/// Where this proposer's round stands.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) enum Round {
    #[default]
    Idle,
    /// Lost to another proposer or to time: waits before the next round.
    BackingOff {
        until: Duration,
    },
    Preparing(PreparePhase),
    Accepting(AcceptPhase),
}

/// The promise of the newest state.
pub(crate) fn newest_promise(promises: &BTreeMap<String, Promise>) -> Option<&Promise> {
    promises
        .values()
        .max_by(|a, b| a.accepted_at.cmp(&b.accepted_at))
}

/// The highest lease epoch among the promises.
pub(crate) fn highest_lease_epoch(promises: &BTreeMap<String, Promise>) -> u64 {
    promises
        .values()
        .map(|promise| promise.lease_epoch)
        .max()
        .unwrap_or(0)
}
