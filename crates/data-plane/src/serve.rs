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
/// assert_eq!(data_plane::judge(&reply(&seal, "fine"), "t", Some("a")), CallOutcome::Sealed);
/// assert_eq!(data_plane::judge(&reply(&seal, "fin"), "t", Some("a")), CallOutcome::Garbage);
/// assert_eq!(data_plane::judge(&reply(&seal, "fine"), "t", Some("b")), CallOutcome::Replaced, "another instance's own");
/// assert_eq!(data_plane::judge(&reply(&seal, "fine"), "u", Some("a")), CallOutcome::Garbage);
/// assert_eq!(data_plane::judge(&Err(CallError::ConnectionLost), "t", Some("a")), CallOutcome::Lost);
/// ```
pub fn judge(
    called: &Result<Reply, CallError>,
    try_id: &str,
    instance: Option<&str>,
) -> CallOutcome {
    match called {
        Err(CallError::NotConnected) => CallOutcome::NotConnected,
        Err(CallError::ConnectionLost) => CallOutcome::Lost,
        Err(CallError::TimedOut) => CallOutcome::TimedOut,
        Err(CallError::InvalidResponse) => CallOutcome::Garbage,
        Ok(reply) => {
            let answered = reply.header("x-instance");
            let whole = reply.header("x-try-id") == try_id
                && reply.header("x-seal")
                    == protocol::seal(try_id, answered, reply.status, &reply.body);
            let mine = instance.is_none_or(|instance| instance == answered);
            match (whole, mine, reply.status) {
                (false, ..) => CallOutcome::Garbage,
                (true, false, _) => CallOutcome::Replaced,
                (true, true, 503) => CallOutcome::SealedNotRun,
                (true, true, _) => CallOutcome::Sealed,
            }
        }
    }
}

/// A request in the product's own way.
pub(crate) fn own_order(enquiry: &HttpRequest) -> Result<RequestInfo, ResultCode> {
    let (name, path) = enquiry
        .path
        .strip_prefix("/r/")
        .and_then(|rest| rest.find('/').map(|at| rest.split_at(at)))
        .ok_or(ResultCode::NoSuchName)?;
    let try_id = Some(enquiry.header("x-try-id"))
        .filter(|try_id| locality::is_valid_id(try_id))
        .ok_or(ResultCode::MissingAttemptId)?;
    let remaining = enquiry
        .header("x-remaining-ms")
        .parse::<u64>()
        .ok()
        .filter(|remaining| (1..=MAX_REMAINING_MS).contains(remaining))
        .ok_or(ResultCode::MissingDeadline)?;
    Ok(RequestInfo {
        try_id: try_id.to_owned(),
        name: name.to_owned(),
        path: path.to_owned(),
        key: Some(enquiry.header("x-key"))
            .filter(|key| !key.is_empty())
            .map(str::to_owned),
        remaining: Duration::from_millis(remaining),
        forwarded: !enquiry.header("x-forwarded-hop").is_empty(),
        ..RequestInfo::default()
    })
}

/// Headers of a call in the product's own way.
pub(crate) fn own_headers(_: &HttpRequest, order: &RequestInfo, call: Call) -> HeaderMap {
    let remaining = (call.within.as_millis() as u64).to_string();
    let epoch = call.share.map(|share| share.epoch.to_string());
    let mut headers = vec![
        ("x-try-id", order.try_id.as_str()),
        ("x-remaining-ms", remaining.as_str()),
        ("x-proxy", call.node),
    ];
    headers.extend(order.key.as_deref().map(|key| ("x-key", key)));
    headers.extend(epoch.as_deref().map(|epoch| ("x-share-epoch", epoch)));
    headers.extend(Some(("x-forwarded-hop", "1")).filter(|_| call.instance.is_none()));
    transport::header_map(&headers)
}

