//! The data plane: answers where names are served, and proxies requests to upstreams.
//!
//! * [`DataNode`] is the core, without I/O: membership, the control node it follows, the view and the shutdown.
//! * [`Node`] is what requests share: the view that the core publishes, counters, traces and connections. Requests only
//!   read the view.
//! * `proxy` takes one request through its phases; what is decided on the way is up to the package `request-routing`.
//! * [`ApiAdapter`] is how clients and upstreams are spoken with; `own_api` is the product's own interface.
//! * [`shell`] binds all to sockets, timers and signals.

mod admin;
mod api_adapter;
mod counters;
mod data_node;
mod health_checks;
mod node;
mod own_api;
mod pending_loads;
mod proxy;
mod rejections;
mod relay;
mod settings;
pub mod shell;
mod traces;

pub use api_adapter::{ApiAdapter, Call, Endpoint, ListenerKind};
pub use data_node::{DataNode, Effect, Event, Phase, Start, Times};
pub use node::{Node, NodeOptions};
pub use own_api::{judge_response, service_headers};
pub use rejections::{Rejected, RejectedKind, RejectionSeries, Rejections};
pub use traces::Traces;
