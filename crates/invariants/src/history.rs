//! Whether operators' calls look as if each had happened at one moment between its start and its answer.
//!
//! The search is Wing and Gong's with Lowe's memory of what was tried: calls are put in order one by one, only those
//! that had begun before any other one ended, and a set of ordered calls that led to a known state is not tried again.
//! The model is a register of one setup with an edition, operators' own numbers, and the evacuated localities. It
//! knows nothing of the system.

use crate::observations::{Observation, TimedObservation};
use result_code::ResultCode;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A search that takes more steps is given up, and says so.
const MAX_STEPS: u64 = 2_000_000;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A setup, with the operator's own number or the edition it was made from, where it has one.
    Configuration {
        number: Option<u64>,
        base: Option<u64>,
        digest: String,
    },
    /// Evacuates a locality, or takes it back.
    Evacuate { locality: String, back: bool },
    /// Reads the setup back.
    Read,
    /// Not an operator's: what was left after a lost majority was put in force under a far higher edition.
    Rescue,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResult {
    /// An order was decided; the edition is missing where the answer may be to a later sending of the same order.
    Decided {
        code: ResultCode,
        revision: Option<u64>,
    },
    /// The setup read back; its digest is empty where there was none.
    Read { revision: u64, digest: String },
}

/// One call, however often it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandCall {
    pub name: String,
    pub called_at: Duration,
    pub command: Command,
    /// None where no clear answer ever came: it may take effect at any moment after its start, or never.
    pub returned: Option<(Duration, CommandResult)>,
}

impl CommandCall {
    /// True for reads, and for orders that were told that they changed nothing.
    fn never_changes(&self) -> bool {
        match &self.returned {
            Some((_, CommandResult::Decided { code, .. })) => *code != ResultCode::Success,
            Some((_, CommandResult::Read { .. })) => true,
            None => false,
        }
    }

    fn told_edition(&self) -> Option<u64> {
        match self.returned.as_ref()? {
            (_, CommandResult::Decided { revision, .. }) => *revision,
            (_, CommandResult::Read { revision, .. }) => Some(*revision),
        }
    }
}

/// Why a history is not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryError {
    /// However the calls are ordered, this answer fits none; it came at this moment.
    NotLinearizable { call: String, at: Duration },
    /// The search was given up.
    SearchLimitReached,
}

/// Checks a history.
///
/// ```
/// use invariants::history::{CommandCall, Command, CommandResult, check};
/// use std::time::Duration;
/// let read = |revision, digest: &str| CommandCall {
///     name: "read".into(),
///     called_at: Duration::ZERO,
///     command: Command::Read,
///     returned: Some((Duration::from_secs(1), CommandResult::Read { revision, digest: digest.into() })),
/// };
/// assert!(check(&[read(0, "")]).is_ok());
/// assert!(check(&[read(1, "d")]).is_err(), "nobody wrote it");
/// ```
pub fn check(calls: &[CommandCall]) -> Result<(), HistoryError> {
    Search::new(calls).run()
}

/// What the calls that were put in order so far led to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Model {
    /// None after a rescue, until an answer tells it.
    revision: Option<u64>,
    digest: String,
    /// The highest number in force so far.
    number: Option<u64>,
    /// What each number that was in force stands for.
    numbers: BTreeMap<u64, String>,
    evacuated: BTreeSet<String>,
}

impl Model {
    fn new() -> Model {
        Model {
            revision: Some(0),
            ..Model::default()
        }
    }

    /// The state after a call, where its answer fits; without an answer, only where it changes something.
    fn after(&self, call: &CommandCall) -> Option<Model> {
        match (
            &call.command,
            call.returned.as_ref().map(|(_, reply)| reply),
        ) {
            (Command::Rescue, _) => Some(Model {
                revision: None,
                ..self.clone()
            }),
            (Command::Read, Some(CommandResult::Read { revision, digest })) => (*digest
                == self.digest)
                .then(|| self.at_edition(Some(*revision)))
                .flatten(),
            (Command::Read, _) => None,
            (command, None) => self.changed(command),
            (
                command,
                Some(CommandResult::Decided {
                    code: ResultCode::Success,
                    revision,
                }),
            ) => match self.changed(command) {
                Some(changed) => changed.at_edition(*revision),
                None => self
                    .stands(command)
                    .then(|| self.at_edition(*revision))
                    .flatten(),
            },
            (command, Some(CommandResult::Decided { code, revision })) => self
                .refuses(command, *code)
                .then(|| self.at_edition(*revision))
                .flatten(),
            (_, Some(CommandResult::Read { .. })) => None,
        }
    }

