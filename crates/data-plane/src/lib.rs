//! The data plane. [`DataNode`] is the pure core that follows the news; `shell` serves requests from the
//! view it publishes.

mod api_adapter;
mod data_node;
mod node;
mod pending_loads;
mod relay;
mod serve;
pub mod shell;
mod traces;

pub use api_adapter::{ApiAdapter, Call, Endpoint, ListenerKind};
pub use data_node::{DataNode, Effect, Event, Phase, Start, Times};
pub use node::{Node, NodeOptions};
pub use serve::{judge_response, service_headers};
pub use traces::Traces;
