//! Policies on the path of a request: which upstream it goes to, when it is retried, queued, forwarded or rejected.
//!
//! The package does no I/O and reads no clock. The caller (a proxy, or a simulator) performs each [`NextStep`] and
//! reports what came of it; the time, the [`View`](name_directory::View) and the shared counts ([`ProxyStats`]) are
//! arguments.
//!
//! # The states of a request
//!
//! A request is a [`RequestState`], which is in one [`RequestStage`]:
//!
//! ```text
//!              no free slot                      connection closed before
//!            +--------------+                    the first byte (on_not_written)
//!            v              |                      +-----------------+
//!  start -> Waiting --slot taken--> Connecting <---+                 |
//!            |  ^                    |    |                          |
//!            |  |  choice withdrawn  |    +--on_connected--> Sent ---+
//!            |  +--------------------+                       |  |
//!            |  +----------- retry (on_outcome) -------------+  |
//!            v                                                  v
//!        Answered <------------------------------------------ Answered
//! ```
//!
//! * `Waiting`: nothing was sent. [`RequestState::start`] resolves the route and admits the request; where no upstream
//!   has a free slot it waits in the service's [`AdmissionQueue`] until [`RequestState::on_wake_up`].
//! * `Connecting`: an upstream is selected and a slot taken there. Once the connection is up,
//!   [`RequestState::on_connected`] checks the choice again.
//! * `Sent`: the request was written. [`RequestState::on_outcome`] passes the response, retries, or answers.
//! * `Answered`: final.
//!
//! # Invariants
//!
//! * Only a request that was never sent, or whose every send surely was not executed, may be rejected with a code that
//!   says "not executed". After an ambiguous outcome the answer is that outcome's code.
//! * A request is retried only where it is idempotent, or surely was not executed; and within the service's
//!   [`RetryBudget`].
//! * An upstream that gets more than it bears while it warms up gets it only while its own recent answer to a
//!   [`HealthCheck`] says that it is warm, wherever it has a path for them.
//! * The choice of an upstream is checked again just before the first byte is written.
//! * Slots, queue entries and admissions are given back when the request is answered or dropped.
//!
//! # Modules
//!
//! `admission` makes the first decision, `dispatch` selects an upstream (`selection`) or queues, `upstream_calls`
//! handles connections and outcomes. [`ServiceStats`], [`UpstreamStats`] and their parts are the counts that requests
//! share.

mod admission;
mod admission_queue;
mod attempt_table;
mod cold_tolerance;
mod dispatch;
mod distance;
mod explain;
mod health_check;
mod key_counters;
mod load_estimate;
mod outlier_ejection;
mod permits;
mod proxy_context;
mod proxy_partition;
mod proxy_stats;
mod recent_sends;
mod request_info;
mod request_state;
mod retry_after;
mod retry_budget;
mod selection;
mod service_stats;
mod sliding_window;
mod slot_limit;
mod slow_start;
mod stage;
mod trace;
mod upstream_calls;
mod upstream_stats;
mod warm_up_checks;

pub use admission_queue::{AdmissionQueue, WakeUp};
pub use cold_tolerance::{Allowance, ColdTolerance, RequestRate};
pub use explain::explain;
pub use health_check::HealthCheck;
pub use load_estimate::{Load, LoadEstimate};
pub use outlier_ejection::OutlierEjection;
pub use proxy_context::{DistanceCost, ProxyContext, WarmUpTolerance};
pub use proxy_partition::ProxyPartition;
pub use proxy_stats::{ProxyStats, ServiceCounters};
pub use recent_sends::{ColdNews, ColdUpstream, SendBasis, SendCounts};
pub use request_info::RequestInfo;
pub use request_state::RequestState;
pub use retry_after::retry_after_for;
pub use retry_budget::RetryBudget;
pub use service_stats::ServiceStats;
pub use sliding_window::SlidingWindow;
pub use slot_limit::{ReportedSlots, SlotLimit};
pub use slow_start::SlowStart;
pub use stage::{CallOutcome, NextStep, RequestStage};
pub use trace::{RejectReason, TraceEvent};
pub use upstream_stats::UpstreamStats;
pub use warm_up_checks::{
    HEALTH_CHECK_TIMEOUT, HealthReport, HeartbeatTrust, WarmUpChecks, Warmth, WarmthAssessment,
};
