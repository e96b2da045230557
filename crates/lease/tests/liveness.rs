//! The lease is soon held and then kept while a majority of the voters answers, however slowly, and whatever the
//! others do.

use lease::{Effect, Event, Lease, LeaseTiming};
use protocol::{Payload, VoterSet};
use std::collections::BTreeSet;
use std::time::Duration;

const VOTERS: usize = 9;
const MS: fn(u64) -> Duration = Duration::from_millis;
const SPAN: Duration = Duration::from_millis(1200);
const MARGIN: Duration = Duration::from_millis(400);
/// Voters grant nothing for a whole span after their start.
const SOON: Duration = Duration::from_millis(3500);
const TICK: Duration = Duration::from_millis(20);

fn name(at: usize) -> String {
    format!("v{at}")
}

enum What {
    Message { from: usize, body: Payload },
    Synced { request_id: u64 },
}

struct Pending {
    at: Duration,
    node: usize,
    what: What,
}

/// Voters with a fixed delay between them; the clocks of some jump again and again.
struct Site {
    now: Duration,
    delay: Duration,
    sync: Duration,
    /// Their clocks jump by more than the margin every 0.3 s: after each jump a voter denies for a whole span.
    jumping: BTreeSet<usize>,
    nodes: Vec<Lease>,
    pending: Vec<Pending>,
}

impl Site {
    fn new(
        seed: u64,
        delay: Duration,
        sync: Duration,
        jumping: impl IntoIterator<Item = usize>,
    ) -> Site {
        let nodes = (0..VOTERS).map(|at| {
            Lease::new(
                name(at),
                LeaseTiming::new(SPAN, MARGIN),
                seed * 100 + at as u64,
            )
        });
        let jumping = jumping.into_iter().collect();
        let (nodes, pending, now) = (nodes.collect(), Vec::new(), Duration::ZERO);
        let mut site = Site {
            now,
            delay,
            sync,
            jumping,
            nodes,
            pending,
        };
        let voter_set = VoterSet::new((0..VOTERS).map(name).collect());
        (0..VOTERS).for_each(|at| {
            site.step(
                at,
                Event::VotersChanged {
                    voter_set: voter_set.clone(),
                    epoch: 0,
                },
            )
        });
        site
    }

    fn step(&mut self, at: usize, event: Event) {
        let local = self.local(at);
        let effects = self.nodes[at].step(local, event);
        effects.into_iter().for_each(|effect| {
            let pending = match effect {
                Effect::Send { to, body } => {
                    let node = (0..VOTERS)
                        .find(|other| name(*other) == to)
                        .expect("a voter");
                    Pending {
                        at: self.now + self.delay,
                        node,
                        what: What::Message { from: at, body },
                    }
                }
                Effect::PersistLeaseEpoch { request_id, .. } => Pending {
                    at: self.now + self.sync,
                    node: at,
                    what: What::Synced { request_id },
                },
            };
            self.pending.push(pending);
        });
    }

    /// What a voter's clock shows.
    fn local(&self, at: usize) -> Duration {
        let jumps = self.now.as_millis() as u32 / 300;
        if self.jumping.contains(&at) {
            self.now + (MARGIN + TICK * 2) * jumps
        } else {
            self.now
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let (now, pending) = (self.now, std::mem::take(&mut self.pending));
        let is_due = |pending: &Pending| pending.at <= now;
        let (due, later): (Vec<Pending>, Vec<Pending>) = pending.into_iter().partition(is_due);
        self.pending = later;
        due.into_iter()
            .for_each(|Pending { node, what, .. }| match what {
                What::Message { from, body } => self.step(
                    node,
                    Event::Received {
                        from: name(from),
                        body,
                    },
                ),
                What::Synced { request_id } => {
                    self.step(node, Event::LeaseEpochPersisted { request_id })
                }
            });
        (0..VOTERS).for_each(|at| self.step(at, Event::Tick));
    }

    fn holder(&self) -> Option<usize> {
        (0..VOTERS).find(|at| self.nodes[*at].holds(self.local(*at)).is_some())
    }
}

/// For twenty seeds: how long until the lease is held, and how often it is lost in 20 s after that.
fn held_after(
    delay: Duration,
    sync: Duration,
    jumping: &[usize],
) -> Vec<(Option<Duration>, usize)> {
    let run = |seed| {
        let mut site = Site::new(seed, delay, sync, jumping.iter().copied());
        let mut held_at = None;
        let mut lost = 0;
        let mut last = None;
        while site.now < SOON + MS(20_000) {
            site.tick();
            let holder = site.holder();
            held_at = held_at.or(holder.map(|_| site.now));
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
        .filter(|(at, _)| at.is_none_or(|at| at > SOON))
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert!(runs.iter().all(|(_, lost)| *lost == 0), "{runs:?}");
}

#[test]
fn a_quick_site_has_a_holder_soon() {
    assert_held_and_kept(held_after(MS(20), MS(5), &[]));
}

/// A voter whose clock jumps again and again denies whoever asks it.
#[test]
fn voters_that_deny_keep_no_candidate_from_a_majority() {
    assert_held_and_kept(held_after(MS(20), MS(5), &[4]));
    assert_held_and_kept(held_after(MS(20), MS(5), &[1, 4, 7, 8]));
}

/// Answers take a quarter of a second, as from processes that have a tenth of a core and have just started.
#[test]
fn slow_answers_keep_no_candidate_from_the_lease() {
    assert_held_and_kept(held_after(MS(110), MS(40), &[]));
}

#[test]
fn slow_answers_and_voters_that_deny_together() {
    assert_held_and_kept(held_after(MS(110), MS(40), &[2, 5]));
}

/// Four of nine may deny; five leave no majority, and nobody holds the lease.
#[test]
fn no_majority_no_lease() {
    let runs = held_after(MS(20), MS(5), &[0, 2, 4, 6, 8]);
    assert!(runs.iter().all(|(at, _)| at.is_none()), "{runs:?}");
}
