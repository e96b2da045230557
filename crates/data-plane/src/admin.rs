//! The pages for operators: counters, the node itself, and why a request goes where it goes.
//!
//! The names of JSON fields are an interface; some are older than the terms used in the code.

use crate::counters::Counters;
use crate::node::Node;
use crate::rejections::{Rejected, RejectionSeries};
use bytes::Bytes;
use config::JsonValue;
use http_body_util::Full;
use hyper::Response;
use request_routing::{RequestInfo, ServiceCounters, TraceEvent};
use result_code::ResultCode;
use std::time::Duration;
use transport::HttpRequest;

/// The attempt id of a request that is only explained; part of the page's text.
const EXPLAINED_ATTEMPT_ID: &str = "supposed";
/// How much time a request that is only explained would have.
const EXPLAINED_REMAINING: Duration = Duration::from_secs(1);

impl Node {
    pub(crate) fn counters_page(&self) -> Response<Full<Bytes>> {
        let now = self.clock.now();
        let services = self.stats.service_counters(now).into_iter();
        let ejected = self.stats.ejected(now).into_iter();
        let rejections = self
            .rejections
            .current()
            .into_iter()
            .map(|(rejected, series)| (rejected, series, now));
        let json = JsonValue::object([
            ("listings", Counters::value_of(&self.counters.lookups)),
            ("forwarded", Counters::value_of(&self.counters.forwarded)),
            (
                "healthChecks",
                Counters::value_of(&self.counters.health_checks),
            ),
            (
                "failedHealthChecks",
                Counters::value_of(&self.counters.failed_health_checks),
            ),
            (
                "coldUpstreams",
                Counters::value_of(&self.counters.cold_upstreams),
            ),
            ("viewAgeMs", self.view_age_ms(now)),
            ("services", services.map(service_json).collect()),
            ("setAside", ejected.map(JsonValue::from).collect()),
            ("codes", JsonValue::Object(self.counters.codes())),
            ("rejections", rejections.map(rejection_json).collect()),
        ]);
        transport::json_response(ResultCode::Success, &json)
    }

    pub(crate) fn node_page(&self) -> Response<Full<Bytes>> {
        let view = self.view.load();
        let proxies = view
            .proxies
            .iter()
            .map(|proxy| JsonValue::from(proxy.node.as_str()));
        let json = JsonValue::object([
            ("node", self.proxy.node.as_str().into()),
            ("locality", self.proxy.locality.to_string().into()),
            ("roles", self.roles.as_str().into()),
            ("edition", view.revision.into()),
            ("ageMs", self.view_age_ms(self.clock.now())),
            ("ready", (self.readiness() == ResultCode::Success).into()),
            ("proxies", proxies.collect()),
        ]);
        transport::json_response(ResultCode::Success, &json)
    }

    /// How old the view is; null where it was never confirmed.
    fn view_age_ms(&self, now: Duration) -> JsonValue {
        match self.view.load().as_of {
            Some(as_of) => (now.saturating_sub(as_of).as_millis() as u64).into(),
            None => JsonValue::Null,
        }
    }

    /// What would be decided for such a request at this moment. Nothing is sent, and nothing is counted.
    pub(crate) fn explain_page(&self, http_request: &HttpRequest) -> Response<Full<Bytes>> {
        let key = http_request.query("key");
        let request = RequestInfo {
            attempt_id: EXPLAINED_ATTEMPT_ID.into(),
            name: http_request.query("name").into(),
            path: http_request.query("path").into(),
            key: (!key.is_empty()).then(|| key.to_owned()),
            arrived_at: self.clock.now(),
            remaining: EXPLAINED_REMAINING,
            ..RequestInfo::default()
        };
        let trace = request_routing::explain(
            request,
            &self.proxy,
            self.clock.now(),
            &self.view.load(),
            &self.stats,
        );
        let lines = trace.iter().map(TraceEvent::to_string).collect();
        self.trace_response(EXPLAINED_ATTEMPT_ID, lines)
    }

    /// Why an attempt went where it went.
    pub(crate) fn trace_page(&self, attempt_id: &str) -> Response<Full<Bytes>> {
        match self.traces.find(attempt_id) {
            Some(lines) => self.trace_response(attempt_id, lines),
            None => transport::result_response(ResultCode::NoSuchTrace, None),
        }
    }

    fn trace_response(&self, attempt_id: &str, lines: Vec<String>) -> Response<Full<Bytes>> {
        let json = JsonValue::object([
            ("code", u64::from(ResultCode::Success.number()).into()),
            ("node", self.proxy.node.as_str().into()),
            ("tryId", attempt_id.into()),
            ("notes", lines.into_iter().map(JsonValue::from).collect()),
        ]);
        transport::json_response(ResultCode::Success, &json)
    }
}

fn service_json(counters: ServiceCounters) -> JsonValue {
    JsonValue::object([
        ("service", counters.service.into()),
        ("serving", counters.in_progress.into()),
        ("waiting", counters.queued.into()),
        ("firstsIn10s", counters.first_sends.into()),
        ("resendsIn10s", counters.retries.into()),
        ("deniedIn10s", counters.rejected.into()),
    ])
}

fn rejection_json((rejected, series, now): (Rejected, RejectionSeries, Duration)) -> JsonValue {
    JsonValue::object([
        ("what", rejected.kind.to_string().into()),
        ("subject", rejected.subject.into()),
        ("code", u64::from(rejected.code.number()).into()),
        ("count", series.count.into()),
        (
            "sinceMs",
            (now.saturating_sub(series.since).as_millis() as u64).into(),
        ),
    ])
}
