//! The messages between processes, one module for each role. Spans and ages travel in milliseconds; no message carries
//! an instant, since clocks differ between machines.
//!
//! Tags and types are the wire format: they never change, and a new field takes a new tag.

mod bootstrap;
mod key_owners;
mod lease;
mod membership;
mod placement;
mod register;
mod updates;
mod upstreams;

pub use bootstrap::*;
pub use key_owners::*;
pub use lease::*;
pub use membership::*;
pub use placement::*;
pub use register::*;
pub use updates::*;
pub use upstreams::*;

use prost::{Message, Oneof};

/// One message with its sender.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Envelope {
    /// The node that sends it.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The message; none where it is of a kind that this release doesn't know.
    #[prost(
        oneof = "Payload",
        tags = "2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,25,26,27,28,29,30,31,32,40,41,50,51,52,60,61,70,71,72,73"
    )]
    pub body: Option<Payload>,
}

/// The kinds of messages. The tags are in the order in which the kinds were added.
#[derive(Clone, PartialEq, Hash, Oneof)]
pub enum Payload {
    // The replicated register.
    /// Phase 1a: asks for a promise.
    #[prost(message, tag = "2")]
    Prepare(Prepare),
    /// Phase 1b: the answer.
    #[prost(message, tag = "3")]
    Promise(Promise),
    /// Phase 2a: asks to accept a state.
    #[prost(message, tag = "4")]
    Accept(Accept),
    /// Phase 2a, with a delta.
    #[prost(message, tag = "60")]
    AcceptDelta(AcceptDelta),
    /// Phase 2b: the answer.
    #[prost(message, tag = "5")]
    Accepted(Accepted),
    /// A majority accepted a state.
    #[prost(message, tag = "8")]
    Chosen(Chosen),
    /// The same, with a delta.
    #[prost(message, tag = "61")]
    ChosenDelta(ChosenDelta),
    /// Asks for the state accepted last.
    #[prost(message, tag = "6")]
    Read(Read),
    /// The answer.
    #[prost(message, tag = "7")]
    ReadBack(ReadBack),
    /// The bytes of a configuration.
    #[prost(message, tag = "9")]
    ConfigurationBytes(ConfigurationBytes),
    /// Asks for them.
    #[prost(message, tag = "10")]
    ConfigurationRequest(ConfigurationRequest),
    // Bootstrap and shutdown of voters.
    /// Proposes the initial voters.
    #[prost(message, tag = "11")]
    BootstrapVote(BootstrapVote),
    /// The cluster exists already.
    #[prost(message, tag = "12")]
    Bootstrapped(Bootstrapped),
    /// A voter shuts down.
    #[prost(message, tag = "32")]
    VoterLeaving(VoterLeaving),
    // Membership.
    /// Asks for a sign of life.
    #[prost(message, tag = "13")]
    Probe(Probe),
    /// Asks a third node to probe.
    #[prost(message, tag = "14")]
    IndirectProbe(IndirectProbe),
    /// The answer.
    #[prost(message, tag = "15")]
    ProbeReply(ProbeReply),
    // The lease on the placement role.
    /// Asks for a grant or a renewal.
    #[prost(message, tag = "16")]
    LeaseRequest(LeaseRequest),
    /// The answer.
    #[prost(message, tag = "17")]
    LeaseReply(LeaseReply),
    /// Gives the lease up.
    #[prost(message, tag = "26")]
    LeaseRelease(LeaseRelease),
    /// Names the holder.
    #[prost(message, tag = "29")]
    LeaseHolder(LeaseHolder),
    // Upstreams.
    /// Heartbeats of upstreams, in a batch.
    #[prost(message, tag = "18")]
    Heartbeats(Heartbeats),
    /// The batch was applied.
    #[prost(message, tag = "50")]
    HeartbeatsAck(HeartbeatsAck),
    /// Who was heard from lately, in short.
    #[prost(message, tag = "31")]
    HeartbeatDigest(HeartbeatDigest),
    /// Asks for what is known of upstreams.
    #[prost(message, tag = "27")]
    UpstreamsRequest(UpstreamsRequest),
    /// The answer.
    #[prost(message, tag = "28")]
    UpstreamsReply(UpstreamsReply),
    /// Asks for the key shares of an upstream.
    #[prost(message, tag = "19")]
    SharesRequest(SharesRequest),
    /// The answer.
    #[prost(message, tag = "20")]
    SharesReply(SharesReply),
    /// A read that compares departures.
    #[prost(message, tag = "51")]
    DeparturesRead(DeparturesRead),
    /// The answer.
    #[prost(message, tag = "52")]
    DeparturesReadBack(DeparturesReadBack),
    // Placement.
    /// What the placement role decided.
    #[prost(message, tag = "21")]
    Placement(Placement),
    /// Asks for a complete placement.
    #[prost(message, tag = "41")]
    PlacementRequest(PlacementRequest),
    /// Load by key, for the placement holder.
    #[prost(message, tag = "40")]
    KeyLoads(KeyLoads),
    // The record of key owners.
    /// Asks a voter to keep a record.
    #[prost(message, tag = "70")]
    KeyOwnersWrite(KeyOwnersWrite),
    /// The answer.
    #[prost(message, tag = "71")]
    KeyOwnersWritten(KeyOwnersWritten),
    /// Asks for the record.
    #[prost(message, tag = "72")]
    KeyOwnersRead(KeyOwnersRead),
    /// The answer.
    #[prost(message, tag = "73")]
    KeyOwnersReadBack(KeyOwnersReadBack),
    // Updates of data-plane nodes.
    /// Asks whether a view is current.
    #[prost(message, tag = "22")]
    UpdateRequest(UpdateRequest),
    /// It is.
    #[prost(message, tag = "23")]
    Freshness(Freshness),
    /// An update of the view.
    #[prost(message, tag = "24")]
    ViewUpdate(ViewUpdate),
    /// It was applied.
    #[prost(message, tag = "25")]
    UpdateAck(UpdateAck),
    /// What a data-plane node acknowledged, for the other control nodes.
    #[prost(message, tag = "30")]
    DataPlaneAck(DataPlaneAck),
}
