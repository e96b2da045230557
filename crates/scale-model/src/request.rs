//! What a request costs a proxy's processor away from its sockets: routing over a view of some size, a directory
//! look-up, and what a node does with its view in between.

use super::figures::Figures;
use super::size::Size;
use super::traffic_stats::Stopwatch;
use name_directory::{Proxy, View};
use protocol::{ClusterState, Placement, Reservation, Upstream, ViewUpdate};
use request_routing::{CallOutcome, NextStep, ProxyContext, ProxyStats, RequestInfo, RequestState};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

const REQUESTS: usize = 20_000;
const NOW: Duration = Duration::from_secs(100);

/// Measures the path at a size.
///
/// ```
/// let figures = scale_model::request_path(&scale_model::CURRENT_SIZE, 50);
/// assert_eq!(figures.get("served"), Some(50.0));
/// ```
pub fn request_path(size: &Size, requests: usize) -> Figures {
    let mut view = view(size);
    let board = ProxyStats::default();
    let site = ProxyContext::new(
        "carrier-0",
        view.proxies[0].locality.clone(),
        Duration::from_secs(2),
        Duration::ZERO,
    );
    let mut figures = Figures::default();
    let mut served = 0;
    let took: Vec<Duration> = (0..requests)
        .map(|at| {
            let order = order(size, at);
            let watch = Stopwatch::start();
            served += usize::from(route_request(order, &site, &view, &board));
            watch.took()
        })
        .collect();
    figures.add("served", served as f64);
    spread(&mut figures, "journey", took);
    let looked = (0..requests.min(2000)).map(|at| {
        let (name, client) = (
            format!("name-{}", at % size.routes),
            &view.proxies[at % view.proxies.len()].locality,
        );
        let watch = Stopwatch::start();
        let listed = name_directory::lookup(
            &view,
            &name,
            client,
            &name_directory::LookupOptions {
                ownership: name_directory::OwnershipMode::SingleZone,
                max_proxies: 3,
                lifetime: Duration::from_secs(2),
            },
        );
        assert!(black_box(listed).is_ok(), "{name} has an owner");
        watch.took()
    });
    spread(&mut figures, "look-up", looked.collect());
    (0..size.upstreams).for_each(|at| drop(board.upstream(&format!("unit-{at}"))));
    let known = |instance: &str| {
        view.upstreams
            .values()
            .any(|known| known.contains_key(instance))
    };
    spread(&mut figures, "sweep", times(|| board.sweep(NOW, known)));
    spread(
        &mut figures,
        "publish",
        times(|| drop(black_box(view.clone()))),
    );
    let mut moved = view.clone();
    spread(
        &mut figures,
        "settle-senders",
        times(|| moved.update_senders(NOW)),
    );
    // A heartbeat that reports another capacity, while requests hold the view before it.
    let change = || ViewUpdate {
        upstreams: vec![upstream(size, 7)],
        ..ViewUpdate::default()
    };
    let took = (0..20).map(|_| {
        let (held, update) = (view.clone(), change());
        let watch = Stopwatch::start();
        let taken = view.apply_update(update, false);
        let took = watch.took();
        assert!(taken.is_ok(), "no setup to misread");
        drop(held);
        took
    });
    spread(&mut figures, "one-change", took.collect());
    figures
}

/// The default number of requests.
pub fn measure_request_path(size: &Size) -> Figures {
    request_path(size, REQUESTS)
}

fn order(size: &Size, at: usize) -> RequestInfo {
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

/// From the choice to the verdict; true where it was sent.
fn route_request(order: RequestInfo, site: &ProxyContext, view: &View, board: &ProxyStats) -> bool {
    let mut route_request = RequestState::new(order, site.clone());
    match route_request.start(NOW, view, board) {
        NextStep::Connect { .. } => {
            let sent = matches!(
                route_request.on_connected(NOW, view, board),
                NextStep::Send { .. }
            );
            route_request.on_outcome(NOW, view, board, CallOutcome::Complete);
            sent
        }
        _ => false,
    }
}

fn times(mut act: impl FnMut()) -> Vec<Duration> {
    let timed = (0..20).map(|_| {
        let watch = Stopwatch::start();
        act();
        watch.took()
    });
    timed.collect()
}

fn spread(figures: &mut Figures, name: &str, mut took: Vec<Duration>) {
    took.sort();
    let micros =
        |part: usize| took[(took.len() * part / 1000).min(took.len() - 1)].as_secs_f64() * 1e6;
    let mean = took.iter().sum::<Duration>().as_secs_f64() * 1e6 / took.len() as f64;
    figures.add(format!("{name}.us"), mean);
    figures.add(format!("{name}.us.p50"), micros(500));
    figures.add(format!("{name}.us.p99"), micros(990));
}

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
            let holders: Vec<usize> = (0..size.upstreams)
                .filter(|at| at % size.services == service)
                .collect();
            let given = (0..key_space::SLOT_COUNT)
                .filter(|_| !holders.is_empty())
                .map(|slot| protocol::KeyShare {
                    from: slot,
                    until: slot + 1,
                    epoch: 1,
                    instance: format!("unit-{}", holders[slot as usize % holders.len().max(1)]),
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

/// A fresh view: the site's configuration, and every name owned by the first proxy's zone, as for a proxy that serves them all.
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
        .expect("the setup is well-formed");
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
