//! The scenarios that tests and the `test-harness explore` subcommand play.

use crate::control_model::{ControlBudget, ControlScenario};
use crate::lease_model::LeaseBudget;
use crate::network::Schedule;
use crate::register_model::{RegisterBudget, RegisterScenario, Submission};
use crate::voters::Replacement;
use std::time::Duration;

const IN_ORDER: Schedule = Schedule::InOrder { delays: 0 };
const ONE_DELAY: Schedule = Schedule::InOrder { delays: 1 };

/// Two operators' submissions without configurations, each at its own node.
fn two_submissions() -> Vec<Submission> {
    vec![
        Submission::evacuation("a", "north/n1", false, &[0]),
        Submission::evacuation("b", "north/n2", false, &[1]),
    ]
}

/// One submission that may be sent to two nodes.
fn one_submission() -> Vec<Submission> {
    vec![Submission::evacuation("a", "north/n1", false, &[0, 1])]
}

fn scenario(
    name: &'static str,
    schedule: Schedule,
    submissions: Vec<Submission>,
    budget: RegisterBudget,
) -> RegisterScenario {
    RegisterScenario {
        schedule,
        submissions,
        budget,
        ..RegisterScenario::new(name, 3)
    }
}

/// Every scenario of the register for three voters, small enough to be searched to the end, or nearly so.
///
/// ```
/// assert!(model_checker::register_scenarios().iter().any(|scenario| scenario.name == "orders"));
/// ```
#[expect(clippy::too_many_lines, reason = "a table of scenarios")]
pub fn register_scenarios() -> Vec<RegisterScenario> {
    let none = RegisterBudget::default();
    let submissions = |submissions, rounds| RegisterBudget {
        submissions,
        rounds,
        ..none
    };
    let with_bytes = vec![
        Submission::configuration("a", None, &[0]),
        Submission::configuration("b", None, &[1]),
    ];
    let one_version = vec![
        Submission::numbered("a", 7, &[0]),
        Submission::numbered("b", 7, &[1]),
    ];
    let one_base_revision = vec![
        Submission::configuration("a", Some(1), &[0]),
        Submission::configuration("b", Some(1), &[1]),
    ];
    let replica = |scenario| RegisterScenario {
        replicas: 1,
        ..scenario
    };
    vec![
        scenario(
            "orders",
            Schedule::AnyOrder,
            two_submissions(),
            submissions(2, 0),
        ),
        scenario(
            "ticks",
            Schedule::AnyOrder,
            one_submission(),
            RegisterBudget {
                ticks: 2,
                ..submissions(1, 0)
            },
        ),
        scenario(
            "doubled",
            Schedule::AnyOrder,
            one_submission(),
            RegisterBudget {
                duplicates: 1,
                ..submissions(2, 0)
            },
        ),
        scenario(
            "any-crash",
            Schedule::AnyOrder,
            one_submission(),
            RegisterBudget {
                crashes: 1,
                ..submissions(1, 0)
            },
        ),
        scenario(
            "any-read",
            Schedule::AnyOrder,
            one_submission(),
            RegisterBudget {
                reads: 1,
                ..submissions(1, 0)
            },
        ),
        scenario("strays", ONE_DELAY, two_submissions(), submissions(2, 3)),
        scenario(
            "crash",
            IN_ORDER,
            two_submissions(),
            RegisterBudget {
                crashes: 1,
                ..submissions(2, 3)
            },
        ),
        scenario(
            "wipe",
            IN_ORDER,
            two_submissions(),
            RegisterBudget {
                wipes: 1,
                ..submissions(2, 8)
            },
        ),
        scenario(
            "wipe-stray",
            ONE_DELAY,
            one_submission(),
            RegisterBudget {
                wipes: 1,
                ..submissions(1, 8)
            },
        ),
        RegisterScenario {
            short_submission_timeout: true,
            ..scenario("resent", ONE_DELAY, one_submission(), submissions(3, 4))
        },
        scenario(
            "reads",
            IN_ORDER,
            two_submissions(),
            RegisterBudget {
                reads: 2,
                ..submissions(2, 2)
            },
        ),
        scenario("bytes", ONE_DELAY, with_bytes, submissions(2, 2)),
        scenario(
            "based",
            IN_ORDER,
            one_base_revision,
            RegisterBudget {
                crashes: 1,
                ..submissions(2, 3)
            },
        ),
        scenario("numbers", ONE_DELAY, one_version, submissions(2, 2)),
        replica(scenario(
            "replace",
            IN_ORDER,
            one_submission(),
            RegisterBudget {
                proposals: 2,
                ..submissions(1, 6)
            },
        )),
        replica(scenario(
            "replace-stray",
            ONE_DELAY,
            vec![],
            RegisterBudget {
                proposals: 2,
                ..submissions(0, 6)
            },
        )),
        replica(scenario(
            "replace-crash",
            IN_ORDER,
            vec![],
            RegisterBudget {
                proposals: 2,
                crashes: 1,
                ..submissions(0, 6)
            },
        )),
        replica(scenario(
            "replace-wipe",
            IN_ORDER,
            vec![],
            RegisterBudget {
                proposals: 2,
                wipes: 1,
                ..submissions(0, 10)
            },
        )),
        RegisterScenario {
            replicas: 2,
            replacements: vec![Replacement::new(2, 3), Replacement::new(1, 4)],
            ..scenario(
                "replace-race",
                IN_ORDER,
                vec![],
                RegisterBudget {
                    proposals: 3,
                    ..submissions(0, 6)
                },
            )
        },
        RegisterScenario {
            voter_replaced: true,
            ..replica(scenario(
                "replaced",
                ONE_DELAY,
                two_submissions(),
                submissions(2, 3),
            ))
        },
        RegisterScenario {
            starts_blank: true,
            ..scenario(
                "founding",
                ONE_DELAY,
                vec![],
                RegisterBudget {
                    crashes: 1,
                    ..submissions(0, 4)
                },
            )
        },
    ]
}

