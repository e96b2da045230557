//! Plumbing shared by the programs: held links, HTTP on both sides, logs, command lines, the clock.

mod call;
mod connection;
mod desk;
mod doors;
mod identity;
mod links;
mod pool;
mod reload;
mod start;
mod wire;

pub use call::{Called, Caller, Reply, headers};
pub use connection::{CONNECT_WITHIN, Connection, MOST_PASSED, Outbound};
pub use desk::{Enquiry, MOST_BODY_BYTES, answer, json, redirect, serve, verdict};
pub use doors::{Doors, NoStart, causes, end, listen};
pub use identity::{AnswerId, Belongs, Came, belongs};
pub use links::{LONGEST_WAIT, Links, Sent, send_datagram};
pub use pool::Pool;
pub use reload::{Reload, reload_signal};
pub use start::{Clock, Program, begin, chance, exit, seeds, since_boot, stop_signal};
pub use wire::close_unacknowledged_after;
