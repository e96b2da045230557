//! Each checker must catch a deliberate violation, and pass its lawful twin.

use invariants::history::{Command, CommandResult};
use invariants::observations::{Confirmation, Observation, TimedObservation};
use invariants::rules::{CHECKERS, RuleParameters, check_all};
use result_code::ResultCode;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

fn at(ms: u64, observation: Observation) -> TimedObservation {
    (Duration::from_millis(ms), observation)
}

fn arrived(attempt_id: &str, locality: &str, cold: bool) -> Observation {
    Observation::RequestArrived {
        attempt_id: attempt_id.into(),
        service: "booking".into(),
        instance: "unit-1".into(),
        locality: locality.into(),
        cold,
    }
}

fn ran(operation: &str, attempt_id: &str) -> Observation {
    Observation::OperationExecuted {
        operation: operation.into(),
        attempt_id: attempt_id.into(),
        at_most_once: true,
    }
}

fn answered(success: bool, complete: bool, not_executed: bool) -> Observation {
    Observation::AttemptAnswered {
        attempt_id: "t1".into(),
        code: 1000,
        success,
        complete,
        not_executed,
    }
}

fn holds(instance: &str, until_ms: u64) -> Observation {
    holds_keys(instance, 3..4, until_ms)
}

fn holds_keys(instance: &str, keys: Range<u32>, until_ms: u64) -> Observation {
    let until = Duration::from_millis(until_ms);
    Observation::KeysHeld {
        service: "payment".into(),
        keys,
        instance: instance.into(),
        until,
    }
}

fn read_back(revision: u64, digest: &str) -> Observation {
    Observation::ConfigurationRead {
        node: "pm-1".into(),
        revision,
        digest: digest.into(),
        asked_at: Duration::from_millis(1),
    }
}

fn in_force(revision: u64) -> Observation {
    Observation::RevisionInForce {
        node: "c-1".into(),
        revision,
    }
}

fn isolated() -> TimedObservation {
    at(
        0,
        Observation::NodeIsolated {
            node: "pm-1".into(),
        },
    )
}

fn joined() -> TimedObservation {
    at(
        1500,
        Observation::NodeReconnected {
            node: "pm-1".into(),
        },
    )
}

fn vouched(what: Confirmation, asked_at_ms: u64) -> Observation {
    Observation::NodeConfirmed {
        node: "pm-1".into(),
        what,
        asked_at: Duration::from_millis(asked_at_ms),
    }
}

fn evacuated(back: bool) -> Observation {
    Observation::Evacuation {
        locality: "north/n1".into(),
        back,
    }
}

fn rule_parameters() -> RuleParameters {
    let homes = BTreeSet::from(["north".to_owned()]);
    RuleParameters {
        homes: [("booking".to_owned(), homes)].into_iter().collect(),
        warm_up_per_second: 1,
    }
}

fn draining() -> TimedObservation {
    at(
        0,
        Observation::UpstreamDraining {
            instance: "unit-1".into(),
        },
    )
}

fn configuration(revision: u64, marker: usize) -> TimedObservation {
    at(
        revision - 2,
        Observation::ConfigurationAccepted {
            revision,
            digest: "d".into(),
            marker,
            took: Duration::ZERO,
        },
    )
}

fn submitted() -> TimedObservation {
    configuration(2, 2)
}

fn offered(number: u64, digest: &str) -> TimedObservation {
    at(
        0,
        Observation::VersionSubmitted {
            number,
            digest: digest.into(),
        },
    )
}

fn acknowledged(number: u64) -> TimedObservation {
    at(0, Observation::VersionAcknowledged { number })
}

fn accepted() -> TimedObservation {
    at(0, Observation::RevisionAccepted { revision: 2 })
}

fn probed(ms: u64, marker: usize) -> TimedObservation {
    at(
        ms,
        Observation::MarkerReached {
            node: "c-1".into(),
            marker,
        },
    )
}

fn retried(count: u64) -> Vec<TimedObservation> {
    (0..count)
        .map(|ms| at(ms, arrived("t1", "north/n1", false)))
        .collect()
}

