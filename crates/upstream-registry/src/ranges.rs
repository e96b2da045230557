//! Ranges of numeric keys of one service, as the holder of the placement lease gives them out.
//!
//! A key has one owner. It moves only once the owner's newer heartbeat no longer lists it, or its hold, counted
//! here from the answer plus a margin, has run out. A sign-off frees nothing: its sender may serve on. What a new
//! holder of the lease may take for granted, and why, stands in `docs/design/keys.md`.

use crate::heartbeat::{Grant, Heartbeat, KeyAssignment};
use crate::holds::surely;
use crate::load::LoadHistogram;
use crate::runs::{Run, join_runs};
use crate::table::{State, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A heartbeat that lists more is no answer's worth.
pub const MAX_RANGES_PER_HEARTBEAT: usize = 1024;
/// Beyond so many instances, those that hold nothing and aren't ready are forgotten.
pub const MAX_INSTANCES: usize = 1024;
/// Grants of one lease are counted in so many bits of the fence, below its epoch.
pub(crate) const FENCE_BITS: u32 = 24;

/// A ready instance that was silent for this long counts for nothing in the division.
const SILENT: Duration = Duration::from_secs(3);

/// The times both sides go by.
#[derive(Clone, Copy)]
pub struct KeyLeaseTerms {
    /// How long a hold lasts, from when the heartbeat was sent, by the upstream's clock.
    pub lease_duration: Duration,
    /// An answer that comes later after its heartbeat's sending has no effect.
    pub response_timeout: Duration,
    /// Added to every span that is waited out, beyond the 3 % for clocks.
    pub margin: Duration,
    /// Least time between two moves for balance.
    pub rebalance_interval: Duration,
    /// An upstream may still take the answer to a heartbeat after it sent a newer one. Then its letting go proves
    /// nothing, and keys move only once their hold has run out.
    pub accepts_late_responses: bool,
}

pub(crate) struct Heard {
    sequence: Option<u64>,
    at: Duration,
}

/// Who holds which keys of one service.
pub struct KeyRangeAssigner {
    pub(crate) terms: KeyLeaseTerms,
    pub(crate) keys: u32,
    pub(crate) lease_epoch: u64,
    pub(crate) counter: u64,
    /// Before this an earlier lease holder's answers may still have an effect.
    pub(crate) quiet_from: Duration,
    /// Before this what an earlier lease holder gave may not have run out.
    pub(crate) free_from: Duration,
    pub(crate) next_move: Duration,
    pub(crate) table: Table,
    pub(crate) heard: BTreeMap<String, Heard>,
    /// Among whom the free keys were divided last.
    pub(crate) reserved_among: BTreeSet<String>,
}

impl KeyRangeAssigner {
    /// A new holder of the lease, at `now`, when no earlier holder gives any more; keys are `0..keys`. `founding`
    /// says that nothing was ever given before.
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
    /// let given = ranges.handle_heartbeat(second, &a, &ready, &load).unwrap();
    /// assert_eq!((given[0].from, given[0].to, given.len()), (0, 16383, 1), "a quarter");
    ///
    /// let mut next = KeyRangeAssigner::new(second, terms, 65536, 2, false);
    /// assert_eq!(next.handle_heartbeat(second, &a, &ready, &load), None, "an earlier answer may still be under way");
    /// let held = HeldKeyRange { from: 0, to: 16383, fence: given[0].fence };
    /// let a = Heartbeat { sequence: 2, holdings: vec![held], ..a };
    /// assert_eq!(next.handle_heartbeat(3 * second, &a, &ready, &load), Some(given), "it keeps what it has");
    /// ```
    pub fn new(
        now: Duration,
        terms: KeyLeaseTerms,
        keys: u32,
        lease_epoch: u64,
        founding: bool,
    ) -> Self {
        let after = |span: Duration| if founding { now } else { now + span };
        let quiet_from = after(surely(terms.response_timeout, terms.margin));
        // Holds count from the sending of a heartbeat, so the answer's way adds nothing.
        let free_from = after(surely(
            terms.lease_duration.max(terms.response_timeout),
            terms.margin,
        ));
        KeyRangeAssigner {
            terms,
            keys,
            lease_epoch,
            counter: 0,
            quiet_from,
            free_from,
            next_move: free_from,
            table: Table::new(keys),
            heard: BTreeMap::new(),
            reserved_among: BTreeSet::new(),
        }
    }

    /// Answers a heartbeat with everything its upstream is to hold; `ready` are all that may be given any, and
    /// their capacity. None, and the answer is to renew nothing, where the heartbeat was overtaken, is beyond the
    /// bounds, or comes too soon after the start.
    ///
    /// ```
    /// # use upstream_registry::{Heartbeat, LoadHistogram, KeyRangeAssigner, HeldKeyRange, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let mut ranges = KeyRangeAssigner::new(second, terms, 100, 1, true);
    /// let (load, one) = (LoadHistogram::uniform(100), [("a".to_owned(), 1)].into());
    /// let beat = |sequence| Heartbeat { instance: "a".into(), sequence, ..Heartbeat::default() };
    /// assert_eq!(ranges.handle_heartbeat(second, &beat(2), &one, &load).unwrap()[0].to, 99);
    /// assert_eq!(ranges.handle_heartbeat(second, &beat(1), &one, &load), None, "overtaken");
    /// ```
    pub fn handle_heartbeat(
        &mut self,
        now: Duration,
        beat: &Heartbeat,
        ready: &BTreeMap<String, u32>,
        load: &LoadHistogram,
    ) -> Option<Vec<Grant>> {
        self.hear(now, beat, ready)?;
        if now < self.quiet_from {
            return None;
        }
        self.run_out(now);
        self.confirm(now, beat);
        self.keep_tokens(beat);
        if now < self.free_from {
            self.adopt(now, beat);
        }
        let me = beat.instance.as_str();
        if !ready.contains_key(me) {
            // Asked back: it comes with tokens that way.
            self.table.each(|state| match state {
                State::Held(held) if held.owner == me => held.asked_back = true,
                _ => {}
            });
            self.table.join();
            return Some(Vec::new());
        }
        if now >= self.free_from {
            let heard = &self.heard;
            let counts =
                |name: &String| heard.get(name).is_some_and(|heard| now < heard.at + SILENT);
            let active: BTreeMap<&str, u32> = ready
                .iter()
                .filter(|(name, _)| *name == me || counts(name))
                .map(|(name, capacity)| (name.as_str(), *capacity))
                .collect();
            self.balance(now, &active, load);
            self.give(now, me, &active, load);
        }
        self.renew(now, me);
        self.table.join();
        Some(self.grants(me))
    }

    /// Remembers the heartbeat's number; none where it was overtaken or is beyond the bounds.
    fn hear(
        &mut self,
        now: Duration,
        beat: &Heartbeat,
        ready: &BTreeMap<String, u32>,
    ) -> Option<()> {
        let me = &beat.instance;
        let last = self.heard.get(me).and_then(|heard| heard.sequence);
        let sound = beat.holdings.len() <= MAX_RANGES_PER_HEARTBEAT
            && beat.released.len() <= MAX_RANGES_PER_HEARTBEAT;
        if last.is_some_and(|last| beat.sequence <= last) || !sound {
            return None;
        }
        ready.keys().for_each(|name| {
            self.heard.entry(name.clone()).or_insert(Heard {
                sequence: None,
                at: now,
            });
        });
        self.heard.insert(
            me.clone(),
            Heard {
                sequence: Some(beat.sequence),
                at: now,
            },
        );
        if self.heard.len() > MAX_INSTANCES {
            // Whoever holds nothing and is given nothing has nothing to lose by an overtaken heartbeat.
            let table = &self.table;
            self.heard.retain(|name, _| {
                ready.contains_key(name)
                    || table
                        .iter()
                        .any(|(_, _, state)| state.held_by(name).is_some())
            });
        }
        Some(())
    }

    /// True while what an earlier lease holder gave may not have run out.
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
        now < self.free_from
    }

    /// Everything that is given out, by key; what was asked back is in it until it is let go.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// assert!(KeyRangeAssigner::new(second, terms, 100, 2, false).assignments(second).is_empty());
    /// ```
    pub fn assignments(&self, now: Duration) -> Vec<KeyAssignment> {
        let held = self.table.iter().filter_map(|(from, to, state)| {
            let held = state
                .held()
                .filter(|held| now < held.until && !held.dropped)?;
            Some((from, to, (held.fence, held.owner.as_str())))
        });
        let holding = |(from, to, (fence, owner)): Run<(u64, &str)>| {
            let instance = owner.to_owned();
            KeyAssignment {
                from,
                to,
                fence,
                instance,
            }
        };
        join_runs(held).into_iter().map(holding).collect()
    }
}
