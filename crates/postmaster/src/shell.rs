//! The thin shell: sockets, timers and the disk thread turn the world into events and carry out effects.

use crate::office::{Answer, Ask, Effect, Event, Office, Start, Times};
use address::Code;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::Response;
use parcel::{Durable, Member, Message, Parcel, Upstream};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tariff::{Complaint, Fields, Setting, Settings, Shape, Sheet, complain};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use vault::Vault;
use wicket::{Clock, Doors, Enquiry, Links, NoStart, Program};

const TICK: Duration = Duration::from_millis(20);
const MOST_EVENTS: usize = 4096;
const MOST_WRITES: usize = 256;
/// How long a closing process stays to let its last messages out.
const LAST_WORDS: Duration = Duration::from_millis(300);
const ASK_WITHIN: Duration = Duration::from_secs(8);

/// Settings of a postmaster, beside the time values.
pub const SETTINGS: &[Setting] = &[
    setting("node", Shape::Id, None, "this process's id, unlike all others"),
    setting("locality", Shape::Locality, None, "where it stands"),
    setting("http", Shape::Address, None, "where operators and upstreams call (HTTP)"),
    setting("link", Shape::Address, None, "where other processes connect (TCP) and probe (UDP)"),
    setting("told", Shape::Addresses, Some(""), "the link address that others use, where it is not 'link' itself"),
    setting("seeds", Shape::Addresses, Some(""), "link addresses of other processes"),
    setting("roster-size", Shape::Count(1, 31), Some("6"), "how many postmasters vote; a founding needs them all"),
    setting("data", Shape::Folder, None, "the data folder"),
];

const fn setting(name: &'static str, shape: Shape, fallback: Option<&'static str>, help: &'static str) -> Setting {
    Setting { name, shape, fallback, help }
}

/// What the postmaster says of itself.
pub const PROGRAM: Program = Program {
    name: "postmaster",
    about: "The control plane of mothspindle: keeps the operator's word and tells the carriers.",
    tables: &[SETTINGS, tariff::TIMES],
    check: |_| Vec::new(),
};

/// The time values in the settings.
///
/// ```
/// let settings = tariff::Settings::read(&[tariff::TIMES], None, &[]).unwrap();
/// assert_eq!(postmaster::shell::times(&settings).claims.span.as_millis(), 1500);
/// ```
pub fn times(settings: &Settings) -> Times {
    Times {
        register: registered::Times { confirm_every: settings.span("confirm-every-ms"), ..Default::default() },
        rounds: rounds::Times {
            probe_every: settings.span("probe-every-ms"),
            suspect_for: settings.span("suspect-for-ms"),
        },
        claims: claims::Times { span: settings.span("claim-span-ms"), margin: settings.span("claim-margin-ms") },
        placement: gazetteer::Times {
            least_stay: settings.span("least-stay-ms"),
            mark_lifetime: settings.span("mark-lifetime-ms"),
        },
        share_span: settings.span("share-span-ms"),
        upstream_silent: settings.span("upstream-silent-ms"),
        stale_after: settings.span("stale-after-ms"),
    }
}

enum Write {
    State(u64, Durable),
    Setup(u64, String, Vec<u8>),
}

/// What the HTTP side shares with the core's task.
struct Shared {
    events: mpsc::Sender<(Event, Option<oneshot::Sender<Answer>>)>,
    /// A majority confirmed lately, and the node is not closing.
    ready: AtomicBool,
    closing: AtomicBool,
    tokens: AtomicU64,
    asked: AtomicU64,
    parcels: AtomicU64,
    disk: Arc<DiskSpans>,
}

/// How long syncs took.
#[derive(Default)]
struct DiskSpans {
    writes: AtomicU64,
    last_ms: AtomicU64,
    most_ms: AtomicU64,
}

