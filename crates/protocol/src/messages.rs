//! The messages. Spans and ages travel in milliseconds; no message carries an instant.

use crate::VoterSet;
use prost::{Message, Oneof};

/// One message with its sender.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Envelope {
    #[prost(string, tag = "1")]
    pub from: String,
    #[prost(
        oneof = "Payload",
        tags = "2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,25,26,27,28,29,30,31,32,40,41,50,51,52,60,61"
    )]
    pub body: Option<Payload>,
}

/// What a envelope may hold.
#[derive(Clone, PartialEq, Hash, Oneof)]
pub enum Payload {
    #[prost(message, tag = "2")]
    Prepare(Prepare),
    #[prost(message, tag = "3")]
    Promise(Promise),
    #[prost(message, tag = "4")]
    Accept(Accept),
    #[prost(message, tag = "5")]
    Accepted(Accepted),
    #[prost(message, tag = "6")]
    Read(Read),
    #[prost(message, tag = "7")]
    ReadBack(ReadBack),
    #[prost(message, tag = "8")]
    Chosen(Chosen),
    #[prost(message, tag = "9")]
    ConfigurationBytes(ConfigurationBytes),
    #[prost(message, tag = "10")]
    ConfigurationRequest(ConfigurationRequest),
    #[prost(message, tag = "11")]
    BootstrapVote(BootstrapVote),
    #[prost(message, tag = "12")]
    Bootstrapped(Bootstrapped),
    #[prost(message, tag = "13")]
    Probe(Probe),
    #[prost(message, tag = "14")]
    IndirectProbe(IndirectProbe),
    #[prost(message, tag = "15")]
    ProbeReply(ProbeReply),
    #[prost(message, tag = "16")]
    LeaseRequest(LeaseRequest),
    #[prost(message, tag = "17")]
    LeaseReply(LeaseReply),
    #[prost(message, tag = "18")]
    Heartbeats(Heartbeats),
    #[prost(message, tag = "19")]
    SharesRequest(SharesRequest),
    #[prost(message, tag = "20")]
    SharesReply(SharesReply),
    #[prost(message, tag = "21")]
    Placement(Placement),
    #[prost(message, tag = "22")]
    UpdateRequest(UpdateRequest),
    #[prost(message, tag = "23")]
    Freshness(Freshness),
    #[prost(message, tag = "24")]
    ViewUpdate(ViewUpdate),
    #[prost(message, tag = "25")]
    UpdateAck(UpdateAck),
    #[prost(message, tag = "26")]
    LeaseRelease(LeaseRelease),
    #[prost(message, tag = "27")]
    UpstreamsRequest(UpstreamsRequest),
    #[prost(message, tag = "28")]
    UpstreamsReply(UpstreamsReply),
    #[prost(message, tag = "29")]
    LeaseHolder(LeaseHolder),
    #[prost(message, tag = "30")]
    DataPlaneAck(DataPlaneAck),
    #[prost(message, tag = "40")]
    KeyLoads(KeyLoads),
    #[prost(message, tag = "31")]
    HeartbeatDigest(HeartbeatDigest),
    #[prost(message, tag = "41")]
    PlacementRequest(PlacementRequest),
    #[prost(message, tag = "32")]
    VoterLeaving(VoterLeaving),
    #[prost(message, tag = "50")]
    HeartbeatsAck(HeartbeatsAck),
    #[prost(message, tag = "51")]
    DeparturesRead(DeparturesRead),
    #[prost(message, tag = "52")]
    DeparturesReadBack(DeparturesReadBack),
    #[prost(message, tag = "60")]
    AcceptDelta(AcceptDelta),
    #[prost(message, tag = "61")]
    ChosenDelta(ChosenDelta),
}

