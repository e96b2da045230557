//! How keys are divided: by load and capacity, with few moves.

use crate::load::Load;
use crate::table::{State, Table};
use std::collections::BTreeMap;

/// At most this part of all keys is asked back in one step.
const STEP: u32 = 4;
/// An instance is let be until it has this much more than its fair part, or this much less.
const OVER: f64 = 1.25;
const UNDER: f64 = 0.75;
/// A move that brings less than this part of a fair part is not worth it.
const LEAST: f64 = 0.05;
/// Nor are keys that carry less than this part of the mean load.
const THIN: f64 = 0.125;

type Spans = Vec<(u32, u32)>;

type Loads<'a> = BTreeMap<&'a str, f64>;

/// What each carries, but for keys that were asked back.
fn carried<'a>(table: &Table, active: &BTreeMap<&'a str, u32>, load: &Load) -> Loads<'a> {
    let mut loads: Loads = active.keys().map(|name| (*name, 0.0)).collect();
    table.iter().for_each(|(from, to, state)| {
        let kept = state.held().filter(|held| !held.asked_back);
        let mine = kept.and_then(|held| loads.get_mut(held.owner.as_str()));
        mine.into_iter().for_each(|sum| *sum += load.weight(from, to));
    });
    loads
}

/// The fair part for each unit of capacity of those in `loads`, with `more` beyond what they carry.
fn rate(loads: &Loads, active: &BTreeMap<&str, u32>, more: f64) -> f64 {
    let capacity: f64 = loads.keys().map(|name| capacity(active, name)).sum();
    (loads.values().sum::<f64>() + more) / capacity.max(1.0)
}

fn capacity(active: &BTreeMap<&str, u32>, name: &str) -> f64 {
    active.get(name).map_or(1.0, |capacity| f64::from((*capacity).max(1)))
}

/// The fair part for each unit of capacity when only free keys are divided: whoever has more already gets none.
fn level(loads: &Loads, active: &BTreeMap<&str, u32>, free: f64) -> f64 {
    let mut below = loads.clone();
    loop {
        let level = rate(&below, active, free);
        let before = below.len();
        below.retain(|name, load| *load <= level * capacity(active, name));
        if below.len() == before || below.is_empty() {
            return level;
        }
    }
}

/// The free keys that one takes: up to its fair part, and all where nobody has more room.
pub(crate) fn takes(table: &Table, me: &str, active: &BTreeMap<&str, u32>, load: &Load) -> Spans {
    let free = table.iter().filter(|(_, _, state)| state.held().is_none());
    let free: f64 = free.map(|(from, to, _)| load.weight(from, to)).sum();
    let loads = carried(table, active, load);
    let level = level(&loads, active, free);
    let room_of = |name: &str| level * capacity(active, name) - loads.get(name).copied().unwrap_or_default();
    let others: Vec<&str> = active.keys().copied().filter(|name| *name != me).collect();
    let most = others.iter().map(|name| room_of(name)).fold(f64::NEG_INFINITY, f64::max);
    let emptiest = others.iter().map(|name| room_of(name) / capacity(active, name)).fold(f64::NEG_INFINITY, f64::max);
    let mut room = room_of(me);
    // What all have left once is for whoever comes next; it would lie without a holder for another round.
    let left = |state: &State| matches!(state, State::Free { passed, .. } if *passed > active.len());
    // Small parts would only be broken off what another is to have.
    let nothing_left = !table.iter().any(|(_, _, state)| left(state));
    if nothing_left && room < most && room / capacity(active, me) < emptiest / 2.0 {
        return Vec::new();
    }
    let mine = |key: Option<u32>| {
        let at = key.and_then(|key| table.within(key, key).into_iter().next());
        at.is_some_and(|(_, _, state)| state.held_by(me).is_some())
    };
    let free = table.iter().filter_map(|(from, to, state)| match state {
        State::Free { last, passed, .. } => {
            // What it had first, then what lies next to its own, which it takes from that side.
            let had = last.as_deref() == Some(me);
            let (left, right) = (mine(from.checked_sub(1)), mine(Some(to + 1)));
            let left_over = *passed > active.len();
            Some((!had, !(left || right), from, to, right && !left, left_over))
        }
        State::Held(_) => None,
    });
    let mut free: Vec<_> = free.collect();
    free.sort_unstable();
    let mut taken = Vec::new();
    free.into_iter().for_each(|(_, _, from, to, from_right, left_over)| {
        let pieces: Spans = pieces(load, from, to);
        let ordered: Box<dyn Iterator<Item = (u32, u32)>> =
            if from_right { Box::new(pieces.into_iter().rev()) } else { Box::new(pieces.into_iter()) };
        let fitting = ordered.take_while(|(from, to)| {
            let weight = load.weight(*from, *to);
            // The most room takes what fits nowhere.
            let fits = left_over || weight / 2.0 <= room || room >= most;
            room -= if fits { weight } else { 0.0 };
            fits
        });
        let span = fitting.reduce(|one, other| (one.0.min(other.0), one.1.max(other.1)));
        taken.extend(span);
    });
    taken
}

