//! Which control node a data-plane node follows and when it leaves it; which snapshots it applies; and the requests by
//! key that it reports.

use data_plane::{DataNode, Effect, Event, Start};
use protocol::{
    ClusterState, Freshness, KeyLoad, Member, Payload, Probe, ProbeReply, UpdateRequest, Upstream,
    ViewUpdate,
};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn member(node: &str, locality: &str, roles: &str) -> Member {
    let address = node.to_owned();
    Member {
        node: node.into(),
        locality: locality.into(),
        roles: roles.into(),
        incarnation: 1,
        probe_address: address.clone(),
        link_address: address,
        ..Member::default()
    }
}

/// A data-plane node in north/n1 that knows three control nodes.
fn data_node() -> DataNode {
    let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).expect("no flags");
    let me = member("c", "north/n1", "proxy,directory");
    let mut data_node = DataNode::new(Start {
        me,
        seeds: vec![],
        seed: 1,
        reader: Default::default(),
        times: data_plane::shell::times(&settings),
    });
    let members = [
        ("far", "south/s1"),
        ("region", "north/n2"),
        ("zone", "north/n1"),
    ]
    .map(|(node, locality)| member(node, locality, "postmaster"));
    let probe = Probe {
        members: members.to_vec(),
        ..Probe::default()
    };
    data_node.step(
        MS(0),
        Event::Datagram {
            address: "far".into(),
            body: Payload::Probe(probe),
        },
    );
    data_node
}

/// Steps to a moment, at which all answer its probes; gives the update request that it sent, and to whom.
fn tick_and_answer_probes(data_node: &mut DataNode, at: u64) -> Option<(String, UpdateRequest)> {
    let effects = data_node.step(MS(at), Event::Tick);
    effects.iter().for_each(|effect| {
        if let Effect::Datagram {
            address,
            body: Payload::Probe(probe),
        } = effect
        {
            let reply = ProbeReply {
                nonce: probe.nonce,
                node: address.clone(),
                ..ProbeReply::default()
            };
            data_node.step(
                MS(at),
                Event::Datagram {
                    address: address.clone(),
                    body: Payload::ProbeReply(reply),
                },
            );
        }
    });
    effects.into_iter().find_map(|effect| match effect {
        Effect::Send {
            to,
            body: Payload::UpdateRequest(request),
        } => Some((to, request)),
        _ => None,
    })
}

/// A control node answers with a snapshot and the age of its confirmation.
fn answer(data_node: &mut DataNode, at: u64, asked: &(String, UpdateRequest), age_ms: u64) {
    let (from, request) = asked.clone();
    let snapshot = ViewUpdate {
        age_ms: Some(age_ms),
        stream: 7,
        state: Some(ClusterState::default()),
        placement: Some(Default::default()),
        ..ViewUpdate::default()
    };
    if request.stream == 0 {
        data_node.step(
            MS(at),
            Event::Received {
                from: from.clone(),
                body: Payload::ViewUpdate(snapshot),
            },
        );
    }
    let freshness = Freshness {
        nonce: request.nonce,
        age_ms,
        stream: 7,
        number: 0,
        revision: 0,
    };
    data_node.step(
        MS(at),
        Event::Received {
            from,
            body: Payload::Freshness(freshness),
        },
    );
}

/// Ticks every 50 ms until it sends an update request.
fn next_request(data_node: &mut DataNode, from: u64) -> (u64, (String, UpdateRequest)) {
    (from..from + 5000)
        .step_by(50)
        .find_map(|at| tick_and_answer_probes(data_node, at).map(|asked| (at, asked)))
        .expect("it sends a request")
}

#[test]
fn it_follows_its_zone_then_its_region_then_the_others() {
    let mut data_node = data_node();
    let requests: Vec<(u64, String)> = (0..12)
        .scan(50, |from, _| {
            let (at, (to, _)) = next_request(&mut data_node, *from);
            *from = at + 50;
            Some((at, to))
        })
        .collect();
    let mut order: Vec<&str> = requests.iter().map(|(_, to)| to.as_str()).collect();
    order.dedup();
    // It asks its own zone again for a moment before it goes further.
    assert_eq!(order[..3], ["zone", "region", "far"]);
    assert!(
        requests
            .iter()
            .find(|(_, to)| to == "region")
            .is_some_and(|(at, _)| *at <= 1000),
        "{requests:?}"
    );
}

