//! The thin shell: sockets, timers and the disk thread turn the world into events and carry out effects.

use crate::api_adapter::ApiAdapter;
use crate::departure_writer::DepartureWriter;
use crate::disk::{Disk, DiskCounts, DiskReport, RetryBackoff, Write};
use crate::node::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start, Times};
use bytes::Bytes;
use config::{JsonValue, Setting, SettingType, Settings};
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::Response;
use name_directory::OwnershipMode;
use protocol::{Envelope, Member, Message};
use result_code::ResultCode;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use storage::{Contents, FailureKind, Storage};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use transport::{Arrival, Clock, HttpRequest, Links, Listeners, Program, StartError};

const TICK: Duration = Duration::from_millis(20);
const MAX_EVENTS: usize = 4096;
/// How long a closing process stays to let its last messages out.
const LAST_WORDS: Duration = Duration::from_millis(300);
const ASK_WITHIN: Duration = Duration::from_secs(8);

/// Settings of a postmaster, beside the time values.
pub const SETTINGS: &[Setting] = &[
    setting(
        "node",
        SettingType::Id,
        None,
        "this process's id, unlike all others",
    ),
    setting("locality", SettingType::Locality, None, "where it stands"),
    setting(
        "http",
        SettingType::Address,
        None,
        "where operators and upstreams call (HTTP)",
    ),
    setting(
        "link",
        SettingType::Address,
        None,
        "where other processes connect (TCP) and probe (UDP)",
    ),
    setting(
        "told",
        SettingType::Addresses,
        Some(""),
        "the link address that others use, where it is not 'link' itself",
    ),
    setting(
        "seeds",
        SettingType::Addresses,
        Some(""),
        "addresses of other processes, to find them all by",
    ),
    setting(
        "seed-port",
        SettingType::Integer(0, 65_535),
        Some("0"),
        "the port of their links, where 'seeds' names others",
    ),
    setting(
        "roster-size",
        SettingType::Integer(0, 31),
        Some("6"),
        "how many vote; a founding needs them all; 0: one a locality",
    ),
    setting(
        "localities",
        SettingType::Localities,
        Some(""),
        "the site's localities",
    ),
    setting(
        "owners",
        SettingType::OneOf(&["one", "by-caller"]),
        Some("one"),
        "who owns a name: one locality, or one for each",
    ),
    setting("data", SettingType::Directory, None, "the data folder"),
];

const fn setting(
    name: &'static str,
    kind: SettingType,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        kind,
        default,
        help,
    }
}

/// What the postmaster says of itself.
pub const PROGRAM: Program = Program {
    name: "control-plane",
    about: "The control plane of mothspindle: keeps the operator's state and tells the carriers.",
    tables: &[SETTINGS, config::TIME_SETTINGS],
    check: |_| Vec::new(),
};

/// The time values in the settings.
///
/// ```
/// let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
/// assert_eq!(control_plane::shell::times(&settings).lease.duration.as_millis(), 1500);
/// ```
pub fn times(settings: &Settings) -> Times {
    Times {
        register: quorum_register::RegisterTiming {
            confirm_interval: settings.duration("confirm-every-ms"),
            ..Default::default()
        },
        membership: membership::Times {
            probe_every: settings.duration("probe-every-ms"),
            suspect_for: settings.duration("suspect-for-ms"),
        },
        lease: lease::LeaseTiming::new(
            settings.duration("claim-span-ms"),
            settings.duration("claim-margin-ms"),
        ),
        placement: name_directory::PlacementTimes {
            min_residence: settings.duration("least-stay-ms"),
            tombstone_lifetime: settings.duration("mark-lifetime-ms"),
        },
        share_span: settings.duration("share-span-ms"),
        upstream_silent: settings.duration("upstream-silent-ms"),
        stale_after: settings.duration("stale-after-ms"),
        longest_step: lease::MAX_STEP,
    }
}

