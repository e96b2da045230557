//! What a postmaster speaks with operators and upstreams, as policies: the product's own way is [`Dialect::own`], and
//! an adapter to another site's way brings its own.

use crate::node::{Answer, Ask};
use bytes::Bytes;
use config::{Complaint, Fields, Sheet, complain};
use http_body_util::Full;
use hyper::Response;
use name_directory::SetupReader;
use protocol::{Share, Upstream};
use quorum_register::OrderId;
use result_code::ResultCode;
use std::time::Duration;
use transport::Enquiry;

/// Why a question can't be read.
pub type Unread = (ResultCode, Vec<Complaint>);

type Asking = dyn Fn(&Enquiry) -> Result<Ask, Unread> + Send + Sync;

/// How questions are read and answers written.
pub struct Dialect {
    /// What is asked.
    pub ask: Box<Asking>,
    /// An answer as it is written.
    pub show: Box<dyn Fn(Answer) -> Response<Full<Bytes>> + Send + Sync>,
    /// How configurations are read.
    pub reader: SetupReader,
}

impl Dialect {
    /// The product's own interface, as docs/interface.md has it.
    ///
    /// ```
    /// let answer = control_plane::Answer::Verdict { code: result_code::ResultCode::Fine, edition: 3 };
    /// assert_eq!((control_plane::Dialect::own().show)(answer).status(), 200);
    /// ```
    pub fn own() -> Dialect {
        Dialect {
            ask: Box::new(read_ask),
            show: Box::new(show),
            reader: SetupReader::default(),
        }
    }
}

fn read_ask(enquiry: &Enquiry) -> Result<Ask, (ResultCode, Vec<Complaint>)> {
    let mut complaints = Vec::new();
    let id = read_order_id(enquiry, &mut complaints);
    let in_force = enquiry.query("wait") == "force";
    let needs_id = matches!(
        (enquiry.method.as_str(), enquiry.path.as_str()),
        ("PUT", "/setup") | ("POST", "/evacuations")
    );
    if needs_id && !locality::is_valid_id(&id.id) {
        complain(
            &mut complaints,
            "id",
            "a submission needs an id of 1 to 64 of a-z A-Z 0-9 - _ .",
        );
    }
    let ask = match (enquiry.method.as_str(), enquiry.path.as_str()) {
        ("PUT", "/setup") => {
            let base = Some(enquiry.query("base"))
                .filter(|base| !base.is_empty())
                .map(str::parse::<u64>);
            if matches!(base, Some(Err(_))) {
                complain(
                    &mut complaints,
                    "base",
                    "must be the edition that the setup was made from",
                );
            }
            Ask::Submit {
                id,
                base: base.and_then(Result::ok),
                bytes: enquiry.body.to_vec(),
                in_force,
            }
        }
        ("POST", "/evacuations") => {
            let locality = enquiry.query("locality").to_owned();
            if let Err(text) = locality.parse::<locality::Locality>() {
                complain(&mut complaints, "locality", text);
            }
            let back = enquiry.query("back") == "true";
            Ask::Evacuate {
                id,
                locality,
                back,
                in_force,
            }
        }
        ("POST", "/voters") => {
            let named =
                |name: &str| Some(enquiry.query(name).to_owned()).filter(|node| !node.is_empty());
            let (add, remove) = (named("add"), named("remove"));
            let wrong = [&add, &remove]
                .into_iter()
                .flatten()
                .any(|node| !locality::is_valid_id(node));
            if wrong || (add.is_none() && remove.is_none()) {
                complain(
                    &mut complaints,
                    "voters",
                    "name the node to 'add', the one to 'remove', or both",
                );
            }
            Ask::ChangeVoters { add, remove }
        }
        ("GET", "/setup") => Ask::ReadSetup,
        ("GET", "/status") => Ask::Status,
        ("GET", "/upstreams") => Ask::Upstreams,
        ("GET", "/reservations") => Ask::Reservations,
        ("GET", "/marks") => Ask::Marks,
        ("POST", "/beats") => Ask::Beat(read_beat(&enquiry.body, &mut complaints)),
        _ => return Err((ResultCode::NoSuchPage, Vec::new())),
    };
    if complaints.is_empty() {
        Ok(ask)
    } else {
        Err((ResultCode::Malformed, complaints))
    }
}

/// The id of an order, and how many orders were decided before it was first sent.
fn read_order_id(enquiry: &Enquiry, complaints: &mut Vec<Complaint>) -> OrderId {
    let since = Some(enquiry.query("since"))
        .filter(|since| !since.is_empty())
        .map(str::parse::<u64>);
    if matches!(since, Some(Err(_))) {
        complain(
            complaints,
            "since",
            "must be the count of decided orders that a status told",
        );
    }
    OrderId {
        id: enquiry.query("id").to_owned(),
        since: since.and_then(Result::ok),
    }
}

