//! The HTTP client. It never sends anything twice, and it tells apart what surely did not reach the other
//! side from what may have.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A connection that does not come up in this time will not; time is left to go elsewhere.
pub const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const MOST_IDLE: usize = 8;
/// How long a connection may lie idle where the other side does not say.
const KEEP_IDLE: Duration = Duration::from_secs(6);
const MOST_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// A whole reply.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    /// A header's text; empty where it is missing.
    ///
    /// ```
    /// let reply = transport::Reply { status: 200, headers: Default::default(), body: Default::default() };
    /// assert_eq!(reply.header("x-code"), "");
    /// ```
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Called {
    /// No byte can have reached the other side.
    NotConnected,
    /// It may have been read; no whole reply came.
    Lost,
    /// No whole reply came in time.
    TimedOut,
    /// The reply was no HTTP, or over the bound.
    Garbage,
}

type Idle = HashMap<String, Vec<SendRequest<Full<Bytes>>>>;

/// Keeps a few idle connections for calls that may use them.
#[derive(Clone, Default)]
pub struct Caller {
    idle: Arc<Mutex<Idle>>,
}

impl Caller {
    /// Calls an address once. `reuse` may take an idle connection, whose death after the write can't be told
    /// from a lost reply; without it the connection is new.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::{Duration, Instant};
    /// let caller = transport::Caller::default();
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// let failed = caller.call(&free, "GET", "/", &[], Default::default(), Duration::from_secs(5), false).await;
    /// assert_eq!(failed.unwrap_err(), transport::Called::NotConnected);
    /// # });
    /// ```
    #[allow(clippy::too_many_arguments)]
    pub async fn call(
        &self,
        address: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        within: Duration,
        reuse: bool,
    ) -> Result<Reply, Called> {
        if !reuse {
            let started_at = tokio::time::Instant::now();
            let connection = Connection::open(address, within).await?;
            let left = within.saturating_sub(started_at.elapsed());
            return connection.exchange(method, path, self::headers(headers), body, left).await.0;
        }
        let request = build(address, method, path, self::headers(headers), body)?;
        let started_at = tokio::time::Instant::now();
        let (deadline, connect_by) = (started_at + within, started_at + CONNECT_WITHIN);
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => tokio::time::timeout_at(deadline.min(connect_by), connect(address))
                .await
                .map_err(|_| Called::NotConnected)?
                .ok_or(Called::NotConnected)?,
        };
        let reply = tokio::time::timeout_at(deadline, exchange(&mut sender, request));
        let reply = reply.await.map_err(|_| Called::TimedOut)??;
        self.keep_idle(address, sender);
        Ok(reply)
    }

    fn take_idle(&self, address: &str) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(address)?;
        std::iter::from_fn(|| kept.pop()).find(|sender| sender.is_ready())
    }

    fn keep_idle(&self, address: &str, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() > 1024 {
            idle.clear();
        }
        let kept = idle.entry(address.to_owned()).or_default();
        if kept.len() < MOST_IDLE && !sender.is_closed() {
            kept.push(sender);
        }
    }
}

/// A connection for one call after the other, driven by whoever uses it.
pub struct Connection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    /// How long the other side keeps it idle, as far as it says.
    keep_for: Duration,
}

impl Connection {
    /// Opens a connection.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::{Duration, Instant};
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// assert!(transport::Connection::open(&free, Duration::from_secs(5)).await.is_err());
    /// # });
    /// ```
    pub async fn open(address: &str, within: Duration) -> Result<Connection, Called> {
        let opened = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            // What the other side's machine does not take soon is not delivered at all: a request may not
            // lie in a cut network and arrive when it is not allowed any more.
            let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(CONNECT_WITHIN));
            http1::handshake(TokioIo::new(stream)).await.ok()
        };
        let opened = tokio::time::timeout(within.min(CONNECT_WITHIN), opened).await.ok().flatten();
        let (sender, driver) = opened.ok_or(Called::NotConnected)?;
        Ok(Connection { address: address.to_owned(), sender, driver, keep_for: KEEP_IDLE })
    }

    /// Writes the request and reads the reply. All in one task: from this call to the first byte nothing waits. The
    /// connection comes back where another call may follow on it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::{Duration, Instant};
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let (_open, closing) = tokio::sync::watch::channel(false);
    /// tokio::spawn(transport::serve(socket, closing, |enquiry: transport::Enquiry| async move {
    ///     transport::answer(address::Code::Fine, "text/plain", enquiry.body)
    /// }));
    /// let within = Duration::from_secs(5);
    /// let connection = transport::Connection::open(&address, within).await.unwrap();
    /// let (reply, again) = connection.exchange("POST", "/", Default::default(), "hello".into(), within).await;
    /// assert_eq!(&reply.unwrap().body[..], b"hello");
    /// let (reply, _) = again.unwrap().exchange("POST", "/", Default::default(), "again".into(), within).await;
    /// assert_eq!(&reply.unwrap().body[..], b"again");
    /// # });
    /// ```
    pub async fn exchange(
        mut self,
        method: &str,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        within: Duration,
    ) -> (Result<Reply, Called>, Option<Connection>) {
        let request = match build(&self.address, method, path, headers, body) {
            Ok(request) => request,
            Err(failed) => return (Err(failed), None),
        };
        let (sender, driver) = (&mut self.sender, &mut self.driver);
        let exchange = async {
            let mut exchange = std::pin::pin!(exchange(sender, request));
            tokio::select! {
                biased;
                reply = exchange.as_mut() => return (reply, true),
                _ = &mut *driver => {}
            }
            (exchange.await, false)
        };
        let (reply, open) = tokio::time::timeout(within, exchange).await.unwrap_or((Err(Called::TimedOut), false));
        let keeps = reply.as_ref().ok().filter(|_| open).and_then(keep_for);
        let again = keeps.map(|keep_for| Connection { keep_for, ..self });
        (reply, again)
    }

    /// True where the other side has neither closed it nor sent anything that nobody asked for.
    async fn is_quiet(&mut self) -> bool {
        let looked = std::future::poll_fn(|context| {
            std::task::Poll::Ready(std::pin::Pin::new(&mut self.driver).poll(context).is_pending())
        });
        looked.await && self.sender.is_ready()
    }
}

