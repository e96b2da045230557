//! Plumbing shared by the programs: held links, HTTP on both sides, logs, command lines, the clock.

mod connection;
mod http_client;
mod http_server;
mod links;
mod listeners;
mod pool;
mod reload;
mod response_match;
mod start;
mod wire;

pub use connection::{CONNECT_WITHIN, Connection, MAX_PASSED, Outbound};
pub use http_client::{CallError, HttpClient, Reply, headers};
pub use http_server::{
    HttpRequest, MAX_BODY_BYTES, answer, json_response, redirect, result_response, serve,
};
pub use links::{Links, MAX_WAIT, Sent, send_datagram};
pub use listeners::{Listeners, StartError, causes, end, listen};
pub use pool::Pool;
pub use reload::{Reload, reload_signal};
pub use response_match::{ResponseArrival, ResponseId, ResponseMatch, match_response};
pub use start::{Clock, Program, begin, chance, exit, seeds, since_boot, stop_signal};
pub use wire::close_unacknowledged_after;
