//! A bounded model checker for the pure steps of the quorum register and the lease, each by itself and both in one world.
//!
//! A [`Model`] is a closed world: nodes that run the real `step` functions, their disks, the messages in flight and
//! operators. What the models share of this is in `cluster`. [`search`] visits every state that some order of actions reaches within the model's budgets, breadth
//! first, so the first violation found has a shortest trace. [`walk`] takes one order, drawn by its caller, for worlds
//! that are too large to be searched. Each model has defects that can be switched on, whose violations must be
//! found.

mod clocks;
mod cluster;
mod control_model;
mod disk;
mod lease_model;
mod lease_observer;
mod model;
mod network;
mod random_walk;
mod register_history;
mod register_model;
mod scenarios;
mod search;
mod voters;

pub use cluster::IoStep;
pub use control_model::{
    ControlBudget, ControlDefect, ControlModel, ControlScenario, ControlWorld,
};
pub use lease_model::{LeaseBudget, LeaseDefect, LeaseModel, LeaseWorld};
pub use model::{Invariant, Model, Trace, Violation, replay};
pub use network::Schedule;
pub use random_walk::{Choice, RandomWalk, walk};
pub use register_model::{
    RegisterBudget, RegisterDefect, RegisterModel, RegisterScenario, RegisterWorld, Submission,
};
pub use scenarios::{
    control_scenario, control_scenarios, lease_scenarios, register_scenario, register_scenarios,
};
pub use search::{Limits, Report, search};
pub use voters::{Replacement, VoterChange};
