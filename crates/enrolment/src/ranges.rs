//! Ranges of numeric keys of one service, as the holder of the placement lease gives them out.
//!
//! A key has one owner. It moves only once the owner's newer heartbeat no longer lists it, or its hold, counted
//! here from the answer plus a margin, has run out. A sign-off frees nothing: its sender may serve on. What a new
//! holder of the lease may take for granted, and why, stands in `docs/design/keys.md`.

use crate::fair;
use crate::load::Load;
use crate::runs::{Run, join_runs};
use crate::table::{Held, State, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A heartbeat that lists more is no answer's worth.
pub const MOST_ROWS: usize = 1024;
/// Beyond so many instances, those that hold nothing and aren't ready are forgotten.
pub const MOST_INSTANCES: usize = 1024;
/// A longer handover token is dropped, and its keys start cold.
pub const LONGEST_HANDOVER: usize = 1024;

/// Grants of one lease are counted in so many bits of the fence, below its epoch.
const FENCE_BITS: u32 = 24;
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

/// Keys and the fence they were given under.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
}

/// Keys let go, and the token that makes them warm elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub struct Released {
    pub from: u32,
    pub to: u32,
    pub handover: String,
}

/// What an upstream says in one call.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    pub instance: String,
    pub sequence: u64,
    /// What it holds or still works on.
    pub holdings: Vec<Row>,
    /// What it let go since its last acknowledged heartbeat.
    pub released: Vec<Released>,
}

/// Keys an upstream is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    /// The last holder's token, or empty.
    pub handover: String,
}

/// Keys and who holds them.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    pub instance: String,
}

struct Heard {
    sequence: Option<u64>,
    at: Duration,
}

/// Who holds which keys of one service.
pub struct Ranges {
    terms: Terms,
    keys: u32,
    lease_epoch: u64,
    counter: u64,
    /// Before this an earlier lease holder's answers may still have an effect.
    quiet_from: Duration,
    /// Before this what an earlier lease holder gave may not have run out.
    free_from: Duration,
    next_move: Duration,
    table: Table,
    heard: BTreeMap<String, Heard>,
    /// Among whom the free keys were divided last.
    reserved_among: BTreeSet<String>,
}

impl Ranges {
    /// A new holder of the lease, at `now`, when no earlier holder gives any more; keys are `0..keys`. `founding`
    /// says that nothing was ever given before.
    ///
    /// ```
    /// use enrolment::{Heartbeat, Load, Ranges, Row, Terms};
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
    /// # use enrolment::{Heartbeat, Load, Ranges, Row, Terms};
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
            let counts = |name: &String| heard.get(name).is_some_and(|heard| now < heard.at + SILENT);
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
    fn hear(&mut self, now: Duration, beat: &Heartbeat, ready: &BTreeMap<String, u32>) -> Option<()> {
        let me = &beat.instance;
        let last = self.heard.get(me).and_then(|heard| heard.sequence);
        let sound = beat.holdings.len() <= MOST_ROWS && beat.released.len() <= MOST_ROWS;
        if last.is_some_and(|last| beat.sequence <= last) || !sound {
            return None;
        }
        ready.keys().for_each(|name| {
            self.heard.entry(name.clone()).or_insert(Heard { sequence: None, at: now });
        });
        self.heard.insert(me.clone(), Heard { sequence: Some(beat.sequence), at: now });
        if self.heard.len() > MOST_INSTANCES {
            // Whoever holds nothing and is given nothing has nothing to lose by an overtaken heartbeat.
            let table = &self.table;
            self.heard.retain(|name, _| {
                ready.contains_key(name) || table.iter().any(|(_, _, state)| state.held_by(name).is_some())
            });
        }
        Some(())
    }

    fn run_out(&mut self, now: Duration) {
        self.table.each(|state| {
            let over = state.held().filter(|held| now >= held.until);
            // A token from before the hold's end is the last holder's only where that one has let go.
            let free = over.map(|held| freed(held, held.dropped));
            free.into_iter().for_each(|free| *state = free);
        });
        self.table.join();
    }

    /// What it lists, it has; what it no longer lists, it has let go.
    fn confirm(&mut self, now: Duration, beat: &Heartbeat) {
        let (me, last) = (beat.instance.as_str(), self.keys.saturating_sub(1));
        let mine = self.table.within(0, last).into_iter().filter_map(|(from, to, state)| match state {
            State::Held(held) if held.owner == me => Some((from, to, held)),
            _ => None,
        });
        let mine: Vec<(u32, u32, Held)> = mine.collect();
        mine.into_iter().for_each(|(from, to, held)| {
            let (listed, missing) = divide(from, to, held.fence, &beat.holdings);
            let sure = Held { confirmed: true, dropped: false, handover: String::new(), ..held.clone() };
            listed.into_iter().for_each(|(from, to)| self.table.set(from, to, State::Held(sure.clone())));
            let left = self.left(now, held);
            missing.into_iter().for_each(|(from, to)| self.table.set(from, to, left.clone()));
        });
    }

