//! Which keys are to move for balance: from instances with too much load, as much as others lack, with few moves.

use super::ActiveInstances;
use super::fair_share::{InstanceLoads, capacity, carried_loads, load_per_capacity};
use super::key_range::{KeyRange, Run, join_adjacent};
use super::load::LoadHistogram;
use super::range_table::RangeTable;
use std::collections::BTreeSet;

/// At most one part in so many of all keys is revoked in one step, unless most are in the wrong place.
const STEP_DIVISOR: u32 = 4;
/// Nothing moves until an instance has this many times its fair share, ...
const OVERLOAD_FACTOR: f64 = 1.25;
/// ... or no more than this part of it.
const UNDERLOAD_FACTOR: f64 = 0.75;
/// A move that brings less than this part of a fair share is not worth it.
const MIN_MOVE_FACTOR: f64 = 0.05;
/// Nor are keys that carry less than this part of the mean load.
const MIN_DENSITY_FACTOR: f64 = 0.125;
/// A moved range may weigh this many times the amount aimed at.
const MOVE_TOLERANCE: f64 = 1.05;
/// Of ranges that weigh at least this part of the heaviest candidate, the one with the fewest keys is taken.
const NEAR_BEST_FACTOR: f64 = 0.8;

/// A range that may move, and the load on it.
#[derive(Clone, Copy)]
struct Candidate {
    range: KeyRange,
    weight: f64,
}

/// The most and the least loaded instance, relative to their fair shares.
struct Imbalance<'a> {
    giver: &'a str,
    taker: &'a str,
    /// What the giver has too much, or the taker lacks, whichever is less.
    amount: f64,
    /// True where one instance is beyond the factors at which keys are moved.
    is_large: bool,
}

/// Where instances with this part of all capacity hold no keys, most keys are in the wrong place.
const IDLE_CAPACITY_FACTOR: f64 = 0.3;

/// True where much of the capacity holds no keys, as after many instances were added or may hold keys for the first time.
pub(super) fn is_lopsided(table: &RangeTable, active: &ActiveInstances) -> bool {
    let leases = table.iter().filter_map(|(_, state)| state.lease());
    let owners: BTreeSet<&str> = leases
        .filter(|lease| !lease.is_revoked)
        .map(|lease| lease.owner.as_str())
        .collect();
    let mut all = 0.0;
    let mut idle = 0.0;
    for name in active.keys() {
        let capacity = capacity(active, name);
        all += capacity;
        if !owners.contains(name) {
            idle += capacity;
        }
    }
    idle >= IDLE_CAPACITY_FACTOR * all
}

/// The keys to be revoked now.
pub(super) fn ranges_to_revoke(
    table: &RangeTable,
    active: &ActiveInstances,
    load: &LoadHistogram,
    key_count: u32,
) -> Vec<KeyRange> {
    let mut loads = carried_loads(table, active, load);
    let mut revoked = Vec::new();
    let divisor = match is_lopsided(table, active) {
        true => 1,
        false => STEP_DIVISOR,
    };
    let mut keys_left = (key_count / divisor).max(1);
    // Each round revokes from the most loaded, or leaves it out of account because what it has can't be divided.
    for _ in 0..2 * active.len() {
        let rate = load_per_capacity(&loads, active, 0.0);
        let fair_share = |name: &str| rate * capacity(active, name);
        let Some(imbalance) = find_imbalance(&loads, fair_share) else {
            break;
        };
        // Once a step has begun it goes on to the end, so that the next isn't needed.
        if imbalance.giver == imbalance.taker || !imbalance.is_large && revoked.is_empty() {
            break;
        }
        let candidate = edge_range(
            table,
            imbalance.giver,
            imbalance.amount,
            load,
            keys_left,
            &revoked,
        );
        let candidate = candidate.filter(|candidate| {
            let keys = f64::from(candidate.range.key_count());
            let least_density =
                MIN_DENSITY_FACTOR * load.total_weight() * keys / f64::from(key_count);
            candidate.weight >= MIN_MOVE_FACTOR * fair_share(imbalance.taker)
                && candidate.weight >= least_density
        });
        let Some(Candidate { range, weight }) = candidate else {
            loads.remove(imbalance.giver);
            continue;
        };
        keys_left -= range.key_count().min(keys_left);
        revoked.push(range);
        loads
            .entry(imbalance.giver)
            .and_modify(|load| *load -= weight);
        loads
            .entry(imbalance.taker)
            .and_modify(|load| *load += weight);
    }
    revoked
}

/// Compares loads with fair shares; none where there is no instance.
fn find_imbalance<'a>(
    loads: &InstanceLoads<'a>,
    fair_share: impl Fn(&str) -> f64,
) -> Option<Imbalance<'a>> {
    let is_large = loads.iter().any(|(name, load)| {
        let fair = fair_share(name);
        *load > fair * OVERLOAD_FACTOR || *load < fair * UNDERLOAD_FACTOR
    });
    let excess: Vec<(&str, f64)> = loads
        .iter()
        .map(|(name, load)| (*name, load - fair_share(name)))
        .collect();
    let (giver, most) = excess
        .iter()
        .max_by(|one, other| one.1.total_cmp(&other.1))?;
    let (taker, least) = excess
        .iter()
        .min_by(|one, other| one.1.total_cmp(&other.1))?;
    Some(Imbalance {
        giver,
        taker,
        amount: most.min(-least),
        is_large,
    })
}

/// The part at an edge of one of the giver's ranges that comes nearest to the amount; of several near ones, that with
/// the fewest keys.
fn edge_range(
    table: &RangeTable,
    giver: &str,
    amount: f64,
    load: &LoadHistogram,
    most_keys: u32,
    revoked: &[KeyRange],
) -> Option<Candidate> {
    let weigh = |range: KeyRange| load.weight(range.first, range.last);
    let fits = |range: &KeyRange| {
        range.last - range.first < most_keys && weigh(*range) <= amount * MOVE_TOLERANCE
    };
    let mut candidates: Vec<Candidate> = Vec::new();
    for own in owned_ranges(table, giver, revoked) {
        let chunks = load.chunks(own);
        let from_left = chunks
            .iter()
            .map(|chunk| KeyRange::new(own.first, chunk.last))
            .take_while(fits)
            .last();
        let from_right = chunks
            .iter()
            .rev()
            .map(|chunk| KeyRange::new(chunk.first, own.last))
            .take_while(fits)
            .last();
        for range in [from_left, from_right].into_iter().flatten() {
            let weight = weigh(range);
            candidates.push(Candidate { range, weight });
        }
    }
    let heaviest = candidates
        .iter()
        .map(|candidate| candidate.weight)
        .fold(0.0, f64::max);
    candidates
        .into_iter()
        .filter(|candidate| candidate.weight >= heaviest * NEAR_BEST_FACTOR)
        .min_by_key(|candidate| candidate.range.last - candidate.range.first)
}

/// The giver's keys that aren't revoked, adjacent ranges under different fences joined.
fn owned_ranges(table: &RangeTable, giver: &str, revoked: &[KeyRange]) -> Vec<KeyRange> {
    let own = table
        .iter()
        .filter(|(_, state)| state.lease_of(giver).is_some_and(|lease| !lease.is_revoked))
        .map(|(range, _)| Run { range, value: () });
    let mut ranges: Vec<KeyRange> = join_adjacent(own).iter().map(|run| run.range).collect();
    // What this step has already revoked lies at the edges.
    for taken in revoked {
        ranges = ranges
            .iter()
            .flat_map(|range| range.without(taken))
            .collect();
    }
    ranges
}
