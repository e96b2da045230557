//! The cost of thousands of configuration changes: the real register and storage of a few control nodes in virtual
//! time, one of them with a real disk, and how a restarted node catches up over a slow link.

mod disk;
mod measurement;
mod operations;
mod process;
mod results;
mod site;

pub use measurement::{measure, submit_in_parts};
pub use results::{CatchUp, Checkpoint, Following, TrafficByKind, Trial};
pub use site::Site;
