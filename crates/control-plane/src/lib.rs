//! The control plane: replicated configuration, registry of upstreams, placement of names and keys, and updates to the
//! data plane.
//!
//! [`ControlNode`] is a pure reducer: [`Event`]s in, [`Effect`]s out, time as an argument. [`daemon`] turns sockets, timers
//! and disks into events and carries effects out; [`persistence`] holds the threads that write to disk.

mod anonymous_evacuations;
mod api_adapter;
mod components;
mod contact;
pub mod daemon;
mod departures;
mod granting;
mod heartbeat_relay;
mod interface;
mod key_loads;
mod key_owners;
mod key_ranges;
mod key_regions;
mod key_reports;
mod node;
mod pending_requests;
pub mod persistence;
mod placement;
mod requests;
mod start;
mod status_page;
mod update_streams;
mod voters;

pub use api_adapter::{ApiAdapter, RequestError, RequestReader, ResponseWriter, heartbeat_json};
pub use interface::{ControlRequest, ControlResponse, Effect, Event};
pub use node::ControlNode;
pub use start::{Start, Times};
