//! Back ends: what their beats say, told between postmasters, and who holds which keys.

mod fair;
mod grants;
mod heartbeat;
mod holds;
mod load;
mod ranges;
mod registry;
mod runs;
mod shares;
mod table;

pub use heartbeat::{
    Grant, Heartbeat, HeldKeyRange, KeyAssignment, MAX_HANDOVER_TOKEN_BYTES, ReleasedKeyRange,
};
pub use load::LoadHistogram;
pub use ranges::{KeyLeaseTerms, KeyRangeAssigner, MAX_INSTANCES, MAX_RANGES_PER_HEARTBEAT};
pub use registry::{
    DEREGISTERED, DRAINING, READY, UpstreamRegistry, digest, is_deregistered_digest,
};
pub use shares::SlotAssigner;
pub use table::MAX_RANGES;
