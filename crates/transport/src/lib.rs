//! Plumbing shared by the programs: held links, HTTP on both sides, logs, command lines, the clock.

mod call;
mod desk;
mod doors;
mod links;
mod reload;
mod start;

pub use call::{CONNECT_WITHIN, Called, Caller, Connection, Pool, Reply, headers};
pub use desk::{Enquiry, MOST_BODY_BYTES, answer, json, redirect, serve, verdict};
pub use doors::{Doors, NoStart, causes, end, listen};
pub use links::{Links, Sent, send_datagram};
pub use reload::{Reload, reload_signal};
pub use start::{Clock, Program, begin, chance, exit, seeds, stop_signal};
