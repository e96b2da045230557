//! The HTTP client. It never sends anything twice, and it tells apart what surely did not reach the other
//! side from what may have.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// A connection that does not come up in this time will not; time is left to go elsewhere.
pub const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const MOST_IDLE: usize = 8;
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
    /// let reply = wicket::Reply { status: 200, headers: Default::default(), body: Default::default() };
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
    /// use std::time::Duration;
    /// let caller = wicket::Caller::default();
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// let failed = caller.call(&free, "GET", "/", &[], Default::default(), Duration::from_secs(5), false).await;
    /// assert_eq!(failed.unwrap_err(), wicket::Called::NotConnected);
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
            return connection.exchange(method, path, headers, body, left).await;
        }
        let request = build(address, method, path, headers, body)?;
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

/// A new connection, on which nothing was written yet.
pub struct Connection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

impl Connection {
    /// Opens a connection for one call.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::Duration;
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// assert!(wicket::Connection::open(&free, Duration::from_secs(5)).await.is_err());
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
        Ok(Connection { address: address.to_owned(), sender, driver })
    }

    /// Writes the request and reads the reply. All in one task: from this call to the first byte nothing waits.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::Duration;
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let (_open, closing) = tokio::sync::watch::channel(false);
    /// tokio::spawn(wicket::serve(socket, closing, |enquiry: wicket::Enquiry| async move {
    ///     wicket::answer(address::Code::Fine, "text/plain", enquiry.body)
    /// }));
    /// let within = Duration::from_secs(5);
    /// let connection = wicket::Connection::open(&address, within).await.unwrap();
    /// let reply = connection.exchange("POST", "/", &[], "hello".into(), within).await.unwrap();
    /// assert_eq!(&reply.body[..], b"hello");
    /// # });
    /// ```
    pub async fn exchange(
        self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        within: Duration,
    ) -> Result<Reply, Called> {
        let Connection { address, mut sender, driver } = self;
        let request = build(&address, method, path, headers, body)?;
        let exchange = async {
            let mut exchange = std::pin::pin!(exchange(&mut sender, request));
            let mut driver = std::pin::pin!(driver);
            tokio::select! {
                biased;
                reply = exchange.as_mut() => return reply,
                _ = driver.as_mut() => {}
            }
            exchange.await
        };
        tokio::time::timeout(within, exchange).await.map_err(|_| Called::TimedOut)?
    }
}

fn build(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Called> {
    let start = Request::builder().method(method).uri(path).header("host", address);
    let request = headers.iter().fold(start, |request, (name, value)| request.header(*name, *value));
    request.body(Full::new(body)).map_err(|_| Called::NotConnected)
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
    let failed = |failure: hyper::Error| if failure.is_parse() { Called::Garbage } else { Called::Lost };
    let response = sender.send_request(request).await.map_err(failed)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MOST_REPLY_BYTES).collect().await.map_err(|_| Called::Garbage)?;
    Ok(Reply { status: head.status.as_u16(), headers: head.headers, body: body.to_bytes() })
}
