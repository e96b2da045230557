//! A request that a server received, read completely.

use crate::http_response::result_response;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use result_code::ResultCode;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest body that any endpoint reads: a configuration and some room.
pub const MAX_BODY_BYTES: usize = 2 * 1024 * 1024 + 4096;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// A request, read completely.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Path and query as they came.
    pub target: String,
    /// Fields of the query, decoded; of those with one name, the last.
    pub query: BTreeMap<String, String>,
    /// All headers.
    pub headers: HeaderMap,
    /// The body; empty for none.
    pub body: Bytes,
}

impl HttpRequest {
    /// A header's text; empty where it is missing or unreadable.
    ///
    /// ```
    /// let request = transport::HttpRequest { method: hyper::Method::GET, path: "/".into(), target: "/".into(), query: Default::default(),
    ///     headers: Default::default(), body: Default::default() };
    /// assert_eq!(request.header("x-try-id"), "");
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
    /// let request = transport::HttpRequest { method: hyper::Method::GET, path: "/".into(),
    ///     target: "/".into(), query: [("name".to_owned(), "book".to_owned())].into_iter().collect(),
    ///     headers: Default::default(), body: Default::default() };
    /// assert_eq!(request.query("name"), "book");
    /// ```
    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map(String::as_str).unwrap_or_default()
    }

    /// Reads a request with its body. The error is the response for one that is too slow, too large or broken.
    pub(crate) async fn receive(
        request: Request<Incoming>,
    ) -> Result<HttpRequest, Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        let body = read_body(body)
            .await
            .map_err(|code| result_response(code, None))?;
        let target = match head.uri.path_and_query() {
            Some(target) => target.as_str(),
            None => "/",
        };
        Ok(HttpRequest {
            path: head.uri.path().to_owned(),
            target: target.to_owned(),
            query: query_fields(&head.uri),
            method: head.method,
            headers: head.headers,
            body,
        })
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, ResultCode> {
    let reading = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Err(_) => Err(ResultCode::TooSlow),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ResultCode::TooLarge),
        Ok(Err(_)) => Err(ResultCode::Malformed),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
    }
}

fn query_fields(uri: &Uri) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let query = uri.query().unwrap_or_default();
    for field in query.split('&').filter(|field| !field.is_empty()) {
        let (name, value) = field.split_once('=').unwrap_or((field, ""));
        fields.insert(percent_decoded(name), percent_decoded(value));
    }
    fields
}

/// Decodes `%XX`; what is no such code stays as it is.
fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(byte) = bytes.get(index) {
        match coded_byte(&bytes[index..]) {
            Some(coded) => {
                decoded.push(coded);
                index += 3;
            }
            None => {
                decoded.push(*byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The byte that `%XX` at the start stands for.
fn coded_byte(bytes: &[u8]) -> Option<u8> {
    let digits = bytes.strip_prefix(b"%")?.get(..2)?;
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
