//! Voters that are gone for good: their places are taken, by agreement, and the next loss may come.

use simulator::shapes::{KALAM, ROADWISE, Shape};
use simulator::{Defects, Fault, Outcome, Plan, Step, World, run};
use std::time::Duration;

const VOTERS: usize = 6;
/// In this seed's run of the larger site a mark has run out at 86.916 s, and all data-plane nodes know it 130 ms later; the run
/// would end at 85.286 s.
const MARKS_RUN_OUT_SEED: u64 = 98;
const ENDS_LATER: Duration = Duration::from_millis(1690);

fn lacks(outcome: &Outcome) -> Option<String> {
    let replaced = outcome.voters.len() == VOTERS && outcome.voters_gone.is_empty();
    let served = outcome.served_per_mille[2] == 1000;
    (!outcome.passed() || !replaced || !served).then(|| {
        let Outcome {
            seed,
            violations,
            agreed,
            voters,
            voters_gone,
            served_per_mille,
            ..
        } = outcome;
        format!("{seed}: {violations:?} {agreed} {voters:?} {voters_gone:?} {served_per_mille:?}")
    })
}

fn failures(
    plan: impl Fn(u64) -> Plan + Sync,
    shape: &Shape,
    seeds: std::ops::Range<u64>,
) -> Vec<String> {
    std::thread::scope(|scope| {
        let running: Vec<_> = seeds
            .map(|seed| {
                scope.spawn({
                    let plan = &plan;
                    move || lacks(&run(seed, Some(plan(seed)), shape.clone()))
                })
            })
            .collect();
        running
            .into_iter()
            .filter_map(|thread| thread.join().expect("no run panics"))
            .collect()
    })
}

fn named(plan: &'static str) -> impl Fn(u64) -> Plan + Sync {
    move |seed| Plan::named(plan, seed).expect("a known plan")
}

/// Five of six machines go, one every 5 to 8 s, with configurations coming all the while: three were the end of the majority.
#[test]
fn one_voter_after_the_other_is_replaced() {
    assert_eq!(
        failures(named("replace-voters"), &ROADWISE, 1..7),
        Vec::<String>::new()
    );
    assert_eq!(
        failures(named("replace-voters"), &KALAM, 1..4),
        Vec::<String>::new()
    );
}

#[test]
fn one_voter_after_the_other_is_replaced_as_planned() {
    assert_eq!(
        failures(named("replace-planned"), &ROADWISE, 1..7),
        Vec::<String>::new()
    );
}

/// Replacements meet another fault of a control node.
#[test]
fn replacements_bear_a_further_loss() {
    [
        "wipe-machine",
        "kill-placement",
        "freeze-placement",
        "dark-zone",
        "restart-postmasters",
        "loss",
    ]
    .into_iter()
    .for_each(|other| {
        let plan = |seed| {
            let mut plan = Plan::named("replace-voters", seed).expect("a known plan");
            plan.steps
                .extend(Plan::named(other, seed).expect("a known plan").steps);
            plan
        };
        let failed: Vec<String> = (1..4)
            .map(|seed| run(seed, Some(plan(seed)), ROADWISE))
            .filter(|outcome| {
                !outcome.violations.is_empty() || !outcome.agreed || !outcome.voters_gone.is_empty()
            })
            .map(|outcome| {
                format!(
                    "{other} {}: {:?} {:?}",
                    outcome.seed, outcome.violations, outcome.voters_gone
                )
            })
            .collect();
        assert_eq!(failed, Vec::<String>::new());
    });
}

/// Where nobody takes the places of those that are gone, the third loss ends the majority, and the test sees it.
#[test]
fn voters_that_are_never_replaced_are_caught() {
    let defects = Defects {
        never_replaces_voters: true,
        ..Defects::default()
    };
    let outcome = World::with_defects(1, named("replace-voters")(1), defects).run();
    assert!(lacks(&outcome).is_some());
}

/// A region goes dark while nothing is replaced: the voters stay as they are.
#[test]
fn a_lost_region_takes_no_votes_along() {
    let step = Step {
        at: Duration::from_secs(17),
        until: Duration::from_secs(60),
        fault: Fault::RegionPowerLoss(1),
    };
    let outcome = run(3, Some(Plan { steps: vec![step] }), ROADWISE);
    let founded = (0..VOTERS).map(|at| format!("postmaster-{at}")).collect();
    assert_eq!(outcome.voters, founded);
    assert!(outcome.passed(), "{:?}", outcome.violations);
}

/// A run of the larger site that ends just after the last marks of a moved name have run out: some data-plane nodes have been told,
/// and for a moment others have not.
fn ends_while_marks_run_out() -> Plan {
    let mut plan = Plan::named("replace-voters", MARKS_RUN_OUT_SEED).expect("a plan");
    plan.steps
        .iter_mut()
        .for_each(|step| step.until += ENDS_LATER);
    plan
}

#[test]
fn news_on_its_way_at_the_end_is_waited_for() {
    let outcome = World::site_with_defects(
        MARKS_RUN_OUT_SEED,
        ends_while_marks_run_out(),
        KALAM,
        Defects::default(),
    )
    .run();
    assert!(
        outcome.agreed,
        "the carriers' placements are alike once the news has come"
    );
}

#[test]
fn a_data_node_that_takes_no_change_of_the_placement_is_caught() {
    let defects = Defects {
        withholds_placement_changes: true,
        ..Defects::default()
    };
    let outcome = World::site_with_defects(
        1,
        Plan::named("move-names", 1).expect("a plan"),
        ROADWISE,
        defects,
    )
    .run();
    assert!(!outcome.agreed);
}
