//! The data plane. [`DataNode`] is the pure core that follows the news; `shell` serves requests from the
//! view it publishes.

mod api_adapter;
mod core;
mod node;
mod pending_loads;
mod relay;
mod serve;
pub mod shell;
mod traces;

pub use api_adapter::{ApiAdapter, Call, Endpoint, ListenerKind};
pub use core::{DataNode, Effect, Event, Phase, Start, Times};
pub use node::{Node, NodeOptions};
pub use serve::{judge_response, service_headers};
pub use traces::Traces;