fn read_beat(body: &[u8], complaints: &mut Vec<Complaint>) -> Upstream {
    let sheet = std::str::from_utf8(body)
        .map_err(|_| "this is not UTF-8".to_owned())
        .and_then(Sheet::read);
    let sheet = sheet.unwrap_or_else(|text| {
        complain(complaints, "/", text);
        Sheet::Null
    });
    let mut fields = Fields::open(&sheet, "", complaints);
    let ids = fields.id("service").zip(fields.id("instance"));
    let place = fields.text("address").zip(fields.text("locality"));
    let numbers = fields
        .count("freeSlots", 0..=100_000, None)
        .zip(fields.count("beat", 1..=u64::MAX, None));
    let warm = fields.truth("warm", false);
    let condition = fields.text("condition").unwrap_or_default();
    let holds = fields.list("holds").to_vec();
    let holder = fields.count("holder", 0..=u64::MAX, Some(0)).unwrap_or(0);
    fields.close();
    let holds = holds.iter().enumerate().filter_map(|(at, hold)| {
        let mut fields = Fields::open(hold, &format!("/holds/{at}"), complaints);
        let most = u64::from(key_space::SLOT_COUNT);
        let run = fields
            .count("from", 0..=most, None)
            .zip(fields.count("until", 0..=most, None));
        let epoch = fields.count("epoch", 0..=u64::MAX, None);
        fields.close();
        run.zip(epoch).map(|((from, until), epoch)| Share {
            from: from as u32,
            until: until as u32,
            epoch,
            instance: String::new(),
            handover: String::new(),
        })
    });
    let holds = holds.collect();
    let condition = match condition.as_str() {
        "ready" => upstream_registry::READY,
        "leaving" => upstream_registry::LEAVING,
        "gone" => upstream_registry::GONE,
        other => {
            complain(
                complaints,
                "/condition",
                format!("'{other}' is none of ready, leaving, gone"),
            );
            upstream_registry::GONE
        }
    };
    let ((service, instance), (address, locality)) = ids.zip(place).unwrap_or_default();
    if complaints.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
        complain(
            complaints,
            "/address",
            format!("'{address}' is not an IP number and a port"),
        );
    }
    if complaints.is_empty() && locality.parse::<locality::Locality>().is_err() {
        complain(
            complaints,
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
        condition,
        beat,
        holds,
        holder,
        slots: 0,
        released: Vec::new(),
        age_ms: 0,
        born_ms: 0,
    }
}

fn show(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Redirect { to } => transport::redirect(&to),
        Answer::Sheet(sheet) => transport::json(ResultCode::Fine, &sheet),
        Answer::Beat {
            holder,
            shares,
            span,
        } => transport::json(ResultCode::Fine, &beat_sheet(holder, shares, span)),
        Answer::Setup { edition, bytes } => {
            let mut response =
                transport::answer(ResultCode::Fine, "application/json", bytes.into());
            response.headers_mut().insert("x-edition", edition.into());
            response
        }
        Answer::Verdict { code, edition } => {
            let sheet = Sheet::fields([
                ("code", u64::from(code.number()).into()),
                ("text", code.text().into()),
                ("edition", edition.into()),
            ]);
            let mut response = transport::json(code, &sheet);
            if code.status() == 503 || code.status() == 429 {
                response.headers_mut().insert("retry-after", 1.into());
            }
            response
        }
        Answer::Denied { code, complaints } => {
            let told = complaints.iter().map(|complaint| {
                Sheet::fields([
                    ("path", complaint.path.as_str().into()),
                    ("text", complaint.text.as_str().into()),
                ])
            });
            let sheet = Sheet::fields([
                ("code", u64::from(code.number()).into()),
                ("text", code.text().into()),
                ("complaints", told.collect()),
            ]);
            transport::json(code, &sheet)
        }
    }
}

/// The answer to a beat in the product's own way.
///
/// ```
/// let sheet = control_plane::beat_sheet(3, None, std::time::Duration::ZERO);
/// assert_eq!(sheet.to_string(), r#"{"code":1000,"holder":3}"#);
/// ```
pub fn beat_sheet(holder: u64, shares: Option<Vec<Share>>, span: Duration) -> Sheet {
    let mut fields = vec![
        ("code", u64::from(ResultCode::Fine.number()).into()),
        ("holder", holder.into()),
    ];
    shares.into_iter().for_each(|shares| {
        let run = |share: Share| {
            Sheet::fields([
                ("from", u64::from(share.from).into()),
                ("until", u64::from(share.until).into()),
                ("epoch", share.epoch.into()),
            ])
        };
        fields.push(("shares", shares.into_iter().map(run).collect()));
        fields.push(("spanMs", (span.as_millis() as u64).into()));
    });
    Sheet::Fields(
        fields
            .into_iter()
            .map(|(name, sheet)| (name.to_owned(), sheet))
            .collect(),
    )
}
