//! What control nodes tell one another of upstreams, and how lost news is made good.

use control_plane::{ControlNode, ControlRequest, Effect, Event, Start};
use protocol::{
    HeartbeatDigest, Member, Message, Payload, Probe, ProbeReply, Upstream, UpstreamsReply,
    UpstreamsRequest,
};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn member(node: &str, locality: &str) -> Member {
    Member {
        node: node.into(),
        locality: locality.into(),
        roles: "postmaster".into(),
        incarnation: 1,
        probe_address: node.into(),
        link_address: node.into(),
        ..Member::default()
    }
}

/// A control node that knows one other in its zone, and two in another region.
fn control(node: &str) -> ControlNode {
    let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).expect("no flags");
    let all = [
        ("a", "north/n1"),
        ("b", "north/n1"),
        ("c", "south/s1"),
        ("d", "south/s2"),
    ];
    let place = all
        .iter()
        .find(|(other, _)| *other == node)
        .map(|(_, place)| *place)
        .unwrap_or_default();
    let mut control = ControlNode::new(Start {
        reader: Default::default(),
        owners: Default::default(),
        me: member(node, place),
        seeds: vec![],
        initial_voter_count: 4,
        seed: 1,
        durable: Default::default(),
        configurations: Default::default(),
        departures: vec![],
        times: control_plane::daemon::times(&settings),
    });
    let members = all
        .iter()
        .filter(|(other, _)| *other != node)
        .map(|(node, place)| member(node, place))
        .collect();
    let probe = Probe {
        members,
        ..Probe::default()
    };
    control.step(
        MS(0),
        Event::Datagram {
            address: "b".into(),
            body: Payload::Probe(probe),
        },
    );
    control
}

fn unit(heartbeat_number: u64, state: protocol::UpstreamState) -> Upstream {
    Upstream {
        service: "s".into(),
        instance: "u".into(),
        address: "127.0.0.1:9".into(),
        locality: "north/n1".into(),
        heartbeat_number,
        state: state.into(),
        free_slots: 4,
        ..Upstream::default()
    }
}

/// What it says of upstreams on an event, to whom.
fn said(control: &mut ControlNode, at: u64, event: Event) -> Vec<(String, Payload)> {
    let effects = control.step(MS(at), event);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                to,
                body: body @ (Payload::HeartbeatDigest(_) | Payload::Heartbeats(_)),
            } => Some((to, body)),
            Effect::Send {
                to,
                body: Payload::UpstreamsRequest(request),
            } if !request.digests.is_empty() => Some((to, Payload::UpstreamsRequest(request))),
            Effect::SendDatagram {
                address,
                body: Payload::Probe(probe),
            } => {
                let heard = ProbeReply {
                    nonce: probe.nonce,
                    node: address.clone(),
                    ..ProbeReply::default()
                };
                control.step(
                    MS(at),
                    Event::Datagram {
                        address,
                        body: Payload::ProbeReply(heard),
                    },
                );
                None
            }
            _ => None,
        })
        .collect()
}

fn heartbeat(control: &mut ControlNode, at: u64, upstream: Upstream) -> Vec<(String, Payload)> {
    said(
        control,
        at,
        Event::ControlRequest {
            request_id: at,
            request: ControlRequest::Heartbeat(upstream),
        },
    )
}

/// All it says from one moment until another, ticking.
fn ticked(control: &mut ControlNode, from: u64, until: u64) -> Vec<(String, Payload)> {
    (from..until)
        .step_by(50)
        .flat_map(|at| said(control, at, Event::Tick))
        .collect()
}

