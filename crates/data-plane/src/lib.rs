//! The data plane. [`Carrier`] is the pure core that follows the news; `shell` serves requests from the
//! view it publishes.

mod core;
mod dialect;
mod node;
mod pending_loads;
mod relay;
mod serve;
pub mod shell;
mod traces;

pub use core::{Carrier, Effect, Event, Phase, Start, Times};
pub use dialect::{Call, Dialect, Door, Page};
pub use node::{Node, NodeTerms};
pub use serve::{judge, service_headers};
pub use traces::Traces;