fn cold(count: u64) -> Vec<TimedObservation> {
    (0..count)
        .map(|ms| at(ms, arrived(&format!("t{ms}"), "north/n1", true)))
        .collect()
}

fn invoked() -> TimedObservation {
    let command = Command::Configuration {
        number: None,
        base: None,
        digest: "d".into(),
    };
    at(
        0,
        Observation::CommandInvoked {
            call: "c".into(),
            command,
        },
    )
}

fn returned(ms: u64, revision: u64) -> TimedObservation {
    let reply = CommandResult::Decided {
        code: ResultCode::Success,
        revision: Some(revision),
    };
    at(
        ms,
        Observation::CommandReturned {
            call: "c".into(),
            reply,
        },
    )
}

fn released(keys: Range<u32>) -> Observation {
    Observation::KeysReleased {
        service: "payment".into(),
        keys,
        instance: "a".into(),
    }
}

fn holds_all() -> TimedObservation {
    at(0, holds_keys("a", 0..100, 100))
}

/// Observations that violate a rule, and similar ones that just don't.
struct Case {
    rule: u32,
    violating: Vec<TimedObservation>,
    lawful: Vec<TimedObservation>,
}

fn case(rule: u32, violating: Vec<TimedObservation>, lawful: Vec<TimedObservation>) -> Case {
    Case {
        rule,
        violating,
        lawful,
    }
}

fn execution_cases() -> Vec<Case> {
    vec![
        case(
            1,
            vec![at(0, ran("w", "t1")), at(1, ran("w", "t2"))],
            vec![at(0, ran("w", "t1")), at(1, ran("x", "t2"))],
        ),
        case(
            2,
            vec![at(0, answered(false, false, true)), at(9, ran("w", "t1"))],
            vec![at(0, answered(false, false, true))],
        ),
        case(
            3,
            vec![at(0, answered(true, false, false))],
            vec![at(0, answered(true, true, false))],
        ),
    ]
}

fn routing_cases() -> Vec<Case> {
    vec![
        case(
            4,
            vec![at(
                0,
                Observation::AddressUsed {
                    age: Duration::from_millis(5001),
                },
            )],
            vec![at(
                0,
                Observation::AddressUsed {
                    age: Duration::from_millis(5000),
                },
            )],
        ),
        case(
            5,
            vec![draining(), at(3001, arrived("t", "north/n1", false))],
            vec![draining(), at(3000, arrived("t", "north/n1", false))],
        ),
        case(
            6,
            vec![
                at(0, evacuated(false)),
                at(5001, arrived("t", "north/n1", false)),
            ],
            vec![
                at(0, evacuated(false)),
                at(1, evacuated(true)),
                at(5001, arrived("t", "north/n1", false)),
            ],
        ),
        case(9, retried(12), retried(11)),
        case(10, cold(9), cold(8)),
        case(
            12,
            vec![at(0, arrived("t", "south/s1", false))],
            vec![at(0, arrived("t", "north/n1", false))],
        ),
    ]
}

#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn revision_cases() -> Vec<Case> {
    vec![
        case(
            7,
            vec![at(0, in_force(2)), at(1, in_force(1))],
            vec![at(0, in_force(1)), at(1, in_force(2))],
        ),
        case(
            7,
            vec![accepted(), at(3001, in_force(1))],
            vec![accepted(), at(3000, in_force(1))],
        ),
        case(
            7,
            vec![submitted(), configuration(3, 3), probed(3002, 2)],
            vec![submitted(), configuration(3, 3), probed(3001, 2)],
        ),
        case(
            7,
            vec![
                submitted(),
                configuration(3, 3),
                probed(9, 3),
                probed(1010, 2),
            ],
            vec![configuration(2, 2), probed(9, 2), probed(10, 2)],
        ),
        case(
            8,
            vec![submitted(), at(1, read_back(2, "e"))],
            vec![submitted(), at(1, read_back(2, "d"))],
        ),
        case(
            8,
            vec![
                at(0, Observation::RevisionAccepted { revision: 3 }),
                at(1, read_back(1, "d")),
            ],
            vec![accepted(), at(1, read_back(2, "d"))],
        ),
        case(
            8,
            vec![
                offered(3, "d"),
                offered(4, "e"),
                acknowledged(4),
                at(1, read_back(2, "d")),
            ],
            vec![
                offered(3, "d"),
                offered(4, "e"),
                acknowledged(3),
                at(1, read_back(2, "d")),
            ],
        ),
        case(
            8,
            vec![
                offered(3, "d"),
                offered(4, "e"),
                at(0, read_back(2, "e")),
                at(1, read_back(2, "d")),
            ],
            vec![
                offered(3, "d"),
                offered(4, "e"),
                at(0, read_back(2, "d")),
                at(1, read_back(3, "e")),
            ],
        ),
    ]
}

