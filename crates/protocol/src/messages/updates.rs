//! Messages between control nodes and data-plane nodes: updates of their view of the cluster, and how fresh it is.

use crate::{ClusterState, KeyLoad, Placement, Upstream};
use prost::Message;

/// A data-plane node asks whether its view is current.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpdateRequest {
    /// Repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The stream of updates that the node follows.
    #[prost(uint64, tag = "2")]
    pub stream: u64,
    /// The last update that it applied.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Requests that the node received since its last question, by key.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<KeyLoad>,
}

/// The answer to [`UpdateRequest`] where the node's view is current.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Freshness {
    /// That of the request.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// How long ago a majority confirmed the revision, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The stream of updates.
    #[prost(uint64, tag = "3")]
    pub stream: u64,
    /// The last update sent on this stream: a node that applied less is behind.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The revision that was confirmed.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// An update of a data-plane node's view: a snapshot (number 0 of a new stream), or the change after the last one.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ViewUpdate {
    /// The stream of updates.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Its place in the stream.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The replicated state, where it changed.
    #[prost(message, optional, tag = "3")]
    pub state: Option<ClusterState>,
    /// The configuration in force, compressed, where it changed.
    #[prost(bytes = "vec", optional, tag = "4")]
    pub configuration: Option<Vec<u8>>,
    /// Upstreams that changed; in a snapshot all of them.
    #[prost(message, repeated, tag = "5")]
    pub upstreams: Vec<Upstream>,
    /// The placement, where it changed.
    #[prost(message, optional, tag = "6")]
    pub placement: Option<Placement>,
    /// In a snapshot: the sender does not know all upstreams yet, and the others that the receiver knows stay.
    #[prost(bool, tag = "7")]
    pub keeps_unlisted_upstreams: bool,
    /// In a snapshot: the nonce of the request that it answers; 0 from an earlier release.
    #[prost(uint64, tag = "8")]
    pub asked: u64,
    /// In a snapshot: how long ago a majority confirmed what its sender knows, in milliseconds.
    #[prost(uint64, optional, tag = "9")]
    pub age_ms: Option<u64>,
}

/// Acknowledges a [`ViewUpdate`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpdateAck {
    /// The stream of updates.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The update that was applied.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The revision in force at the data-plane node.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A control node tells the others which revision a data-plane node acknowledged to it.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DataPlaneAck {
    /// The data-plane node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The revision in force there.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}
