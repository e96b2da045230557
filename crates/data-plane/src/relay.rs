//! Operators and upstreams may call any node: a data-plane node relays what is not its own to a control node.

use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpRequest, Reply};

const RELAY_TIMEOUT: Duration = Duration::from_secs(9);
/// When a request for which no control node was found should come again.
const NO_CONTROL_NODE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that a control node's response keeps on its way to the client.
const RELAYED_HEADERS: [&str; 2] = ["x-edition", "retry-after"];

impl Node {
    /// Tries the control nodes in turn while surely none took the request; otherwise the outcome is unknown.
    pub(crate) async fn relay(&self, http_request: HttpRequest) -> Response<Full<Bytes>> {
        let path = path_and_query(&http_request);
        let is_read = http_request.method == "GET";
        let mut last = None;
        let control_nodes = self.control_nodes.load();
        for address in control_nodes.iter() {
            let result = self
                .client
                .call(
                    address,
                    http_request.method.as_str(),
                    &path,
                    &[],
                    http_request.body.clone(),
                    RELAY_TIMEOUT,
                    false,
                )
                .await;
            match result {
                Ok(reply) => {
                    let code = code_of(&reply);
                    let response = relayed_response(code, &reply);
                    if !surely_not_executed(code) {
                        return response;
                    }
                    last = Some(response);
                }
                Err(CallError::NotConnected) => {}
                Err(_) if is_read => {}
                Err(_) => {
                    return transport::result_response(ResultCode::ChangeOutcomeUnknown, None);
                }
            }
        }
        last.unwrap_or_else(|| {
            let retry_after = Some(NO_CONTROL_NODE_RETRY_AFTER);
            transport::result_response(ResultCode::NoControlNode, retry_after)
        })
    }
}

fn code_of(reply: &Reply) -> ResultCode {
    reply
        .header("x-code")
        .parse()
        .ok()
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::InvalidResponse)
}

/// A control node that is cut off, without state or shutting down surely did nothing: another is asked.
fn surely_not_executed(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::StaleView | ResultCode::ShuttingDown | ResultCode::Redirected
    )
}

fn relayed_response(code: ResultCode, reply: &Reply) -> Response<Full<Bytes>> {
    let mut response = transport::body_response(code, "application/json", reply.body.clone());
    for name in RELAYED_HEADERS {
        if let Some(value) = reply.headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

fn path_and_query(http_request: &HttpRequest) -> String {
    let query: Vec<String> = http_request
        .query
        .iter()
        .map(|(name, value)| format!("{name}={}", percent_encode(value)))
        .collect();
    format!("{}?{}", http_request.path, query.join("&"))
}

/// Writes a query value with percent signs where it needs them.
fn percent_encode(value: &str) -> String {
    let mut encoded = String::new();
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            encoded.push(byte as char);
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
