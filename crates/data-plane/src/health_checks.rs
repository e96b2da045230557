//! Health checks of upstreams, as requests make them due.

use crate::node::Node;
use bytes::Bytes;
use request_routing::{ColdUpstream, HEALTH_CHECK_TIMEOUT, HealthCheck, HealthReport};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use transport::{CallError, OutboundRequest};

impl Node {
    /// Sends health checks, each in a task of its own.
    pub(crate) fn send_health_checks(self: &Arc<Self>, checks: Vec<HealthCheck>) {
        for check in checks {
            let node = self.clone();
            tokio::spawn(async move { node.send_health_check(check).await });
        }
    }

    async fn send_health_check(&self, check: HealthCheck) {
        self.counters.health_checks.fetch_add(1, Ordering::Relaxed);
        let asked = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, self.ask_health(&check)).await;
        let report = asked.ok().and_then(Result::ok).flatten();
        if report.is_none() {
            let failures = &self.counters.failed_health_checks;
            failures.fetch_add(1, Ordering::Relaxed);
        }
        let cold = self.stats.on_health_check(&check, self.clock.now(), report);
        self.log_cold_upstreams(cold);
    }

    /// Tells operators of upstreams that turned out to be cold after requests were sent there as to warm ones.
    pub(crate) fn log_cold_upstreams(&self, cold: impl IntoIterator<Item = ColdUpstream>) {
        for upstream in cold {
            self.counters.cold_upstreams.fetch_add(1, Ordering::Relaxed);
            let now = self.clock.now();
            let age = |as_of: Duration| format!("{} ms", now.saturating_sub(as_of).as_millis());
            let view_age = self.view.load().as_of.map_or("unknown".to_owned(), age);
            log::info!("warm-up: {upstream}; age of the view: {view_age}");
        }
    }

    /// What the upstream tells; none where what came is no answer to a health check.
    async fn ask_health(&self, check: &HealthCheck) -> Result<Option<HealthReport>, CallError> {
        let address = &check.upstream.address;
        let connection = self
            .open_connection(address, self.keeps_connections, HEALTH_CHECK_TIMEOUT)
            .await?;
        let outbound = OutboundRequest {
            method: "GET",
            path: &check.path,
            body: Bytes::new(),
            ..OutboundRequest::default()
        };
        let exchange = connection.exchange(outbound, HEALTH_CHECK_TIMEOUT).await;
        let reply = exchange.result?;
        let report = (self.api_adapter.parse_health)(&reply, &check.upstream.instance);
        // Where something else came, the answer may still follow: nobody else may meet it.
        let reusable = exchange
            .connection
            .filter(|_| self.keeps_connections && report.is_some());
        if let Some(connection) = reusable {
            self.pool.keep(connection);
        }
        Ok(report)
    }
}
