//! What the requests of a carrier share: the published view, counters, and the pages it serves itself.

use crate::api_adapter::{ApiAdapter, Endpoint, ListenerKind};
use crate::traces::Traces;
use arc_swap::ArcSwap;
use bytes::Bytes;
use config::JsonValue;
use dashmap::DashMap;
use http_body_util::Full;
use hyper::Response;
use locality::Locality;
use name_directory::View;
use protocol::KeyLoad;
use request_routing::{ProxyContext, ProxyStats, RequestInfo, TraceEvent};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use transport::{Clock, ConnectionPool, HttpClient, HttpRequest};

#[derive(Default)]
pub(crate) struct Counters {
    pub forwarded: AtomicU64,
    listings: AtomicU64,
    codes: DashMap<u32, u64>,
}

/// How a node serves, beside its place and its dialect.
pub struct NodeOptions {
    pub clock: Clock,
    /// Whether connections to upstreams are reused.
    pub keeps_connections: bool,
    /// Its roles, with commas.
    pub roles: String,
    /// How long origins keep an address.
    pub lifetime: Duration,
}

/// What requests share. Control publishes views to it; requests only read them.
pub struct Node {
    pub(crate) site: ProxyContext,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    pub(crate) postmasters: ArcSwap<Vec<String>>,
    pub(crate) stats: ProxyStats,
    pub(crate) client: HttpClient,
    /// Connections to upstreams that wait for their next request.
    pub(crate) pool: ConnectionPool,
    pub(crate) keeps_connections: bool,
    pub(crate) api_adapter: ApiAdapter,
    pub(crate) traces: Traces,
    pub(crate) counters: Counters,
    roles: String,
    lifetime: Duration,
    closing: AtomicBool,
    denying: AtomicBool,
}

impl Node {
    /// A node that knows nothing yet.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use std::{sync::Arc, time::Duration};
    /// use data_plane::{ApiAdapter, ListenerKind, Node, NodeOptions};
    /// let site = request_routing::ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let terms = NodeOptions {
    ///     clock: transport::Clock::default(),
    ///     keeps_connections: true,
    ///     roles: "proxy".into(),
    ///     lifetime: Duration::from_secs(2),
    /// };
    /// let node = Arc::new(Node::new(site, ApiAdapter::own(), terms));
    /// let http_request = transport::HttpRequest { path: "/ready".into(), ..Default::default() };
    /// assert_eq!(node.serve(ListenerKind::Front, http_request).await.status(), 503, "it has no view yet");
    /// # });
    /// ```
    pub fn new(site: ProxyContext, api_adapter: ApiAdapter, terms: NodeOptions) -> Node {
        let NodeOptions {
            clock,
            keeps_connections,
            roles,
            lifetime,
        } = terms;
        Node {
            site,
            clock,
            view: ArcSwap::default(),
            postmasters: ArcSwap::default(),
            stats: ProxyStats::default(),
            client: HttpClient::default(),
            pool: ConnectionPool::default(),
            keeps_connections,
            api_adapter,
            traces: Traces::default(),
            counters: Counters::default(),
            roles,
            lifetime,
            closing: AtomicBool::new(false),
            denying: AtomicBool::new(false),
        }
    }

