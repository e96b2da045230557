//! How a data-plane node speaks with clients and upstreams. The product's own interface is [`ApiAdapter::own`]; a site
//! with an interface of its own brings its own functions.

use crate::own_api;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Response};
use locality::Locality;
use name_directory::{ConfigurationParser, LookupAnswer};
use protocol::KeyShare;
use request_routing::{CallOutcome, HealthReport, Load, RequestInfo};
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpRequest, Reply};

/// The listener that a request came in at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// For requests to services (and, in the product's own interface, everything else).
    Front,
    /// For lookups of names.
    Directory,
    /// For readiness checks.
    Readiness,
}

/// What a request to the node is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A request to a service.
    Request,
    /// Where a name is served, for a client in a locality.
    Lookup {
        /// The name.
        name: String,
        /// The client's locality; none where it is unreadable.
        client: Option<Locality>,
    },
    /// Whether the process is alive.
    Live,
    /// Whether the node is ready for requests.
    Ready,
    /// The node's counters.
    Counters,
    /// The node's identity and view.
    Node,
    /// Why an attempt went where it went.
    Trace {
        /// The attempt's id.
        attempt_id: String,
    },
    /// Where a request would go.
    Explain,
    /// For a control node.
    Relay,
    /// None of these.
    Unknown,
}

/// One call of a request to an upstream, or to the next proxy.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The proxy that makes it.
    pub node: &'a str,
    /// The upstream instance that is meant; none where it goes to the next proxy.
    pub instance: Option<&'a str>,
    /// The key range that the upstream owns the request's key by.
    pub share: Option<&'a KeyShare>,
    /// How much time it has.
    pub within: Duration,
}

type HttpResponse = Response<Full<Bytes>>;
type Classify = dyn Fn(ListenerKind, &HttpRequest) -> Endpoint + Send + Sync;
type ParseRequest = dyn Fn(&HttpRequest) -> Result<RequestInfo, ResultCode> + Send + Sync;
type UpstreamTarget = dyn Fn(&HttpRequest, &RequestInfo) -> String + Send + Sync;
type UpstreamHeaders = dyn Fn(&HttpRequest, &RequestInfo, Call) -> HeaderMap + Send + Sync;
type JudgeResponse =
    dyn Fn(&Result<Reply, CallError>, &str, Option<&str>) -> CallOutcome + Send + Sync;
type ParseHealth = dyn Fn(&Reply, &str) -> Option<HealthReport> + Send + Sync;
type ReportedLoad = dyn Fn(&Reply) -> Option<Load> + Send + Sync;
type ClientResponse = dyn Fn(&Reply) -> HttpResponse + Send + Sync;
type Reject = dyn Fn(ResultCode, Option<Duration>, &str) -> HttpResponse + Send + Sync;
type LookupResponse = dyn Fn(LookupAnswer) -> HttpResponse + Send + Sync;

/// How requests are read and responses written: one function for each point where interfaces differ.
pub struct ApiAdapter {
    /// What a request is for.
    pub classify: Box<Classify>,
    /// A request as its path and headers describe it; the proxy fills in the time of arrival and the wake-up.
    pub parse_request: Box<ParseRequest>,
    /// Path and query at the upstream.
    pub upstream_target: Box<UpstreamTarget>,
    /// Headers of a call.
    pub upstream_headers: Box<UpstreamHeaders>,
    /// The header by which an upstream's response names the attempt that it is for.
    pub response_id_header: &'static str,
    /// The outcome of a call for this attempt id, to this upstream instance where one is meant.
    pub judge_response: Box<JudgeResponse>,
    /// What an upstream tells in its answer to a health check; none where the answer is not this instance's, or does not
    /// say.
    pub parse_health: Box<ParseHealth>,
    /// The load that an upstream reports with a response.
    pub reported_load: Box<ReportedLoad>,
    /// The client's response, from an upstream's.
    pub client_response: Box<ClientResponse>,
    /// An answer of the proxy's own to an attempt, with when to come back.
    pub reject: Box<Reject>,
    /// The answer to a lookup.
    pub lookup_response: Box<LookupResponse>,
    /// How configurations are parsed.
    pub reader: ConfigurationParser,
    /// How many addresses a lookup's answer names at most.
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
            classify: Box::new(|_, http_request| own_api::classify(http_request)),
            parse_request: Box::new(own_api::parse_request),
            upstream_target: Box::new(|_, request| request.path.clone()),
            upstream_headers: Box::new(own_api::upstream_headers),
            response_id_header: own_api::ATTEMPT_ID_HEADER,
            judge_response: Box::new(own_api::judge_response),
            parse_health: Box::new(own_api::parse_health),
            reported_load: Box::new(|_| None),
            client_response: Box::new(own_api::client_response),
            reject: Box::new(own_api::reject),
            lookup_response: Box::new(own_api::lookup_response),
            reader: ConfigurationParser::default(),
            max_lookup_addresses: 3,
        }
    }
}
