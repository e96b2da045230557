//! Calls over HTTP. Nothing is ever sent twice, and what surely did not reach the other side is told apart from what
//! may have.

use crate::connection::{Connection, Exchange, OutboundRequest};
use crate::pool::ConnectionPool;
use bytes::Bytes;
use hyper::HeaderMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

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
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// How a call failed. Whether the request may have been executed decides what a caller may do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No byte can have reached the other side: none left this process.
    #[error("not connected; nothing was sent")]
    NotConnected,
    /// The request may have been read; no complete response came.
    #[error("the connection was lost before a complete response")]
    ConnectionLost,
    /// No complete response came in time.
    #[error("no complete response in time")]
    TimedOut,
    /// The response was no HTTP, too large, another request's, or of unknown length.
    #[error("the response is invalid")]
    InvalidResponse,
}

/// Makes calls, and keeps a few idle connections for those that may use them.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Calls an address once. `reuse` may take an idle connection, whose death after the write can't be told
    /// from a lost reply; without it the connection is new, and carries nothing else.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use std::time::{Duration, Instant};
    /// let client = transport::HttpClient::default();
    /// let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    /// let failed = client.call(&free, "GET", "/", &[], Default::default(), Duration::from_secs(5), false).await;
    /// assert_eq!(failed.unwrap_err(), transport::CallError::NotConnected);
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
    ) -> Result<Reply, CallError> {
        let outbound = OutboundRequest {
            method,
            path,
            headers: header_map(headers),
            body,
            id: None,
        };
        let deadline = Instant::now() + within;
        let left = || deadline.saturating_duration_since(Instant::now());
        let kept = if reuse {
            self.idle.take(address).await
        } else {
            None
        };
        if let Some(connection) = kept {
            match connection.exchange(outbound.clone(), left()).await {
                // It was closed before a byte went out.
                Exchange {
                    result: Err(CallError::NotConnected),
                    ..
                } => {}
                exchange => return self.keep_connection(exchange),
            }
        }
        let connection = Connection::open(address, left()).await?;
        let mut exchange = connection.exchange(outbound, left()).await;
        exchange.connection = exchange.connection.filter(|_| reuse);
        self.keep_connection(exchange)
    }

    /// Puts a connection that may be used again into the pool, and hands out the result.
    fn keep_connection(&self, exchange: Exchange) -> Result<Reply, CallError> {
        if let Some(connection) = exchange.connection {
            self.idle.keep(connection);
        }
        exchange.result
    }
}

/// Headers from names and values; what can't be one is left out.
///
/// ```
/// assert_eq!(transport::header_map(&[("x-try-id", "t-1"), ("x-bad", "\n")]).len(), 1);
/// ```
pub fn header_map(pairs: &[(&str, &str)]) -> HeaderMap {
    let header = |(name, value): &(&str, &str)| {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        name.ok().zip(value.parse().ok())
    };
    pairs.iter().filter_map(header).collect()
}
