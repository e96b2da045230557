//! The thin shell of a carrier: sockets and timers, and the published view that requests read.

use crate::core::{Carrier, Effect, Event, Phase, Start, Times};
use crate::dialect::{Dialect, Door, Page};
use crate::traces::Traces;
use address::{Code, Locality};
use arc_swap::ArcSwap;
use bytes::Bytes;
use dashmap::DashMap;
use error_stack::{Report, ResultExt};
use gazetteer::{Owners, View};
use http_body_util::Full;
use hyper::Response;
use protocol::{Envelope, Member, Message};
use sorting::{Board, Note, Order, Site};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tariff::{Setting, Settings, Shape, Sheet};
use tokio::sync::{mpsc, watch};
use transport::{Caller, Clock, Doors, Enquiry, Links, NoStart, Pool, Program};

const TICK: Duration = Duration::from_millis(20);
const MOST_ARRIVALS: usize = 1024;
/// A closing process ends by then, whatever is still under way.
const CLOSE_BY: Duration = Duration::from_millis(5500);

const CLOSING: &str = "not ready any more, serving on while addresses live";
const DENYING: &str = "enrolling no more, finishing what is under way";

/// Settings of a carrier, beside the time values.
pub const SETTINGS: &[Setting] = &[
    setting("node", Shape::Id, None, "this process's id, unlike all others"),
    setting("locality", Shape::Locality, None, "where it stands"),
    setting("http", Shape::Address, None, "where origins, upstreams and operators call (HTTP)"),
    setting("link", Shape::Address, None, "where other processes connect (TCP) and probe (UDP)"),
    setting("told", Shape::Addresses, Some(""), "the link address that others use, where it is not 'link' itself"),
    setting("seeds", Shape::Addresses, Some(""), "addresses of other processes, to find them all by"),
    setting("seed-port", Shape::Count(0, 65_535), Some("0"), "the port of their links, where 'seeds' names others"),
    setting("directory", Shape::Addresses, Some(""), "where origins ask for names, where it is not 'http' itself"),
    setting("readiness", Shape::Addresses, Some(""), "where readiness is asked for, where it is not 'http' itself"),
    setting(
        "owners",
        Shape::OneOf(&["one", "by-caller"]),
        Some("one"),
        "who owns a name: one locality, or one for each",
    ),
    setting("out-of-touch", Shape::OneOf(&["stop", "serve"]), Some("stop"), "what to do with a view that is too old"),
    setting(
        "keep-connections",
        Shape::OneOf(&["no", "yes"]),
        Some("no"),
        "whether connections to upstreams are reused",
    ),
    setting("far-zone-ms", Shape::Count(0, 10_000), Some("20"), "what another zone costs beside an upstream's work"),
    setting("far-region-ms", Shape::Count(0, 10_000), Some("60"), "what another region costs beside its work"),
    setting("serve", Shape::SomeOf(&["proxy", "directory"]), Some("proxy,directory"), "its roles"),
];

const fn setting(name: &'static str, shape: Shape, fallback: Option<&'static str>, help: &'static str) -> Setting {
    Setting { name, shape, fallback, help }
}

/// What the carrier says of itself.
pub const PROGRAM: Program = Program {
    name: "carrier",
    about: "The data plane of mothspindle: answers where names live and carries requests.",
    tables: &[SETTINGS, tariff::TIMES],
    check: |_| Vec::new(),
};

/// The time values in the settings.
///
/// ```
/// let settings = tariff::Settings::read(&[tariff::TIMES], None, &[]).unwrap();
/// assert_eq!(carrier::shell::times(&settings).ask_every.as_millis(), 500);
/// ```
pub fn times(settings: &Settings) -> Times {
    let ask_every = settings.span("confirm-every-ms");
    let membership = membership::Times {
        probe_every: settings.span("probe-every-ms"),
        suspect_for: settings.span("suspect-for-ms"),
    };
    let lifetime = settings.span("address-lifetime-ms");
    Times { membership, ask_every, answer_within: ask_every.max(Duration::from_millis(200)), lifetime }
}

