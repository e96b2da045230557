//! Every scenario of the register within a bound, and the defects that must be found.

use model_checker::{
    Invariant, Limits, RegisterBudget, RegisterDefect, RegisterModel, RegisterScenario, Schedule,
    Submission, register_scenario, register_scenarios, replay, search,
};

/// How many states of each scenario CI visits; `test-harness explore` goes on.
const STATES: u64 = 60_000;
/// Scenarios that are searched to their end within that.
const COMPLETE: [&str; 2] = ["ticks", "any-crash"];
/// Judged by a test of its own.
const NUMBERS: &str = "numbers";

fn limits(states: u64) -> Limits {
    Limits {
        states,
        threads: 3,
        ..Limits::default()
    }
}

#[test]
fn no_scenario_of_the_register_breaks_an_invariant() {
    for scenario in register_scenarios()
        .into_iter()
        .filter(|scenario| scenario.name != NUMBERS)
    {
        let name = scenario.name;
        let report = search(&RegisterModel::new(scenario), limits(STATES));
        println!(
            "{name}: {} states, depth {}, complete: {}",
            report.states, report.depth, report.complete
        );
        let found = report.counterexample.map(|trace| trace.to_string());
        assert_eq!(found, None, "{name}");
        assert!(
            report.complete || report.states >= STATES,
            "{name} ended early: {} states",
            report.states
        );
        assert!(
            report.complete || !COMPLETE.contains(&name),
            "{name} has grown: not searched to its end"
        );
    }
}

#[test]
fn two_orders_under_one_number_are_not_both_accepted_with_different_content() {
    let scenario = register_scenario(NUMBERS).expect("a scenario");
    let report = search(&RegisterModel::new(scenario), limits(2 * STATES));
    assert_eq!(report.counterexample.map(|trace| trace.to_string()), None);
}

/// Searches a twin, replays the trace it finds, and tells which invariant breaks.
fn broken_by(defect: RegisterDefect, scenario: RegisterScenario) -> Invariant {
    let model = RegisterModel::with_defect(scenario, defect);
    let report = search(&model, limits(400_000));
    let trace = report
        .counterexample
        .unwrap_or_else(|| panic!("{defect:?} was not found in {} states", report.states));
    assert_eq!(
        replay(&model, &trace.choices),
        trace,
        "the trace of {defect:?} can be replayed"
    );
    trace.violation.expect("a violation").invariant
}

fn named(name: &str) -> RegisterScenario {
    register_scenario(name).expect("a scenario")
}

#[test]
fn a_minority_that_counts_as_a_majority_is_found_out() {
    assert_eq!(
        broken_by(RegisterDefect::CountsMinority, named("orders")),
        Invariant::SingleHistory
    );
}

#[test]
fn answers_before_the_sync_are_found_out() {
    assert_eq!(
        broken_by(RegisterDefect::AcknowledgesBeforeSync, named("any-crash")),
        Invariant::SingleHistory
    );
}

#[test]
fn a_disk_that_forgets_what_it_synced_is_found_out() {
    let found = broken_by(RegisterDefect::DiskForgetsSynced, named("crash"));
    assert!(
        [Invariant::SingleHistory, Invariant::AcceptedIsDurable].contains(&found),
        "{found:?}"
    );
}

#[test]
fn a_wiped_disk_with_its_old_mark_is_found_out() {
    assert_eq!(
        broken_by(RegisterDefect::KeepsDiskIdAfterWipe, named("wipe-stray")),
        Invariant::AcceptedIsDurable
    );
}

#[test]
fn reads_that_ask_nobody_are_found_out() {
    assert_eq!(
        broken_by(RegisterDefect::ReadsWithoutQuorum, named("any-read")),
        Invariant::LinearizableReads
    );
}

#[test]
fn orders_sent_again_as_new_ones_are_found_out() {
    let submissions = vec![Submission::configuration("a", None, &[0, 1])];
    assert_eq!(
        broken_by(
            RegisterDefect::RetriesUnderNewId,
            RegisterScenario {
                submissions,
                ..named("resent")
            }
        ),
        Invariant::ExactlyOnceExecution
    );
}

#[test]
fn orders_that_lose_their_number_are_found_out() {
    assert_eq!(
        broken_by(RegisterDefect::DropsVersions, named(NUMBERS)),
        Invariant::UniqueVersions
    );
}

#[test]
fn a_disk_that_drops_configurations_is_found_out() {
    assert_eq!(
        broken_by(RegisterDefect::DropsConfigurations, named("bytes")),
        Invariant::ConfigurationIsStored
    );
}

#[test]
fn a_replaced_voter_that_still_counts_is_found_out() {
    let budget = RegisterBudget {
        submissions: 1,
        ..RegisterBudget::default()
    };
    let scenario = RegisterScenario {
        schedule: Schedule::InOrder { delays: 2 },
        budget,
        ..named("replaced")
    };
    assert_eq!(
        broken_by(RegisterDefect::CountsReplacedVoter, scenario),
        Invariant::SingleHistory
    );
}

#[test]
fn voters_that_change_without_a_joint_step_are_found_out() {
    let submissions = Vec::new();
    let scenario = RegisterScenario {
        submissions,
        ..named("replace")
    };
    assert_eq!(
        broken_by(RegisterDefect::SkipsJointVoterSet, scenario),
        Invariant::SingleStepVoterChange
    );
}
