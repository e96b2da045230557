//! What the same update comes to on the wire when it is encoded in another way: real messages, encoded, at some size.

use super::figures::Figures;
use super::request::{placement, upstream};
use super::size::Size;
use protocol::{
    ClusterState, Envelope, Heartbeats, Member, Message, Payload, Placement, Probe, Upstream,
    ViewUpdate,
};

/// Encoded bytes of each encoding.
///
/// ```
/// let figures = scale_model::encoded_sizes(&scale_model::CURRENT_SIZE);
/// assert!(figures.get("image.by-need.bytes") < figures.get("image.bytes"));
/// assert!(figures.get("told-on.hundred.bytes") < figures.get("told-on.one.bytes"));
/// ```
pub fn encoded_sizes(size: &Size) -> Figures {
    let mut figures = Figures::default();
    let mut add = |name: &str, body: Payload, parts: usize| {
        let envelope = Envelope {
            from: "postmaster-0".into(),
            body: Some(body),
        };
        figures.add(name, (envelope.encoded_len() + 4) as f64 / parts as f64);
    };
    let all: Vec<Upstream> = (0..size.upstreams).map(|at| upstream(size, at)).collect();
    let state = || {
        Some(ClusterState {
            revision: 1,
            digest: protocol::digest(b"setup"),
            ..ClusterState::default()
        })
    };
    let placed = placement(size);
    let image = |upstreams| {
        let (state, configuration, placement) = (
            state(),
            Some(size.configuration(0).into_bytes()),
            Some(placed.clone()),
        );
        Payload::ViewUpdate(ViewUpdate {
            stream: u64::MAX,
            state,
            configuration,
            upstreams,
            placement,
            ..ViewUpdate::default()
        })
    };
    // A zone's data nodes send to the services of the names that it owns: one zone's part of the routes.
    let here = |service: usize| {
        (0..size.routes).any(|route| route % size.zones == 0 && route % size.services == service)
    };
    let needed: Vec<Upstream> = (0..size.upstreams)
        .filter(|at| here(at % size.services))
        .map(|at| all[at].clone())
        .collect();
    add("image.bytes", image(all.clone()), 1);
    add("image.by-need.bytes", image(needed), 1);
    let change = |update| {
        Payload::ViewUpdate(ViewUpdate {
            stream: u64::MAX,
            number: 300,
            ..update
        })
    };
    let configuration = Some(size.configuration(1).into_bytes());
    add(
        "setup-change.whole.bytes",
        change(ViewUpdate {
            state: state(),
            configuration,
            ..ViewUpdate::default()
        }),
        1,
    );
    let route = br#"{"id": "r1900", "name": "name-1900", "path": "/", "service": "service-340"}"#;
    add(
        "setup-change.one-route.bytes",
        change(ViewUpdate {
            state: state(),
            configuration: Some(route.to_vec()),
            ..ViewUpdate::default()
        }),
        1,
    );
    let placement_change = |placement| {
        change(ViewUpdate {
            placement: Some(placement),
            ..ViewUpdate::default()
        })
    };
    let one = Placement {
        reservations: placed.reservations[..1].to_vec(),
        epoch: 1,
        ..Placement::default()
    };
    add("placement-change.whole.bytes", placement_change(placed), 1);
    add("placement-change.one-name.bytes", placement_change(one), 1);
    let room = |upstreams| {
        change(ViewUpdate {
            upstreams,
            ..ViewUpdate::default()
        })
    };
    add(
        "room-change.whole-record.bytes",
        room(all.iter().cycle().take(100).cloned().collect()),
        100,
    );
    let slots = |upstream: &Upstream| Upstream {
        instance: upstream.instance.clone(),
        free_slots: upstream.free_slots,
        heartbeat_number: upstream.heartbeat_number,
        ..Upstream::default()
    };
    add(
        "room-change.room-alone.bytes",
        room(all.iter().cycle().take(100).map(slots).collect()),
        100,
    );
    let heartbeats = |upstreams| {
        Payload::Heartbeats(Heartbeats {
            upstreams,
            ..Heartbeats::default()
        })
    };
    add("told-on.one.bytes", heartbeats(all[..1].to_vec()), 1);
    add(
        "told-on.hundred.bytes",
        heartbeats(all.iter().cycle().take(100).cloned().collect()),
        100,
    );
    add(
        "told-on.digest.bytes",
        heartbeats(all.iter().cycle().take(100).map(slots).collect()),
        100,
    );
    let probe = |count: usize| {
        let members = (0..count).map(|at| Member {
            node: format!("carrier-{at}"),
            incarnation: 1,
            locality: size.locality(size.zone(at)),
            roles: "proxy,directory".into(),
            probe_address: format!("10.100.0.{}:7100", at % 250),
            link_address: format!("10.100.0.{}:7000", at % 250),
            http_address: format!("10.100.0.{}:8000", at % 250),
            ..Member::default()
        });
        Payload::Probe(Probe {
            nonce: u64::MAX,
            members: members.collect(),
            ..Probe::default()
        })
    };
    add("probe.thirteen-records.bytes", probe(13), 1);
    add("probe.own-record.bytes", probe(1), 1);
    figures
}
