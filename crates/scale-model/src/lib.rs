//! Hollow nodes: the daemons' own cores by the hundred in one process, in virtual time, to count what they say and
//! what they cost at sizes that no machine here could run.

mod call_tracker;
pub mod changes;
mod command;
mod encoded_sizes;
mod event_queue;
mod figures;
mod fit;
mod fleet;
mod observation;
mod request;
mod size;
mod steps;
mod traffic_stats;
mod trials;
mod upstreams;

pub use command::command;
pub use encoded_sizes::encoded_sizes;
pub use figures::Figures;
pub use fit::{Fit, Growth, fit};
pub use fleet::{Fleet, Load};
pub use request::request_path;
pub use size::{CURRENT_SIZE, Size, TARGET_SIZE};
pub use traffic_stats::{Flow, Reach, Role, StepStats, Stopwatch, TrafficStats, kind};
pub use trials::{Run, SETTLING_TIME, TRIALS, run};
