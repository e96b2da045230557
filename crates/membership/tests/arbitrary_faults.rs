//! Whatever was lost, suspected and restarted: once the network works again, all nodes know each other.

use arbtest::arbtest;
use membership::{Effect, Event, Membership, MembershipTiming};
use protocol::{Member, Payload};
use std::time::Duration;

const NODES: usize = 6;
const MS: fn(u64) -> Duration = Duration::from_millis;

fn name(at: usize) -> String {
    format!("n{at}")
}

fn start_node(at: usize, seed: u64) -> Membership {
    let me = Member {
        node: name(at),
        probe_address: name(at),
        ..Member::default()
    };
    Membership::new(
        me,
        vec![name(0), name(1), name(2)],
        MembershipTiming {
            probe_interval: MS(300),
            suspicion_timeout: MS(1500),
        },
        seed,
    )
}

fn step(
    nodes: &mut [Membership],
    in_flight: &mut Vec<(usize, usize, Payload)>,
    now: Duration,
    at: usize,
    event: Event,
) {
    nodes[at].step(now, event).into_iter().for_each(|effect| {
        if let Effect::Send { address, body } = effect {
            let to = (0..NODES)
                .find(|other| name(*other) == address)
                .expect("a node");
            in_flight.push((at, to, body));
        }
    });
}

/// The network works again: everything arrives, every node gets its ticks.
fn run_without_faults(
    nodes: &mut [Membership],
    in_flight: &mut Vec<(usize, usize, Payload)>,
    mut now: Duration,
) {
    for _ in 0..2400 {
        now += MS(20);
        for at in 0..NODES {
            step(nodes, in_flight, now, at, Event::Tick);
        }
        while let Some((from, to, body)) = in_flight.pop() {
            let address = name(from);
            step(nodes, in_flight, now, to, Event::Received { address, body });
        }
    }
}

#[test]
fn members_converge_once_the_network_works_again() {
    (1..25u64).for_each(|number| {
        arbtest(|noise| {
            let mut nodes: Vec<Membership> = (0..NODES)
                .map(|at| start_node(at, number * 7 + at as u64))
                .collect();
            let (mut now, mut in_flight) = (Duration::ZERO, Vec::new());
            while !noise.is_empty() {
                let at = noise.int_in_range(0..=NODES - 1)?;
                match noise.int_in_range(0..=99u8)? {
                    0 => nodes[at] = start_node(at, noise.arbitrary()?),
                    1..=25 if !in_flight.is_empty() => {
                        drop(in_flight.swap_remove(noise.int_in_range(0..=in_flight.len() - 1)?))
                    }
                    26..=70 if !in_flight.is_empty() => {
                        let (from, to, body) =
                            in_flight.remove(noise.int_in_range(0..=in_flight.len() - 1)?);
                        step(
                            &mut nodes,
                            &mut in_flight,
                            now,
                            to,
                            Event::Received {
                                address: name(from),
                                body,
                            },
                        );
                    }
                    _ => {
                        now += MS(noise.int_in_range(0..=60)?);
                        step(&mut nodes, &mut in_flight, now, at, Event::Tick);
                    }
                }
            }
            run_without_faults(&mut nodes, &mut in_flight, now);
            nodes.iter().for_each(|node| {
                let alive: Vec<&str> = node
                    .members()
                    .filter(|m| m.state() == protocol::MemberState::Alive)
                    .map(|m| m.node.as_str())
                    .collect();
                assert_eq!(alive, (0..NODES).map(name).collect::<Vec<_>>());
            });
            Ok(())
        })
        .seed(number << 32 | 3_000);
    });
}
