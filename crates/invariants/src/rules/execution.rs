//! Rules on what is executed, and what responses say about it.

use super::{RuleParameters, Violation, violation};
use crate::observations::{Observation, TimedObservation};
use std::collections::BTreeSet;

/// Rule 1: an operation that may be executed only once is not executed twice.
pub(super) fn executes_at_most_once(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut ran = BTreeSet::new();
    let again = |(at, observation): &TimedObservation| match observation {
        Observation::OperationExecuted {
            operation,
            at_most_once: true,
            attempt_id,
        } if !ran.insert(operation.clone()) => Some(violation(
            1,
            *at,
            format!("{operation} ran again as {attempt_id}"),
        )),
        _ => None,
    };
    observations.iter().filter_map(again).collect()
}

/// Rule 2: what a response promises not to have executed was not executed.
pub(super) fn rejected_was_not_executed(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let ran: BTreeSet<&str> = observations
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::OperationExecuted { attempt_id, .. } => Some(attempt_id.as_str()),
            _ => None,
        })
        .collect();
    let lied = |(at, observation): &TimedObservation| match observation {
        Observation::AttemptAnswered {
            attempt_id,
            code,
            not_executed: true,
            ..
        } if ran.contains(attempt_id.as_str()) => Some(violation(
            2,
            *at,
            format!("{attempt_id} was answered {code}, but ran"),
        )),
        _ => None,
    };
    observations.iter().filter_map(lied).collect()
}

/// Rule 3: a success is complete, sealed, and the one of its own attempt.
pub(super) fn successes_are_complete(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let bad = |(at, observation): &TimedObservation| match observation {
        Observation::AttemptAnswered {
            attempt_id,
            success: true,
            complete: false,
            ..
        } => Some(violation(
            3,
            *at,
            format!("{attempt_id} got a success that is not its own whole one"),
        )),
        _ => None,
    };
    observations.iter().filter_map(bad).collect()
}
