//! The settings of a data-plane node, and what is made of them.

use crate::data_node::Times;
use crate::node::NodeOptions;
use config::{Setting, SettingType, Settings};
use locality::Locality;
use name_directory::OwnershipMode;
use protocol::Member;
use request_routing::{DistanceCost, ProxyContext, WarmUpTolerance};
use std::time::Duration;
use transport::{Clock, Program};

/// A control node has at least so long to answer.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Settings of a data-plane node, beside the time values.
pub const SETTINGS: &[Setting] = &[
    Setting::new(
        "node",
        SettingType::Id,
        None,
        "this process's id, unlike all others",
    ),
    Setting::new("locality", SettingType::Locality, None, "where it stands"),
    Setting::new(
        "http",
        SettingType::Address,
        None,
        "where origins, upstreams and operators call (HTTP)",
    ),
    Setting::new(
        "link",
        SettingType::Address,
        None,
        "where other processes connect (TCP) and probe (UDP)",
    ),
    Setting::new(
        "told",
        SettingType::Addresses,
        Some(""),
        "the link address that others use, where it is not 'link' itself",
    ),
    Setting::new(
        "seeds",
        SettingType::Addresses,
        Some(""),
        "addresses of other processes, to find them all by",
    ),
    Setting::new(
        "seed-port",
        SettingType::Integer(0, 65_535),
        Some("0"),
        "the port of their links, where 'seeds' names others",
    ),
    Setting::new(
        "directory",
        SettingType::Addresses,
        Some(""),
        "where origins ask for names, where it is not 'http' itself",
    ),
    Setting::new(
        "readiness",
        SettingType::Addresses,
        Some(""),
        "where readiness is asked for, where it is not 'http' itself",
    ),
    Setting::new(
        "owners",
        SettingType::OneOf(&["one", "by-caller"]),
        Some("one"),
        "who owns a name: one locality, or one for each",
    ),
    Setting::new(
        "out-of-touch",
        SettingType::OneOf(&["stop", "serve"]),
        Some("stop"),
        "what to do with a view that is too old",
    ),
    Setting::new(
        "keep-connections",
        SettingType::OneOf(&["no", "yes"]),
        Some("no"),
        "whether connections to upstreams are reused",
    ),
    Setting::new(
        "far-zone-ms",
        SettingType::Integer(0, 10_000),
        Some("20"),
        "what another zone costs beside an upstream's work",
    ),
    Setting::new(
        "far-region-ms",
        SettingType::Integer(0, 10_000),
        Some("60"),
        "what another region costs beside its work",
    ),
    Setting::new(
        "warm-up-excess",
        SettingType::Decimal(100),
        Some(""),
        "how many times its slow-start rate an upstream bears while it warms up; empty: 1.5",
    ),
    Setting::new(
        "warm-up-margin",
        SettingType::Decimal(10_000),
        Some(""),
        "how many requests a second more it bears; empty: 5",
    ),
    Setting::new(
        "serve",
        SettingType::SomeOf(&["proxy", "directory"]),
        Some("proxy,directory"),
        "its roles",
    ),
];

/// How the program presents itself.
pub const PROGRAM: Program = Program {
    name: "data-plane",
    about: "The data plane of mothspindle: answers where names live and carries requests.",
    tables: &[SETTINGS, config::TIME_SETTINGS],
    check: |_| Vec::new(),
};

/// The time values in the settings.
///
/// ```
/// let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
/// assert_eq!(data_plane::shell::times(&settings).poll_interval.as_millis(), 500);
/// ```
pub fn times(settings: &Settings) -> Times {
    let poll_interval = settings.duration("confirm-every-ms");
    let membership = membership::MembershipTiming {
        probe_interval: settings.duration("probe-every-ms"),
        suspicion_timeout: settings.duration("suspect-for-ms"),
    };
    let lifetime = settings.duration("address-lifetime-ms");
    Times {
        membership,
        poll_interval,
        answer_timeout: poll_interval.max(MIN_ANSWER_TIMEOUT),
        lifetime,
    }
}

/// This node, as others get to know it.
pub(crate) fn member(settings: &Settings, locality: &Locality) -> Member {
    let advertised = match settings.get("told") {
        "" => settings.get("link"),
        advertised => advertised,
    };
    Member {
        node: settings.get("node").into(),
        locality: locality.to_string(),
        roles: settings.get("serve").into(),
        probe_address: advertised.to_owned(),
        link_address: advertised.to_owned(),
        http_address: settings.get("http").into(),
        ..Member::default()
    }
}

/// The proxy, as request routing knows it.
pub(crate) fn proxy_context(settings: &Settings, locality: Locality) -> ProxyContext {
    let mut proxy = ProxyContext::new(
        settings.get("node"),
        locality,
        settings.duration("stale-after-ms"),
        settings.duration("wait-ms"),
    );
    proxy.ownership = match settings.get("owners") {
        "one" => OwnershipMode::SingleZone,
        _ => OwnershipMode::PerClientZone,
    };
    proxy.serve_stale_view = settings.get("out-of-touch") == "serve";
    proxy.distance_cost = DistanceCost {
        other_zone_ms: settings.count("far-zone-ms") as f64,
        other_region_ms: settings.count("far-region-ms") as f64,
    };
    let default = WarmUpTolerance::default();
    proxy.warm_up_tolerance = WarmUpTolerance {
        excess: settings.decimal("warm-up-excess").unwrap_or(default.excess),
        margin: settings.decimal("warm-up-margin").unwrap_or(default.margin),
    };
    proxy
}

pub(crate) fn node_options(settings: &Settings, clock: Clock) -> NodeOptions {
    NodeOptions {
        clock,
        keeps_connections: settings.get("keep-connections") == "yes",
        roles: settings.get("serve").into(),
        lifetime: settings.duration("address-lifetime-ms"),
    }
}
