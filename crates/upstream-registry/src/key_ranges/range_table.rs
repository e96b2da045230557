//! The key space, divided into ranges that each have one state.

use super::key_range::KeyRange;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most ranges of one service. At the limit no range is divided further, and whoever owns a range owns all of it.
pub const MAX_RANGES: usize = 1024;

/// The key lease of an upstream: keys that it holds, or may hold.
#[derive(Clone, PartialEq)]
pub(crate) struct KeyLease {
    pub(crate) owner: String,
    pub(crate) fence: u64,
    /// When the keys were first granted.
    pub(crate) granted_at: Duration,
    /// From then on the lease has expired by every clock within the tolerated error.
    pub(crate) expires_at: Duration,
    /// The owner has listed it.
    pub(crate) is_confirmed: bool,
    /// It is left out of the responses, and the owner is to release it.
    pub(crate) is_revoked: bool,
    /// The owner no longer lists it; but an older response may still take effect there.
    pub(crate) is_unlisted: bool,
    /// The previous owner's token, until this owner lists the keys.
    pub(crate) handover: String,
}

/// Keys without an owner, as far as is known here.
#[derive(Clone, Default, PartialEq)]
pub(crate) struct FreeKeys {
    pub(crate) previous_owner: Option<String>,
    /// The previous owner's handover token, where it is known.
    pub(crate) handover: String,
    /// Who is to be granted the keys in the response to its next heartbeat.
    pub(crate) reserved_for: Option<String>,
    /// How many heartbeats of others left the reservation as it is.
    pub(crate) passed_heartbeats: usize,
}

/// The state of a range.
#[derive(Clone, PartialEq)]
pub(crate) enum RangeState {
    Free(FreeKeys),
    Leased(KeyLease),
}

impl RangeState {
    pub(crate) fn lease(&self) -> Option<&KeyLease> {
        match self {
            RangeState::Leased(lease) => Some(lease),
            RangeState::Free(_) => None,
        }
    }

    pub(crate) fn lease_of(&self, owner: &str) -> Option<&KeyLease> {
        self.lease().filter(|lease| lease.owner == owner)
    }

    /// Who is to be granted free keys.
    pub(crate) fn reserved_for(&self) -> Option<&str> {
        match self {
            RangeState::Free(free) => free.reserved_for.as_deref(),
            RangeState::Leased(_) => None,
        }
    }
}

/// The end of a range and its state; the range's first key is its key in the table.
struct Segment {
    last: u32,
    state: RangeState,
}

/// All keys with their states, as ranges without gaps by their first keys.
pub(crate) struct RangeTable(BTreeMap<u32, Segment>);

impl RangeTable {
    /// A table of `key_count` free keys.
    pub(crate) fn new(key_count: u32) -> Self {
        let segment = Segment {
            last: key_count.max(1) - 1,
            state: RangeState::Free(FreeKeys::default()),
        };
        RangeTable([(0, segment)].into())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (KeyRange, &RangeState)> {
        self.0
            .iter()
            .map(|(first, segment)| (KeyRange::new(*first, segment.last), &segment.state))
    }

    /// Copies of the ranges that lie within another, cut to it.
    pub(crate) fn within(&self, bounds: KeyRange) -> Vec<(KeyRange, RangeState)> {
        let first_segment = self
            .0
            .range(..=bounds.first)
            .next_back()
            .map_or(bounds.first, |(first, _)| *first);
        self.0
            .range(first_segment..=bounds.last.max(first_segment))
            .map(|(first, segment)| {
                let first = bounds.first.max(*first);
                let last = bounds.last.min(segment.last);
                (KeyRange::new(first, last), segment.state.clone())
            })
            .collect()
    }

    /// Sets the state of all keys of a range. Nothing changes where the table is too full for another division.
    pub(crate) fn set(&mut self, range: KeyRange, state: RangeState) {
        let boundaries = [range.first, range.last.saturating_add(1)];
        let needs_division = !boundaries
            .iter()
            .all(|boundary| self.is_boundary(*boundary));
        if needs_division && self.0.len() + 2 > MAX_RANGES {
            return;
        }
        for boundary in boundaries {
            self.divide_at(boundary);
        }
        let replaced: Vec<u32> = self
            .0
            .range(range.first..=range.last)
            .map(|(first, _)| *first)
            .collect();
        for first in replaced {
            self.0.remove(&first);
        }
        let segment = Segment {
            last: range.last,
            state,
        };
        self.0.insert(range.first, segment);
    }

    /// True where a range begins at this key, or the table has ended before it.
    fn is_boundary(&self, key: u32) -> bool {
        let is_beyond_end = || {
            self.0
                .last_key_value()
                .is_some_and(|(_, segment)| key > segment.last)
        };
        self.0.contains_key(&key) || is_beyond_end()
    }

    fn divide_at(&mut self, key: u32) {
        let Some((_, left)) = self.0.range_mut(..key).next_back() else {
            return;
        };
        if left.last < key {
            return;
        }
        let right = Segment {
            last: left.last,
            state: left.state.clone(),
        };
        left.last = key - 1;
        self.0.insert(key, right);
    }

    /// All states, to be changed in place.
    pub(crate) fn states_mut(&mut self) -> impl Iterator<Item = &mut RangeState> {
        self.0.values_mut().map(|segment| &mut segment.state)
    }

    /// Changes each key lease of a range.
    pub(crate) fn update_leases(
        &mut self,
        bounds: KeyRange,
        update: impl Fn(KeyLease) -> RangeState,
    ) {
        for (range, state) in self.within(bounds) {
            if let RangeState::Leased(lease) = state {
                self.set(range, update(lease));
            }
        }
    }

    /// Changes the state of free keys of a range.
    pub(crate) fn update_free(
        &mut self,
        bounds: KeyRange,
        update: impl Fn(FreeKeys) -> RangeState,
    ) {
        for (range, state) in self.within(bounds) {
            if let RangeState::Free(free) = state {
                self.set(range, update(free));
            }
        }
    }

    /// Joins adjacent ranges of the same state.
    pub(crate) fn join_adjacent(&mut self) {
        let mut joined: BTreeMap<u32, Segment> = BTreeMap::new();
        for (first, segment) in std::mem::take(&mut self.0) {
            let previous = joined
                .last_entry()
                .filter(|previous| previous.get().state == segment.state);
            match previous {
                Some(mut previous) => previous.get_mut().last = segment.last,
                None => {
                    joined.insert(first, segment);
                }
            }
        }
        self.0 = joined;
    }
}
