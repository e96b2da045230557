//! What messages are called where they are counted.

use crate::Payload;

/// A message's kind, for counters.
///
/// ```
/// assert_eq!(protocol::kind(&protocol::Payload::UpstreamsRequest(Default::default())), "rollAsk");
/// ```
pub fn kind(body: &Payload) -> &'static str {
    match body {
        Payload::Probe(_) | Payload::ProbeFor(_) | Payload::Heard(_) => "membership",
        Payload::Read(_)
        | Payload::ReadBack(_)
        | Payload::DeparturesRead(_)
        | Payload::DeparturesReadBack(_) => "confirmations",
        Payload::LeaseRequest(_)
        | Payload::LeaseReply(_)
        | Payload::LeaseRelease(_)
        | Payload::Holder(_) => "claims",
        Payload::Beats(_) | Payload::BeatsAck(_) => "beats",
        Payload::Alive(_) => "alive",
        Payload::KeyLoads(_) => "keyLoads",
        Payload::SharesRequest(_) | Payload::SharesReply(_) => "shares",
        Payload::Placement(_) | Payload::PlacementRequest(_) => "placement",
        Payload::UpdateRequest(_) => "newsAsk",
        Payload::Freshness(_) | Payload::UpdateAck(_) | Payload::CarrierAck(_) => "newsKept",
        Payload::ViewUpdate(news) if news.number == 0 => "newsImage",
        Payload::ViewUpdate(_) => "newsChange",
        Payload::UpstreamsRequest(_) => "rollAsk",
        Payload::UpstreamsReply(_) => "rollTold",
        Payload::SetupBytes(_) | Payload::SetupAsk(_) => "setups",
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
