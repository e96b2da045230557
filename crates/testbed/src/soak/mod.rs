//! A soak of real processes: signals, restarts, changes and lost upstreams come in series that overlap, all drawn from a
//! seed, while clients keep using their open connections until the process behind them is gone.
//!
//! * [`schedule`] draws what happens when. It is pure: a seed gives the same schedule each time.
//! * [`session`] lays a site out and plays one seed.
//! * `processes` starts, signals and watches the processes; `operators` and `held_connections` are the callers.
//! * [`judgement`] says what is wrong with what was seen. It is pure; its tests feed it what must not pass.

mod held_connections;
pub mod judgement;
mod operators;
mod processes;
mod resources;
pub mod schedule;
pub mod session;
mod upstreams;

pub use session::{SoakOptions, run};
