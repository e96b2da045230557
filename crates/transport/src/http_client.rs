//! Calls over HTTP. No request is ever sent twice, and a request that certainly did not reach the other side is told
//! apart from one that may have.

use crate::connection::{Connection, Exchange, OutboundRequest};
use crate::pool::ConnectionPool;
use bytes::Bytes;
use hyper::HeaderMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// All headers.
    pub headers: HeaderMap,
    /// The body; empty for none.
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

/// Makes calls, and keeps a few idle connections for those that may reuse them.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Sends a request to an address once. With `reuse` it may go over an idle connection, whose end after the write
    /// can't be told from a lost response; without it the connection is new, and carries nothing else.
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
        timeout: Duration,
        reuse: bool,
    ) -> Result<Reply, CallError> {
        let outbound = OutboundRequest {
            method,
            path,
            headers: header_map(headers),
            body,
            id: None,
        };
        let deadline = Instant::now() + timeout;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        if reuse && let Some(connection) = self.idle.take(address).await {
            let exchange = connection.exchange(outbound.clone(), remaining()).await;
            // Where the idle connection was closed before a byte went out, a new one may carry the request.
            if !matches!(exchange.result, Err(CallError::NotConnected)) {
                return self.keep_connection(exchange);
            }
        }
        let connection = Connection::open(address, remaining()).await?;
        let mut exchange = connection.exchange(outbound, remaining()).await;
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
