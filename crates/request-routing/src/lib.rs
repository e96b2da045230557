//! Policies on the path of a request: which upstream, when to send again, when to wait, when to deny.
//!
//! A request is a [`RequestState`]: `Waiting`, `Chosen`, `Sent`, then `Answered`. Only one that was never sent may be
//! denied.

mod admission_queue;
mod calls;
mod choosing;
mod load;
mod proxy_context;
mod request_info;
mod request_state;
mod retry_after;
mod routing;
mod sliding_window;
mod stats;
mod steps;
mod trace;

pub use admission_queue::{AdmissionQueue, WakeUp};
pub use load::{Load, LoadEstimate};
pub use proxy_context::ProxyContext;
pub use request_info::RequestInfo;
pub use request_state::{RequestState, explain};
pub use retry_after::retry_after_for;
pub use sliding_window::SlidingWindow;
pub use stats::{ProxyStats, ServiceCounters, ServiceStats, UpstreamStats};
pub use steps::{CallOutcome, NextStep, RequestStage};
pub use trace::{RejectReason, TraceEvent};
