//! What a carrier speaks with origins and upstreams, as policies: the product's own way is [`Dialect::own`], and an
//! adapter to another site's way brings its own.

use bytes::Bytes;
use config::Sheet;
use http_body_util::Full;
use hyper::{HeaderMap, Response};
use locality::Locality;
use name_directory::{Listing, SetupReader};
use protocol::Share;
use request_routing::{Load, Order, Outcome};
use result_code::ResultCode;
use std::time::Duration;
use transport::{Called, Enquiry, Reply};

/// Where a question came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    Front,
    Directory,
    Readiness,
}

/// What a question is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// A request to a service.
    Request,
    /// Where a name lives, for an origin in this place.
    Listing {
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
    pub share: Option<&'a Share>,
    /// How much time it has.
    pub within: Duration,
}

type Paging = dyn Fn(Door, &Enquiry) -> Page + Send + Sync;
type Ordering = dyn Fn(&Enquiry) -> Result<Order, ResultCode> + Send + Sync;
type Aiming = dyn Fn(&Enquiry, &Order) -> String + Send + Sync;
type Heading = dyn Fn(&Enquiry, &Order, Call) -> HeaderMap + Send + Sync;
type Judging = dyn Fn(&Result<Reply, Called>, &str, Option<&str>) -> Outcome + Send + Sync;
type Weighing = dyn Fn(&Reply) -> Option<Load> + Send + Sync;
type Passing = dyn Fn(&Reply) -> Response<Full<Bytes>> + Send + Sync;
type Denying = dyn Fn(ResultCode, Option<Duration>, &str) -> Response<Full<Bytes>> + Send + Sync;
type Telling = dyn Fn(Listing) -> Response<Full<Bytes>> + Send + Sync;

/// How questions are read and answers written.
pub struct Dialect {
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
    pub reader: SetupReader,
    /// How many addresses a directory answer names at most.
    pub most_addresses: usize,
}

impl Dialect {
    /// The product's own interface, as docs/interface.md has it.
    ///
    /// ```
    /// let reply = transport::Reply { status: 200, headers: Default::default(), body: Default::default() };
    /// assert_eq!((data_plane::Dialect::own().load)(&reply), None);
    /// ```
    pub fn own() -> Dialect {
        Dialect {
            page: Box::new(|_, enquiry| own_page(enquiry)),
            order: Box::new(crate::serve::own_order),
            target: Box::new(|_, order| order.path.clone()),
            headers: Box::new(crate::serve::own_headers),
            answer_id: "x-try-id",
            judge: Box::new(crate::serve::judge),
            load: Box::new(|_| None),
            pass: Box::new(crate::serve::own_pass),
            deny: Box::new(|code, retry_after, try_id| {
                let mut response = transport::verdict(code, retry_after);
                if let (true, Ok(value)) = (!try_id.is_empty(), try_id.parse()) {
                    response.headers_mut().insert("x-try-id", value);
                }
                response
            }),
            listing: Box::new(|listing| {
                let proxies = listing
                    .proxies
                    .iter()
                    .map(|address| Sheet::from(address.as_str()))
                    .collect();
                let sheet = Sheet::fields([
                    ("code", u64::from(ResultCode::Fine.number()).into()),
                    ("name", listing.name.into()),
                    ("locality", listing.locality.into()),
                    ("epoch", listing.epoch.into()),
                    ("proxies", proxies),
                    ("lifetimeMs", (listing.lifetime.as_millis() as u64).into()),
                ]);
                transport::json(ResultCode::Fine, &sheet)
            }),
            reader: SetupReader::default(),
            most_addresses: 3,
        }
    }
}

fn own_page(enquiry: &Enquiry) -> Page {
    match (enquiry.method.as_str(), enquiry.path.as_str()) {
        (_, path) if path.starts_with("/r/") => Page::Request,
        ("GET", "/directory") => {
            let origin = format!("{}/{}", enquiry.query("region"), enquiry.query("zone"))
                .parse()
                .ok();
            Page::Listing {
                name: enquiry.query("name").to_owned(),
                origin,
            }
        }
        ("GET", "/live") => Page::Live,
        ("GET", "/ready") => Page::Ready,
        ("GET", "/counters") => Page::Counters,
        ("GET", "/node") => Page::Node,
        ("GET", "/trace") if enquiry.query("name").is_empty() => Page::Trace {
            try_id: enquiry.query("try").to_owned(),
        },
        ("GET", "/trace") => Page::Supposed,
        ("GET", "/setup" | "/status" | "/upstreams" | "/reservations" | "/marks")
        | ("PUT", "/setup")
        | ("POST", "/evacuations" | "/beats") => Page::Relay,
        _ => Page::Unknown,
    }
}