#[derive(Default)]
pub(crate) struct Counters {
    pub forwarded: AtomicU64,
    listings: AtomicU64,
    codes: DashMap<u32, u64>,
}

/// What requests share.
pub(crate) struct Node {
    pub site: Site,
    pub clock: Clock,
    pub view: ArcSwap<View>,
    pub postmasters: ArcSwap<Vec<String>>,
    pub board: Board,
    pub caller: Caller,
    /// Connections to upstreams that wait for their next request.
    pub pool: Pool,
    pub keeps_connections: bool,
    pub dialect: Dialect,
    pub traces: Traces,
    pub counters: Counters,
    roles: String,
    lifetime: Duration,
    closing: AtomicBool,
    denying: AtomicBool,
}

/// Runs a carrier until it is told to close. An error is why it could not start.
///
/// ```no_run
/// # async fn run(settings: tariff::Settings) {
/// carrier::shell::run(settings, carrier::Dialect::own()).await.unwrap();
/// # }
/// ```
pub async fn run(settings: Settings, dialect: Dialect) -> Result<(), Report<NoStart>> {
    let clock = Clock::default();
    let mut reload = transport::reload_signal(&PROGRAM, &settings);
    let Doors { http, link, probe } = Doors::open(&settings).await?;
    let locality = settings.get("locality").parse::<Locality>();
    let locality = locality.change_context_lazy(|| NoStart::new("locality"))?;
    let told = Some(settings.get("told")).filter(|told| !told.is_empty()).unwrap_or(settings.get("link")).to_owned();
    let me = Member {
        node: settings.get("node").into(),
        locality: locality.to_string(),
        roles: settings.get("serve").into(),
        probe_address: told.clone(),
        link_address: told,
        http_address: settings.get("http").into(),
        ..Member::default()
    };
    log::info!("start: carrier {} in {locality}, serving {}", me.node, me.roles);
    let lifetime = settings.span("address-lifetime-ms");
    let mut site = Site::new(&me.node, locality, settings.span("stale-after-ms"), settings.span("wait-ms"));
    site.owners = if settings.get("owners") == "one" { Owners::One } else { Owners::ByCaller };
    site.serves_on = settings.get("out-of-touch") == "serve";
    site.far_ms = (settings.count("far-zone-ms") as f64, settings.count("far-region-ms") as f64);
    let reader = dialect.reader;
    let node = Arc::new(Node {
        site,
        clock,
        view: ArcSwap::default(),
        postmasters: ArcSwap::default(),
        board: Board::default(),
        caller: Caller::default(),
        pool: Pool::default(),
        keeps_connections: settings.get("keep-connections") == "yes",
        dialect,
        traces: Traces::default(),
        counters: Counters::default(),
        roles: me.roles.clone(),
        lifetime,
        closing: AtomicBool::new(false),
        denying: AtomicBool::new(false),
    });
    let (arrivals, mut arrived) = mpsc::channel(MOST_ARRIVALS);
    let links = Links::open(me.node.clone(), Some(link), arrivals);
    let mut carrier = Carrier::new(Start {
        me,
        seeds: transport::seeds(&settings),
        seed: transport::chance(),
        reader,
        times: times(&settings),
    });
    let (close, closing) = watch::channel(false);
    let doors = [("directory", Door::Directory), ("readiness", Door::Readiness)];
    let mut sockets = vec![(Door::Front, http)];
    for (name, door) in doors.into_iter().filter(|(name, _)| !settings.get(name).is_empty()) {
        sockets.push((door, transport::listen(&settings, name).await?));
    }
    let servers = sockets.into_iter().map(|(door, socket)| {
        let handler = node.clone();
        tokio::spawn(transport::serve(socket, closing.clone(), move |enquiry| serve(handler.clone(), door, enquiry)))
    });
    let server = futures::future::join_all(servers.collect::<Vec<_>>());
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = std::pin::pin!(transport::stop_signal());
    let mut datagram = vec![0u8; 65_536];
    let mut next_sweep = Duration::ZERO;
    loop {
        let event = tokio::select! {
            _ = tick.tick() => Event::Tick,
            Some((from, body)) = arrived.recv() => Event::Received { from, body },
            Ok((count, address)) = probe.recv_from(&mut datagram) => {
                match Envelope::decode(&datagram[..count]).ok().and_then(|parcel| parcel.body) {
                    Some(body) => Event::Datagram { address: address.to_string(), body },
                    None => continue,
                }
            }
            seeds = reload.seeds() => Event::Seeds(seeds),
            _ = &mut stop, if carrier.phase() == Phase::Serving => Event::Close,
        };
        let now = clock.now();
        let effects = carrier.step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => links.send(&to, body),
            Effect::Datagram { address, body } => transport::send_datagram(&probe, &address, body),
            Effect::Addresses(book) => {
                links.learn(book);
                node.postmasters.store(Arc::new(carrier.postmasters()));
            }
            Effect::Publish => {
                node.view.store(Arc::new(carrier.view().clone()));
                // Beats may have told of room.
                node.board.ring_all();
            }
            Effect::Phase(phase) => {
                log::info!("close: {}", if phase == Phase::Denying { DENYING } else { CLOSING });
                node.closing.store(true, Ordering::Release);
                node.denying.store(phase == Phase::Denying, Ordering::Release);
            }
            Effect::Note(text) => log::info!("news: {text}"),
        });
        if now >= next_sweep {
            next_sweep = now + Duration::from_secs(1);
            let view = node.view.load();
            carrier.step(now, Event::Counted(node.board.drain_keys()));
            node.pool.sweep();
            log::debug!("links: {:?}", links.sent());
            node.board.sweep(now, |instance| view.upstreams.values().any(|known| known.contains_key(instance)));
        }
        if carrier.phase() == Phase::Denying {
            break;
        }
    }
    let _ = close.send(true);
    let _ = tokio::time::timeout(CLOSE_BY.saturating_sub(lifetime), server).await;
    Ok(())
}

