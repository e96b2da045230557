//! Which postmaster a carrier follows, and when it leaves it.

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

/// A carrier in north/n1 that knows three postmasters.
fn carrier() -> DataNode {
    let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).expect("no flags");
    let me = member("c", "north/n1", "proxy,directory");
    let mut carrier = DataNode::new(Start {
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
    carrier.step(
        MS(0),
        Event::Datagram {
            address: "far".into(),
            body: Payload::Probe(probe),
        },
    );
    carrier
}

/// Steps to a moment, at which all answer its probes; gives whom it asked.
fn asked(carrier: &mut DataNode, at: u64) -> Option<(String, UpdateRequest)> {
    let effects = carrier.step(MS(at), Event::Tick);
    effects.iter().for_each(|effect| {
        if let Effect::Datagram {
            address,
            body: Payload::Probe(probe),
        } = effect
        {
            let heard = ProbeReply {
                nonce: probe.nonce,
                node: address.clone(),
                ..ProbeReply::default()
            };
            carrier.step(
                MS(at),
                Event::Datagram {
                    address: address.clone(),
                    body: Payload::ProbeReply(heard),
                },
            );
        }
    });
    effects.into_iter().find_map(|effect| match effect {
        Effect::Send {
            to,
            body: Payload::UpdateRequest(ask),
        } => Some((to, ask)),
        _ => None,
    })
}

/// A postmaster answers with an image and the age of its confirmation.
fn answer(carrier: &mut DataNode, at: u64, asked: &(String, UpdateRequest), age_ms: u64) {
    let (from, ask) = asked.clone();
    let image = ViewUpdate {
        age_ms: Some(age_ms),
        stream: 7,
        state: Some(ClusterState::default()),
        placement: Some(Default::default()),
        ..ViewUpdate::default()
    };
    if ask.stream == 0 {
        carrier.step(
            MS(at),
            Event::Received {
                from: from.clone(),
                body: Payload::ViewUpdate(image),
            },
        );
    }
    let fresh = Freshness {
        nonce: ask.nonce,
        age_ms,
        stream: 7,
        number: 0,
        revision: 0,
    };
    carrier.step(
        MS(at),
        Event::Received {
            from,
            body: Payload::Freshness(fresh),
        },
    );
}

/// Ticks every 50 ms until it asks.
fn next(carrier: &mut DataNode, from: u64) -> (u64, (String, UpdateRequest)) {
    (from..from + 5000)
        .step_by(50)
        .find_map(|at| asked(carrier, at).map(|asked| (at, asked)))
        .expect("it asks")
}

#[test]
fn it_follows_its_zone_then_its_region_then_the_others() {
    let mut carrier = carrier();
    let asks: Vec<(u64, String)> = (0..12)
        .scan(50, |from, _| {
            let (at, (to, _)) = next(&mut carrier, *from);
            *from = at + 50;
            Some((at, to))
        })
        .collect();
    let mut request: Vec<&str> = asks.iter().map(|(_, to)| to.as_str()).collect();
    request.dedup();
    // It asks its own zone again for a moment before it goes further.
    assert_eq!(request[..3], ["zone", "region", "far"]);
    assert!(
        asks.iter()
            .find(|(_, to)| to == "region")
            .is_some_and(|(at, _)| *at <= 1000),
        "{asks:?}"
    );
}

#[test]
fn it_leaves_a_postmaster_that_is_cut_off_while_another_may_know_better() {
    let mut carrier = carrier();
    let (at, first) = next(&mut carrier, 50);
    answer(&mut carrier, at + 10, &first, 40);
    assert_eq!(carrier.view().as_of, Some(MS(at - 40)));
    let (at, second) = next(&mut carrier, at + 50);
    answer(&mut carrier, at + 10, &second, 540);
    assert_eq!(second.0, "zone");
    // It confirmed nothing for over a second: the next ask is for somebody else, and soon.
    let (at, third) = next(&mut carrier, at + 50);
    answer(&mut carrier, at + 10, &third, 1040);
    let (after, fourth) = next(&mut carrier, at + 50);
    assert_eq!((third.0.as_str(), fourth.0.as_str()), ("zone", "region"));
    assert!(after <= at + 200);
    answer(&mut carrier, after + 10, &fourth, 40);
    let (_, fifth) = next(&mut carrier, after + 50);
    assert_eq!(fifth.0, "region", "no way back and forth");
}

/// An image as an answer to a question, with one upstream.
fn image(ask: &UpdateRequest, stream: u64, instance: &str) -> ViewUpdate {
    let upstream = Upstream {
        service: "s".into(),
        instance: instance.into(),
        ..Upstream::default()
    };
    ViewUpdate {
        stream,
        asked: ask.nonce,
        state: Some(ClusterState::default()),
        upstreams: vec![upstream],
        ..ViewUpdate::default()
    }
}

fn told(carrier: &mut DataNode, at: u64, from: &str, news: ViewUpdate) -> Vec<String> {
    carrier.step(
        MS(at),
        Event::Received {
            from: from.into(),
            body: Payload::ViewUpdate(news),
        },
    );
    let upstreams = carrier.view().upstreams.values();
    upstreams.flat_map(|known| known.keys().cloned()).collect()
}

/// A control node froze with an image on its way, the carrier went elsewhere and came back: what lay in the link told of
/// upstreams that are long gone.
#[test]
fn an_image_from_before_it_went_elsewhere_is_not_taken() {
    let mut carrier = carrier();
    let (at, first) = next(&mut carrier, 50);
    let (mut from, mut asks) = (at + 50, vec![]);
    while asks
        .last()
        .is_none_or(|(_, ask): &(String, UpdateRequest)| {
            ask.nonce == first.1.nonce || asks.len() < 9
        })
    {
        let (at, asked) = next(&mut carrier, from);
        (from, asks) = (at + 50, [asks, vec![asked]].concat());
    }
    let (source, ask) = asks.last().unwrap().clone();
    let again = asks
        .iter()
        .rev()
        .find(|(to, _)| *to != source)
        .expect("it went elsewhere meanwhile");
    assert_eq!(
        told(&mut carrier, from, &source, image(&first.1, 5, "long-gone")),
        Vec::<String>::new()
    );
    assert_eq!(
        told(
            &mut carrier,
            from,
            &source,
            image(&again.1, 6, "of-another")
        ),
        Vec::<String>::new()
    );
    assert_eq!(
        told(&mut carrier, from, &source, image(&ask, 7, "present")),
        ["present"]
    );
    assert_eq!(
        told(&mut carrier, from, &source, image(&ask, 8, "twice")),
        ["present"],
        "one image for each question"
    );
}

#[test]
fn an_image_that_answers_an_earlier_question_than_the_last_one_did_is_not_taken() {
    let mut carrier = carrier();
    let (at, first) = next(&mut carrier, 50);
    answer(&mut carrier, at + 10, &first, 40);
    let (at, second) = next(&mut carrier, at + 50);
    answer(&mut carrier, at + 10, &second, 40);
    let (at, third) = next(&mut carrier, at + 50);
    assert_eq!(
        (first.0.as_str(), second.0.as_str(), third.0.as_str()),
        ("zone", "zone", "zone")
    );
    assert_eq!(
        told(&mut carrier, at, "zone", image(&third.1, 9, "present")),
        ["present"]
    );
    assert_eq!(
        told(&mut carrier, at, "zone", image(&second.1, 8, "older")),
        ["present"]
    );
}

#[test]
fn it_tries_each_once_where_all_are_old_and_then_stays() {
    let mut carrier = carrier();
    let (mut from, mut request) = (50, Vec::new());
    (0..8).for_each(|_| {
        let (at, asked) = next(&mut carrier, from);
        answer(&mut carrier, at + 10, &asked, 1500);
        request.push(asked.0);
        from = at + 50;
    });
    assert_eq!(
        request,
        ["zone", "region", "far", "far", "far", "far", "far", "far"]
    );
}

/// A carrier that is fresh by what its zone's postmaster told, which answers no more; gives when it asks the next one.
fn left_by_its_zone() -> (DataNode, u64, (String, UpdateRequest)) {
    let mut carrier = carrier();
    let (at, zone) = next(&mut carrier, 3000);
    answer(&mut carrier, at + 10, &zone, 40);
    assert_eq!(
        (zone.0.as_str(), carrier.view().as_of),
        ("zone", Some(MS(at - 40)))
    );
    let (at, asked) = (at + 50..at + 5000)
        .step_by(50)
        .find_map(|at| {
            asked(&mut carrier, at)
                .filter(|(to, _)| to == "region")
                .map(|asked| (at, asked))
        })
        .expect("it goes on to another one");
    (carrier, at, asked)
}

/// An image that shows an upstream, and the freshness that follows it.
fn answer_with_upstream(
    carrier: &mut DataNode,
    at: u64,
    asked: &(String, UpdateRequest),
    age_ms: u64,
) {
    let upstream = protocol::Upstream {
        service: "s".into(),
        instance: "left".into(),
        ..Default::default()
    };
    let image = ViewUpdate {
        stream: 9,
        state: Some(ClusterState::default()),
        upstreams: vec![upstream],
        age_ms: Some(age_ms),
        ..ViewUpdate::default()
    };
    let (from, ask) = asked.clone();
    carrier.step(
        MS(at),
        Event::Received {
            from: from.clone(),
            body: Payload::ViewUpdate(image),
        },
    );
    let fresh = Freshness {
        nonce: ask.nonce,
        age_ms,
        stream: 9,
        number: 0,
        revision: 0,
    };
    carrier.step(
        MS(at),
        Event::Received {
            from,
            body: Payload::Freshness(fresh),
        },
    );
}

/// Its zone's postmaster told that an upstream left; the next one had been cut off since, and still shows it. The view
/// counted as fresh by what the first had told.
#[test]
fn a_view_is_as_old_as_the_image_that_it_came_with() {
    let (mut carrier, at, region) = left_by_its_zone();
    // Its confirmation is from before that of the zone's postmaster.
    let age_ms = 900;
    assert!(carrier.view().as_of > Some(MS(at - age_ms)));
    answer_with_upstream(&mut carrier, at + 10, &region, age_ms);
    assert_eq!(
        carrier.view().as_of,
        Some(MS(at - age_ms)),
        "what it shows is no newer than that"
    );
}

/// One whose confirmation is over a second old may be cut off: what it shows is not taken for what is known to be newer.
#[test]
fn an_image_of_a_doubted_postmaster_replaces_nothing_newer() {
    let (mut carrier, at, region) = left_by_its_zone();
    let as_of = carrier.view().as_of;
    answer_with_upstream(&mut carrier, at + 10, &region, 1900);
    assert!(carrier.view().upstreams.is_empty() && carrier.view().as_of == as_of);
}

fn counted(service: &str, parts: &[u32], counts: &[u32]) -> KeyLoad {
    KeyLoad {
        service: service.into(),
        parts: parts.to_vec(),
        counts: counts.to_vec(),
    }
}

/// No question goes out between two counts where an answer is waited for.
#[test]
fn counts_by_key_are_added_to_those_not_told_yet() {
    let mut carrier = carrier();
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
        carrier.step(MS(40), Event::KeyLoadsCounted(loads));
    });
    let (at, first) = next(&mut carrier, 50);
    assert_eq!(
        first.1.loads,
        [
            counted("r", &[1], &[u32::MAX]),
            counted("s", &[2, 3, 9], &[7, 5, 5])
        ]
    );
    answer(&mut carrier, at + 10, &first, 40);
    let (_, second) = next(&mut carrier, at + 50);
    assert_eq!(second.1.loads, [], "each is told once");
}

