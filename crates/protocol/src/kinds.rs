//! What messages are called where they are counted.

use crate::Body;

/// A message's kind, for counters.
///
/// ```
/// assert_eq!(parcel::kind(&parcel::Body::RollAsk(Default::default())), "rollAsk");
/// ```
pub fn kind(body: &Body) -> &'static str {
    match body {
        Body::Probe(_) | Body::ProbeFor(_) | Body::Heard(_) => "membership",
        Body::Read(_) | Body::ReadBack(_) => "confirmations",
        Body::ClaimAsk(_) | Body::ClaimGrant(_) | Body::ClaimDrop(_) | Body::Holder(_) => "claims",
        Body::Beats(_) => "beats",
        Body::Alive(_) => "alive",
        Body::KeyLoads(_) => "keyLoads",
        Body::SharesAsk(_) | Body::SharesGiven(_) => "shares",
        Body::Placement(_) | Body::PlacementAsk(_) => "placement",
        Body::NewsAsk(_) => "newsAsk",
        Body::Fresh(_) | Body::NewsKept(_) | Body::CarrierKept(_) => "newsKept",
        Body::News(news) if news.number == 0 => "newsImage",
        Body::News(_) => "newsChange",
        Body::RollAsk(_) => "rollAsk",
        Body::RollTold(_) => "rollTold",
        Body::SetupBytes(_) | Body::SetupAsk(_) => "setups",
        Body::Prepare(_) | Body::Promise(_) | Body::Accept(_) | Body::Accepted(_) | Body::Chosen(_) => "rounds",
        Body::Endorse(_) | Body::Founded(_) => "founding",
    }
}
