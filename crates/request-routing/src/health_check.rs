//! A health check that a proxy is to send.

use protocol::Upstream;
use std::sync::Arc;
use std::time::Duration;

/// A health check that is due. The caller sends it at once, waits for
/// [`HEALTH_CHECK_TIMEOUT`](crate::HEALTH_CHECK_TIMEOUT) at most, and reports what came of it to
/// [`ProxyStats::on_health_check`](crate::ProxyStats::on_health_check).
#[derive(Clone, Debug)]
pub struct HealthCheck {
    /// The upstream that is to be asked.
    pub upstream: Arc<Upstream>,
    /// The path to ask it at.
    pub path: String,
    /// When it became due.
    pub sent_at: Duration,
}
