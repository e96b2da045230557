//! One HTTP client connection with one owner.
//!
//! A [`Connection`] that somebody holds is idle. [`Connection::exchange`] takes it away and gives it back only where
//! the request went out whole, exactly one answer came after it, that answer was this request's own and nothing came
//! besides. In every other case it is closed, so that no later request can meet what is left on it.

use crate::http_client::{CallError, Reply};
use crate::response_match::{self, ResponseContext, ResponseId, ResponseMatch};
use crate::wire::{Progress, Record, Wire, close_unacknowledged_after};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection that does not come up in this time will not; time is left to go elsewhere.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection may lie idle where the other side does not say.
const KEEP_IDLE: Duration = Duration::from_secs(6);
/// What crosses the other side's close on the way is lost: a connection is given up so much earlier.
const CLOSE_EARLIER: Duration = Duration::from_secs(1);
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// How many answers to other requests are read past before the one that is due.
pub const MAX_SKIPPED_RESPONSES: usize = 4;

type Driver = http1::Connection<TokioIo<Wire>, Full<Bytes>>;
type Sender = SendRequest<Full<Bytes>>;
type Unsent = TrySendError<Request<Full<Bytes>>>;

/// A request to be sent once.
#[derive(Clone, Debug, Default)]
pub struct OutboundRequest<'a> {
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What its answer must carry; none where the other side tells no ids.
    pub id: Option<ResponseId<'a>>,
}

/// What came of one request on a connection.
pub struct Exchange {
    /// The response that belongs to the request, or why there is none.
    pub result: Result<Reply, CallError>,
    /// The connection, where another request may follow on it. It is closed in every other case.
    pub connection: Option<Connection>,
}

impl Exchange {
    fn failed(error: CallError) -> Exchange {
        Exchange {
            result: Err(error),
            connection: None,
        }
    }
}

/// An idle connection: what it carried is whole, and nothing is known to stand on it.
pub struct Connection {
    address: String,
    sender: Sender,
    driver: Driver,
    record: Record,
    /// How many requests it carried.
    carried: u64,
    /// How long the other side keeps it idle, as far as it says.
    keep_for: Duration,
}

impl Connection {
    /// Opens a connection.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::Duration;
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// assert!(transport::Connection::open(&free, Duration::from_secs(5)).await.is_err());
    /// # });
    /// ```
    pub async fn open(address: &str, within: Duration) -> Result<Connection, CallError> {
        let record = Record::default();
        let opened = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            // What the other side's machine does not take soon is not delivered at all: a request may not
            // lie in a cut network and arrive when it is not allowed any more.
            close_unacknowledged_after(&stream, CONNECT_TIMEOUT);
            http1::handshake(TokioIo::new(Wire::new(stream, record.clone())))
                .await
                .ok()
        };
        let opened = tokio::time::timeout(within.min(CONNECT_TIMEOUT), opened)
            .await
            .ok()
            .flatten();
        let (sender, driver) = opened.ok_or(CallError::NotConnected)?;
        Ok(Connection {
            address: address.to_owned(),
            sender,
            driver,
            record,
            carried: 0,
            keep_for: KEEP_IDLE,
        })
    }

    /// Where it leads.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let connection = transport::Connection::open(&address, std::time::Duration::from_secs(5)).await.unwrap();
    /// assert_eq!(connection.address(), address);
    /// # });
    /// ```
    pub fn address(&self) -> &str {
        &self.address
    }

    /// True where it carried a request before.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let connection = transport::Connection::open(&address, std::time::Duration::from_secs(5)).await.unwrap();
    /// assert!(!connection.is_used());
    /// # });
    /// ```
    pub fn is_used(&self) -> bool {
        self.carried > 0
    }

    pub(crate) fn keep_for(&self) -> Duration {
        self.keep_for
    }

    /// Writes the request and reads its reply. All in one task: from this call to the first byte nothing waits.
    /// [`CallError::NotConnected`] means that the kernel took no byte of the request. The connection comes back where
    /// another call may follow on it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::Duration;
    /// use transport::OutboundRequest;
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let (_open, closing) = tokio::sync::watch::channel(false);
    /// tokio::spawn(transport::serve(socket, closing, |enquiry: transport::HttpRequest| async move {
    ///     transport::body_response(result_code::ResultCode::Success, "text/plain", enquiry.body)
    /// }));
    /// let within = Duration::from_secs(5);
    /// let said = |body: &'static str| OutboundRequest { method: "POST", path: "/", body: body.into(), ..Default::default() };
    /// let connection = transport::Connection::open(&address, within).await.unwrap();
    /// let first = connection.exchange(said("hello"), within).await;
    /// assert_eq!(&first.result.unwrap().body[..], b"hello");
    /// let second = first.connection.unwrap().exchange(said("again"), within).await;
    /// assert_eq!(&second.result.unwrap().body[..], b"again");
    /// # });
    /// ```
    pub async fn exchange(self, outbound: OutboundRequest<'_>, within: Duration) -> Exchange {
        let deadline = Instant::now() + within;
        let id = outbound.id;
        let (mut asked, mut request) = match Asked::begin(self, outbound) {
            Ok(begun) => begun,
            Err(failed) => return Exchange::failed(failed),
        };
        loop {
            let called = tokio::time::timeout_at(deadline, asked.answer(request)).await;
            let reply = match called.unwrap_or(Err(CallError::TimedOut)) {
                Ok(reply) => reply,
                // The kernel took nothing: that proves more than what the library hands back unsent.
                Err(_) if asked.progress() == Progress::Unsent => {
                    return Exchange::failed(CallError::NotConnected);
                }
                Err(failed) => return Exchange::failed(failed),
            };
            match asked.match_response(&reply, id) {
                ResponseMatch::CurrentRequest => {
                    let connection = asked.into_idle(&reply);
                    return Exchange {
                        result: Ok(reply),
                        connection,
                    };
                }
                ResponseMatch::OtherRequest => match asked.read_on(&reply).await {
                    Some(next) => (asked, request) = next,
                    None => return Exchange::failed(CallError::InvalidResponse),
                },
                ResponseMatch::Unknown => return Exchange::failed(CallError::InvalidResponse),
            }
        }
    }

    /// True where the other side has neither closed it nor sent anything that nobody asked for.
    pub(crate) async fn is_quiet(&mut self) -> bool {
        let looked =
            poll_fn(|context| Poll::Ready(self.driver.poll_without_shutdown(context).is_pending()));
        looked.await && self.sender.is_ready()
    }
}

