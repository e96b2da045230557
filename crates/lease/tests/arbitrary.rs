//! Whatever the network, restarts and clocks do, two nodes never hold the duty at once.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use lease::{Effect, Event, Lease, LeaseTiming};
use protocol::Payload;
use std::time::Duration;

const VOTERS: usize = 5;
const MS: fn(u64) -> Duration = Duration::from_millis;

struct Node {
    lease: Lease,
    /// The highest epoch that its disk has.
    epoch: u64,
    born_at: Duration,
    /// In parts of a thousand: up to one in a hundred.
    drift: i64,
    /// How far its clock jumped ahead, all in all.
    jumped: Duration,
    frozen_until: Duration,
}

impl Node {
    fn local(&self, now: Duration) -> Duration {
        (now - self.born_at).mul_f64(1.0 + self.drift as f64 / 1000.0) + self.jumped
    }
}

struct Site {
    nodes: Vec<Node>,
    now: Duration,
    wire: Vec<(usize, usize, Payload)>,
    syncs: Vec<(usize, u64, u64)>,
    held: usize,
    /// Under which epoch the duty was held first of all, and how often a holder took itself for that one.
    first_held: Option<u64>,
    founders: usize,
}

fn name(at: usize) -> String {
    format!("v{at}")
}

fn times() -> LeaseTiming {
    LeaseTiming::new(MS(1500), MS(500))
}

fn born(at: usize, seed: u64, epoch: u64, now: Duration, drift: i64) -> Node {
    let mut lease = Lease::new(name(at), times(), seed);
    lease.step(
        Duration::ZERO,
        Event::VotersChanged {
            voter_set: protocol::VoterSet::new((0..VOTERS).map(name).collect()),
            epoch,
        },
    );
    Node {
        lease,
        epoch,
        born_at: now,
        drift,
        jumped: Duration::ZERO,
        frozen_until: Duration::ZERO,
    }
}

impl Site {
    fn step(&mut self, at: usize, event: Event) {
        let node = &mut self.nodes[at];
        let local = node.local(self.now);
        let effects = node.lease.step(local, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => {
                let to = (0..VOTERS)
                    .find(|other| name(*other) == to)
                    .expect("a voter");
                self.wire.push((at, to, body));
            }
            Effect::PersistLeaseEpoch { epoch, request_id } => {
                self.syncs.push((at, epoch, request_id))
            }
        });
        let holders = self.nodes.iter().filter_map(|node| {
            node.lease
                .holds(node.local(self.now))
                .map(|epoch| (epoch, node.lease.is_first_holder(epoch)))
        });
        let holders: Vec<(u64, bool)> = holders.collect();
        let count = holders.len();
        assert!(count <= 1, "{count} hold the duty at {:?}", self.now);
        holders.into_iter().for_each(|(epoch, founder)| {
            let first = *self.first_held.get_or_insert(epoch);
            assert!(
                !founder || epoch == first,
                "epoch {epoch} takes itself for the first, which was {first}"
            );
            self.founders += usize::from(founder);
        });
        self.held += count;
    }

    fn awake(&self, at: usize) -> bool {
        self.now >= self.nodes[at].frozen_until
    }

    /// The holder's clock jumps: no further than its margin unnoticed, and that ends its lease the sooner. Or every
    /// other clock does.
    fn jump(&mut self, at: usize, ahead: Duration, all: bool) {
        let jumping = (0..VOTERS)
            .filter(|other| all || *other == at)
            .collect::<Vec<_>>();
        jumping
            .into_iter()
            .for_each(|at| self.nodes[at].jumped += ahead);
    }

    fn act(&mut self, noise: &mut Unstructured) -> arbtest::arbitrary::Result<()> {
        let at = noise.int_in_range(0..=VOTERS - 1)?;
        match noise.int_in_range(0..=99u8)? {
            0 => {
                let (epoch, seed) = (self.nodes[at].epoch, noise.arbitrary()?);
                let drift = self.nodes[at].drift;
                self.syncs.retain(|(node, ..)| *node != at);
                self.nodes[at] = born(at, seed, epoch, self.now, drift);
            }
            1 => self.nodes[at].frozen_until = self.now + MS(noise.int_in_range(0..=4000)?),
            2..=9 if !self.wire.is_empty() => {
                let lost = noise.int_in_range(0..=self.wire.len() - 1)?;
                self.wire.swap_remove(lost);
            }
            10..=60 if !self.wire.is_empty() => {
                let next = noise.int_in_range(0..=self.wire.len().min(8) - 1)?;
                let (from, to, body) = self.wire.remove(next);
                if self.awake(to) {
                    self.step(
                        to,
                        Event::Received {
                            from: name(from),
                            body,
                        },
                    );
                } else {
                    self.wire.push((from, to, body));
                }
            }
            61 => {
                let ahead = MS(noise.int_in_range(0..=480)?);
                self.jump(at, ahead, noise.arbitrary()?);
            }
            62..=75 if !self.syncs.is_empty() => {
                let (at, epoch, request_id) = self.syncs.remove(0);
                self.nodes[at].epoch = self.nodes[at].epoch.max(epoch);
                if self.awake(at) {
                    self.step(at, Event::LeaseEpochPersisted { request_id });
                }
            }
            _ => {
                self.now += MS(noise.int_in_range(0..=12)?);
                (0..VOTERS)
                    .filter(|at| self.awake(*at))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|at| {
                        self.step(at, Event::Tick);
                    });
            }
        }
        Ok(())
    }
}

