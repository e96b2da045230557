//! How fast a site of some size learns of its members, and how many bytes that takes.

use membership::{Effect, Event, Membership, MembershipTiming};
use protocol::{Envelope, Member, Message, Payload};
use std::collections::BTreeMap;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TICK: Duration = Duration::from_millis(50);

/// Nodes in three regions of two zones each, on a virtual network.
struct Site {
    now: Duration,
    nodes: Vec<Option<Membership>>,
    wire: BTreeMap<(Duration, u64), (usize, usize, Payload)>,
    number: u64,
    /// Bytes within zones, between zones and between regions.
    bytes: [u64; 3],
    largest: usize,
}

fn name(at: usize) -> String {
    format!("127.0.{}.{}:7200", at / 200, at % 200)
}

fn zone(at: usize) -> usize {
    at % 6
}

fn born(at: usize, seed: u64) -> Membership {
    let zone = zone(at);
    let me = Member {
        node: format!("carrier-{at}"),
        locality: format!("region-{}/zone-{zone}", zone / 2),
        roles: "proxy,directory".into(),
        probe_address: name(at),
        link_address: name(at),
        http_address: format!("127.0.{}.{}:8080", at / 200, at % 200),
        ..Member::default()
    };
    let seeds = vec![name(0), name(1), name(2)];
    Membership::new(
        me,
        seeds,
        MembershipTiming {
            probe_interval: MS(300),
            suspicion_timeout: MS(1500),
        },
        seed,
    )
}

impl Site {
    fn new(count: usize, seed: u64) -> Site {
        let nodes = (0..count)
            .map(|at| Some(born(at, seed * 1000 + at as u64)))
            .collect();
        Site {
            now: Duration::ZERO,
            nodes,
            wire: BTreeMap::new(),
            number: 0,
            bytes: [0; 3],
            largest: 0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(node) = self.nodes[at].as_mut() else {
            return;
        };
        let effects = node.step(self.now, event);
        effects.into_iter().for_each(|effect| {
            if let Effect::Send { address, body } = effect {
                let to = (0..self.nodes.len())
                    .find(|other| name(*other) == address)
                    .expect("a node");
                let far =
                    usize::from(zone(at) != zone(to)) + usize::from(zone(at) / 2 != zone(to) / 2);
                let length = Envelope {
                    from: String::new(),
                    body: Some(body.clone()),
                }
                .encoded_len();
                self.bytes[far] += length as u64;
                self.largest = self.largest.max(length);
                self.number += 1;
                let takes = [MS(1), MS(2), MS(20)][far];
                self.wire
                    .insert((self.now + takes, self.number), (at, to, body));
            }
        });
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let next = self.now + TICK;
            while let Some(entry) = self
                .wire
                .first_entry()
                .filter(|entry| entry.key().0 <= next)
            {
                self.now = self.now.max(entry.key().0);
                let (from, to, body) = entry.remove();
                self.step(
                    to,
                    Event::Received {
                        address: name(from),
                        body,
                    },
                );
            }
            self.now = next;
            (0..self.nodes.len()).for_each(|at| self.step(at, Event::Tick));
        }
    }

    /// True where everybody that runs counts those that run as alive, and nobody else.
    fn agrees(&self) -> bool {
        let up = self.nodes.iter().flatten().count();
        let alive = |node: &Membership| {
            node.members()
                .filter(|member| member.state() == protocol::MemberState::Alive)
                .count()
        };
        let all = |node: &Membership| node.members().count();
        self.nodes
            .iter()
            .flatten()
            .all(|node| alive(node) == up && all(node) == up)
    }

    /// How long until everybody agrees; the limit where that takes longer.
    fn agrees_after(&mut self, limit: Duration) -> Duration {
        let from = self.now;
        while !self.agrees() && self.now < from + limit {
            self.run(MS(100));
        }
        self.now - from
    }

    /// Bytes said meanwhile.
    fn counted(&mut self, span: Duration) -> [u64; 3] {
        let before = self.bytes;
        self.run(span);
        [0, 1, 2].map(|at| self.bytes[at] - before[at])
    }
}

/// What one size of site must keep to.
struct Bounds {
    met: Duration,
    dead_zone: Duration,
    dead_region: Duration,
    back: Duration,
    /// Bytes a node and second at rest, beyond its zone.
    rest: u64,
}

fn keeps(count: usize, seed: u64, bounds: &Bounds) {
    let mut site = Site::new(count, seed);
    let met = site.agrees_after(MS(60_000));
    site.run(MS(10_000));
    let rest = site.counted(MS(40_000));
    let lost =
        |zones: std::ops::Range<usize>| (0..count).filter(move |at| zones.contains(&zone(*at)));
    lost(5..6).for_each(|at| site.nodes[at] = None);
    let dead_zone = site.agrees_after(MS(60_000));
    lost(5..6).for_each(|at| site.nodes[at] = Some(born(at, 77 + at as u64)));
    let back = site.agrees_after(MS(60_000));
    site.run(MS(10_000));
    lost(4..6).for_each(|at| site.nodes[at] = None);
    let dead_region = site.agrees_after(MS(60_000));
    let told = format!(
        "{count} nodes, seed {seed}: met after {met:?}; {rest:?} bytes in 40 s at rest; a dead zone {dead_zone:?}, \
         back {back:?}; a dead region {dead_region:?}; largest message {}",
        site.largest
    );
    println!("{told}");
    assert!(met <= bounds.met && back <= bounds.back, "{told}");
    assert!(
        dead_zone <= bounds.dead_zone && dead_region <= bounds.dead_region,
        "{told}"
    );
    assert!(
        (rest[1] + rest[2]) / 40 / count as u64 <= bounds.rest,
        "{told}"
    );
    assert!(site.largest < 8192, "{told}");
}

#[test]
fn nineteen_nodes_meet_find_the_dead_and_say_little_at_rest() {
    let ms =
        |met, dead_zone, dead_region, back| (MS(met), MS(dead_zone), MS(dead_region), MS(back));
    let (met, dead_zone, dead_region, back) = ms(2000, 6000, 8000, 3000);
    let bounds = Bounds {
        met,
        dead_zone,
        dead_region,
        back,
        rest: 200,
    };
    (1..13).for_each(|seed| keeps(19, seed, &bounds));
}

#[test]
fn a_hundred_and_thirty_nodes_do_so_too() {
    let bounds = Bounds {
        met: MS(5000),
        dead_zone: MS(8000),
        dead_region: MS(12_000),
        back: MS(5000),
        rest: 500,
    };
    (1..4).for_each(|seed| keeps(130, seed, &bounds));
}

/// Two halves that never heard of each other's changes have one table soon after they meet again.
#[test]
fn a_split_heals_by_the_digest() {
    let mut site = Site::new(19, 3);
    site.run(MS(10_000));
    let until = site.now + MS(20_000);
    while site.now < until {
        site.run(TICK);
        site.wire
            .retain(|_, (from, to, _)| (zone(*from) < 2) == (zone(*to) < 2));
    }
    assert!(!site.agrees());
    let healed = site.agrees_after(MS(60_000));
    assert!(healed <= MS(6000), "{healed:?}");
}
