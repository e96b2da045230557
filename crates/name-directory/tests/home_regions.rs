//! Names whose routes have different home regions: the directory knows the name that a client asks for, not the path of
//! the request that it will send.

use config::{Configuration, Route, RoutePolicy, Service};
use locality::Locality;
use name_directory::{
    LookupOptions, OwnershipMode, PlacementInputs, PlacementTimes, Proxy, View, ZoneAssigner,
    lookup,
};
use protocol::Upstream;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const NAME: &str = "counter";
const REGIONS: [&str; 3] = ["hill", "coast", "plain"];

/// A route of [`NAME`] with home regions of its own.
fn route(id: &str, service: &str, home_regions: &[&str]) -> Route {
    Route {
        id: id.into(),
        name: NAME.into(),
        path: format!("/{id}/"),
        prefix: true,
        service: service.into(),
        policy: RoutePolicy {
            home_regions: home_regions.iter().map(|region| (*region).into()).collect(),
            ..RoutePolicy::default()
        },
        ..Route::default()
    }
}

fn configuration(services: Vec<Service>, routes: Vec<Route>) -> Configuration {
    let mut configuration = Configuration::default();
    let mut errors = Vec::new();
    for service in services {
        assert!(configuration.insert_service(service));
    }
    for route in routes {
        configuration.insert_route(route, "/routes", &mut errors);
    }
    assert_eq!(errors, []);
    configuration
}

fn service(name: &str, home_regions: &[&str]) -> Service {
    Service {
        name: name.into(),
        home_regions: home_regions.iter().map(|region| (*region).into()).collect(),
        ..Service::default()
    }
}

fn localities() -> impl Iterator<Item = String> {
    REGIONS
        .into_iter()
        .flat_map(|region| [1, 2].map(|zone| format!("{region}/{region}-{zone}")))
}

/// Two proxies in each zone; those in the localities of `suspect` did not answer their probes.
fn proxies(suspect: &[&str]) -> Vec<Proxy> {
    localities()
        .flat_map(|locality| {
            [1, 2].map(|number| Proxy {
                node: format!("proxy-{locality}-{number}"),
                locality: locality.parse().expect("a locality"),
                address: format!("{locality}/{number}"),
                suspect: suspect.contains(&locality.as_str()),
            })
        })
        .collect()
}

fn view(configuration: Configuration, suspect: &[&str]) -> View {
    View {
        configuration: Arc::new(configuration),
        proxies: Arc::new(proxies(suspect)),
        ..View::default()
    }
}

/// The localities of the proxies that a client in this locality is told of.
fn told(view: &View, client: &str) -> BTreeSet<String> {
    let client: Locality = client.parse().expect("a locality");
    let options = LookupOptions {
        ownership: OwnershipMode::PerClientZone,
        max_proxies: 64,
        lifetime: Duration::from_secs(2),
    };
    let answer = lookup(view, NAME, &client, &options);
    let proxies = answer.map(|answer| answer.proxies).unwrap_or_default();
    proxies
        .iter()
        .filter_map(|address| address.rsplit_once('/'))
        .map(|(locality, _)| locality.to_owned())
        .collect()
}

/// Two routes that no region is the home of together, and one that belongs nowhere.
fn disjoint() -> Configuration {
    configuration(
        vec![service("s", &[])],
        vec![
            route("r1", "s", &["hill"]),
            route("r2", "s", &["plain"]),
            route("r3", "s", &[]),
        ],
    )
}

#[test]
fn a_name_whose_routes_share_no_home_region_has_proxies_for_every_client() {
    let view = view(disjoint(), &[]);
    for client in localities() {
        assert_eq!(
            told(&view, &client),
            BTreeSet::from([client.clone()]),
            "a client's own zone is where its request is already"
        );
    }
}

