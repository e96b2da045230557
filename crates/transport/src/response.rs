//! Reading one complete response, and what its headers say about the connection.

use crate::connection::DEFAULT_IDLE_TIMEOUT;
use crate::http_client::{CallError, Reply};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use std::future::Future;
use std::time::Duration;

/// The largest body of a response that is read.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// What crosses the other side's close on the way is lost: a connection is given up so much earlier.
const IDLE_SAFETY_MARGIN: Duration = Duration::from_secs(1);

type SendError = TrySendError<Request<Full<Bytes>>>;

/// Waits for a complete response.
pub(crate) async fn read_complete(
    response: impl Future<Output = Result<Response<Incoming>, SendError>>,
) -> Result<Reply, CallError> {
    let (head, body) = response.await.map_err(call_error)?.into_parts();
    // Where only the close of the connection ends the body, a complete one can't be told from a part.
    if !has_known_length(&head, &body) || head.status.is_informational() {
        return Err(CallError::InvalidResponse);
    }
    let body = Limited::new(body, MAX_REPLY_BYTES)
        .collect()
        .await
        .map_err(|_| CallError::InvalidResponse)?;
    Ok(Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body.to_bytes(),
    })
}

fn call_error(error: SendError) -> CallError {
    if error.message().is_some() {
        // Handed back before any byte of it was written.
        CallError::NotConnected
    } else if error.error().is_parse() {
        CallError::InvalidResponse
    } else {
        CallError::ConnectionLost
    }
}

fn has_known_length(head: &Parts, body: &Incoming) -> bool {
    let is_chunked =
        |value: &HeaderValue| value.as_bytes().to_ascii_lowercase().ends_with(b"chunked");
    let mut encodings = head.headers.get_all("transfer-encoding").iter();
    head.headers.contains_key("content-length") || encodings.any(is_chunked) || body.is_end_stream()
}

/// How long a connection may be idle after this response; none where it may not be used again.
pub(crate) fn idle_timeout(reply: &Reply) -> Option<Duration> {
    if announces_close(reply) {
        return None;
    }
    let timeout = match announced_idle_timeout(reply) {
        Some(announced) => announced
            .saturating_sub(IDLE_SAFETY_MARGIN)
            .min(DEFAULT_IDLE_TIMEOUT),
        None => DEFAULT_IDLE_TIMEOUT,
    };
    Some(timeout).filter(|timeout| !timeout.is_zero())
}

/// The `timeout` of a `keep-alive` header.
fn announced_idle_timeout(reply: &Reply) -> Option<Duration> {
    let seconds = reply
        .header("keep-alive")
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// True where the length is given in two ways, which two readers may understand differently.
pub(crate) fn has_ambiguous_length(reply: &Reply) -> bool {
    reply.headers.contains_key("content-length") && reply.headers.contains_key("transfer-encoding")
}

/// True where the other side closes the connection after this response.
pub(crate) fn announces_close(reply: &Reply) -> bool {
    reply
        .headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
