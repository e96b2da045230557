//! Layouts of sites: regions, machines, upstreams and traffic.

use invariants::rules::RuleParameters;
use name_directory::OwnershipMode;
use std::collections::BTreeSet;
use std::time::Duration;

/// The layout of one site.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its regions; each has two zones.
    pub regions: [&'static str; 3],
    /// Machines; the first [`disks`](Shape::disks) have a disk and run a control node beside their data-plane node.
    pub machines: usize,
    /// Machines with a disk.
    pub disks: usize,
    /// Upstreams of each service.
    pub per_service: usize,
    /// Requests a second in all.
    pub per_second: u64,
    /// One-way delay between the zones of a region, in microseconds.
    pub near_micros: u64,
    /// One-way delay between regions, in microseconds.
    pub far_micros: u64,
    /// The services.
    pub services: [ServiceProfile; 3],
    /// The one name that all services share, as routes with a path each; where there is none, each has its own name.
    pub shared_name: Option<&'static str>,
    /// Who owns a name.
    pub ownership: OwnershipMode,
    /// A service and a region: one more route leads to the service, at home in the region only, and no client uses it.
    pub unused_bound_route: Option<(usize, usize)>,
    /// How long upstreams hold keys after a heartbeat; the product's default where none is given.
    pub key_span: Option<Duration>,
    /// Whether proxies serve on by a view that nobody confirms.
    pub serves_stale_view: bool,
}

/// One service and its part of the traffic.
#[derive(Clone, Copy, Debug)]
pub struct ServiceProfile {
    /// The service's name.
    pub service: &'static str,
    /// Whether its operations may be executed only once.
    pub at_most_once: bool,
    /// Whether its requests belong to keys, each held by one upstream.
    pub keyed: bool,
    /// Whether its keys are whole numbers, held in ranges; else they fall into slots.
    pub numbered: bool,
    /// Which of the three regions are its home; empty for anywhere.
    pub homes: &'static [usize],
    /// Its part of the requests, in percent.
    pub percent: u64,
}

const fn profile(
    service: &'static str,
    at_most_once: bool,
    keyed: bool,
    homes: &'static [usize],
    percent: u64,
) -> ServiceProfile {
    ServiceProfile {
        service,
        at_most_once,
        keyed,
        numbered: false,
        homes,
        percent,
    }
}

/// The same with numeric keys.
const fn numbered(profile: ServiceProfile) -> ServiceProfile {
    ServiceProfile {
        keyed: true,
        numbered: true,
        ..profile
    }
}

/// Roadwise: 13 machines, 36 upstreams, about 120 requests a second, half of them practice reads.
pub const ROADWISE: Shape = Shape {
    name: "roadwise",
    regions: ["north", "middle", "south"],
    machines: 13,
    disks: 6,
    per_service: 12,
    per_second: 120,
    near_micros: 1500,
    far_micros: 20_000,
    services: [
        profile("practice", false, false, &[], 50),
        profile("booking", true, false, &[0, 1], 30),
        profile("payment", true, true, &[], 20),
    ],
    shared_name: None,
    ownership: OwnershipMode::SingleZone,
    unused_bound_route: None,
    key_span: None,
    serves_stale_view: false,
};

/// Kalam: 15 machines, 39 upstreams, about 680 requests a second, half of them clause reads.
pub const KALAM: Shape = Shape {
    name: "kalam",
    regions: ["gandhinagar", "vadodara", "bhavnagar"],
    machines: 15,
    disks: 6,
    per_service: 13,
    per_second: 680,
    near_micros: 500,
    far_micros: 35_000,
    services: [
        profile("clause", false, false, &[], 50),
        profile("posting", true, true, &[], 30),
        profile("renewal", true, false, &[0, 1], 20),
    ],
    shared_name: None,
    ownership: OwnershipMode::SingleZone,
    unused_bound_route: None,
    key_span: None,
    serves_stale_view: false,
};

/// Ledger: 13 machines, 36 upstreams, about 160 requests a second, half of them on accounts that are numbered.
pub const LEDGER: Shape = Shape {
    name: "ledger",
    regions: ["east", "centre", "west"],
    machines: 13,
    disks: 6,
    per_service: 12,
    per_second: 160,
    near_micros: 1500,
    far_micros: 20_000,
    services: [
        profile("statement", false, false, &[], 30),
        numbered(profile("account", true, true, &[], 50)),
        profile("transfer", true, false, &[0, 1], 20),
    ],
    shared_name: None,
    ownership: OwnershipMode::SingleZone,
    unused_bound_route: None,
    key_span: None,
    serves_stale_view: false,
};

