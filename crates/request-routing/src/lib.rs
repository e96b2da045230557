//! Policies on the path of a request: which upstream, when to send again, when to wait, when to deny.
//!
//! A request is a [`Journey`]: `Waiting`, `Chosen`, `Sent`, then `Answered`. Only one that was never sent may be
//! denied.

mod board;
mod calls;
mod choosing;
mod comeback;
mod journey;
mod load;
mod notes;
mod proxy;
mod request;
mod routing;
mod steps;
mod waitlist;
mod window;

pub use board::{Board, Desk, Seat, Tally};
pub use comeback::come_back;
pub use journey::{Journey, suppose};
pub use load::{Gauge, Load};
pub use notes::{Note, Why};
pub use proxy::Site;
pub use request::Order;
pub use steps::{Move, Outcome, Stage};
pub use waitlist::{Bell, Waitlist};
pub use window::Window;
