//! The thin shell of a carrier: sockets and timers around its core and its node.

use crate::api_adapter::{ApiAdapter, ListenerKind};
use crate::data_node::{DataNode, Effect, Event, Phase, Start, Times};
use crate::node::{Node, NodeOptions};
use config::{Setting, SettingType, Settings};
use error_stack::{Report, ResultExt};
use locality::Locality;
use name_directory::OwnershipMode;
use protocol::{Envelope, Member, Message};
use request_routing::{DistanceCost, ProxyContext};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use transport::{Arrival, Clock, Links, Listeners, Program, StartError};

const TICK: Duration = Duration::from_millis(20);
const MAX_ARRIVALS: usize = 1024;
/// A closing process ends by then, whatever is still under way.
const CLOSE_BY: Duration = Duration::from_millis(5500);

const CLOSING: &str = "not ready any more, serving on while addresses live";
const DENYING: &str = "enrolling no more, finishing what is under way";

/// Settings of a carrier, beside the time values.
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
        "where origins, upstreams and operators call (HTTP)",
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
        "directory",
        SettingType::Addresses,
        Some(""),
        "where origins ask for names, where it is not 'http' itself",
    ),
    setting(
        "readiness",
        SettingType::Addresses,
        Some(""),
        "where readiness is asked for, where it is not 'http' itself",
    ),
    setting(
        "owners",
        SettingType::OneOf(&["one", "by-caller"]),
        Some("one"),
        "who owns a name: one locality, or one for each",
    ),
    setting(
        "out-of-touch",
        SettingType::OneOf(&["stop", "serve"]),
        Some("stop"),
        "what to do with a view that is too old",
    ),
    setting(
        "keep-connections",
        SettingType::OneOf(&["no", "yes"]),
        Some("no"),
        "whether connections to upstreams are reused",
    ),
    setting(
        "far-zone-ms",
        SettingType::Integer(0, 10_000),
        Some("20"),
        "what another zone costs beside an upstream's work",
    ),
    setting(
        "far-region-ms",
        SettingType::Integer(0, 10_000),
        Some("60"),
        "what another region costs beside its work",
    ),
    setting(
        "serve",
        SettingType::SomeOf(&["proxy", "directory"]),
        Some("proxy,directory"),
        "its roles",
    ),
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

/// What the carrier says of itself.
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
    let membership = membership::Times {
        probe_every: settings.duration("probe-every-ms"),
        suspect_for: settings.duration("suspect-for-ms"),
    };
    let lifetime = settings.duration("address-lifetime-ms");
    Times {
        membership,
        poll_interval,
        answer_timeout: poll_interval.max(Duration::from_millis(200)),
        lifetime,
    }
}

/// Runs a carrier until it is told to close. An error is why it could not start.
///
/// ```no_run
/// # async fn run(settings: config::Settings) {
/// data_plane::shell::run(settings, data_plane::ApiAdapter::own()).await.unwrap();
/// # }
/// ```
pub async fn run(settings: Settings, api_adapter: ApiAdapter) -> Result<(), Report<StartError>> {
    let clock = Clock::default();
    let mut reload = transport::reload_signal(&PROGRAM, &settings);
    let Listeners { http, link, probe } = Listeners::open(&settings).await?;
    let locality = settings.get("locality").parse::<Locality>();
    let locality = locality.change_context_lazy(|| StartError::new("locality"))?;
    let told = Some(settings.get("told"))
        .filter(|told| !told.is_empty())
        .unwrap_or(settings.get("link"))
        .to_owned();
    let me = Member {
        node: settings.get("node").into(),
        locality: locality.to_string(),
        roles: settings.get("serve").into(),
        probe_address: told.clone(),
        link_address: told,
        http_address: settings.get("http").into(),
        ..Member::default()
    };
    log::info!(
        "start: carrier {} in {locality}, serving {}",
        me.node,
        me.roles
    );
    let lifetime = settings.duration("address-lifetime-ms");
    let mut site = ProxyContext::new(
        &me.node,
        locality,
        settings.duration("stale-after-ms"),
        settings.duration("wait-ms"),
    );
    site.ownership = if settings.get("owners") == "one" {
        OwnershipMode::SingleZone
    } else {
        OwnershipMode::PerClientZone
    };
    site.serve_stale_view = settings.get("out-of-touch") == "serve";
    site.distance_cost = DistanceCost {
        other_zone_ms: settings.count("far-zone-ms") as f64,
        other_region_ms: settings.count("far-region-ms") as f64,
    };
    let reader = api_adapter.reader;
    let keeps_connections = settings.get("keep-connections") == "yes";
    let node = Node::new(
        site,
        api_adapter,
        NodeOptions {
            clock,
            keeps_connections,
            roles: me.roles.clone(),
            lifetime,
        },
    );
    let node = Arc::new(node);
    let (arrivals, mut arrived) = mpsc::channel(MAX_ARRIVALS);
    let links = Links::open(me.node.clone(), Some(link), arrivals);
    let mut carrier = DataNode::new(Start {
        me,
        seeds: transport::seed_addresses(&settings),
        seed: transport::random_seed(),
        reader,
        times: times(&settings),
    });
    let (close, closing) = watch::channel(false);
    let doors = [
        ("directory", ListenerKind::Directory),
        ("readiness", ListenerKind::Readiness),
    ];
    let mut sockets = vec![(ListenerKind::Front, http)];
    for (name, door) in doors
        .into_iter()
        .filter(|(name, _)| !settings.get(name).is_empty())
    {
        sockets.push((door, transport::listen(&settings, name).await?));
    }
    let servers = sockets.into_iter().map(|(door, socket)| {
        let handler = node.clone();
        tokio::spawn(transport::serve(
            socket,
            closing.clone(),
            move |http_request| handler.clone().serve(door, http_request),
        ))
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
            Some(Arrival { from, payload: body }) = arrived.recv() => Event::Received { from, body },
            Ok((count, address)) = probe.recv_from(&mut datagram) => {
                match Envelope::decode(&datagram[..count]).ok().and_then(|parcel| parcel.body) {
                    Some(body) => Event::Datagram { address: address.to_string(), body },
                    None => continue,
                }
            }
            seeds = reload.changed_seeds() => Event::SeedsChanged(seeds),
            _ = &mut stop, if carrier.phase() == Phase::Serving => Event::Shutdown,
        };
        let now = clock.now();
        let effects = carrier.step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => links.send(&to, body),
            Effect::Datagram { address, body } => transport::send_datagram(&probe, &address, body),
            Effect::Addresses(book) => {
                links.set_addresses(book.into_iter().collect());
                node.learn_control_nodes(carrier.control_nodes());
            }
            Effect::Publish => {
                node.publish(carrier.view().clone());
            }
            Effect::Phase(phase) => {
                log::info!(
                    "close: {}",
                    if phase == Phase::Rejecting {
                        DENYING
                    } else {
                        CLOSING
                    }
                );
                node.close(phase == Phase::Rejecting);
            }
            Effect::Log(text) => log::info!("news: {text}"),
        });
        if now >= next_sweep {
            next_sweep = now + Duration::from_secs(1);
            carrier.step(now, Event::KeyLoadsCounted(node.sweep(now)));
            log::debug!("links: {:?}", links.sent_counts());
        }
        if carrier.phase() == Phase::Rejecting {
            break;
        }
    }
    let _ = close.send(true);
    let _ = tokio::time::timeout(CLOSE_BY.saturating_sub(lifetime), server).await;
    Ok(())
}
