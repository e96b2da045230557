//! Which keys some rows of key shares cover. Ranges here include their first key and exclude their end.

use protocol::KeyShare;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;

/// The parts of some shares that none of the others covers.
///
/// ```
/// use protocol::KeyShare;
/// let share = |from, until| KeyShare { from, until, instance: "a".into(), ..Default::default() };
/// let left = name_directory::uncovered(&[share(0, 10)], &[share(2, 4)]);
/// assert_eq!(left, [share(0, 2), share(4, 10)]);
/// ```
pub fn uncovered(shares: &[KeyShare], by: &[KeyShare]) -> Vec<KeyShare> {
    let covered = union(by);
    shares
        .iter()
        .flat_map(|share| {
            gaps_of(share, &covered)
                .into_iter()
                .map(|gap| part_of(share, gap))
        })
        .collect()
}

/// The parts of a share between covered ranges, which come in order and don't touch.
fn gaps_of(share: &KeyShare, covered: &[Range<u32>]) -> Vec<Range<u32>> {
    // The first range that ends beyond the start of this share; those before it cover nothing of it.
    let first = covered.partition_point(|range| range.end <= share.from);
    let overlapping = covered[first..]
        .iter()
        .take_while(|range| range.start < share.until);
    let mut gaps = Vec::new();
    let mut position = share.from;
    for range in overlapping {
        gaps.push(position..range.start);
        position = range.end;
    }
    gaps.push(position..share.until);
    gaps.retain(|gap| !gap.is_empty());
    gaps
}

fn part_of(share: &KeyShare, range: Range<u32>) -> KeyShare {
    KeyShare {
        from: range.start,
        until: range.end,
        ..share.clone()
    }
}

/// The keys that some of the shares cover, as ranges in order that don't touch.
fn union(shares: &[KeyShare]) -> Vec<Range<u32>> {
    let mut ranges: Vec<(u32, u32)> = shares
        .iter()
        .filter(|share| share.from < share.until)
        .map(|share| (share.from, share.until))
        .collect();
    ranges.sort_unstable();
    let mut union: Vec<Range<u32>> = Vec::new();
    for (from, until) in ranges {
        match union.last_mut().filter(|last| from <= last.end) {
            Some(last) => last.end = until.max(last.end),
            None => union.push(from..until),
        }
    }
    union
}

/// Shares of which no two name the same key, in the order of their keys: where several rows name a key, the one of the
/// highest epoch counts, and among equal epochs the first.
///
/// ```
/// use protocol::KeyShare;
/// let share = |from, until, epoch| KeyShare { from, until, epoch, ..KeyShare::default() };
/// let held = name_directory::latest_grants(vec![share(0, 10, 1), share(4, 6, 2)]);
/// assert_eq!(held, [share(0, 4, 1), share(4, 6, 2), share(6, 10, 1)]);
/// ```
pub fn latest_grants(mut rows: Vec<KeyShare>) -> Vec<KeyShare> {
    rows.sort_by_key(|share| Reverse(share.epoch));
    let mut covered = CoveredKeys::default();
    let mut shares = Vec::new();
    for share in &rows {
        for gap in covered.cover(share.from, share.until) {
            shares.push(part_of(share, gap));
        }
    }
    shares.sort_by_key(|share| share.from);
    shares
}

/// Keys covered so far: the ends of ranges that neither overlap nor touch, by their starts.
#[derive(Default)]
struct CoveredKeys(BTreeMap<u32, u32>);

impl CoveredKeys {
    /// Covers these keys too, and returns the parts of them that were not covered before. A range that it joins is
    /// removed from the map, so that each is joined only once.
    fn cover(&mut self, from: u32, until: u32) -> Vec<Range<u32>> {
        if from >= until {
            return Vec::new();
        }
        let touched = self.touching(from, until);
        let mut gaps = Vec::new();
        let mut position = from;
        for range in &touched {
            if position < range.start {
                gaps.push(position..range.start);
            }
            position = position.max(range.end);
        }
        if position < until {
            gaps.push(position..until);
        }
        for range in &touched {
            self.0.remove(&range.start);
        }
        let joined_start = touched.first().map_or(from, |range| range.start.min(from));
        self.0.insert(joined_start, position.max(until));
        gaps
    }

    /// The covered ranges that overlap or touch these keys, in order.
    fn touching(&self, from: u32, until: u32) -> Vec<Range<u32>> {
        let before = self
            .0
            .range(..from)
            .next_back()
            .filter(|(_, end)| **end >= from);
        let first = before.map_or(from, |(start, _)| *start);
        self.0
            .range(first..=until)
            .map(|(start, end)| *start..*end)
            .collect()
    }
}