/// How long a connection may lie idle after this reply; none where it may not be used again.
fn keep_for(reply: &Reply) -> Option<Duration> {
    let closes = reply.header("connection").split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
    let told = reply.header("keep-alive").split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let told = told.and_then(|seconds| seconds.trim().parse::<u64>().ok()).map(Duration::from_secs);
    // A second earlier than the other side: what crosses its close on the way is lost.
    let keep = told.map_or(KEEP_IDLE, |told| told.saturating_sub(Duration::from_secs(1)).min(KEEP_IDLE));
    Some(keep).filter(|keep| !closes && !keep.is_zero())
}

/// Connections that wait for their next call, by address; the last one used is the first taken.
#[derive(Default)]
pub struct Pool(Mutex<HashMap<String, Vec<(Instant, Connection)>>>);

impl Pool {
    fn with<T>(&self, change: impl FnOnce(&mut HashMap<String, Vec<(Instant, Connection)>>) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A connection on which nothing stands against another call; none where a new one must be opened.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// assert!(transport::Pool::default().take("127.0.0.1:1").await.is_none());
    /// # });
    /// ```
    pub async fn take(&self, address: &str) -> Option<Connection> {
        loop {
            let (since, mut connection) = self.with(|idle| idle.get_mut(address).and_then(Vec::pop))?;
            if since.elapsed() < connection.keep_for && connection.is_quiet().await {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next call.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let connection = transport::Connection::open(&address, std::time::Duration::from_secs(5)).await.unwrap();
    /// let pool = transport::Pool::default();
    /// pool.keep(connection);
    /// assert!(pool.take(&address).await.is_some());
    /// # });
    /// ```
    pub fn keep(&self, connection: Connection) {
        self.with(|idle| {
            let kept = idle.entry(connection.address.clone()).or_default();
            kept.push((Instant::now(), connection));
            let excess = kept.len().saturating_sub(MOST_IDLE);
            kept.drain(..excess);
        });
    }

    /// Closes those that lay idle for too long.
    ///
    /// ```
    /// transport::Pool::default().sweep();
    /// ```
    pub fn sweep(&self) {
        self.with(|idle| {
            idle.values_mut().for_each(|kept| kept.retain(|(since, kept)| since.elapsed() < kept.keep_for));
            idle.retain(|_, kept| !kept.is_empty());
        });
    }
}

fn build(
    address: &str,
    method: &str,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Called> {
    let request = Request::builder().method(method).uri(path).body(Full::new(body));
    let mut request = request.map_err(|_| Called::NotConnected)?;
    *request.headers_mut() = headers;
    if let (false, Ok(host)) = (request.headers().contains_key("host"), address.parse()) {
        request.headers_mut().insert("host", host);
    }
    Ok(request)
}

/// Headers from names and values; what can't be one is left out.
///
/// ```
/// assert_eq!(transport::headers(&[("x-try-id", "t-1"), ("x-bad", "\n")]).len(), 1);
/// ```
pub fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let header = |(name, value): &(&str, &str)| {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        name.ok().zip(value.parse().ok())
    };
    pairs.iter().filter_map(header).collect()
}

async fn connect(address: &str) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> Result<Reply, Called> {
    let failed = |failure: hyper::Error| match () {
        () if failure.is_parse() => Called::Garbage,
        // Given back before a byte of it was written.
        () if failure.is_canceled() => Called::NotConnected,
        () => Called::Lost,
    };
    let response = sender.send_request(request).await.map_err(failed)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MOST_REPLY_BYTES).collect().await.map_err(|_| Called::Garbage)?;
    Ok(Reply { status: head.status.as_u16(), headers: head.headers, body: body.to_bytes() })
}
