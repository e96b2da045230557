//! Rules on the holders of keys.

use super::{RuleParameters, Violation, violation};
use crate::observations::{Observation, TimedObservation};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Keys and until when they are held.
type Held = Vec<(Range<u32>, Duration)>;

fn overlap(one: &Range<u32>, other: &Range<u32>) -> Range<u32> {
    one.start.max(other.start)..one.end.min(other.end)
}

/// What is held apart from these keys.
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

/// Rule 11: no two upstreams hold a key at the same time.
pub(super) fn keys_have_one_holder(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut held: BTreeMap<&str, BTreeMap<&str, Held>> = BTreeMap::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
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
