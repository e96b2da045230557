//! Proof: rule checkers, stand-in back ends and origins, a simulator and a local fleet of real processes.

pub mod changes;
pub mod facts;
pub mod fleet;
pub mod history;
pub mod hollow;
pub mod origins;
pub mod report;
pub mod rules;
pub mod scripted;
pub mod shapes;
pub mod sim;
pub mod upstreams;
pub mod wires;

#[cfg(test)]
mod breaches;