#[test]
fn it_leaves_a_control_node_that_is_cut_off_while_another_may_know_better() {
    let mut data_node = data_node();
    let (at, first) = next_request(&mut data_node, 50);
    answer(&mut data_node, at + 10, &first, 40);
    assert_eq!(data_node.view().as_of, Some(MS(at - 40)));
    let (at, second) = next_request(&mut data_node, at + 50);
    answer(&mut data_node, at + 10, &second, 540);
    assert_eq!(second.0, "zone");
    // It confirmed nothing for over a second: the next ask is for somebody else, and soon.
    let (at, third) = next_request(&mut data_node, at + 50);
    answer(&mut data_node, at + 10, &third, 1040);
    let (after, fourth) = next_request(&mut data_node, at + 50);
    assert_eq!((third.0.as_str(), fourth.0.as_str()), ("zone", "region"));
    assert!(after <= at + 200);
    answer(&mut data_node, after + 10, &fourth, 40);
    let (_, fifth) = next_request(&mut data_node, after + 50);
    assert_eq!(fifth.0, "region", "no way back and forth");
}

/// A snapshot as an answer to a request, with one upstream.
fn snapshot(request: &UpdateRequest, stream: u64, instance: &str) -> ViewUpdate {
    let upstream = Upstream {
        service: "s".into(),
        instance: instance.into(),
        ..Upstream::default()
    };
    ViewUpdate {
        stream,
        asked: request.nonce,
        state: Some(ClusterState::default()),
        upstreams: vec![upstream],
        ..ViewUpdate::default()
    }
}

fn upstreams_after(
    data_node: &mut DataNode,
    at: u64,
    from: &str,
    update: ViewUpdate,
) -> Vec<String> {
    data_node.step(
        MS(at),
        Event::Received {
            from: from.into(),
            body: Payload::ViewUpdate(update),
        },
    );
    let upstreams = data_node.view().upstreams.values();
    upstreams
        .flat_map(|upstreams| upstreams.keys().cloned())
        .collect()
}

/// A control node froze with a snapshot on its way, the data-plane node went elsewhere and came back: what lay in the
/// link showed upstreams that are long gone.
#[test]
fn a_snapshot_from_before_it_went_elsewhere_is_not_applied() {
    let mut data_node = data_node();
    let (at, first) = next_request(&mut data_node, 50);
    let (mut from, mut requests) = (at + 50, vec![]);
    while requests
        .last()
        .is_none_or(|(_, request): &(String, UpdateRequest)| {
            request.nonce == first.1.nonce || requests.len() < 9
        })
    {
        let (at, asked) = next_request(&mut data_node, from);
        (from, requests) = (at + 50, [requests, vec![asked]].concat());
    }
    let (source, request) = requests.last().unwrap().clone();
    let again = requests
        .iter()
        .rev()
        .find(|(to, _)| *to != source)
        .expect("it went elsewhere meanwhile");
    assert_eq!(
        upstreams_after(
            &mut data_node,
            from,
            &source,
            snapshot(&first.1, 5, "long-gone")
        ),
        Vec::<String>::new()
    );
    assert_eq!(
        upstreams_after(
            &mut data_node,
            from,
            &source,
            snapshot(&again.1, 6, "of-another")
        ),
        Vec::<String>::new()
    );
    assert_eq!(
        upstreams_after(
            &mut data_node,
            from,
            &source,
            snapshot(&request, 7, "present")
        ),
        ["present"]
    );
    assert_eq!(
        upstreams_after(
            &mut data_node,
            from,
            &source,
            snapshot(&request, 8, "twice")
        ),
        ["present"],
        "one snapshot for each request"
    );
}