    /// This state, where it may have the edition that an answer told.
    fn at_edition(&self, told: Option<u64>) -> Option<Model> {
        let fits = told.is_none() || self.revision.is_none() || told == self.revision;
        fits.then(|| Model {
            revision: told.or(self.revision),
            ..self.clone()
        })
    }

    /// The state after an order that changes something.
    fn changed(&self, command: &Command) -> Option<Model> {
        let mut next = self.clone();
        match command {
            Command::Configuration { base, .. }
                if base.is_some_and(|base| self.revision.is_some_and(|known| known != base)) =>
            {
                return None;
            }
            Command::Configuration {
                number: Some(number),
                digest,
                ..
            } => {
                if self.number.is_some_and(|held| *number <= held) {
                    return None;
                }
                next.number = Some(*number);
                next.numbers.insert(*number, digest.clone());
                next.digest.clone_from(digest);
            }
            Command::Configuration { digest, .. } => next.digest.clone_from(digest),
            Command::Evacuate {
                locality,
                back: false,
            } if !next.evacuated.insert(locality.clone()) => return None,
            Command::Evacuate {
                locality,
                back: true,
            } if !next.evacuated.remove(locality) => return None,
            Command::Evacuate { .. } => {}
            Command::Read | Command::Rescue => return None,
        }
        next.revision = self.revision.map(|revision| revision + 1);
        Some(next)
    }

    /// True where an order that changes nothing finds what it asks for.
    fn stands(&self, command: &Command) -> bool {
        match command {
            Command::Configuration {
                number: Some(number),
                digest,
                ..
            } => self.numbers.get(number) == Some(digest),
            Command::Evacuate { locality, back } => self.evacuated.contains(locality) != *back,
            _ => false,
        }
    }

    /// True where an order that changes nothing is rightly told so with this code.
    fn refuses(&self, command: &Command, code: ResultCode) -> bool {
        let Command::Configuration {
            number,
            base,
            digest,
        } = command
        else {
            return false;
        };
        match code {
            ResultCode::RevisionConflict => {
                base.is_some() && (self.revision.is_none() || *base != self.revision)
            }
            ResultCode::VersionConflict => {
                let known = number.and_then(|number| self.numbers.get(&number));
                known.is_some_and(|known| known != digest)
            }
            ResultCode::Superseded => {
                number.is_some_and(|number| self.number.is_some_and(|held| number < held))
            }
            _ => false,
        }
    }
}

/// Marks the end of the list of events.
const NONE: usize = usize::MAX;
/// The list's head, which is no event.
const HEAD: usize = 0;

/// A call's start or answer, in a list from which calls are taken as they are put in order.
struct Event {
    call: usize,
    is_return: bool,
    before: usize,
    after: usize,
}

struct Search<'a> {
    calls: &'a [CommandCall],
    events: Vec<Event>,
    /// Where each call's answer stands in the list.
    returns: Vec<usize>,
    /// Answers of calls that are not put in order yet.
    open: usize,
    linearized: Vec<u64>,
    /// How many calls that are not in order yet were told each edition. Editions only rise, so an order of calls that
    /// went past one of these leads nowhere.
    awaited: BTreeMap<u64, usize>,
    model: Model,
    tried: HashSet<(u64, u64)>,
    /// The latest answer that could not be passed.
    stuck: Option<usize>,
}

