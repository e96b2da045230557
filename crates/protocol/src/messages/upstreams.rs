//! What control nodes tell each other of upstreams: heartbeats, key shares and departures.

use crate::{Placement, Read, ReadBack};
use prost::Message;

/// One upstream, as its heartbeats describe it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Upstream {
    /// The service that it belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its id; a restarted upstream takes a new one.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Where it takes requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Region and zone, `REGION/ZONE`.
    #[prost(string, tag = "4")]
    pub locality: String,
    /// How many more requests it can run.
    #[prost(uint32, tag = "5")]
    pub free_slots: u32,
    /// False while it warms up (slow start).
    #[prost(bool, tag = "6")]
    pub warm: bool,
    /// The number of an [`UpstreamState`](crate::UpstreamState); see [`Upstream::state`].
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// The sequence number of its last heartbeat.
    #[prost(uint64, tag = "8")]
    pub heartbeat_number: u64,
    /// How long ago the sender received that heartbeat, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub age_ms: u64,
    /// Key shares that the upstream says it holds.
    #[prost(message, repeated, tag = "10")]
    pub holds: Vec<KeyShare>,
    /// How long ago the sender first heard of it, in milliseconds: of two registrations of one address the younger counts.
    #[prost(uint64, tag = "11")]
    pub registered_ms_ago: u64,
    /// The lease epoch of the placement holder that answered its last heartbeat.
    #[prost(uint64, tag = "12")]
    pub holder: u64,
    /// How many requests it runs at a time, where it reports its load in responses; else zero.
    #[prost(uint32, tag = "13")]
    pub slots: u32,
    /// What it released since its last acknowledged heartbeat, with handover tokens for the next owners.
    #[prost(message, repeated, tag = "14")]
    pub released: Vec<KeyShare>,
}

/// A range of key slots, owned under `epoch`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct KeyShare {
    /// The first slot.
    #[prost(uint32, tag = "1")]
    pub from: u32,
    /// The slot after the last.
    #[prost(uint32, tag = "2")]
    pub until: u32,
    /// The fencing token of the assignment.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// The upstream that owns the range; empty where nobody does.
    #[prost(string, tag = "4")]
    pub instance: String,
    /// The last owner's token, with which the keys come warm; only in the response to a heartbeat.
    #[prost(string, tag = "5")]
    pub handover: String,
}

/// A batch of heartbeats that the sender received.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Heartbeats {
    /// The upstreams, as their heartbeats describe them.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Upstream>,
    /// Where not 0, the receiver answers with [`HeartbeatsAck`] once it has applied them.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
}

/// The heartbeats sent with this nonce were applied.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct HeartbeatsAck {
    /// That of the batch.
    #[prost(fixed64, tag = "1")]
    pub nonce: u64,
}

/// Upstreams that the sender heard from lately, in short: each has one place in each list.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct HeartbeatDigest {
    /// A digest of each upstream's record.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// The sequence number of its last heartbeat.
    #[prost(uint64, repeated, tag = "2")]
    pub heartbeat_numbers: Vec<u64>,
    /// How long ago that was received, in milliseconds.
    #[prost(uint64, repeated, tag = "3")]
    pub ages_ms: Vec<u64>,
    /// The receiver forwards it to the control nodes of its region.
    #[prost(bool, tag = "4")]
    pub should_forward: bool,
}

/// Asks for all that the receiver knows of upstreams, after a start; with digests, for just these.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpstreamsRequest {
    /// Digests of the records that are asked for; empty for all.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
    /// Drawn anew at each start of the sender, where it asks for all.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// The answer to [`UpstreamsRequest`], with the last placement.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpstreamsReply {
    /// The upstreams.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Upstream>,
    /// The last placement.
    #[prost(message, required, tag = "2")]
    pub placement: Placement,
    /// The node that made it.
    #[prost(string, tag = "3")]
    pub placed_by: String,
    /// That of the request; 0 from an earlier release.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Forwards a heartbeat to the placement holder, and asks for the key shares of that upstream.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct SharesRequest {
    /// Repeated in the reply.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The upstream, as its heartbeat describes it.
    #[prost(message, required, tag = "2")]
    pub upstream: Upstream,
}

/// The answer to [`SharesRequest`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct SharesReply {
    /// That of the request.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// All that the upstream owns from now on.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<KeyShare>,
    /// For how long, counted from when the upstream sent its heartbeat, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub span_ms: u64,
    /// The lease epoch of the placement holder.
    #[prost(uint64, tag = "4")]
    pub holder: u64,
}

/// An upstream that announced its shutdown or signed off.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Departure {
    /// Empty where the sender did not know the instance.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The upstream's id.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The number of an [`UpstreamState`](crate::UpstreamState); see [`Departure::state`].
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// Its last heartbeat: one that goes on sending them was given up wrongly.
    #[prost(uint64, tag = "4")]
    pub heartbeat_number: u64,
}

/// Recent departures, as a control node stores them for its next incarnation.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DeparturesFile {
    /// Higher with each write.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Since the boot of the machine, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub written_at_ms: u64,
    /// The departures.
    #[prost(message, repeated, tag = "3")]
    pub departures: Vec<Departure>,
}

/// A majority read by a node that knows of recent departures. It sends their digest, and a voter that knows others
/// lists its own in the answer: whoever is confirmed by a majority knows what a majority knew before.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DeparturesRead {
    /// The read.
    #[prost(message, required, tag = "1")]
    pub read: Read,
    /// A digest of the departures that the reader knows.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// The answer to [`DeparturesRead`].
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DeparturesReadBack {
    /// The answer to the read.
    #[prost(message, required, tag = "1")]
    pub read_back: ReadBack,
    /// Departures that the reader may lack.
    #[prost(message, repeated, tag = "2")]
    pub departures: Vec<Departure>,
}
