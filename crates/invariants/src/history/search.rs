//! The search for an order of the calls that explains all their results.

use super::model::Model;
use super::{CommandCall, HistoryError};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A search that takes more steps is given up, and says so.
const MAX_STEPS: u64 = 2_000_000;

/// Marks the end of the list of events.
const NONE: usize = usize::MAX;
/// The list's head, which is no event.
const HEAD: usize = 0;

/// A call's invocation or result, in a list from which calls are taken as they are put in order.
struct Event {
    call: usize,
    is_return: bool,
    before: usize,
    after: usize,
}

pub(super) struct Search<'a> {
    calls: &'a [CommandCall],
    events: Vec<Event>,
    /// The position of each call's result in the list.
    returns: Vec<usize>,
    /// Results of calls that are not in order yet.
    open: usize,
    linearized: Vec<u64>,
    /// How many calls that are not in order yet returned each revision. Revisions only rise, so an order of calls
    /// that went past one of these leads nowhere.
    awaited: BTreeMap<u64, usize>,
    model: Model,
    tried: HashSet<(u64, u64)>,
    /// The latest result that could not be passed.
    stuck: Option<usize>,
}

impl<'a> Search<'a> {
    pub(super) fn new(calls: &'a [CommandCall]) -> Self {
        let starts = calls
            .iter()
            .enumerate()
            .map(|(at, call)| (call.called_at, false, at));
        let ends = calls.iter().enumerate().filter_map(|(at, call)| {
            let (returned_at, _) = call.returned.as_ref()?;
            Some((*returned_at, true, at))
        });
        // At the same moment starts come first: calls that touch may be in either order.
        let mut moments: Vec<(Duration, bool, usize)> = starts.chain(ends).collect();
        moments.sort();
        let count = moments.len();
        let mut events = vec![Event {
            call: NONE,
            is_return: false,
            before: NONE,
            after: if count > 0 { 1 } else { NONE },
        }];
        let mut returns = vec![NONE; calls.len()];
        moments
            .into_iter()
            .enumerate()
            .for_each(|(at, (_, is_return, call))| {
                let after = if at + 1 < count { at + 2 } else { NONE };
                events.push(Event {
                    call,
                    is_return,
                    before: at,
                    after,
                });
                if is_return {
                    returns[call] = at + 1;
                }
            });
        let open = returns.iter().filter(|at| **at != NONE).count();
        let linearized = vec![0; calls.len().div_ceil(64)];
        let mut awaited = BTreeMap::new();
        calls
            .iter()
            .filter_map(CommandCall::returned_revision)
            .for_each(|revision| *awaited.entry(revision).or_insert(0) += 1);
        let (model, tried, stuck) = (Model::new(), HashSet::new(), None);
        Search {
            calls,
            events,
            returns,
            open,
            linearized,
            awaited,
            model,
            tried,
            stuck,
        }
    }

    pub(super) fn run(mut self) -> Result<(), HistoryError> {
        let mut chosen: Vec<(usize, Model)> = Vec::new();
        let mut at = self.events[HEAD].after;
        for _ in 0..MAX_STEPS {
            if self.open == 0 {
                return Ok(());
            }
            if !self.events[at].is_return {
                at = match self.choose(at) {
                    Some(before) => {
                        chosen.push((at, before));
                        self.events[HEAD].after
                    }
                    None => self.events[at].after,
                };
                continue;
            }
            // A result whose call is not in order yet: the last choice was wrong.
            self.stuck = self.stuck.max(Some(at));
            let Some(last) = self.backtrack(&mut chosen) else {
                return Err(self.flaw());
            };
            at = self.events[last].after;
        }
        Err(HistoryError::SearchLimitReached)
    }

    fn flaw(&self) -> HistoryError {
        let call = self.stuck.map(|at| &self.calls[self.events[at].call]);
        let at = call
            .and_then(|call| call.returned.as_ref())
            .map(|(at, _)| *at)
            .unwrap_or_default();
        let description =
            call.map(|call| format!("{} {:?} -> {:?}", call.name, call.command, call.returned));
        HistoryError::NotLinearizable {
            call: description.unwrap_or_default(),
            at,
        }
    }

    /// Puts a call next in order, where its result fits and this was not tried yet; returns the state before it.
    fn choose(&mut self, at: usize) -> Option<Model> {
        let call = self.events[at].call;
        let after = self.model.after(&self.calls[call])?;
        self.toggle_linearized(call);
        self.await_revision(call, false);
        let went_past = self
            .awaited
            .first_key_value()
            .zip(after.revision)
            .is_some_and(|((first, _), now)| *first < now);
        if went_past || !self.tried.insert(self.fingerprint(&after)) {
            self.toggle_linearized(call);
            self.await_revision(call, true);
            return None;
        }
        self.unlink(at);
        if self.returns[call] != NONE {
            self.unlink(self.returns[call]);
            self.open -= 1;
        }
        Some(std::mem::replace(&mut self.model, after))
    }

    /// Undoes the last choice, and with it what could not have been chosen otherwise. A call that never changes
    /// anything may as well come at once: no other order is worth a try.
    fn backtrack(&mut self, chosen: &mut Vec<(usize, Model)>) -> Option<usize> {
        loop {
            let (last, before) = chosen.pop()?;
            self.model = before;
            self.undo(last);
            if !self.calls[self.events[last].call].never_changes() {
                return Some(last);
            }
        }
    }

    fn undo(&mut self, at: usize) {
        let call = self.events[at].call;
        if self.returns[call] != NONE {
            self.link(self.returns[call]);
            self.open += 1;
        }
        self.link(at);
        self.toggle_linearized(call);
        self.await_revision(call, true);
    }

    /// Notes that a call's revision is awaited, or no longer.
    fn await_revision(&mut self, call: usize, awaited: bool) {
        let Some(revision) = self.calls[call].returned_revision() else {
            return;
        };
        let count = self.awaited.entry(revision).or_insert(0);
        *count = if awaited { *count + 1 } else { *count - 1 };
        if *count == 0 {
            self.awaited.remove(&revision);
        }
    }

    /// Flips whether a call is in order.
    fn toggle_linearized(&mut self, call: usize) {
        self.linearized[call / 64] ^= 1 << (call % 64);
    }

    fn fingerprint(&self, model: &Model) -> (u64, u64) {
        let hash = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            (salt, &self.linearized, model).hash(&mut hasher);
            hasher.finish()
        };
        (hash(0), hash(1))
    }

    fn unlink(&mut self, at: usize) {
        let (before, after) = (self.events[at].before, self.events[at].after);
        self.events[before].after = after;
        if after != NONE {
            self.events[after].before = before;
        }
    }

    fn link(&mut self, at: usize) {
        let (before, after) = (self.events[at].before, self.events[at].after);
        self.events[before].after = at;
        if after != NONE {
            self.events[after].before = at;
        }
    }
}
