//! What the programs share around their logic: links between nodes, HTTP on both sides, command lines, settings, logs
//! and the clock.
//!
//! - Links: [`Links`] carries messages between nodes over TCP, one bounded queue for each peer; [`send_datagram`] sends
//!   one over UDP.
//! - HTTP client: [`HttpClient`] calls an address; [`Connection`] and [`ConnectionPool`] are for callers that manage
//!   connections themselves. [`match_response`] keeps a response to its request.
//! - HTTP server: [`serve`] hands each [`HttpRequest`] to a handler.
//! - Programs: [`parse_settings_or_exit`], [`Reload`], [`Listeners`], [`stop_signal`], [`exit`].
//! - Time and chance: [`Clock`], [`random_seed`].

mod clock;
mod command_line;
mod connection;
pub mod exit;
mod http_client;
mod http_request;
mod http_response;
mod http_server;
mod in_flight;
mod link;
mod link_queue;
mod links;
mod listeners;
mod output;
mod pool;
mod program;
mod random_seed;
mod recorded_stream;
mod reload;
mod response;
mod response_match;
mod seeds;
mod signals;

pub use clock::{Clock, since_boot};
pub use connection::{CONNECT_TIMEOUT, Connection, Exchange, OutboundRequest};
pub use http_client::{CallError, HttpClient, Reply, header_map};
pub use http_request::{HttpRequest, MAX_BODY_BYTES};
pub use http_response::{body_response, json_response, redirect, result_response};
pub use http_server::serve;
pub use in_flight::MAX_SKIPPED_RESPONSES;
pub use link_queue::MAX_QUEUE_TIME;
pub use links::{Arrival, Links, MessageCount, SentCounts, send_datagram};
pub use listeners::{Listeners, StartError, error_chain, exit_on_start_error, listen};
pub use output::print_line;
pub use pool::ConnectionPool;
pub use program::{Program, parse_settings_or_exit};
pub use random_seed::random_seed;
pub use recorded_stream::set_unacknowledged_timeout;
pub use reload::{Reload, reload_signal};
pub use response_match::{ResponseContext, ResponseId, ResponseMatch, match_response};
pub use seeds::seed_addresses;
pub use signals::stop_signal;
