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

pub use heartbeat::{Grant, Heartbeat, Holding, MAX_HANDOVER, Released, Row};
pub use load::Load;
pub use ranges::{MAX_INSTANCES, MAX_ROWS, Ranges, Terms};
pub use registry::{GONE, LEAVING, READY, UpstreamRegistry, is_gone_mark, mark};
pub use shares::Shares;
pub use table::MAX_RANGES;
