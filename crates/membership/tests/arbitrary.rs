//! Whatever was lost, doubted and restarted: once the network is whole again, everybody knows everybody.

use arbtest::arbtest;
use membership::{Effect, Event, Membership, MembershipTiming};
use protocol::{Member, Payload};
use std::time::Duration;

const NODES: usize = 6;
const MS: fn(u64) -> Duration = Duration::from_millis;

fn name(at: usize) -> String {
    format!("n{at}")
}

fn born(at: usize, seed: u64) -> Membership {
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
    wire: &mut Vec<(usize, usize, Payload)>,
    now: Duration,
    at: usize,
    event: Event,
) {
    nodes[at].step(now, event).into_iter().for_each(|effect| {
        if let Effect::Send { address, body } = effect {
            let to = (0..NODES)
                .find(|other| name(*other) == address)
                .expect("a node");
            wire.push((at, to, body));
        }
    });
}

#[test]
fn members_agree_once_the_network_is_whole() {
    (1..25u64).for_each(|number| {
        arbtest(|noise| {
            let mut nodes: Vec<Membership> = (0..NODES)
                .map(|at| born(at, number * 7 + at as u64))
                .collect();
            let (mut now, mut wire) = (Duration::ZERO, Vec::new());
            while !noise.is_empty() {
                let at = noise.int_in_range(0..=NODES - 1)?;
                match noise.int_in_range(0..=99u8)? {
                    0 => nodes[at] = born(at, noise.arbitrary()?),
                    1..=25 if !wire.is_empty() => {
                        drop(wire.swap_remove(noise.int_in_range(0..=wire.len() - 1)?))
                    }
                    26..=70 if !wire.is_empty() => {
                        let (from, to, body) = wire.remove(noise.int_in_range(0..=wire.len() - 1)?);
                        step(
                            &mut nodes,
                            &mut wire,
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
                        step(&mut nodes, &mut wire, now, at, Event::Tick);
                    }
                }
            }
            // Whole again: everything arrives, everybody ticks.
            (0..2400).for_each(|_| {
                now += MS(20);
                (0..NODES).for_each(|at| step(&mut nodes, &mut wire, now, at, Event::Tick));
                while let Some((from, to, body)) = wire.pop() {
                    step(
                        &mut nodes,
                        &mut wire,
                        now,
                        to,
                        Event::Received {
                            address: name(from),
                            body,
                        },
                    );
                }
            });
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
