//! Under which counter each kind of message is counted.

use crate::Payload;

/// The counters' names. Operators read them as JSON and build dashboards on them, so they keep the words of the first
/// release.
mod counter {
    pub(super) const MEMBERSHIP: &str = "membership";
    pub(super) const MAJORITY_READS: &str = "confirmations";
    pub(super) const LEASES: &str = "claims";
    pub(super) const HEARTBEATS: &str = "beats";
    pub(super) const HEARTBEAT_DIGESTS: &str = "alive";
    pub(super) const KEY_LOADS: &str = "keyLoads";
    pub(super) const KEY_SHARES: &str = "shares";
    pub(super) const KEY_OWNERS: &str = "keyOwners";
    pub(super) const PLACEMENT: &str = "placement";
    pub(super) const UPDATE_REQUESTS: &str = "newsAsk";
    pub(super) const UPDATE_ACKS: &str = "newsKept";
    pub(super) const SNAPSHOTS: &str = "newsImage";
    pub(super) const VIEW_CHANGES: &str = "newsChange";
    pub(super) const UPSTREAMS_REQUESTS: &str = "rollAsk";
    pub(super) const UPSTREAMS_REPLIES: &str = "rollTold";
    pub(super) const CONFIGURATIONS: &str = "setups";
    pub(super) const PAXOS: &str = "rounds";
    pub(super) const BOOTSTRAP: &str = "founding";
}

/// The name of the counter that a message is counted under.
///
/// ```
/// assert_eq!(protocol::kind(&protocol::Payload::UpstreamsRequest(Default::default())), "rollAsk");
/// ```
pub fn kind(payload: &Payload) -> &'static str {
    match payload {
        Payload::Prepare(_)
        | Payload::Promise(_)
        | Payload::Accept(_)
        | Payload::AcceptDelta(_)
        | Payload::Accepted(_)
        | Payload::Chosen(_)
        | Payload::ChosenDelta(_) => counter::PAXOS,
        Payload::Read(_)
        | Payload::ReadBack(_)
        | Payload::DeparturesRead(_)
        | Payload::DeparturesReadBack(_) => counter::MAJORITY_READS,
        Payload::ConfigurationBytes(_) | Payload::ConfigurationRequest(_) => {
            counter::CONFIGURATIONS
        }
        Payload::BootstrapVote(_) | Payload::Bootstrapped(_) | Payload::VoterLeaving(_) => {
            counter::BOOTSTRAP
        }
        Payload::Probe(_) | Payload::IndirectProbe(_) | Payload::ProbeReply(_) => {
            counter::MEMBERSHIP
        }
        Payload::LeaseRequest(_)
        | Payload::LeaseReply(_)
        | Payload::LeaseRelease(_)
        | Payload::LeaseHolder(_) => counter::LEASES,
        Payload::Heartbeats(_) | Payload::HeartbeatsAck(_) => counter::HEARTBEATS,
        Payload::HeartbeatDigest(_) => counter::HEARTBEAT_DIGESTS,
        Payload::UpstreamsRequest(_) => counter::UPSTREAMS_REQUESTS,
        Payload::UpstreamsReply(_) => counter::UPSTREAMS_REPLIES,
        Payload::SharesRequest(_) | Payload::SharesReply(_) => counter::KEY_SHARES,
        Payload::Placement(_) | Payload::PlacementRequest(_) => counter::PLACEMENT,
        Payload::KeyOwnersWrite(_)
        | Payload::KeyOwnersWritten(_)
        | Payload::KeyOwnersRead(_)
        | Payload::KeyOwnersReadBack(_) => counter::KEY_OWNERS,
        Payload::KeyLoads(_) => counter::KEY_LOADS,
        Payload::UpdateRequest(_) => counter::UPDATE_REQUESTS,
        Payload::Freshness(_) | Payload::UpdateAck(_) | Payload::DataPlaneAck(_) => {
            counter::UPDATE_ACKS
        }
        Payload::ViewUpdate(update) if update.number == 0 => counter::SNAPSHOTS,
        Payload::ViewUpdate(_) => counter::VIEW_CHANGES,
    }
}