fn batches(said: &[(String, Payload)]) -> Vec<(&str, &HeartbeatDigest)> {
    said.iter()
        .filter_map(|(to, body)| {
            if let Payload::HeartbeatDigest(alive) = body {
                Some((to.as_str(), alive))
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn new_heartbeats_go_to_all_at_once_and_repeated_ones_in_digests_by_turns() {
    let mut a = control("a");
    let told: Vec<String> = heartbeat(&mut a, 1000, unit(1, protocol::UpstreamState::Ready))
        .into_iter()
        .map(|(to, _)| to)
        .collect();
    assert_eq!(told, ["b", "c", "d"]);
    ticked(&mut a, 1000, 1400);
    assert_eq!(
        heartbeat(&mut a, 1400, unit(2, protocol::UpstreamState::Ready)),
        vec![]
    );
    let told = ticked(&mut a, 1450, 2500);
    let far: Vec<(&str, bool)> = batches(&told)
        .into_iter()
        .filter(|(to, _)| *to != "b")
        .map(|(to, alive)| (to, alive.should_forward))
        .collect();
    assert!(
        far.contains(&("c", true)) && far.contains(&("d", true)),
        "each in its turn: {far:?}"
    );
    assert!(
        batches(&told).iter().any(|(to, alive)| *to == "b"
            && alive.heartbeat_numbers == [2]
            && !alive.should_forward)
    );
    assert!(
        told.iter()
            .all(|(_, body)| matches!(body, Payload::HeartbeatDigest(_))),
        "nothing in full"
    );
    let told: Vec<String> = heartbeat(&mut a, 2500, unit(3, protocol::UpstreamState::Deregistered))
        .into_iter()
        .map(|(to, _)| to)
        .collect();
    assert_eq!(told, ["b", "c", "d"]);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn lost_heartbeats_and_deregistrations_are_requested_with_the_next_digest() {
    let (mut a, mut c, mut d) = (control("a"), control("c"), control("d"));
    [
        (1, protocol::UpstreamState::Ready),
        (2, protocol::UpstreamState::Draining),
        (3, protocol::UpstreamState::Deregistered),
    ]
    .into_iter()
    .for_each(|(number, state)| {
        let at = 1000 * number;
        // What is told at once gets lost.
        heartbeat(&mut a, at, unit(number, state));
        let told = ticked(&mut a, at, at + 600);
        let (to, alive) = batches(&told)
            .into_iter()
            .find(|(_, alive)| alive.should_forward)
            .expect("a batch to the south");
        let (near, other) = if to == "c" {
            (&mut c, &mut d)
        } else {
            (&mut d, &mut c)
        };
        let (near_name, other_name) = if to == "c" { ("c", "d") } else { ("d", "c") };
        let event = Event::Received {
            from: "a".into(),
            body: Payload::HeartbeatDigest(alive.clone()),
        };
        let answers = said(near, at + 600, event);
        let request = answers
            .iter()
            .find(|(to, _)| to == "a")
            .expect("it asks")
            .1
            .clone();
        let on = answers
            .iter()
            .find(|(to, _)| to == other_name)
            .expect("it tells on")
            .1
            .clone();
        let record = said(
            &mut a,
            at + 601,
            Event::Received {
                from: near_name.into(),
                body: request,
            },
        )
        .remove(0)
        .1;
        said(
            near,
            at + 602,
            Event::Received {
                from: "a".into(),
                body: record,
            },
        );
        // The other one has it from there.
        let request = said(
            other,
            at + 603,
            Event::Received {
                from: near_name.into(),
                body: on,
            },
        )
        .remove(0);
        assert_eq!(request.0, near_name);
        let event = Event::Received {
            from: other_name.into(),
            body: request.1,
        };
        let record = said(near, at + 604, event).remove(0).1;
        let Payload::Heartbeats(heartbeats) = &record else {
            panic!("{record:?}")
        };
        assert_eq!(
            (
                heartbeats.upstreams[0].heartbeat_number,
                heartbeats.upstreams[0].state()
            ),
            (number, state)
        );
        said(
            other,
            at + 605,
            Event::Received {
                from: near_name.into(),
                body: record,
            },
        );
        // Known now: the same batch asks for nothing more.
        let event = Event::Received {
            from: "a".into(),
            body: Payload::HeartbeatDigest(alive.clone()),
        };
        assert_eq!(said(other, at + 606, event), vec![]);
    });
}

/// A sign-off counts as the last heartbeat there can be. Told as such a number it took ten bytes for each batch and upstream,
/// for eight seconds: half of what batches were while upstreams left.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_deregistration_is_no_larger_in_a_digest_than_a_heartbeat() {
    let (mut a, mut c, mut d) = (control("a"), control("c"), control("d"));
    let batch_to_the_south = |told: &[(String, Payload)]| {
        let far = batches(told)
            .into_iter()
            .find(|(_, alive)| alive.should_forward)
            .expect("a batch to the south");
        (far.0.to_owned(), far.1.clone())
    };
    heartbeat(&mut a, 1000, unit(1, protocol::UpstreamState::Ready));
    let (_, ready) = batch_to_the_south(&ticked(&mut a, 1000, 1600));
    // What is told at once gets lost.
    said(
        &mut a,
        2000,
        Event::ControlRequest {
            request_id: 2000,
            request: ControlRequest::Deregister {
                instance: "u".into(),
            },
        },
    );
    let (to, gone) = batch_to_the_south(&ticked(&mut a, 2000, 2600));
    assert_eq!(gone.heartbeat_numbers.len(), 1);
    let age = |alive: &HeartbeatDigest| HeartbeatDigest {
        ages_ms: vec![0],
        ..alive.clone()
    };
    assert!(
        age(&gone).encoded_len() <= age(&ready).encoded_len(),
        "{gone:?} {ready:?}"
    );
    let (near, near_name) = if to == "c" {
        (&mut c, "c")
    } else {
        (&mut d, "d")
    };
    // Whoever heard of heartbeats that are not known elsewhere yet asks too, tells it on, and learns that it is over.
    said(
        near,
        2500,
        Event::ControlRequest {
            request_id: 2500,
            request: ControlRequest::Heartbeat(unit(9, protocol::UpstreamState::Ready)),
        },
    );
    let answers = said(
        near,
        2600,
        Event::Received {
            from: "a".into(),
            body: Payload::HeartbeatDigest(gone.clone()),
        },
    );
    assert!(
        answers.iter().any(
            |(_, body)| matches!(body, Payload::HeartbeatDigest(on) if on.heartbeat_numbers == gone.heartbeat_numbers)
        )
    );
    let request = answers
        .into_iter()
        .find(|(to, _)| to == "a")
        .expect("it asks")
        .1;
    let record = said(
        &mut a,
        2601,
        Event::Received {
            from: near_name.into(),
            body: request,
        },
    )
    .remove(0)
    .1;
    let Payload::Heartbeats(heartbeats) = &record else {
        panic!("{record:?}")
    };
    assert_eq!(
        (
            heartbeats.upstreams[0].heartbeat_number,
            heartbeats.upstreams[0].state()
        ),
        (u64::MAX, protocol::UpstreamState::Deregistered)
    );
    said(
        near,
        2602,
        Event::Received {
            from: "a".into(),
            body: record,
        },
    );
    let again = said(
        near,
        2603,
        Event::Received {
            from: "a".into(),
            body: Payload::HeartbeatDigest(gone),
        },
    );
    assert_eq!(again, vec![], "known now");
}

/// Everything that it sends on an event.
fn sent(control: &mut ControlNode, at: u64, event: Event) -> Vec<Payload> {
    let effects = control.step(MS(at), event).into_iter();
    let bodies = effects.filter_map(|effect| match effect {
        Effect::Send { body, .. } => Some(body),
        _ => None,
    });
    bodies.collect()
}

/// Two lives of a node ask alike; only what answers the present one's question counts.
#[test]
fn a_reply_to_an_earlier_incarnation_is_ignored() {
    let mut control = control("a");
    let asked = sent(&mut control, 1000, Event::Tick)
        .into_iter()
        .find_map(|body| match body {
            Payload::UpstreamsRequest(request) if request.digests.is_empty() => {
                Some(request.incarnation)
            }
            _ => None,
        });
    let incarnation = asked.expect("it asks the others");
    let settled = |control: &mut ControlNode| {
        let request = Payload::UpstreamsRequest(UpstreamsRequest {
            incarnation: 9,
            ..UpstreamsRequest::default()
        });
        let told = sent(
            control,
            1100,
            Event::Received {
                from: "b".into(),
                body: request,
            },
        );
        told.iter()
            .any(|body| matches!(body, Payload::UpstreamsReply(told) if told.incarnation == 9))
    };
    let answer = |incarnation: u64| Event::Received {
        from: "b".into(),
        body: Payload::UpstreamsReply(UpstreamsReply {
            upstreams: vec![unit(1, protocol::UpstreamState::Ready)],
            incarnation,
            ..Default::default()
        }),
    };
    sent(&mut control, 1050, answer(incarnation ^ 1));
    assert!(!settled(&mut control), "of another life");
    sent(&mut control, 1060, answer(incarnation));
    assert!(settled(&mut control));
}