impl Node {
    pub(crate) fn is_closing(&self) -> bool {
        self.denying.load(Ordering::Acquire)
    }

    pub(crate) fn count(&self, code: Code) {
        *self.counters.codes.entry(code.number()).or_insert(0) += 1;
    }

    fn ready(&self) -> Code {
        let fresh = self.site.may_use(&self.view.load(), self.clock.now());
        match (self.closing.load(Ordering::Acquire), fresh) {
            (true, _) => Code::Closing,
            (false, false) => Code::Stale,
            (false, true) => Code::Fine,
        }
    }

    fn list(&self, name: &str, origin: Option<Locality>) -> Response<Full<Bytes>> {
        self.counters.listings.fetch_add(1, Ordering::Relaxed);
        let view = self.view.load();
        let Some(origin) = origin else { return self.deny(Code::Malformed, None, "") };
        let listed = if self.site.may_use(&view, self.clock.now()) {
            gazetteer::list(&view, name, &origin, self.lifetime, (self.site.owners, self.dialect.most_addresses))
        } else {
            Err(Code::Stale)
        };
        let salt = || format!("{name}{origin}");
        listed.map_or_else(
            |code| self.deny(code, sorting::come_back(code, 0.0, &salt()), ""),
            |listing| (self.dialect.listing)(listing),
        )
    }

