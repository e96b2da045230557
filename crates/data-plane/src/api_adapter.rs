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
    LookupAnswer {
        name: String,
        origin: Option<Locality>,
    },
    Live,
    Ready,
    Counters,
    Node,
    /// Why a try went where it went.
    Trace {
        try_id: String,
    },
    /// Where a request would go.
    Supposed,
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

type Paging = dyn Fn(ListenerKind, &HttpRequest) -> Endpoint + Send + Sync;
type Ordering = dyn Fn(&HttpRequest) -> Result<RequestInfo, ResultCode> + Send + Sync;
type Aiming = dyn Fn(&HttpRequest, &RequestInfo) -> String + Send + Sync;
type Heading = dyn Fn(&HttpRequest, &RequestInfo, Call) -> HeaderMap + Send + Sync;
type Judging = dyn Fn(&Result<Reply, CallError>, &str, Option<&str>) -> CallOutcome + Send + Sync;
type Weighing = dyn Fn(&Reply) -> Option<Load> + Send + Sync;
type Passing = dyn Fn(&Reply) -> Response<Full<Bytes>> + Send + Sync;
type Denying = dyn Fn(ResultCode, Option<Duration>, &str) -> Response<Full<Bytes>> + Send + Sync;
type Telling = dyn Fn(LookupAnswer) -> Response<Full<Bytes>> + Send + Sync;

/// How questions are read and answers written.
pub struct ApiAdapter {
    /// What a question is for.
    pub page: Box<Paging>,
    /// A request as its headers tell it; the time of its arrival and the bell are filled in by the proxy.
    pub order: Box<Ordering>,
    /// Path and query at the upstream.
    pub target: Box<Aiming>,
    /// Headers of a call.
    pub headers: Box<Heading>,
    /// The header by which an upstream's answer names the try it is for.
    pub answer_id: &'static str,
    /// What a reply to this try is worth, from this upstream where one is meant.
    pub judge: Box<Judging>,
    /// What an upstream's reply tells of its load.
    pub load: Box<Weighing>,
    /// An upstream's verdict, for the origin.
    pub pass: Box<Passing>,
    /// An answer of the proxy's own to a try, with when to come back.
    pub deny: Box<Denying>,
    /// Where a name lives.
    pub listing: Box<Telling>,
    /// How configurations are read.
    pub reader: ConfigurationParser,
    /// How many addresses a directory answer names at most.
    pub most_addresses: usize,
}

impl ApiAdapter {
    /// The product's own interface, as docs/interface.md has it.
    ///
    /// ```
    /// let reply = transport::Reply { status: 200, headers: Default::default(), body: Default::default() };
    /// assert_eq!((data_plane::ApiAdapter::own().load)(&reply), None);
    /// ```
    pub fn own() -> ApiAdapter {
        ApiAdapter {
            page: Box::new(|_, enquiry| own_page(enquiry)),
            order: Box::new(crate::serve::own_order),
            target: Box::new(|_, order| order.path.clone()),
            headers: Box::new(crate::serve::own_headers),
            answer_id: "x-try-id",
            judge: Box::new(crate::serve::judge),
            load: Box::new(|_| None),
            pass: Box::new(crate::serve::own_pass),
            deny: Box::new(|code, retry_after, try_id| {
                let mut response = transport::result_response(code, retry_after);
                if let (true, Ok(value)) = (!try_id.is_empty(), try_id.parse()) {
                    response.headers_mut().insert("x-try-id", value);
                }
                response
            }),
            listing: Box::new(|listing| {
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
            most_addresses: 3,
        }
    }
}

fn own_page(enquiry: &HttpRequest) -> Endpoint {
    match (enquiry.method.as_str(), enquiry.path.as_str()) {
        (_, path) if path.starts_with("/r/") => Endpoint::Request,
        ("GET", "/directory") => {
            let origin = format!("{}/{}", enquiry.query("region"), enquiry.query("zone"))
                .parse()
                .ok();
            Endpoint::LookupAnswer {
                name: enquiry.query("name").to_owned(),
                origin,
            }
        }
        ("GET", "/live") => Endpoint::Live,
        ("GET", "/ready") => Endpoint::Ready,
        ("GET", "/counters") => Endpoint::Counters,
        ("GET", "/node") => Endpoint::Node,
        ("GET", "/trace") if enquiry.query("name").is_empty() => Endpoint::Trace {
            try_id: enquiry.query("try").to_owned(),
        },
        ("GET", "/trace") => Endpoint::Supposed,
        ("GET", "/setup" | "/status" | "/upstreams" | "/reservations" | "/marks")
        | ("PUT", "/setup")
        | ("POST", "/evacuations" | "/beats") => Endpoint::Relay,
        _ => Endpoint::Unknown,
    }
}
