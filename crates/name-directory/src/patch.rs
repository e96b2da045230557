//! What changed in who holds which keys, so that a change need not be told whole.

use protocol::{KeyShare, Placement, ServiceKeyShares};
use std::collections::BTreeMap;

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
    let gaps = |share: &KeyShare| {
        // The first run that ends beyond the start of this share; those before it cover nothing of it.
        let first = covered.partition_point(|(_, until)| *until <= share.from);
        let runs = covered[first..]
            .iter()
            .take_while(|(from, _)| *from < share.until);
        let mut parts = Vec::new();
        let end = runs.fold(share.from, |at, (from, until)| {
            parts.push((at, *from));
            *until
        });
        parts.push((end, share.until));
        parts
    };
    let part = |share: &KeyShare, (from, until): (u32, u32)| KeyShare {
        from,
        until,
        ..share.clone()
    };
    let parts = shares
        .iter()
        .flat_map(|share| gaps(share).into_iter().map(move |gap| (share, gap)));
    parts
        .filter(|(_, (from, until))| from < until)
        .map(|(share, gap)| part(share, gap))
        .collect()
}

/// Shares of which no two name the same key, in the order of their keys: where some of the rows do, the one of the highest
/// epoch counts, and of those alike the first.
///
/// ```
/// use protocol::KeyShare;
/// let share = |from, until, epoch| KeyShare { from, until, epoch, ..KeyShare::default() };
/// let held = name_directory::latest_grants(vec![share(0, 10, 1), share(4, 6, 2)]);
/// assert_eq!(held, [share(0, 4, 1), share(4, 6, 2), share(6, 10, 1)]);
/// ```
pub fn latest_grants(mut rows: Vec<KeyShare>) -> Vec<KeyShare> {
    rows.sort_by_key(|share| std::cmp::Reverse(share.epoch));
    let mut covered = Covered::default();
    let part = |share: &KeyShare, (from, until): (u32, u32)| KeyShare {
        from,
        until,
        ..share.clone()
    };
    let parts = rows.iter().flat_map(|share| {
        covered
            .cover(share.from, share.until)
            .into_iter()
            .map(move |gap| (share, gap))
    });
    let mut shares: Vec<KeyShare> = parts.map(|(share, gap)| part(share, gap)).collect();
    shares.sort_by_key(|share| share.from);
    shares
}

/// Keys covered so far: the ends of runs that neither overlap nor touch, by their starts.
#[derive(Default)]
struct Covered(BTreeMap<u32, u32>);

impl Covered {
    /// Covers these keys too, and gives the parts of them that were not covered before. A run that it joins is gone from
    /// the map, so that many runs are joined only once.
    fn cover(&mut self, from: u32, until: u32) -> Vec<(u32, u32)> {
        if from >= until {
            return Vec::new();
        }
        let before = self
            .0
            .range(..from)
            .next_back()
            .filter(|(_, end)| **end >= from);
        let first = before.map_or(from, |(start, _)| *start);
        let touched: Vec<(u32, u32)> = self
            .0
            .range(first..=until)
            .map(|(start, end)| (*start, *end))
            .collect();
        let mut gaps = Vec::new();
        let end = touched.iter().fold(from, |at, (start, end)| {
            if at < *start {
                gaps.push((at, *start));
            }
            at.max(*end)
        });
        if end < until {
            gaps.push((end, until));
        }
        touched.iter().for_each(|(start, _)| {
            self.0.remove(start);
        });
        self.0.insert(first, end.max(until));
        gaps
    }
}

/// The keys that some of the shares cover, as runs in order that don't touch.
fn union(shares: &[KeyShare]) -> Vec<(u32, u32)> {
    let mut runs: Vec<(u32, u32)> = shares
        .iter()
        .filter(|share| share.from < share.until)
        .map(|share| (share.from, share.until))
        .collect();
    runs.sort_unstable();
    runs.into_iter()
        .fold(Vec::new(), |mut union: Vec<(u32, u32)>, (from, until)| {
            match union.last_mut().filter(|(_, end)| from <= *end) {
                Some((_, end)) => *end = until.max(*end),
                None => union.push((from, until)),
            }
            union
        })
}

