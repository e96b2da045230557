//! Disks that are full or stalled, one machine after the other, under a storm of configurations, and then a restart of all.

use simulator::shapes::{KALAM, ROADWISE, Shape};
use simulator::{Defects, Outcome, Plan, World, run};
use std::time::Duration;

/// Of a thousand requests, how many must be served while two disks of six at most are broken.
const SERVED_PER_MILLE: u64 = 990;

/// The restart of all control nodes comes after the faults: what it may take until everything is served again.
const RESTART_TAKES: Duration = Duration::from_secs(6);

fn lacks(outcome: &Outcome) -> Option<String> {
    let Outcome {
        seed,
        violations,
        agreed,
        served_per_mille,
        resumed_after,
        ..
    } = outcome;
    (!outcome.passed() || *resumed_after > RESTART_TAKES)
        .then(|| format!("{seed}: {violations:?} {agreed} {served_per_mille:?} {resumed_after:?}"))
}

fn failures(plan: &str, shape: &Shape, seeds: std::ops::Range<u64>) -> Vec<String> {
    let plan = |seed| Plan::named(plan, seed).expect("a known plan");
    seeds
        .filter_map(|seed| lacks(&run(seed, Some(plan(seed)), shape.clone())))
        .collect()
}

#[test]
fn disks_that_are_full_in_turn_cost_nothing_for_good() {
    assert_eq!(
        failures("disks-full-in-turn", &ROADWISE, 1..5),
        Vec::<String>::new()
    );
    assert_eq!(
        failures("disks-full-in-turn", &KALAM, 1..3),
        Vec::<String>::new()
    );
}

#[test]
fn disks_that_stall_in_turn_cost_nothing_for_good() {
    assert_eq!(
        failures("disks-stall-in-turn", &ROADWISE, 1..5),
        Vec::<String>::new()
    );
    assert_eq!(
        failures("disks-stall-in-turn", &KALAM, 1..3),
        Vec::<String>::new()
    );
}

/// Until all are killed the majority is there: two disks of six are broken at once at most.
fn served_meanwhile(defects: Defects) -> u64 {
    let plan = Plan::named("disks-full-in-turn", 1).expect("a known plan");
    World::with_defects(1, plan, defects).run().served_per_mille[1]
}

#[test]
fn a_disk_that_is_given_up_for_good_shows() {
    let complete = served_meanwhile(Defects::default());
    let given_up = served_meanwhile(Defects {
        first_disk_error_is_final: true,
        ..Defects::default()
    });
    println!("served {complete}, given up {given_up}");
    assert!(complete >= SERVED_PER_MILLE, "{complete}");
    assert!(given_up < SERVED_PER_MILLE, "{given_up}");
}
