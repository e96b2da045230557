//! How much load each instance carries, and how much is its fair share: in proportion to its capacity.

use super::ActiveInstances;
use super::load::LoadHistogram;
use super::range_table::RangeTable;
use std::collections::BTreeMap;

/// Load (or spare room for load) by instance.
pub(super) type InstanceLoads<'a> = BTreeMap<&'a str, f64>;

/// What each active instance carries, without revoked keys.
pub(super) fn carried_loads<'a>(
    table: &RangeTable,
    active: &ActiveInstances<'a>,
    load: &LoadHistogram,
) -> InstanceLoads<'a> {
    let mut loads: InstanceLoads = active.keys().map(|name| (*name, 0.0)).collect();
    for (range, state) in table.iter() {
        let Some(lease) = state.lease().filter(|lease| !lease.is_revoked) else {
            continue;
        };
        if let Some(sum) = loads.get_mut(lease.owner.as_str()) {
            *sum += load.weight(range.first, range.last);
        }
    }
    loads
}

/// An instance's capacity; at least one.
pub(super) fn capacity(active: &ActiveInstances, name: &str) -> f64 {
    active
        .get(name)
        .map_or(1.0, |capacity| f64::from((*capacity).max(1)))
}

/// The fair load for each unit of capacity of the instances in `loads`, with `additional` load beyond what they carry.
pub(super) fn load_per_capacity(
    loads: &InstanceLoads,
    active: &ActiveInstances,
    additional: f64,
) -> f64 {
    let total_capacity: f64 = loads.keys().map(|name| capacity(active, name)).sum();
    (loads.values().sum::<f64>() + additional) / total_capacity.max(1.0)
}

/// The fair load for each unit of capacity when only free keys are divided: whoever carries more already gets none.
pub(super) fn fill_level(loads: &InstanceLoads, active: &ActiveInstances, free: f64) -> f64 {
    let mut below_level = loads.clone();
    loop {
        let level = load_per_capacity(&below_level, active, free);
        let count_before = below_level.len();
        below_level.retain(|name, load| *load <= level * capacity(active, name));
        if below_level.len() == count_before || below_level.is_empty() {
            return level;
        }
    }
}
