//! Which instance is to be granted which free keys.

use super::ActiveInstances;
use super::fair_share::{InstanceLoads, capacity, carried_loads, fill_level};
use super::key_range::{KeyRange, Run, join_adjacent};
use super::load::LoadHistogram;
use super::range_table::{RangeState, RangeTable};
use std::collections::VecDeque;

/// Free keys, and the instance that is to be granted them with its next heartbeat.
pub(super) type Reservation<'a> = Run<&'a str>;

/// Free keys between two boundaries of the load histogram.
#[derive(Clone, Copy)]
struct FreeChunk {
    range: KeyRange,
    weight: f64,
}

/// Adjacent free keys that are not reserved yet.
struct FreeRange {
    previous_owner: Option<String>,
    left_neighbour: Option<String>,
    right_neighbour: Option<String>,
    chunks: VecDeque<FreeChunk>,
}

/// The end of a free range from which an instance takes keys.
#[derive(Clone, Copy)]
enum Side {
    Left,
    Right,
}

/// How well a free range suits an instance; lower is better.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Affinity {
    was_owned_by_another: bool,
    is_detached: bool,
}

impl FreeRange {
    fn peek(&self, side: Side) -> Option<&FreeChunk> {
        match side {
            Side::Left => self.chunks.front(),
            Side::Right => self.chunks.back(),
        }
    }

    fn pop(&mut self, side: Side, instance: &str) -> Option<FreeChunk> {
        let neighbour = Some(instance.to_owned());
        match side {
            Side::Left => {
                self.left_neighbour = neighbour;
                self.chunks.pop_front()
            }
            Side::Right => {
                self.right_neighbour = neighbour;
                self.chunks.pop_back()
            }
        }
    }

    /// An instance gets first what it owned before, then what lies next to its own keys.
    fn affinity(&self, instance: &str) -> Affinity {
        let is_adjacent = [&self.left_neighbour, &self.right_neighbour]
            .iter()
            .any(|neighbour| neighbour.as_deref() == Some(instance));
        Affinity {
            was_owned_by_another: self.previous_owner.as_deref() != Some(instance),
            is_detached: !is_adjacent,
        }
    }

    /// The side where the instance's own keys lie.
    fn side_for(&self, instance: &str) -> Side {
        let owns_right = self.right_neighbour.as_deref() == Some(instance);
        let owns_left = self.left_neighbour.as_deref() == Some(instance);
        match owns_right && !owns_left {
            true => Side::Right,
            false => Side::Left,
        }
    }
}

/// Reserves all free keys that are not reserved yet. Each active instance gets up to its fair share, the emptiest first;
/// what fits nobody goes to whoever has most room. All are decided at once, so that nothing is left over when every
/// instance was heard of.
pub(super) fn reserve<'a>(
    table: &RangeTable,
    active: &ActiveInstances<'a>,
    load: &LoadHistogram,
) -> Vec<Reservation<'a>> {
    let mut free_ranges = unreserved_ranges(table, load);
    let mut rooms = spare_rooms(table, active, load, &free_ranges);
    let mut instances: Vec<&'a str> = rooms.keys().copied().collect();
    let emptiness = |name: &str| rooms[name] / capacity(active, name);
    instances.sort_by(|one, other| emptiness(other).total_cmp(&emptiness(one)));
    let mut reservations = Vec::new();
    for instance in instances {
        reserve_for(instance, &mut free_ranges, &mut rooms, &mut reservations);
    }
    for free_range in &mut free_ranges {
        reserve_for_roomiest(free_range, &mut rooms, &mut reservations);
    }
    reservations.sort_unstable();
    join_adjacent(reservations.into_iter())
}

