//! One request through a proxy: enrol, resolve, choose, send, check, answer.

use crate::shell::Node;
use address::Code;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use sorting::{Bell, Journey, Move, Order, Outcome};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use wicket::{Called, Connection, Enquiry, Reply};

/// No origin waits longer than this.
const MOST_REMAINING_MS: u64 = 60_000;

/// Headers that a verdict carries from the upstream to the origin.
///
/// ```
/// assert!(carrier::service_headers().contains(&"x-seal"));
/// ```
pub fn service_headers() -> [&'static str; 7] {
    ["content-type", "x-instance", "x-seal", "x-try-id", "x-code", "retry-after", "x-retry-after-ms"]
}

/// What a reply is worth: only a whole verdict with the right try, instance and seal is one. A sealed 503
/// says that the upstream did not and will not run it.
///
/// ```
/// use sorting::Outcome;
/// use wicket::{Called, Reply};
/// let seal = parcel::seal("t", "a", 200, b"fine");
/// let reply = |seal: &str, body: &'static str| {
///     let mut headers = hyper::HeaderMap::new();
///     headers.insert("x-try-id", "t".parse().unwrap());
///     headers.insert("x-instance", "a".parse().unwrap());
///     headers.insert("x-seal", seal.parse().unwrap());
///     Ok(Reply { status: 200, headers, body: body.into() })
/// };
/// assert_eq!(carrier::judge(&reply(&seal, "fine"), "t", Some("a")), Outcome::Sealed);
/// assert_eq!(carrier::judge(&reply(&seal, "fin"), "t", Some("a")), Outcome::Garbage);
/// assert_eq!(carrier::judge(&reply(&seal, "fine"), "t", Some("b")), Outcome::Replaced, "another instance's own");
/// assert_eq!(carrier::judge(&reply(&seal, "fine"), "u", Some("a")), Outcome::Garbage);
/// assert_eq!(carrier::judge(&Err(Called::Lost), "t", Some("a")), Outcome::Lost);
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
                && reply.header("x-seal") == parcel::seal(try_id, answered, reply.status, &reply.body);
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

