//! A scale model of a deployment: the daemons' sans-I/O cores by the hundred in one process and in virtual time, to
//! count the messages they send and measure the processor time they use at sizes that one machine couldn't run.
//! The command line calls such nodes "hollow".

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
pub use traffic_stats::{Flow, FlowKey, Reach, Role, StepStats, Stopwatch, TrafficStats, kind};
pub use trials::{Run, SETTLING_TIME, TRIALS, run};
