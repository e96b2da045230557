//! Proof: rule checkers, stand-in back ends and origins, a simulator and a local fleet of real processes.

pub mod changes;
pub mod fleet;
pub mod hollow;
pub mod origins;
pub mod scripted;
pub mod upstreams;
pub mod wires;

pub use invariants::{history, observations, rules};
pub use simulator as sim;
pub use simulator::{report, shapes};
