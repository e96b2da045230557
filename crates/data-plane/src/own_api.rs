//! The product's own HTTP interface, as docs/interface.md has it: how requests are read, upstreams called, responses
//! judged and answers written.

use crate::api_adapter::{Call, Endpoint};
use bytes::Bytes;
use config::JsonValue;
use http_body_util::Full;
use hyper::{HeaderMap, Response};
use name_directory::LookupAnswer;
use request_routing::{CallOutcome, HealthReport, RequestInfo};
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpRequest, Reply};

/// The header that carries the client's id of an attempt. Its name is part of the interface, and older than the term.
pub(crate) const ATTEMPT_ID_HEADER: &str = "x-try-id";

/// No client waits longer than this.
const MAX_REMAINING_MS: u64 = 60_000;

/// Headers that a response carries from the upstream to the client.
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

/// What a request to one of the proxy's listeners is for.
pub(crate) fn classify(http_request: &HttpRequest) -> Endpoint {
    match (http_request.method.as_str(), http_request.path.as_str()) {
        (_, path) if path.starts_with("/r/") => Endpoint::Request,
        ("GET", "/directory") => {
            let client = format!(
                "{}/{}",
                http_request.query("region"),
                http_request.query("zone")
            )
            .parse()
            .ok();
            Endpoint::Lookup {
                name: http_request.query("name").to_owned(),
                client,
            }
        }
        ("GET", "/live") => Endpoint::Live,
        ("GET", "/ready") => Endpoint::Ready,
        ("GET", "/counters") => Endpoint::Counters,
        ("GET", "/node") => Endpoint::Node,
        ("GET", "/trace") if http_request.query("name").is_empty() => Endpoint::Trace {
            attempt_id: http_request.query("try").to_owned(),
        },
        ("GET", "/trace") => Endpoint::Explain,
        ("GET", "/setup" | "/status" | "/upstreams" | "/reservations" | "/marks")
        | ("PUT", "/setup")
        | ("POST", "/evacuations" | "/beats") => Endpoint::Relay,
        _ => Endpoint::Unknown,
    }
}

/// A request, from its path and headers.
pub(crate) fn parse_request(http_request: &HttpRequest) -> Result<RequestInfo, ResultCode> {
    let (name, path) = http_request
        .path
        .strip_prefix("/r/")
        .and_then(|rest| rest.find('/').map(|at| rest.split_at(at)))
        .ok_or(ResultCode::NoSuchName)?;
    let attempt_id = Some(http_request.header(ATTEMPT_ID_HEADER))
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

/// The headers of a call to an upstream, or to the next proxy.
pub(crate) fn upstream_headers(_: &HttpRequest, request: &RequestInfo, call: Call) -> HeaderMap {
    let remaining = (call.within.as_millis() as u64).to_string();
    let epoch = call.share.map(|share| share.epoch.to_string());
    let mut headers = vec![
        (ATTEMPT_ID_HEADER, request.attempt_id.as_str()),
        ("x-remaining-ms", remaining.as_str()),
        ("x-proxy", call.node),
    ];
    if let Some(key) = &request.key {
        headers.push(("x-key", key));
    }
    if let Some(epoch) = &epoch {
        headers.push(("x-share-epoch", epoch));
    }
    if call.instance.is_none() {
        headers.push(("x-forwarded-hop", "1"));
    }
    transport::header_map(&headers)
}

/// The client's response, from an upstream's.
pub(crate) fn client_response(reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body.clone()));
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert("x-code", ResultCode::Success.number().into());
    for name in service_headers() {
        if let Some(value) = reply.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    response
}

/// The outcome of a call: only a complete response with the right attempt id, instance and seal counts as one. A sealed
/// 503 says that the upstream did not and will not execute the request.
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
    result: &Result<Reply, CallError>,
    attempt_id: &str,
    instance: Option<&str>,
) -> CallOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(CallError::NotConnected) => return CallOutcome::NotConnected,
        Err(CallError::ConnectionLost) => return CallOutcome::ResponseLost,
        Err(CallError::TimedOut) => return CallOutcome::TimedOut,
        Err(CallError::InvalidResponse) => return CallOutcome::InvalidResponse,
    };
    let sealed_by = reply.header("x-instance");
    let seal = protocol::seal(attempt_id, sealed_by, reply.status, &reply.body);
    let is_valid = reply.header(ATTEMPT_ID_HEADER) == attempt_id && reply.header("x-seal") == seal;
    if !is_valid {
        return CallOutcome::InvalidResponse;
    }
    if instance.is_some_and(|instance| instance != sealed_by) {
        return CallOutcome::InstanceReplaced;
    }
    match reply.status {
        503 => CallOutcome::NotExecuted,
        _ => CallOutcome::Complete,
    }
}

/// What an upstream tells in its answer to a health check.
pub(crate) fn parse_health(reply: &Reply, instance: &str) -> Option<HealthReport> {
    if reply.status != hyper::StatusCode::OK.as_u16() || reply.header("x-instance") != instance {
        return None;
    }
    let warm_up_left_ms = reply.header("x-warm-up-ms").parse().ok()?;
    Some(HealthReport {
        warm_up_left: Duration::from_millis(warm_up_left_ms),
    })
}

/// An answer of the proxy's own to an attempt.
pub(crate) fn reject(
    code: ResultCode,
    retry_after: Option<Duration>,
    attempt_id: &str,
) -> Response<Full<Bytes>> {
    let mut response = transport::result_response(code, retry_after);
    if let (false, Ok(value)) = (attempt_id.is_empty(), attempt_id.parse()) {
        response.headers_mut().insert(ATTEMPT_ID_HEADER, value);
    }
    response
}

/// The answer to a lookup of a name.
pub(crate) fn lookup_response(answer: LookupAnswer) -> Response<Full<Bytes>> {
    let proxies = answer
        .proxies
        .iter()
        .map(|address| JsonValue::from(address.as_str()))
        .collect();
    let json = JsonValue::object([
        ("code", u64::from(ResultCode::Success.number()).into()),
        ("name", answer.name.into()),
        ("locality", answer.locality.into()),
        ("epoch", answer.epoch.into()),
        ("proxies", proxies),
        ("lifetimeMs", (answer.lifetime.as_millis() as u64).into()),
    ]);
    transport::json_response(ResultCode::Success, &json)
}
