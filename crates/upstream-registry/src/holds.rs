//! Holds of keys: what a heartbeat confirms or lets go, what runs out, and what a new lease holder adopts.

use crate::heartbeat::{Heartbeat, HeldKeyRange, MAX_HANDOVER_TOKEN_BYTES};
use crate::ranges::{FENCE_BITS, KeyRangeAssigner};
use crate::table::{Held, State};
use std::time::Duration;

/// Ranges of keys, both ends included.
pub(crate) type Spans = Vec<(u32, u32)>;

impl KeyRangeAssigner {
    pub(crate) fn run_out(&mut self, now: Duration) {
        self.table.each(|state| {
            let over = state.held().filter(|held| now >= held.until);
            // A token from before the hold's end is the last holder's only where that one has let go.
            let free = over.map(|held| freed(held, held.dropped));
            free.into_iter().for_each(|free| *state = free);
        });
        self.table.join();
    }

    /// What it lists, it has; what it no longer lists, it has let go.
    pub(crate) fn confirm(&mut self, now: Duration, beat: &Heartbeat) {
        let (me, last) = (beat.instance.as_str(), self.keys.saturating_sub(1));
        let mine =
            self.table
                .within(0, last)
                .into_iter()
                .filter_map(|(from, to, state)| match state {
                    State::Held(held) if held.owner == me => Some((from, to, held)),
                    _ => None,
                });
        let mine: Vec<(u32, u32, Held)> = mine.collect();
        mine.into_iter().for_each(|(from, to, held)| {
            let (listed, missing) = divide(from, to, held.fence, &beat.holdings);
            let sure = Held {
                confirmed: true,
                dropped: false,
                handover: String::new(),
                ..held.clone()
            };
            listed
                .into_iter()
                .for_each(|(from, to)| self.table.set(from, to, State::Held(sure.clone())));
            let left = self.left(now, held);
            missing
                .into_iter()
                .for_each(|(from, to)| self.table.set(from, to, left.clone()));
        });
    }

    /// What becomes of keys that their owner doesn't list.
    fn left(&self, now: Duration, held: Held) -> State {
        let took_by = held.given + surely(self.terms.response_timeout, self.terms.margin);
        if !self.terms.accepts_late_responses {
            // A grant that was never taken keeps its token, unless it may have been taken and have run out since.
            let young = now + self.terms.lease_duration / 2 < held.until;
            freed(&held, young)
        } else if !held.confirmed && now < took_by {
            State::Held(held)
        } else {
            // Nothing shows that this heartbeat was sent after the last answer lost its effect: the hold must run out.
            State::Held(Held {
                asked_back: true,
                dropped: true,
                ..held
            })
        }
    }

    /// Tokens of what it let go, for whoever is given it next.
    pub(crate) fn keep_tokens(&mut self, beat: &Heartbeat) {
        let sound = beat
            .released
            .iter()
            .filter(|row| row.from <= row.to && row.to < self.keys);
        sound
            .filter(|row| row.handover.len() <= MAX_HANDOVER_TOKEN_BYTES)
            .for_each(|row| {
                self.table
                    .within(row.from, row.to)
                    .into_iter()
                    .for_each(|(from, to, state)| {
                        let handover = row.handover.clone();
                        let with_token = match state {
                            State::Free {
                                last,
                                taker,
                                passed,
                                ..
                            } if last.as_ref().is_none_or(|last| *last == beat.instance) => {
                                Some(State::Free {
                                    last,
                                    handover,
                                    taker,
                                    passed,
                                })
                            }
                            State::Held(held) if held.dropped && held.owner == beat.instance => {
                                Some(State::Held(Held { handover, ..held }))
                            }
                            _ => None,
                        };
                        with_token
                            .into_iter()
                            .for_each(|state| self.table.set(from, to, state));
                    });
            });
    }

    /// Takes over what an upstream had from an earlier lease holder. Where two list a key, the later grant counts.
    pub(crate) fn adopt(&mut self, now: Duration, beat: &Heartbeat) {
        let earlier = self.lease_epoch << FENCE_BITS;
        let sound = beat
            .holdings
            .iter()
            .filter(|row| row.from <= row.to && row.to < self.keys && row.fence < earlier);
        sound.for_each(|row| {
            let held = Held {
                owner: beat.instance.clone(),
                fence: row.fence,
                given: now,
                until: now + surely(self.terms.lease_duration, self.terms.margin),
                confirmed: true,
                asked_back: false,
                dropped: false,
                handover: String::new(),
            };
            self.table
                .within(row.from, row.to)
                .into_iter()
                .for_each(|(from, to, state)| {
                    if state.held().is_none_or(|other| other.fence < row.fence) {
                        self.table.set(from, to, State::Held(held.clone()));
                    }
                });
        });
    }
}

/// A span of another's clock, waited out on this one.
pub(crate) fn surely(span: Duration, margin: Duration) -> Duration {
    span + span * 3 / 100 + margin
}

pub(crate) fn freed(held: &Held, with_token: bool) -> State {
    let handover = held.handover.clone();
    let handover = Some(handover).filter(|_| with_token).unwrap_or_default();
    State::Free {
        last: Some(held.owner.clone()),
        handover,
        taker: None,
        passed: 0,
    }
}

/// The parts of a range that rows list under its fence, and those that they don't.
fn divide(from: u32, to: u32, fence: u64, rows: &[HeldKeyRange]) -> (Spans, Spans) {
    let touching = rows
        .iter()
        .filter(|row| row.fence == fence && row.from <= row.to && row.from <= to && row.to >= from);
    let mut listed: Spans = touching
        .map(|row| (row.from.max(from), row.to.min(to)))
        .collect();
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
