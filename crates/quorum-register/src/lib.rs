//! The majority register: one value, the replicated state, kept by the voters' disks.
//!
//! No log and no leader: any voter runs a two-phase round (prepare, accept) for the changes that wait with
//! it. All of it is one reducer, [`Register::step`]; the shell carries out the effects.

mod bootstrap;
mod change;
mod configurations;
mod deltas;
mod disaster_recovery;
mod inspect;
mod proposer;
mod reading;
mod register;
mod replicas;
mod voter;

pub use change::{Change, ChangeId, Decision, apply, apply_to_voters};
pub use disaster_recovery::{RecoveryError, recover_from_survivors};
pub use register::{
    Effect, Event, Register, RegisterConfig, RegisterTiming, Statistics, VoterPhase,
};