/// Runs a postmaster until it is told to close. An error is why it could not start.
///
/// ```no_run
/// # async fn run(settings: tariff::Settings) {
/// postmaster::shell::run(settings).await.unwrap();
/// # }
/// ```
pub async fn run(settings: Settings) -> Result<(), Report<NoStart>> {
    let clock = Clock::default();
    let Doors { http, link, probe } = Doors::open(&settings).await?;
    let probe = Arc::new(probe);
    let folder = PathBuf::from(settings.get("data"));
    let opened = tokio::task::spawn_blocking(move || Vault::open(&folder)).await;
    let unopened = || NoStart::new(format!("data: {} can't be used", settings.get("data")));
    let (vault, contents) = opened.change_context_lazy(unopened)?.change_context_lazy(unopened)?;
    contents.damaged.iter().for_each(|what| log::warn!("disk: damaged, counts as missing: {what}"));
    let told = Some(settings.get("told")).filter(|told| !told.is_empty()).unwrap_or(settings.get("link")).to_owned();
    let me = Member {
        node: settings.get("node").into(),
        locality: settings.get("locality").into(),
        roles: "postmaster".into(),
        probe_address: told.clone(),
        link_address: told,
        http_address: settings.get("http").into(),
        ..Member::default()
    };
    let node = me.node.clone();
    log::info!("start: postmaster {node} in {}", me.locality);
    let mut office = Office::new(Start {
        me,
        seeds: settings.list("seeds"),
        roster_size: settings.count("roster-size") as usize,
        seed: wicket::chance(),
        durable: contents.durable,
        setups: contents.setups,
        times: times(&settings),
    });
    let (events, mut inbox) = mpsc::channel(MOST_EVENTS);
    let (arrivals, mut arrived) = mpsc::channel(MOST_EVENTS);
    let links = Links::open(node, Some(link), arrivals);
    let disk = Arc::new(DiskSpans::default());
    let writes = disk_thread(vault, events.clone(), disk.clone(), clock);
    let (close, closing) = watch::channel(false);
    let shared = Arc::new(Shared {
        events: events.clone(),
        ready: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        tokens: AtomicU64::new(1),
        asked: AtomicU64::new(0),
        parcels: AtomicU64::new(0),
        disk,
    });
    let handler = shared.clone();
    let server = tokio::spawn(wicket::serve(http, closing, move |enquiry| serve(handler.clone(), enquiry)));
    let mut answers: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = std::pin::pin!(wicket::stop_signal());
    let mut datagram = vec![0u8; 65_536];
    let mut end_at = None;
    while end_at.is_none_or(|end_at| clock.now() < end_at) {
        let event = tokio::select! {
            _ = tick.tick() => Event::Tick,
            Some((event, answer)) = inbox.recv() => {
                if let (Event::Ask { token, .. }, Some(answer)) = (&event, answer) {
                    answers.insert(*token, answer);
                }
                event
            }
            Some((from, body)) = arrived.recv() => {
                shared.parcels.fetch_add(1, Ordering::Relaxed);
                Event::Parcel { from, body }
            }
            Ok((count, address)) = probe.recv_from(&mut datagram) => {
                match Parcel::decode(&datagram[..count]).ok().and_then(|parcel| parcel.body) {
                    Some(body) => Event::Datagram { address: address.to_string(), body },
                    None => continue,
                }
            }
            _ = &mut stop, if end_at.is_none() => {
                log::info!("close: asked to stop");
                shared.closing.store(true, Ordering::Relaxed);
                // What is said now must still leave the process, and what was on its way be answered.
                end_at = Some(clock.now() + LAST_WORDS);
                Event::Close
            }
        };
        let now = clock.now();
        let ticked = matches!(event, Event::Tick);
        let effects = office.step(now, event);
        run(effects, &links, &probe, &writes, &mut answers);
        if ticked {
            shared.ready.store(office.is_current(now), Ordering::Relaxed);
            answers.retain(|_, answer| !answer.is_closed());
        }
    }
    let _ = close.send(true);
    let _ = tokio::time::timeout(Duration::from_secs(3), server).await;
    return Ok(());

    fn run(
        effects: Vec<Effect>,
        links: &Links,
        probe: &UdpSocket,
        writes: &std::sync::mpsc::SyncSender<Write>,
        answers: &mut HashMap<u64, oneshot::Sender<Answer>>,
    ) {
        effects.into_iter().for_each(|effect| match effect {
            Effect::Keep { ticket, durable } => drop(writes.try_send(Write::State(ticket, durable))),
            Effect::KeepSetup { ticket, digest, bytes } => drop(writes.try_send(Write::Setup(ticket, digest, bytes))),
            Effect::Answer { token, answer } => {
                answers.remove(&token).into_iter().for_each(|waiting| drop(waiting.send(answer.clone())));
            }
            other => carry(other, links, probe),
        });
    }

    fn carry(effect: Effect, links: &Links, probe: &UdpSocket) {
        match effect {
            Effect::Send { to, body } => links.send(&to, body),
            Effect::Datagram { address, body } => wicket::send_datagram(probe, &address, body),
            Effect::Addresses(book) => {
                log::debug!("rounds: {} members", book.len());
                links.learn(book);
            }
            Effect::Note(text) => log::info!("office: {text}"),
            _ => {}
        }
    }
}

