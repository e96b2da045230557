//! Names: which locality owns each, the marks left behind, and what a directory node answers.

mod answer;
mod patch;
mod placement;
mod view;

pub use answer::{LookupAnswer, OwnershipMode, lookup};
pub use patch::{
    apply_share_changes, apply_share_delta, latest_grants, placement_delta, share_delta, uncovered,
};
pub use placement::{PlacementInputs, PlacementTimes, ZoneAssigner};
pub use view::{
    ConfigurationParser, Proxy, ServiceSenders, Upstreams, View, is_allowed_in, is_in_regions,
};