#[test]
fn a_snapshot_that_answers_an_earlier_request_than_the_last_one_did_is_not_applied() {
    let mut data_node = data_node();
    let (at, first) = next_request(&mut data_node, 50);
    answer(&mut data_node, at + 10, &first, 40);
    let (at, second) = next_request(&mut data_node, at + 50);
    answer(&mut data_node, at + 10, &second, 40);
    let (at, third) = next_request(&mut data_node, at + 50);
    assert_eq!(
        (first.0.as_str(), second.0.as_str(), third.0.as_str()),
        ("zone", "zone", "zone")
    );
    assert_eq!(
        upstreams_after(&mut data_node, at, "zone", snapshot(&third.1, 9, "present")),
        ["present"]
    );
    assert_eq!(
        upstreams_after(&mut data_node, at, "zone", snapshot(&second.1, 8, "older")),
        ["present"]
    );
}

#[test]
fn it_tries_each_once_where_all_are_old_and_then_stays() {
    let mut data_node = data_node();
    let (mut from, mut sources) = (50, Vec::new());
    (0..8).for_each(|_| {
        let (at, asked) = next_request(&mut data_node, from);
        answer(&mut data_node, at + 10, &asked, 1500);
        sources.push(asked.0);
        from = at + 50;
    });
    assert_eq!(
        sources,
        ["zone", "region", "far", "far", "far", "far", "far", "far"]
    );
}

/// A data-plane node that is fresh by what its zone's control node confirmed, which answers no more; gives when it asks
/// the next one.
fn left_by_its_zone() -> (DataNode, u64, (String, UpdateRequest)) {
    let mut data_node = data_node();
    let (at, zone) = next_request(&mut data_node, 3000);
    answer(&mut data_node, at + 10, &zone, 40);
    assert_eq!(
        (zone.0.as_str(), data_node.view().as_of),
        ("zone", Some(MS(at - 40)))
    );
    let (at, asked) = (at + 50..at + 5000)
        .step_by(50)
        .find_map(|at| {
            tick_and_answer_probes(&mut data_node, at)
                .filter(|(to, _)| to == "region")
                .map(|asked| (at, asked))
        })
        .expect("it goes on to another one");
    (data_node, at, asked)
}

/// A snapshot that shows an upstream, and the confirmation that follows it.
fn answer_with_upstream(
    data_node: &mut DataNode,
    at: u64,
    asked: &(String, UpdateRequest),
    age_ms: u64,
) {
    let upstream = protocol::Upstream {
        service: "s".into(),
        instance: "left".into(),
        ..Default::default()
    };
    let snapshot = ViewUpdate {
        stream: 9,
        state: Some(ClusterState::default()),
        upstreams: vec![upstream],
        age_ms: Some(age_ms),
        ..ViewUpdate::default()
    };
    let (from, request) = asked.clone();
    data_node.step(
        MS(at),
        Event::Received {
            from: from.clone(),
            body: Payload::ViewUpdate(snapshot),
        },
    );
    let freshness = Freshness {
        nonce: request.nonce,
        age_ms,
        stream: 9,
        number: 0,
        revision: 0,
    };
    data_node.step(
        MS(at),
        Event::Received {
            from,
            body: Payload::Freshness(freshness),
        },
    );
}

/// Its zone's control node reported that an upstream left; the next one had been cut off since, and still shows it. The
/// view counted as fresh by what the first had confirmed.
#[test]
fn a_view_is_as_old_as_the_snapshot_that_it_came_with() {
    let (mut data_node, at, region) = left_by_its_zone();
    // Its confirmation is from before that of the zone's control node.
    let age_ms = 900;
    assert!(data_node.view().as_of > Some(MS(at - age_ms)));
    answer_with_upstream(&mut data_node, at + 10, &region, age_ms);
    assert_eq!(
        data_node.view().as_of,
        Some(MS(at - age_ms)),
        "what it shows is no newer than that"
    );
}

/// A control node whose confirmation is over a second old may be cut off: its snapshot does not replace what is known to
/// be newer.
#[test]
fn a_snapshot_of_a_control_node_that_may_be_cut_off_replaces_nothing_newer() {
    let (mut data_node, at, region) = left_by_its_zone();
    let as_of = data_node.view().as_of;
    answer_with_upstream(&mut data_node, at + 10, &region, 1900);
    assert!(data_node.view().upstreams.is_empty() && data_node.view().as_of == as_of);
}

