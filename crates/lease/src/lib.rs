//! A majority lease: one node at a time holds it, granted by a quorum of the voters.
//!
//! Every node runs a [`Lease`], which is a candidate for the lease and, where it votes, one of those that grant it. The
//! crate does no input or output: [`Lease::step`] takes an [`Event`] and returns the [`Effect`]s to carry out.
//!
//! Safety rests on durations alone, not on synchronized clocks. The holder counts the lease's duration from the moment
//! it sent its request and stops a safety margin before the end; a voter counts from the moment it granted. So the
//! holder always stops first, whatever the network does and however long a process is suspended. A voter grants nothing
//! for one whole duration after its start, since it has forgotten what it granted before, and likewise after it has
//! replaced another voter, since it knows of none of the leases that the earlier voters granted.
//!
//! Each lease has an epoch, higher than that of every lease before. It serves as a fencing token, and a voter has it on
//! its disk before it grants.
//!
//! | module | concern |
//! |---|---|
//! | `lease` | the state of one node and its reducer |
//! | `candidate` | requesting, renewing and releasing the lease |
//! | `grants` | what the grants for one request amount to |
//! | `voter` | granting the lease or rejecting requests |
//! | `voters` | who votes, and this node's place among them |
//! | `timing` | durations |
//! | `bounded_step_clock` | the clock by which a voter waits until a grant has surely expired |

mod bounded_step_clock;
mod candidate;
mod event;
mod grants;
mod lease;
mod timing;
mod voter;
mod voters;

pub use bounded_step_clock::{BoundedStepClock, MAX_STEP};
pub use event::{Effect, Event};
pub use lease::Lease;
pub use timing::LeaseTiming;
