//! One checker per 'must never happen'. They judge recorded facts and know nothing of the system.

use crate::history::{self, HistoryError};
use crate::observations::{Confirmation, Observation, TimedObservation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// What was agreed with operators and may not be guessed from facts.
#[derive(Clone, Debug, Default)]
pub struct RuleParameters {
    /// Home regions by service; a service that is missing may go anywhere.
    pub homes: BTreeMap<String, BTreeSet<String>>,
    /// First sends a second that one cold upstream may get.
    pub warm_up_per_second: u64,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u32,
    pub at: Duration,
    pub text: String,
}

/// A checker: its rule's number, its name, and what it finds.
pub type Checker = (
    u32,
    &'static str,
    fn(&[TimedObservation], &RuleParameters) -> Vec<Violation>,
);

/// All checkers.
pub const CHECKERS: &[Checker] = &[
    (1, "once-work runs once", runs_once),
    (2, "'busy' only for what did not run", busy_did_not_run),
    (
        3,
        "no partial, unsealed or foreign success",
        successes_are_whole,
    ),
    (4, "no address held over 5 s", addresses_are_fresh),
    (
        5,
        "nothing to a leaving upstream after 3 s",
        leaving_is_left_alone,
    ),
    (
        6,
        "nothing to an evacuated zone after 5 s",
        evacuated_is_empty,
    ),
    (
        7,
        "an edition is in force within 3 s and never goes back",
        editions_only_rise,
    ),
    (
        7,
        "traffic goes by an edition in force, and never back",
        traffic_only_rises,
    ),
    (
        8,
        "an accepted setup is not lost and reads back alike",
        accepted_is_kept,
    ),
    (
        8,
        "the highest acknowledged number holds",
        highest_number_holds,
    ),
    (
        9,
        "resends within a fifth and the allowance",
        resends_are_few,
    ),
    (
        10,
        "a cold upstream stays within its warm-up rate",
        warm_up_is_kept,
    ),
    (11, "no two upstreams hold a key", keys_have_one_holder),
    (12, "region-bound work stays inside", homes_are_kept),
    (
        13,
        "operators' calls happen one at a time",
        calls_are_linearizable,
    ),
    (
        13,
        "an order sent again gets its first answer",
        answers_stay,
    ),
    (
        14,
        "nothing is vouched for out of contact with the others",
        vouches_in_contact,
    ),
];

/// Rules that hold within a span: on a machine that others share, real time may break them by itself, and the
/// simulator judges them in virtual time.
pub const TIMED: [u32; 6] = [4, 5, 6, 7, 9, 10];

/// Runs every checker.
///
/// ```
/// assert!(invariants::rules::check_all(&[], &Default::default()).is_empty());
/// ```
pub fn check_all(seen: &[TimedObservation], rule_parameters: &RuleParameters) -> Vec<Violation> {
    CHECKERS
        .iter()
        .flat_map(|(_, _, check)| check(seen, rule_parameters))
        .collect()
}

fn violation(rule: u32, at: Duration, text: String) -> Violation {
    Violation { rule, at, text }
}

fn runs_once(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
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
    seen.iter().filter_map(again).collect()
}

/// How long after the last contact a node may still say that it heard an upstream's heartbeat, which vouches for nothing
/// that others have to know; and how long what was sent before a cut may be on its way.
const HEARD_FOR: Duration = Duration::from_millis(1500);
const ON_ITS_WAY: Duration = Duration::from_millis(100);

fn vouches_in_contact(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut isolated: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
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
                HEARD_FOR
            } else {
                ON_ITS_WAY
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

fn busy_did_not_run(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let ran: BTreeSet<&str> = seen
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
    seen.iter().filter_map(lied).collect()
}

fn successes_are_whole(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
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
    seen.iter().filter_map(bad).collect()
}

fn addresses_are_fresh(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let old = |(at, observation): &TimedObservation| match observation {
        Observation::AddressUsed { age } if *age > Duration::from_secs(5) => Some(violation(
            4,
            *at,
            format!("an address was used after {age:?}"),
        )),
        _ => None,
    };
    seen.iter().filter_map(old).collect()
}

fn leaving_is_left_alone(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut noticed: BTreeMap<String, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
        Observation::UpstreamDraining { instance } => {
            noticed.entry(instance.clone()).or_insert(*at);
        }
        Observation::RequestArrived {
            instance,
            attempt_id,
            ..
        } => {
            let late = noticed
                .get(instance)
                .filter(|noticed| *at > **noticed + Duration::from_secs(3));
            found.extend(late.map(|_| {
                violation(
                    5,
                    *at,
                    format!("{attempt_id} reached {instance}, which is leaving"),
                )
            }));
        }
        _ => {}
    });
    found
}

