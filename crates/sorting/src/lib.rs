//! Policies on the path of a request: which upstream, when to send again, when to deny.
//!
//! A request is a [`Journey`]: `Waiting`, then `Sent`, then `Answered`. Only a waiting one may be denied.

mod board;
mod journey;
mod window;

pub use board::{Board, Desk, Seat};
pub use journey::{Journey, Move, Order, Outcome, Site, Stage};
pub use window::Window;
