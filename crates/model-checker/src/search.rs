//! Breadth-first search over a model's states, on several threads.

use crate::model::{Model, Trace, replay};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Visited states are spread over so many maps, so that threads seldom wait for each other.
const SHARDS: usize = 256;
/// How many states a thread takes at once.
const CHUNK: usize = 64;

/// Where a search ends at the latest.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest trace, in actions.
    pub depth: usize,
    /// The number of different states.
    pub states: u64,
    /// The time that the search may take.
    pub time: Duration,
    /// How many threads search.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            depth: 1000,
            states: 2_000_000,
            time: Duration::from_secs(600),
            threads: 4,
        }
    }
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Report {
    /// Different states, the first included.
    pub states: u64,
    /// Actions taken, also to states that were known.
    pub transitions: u64,
    /// The length of the longest shortest way to a state.
    pub depth: usize,
    /// True where nothing is left to visit within the model's budgets.
    pub complete: bool,
    /// The time that the search took.
    pub time: Duration,
    /// The way to the first violation.
    pub counterexample: Option<Trace>,
}

/// From which state and by which of its actions a state was first reached.
#[derive(Clone, Copy)]
struct Predecessor {
    parent: u64,
    choice: u16,
}

struct Visited {
    shards: Vec<Mutex<HashMap<u64, Option<Predecessor>>>>,
    count: AtomicU64,
}

impl Visited {
    fn new() -> Self {
        Visited {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            count: AtomicU64::new(0),
        }
    }

    fn shard(&self, fingerprint: u64) -> MutexGuard<'_, HashMap<u64, Option<Predecessor>>> {
        let shard = &self.shards[fingerprint as usize % SHARDS];
        shard
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// True where the state is new.
    fn insert(&self, fingerprint: u64, predecessor: Option<Predecessor>) -> bool {
        let mut shard = self.shard(fingerprint);
        let Entry::Vacant(entry) = shard.entry(fingerprint) else {
            return false;
        };
        entry.insert(predecessor);
        self.count.fetch_add(1, Ordering::Relaxed);
        true
    }

    fn choices_to(&self, fingerprint: u64) -> Vec<usize> {
        let mut choices = Vec::new();
        let mut at = fingerprint;
        while let Some(Some(predecessor)) = self.shard(at).get(&at).copied() {
            choices.push(usize::from(predecessor.choice));
            at = predecessor.parent;
        }
        choices.reverse();
        choices
    }
}

/// States that are taken together.
type Chunk<S> = Vec<S>;

/// One search under way.
struct Search<'a, M: Model> {
    model: &'a M,
    limits: Limits,
    began: Instant,
    visited: Visited,
    transitions: AtomicU64,
    /// Set by the first violation, or by a limit.
    stop: AtomicBool,
    violating: Mutex<Option<u64>>,
}

impl<M: Model> Search<'_, M> {
    fn is_over_limit(&self) -> bool {
        self.visited.count.load(Ordering::Relaxed) >= self.limits.states
            || self.began.elapsed() >= self.limits.time
    }

    /// All new states that are one action away from this layer's.
    fn next_layer(&self, layer: Vec<Chunk<M::State>>) -> Vec<Chunk<M::State>> {
        let layer = Mutex::new(layer);
        let take = || {
            layer
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .pop()
        };
        let work = || {
            let (mut chunks, mut found) = (Vec::new(), Vec::new());
            while let Some(chunk) = take().filter(|_| !self.stop.load(Ordering::Relaxed)) {
                for state in &chunk {
                    self.expand(state, &mut found);
                }
                if found.len() >= CHUNK {
                    chunks.push(std::mem::take(&mut found));
                }
                if self.is_over_limit() {
                    self.stop.store(true, Ordering::Relaxed);
                }
            }
            chunks.extend(Some(found).filter(|found| !found.is_empty()));
            chunks
        };
        std::thread::scope(|scope| {
            let workers: Vec<_> = (0..self.limits.threads.max(1))
                .map(|_| scope.spawn(work))
                .collect();
            workers
                .into_iter()
                .flat_map(|worker| worker.join().expect("a model does not panic"))
                .collect()
        })
    }

    /// Takes every action in a state and adds the new states that they lead to.
    fn expand(&self, state: &M::State, found: &mut Vec<M::State>) {
        let parent = self.model.fingerprint(state);
        for (choice, action) in self.model.actions(state).into_iter().enumerate() {
            let next = self.model.next(state, action);
            if self.model.is_redundant(state, &next) {
                continue;
            }
            self.transitions.fetch_add(1, Ordering::Relaxed);
            let fingerprint = self.model.fingerprint(&next);
            let predecessor = Predecessor {
                parent,
                choice: choice as u16,
            };
            if !self.visited.insert(fingerprint, Some(predecessor)) {
                continue;
            }
            if self.model.violation(&next).is_some() {
                self.note_violation(fingerprint);
            }
            found.push(next);
        }
    }

    /// Ends the search at the first violation.
    fn note_violation(&self, fingerprint: u64) {
        self.stop.store(true, Ordering::Relaxed);
        let mut violating = self
            .violating
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        violating.get_or_insert(fingerprint);
    }

    fn report(self, depth: usize, complete: bool) -> Report {
        let violating = self
            .violating
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        Report {
            states: self.visited.count.load(Ordering::Relaxed),
            transitions: self.transitions.load(Ordering::Relaxed),
            depth,
            complete: complete && violating.is_none(),
            time: self.began.elapsed(),
            counterexample: violating
                .map(|fingerprint| replay(self.model, &self.visited.choices_to(fingerprint))),
        }
    }
}

/// Visits every state within the model's budgets, until a violation or a limit.
///
/// ```
/// use model_checker::{LeaseBudget, LeaseModel, Limits, search};
/// let model = LeaseModel::new(3, LeaseBudget::default());
/// let report = search(&model, Limits { depth: 4, ..Limits::default() });
/// assert!(report.states > 10);
/// assert!(report.counterexample.is_none());
/// ```
pub fn search<M: Model>(model: &M, limits: Limits) -> Report {
    let search = Search {
        model,
        limits,
        began: Instant::now(),
        visited: Visited::new(),
        transitions: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        violating: Mutex::new(None),
    };
    let first = model.initial();
    search.visited.insert(model.fingerprint(&first), None);
    let (mut layer, mut depth) = (vec![vec![first]], 0);
    while !layer.is_empty() && depth < limits.depth && !search.stop.load(Ordering::Relaxed) {
        layer = search.next_layer(layer);
        depth += usize::from(!layer.is_empty());
    }
    let complete = layer.is_empty() && !search.stop.load(Ordering::Relaxed);
    search.report(depth, complete)
}
