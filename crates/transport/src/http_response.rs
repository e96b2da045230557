//! Responses of the HTTP servers: each carries the number of its result code.

use bytes::Bytes;
use config::JsonValue;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use result_code::ResultCode;
use std::time::Duration;

/// A JSON response with a result code.
///
/// ```
/// let response = transport::json_response(result_code::ResultCode::Success, &config::JsonValue::Null);
/// assert_eq!(response.status(), 200);
/// ```
pub fn json_response(code: ResultCode, body: &JsonValue) -> Response<Full<Bytes>> {
    body_response(code, "application/json", body.to_string().into())
}

/// A result code as a JSON response, with when to retry.
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
    if let Some(retry_after) = retry_after {
        let retry_after_ms = retry_after.as_millis() as u64;
        // The standard header counts whole seconds, and 0 would invite a retry at once.
        let seconds = retry_after_ms.div_ceil(1000).max(1);
        let headers = response.headers_mut();
        headers.insert("retry-after", seconds.into());
        headers.insert("x-retry-after-ms", retry_after_ms.into());
    }
    response
}

/// Redirects the client to another node, by the whole URL there.
///
/// ```
/// let response = transport::redirect("http://127.0.0.1:7001/setup");
/// assert_eq!(response.status(), 307);
/// assert_eq!(response.headers()["location"], "http://127.0.0.1:7001/setup");
/// ```
pub fn redirect(location: &str) -> Response<Full<Bytes>> {
    let mut response = result_response(ResultCode::Redirected, None);
    if let Ok(location) = HeaderValue::from_str(location) {
        response.headers_mut().insert("location", location);
    }
    response
}

/// Bytes as a response with a result code.
///
/// ```
/// let response = transport::body_response(result_code::ResultCode::Success, "text/plain", "hello".into());
/// assert_eq!(response.headers()["content-type"], "text/plain");
/// ```
pub fn body_response(
    code: ResultCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(code.status()).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static(content_type));
    headers.insert("x-code", code.number().into());
    response
}
