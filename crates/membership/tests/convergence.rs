//! How fast a cluster of some size detects changes of its members, and how many bytes that takes.

use membership::{Effect, Event, Membership, MembershipTiming};
use protocol::{Envelope, Member, Message, Payload};
use std::collections::BTreeMap;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TICK: Duration = Duration::from_millis(50);

/// Nodes in three regions of two zones each, on a virtual network.
struct Cluster {
    now: Duration,
    nodes: Vec<Option<Membership>>,
    in_flight: BTreeMap<(Duration, u64), (usize, usize, Payload)>,
    /// How many messages were sent.
    sent: u64,
    /// Bytes within zones, between zones and between regions.
    bytes: [u64; 3],
    largest: usize,
}

fn address_of(at: usize) -> String {
    format!("127.0.{}.{}:7200", at / 200, at % 200)
}

fn zone(at: usize) -> usize {
    at % 6
}

fn start_node(at: usize, seed: u64) -> Membership {
    let zone = zone(at);
    let me = Member {
        node: format!("carrier-{at}"),
        locality: format!("region-{}/zone-{zone}", zone / 2),
        roles: "proxy,directory".into(),
        probe_address: address_of(at),
        link_address: address_of(at),
        http_address: format!("127.0.{}.{}:8080", at / 200, at % 200),
        ..Member::default()
    };
    let seeds = vec![address_of(0), address_of(1), address_of(2)];
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

impl Cluster {
    fn new(count: usize, seed: u64) -> Cluster {
        let nodes = (0..count)
            .map(|at| Some(start_node(at, seed * 1000 + at as u64)))
            .collect();
        Cluster {
            now: Duration::ZERO,
            nodes,
            in_flight: BTreeMap::new(),
            sent: 0,
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
                    .find(|other| address_of(*other) == address)
                    .expect("a node");
                let distance =
                    usize::from(zone(at) != zone(to)) + usize::from(zone(at) / 2 != zone(to) / 2);
                let length = Envelope {
                    from: String::new(),
                    body: Some(body.clone()),
                }
                .encoded_len();
                self.bytes[distance] += length as u64;
                self.largest = self.largest.max(length);
                self.sent += 1;
                let latency = [MS(1), MS(2), MS(20)][distance];
                self.in_flight
                    .insert((self.now + latency, self.sent), (at, to, body));
            }
        });
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let next = self.now + TICK;
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= next)
            {
                self.now = self.now.max(entry.key().0);
                let (from, to, body) = entry.remove();
                self.step(
                    to,
                    Event::Received {
                        address: address_of(from),
                        body,
                    },
                );
            }
            self.now = next;
            (0..self.nodes.len()).for_each(|at| self.step(at, Event::Tick));
        }
    }

    /// True where every running node sees all running nodes alive, and no others.
    fn has_converged(&self) -> bool {
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

    /// How long until all agree; the limit where that takes longer.
    fn time_to_converge(&mut self, limit: Duration) -> Duration {
        let from = self.now;
        while !self.has_converged() && self.now < from + limit {
            self.run(MS(100));
        }
        self.now - from
    }

    /// Bytes sent meanwhile.
    fn bytes_sent(&mut self, span: Duration) -> [u64; 3] {
        let before = self.bytes;
        self.run(span);
        [0, 1, 2].map(|at| self.bytes[at] - before[at])
    }
}

/// The limits for one size of cluster.
struct Bounds {
    /// Until all nodes know each other.
    joined: Duration,
    /// Until a failed zone is detected.
    dead_zone: Duration,
    /// Until a failed region is detected.
    dead_region: Duration,
    /// Until a zone that came back is known.
    back: Duration,
    /// Bytes a node and second at rest, beyond its zone.
    rest: u64,
}

fn assert_within(count: usize, seed: u64, bounds: &Bounds) {
    let mut cluster = Cluster::new(count, seed);
    let joined = cluster.time_to_converge(MS(60_000));
    cluster.run(MS(10_000));
    let rest = cluster.bytes_sent(MS(40_000));
    let in_zones =
        |zones: std::ops::Range<usize>| (0..count).filter(move |at| zones.contains(&zone(*at)));
    in_zones(5..6).for_each(|at| cluster.nodes[at] = None);
    let dead_zone = cluster.time_to_converge(MS(60_000));
    in_zones(5..6).for_each(|at| cluster.nodes[at] = Some(start_node(at, 77 + at as u64)));
    let back = cluster.time_to_converge(MS(60_000));
    cluster.run(MS(10_000));
    in_zones(4..6).for_each(|at| cluster.nodes[at] = None);
    let dead_region = cluster.time_to_converge(MS(60_000));
    let summary = format!(
        "{count} nodes, seed {seed}: joined after {joined:?}; {rest:?} bytes in 40 s at rest; a dead zone {dead_zone:?}, \
         back {back:?}; a dead region {dead_region:?}; largest message {}",
        cluster.largest
    );
    println!("{summary}");
    assert!(joined <= bounds.joined && back <= bounds.back, "{summary}");
    assert!(
        dead_zone <= bounds.dead_zone && dead_region <= bounds.dead_region,
        "{summary}"
    );
    assert!(
        (rest[1] + rest[2]) / 40 / count as u64 <= bounds.rest,
        "{summary}"
    );
    assert!(cluster.largest < 8192, "{summary}");
}

#[test]
fn nineteen_nodes_join_detect_failures_and_send_little_at_rest() {
    let ms = |joined, dead_zone, dead_region, back| {
        (MS(joined), MS(dead_zone), MS(dead_region), MS(back))
    };
    let (joined, dead_zone, dead_region, back) = ms(2000, 6000, 8000, 3000);
    let bounds = Bounds {
        joined,
        dead_zone,
        dead_region,
        back,
        rest: 200,
    };
    (1..13).for_each(|seed| assert_within(19, seed, &bounds));
}

#[test]
fn a_hundred_and_thirty_nodes_join_detect_failures_and_send_little_at_rest() {
    let bounds = Bounds {
        joined: MS(5000),
        dead_zone: MS(8000),
        dead_region: MS(12_000),
        back: MS(5000),
        rest: 500,
    };
    (1..4).for_each(|seed| assert_within(130, seed, &bounds));
}

/// Two sides of a network partition have one table soon after it ends.
#[test]
fn a_network_partition_heals_by_the_digest() {
    let mut cluster = Cluster::new(19, 3);
    cluster.run(MS(10_000));
    let until = cluster.now + MS(20_000);
    while cluster.now < until {
        cluster.run(TICK);
        cluster
            .in_flight
            .retain(|_, (from, to, _)| (zone(*from) < 2) == (zone(*to) < 2));
    }
    assert!(!cluster.has_converged());
    let healed = cluster.time_to_converge(MS(60_000));
    assert!(healed <= MS(6000), "{healed:?}");
}
