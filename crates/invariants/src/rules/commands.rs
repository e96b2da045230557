//! Rules on operators' commands and on what control nodes confirm.

use super::{RuleParameters, Violation, violation};
use crate::history::{self, HistoryError};
use crate::observations::{Confirmation, Observation, TimedObservation};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after its last contact a node may still confirm an upstream's heartbeat, which promises nothing that others
/// have to know.
const HEARTBEAT_CONFIRMED_FOR: Duration = Duration::from_millis(1500);
/// How long what was sent before a partition may be in flight.
const MAX_IN_FLIGHT: Duration = Duration::from_millis(100);

/// Rule 14: a control node confirms nothing while it is out of contact with the others.
pub(super) fn confirms_only_in_contact(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut isolated: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
            Observation::NodeIsolated { node } => {
                isolated.insert(node, *at);
            }
            Observation::NodeReconnected { node } => {
                isolated.remove(node.as_str());
            }
            Observation::NodeConfirmed {
                node,
                what,
                asked_at,
            } => {
                let allowed = if *what == Confirmation::Heartbeat {
                    HEARTBEAT_CONFIRMED_FOR
                } else {
                    MAX_IN_FLIGHT
                };
                let late = isolated
                    .get(node.as_str())
                    .filter(|since| *asked_at > **since + allowed);
                found.extend(late.map(|_| {
                    violation(
                        14,
                        *at,
                        format!("{node} vouched for {what:?} out of contact"),
                    )
                }));
            }
            _ => {}
        });
    found
}

/// Rule 13: operators' commands are linearizable.
pub(super) fn commands_are_linearizable(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let found = history::check(&history::calls(observations))
        .err()
        .map(|flaw| match flaw {
            HistoryError::NotLinearizable { call, at } => {
                violation(13, at, format!("no order of the calls explains {call}"))
            }
            HistoryError::SearchLimitReached => violation(
                13,
                Duration::ZERO,
                "too many orders of the calls to judge them".into(),
            ),
        });
    found.into_iter().collect()
}

/// Rule 13: a command that is sent again gets its first result.
pub(super) fn results_do_not_change(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    history::changed_answers(observations)
        .into_iter()
        .map(|(at, text)| violation(13, at, text))
        .collect()
}
