//! What a postmaster speaks with operators and upstreams, as policies: the product's own way is [`ApiAdapter::own`], and
//! an adapter to another site's way brings its own.

use crate::interface::{ControlRequest, ControlResponse};
use bytes::Bytes;
use config::{JsonValue, ObjectReader, ValidationError, add_validation_error};
use http_body_util::Full;
use hyper::Response;
use name_directory::ConfigurationParser;
use protocol::{KeyShare, Upstream};
use quorum_register::ChangeId;
use result_code::ResultCode;
use std::time::Duration;
use transport::HttpRequest;

/// Why a question can't be read.
pub type RequestError = (ResultCode, Vec<ValidationError>);

type Asking = dyn Fn(&HttpRequest) -> Result<ControlRequest, RequestError> + Send + Sync;

/// How questions are read and answers written.
pub struct ApiAdapter {
    /// What is asked.
    pub read_request: Box<Asking>,
    /// An answer as it is written.
    pub write_response: Box<dyn Fn(ControlResponse) -> Response<Full<Bytes>> + Send + Sync>,
    /// How configurations are read.
    pub reader: ConfigurationParser,
}

impl ApiAdapter {
    /// The product's own interface, as docs/interface.md has it.
    ///
    /// ```
    /// let response = control_plane::ControlResponse::Outcome { code: result_code::ResultCode::Success, revision: 3 };
    /// assert_eq!((control_plane::ApiAdapter::own().write_response)(response).status(), 200);
    /// ```
    pub fn own() -> ApiAdapter {
        ApiAdapter {
            read_request: Box::new(read_request),
            write_response: Box::new(write_response),
            reader: ConfigurationParser::default(),
        }
    }
}

fn read_request(
    request: &HttpRequest,
) -> Result<ControlRequest, (ResultCode, Vec<ValidationError>)> {
    let mut validation_errors = Vec::new();
    let id = read_order_id(request, &mut validation_errors);
    let in_force = request.query("wait") == "force";
    let needs_id = matches!(
        (request.method.as_str(), request.path.as_str()),
        ("PUT", "/setup") | ("POST", "/evacuations")
    );
    if needs_id && !locality::is_valid_id(&id.id) {
        add_validation_error(
            &mut validation_errors,
            "id",
            "a submission needs an id of 1 to 64 of a-z A-Z 0-9 - _ .",
        );
    }
    let request = match (request.method.as_str(), request.path.as_str()) {
        ("PUT", "/setup") => {
            let base = Some(request.query("base"))
                .filter(|base| !base.is_empty())
                .map(str::parse::<u64>);
            if matches!(base, Some(Err(_))) {
                add_validation_error(
                    &mut validation_errors,
                    "base",
                    "must be the edition that the setup was made from",
                );
            }
            ControlRequest::SubmitConfiguration {
                id,
                base: base.and_then(Result::ok),
                bytes: request.body.to_vec(),
                in_force,
            }
        }
        ("POST", "/evacuations") => {
            let locality = request.query("locality").to_owned();
            if let Err(text) = locality.parse::<locality::Locality>() {
                add_validation_error(&mut validation_errors, "locality", text);
            }
            let back = request.query("back") == "true";
            ControlRequest::Evacuate {
                id,
                locality,
                back,
                in_force,
            }
        }
        ("POST", "/voters") => {
            let named =
                |name: &str| Some(request.query(name).to_owned()).filter(|node| !node.is_empty());
            let (add, remove) = (named("add"), named("remove"));
            let wrong = [&add, &remove]
                .into_iter()
                .flatten()
                .any(|node| !locality::is_valid_id(node));
            if wrong || (add.is_none() && remove.is_none()) {
                add_validation_error(
                    &mut validation_errors,
                    "voters",
                    "name the node to 'add', the one to 'remove', or both",
                );
            }
            ControlRequest::ChangeVoters { add, remove }
        }
        ("GET", "/setup") => ControlRequest::ReadConfiguration,
        ("GET", "/status") => ControlRequest::Status,
        ("GET", "/upstreams") => ControlRequest::Upstreams,
        ("GET", "/reservations") => ControlRequest::Reservations,
        ("GET", "/marks") => ControlRequest::Tombstones,
        ("POST", "/beats") => {
            ControlRequest::Heartbeat(read_beat(&request.body, &mut validation_errors))
        }
        _ => return Err((ResultCode::NoSuchEndpoint, Vec::new())),
    };
    if validation_errors.is_empty() {
        Ok(request)
    } else {
        Err((ResultCode::Malformed, validation_errors))
    }
}

/// The id of an order, and how many orders were decided before it was first sent.
fn read_order_id(request: &HttpRequest, validation_errors: &mut Vec<ValidationError>) -> ChangeId {
    let since = Some(request.query("since"))
        .filter(|since| !since.is_empty())
        .map(str::parse::<u64>);
    if matches!(since, Some(Err(_))) {
        add_validation_error(
            validation_errors,
            "since",
            "must be the count of decided orders that a status told",
        );
    }
    ChangeId {
        id: request.query("id").to_owned(),
        since: since.and_then(Result::ok),
    }
}

