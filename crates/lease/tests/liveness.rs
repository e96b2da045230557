//! The lease is soon held and then kept while a quorum of the voters replies, however slowly, and whatever the
//! others do.

use lease::{Effect, Event, Lease, LeaseTiming};
use protocol::{Payload, VoterSet};
use std::collections::BTreeSet;
use std::time::Duration;

const VOTERS: usize = 9;
const MS: fn(u64) -> Duration = Duration::from_millis;
const DURATION: Duration = Duration::from_millis(1200);
const SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// Voters grant nothing for a whole lease duration after their start.
const HELD_WITHIN: Duration = Duration::from_millis(3500);
const TICK: Duration = Duration::from_millis(20);

fn name(at: usize) -> String {
    format!("v{at}")
}

enum Occurrence {
    Message { from: usize, body: Payload },
    WriteCompleted { request_id: u64 },
}

struct Arrival {
    at: Duration,
    node: usize,
    occurrence: Occurrence,
}

/// Voters with a fixed delay between them; the clocks of some jump again and again.
struct Cluster {
    now: Duration,
    delay: Duration,
    write_time: Duration,
    /// Their clocks jump by more than the margin every 0.3 s: after each jump a voter rejects every request for a whole lease duration.
    jumping_clocks: BTreeSet<usize>,
    nodes: Vec<Lease>,
    arrivals: Vec<Arrival>,
}

impl Cluster {
    fn new(
        seed: u64,
        delay: Duration,
        write_time: Duration,
        jumping_clocks: impl IntoIterator<Item = usize>,
    ) -> Cluster {
        let nodes = (0..VOTERS).map(|at| {
            Lease::new(
                name(at),
                LeaseTiming::new(DURATION, SAFETY_MARGIN),
                seed * 100 + at as u64,
            )
        });
        let jumping_clocks = jumping_clocks.into_iter().collect();
        let (nodes, arrivals, now) = (nodes.collect(), Vec::new(), Duration::ZERO);
        let mut cluster = Cluster {
            now,
            delay,
            write_time,
            jumping_clocks,
            nodes,
            arrivals,
        };
        let voter_set = VoterSet::new((0..VOTERS).map(name).collect());
        (0..VOTERS).for_each(|at| {
            cluster.step(
                at,
                Event::VotersChanged {
                    voter_set: voter_set.clone(),
                    persisted_epoch: 0,
                },
            )
        });
        cluster
    }

    fn step(&mut self, at: usize, event: Event) {
        let local = self.local_time(at);
        let effects = self.nodes[at].step(local, event);
        effects.into_iter().for_each(|effect| {
            let arrivals = match effect {
                Effect::Send { to, body } => {
                    let node = (0..VOTERS)
                        .find(|other| name(*other) == to)
                        .expect("a voter");
                    Arrival {
                        at: self.now + self.delay,
                        node,
                        occurrence: Occurrence::Message { from: at, body },
                    }
                }
                Effect::PersistLeaseEpoch { request_id, .. } => Arrival {
                    at: self.now + self.write_time,
                    node: at,
                    occurrence: Occurrence::WriteCompleted { request_id },
                },
            };
            self.arrivals.push(arrivals);
        });
    }

    /// What a voter's clock shows.
    fn local_time(&self, at: usize) -> Duration {
        let jumps = self.now.as_millis() as u32 / 300;
        if self.jumping_clocks.contains(&at) {
            self.now + (SAFETY_MARGIN + TICK * 2) * jumps
        } else {
            self.now
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let (now, arrivals) = (self.now, std::mem::take(&mut self.arrivals));
        let is_due = |arrivals: &Arrival| arrivals.at <= now;
        let (due, later): (Vec<Arrival>, Vec<Arrival>) = arrivals.into_iter().partition(is_due);
        self.arrivals = later;
        due.into_iter().for_each(
            |Arrival {
                 node, occurrence, ..
             }| match occurrence {
                Occurrence::Message { from, body } => self.step(
                    node,
                    Event::Received {
                        from: name(from),
                        body,
                    },
                ),
                Occurrence::WriteCompleted { request_id } => {
                    self.step(node, Event::LeaseEpochPersisted { request_id })
                }
            },
        );
        (0..VOTERS).for_each(|at| self.step(at, Event::Tick));
    }

    fn holder(&self) -> Option<usize> {
        (0..VOTERS).find(|at| self.nodes[*at].held_epoch(self.local_time(*at)).is_some())
    }
}

/// For twenty seeds: how long until the lease is held, and how often it is lost in 20 s after that.
fn time_until_held(
    delay: Duration,
    write_time: Duration,
    jumping_clocks: &[usize],
) -> Vec<(Option<Duration>, usize)> {
    let run = |seed| {
        let mut cluster = Cluster::new(seed, delay, write_time, jumping_clocks.iter().copied());
        let mut held_at = None;
        let mut lost = 0;
        let mut last = None;
        while cluster.now < HELD_WITHIN + MS(20_000) {
            cluster.tick();
            let holder = cluster.holder();
            held_at = held_at.or(holder.map(|_| cluster.now));
            lost += usize::from(last.is_some() && holder.is_none());
            last = holder;
        }
        (held_at, lost)
    };
    (1..=20).map(run).collect()
}

fn assert_held_and_kept(runs: Vec<(Option<Duration>, usize)>) {
    let late: Vec<_> = runs
        .iter()
        .filter(|(at, _)| at.is_none_or(|at| at > HELD_WITHIN))
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert!(runs.iter().all(|(_, lost)| *lost == 0), "{runs:?}");
}

#[test]
fn a_fast_network_has_a_holder_soon() {
    assert_held_and_kept(time_until_held(MS(20), MS(5), &[]));
}

/// A voter whose clock jumps again and again rejects every request.
#[test]
fn rejecting_voters_do_not_keep_a_candidate_from_a_quorum() {
    assert_held_and_kept(time_until_held(MS(20), MS(5), &[4]));
    assert_held_and_kept(time_until_held(MS(20), MS(5), &[1, 4, 7, 8]));
}

/// Replies take a quarter of a second, as from processes that have a tenth of a core and have just started.
#[test]
fn slow_replies_do_not_keep_a_candidate_from_the_lease() {
    assert_held_and_kept(time_until_held(MS(110), MS(40), &[]));
}

#[test]
fn slow_replies_and_rejecting_voters_together() {
    assert_held_and_kept(time_until_held(MS(110), MS(40), &[2, 5]));
}

/// Four of nine may reject; five leave no quorum, and nobody holds the lease.
#[test]
fn without_a_quorum_nobody_holds_the_lease() {
    let runs = time_until_held(MS(20), MS(5), &[0, 2, 4, 6, 8]);
    assert!(runs.iter().all(|(at, _)| at.is_none()), "{runs:?}");
}