/// What each instance lacks to its fair share, reservations included.
fn spare_rooms<'a>(
    table: &RangeTable,
    active: &ActiveInstances<'a>,
    load: &LoadHistogram,
    free_ranges: &[FreeRange],
) -> InstanceLoads<'a> {
    let free_weight = free_ranges
        .iter()
        .flat_map(|free_range| &free_range.chunks)
        .map(|chunk| chunk.weight)
        .sum();
    let mut loads = carried_loads(table, active, load);
    for (range, state) in table.iter() {
        let reserved = state.reserved_for().and_then(|name| loads.get_mut(name));
        if let Some(sum) = reserved {
            *sum += load.weight(range.first, range.last);
        }
    }
    let level = fill_level(&loads, active, free_weight);
    loads
        .iter()
        .map(|(name, load)| (*name, level * capacity(active, name) - load))
        .collect()
}

/// Reserves for one instance as much of the remaining free keys as it has room for.
fn reserve_for<'a>(
    instance: &'a str,
    free_ranges: &mut [FreeRange],
    rooms: &mut InstanceLoads,
    reservations: &mut Vec<Reservation<'a>>,
) {
    let most_room_of_others = rooms
        .iter()
        .filter(|(name, _)| **name != instance)
        .map(|(_, room)| *room)
        .fold(f64::NEG_INFINITY, f64::max);
    let Some(room) = rooms.get_mut(instance) else {
        return;
    };
    let mut order: Vec<usize> = (0..free_ranges.len())
        .filter(|index| !free_ranges[*index].chunks.is_empty())
        .collect();
    order.sort_by_key(|index| free_ranges[*index].affinity(instance));
    for index in order {
        let free_range = &mut free_ranges[index];
        let side = free_range.side_for(instance);
        // Whoever has the most room takes what fits nowhere.
        let fits = |chunk: &FreeChunk, room: f64| {
            chunk.weight / 2.0 <= room || room >= most_room_of_others
        };
        while free_range
            .peek(side)
            .is_some_and(|chunk| fits(chunk, *room))
        {
            let Some(chunk) = free_range.pop(side, instance) else {
                break;
            };
            *room -= chunk.weight;
            reservations.push(Run {
                range: chunk.range,
                value: instance,
            });
        }
    }
}

/// Reserves what is left of a free range, chunk by chunk, for whoever has most room then.
fn reserve_for_roomiest<'a>(
    free_range: &mut FreeRange,
    rooms: &mut InstanceLoads<'a>,
    reservations: &mut Vec<Reservation<'a>>,
) {
    while let Some(chunk) = free_range.chunks.pop_front() {
        let roomiest = rooms
            .iter_mut()
            .max_by(|one, other| one.1.total_cmp(other.1));
        let Some((instance, room)) = roomiest else {
            return;
        };
        *room -= chunk.weight;
        reservations.push(Run {
            range: chunk.range,
            value: *instance,
        });
    }
}

/// The free keys that are not reserved yet, with the instances that own the keys next to them.
fn unreserved_ranges(table: &RangeTable, load: &LoadHistogram) -> Vec<FreeRange> {
    let entries: Vec<(KeyRange, &RangeState)> = table.iter().collect();
    let owner_at = |index: Option<usize>| {
        let (_, state) = entries.get(index?)?;
        let lease_owner = state.lease().map(|lease| lease.owner.as_str());
        lease_owner.or(state.reserved_for()).map(str::to_owned)
    };
    let mut free_ranges = Vec::new();
    for (index, (range, state)) in entries.iter().enumerate() {
        let RangeState::Free(free) = state else {
            continue;
        };
        if free.reserved_for.is_some() {
            continue;
        }
        free_ranges.push(FreeRange {
            previous_owner: free.previous_owner.clone(),
            left_neighbour: owner_at(index.checked_sub(1)),
            right_neighbour: owner_at(Some(index + 1)),
            chunks: free_chunks(load, *range),
        });
    }
    free_ranges
}

fn free_chunks(load: &LoadHistogram, range: KeyRange) -> VecDeque<FreeChunk> {
    load.chunks(range)
        .into_iter()
        .map(|range| FreeChunk {
            range,
            weight: load.weight(range.first, range.last),
        })
        .collect()
}