#[test]
fn a_client_whose_own_region_is_down_is_sent_where_most_routes_may_be_served() {
    let down = ["coast/coast-1", "coast/coast-2"];
    let two_at_home = configuration(
        vec![service("s", &[])],
        vec![
            route("r1", "s", &["hill"]),
            route("r2", "s", &["plain"]),
            route("r3", "s", &["plain"]),
        ],
    );
    let regions: BTreeSet<String> = told(&view(two_at_home, &down), "coast/coast-1")
        .iter()
        .map(|locality| locality.split('/').next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(regions, BTreeSet::from(["plain".to_owned()]));
}

#[test]
fn where_the_shared_home_region_is_down_the_clients_own_region_takes_the_name() {
    let shared = configuration(
        vec![service("s", &[])],
        vec![route("r1", "s", &["plain"]), route("r2", "s", &[])],
    );
    let down = ["plain/plain-1", "plain/plain-2"];
    assert_eq!(
        told(&view(shared, &down), "coast/coast-2"),
        BTreeSet::from(["coast/coast-2".to_owned()]),
        "its other routes can be served"
    );
}

#[test]
fn a_name_whose_routes_share_home_regions_is_not_sent_past_them() {
    let shared = configuration(
        vec![service("s", &[])],
        vec![
            route("r1", "s", &["hill", "plain"]),
            route("r2", "s", &["plain"]),
        ],
    );
    let down = ["coast/coast-1", "coast/coast-2"];
    for suspect in [&down[..], &[]] {
        let told = told(&view(shared.clone(), suspect), "coast/coast-1");
        assert!(
            !told.is_empty() && told.iter().all(|locality| locality.starts_with("plain/")),
            "{told:?}"
        );
    }
}

/// The locality that owns [`NAME`] for everybody.
fn owner(configuration: &Configuration, evacuated: &[String]) -> Option<String> {
    let times = PlacementTimes {
        min_residence: Duration::from_secs(4),
        tombstone_lifetime: Duration::from_secs(60),
    };
    let upstreams: Vec<Upstream> = localities()
        .enumerate()
        .map(|(at, locality)| Upstream {
            service: if at % 2 == 0 { "a" } else { "b" }.into(),
            instance: format!("i{at}"),
            locality,
            warm: true,
            ..Upstream::default()
        })
        .collect();
    let served: BTreeSet<String> = localities().collect();
    let mut assigner = ZoneAssigner::new(Duration::ZERO, 1, &Default::default(), times);
    assigner.reassign(
        Duration::ZERO,
        &PlacementInputs {
            configuration,
            evacuated,
            upstreams: &upstreams,
            served: &served,
        },
    );
    let placement = assigner.placement(Duration::ZERO, vec![]);
    placement
        .reservations
        .into_iter()
        .map(|reservation| reservation.locality)
        .next()
}

#[test]
fn a_name_whose_services_share_no_home_region_has_an_owner() {
    let disjoint = configuration(
        vec![service("a", &["hill"]), service("b", &["plain"])],
        vec![route("r1", "a", &[]), route("r2", "b", &[])],
    );
    let owner = owner(&disjoint, &[]).expect("each of its routes can be served");
    assert!(
        owner.starts_with("hill/") || owner.starts_with("plain/"),
        "{owner}"
    );
}

#[test]
fn a_name_is_owned_within_the_home_regions_of_its_routes() {
    let bound = configuration(
        vec![service("a", &[]), service("b", &[])],
        vec![route("r1", "a", &["plain"]), route("r2", "b", &[])],
    );
    let owner = owner(&bound, &[]);
    assert!(
        owner
            .as_deref()
            .is_some_and(|owner| owner.starts_with("plain/")),
        "{owner:?}"
    );
}

#[test]
fn a_name_none_of_whose_routes_can_be_served_has_no_owner() {
    let bound = configuration(vec![service("a", &["hill"])], vec![route("r1", "a", &[])]);
    let evacuated = ["hill/hill-1".to_owned(), "hill/hill-2".to_owned()];
    assert_eq!(owner(&bound, &evacuated), None);
}