/// A proposer's turn. Higher rounds win; `incarnation` is drawn anew at each start of a process, so a
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
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(string, tag = "2")]
    pub voter: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// The replicated state: all that the register keeps.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ClusterState {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The digest of the setup's bytes; empty before the first.
    #[prost(string, tag = "2")]
    pub digest: String,
    /// Localities that are evacuated.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// The latest submissions with their verdicts, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub submissions: Vec<DecidedChange>,
    /// The operator's own number of the setup; 0 where there is none.
    #[prost(uint64, tag = "5")]
    pub number: u64,
    /// How many submissions with an id were decided so far, those included that are no longer remembered.
    #[prost(uint64, tag = "6")]
    pub decided: u64,
    /// The latest setups with an operator's own number that came into force, oldest first.
    #[prost(message, repeated, tag = "7")]
    pub numbers: Vec<VersionedConfiguration>,
    /// When each locality was last evacuated or taken back, the latest last.
    #[prost(message, repeated, tag = "8")]
    pub locality_changes: Vec<LocalityChange>,
    /// Who votes on the next state.
    #[prost(message, required, tag = "9")]
    pub voter_set: VoterSet,
}

/// The edition that evacuated a locality, or took it back.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LocalityChange {
    #[prost(string, tag = "1")]
    pub locality: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A setup that came into force under an operator's own number.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct VersionedConfiguration {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A short digest of the setup's own.
    #[prost(string, tag = "2")]
    pub digest: String,
}

/// A submission that was decided.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DecidedChange {
    #[prost(string, tag = "1")]
    pub id: String,
    /// What was asked for, by a short digest, so that an id cannot be used for two things.
    #[prost(string, tag = "2")]
    pub asked: String,
    /// The edition it made, or the present one where it was denied.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    #[prost(uint32, tag = "4")]
    pub code: u32,
}

