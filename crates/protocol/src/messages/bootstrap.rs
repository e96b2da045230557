//! Messages and records around the start and the end of a voter: bootstrap, recovery and graceful shutdown.

use crate::{Ballot, ClusterState, KeyOwnerRecord, VoterSet};
use prost::Message;

/// What a voter persists, and answers from.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DurableState {
    /// The identity of this disk, drawn at bootstrap or recovery; 0 on a blank disk.
    #[prost(uint64, tag = "1")]
    pub disk: u64,
    /// The voters when this disk was bootstrapped or recovered; empty before. Who votes now is part of the accepted state.
    #[prost(string, repeated, tag = "2")]
    pub initial_voters: Vec<String>,
    /// The one set of initial voters that this node voted for during bootstrap.
    #[prost(string, repeated, tag = "3")]
    pub bootstrap_vote: Vec<String>,
    /// The highest ballot promised.
    #[prost(message, required, tag = "4")]
    pub promised: Ballot,
    /// The ballot at which the state was accepted.
    #[prost(message, required, tag = "5")]
    pub accepted_at: Ballot,
    /// The state accepted last.
    #[prost(message, required, tag = "6")]
    pub accepted: ClusterState,
    /// The highest lease epoch that this voter ever granted.
    #[prost(uint64, tag = "7")]
    pub lease_epoch: u64,
    /// The highest lease epoch that it granted to a candidate that keeps no record of key owners.
    #[prost(uint64, tag = "8")]
    pub unrecorded_lease_epoch: u64,
    /// Who owns which keys, as a holder of the placement lease recorded it last.
    #[prost(message, optional, tag = "9")]
    pub key_owners: Option<KeyOwnerRecord>,
}

/// What the disk of one surviving voter holds, for a recovery after a majority was lost.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct SurvivorState {
    /// The voter.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its state.
    #[prost(message, required, tag = "2")]
    pub durable: DurableState,
    /// The bytes of the accepted configuration, where the disk has them.
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
}

/// Proposes the initial voters of a new cluster, or agrees to them.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct BootstrapVote {
    /// The voters that the sender voted for; empty while it voted for none.
    #[prost(string, repeated, tag = "1")]
    pub initial_voters: Vec<String>,
    /// Drawn anew at each start of the sender; the receiver echoes it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The receiver's incarnation, where this is an answer.
    #[prost(uint64, tag = "3")]
    pub echo: u64,
    /// What an operator left on the sender's disk for a recovery after a majority was lost; else empty.
    #[prost(string, tag = "4")]
    pub inherits: String,
}

/// The cluster exists already.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Bootstrapped {
    /// Who votes, as far as the sender knows.
    #[prost(message, required, tag = "2")]
    pub voter_set: VoterSet,
}

/// A voter shuts down, and hands its vote to a replica that can take it.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct VoterLeaving {}