/// What makes one service's shares the new ones: new rows, and rows without an instance where nobody holds any more.
///
/// ```
/// use protocol::KeyShare;
/// let share = |from, until, who: &str| KeyShare { from, until, instance: who.into(), ..Default::default() };
/// let (old, new) = ([share(0, 9, "a")], [share(0, 4, "a"), share(6, 9, "b")]);
/// let patch = name_directory::share_delta(&old, &new);
/// assert_eq!(name_directory::apply_share_delta(&old, &patch), new);
/// ```
pub fn share_delta(old: &[KeyShare], new: &[KeyShare]) -> Vec<KeyShare> {
    let mut known: BTreeMap<u32, Vec<&KeyShare>> = BTreeMap::new();
    old.iter()
        .for_each(|row| known.entry(row.from).or_default().push(row));
    let is_known = |row: &KeyShare| known.get(&row.from).is_some_and(|rows| rows.contains(&row));
    let rows = new.iter().filter(|row| !is_known(row)).cloned();
    let nobody = |row: KeyShare| KeyShare {
        epoch: 0,
        instance: String::new(),
        handover: String::new(),
        ..row
    };
    rows.chain(uncovered(old, new).into_iter().map(nobody))
        .collect()
}

/// The shares after a patch, in the order of their keys.
///
/// ```
/// assert!(name_directory::apply_share_delta(&[], &[]).is_empty());
/// ```
pub fn apply_share_delta(old: &[KeyShare], patch: &[KeyShare]) -> Vec<KeyShare> {
    let kept = uncovered(old, patch);
    let rows = patch.iter().filter(|row| !row.instance.is_empty()).cloned();
    let mut shares: Vec<KeyShare> = kept.into_iter().chain(rows).collect();
    shares.sort_by_key(|share| share.from);
    shares
}

/// What changed from one placement to the next, where that is shares alone; else none, and it is to be told whole.
///
/// ```
/// use protocol::Placement;
/// let old = Placement { epoch: 3, number: 1, ..Default::default() };
/// let new = Placement { number: 2, ..old.clone() };
/// assert_eq!(name_directory::placement_delta(&old, &new).map(|change| (change.partial, change.after)), Some((true, 1)));
/// assert!(name_directory::placement_delta(&old, &Placement { epoch: 4, ..new }).is_none());
/// ```
pub fn placement_delta(old: &Placement, new: &Placement) -> Option<Placement> {
    if old.epoch != new.epoch
        || old.reservations != new.reservations
        || old.tombstones != new.tombstones
    {
        return None;
    }
    let of = |placement: &Placement, service: &str| {
        let known = placement
            .shares
            .iter()
            .find(|known| known.service == service);
        known.map(|known| known.shares.clone()).unwrap_or_default()
    };
    let mut services: Vec<&str> = old
        .shares
        .iter()
        .chain(&new.shares)
        .map(|service| service.service.as_str())
        .collect();
    services.sort_unstable();
    services.dedup();
    let shares = services.into_iter().map(|service| ServiceKeyShares {
        service: service.to_owned(),
        shares: share_delta(&of(old, service), &of(new, service)),
    });
    let shares = shares
        .filter(|service| !service.shares.is_empty())
        .collect();
    Some(Placement {
        epoch: new.epoch,
        number: new.number,
        shares,
        partial: true,
        after: old.number,
        ..Placement::default()
    })
}

/// Takes a change of shares into a list of them.
///
/// ```
/// let mut shares = vec![];
/// name_directory::apply_share_changes(&mut shares, &[protocol::ServiceKeyShares { service: "s".into(), shares: vec![] }]);
/// assert_eq!(shares.len(), 1);
/// ```
pub fn apply_share_changes(shares: &mut Vec<ServiceKeyShares>, changes: &[ServiceKeyShares]) {
    changes.iter().for_each(|change| {
        match shares
            .iter_mut()
            .find(|known| known.service == change.service)
        {
            Some(known) => known.shares = apply_share_delta(&known.shares, &change.shares),
            None => shares.push(ServiceKeyShares {
                service: change.service.clone(),
                shares: apply_share_delta(&[], &change.shares),
            }),
        }
    });
}
