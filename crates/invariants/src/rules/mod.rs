//! One checker for each thing that must never happen. Checkers judge observations and know nothing else of the system.

mod commands;
mod execution;
mod keys;
mod revisions;
mod routing;

use crate::observations::TimedObservation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What operators configured, as far as rules depend on it.
#[derive(Clone, Debug, Default)]
pub struct RuleParameters {
    /// Home regions by service; a service that is missing may go anywhere.
    pub homes: BTreeMap<String, BTreeSet<String>>,
    /// First sends a second that one upstream may get while it warms up.
    pub warm_up_per_second: u64,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule's number.
    pub rule: u32,
    /// When it was broken, since the start of the run.
    pub at: Duration,
    /// What happened.
    pub text: String,
}

/// What a checker runs: it finds the violations of its rule.
pub type Check = fn(&[TimedObservation], &RuleParameters) -> Vec<Violation>;

/// The checker of one rule, or of one side of it.
#[derive(Clone, Copy, Debug)]
pub struct Checker {
    /// The rule's number.
    pub rule: u32,
    /// The rule in a few words.
    pub name: &'static str,
    /// Finds the violations.
    pub check: Check,
}

const fn checker(rule: u32, name: &'static str, check: Check) -> Checker {
    Checker { rule, name, check }
}

/// All checkers.
pub const CHECKERS: &[Checker] = &[
    checker(
        1,
        "an operation that may run only once runs once",
        execution::executes_at_most_once,
    ),
    checker(
        2,
        "'not executed' only for what was not executed",
        execution::rejected_was_not_executed,
    ),
    checker(
        3,
        "no partial, unsealed or foreign success",
        execution::successes_are_complete,
    ),
    checker(4, "no address used after 5 s", routing::addresses_are_fresh),
    checker(
        5,
        "nothing to a draining upstream after 3 s",
        routing::draining_gets_no_requests,
    ),
    checker(
        6,
        "nothing to an evacuated zone after 5 s",
        routing::evacuated_gets_no_requests,
    ),
    checker(
        7,
        "a revision is in force within 3 s and never goes back",
        revisions::revisions_only_rise,
    ),
    checker(
        7,
        "traffic follows a revision in force, and never goes back",
        revisions::traffic_follows_revisions,
    ),
    checker(
        8,
        "an accepted configuration is not lost and reads the same everywhere",
        revisions::accepted_configuration_is_kept,
    ),
    checker(
        8,
        "the highest acknowledged version is in force",
        revisions::highest_version_holds,
    ),
    checker(
        9,
        "retries within a fifth and the allowance",
        routing::retries_stay_in_budget,
    ),
    checker(
        10,
        "a cold upstream stays within its warm-up rate",
        routing::warm_up_rate_is_kept,
    ),
    checker(
        11,
        "no two upstreams hold a key",
        keys::keys_have_one_holder,
    ),
    checker(
        12,
        "region-bound requests stay inside",
        routing::home_regions_are_kept,
    ),
    checker(
        13,
        "operators' commands are linearizable",
        commands::commands_are_linearizable,
    ),
    checker(
        13,
        "a command sent again gets its first result",
        commands::results_do_not_change,
    ),
    checker(
        14,
        "nothing is confirmed out of contact with the others",
        commands::confirms_only_in_contact,
    ),
];

/// Rules with a time limit: on a machine that others share, real time may break them by itself, and the simulator
/// judges them in virtual time.
pub const TIMED: [u32; 6] = [4, 5, 6, 7, 9, 10];

/// Runs every checker.
///
/// ```
/// assert!(invariants::rules::check_all(&[], &Default::default()).is_empty());
/// ```
pub fn check_all(observations: &[TimedObservation], parameters: &RuleParameters) -> Vec<Violation> {
    CHECKERS
        .iter()
        .flat_map(|checker| (checker.check)(observations, parameters))
        .collect()
}

fn violation(rule: u32, at: Duration, text: String) -> Violation {
    Violation { rule, at, text }
}