/// The disk's own thread, with a bounded waitlist. After a failure it writes nothing more.
fn disk_thread(
    vault: Vault,
    events: mpsc::Sender<(Event, Option<oneshot::Sender<Answer>>)>,
    spans: Arc<DiskSpans>,
    clock: Clock,
) -> std::sync::mpsc::SyncSender<Write> {
    let (writes, waiting) = std::sync::mpsc::sync_channel(MOST_WRITES);
    std::thread::spawn(move || {
        for write in waiting {
            let begun_at = clock.now();
            let (ticket, done) = match write {
                Write::State(ticket, durable) => (ticket, vault.keep(&durable)),
                Write::Setup(ticket, digest, bytes) => (ticket, vault.keep_setup(&digest, &bytes)),
            };
            let took_ms = (clock.now() - begun_at).as_millis() as u64;
            spans.writes.fetch_add(1, Ordering::Relaxed);
            spans.last_ms.store(took_ms, Ordering::Relaxed);
            spans.most_ms.fetch_max(took_ms, Ordering::Relaxed);
            let failed = done.map_err(|failure| log::error!("disk: {failure:?}")).is_err();
            let event = if failed { Event::DiskFailed } else { Event::Kept { ticket } };
            if events.blocking_send((event, None)).is_err() || failed {
                return;
            }
        }
    });
    writes
}

async fn serve(shared: Arc<Shared>, enquiry: Enquiry) -> Response<Full<Bytes>> {
    shared.asked.fetch_add(1, Ordering::Relaxed);
    match (enquiry.method.as_str(), enquiry.path.as_str()) {
        ("GET", "/live") => wicket::verdict(Code::Fine, None),
        ("GET", "/ready") if shared.closing.load(Ordering::Relaxed) => wicket::verdict(Code::Closing, None),
        ("GET", "/ready") if shared.ready.load(Ordering::Relaxed) => wicket::verdict(Code::Fine, None),
        ("GET", "/ready") => wicket::verdict(Code::Stale, Some(Duration::from_secs(1))),
        ("GET", "/counters") => {
            let count = |counter: &AtomicU64| Sheet::from(counter.load(Ordering::Relaxed));
            let sheet = Sheet::fields([
                ("asked", count(&shared.asked)),
                ("parcels", count(&shared.parcels)),
                ("diskWrites", count(&shared.disk.writes)),
                ("diskLastMs", count(&shared.disk.last_ms)),
                ("diskMostMs", count(&shared.disk.most_ms)),
            ]);
            wicket::json(Code::Fine, &sheet)
        }
        _ => match read_ask(&enquiry) {
            Ok(ask) => put(&shared, ask).await,
            Err((code, complaints)) => show(Answer::Denied { code, complaints }),
        },
    }
}

async fn put(shared: &Shared, ask: Ask) -> Response<Full<Bytes>> {
    let token = shared.tokens.fetch_add(1, Ordering::Relaxed);
    let (answer, answered) = oneshot::channel();
    let event = (Event::Ask { token, ask }, Some(answer));
    if shared.events.try_send(event).is_err() {
        return wicket::verdict(Code::SetupCrowded, Some(Duration::from_secs(1)));
    }
    let answered = tokio::time::timeout(ASK_WITHIN, answered).await;
    answered.ok().and_then(Result::ok).map(show).unwrap_or_else(|| wicket::verdict(Code::SetupUnknown, None))
}

fn read_ask(enquiry: &Enquiry) -> Result<Ask, (Code, Vec<Complaint>)> {
    let mut complaints = Vec::new();
    let id = enquiry.query("id").to_owned();
    let in_force = enquiry.query("wait") == "force";
    let needs_id =
        matches!((enquiry.method.as_str(), enquiry.path.as_str()), ("PUT", "/setup") | ("POST", "/evacuations"));
    if needs_id && !address::is_id(&id) {
        complain(&mut complaints, "id", "a submission needs an id of 1 to 64 of a-z A-Z 0-9 - _ .");
    }
    let ask = match (enquiry.method.as_str(), enquiry.path.as_str()) {
        ("PUT", "/setup") => {
            let base = Some(enquiry.query("base")).filter(|base| !base.is_empty()).map(str::parse::<u64>);
            if matches!(base, Some(Err(_))) {
                complain(&mut complaints, "base", "must be the edition that the setup was made from");
            }
            Ask::Submit { id, base: base.and_then(Result::ok), bytes: enquiry.body.to_vec(), in_force }
        }
        ("POST", "/evacuations") => {
            let locality = enquiry.query("locality").to_owned();
            if let Err(text) = locality.parse::<address::Locality>() {
                complain(&mut complaints, "locality", text);
            }
            let back = enquiry.query("back") == "true";
            Ask::Evacuate { id, locality, back, in_force }
        }
        ("GET", "/setup") => Ask::ReadSetup,
        ("GET", "/status") => Ask::Status,
        ("GET", "/upstreams") => Ask::Upstreams,
        ("GET", "/reservations") => Ask::Reservations,
        ("GET", "/marks") => Ask::Marks,
        ("POST", "/beats") => Ask::Beat(read_beat(&enquiry.body, &mut complaints)),
        _ => return Err((Code::NoSuchPage, Vec::new())),
    };
    if complaints.is_empty() { Ok(ask) } else { Err((Code::Malformed, complaints)) }
}

