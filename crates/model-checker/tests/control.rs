//! Register and lease in one world, with voters that change within a lease's span, and the defects that must be
//! found out.

use arbtest::arbtest;
use model_checker::{
    ControlBudget, ControlDefect, ControlModel, ControlScenario, Invariant, Limits, Model,
    Replacement, Schedule, control_scenario, control_scenarios, replay, search, walk,
};
use std::time::Duration;

/// How many states of each scenario CI visits; `test-harness explore` goes on.
const STATES: u64 = 6_000;
/// Bytes of choices for each walk.
const ENTROPY: u64 = 4_000;
const WALKS: u64 = 12;
/// Of so many actions, one is drawn from all that are possible.
const UNUSUAL_EVERY: u8 = 12;

fn limits(states: u64) -> Limits {
    Limits {
        states,
        threads: 3,
        ..Limits::default()
    }
}

fn named(name: &str) -> ControlScenario {
    control_scenario(name).expect("a scenario")
}

#[test]
fn no_scenario_of_changing_voters_breaks_an_invariant() {
    for scenario in control_scenarios() {
        let name = scenario.name;
        let is_held = scenario.uninformed_node.is_some();
        let model = ControlModel::new(scenario);
        assert_eq!(model.last_epoch(&model.initial()) > 0, is_held, "{name}");
        let report = search(&model, limits(STATES));
        println!(
            "{name}: {} states, depth {}, complete: {}",
            report.states, report.depth, report.complete
        );
        assert_eq!(
            report.counterexample.map(|trace| trace.to_string()),
            None,
            "{name}"
        );
        assert!(
            report.complete || report.states >= STATES,
            "{name} ended early: {} states",
            report.states
        );
    }
}

/// The change is completed, and the one message delayed that would have told a candidate of the lease: before new voters
/// waited for a span, that brought a second holder about in 30 steps.
#[test]
fn two_steps_of_a_change_within_a_span_bring_no_second_holder() {
    let scenario = ControlScenario {
        budget: ControlBudget {
            passes: 4,
            ..named("voters-lease-begun-stray").budget
        },
        ..named("voters-lease-begun-stray")
    };
    let report = search(&ControlModel::new(scenario), limits(10 * STATES));
    assert_eq!(report.counterexample.map(|trace| trace.to_string()), None);
}

/// Searches a twin, replays the trace it finds, and tells which invariant breaks.
fn broken_by(defect: ControlDefect, scenario: ControlScenario) -> Invariant {
    let model = ControlModel::with_defect(scenario, defect);
    let report = search(&model, limits(60_000));
    let trace = report
        .counterexample
        .unwrap_or_else(|| panic!("{defect:?} was not found in {} states", report.states));
    assert_eq!(
        replay(&model, &trace.choices),
        trace,
        "the trace of {defect:?} can be replayed"
    );
    println!(
        "{defect:?}: {} states, {} steps",
        report.states,
        trace.steps.len()
    );
    trace.violation.expect("a violation").invariant
}

#[test]
fn a_new_voter_that_grants_at_once_is_found_out() {
    let scenario = named("voters-lease-begun-stray");
    let budget = ControlBudget {
        passes: 4,
        ..scenario.budget
    };
    let found = broken_by(
        ControlDefect::NewVoterGrantsAtOnce,
        ControlScenario { budget, ..scenario },
    );
    assert_eq!(found, Invariant::SingleLeaseHolder);
}

#[test]
fn new_voters_that_learn_of_no_granted_epoch_are_found_out() {
    let found = broken_by(
        ControlDefect::AcceptsWithoutEpoch,
        named("voters-lease-begun-wipe"),
    );
    assert_eq!(found, Invariant::MonotonicEpochs);
}

#[test]
fn voters_that_change_without_a_joint_step_are_found_out() {
    let found = broken_by(ControlDefect::SkipsJointVoterSet, named("voters-lease"));
    assert_eq!(found, Invariant::SingleStepVoterChange);
}

fn long_scenario(voters: usize) -> ControlScenario {
    let budget = ControlBudget {
        quantum: Duration::from_millis(240),
        passes: 120,
        schedule: Schedule::InOrder { delays: 40 },
        duplicates: 10,
        crashes: 6,
        wipes: 2,
        proposals: 24,
    };
    ControlScenario {
        replicas: 2,
        replacements: vec![
            Replacement::new(voters - 1, voters),
            Replacement::new(0, voters + 1),
            Replacement::new(voters, voters - 1),
            Replacement::new(voters + 1, 0),
        ],
        proposers: (0..voters + 2).collect(),
        budget,
        ..ControlScenario::new("walk", voters)
    }
}

#[test]
fn walks_of_three_to_five_voters_break_nothing() {
    for voters in [3, 4, 5] {
        let model = ControlModel::new(long_scenario(voters));
        let (mut steps, mut epochs, mut changes, mut found) = (0, 0, 0, None);
        (1..=WALKS).for_each(|number| {
            arbtest(|noise| {
                let random_walk = walk(&model, |choice| {
                    if noise.is_empty() {
                        return None;
                    }
                    let unusual = choice.usual == 0 || noise.ratio(1, UNUSUAL_EVERY).ok()?;
                    noise
                        .choose_index(if unusual { choice.count } else { choice.usual })
                        .ok()
                });
                steps += random_walk.depth;
                epochs += model.last_epoch(&random_walk.end);
                changes += model.voter_epoch(&random_walk.end);
                found = found
                    .take()
                    .or(random_walk.counterexample.map(|trace| trace.to_string()));
                Ok(())
            })
            .seed(number << 32 | ENTROPY);
        });
        println!(
            "{voters} voters: {steps} steps, {epochs} lease epochs, {changes} steps of changes of the voters"
        );
        assert_eq!(found, None, "{voters} voters");
        assert!(
            steps > 2_000 && epochs > 20 && changes > 20,
            "{steps} steps, {epochs} epochs, {changes} changes"
        );
    }
}
