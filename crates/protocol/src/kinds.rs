//! What messages are called where they are counted.

use crate::Payload;

/// A message's kind, for counters.
///
/// ```
/// assert_eq!(protocol::kind(&protocol::Payload::UpstreamsRequest(Default::default())), "rollAsk");
/// ```
pub fn kind(body: &Payload) -> &'static str {
    match body {
        Payload::Probe(_) | Payload::IndirectProbe(_) | Payload::ProbeReply(_) => "membership",
        Payload::Read(_)
        | Payload::ReadBack(_)
        | Payload::DeparturesRead(_)
        | Payload::DeparturesReadBack(_) => "confirmations",
        Payload::LeaseRequest(_)
        | Payload::LeaseReply(_)
        | Payload::LeaseRelease(_)
        | Payload::LeaseHolder(_) => "claims",
        Payload::Heartbeats(_) | Payload::HeartbeatsAck(_) => "beats",
        Payload::HeartbeatDigest(_) => "alive",
        Payload::KeyLoads(_) => "keyLoads",
        Payload::SharesRequest(_) | Payload::SharesReply(_) => "shares",
        Payload::Placement(_) | Payload::PlacementRequest(_) => "placement",
        Payload::UpdateRequest(_) => "newsAsk",
        Payload::Freshness(_) | Payload::UpdateAck(_) | Payload::DataPlaneAck(_) => "newsKept",
        Payload::ViewUpdate(news) if news.number == 0 => "newsImage",
        Payload::ViewUpdate(_) => "newsChange",
        Payload::UpstreamsRequest(_) => "rollAsk",
        Payload::UpstreamsReply(_) => "rollTold",
        Payload::ConfigurationBytes(_) | Payload::ConfigurationRequest(_) => "setups",
        Payload::Prepare(_)
        | Payload::Promise(_)
        | Payload::Accept(_)
        | Payload::AcceptDelta(_)
        | Payload::Accepted(_)
        | Payload::Chosen(_)
        | Payload::ChosenDelta(_) => "rounds",
        Payload::BootstrapVote(_) | Payload::Bootstrapped(_) | Payload::VoterLeaving(_) => {
            "founding"
        }
    }
}
