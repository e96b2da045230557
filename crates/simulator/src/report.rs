//! What a run comes to.

use invariants::observations::FinishedOperation;
use invariants::observations::{Observation, TimedObservation};
use invariants::rules::{CHECKERS, Checker, Violation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Prints counts per code, violations per rule, the spread of latency, resends, and the share served around
/// each fault.
///
/// ```
/// simulator::report::print("empty", &[], &[], &[]);
/// ```
pub fn print(
    title: &str,
    seen: &[TimedObservation],
    ended: &[FinishedOperation],
    violations: &[Violation],
) {
    println!("== {title}");
    let mut codes: BTreeMap<u32, u64> = BTreeMap::new();
    ended
        .iter()
        .for_each(|ended| *codes.entry(ended.code).or_insert(0) += 1);
    let told: Vec<String> = codes
        .iter()
        .map(|(code, count)| format!("{code}: {count}"))
        .collect();
    println!("work ended: {} ({})", ended.len(), told.join(", "));
    print_latency(ended);
    print_sends(seen, ended);
    print_faults(seen, ended);
    CHECKERS.iter().for_each(|Checker { rule, name, .. }| {
        let count = violations
            .iter()
            .filter(|violation| violation.rule == *rule)
            .count();
        println!("rule {rule:>2}: {count:>4} violations  {name}");
    });
    violations
        .iter()
        .take(20)
        .for_each(|v| println!("  rule {} at {:?}: {}", v.rule, v.at, v.text));
}

fn print_latency(ended: &[FinishedOperation]) {
    let mut took: Vec<Duration> = ended
        .iter()
        .filter(|ended| ended.code == 1000)
        .map(|ended| ended.took)
        .collect();
    took.sort();
    let at = |part: usize| {
        took.get((took.len() * part / 1000).min(took.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    };
    println!(
        "served in: p50 {:?}, p95 {:?}, p99 {:?}, most {:?}",
        at(500),
        at(950),
        at(990),
        at(1000)
    );
}

fn print_sends(seen: &[TimedObservation], ended: &[FinishedOperation]) {
    let arrived: Vec<&str> = seen
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::RequestArrived { attempt_id, .. } => Some(attempt_id.as_str()),
            _ => None,
        })
        .collect();
    let firsts = arrived.iter().collect::<BTreeSet<_>>().len();
    let attempts: u32 = ended.iter().map(|ended| ended.attempts).sum();
    println!(
        "tries by origins: {attempts}; arrivals at upstreams: {}; of them sent again: {}",
        arrived.len(),
        arrived.len() - firsts
    );
}

/// The share served in the 5 s before and each of the seconds after a fault, and when it was steady again.
fn print_faults(seen: &[TimedObservation], ended: &[FinishedOperation]) {
    let faults = seen
        .iter()
        .filter_map(|(at, observation)| match observation {
            Observation::Fault { what } => Some((*at, what)),
            _ => None,
        });
    faults.for_each(|(at, what)| {
        let share = |from: Duration, until: Duration| {
            let part = ended.iter().filter(|ended| {
                let started_at = ended.at.saturating_sub(ended.took);
                started_at >= from && started_at < until
            });
            let (all, served) =
                part.fold((0u64, 0u64), |(all, served), ended| (all + 1, served + u64::from(ended.code == 1000)));
            (all > 0).then(|| served as f64 * 100.0 / all as f64)
        };
        let second = Duration::from_secs(1);
        let after: Vec<f64> = (0..15).filter_map(|n| share(at + second * n, at + second * (n + 1))).collect();
        let steady = after.iter().rposition(|served| *served < 99.0).map(|last| last + 1).unwrap_or(0);
        let before = share(at.saturating_sub(second * 5), at).unwrap_or(100.0);
        let low = after.iter().copied().fold(100.0, f64::min);
        println!(
            "fault at {at:?}: {what}; served before {before:.1} %, lowest second {low:.1} %, steady after {steady} s"
        );
    });
}