/// What a voter keeps on disk and answers from.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DurableState {
    /// The identity mark of this disk, drawn when it was founded or mended; 0 on a blank disk.
    #[prost(uint64, tag = "1")]
    pub disk: u64,
    /// The voters when this disk was founded or recovered; empty before. Who votes now stands in the accepted state.
    #[prost(string, repeated, tag = "2")]
    pub initial_voters: Vec<String>,
    /// The one roster this voter endorsed while founding.
    #[prost(string, repeated, tag = "3")]
    pub bootstrap_vote: Vec<String>,
    #[prost(message, required, tag = "4")]
    pub promised: Ballot,
    #[prost(message, required, tag = "5")]
    pub accepted_at: Ballot,
    #[prost(message, required, tag = "6")]
    pub accepted: ClusterState,
    /// The highest lease epoch this voter ever granted.
    #[prost(uint64, tag = "7")]
    pub lease_epoch: u64,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Prepare {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The sender takes states as a [`StateDelta`] of one with so many decided submissions; 0 where it wants them whole,
    /// none where it is of an earlier version, which knows no other way.
    #[prost(uint64, optional, tag = "2")]
    pub since: Option<u64>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Promise {
    /// The ballot asked about.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The highest ballot promised: equal to `ballot` where the promise was given.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    #[prost(message, required, tag = "3")]
    pub accepted_at: Ballot,
    #[prost(message, required, tag = "4")]
    pub accepted: ClusterState,
    #[prost(uint64, tag = "5")]
    pub disk: u64,
    #[prost(uint64, tag = "6")]
    pub lease_epoch: u64,
    /// What was accepted, in the place of `accepted`. Both are left out where the promise was not given.
    #[prost(message, optional, tag = "7")]
    pub delta: Option<StateDelta>,
    /// As in [`Prepare`]: how the sender of this promise takes the state that it is to accept.
    #[prost(uint64, optional, tag = "8")]
    pub since: Option<u64>,
}

/// A state for a receiver that holds an earlier one: of the submissions only those are told that were decided since.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct StateDelta {
    /// The state with the latest submissions only.
    #[prost(message, required, tag = "1")]
    pub state: ClusterState,
    /// How many submissions the whole state remembers.
    #[prost(uint64, tag = "2")]
    pub remembered: u64,
    /// Of the whole state's encoding.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

/// An [`Accept`] whose state is told as a difference. It is a message of its own, which an earlier version leaves
/// unread: to that an `Accept` without a state would name an empty one.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct AcceptDelta {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub delta: StateDelta,
    #[prost(uint64, tag = "3")]
    pub disk: u64,
    #[prost(uint64, tag = "4")]
    pub lease_epoch: u64,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Accept {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub state: ClusterState,
    /// The disk whose promise was counted: another disk must deny.
    #[prost(uint64, tag = "3")]
    pub disk: u64,
    /// The highest lease epoch among the promises: a new voter must know what the others granted.
    #[prost(uint64, tag = "4")]
    pub lease_epoch: u64,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Accepted {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    #[prost(bool, tag = "3")]
    pub done: bool,
    /// The voter lacks the setup's bytes.
    #[prost(bool, tag = "4")]
    pub wants_bytes: bool,
    /// The voter holds no state that the difference fits to.
    #[prost(bool, tag = "5")]
    pub wants_state: bool,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Read {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// What the reader knows already: a state accepted at this ballot is left out of the answer.
    #[prost(message, required, tag = "2")]
    pub known: Ballot,
    /// As in [`Prepare`]: how the reader takes the answer's state.
    #[prost(uint64, optional, tag = "3")]
    pub since: Option<u64>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct ReadBack {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// None where it is what the question named as known; then the state is left out too.
    #[prost(message, optional, tag = "2")]
    pub accepted_at: Option<Ballot>,
    /// Left out where it is older than what the question named as known, or told as a difference.
    #[prost(message, optional, tag = "3")]
    pub accepted: Option<ClusterState>,
    #[prost(message, optional, tag = "4")]
    pub delta: Option<StateDelta>,
}

/// A state known to be accepted by a majority.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Chosen {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub state: ClusterState,
}

/// A [`Chosen`] for receivers that take states as differences.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ChosenDelta {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// None where the receiver was asked to accept the state: it has it by its ballot, or reads.
    #[prost(message, optional, tag = "2")]
    pub delta: Option<StateDelta>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct ConfigurationBytes {
    #[prost(string, tag = "1")]
    pub digest: String,
    /// Squeezed; the digest is that of the setup itself.
    #[prost(bytes = "vec", tag = "2")]
    pub compressed: Vec<u8>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct ConfigurationRequest {
    #[prost(string, tag = "1")]
    pub digest: String,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct BootstrapVote {
    /// The roster that the sender endorsed; empty while it endorsed none.
    #[prost(string, repeated, tag = "1")]
    pub initial_voters: Vec<String>,
    /// Drawn anew at each start of the sender; wants to be echoed.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The receiver's incarnation, where this is an answer.
    #[prost(uint64, tag = "3")]
    pub echo: u64,
    /// What an operator left on the sender's disk for a founding after the voters were lost; else empty.
    #[prost(string, tag = "4")]
    pub inherits: String,
}

/// What one surviving voter's disk says, for a founding after too many others were lost.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct SurvivorState {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(message, required, tag = "2")]
    pub durable: DurableState,
    /// The bytes of the accepted setup, where the disk has them.
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Bootstrapped {
    /// Who votes, as far as the sender knows.
    #[prost(message, required, tag = "2")]
    pub voter_set: VoterSet,
}

/// A voter is about to end, and hands its place to a replica that can take it.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct VoterLeaving {}

/// What is known of one node, as membership tells it on.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// 0 alive, 1 suspect, 2 gone, 3 left.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    #[prost(string, tag = "4")]
    pub locality: String,
    /// `postmaster`, or the carrier's roles with commas.
    #[prost(string, tag = "5")]
    pub roles: String,
    /// Where UDP probes go.
    #[prost(string, tag = "6")]
    pub probe_address: String,
    /// Where other processes connect; left out on the way where it is the same as for probes.
    #[prost(string, tag = "7")]
    pub link_address: String,
    /// Where HTTP is served.
    #[prost(string, tag = "8")]
    pub http_address: String,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Probe {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// ViewUpdate of members; mostly there is none.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
    /// Who asks.
    #[prost(string, tag = "3")]
    pub node: String,
    /// A digest of all members that the sender counts as there.
    #[prost(fixed64, tag = "4")]
    pub table: u64,
}

/// Asks a third party for its opinion of `target`.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct IndirectProbe {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(string, tag = "2")]
    pub target: String,
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<Member>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct ProbeReply {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
    /// Who was heard: the sender, or the target of a `IndirectProbe`.
    #[prost(string, tag = "3")]
    pub node: String,
    /// Where the two tables of members differ: the digests of the sender's records of one part of it.
    #[prost(fixed64, repeated, tag = "4")]
    pub marks: Vec<u64>,
    /// Which part, of how many; 0 parts where no marks are told.
    #[prost(uint64, tag = "5")]
    pub part: u64,
    #[prost(uint64, tag = "6")]
    pub parts: u64,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseRequest {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// The sender holds this epoch at the moment.
    #[prost(bool, tag = "3")]
    pub renewal: bool,
    /// The epoch of the voters whose quorum the sender asks: a voter that knows newer voters denies.
    #[prost(uint64, tag = "4")]
    pub voter_epoch: u64,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseReply {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    #[prost(bool, tag = "3")]
    pub granted: bool,
    #[prost(uint64, tag = "4")]
    pub highest_epoch: u64,
    /// Where denied: how long until asking again may help.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
    /// This voter never granted any lease before.
    #[prost(bool, tag = "6")]
    pub first: bool,
}

/// Gives a lease, or a candidate's votes, back before the end.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseRelease {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// It was never held: the candidate gave up without a majority.
    #[prost(bool, tag = "2")]
    pub unheld: bool,
}

/// One upstream as its beats describe it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Upstream {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub instance: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(string, tag = "4")]
    pub locality: String,
    #[prost(uint32, tag = "5")]
    pub free_slots: u32,
    #[prost(bool, tag = "6")]
    pub warm: bool,
    /// 0 ready, 1 leaving, 2 gone (signed off, replaced or silent too long).
    #[prost(uint32, tag = "7")]
    pub state: u32,
    #[prost(uint64, tag = "8")]
    pub beat: u64,
    /// How old this beat is at its sender.
    #[prost(uint64, tag = "9")]
    pub age_ms: u64,
    /// Key shares the upstream says it holds.
    #[prost(message, repeated, tag = "10")]
    pub holds: Vec<KeyShare>,
    /// How long ago the sender first heard of it: of two registrations of one address the younger counts.
    #[prost(uint64, tag = "11")]
    pub born_ms: u64,
    /// The epoch of the holder that answered its last beat.
    #[prost(uint64, tag = "12")]
    pub holder: u64,
    /// How many requests it runs at a time, where it tells its load in answers; else zero.
    #[prost(uint32, tag = "13")]
    pub slots: u32,
    /// What it let go since its last acknowledged beat, with tokens for the next holders.
    #[prost(message, repeated, tag = "14")]
    pub released: Vec<KeyShare>,
}

/// A range of key slots (`from` up to, not including, `until`) held under `epoch`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct KeyShare {
    #[prost(uint32, tag = "1")]
    pub from: u32,
    #[prost(uint32, tag = "2")]
    pub until: u32,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    #[prost(string, tag = "4")]
    pub instance: String,
    /// The last holder's token, with which the keys come warm; only in an answer to a beat.
    #[prost(string, tag = "5")]
    pub handover: String,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Heartbeats {
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Upstream>,
    /// Where not 0, the receiver answers with [`HeartbeatsAck`] once it has taken them in.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
}

/// The beats sent with this nonce were taken in.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct HeartbeatsAck {
    #[prost(fixed64, tag = "1")]
    pub nonce: u64,
}

/// An upstream that said that it leaves, or that it is gone.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Departure {
    /// Empty where nobody there knew the instance.
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub instance: String,
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// Its last beat: one that goes on beating was given up wrongly.
    #[prost(uint64, tag = "4")]
    pub beat: u64,
}

/// Recent departures, as a control node keeps them on its disk for its next life.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DeparturesFile {
    /// Each write's is higher than the one before.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Since the boot of the machine.
    #[prost(uint64, tag = "2")]
    pub written_at_ms: u64,
    #[prost(message, repeated, tag = "3")]
    pub departures: Vec<Departure>,
}

/// A majority read by a node that knows of recent departures: their digest goes along, and a voter that knows others
/// names its own in the answer. So whoever is confirmed by a majority knows what a majority knew before.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DeparturesRead {
    #[prost(message, required, tag = "1")]
    pub read: Read,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// The answer to a read, with the departures that the reader may lack.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DeparturesReadBack {
    #[prost(message, required, tag = "1")]
    pub read_back: ReadBack,
    #[prost(message, repeated, tag = "2")]
    pub departures: Vec<Departure>,
}

/// Upstreams that beat at the sender of late, in short: one place of each list for each.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct HeartbeatDigest {
    #[prost(fixed64, repeated, tag = "1")]
    pub marks: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    pub beats: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub ages_ms: Vec<u64>,
    /// The receiver tells it on to the postmasters of its region.
    #[prost(bool, tag = "4")]
    pub tell_on: bool,
}

