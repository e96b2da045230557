//! Deltas of key assignments, so that a change need not be sent as a whole placement.

use crate::key_coverage::uncovered;
use protocol::{KeyShare, Placement, ServiceKeyShares};
use std::collections::{BTreeMap, BTreeSet};

/// The delta from one service's old shares to the new ones: new rows, and rows without an instance for keys that nobody
/// owns any more.
///
/// ```
/// use protocol::KeyShare;
/// let share = |from, until, who: &str| KeyShare { from, until, instance: who.into(), ..Default::default() };
/// let (old, new) = ([share(0, 9, "a")], [share(0, 4, "a"), share(6, 9, "b")]);
/// let delta = name_directory::share_delta(&old, &new);
/// assert_eq!(name_directory::apply_share_delta(&old, &delta), new);
/// ```
pub fn share_delta(old: &[KeyShare], new: &[KeyShare]) -> Vec<KeyShare> {
    let mut known: BTreeMap<u32, Vec<&KeyShare>> = BTreeMap::new();
    for row in old {
        known.entry(row.from).or_default().push(row);
    }
    let is_known = |row: &KeyShare| known.get(&row.from).is_some_and(|rows| rows.contains(&row));
    let changed = new.iter().filter(|row| !is_known(row)).cloned();
    let unowned = uncovered(old, new).into_iter().map(|row| KeyShare {
        epoch: 0,
        instance: String::new(),
        handover: String::new(),
        ..row
    });
    changed.chain(unowned).collect()
}

/// The shares after a delta, in the order of their keys.
///
/// ```
/// assert!(name_directory::apply_share_delta(&[], &[]).is_empty());
/// ```
pub fn apply_share_delta(old: &[KeyShare], delta: &[KeyShare]) -> Vec<KeyShare> {
    let mut shares = uncovered(old, delta);
    shares.extend(delta.iter().filter(|row| !row.instance.is_empty()).cloned());
    shares.sort_by_key(|share| share.from);
    shares
}

/// The delta from one placement to the next where only key shares changed; else none, and the placement is to be sent
/// whole.
///
/// ```
/// use protocol::Placement;
/// let old = Placement { epoch: 3, number: 1, ..Default::default() };
/// let new = Placement { number: 2, ..old.clone() };
/// assert_eq!(name_directory::placement_delta(&old, &new).map(|delta| (delta.partial, delta.after)), Some((true, 1)));
/// assert!(name_directory::placement_delta(&old, &Placement { epoch: 4, ..new }).is_none());
/// ```
pub fn placement_delta(old: &Placement, new: &Placement) -> Option<Placement> {
    if old.epoch != new.epoch
        || old.reservations != new.reservations
        || old.tombstones != new.tombstones
    {
        return None;
    }
    let services: BTreeSet<&str> = old
        .shares
        .iter()
        .chain(&new.shares)
        .map(|service| service.service.as_str())
        .collect();
    let shares = services
        .into_iter()
        .map(|service| ServiceKeyShares {
            service: service.to_owned(),
            shares: share_delta(shares_of(old, service), shares_of(new, service)),
        })
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

fn shares_of<'a>(placement: &'a Placement, service: &str) -> &'a [KeyShare] {
    placement
        .shares
        .iter()
        .find(|known| known.service == service)
        .map_or(&[], |known| &known.shares)
}

/// Applies deltas of several services to their shares.
///
/// ```
/// let mut shares = vec![];
/// name_directory::apply_share_changes(&mut shares, &[protocol::ServiceKeyShares { service: "s".into(), shares: vec![] }]);
/// assert_eq!(shares.len(), 1);
/// ```
pub fn apply_share_changes(shares: &mut Vec<ServiceKeyShares>, changes: &[ServiceKeyShares]) {
    for change in changes {
        let known = shares
            .iter_mut()
            .find(|known| known.service == change.service);
        match known {
            Some(known) => known.shares = apply_share_delta(&known.shares, &change.shares),
            None => shares.push(ServiceKeyShares {
                service: change.service.clone(),
                shares: apply_share_delta(&[], &change.shares),
            }),
        }
    }
}