fn counted(service: &str, parts: &[u32], counts: &[u32]) -> KeyLoad {
    KeyLoad {
        service: service.into(),
        parts: parts.to_vec(),
        counts: counts.to_vec(),
        ..KeyLoad::default()
    }
}

/// No request goes out between two counts where an answer is awaited.
#[test]
fn counts_by_key_are_added_to_those_not_reported_yet() {
    let mut data_node = data_node();
    [
        vec![counted("s", &[3, 9], &[5, 1])],
        vec![
            counted("r", &[1], &[u32::MAX]),
            counted("s", &[2, 9], &[7, 4]),
        ],
    ]
    .into_iter()
    .chain([vec![counted("r", &[1], &[1])]])
    .for_each(|loads| {
        data_node.step(MS(40), Event::KeyLoadsCounted(loads));
    });
    let (at, first) = next_request(&mut data_node, 50);
    assert_eq!(
        first.1.loads,
        [
            counted("r", &[1], &[u32::MAX]),
            counted("s", &[2, 3, 9], &[7, 5, 5])
        ]
    );
    answer(&mut data_node, at + 10, &first, 40);
    let (_, second) = next_request(&mut data_node, at + 50);
    assert_eq!(second.1.loads, [], "each is reported once");
}

#[test]
fn counts_that_nobody_asked_for_in_long_are_dropped() {
    let mut data_node = data_node();
    (0..100).for_each(|at| {
        data_node.step(
            MS(40),
            Event::KeyLoadsCounted(vec![counted("s", &[at], &[1])]),
        );
    });
    let (_, asked) = next_request(&mut data_node, 50);
    assert_eq!(
        asked.1.loads,
        [counted("s", &[94, 95, 96, 97, 98, 99], &[1; 6])]
    );
}

/// Every control node takes longer than a data-plane node waits, as after a restart of all: each snapshot came from one
/// that had been left, and was dropped, and no data-plane node ever had the newer configuration.
#[test]
fn a_snapshot_that_came_late_is_applied_where_it_is_newer() {
    let (mut data_node, at, region) = left_by_its_zone();
    let (left_at, _) = (at + 50..at + 5000)
        .step_by(50)
        .find_map(|at| {
            tick_and_answer_probes(&mut data_node, at)
                .filter(|(to, _)| to != "region")
                .map(|asked| (at, asked))
        })
        .expect("it leaves that one too");
    let late = ViewUpdate {
        age_ms: Some(40),
        ..snapshot(&region.1, 9, "new")
    };
    assert_eq!(
        upstreams_after(&mut data_node, left_at + 100, "region", late),
        ["new"]
    );
    assert_eq!(
        data_node.view().as_of,
        Some(MS(at - 40)),
        "as old as its question"
    );
}

/// Guards against a proxy that sends to a zone as to a warm one, since it heard of its evacuation's end and not yet of the cold.
#[test]
fn heartbeats_of_a_zone_whose_evacuation_has_just_ended_may_be_missing() {
    let mut data_node = data_node();
    let (mut at, mut asked) = next_request(&mut data_node, 50);
    while at < 5000 {
        answer(&mut data_node, at + 10, &asked, 40);
        (at, asked) = next_request(&mut data_node, at + 50);
    }
    answer(&mut data_node, at + 10, &asked, 40);
    let mut update = |number, evacuated: &[&str]| {
        let state = ClusterState {
            revision: number,
            evacuated: evacuated.iter().map(|zone| zone.to_string()).collect(),
            ..ClusterState::default()
        };
        let body = Payload::ViewUpdate(ViewUpdate {
            stream: 7,
            number,
            state: Some(state),
            ..ViewUpdate::default()
        });
        let from = asked.0.clone();
        data_node.step(MS(at + 20), Event::Received { from, body });
        let view = data_node.view();
        ["south/s1", "north/n1"].map(|zone| view.may_lack_heartbeats(MS(at + 20), zone))
    };
    assert_eq!(update(1, &["south/s1"]), [false, false]);
    assert_eq!(update(2, &[]), [true, false]);
}
