//! Numeric keys at an upstream: the ranges it holds and releases, and how requests are distributed over keys.

use super::nodes::true_span;
use crate::heartbeats::SentHeartbeat;
use crate::schedule::Action;
use crate::upstreams::SimulatedUpstream;
use crate::world::World;
use invariants::observations::Observation;
use key_space::KEY_COUNT;
use protocol::KeyShare;
use random::Random;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// An answer that takes longer, by the upstream's clock, is not taken.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// An upstream that is asked to release keys sends heartbeats within this, until it has released them.
const AGAIN_MICROS: u64 = 100_000;
/// How many keys next to one another are busy, and how fast they move on.
const BUSY_KEYS: u64 = 600;
const MOVES_PER_SECOND: u64 = 20;
const HOT: u64 = 30_011;

/// The ranges of numeric keys that one upstream holds.
#[derive(Default)]
pub struct RangeLeases {
    /// Keys and their fencing tokens.
    rows: Vec<(Range<u32>, u64)>,
    /// Keys that it is to release and that requests still run on.
    ending: Vec<(Range<u32>, u64)>,
    /// The end of its lease. No response extends that on the keys it is to release.
    pub until: Duration,
    /// The end of the lease on the keys that it is to release.
    pub ending_until: Duration,
    /// The highest fencing token seen on any key.
    seen: Vec<(Range<u32>, u64)>,
    /// What it released since its last acknowledged heartbeat.
    pub released: Vec<KeyShare>,
    /// The key of each request that runs.
    pub working: BTreeMap<(u64, u32), u32>,
}

fn overlaps(one: &Range<u32>, other: &Range<u32>) -> bool {
    one.start < other.end && other.start < one.end
}

/// What of some rows lies beside a range.
fn beside(rows: &[(Range<u32>, u64)], keys: &Range<u32>) -> Vec<(Range<u32>, u64)> {
    let parts = rows.iter().flat_map(|(row, fence)| {
        [
            row.start..row.end.min(keys.start),
            row.start.max(keys.end)..row.end,
        ]
        .map(|part| (part, *fence))
    });
    parts.filter(|(part, _)| !part.is_empty()).collect()
}

impl RangeLeases {
    /// All keys that it has not released.
    pub fn keys(&self) -> Vec<Range<u32>> {
        self.rows
            .iter()
            .chain(&self.ending)
            .map(|(keys, _)| keys.clone())
            .collect()
    }

    /// The same with the ends of the leases.
    pub fn spans(&self) -> Vec<(Range<u32>, Duration)> {
        let rows = self.rows.iter().map(|(keys, _)| (keys.clone(), self.until));
        rows.chain(
            self.ending
                .iter()
                .map(|(keys, _)| (keys.clone(), self.ending_until)),
        )
        .collect()
    }

    /// True while it is to release keys.
    pub fn is_releasing(&self) -> bool {
        !self.ending.is_empty()
    }

    /// True while it may start a request on a key.
    pub fn holds(&self, key: u32, now: Duration) -> bool {
        now < self.until && self.rows.iter().any(|(keys, _)| keys.contains(&key))
    }

    /// What a heartbeat lists; nothing once the lease has expired, even if requests still run.
    pub fn listed(&self, now: Duration) -> Vec<KeyShare> {
        let rows = self.rows.iter().filter(|_| now < self.until);
        let live = rows.chain(self.ending.iter().filter(|_| now < self.ending_until));
        let share = |(keys, epoch): &(Range<u32>, u64)| KeyShare {
            from: keys.start,
            until: keys.end,
            epoch: *epoch,
            ..KeyShare::default()
        };
        live.map(share).collect()
    }

    /// A grant is accepted unless a higher fencing token was seen on any of its keys.
    fn takes(&mut self, row: &(Range<u32>, u64)) -> bool {
        let (keys, fence) = row;
        let newest = self
            .seen
            .iter()
            .filter(|(seen, _)| overlaps(seen, keys))
            .map(|(_, fence)| *fence)
            .max();
        let taken = newest.is_none_or(|newest| newest <= *fence);
        if taken {
            self.seen = beside(&self.seen, keys);
            self.seen.push(row.clone());
        }
        taken
    }

    /// Takes everything in a response, and is to release the rest.
    pub fn take(&mut self, given: Vec<(Range<u32>, u64)>, until: Duration) {
        self.ending_until = if self.ending.is_empty() {
            self.until
        } else {
            self.ending_until.min(self.until)
        };
        self.until = until;
        let taken: Vec<_> = given.into_iter().filter(|row| self.takes(row)).collect();
        let had = std::mem::take(&mut self.rows)
            .into_iter()
            .chain(std::mem::take(&mut self.ending));
        let left = |had: Vec<(Range<u32>, u64)>, (keys, _): &(Range<u32>, u64)| beside(&had, keys);
        self.ending = taken.iter().fold(had.collect(), left);
        self.rows = taken;
    }

