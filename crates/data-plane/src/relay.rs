//! Operators and upstreams may call any node: a carrier passes what is not its own on to a postmaster.

use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpRequest};

const RELAY_WITHIN: Duration = Duration::from_secs(9);

impl Node {
    /// Tries the postmasters in turn while surely none took it; otherwise the outcome is unknown.
    pub(crate) async fn relay(&self, http_request: HttpRequest) -> Response<Full<Bytes>> {
        let query: Vec<String> = http_request
            .query
            .iter()
            .map(|(name, value)| format!("{name}={}", coded(value)))
            .collect();
        let path = format!("{}?{}", http_request.path, query.join("&"));
        let postmasters = self.postmasters.load();
        let (read, mut last) = (http_request.method == "GET", None);
        for address in postmasters.iter() {
            let body = http_request.body.clone();
            let called = self
                .client
                .call(
                    address,
                    http_request.method.as_str(),
                    &path,
                    &[],
                    body,
                    RELAY_WITHIN,
                    false,
                )
                .await;
            match called {
                Ok(reply) => {
                    let code = reply
                        .header("x-code")
                        .parse()
                        .ok()
                        .and_then(ResultCode::from_number)
                        .unwrap_or(ResultCode::InvalidResponse);
                    let mut response =
                        transport::body_response(code, "application/json", reply.body.clone());
                    ["x-edition", "retry-after"].into_iter().for_each(|name| {
                        let value = reply.headers.get(name).cloned();
                        value.into_iter().for_each(|value| {
                            response.headers_mut().insert(name, value);
                        });
                    });
                    // A postmaster that is cut off, blank or closing surely did nothing: ask another.
                    if !matches!(
                        code,
                        ResultCode::StaleView | ResultCode::ShuttingDown | ResultCode::Redirected
                    ) {
                        return response;
                    }
                    last = Some(response);
                }
                Err(CallError::NotConnected) => {}
                Err(_) if read => {}
                Err(_) => {
                    return transport::result_response(ResultCode::ChangeOutcomeUnknown, None);
                }
            }
        }
        last.unwrap_or_else(|| {
            transport::result_response(ResultCode::NoControlNode, Some(Duration::from_secs(1)))
        })
    }
}

/// Writes a query value with percent signs where it needs them.
fn coded(value: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    value
        .bytes()
        .map(|byte| {
            if plain(byte) {
                (byte as char).to_string()
            } else {
                format!("%{byte:02X}")
            }
        })
        .collect()
}
