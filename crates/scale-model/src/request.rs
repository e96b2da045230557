//! The processor time of a request in a proxy without its sockets: routing over a view of some size, a directory
//! look-up, and what a data node does with its view in between.

use super::figures::Figures;
use super::size::Size;
use super::traffic_stats::Stopwatch;
use name_directory::{Proxy, View};
use protocol::{ClusterState, Placement, Reservation, Upstream, ViewUpdate};
use request_routing::{CallOutcome, NextStep, ProxyContext, ProxyStats, RequestInfo, RequestState};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

/// How many requests the command measures.
const REQUESTS: usize = 20_000;
/// At most this many directory look-ups are measured.
const MAX_LOOKUPS: usize = 2000;
/// How often everything else is measured.
const REPETITIONS: usize = 20;
/// The virtual time of every measurement.
const NOW: Duration = Duration::from_secs(100);
const LIFETIME: Duration = Duration::from_secs(2);

/// Measures the path of this many requests, and what a data node does with its view in between: the mean, median and
/// 99th percentile of each step's processor time in microseconds.
///
/// ```
/// let figures = scale_model::request_path(&scale_model::CURRENT_SIZE, 50);
/// assert_eq!(figures.get("served"), Some(50.0));
/// ```
pub fn request_path(size: &Size, requests: usize) -> Figures {
    let mut view = view(size);
    let stats = ProxyStats::default();
    let mut figures = Figures::default();
    measure_routing(&mut figures, size, &view, &stats, requests);
    measure_lookups(&mut figures, size, &view, requests.min(MAX_LOOKUPS));
    measure_view_upkeep(&mut figures, size, &view, &stats);
    measure_heartbeat_update(&mut figures, size, &mut view);
    figures
}

/// The default number of requests.
pub fn measure_request_path(size: &Size) -> Figures {
    request_path(size, REQUESTS)
}

fn measure_routing(
    figures: &mut Figures,
    size: &Size,
    view: &View,
    stats: &ProxyStats,
    requests: usize,
) {
    let context = ProxyContext::new(
        "carrier-0",
        view.proxies[0].locality.clone(),
        LIFETIME,
        Duration::ZERO,
    );
    let mut served = 0;
    let mut times = Vec::with_capacity(requests);
    for at in 0..requests {
        let request = request(size, at);
        let watch = Stopwatch::start();
        served += usize::from(route_request(request, &context, view, stats));
        times.push(watch.took());
    }
    figures.add("served", served as f64);
    add_times(figures, "journey", times);
}

fn measure_lookups(figures: &mut Figures, size: &Size, view: &View, lookups: usize) {
    let options = name_directory::LookupOptions {
        ownership: name_directory::OwnershipMode::SingleZone,
        max_proxies: 3,
        lifetime: LIFETIME,
    };
    let mut times = Vec::with_capacity(lookups);
    for at in 0..lookups {
        let name = format!("name-{}", at % size.routes);
        let client = &view.proxies[at % view.proxies.len()].locality;
        let watch = Stopwatch::start();
        let answer = name_directory::lookup(view, &name, client, &options);
        assert!(black_box(answer).is_ok(), "{name} has an owner");
        times.push(watch.took());
    }
    add_times(figures, "look-up", times);
}

/// What a data node does with its counters and view beside requests.
fn measure_view_upkeep(figures: &mut Figures, size: &Size, view: &View, stats: &ProxyStats) {
    for at in 0..size.upstreams {
        drop(stats.upstream(&format!("unit-{at}")));
    }
    let is_known = |instance: &str| {
        view.upstreams
            .values()
            .any(|known| known.contains_key(instance))
    };
    add_times(
        figures,
        "sweep",
        repeat_timed(|| stats.sweep(NOW, is_known)),
    );
    add_times(
        figures,
        "publish",
        repeat_timed(|| drop(black_box(view.clone()))),
    );
    let mut updated = view.clone();
    add_times(
        figures,
        "settle-senders",
        repeat_timed(|| updated.update_senders(NOW)),
    );
}

/// A heartbeat that reports another capacity, while requests still read the view before it.
fn measure_heartbeat_update(figures: &mut Figures, size: &Size, view: &mut View) {
    let mut times = Vec::with_capacity(REPETITIONS);
    for _ in 0..REPETITIONS {
        let view_in_use = view.clone();
        let update = ViewUpdate {
            upstreams: vec![upstream(size, 7)],
            ..ViewUpdate::default()
        };
        let watch = Stopwatch::start();
        let applied = view.apply_update(update, false);
        times.push(watch.took());
        assert!(applied.is_ok(), "the update carries no configuration");
        drop(view_in_use);
    }
    add_times(figures, "one-change", times);
}

