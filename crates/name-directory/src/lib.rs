//! Names: which locality owns each, the marks left behind, and what a directory node answers.

mod answer;
mod patch;
mod placement;
mod view;

pub use answer::{LookupAnswer, OwnershipMode, list};
pub use patch::{change, latest_grants, patch, patched, take_change, uncovered};
pub use placement::{Needs, Times, ZoneAssigner};
pub use view::{ConfigurationReader, Proxy, Senders, Upstreams, View, is_home, is_within};