/// Every scenario of the lease for three voters.
///
/// ```
/// assert!(model_checker::lease_scenarios().iter().any(|(name, _)| *name == "lease-crash"));
/// ```
pub fn lease_scenarios() -> Vec<(&'static str, LeaseBudget)> {
    let none = LeaseBudget::default();
    let short = Duration::from_millis(120);
    let in_order = |passes, delays| LeaseBudget {
        passes,
        quantum: short,
        schedule: Schedule::InOrder { delays },
        ..none
    };
    vec![
        ("lease-any-order", LeaseBudget { passes: 2, ..none }),
        ("lease-strays", in_order(14, 2)),
        (
            "lease-doubled",
            LeaseBudget {
                duplicates: 1,
                ..in_order(14, 1)
            },
        ),
        (
            "lease-crash",
            LeaseBudget {
                crashes: 1,
                ..in_order(26, 1)
            },
        ),
        (
            "lease-wipe",
            LeaseBudget {
                wipes: 1,
                ..in_order(26, 1)
            },
        ),
        (
            "lease-freeze",
            LeaseBudget {
                freezes: 1,
                ..in_order(22, 1)
            },
        ),
        (
            "lease-two-crashes",
            LeaseBudget {
                crashes: 2,
                ..in_order(20, 0)
            },
        ),
    ]
}

/// Every scenario of register and lease in one world. The lease is held where a scenario begins, unless its name says
/// otherwise, and one voter has not heard of that; `-begun` ones have the first replacement under way.
///
/// ```
/// assert!(model_checker::control_scenarios().iter().any(|scenario| scenario.name == "voters-lease"));
/// ```
#[expect(clippy::too_many_lines, reason = "a table of scenarios")]
pub fn control_scenarios() -> Vec<ControlScenario> {
    let budget = ControlBudget {
        quantum: Duration::from_millis(120),
        passes: 8,
        ..ControlBudget::default()
    };
    let slow = ControlBudget {
        quantum: Duration::from_millis(490),
        ..budget
    };
    let completed = ControlBudget {
        proposals: 1,
        ..budget
    };
    let plain = |name| ControlScenario {
        replacements: vec![Replacement::new(0, 3)],
        proposers: vec![2],
        uninformed_node: Some(1),
        budget,
        ..ControlScenario::new(name, 3)
    };
    let change_begun = |name| ControlScenario {
        change_begun: true,
        budget: completed,
        ..plain(name)
    };
    let with = |scenario, budget| ControlScenario { budget, ..scenario };
    vec![
        ControlScenario {
            proposers: vec![0, 1, 2],
            ..plain("voters-lease")
        },
        ControlScenario {
            uninformed_node: None,
            budget: ControlBudget {
                passes: 12,
                ..budget
            },
            ..plain("voters-lease-unheld")
        },
        with(
            change_begun("voters-lease-begun-stray"),
            ControlBudget {
                schedule: ONE_DELAY,
                ..completed
            },
        ),
        with(
            change_begun("voters-lease-begun-crash"),
            ControlBudget {
                crashes: 1,
                ..completed
            },
        ),
        with(
            change_begun("voters-lease-begun-wipe"),
            ControlBudget {
                wipes: 1,
                proposals: 1,
                ..slow
            },
        ),
        ControlScenario {
            replicas: 2,
            replacements: vec![Replacement::new(0, 3), Replacement::new(1, 4)],
            budget: ControlBudget {
                proposals: 3,
                ..slow
            },
            ..change_begun("voters-lease-begun-twice")
        },
        ControlScenario {
            replacements: vec![Replacement::new(2, 3)],
            proposers: vec![0],
            ..with(
                change_begun("voters-lease-begun-holder"),
                ControlBudget {
                    schedule: ONE_DELAY,
                    ..completed
                },
            )
        },
    ]
}

/// The scenario of register and lease with this name.
///
/// ```
/// assert!(model_checker::control_scenario("voters-lease-begun-stray").is_some_and(|scenario| scenario.change_begun));
/// ```
pub fn control_scenario(name: &str) -> Option<ControlScenario> {
    control_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}

/// The scenario with this name.
///
/// ```
/// assert!(model_checker::register_scenario("founding").is_some_and(|scenario| scenario.starts_blank));
/// ```
pub fn register_scenario(name: &str) -> Option<RegisterScenario> {
    register_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}
