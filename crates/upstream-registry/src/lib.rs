//! Upstream registry and key assignment; pure state machines without I/O or a clock of their own.
//!
//! * [`UpstreamRegistry`] holds every upstream (back-end instance) that this control node knows. It is soft state:
//!   heartbeats, received from the upstream or gossiped by other control nodes, refresh it, and silent upstreams expire.
//! * [`KeyRangeAssigner`] assigns ranges of numeric keys to the upstreams of one service. It runs on the holder of the
//!   placement lease.
//! * [`SlotAssigner`] does the same for services whose keys are hashed into slots.
//!
//! # How keys are assigned, handed over and fenced
//!
//! Each key has at most one live owner. The holder of the placement lease answers an upstream's heartbeat with every key
//! that the upstream is to own until its next heartbeats renew them; a key that is left out of the response is revoked.
//! A key moves to another upstream only once its owner no longer lists it in a heartbeat, or once the owner's key lease
//! has expired on every clock within the tolerated error.
//!
//! Every grant carries a fencing token (`fence`, `epoch`) that is higher than that of any earlier grant of the same key:
//! the epoch of the placement lease in the upper bits, a counter of grants in the lower ones.
//!
//! Who was granted numeric keys stands in a record that the voters keep ([`OwnerRecord`]). By it a new holder of the
//! placement lease gives keys back to their owners at once, and to others once earlier grants must have expired. Where no
//! record is known it grants nothing free until then, and adopts what the upstreams list in the meantime. The reasoning
//! stands in `docs/design/keys.md`.

mod key_ranges;
mod owner_record;
mod registry;
mod slots;

pub use key_ranges::{
    Grant, Heartbeat, HeldKeyRange, KeyAssignment, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram,
    MAX_HANDOVER_TOKEN_BYTES, MAX_INSTANCES, MAX_RANGES, MAX_RANGES_PER_HEARTBEAT,
    ReleasedKeyRange,
};
pub use owner_record::{OwnerRecord, ToVoter};
pub use registry::{UpstreamRegistry, digest, is_deregistered_digest};
pub use slots::SlotAssigner;
