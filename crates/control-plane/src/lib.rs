//! The control plane. [`ControlNode`] is the pure core; `shell` turns the world into events and back.

mod anonymous_orders;
mod contact;
pub mod departure_writer;
mod departures;
mod dialect;
pub mod disk;
mod gossip;
mod keys;
mod node;
mod placement;
mod requests;
pub mod shell;
mod updates;
mod voters;

pub use dialect::{Dialect, Unread, beat_sheet};
pub use node::{Answer, Ask, ControlNode, Effect, Event, Start, Times};