/// An upstream's verdict in the product's own way.
pub(crate) fn own_pass(reply: &Reply) -> Response<Full<Bytes>> {
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
    pub(crate) async fn carry(&self, enquiry: HttpRequest) -> Response<Full<Bytes>> {
        let called = Arc::new(Notify::new());
        let ring = called.clone();
        let order = match self.enrol(&enquiry, WakeUp::new(move || ring.notify_one())) {
            Ok(order) => order,
            Err((code, try_id)) => {
                self.count(code);
                return self.deny(
                    code,
                    request_routing::retry_after_for(code, 0.0, &try_id),
                    &try_id,
                );
            }
        };
        let try_id = order.try_id.clone();
        let mut journey = RequestState::new(order.clone(), self.site.clone());
        let mut next = journey.start(self.clock.now(), &self.view.load(), &self.board);
        let (mut connection, mut reply) = (None, None);
        let mut may_reuse = self.keeps_connections;
        let response = loop {
            let outcome = match next {
                NextStep::Connect { upstream, within } => {
                    match self.connect(&upstream.address, within, may_reuse).await {
                        Err(failed) => (self.api_adapter.judge)(&Err(failed), &try_id, None),
                        Ok(open) => {
                            connection = Some((open, upstream.instance.clone()));
                            next =
                                journey.connected(self.clock.now(), &self.view.load(), &self.board);
                            continue;
                        }
                    }
                }
                NextStep::Send { share, within } => {
                    let Some((open, instance)) = connection.take() else {
                        break self.deny(ResultCode::ResponseLost, None, &try_id);
                    };
                    let target = (self.api_adapter.target)(&enquiry, &order);
                    let call = Call {
                        node: &self.site.node,
                        instance: Some(&instance),
                        share: share.as_ref(),
                        within,
                    };
                    let was_used = open.is_used();
                    let (called, again) = self.send(&enquiry, &order, open, &target, call).await;
                    if was_used && matches!(called, Err(CallError::NotConnected)) {
                        // It was closed between the look at it and the write: the upstream may be well.
                        may_reuse = false;
                        next = journey.unsent(self.clock.now());
                        continue;
                    }
                    let outcome = (self.api_adapter.judge)(&called, &try_id, Some(&instance));
                    if outcome != CallOutcome::Garbage {
                        again
                            .into_iter()
                            .for_each(|connection| self.pool.keep(connection));
                        let load = called
                            .as_ref()
                            .ok()
                            .and_then(|reply| (self.api_adapter.load)(reply));
                        load.into_iter()
                            .for_each(|load| journey.hear(self.clock.now(), load));
                    }
                    reply = called.ok();
                    outcome
                }
                NextStep::Wait { within } => {
                    let _ = tokio::time::timeout(within, called.notified()).await;
                    next = journey.called(self.clock.now(), &self.view.load(), &self.board);
                    continue;
                }
                NextStep::Forward { proxies, within } => {
                    let called = self.forward(&enquiry, &order, &proxies, within).await;
                    let last = called
                        .as_ref()
                        .ok()
                        .filter(|reply| self.is_final(reply, &try_id))
                        .cloned();
                    if last.is_some() {
                        self.counters.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                    let judged = (self.api_adapter.judge)(&called, &try_id, None);
                    let outcome = last.as_ref().map(|_| CallOutcome::Sealed).unwrap_or(judged);
                    reply = last;
                    outcome
                }
                NextStep::Answer { code, retry_after } => {
                    self.count(code);
                    break self.deny(code, retry_after, &try_id);
                }
                NextStep::Pass => {
                    let passed = reply.as_ref().map(|reply| (self.api_adapter.pass)(reply));
                    self.count(if passed.is_some() {
                        ResultCode::Success
                    } else {
                        ResultCode::ResponseLost
                    });
                    break passed
                        .unwrap_or_else(|| self.deny(ResultCode::ResponseLost, None, &try_id));
                }
            };
            next = journey.after(self.clock.now(), &self.view.load(), &self.board, outcome);
        };
        self.traces.keep(try_id, journey.into_notes());
        response
    }

    pub(crate) fn deny(
        &self,
        code: ResultCode,
        retry_after: Option<Duration>,
        try_id: &str,
    ) -> Response<Full<Bytes>> {
        (self.api_adapter.deny)(code, retry_after, try_id)
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
    fn is_final(&self, reply: &Reply, try_id: &str) -> bool {
        let code = reply
            .header("x-code")
            .parse()
            .ok()
            .and_then(ResultCode::from_number);
        let denied = reply.header("x-seal").is_empty()
            && code.is_some_and(|code| code != ResultCode::Success);
        let sealed = judge(&Ok(reply.clone()), try_id, None) != CallOutcome::Garbage;
        reply.header("x-try-id") == try_id && (denied || sealed)
    }

    fn enrol(
        &self,
        enquiry: &HttpRequest,
        bell: WakeUp,
    ) -> Result<RequestInfo, (ResultCode, String)> {
        let order = (self.api_adapter.order)(enquiry)
            .map_err(|code| (code, enquiry.header("x-try-id").to_owned()))?;
        if self.is_closing() {
            return Err((ResultCode::ShuttingDown, order.try_id));
        }
        Ok(RequestInfo {
            arrived_at: self.clock.now(),
            body_bytes: enquiry.body.len() as u64,
            bell,
            ..order
        })
    }

    async fn send(
        &self,
        enquiry: &HttpRequest,
        order: &RequestInfo,
        connection: Connection,
        target: &str,
        call: Call<'_>,
    ) -> (Result<Reply, CallError>, Option<Connection>) {
        let outbound = OutboundRequest {
            method: enquiry.method.as_str(),
            path: target,
            headers: (self.api_adapter.headers)(enquiry, order, call),
            body: enquiry.body.clone(),
            id: Some(ResponseId {
                header: self.api_adapter.answer_id,
                value: &order.try_id,
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
        enquiry: &HttpRequest,
        order: &RequestInfo,
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
                .send(enquiry, order, connection, &enquiry.target, call)
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