/// What the HTTP side shares with the core's task.
struct Shared {
    events: mpsc::Sender<(Event, Option<oneshot::Sender<ControlResponse>>)>,
    /// A majority confirmed lately, and the node is not closing.
    ready: AtomicBool,
    closing: AtomicBool,
    tokens: AtomicU64,
    asked: AtomicU64,
    parcels: AtomicU64,
    disk: Arc<DiskCounts>,
    /// Files found damaged at the start.
    damaged: u64,
    api_adapter: ApiAdapter,
}

/// Runs a postmaster until it is told to close. An error is why it could not start.
///
/// ```no_run
/// # async fn run(settings: config::Settings) {
/// control_plane::shell::run(settings, control_plane::ApiAdapter::own()).await.unwrap();
/// # }
/// ```
pub async fn run(settings: Settings, api_adapter: ApiAdapter) -> Result<(), Report<StartError>> {
    let clock = Clock::default();
    let mut reload = transport::reload_signal(&PROGRAM, &settings);
    // Ahead of the sockets: whoever calls meanwhile is refused at once, and tries another node.
    let Some((storage, contents)) = open_storage(settings.get("data")).await? else {
        return Ok(());
    };
    contents
        .damaged
        .iter()
        .for_each(|what| log::warn!("disk: damaged, counts as missing: {what}"));
    let Listeners { http, link, probe } = Listeners::open(&settings).await?;
    let probe = Arc::new(probe);
    let told = Some(settings.get("told"))
        .filter(|told| !told.is_empty())
        .unwrap_or(settings.get("link"))
        .to_owned();
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
    let (departure_log, departures) = storage.departure_log(transport::since_boot());
    let mut control = ControlNode::new(Start {
        me,
        seeds: transport::seed_addresses(&settings),
        initial_voter_count: match settings.count("roster-size") {
            0 => settings.list("localities").len(),
            size => size as usize,
        },
        seed: transport::random_seed(),
        reader: api_adapter.reader,
        owners: if settings.get("owners") == "one" {
            OwnershipMode::SingleZone
        } else {
            OwnershipMode::PerClientZone
        },
        durable: contents.durable,
        configurations: contents.configurations,
        departures,
        times: times(&settings),
    });
    let (events, mut inbox) = mpsc::channel(MAX_EVENTS);
    let (arrivals, mut arrived) = mpsc::channel(MAX_EVENTS);
    let links = Links::open(node, Some(link), arrivals);
    let disk = Disk::start(
        storage,
        RetryBackoff::default(),
        clock,
        report_to(events.clone()),
    );
    let departure_log = DepartureWriter::start(
        departure_log,
        RetryBackoff::default(),
        kept_to(events.clone()),
    );
    let (close, closing) = watch::channel(false);
    let shared = Arc::new(Shared {
        events: events.clone(),
        ready: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        tokens: AtomicU64::new(1),
        asked: AtomicU64::new(0),
        parcels: AtomicU64::new(0),
        disk: disk.counts(),
        damaged: contents.damaged.len() as u64,
        api_adapter,
    });
    let handler = shared.clone();
    let server = tokio::spawn(transport::serve(http, closing, move |request| {
        serve(handler.clone(), request)
    }));
    let mut answers: HashMap<u64, oneshot::Sender<ControlResponse>> = HashMap::new();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = std::pin::pin!(transport::stop_signal());
    let mut datagram = vec![0u8; 65_536];
    let (mut stopping, mut end_at) = (false, None);
    let mut next_told = Duration::ZERO;
    while end_at.is_none_or(|end_at| clock.now() < end_at) {
        let event = tokio::select! {
            _ = tick.tick() => Event::Tick,
            Some((event, response)) = inbox.recv() => {
                if let (Event::ControlRequest { request_id, .. }, Some(response)) = (&event, response) {
                    answers.insert(*request_id, response);
                }
                event
            }
            Some(Arrival { from, payload: body }) = arrived.recv() => {
                shared.parcels.fetch_add(1, Ordering::Relaxed);
                Event::Received { from, body }
            }
            Ok((count, address)) = probe.recv_from(&mut datagram) => {
                match Envelope::decode(&datagram[..count]).ok().and_then(|parcel| parcel.body) {
                    Some(body) => Event::Datagram { address: address.to_string(), body },
                    None => continue,
                }
            }
            seeds = reload.seeds() => Event::SeedsChanged(seeds),
            _ = &mut stop, if !stopping => {
                log::info!("close: asked to stop");
                shared.closing.store(true, Ordering::Relaxed);
                stopping = true;
                Event::Shutdown
            }
        };
        let now = clock.now();
        let ticked = matches!(event, Event::Tick);
        let effects = control.step(now, event);
        run(
            effects,
            &links,
            &probe,
            (&disk, &departure_log),
            &mut answers,
        );
        if control.is_shut_down() && end_at.is_none() {
            // What is said now must still leave the process, and what was on its way be answered.
            end_at = Some(now + LAST_WORDS);
        }
        if ticked {
            shared
                .ready
                .store(control.is_current(now), Ordering::Relaxed);
            answers.retain(|_, response| !response.is_closed());
            if now >= next_told {
                next_told = now + Duration::from_secs(5);
                log::debug!("links: {:?}", links.sent_counts());
            }
        }
    }
    // Whoever still waits for an answer gets none from here: it is told so now.
    drop((inbox, answers));
    let _ = close.send(true);
    let _ = tokio::time::timeout(Duration::from_secs(3), server).await;
    return Ok(());

    fn run(
        effects: Vec<Effect>,
        links: &Links,
        probe: &UdpSocket,
        (disk, departure_log): (&Disk, &DepartureWriter),
        answers: &mut HashMap<u64, oneshot::Sender<ControlResponse>>,
    ) {
        effects.into_iter().for_each(|effect| match effect {
            Effect::Persist { write_id, durable } => disk.write(Write::State { write_id, durable }),
            Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => disk.write(Write::Configuration {
                write_id,
                digest,
                bytes,
            }),
            Effect::PersistDepartures {
                write_id,
                departures,
            } => departure_log.write(write_id, departures),
            Effect::DeleteConfiguration { digest } => {
                disk.write(Write::DeleteConfiguration { digest })
            }
            Effect::Respond {
                request_id,
                response,
            } => {
                answers
                    .remove(&request_id)
                    .into_iter()
                    .for_each(|waiting| drop(waiting.send(response.clone())));
            }
            other => carry(other, links, probe),
        });
    }

    fn carry(effect: Effect, links: &Links, probe: &UdpSocket) {
        match effect {
            Effect::Send { to, body } => links.send(&to, body),
            Effect::SendDatagram { address, body } => {
                transport::send_datagram(probe, &address, body)
            }
            Effect::UpdateAddresses(book) => {
                log::debug!("rounds: {} members", book.len());
                links.set_addresses(book.into_iter().collect());
            }
            Effect::Log(text) => log::info!("office: {text}"),
            Effect::LogError(text) => log::error!("office: {text}"),
            _ => {}
        }
    }
}