/// A connection with a request under way. It ends with whoever drops it.
struct Asked {
    address: String,
    sender: Sender,
    /// None once it ended without an answer.
    driver: Option<Driver>,
    /// False once the other side closed it, or sent what nobody asked for.
    open: bool,
    record: Record,
    carried: u64,
    method: Method,
    body_bytes: u64,
    /// How many answers to other requests were read.
    passed: usize,
}

impl Asked {
    fn begin(
        connection: Connection,
        outbound: OutboundRequest<'_>,
    ) -> Result<(Asked, Request<Full<Bytes>>), CallError> {
        let Connection {
            address,
            sender,
            driver,
            record,
            carried,
            ..
        } = connection;
        let body_bytes = outbound.body.len() as u64;
        let request = build(&address, outbound)?;
        let method = request.method().clone();
        record.begin();
        let (driver, carried) = (Some(driver), carried + 1);
        let asked = Asked {
            address,
            sender,
            driver,
            open: true,
            record,
            carried,
            method,
            body_bytes,
            passed: 0,
        };
        Ok((asked, request))
    }

    /// Sends a request and drives the connection until an answer is whole.
    async fn answer(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let mut reply = pin!(reply(self.sender.try_send_request(request)));
        let driver = &mut self.driver;
        let ended = poll_fn(|context| match driver {
            Some(driver) => driver.poll_without_shutdown(context),
            None => Poll::Ready(Ok(())),
        });
        tokio::select! {
            biased;
            reply = reply.as_mut() => return reply,
            _ = ended => {}
        }
        self.open = false;
        // The answer may lie ready. Where it does not, the request is handed back once the driver is gone.
        if let Poll::Ready(reply) = futures::poll!(reply.as_mut()) {
            return reply;
        }
        self.driver = None;
        reply.await
    }

    fn progress(&self) -> Progress {
        self.record.progress(self.body_bytes)
    }

    fn is_early(&self) -> bool {
        self.record.is_early(self.body_bytes)
    }

    fn match_response(&self, reply: &Reply, id: Option<ResponseId<'_>>) -> ResponseMatch {
        let came = ResponseContext {
            is_first_on_connection: self.carried == 1 && self.passed == 0,
            before_request_complete: self.is_early(),
        };
        response_match::match_response(&reply.headers, reply.status, id, came)
    }

