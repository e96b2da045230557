//! Reads the product's own HTTP requests. Paths, parameters and field names are an interface and stay as they are.

use crate::api_adapter::RequestError;
use crate::interface::ControlRequest;
use config::{JsonValue, ObjectReader, ValidationError, add_validation_error};
use locality::Locality;
use protocol::{KeyShare, Upstream, UpstreamState};
use quorum_register::ChangeId;
use result_code::ResultCode;
use std::net::SocketAddr;
use transport::HttpRequest;

/// Greatest number of free slots that an upstream may report.
const MAX_FREE_SLOTS: u64 = 100_000;

pub(super) fn read_request(request: &HttpRequest) -> Result<ControlRequest, RequestError> {
    let mut errors = Vec::new();
    let id = read_change_id(request, &mut errors);
    let endpoint = (request.method.as_str(), request.path.as_str());
    if matches!(endpoint, ("PUT", "/setup") | ("POST", "/evacuations")) {
        require_change_id(&id, &mut errors);
    }
    let control_request = match endpoint {
        ("PUT", "/setup") => read_submission(request, id, &mut errors),
        ("POST", "/evacuations") => read_evacuation(request, id, &mut errors),
        ("POST", "/voters") => read_voter_change(request, &mut errors),
        ("GET", "/setup") => ControlRequest::ReadConfiguration,
        ("GET", "/status") => ControlRequest::Status,
        ("GET", "/upstreams") => ControlRequest::Upstreams,
        ("GET", "/reservations") => ControlRequest::Reservations,
        ("GET", "/marks") => ControlRequest::Tombstones,
        ("POST", "/beats") => ControlRequest::Heartbeat(read_heartbeat(&request.body, &mut errors)),
        _ => return Err(ResultCode::NoSuchEndpoint.into()),
    };
    if errors.is_empty() {
        Ok(control_request)
    } else {
        Err(RequestError {
            code: ResultCode::Malformed,
            validation_errors: errors,
        })
    }
}

/// A parameter of the query; none where it is missing or empty.
fn query_parameter<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    Some(request.query(name)).filter(|value| !value.is_empty())
}

/// A number in the query; `expected` is the error's text where it is none.
fn query_number(
    request: &HttpRequest,
    name: &str,
    expected: &str,
    errors: &mut Vec<ValidationError>,
) -> Option<u64> {
    let parsed = query_parameter(request, name)?.parse().ok();
    if parsed.is_none() {
        add_validation_error(errors, name, expected);
    }
    parsed
}

fn waits_until_in_force(request: &HttpRequest) -> bool {
    request.query("wait") == "force"
}

/// The id of a change, and how many changes were decided before it was first sent.
fn read_change_id(request: &HttpRequest, errors: &mut Vec<ValidationError>) -> ChangeId {
    let since = query_number(
        request,
        "since",
        "must be the count of decided orders that a status told",
        errors,
    );
    ChangeId {
        id: request.query("id").to_owned(),
        since,
    }
}

fn require_change_id(id: &ChangeId, errors: &mut Vec<ValidationError>) {
    if !locality::is_valid_id(&id.id) {
        add_validation_error(
            errors,
            "id",
            "a submission needs an id of 1 to 64 of a-z A-Z 0-9 - _ .",
        );
    }
}

fn read_submission(
    request: &HttpRequest,
    id: ChangeId,
    errors: &mut Vec<ValidationError>,
) -> ControlRequest {
    let base = query_number(
        request,
        "base",
        "must be the edition that the setup was made from",
        errors,
    );
    ControlRequest::SubmitConfiguration {
        id,
        base,
        bytes: request.body.to_vec(),
        in_force: waits_until_in_force(request),
    }
}

fn read_evacuation(
    request: &HttpRequest,
    id: ChangeId,
    errors: &mut Vec<ValidationError>,
) -> ControlRequest {
    let locality = request.query("locality").to_owned();
    if let Err(text) = locality.parse::<Locality>() {
        add_validation_error(errors, "locality", text);
    }
    ControlRequest::Evacuate {
        id,
        locality,
        back: request.query("back") == "true",
        in_force: waits_until_in_force(request),
    }
}

