//! One request through a proxy, in phases: request filter, upstream selection, connect, send, respond.
//!
//! What happens next is decided by [`RequestState`]; an [`Exchange`] does it and reports what came of it. Where the
//! client hangs up, the exchange is dropped, and what the request holds is given back.

use crate::api_adapter::Call;
use crate::node::Node;
use crate::own_api;
use crate::rejections::RejectedKind;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use protocol::{KeyShare, Upstream};
use request_routing::{CallOutcome, NextStep, RequestInfo, RequestState, WakeUp};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use transport::{CallError, Connection, HttpRequest, OutboundRequest, Reply, ResponseId};

/// Why a request is rejected before it begins.
struct FilterRejection {
    code: ResultCode,
    attempt_id: String,
}

/// A connection to the upstream that was selected.
struct UpstreamConnection {
    connection: Connection,
    instance: String,
}

/// What came of one call.
struct CallResult {
    result: Result<Reply, CallError>,
    /// The connection, where it can be used again.
    connection: Option<Connection>,
}

impl Node {
    /// Serves a request to a service.
    pub(crate) async fn serve_request(
        self: &Arc<Self>,
        http_request: HttpRequest,
    ) -> Response<Full<Bytes>> {
        let slot_freed = Arc::new(Notify::new());
        let request = match self.request_filter(&http_request, slot_freed.clone()) {
            Ok(request) => request,
            Err(FilterRejection { code, attempt_id }) => {
                self.count(code);
                let retry_after = request_routing::retry_after_for(code, 0.0, &attempt_id);
                return self.reject(code, retry_after, &attempt_id);
            }
        };
        let mut exchange = Exchange {
            node: self,
            http_request: &http_request,
            connection: None,
            response: None,
            may_reuse: self.keeps_connections,
            slot_freed,
            state: RequestState::new(request.clone(), self.proxy.clone()),
            request,
        };
        let response = tokio::select! {
            response = exchange.run() => response,
            () = self.given_up() => exchange.give_up(),
        };
        let trace = exchange.state.into_trace();
        self.traces.keep(exchange.request.attempt_id, trace);
        response
    }

    /// Reads the request; rejects it where it is malformed, or this node takes no more requests.
    fn request_filter(
        &self,
        http_request: &HttpRequest,
        slot_freed: Arc<Notify>,
    ) -> Result<RequestInfo, FilterRejection> {
        let request = (self.api_adapter.parse_request)(http_request).map_err(|code| {
            let attempt_id = http_request.header(own_api::ATTEMPT_ID_HEADER).to_owned();
            FilterRejection { code, attempt_id }
        })?;
        if self.is_rejecting() {
            return Err(FilterRejection {
                code: ResultCode::ShuttingDown,
                attempt_id: request.attempt_id,
            });
        }
        Ok(RequestInfo {
            arrived_at: self.clock.now(),
            body_bytes: http_request.body.len() as u64,
            wake_up: WakeUp::new(move || slot_freed.notify_one()),
            ..request
        })
    }

    /// An answer of this proxy's own.
    pub(crate) fn reject(
        &self,
        code: ResultCode,
        retry_after: Option<Duration>,
        attempt_id: &str,
    ) -> Response<Full<Bytes>> {
        (self.api_adapter.reject)(code, retry_after, attempt_id)
    }
}

/// One request under way.
struct Exchange<'a> {
    node: &'a Arc<Node>,
    http_request: &'a HttpRequest,
    /// Open between the phases `connect` and `send`.
    connection: Option<UpstreamConnection>,
    /// The last response, which is passed to the client where the state says so.
    response: Option<Reply>,
    /// Whether a connection from the pool may be used.
    may_reuse: bool,
    /// Notified when a slot that the request waits for may be free.
    slot_freed: Arc<Notify>,
    state: RequestState,
    request: RequestInfo,
}

