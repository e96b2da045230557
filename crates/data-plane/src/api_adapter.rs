//! What a carrier speaks with origins and upstreams, as policies: the product's own way is [`ApiAdapter::own`], and an
//! adapter to another site's way brings its own.

use bytes::Bytes;
use config::JsonValue;
use http_body_util::Full;
use hyper::{HeaderMap, Response};
use locality::Locality;
use name_directory::{ConfigurationParser, LookupAnswer};
use protocol::KeyShare;
use request_routing::{CallOutcome, Load, RequestInfo};
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpRequest, Reply};

/// Where a question came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    Front,
    Directory,
    Readiness,
}

/// What a question is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A request to a service.
    Request,
    /// Where a name lives, for an origin in this place.
    Lookup {
        name: String,
        origin: Option<Locality>,
    },
    Live,
    Ready,
    Counters,
    Node,
    /// Why a try went where it went.
    Trace {
        attempt_id: String,
    },
    /// Where a request would go.
    Explain,
    /// For a postmaster.
    Relay,
    Unknown,
}

/// One call of a request to an upstream, or to the next proxy.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The proxy that makes it.
    pub node: &'a str,
    /// The upstream that is meant; none where it goes to the next proxy.
    pub instance: Option<&'a str>,
    pub share: Option<&'a KeyShare>,
    /// How much time it has.
    pub within: Duration,
}

type ClassifyRequest = dyn Fn(ListenerKind, &HttpRequest) -> Endpoint + Send + Sync;
type ParseRequest = dyn Fn(&HttpRequest) -> Result<RequestInfo, ResultCode> + Send + Sync;
type UpstreamTarget = dyn Fn(&HttpRequest, &RequestInfo) -> String + Send + Sync;
type UpstreamHeaders = dyn Fn(&HttpRequest, &RequestInfo, Call) -> HeaderMap + Send + Sync;
type JudgeResponse =
    dyn Fn(&Result<Reply, CallError>, &str, Option<&str>) -> CallOutcome + Send + Sync;
type ReportedLoad = dyn Fn(&Reply) -> Option<Load> + Send + Sync;
type ClientResponse = dyn Fn(&Reply) -> Response<Full<Bytes>> + Send + Sync;
type Reject = dyn Fn(ResultCode, Option<Duration>, &str) -> Response<Full<Bytes>> + Send + Sync;
type LookupResponse = dyn Fn(LookupAnswer) -> Response<Full<Bytes>> + Send + Sync;

/// How questions are read and answers written.
pub struct ApiAdapter {
    /// What a question is for.
    pub classify: Box<ClassifyRequest>,
    /// A request as its headers tell it; the time of its arrival and the bell are filled in by the proxy.
    pub parse_request: Box<ParseRequest>,
    /// Path and query at the upstream.
    pub upstream_target: Box<UpstreamTarget>,
    /// Headers of a call.
    pub upstream_headers: Box<UpstreamHeaders>,
    /// The header by which an upstream's answer names the try it is for.
    pub response_id_header: &'static str,
    /// What a reply to this try is worth, from this upstream where one is meant.
    pub judge_response: Box<JudgeResponse>,
    /// What an upstream's reply tells of its load.
    pub reported_load: Box<ReportedLoad>,
    /// An upstream's verdict, for the origin.
    pub client_response: Box<ClientResponse>,
    /// An answer of the proxy's own to a try, with when to come back.
    pub reject: Box<Reject>,
    /// Where a name lives.
    pub lookup_response: Box<LookupResponse>,
    /// How configurations are read.
    pub reader: ConfigurationParser,
    /// How many addresses a directory answer names at most.
    pub max_lookup_addresses: usize,
}

impl ApiAdapter {
    /// The product's own interface, as docs/interface.md has it.
    ///
    /// ```
    /// let reply = transport::Reply { status: 200, headers: Default::default(), body: Default::default() };
    /// assert_eq!((data_plane::ApiAdapter::own().reported_load)(&reply), None);
    /// ```
    pub fn own() -> ApiAdapter {
        ApiAdapter {
            classify: Box::new(|_, http_request| classify_own_request(http_request)),
            parse_request: Box::new(crate::serve::parse_own_request),
            upstream_target: Box::new(|_, request| request.path.clone()),
            upstream_headers: Box::new(crate::serve::own_upstream_headers),
            response_id_header: "x-try-id",
            judge_response: Box::new(crate::serve::judge_response),
            reported_load: Box::new(|_| None),
            client_response: Box::new(crate::serve::own_client_response),
            reject: Box::new(|code, retry_after, attempt_id| {
                let mut response = transport::result_response(code, retry_after);
                if let (true, Ok(value)) = (!attempt_id.is_empty(), attempt_id.parse()) {
                    response.headers_mut().insert("x-try-id", value);
                }
                response
            }),
            lookup_response: Box::new(|listing| {
                let proxies = listing
                    .proxies
                    .iter()
                    .map(|address| JsonValue::from(address.as_str()))
                    .collect();
                let json = JsonValue::object([
                    ("code", u64::from(ResultCode::Success.number()).into()),
                    ("name", listing.name.into()),
                    ("locality", listing.locality.into()),
                    ("epoch", listing.epoch.into()),
                    ("proxies", proxies),
                    ("lifetimeMs", (listing.lifetime.as_millis() as u64).into()),
                ]);
                transport::json_response(ResultCode::Success, &json)
            }),
            reader: ConfigurationParser::default(),
            max_lookup_addresses: 3,
        }
    }
}

fn classify_own_request(http_request: &HttpRequest) -> Endpoint {
    match (http_request.method.as_str(), http_request.path.as_str()) {
        (_, path) if path.starts_with("/r/") => Endpoint::Request,
        ("GET", "/directory") => {
            let origin = format!(
                "{}/{}",
                http_request.query("region"),
                http_request.query("zone")
            )
            .parse()
            .ok();
            Endpoint::Lookup {
                name: http_request.query("name").to_owned(),
                origin,
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
