//! The control plane. [`Office`] is the pure core; `shell` turns the world into events and back.

mod desk;
mod hearsay;
mod news;
mod office;
mod placing;
pub mod shell;

pub use office::{Answer, Ask, Effect, Event, Office, Start, Times};