/// Tells the core what the disk reports.
fn report_to(
    events: mpsc::Sender<(Event, Option<oneshot::Sender<ControlResponse>>)>,
) -> impl Fn(DiskReport) -> bool {
    move |report| {
        let event = match report {
            DiskReport::Synced { write_id } => Event::WriteCompleted { write_id },
            DiskReport::Retrying => Event::DiskRetrying,
            DiskReport::Recovered => Event::DiskRecovered,
            DiskReport::Lost => Event::DiskFailed,
        };
        events.blocking_send((event, None)).is_ok()
    }
}

/// Tells the core which departures are kept.
fn kept_to(
    events: mpsc::Sender<(Event, Option<oneshot::Sender<ControlResponse>>)>,
) -> impl Fn(u64) -> bool {
    move |write_id| {
        events
            .blocking_send((Event::DeparturesPersisted { write_id }, None))
            .is_ok()
    }
}

/// Opens the data folder. While the disk is full or failing it is tried again; what only an operator can mend ends the
/// start. None where the process is told to end first.
async fn open_storage(folder: &str) -> Result<Option<(Storage, Contents)>, Report<StartError>> {
    let unopened = || StartError::new(format!("data: {folder} can't be used"));
    let mut stop = std::pin::pin!(transport::stop_signal());
    let (path, pauses) = (PathBuf::from(folder), RetryBackoff::default());
    for failures in 1.. {
        let path = path.clone();
        let opened = tokio::task::spawn_blocking(move || Storage::open(&path)).await;
        let failure = match opened.change_context_lazy(unopened)? {
            Ok(opened) => return Ok(Some(opened)),
            Err(failure) if failure.current_context().trouble() != FailureKind::Failing => {
                return Err(failure.change_context(unopened()));
            }
            Err(failure) => failure,
        };
        if failures == 1 {
            log::error!(
                "disk: {folder} can't be opened; it is tried again, and nothing is served before: {failure:#}"
            );
        }
        tokio::select! {
            _ = tokio::time::sleep(pauses.after(failures)) => {}
            _ = &mut stop => return Ok(None),
        }
    }
    Ok(None)
}

