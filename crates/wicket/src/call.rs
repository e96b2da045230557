//! The HTTP client. It never sends anything twice, and it tells apart what surely did not reach the other
//! side from what may have.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
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
        let request = headers
            .iter()
            .fold(Request::builder().method(method).uri(path).header("host", address), |request, (name, value)| {
                request.header(*name, *value)
            })
            .body(Full::new(body))
            .map_err(|_| Called::NotConnected)?;
        let startedAt = tokio::time::Instant::now();
        let (deadline, connectBy) = (startedAt + within, startedAt + CONNECT_WITHIN);
        let idle = if reuse { self.take_idle(address) } else { None };
        let mut sender = match idle {
            Some(sender) => sender,
            None => tokio::time::timeout_at(deadline.min(connectBy), connect(address))
                .await
                .map_err(|_| Called::NotConnected)?
                .ok_or(Called::NotConnected)?,
        };
        let reply = tokio::time::timeout_at(deadline, exchange(&mut sender, request));
        let reply = reply.await.map_err(|_| Called::TimedOut)??;
        if reuse {
            self.keep_idle(address, sender);
        }
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
