//! A pool of idle connections.
//!
//! A connection that was taken has one owner until it is put back; one that the other side closed, or on which
//! anything arrived meanwhile, is never handed out.

use crate::connection::Connection;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Most idle connections to one address.
const MAX_IDLE: usize = 8;

/// Idle connections by address, each with when it became idle.
type Idle = HashMap<String, Vec<(Instant, Connection)>>;

/// Idle connections by address; the last one used is the first taken.
#[derive(Default)]
pub struct ConnectionPool(Mutex<Idle>);

impl ConnectionPool {
    fn with<T>(&self, change: impl FnOnce(&mut Idle) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A connection that may carry another request; none where a new one must be opened.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// assert!(transport::ConnectionPool::default().take("127.0.0.1:1").await.is_none());
    /// # });
    /// ```
    pub async fn take(&self, address: &str) -> Option<Connection> {
        loop {
            let (since, mut connection) =
                self.with(|idle| idle.get_mut(address).and_then(Vec::pop))?;
            if since.elapsed() < connection.idle_timeout && connection.is_quiet().await {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next request.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let connection = transport::Connection::open(&address, std::time::Duration::from_secs(5)).await.unwrap();
    /// let pool = transport::ConnectionPool::default();
    /// pool.keep(connection);
    /// assert!(pool.take(&address).await.is_some());
    /// # });
    /// ```
    pub fn keep(&self, connection: Connection) {
        self.with(|idle| {
            let kept = idle.entry(connection.address().to_owned()).or_default();
            kept.push((Instant::now(), connection));
            let excess = kept.len().saturating_sub(MAX_IDLE);
            kept.drain(..excess);
        });
    }

    /// Closes connections that were idle for too long.
    ///
    /// ```
    /// transport::ConnectionPool::default().sweep();
    /// ```
    pub fn sweep(&self) {
        self.with(|idle| {
            for kept in idle.values_mut() {
                kept.retain(|(since, connection)| since.elapsed() < connection.idle_timeout);
            }
            idle.retain(|_, kept| !kept.is_empty());
        });
    }
}
