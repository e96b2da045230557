//! Kept connections in the simulator: surplus answers, resets, hangs, and addresses that change hands.

use simulator::shapes::{LEDGER, ROADWISE, Shape};
use simulator::{Defects, Outcome, Plan, World, run};
use std::sync::atomic::{AtomicUsize, Ordering};

const KINDS: [&str; 5] = [
    "kept-connections",
    "surplus-answers",
    "upstream-resets",
    "upstream-hangs",
    "kept-reuse",
];
const SEEDS: std::ops::Range<u64> = 1..5;

fn played(name: &str, seed: u64, shape: Shape) -> Outcome {
    run(
        seed,
        Some(Plan::named(name, seed).expect("a known plan")),
        shape,
    )
}

fn all_fine(jobs: Vec<(String, u64, Shape)>) {
    let next = AtomicUsize::new(0);
    let work = || {
        let jobs = std::iter::from_fn(|| jobs.get(next.fetch_add(1, Ordering::Relaxed)));
        let broken = jobs.filter_map(|(name, seed, shape)| {
            let outcome = played(name, *seed, shape.clone());
            let told = format!(
                "{name} seed {seed}: {:?} after {:?}",
                outcome.violations, outcome.resumed_after
            );
            (!outcome.passed()).then_some(told)
        });
        broken.collect::<Vec<_>>()
    };
    let threads = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(4);
    let failures: Vec<String> = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("no run panics"))
            .collect()
    });
    assert_eq!(failures, Vec::<String>::new());
}

#[test]
fn no_manner_of_upstreams_on_kept_connections_breaks_a_rule() {
    let jobs = KINDS.iter().flat_map(|kind| {
        SEEDS.flat_map(|seed| {
            [
                (kind.to_string(), seed, ROADWISE),
                (kind.to_string(), seed, LEDGER),
            ]
        })
    });
    all_fine(jobs.collect());
}

#[test]
fn nor_does_it_together_with_another_fault() {
    let others = [
        "lose-answers",
        "garble",
        "freeze",
        "cut-zone",
        "loss",
        "rolling-restart",
        "release",
        "reuse-address",
    ];
    let pairs = KINDS
        .iter()
        .skip(1)
        .flat_map(|kind| others.iter().map(move |other| format!("{kind}+{other}")));
    let all_at_once = "surplus-answers+upstream-resets+upstream-hangs+kept-reuse".to_owned();
    let jobs = pairs
        .map(|pair| (pair, 1))
        .chain(SEEDS.map(|seed| (all_at_once.clone(), seed)));
    all_fine(jobs.map(|(plan, seed)| (plan, seed, ROADWISE)).collect());
}

#[test]
fn a_surplus_answer_costs_the_request_that_meets_it_nothing() {
    let mut skipped_responses = 0;
    SEEDS.for_each(|seed| {
        let outcome = played("surplus-answers", seed, ROADWISE);
        assert_eq!(outcome.served_per_mille, [1000; 3], "seed {seed}");
        assert!(outcome.reused_connections > 0, "seed {seed}");
        skipped_responses += outcome.skipped_responses;
    });
    assert!(skipped_responses > 0, "some request met one");
}

#[test]
fn a_proxy_that_takes_whatever_comes_next_is_caught() {
    let defects = Defects {
        accepts_any_response_on_connection: true,
        ..Defects::default()
    };
    let runs = SEEDS.map(|seed| {
        World::with_defects(seed, Plan::named("surplus-answers", seed).unwrap(), defects).run()
    });
    assert!(
        runs.flat_map(|run| run.violations)
            .any(|violation| violation.rule == 3)
    );
}
