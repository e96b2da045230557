//! One HTTP client connection with one owner.
//!
//! The invariant: a response reaches the request that it answers, or nobody. A [`Connection`] that somebody owns is
//! idle. [`Connection::exchange`] consumes it, and gives it back only where the request went out completely, exactly
//! one response came after it, that response was this request's own, and nothing else arrived. In every other case it
//! is closed, so that no later request can meet what is left on it.

use crate::http_client::{CallError, Reply};
use crate::in_flight::InFlight;
use crate::recorded_stream::{
    ExchangeRecord, Progress, RecordedStream, set_unacknowledged_timeout,
};
use crate::response_match::{ResponseId, ResponseMatch};
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection that is not established in this time will not be; time is left to go elsewhere.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection may be idle where the other side does not say.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// The HTTP library's state machine, which moves bytes while it is polled.
pub(crate) type Driver = http1::Connection<TokioIo<RecordedStream>, Full<Bytes>>;
/// The HTTP library's handle for sending a request.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// A request that is sent at most once.
#[derive(Clone, Debug, Default)]
pub struct OutboundRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers; `host` is added where it is missing.
    pub headers: HeaderMap,
    /// Body; empty for none.
    pub body: Bytes,
    /// What its response must carry; none where the other side returns no ids.
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

/// An idle connection: earlier exchanges are complete, and nothing is known to have arrived since.
pub struct Connection {
    pub(crate) address: String,
    pub(crate) sender: Sender,
    pub(crate) driver: Driver,
    pub(crate) record: ExchangeRecord,
    /// How many requests it carried.
    pub(crate) requests_carried: u64,
    /// How long the other side keeps it idle, as far as it says.
    pub(crate) idle_timeout: Duration,
}

impl Connection {
    /// Opens a connection. Any failure is [`CallError::NotConnected`].
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::Duration;
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// assert!(transport::Connection::open(&free, Duration::from_secs(5)).await.is_err());
    /// # });
    /// ```
    pub async fn open(address: &str, timeout: Duration) -> Result<Connection, CallError> {
        let record = ExchangeRecord::default();
        let opening = establish(address, record.clone());
        let opened = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), opening).await;
        let (sender, driver) = opened.ok().flatten().ok_or(CallError::NotConnected)?;
        Ok(Connection {
            address: address.to_owned(),
            sender,
            driver,
            record,
            requests_carried: 0,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// The address that it leads to.
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
        self.requests_carried > 0
    }

    /// Sends a request and reads its response, all in one task: from this call to the first byte nothing waits.
    /// [`CallError::NotConnected`] means that the kernel took no byte of the request.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::Duration;
    /// use transport::OutboundRequest;
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let (_open, closing) = tokio::sync::watch::channel(false);
    /// tokio::spawn(transport::serve(socket, closing, |request: transport::HttpRequest| async move {
    ///     transport::body_response(result_code::ResultCode::Success, "text/plain", request.body)
    /// }));
    /// let timeout = Duration::from_secs(5);
    /// let post = |body: &'static str| OutboundRequest { method: "POST", path: "/", body: body.into(), ..Default::default() };
    /// let connection = transport::Connection::open(&address, timeout).await.unwrap();
    /// let first = connection.exchange(post("hello"), timeout).await;
    /// assert_eq!(&first.result.unwrap().body[..], b"hello");
    /// let second = first.connection.unwrap().exchange(post("again"), timeout).await;
    /// assert_eq!(&second.result.unwrap().body[..], b"again");
    /// # });
    /// ```
    pub async fn exchange(self, outbound: OutboundRequest<'_>, timeout: Duration) -> Exchange {
        let deadline = Instant::now() + timeout;
        let id = outbound.id;
        let (mut in_flight, mut request) = match InFlight::start(self, outbound) {
            Ok(started) => started,
            Err(error) => return Exchange::failed(error),
        };
        loop {
            let called = tokio::time::timeout_at(deadline, in_flight.read_response(request)).await;
            let reply = match called.unwrap_or(Err(CallError::TimedOut)) {
                Ok(reply) => reply,
                // The kernel took nothing: that proves more than what the library hands back unsent.
                Err(_) if in_flight.progress() == Progress::Unsent => {
                    return Exchange::failed(CallError::NotConnected);
                }
                Err(error) => return Exchange::failed(error),
            };
            match in_flight.match_response(&reply, id) {
                ResponseMatch::CurrentRequest => {
                    return Exchange {
                        connection: in_flight.into_idle(&reply),
                        result: Ok(reply),
                    };
                }
                ResponseMatch::OtherRequest => match in_flight.skip_response(&reply).await {
                    Some(next) => (in_flight, request) = next,
                    None => return Exchange::failed(CallError::InvalidResponse),
                },
                ResponseMatch::Unknown => return Exchange::failed(CallError::InvalidResponse),
            }
        }
    }

    /// True where the other side has neither closed it nor sent anything without a request.
    pub(crate) async fn is_quiet(&mut self) -> bool {
        let polled =
            poll_fn(|context| Poll::Ready(self.driver.poll_without_shutdown(context).is_pending()));
        polled.await && self.sender.is_ready()
    }
}

/// Connects, and has the HTTP library take over the stream; none where either fails.
async fn establish(address: &str, record: ExchangeRecord) -> Option<(Sender, Driver)> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Nagle's algorithm only delays; without the option the connection works as well.
    let _ = stream.set_nodelay(true);
    // What the other side's machine does not acknowledge soon is not delivered at all: a request may not stay in a
    // partitioned network and arrive when it is not allowed any more.
    set_unacknowledged_timeout(&stream, CONNECT_TIMEOUT);
    let stream = RecordedStream::new(stream, record);
    http1::handshake(TokioIo::new(stream)).await.ok()
}