fn read_beat(body: &[u8], validation_errors: &mut Vec<ValidationError>) -> Upstream {
    let json = std::str::from_utf8(body)
        .map_err(|_| "this is not UTF-8".to_owned())
        .and_then(JsonValue::parse);
    let json = json.unwrap_or_else(|text| {
        add_validation_error(validation_errors, "/", text);
        JsonValue::Null
    });
    let mut fields = ObjectReader::new(&json, "", validation_errors);
    let ids = fields.id("service").zip(fields.id("instance"));
    let place = fields.text("address").zip(fields.text("locality"));
    let numbers = fields
        .count("freeSlots", 0..=100_000, None)
        .zip(fields.count("beat", 1..=u64::MAX, None));
    let warm = fields.boolean("warm", false);
    let state = fields.text("condition").unwrap_or_default();
    let holds = fields.list("holds").to_vec();
    let holder = fields.count("holder", 0..=u64::MAX, Some(0)).unwrap_or(0);
    fields.finish();
    let holds = holds.iter().enumerate().filter_map(|(at, hold)| {
        let mut fields = ObjectReader::new(hold, &format!("/holds/{at}"), validation_errors);
        let most = u64::from(key_space::SLOT_COUNT);
        let run = fields
            .count("from", 0..=most, None)
            .zip(fields.count("until", 0..=most, None));
        let epoch = fields.count("epoch", 0..=u64::MAX, None);
        fields.finish();
        run.zip(epoch).map(|((from, until), epoch)| KeyShare {
            from: from as u32,
            until: until as u32,
            epoch,
            instance: String::new(),
            handover: String::new(),
        })
    });
    let holds = holds.collect();
    let state = match state.as_str() {
        "ready" => protocol::UpstreamState::Ready,
        "leaving" => protocol::UpstreamState::Draining,
        "gone" => protocol::UpstreamState::Deregistered,
        other => {
            add_validation_error(
                validation_errors,
                "/condition",
                format!("'{other}' is none of ready, leaving, gone"),
            );
            protocol::UpstreamState::Deregistered
        }
    };
    let ((service, instance), (address, locality)) = ids.zip(place).unwrap_or_default();
    if validation_errors.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
        add_validation_error(
            validation_errors,
            "/address",
            format!("'{address}' is not an IP number and a port"),
        );
    }
    if validation_errors.is_empty() && locality.parse::<locality::Locality>().is_err() {
        add_validation_error(
            validation_errors,
            "/locality",
            format!("'{locality}' is not a locality; write region/zone"),
        );
    }
    let (free_slots, beat) = numbers
        .map(|(free, beat)| (free as u32, beat))
        .unwrap_or_default();
    Upstream {
        service,
        instance,
        address,
        locality,
        free_slots,
        warm,
        state: state.into(),
        beat,
        holds,
        holder,
        slots: 0,
        released: Vec::new(),
        age_ms: 0,
        born_ms: 0,
    }
}

fn write_response(response: ControlResponse) -> Response<Full<Bytes>> {
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
            response.headers_mut().insert("x-edition", revision.into());
            response
        }
        ControlResponse::Outcome { code, revision } => {
            let json = JsonValue::object([
                ("code", u64::from(code.number()).into()),
                ("text", code.text().into()),
                ("edition", revision.into()),
            ]);
            let mut response = transport::json_response(code, &json);
            if code.status() == 503 || code.status() == 429 {
                response.headers_mut().insert("retry-after", 1.into());
            }
            response
        }
        ControlResponse::Rejected {
            code,
            validation_errors,
        } => {
            let told = validation_errors.iter().map(|complaint| {
                JsonValue::object([
                    ("path", complaint.path.as_str().into()),
                    ("text", complaint.text.as_str().into()),
                ])
            });
            let json = JsonValue::object([
                ("code", u64::from(code.number()).into()),
                ("text", code.text().into()),
                ("complaints", told.collect()),
            ]);
            transport::json_response(code, &json)
        }
    }
}

/// The answer to a beat in the product's own way.
///
/// ```
/// let json = control_plane::heartbeat_json(3, None, std::time::Duration::ZERO);
/// assert_eq!(json.to_string(), r#"{"code":1000,"holder":3}"#);
/// ```
pub fn heartbeat_json(holder: u64, shares: Option<Vec<KeyShare>>, span: Duration) -> JsonValue {
    let mut fields = vec![
        ("code", u64::from(ResultCode::Success.number()).into()),
        ("holder", holder.into()),
    ];
    shares.into_iter().for_each(|shares| {
        let run = |share: KeyShare| {
            JsonValue::object([
                ("from", u64::from(share.from).into()),
                ("until", u64::from(share.until).into()),
                ("epoch", share.epoch.into()),
            ])
        };
        fields.push(("shares", shares.into_iter().map(run).collect()));
        fields.push(("spanMs", (span.as_millis() as u64).into()));
    });
    JsonValue::Object(
        fields
            .into_iter()
            .map(|(name, json)| (name.to_owned(), json))
            .collect(),
    )
}
