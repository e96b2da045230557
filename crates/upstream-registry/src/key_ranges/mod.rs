//! Assignment of numeric keys to the upstreams of one service, by the holder of the placement lease.
//!
//! A key has one owner. It moves only once the owner's newer heartbeat no longer lists it, or once its key lease,
//! counted here from the response plus a margin, has expired. A deregistration frees nothing: its sender may still
//! process requests. What a new holder of the placement lease may rely on, and why, stands in `docs/design/keys.md`.
//!
//! * [`messages`]: heartbeats and grants.
//! * [`range_table`]: the key space as ranges with a state each.
//! * [`leases`]: confirmation, release, expiry and adoption of key leases.
//! * [`grants`]: grants, renewal and revocation.
//! * [`recorded`]: owners on record at the voters, by whom a key lease outlives the placement lease.
//! * [`reservation`] and [`rebalancing`]: who is to get free keys, and which keys are to move; by load and capacity
//!   ([`load`], [`fair_share`]).

mod fair_share;
mod grants;
mod key_range;
mod leases;
mod load;
mod messages;
mod range_table;
mod rebalancing;
mod recorded;
mod reservation;

pub use load::LoadHistogram;
pub use messages::{
    Grant, Heartbeat, HeldKeyRange, KeyAssignment, MAX_HANDOVER_TOKEN_BYTES, ReleasedKeyRange,
};
pub use range_table::MAX_RANGES;

use range_table::RangeTable;
use recorded::RecordedOwners;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A heartbeat that lists more ranges is not answered.
pub const MAX_RANGES_PER_HEARTBEAT: usize = 1024;
/// Beyond so many instances, those that hold nothing and aren't ready are forgotten.
pub const MAX_INSTANCES: usize = 1024;

/// Grants under one placement lease are counted in so many bits of the fencing token, below the lease's epoch.
const FENCE_COUNTER_BITS: u32 = 24;
/// Clocks may run slow; durations of another clock are waited out with this allowance.
const CLOCK_ERROR_PERCENT: u32 = 3;
/// A ready instance that was silent for this long counts for nothing in the division of keys.
const INSTANCE_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The instances that are ready and were heard of lately, with their capacities.
type ActiveInstances<'a> = BTreeMap<&'a str, u32>;

/// The times that upstreams and the assigner agree on.
#[derive(Clone, Copy, Debug)]
pub struct KeyLeaseTerms {
    /// How long a key lease lasts, from when the heartbeat was sent, by the upstream's clock.
    pub lease_duration: Duration,
    /// A response that arrives later after its heartbeat was sent has no effect.
    pub response_timeout: Duration,
    /// Added to every duration that is waited out, beyond the 3 % for clocks.
    pub margin: Duration,
    /// Least time between two moves for balance.
    pub rebalance_interval: Duration,
    /// An upstream may still apply the response to a heartbeat after it sent a newer one. Then a released key proves
    /// nothing, and keys move only once their lease has expired.
    pub accepts_late_responses: bool,
}

impl KeyLeaseTerms {
    /// How long to wait so that `duration` has passed by an upstream's clock too.
    fn with_clock_error(&self, duration: Duration) -> Duration {
        duration + duration * CLOCK_ERROR_PERCENT / 100 + self.margin
    }
}

/// The last heartbeat of an instance.
struct LastHeartbeat {
    /// None where the instance is known to be ready but was not heard of yet.
    sequence: Option<u64>,
    at: Duration,
}

/// Assigns the numeric keys of one service; the working state of one placement lease.
pub struct KeyRangeAssigner {
    terms: KeyLeaseTerms,
    key_count: u32,
    lease_epoch: u64,
    /// Grants made under this placement lease.
    grant_count: u64,
    /// Before this an earlier lease holder's responses may still take effect, and no heartbeat is answered.
    responds_from: Duration,
    /// Before this key leases of an earlier lease holder may not have expired, and nothing is granted.
    grants_from: Duration,
    /// When keys were last revoked for balance.
    last_rebalance_at: Duration,
    table: RangeTable,
    last_heartbeats: BTreeMap<String, LastHeartbeat>,
    /// The instances among which free keys were divided last.
    reserved_among: BTreeSet<String>,
    /// None where no record of owners is kept.
    recorded: Option<RecordedOwners>,
    /// Nothing is moved for balance at the moment.
    is_rebalancing_paused: bool,
}

