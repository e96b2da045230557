//! Who is given which free keys, and what is asked back for balance.

use crate::fair;
use crate::heartbeat::Grant;
use crate::holds::{Spans, surely};
use crate::load::LoadHistogram;
use crate::ranges::{FENCE_BITS, KeyRangeAssigner};
use crate::runs::{Run, join_runs};
use crate::table::{Held, State};
use std::collections::BTreeMap;
use std::time::Duration;

impl KeyRangeAssigner {
    /// Asks keys back where one has too many and another too few.
    pub(crate) fn balance(
        &mut self,
        now: Duration,
        active: &BTreeMap<&str, u32>,
        load: &LoadHistogram,
    ) {
        let moving = |state: &State| state.held().is_none_or(|held| held.asked_back);
        if now < self.next_move || self.table.iter().any(|(_, _, state)| moving(state)) {
            return;
        }
        let moves = fair::moves(&self.table, active, load, self.keys);
        if !moves.is_empty() {
            self.next_move = now + self.terms.rebalance_interval;
        }
        moves.into_iter().for_each(|(from, to)| {
            self.table
                .within(from, to)
                .into_iter()
                .for_each(|(from, to, state)| {
                    if let State::Held(held) = state {
                        self.table.set(
                            from,
                            to,
                            State::Held(Held {
                                asked_back: true,
                                ..held
                            }),
                        );
                    }
                });
        });
    }

    /// Decides who is to take the free keys that nobody is to take yet; all of them where others are active than before.
    fn reserve(&mut self, active: &BTreeMap<&str, u32>, load: &LoadHistogram) {
        // Capacities change with each request, and what is reserved stays: it would pass by those already heard.
        if !self
            .reserved_among
            .iter()
            .map(String::as_str)
            .eq(active.keys().copied())
        {
            self.reserved_among = active.keys().map(|name| (*name).to_owned()).collect();
            self.table.each(|state| {
                if let State::Free { taker, .. } = state {
                    *taker = None;
                }
            });
            self.table.join();
        }
        if !self
            .table
            .iter()
            .any(|(_, _, state)| matches!(state, State::Free { taker: None, .. }))
        {
            return;
        }
        fair::reserve(&self.table, active, load)
            .into_iter()
            .for_each(|(from, to, taker)| {
                self.table
                    .within(from, to)
                    .into_iter()
                    .for_each(|(from, to, state)| {
                        if let State::Free {
                            last,
                            handover,
                            passed,
                            ..
                        } = state
                        {
                            let taker = Some(taker.to_owned());
                            self.table.set(
                                from,
                                to,
                                State::Free {
                                    last,
                                    handover,
                                    taker,
                                    passed,
                                },
                            );
                        }
                    });
            });
    }

    /// Gives the free keys that are reserved for this one, and those whose taker stays away.
    pub(crate) fn give(
        &mut self,
        now: Duration,
        me: &str,
        active: &BTreeMap<&str, u32>,
        load: &LoadHistogram,
    ) {
        self.reserve(active, load);
        let stays_away = |passed: usize| passed > active.len();
        let mine = |state: &State| match state {
            State::Free { taker, passed, .. } => {
                taker.as_deref() == Some(me) || stays_away(*passed)
            }
            State::Held(_) => false,
        };
        let parts: Spans = self
            .table
            .iter()
            .filter(|(_, _, state)| mine(state))
            .map(|(from, to, _)| (from, to))
            .collect();
        self.table.each(|state| match state {
            State::Free { passed, .. } => *passed += 1,
            State::Held(_) => {}
        });
        if parts.is_empty() || self.counter + 1 >= 1 << FENCE_BITS {
            return;
        }
        self.counter += 1;
        let fence = (self.lease_epoch << FENCE_BITS) + self.counter;
        let until = now + surely(self.terms.lease_duration, self.terms.margin);
        parts.into_iter().for_each(|(from, to)| {
            self.table
                .within(from, to)
                .into_iter()
                .for_each(|(from, to, state)| {
                    if let State::Free { handover, .. } = state {
                        let owner = me.to_owned();
                        let (confirmed, asked_back, dropped) = (false, false, false);
                        let held = Held {
                            owner,
                            fence,
                            given: now,
                            until,
                            confirmed,
                            asked_back,
                            dropped,
                            handover,
                        };
                        self.table.set(from, to, State::Held(held));
                    }
                });
        });
    }

    pub(crate) fn renew(&mut self, now: Duration, me: &str) {
        let until = now + surely(self.terms.lease_duration, self.terms.margin);
        self.table.each(|state| match state {
            State::Held(held) if held.owner == me && !held.asked_back => {
                held.until = until;
            }
            _ => {}
        });
    }

    pub(crate) fn grants(&self, me: &str) -> Vec<Grant> {
        let mine = self.table.iter().filter_map(|(from, to, state)| {
            let held = state.held_by(me).filter(|held| !held.asked_back)?;
            Some((from, to, (held.fence, held.handover.as_str())))
        });
        let grant = |(from, to, (fence, handover)): Run<(u64, &str)>| {
            let handover = handover.to_owned();
            Grant {
                from,
                to,
                fence,
                handover,
            }
        };
        join_runs(mine).into_iter().map(grant).collect()
    }
}