fn evacuated_is_empty(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut empty: BTreeMap<String, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
        Observation::Evacuation {
            locality,
            back: false,
        } => {
            empty.insert(locality.clone(), *at);
        }
        Observation::Evacuation {
            locality,
            back: true,
        } => {
            empty.remove(locality);
        }
        Observation::RequestArrived {
            locality,
            attempt_id,
            ..
        } => {
            let late = empty
                .get(locality)
                .filter(|told| *at > **told + Duration::from_secs(5));
            found.extend(
                late.map(|_| {
                    violation(6, *at, format!("{attempt_id} reached evacuated {locality}"))
                }),
            );
        }
        _ => {}
    });
    found
}

fn editions_only_rise(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut accepted: Vec<(Duration, u64)> = Vec::new();
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
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
                .filter(|(told, _)| *at > *told + Duration::from_secs(3));
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

/// The same, seen from outside: by where probes arrive. Several setups share a mark, so an arrival breaks the rule only
/// where no setup with its mark could lawfully have led it there.
fn traffic_only_rises(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let late = Duration::from_secs(3);
    let configurations: Vec<(Duration, u64, usize)> = seen
        .iter()
        .filter_map(|(at, observation)| match observation {
            Observation::ConfigurationAccepted {
                revision, marker, ..
            } => Some((*at, *revision, *marker)),
            _ => None,
        })
        .collect();
    // When each edition was over: 3 s after the yes to any newer one.
    let over = |revision: u64| {
        configurations
            .iter()
            .filter(|(_, newer, _)| *newer > revision)
            .map(|(at, ..)| *at + late)
            .min()
    };
    let spans: Vec<(u64, usize, Option<Duration>)> = configurations
        .iter()
        .map(|(_, revision, marker)| (*revision, *marker, over(*revision)))
        .collect();
    let mut floors: BTreeMap<&str, Vec<(Duration, u64)>> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| {
        let Observation::MarkerReached { node, marker } = observation else {
            return;
        };
        let mut marked = spans
            .iter()
            .filter(|(_, other, _)| other == marker)
            .peekable();
        if marked.peek().is_none() {
            return;
        }
        let lawful: Vec<u64> = marked
            .filter(|(.., over)| over.is_none_or(|over| *at <= over))
            .map(|(revision, ..)| *revision)
            .collect();
        let (least, most) = (lawful.iter().min().copied(), lawful.iter().max().copied());
        if most.is_none() {
            found.push(violation(
                7,
                *at,
                format!("{node} sent a probe to mark-{marker}, by a setup that was over"),
            ));
        }
        // Two requests on their way may overtake one another within a second.
        let settled = floors.entry(node.as_str()).or_default();
        let floor = settled
            .iter()
            .filter(|(then, _)| *then + Duration::from_secs(1) < *at)
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
    });
    found
}