/// Counters: services of one region each and one of all regions, as routes of one name, so that no region is the home of
/// all its routes. Each zone's clients have an owner of the name of their own.
pub const COUNTERS: Shape = Shape {
    name: "counters",
    regions: ["hill", "coast", "plain"],
    machines: 13,
    disks: 6,
    per_service: 12,
    per_second: 120,
    near_micros: 1500,
    far_micros: 20_000,
    services: [
        profile("deed", false, false, &[0], 40),
        profile("duty", true, false, &[2], 30),
        profile("template", false, false, &[], 30),
    ],
    shared_name: Some("counter"),
    ownership: OwnershipMode::PerClientZone,
    unused_bound_route: None,
    key_span: None,
    serves_stale_view: false,
};

/// First sends a second that one upstream may get while it warms up.
pub const WARM_UP_PER_SECOND: u64 = 5;

/// Marker services of one upstream each. Every configuration routes the name `probe` to one of them, so that arrivals
/// there show which configuration a proxy served by.
pub const MARKERS: [ServiceProfile; 5] = [
    profile("mark-0", false, false, &[], 0),
    profile("mark-1", false, false, &[], 0),
    profile("mark-2", false, false, &[], 0),
    profile("mark-3", false, false, &[], 0),
    profile("mark-4", false, false, &[], 0),
];

/// The number of a marker service.
///
/// ```
/// assert_eq!(simulator::shapes::marker_index("mark-3"), Some(3));
/// assert_eq!(simulator::shapes::marker_index("booking"), None);
/// ```
pub fn marker_index(service: &str) -> Option<usize> {
    MARKERS.iter().position(|marker| marker.service == service)
}

impl Shape {
    /// The shape with this name.
    ///
    /// ```
    /// assert_eq!(simulator::shapes::Shape::named("kalam").unwrap().machines, 15);
    /// assert!(simulator::shapes::Shape::named("moon").is_none());
    /// ```
    pub fn named(name: &str) -> Option<Shape> {
        [ROADWISE, KALAM, LEDGER, COUNTERS]
            .into_iter()
            .find(|shape| shape.name == name)
    }

    /// The region and zone of machine or upstream number `at`.
    ///
    /// ```
    /// assert_eq!(simulator::shapes::ROADWISE.locality(0), "north/north-1");
    /// assert_eq!(simulator::shapes::ROADWISE.locality(4), "middle/middle-2");
    /// ```
    pub fn locality(&self, at: usize) -> String {
        let region = self.regions[at % 3];
        format!("{region}/{region}-{}", 1 + at / 3 % 2)
    }

    /// How long anything takes from one machine to another.
    ///
    /// ```
    /// assert_eq!(simulator::shapes::ROADWISE.distance(0, 1).as_millis(), 20);
    /// assert!(simulator::shapes::ROADWISE.distance(0, 6).is_zero(), "the same zone");
    /// ```
    pub fn distance(&self, from: usize, to: usize) -> std::time::Duration {
        let (here, there) = (self.locality(from), self.locality(to));
        let micros = match (here == there, from % 3 == to % 3) {
            (true, _) => 0,
            (_, true) => self.near_micros,
            _ => self.far_micros,
        };
        std::time::Duration::from_micros(micros)
    }

