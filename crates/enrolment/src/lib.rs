//! Back ends: what their beats say, told between postmasters, and who holds which keys.

mod roll;
mod shares;

pub use roll::{GONE, LEAVING, READY, Roll, mark};
pub use shares::Shares;
