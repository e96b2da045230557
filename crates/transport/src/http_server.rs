//! The HTTP server: bounded in size, time and number of connections.
//!
//! Shutdown has one mechanism: a watch channel that turns true. The server then accepts for a moment more what was on
//! its way, closes its socket, ends idle connections, lets requests in flight finish, and returns once every connection has ended.

use crate::http_request::HttpRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

const MAX_CONNECTIONS: usize = 4096;
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How long a closing server still takes what was already on its way: connections that the kernel accepted, and
/// requests on connections that were just opened.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// The pause after a connection could not be accepted, for instance because descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves a socket until `closing` turns true, then ends idle connections and waits for the rest.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = socket.local_addr().unwrap().to_string();
/// let (close, closing) = tokio::sync::watch::channel(false);
/// let server = tokio::spawn(transport::serve(socket, closing, |request: transport::HttpRequest| async move {
///     transport::body_response(result_code::ResultCode::Success, "text/plain", request.body)
/// }));
/// let client = transport::HttpClient::default();
/// let reply = client.call(&address, "POST", "/", &[], "hello".into(), std::time::Duration::from_secs(5), false);
/// assert_eq!(&reply.await.unwrap().body[..], b"hello");
/// close.send(true).unwrap();
/// server.await.unwrap();
/// # });
/// ```
pub async fn serve<H, F>(socket: TcpListener, closing: watch::Receiver<bool>, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut acceptor = Acceptor {
        socket,
        closing: closing.clone(),
        accept_until: None,
    };
    while let Some(accepted) = acceptor.next().await {
        let Ok(stream) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Beyond the bound, a connection is closed at once.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let connection = serve_connection(stream, closing.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    // The socket goes first: while it is open, the kernel takes connections that nobody here would ever read.
    drop(acceptor);
    // Every connection gives its permit back when it ends.
    let _ = permits.acquire_many(MAX_CONNECTIONS as u32).await;
}

/// Accepts connections until shortly after the server begins to close.
struct Acceptor {
    socket: TcpListener,
    closing: watch::Receiver<bool>,
    /// Set once the server closes.
    accept_until: Option<Instant>,
}

impl Acceptor {
    /// The next connection; none once no more are accepted.
    async fn next(&mut self) -> Option<io::Result<TcpStream>> {
        let accepted = loop {
            let is_closing = *self.closing.borrow();
            if is_closing {
                break self.accept_while_closing().await?;
            }
            tokio::select! {
                accepted = self.socket.accept() => break accepted,
                () = closed(&mut self.closing) => {}
            }
        };
        Some(accepted.map(|(stream, _)| stream))
    }

    async fn accept_while_closing(
        &mut self,
    ) -> Option<io::Result<(TcpStream, std::net::SocketAddr)>> {
        let until = *self
            .accept_until
            .get_or_insert_with(|| Instant::now() + CLOSE_GRACE);
        tokio::time::timeout_at(until, self.socket.accept())
            .await
            .ok()
    }
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Serves a connection until the client ends it, or the server closes and its request in flight is done.
async fn serve_connection<H, F>(stream: TcpStream, mut closing: watch::Receiver<bool>, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    // Nagle's algorithm only delays; without the option the connection works as well.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handle(request, handler).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closed(&mut closing) => {
            // A request that is already on the way must be answered, not cut off.
            let _ = tokio::time::timeout(CLOSE_GRACE, connection.as_mut()).await;
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn handle<H, F>(request: Request<Incoming>, handler: H) -> Response<Full<Bytes>>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    match HttpRequest::receive(request).await {
        Ok(request) => handler(request).await,
        Err(response) => response,
    }
}
