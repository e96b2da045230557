//! The key space, cut into ranges that each have one state.

use std::collections::BTreeMap;
use std::time::Duration;

/// Ranges of one service. At the bound nothing more is cut, and whoever holds a range holds all of it.
pub const MAX_RANGES: usize = 1024;

/// Keys an upstream holds, or may hold.
#[derive(Clone, PartialEq)]
pub(crate) struct Held {
    pub(crate) owner: String,
    pub(crate) fence: u64,
    /// When the grant was first given.
    pub(crate) given: Duration,
    /// From then on the hold has surely run out.
    pub(crate) until: Duration,
    /// The owner has listed it.
    pub(crate) confirmed: bool,
    /// It is left out of the answers, and the owner is to let go.
    pub(crate) asked_back: bool,
    /// The owner has let go; but it may yet take an older answer.
    pub(crate) dropped: bool,
    pub(crate) handover: String,
}

#[derive(Clone, PartialEq)]
pub(crate) enum State {
    /// Nobody's, as far as is known here; whose it was, and that one's handover token if it is known.
    Free {
        last: Option<String>,
        handover: String,
        /// Who is to be given it in the answer to its next heartbeat.
        taker: Option<String>,
        /// How many heartbeats of others left it where it is.
        passed: usize,
    },
    Held(Held),
}

impl State {
    pub(crate) fn held(&self) -> Option<&Held> {
        match self {
            State::Held(held) => Some(held),
            State::Free { .. } => None,
        }
    }

    /// Who is to be given free keys.
    pub(crate) fn taker(&self) -> Option<&str> {
        match self {
            State::Free { taker, .. } => taker.as_deref(),
            State::Held(_) => None,
        }
    }

    pub(crate) fn held_by(&self, owner: &str) -> Option<&Held> {
        self.held().filter(|held| held.owner == owner)
    }
}

/// First key to last key and state; without gaps.
pub(crate) struct Table(BTreeMap<u32, (u32, State)>);

/// A part of the table: first key, last key, state.
pub(crate) type Piece = (u32, u32, State);

impl Table {
    pub(crate) fn new(keys: u32) -> Self {
        let free = State::Free {
            last: None,
            handover: String::new(),
            taker: None,
            passed: 0,
        };
        Table([(0, (keys.max(1) - 1, free))].into())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, u32, &State)> {
        self.0.iter().map(|(from, (to, state))| (*from, *to, state))
    }

    /// What lies between two keys, cut to them.
    pub(crate) fn within(&self, from: u32, to: u32) -> Vec<Piece> {
        let first = self
            .0
            .range(..=from)
            .next_back()
            .map_or(from, |(first, _)| *first);
        let pieces = self.0.range(first..=to.max(first));
        pieces
            .map(|(left, (right, state))| (from.max(*left), to.min(*right), state.clone()))
            .collect()
    }

    /// Gives all keys between two the state; nothing changes where the table is too full for another cut.
    pub(crate) fn set(&mut self, from: u32, to: u32, state: State) {
        let cuts = [from, to.saturating_add(1)];
        let whole = |cut: &u32| {
            self.0.contains_key(cut)
                || self
                    .0
                    .last_key_value()
                    .is_some_and(|(_, (end, _))| cut > end)
        };
        if !cuts.iter().all(whole) && self.0.len() + 2 > MAX_RANGES {
            return;
        }
        cuts.into_iter().for_each(|cut| self.cut(cut));
        let gone: Vec<u32> = self.0.range(from..=to).map(|(from, _)| *from).collect();
        gone.iter().for_each(|from| drop(self.0.remove(from)));
        self.0.insert(from, (to, state));
    }

    fn cut(&mut self, at: u32) {
        let Some((_, (to, state))) = self.0.range_mut(..at).next_back() else {
            return;
        };
        if *to >= at {
            let right = (*to, state.clone());
            *to = at - 1;
            self.0.insert(at, right);
        }
    }

    /// Changes every state in place.
    pub(crate) fn each(&mut self, mut change: impl FnMut(&mut State)) {
        self.0.values_mut().for_each(|(_, state)| change(state));
    }

    /// Joins neighbours of one state.
    pub(crate) fn join(&mut self) {
        let mut joined: BTreeMap<u32, (u32, State)> = BTreeMap::new();
        std::mem::take(&mut self.0)
            .into_iter()
            .for_each(|(from, (to, state))| {
                match joined.last_entry().filter(|last| last.get().1 == state) {
                    Some(mut last) => last.get_mut().0 = to,
                    None => drop(joined.insert(from, (to, state))),
                }
            });
        self.0 = joined;
    }
}
