//! The control plane. [`Office`] is the pure core; `shell` turns the world into events and back.

mod desk;
mod dialect;
mod hearsay;
mod keys;
mod news;
mod office;
mod placing;
pub mod shell;

pub use dialect::{Dialect, Unread, beat_sheet};
pub use office::{Answer, Ask, Effect, Event, Office, Start, Times};