impl KeyRangeAssigner {
    /// The state of a new holder of the placement lease, at `now`, when no earlier holder grants any more; keys are
    /// `0..key_count`. `is_bootstrap` says that nothing was ever granted before.
    ///
    /// ```
    /// use upstream_registry::{Heartbeat, LoadHistogram, KeyRangeAssigner, HeldKeyRange, KeyLeaseTerms};
    /// use std::time::Duration;
    /// let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ready = [("a".to_owned(), 1), ("b".to_owned(), 3)].into();
    /// let load = LoadHistogram::uniform(65536);
    /// let a = Heartbeat { instance: "a".into(), sequence: 1, ..Heartbeat::default() };
    /// let mut ranges = KeyRangeAssigner::new(second, terms, 65536, 1, true);
    /// let granted = ranges.handle_heartbeat(second, &a, &ready, &load).unwrap();
    /// assert_eq!((granted[0].from, granted[0].to, granted.len()), (0, 16383, 1), "a quarter");
    ///
    /// let mut next = KeyRangeAssigner::new(second, terms, 65536, 2, false);
    /// assert_eq!(next.handle_heartbeat(second, &a, &ready, &load), None, "an earlier response may still be in flight");
    /// let held = HeldKeyRange { from: 0, to: 16383, fence: granted[0].fence };
    /// let a = Heartbeat { sequence: 2, holdings: vec![held], ..a };
    /// assert_eq!(next.handle_heartbeat(3 * second, &a, &ready, &load), Some(granted), "it keeps what it has");
    /// ```
    pub fn new(
        now: Duration,
        terms: KeyLeaseTerms,
        key_count: u32,
        lease_epoch: u64,
        is_bootstrap: bool,
    ) -> Self {
        let after = |duration: Duration| match is_bootstrap {
            true => now,
            false => now + terms.with_clock_error(duration),
        };
        // Key leases count from the sending of a heartbeat, so the response's way adds nothing.
        let grants_from = after(terms.lease_duration.max(terms.response_timeout));
        KeyRangeAssigner {
            terms,
            key_count,
            lease_epoch,
            grant_count: 0,
            responds_from: after(terms.response_timeout),
            grants_from,
            // Until loads were counted, a new holder moves nothing.
            last_rebalance_at: now,
            table: RangeTable::new(key_count),
            last_heartbeats: BTreeMap::new(),
            reserved_among: BTreeSet::new(),
            recorded: None,
            is_rebalancing_paused: false,
        }
    }

    /// The same where nobody granted anything for so long before `now`: the waits count from then on.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ranges = KeyRangeAssigner::new(9 * second, terms, 100, 2, false).after_idle(2 * second);
    /// assert_eq!(ranges.time_until_grants(9 * second).as_millis(), 1140);
    /// ```
    pub fn after_idle(mut self, idle: Duration) -> Self {
        self.responds_from = self.responds_from.saturating_sub(idle);
        self.grants_from = self.grants_from.saturating_sub(idle);
        self
    }

    /// Moves nothing for balance for a while from now on, as where nobody would learn of it.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// KeyRangeAssigner::new(second, terms, 100, 1, true).postpone_rebalancing(second);
    /// ```
    pub fn postpone_rebalancing(&mut self, now: Duration) {
        self.last_rebalance_at = now;
    }

    /// Whether nothing is moved for balance until this is taken back, as while it is not sure that anybody would learn of it.
    /// What is moving goes back to whom it is believed to belong.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// KeyRangeAssigner::new(second, terms, 100, 1, true).pause_rebalancing(true);
    /// ```
    pub fn pause_rebalancing(&mut self, is_paused: bool) {
        self.is_rebalancing_paused = is_paused;
    }

