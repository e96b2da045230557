//! Messages of the replicated register: Paxos prepare and accept, majority reads, and the state they carry.
//!
//! The algorithm is single-decree Paxos over a register (L. Lamport, "Paxos Made Simple", 2001; D. Rystsov, "CASPaxos",
//! 2018): each change is a round of its own that reads the state accepted last and replaces it.

use crate::VoterSet;
use prost::Message;

/// A proposal number of Paxos. Higher rounds win; `incarnation` is drawn anew at each start of a process, so a
/// ballot is never used twice.
///
/// ```
/// use protocol::Ballot;
/// let low = Ballot { round: 1, voter: "b".into(), incarnation: 9 };
/// let high = Ballot { round: 2, voter: "a".into(), incarnation: 1 };
/// assert!(low < high);
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    /// Compared first.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The proposer; it breaks ties.
    #[prost(string, tag = "2")]
    pub voter: String,
    /// The proposer's incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// The replicated state: all that the register stores.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ClusterState {
    /// Rises by one with each change that took effect.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The digest of the configuration in force; empty before the first.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// Localities that are evacuated.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// The latest decided changes, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub submissions: Vec<DecidedChange>,
    /// The operator's own version of the configuration; 0 where it has none.
    #[prost(uint64, tag = "5")]
    pub number: u64,
    /// How many changes with an id were decided so far, including those that are no longer remembered.
    #[prost(uint64, tag = "6")]
    pub decided: u64,
    /// The latest configurations with a version that came into force, oldest first.
    #[prost(message, repeated, tag = "7")]
    pub numbers: Vec<VersionedConfiguration>,
    /// When each locality was last evacuated or put back in service, the latest last.
    #[prost(message, repeated, tag = "8")]
    pub locality_changes: Vec<LocalityChange>,
    /// Who votes on the next state.
    #[prost(message, required, tag = "9")]
    pub voter_set: VoterSet,
}

/// The revision that evacuated a locality, or put it back in service.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LocalityChange {
    /// Region and zone, `REGION/ZONE`.
    #[prost(string, tag = "1")]
    pub locality: String,
    /// The revision that the change made.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A configuration that came into force under an operator's own version.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct VersionedConfiguration {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A short digest of the configuration.
    #[prost(string, tag = "2")]
    pub digest: String,
}

/// A change that was decided: applied or rejected.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DecidedChange {
    /// The id that the change was submitted with.
    #[prost(string, tag = "1")]
    pub id: String,
    /// A short digest of what was asked for, so that one id cannot stand for two changes.
    #[prost(string, tag = "2")]
    pub asked: String,
    /// The revision that it made, or the one in force where it was rejected.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The result code.
    #[prost(uint32, tag = "4")]
    pub code: u32,
}

/// A state for a receiver that has an earlier one: it lists only the changes that were decided since.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct StateDelta {
    /// The state, with the latest changes only.
    #[prost(message, required, tag = "1")]
    pub state: ClusterState,
    /// How many changes the complete state remembers.
    #[prost(uint64, tag = "2")]
    pub remembered: u64,
    /// SHA-256 of the complete state's encoding.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

/// Phase 1a of Paxos: asks a voter to promise a ballot.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Prepare {
    /// The ballot to promise.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// How many decided changes the sender's own state has: it takes states as a [`StateDelta`] of that one. 0 where it
    /// wants complete states; none from an earlier release, which takes nothing else.
    #[prost(uint64, optional, tag = "2")]
    pub since: Option<u64>,
}

