//! Ranges of keys, and runs of adjacent ranges with the same value.

use super::messages::{HeldKeyRange, ReleasedKeyRange};

/// A range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyRange {
    pub(crate) first: u32,
    pub(crate) last: u32,
}

impl KeyRange {
    pub(crate) fn new(first: u32, last: u32) -> Self {
        KeyRange { first, last }
    }

    /// The range that a row of a heartbeat names, where it is valid in a space of `key_count` keys.
    fn checked(first: u32, last: u32, key_count: u32) -> Option<Self> {
        (first <= last && last < key_count).then_some(KeyRange { first, last })
    }

    pub(crate) fn of_held(row: &HeldKeyRange, key_count: u32) -> Option<Self> {
        Self::checked(row.from, row.to, key_count)
    }

    pub(crate) fn of_released(row: &ReleasedKeyRange, key_count: u32) -> Option<Self> {
        Self::checked(row.from, row.to, key_count)
    }

    pub(crate) fn key_count(&self) -> u32 {
        self.last - self.first + 1
    }

    /// The common keys of two ranges, where there are any.
    pub(crate) fn intersection(&self, other: &KeyRange) -> Option<KeyRange> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(KeyRange { first, last })
    }

    /// What is left of this range without the keys of another; up to two ranges, in order.
    pub(crate) fn without(&self, other: &KeyRange) -> Vec<KeyRange> {
        let Some(common) = self.intersection(other) else {
            return vec![*self];
        };
        let mut rest = Vec::new();
        if self.first < common.first {
            rest.push(KeyRange::new(self.first, common.first - 1));
        }
        if common.last < self.last {
            rest.push(KeyRange::new(common.last + 1, self.last));
        }
        rest
    }
}

/// A range of keys that all have the same value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Run<T> {
    pub(crate) range: KeyRange,
    pub(crate) value: T,
}

/// Joins runs that follow one another without a gap and have the same value. They must come in the order of their keys.
pub(crate) fn join_adjacent<T: PartialEq>(runs: impl Iterator<Item = Run<T>>) -> Vec<Run<T>> {
    let mut joined: Vec<Run<T>> = Vec::new();
    for run in runs {
        match joined.last_mut() {
            Some(previous)
                if previous.range.last + 1 == run.range.first && previous.value == run.value =>
            {
                previous.range.last = run.range.last;
            }
            _ => joined.push(run),
        }
    }
    joined
}