    /// Releases keys that no request runs on any more.
    pub fn release_keys(&mut self, token: &str) -> Vec<Range<u32>> {
        let working = &self.working;
        let busy = |keys: &Range<u32>| working.values().any(|key| keys.contains(key));
        let (ending, gone): (Vec<_>, Vec<_>) =
            self.ending.drain(..).partition(|(keys, _)| busy(keys));
        self.ending = ending;
        let gone: Vec<Range<u32>> = gone.into_iter().map(|(keys, _)| keys).collect();
        let released = |keys: &Range<u32>| KeyShare {
            from: keys.start,
            until: keys.end,
            handover: token.to_owned(),
            ..KeyShare::default()
        };
        self.released.extend(gone.iter().map(released));
        gone
    }

    /// Forgets what has expired.
    pub fn run_out(&mut self, now: Duration) {
        if now >= self.until {
            self.rows.clear();
        }
        if now >= self.ending_until {
            self.ending.clear();
        }
    }
}

/// A key of the moving load: of ten, six of a busy run, one the hot one, three anywhere.
pub(super) fn skewed_key(now: Duration, hot: bool, random: &mut Random) -> u64 {
    let (part, at) = (
        random.below(10),
        now.as_millis() as u64 * MOVES_PER_SECOND / 1000,
    );
    match part {
        _ if hot => HOT,
        0..6 => (5000 + at + random.below(BUSY_KEYS)) % u64::from(KEY_COUNT),
        6 => HOT,
        _ => random.below(KEY_COUNT.into()),
    }
}

impl World {
    /// Releases what it was asked for, as far as no request on it runs.
    pub(super) fn release_keys(&mut self, at: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[at];
        upstream.range_leases.run_out(now);
        let token = format!("{}@{}", upstream.instance, upstream.heartbeat);
        let (service, instance) = (
            upstream.profile.service.to_owned(),
            upstream.instance.clone(),
        );
        upstream
            .range_leases
            .release_keys(&token)
            .into_iter()
            .for_each(|keys| {
                self.note(Observation::KeysReleased {
                    service: service.clone(),
                    keys,
                    instance: instance.clone(),
                });
            });
    }

    /// Sends a control node's response to a heartbeat; without shares it grants nothing.
    pub(super) fn send_range_grants(
        &mut self,
        sent: SentHeartbeat,
        shares: Option<Vec<KeyShare>>,
        span: Duration,
    ) {
        let SentHeartbeat {
            upstream,
            incarnation,
            heartbeat,
            sent_at,
            node,
        } = sent;
        let delay = self.network.delay(
            &mut self.random,
            &self.nodes[node].place,
            &self.upstreams[upstream].place,
        );
        let late = self.delays_grants && self.random.below(4) == 0;
        let more = Duration::from_millis(if late { self.random.below(1500) } else { 0 });
        delay
            .map(|delay| delay + more)
            .zip(shares)
            .into_iter()
            .for_each(|(delay, shares)| {
                self.after(
                    delay,
                    Action::ReceiveRangeGrants {
                        upstream,
                        incarnation,
                        heartbeat,
                        sent_at,
                        shares,
                        span,
                    },
                );
            });
    }

    /// Only a response in time, and only to the latest heartbeat, counts.
    pub(super) fn receive_range_grants(
        &mut self,
        from: (usize, u64, u64, Duration),
        shares: Vec<KeyShare>,
        span: Duration,
    ) {
        let (at, incarnation, heartbeat, sent_at) = from;
        let now = self.now;
        let SimulatedUpstream {
            up,
            incarnation: lives,
            paused_until,
            drift,
            heartbeat: latest,
            ..
        } = self.upstreams[at];
        if !up || lives != incarnation {
            return;
        }
        if now < paused_until {
            return self.at(
                paused_until,
                Action::ReceiveRangeGrants {
                    upstream: at,
                    incarnation,
                    heartbeat,
                    sent_at,
                    shares,
                    span,
                },
            );
        }
        let late = now >= sent_at + true_span(ANSWER_WITHIN, drift);
        if !self.defects.accepts_late_grants && (late || heartbeat != latest) {
            return;
        }
        let until = sent_at + true_span(span, drift) + self.defects.lease_overrun;
        let upstream = &mut self.upstreams[at];
        upstream.range_leases.run_out(now);
        upstream.range_leases.released.clear();
        upstream.range_leases.take(
            shares
                .into_iter()
                .map(|share| (share.from..share.until, share.epoch))
                .collect(),
            until,
        );
        let must_release = upstream.range_leases.is_releasing();
        self.note_held_ranges(at);
        if must_release {
            let wait = Duration::from_micros(self.random.below(AGAIN_MICROS));
            self.after(
                wait,
                Action::RetryHeartbeat {
                    upstream: at,
                    incarnation,
                    heartbeat,
                },
            );
        }
    }

    /// Notes the key ranges that an upstream holds at this moment.
    fn note_held_ranges(&mut self, at: usize) {
        let upstream = &self.upstreams[at];
        let service = upstream.profile.service.to_owned();
        let instance = upstream.instance.clone();
        for (keys, until) in upstream.range_leases.spans() {
            if self.now < until {
                self.note(Observation::KeysHeld {
                    service: service.clone(),
                    keys,
                    instance: instance.clone(),
                    until,
                });
            }
        }
    }
}
