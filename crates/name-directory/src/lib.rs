//! Name directory: which locality owns each name, and what a data-plane node answers to a lookup. Pure; no I/O and no
//! clock of its own.
//!
//! * [`View`] is the immutable snapshot of the site that a data-plane node works with. Updates from the control plane
//!   make the next one.
//! * [`lookup`] answers a directory request from a view.
//! * [`ZoneAssigner`] decides on the holder of the placement lease which locality owns each name, and leaves a tombstone
//!   (a forwarding entry) where a name has moved away.
//! * [`placement_delta`], [`share_delta`] and [`apply_share_delta`] send only what changed of the key assignments.

mod deltas;
mod home_regions;
mod key_coverage;
mod lookup;
mod senders;
mod view;
mod zone_assigner;

pub use deltas::{apply_share_changes, apply_share_delta, placement_delta, share_delta};
pub use home_regions::{HomeRegionLists, home_regions, is_allowed_in, is_in_regions, region_of};
pub use key_coverage::{latest_grants, uncovered};
pub use lookup::{LookupAnswer, LookupOptions, OwnershipMode, lookup};
pub use senders::ServiceSenders;
pub use view::{ConfigurationParser, PlacementVersion, Proxy, TombstoneKey, Upstreams, View};
pub use zone_assigner::{PlacementInputs, PlacementTimes, ZoneAssigner};
