//! One request through a proxy: enrol, resolve, choose, send, check, answer.

use crate::api_adapter::Call;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Response};
use request_routing::{CallOutcome, NextStep, RequestInfo, RequestState, WakeUp};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use transport::{CallError, Connection, HttpRequest, OutboundRequest, Reply, ResponseId};

/// No origin waits longer than this.
const MAX_REMAINING_MS: u64 = 60_000;

/// Headers that a verdict carries from the upstream to the origin.
///
/// ```
/// assert!(data_plane::service_headers().contains(&"x-seal"));
/// ```
pub fn service_headers() -> [&'static str; 7] {
    [
        "content-type",
        "x-instance",
        "x-seal",
        "x-try-id",
        "x-code",
        "retry-after",
        "x-retry-after-ms",
    ]
}

/// What a reply is worth: only a whole verdict with the right try, instance and seal is one. A sealed 503
/// says that the upstream did not and will not run it.
///
/// ```
/// use request_routing::CallOutcome;
/// use transport::{CallError, Reply};
/// let seal = protocol::seal("t", "a", 200, b"fine");
/// let reply = |seal: &str, body: &'static str| {
///     let mut headers = hyper::HeaderMap::new();
///     headers.insert("x-try-id", "t".parse().unwrap());
///     headers.insert("x-instance", "a".parse().unwrap());
///     headers.insert("x-seal", seal.parse().unwrap());
///     Ok(Reply { status: 200, headers, body: body.into() })
/// };
/// assert_eq!(data_plane::judge_response(&reply(&seal, "fine"), "t", Some("a")), CallOutcome::Complete);
/// assert_eq!(data_plane::judge_response(&reply(&seal, "fin"), "t", Some("a")), CallOutcome::InvalidResponse);
/// assert_eq!(data_plane::judge_response(&reply(&seal, "fine"), "t", Some("b")), CallOutcome::InstanceReplaced, "another instance's own");
/// assert_eq!(data_plane::judge_response(&reply(&seal, "fine"), "u", Some("a")), CallOutcome::InvalidResponse);
/// assert_eq!(data_plane::judge_response(&Err(CallError::ConnectionLost), "t", Some("a")), CallOutcome::ResponseLost);
/// ```
pub fn judge_response(
    called: &Result<Reply, CallError>,
    attempt_id: &str,
    instance: Option<&str>,
) -> CallOutcome {
    match called {
        Err(CallError::NotConnected) => CallOutcome::NotConnected,
        Err(CallError::ConnectionLost) => CallOutcome::ResponseLost,
        Err(CallError::TimedOut) => CallOutcome::TimedOut,
        Err(CallError::InvalidResponse) => CallOutcome::InvalidResponse,
        Ok(reply) => {
            let answered = reply.header("x-instance");
            let whole = reply.header("x-try-id") == attempt_id
                && reply.header("x-seal")
                    == protocol::seal(attempt_id, answered, reply.status, &reply.body);
            let mine = instance.is_none_or(|instance| instance == answered);
            match (whole, mine, reply.status) {
                (false, ..) => CallOutcome::InvalidResponse,
                (true, false, _) => CallOutcome::InstanceReplaced,
                (true, true, 503) => CallOutcome::NotExecuted,
                (true, true, _) => CallOutcome::Complete,
            }
        }
    }
}

/// A request in the product's own way.
pub(crate) fn parse_own_request(http_request: &HttpRequest) -> Result<RequestInfo, ResultCode> {
    let (name, path) = http_request
        .path
        .strip_prefix("/r/")
        .and_then(|rest| rest.find('/').map(|at| rest.split_at(at)))
        .ok_or(ResultCode::NoSuchName)?;
    let attempt_id = Some(http_request.header("x-try-id"))
        .filter(|attempt_id| locality::is_valid_id(attempt_id))
        .ok_or(ResultCode::MissingAttemptId)?;
    let remaining = http_request
        .header("x-remaining-ms")
        .parse::<u64>()
        .ok()
        .filter(|remaining| (1..=MAX_REMAINING_MS).contains(remaining))
        .ok_or(ResultCode::MissingDeadline)?;
    Ok(RequestInfo {
        attempt_id: attempt_id.to_owned(),
        name: name.to_owned(),
        path: path.to_owned(),
        key: Some(http_request.header("x-key"))
            .filter(|key| !key.is_empty())
            .map(str::to_owned),
        remaining: Duration::from_millis(remaining),
        forwarded: !http_request.header("x-forwarded-hop").is_empty(),
        ..RequestInfo::default()
    })
}