async fn serve(shared: Arc<Shared>, http_request: HttpRequest) -> Response<Full<Bytes>> {
    shared.asked.fetch_add(1, Ordering::Relaxed);
    match (http_request.method.as_str(), http_request.path.as_str()) {
        ("GET", "/live") => transport::result_response(ResultCode::Success, None),
        ("GET", "/ready") if shared.closing.load(Ordering::Relaxed) => {
            transport::result_response(ResultCode::ShuttingDown, None)
        }
        ("GET", "/ready") if shared.ready.load(Ordering::Relaxed) => {
            transport::result_response(ResultCode::Success, None)
        }
        ("GET", "/ready") => {
            transport::result_response(ResultCode::StaleView, Some(Duration::from_secs(1)))
        }
        ("GET", "/counters") => {
            let count = |counter: &AtomicU64| JsonValue::from(counter.load(Ordering::Relaxed));
            let json = JsonValue::object([
                ("asked", count(&shared.asked)),
                ("parcels", count(&shared.parcels)),
                ("diskWrites", count(&shared.disk.writes)),
                ("diskLastMs", count(&shared.disk.last_ms)),
                ("diskMostMs", count(&shared.disk.most_ms)),
                ("diskWaiting", count(&shared.disk.waiting)),
                ("diskFailures", count(&shared.disk.failures)),
                (
                    "diskRetrying",
                    shared.disk.retrying.load(Ordering::Relaxed).into(),
                ),
                ("diskDamaged", shared.damaged.into()),
            ]);
            transport::json_response(ResultCode::Success, &json)
        }
        _ => match (shared.api_adapter.read_request)(&http_request) {
            Ok(request) => put(&shared, request, &http_request.target).await,
            Err((code, validation_errors)) => {
                (shared.api_adapter.write_response)(ControlResponse::Rejected {
                    code,
                    validation_errors,
                })
            }
        },
    }
}

async fn put(shared: &Shared, request: ControlRequest, target: &str) -> Response<Full<Bytes>> {
    let request_id = shared.tokens.fetch_add(1, Ordering::Relaxed);
    let (response, answered) = oneshot::channel();
    let event = (
        Event::ControlRequest {
            request_id,
            request,
        },
        Some(response),
    );
    if shared.events.try_send(event).is_err() {
        return (shared.api_adapter.write_response)(ControlResponse::Outcome {
            code: ResultCode::TooManyPendingChanges,
            revision: 0,
        });
    }
    let answered = tokio::time::timeout(ASK_WITHIN, answered)
        .await
        .ok()
        .and_then(Result::ok);
    let response = match answered.unwrap_or(ControlResponse::Outcome {
        code: ResultCode::ChangeOutcomeUnknown,
        revision: 0,
    }) {
        ControlResponse::Redirect { to } => ControlResponse::Redirect {
            to: format!("http://{to}{target}"),
        },
        other => other,
    };
    (shared.api_adapter.write_response)(response)
}