impl Exchange<'_> {
    /// Does step after step until the client has its answer.
    async fn run(&mut self) -> Response<Full<Bytes>> {
        let node = self.node;
        let mut next = self
            .state
            .start(node.clock.now(), &node.view.load(), &node.stats);
        loop {
            node.send_health_checks(self.state.take_health_checks());
            node.log_cold_upstreams(self.state.take_cold_upstreams());
            next = match next {
                NextStep::Connect { upstream, within } => self.connect(&upstream, within).await,
                NextStep::Send { share, within } => match self.connection.take() {
                    Some(connection) => self.send(connection, share.as_ref(), within).await,
                    None => {
                        let attempt_id = &self.request.attempt_id;
                        return node.reject(ResultCode::ResponseLost, None, attempt_id);
                    }
                },
                NextStep::Wait { within } => self.wait_for_slot(within).await,
                NextStep::Forward { proxies, within } => self.forward(&proxies, within).await,
                NextStep::Answer { code, retry_after } => {
                    node.count(code);
                    let subject = self.state.route_id().unwrap_or(&self.request.name);
                    node.count_rejection(RejectedKind::Request, subject, code);
                    return node.reject(code, retry_after, &self.request.attempt_id);
                }
                NextStep::PassResponse => return self.respond(),
            };
        }
    }

    /// The answer where the process ends before the request does.
    fn give_up(&mut self) -> Response<Full<Bytes>> {
        let code = self.state.give_up(self.node.clock.now());
        self.node.count(code);
        let attempt_id = &self.request.attempt_id;
        let retry_after = request_routing::retry_after_for(code, 0.0, attempt_id);
        self.node.reject(code, retry_after, attempt_id)
    }

    /// Opens a connection to the selected upstream, or takes an idle one.
    async fn connect(&mut self, upstream: &Upstream, within: Duration) -> NextStep {
        let opened = self
            .node
            .open_connection(&upstream.address, self.may_reuse, within)
            .await;
        match opened {
            Ok(connection) => {
                self.connection = Some(UpstreamConnection {
                    connection,
                    instance: upstream.instance.clone(),
                });
                let node = self.node;
                self.state
                    .on_connected(node.clock.now(), &node.view.load(), &node.stats)
            }
            Err(error) => {
                let outcome = self.judge(&Err(error), None);
                self.finish_call(outcome)
            }
        }
    }

    /// Writes the request to the selected upstream, and judges the response.
    async fn send(
        &mut self,
        upstream: UpstreamConnection,
        share: Option<&KeyShare>,
        within: Duration,
    ) -> NextStep {
        let UpstreamConnection {
            connection,
            instance,
        } = upstream;
        let node = self.node;
        let target = (node.api_adapter.upstream_target)(self.http_request, &self.request);
        let call = Call {
            node: &node.proxy.node,
            instance: Some(&instance),
            share,
            within,
        };
        let was_reused = connection.is_used();
        let CallResult { result, connection } = self.call(connection, &target, call).await;
        if was_reused && matches!(result, Err(CallError::NotConnected)) {
            // It was closed between the look at it and the write: the upstream may be in good health.
            self.may_reuse = false;
            return self.state.on_not_written(node.clock.now());
        }
        let outcome = self.judge(&result, Some(&instance));
        if outcome != CallOutcome::InvalidResponse {
            if let Some(connection) = connection {
                node.pool.keep(connection);
            }
            if let Ok(reply) = &result
                && let Some(load) = (node.api_adapter.reported_load)(reply)
            {
                self.state.record_load(node.clock.now(), load);
            }
        }
        self.response = result.ok();
        self.finish_call(outcome)
    }

    /// Waits in the admission queue.
    async fn wait_for_slot(&mut self, within: Duration) -> NextStep {
        // Woken or timed out: either way it is for the state to look.
        let _ = tokio::time::timeout(within, self.slot_freed.notified()).await;
        let node = self.node;
        self.state
            .on_wake_up(node.clock.now(), &node.view.load(), &node.stats)
    }

    /// Forwards the request to the locality that owns the name.
    async fn forward(&mut self, proxies: &[String], within: Duration) -> NextStep {
        let result = self.call_next_proxy(proxies, within).await;
        let judged = self.judge(&result, None);
        let final_reply = result.ok().filter(|reply| self.is_final(reply));
        let outcome = if final_reply.is_some() {
            self.node.counters.forwarded.fetch_add(1, Ordering::Relaxed);
            CallOutcome::Complete
        } else {
            judged
        };
        self.response = final_reply;
        self.finish_call(outcome)
    }

    /// One hop. The next proxy is tried only where none can have been reached.
    async fn call_next_proxy(
        &self,
        proxies: &[String],
        within: Duration,
    ) -> Result<Reply, CallError> {
        for proxy in proxies {
            let Ok(connection) = Connection::open(proxy, within).await else {
                continue;
            };
            let call = Call {
                node: &self.node.proxy.node,
                instance: None,
                share: None,
                within,
            };
            let target = &self.http_request.target;
            match self.call(connection, target, call).await.result {
                Err(CallError::NotConnected) => continue,
                result => return result,
            }
        }
        Err(CallError::NotConnected)
    }

    /// A forwarded request's answer is final where it is sealed by an upstream, or rejected by the other proxy.
    fn is_final(&self, reply: &Reply) -> bool {
        let attempt_id = &self.request.attempt_id;
        let code = reply
            .header("x-code")
            .parse()
            .ok()
            .and_then(ResultCode::from_number);
        let is_rejected = reply.header("x-seal").is_empty()
            && code.is_some_and(|code| code != ResultCode::Success);
        let is_sealed = own_api::judge_response(&Ok(reply.clone()), attempt_id, None)
            != CallOutcome::InvalidResponse;
        reply.header(own_api::ATTEMPT_ID_HEADER) == attempt_id && (is_rejected || is_sealed)
    }

    /// Writes the request on a connection, and reads the response.
    async fn call(&self, connection: Connection, target: &str, call: Call<'_>) -> CallResult {
        let api_adapter = &self.node.api_adapter;
        let outbound = OutboundRequest {
            method: self.http_request.method.as_str(),
            path: target,
            headers: (api_adapter.upstream_headers)(self.http_request, &self.request, call),
            body: self.http_request.body.clone(),
            id: Some(ResponseId {
                header: api_adapter.response_id_header,
                value: &self.request.attempt_id,
            }),
        };
        let exchanged = connection.exchange(outbound, call.within).await;
        CallResult {
            result: exchanged.result,
            // Without reuse each request has its own: one that dies after a write can't be told from a lost response.
            connection: exchanged.connection.filter(|_| self.node.keeps_connections),
        }
    }

    fn judge(&self, result: &Result<Reply, CallError>, instance: Option<&str>) -> CallOutcome {
        (self.node.api_adapter.judge_response)(result, &self.request.attempt_id, instance)
    }

    fn finish_call(&mut self, outcome: CallOutcome) -> NextStep {
        let node = self.node;
        self.state
            .on_outcome(node.clock.now(), &node.view.load(), &node.stats, outcome)
    }

    /// Passes the upstream's response to the client.
    fn respond(&self) -> Response<Full<Bytes>> {
        let Some(reply) = &self.response else {
            self.node.count(ResultCode::ResponseLost);
            let attempt_id = &self.request.attempt_id;
            return self.node.reject(ResultCode::ResponseLost, None, attempt_id);
        };
        self.node.count(ResultCode::Success);
        (self.node.api_adapter.client_response)(reply)
    }
}
