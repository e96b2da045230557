//! What would be decided for a request, without sending it.

use crate::proxy_context::ProxyContext;
use crate::proxy_stats::ProxyStats;
use crate::request_info::RequestInfo;
use crate::request_state::RequestState;
use crate::trace::TraceEvent;
use name_directory::View;
use std::time::Duration;

/// What would be decided for a request at this moment, with the slots, ejections and budgets as they are; nothing is
/// taken of them, and nothing is counted.
///
/// ```
/// use request_routing::{ProxyStats, RequestInfo, ProxyContext, explain};
/// use std::time::Duration;
/// let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
/// let stats = ProxyStats::default();
/// let trace = explain(RequestInfo::default(), &proxy, Duration::ZERO, &Default::default(), &stats);
/// assert!(trace[0].to_string().starts_with("answered: 1202"));
/// ```
pub fn explain(
    request: RequestInfo,
    proxy: &ProxyContext,
    now: Duration,
    view: &View,
    stats: &ProxyStats,
) -> Vec<TraceEvent> {
    // A copy of the counts gives what the real ones would have given.
    let stats = stats.snapshot();
    let proxy = ProxyContext {
        max_queue_wait: Duration::ZERO,
        ..proxy.clone()
    };
    let mut request_state = RequestState::new(request, proxy);
    request_state.start(now, view, &stats);
    request_state.into_trace()
}
