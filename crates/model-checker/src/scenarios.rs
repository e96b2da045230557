//! The scenarios that tests and the `drill explore` verb play.

use crate::control_model::{ControlBudget, ControlScenario};
use crate::lease_model::LeaseBudget;
use crate::network::Schedule;
use crate::register_model::{Order, RegisterBudget, Scenario};
use std::time::Duration;

const IN_ORDER: Schedule = Schedule::InOrder { strays: 0 };
const ONE_STRAY: Schedule = Schedule::InOrder { strays: 1 };

/// Two operators' orders without configurations, each at its own node.
fn two_orders() -> Vec<Order> {
    vec![
        Order::evacuation("a", "north/n1", false, &[0]),
        Order::evacuation("b", "north/n2", false, &[1]),
    ]
}

/// One order that may be sent to two nodes.
fn one_order() -> Vec<Order> {
    vec![Order::evacuation("a", "north/n1", false, &[0, 1])]
}

fn scenario(
    name: &'static str,
    schedule: Schedule,
    orders: Vec<Order>,
    budget: RegisterBudget,
) -> Scenario {
    Scenario {
        schedule,
        orders,
        budget,
        ..Scenario::new(name, 3)
    }
}

/// Every scenario of the register for three voters, small enough to be searched to the end, or nearly so.
///
/// ```
/// assert!(model_checker::register_scenarios().iter().any(|scenario| scenario.name == "orders"));
/// ```
pub fn register_scenarios() -> Vec<Scenario> {
    let none = RegisterBudget::default();
    let asks = |asks, rounds| RegisterBudget {
        asks,
        rounds,
        ..none
    };
    let with_bytes = vec![
        Order::configuration("a", None, &[0]),
        Order::configuration("b", None, &[1]),
    ];
    let one_number = vec![Order::numbered("a", 7, &[0]), Order::numbered("b", 7, &[1])];
    let one_base = vec![
        Order::configuration("a", Some(1), &[0]),
        Order::configuration("b", Some(1), &[1]),
    ];
    let replica = |scenario| Scenario {
        replicas: 1,
        ..scenario
    };
    vec![
        scenario("orders", Schedule::AnyOrder, two_orders(), asks(2, 0)),
        scenario(
            "ticks",
            Schedule::AnyOrder,
            one_order(),
            RegisterBudget {
                ticks: 2,
                ..asks(1, 0)
            },
        ),
        scenario(
            "doubled",
            Schedule::AnyOrder,
            one_order(),
            RegisterBudget {
                duplicates: 1,
                ..asks(2, 0)
            },
        ),
        scenario(
            "any-crash",
            Schedule::AnyOrder,
            one_order(),
            RegisterBudget {
                crashes: 1,
                ..asks(1, 0)
            },
        ),
        scenario(
            "any-read",
            Schedule::AnyOrder,
            one_order(),
            RegisterBudget {
                reads: 1,
                ..asks(1, 0)
            },
        ),
        scenario("strays", ONE_STRAY, two_orders(), asks(2, 3)),
        scenario(
            "crash",
            IN_ORDER,
            two_orders(),
            RegisterBudget {
                crashes: 1,
                ..asks(2, 3)
            },
        ),
        scenario(
            "wipe",
            IN_ORDER,
            two_orders(),
            RegisterBudget {
                wipes: 1,
                ..asks(2, 8)
            },
        ),
        scenario(
            "wipe-stray",
            ONE_STRAY,
            one_order(),
            RegisterBudget {
                wipes: 1,
                ..asks(1, 8)
            },
        ),
        Scenario {
            impatient: true,
            ..scenario("resent", ONE_STRAY, one_order(), asks(3, 4))
        },
        scenario(
            "reads",
            IN_ORDER,
            two_orders(),
            RegisterBudget {
                reads: 2,
                ..asks(2, 2)
            },
        ),
        scenario("bytes", ONE_STRAY, with_bytes, asks(2, 2)),
        scenario(
            "based",
            IN_ORDER,
            one_base,
            RegisterBudget {
                crashes: 1,
                ..asks(2, 3)
            },
        ),
        scenario("numbers", ONE_STRAY, one_number, asks(2, 2)),
        replica(scenario(
            "replace",
            IN_ORDER,
            one_order(),
            RegisterBudget {
                proposals: 2,
                ..asks(1, 6)
            },
        )),
        replica(scenario(
            "replace-stray",
            ONE_STRAY,
            vec![],
            RegisterBudget {
                proposals: 2,
                ..asks(0, 6)
            },
        )),
        replica(scenario(
            "replace-crash",
            IN_ORDER,
            vec![],
            RegisterBudget {
                proposals: 2,
                crashes: 1,
                ..asks(0, 6)
            },
        )),
        replica(scenario(
            "replace-wipe",
            IN_ORDER,
            vec![],
            RegisterBudget {
                proposals: 2,
                wipes: 1,
                ..asks(0, 10)
            },
        )),
        Scenario {
            replicas: 2,
            replacements: vec![(2, 3), (1, 4)],
            ..scenario(
                "replace-race",
                IN_ORDER,
                vec![],
                RegisterBudget {
                    proposals: 3,
                    ..asks(0, 6)
                },
            )
        },
        Scenario {
            replaced: true,
            ..replica(scenario("replaced", ONE_STRAY, two_orders(), asks(2, 3)))
        },
        Scenario {
            blank: true,
            ..scenario(
                "founding",
                ONE_STRAY,
                vec![],
                RegisterBudget {
                    crashes: 1,
                    ..asks(0, 4)
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
    let in_order = |passes, strays| LeaseBudget {
        passes,
        quantum: short,
        schedule: Schedule::InOrder { strays },
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
        replacements: vec![(0, 3)],
        proposers: vec![2],
        unaware: Some(1),
        budget,
        ..ControlScenario::new(name, 3)
    };
    let begun = |name| ControlScenario {
        begun: true,
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
            unaware: None,
            budget: ControlBudget {
                passes: 12,
                ..budget
            },
            ..plain("voters-lease-unheld")
        },
        with(
            begun("voters-lease-begun-stray"),
            ControlBudget {
                schedule: ONE_STRAY,
                ..completed
            },
        ),
        with(
            begun("voters-lease-begun-crash"),
            ControlBudget {
                crashes: 1,
                ..completed
            },
        ),
        with(
            begun("voters-lease-begun-wipe"),
            ControlBudget {
                wipes: 1,
                proposals: 1,
                ..slow
            },
        ),
        ControlScenario {
            replicas: 2,
            replacements: vec![(0, 3), (1, 4)],
            budget: ControlBudget {
                proposals: 3,
                ..slow
            },
            ..begun("voters-lease-begun-twice")
        },
        ControlScenario {
            replacements: vec![(2, 3)],
            proposers: vec![0],
            ..with(
                begun("voters-lease-begun-holder"),
                ControlBudget {
                    schedule: ONE_STRAY,
                    ..completed
                },
            )
        },
    ]
}

/// The scenario of register and lease with this name.
///
/// ```
/// assert!(model_checker::control_scenario("voters-lease-begun-stray").is_some_and(|scenario| scenario.begun));
/// ```
pub fn control_scenario(name: &str) -> Option<ControlScenario> {
    control_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}

/// The scenario with this name.
///
/// ```
/// assert!(model_checker::register_scenario("founding").is_some_and(|scenario| scenario.blank));
/// ```
pub fn register_scenario(name: &str) -> Option<Scenario> {
    register_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}