fn read_voter_change(request: &HttpRequest, errors: &mut Vec<ValidationError>) -> ControlRequest {
    let add = query_parameter(request, "add");
    let remove = query_parameter(request, "remove");
    let mut named = [add, remove].into_iter().flatten().peekable();
    let names_none = named.peek().is_none();
    if names_none || named.any(|node| !locality::is_valid_id(node)) {
        add_validation_error(
            errors,
            "voters",
            "name the node to 'add', the one to 'remove', or both",
        );
    }
    ControlRequest::ChangeVoters {
        add: add.map(str::to_owned),
        remove: remove.map(str::to_owned),
    }
}

/// Reads an upstream's heartbeat. What is returned counts only where no errors were added.
fn read_heartbeat(body: &[u8], errors: &mut Vec<ValidationError>) -> Upstream {
    let json = read_json(body, errors);
    let mut fields = ObjectReader::new(&json, "", errors);
    let service = fields.id("service").unwrap_or_default();
    let instance = fields.id("instance").unwrap_or_default();
    let address = fields.text("address").unwrap_or_default();
    let locality = fields.text("locality").unwrap_or_default();
    let free_slots = fields.count("freeSlots", 0..=MAX_FREE_SLOTS, None);
    let number = fields.count("beat", 1..=u64::MAX, None);
    let warm = fields.boolean("warm", false);
    let state = fields.text("condition").unwrap_or_default();
    let holds = fields.list("holds").to_vec();
    let holder = fields.count("holder", 0..=u64::MAX, Some(0)).unwrap_or(0);
    fields.finish();
    let holds = read_held_shares(&holds, errors);
    let state = read_upstream_state(&state, errors);
    check_address(&address, &locality, errors);
    Upstream {
        service,
        instance,
        address,
        locality,
        free_slots: free_slots.unwrap_or_default() as u32,
        warm,
        state: state.into(),
        heartbeat_number: number.unwrap_or_default(),
        holds,
        holder,
        slots: 0,
        released: Vec::new(),
        age_ms: 0,
        registered_ms_ago: 0,
    }
}

fn read_json(body: &[u8], errors: &mut Vec<ValidationError>) -> JsonValue {
    let parsed = std::str::from_utf8(body)
        .map_err(|_| "this is not UTF-8".to_owned())
        .and_then(|text| JsonValue::parse(text).map_err(|error| error.to_string()));
    parsed.unwrap_or_else(|text| {
        add_validation_error(errors, "/", text);
        JsonValue::Null
    })
}

/// The key shares that an upstream says it holds.
fn read_held_shares(holds: &[JsonValue], errors: &mut Vec<ValidationError>) -> Vec<KeyShare> {
    let mut shares = Vec::new();
    for (index, hold) in holds.iter().enumerate() {
        let mut fields = ObjectReader::new(hold, &format!("/holds/{index}"), errors);
        let max_slot = u64::from(key_space::SLOT_COUNT);
        let from = fields.count("from", 0..=max_slot, None);
        let until = fields.count("until", 0..=max_slot, None);
        let epoch = fields.count("epoch", 0..=u64::MAX, None);
        fields.finish();
        if let (Some(from), Some(until), Some(epoch)) = (from, until, epoch) {
            shares.push(KeyShare {
                from: from as u32,
                until: until as u32,
                epoch,
                instance: String::new(),
                handover: String::new(),
            });
        }
    }
    shares
}

fn read_upstream_state(text: &str, errors: &mut Vec<ValidationError>) -> UpstreamState {
    match text {
        "ready" => UpstreamState::Ready,
        "leaving" => UpstreamState::Draining,
        "gone" => UpstreamState::Deregistered,
        other => {
            add_validation_error(
                errors,
                "/condition",
                format!("'{other}' is none of ready, leaving, gone"),
            );
            UpstreamState::Deregistered
        }
    }
}

/// Checks an upstream's address and locality; where there are errors already, these come first.
fn check_address(address: &str, locality: &str, errors: &mut Vec<ValidationError>) {
    if errors.is_empty() && address.parse::<SocketAddr>().is_err() {
        add_validation_error(
            errors,
            "/address",
            format!("'{address}' is not an IP number and a port"),
        );
    }
    if errors.is_empty() && locality.parse::<Locality>().is_err() {
        add_validation_error(
            errors,
            "/locality",
            format!("'{locality}' is not a locality; write region/zone"),
        );
    }
}