    fn show_counters(&self) -> Response<Full<Bytes>> {
        let count = |counter: &AtomicU64| Sheet::from(counter.load(Ordering::Relaxed));
        let mut codes: Vec<(String, Sheet)> =
            self.counters.codes.iter().map(|entry| (entry.key().to_string(), (*entry.value()).into())).collect();
        codes.sort_by(|a, b| a.0.cmp(&b.0));
        let now = self.clock.now();
        let services = self.board.tallies(now).into_iter().map(|tally| {
            Sheet::fields([
                ("service", tally.service.into()),
                ("serving", tally.serving.into()),
                ("waiting", tally.waiting.into()),
                ("firstsIn10s", tally.firsts.into()),
                ("resendsIn10s", tally.resends.into()),
                ("deniedIn10s", tally.denied.into()),
            ])
        });
        let age_ms = self.view.load().as_of.map(|as_of| (now.saturating_sub(as_of).as_millis() as u64).into());
        let sheet = Sheet::fields([
            ("listings", count(&self.counters.listings)),
            ("forwarded", count(&self.counters.forwarded)),
            ("viewAgeMs", age_ms.unwrap_or(Sheet::Null)),
            ("services", services.collect()),
            ("setAside", self.board.ejected(now).into_iter().map(Sheet::from).collect()),
            ("codes", Sheet::Fields(codes)),
        ]);
        transport::json(Code::Fine, &sheet)
    }

    fn show_node(&self) -> Response<Full<Bytes>> {
        let view = self.view.load();
        let now = self.clock.now();
        let age_ms = view.as_of.map(|as_of| (now.saturating_sub(as_of).as_millis() as u64).into());
        let proxies = view.proxies.iter().map(|proxy| Sheet::from(proxy.node.as_str()));
        let sheet = Sheet::fields([
            ("node", self.site.node.as_str().into()),
            ("locality", self.site.locality.to_string().into()),
            ("roles", self.roles.as_str().into()),
            ("edition", view.edition.into()),
            ("ageMs", age_ms.unwrap_or(Sheet::Null)),
            ("ready", (self.ready() == Code::Fine).into()),
            ("proxies", proxies.collect()),
        ]);
        transport::json(Code::Fine, &sheet)
    }

    /// What would be decided for such a request at this moment. Nothing is sent, and nothing is counted.
    fn show_supposed(&self, enquiry: &Enquiry) -> Response<Full<Bytes>> {
        let order = Order {
            try_id: "supposed".into(),
            name: enquiry.query("name").into(),
            path: enquiry.query("path").into(),
            key: Some(enquiry.query("key")).filter(|key| !key.is_empty()).map(str::to_owned),
            arrived_at: self.clock.now(),
            remaining: Duration::from_secs(1),
            ..Order::default()
        };
        let notes = sorting::suppose(order, &self.site, self.clock.now(), &self.view.load(), &self.board);
        self.show_notes("supposed", notes.iter().map(Note::to_string).collect())
    }

    fn show_notes(&self, try_id: &str, notes: Vec<String>) -> Response<Full<Bytes>> {
        let sheet = Sheet::fields([
            ("code", u64::from(Code::Fine.number()).into()),
            ("node", self.site.node.as_str().into()),
            ("tryId", try_id.into()),
            ("notes", notes.into_iter().map(Sheet::from).collect()),
        ]);
        transport::json(Code::Fine, &sheet)
    }

    fn show_trace(&self, try_id: &str) -> Response<Full<Bytes>> {
        let notes = self.traces.find(try_id);
        notes.map_or_else(|| transport::verdict(Code::NoSuchTrace, None), |notes| self.show_notes(try_id, notes))
    }
}

async fn serve(node: Arc<Node>, door: Door, enquiry: Enquiry) -> Response<Full<Bytes>> {
    let retry = Some(Duration::from_secs(1));
    let serves = |role: &str| node.roles.contains(role);
    match (node.dialect.page)(door, &enquiry) {
        Page::Request if serves("proxy") => node.carry(enquiry).await,
        Page::Listing { name, origin } if serves("directory") => node.list(&name, origin),
        Page::Live => transport::verdict(Code::Fine, None),
        Page::Ready => {
            let code = node.ready();
            transport::verdict(code, retry.filter(|_| code != Code::Fine))
        }
        Page::Counters => node.show_counters(),
        Page::Node => node.show_node(),
        Page::Trace { try_id } => node.show_trace(&try_id),
        Page::Supposed => node.show_supposed(&enquiry),
        Page::Relay => node.relay(enquiry).await,
        _ => transport::verdict(Code::NoSuchPage, None),
    }
}
