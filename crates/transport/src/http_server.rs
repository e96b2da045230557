//! The HTTP server: bounded in size, time and number of connections.

use bytes::Bytes;
use config::JsonValue;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use result_code::ResultCode;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// The largest body that any endpoint reads: a setup and some room.
pub const MAX_BODY_BYTES: usize = 2 * 1024 * 1024 + 4096;
const MAX_CONNECTIONS: usize = 4096;
const HEAD_WITHIN: Duration = Duration::from_secs(5);
/// How long a closing server still listens to connections that were just opened.
const ON_THE_WAY: Duration = Duration::from_millis(300);
const BODY_WITHIN: Duration = Duration::from_secs(5);

/// A request, read whole.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    pub method: Method,
    pub path: String,
    /// Path and query as they came.
    pub target: String,
    pub query: BTreeMap<String, String>,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

impl HttpRequest {
    /// A header's text; empty where it is missing or unreadable.
    ///
    /// ```
    /// let enquiry = transport::HttpRequest { method: hyper::Method::GET, path: "/".into(), target: "/".into(), query: Default::default(),
    ///     headers: Default::default(), body: Default::default() };
    /// assert_eq!(enquiry.header("x-try-id"), "");
    /// ```
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// A query field; empty where it is missing.
    ///
    /// ```
    /// let enquiry = transport::HttpRequest { method: hyper::Method::GET, path: "/".into(),
    ///     target: "/".into(), query: [("name".to_owned(), "book".to_owned())].into_iter().collect(),
    ///     headers: Default::default(), body: Default::default() };
    /// assert_eq!(enquiry.query("name"), "book");
    /// ```
    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map(String::as_str).unwrap_or_default()
    }
}

/// A JSON answer with a code.
///
/// ```
/// let response = transport::json_response(result_code::ResultCode::Success, &config::JsonValue::Null);
/// assert_eq!(response.status(), 200);
/// ```
pub fn json_response(code: ResultCode, body: &JsonValue) -> Response<Full<Bytes>> {
    body_response(code, "application/json", body.to_string().into())
}

/// A code as a JSON answer, with when to come back.
///
/// ```
/// use std::time::Duration;
/// let response = transport::result_response(result_code::ResultCode::Overloaded, Some(Duration::from_millis(900)));
/// assert_eq!(response.headers()["retry-after"], "1");
/// assert_eq!(response.headers()["x-code"], "1201");
/// ```
pub fn result_response(code: ResultCode, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    let body = JsonValue::object([
        ("code", u64::from(code.number()).into()),
        ("text", code.text().into()),
    ]);
    let mut response = json_response(code, &body);
    retry_after.into_iter().for_each(|span| {
        let seconds = (span.as_millis() as u64).div_ceil(1000).max(1);
        response.headers_mut().insert("retry-after", seconds.into());
        response
            .headers_mut()
            .insert("x-retry-after-ms", (span.as_millis() as u64).into());
    });
    response
}

/// Sends the caller to another node, by the whole URL there.
///
/// ```
/// let response = transport::redirect("http://127.0.0.1:7001/setup");
/// assert_eq!(response.status(), 307);
/// assert_eq!(response.headers()["location"], "http://127.0.0.1:7001/setup");
/// ```
pub fn redirect(location: &str) -> Response<Full<Bytes>> {
    let mut response = result_response(ResultCode::Redirected, None);
    let location = hyper::header::HeaderValue::from_str(location);
    location.into_iter().for_each(|location| {
        response.headers_mut().insert("location", location);
    });
    response
}

/// Bytes as an answer with a code.
///
/// ```
/// let response = transport::body_response(result_code::ResultCode::Success, "text/plain", "hello".into());
/// assert_eq!(response.headers()["content-type"], "text/plain");
/// ```
pub fn body_response(code: ResultCode, kind: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = hyper::StatusCode::from_u16(code.status()).unwrap_or_default();
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static(kind),
    );
    response
        .headers_mut()
        .insert("x-code", code.number().into());
    response
}

/// Serves a socket until `closing` turns true, then ends idle connections and waits for the rest.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = socket.local_addr().unwrap().to_string();
/// let (close, closing) = tokio::sync::watch::channel(false);
/// let server = tokio::spawn(transport::serve(socket, closing, |enquiry: transport::HttpRequest| async move {
///     transport::body_response(result_code::ResultCode::Success, "text/plain", enquiry.body)
/// }));
/// let client = transport::HttpClient::default();
/// let reply = client.call(&address, "POST", "/", &[], "hello".into(), std::time::Duration::from_secs(5), false);
/// assert_eq!(&reply.await.unwrap().body[..], b"hello");
/// close.send(true).unwrap();
/// server.await.unwrap();
/// # });
/// ```
pub async fn serve<H, F>(socket: TcpListener, mut closing: watch::Receiver<bool>, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut end_by = None;
    loop {
        let ending = *closing.borrow();
        let accepted = if ending {
            // Connections that the kernel took already are served too.
            let until = *end_by.get_or_insert_with(|| tokio::time::Instant::now() + ON_THE_WAY);
            match tokio::time::timeout_at(until, socket.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => break,
            }
        } else {
            tokio::select! {
                accepted = socket.accept() => accepted,
                () = closed(&mut closing) => continue,
            }
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (handler, mut closing) = (handler.clone(), closing.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(take(request, handler).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WITHIN)
                .max_buf_size(64 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                () = closed(&mut closing) => {
                    // A request that is already on the way must be answered, not cut off.
                    let _ = tokio::time::timeout(ON_THE_WAY, connection.as_mut()).await;
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
            drop(permit);
        });
    }
    // Every connection gives its permit back when it ends.
    let _ = room.acquire_many(MAX_CONNECTIONS as u32).await;
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn take<H, F>(request: Request<Incoming>, handler: H) -> Response<Full<Bytes>>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let (head, body) = request.into_parts();
    let read =
        tokio::time::timeout(BODY_WITHIN, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let body = match read {
        Err(_) => return result_response(ResultCode::TooSlow, None),
        Ok(Err(failure)) => {
            let large = failure.is::<http_body_util::LengthLimitError>();
            return result_response(
                if large {
                    ResultCode::TooLarge
                } else {
                    ResultCode::Malformed
                },
                None,
            );
        }
        Ok(Ok(collected)) => collected.to_bytes(),
    };
    let query = head
        .uri
        .query()
        .unwrap_or_default()
        .split('&')
        .filter(|part| !part.is_empty());
    let query = query.map(|part| part.split_once('=').unwrap_or((part, "")));
    handler(HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        target: head
            .uri
            .path_and_query()
            .map(|target| target.as_str())
            .unwrap_or("/")
            .to_owned(),
        query: query
            .map(|(name, value)| (plain(name), plain(value)))
            .collect(),
        headers: head.headers,
        body,
    })
    .await
}

/// Undoes percent signs in a query.
fn plain(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut at, mut out) = (0, Vec::with_capacity(bytes.len()));
    while let Some(byte) = bytes.get(at) {
        let coded = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match (byte, coded.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(decoded)) => {
                out.push(decoded);
                at += 3;
            }
            _ => {
                out.push(*byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