/// A range cut at the load's edges.
fn pieces(load: &Load, from: u32, to: u32) -> Spans {
    let edges = load.edges(from, to);
    let lefts = std::iter::once(from).chain(edges.iter().copied());
    let rights = edges.iter().map(|edge| edge - 1).chain(std::iter::once(to));
    lefts.zip(rights).collect()
}

/// The keys to be asked back: from those with too much, as much as others lack.
pub(crate) fn moves(table: &Table, active: &BTreeMap<&str, u32>, load: &Load, keys: u32) -> Spans {
    let mut loads = carried(table, active, load);
    let (mut asked, mut left) = (Vec::new(), (keys / STEP).max(1));
    // Each round asks of the most loaded, or leaves it out of account, because what it has can't be divided.
    (0..2 * active.len()).for_each(|_| {
        let rate = rate(&loads, active, 0.0);
        let fair = |name: &str| rate * capacity(active, name);
        let uneven = loads.iter().any(|(name, load)| *load > fair(name) * OVER || *load < fair(name) * UNDER);
        let over = loads.iter().map(|(name, load)| (*name, load - fair(name)));
        let most = over.clone().max_by(|one, other| one.1.total_cmp(&other.1));
        let least = over.min_by(|one, other| one.1.total_cmp(&other.1));
        let (Some((giver, over)), Some((taker, under))) = (most, least) else { return };
        // Once a step has begun it goes on to the end, so that the next isn't needed.
        if giver == taker || !uneven && asked.is_empty() {
            return;
        }
        let run = edge_run(table, giver, over.min(-under), load, left, &asked);
        let worth = run.filter(|(from, to, weight)| {
            let thin = THIN * load.whole() * f64::from(to - from + 1) / f64::from(keys);
            *weight >= LEAST * fair(taker) && *weight >= thin
        });
        match worth {
            Some((from, to, weight)) => {
                left -= (to - from + 1).min(left);
                asked.push((from, to));
                loads.entry(giver).and_modify(|load| *load -= weight);
                loads.entry(taker).and_modify(|load| *load += weight);
            }
            None => drop(loads.remove(giver)),
        }
    });
    asked
}

/// The run at an edge of one of its ranges that comes nearest to the amount; of several near ones, that with the
/// fewest keys.
fn edge_run(
    table: &Table,
    giver: &str,
    amount: f64,
    load: &Load,
    most_keys: u32,
    asked: &[(u32, u32)],
) -> Option<(u32, u32, f64)> {
    let own = owned_runs(table, giver, asked);
    let runs = own.into_iter().flat_map(|(from, to)| {
        let pieces = pieces(load, from, to);
        let fits = |(from, to): (u32, u32)| to - from < most_keys && load.weight(from, to) <= amount * 1.05;
        let prefix = pieces.iter().map(|piece| (from, piece.1)).take_while(|run| fits(*run)).last();
        let suffix = pieces.iter().rev().map(|piece| (piece.0, to)).take_while(|run| fits(*run)).last();
        [prefix, suffix].into_iter().flatten()
    });
    let runs: Vec<_> = runs.map(|(from, to)| (from, to, load.weight(from, to))).collect();
    let best = runs.iter().map(|(_, _, weight)| *weight).fold(0.0, f64::max);
    runs.into_iter().filter(|(_, _, weight)| *weight >= best * 0.8).min_by_key(|(from, to, _)| to - from)
}

/// Its keys that aren't asked back, neighbours under different fences as one.
fn owned_runs(table: &Table, giver: &str, asked: &[(u32, u32)]) -> Spans {
    let own = table.iter().filter(|(_, _, state)| state.held_by(giver).is_some_and(|held| !held.asked_back));
    let runs = own.fold(Vec::new(), |mut runs: Spans, (from, to, _)| {
        match runs.last_mut() {
            Some(run) if run.1 + 1 == from => run.1 = to,
            _ => runs.push((from, to)),
        }
        runs
    });
    // What this step already took lies at the edges.
    asked.iter().fold(runs, |runs, (from, to)| {
        let cut = runs.into_iter().flat_map(|(left, right)| {
            let before = (*from > left).then(|| (left, right.min(from.saturating_sub(1))));
            let after = (*to < right).then(|| (left.max(to + 1), right));
            let apart = *from > right || *to < left;
            if apart { vec![(left, right)] } else { before.into_iter().chain(after).collect() }
        });
        cut.collect()
    })
}