    /// The same connection after an answer to another request, for reading the next one. None where the request is not
    /// out whole, where that answer says that it was the last, or where it can't be told for sure where it ends.
    async fn read_on(self, passed: &Reply) -> Option<(Asked, Request<Full<Bytes>>)> {
        let sure = self.progress() == Progress::Whole && self.method != Method::HEAD;
        if !sure
            || self.passed == MAX_SKIPPED_RESPONSES
            || says_close(passed)
            || is_ambiguous(passed)
        {
            return None;
        }
        let parts = self.driver?.into_parts();
        let wire = parts.io.into_inner().reading_on(parts.read_buf);
        let (sender, driver) = http1::handshake(TokioIo::new(wire)).await.ok()?;
        // Stands for the request that is out already: the library reads an answer only to one that it wrote.
        let mut unheard = Request::new(Full::default());
        *unheard.method_mut() = self.method.clone();
        Some((
            Asked {
                sender,
                driver: Some(driver),
                open: true,
                passed: self.passed + 1,
                ..self
            },
            unheard,
        ))
    }

    /// The connection for another request; none where anything was not as expected.
    fn into_idle(self, reply: &Reply) -> Option<Connection> {
        let expected =
            self.open && self.passed == 0 && self.progress() == Progress::Whole && !self.is_early();
        // What follows an answer without its body can't be told from that body.
        let expected = expected && self.method != Method::HEAD && !is_ambiguous(reply);
        let keep_for = Some(reply).filter(|_| expected).and_then(keep_for)?;
        let Asked {
            address,
            sender,
            driver,
            record,
            carried,
            ..
        } = self;
        Some(Connection {
            address,
            sender,
            driver: driver?,
            record,
            carried,
            keep_for,
        })
    }
}

/// How long a connection may lie idle after this reply; none where it may not be used again.
fn keep_for(reply: &Reply) -> Option<Duration> {
    let told = reply
        .header("keep-alive")
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    let told = told
        .and_then(|seconds| seconds.trim().parse::<u64>().ok())
        .map(Duration::from_secs);
    let keep = told.map_or(KEEP_IDLE, |told| {
        told.saturating_sub(CLOSE_EARLIER).min(KEEP_IDLE)
    });
    Some(keep).filter(|keep| !says_close(reply) && !keep.is_zero())
}

/// True where its length is told in two ways, which may have been read in two ways.
fn is_ambiguous(reply: &Reply) -> bool {
    reply.headers.contains_key("content-length") && reply.headers.contains_key("transfer-encoding")
}

fn says_close(reply: &Reply) -> bool {
    let words = reply
        .headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok());
    words
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

fn build(address: &str, outbound: OutboundRequest<'_>) -> Result<Request<Full<Bytes>>, CallError> {
    let OutboundRequest {
        method,
        path,
        headers,
        body,
        ..
    } = outbound;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body));
    let mut request = request.map_err(|_| CallError::NotConnected)?;
    *request.headers_mut() = headers;
    if let (false, Ok(host)) = (request.headers().contains_key("host"), address.parse()) {
        request.headers_mut().insert("host", host);
    }
    Ok(request)
}

/// Waits for a whole reply.
async fn reply(
    response: impl Future<Output = Result<Response<Incoming>, Unsent>>,
) -> Result<Reply, CallError> {
    let failed = |failure: Unsent| match () {
        // Handed back before any byte of it was written.
        () if failure.message().is_some() => CallError::NotConnected,
        () if failure.error().is_parse() => CallError::InvalidResponse,
        () => CallError::ConnectionLost,
    };
    let (head, body) = response.await.map_err(failed)?.into_parts();
    let chunked = |value: &hyper::header::HeaderValue| {
        value.as_bytes().to_ascii_lowercase().ends_with(b"chunked")
    };
    let framed = head.headers.contains_key("content-length")
        || head
            .headers
            .get_all("transfer-encoding")
            .iter()
            .any(chunked)
        || body.is_end_stream();
    // Where only the close of the connection ends the body, the whole can't be told from a part.
    if !framed || head.status.is_informational() {
        return Err(CallError::InvalidResponse);
    }
    let body = Limited::new(body, MAX_REPLY_BYTES)
        .collect()
        .await
        .map_err(|_| CallError::InvalidResponse)?;
    Ok(Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body.to_bytes(),
    })
}
