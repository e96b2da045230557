//! What the requests of a data-plane node share: the published view, counters and connections.

use crate::api_adapter::{ApiAdapter, Endpoint, ListenerKind};
use crate::counters::Counters;
use crate::rejections::{RejectedKind, Rejections};
use crate::traces::Traces;
use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use locality::Locality;
use name_directory::View;
use protocol::KeyLoad;
use request_routing::{ProxyContext, ProxyStats};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use transport::{CallError, Clock, Connection, ConnectionPool, HttpClient, HttpRequest};

/// When a node that is not ready should be asked again.
const READINESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The role of a node that serves requests.
const PROXY_ROLE: &str = "proxy";
/// The role of a node that answers lookups.
const DIRECTORY_ROLE: &str = "directory";

/// How a node serves, beside its locality and its interface.
pub struct NodeOptions {
    /// The node's clock.
    pub clock: Clock,
    /// Whether connections to upstreams are reused.
    pub keeps_connections: bool,
    /// Its roles, separated by commas.
    pub roles: String,
    /// How long clients keep an address.
    pub lifetime: Duration,
}

/// What requests share. The core publishes views to it; requests only read them.
pub struct Node {
    pub(crate) proxy: ProxyContext,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    /// HTTP addresses of control nodes, in the order in which they are to be called.
    pub(crate) control_nodes: ArcSwap<Vec<String>>,
    pub(crate) stats: ProxyStats,
    pub(crate) client: HttpClient,
    /// Idle connections to upstreams.
    pub(crate) pool: ConnectionPool,
    pub(crate) keeps_connections: bool,
    pub(crate) api_adapter: ApiAdapter,
    pub(crate) traces: Traces,
    pub(crate) counters: Counters,
    pub(crate) rejections: Rejections,
    pub(crate) roles: String,
    lifetime: Duration,
    /// Not ready any more.
    is_draining: AtomicBool,
    /// Takes no further request.
    is_rejecting: AtomicBool,
    /// Turns true when requests under way are given up.
    gives_up: watch::Sender<bool>,
}

impl Node {
    /// A node that knows nothing yet.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use std::{sync::Arc, time::Duration};
    /// use data_plane::{ApiAdapter, ListenerKind, Node, NodeOptions};
    /// let proxy = request_routing::ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let options = NodeOptions {
    ///     clock: transport::Clock::default(),
    ///     keeps_connections: true,
    ///     roles: "proxy".into(),
    ///     lifetime: Duration::from_secs(2),
    /// };
    /// let node = Arc::new(Node::new(proxy, ApiAdapter::own(), options));
    /// let http_request = transport::HttpRequest { path: "/ready".into(), ..Default::default() };
    /// assert_eq!(node.serve(ListenerKind::Front, http_request).await.status(), 503, "it has no view yet");
    /// # });
    /// ```
    pub fn new(proxy: ProxyContext, api_adapter: ApiAdapter, options: NodeOptions) -> Node {
        let NodeOptions {
            clock,
            keeps_connections,
            roles,
            lifetime,
        } = options;
        Node {
            proxy,
            clock,
            view: ArcSwap::default(),
            control_nodes: ArcSwap::default(),
            stats: ProxyStats::default(),
            client: HttpClient::default(),
            pool: ConnectionPool::default(),
            keeps_connections,
            api_adapter,
            traces: Traces::default(),
            counters: Counters::default(),
            rejections: Rejections::default(),
            roles,
            lifetime,
            is_draining: AtomicBool::new(false),
            is_rejecting: AtomicBool::new(false),
            gives_up: watch::Sender::new(false),
        }
    }