fn key_cases() -> Vec<Case> {
    vec![
        case(
            11,
            vec![at(0, holds("a", 100)), at(99, holds("b", 200))],
            vec![at(0, holds("a", 100)), at(100, holds("b", 200))],
        ),
        case(
            11,
            vec![at(0, holds("a", 100)), at(9, holds("b", 200))],
            vec![
                at(0, holds("a", 100)),
                at(8, released(3..4)),
                at(9, holds("b", 200)),
            ],
        ),
        case(
            11,
            vec![holds_all(), at(9, holds_keys("b", 99..120, 200))],
            vec![holds_all(), at(9, holds_keys("b", 100..120, 200))],
        ),
        case(
            11,
            vec![
                holds_all(),
                at(8, released(10..21)),
                at(9, holds_keys("b", 10..22, 200)),
            ],
            vec![
                holds_all(),
                at(8, released(10..21)),
                at(9, holds_keys("b", 10..21, 200)),
            ],
        ),
        case(
            11,
            vec![
                holds_all(),
                at(8, holds_keys("a", 10..21, 200)),
                at(150, holds_keys("b", 0..11, 300)),
            ],
            vec![
                holds_all(),
                at(8, holds_keys("a", 10..21, 200)),
                at(150, holds_keys("b", 0..10, 300)),
            ],
        ),
    ]
}

fn command_cases() -> Vec<Case> {
    vec![
        case(
            14,
            vec![isolated(), at(200, vouched(Confirmation::Command, 101))],
            vec![isolated(), at(200, vouched(Confirmation::Command, 100))],
        ),
        case(
            14,
            vec![isolated(), at(1600, vouched(Confirmation::Heartbeat, 1501))],
            vec![
                isolated(),
                joined(),
                at(1600, vouched(Confirmation::Draining, 1501)),
            ],
        ),
        case(
            13,
            vec![invoked(), at(9, read_back(1, "e"))],
            vec![invoked(), at(9, read_back(1, "d"))],
        ),
        case(
            13,
            vec![invoked(), returned(1, 1), returned(5, 2)],
            vec![invoked(), returned(1, 1), returned(5, 1)],
        ),
    ]
}

fn cases() -> Vec<Case> {
    let groups = [
        execution_cases(),
        routing_cases(),
        revision_cases(),
        key_cases(),
        command_cases(),
    ];
    groups.into_iter().flatten().collect()
}

#[test]
fn every_checker_catches_its_violation_and_passes_what_is_lawful() {
    for case in cases() {
        let rule = case.rule;
        let caught = check_all(&case.violating, &rule_parameters());
        assert!(
            caught.iter().any(|violation| violation.rule == rule),
            "rule {rule} missed {:?}",
            case.violating
        );
        assert_eq!(
            check_all(&case.lawful, &rule_parameters()),
            vec![],
            "rule {rule} blames {:?}",
            case.lawful
        );
    }
}

#[test]
fn every_checker_has_a_violating_case() {
    let violated: BTreeSet<u32> = cases().into_iter().map(|case| case.rule).collect();
    for checker in CHECKERS {
        assert!(
            violated.contains(&checker.rule),
            "no violating case for '{}'",
            checker.name
        );
    }
}