#[test]
fn the_duty_has_one_holder_at_most() {
    let (mut held, mut founders) = (0, 0);
    (1..60u64).for_each(|number| {
        arbtest(|noise| {
            let drift = |at: usize| [-10, -5, 0, 5, 10][at];
            let nodes = (0..VOTERS)
                .map(|at| born(at, number * 31 + at as u64, 0, Duration::ZERO, drift(at)));
            let (nodes, now, wire, syncs) = (nodes.collect(), Duration::ZERO, vec![], vec![]);
            let mut site = Site {
                nodes,
                now,
                wire,
                syncs,
                held: 0,
                first_held: None,
                founders: 0,
            };
            while !noise.is_empty() {
                site.act(noise)?;
            }
            held += site.held;
            founders += site.founders;
            Ok(())
        })
        .seed(number << 32 | 12_000);
    });
    assert!(held > 500, "the duty was hardly ever held: {held}");
    assert!(
        founders > 100,
        "hardly ever did the first holder know that it was: {founders}"
    );
}

/// Two jumps of the clock within one span, each too small to be noticed, don't free what was granted.
#[test]
fn jumps_that_add_up_free_no_grant() {
    let mut voter = born(0, 1, 0, Duration::ZERO, 0);
    let request = |epoch, nonce| protocol::LeaseRequest {
        epoch,
        nonce,
        renewal: false,
        voter_epoch: 0,
    };
    let mut ask = |at: u64, from: usize, request| {
        let effects = voter.lease.step(
            MS(at),
            Event::Received {
                from: name(from),
                body: Payload::LeaseRequest(request),
            },
        );
        effects.into_iter().next()
    };
    (0..1600)
        .step_by(20)
        .for_each(|at| drop(ask(at, 4, request(0, 1))));
    let Some(Effect::PersistLeaseEpoch { request_id, .. }) = ask(1600, 1, request(5, 2)) else {
        panic!("it is asked for the first")
    };
    voter
        .lease
        .step(MS(1610), Event::LeaseEpochPersisted { request_id });
    // 0.1 s go by, and 0.9 s more by the clock.
    let mut denied = |at: u64| {
        let body = Payload::LeaseRequest(request(6, 3));
        let effects = voter.lease.step(
            MS(at),
            Event::Received {
                from: name(2),
                body,
            },
        );
        matches!(effects.as_slice(), [Effect::Send { body: Payload::LeaseReply(reply), .. }] if !reply.granted)
    };
    let wakes = [1660, 2110, 2160, 2610, 2660, 2710, 3160, 3210];
    assert!(
        wakes.into_iter().all(&mut denied),
        "granted to two within one span"
    );
    assert!(
        (3230..6000).step_by(20).any(|at| !denied(at)),
        "it is free in the end"
    );
}