    /// What becomes of keys that their owner doesn't list.
    fn left(&self, now: Duration, held: Held) -> State {
        let took_by = held.given + surely(self.terms.answer_within, self.terms.margin);
        if !self.terms.late_answers {
            // A grant that was never taken keeps its token, unless it may have been taken and have run out since.
            let young = now + self.terms.hold / 2 < held.until;
            freed(&held, young)
        } else if !held.confirmed && now < took_by {
            State::Held(held)
        } else {
            // Nothing shows that this heartbeat was sent after the last answer lost its effect: the hold must run out.
            State::Held(Held { asked_back: true, dropped: true, ..held })
        }
    }

    /// Tokens of what it let go, for whoever is given it next.
    fn keep_tokens(&mut self, beat: &Heartbeat) {
        let sound = beat.released.iter().filter(|row| row.from <= row.to && row.to < self.keys);
        sound.filter(|row| row.handover.len() <= LONGEST_HANDOVER).for_each(|row| {
            self.table.within(row.from, row.to).into_iter().for_each(|(from, to, state)| {
                let handover = row.handover.clone();
                let with_token = match state {
                    State::Free { last, taker, passed, .. }
                        if last.as_ref().is_none_or(|last| *last == beat.instance) =>
                    {
                        Some(State::Free { last, handover, taker, passed })
                    }
                    State::Held(held) if held.dropped && held.owner == beat.instance => {
                        Some(State::Held(Held { handover, ..held }))
                    }
                    _ => None,
                };
                with_token.into_iter().for_each(|state| self.table.set(from, to, state));
            });
        });
    }

    /// Takes over what an upstream had from an earlier lease holder. Where two list a key, the later grant counts.
    fn adopt(&mut self, now: Duration, beat: &Heartbeat) {
        let earlier = self.lease_epoch << FENCE_BITS;
        let sound = beat.holdings.iter().filter(|row| row.from <= row.to && row.to < self.keys && row.fence < earlier);
        sound.for_each(|row| {
            let held = Held {
                owner: beat.instance.clone(),
                fence: row.fence,
                given: now,
                until: now + surely(self.terms.hold, self.terms.margin),
                confirmed: true,
                asked_back: false,
                dropped: false,
                handover: String::new(),
            };
            self.table.within(row.from, row.to).into_iter().for_each(|(from, to, state)| {
                if state.held().is_none_or(|other| other.fence < row.fence) {
                    self.table.set(from, to, State::Held(held.clone()));
                }
            });
        });
    }

    /// Asks keys back where one has too many and another too few.
    fn balance(&mut self, now: Duration, active: &BTreeMap<&str, u32>, load: &Load) {
        let moving = |state: &State| state.held().is_none_or(|held| held.asked_back);
        if now < self.next_move || self.table.iter().any(|(_, _, state)| moving(state)) {
            return;
        }
        let moves = fair::moves(&self.table, active, load, self.keys);
        if !moves.is_empty() {
            self.next_move = now + self.terms.settle;
        }
        moves.into_iter().for_each(|(from, to)| {
            self.table.within(from, to).into_iter().for_each(|(from, to, state)| {
                if let State::Held(held) = state {
                    self.table.set(from, to, State::Held(Held { asked_back: true, ..held }));
                }
            });
        });
    }

    /// Decides who is to take the free keys that nobody is to take yet; all of them where others are active than before.
    fn reserve(&mut self, active: &BTreeMap<&str, u32>, load: &Load) {
        // Capacities change with each request, and what is reserved stays: it would pass by those already heard.
        if !self.reserved_among.iter().map(String::as_str).eq(active.keys().copied()) {
            self.reserved_among = active.keys().map(|name| (*name).to_owned()).collect();
            self.table.each(|state| {
                if let State::Free { taker, .. } = state {
                    *taker = None;
                }
            });
            self.table.join();
        }
        if !self.table.iter().any(|(_, _, state)| matches!(state, State::Free { taker: None, .. })) {
            return;
        }
        fair::reserve(&self.table, active, load).into_iter().for_each(|(from, to, taker)| {
            self.table.within(from, to).into_iter().for_each(|(from, to, state)| {
                if let State::Free { last, handover, passed, .. } = state {
                    let taker = Some(taker.to_owned());
                    self.table.set(from, to, State::Free { last, handover, taker, passed });
                }
            });
        });
    }