fn read_beat(body: &[u8], complaints: &mut Vec<Complaint>) -> Upstream {
    let sheet = std::str::from_utf8(body).map_err(|_| "this is not UTF-8".to_owned()).and_then(Sheet::read);
    let sheet = sheet.unwrap_or_else(|text| {
        complain(complaints, "/", text);
        Sheet::Null
    });
    let mut fields = Fields::open(&sheet, "", complaints);
    let ids = fields.id("service").zip(fields.id("instance"));
    let place = fields.text("address").zip(fields.text("locality"));
    let numbers = fields.count("freeSlots", 0..=100_000, None).zip(fields.count("beat", 1..=u64::MAX, None));
    let warm = fields.truth("warm", false);
    let condition = fields.text("condition").unwrap_or_default();
    let holds = fields.list("holds").to_vec();
    let holder = fields.count("holder", 0..=u64::MAX, Some(0)).unwrap_or(0);
    fields.close();
    let holds = holds.iter().enumerate().filter_map(|(at, hold)| {
        let mut fields = Fields::open(hold, &format!("/holds/{at}"), complaints);
        let most = u64::from(address::SLOTS);
        let run = fields.count("from", 0..=most, None).zip(fields.count("until", 0..=most, None));
        let epoch = fields.count("epoch", 0..=u64::MAX, None);
        fields.close();
        run.zip(epoch).map(|((from, until), epoch)| parcel::Share {
            from: from as u32,
            until: until as u32,
            epoch,
            instance: String::new(),
        })
    });
    let holds = holds.collect();
    let condition = match condition.as_str() {
        "ready" => enrolment::READY,
        "leaving" => enrolment::LEAVING,
        "gone" => enrolment::GONE,
        other => {
            complain(complaints, "/condition", format!("'{other}' is none of ready, leaving, gone"));
            enrolment::GONE
        }
    };
    let ((service, instance), (address, locality)) = ids.zip(place).unwrap_or_default();
    if complaints.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
        complain(complaints, "/address", format!("'{address}' is not an IP number and a port"));
    }
    if complaints.is_empty() && locality.parse::<address::Locality>().is_err() {
        complain(complaints, "/locality", format!("'{locality}' is not a locality; write region/zone"));
    }
    let (free_slots, beat) = numbers.map(|(free, beat)| (free as u32, beat)).unwrap_or_default();
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
        age_ms: 0,
        born_ms: 0,
    }
}

fn show(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Sheet(sheet) => wicket::json(Code::Fine, &sheet),
        Answer::Setup { edition, bytes } => {
            let mut response = wicket::answer(Code::Fine, "application/json", bytes.into());
            response.headers_mut().insert("x-edition", edition.into());
            response
        }
        Answer::Verdict { code, edition } => {
            let sheet = Sheet::fields([
                ("code", u64::from(code.number()).into()),
                ("text", code.text().into()),
                ("edition", edition.into()),
            ]);
            let mut response = wicket::json(code, &sheet);
            if code.status() == 503 || code.status() == 429 {
                response.headers_mut().insert("retry-after", 1.into());
            }
            response
        }
        Answer::Denied { code, complaints } => {
            let told = complaints.iter().map(|complaint| {
                Sheet::fields([("path", complaint.path.as_str().into()), ("text", complaint.text.as_str().into())])
            });
            let sheet = Sheet::fields([
                ("code", u64::from(code.number()).into()),
                ("text", code.text().into()),
                ("complaints", told.collect()),
            ]);
            wicket::json(code, &sheet)
        }
    }
}
