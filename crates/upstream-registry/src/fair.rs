//! How keys are divided: by load and capacity, with few moves.

use crate::load::LoadHistogram;
use crate::runs::{Run, join_runs};
use crate::table::{State, Table};
use std::collections::{BTreeMap, VecDeque};

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
fn carried<'a>(table: &Table, active: &BTreeMap<&'a str, u32>, load: &LoadHistogram) -> Loads<'a> {
    let mut loads: Loads = active.keys().map(|name| (*name, 0.0)).collect();
    table.iter().for_each(|(from, to, state)| {
        let kept = state.held().filter(|held| !held.asked_back);
        let mine = kept.and_then(|held| loads.get_mut(held.owner.as_str()));
        mine.into_iter()
            .for_each(|sum| *sum += load.weight(from, to));
    });
    loads
}

/// The fair part for each unit of capacity of those in `loads`, with `more` beyond what they carry.
fn rate(loads: &Loads, active: &BTreeMap<&str, u32>, more: f64) -> f64 {
    let capacity: f64 = loads.keys().map(|name| capacity(active, name)).sum();
    (loads.values().sum::<f64>() + more) / capacity.max(1.0)
}

fn capacity(active: &BTreeMap<&str, u32>, name: &str) -> f64 {
    active
        .get(name)
        .map_or(1.0, |capacity| f64::from((*capacity).max(1)))
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

/// Free keys, and who is to take them with its next heartbeat.
pub(crate) type Reservation<'a> = Run<&'a str>;

/// A part of the free keys between two of the load's edges.
#[derive(Clone, Copy)]
struct FreePiece {
    from: u32,
    to: u32,
    weight: f64,
}

/// Neighbouring free keys that nobody is to take yet.
struct FreeRun {
    previous_owner: Option<String>,
    left_neighbour: Option<String>,
    right_neighbour: Option<String>,
    pieces: VecDeque<FreePiece>,
}

impl FreeRun {
    fn pop(&mut self, from_right: bool, taker: &str) -> Option<FreePiece> {
        let (piece, neighbour) = match from_right {
            true => (self.pieces.pop_back(), &mut self.right_neighbour),
            false => (self.pieces.pop_front(), &mut self.left_neighbour),
        };
        *neighbour = Some(taker.to_owned());
        piece
    }

    fn peek(&self, from_right: bool) -> Option<&FreePiece> {
        if from_right {
            self.pieces.back()
        } else {
            self.pieces.front()
        }
    }

    /// Lower comes first: what the taker had, then what lies next to its own.
    fn rank(&self, taker: &str) -> (bool, bool) {
        let had = self.previous_owner.as_deref() == Some(taker);
        let adjoins = [&self.left_neighbour, &self.right_neighbour]
            .iter()
            .any(|side| side.as_deref() == Some(taker));
        (!had, !adjoins)
    }

    /// A taker goes on from the side where its own keys lie.
    fn takes_from_right(&self, taker: &str) -> bool {
        self.right_neighbour.as_deref() == Some(taker)
            && self.left_neighbour.as_deref() != Some(taker)
    }
}

/// The taker of all free keys that have none: each active instance gets up to its fair part, and what fits nobody goes
/// to whoever has most room. Decided for all at once, so that nothing is left over when all were heard.
pub(crate) fn reserve<'a>(
    table: &Table,
    active: &BTreeMap<&'a str, u32>,
    load: &LoadHistogram,
) -> Vec<Reservation<'a>> {
    let mut runs = free_runs(table, load);
    let free = runs
        .iter()
        .flat_map(|run| &run.pieces)
        .map(|piece| piece.weight)
        .sum();
    let mut loads = carried(table, active, load);
    table.iter().for_each(|(from, to, state)| {
        let reserved = state.taker().and_then(|taker| loads.get_mut(taker));
        reserved
            .into_iter()
            .for_each(|sum| *sum += load.weight(from, to));
    });
    let level = level(&loads, active, free);
    let mut rooms: Loads = loads
        .iter()
        .map(|(name, load)| (*name, level * capacity(active, name) - load))
        .collect();
    let mut takers: Vec<&'a str> = rooms.keys().copied().collect();
    let emptiness = |name: &str| rooms[name] / capacity(active, name);
    takers.sort_by(|one, other| emptiness(other).total_cmp(&emptiness(one)));
    let mut reserved = Vec::new();
    takers
        .into_iter()
        .for_each(|taker| reserve_for(taker, &mut runs, &mut rooms, &mut reserved));
    runs.iter_mut().for_each(|run| {
        while let Some(piece) = run.pieces.pop_front() {
            let roomiest = rooms
                .iter_mut()
                .max_by(|one, other| one.1.total_cmp(other.1));
            let Some((taker, room)) = roomiest else {
                return;
            };
            *room -= piece.weight;
            reserved.push((piece.from, piece.to, *taker));
        }
    });
    reserved.sort_unstable();
    join_runs(reserved.into_iter())
}

/// What one takes of the runs that are left, as far as it has room.
fn reserve_for<'a>(
    taker: &'a str,
    runs: &mut [FreeRun],
    rooms: &mut Loads,
    reserved: &mut Vec<Reservation<'a>>,
) {
    let others = rooms
        .iter()
        .filter(|(name, _)| **name != taker)
        .map(|(_, room)| *room);
    let most = others.fold(f64::NEG_INFINITY, f64::max);
    let Some(room) = rooms.get_mut(taker) else {
        return;
    };
    let mut order: Vec<usize> = (0..runs.len())
        .filter(|at| !runs[*at].pieces.is_empty())
        .collect();
    order.sort_by_key(|at| runs[*at].rank(taker));
    order.into_iter().for_each(|at| {
        let run = &mut runs[at];
        let from_right = run.takes_from_right(taker);
        // The most room takes what fits nowhere.
        let fits = |piece: &FreePiece, room: f64| piece.weight / 2.0 <= room || room >= most;
        while run.peek(from_right).is_some_and(|piece| fits(piece, *room)) {
            let Some(piece) = run.pop(from_right, taker) else {
                return;
            };
            *room -= piece.weight;
            reserved.push((piece.from, piece.to, taker));
        }
    });
}