/// Headers of a call in the product's own way.
pub(crate) fn own_upstream_headers(
    _: &HttpRequest,
    request: &RequestInfo,
    call: Call,
) -> HeaderMap {
    let remaining = (call.within.as_millis() as u64).to_string();
    let epoch = call.share.map(|share| share.epoch.to_string());
    let mut headers = vec![
        ("x-try-id", request.attempt_id.as_str()),
        ("x-remaining-ms", remaining.as_str()),
        ("x-proxy", call.node),
    ];
    headers.extend(request.key.as_deref().map(|key| ("x-key", key)));
    headers.extend(epoch.as_deref().map(|epoch| ("x-share-epoch", epoch)));
    headers.extend(Some(("x-forwarded-hop", "1")).filter(|_| call.instance.is_none()));
    transport::header_map(&headers)
}

/// An upstream's verdict in the product's own way.
pub(crate) fn own_client_response(reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body.clone()));
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert("x-code", ResultCode::Success.number().into());
    service_headers().into_iter().for_each(|name| {
        let value = reply.headers.get(name).cloned();
        value.into_iter().for_each(|value| {
            headers.insert(name, value);
        });
    });
    response
}

impl Node {
    /// Serves a request.
    pub(crate) async fn carry(&self, http_request: HttpRequest) -> Response<Full<Bytes>> {
        let called = Arc::new(Notify::new());
        let ring = called.clone();
        let request = match self.enrol(&http_request, WakeUp::new(move || ring.notify_one())) {
            Ok(request) => request,
            Err((code, attempt_id)) => {
                self.count(code);
                return self.deny(
                    code,
                    request_routing::retry_after_for(code, 0.0, &attempt_id),
                    &attempt_id,
                );
            }
        };
        let attempt_id = request.attempt_id.clone();
        let mut request_state = RequestState::new(request.clone(), self.site.clone());
        let mut next = request_state.start(self.clock.now(), &self.view.load(), &self.stats);
        let (mut connection, mut reply) = (None, None);
        let mut may_reuse = self.keeps_connections;
        let response = loop {
            let outcome = match next {
                NextStep::Connect { upstream, within } => {
                    match self.connect(&upstream.address, within, may_reuse).await {
                        Err(failed) => {
                            (self.api_adapter.judge_response)(&Err(failed), &attempt_id, None)
                        }
                        Ok(open) => {
                            connection = Some((open, upstream.instance.clone()));
                            next = request_state.on_connected(
                                self.clock.now(),
                                &self.view.load(),
                                &self.stats,
                            );
                            continue;
                        }
                    }
                }
                NextStep::Send { share, within } => {
                    let Some((open, instance)) = connection.take() else {
                        break self.deny(ResultCode::ResponseLost, None, &attempt_id);
                    };
                    let target = (self.api_adapter.upstream_target)(&http_request, &request);
                    let call = Call {
                        node: &self.site.node,
                        instance: Some(&instance),
                        share: share.as_ref(),
                        within,
                    };
                    let was_used = open.is_used();
                    let (called, again) = self
                        .send(&http_request, &request, open, &target, call)
                        .await;
                    if was_used && matches!(called, Err(CallError::NotConnected)) {
                        // It was closed between the look at it and the write: the upstream may be well.
                        may_reuse = false;
                        next = request_state.on_not_written(self.clock.now());
                        continue;
                    }
                    let outcome =
                        (self.api_adapter.judge_response)(&called, &attempt_id, Some(&instance));
                    if outcome != CallOutcome::InvalidResponse {
                        again
                            .into_iter()
                            .for_each(|connection| self.pool.keep(connection));
                        let load = called
                            .as_ref()
                            .ok()
                            .and_then(|reply| (self.api_adapter.reported_load)(reply));
                        load.into_iter()
                            .for_each(|load| request_state.record_load(self.clock.now(), load));
                    }
                    reply = called.ok();
                    outcome
                }
                NextStep::Wait { within } => {
                    let _ = tokio::time::timeout(within, called.notified()).await;
                    next =
                        request_state.on_wake_up(self.clock.now(), &self.view.load(), &self.stats);
                    continue;
                }
                NextStep::Forward { proxies, within } => {
                    let called = self
                        .forward(&http_request, &request, &proxies, within)
                        .await;
                    let last = called
                        .as_ref()
                        .ok()
                        .filter(|reply| self.is_final(reply, &attempt_id))
                        .cloned();
                    if last.is_some() {
                        self.counters.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                    let judged = (self.api_adapter.judge_response)(&called, &attempt_id, None);
                    let outcome = last
                        .as_ref()
                        .map(|_| CallOutcome::Complete)
                        .unwrap_or(judged);
                    reply = last;
                    outcome
                }
                NextStep::Answer { code, retry_after } => {
                    self.count(code);
                    break self.deny(code, retry_after, &attempt_id);
                }
                NextStep::PassResponse => {
                    let passed = reply
                        .as_ref()
                        .map(|reply| (self.api_adapter.client_response)(reply));
                    self.count(if passed.is_some() {
                        ResultCode::Success
                    } else {
                        ResultCode::ResponseLost
                    });
                    break passed
                        .unwrap_or_else(|| self.deny(ResultCode::ResponseLost, None, &attempt_id));
                }
            };
            next =
                request_state.on_outcome(self.clock.now(), &self.view.load(), &self.stats, outcome);
        };
        self.traces.keep(attempt_id, request_state.into_trace());
        response
    }

    pub(crate) fn deny(
        &self,
        code: ResultCode,
        retry_after: Option<Duration>,
        attempt_id: &str,
    ) -> Response<Full<Bytes>> {
        (self.api_adapter.reject)(code, retry_after, attempt_id)
    }

    /// An idle connection where one is wanted and known to be quiet, else a new one.
    async fn connect(
        &self,
        address: &str,
        within: Duration,
        may_reuse: bool,
    ) -> Result<Connection, CallError> {
        let kept = if may_reuse {
            self.pool.take(address).await
        } else {
            None
        };
        match kept {
            Some(connection) => Ok(connection),
            None => Connection::open(address, within).await,
        }
    }

    /// A forwarded request's answer is final: sealed by an upstream, or denied by the other proxy.
    fn is_final(&self, reply: &Reply, attempt_id: &str) -> bool {
        let code = reply
            .header("x-code")
            .parse()
            .ok()
            .and_then(ResultCode::from_number);
        let denied = reply.header("x-seal").is_empty()
            && code.is_some_and(|code| code != ResultCode::Success);
        let sealed =
            judge_response(&Ok(reply.clone()), attempt_id, None) != CallOutcome::InvalidResponse;
        reply.header("x-try-id") == attempt_id && (denied || sealed)
    }

    fn enrol(
        &self,
        http_request: &HttpRequest,
        wake_up: WakeUp,
    ) -> Result<RequestInfo, (ResultCode, String)> {
        let request = (self.api_adapter.parse_request)(http_request)
            .map_err(|code| (code, http_request.header("x-try-id").to_owned()))?;
        if self.is_closing() {
            return Err((ResultCode::ShuttingDown, request.attempt_id));
        }
        Ok(RequestInfo {
            arrived_at: self.clock.now(),
            body_bytes: http_request.body.len() as u64,
            wake_up,
            ..request
        })
    }

    async fn send(
        &self,
        http_request: &HttpRequest,
        request: &RequestInfo,
        connection: Connection,
        target: &str,
        call: Call<'_>,
    ) -> (Result<Reply, CallError>, Option<Connection>) {
        let outbound = OutboundRequest {
            method: http_request.method.as_str(),
            path: target,
            headers: (self.api_adapter.upstream_headers)(http_request, request, call),
            body: http_request.body.clone(),
            id: Some(ResponseId {
                header: self.api_adapter.response_id_header,
                value: &request.attempt_id,
            }),
        };
        let exchange = connection.exchange(outbound, call.within).await;
        // Without reuse each request has its own: one that dies after a write can't be told from a lost verdict.
        let again = exchange.connection.filter(|_| self.keeps_connections);
        (exchange.result, again)
    }

    /// One hop to the locality that owns the name. The next proxy is tried only where none can have been reached.
    async fn forward(
        &self,
        http_request: &HttpRequest,
        request: &RequestInfo,
        proxies: &[String],
        within: Duration,
    ) -> Result<Reply, CallError> {
        for proxy in proxies {
            let Ok(connection) = Connection::open(proxy, within).await else {
                continue;
            };
            let call = Call {
                node: &self.site.node,
                instance: None,
                share: None,
                within,
            };
            match self
                .send(
                    http_request,
                    request,
                    connection,
                    &http_request.target,
                    call,
                )
                .await
                .0
            {
                Err(CallError::NotConnected) => continue,
                called => return called,
            }
        }
        Err(CallError::NotConnected)
    }
}