fn request(size: &Size, at: usize) -> RequestInfo {
    RequestInfo {
        attempt_id: format!("try-{at}"),
        name: format!("name-{}", at % size.routes),
        path: "/".into(),
        key: Some(format!("tenant-{}", at % 82_000)),
        arrived_at: NOW,
        remaining: Duration::from_secs(3),
        ..RequestInfo::default()
    }
}

/// Takes a request from the choice of its upstream to its outcome; returns whether it was sent.
fn route_request(
    request: RequestInfo,
    context: &ProxyContext,
    view: &View,
    stats: &ProxyStats,
) -> bool {
    let mut state = RequestState::new(request, context.clone());
    match state.start(NOW, view, stats) {
        NextStep::Connect { .. } => {
            let sent = matches!(state.on_connected(NOW, view, stats), NextStep::Send { .. });
            state.on_outcome(NOW, view, stats, CallOutcome::Complete);
            sent
        }
        _ => false,
    }
}

fn repeat_timed(mut act: impl FnMut()) -> Vec<Duration> {
    let times = (0..REPETITIONS).map(|_| {
        let watch = Stopwatch::start();
        act();
        watch.took()
    });
    times.collect()
}

/// Adds the mean, median and 99th percentile in microseconds.
fn add_times(figures: &mut Figures, name: &str, mut times: Vec<Duration>) {
    times.sort();
    let micros = |per_mille: usize| {
        let rank = (times.len() * per_mille / 1000).min(times.len() - 1);
        times[rank].as_secs_f64() * 1e6
    };
    let mean = times.iter().sum::<Duration>().as_secs_f64() * 1e6 / times.len() as f64;
    figures.add(format!("{name}.us"), mean);
    figures.add(format!("{name}.us.p50"), micros(500));
    figures.add(format!("{name}.us.p99"), micros(990));
}

/// The record of the upstream with index `at`, as its heartbeats report it.
pub(super) fn upstream(size: &Size, at: usize) -> Upstream {
    Upstream {
        service: format!("service-{}", at % size.services),
        instance: format!("unit-{at}"),
        address: format!("10.{}.{}.{}:8080", at / 62_500, at / 250 % 250, at % 250),
        locality: size.locality(size.upstream_zone(at)),
        free_slots: 16,
        warm: true,
        heartbeat_number: 1,
        ..Upstream::default()
    }
}

/// Every name owned by the first proxy's zone, and the keys of each keyed service spread over its upstreams.
pub(super) fn placement(size: &Size) -> Placement {
    let owned = (0..size.routes).map(|at| Reservation {
        name: format!("name-{at}"),
        locality: size.locality(0),
        epoch: 1,
        ..Reservation::default()
    });
    let shares = (0..size.services)
        .filter(|service| size.is_keyed(*service))
        .map(|service| {
            let owners: Vec<usize> = (0..size.upstreams)
                .filter(|at| at % size.services == service)
                .collect();
            let given = (0..key_space::SLOT_COUNT)
                .filter(|_| !owners.is_empty())
                .map(|slot| protocol::KeyShare {
                    from: slot,
                    until: slot + 1,
                    epoch: 1,
                    instance: format!("unit-{}", owners[slot as usize % owners.len().max(1)]),
                    ..protocol::KeyShare::default()
                });
            protocol::ServiceKeyShares {
                service: format!("service-{service}"),
                shares: given.collect(),
            }
        });
    Placement {
        epoch: 1,
        number: 1,
        reservations: owned.collect(),
        shares: shares.collect(),
        ..Placement::default()
    }
}

/// A fresh view of a whole deployment, as a proxy holds it that serves every name.
fn view(size: &Size) -> View {
    let mut view = View::default();
    let update = ViewUpdate {
        state: Some(ClusterState {
            revision: 1,
            ..ClusterState::default()
        }),
        configuration: Some(size.configuration(0).into_bytes()),
        upstreams: (0..size.upstreams).map(|at| upstream(size, at)).collect(),
        placement: Some(placement(size)),
        ..ViewUpdate::default()
    };
    view.apply_update(update, true)
        .expect("the configuration is well-formed");
    let proxies = (0..size.nodes).map(|at| Proxy {
        node: format!("carrier-{at}"),
        locality: size.locality(size.zone(at)).parse().unwrap_or_default(),
        address: format!("10.0.0.{at}:8000"),
        suspect: false,
    });
    view.proxies = Arc::new(proxies.collect());
    view.update_senders(Duration::from_secs(1));
    view.as_of = Some(NOW);
    view
}
