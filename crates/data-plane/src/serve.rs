//! One request through a proxy: enrol, resolve, choose, send, check, answer.

use crate::dialect::Call;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Response};
use request_routing::{Bell, Journey, Move, Order, Outcome};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use transport::{AnswerId, Called, Connection, Enquiry, Outbound, Reply};

/// No origin waits longer than this.
const MOST_REMAINING_MS: u64 = 60_000;

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
/// use request_routing::Outcome;
/// use transport::{Called, Reply};
/// let seal = protocol::seal("t", "a", 200, b"fine");
/// let reply = |seal: &str, body: &'static str| {
///     let mut headers = hyper::HeaderMap::new();
///     headers.insert("x-try-id", "t".parse().unwrap());
///     headers.insert("x-instance", "a".parse().unwrap());
///     headers.insert("x-seal", seal.parse().unwrap());
///     Ok(Reply { status: 200, headers, body: body.into() })
/// };
/// assert_eq!(data_plane::judge(&reply(&seal, "fine"), "t", Some("a")), Outcome::Sealed);
/// assert_eq!(data_plane::judge(&reply(&seal, "fin"), "t", Some("a")), Outcome::Garbage);
/// assert_eq!(data_plane::judge(&reply(&seal, "fine"), "t", Some("b")), Outcome::Replaced, "another instance's own");
/// assert_eq!(data_plane::judge(&reply(&seal, "fine"), "u", Some("a")), Outcome::Garbage);
/// assert_eq!(data_plane::judge(&Err(Called::Lost), "t", Some("a")), Outcome::Lost);
/// ```
pub fn judge(called: &Result<Reply, Called>, try_id: &str, instance: Option<&str>) -> Outcome {
    match called {
        Err(Called::NotConnected) => Outcome::NotConnected,
        Err(Called::Lost) => Outcome::Lost,
        Err(Called::TimedOut) => Outcome::TimedOut,
        Err(Called::Garbage) => Outcome::Garbage,
        Ok(reply) => {
            let answered = reply.header("x-instance");
            let whole = reply.header("x-try-id") == try_id
                && reply.header("x-seal")
                    == protocol::seal(try_id, answered, reply.status, &reply.body);
            let mine = instance.is_none_or(|instance| instance == answered);
            match (whole, mine, reply.status) {
                (false, ..) => Outcome::Garbage,
                (true, false, _) => Outcome::Replaced,
                (true, true, 503) => Outcome::SealedNotRun,
                (true, true, _) => Outcome::Sealed,
            }
        }
    }
}

/// A request in the product's own way.
pub(crate) fn own_order(enquiry: &Enquiry) -> Result<Order, ResultCode> {
    let (name, path) = enquiry
        .path
        .strip_prefix("/r/")
        .and_then(|rest| rest.find('/').map(|at| rest.split_at(at)))
        .ok_or(ResultCode::NoSuchName)?;
    let try_id = Some(enquiry.header("x-try-id"))
        .filter(|try_id| locality::is_valid_id(try_id))
        .ok_or(ResultCode::MissingTry)?;
    let remaining = enquiry
        .header("x-remaining-ms")
        .parse::<u64>()
        .ok()
        .filter(|remaining| (1..=MOST_REMAINING_MS).contains(remaining))
        .ok_or(ResultCode::MissingRemaining)?;
    Ok(Order {
        try_id: try_id.to_owned(),
        name: name.to_owned(),
        path: path.to_owned(),
        key: Some(enquiry.header("x-key"))
            .filter(|key| !key.is_empty())
            .map(str::to_owned),
        remaining: Duration::from_millis(remaining),
        forwarded: !enquiry.header("x-forwarded-hop").is_empty(),
        ..Order::default()
    })
}

/// Headers of a call in the product's own way.
pub(crate) fn own_headers(_: &Enquiry, order: &Order, call: Call) -> HeaderMap {
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
    transport::headers(&headers)
}

