//! Requests by key that were counted here and not told yet.

use protocol::KeyLoad;
use std::collections::{BTreeMap, VecDeque};

/// Counts come each second. Where nobody was asked for longer than this, the oldest are dropped: they would count for
/// little, and whoever hears of all at once would take them for new.
const MAX_PENDING: usize = 6;

/// The last counts, oldest first, until they are told.
#[derive(Default)]
pub(crate) struct PendingLoads(VecDeque<Vec<KeyLoad>>);

impl PendingLoads {
    pub(crate) fn add(&mut self, counted: Vec<KeyLoad>) {
        self.0.push_back(counted);
        if self.0.len() > MAX_PENDING {
            self.0.pop_front();
        }
    }

    /// All of them, summed by service and part; nothing is left.
    pub(crate) fn take(&mut self) -> Vec<KeyLoad> {
        if self.0.len() <= 1 {
            return self.0.pop_front().unwrap_or_default();
        }
        let mut sums: BTreeMap<String, BTreeMap<u32, u32>> = BTreeMap::new();
        self.0.drain(..).flatten().for_each(|load| {
            let parts = sums.entry(load.service).or_default();
            load.parts
                .into_iter()
                .zip(load.counts)
                .for_each(|(part, count)| {
                    let sum = parts.entry(part).or_default();
                    *sum = sum.saturating_add(count);
                });
        });
        let load = |(service, parts): (String, BTreeMap<u32, u32>)| {
            let (parts, counts) = parts.into_iter().unzip();
            KeyLoad {
                service,
                parts,
                counts,
            }
        };
        sums.into_iter().map(load).collect()
    }
}
