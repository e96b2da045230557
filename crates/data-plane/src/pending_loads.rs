//! Requests by key that were counted here and not reported yet.

use protocol::KeyLoad;
use std::collections::{BTreeMap, VecDeque};

/// Counts come each second. Where no control node was asked for longer than this, the oldest are dropped: they would
/// count for little, and whoever got all at once would take them for new.
const MAX_PENDING: usize = 6;

/// The last counts, oldest first, until they are reported.
#[derive(Default)]
pub(crate) struct PendingLoads(VecDeque<Vec<KeyLoad>>);

impl PendingLoads {
    pub(crate) fn add(&mut self, loads: Vec<KeyLoad>) {
        self.0.push_back(loads);
        if self.0.len() > MAX_PENDING {
            self.0.pop_front();
        }
    }

    /// All of them, summed by service; nothing is left.
    pub(crate) fn take(&mut self) -> Vec<KeyLoad> {
        if self.0.len() <= 1 {
            return self.0.pop_front().unwrap_or_default();
        }
        let mut sums: BTreeMap<String, KeyLoad> = BTreeMap::new();
        for load in self.0.drain(..).flatten() {
            match sums.get_mut(&load.service) {
                Some(sum) => sum.merge(load),
                None => drop(sums.insert(load.service.clone(), load)),
            }
        }
        sums.into_values().collect()
    }
}