/// The free keys that nobody is to take yet, with their neighbours.
fn free_runs(table: &Table, load: &LoadHistogram) -> Vec<FreeRun> {
    let entries: Vec<_> = table.iter().collect();
    let owner = |at: Option<usize>| {
        let (_, _, state) = entries.get(at?)?;
        state
            .held()
            .map(|held| held.owner.as_str())
            .or(state.taker())
            .map(str::to_owned)
    };
    let open = entries
        .iter()
        .enumerate()
        .filter_map(|(at, (from, to, state))| match state {
            State::Free {
                last, taker: None, ..
            } => Some(FreeRun {
                previous_owner: last.clone(),
                left_neighbour: owner(at.checked_sub(1)),
                right_neighbour: owner(Some(at + 1)),
                pieces: free_pieces(load, *from, *to),
            }),
            _ => None,
        });
    open.collect()
}

fn free_pieces(load: &LoadHistogram, from: u32, to: u32) -> VecDeque<FreePiece> {
    let weighed = |(from, to)| FreePiece {
        from,
        to,
        weight: load.weight(from, to),
    };
    pieces(load, from, to).into_iter().map(weighed).collect()
}

/// A range cut at the load's edges.
fn pieces(load: &LoadHistogram, from: u32, to: u32) -> Spans {
    let edges = load.edges(from, to);
    let lefts = std::iter::once(from).chain(edges.iter().copied());
    let rights = edges.iter().map(|edge| edge - 1).chain(std::iter::once(to));
    lefts.zip(rights).collect()
}

/// The keys to be asked back: from those with too much, as much as others lack.
pub(crate) fn moves(
    table: &Table,
    active: &BTreeMap<&str, u32>,
    load: &LoadHistogram,
    keys: u32,
) -> Spans {
    let mut loads = carried(table, active, load);
    let (mut asked, mut left) = (Vec::new(), (keys / STEP).max(1));
    // Each round asks of the most loaded, or leaves it out of account, because what it has can't be divided.
    (0..2 * active.len()).for_each(|_| {
        let rate = rate(&loads, active, 0.0);
        let fair = |name: &str| rate * capacity(active, name);
        let uneven = loads
            .iter()
            .any(|(name, load)| *load > fair(name) * OVER || *load < fair(name) * UNDER);
        let over = loads.iter().map(|(name, load)| (*name, load - fair(name)));
        let most = over.clone().max_by(|one, other| one.1.total_cmp(&other.1));
        let least = over.min_by(|one, other| one.1.total_cmp(&other.1));
        let (Some((giver, over)), Some((taker, under))) = (most, least) else {
            return;
        };
        // Once a step has begun it goes on to the end, so that the next isn't needed.
        if giver == taker || !uneven && asked.is_empty() {
            return;
        }
        let run = edge_run(table, giver, over.min(-under), load, left, &asked);
        let worth = run.filter(|(from, to, weight)| {
            let thin = THIN * load.total_weight() * f64::from(to - from + 1) / f64::from(keys);
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
    load: &LoadHistogram,
    most_keys: u32,
    asked: &[(u32, u32)],
) -> Option<(u32, u32, f64)> {
    let own = owned_runs(table, giver, asked);
    let runs = own.into_iter().flat_map(|(from, to)| {
        let pieces = pieces(load, from, to);
        let fits = |(from, to): (u32, u32)| {
            to - from < most_keys && load.weight(from, to) <= amount * 1.05
        };
        let prefix = pieces
            .iter()
            .map(|piece| (from, piece.1))
            .take_while(|run| fits(*run))
            .last();
        let suffix = pieces
            .iter()
            .rev()
            .map(|piece| (piece.0, to))
            .take_while(|run| fits(*run))
            .last();
        [prefix, suffix].into_iter().flatten()
    });
    let runs: Vec<_> = runs
        .map(|(from, to)| (from, to, load.weight(from, to)))
        .collect();
    let best = runs
        .iter()
        .map(|(_, _, weight)| *weight)
        .fold(0.0, f64::max);
    runs.into_iter()
        .filter(|(_, _, weight)| *weight >= best * 0.8)
        .min_by_key(|(from, to, _)| to - from)
}

/// Its keys that aren't asked back, neighbours under different fences as one.
fn owned_runs(table: &Table, giver: &str, asked: &[(u32, u32)]) -> Spans {
    let own = table
        .iter()
        .filter(|(_, _, state)| state.held_by(giver).is_some_and(|held| !held.asked_back));
    let runs = join_runs(own.map(|(from, to, _)| (from, to, ())));
    let runs: Spans = runs.into_iter().map(|(from, to, ())| (from, to)).collect();
    // What this step already took lies at the edges.
    asked.iter().fold(runs, |runs, (from, to)| {
        let cut = runs.into_iter().flat_map(|(left, right)| {
            let before = (*from > left).then(|| (left, right.min(from.saturating_sub(1))));
            let after = (*to < right).then(|| (left.max(to + 1), right));
            let apart = *from > right || *to < left;
            if apart {
                vec![(left, right)]
            } else {
                before.into_iter().chain(after).collect()
            }
        });
        cut.collect()
    })
}
