//! Rules on where requests go, and how many.

use super::{RuleParameters, Violation, violation};
use crate::observations::{Observation, TimedObservation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Rule 4: clients use no address for longer than its lifetime allows.
pub(super) fn addresses_are_fresh(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let old = |(at, observation): &TimedObservation| match observation {
        Observation::AddressUsed { age } if *age > Duration::from_secs(5) => Some(violation(
            4,
            *at,
            format!("an address was used after {age:?}"),
        )),
        _ => None,
    };
    observations.iter().filter_map(old).collect()
}

/// Rule 5: a draining upstream gets no requests after 3 s.
pub(super) fn draining_gets_no_requests(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut noticed: BTreeMap<String, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
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

/// Rule 6: an evacuated zone gets no requests after 5 s.
pub(super) fn evacuated_gets_no_requests(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let mut empty: BTreeMap<String, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    observations
        .iter()
        .for_each(|(at, observation)| match observation {
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
                    .filter(|accepted_at| *at > **accepted_at + Duration::from_secs(5));
                found.extend(late.map(|_| {
                    violation(6, *at, format!("{attempt_id} reached evacuated {locality}"))
                }));
            }
            _ => {}
        });
    found
}

/// Over any 10 s and per service: arrivals of a try beyond its first, against a fifth of the first ones and 10.
pub(super) fn retries_stay_in_budget(
    observations: &[TimedObservation],
    _: &RuleParameters,
) -> Vec<Violation> {
    let window = Duration::from_secs(10);
    let mut known: BTreeSet<&str> = BTreeSet::new();
    let mut sends: BTreeMap<&str, Vec<(Duration, bool)>> = BTreeMap::new();
    observations.iter().for_each(|(at, observation)| {
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
pub(super) fn warm_up_rate_is_kept(
    observations: &[TimedObservation],
    parameters: &RuleParameters,
) -> Vec<Violation> {
    let window = Duration::from_secs(2);
    let most = parameters.warm_up_per_second * 4 + 4;
    let mut arrived: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut found = Vec::new();
    observations.iter().for_each(|(at, observation)| {
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

/// Rule 12: requests of a region-bound service stay in its home regions.
pub(super) fn home_regions_are_kept(
    observations: &[TimedObservation],
    parameters: &RuleParameters,
) -> Vec<Violation> {
    let outside = |(at, observation): &TimedObservation| match observation {
        Observation::RequestArrived {
            service,
            locality,
            attempt_id,
            ..
        } => {
            let region = locality.split('/').next().unwrap_or_default();
            let homes = parameters
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
    observations.iter().filter_map(outside).collect()
}
