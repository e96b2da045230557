//! Back ends: what their beats say, told between postmasters, and who holds which keys.

mod fair;
mod grants;
mod heartbeat;
mod holds;
mod load;
mod ranges;
mod roll;
mod runs;
mod shares;
mod table;

pub use heartbeat::{Grant, Heartbeat, Holding, LONGEST_HANDOVER, Released, Row};
pub use load::Load;
pub use ranges::{MOST_INSTANCES, MOST_ROWS, Ranges, Terms};
pub use roll::{GONE, LEAVING, READY, Roll, is_gone_mark, mark};
pub use shares::Shares;
pub use table::MOST_RANGES;
