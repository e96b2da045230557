//! Ranges of numeric keys of one service, as the holder of the placement lease gives them out.
//!
//! A key has one owner. It moves only once the owner's newer heartbeat no longer lists it, or its hold, counted
//! here from the answer plus a margin, has run out. A sign-off frees nothing: its sender may serve on. What a new
//! holder of the lease may take for granted, and why, stands in `docs/design/keys.md`.

use crate::heartbeat::{Grant, Heartbeat, Holding};
use crate::holds::surely;
use crate::load::Load;
use crate::runs::{Run, join_runs};
use crate::table::{State, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A heartbeat that lists more is no answer's worth.
pub const MAX_ROWS: usize = 1024;
/// Beyond so many instances, those that hold nothing and aren't ready are forgotten.
pub const MAX_INSTANCES: usize = 1024;
/// Grants of one lease are counted in so many bits of the fence, below its epoch.
pub(crate) const FENCE_BITS: u32 = 24;

/// A ready instance that was silent for this long counts for nothing in the division.
const SILENT: Duration = Duration::from_secs(3);

/// The times both sides go by.
#[derive(Clone, Copy)]
pub struct Terms {
    /// How long a hold lasts, from when the heartbeat was sent, by the upstream's clock.
    pub hold: Duration,
    /// An answer that comes later after its heartbeat's sending has no effect.
    pub answer_within: Duration,
    /// Added to every span that is waited out, beyond the 3 % for clocks.
    pub margin: Duration,
    /// Least time between two moves for balance.
    pub settle: Duration,
    /// An upstream may still take the answer to a heartbeat after it sent a newer one. Then its letting go proves
    /// nothing, and keys move only once their hold has run out.
    pub late_answers: bool,
}

pub(crate) struct Heard {
    sequence: Option<u64>,
    at: Duration,
}

/// Who holds which keys of one service.
pub struct Ranges {
    pub(crate) terms: Terms,
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

impl Ranges {
    /// A new holder of the lease, at `now`, when no earlier holder gives any more; keys are `0..keys`. `founding`
    /// says that nothing was ever given before.
    ///
    /// ```
    /// use upstream_registry::{Heartbeat, Load, Ranges, Row, Terms};
    /// use std::time::Duration;
    /// let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// let terms = Terms { hold: 3 * second, answer_within: second, margin, settle: 2 * second, late_answers: false };
    /// let ready = [("a".to_owned(), 1), ("b".to_owned(), 3)].into();
    /// let load = Load::even(65536);
    /// let a = Heartbeat { instance: "a".into(), sequence: 1, ..Heartbeat::default() };
    /// let mut ranges = Ranges::new(second, terms, 65536, 1, true);
    /// let given = ranges.beat(second, &a, &ready, &load).unwrap();
    /// assert_eq!((given[0].from, given[0].to, given.len()), (0, 16383, 1), "a quarter");
    ///
    /// let mut next = Ranges::new(second, terms, 65536, 2, false);
    /// assert_eq!(next.beat(second, &a, &ready, &load), None, "an earlier answer may still be under way");
    /// let held = Row { from: 0, to: 16383, fence: given[0].fence };
    /// let a = Heartbeat { sequence: 2, holdings: vec![held], ..a };
    /// assert_eq!(next.beat(3 * second, &a, &ready, &load), Some(given), "it keeps what it has");
    /// ```
    pub fn new(now: Duration, terms: Terms, keys: u32, lease_epoch: u64, founding: bool) -> Self {
        let after = |span: Duration| if founding { now } else { now + span };
        let quiet_from = after(surely(terms.answer_within, terms.margin));
        // Holds count from the sending of a heartbeat, so the answer's way adds nothing.
        let free_from = after(surely(terms.hold.max(terms.answer_within), terms.margin));
        Ranges {
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
    /// # use upstream_registry::{Heartbeat, Load, Ranges, Row, Terms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = Terms { hold: 3 * second, answer_within: second, margin, settle: 2 * second, late_answers: false };
    /// let mut ranges = Ranges::new(second, terms, 100, 1, true);
    /// let (load, one) = (Load::even(100), [("a".to_owned(), 1)].into());
    /// let beat = |sequence| Heartbeat { instance: "a".into(), sequence, ..Heartbeat::default() };
    /// assert_eq!(ranges.beat(second, &beat(2), &one, &load).unwrap()[0].to, 99);
    /// assert_eq!(ranges.beat(second, &beat(1), &one, &load), None, "overtaken");
    /// ```
    pub fn beat(
        &mut self,
        now: Duration,
        beat: &Heartbeat,
        ready: &BTreeMap<String, u32>,
        load: &Load,
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
        let sound = beat.holdings.len() <= MAX_ROWS && beat.released.len() <= MAX_ROWS;
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
    /// # use upstream_registry::{Ranges, Terms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = Terms { hold: 3 * second, answer_within: second, margin, settle: 2 * second, late_answers: false };
    /// let ranges = Ranges::new(second, terms, 100, 2, false);
    /// assert!(ranges.is_quiet(4 * second));
    /// assert!(!ranges.is_quiet(5 * second));
    /// ```
    pub fn is_quiet(&self, now: Duration) -> bool {
        now < self.free_from
    }

    /// Everything that is given out, by key; what was asked back is in it until it is let go.
    ///
    /// ```
    /// # use upstream_registry::{Ranges, Terms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = Terms { hold: 3 * second, answer_within: second, margin, settle: 2 * second, late_answers: false };
    /// assert!(Ranges::new(second, terms, 100, 2, false).all(second).is_empty());
    /// ```
    pub fn all(&self, now: Duration) -> Vec<Holding> {
        let held = self.table.iter().filter_map(|(from, to, state)| {
            let held = state
                .held()
                .filter(|held| now < held.until && !held.dropped)?;
            Some((from, to, (held.fence, held.owner.as_str())))
        });
        let holding = |(from, to, (fence, owner)): Run<(u64, &str)>| {
            let instance = owner.to_owned();
            Holding {
                from,
                to,
                fence,
                instance,
            }
        };
        join_runs(held).into_iter().map(holding).collect()
    }
}
