//! Sums of requests counted by key.

use crate::{BoundLoad, KeyLoad};
use std::collections::BTreeMap;

/// Most lists of home regions that the requests of one service are counted by; requests of further lists count as if they
/// could be executed anywhere.
const MAX_HOME_LISTS: usize = 64;

impl KeyLoad {
    /// Adds what was counted of the same service elsewhere or later.
    ///
    /// ```
    /// use protocol::KeyLoad;
    /// let mut sum = KeyLoad { parts: vec![1, 3], counts: vec![5, 6], ended: 2, work_ms: 90, ..KeyLoad::default() };
    /// sum.merge(KeyLoad { parts: vec![0, 3], counts: vec![7, 8], ended: 1, work_ms: 10, ..KeyLoad::default() });
    /// assert_eq!((sum.parts, sum.counts, sum.ended, sum.work_ms), (vec![0, 1, 3], vec![7, 5, 14], 3, 100));
    /// ```
    pub fn merge(&mut self, other: KeyLoad) {
        let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
        let own = std::mem::take(&mut self.parts)
            .into_iter()
            .zip(std::mem::take(&mut self.counts));
        for (bucket, count) in own.chain(other.parts.into_iter().zip(other.counts)) {
            let sum = sums.entry(bucket).or_default();
            *sum = sum.saturating_add(count);
        }
        (self.parts, self.counts) = sums.into_iter().unzip();
        for bound in other.bound {
            self.add_bound(&bound.regions, bound.count);
        }
        self.ended = self.ended.saturating_add(other.ended);
        self.work_ms = self.work_ms.saturating_add(other.work_ms);
    }

    /// Counts requests that may be executed in these regions only.
    ///
    /// ```
    /// let mut load = protocol::KeyLoad::default();
    /// load.add_bound(&["north".to_owned()], 2);
    /// load.add_bound(&["north".to_owned()], 3);
    /// assert_eq!((load.bound.len(), load.bound[0].count), (1, 5));
    /// ```
    pub fn add_bound(&mut self, regions: &[String], count: u32) {
        if let Some(known) = self.bound.iter_mut().find(|bound| bound.regions == regions) {
            known.count = known.count.saturating_add(count);
        } else if self.bound.len() < MAX_HOME_LISTS {
            let regions = regions.to_vec();
            self.bound.push(BoundLoad { regions, count });
        }
    }
}