/// A postmaster that just started asks for all that the others know of upstreams; with marks, one asks for just these.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpstreamsRequest {
    #[prost(fixed64, repeated, tag = "1")]
    pub marks: Vec<u64>,
    /// Drawn anew at each start of the asker, where it asks for all.
    #[prost(uint64, tag = "2")]
    pub life: u64,
}

/// All of it, with the last placement.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpstreamsReply {
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Upstream>,
    #[prost(message, required, tag = "2")]
    pub placement: Placement,
    #[prost(string, tag = "3")]
    pub placed_by: String,
    /// The life of the asker, as it said; 0 where the sender is of an older version.
    #[prost(uint64, tag = "4")]
    pub life: u64,
}

/// Who holds the placement duty from now on.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct LeaseHolder {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct SharesRequest {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(message, required, tag = "2")]
    pub upstream: Upstream,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct SharesReply {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<KeyShare>,
    #[prost(uint64, tag = "3")]
    pub span_ms: u64,
    #[prost(uint64, tag = "4")]
    pub holder: u64,
}

/// Which locality owns a name.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Reservation {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub locality: String,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// How long ago the span began, at the sender.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Left where a name used to live: it lives at `to` now.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Tombstone {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub from: String,
    #[prost(string, tag = "3")]
    pub to: String,
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// How long ago the name left, at the sender.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// All that the placement duty decided, under its lease.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Placement {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, repeated, tag = "3")]
    pub reservations: Vec<Reservation>,
    #[prost(message, repeated, tag = "4")]
    pub tombstones: Vec<Tombstone>,
    #[prost(message, repeated, tag = "5")]
    pub shares: Vec<ServiceKeyShares>,
    /// True where it holds changes of shares alone: rows, and rows without an instance where nobody holds any more.
    #[prost(bool, tag = "6")]
    pub partial: bool,
    /// Where partial: the number that it follows.
    #[prost(uint64, tag = "7")]
    pub after: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ServiceKeyShares {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<KeyShare>,
}

