//! The control plane. [`ControlNode`] is the pure core; [`daemon`] turns sockets, timers and disks into events
//! and carries effects out.

mod anonymous_orders;
mod api_adapter;
mod contact;
pub mod daemon;
mod departures;
mod gossip;
mod keys;
mod node;
pub mod persistence;
mod placement;
mod requests;
mod updates;
mod voters;

pub use api_adapter::{ApiAdapter, RequestError, heartbeat_json};
pub use node::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start, Times};