    /// The regions where a service's requests may go.
    ///
    /// ```
    /// let shape = simulator::shapes::ROADWISE;
    /// assert_eq!(shape.homes(&shape.services[1]), ["north", "middle"]);
    /// ```
    pub fn homes(&self, profile: &ServiceProfile) -> Vec<&'static str> {
        profile
            .homes
            .iter()
            .map(|region| self.regions[*region])
            .collect()
    }

    /// The profiles of its services, the marker services last, and how many upstreams each has.
    ///
    /// ```
    /// assert_eq!(simulator::shapes::ROADWISE.profiles().map(|(_, count)| count).sum::<usize>(), 36 + 5);
    /// ```
    pub fn profiles(&self) -> impl Iterator<Item = (ServiceProfile, usize)> {
        let markers = MARKERS.into_iter().map(|marker| (marker, 1));
        self.services
            .into_iter()
            .map(|profile| (profile, self.per_service))
            .chain(markers)
    }

    /// The site's configuration. `extra` adds that many further routes, for larger ones, and chooses which service the name
    /// `probe` leads to.
    ///
    /// ```
    /// assert!(config::Configuration::parse(simulator::shapes::KALAM.configuration(3).as_bytes()).is_ok());
    /// ```
    pub fn configuration(&self, extra: usize) -> String {
        self.written(extra, None)
    }

    /// The same with an operator's own version, and without `probe`: its version does not say whether it is in force.
    ///
    /// ```
    /// let configuration = simulator::shapes::KALAM.versioned_configuration(3, 7);
    /// assert_eq!(config::Configuration::parse(configuration.as_bytes()).unwrap().version, Some(7));
    /// ```
    pub fn versioned_configuration(&self, extra: usize, number: u64) -> String {
        self.written(extra, Some(number))
    }

    fn written(&self, extra: usize, number: Option<u64>) -> String {
        let services = self.services.iter().chain(&MARKERS).map(|profile| {
            let homes = self.homes(profile).iter().map(|home| format!("\"{home}\"")).collect::<Vec<_>>().join(", ");
            format!(
                r#"    {{"name": "{}", "work": "{}", "keyed": {}, "numbered": {}, "warmUpPerSecond": {WARM_UP_PER_SECOND}, "homeRegions": [{homes}]}}"#,
                profile.service,
                if profile.at_most_once { "once" } else { "repeatable" },
                profile.keyed,
                profile.numbered
            )
        });
        let route = |id: String, name: &str, path: String, service: &str| {
            format!(
                r#"    {{"id": "{id}", "name": "{name}", "path": "{path}", "service": "{service}"}}"#
            )
        };
        let routes = self.services.iter().enumerate().map(|(at, profile)| {
            route(
                format!("r{at}"),
                self.shared_name.unwrap_or(profile.service),
                format!("/{}", profile.service),
                profile.service,
            )
        });
        let marked = MARKERS[extra % MARKERS.len()].service;
        let probe = Some(())
            .filter(|()| number.is_none())
            .map(|()| route("probe-route".into(), "probe", "/probe".into(), marked));
        let bound = self.unused_bound_route.map(|(service, region)| {
            let (service, region) = (self.services[service].service, self.regions[region]);
            format!(
                r#"    {{"id": "bound-route", "name": "bound", "path": "/bound", "service": "{service}", "homeRegions": ["{region}"]}}"#
            )
        });
        let extras = (0..extra).map(|at| {
            route(
                format!("x{at}"),
                "extra",
                format!("/x{at}"),
                self.services[0].service,
            )
        });
        let aliases = self.services.iter().enumerate().map(|(at, profile)| {
            format!(
                r#"    {{"alias": "{}.{}.example", "to": "r{at}"}}"#,
                profile.service, self.name
            )
        });
        let list = |items: Vec<String>| items.join(",\n");
        let number = number
            .map(|number| format!("\n  \"number\": {number},"))
            .unwrap_or_default();
        format!(
            "{{{number}\n  \"services\": [\n{}\n  ],\n  \"routes\": [\n{}\n  ],\n  \"aliases\": [\n{}\n  ]\n}}\n",
            list(services.collect()),
            list(routes.chain(probe).chain(bound).chain(extras).collect()),
            list(aliases.collect())
        )
    }

    /// The parameters of the rules for this site.
    ///
    /// ```
    /// assert_eq!(simulator::shapes::KALAM.rule_parameters().homes.len(), 1);
    /// ```
    pub fn rule_parameters(&self) -> RuleParameters {
        let bound = self
            .services
            .iter()
            .filter(|profile| !profile.homes.is_empty());
        let homes = bound.map(|profile| {
            let homes: BTreeSet<String> = self
                .homes(profile)
                .iter()
                .map(|home| (*home).to_owned())
                .collect();
            (profile.service.to_owned(), homes)
        });
        RuleParameters {
            homes: homes.collect(),
            warm_up_per_second: WARM_UP_PER_SECOND,
        }
    }
}
