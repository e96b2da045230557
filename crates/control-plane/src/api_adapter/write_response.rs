//! Writes the product's own HTTP responses. Field and header names are an interface and stay as they are.

use crate::interface::ControlResponse;
use bytes::Bytes;
use config::{JsonValue, ValidationError};
use http_body_util::Full;
use hyper::Response;
use protocol::KeyShare;
use result_code::ResultCode;
use std::time::Duration;

/// Names the revision of a configuration that was read.
const REVISION_HEADER: &str = "x-edition";
/// After how many seconds a client may retry what was rejected for the moment.
const RETRY_AFTER_SECONDS: u64 = 1;

pub(super) fn write_response(response: ControlResponse) -> Response<Full<Bytes>> {
    match response {
        ControlResponse::Redirect { to } => transport::redirect(&to),
        ControlResponse::Json(json) => transport::json_response(ResultCode::Success, &json),
        ControlResponse::Heartbeat {
            holder,
            shares,
            span,
        } => transport::json_response(ResultCode::Success, &heartbeat_json(holder, shares, span)),
        ControlResponse::Configuration { revision, bytes } => {
            let mut response =
                transport::body_response(ResultCode::Success, "application/json", bytes.into());
            response
                .headers_mut()
                .insert(REVISION_HEADER, revision.into());
            response
        }
        ControlResponse::Outcome { code, revision } => write_outcome(code, revision),
        ControlResponse::Rejected {
            code,
            validation_errors,
        } => write_rejection(code, &validation_errors),
    }
}

fn write_outcome(code: ResultCode, revision: u64) -> Response<Full<Bytes>> {
    let json = JsonValue::object([
        ("code", u64::from(code.number()).into()),
        ("text", code.text().into()),
        ("edition", revision.into()),
    ]);
    let mut response = transport::json_response(code, &json);
    if matches!(code.status(), 429 | 503) {
        response
            .headers_mut()
            .insert("retry-after", RETRY_AFTER_SECONDS.into());
    }
    response
}

fn write_rejection(
    code: ResultCode,
    validation_errors: &[ValidationError],
) -> Response<Full<Bytes>> {
    let errors = validation_errors.iter().map(|error| {
        JsonValue::object([
            ("path", error.path.as_str().into()),
            ("text", error.message.as_str().into()),
        ])
    });
    let json = JsonValue::object([
        ("code", u64::from(code.number()).into()),
        ("text", code.text().into()),
        ("complaints", errors.collect()),
    ]);
    transport::json_response(code, &json)
}

/// The response to a heartbeat in the product's own interface: the lease's epoch, and the key shares granted for `span`.
///
/// ```
/// let json = control_plane::heartbeat_json(3, None, std::time::Duration::ZERO);
/// assert_eq!(json.to_string(), r#"{"code":1000,"holder":3}"#);
/// ```
pub fn heartbeat_json(holder: u64, shares: Option<Vec<KeyShare>>, span: Duration) -> JsonValue {
    let mut fields: Vec<(&str, JsonValue)> = vec![
        ("code", u64::from(ResultCode::Success.number()).into()),
        ("holder", holder.into()),
    ];
    if let Some(shares) = shares {
        fields.push(("shares", shares.iter().map(share_json).collect()));
        fields.push(("spanMs", (span.as_millis() as u64).into()));
    }
    let fields = fields
        .into_iter()
        .map(|(name, json)| (name.to_owned(), json))
        .collect();
    JsonValue::Object(fields)
}

fn share_json(share: &KeyShare) -> JsonValue {
    JsonValue::object([
        ("from", u64::from(share.from).into()),
        ("until", u64::from(share.until).into()),
        ("epoch", share.epoch.into()),
    ])
}
