//! Configurations in the simulator: with numbers of their operators, and across a restart of all control nodes.

use invariants::observations::Observation;
use simulator::shapes::ROADWISE;
use simulator::{DRAWN_FAULTS, Defects, Outcome, Plan, World, run};
use std::collections::BTreeMap;
use std::time::Duration;

fn played(plan: &str, seed: u64) -> Outcome {
    run(seed, Plan::named(plan, seed), ROADWISE)
}

fn failures(jobs: impl Iterator<Item = (String, u64)>) -> Vec<String> {
    let outcomes = jobs.map(|(plan, seed)| (played(&plan, seed), plan, seed));
    let failed = outcomes.filter(|(outcome, ..)| !outcome.passed());
    failed
        .map(|(outcome, plan, seed)| format!("{plan} seed {seed}: {:?}", outcome.violations))
        .collect()
}

#[test]
fn of_numbered_configurations_the_highest_holds() {
    let outcome = played("number-race", 1);
    let most = |wanted: fn(&Observation) -> Option<u64>| {
        outcome
            .observations
            .iter()
            .filter_map(|(_, observation)| wanted(observation))
            .max()
    };
    let acknowledged = most(|observation| match observation {
        Observation::VersionAcknowledged { number } => Some(*number),
        _ => None,
    });
    assert_eq!(
        acknowledged,
        Some(30),
        "six rounds, each to five above the last"
    );
    let last = outcome
        .observations
        .iter()
        .rev()
        .find_map(|(_, observation)| match observation {
            Observation::ConfigurationRead { digest, .. } => Some(digest.clone()),
            _ => None,
        });
    let holds = outcome
        .observations
        .iter()
        .any(|(_, observation)| match observation {
            Observation::VersionSubmitted { number: 30, digest } => last.as_ref() == Some(digest),
            _ => false,
        });
    assert!(holds);
    assert_eq!(
        failures((1..7).map(|seed| ("number-race".to_owned(), seed))),
        Vec::<String>::new()
    );
}

#[test]
fn numbers_and_any_other_fault_break_no_rule() {
    let jobs = DRAWN_FAULTS
        .iter()
        .map(|(name, _)| (format!("number-race+{name}"), 1));
    assert_eq!(failures(jobs), Vec::<String>::new());
}

#[test]
fn a_system_that_forgets_the_numbers_is_caught() {
    let defects = Defects {
        ignores_versions: true,
        ..Defects::default()
    };
    let mut runs = (1..4).map(|seed| {
        World::with_defects(seed, Plan::named("number-race", seed).unwrap(), defects).run()
    });
    assert!(runs.any(|run| {
        run.violations
            .iter()
            .any(|violation| violation.text.contains("reads back number"))
    }));
}

/// How long after the restart of all control nodes the last accepted configuration was in force on every data-plane node; none
/// where some never had it.
fn in_force_after(outcome: &Outcome) -> Option<Duration> {
    let restart = |observation: &Observation| matches!(observation, Observation::Fault { what } if what.contains("healed: KillControlNodes"));
    let restarted = outcome
        .observations
        .iter()
        .find(|(_, observation)| restart(observation))
        .map(|(at, _)| *at)?;
    let accepted = outcome
        .observations
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::RevisionAccepted { revision } => Some(*revision),
            _ => None,
        });
    let accepted = accepted.max()?;
    let before = outcome
        .observations
        .iter()
        .filter(|(at, _)| *at < restarted);
    let early = before.filter(
        |(_, observation)| matches!(observation, Observation::RevisionInForce { revision, .. } if *revision >= accepted),
    );
    assert_eq!(early.count(), 0, "no carrier was told before the restart");
    let mut since: BTreeMap<&str, Duration> = BTreeMap::new();
    outcome
        .observations
        .iter()
        .filter(|(at, _)| *at >= restarted)
        .for_each(|(at, observation)| match observation {
            Observation::RevisionInForce { node, revision } if *revision >= accepted => {
                since.entry(node).or_insert(*at);
            }
            _ => {}
        });
    let last = since
        .values()
        .max()
        .filter(|_| since.len() == ROADWISE.machines);
    last.map(|last| *last - restarted)
}

/// All control nodes end at once right after a configuration was accepted, and start again together: none of them knows
/// all upstreams, and what was accepted is in force on every data-plane node within 3 s all the same.
#[test]
fn a_restart_of_all_control_nodes_keeps_no_configuration_back() {
    let within = |span: Option<Duration>| span.is_some_and(|span| span < Duration::from_secs(3));
    (1..9).for_each(|seed| {
        let outcome = played("restart-postmasters", seed);
        assert!(
            outcome.passed(),
            "seed {seed}: {:?} after {:?}",
            outcome.violations,
            outcome.resumed_after
        );
        println!("seed {seed}: in force after {:?}", in_force_after(&outcome));
        assert!(
            within(in_force_after(&outcome)),
            "seed {seed}: in force after {:?}",
            in_force_after(&outcome)
        );
    });
    let defects = Defects {
        withholds_upstream_views: true,
        ..Defects::default()
    };
    let plan = |seed| Plan::named("restart-postmasters", seed).expect("a known plan");
    let late =
        (1..4).map(|seed| in_force_after(&World::with_defects(seed, plan(seed), defects).run()));
    assert!(
        late.clone().all(|late| !within(late)),
        "{:?}",
        late.collect::<Vec<_>>()
    );
}
