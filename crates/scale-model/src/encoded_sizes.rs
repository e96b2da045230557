//! The encoded size of the same update in alternative encodings: real messages at a deployment's size.

use super::figures::Figures;
use super::request::{placement, upstream};
use super::size::Size;
use protocol::{
    ClusterState, Envelope, Heartbeats, Member, Message, Payload, Placement, Probe, Upstream,
    ViewUpdate,
};

/// The bytes of a frame's length in front of each message on a link.
const FRAME_HEADER_BYTES: usize = 4;
/// How many records are batched into one message, where a batch is compared with single messages.
const BATCH: usize = 100;

/// The encoded bytes of a full image, of changes of the configuration, the placement and an upstream's capacity, of
/// heartbeats passed between control nodes and of a membership probe, each in the encodings compared.
///
/// ```
/// let figures = scale_model::encoded_sizes(&scale_model::CURRENT_SIZE);
/// assert!(figures.get("image.by-need.bytes") < figures.get("image.bytes"));
/// assert!(figures.get("told-on.hundred.bytes") < figures.get("told-on.one.bytes"));
/// ```
pub fn encoded_sizes(size: &Size) -> Figures {
    let mut figures = Figures::default();
    let all: Vec<Upstream> = (0..size.upstreams).map(|at| upstream(size, at)).collect();
    add_images(&mut figures, size, &all);
    add_configuration_changes(&mut figures, size);
    add_placement_changes(&mut figures, size);
    add_capacity_changes(&mut figures, &all);
    add_heartbeats(&mut figures, &all);
    figures.add("probe.thirteen-records.bytes", frame_bytes(probe(size, 13)));
    figures.add("probe.own-record.bytes", frame_bytes(probe(size, 1)));
    figures
}

/// A full view with all upstreams, and with only those that one zone's data nodes send requests to.
fn add_images(figures: &mut Figures, size: &Size, all: &[Upstream]) {
    // A zone's data nodes send to the services of the names that the zone owns: one zone's part of the routes.
    let is_needed = |service: usize| {
        (0..size.routes).any(|route| route % size.zones == 0 && route % size.services == service)
    };
    let needed: Vec<Upstream> = (0..size.upstreams)
        .filter(|at| is_needed(at % size.services))
        .map(|at| all[at].clone())
        .collect();
    let whole = frame_bytes(image(size, all.to_vec()));
    figures.add("image.bytes", whole);
    figures.add("image.by-need.bytes", frame_bytes(image(size, needed)));
}

/// A configuration with one further route: sent whole, and as that route alone.
fn add_configuration_changes(figures: &mut Figures, size: &Size) {
    let with_configuration = |configuration: Vec<u8>| {
        change(ViewUpdate {
            state: Some(cluster_state()),
            configuration: Some(configuration),
            ..ViewUpdate::default()
        })
    };
    let whole = with_configuration(size.configuration(1).into_bytes());
    figures.add("setup-change.whole.bytes", frame_bytes(whole));
    let route = br#"{"id": "r1900", "name": "name-1900", "path": "/", "service": "service-340"}"#;
    let one_route = with_configuration(route.to_vec());
    figures.add("setup-change.one-route.bytes", frame_bytes(one_route));
}

/// A placement in which one name moved: sent whole, and as that name alone.
fn add_placement_changes(figures: &mut Figures, size: &Size) {
    let with_placement = |placement| {
        change(ViewUpdate {
            placement: Some(placement),
            ..ViewUpdate::default()
        })
    };
    let whole = placement(size);
    let one_name = Placement {
        reservations: whole.reservations[..1].to_vec(),
        epoch: 1,
        ..Placement::default()
    };
    let whole = frame_bytes(with_placement(whole));
    figures.add("placement-change.whole.bytes", whole);
    let one_name = frame_bytes(with_placement(one_name));
    figures.add("placement-change.one-name.bytes", one_name);
}

/// A change of one upstream's capacity, out of a batch: as the whole record, and as the capacity alone.
fn add_capacity_changes(figures: &mut Figures, all: &[Upstream]) {
    let with_upstreams = |upstreams| {
        change(ViewUpdate {
            upstreams,
            ..ViewUpdate::default()
        })
    };
    let whole = with_upstreams(batch(all));
    figures.add("room-change.whole-record.bytes", bytes_per_record(whole));
    let capacity = with_upstreams(batch(all).iter().map(capacity_alone).collect());
    figures.add("room-change.room-alone.bytes", bytes_per_record(capacity));
}

/// A heartbeat passed on between control nodes: alone, out of a batch, and as a digest out of a batch.
fn add_heartbeats(figures: &mut Figures, all: &[Upstream]) {
    let heartbeats = |upstreams| {
        Payload::Heartbeats(Heartbeats {
            upstreams,
            ..Heartbeats::default()
        })
    };
    let one = heartbeats(all[..1].to_vec());
    figures.add("told-on.one.bytes", frame_bytes(one));
    let whole = heartbeats(batch(all));
    figures.add("told-on.hundred.bytes", bytes_per_record(whole));
    let digests = heartbeats(batch(all).iter().map(capacity_alone).collect());
    figures.add("told-on.digest.bytes", bytes_per_record(digests));
}

/// The bytes of a message on a link, with its frame.
fn frame_bytes(body: Payload) -> f64 {
    let envelope = Envelope {
        from: "postmaster-0".into(),
        body: Some(body),
    };
    (envelope.encoded_len() + FRAME_HEADER_BYTES) as f64
}

/// One record's part of a message with a batch of them.
fn bytes_per_record(body: Payload) -> f64 {
    frame_bytes(body) / BATCH as f64
}

fn batch(all: &[Upstream]) -> Vec<Upstream> {
    all.iter().cycle().take(BATCH).cloned().collect()
}

fn capacity_alone(upstream: &Upstream) -> Upstream {
    Upstream {
        instance: upstream.instance.clone(),
        free_slots: upstream.free_slots,
        heartbeat_number: upstream.heartbeat_number,
        ..Upstream::default()
    }
}

fn cluster_state() -> ClusterState {
    ClusterState {
        revision: 1,
        digest: protocol::digest(b"setup"),
        ..ClusterState::default()
    }
}

/// A full view, as a data node receives it first.
fn image(size: &Size, upstreams: Vec<Upstream>) -> Payload {
    Payload::ViewUpdate(ViewUpdate {
        stream: u64::MAX,
        state: Some(cluster_state()),
        configuration: Some(size.configuration(0).into_bytes()),
        upstreams,
        placement: Some(placement(size)),
        ..ViewUpdate::default()
    })
}

/// An incremental update of a stream that has lasted for a while.
fn change(update: ViewUpdate) -> Payload {
    Payload::ViewUpdate(ViewUpdate {
        stream: u64::MAX,
        number: 300,
        ..update
    })
}

/// A membership probe that carries this many members' records.
fn probe(size: &Size, records: usize) -> Payload {
    let members = (0..records).map(|at| Member {
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
}