    /// Requests go by this view from now on.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        // Beats may have told of room.
        self.stats.wake_all();
    }

    /// Control nodes, in the order in which they are to be called.
    pub fn learn_control_nodes(&self, addresses: Vec<String>) {
        self.postmasters.store(Arc::new(addresses));
    }

    /// It is not ready any more; where it denies, it takes no further request either.
    pub(crate) fn close(&self, denies: bool) {
        self.closing.store(true, Ordering::Release);
        self.denying.store(denies, Ordering::Release);
    }

    /// Forgets what is of no more use, and gives the requests by key since the last time.
    pub(crate) fn sweep(&self, now: Duration) -> Vec<KeyLoad> {
        let view = self.view.load();
        self.pool.sweep();
        self.stats.sweep(now, |instance| {
            view.upstreams
                .values()
                .any(|known| known.contains_key(instance))
        });
        self.stats.drain_key_loads()
    }

    /// Answers what came in at one of its doors.
    pub async fn serve(
        self: Arc<Self>,
        door: ListenerKind,
        http_request: HttpRequest,
    ) -> Response<Full<Bytes>> {
        let retry = Some(Duration::from_secs(1));
        let serves = |role: &str| self.roles.contains(role);
        match (self.api_adapter.classify)(door, &http_request) {
            Endpoint::Request if serves("proxy") => self.carry(http_request).await,
            Endpoint::Lookup { name, origin } if serves("directory") => self.list(&name, origin),
            Endpoint::Live => transport::result_response(ResultCode::Success, None),
            Endpoint::Ready => {
                let code = self.ready();
                transport::result_response(code, retry.filter(|_| code != ResultCode::Success))
            }
            Endpoint::Counters => self.show_counters(),
            Endpoint::Node => self.show_node(),
            Endpoint::Trace { attempt_id } => self.show_trace(&attempt_id),
            Endpoint::Explain => self.show_supposed(&http_request),
            Endpoint::Relay => self.relay(http_request).await,
            _ => transport::result_response(ResultCode::NoSuchEndpoint, None),
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.denying.load(Ordering::Acquire)
    }

    pub(crate) fn count(&self, code: ResultCode) {
        *self.counters.codes.entry(code.number()).or_insert(0) += 1;
    }

    fn ready(&self) -> ResultCode {
        let fresh = self.site.may_use(&self.view.load(), self.clock.now());
        match (self.closing.load(Ordering::Acquire), fresh) {
            (true, _) => ResultCode::ShuttingDown,
            (false, false) => ResultCode::StaleView,
            (false, true) => ResultCode::Success,
        }
    }

    fn list(&self, name: &str, origin: Option<Locality>) -> Response<Full<Bytes>> {
        self.counters.listings.fetch_add(1, Ordering::Relaxed);
        let view = self.view.load();
        let Some(origin) = origin else {
            return self.deny(ResultCode::Malformed, None, "");
        };
        let listed = if self.site.may_use(&view, self.clock.now()) {
            name_directory::lookup(
                &view,
                name,
                &origin,
                self.lifetime,
                (self.site.ownership, self.api_adapter.max_lookup_addresses),
            )
        } else {
            Err(ResultCode::StaleView)
        };
        let salt = || format!("{name}{origin}");
        listed.map_or_else(
            |code| {
                self.deny(
                    code,
                    request_routing::retry_after_for(code, 0.0, &salt()),
                    "",
                )
            },
            |listing| (self.api_adapter.lookup_response)(listing),
        )
    }

    fn show_counters(&self) -> Response<Full<Bytes>> {
        let count = |counter: &AtomicU64| JsonValue::from(counter.load(Ordering::Relaxed));
        let mut codes: Vec<(String, JsonValue)> = self
            .counters
            .codes
            .iter()
            .map(|entry| (entry.key().to_string(), (*entry.value()).into()))
            .collect();
        codes.sort_by(|a, b| a.0.cmp(&b.0));
        let now = self.clock.now();
        let services = self
            .stats
            .service_counters(now)
            .into_iter()
            .map(|counters| {
                JsonValue::object([
                    ("service", counters.service.into()),
                    ("serving", counters.in_progress.into()),
                    ("waiting", counters.queued.into()),
                    ("firstsIn10s", counters.first_sends.into()),
                    ("resendsIn10s", counters.retries.into()),
                    ("deniedIn10s", counters.rejected.into()),
                ])
            });
        let age_ms = self
            .view
            .load()
            .as_of
            .map(|as_of| (now.saturating_sub(as_of).as_millis() as u64).into());
        let json = JsonValue::object([
            ("listings", count(&self.counters.listings)),
            ("forwarded", count(&self.counters.forwarded)),
            ("viewAgeMs", age_ms.unwrap_or(JsonValue::Null)),
            ("services", services.collect()),
            (
                "setAside",
                self.stats
                    .ejected(now)
                    .into_iter()
                    .map(JsonValue::from)
                    .collect(),
            ),
            ("codes", JsonValue::Object(codes)),
        ]);
        transport::json_response(ResultCode::Success, &json)
    }

    fn show_node(&self) -> Response<Full<Bytes>> {
        let view = self.view.load();
        let now = self.clock.now();
        let age_ms = view
            .as_of
            .map(|as_of| (now.saturating_sub(as_of).as_millis() as u64).into());
        let proxies = view
            .proxies
            .iter()
            .map(|proxy| JsonValue::from(proxy.node.as_str()));
        let json = JsonValue::object([
            ("node", self.site.node.as_str().into()),
            ("locality", self.site.locality.to_string().into()),
            ("roles", self.roles.as_str().into()),
            ("edition", view.revision.into()),
            ("ageMs", age_ms.unwrap_or(JsonValue::Null)),
            ("ready", (self.ready() == ResultCode::Success).into()),
            ("proxies", proxies.collect()),
        ]);
        transport::json_response(ResultCode::Success, &json)
    }

    /// What would be decided for such a request at this moment. Nothing is sent, and nothing is counted.
    fn show_supposed(&self, http_request: &HttpRequest) -> Response<Full<Bytes>> {
        let request = RequestInfo {
            attempt_id: "supposed".into(),
            name: http_request.query("name").into(),
            path: http_request.query("path").into(),
            key: Some(http_request.query("key"))
                .filter(|key| !key.is_empty())
                .map(str::to_owned),
            arrived_at: self.clock.now(),
            remaining: Duration::from_secs(1),
            ..RequestInfo::default()
        };
        let notes = request_routing::explain(
            request,
            &self.site,
            self.clock.now(),
            &self.view.load(),
            &self.stats,
        );
        self.show_notes(
            "supposed",
            notes.iter().map(TraceEvent::to_string).collect(),
        )
    }

    fn show_notes(&self, attempt_id: &str, notes: Vec<String>) -> Response<Full<Bytes>> {
        let json = JsonValue::object([
            ("code", u64::from(ResultCode::Success.number()).into()),
            ("node", self.site.node.as_str().into()),
            ("tryId", attempt_id.into()),
            ("notes", notes.into_iter().map(JsonValue::from).collect()),
        ]);
        transport::json_response(ResultCode::Success, &json)
    }

    fn show_trace(&self, attempt_id: &str) -> Response<Full<Bytes>> {
        let notes = self.traces.find(attempt_id);
        notes.map_or_else(
            || transport::result_response(ResultCode::NoSuchTrace, None),
            |notes| self.show_notes(attempt_id, notes),
        )
    }
}