#[test]
fn counts_that_nobody_asked_for_in_long_are_dropped() {
    let mut carrier = carrier();
    (0..100).for_each(|at| {
        carrier.step(
            MS(40),
            Event::KeyLoadsCounted(vec![counted("s", &[at], &[1])]),
        );
    });
    let (_, asked) = next(&mut carrier, 50);
    assert_eq!(
        asked.1.loads,
        [counted("s", &[94, 95, 96, 97, 98, 99], &[1; 6])]
    );
}

/// Every postmaster takes longer than a carrier waits, as after a restart of all: each image came from one that had been
/// left, and was dropped, and no carrier ever had the newer configuration.
#[test]
fn an_image_that_came_late_is_taken_where_it_is_newer() {
    let (mut carrier, at, region) = left_by_its_zone();
    let (left_at, _) = (at + 50..at + 5000)
        .step_by(50)
        .find_map(|at| {
            asked(&mut carrier, at)
                .filter(|(to, _)| to != "region")
                .map(|asked| (at, asked))
        })
        .expect("it leaves that one too");
    let late = ViewUpdate {
        age_ms: Some(40),
        ..image(&region.1, 9, "new")
    };
    assert_eq!(told(&mut carrier, left_at + 100, "region", late), ["new"]);
    assert_eq!(
        carrier.view().as_of,
        Some(MS(at - 40)),
        "as old as its question"
    );
}
