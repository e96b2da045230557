//! A control machine is cut off from the others for some twenty seconds, while operators and upstreams reach it.

use invariants::observations::Observation;
use simulator::shapes::ROADWISE;
use simulator::{Defects, Outcome, Plan, World, run};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const CUTS: [&str; 6] = [
    "long-cut",
    "long-cut-mute",
    "long-cut-deaf",
    "long-cut-flapping",
    "long-cut-restarted",
    "long-cut-seeds",
];
/// Within this an order is decided while a majority lives, whichever node is asked first.
const ORDER_WITHIN: Duration = Duration::from_secs(4);

/// Runs plans on all cores; gives the text of those that were not fine.
fn failures(jobs: &[(String, u64)]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(4);
    let work = || {
        std::iter::from_fn(|| jobs.get(next.fetch_add(1, Ordering::Relaxed)))
            .filter_map(|(plan, seed)| {
                let outcome = run(*seed, Plan::named(plan, *seed), ROADWISE);
                let slow = slowest_order(&outcome);
                let told = format!(
                    "{plan} seed {seed}: {:?}, agreed {}, resumed after {:?}, slowest order {slow:?}",
                    outcome.violations, outcome.agreed, outcome.resumed_after
                );
                (!outcome.passed() || slow > ORDER_WITHIN).then_some(told)
            })
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("no run panics"))
            .collect()
    })
}

fn slowest_order(outcome: &Outcome) -> Duration {
    let took = outcome
        .observations
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::ConfigurationAccepted { took, .. } => Some(*took),
            _ => None,
        });
    took.max().unwrap_or_default()
}

#[test]
fn a_cut_of_any_kind_breaks_no_rule_and_loses_no_order() {
    let jobs: Vec<(String, u64)> = CUTS
        .iter()
        .flat_map(|plan| (1..9).map(|seed| ((*plan).to_owned(), seed)))
        .collect();
    assert_eq!(failures(&jobs), Vec::<String>::new());
}

#[test]
fn a_cut_together_with_another_fault_breaks_no_rule() {
    let others = [
        "slow-disk",
        "hang-disk",
        "loss",
        "kill-placement",
        "jump-placement",
        "setup-storm",
        "release",
    ];
    let jobs: Vec<(String, u64)> = CUTS
        .iter()
        .flat_map(|cut| others.iter().map(move |other| format!("{cut}+{other}")))
        .enumerate()
        .map(|(seed, plan)| (plan, seed as u64))
        .collect();
    assert_eq!(failures(&jobs), Vec::<String>::new());
}

fn breaches(defects: Defects, rule: u32) -> usize {
    let runs = (1..4).map(|seed| {
        World::with_defects(
            seed,
            Plan::named("long-cut", seed).expect("a plan"),
            defects,
        )
        .run()
    });
    runs.filter(|outcome| {
        outcome
            .violations
            .iter()
            .any(|violation| violation.rule == rule)
    })
    .count()
}

#[test]
fn a_node_that_takes_the_others_for_agreed_is_caught() {
    assert!(
        breaches(
            Defects {
                forges_peer_agreement: true,
                ..Defects::default()
            },
            14
        ) > 0
    );
}

#[test]
fn an_acknowledged_leaving_that_nobody_heard_is_caught() {
    let defects = Defects {
        skips_departure_acks: true,
        ..Defects::default()
    };
    assert!(breaches(defects, 14) > 0, "a node vouched for it alone");
    // Where it does not notice the cut either, the upstream goes on beating there, and nobody else hears.
    let defects = Defects {
        forges_peer_agreement: true,
        ..defects
    };
    assert!(
        breaches(defects, 5) > 0,
        "an upstream that left was sent requests"
    );
}