impl Node {
    /// Serves `/r/{name}{path}`.
    pub(crate) async fn carry(&self, enquiry: Enquiry) -> Response<Full<Bytes>> {
        let called = Arc::new(Notify::new());
        let ring = called.clone();
        let order = match self.enrol(&enquiry, Bell::new(move || ring.notify_one())) {
            Ok(order) => order,
            Err(code) => {
                self.count(code);
                let try_id = enquiry.header("x-try-id");
                return self.stamp(wicket::verdict(code, sorting::come_back(code, 0.0, try_id)), try_id);
            }
        };
        let try_id = order.try_id.clone();
        let mut journey = Journey::new(order.clone(), self.site.clone());
        let mut next = journey.start(self.clock.now(), &self.view.load(), &self.board);
        let (mut connection, mut reply) = (None, None);
        let response = loop {
            let outcome = match next {
                Move::Connect { upstream, within } => match Connection::open(&upstream.address, within).await {
                    Err(failed) => judge(&Err(failed), &try_id, None),
                    Ok(open) => {
                        connection = Some((open, upstream.instance.clone()));
                        next = journey.connected(self.clock.now(), &self.view.load(), &self.board);
                        continue;
                    }
                },
                Move::Send { share, within } => {
                    let Some((open, instance)) = connection.take() else { break wicket::verdict(Code::Lost, None) };
                    let epoch = share.map(|share| share.epoch.to_string());
                    let called = self.send(&enquiry, &order, open, &order.path, within, epoch).await;
                    let outcome = judge(&called, &try_id, Some(&instance));
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
                    let last = called.as_ref().ok().filter(|reply| self.is_final(reply, &try_id)).cloned();
                    if last.is_some() {
                        self.counters.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                    let judged = judge(&called, &try_id, None);
                    let outcome = last.as_ref().map(|_| Outcome::Sealed).unwrap_or(judged);
                    reply = last;
                    outcome
                }
                Move::Answer { code, retry_after } => {
                    self.count(code);
                    break wicket::verdict(code, retry_after);
                }
                Move::Pass => {
                    let passed = reply.as_ref().map(pass);
                    self.count(if passed.is_some() { Code::Fine } else { Code::Lost });
                    break passed.unwrap_or_else(|| wicket::verdict(Code::Lost, None));
                }
            };
            next = journey.after(self.clock.now(), &self.view.load(), &self.board, outcome);
        };
        self.traces.keep(try_id.clone(), journey.into_notes());
        self.stamp(response, &try_id)
    }

    /// A forwarded request's answer is final: sealed by an upstream, or denied by the other proxy.
    fn is_final(&self, reply: &Reply, try_id: &str) -> bool {
        let code = reply.header("x-code").parse().ok().and_then(Code::from_number);
        let denied = reply.header("x-seal").is_empty() && code.is_some_and(|code| code != Code::Fine);
        let sealed = judge(&Ok(reply.clone()), try_id, None) != Outcome::Garbage;
        reply.header("x-try-id") == try_id && (denied || sealed)
    }

    fn enrol(&self, enquiry: &Enquiry, bell: Bell) -> Result<Order, Code> {
        let (name, path) = enquiry
            .path
            .strip_prefix("/r/")
            .and_then(|rest| rest.find('/').map(|at| rest.split_at(at)))
            .ok_or(Code::NoSuchName)?;
        let try_id =
            Some(enquiry.header("x-try-id")).filter(|try_id| address::is_id(try_id)).ok_or(Code::MissingTry)?;
        let remaining = enquiry
            .header("x-remaining-ms")
            .parse::<u64>()
            .ok()
            .filter(|remaining| (1..=MOST_REMAINING_MS).contains(remaining))
            .ok_or(Code::MissingRemaining)?;
        if self.is_closing() {
            return Err(Code::Closing);
        }
        Ok(Order {
            try_id: try_id.to_owned(),
            name: name.to_owned(),
            path: path.to_owned(),
            key: Some(enquiry.header("x-key")).filter(|key| !key.is_empty()).map(str::to_owned),
            arrived_at: self.clock.now(),
            remaining: Duration::from_millis(remaining),
            body_bytes: enquiry.body.len() as u64,
            forwarded: !enquiry.header("x-forwarded-hop").is_empty(),
            bell,
        })
    }

    async fn send(
        &self,
        enquiry: &Enquiry,
        order: &Order,
        connection: Connection,
        path: &str,
        within: Duration,
        epoch: Option<String>,
    ) -> Result<Reply, Called> {
        let remaining = (within.as_millis() as u64).to_string();
        let mut headers = vec![
            ("x-try-id", order.try_id.as_str()),
            ("x-remaining-ms", remaining.as_str()),
            ("x-proxy", self.site.node.as_str()),
        ];
        headers.extend(order.key.as_deref().map(|key| ("x-key", key)));
        headers.extend(epoch.as_deref().map(|epoch| ("x-share-epoch", epoch)));
        if path != order.path {
            headers.push(("x-forwarded-hop", "1"));
        }
        let method = enquiry.method.as_str();
        // A connection that dies after a write can't be told from a lost verdict: each request has its own.
        connection.exchange(method, path, &headers, enquiry.body.clone(), within).await
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
            if let Ok(connection) = Connection::open(proxy, within).await {
                return self.send(enquiry, order, connection, &enquiry.path, within, None).await;
            }
        }
        Err(Called::NotConnected)
    }

    fn stamp(&self, mut response: Response<Full<Bytes>>, try_id: &str) -> Response<Full<Bytes>> {
        let headers = response.headers_mut();
        if let (true, Ok(value)) = (!try_id.is_empty(), try_id.parse()) {
            headers.insert("x-try-id", value);
        }
        response
    }
}

fn pass(reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body.clone()));
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert("x-code", Code::Fine.number().into());
    service_headers().into_iter().for_each(|name| {
        let value = reply.headers.get(name).cloned();
        value.into_iter().for_each(|value| {
            headers.insert(name, value);
        });
    });
    response
}