    /// Answers a heartbeat with everything that its sender is to hold. `ready` are all instances that may hold keys, with
    /// their capacities. One of capacity zero is granted none, but keeps what nobody else may be granted yet. None, and the response is to renew nothing, where the heartbeat was overtaken by a
    /// newer one, exceeds the limits, or comes too soon after the start.
    ///
    /// ```
    /// # use upstream_registry::{Heartbeat, LoadHistogram, KeyRangeAssigner, HeldKeyRange, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let mut ranges = KeyRangeAssigner::new(second, terms, 100, 1, true);
    /// let (load, ready) = (LoadHistogram::uniform(100), [("a".to_owned(), 1)].into());
    /// let heartbeat = |sequence| Heartbeat { instance: "a".into(), sequence, ..Heartbeat::default() };
    /// assert_eq!(ranges.handle_heartbeat(second, &heartbeat(2), &ready, &load).unwrap()[0].to, 99);
    /// assert_eq!(ranges.handle_heartbeat(second, &heartbeat(1), &ready, &load), None, "overtaken");
    /// ```
    pub fn handle_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        ready: &BTreeMap<String, u32>,
        load: &LoadHistogram,
    ) -> Option<Vec<Grant>> {
        if !self.is_current(heartbeat) {
            return None;
        }
        self.record_heartbeat(now, heartbeat, ready);
        if now < self.responds_from {
            return None;
        }
        self.expire_leases(now);
        self.apply_listed_ranges(now, heartbeat);
        self.store_handover_tokens(heartbeat);
        if now < self.grants_from {
            self.adopt_listed_ranges(now, heartbeat);
        }
        let instance = heartbeat.instance.as_str();
        let weight = ready.get(instance).copied();
        let may_grant = now >= self.grants_from;
        // What is taken away before may be granted to nobody until then.
        if weight.is_none() || weight == Some(0) && may_grant {
            self.revoke_leases(instance);
            return Some(Vec::new());
        }
        if may_grant {
            let last_heartbeats = &self.last_heartbeats;
            let was_heard = |name: &str| {
                last_heartbeats
                    .get(name)
                    .is_some_and(|last| now < last.at + INSTANCE_SILENCE_TIMEOUT)
            };
            let active: ActiveInstances = ready
                .iter()
                .filter(|(_, weight)| **weight > 0)
                .map(|(name, weight)| (name.as_str(), *weight))
                .filter(|(name, _)| *name == instance || was_heard(name))
                .collect();
            if self.is_rebalancing_paused {
                self.take_moves_back(&active);
            } else {
                self.rebalance(now, &active, load);
            }
            self.grant_free_keys(now, instance, &active, load);
        } else if self.is_restored() {
            self.grant_recorded_keys(now, instance);
        }
        self.renew_leases(now, instance);
        self.table.join_adjacent();
        Some(self.grants_of(instance))
    }

    /// False where a newer heartbeat of the instance was handled, or this one exceeds the limits.
    fn is_current(&self, heartbeat: &Heartbeat) -> bool {
        let last_sequence = self
            .last_heartbeats
            .get(&heartbeat.instance)
            .and_then(|last| last.sequence);
        let is_superseded = last_sequence.is_some_and(|last| heartbeat.sequence <= last);
        let is_within_limits = heartbeat.holdings.len() <= MAX_RANGES_PER_HEARTBEAT
            && heartbeat.released.len() <= MAX_RANGES_PER_HEARTBEAT;
        !is_superseded && is_within_limits
    }

    fn record_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        ready: &BTreeMap<String, u32>,
    ) {
        for name in ready.keys() {
            self.last_heartbeats
                .entry(name.clone())
                .or_insert(LastHeartbeat {
                    sequence: None,
                    at: now,
                });
        }
        let last = LastHeartbeat {
            sequence: Some(heartbeat.sequence),
            at: now,
        };
        self.last_heartbeats
            .insert(heartbeat.instance.clone(), last);
        if self.last_heartbeats.len() > MAX_INSTANCES {
            // Whoever holds nothing and is granted nothing has nothing to lose by an overtaken heartbeat.
            let table = &self.table;
            let holds_keys = |name: &str| {
                table
                    .iter()
                    .any(|(_, state)| state.lease_of(name).is_some())
            };
            self.last_heartbeats
                .retain(|name, _| ready.contains_key(name) || holds_keys(name));
        }
    }

    /// True while key leases of an earlier lease holder may not have expired.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ranges = KeyRangeAssigner::new(second, terms, 100, 2, false);
    /// assert!(ranges.awaits_earlier_leases(4 * second));
    /// assert!(!ranges.awaits_earlier_leases(5 * second));
    /// ```
    pub fn awaits_earlier_leases(&self, now: Duration) -> bool {
        now < self.grants_from
    }

    /// How long nothing free is granted yet, since key leases of an earlier lease holder may not have expired.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ranges = KeyRangeAssigner::new(second, terms, 100, 2, false);
    /// assert_eq!(ranges.time_until_grants(4 * second).as_millis(), 140, "3 s, 3 % and the margin after its start");
    /// ```
    pub fn time_until_grants(&self, now: Duration) -> Duration {
        self.grants_from.saturating_sub(now)
    }

    /// All fencing tokens of this placement lease lie above this one, all of earlier leases below it.
    fn first_fence(&self) -> u64 {
        self.lease_epoch << FENCE_COUNTER_BITS
    }

    /// When a key lease that is renewed now has expired by every clock.
    fn lease_expiry(&self, now: Duration) -> Duration {
        now + self.terms.with_clock_error(self.terms.lease_duration)
    }
}
