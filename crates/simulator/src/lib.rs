//! The simulator: the daemons' own cores in virtual time, over a network and disks that fail on purpose.
//! One seed gives one run, byte for byte.

use crate::shapes::Shape;

mod clients;
mod command_faults;
mod connections;
mod defects;
mod deregistration;
mod disks;
mod exchange_steps;
mod exchanges;
mod fault_injection;
mod faults;
pub mod grants;
mod heartbeats;
mod load;
mod messaging;
mod network;
mod node_steps;
mod nodes;
mod observer;
mod operators;
mod outcome;
pub mod overload;
mod partitions;
mod processes;
pub mod range_leases;
pub mod report;
mod responses;
mod schedule;
pub mod seeds;
pub mod shapes;
mod submissions;
mod upstream_calls;
mod upstreams;
mod world;

pub use defects::Defects;
pub use faults::{DRAWN_FAULTS, EXTRA_FAULTS, Fault, LongPartition, Plan, Step, fault_names};
pub use load::LoadProfile;
pub use outcome::{Outcome, VoterLoss};
pub use world::World;

/// Runs one seed under a plan; without one, the seed draws its own.
///
/// ```
/// use simulator::shapes::ROADWISE;
/// use simulator::{Plan, run};
/// let first = run(3, Some(Plan::quiet()), ROADWISE);
/// assert_eq!(first.violations, vec![]);
/// assert_eq!(first.digest, run(3, Some(Plan::quiet()), ROADWISE).digest);
/// ```
pub fn run(seed: u64, plan: Option<Plan>, shape: Shape) -> Outcome {
    World::new(seed, plan, shape).run()
}