fn accepted_is_kept(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut submitted: BTreeMap<u64, String> = BTreeMap::new();
    let mut accepted: Vec<(Duration, u64)> = Vec::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
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
                .filter(|(told, _)| told < asked_at)
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
fn highest_number_holds(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut numbers: BTreeMap<&str, u64> = BTreeMap::new();
    let mut known: Vec<(Duration, u64)> = Vec::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
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
                .filter(|(told, _)| told < asked_at)
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

/// Over any 10 s and per service: arrivals of a try beyond its first, against a fifth of the first ones and 10.
fn resends_are_few(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let window = Duration::from_secs(10);
    let mut known: BTreeSet<&str> = BTreeSet::new();
    let mut sends: BTreeMap<&str, Vec<(Duration, bool)>> = BTreeMap::new();
    seen.iter().for_each(|(at, observation)| {
        if let Observation::RequestArrived {
            attempt_id,
            service,
            ..
        } = observation
        {
            sends
                .entry(service.as_str())
                .or_default()
                .push((*at, !known.insert(attempt_id.as_str())));
        }
    });
    let mut found = Vec::new();
    sends.into_iter().for_each(|(service, sends)| {
        let (mut start, mut firsts, mut again) = (0usize, 0u64, 0u64);
        sends.iter().for_each(|(at, resend)| {
            if *resend {
                again += 1
            } else {
                firsts += 1
            }
            while sends[start].0 + window < *at {
                if sends[start].1 {
                    again -= 1
                } else {
                    firsts -= 1
                }
                start += 1;
            }
            if again > firsts / 5 + 10 {
                found.push(violation(
                    9,
                    *at,
                    format!("{service}: {again} resends on {firsts} sends in 10 s"),
                ));
            }
        });
    });
    found
}

/// A cold upstream gets at most twice its rate, and a handful, over any 2 s.
fn warm_up_is_kept(seen: &[TimedObservation], rule_parameters: &RuleParameters) -> Vec<Violation> {
    let window = Duration::from_secs(2);
    let most = rule_parameters.warm_up_per_second * 4 + 4;
    let mut arrived: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| {
        if let Observation::RequestArrived {
            instance,
            cold: true,
            ..
        } = observation
        {
            let times = arrived.entry(instance.as_str()).or_default();
            times.retain(|time| *time + window > *at);
            times.push(*at);
            if times.len() as u64 > most {
                found.push(violation(
                    10,
                    *at,
                    format!("cold {instance} got {} in 2 s", times.len()),
                ));
            }
        }
    });
    found
}

/// Keys and until when they are held.
type Held = Vec<(Range<u32>, Duration)>;

fn overlap(one: &Range<u32>, other: &Range<u32>) -> Range<u32> {
    one.start.max(other.start)..one.end.min(other.end)
}

/// What is held beside these keys.
fn beside(held: &Held, keys: &Range<u32>) -> Held {
    let parts = held.iter().flat_map(|(known, until)| {
        [
            known.start..known.end.min(keys.start),
            known.start.max(keys.end)..known.end,
        ]
        .map(|part| (part, *until))
    });
    parts.filter(|(part, _)| !part.is_empty()).collect()
}

fn keys_have_one_holder(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let mut held: BTreeMap<&str, BTreeMap<&str, Held>> = BTreeMap::new();
    let mut found = Vec::new();
    seen.iter().for_each(|(at, observation)| match observation {
        Observation::KeysHeld {
            service,
            keys,
            instance,
            until,
        } => {
            let holders = held.entry(service).or_default();
            holders
                .values_mut()
                .for_each(|rows| rows.retain(|(_, until)| until > at));
            let others = holders.iter().filter(|(other, _)| *other != instance);
            let twice = others.flat_map(|(other, rows)| {
                rows.iter()
                    .map(move |(row, _)| (overlap(row, keys), other))
                    .filter(|(both, _)| !both.is_empty())
            });
            found.extend(twice.map(|(both, other)| {
                violation(
                    11,
                    *at,
                    format!("{both:?} of {service} is held by {other} and {instance}"),
                )
            }));
            let mine = holders.entry(instance).or_default();
            *mine = beside(mine, keys);
            mine.push((keys.clone(), *until));
        }
        Observation::KeysReleased {
            service,
            keys,
            instance,
        } => {
            let mine = held
                .entry(service)
                .or_default()
                .entry(instance)
                .or_default();
            *mine = beside(mine, keys);
        }
        _ => {}
    });
    found
}

fn homes_are_kept(seen: &[TimedObservation], rule_parameters: &RuleParameters) -> Vec<Violation> {
    let outside = |(at, observation): &TimedObservation| match observation {
        Observation::RequestArrived {
            service,
            locality,
            attempt_id,
            ..
        } => {
            let region = locality.split('/').next().unwrap_or_default();
            let homes = rule_parameters
                .homes
                .get(service)
                .filter(|homes| !homes.contains(region));
            homes.map(|_| {
                violation(
                    12,
                    *at,
                    format!("{attempt_id} of {service} went to {locality}"),
                )
            })
        }
        _ => None,
    };
    seen.iter().filter_map(outside).collect()
}

fn calls_are_linearizable(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    let found = history::check(&history::calls(seen))
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

fn answers_stay(seen: &[TimedObservation], _: &RuleParameters) -> Vec<Violation> {
    history::changed_answers(seen)
        .into_iter()
        .map(|(at, text)| violation(13, at, text))
        .collect()
}