impl<'a> Search<'a> {
    fn new(calls: &'a [CommandCall]) -> Self {
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
            .filter_map(CommandCall::told_edition)
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

    fn run(mut self) -> Result<(), HistoryError> {
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
            // An answer whose call is not in order yet: what was chosen last was wrong.
            self.stuck = self.stuck.max(Some(at));
            let Some(last) = self.take_back(&mut chosen) else {
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
        let told =
            call.map(|call| format!("{} {:?} -> {:?}", call.name, call.command, call.returned));
        HistoryError::NotLinearizable {
            call: told.unwrap_or_default(),
            at,
        }
    }

    /// Puts a call next in order, where its answer fits and that was not tried; gives the state before it.
    fn choose(&mut self, at: usize) -> Option<Model> {
        let call = self.events[at].call;
        let after = self.model.after(&self.calls[call])?;
        self.mark(call);
        self.await_edition(call, false);
        let went_past = self
            .awaited
            .first_key_value()
            .zip(after.revision)
            .is_some_and(|((first, _), now)| *first < now);
        if went_past || !self.tried.insert(self.fingerprint(&after)) {
            self.mark(call);
            self.await_edition(call, true);
            return None;
        }
        self.unlink(at);
        if self.returns[call] != NONE {
            self.unlink(self.returns[call]);
            self.open -= 1;
        }
        Some(std::mem::replace(&mut self.model, after))
    }

    /// Takes back what was chosen last, and with it what could not have been chosen otherwise. A call that never changes
    /// anything may as well come at once: no other order is worth a try.
    fn take_back(&mut self, chosen: &mut Vec<(usize, Model)>) -> Option<usize> {
        loop {
            let (last, before) = chosen.pop()?;
            self.model = before;
            self.put_back(last);
            if !self.calls[self.events[last].call].never_changes() {
                return Some(last);
            }
        }
    }

    fn put_back(&mut self, at: usize) {
        let call = self.events[at].call;
        if self.returns[call] != NONE {
            self.link(self.returns[call]);
            self.open += 1;
        }
        self.link(at);
        self.mark(call);
        self.await_edition(call, true);
    }

    /// Notes that a call's edition is awaited, or no longer.
    fn await_edition(&mut self, call: usize, awaited: bool) {
        let Some(revision) = self.calls[call].told_edition() else {
            return;
        };
        let count = self.awaited.entry(revision).or_insert(0);
        *count = if awaited { *count + 1 } else { *count - 1 };
        if *count == 0 {
            self.awaited.remove(&revision);
        }
    }

    /// Turns a call's mark over.
    fn mark(&mut self, call: usize) {
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

/// The calls of a record. Reads count only where the orders were recorded too.
///
/// ```
/// assert!(invariants::history::calls(&[]).is_empty());
/// ```
pub fn calls(seen: &[TimedObservation]) -> Vec<CommandCall> {
    let mut calls: Vec<CommandCall> = Vec::new();
    let mut known: BTreeMap<&str, usize> = BTreeMap::new();
    seen.iter().for_each(|(at, observation)| match observation {
        Observation::CommandInvoked { call, command } => {
            known.insert(call, calls.len());
            calls.push(CommandCall {
                name: call.clone(),
                called_at: *at,
                command: command.clone(),
                returned: None,
            });
        }
        Observation::CommandReturned { call, reply } => {
            let call = known.get(call.as_str()).map(|at| &mut calls[*at]);
            let open = call.filter(|call| call.returned.is_none() && is_clear(reply));
            open.into_iter()
                .for_each(|call| call.returned = Some((*at, reply.clone())));
        }
        Observation::ConfigurationRead {
            node,
            revision,
            digest,
            asked_at,
        } => calls.push(CommandCall {
            name: format!("read at {node}"),
            called_at: *asked_at,
            command: Command::Read,
            returned: Some((
                *at,
                CommandResult::Read {
                    revision: *revision,
                    digest: digest.clone(),
                },
            )),
        }),
        Observation::ClusterRecovered => {
            let name = "rescue".to_owned();
            calls.push(CommandCall {
                name,
                called_at: *at,
                command: Command::Rescue,
                returned: None,
            });
        }
        _ => {}
    });
    if known.is_empty() { Vec::new() } else { calls }
}

/// True where an answer tells what became of a call. An order without an id that a higher number overtook may have
/// been in force before.
fn is_clear(reply: &CommandResult) -> bool {
    match reply {
        CommandResult::Decided {
            code: ResultCode::ChangeForgotten,
            ..
        } => false,
        CommandResult::Decided {
            code: ResultCode::Superseded,
            revision: None,
        } => false,
        CommandResult::Decided { .. } | CommandResult::Read { .. } => true,
    }
}

/// Calls that were sent again and then told something else, with the moment of the later answer.
///
/// ```
/// assert!(invariants::history::changed_answers(&[]).is_empty());
/// ```
pub fn changed_answers(seen: &[TimedObservation]) -> Vec<(Duration, String)> {
    let mut first: BTreeMap<&str, &CommandResult> = BTreeMap::new();
    let mut changed = Vec::new();
    seen.iter().for_each(|(at, observation)| {
        let Observation::CommandReturned { call, reply } = observation else {
            return;
        };
        if is_clear(reply) {
            let known = first.entry(call).or_insert(reply);
            if *known != reply {
                changed.push((
                    *at,
                    format!("{call} was told {known:?}, and later {reply:?}"),
                ));
            }
        }
    });
    changed
}
