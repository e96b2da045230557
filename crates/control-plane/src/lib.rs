//! The control plane. [`ControlNode`] is the pure core; `shell` turns the world into events and back.

mod anonymous_orders;
mod api_adapter;
mod contact;
pub mod departure_writer;
mod departures;
pub mod disk;
mod gossip;
mod keys;
mod node;
mod placement;
mod requests;
pub mod shell;
mod updates;
mod voters;

pub use api_adapter::{ApiAdapter, RequestError, heartbeat_json};
pub use node::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start, Times};
