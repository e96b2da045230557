//! The simulator: the daemons' own cores in virtual time, over a network and disks that fail on purpose.
//! One seed gives one run, byte for byte.

use crate::shapes::Shape;

mod breaking;
mod connections;
mod cuts;
mod disks;
mod faults;
pub mod grants;
mod net;
mod nodes;
mod operators;
mod order_faults;
pub mod overload;
mod path;
mod ranged;
pub mod report;
pub mod seeds;
pub mod shapes;
mod signing_off;
mod units;
mod world;

pub use faults::{FAULTS, FURTHER, Fault, LongCut, Plan, Step, fault_names};
pub use world::{Load, Outcome, VoterLoss, Weakness, World};

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