/// Phase 1b of Paxos: the voter's answer to [`Prepare`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Promise {
    /// The ballot of the request.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The highest ballot promised: equal to `ballot` where the request was granted.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    /// The ballot at which the voter accepted its state.
    #[prost(message, required, tag = "3")]
    pub accepted_at: Ballot,
    /// The state accepted last.
    #[prost(message, required, tag = "4")]
    pub accepted: ClusterState,
    /// The identity of the voter's disk ([`DurableState::disk`](crate::DurableState::disk)).
    #[prost(uint64, tag = "5")]
    pub disk: u64,
    /// The highest lease epoch that the voter ever granted.
    #[prost(uint64, tag = "6")]
    pub lease_epoch: u64,
    /// The accepted state in place of `accepted`. Both are left out where the request was rejected.
    #[prost(message, optional, tag = "7")]
    pub delta: Option<StateDelta>,
    /// As in [`Prepare`]: how the voter takes the state that it is to accept.
    #[prost(uint64, optional, tag = "8")]
    pub since: Option<u64>,
}

/// Phase 2a of Paxos: asks a voter to accept a state.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Accept {
    /// The ballot that the voter promised.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The state to accept.
    #[prost(message, required, tag = "2")]
    pub state: ClusterState,
    /// The disk whose promise was counted: a voter with another disk must reject.
    #[prost(uint64, tag = "3")]
    pub disk: u64,
    /// The highest lease epoch among the promises: a new voter must know what the others granted.
    #[prost(uint64, tag = "4")]
    pub lease_epoch: u64,
}

/// An [`Accept`] that carries a [`StateDelta`]. It is a message of its own, which an earlier release ignores: to that
/// an `Accept` without a state would stand for an empty one.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct AcceptDelta {
    /// The ballot that the voter promised.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The state to accept.
    #[prost(message, required, tag = "2")]
    pub delta: StateDelta,
    /// As in [`Accept`].
    #[prost(uint64, tag = "3")]
    pub disk: u64,
    /// As in [`Accept`].
    #[prost(uint64, tag = "4")]
    pub lease_epoch: u64,
}

/// Phase 2b of Paxos: the voter's answer to [`Accept`] or [`AcceptDelta`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Accepted {
    /// The ballot of the request.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The highest ballot promised.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    /// True where the state was accepted and persisted.
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// The voter lacks the bytes of the configuration.
    #[prost(bool, tag = "4")]
    pub needs_configuration: bool,
    /// The voter has no state that the delta applies to.
    #[prost(bool, tag = "5")]
    pub needs_state: bool,
}

/// A state known to be accepted by a majority.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Chosen {
    /// The ballot at which it was accepted.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The state.
    #[prost(message, required, tag = "2")]
    pub state: ClusterState,
}

/// A [`Chosen`] for receivers that take states as deltas.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ChosenDelta {
    /// The ballot at which the state was accepted.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// None where the receiver was asked to accept the state: it has the state of this ballot, or reads it.
    #[prost(message, optional, tag = "2")]
    pub delta: Option<StateDelta>,
}

/// Asks a voter for the state it accepted last; a majority of the answers confirms what is current.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Read {
    /// Repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// What the reader knows already: a state accepted at this ballot is left out of the answer.
    #[prost(message, required, tag = "2")]
    pub known: Ballot,
    /// As in [`Prepare`]: how the reader takes the state.
    #[prost(uint64, optional, tag = "3")]
    pub since: Option<u64>,
}

/// The answer to [`Read`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ReadBack {
    /// That of the request.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// None where it is the ballot that the reader knows; the state is left out too then.
    #[prost(message, optional, tag = "2")]
    pub accepted_at: Option<Ballot>,
    /// Left out where it is older than what the reader knows, or sent as a delta.
    #[prost(message, optional, tag = "3")]
    pub accepted: Option<ClusterState>,
    /// The accepted state, in place of `accepted`.
    #[prost(message, optional, tag = "4")]
    pub delta: Option<StateDelta>,
}

/// The bytes of a configuration.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ConfigurationBytes {
    /// Of the configuration itself.
    #[prost(string, tag = "1")]
    pub digest: String,
    /// The configuration, compressed by [`compress`](crate::compress).
    #[prost(bytes = "vec", tag = "2")]
    pub compressed: Vec<u8>,
}

/// Asks for the bytes of a configuration.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ConfigurationRequest {
    /// Names the configuration.
    #[prost(string, tag = "1")]
    pub digest: String,
}
