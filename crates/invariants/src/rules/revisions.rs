//! Rules on revisions and versions of the configuration.

use super::{RuleParameters, Violation, violation};
use crate::observations::{Observation, TimedObservation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Rule 7: an accepted revision is in force at each node within 3 s, and none goes back.
pub(super) fn revisions_only_rise(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut accepted: Vec<(Duration, u64)> = Vec::new();
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
            Observation::RevisionAccepted { revision } => accepted.push((*at, *revision)),
            Observation::RevisionInForce { node, revision } => {
                let known = highest.entry(node.clone()).or_insert(0);
                if revision < known {
                    found.push(violation(
                        7,
                        *at,
                        format!("{node} went back from {known} to {revision}"),
                    ));
                }
                *known = (*known).max(*revision);
                let due = accepted
                    .iter()
                    .filter(|(accepted_at, _)| *at > *accepted_at + Duration::from_secs(3));
                let due = due.map(|(_, revision)| *revision).max().unwrap_or(0);
                if *revision < due {
                    found.push(violation(
                        7,
                        *at,
                        format!("{node} serves {revision}, but {due} was due"),
                    ));
                }
            }
            _ => {}
        });
    found
}

/// How long after the acceptance of a revision a node may still serve an older one.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Two requests on their way may overtake one another within this time.
const OVERTAKING: Duration = Duration::from_secs(1);

/// An accepted configuration, as probes from outside see it.
struct AcceptedRevision {
    revision: u64,
    marker: usize,
    /// When no node may serve it any more, if a newer one was accepted.
    superseded_at: Option<Duration>,
}

impl AcceptedRevision {
    fn may_serve_at(&self, at: Duration) -> bool {
        self.superseded_at
            .is_none_or(|superseded_at| at <= superseded_at)
    }
}

/// The accepted configurations, each with the time at which any newer one must be in force.
fn accepted_revisions(observations: &[TimedObservation]) -> Vec<AcceptedRevision> {
    let configurations: Vec<(Duration, u64, usize)> = observations
        .iter()
        .filter_map(|(at, observation)| match observation {
            Observation::ConfigurationAccepted {
                revision, marker, ..
            } => Some((*at, *revision, *marker)),
            _ => None,
        })
        .collect();
    let superseded_at = |revision: u64| {
        configurations
            .iter()
            .filter(|(_, newer, _)| *newer > revision)
            .map(|(at, ..)| *at + IN_FORCE_WITHIN)
            .min()
    };
    configurations
        .iter()
        .map(|(_, revision, marker)| AcceptedRevision {
            revision: *revision,
            marker: *marker,
            superseded_at: superseded_at(*revision),
        })
        .collect()
}

/// The same, observed from outside: by where probes arrive. Several configurations share a marker, so an arrival breaks
/// the rule only where no configuration with its marker could have led it there.
pub(super) fn traffic_follows_revisions(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let accepted = accepted_revisions(observations);
    let mut floors: BTreeMap<&str, Vec<(Duration, u64)>> = BTreeMap::new();
    let mut found = Vec::new();
    for (at, observation) in observations {
        let Observation::MarkerReached { node, marker } = observation else {
            continue;
        };
        let mut marked = accepted
            .iter()
            .filter(|accepted| accepted.marker == *marker)
            .peekable();
        if marked.peek().is_none() {
            continue;
        }
        let allowed: Vec<u64> = marked
            .filter(|accepted| accepted.may_serve_at(*at))
            .map(|accepted| accepted.revision)
            .collect();
        let least = allowed.iter().min().copied();
        let most = allowed.iter().max().copied();
        if most.is_none() {
            found.push(violation(
                7,
                *at,
                format!("{node} sent a probe to mark-{marker}, by a setup that was over"),
            ));
        }
        let settled = floors.entry(node.as_str()).or_default();
        let floor = settled
            .iter()
            .filter(|(then, _)| *then + OVERTAKING < *at)
            .map(|(_, least)| *least);
        if most
            .zip(floor.max())
            .is_some_and(|(most, floor)| most < floor)
        {
            found.push(violation(
                7,
                *at,
                format!("{node} went back to mark-{marker}"),
            ));
        }
        settled.extend(least.map(|least| (*at, least)));
    }
    found
}

/// Rule 8: an accepted configuration is not lost, and every node reads the same one.
pub(super) fn accepted_configuration_is_kept(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut submitted: BTreeMap<u64, String> = BTreeMap::new();
    let mut accepted: Vec<(Duration, u64)> = Vec::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
            Observation::RevisionAccepted { revision } => accepted.push((*at, *revision)),
            Observation::ConfigurationAccepted {
                revision, digest, ..
            } => {
                let other = submitted
                    .insert(*revision, digest.clone())
                    .filter(|other| other != digest);
                found.extend(
                    other.map(|_| violation(8, *at, format!("edition {revision} was given twice"))),
                );
            }
            Observation::ConfigurationRead {
                node,
                revision,
                digest,
                asked_at,
            } => {
                let known = accepted
                    .iter()
                    .filter(|(accepted_at, _)| accepted_at < asked_at)
                    .map(|(_, revision)| *revision);
                let newest = known.max().unwrap_or(0);
                if *revision < newest {
                    found.push(violation(
                        8,
                        *at,
                        format!("{node} reads back {revision}, {newest} was accepted"),
                    ));
                }
                let other = submitted.get(revision).filter(|known| *known != digest);
                found.extend(other.map(|_| {
                    violation(
                        8,
                        *at,
                        format!("{node} reads back another edition {revision}"),
                    )
                }));
            }
            _ => {}
        });
    found
}

/// What is read back has at least the highest number that was acknowledged, or read, before it was asked for.
pub(super) fn highest_version_holds(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut numbers: BTreeMap<&str, u64> = BTreeMap::new();
    let mut known: Vec<(Duration, u64)> = Vec::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
            Observation::VersionSubmitted { number, digest } => {
                numbers.insert(digest, *number);
            }
            Observation::VersionAcknowledged { number } => known.push((*at, *number)),
            Observation::ConfigurationRead {
                node,
                digest,
                asked_at,
                ..
            } => {
                let newest = known
                    .iter()
                    .filter(|(accepted_at, _)| accepted_at < asked_at)
                    .map(|(_, number)| *number)
                    .max();
                numbers.get(digest.as_str()).into_iter().for_each(|number| {
                    let older = newest.filter(|newest| number < newest);
                    found.extend(older.map(|newest| {
                        violation(
                            8,
                            *at,
                            format!("{node} reads back number {number} after {newest}"),
                        )
                    }));
                    known.push((*at, *number));
                });
            }
            _ => {}
        });
    found
}
