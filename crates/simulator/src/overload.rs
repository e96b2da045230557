//! A site asked for more than its upstreams can bear, in the simulator: what is done, for whom, and how fast.

use crate::shapes::{ROADWISE, Shape};
use crate::{LoadProfile, Outcome, Plan, World};
use invariants::observations::Observation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Upstreams of 2 places and 60 to 100 ms a piece: 25 a second each, so 600 a second in this mix fill the first
/// service's twelve.
const FULL: u64 = 600;
const SEEDS: u64 = 3;

struct Case {
    name: &'static str,
    per_second: u64,
    /// Parts of the traffic, by service.
    percent: [u64; 3],
    plan: &'static str,
}

const MIX: [u64; 3] = [50, 30, 20];
const CASES: [Case; 9] = [
    Case {
        name: "0.5 of capacity",
        per_second: FULL / 2,
        percent: MIX,
        plan: "quiet",
    },
    Case {
        name: "0.8",
        per_second: FULL * 4 / 5,
        percent: MIX,
        plan: "quiet",
    },
    Case {
        name: "1",
        per_second: FULL,
        percent: MIX,
        plan: "quiet",
    },
    Case {
        name: "2",
        per_second: FULL * 2,
        percent: MIX,
        plan: "quiet",
    },
    Case {
        name: "5",
        per_second: FULL * 5,
        percent: MIX,
        plan: "quiet",
    },
    Case {
        name: "one service at 3",
        per_second: FULL * 3 / 2,
        percent: [90, 5, 5],
        plan: "quiet",
    },
    Case {
        name: "0.5, a key 70 %",
        per_second: FULL / 2,
        percent: MIX,
        plan: "hot-key",
    },
    Case {
        name: "0.8, a zone lost",
        per_second: FULL * 4 / 5,
        percent: MIX,
        plan: "dark-zone",
    },
    Case {
        name: "0.8, all cold",
        per_second: FULL * 4 / 5,
        percent: MIX,
        plan: "cold-all",
    },
];

/// The variants to compare: the default, without a queue, and with every client retrying after 1 s.
fn ways() -> [(&'static str, LoadProfile); 3] {
    let ms = Duration::from_millis;
    let load = LoadProfile {
        slots: 2,
        takes: (ms(60), ms(100)),
        some_slow: true,
        ..LoadProfile::default()
    };
    [
        ("today's", load),
        (
            "no waitlist",
            LoadProfile {
                wait_for: Duration::ZERO,
                ..load
            },
        ),
        (
            "back after 1 s",
            LoadProfile {
                retry_after_for: Some(ms(1000)),
                ..load
            },
        ),
    ]
}

/// Prints one row for each case and way.
pub fn all() {
    println!(
        "means of {SEEDS} seeds; served, of each service, of 1000; latencies of what was served"
    );
    println!(
        "{:<18} {:<15} {:>7} {:>16} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6}",
        "case", "way", "done/s", "by service", "p50", "p99", "denied", "resent", "burst", "rules"
    );
    CASES.iter().for_each(|case| {
        ways().into_iter().for_each(|(way, load)| {
            let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
                let seeds: Vec<_> = (1..=SEEDS)
                    .map(|seed| scope.spawn(move || one(case, load, seed)))
                    .collect();
                seeds
                    .into_iter()
                    .map(|seed| seed.join().expect("no run panics"))
                    .collect()
            });
            row(case, way, &outcomes);
        });
    });
}

fn one(case: &Case, load: LoadProfile, seed: u64) -> Outcome {
    let mut shape: Shape = ROADWISE;
    shape.per_second = case.per_second;
    shape
        .services
        .iter_mut()
        .zip(case.percent)
        .for_each(|(profile, percent)| profile.percent = percent);
    World::loaded(
        seed,
        Plan::named(case.plan, seed).unwrap_or_default(),
        shape,
        load,
    )
    .run()
}

/// What became of the attempts in all runs of a case.
struct AttemptCounts {
    /// Attempts that were answered without being executed.
    rejected: usize,
    /// Attempts that reached an upstream, each counted once.
    distinct: usize,
    /// Arrivals at an upstream beyond the first of an attempt.
    retried: usize,
    /// The most attempts that started in 100 ms, relative to the mean.
    burst: f64,
}

impl AttemptCounts {
    fn of(outcomes: &[Outcome]) -> AttemptCounts {
        let mut rejected = 0;
        let mut arrived = 0;
        let mut distinct = BTreeSet::new();
        let mut started: BTreeMap<(usize, u128), usize> = BTreeMap::new();
        for (run, outcome) in outcomes.iter().enumerate() {
            for (at, observation) in &outcome.observations {
                match observation {
                    Observation::AttemptAnswered {
                        not_executed: true, ..
                    } => rejected += 1,
                    Observation::RequestArrived { attempt_id, .. } => {
                        arrived += 1;
                        distinct.insert((run, attempt_id.as_str()));
                    }
                    Observation::AttemptStarted { .. } => {
                        *started.entry((run, at.as_millis() / 100)).or_default() += 1;
                    }
                    _ => {}
                }
            }
        }
        let mean = started.values().sum::<usize>() as f64 / started.len().max(1) as f64;
        AttemptCounts {
            rejected,
            distinct: distinct.len(),
            retried: arrived - distinct.len(),
            burst: started.values().max().copied().unwrap_or(0) as f64 / mean,
        }
    }
}

fn row(case: &Case, way: &str, outcomes: &[Outcome]) {
    let ended: Vec<_> = outcomes.iter().flat_map(|outcome| &outcome.ended).collect();
    let served: Vec<_> = ended.iter().filter(|ended| ended.code == 1000).collect();
    let began = || {
        ended
            .iter()
            .map(|ended| ended.at.saturating_sub(ended.took))
    };
    let first = began().min().unwrap_or_default();
    let last = began().max().unwrap_or_default();
    let seconds = (last - first).as_secs_f64() * outcomes.len() as f64;
    let mut took: Vec<u64> = served
        .iter()
        .map(|ended| ended.took.as_millis() as u64)
        .collect();
    took.sort_unstable();
    let at = |part: usize| took.get(took.len() * part / 100).copied().unwrap_or(0);
    let share = |service: &str| {
        let all = ended
            .iter()
            .filter(|ended| ended.service == service)
            .count();
        served
            .iter()
            .filter(|ended| ended.service == service)
            .count()
            * 1000
            / all.max(1)
    };
    let shares = ROADWISE
        .services
        .map(|profile| share(profile.service).to_string())
        .join("/");
    let attempts = AttemptCounts::of(outcomes);
    let burst = attempts.burst;
    let violations: usize = outcomes
        .iter()
        .map(|outcome| outcome.violations.len())
        .sum();
    println!(
        "{:<18} {way:<15} {:>7.0} {shares:>16} {:>6} {:>6} {:>7.0} {:>6.1}% {burst:>6.2} {violations:>6}",
        case.name,
        served.len() as f64 / seconds,
        at(50),
        at(99),
        attempts.rejected as f64 / seconds,
        attempts.retried as f64 * 100.0 / attempts.distinct.max(1) as f64,
    );
}