    /// Requests go by this view from now on.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        // Heartbeats may have reported free slots.
        self.stats.wake_all();
    }

    /// HTTP addresses of control nodes, in the order in which they are to be called.
    pub fn learn_control_nodes(&self, addresses: Vec<String>) {
        self.control_nodes.store(Arc::new(addresses));
    }

    /// The node drains: it is not ready any more. Where it rejects, it takes no further request either.
    pub(crate) fn drain(&self, rejects: bool) {
        self.is_draining.store(true, Ordering::Release);
        self.is_rejecting.store(rejects, Ordering::Release);
    }

    /// A connection to an upstream: an idle one where one may be reused and is known to be quiet, else a new one.
    pub(crate) async fn open_connection(
        &self,
        address: &str,
        may_reuse: bool,
        timeout: Duration,
    ) -> Result<Connection, CallError> {
        if may_reuse && let Some(connection) = self.pool.take(address).await {
            return Ok(connection);
        }
        Connection::open(address, timeout).await
    }

    /// Forgets what is of no more use, and gives the requests by key since the last time.
    pub(crate) fn sweep(&self, now: Duration) -> Vec<KeyLoad> {
        let view = self.view.load();
        self.pool.sweep();
        self.stats.sweep(now, |instance| {
            view.upstreams
                .values()
                .any(|upstreams| upstreams.contains_key(instance))
        });
        self.stats.drain_key_loads()
    }

    /// Answers what came in at one of its listeners.
    pub async fn serve(
        self: Arc<Self>,
        listener: ListenerKind,
        http_request: HttpRequest,
    ) -> Response<Full<Bytes>> {
        let has_role = |role: &str| self.roles.contains(role);
        match (self.api_adapter.classify)(listener, &http_request) {
            Endpoint::Request if has_role(PROXY_ROLE) => self.serve_request(http_request).await,
            Endpoint::Lookup { name, client } if has_role(DIRECTORY_ROLE) => {
                self.lookup(&name, client)
            }
            Endpoint::Live => transport::result_response(ResultCode::Success, None),
            Endpoint::Ready => {
                let code = self.readiness();
                let is_ready = code == ResultCode::Success;
                let retry_after = (!is_ready).then_some(READINESS_RETRY_AFTER);
                transport::result_response(code, retry_after)
            }
            Endpoint::Counters => self.counters_page(),
            Endpoint::Node => self.node_page(),
            Endpoint::Trace { attempt_id } => self.trace_page(&attempt_id),
            Endpoint::Explain => self.explain_page(&http_request),
            Endpoint::Relay => self.relay(http_request).await,
            _ => transport::result_response(ResultCode::NoSuchEndpoint, None),
        }
    }

    /// Requests that are still under way are answered at once: the process is about to end, and a closed connection would
    /// tell their clients nothing.
    pub(crate) fn give_up_requests(&self) {
        self.gives_up.send_replace(true);
    }

    /// Returns when requests under way are given up.
    pub(crate) async fn given_up(&self) {
        let _ = self
            .gives_up
            .subscribe()
            .wait_for(|gives_up| *gives_up)
            .await;
    }

    pub(crate) fn is_rejecting(&self) -> bool {
        self.is_rejecting.load(Ordering::Acquire)
    }

    pub(crate) fn count(&self, code: ResultCode) {
        self.counters.count_code(code);
    }

    /// Counts a rejection by what it concerns.
    pub(crate) fn count_rejection(&self, kind: RejectedKind, subject: &str, code: ResultCode) {
        self.rejections
            .record(self.clock.now(), kind, subject, code);
    }

    /// Log lines on what is being rejected.
    pub(crate) fn rejection_report(&self, now: Duration) -> Vec<String> {
        self.rejections.report(now)
    }

    /// Success where the node is ready for requests, else why not.
    pub(crate) fn readiness(&self) -> ResultCode {
        if self.is_draining.load(Ordering::Acquire) {
            ResultCode::ShuttingDown
        } else if self.proxy.may_use(&self.view.load(), self.clock.now()) {
            ResultCode::Success
        } else {
            ResultCode::StaleView
        }
    }

    /// Where a name is served, for a client in a locality.
    fn lookup(&self, name: &str, client: Option<Locality>) -> Response<Full<Bytes>> {
        self.counters.lookups.fetch_add(1, Ordering::Relaxed);
        let view = self.view.load();
        let Some(client) = client else {
            return self.reject(ResultCode::Malformed, None, "");
        };
        let answer = if self.proxy.may_use(&view, self.clock.now()) {
            name_directory::lookup(
                &view,
                name,
                &client,
                &name_directory::LookupOptions {
                    ownership: self.proxy.ownership,
                    max_proxies: self.api_adapter.max_lookup_addresses,
                    lifetime: self.lifetime,
                },
            )
        } else {
            Err(ResultCode::StaleView)
        };
        match answer {
            Ok(answer) => (self.api_adapter.lookup_response)(answer),
            Err(code) => {
                self.count_rejection(RejectedKind::Lookup, name, code);
                let salt = format!("{name}{client}");
                let retry_after = request_routing::retry_after_for(code, 0.0, &salt);
                self.reject(code, retry_after, "")
            }
        }
    }
}
