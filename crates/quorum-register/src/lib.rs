//! The majority register: one value, the operator's word, kept by the voters' disks.
//!
//! No log and no leader: any voter runs a two-phase round (prepare, accept) for the changes that wait with
//! it. All of it is one reducer, [`Register::step`]; the shell carries out the effects.

mod founding;
mod proposer;
mod reading;
mod register;
mod testament;
mod voter;
mod wish;

pub use register::{Effect, Event, Register, Standing, Start, Tally, Times};
pub use testament::{Unsettled, settle};
pub use wish::{Change, Verdict, apply};
