//! Whether operators' commands are linearizable: whether each looks as if it had happened at one moment between its
//! invocation and its result.
//!
//! The search is Wing and Gong's with Lowe's cache of visited states: calls are put in order one by one, only those
//! that began before any other one ended, and a set of ordered calls that led to a known state is not tried again.
//! The model knows nothing of the system.

mod model;
mod search;

use crate::observations::{Observation, TimedObservation};
use result_code::ResultCode;
use search::Search;
use std::collections::BTreeMap;
use std::time::Duration;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Submits a configuration.
    Configuration {
        /// The operator's own version, where it has one.
        number: Option<u64>,
        /// The revision that it was made from, where it has one.
        base: Option<u64>,
        /// A digest of the configuration.
        digest: String,
    },
    /// Evacuates a locality, or ends its evacuation.
    Evacuate {
        /// Region and zone.
        locality: String,
        /// Whether the evacuation ends.
        back: bool,
    },
    /// Reads the configuration.
    Read,
    /// Not an operator's: the state that survived the loss of a quorum was put in force under a far higher revision.
    Rescue,
}

/// What an operator receives.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResult {
    /// A command was decided.
    Decided {
        /// The result.
        code: ResultCode,
        /// The revision; missing where the result may be that of a later sending of the same command.
        revision: Option<u64>,
    },
    /// A configuration was read.
    Read {
        /// Its revision.
        revision: u64,
        /// Its digest, empty where there was none.
        digest: String,
    },
}

/// One call of a command, however often it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandCall {
    /// Names the call.
    pub name: String,
    /// When it was invoked.
    pub called_at: Duration,
    /// What was asked for.
    pub command: Command,
    /// When and how it returned. None where no clear result ever came: it may take effect at any moment after its
    /// invocation, or never.
    pub returned: Option<(Duration, CommandResult)>,
}

impl CommandCall {
    /// True for reads, and for commands whose results say that they changed nothing.
    fn never_changes(&self) -> bool {
        match &self.returned {
            Some((_, CommandResult::Decided { code, .. })) => *code != ResultCode::Success,
            Some((_, CommandResult::Read { .. })) => true,
            None => false,
        }
    }

    fn returned_revision(&self) -> Option<u64> {
        match self.returned.as_ref()? {
            (_, CommandResult::Decided { revision, .. }) => *revision,
            (_, CommandResult::Read { revision, .. }) => Some(*revision),
        }
    }
}

/// Why a history is not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryError {
    /// No order of the calls explains this result.
    NotLinearizable {
        /// The call and its result.
        call: String,
        /// When the result came.
        at: Duration,
    },
    /// The search took too many steps and was given up.
    SearchLimitReached,
}

/// Checks that a history is linearizable.
///
/// # Errors
///
/// Where it is not, or the search took too many steps.
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

/// The calls among observations. Reads count only where the commands were observed too.
///
/// ```
/// assert!(invariants::history::calls(&[]).is_empty());
/// ```
pub fn calls(observations: &[TimedObservation]) -> Vec<CommandCall> {
    let mut calls: Vec<CommandCall> = Vec::new();
    let mut known: BTreeMap<&str, usize> = BTreeMap::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
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

/// True where a result says what became of a call. A command without an id that a higher version overtook may have been
/// in force before.
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

/// Calls that were sent again and then got another result, with the moment of the later one.
///
/// ```
/// assert!(invariants::history::changed_answers(&[]).is_empty());
/// ```
pub fn changed_answers(observations: &[TimedObservation]) -> Vec<(Duration, String)> {
    let mut first: BTreeMap<&str, &CommandResult> = BTreeMap::new();
    let mut changed = Vec::new();
    observations.iter().for_each(|(at, observation)| {
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