    /// Gives the free keys that are reserved for this one, and those whose taker stays away.
    fn give(&mut self, now: Duration, me: &str, active: &BTreeMap<&str, u32>, load: &Load) {
        self.reserve(active, load);
        let stays_away = |passed: usize| passed > active.len();
        let mine = |state: &State| match state {
            State::Free { taker, passed, .. } => taker.as_deref() == Some(me) || stays_away(*passed),
            State::Held(_) => false,
        };
        let parts: Spans =
            self.table.iter().filter(|(_, _, state)| mine(state)).map(|(from, to, _)| (from, to)).collect();
        self.table.each(|state| match state {
            State::Free { passed, .. } => *passed += 1,
            State::Held(_) => {}
        });
        if parts.is_empty() || self.counter + 1 >= 1 << FENCE_BITS {
            return;
        }
        self.counter += 1;
        let fence = (self.lease_epoch << FENCE_BITS) + self.counter;
        let until = now + surely(self.terms.hold, self.terms.margin);
        parts.into_iter().for_each(|(from, to)| {
            self.table.within(from, to).into_iter().for_each(|(from, to, state)| {
                if let State::Free { handover, .. } = state {
                    let owner = me.to_owned();
                    let (confirmed, asked_back, dropped) = (false, false, false);
                    let held = Held { owner, fence, given: now, until, confirmed, asked_back, dropped, handover };
                    self.table.set(from, to, State::Held(held));
                }
            });
        });
    }

    fn renew(&mut self, now: Duration, me: &str) {
        let until = now + surely(self.terms.hold, self.terms.margin);
        self.table.each(|state| match state {
            State::Held(held) if held.owner == me && !held.asked_back => {
                held.until = until;
            }
            _ => {}
        });
    }

    fn grants(&self, me: &str) -> Vec<Grant> {
        let mine = self.table.iter().filter_map(|(from, to, state)| {
            let held = state.held_by(me).filter(|held| !held.asked_back)?;
            Some((from, to, (held.fence, held.handover.as_str())))
        });
        let grant = |(from, to, (fence, handover)): Run<(u64, &str)>| {
            let handover = handover.to_owned();
            Grant { from, to, fence, handover }
        };
        join_runs(mine).into_iter().map(grant).collect()
    }

    /// True while what an earlier lease holder gave may not have run out.
    ///
    /// ```
    /// # use enrolment::{Ranges, Terms};
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
    /// # use enrolment::{Ranges, Terms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = Terms { hold: 3 * second, answer_within: second, margin, settle: 2 * second, late_answers: false };
    /// assert!(Ranges::new(second, terms, 100, 2, false).all(second).is_empty());
    /// ```
    pub fn all(&self, now: Duration) -> Vec<Holding> {
        let held = self.table.iter().filter_map(|(from, to, state)| {
            let held = state.held().filter(|held| now < held.until && !held.dropped)?;
            Some((from, to, (held.fence, held.owner.as_str())))
        });
        let holding = |(from, to, (fence, owner)): Run<(u64, &str)>| {
            let instance = owner.to_owned();
            Holding { from, to, fence, instance }
        };
        join_runs(held).into_iter().map(holding).collect()
    }
}

/// A span of another's clock, waited out on this one.
fn surely(span: Duration, margin: Duration) -> Duration {
    span + span * 3 / 100 + margin
}

fn freed(held: &Held, with_token: bool) -> State {
    let handover = held.handover.clone();
    let handover = Some(handover).filter(|_| with_token).unwrap_or_default();
    State::Free { last: Some(held.owner.clone()), handover, taker: None, passed: 0 }
}

type Spans = Vec<(u32, u32)>;

/// The parts of a range that rows list under its fence, and those that they don't.
fn divide(from: u32, to: u32, fence: u64, rows: &[Row]) -> (Spans, Spans) {
    let touching =
        rows.iter().filter(|row| row.fence == fence && row.from <= row.to && row.from <= to && row.to >= from);
    let mut listed: Spans = touching.map(|row| (row.from.max(from), row.to.min(to))).collect();
    listed.sort_unstable();
    let mut missing = Vec::new();
    let next = listed.iter().fold(from, |next, (left, right)| {
        if *left > next {
            missing.push((next, left - 1));
        }
        next.max(right + 1)
    });
    if next <= to {
        missing.push((next, to));
    }
    (listed, missing)
}