/// A carrier asks how current it is, naming the last news it kept.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpdateRequest {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(uint64, tag = "2")]
    pub stream: u64,
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Requests that came to the carrier since its last question, by key.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<KeyLoad>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct Freshness {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// How long ago a majority confirmed the edition.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    #[prost(uint64, tag = "3")]
    pub stream: u64,
    /// The last number sent on this stream: a carrier that kept less is behind.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// ViewUpdate to a carrier: an image (number 0 of a new stream), or the change after the last.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct ViewUpdate {
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, optional, tag = "3")]
    pub state: Option<ClusterState>,
    /// Squeezed on the way.
    #[prost(bytes = "vec", optional, tag = "4")]
    pub configuration: Option<Vec<u8>>,
    #[prost(message, repeated, tag = "5")]
    pub upstreams: Vec<Upstream>,
    #[prost(message, optional, tag = "6")]
    pub placement: Option<Placement>,
    /// In an image: its sender does not know all upstreams yet, and what is known besides stays.
    #[prost(bool, tag = "7")]
    pub keeps_upstreams: bool,
    /// In an image: the nonce of the question that it answers; 0 where the sender is of an older version.
    #[prost(uint64, tag = "8")]
    pub asked: u64,
    /// In an image: how long ago a majority confirmed what its sender knows.
    #[prost(uint64, optional, tag = "9")]
    pub age_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Hash, Message)]
pub struct UpdateAck {
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The edition in force at the carrier.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A postmaster tells the others which edition a carrier acknowledged to it.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct DataPlaneAck {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Requests of one service that came in lately, over equal parts of its keys.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct KeyLoad {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Which parts, in order.
    #[prost(uint32, repeated, tag = "2")]
    pub parts: Vec<u32>,
    /// How many requests for each of those.
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
}

/// The same, told on to the holder of the placement duty.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct KeyLoads {
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<KeyLoad>,
}

/// Wants the placement whole: a change did not follow what is known.
#[derive(Clone, PartialEq, Hash, Message)]
pub struct PlacementRequest {}
