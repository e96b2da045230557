//! Names: which locality owns each, the marks left behind, and what a directory node answers.

mod answer;
mod patch;
mod placement;
mod view;

pub use answer::{Listing, Owners, list};
pub use patch::{change, latest_grants, patch, patched, take_change, uncovered};
pub use placement::{Needs, Placer, Times};
pub use view::{Proxy, Senders, SetupReader, Upstreams, View, is_home, is_within};
