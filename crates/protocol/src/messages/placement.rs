//! The decisions of the placement role, and the load that it decides by.

use crate::KeyShare;
use prost::Message;

/// All that the placement role decided, under its lease.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Placement {
    /// The lease epoch: the fencing token.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Counts the placements of one epoch.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Which locality owns which name.
    #[prost(message, repeated, tag = "3")]
    pub reservations: Vec<Reservation>,
    /// Names that moved.
    #[prost(message, repeated, tag = "4")]
    pub tombstones: Vec<Tombstone>,
    /// The key shares of each service.
    #[prost(message, repeated, tag = "5")]
    pub shares: Vec<ServiceKeyShares>,
    /// True where it lists only changes of key shares; a share without an instance has no owner any more.
    #[prost(bool, tag = "6")]
    pub partial: bool,
    /// Where partial: the number of the placement that it follows.
    #[prost(uint64, tag = "7")]
    pub after: u64,
}

/// The locality that owns a name.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Reservation {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its owner.
    #[prost(string, tag = "2")]
    pub locality: String,
    /// The fencing token of the assignment.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// How long ago the assignment was made, at the sender, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Left where a name was owned before: its owner is `to` now.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Tombstone {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The locality that owned it.
    #[prost(string, tag = "2")]
    pub from: String,
    /// The locality that owns it now.
    #[prost(string, tag = "3")]
    pub to: String,
    /// The fencing token of the move.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// How long ago the name moved, at the sender, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// The key shares of one service.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceKeyShares {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Who owns which range of key slots.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<KeyShare>,
}

/// Asks for a complete placement: a partial one did not follow what is known.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct PlacementRequest {}

/// Recent requests of one service, counted over equal parts of its key space.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct KeyLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Which parts, in order.
    #[prost(uint32, repeated, tag = "2")]
    pub parts: Vec<u32>,
    /// How many requests for each of those.
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
    /// Those of the requests that may be executed in some regions only.
    #[prost(message, repeated, tag = "4")]
    pub bound: Vec<BoundLoad>,
    /// How many requests have ended, and how long they occupied their upstreams together, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub ended: u32,
    /// See `ended`.
    #[prost(uint64, tag = "6")]
    pub work_ms: u64,
}

/// Recent requests of one service that may be executed in these regions only.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct BoundLoad {
    /// The regions, in the order of the configuration.
    #[prost(string, repeated, tag = "1")]
    pub regions: Vec<String>,
    /// How many requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// [`KeyLoad`]s, forwarded to the placement holder.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct KeyLoads {
    /// The counts.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<KeyLoad>,
}
