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

pub use connection::{
    CONNECT_TIMEOUT, Connection, Exchange, MAX_SKIPPED_RESPONSES, OutboundRequest,
};
pub use http_client::{CallError, HttpClient, Reply, header_map};
pub use http_server::{
    HttpRequest, MAX_BODY_BYTES, body_response, json_response, redirect, result_response, serve,
};
pub use links::{Arrival, Links, MAX_QUEUE_TIME, MessageCount, SentCounts, send_datagram};
pub use listeners::{Listeners, StartError, error_chain, exit_on_start_error, listen};
pub use pool::ConnectionPool;
pub use reload::{Reload, reload_signal};
pub use response_match::{ResponseContext, ResponseId, ResponseMatch, match_response};
pub use start::{
    Clock, Program, exit, parse_settings_or_exit, random_seed, seed_addresses, since_boot,
    stop_signal,
};
pub use wire::close_unacknowledged_after;