/// An upstream's verdict in the product's own way.
pub(crate) fn own_pass(reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body.clone()));
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert("x-code", ResultCode::Fine.number().into());
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
    pub(crate) async fn carry(&self, enquiry: Enquiry) -> Response<Full<Bytes>> {
        let called = Arc::new(Notify::new());
        let ring = called.clone();
        let order = match self.enrol(&enquiry, Bell::new(move || ring.notify_one())) {
            Ok(order) => order,
            Err((code, try_id)) => {
                self.count(code);
                return self.deny(
                    code,
                    request_routing::come_back(code, 0.0, &try_id),
                    &try_id,
                );
            }
        };
        let try_id = order.try_id.clone();
        let mut journey = Journey::new(order.clone(), self.site.clone());
        let mut next = journey.start(self.clock.now(), &self.view.load(), &self.board);
        let (mut connection, mut reply) = (None, None);
        let mut may_reuse = self.keeps_connections;
        let response = loop {
            let outcome = match next {
                Move::Connect { upstream, within } => {
                    match self.connect(&upstream.address, within, may_reuse).await {
                        Err(failed) => (self.dialect.judge)(&Err(failed), &try_id, None),
                        Ok(open) => {
                            connection = Some((open, upstream.instance.clone()));
                            next =
                                journey.connected(self.clock.now(), &self.view.load(), &self.board);
                            continue;
                        }
                    }
                }
                Move::Send { share, within } => {
                    let Some((open, instance)) = connection.take() else {
                        break self.deny(ResultCode::Lost, None, &try_id);
                    };
                    let target = (self.dialect.target)(&enquiry, &order);
                    let call = Call {
                        node: &self.site.node,
                        instance: Some(&instance),
                        share: share.as_ref(),
                        within,
                    };
                    let was_used = open.is_used();
                    let (called, again) = self.send(&enquiry, &order, open, &target, call).await;
                    if was_used && matches!(called, Err(Called::NotConnected)) {
                        // It was closed between the look at it and the write: the upstream may be well.
                        may_reuse = false;
                        next = journey.unsent(self.clock.now());
                        continue;
                    }
                    let outcome = (self.dialect.judge)(&called, &try_id, Some(&instance));
                    if outcome != Outcome::Garbage {
                        again
                            .into_iter()
                            .for_each(|connection| self.pool.keep(connection));
                        let load = called
                            .as_ref()
                            .ok()
                            .and_then(|reply| (self.dialect.load)(reply));
                        load.into_iter()
                            .for_each(|load| journey.hear(self.clock.now(), load));
                    }
                    reply = called.ok();
                    outcome
                }
                Move::Wait { within } => {
                    let _ = tokio::time::timeout(within, called.notified()).await;
                    next = journey.called(self.clock.now(), &self.view.load(), &self.board);
                    continue;
                }
                Move::Forward { proxies, within } => {
                    let called = self.forward(&enquiry, &order, &proxies, within).await;
                    let last = called
                        .as_ref()
                        .ok()
                        .filter(|reply| self.is_final(reply, &try_id))
                        .cloned();
                    if last.is_some() {
                        self.counters.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                    let judged = (self.dialect.judge)(&called, &try_id, None);
                    let outcome = last.as_ref().map(|_| Outcome::Sealed).unwrap_or(judged);
                    reply = last;
                    outcome
                }
                Move::Answer { code, retry_after } => {
                    self.count(code);
                    break self.deny(code, retry_after, &try_id);
                }
                Move::Pass => {
                    let passed = reply.as_ref().map(|reply| (self.dialect.pass)(reply));
                    self.count(if passed.is_some() {
                        ResultCode::Fine
                    } else {
                        ResultCode::Lost
                    });
                    break passed.unwrap_or_else(|| self.deny(ResultCode::Lost, None, &try_id));
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
        (self.dialect.deny)(code, retry_after, try_id)
    }

    /// An idle connection where one is wanted and known to be quiet, else a new one.
    async fn connect(
        &self,
        address: &str,
        within: Duration,
        may_reuse: bool,
    ) -> Result<Connection, Called> {
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
        let denied =
            reply.header("x-seal").is_empty() && code.is_some_and(|code| code != ResultCode::Fine);
        let sealed = judge(&Ok(reply.clone()), try_id, None) != Outcome::Garbage;
        reply.header("x-try-id") == try_id && (denied || sealed)
    }

    fn enrol(&self, enquiry: &Enquiry, bell: Bell) -> Result<Order, (ResultCode, String)> {
        let order = (self.dialect.order)(enquiry)
            .map_err(|code| (code, enquiry.header("x-try-id").to_owned()))?;
        if self.is_closing() {
            return Err((ResultCode::Closing, order.try_id));
        }
        Ok(Order {
            arrived_at: self.clock.now(),
            body_bytes: enquiry.body.len() as u64,
            bell,
            ..order
        })
    }

    async fn send(
        &self,
        enquiry: &Enquiry,
        order: &Order,
        connection: Connection,
        target: &str,
        call: Call<'_>,
    ) -> (Result<Reply, Called>, Option<Connection>) {
        let outbound = Outbound {
            method: enquiry.method.as_str(),
            path: target,
            headers: (self.dialect.headers)(enquiry, order, call),
            body: enquiry.body.clone(),
            id: Some(AnswerId {
                header: self.dialect.answer_id,
                value: &order.try_id,
            }),
        };
        let (called, again) = connection.exchange(outbound, call.within).await;
        // Without reuse each request has its own: one that dies after a write can't be told from a lost verdict.
        (called, again.filter(|_| self.keeps_connections))
    }

    /// One hop to the locality that owns the name. The next proxy is tried only where none can have been reached.
    async fn forward(
        &self,
        enquiry: &Enquiry,
        order: &Order,
        proxies: &[String],
        within: Duration,
    ) -> Result<Reply, Called> {
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
                Err(Called::NotConnected) => continue,
                called => return called,
            }
        }
        Err(Called::NotConnected)
    }
}
