//! The decisions on changes: versions that are taken, and changes that are submitted again.

use protocol::{ClusterState, DecidedChange};
use quorum_register::{Change, ChangeId, Decision, apply};
use result_code::ResultCode;

const VERSION_CONFLICT: Option<ResultCode> = Some(ResultCode::VersionConflict);

fn versioned(id: &str, version: u64, bytes: &str) -> Change {
    let digest = protocol::digest(bytes.as_bytes());
    Change::Configuration {
        id: id.into(),
        base_revision: None,
        version: Some(version),
        digest,
    }
}

fn configuration(id: &str, base_revision: Option<u64>) -> Change {
    Change::Configuration {
        id: id.into(),
        base_revision,
        version: None,
        digest: protocol::digest(id.as_bytes()),
    }
}

fn evacuation(id: &str, restore: bool) -> Change {
    Change::Evacuate {
        id: id.into(),
        locality: "north/n1".into(),
        restore,
        confirmed_revision: None,
    }
}

fn code(state: &mut ClusterState, change: &Change) -> Option<ResultCode> {
    Some(apply(state, change).code)
}

/// Applies so many changes of other operators, each of which changes something.
fn apply_others(state: &mut ClusterState, count: u64) {
    (0..count).for_each(|at| {
        let id = format!("other-{}-{at}", state.revision);
        assert_eq!(
            apply(state, &configuration(&id, Some(state.revision))).code,
            ResultCode::Success
        );
    });
}

#[test]
fn two_operators_do_not_both_succeed_with_one_version() {
    for (first, second) in [("", ""), ("a", "b")] {
        let mut state = ClusterState::default();
        assert_eq!(
            code(&mut state, &versioned(first, 7, "one")),
            Some(ResultCode::Success)
        );
        let before = (state.revision, state.digest.clone());
        assert_eq!(
            code(&mut state, &versioned(second, 7, "other")),
            VERSION_CONFLICT
        );
        assert_eq!((state.revision, state.digest.clone()), before);
        // The first operator submits again, and succeeds again.
        assert_eq!(
            code(&mut state, &versioned(first, 7, "one")),
            Some(ResultCode::Success)
        );
    }
}

#[test]
fn a_version_stays_taken_once_a_higher_one_is_in_force() {
    let mut state = ClusterState::default();
    apply(&mut state, &versioned("", 7, "one"));
    apply(&mut state, &versioned("", 9, "two"));
    assert_eq!(
        code(&mut state, &versioned("", 7, "other")),
        VERSION_CONFLICT
    );
    assert_eq!(
        code(&mut state, &versioned("", 7, "one")),
        Some(ResultCode::Success)
    );
    assert_eq!((state.number, state.revision), (9, 2));
}

#[test]
fn a_version_below_the_one_in_force_is_superseded() {
    let mut state = ClusterState::default();
    apply(&mut state, &versioned("", 9, "two"));
    assert_eq!(
        code(&mut state, &versioned("", 8, "late")),
        Some(ResultCode::Superseded)
    );
    assert_eq!((state.number, state.revision), (9, 1));
}

/// A change that was decided, and is submitted again after so many others.
fn submit_twice(change: Change, between: u64) -> (Decision, Decision, ClusterState, ClusterState) {
    let mut state = ClusterState::default();
    apply_others(&mut state, 3);
    let first = apply(&mut state, &change);
    assert_eq!(first.code, ResultCode::Success);
    apply_others(&mut state, between);
    let before = state.clone();
    let again = apply(&mut state, &change);
    (first, again, before, state)
}

#[test]
fn a_change_submitted_again_after_hundreds_of_others_gets_its_first_decision() {
    let changes = [
        configuration("order", None),
        configuration("order", Some(3)),
        versioned("order", 7, "x"),
        evacuation("order", false),
    ];
    changes.into_iter().for_each(|change| {
        let (first, again, before, after) = submit_twice(change.clone(), 400);
        assert_eq!(again, first, "{change:?}");
        assert_eq!(after, before, "{change:?} was applied twice");
    });
}

#[test]
fn a_change_submitted_again_after_thousands_of_others_is_not_applied_twice() {
    let changes = [
        configuration("order", None),
        configuration("order", Some(3)),
        versioned("order", 7, "x"),
        evacuation("order", false),
    ];
    changes.into_iter().for_each(|change| {
        let (_, again, before, after) = submit_twice(change.clone(), 3000);
        let is_changed = (after.revision, &after.digest, &after.evacuated)
            != (before.revision, &before.digest, &before.evacuated);
        assert!(!is_changed, "{change:?} was applied twice");
        let is_rejected = again.code.kind() == result_code::Execution::NotExecuted;
        assert!(
            !is_rejected,
            "{change:?} was applied, and is rejected with {:?}",
            again.code
        );
    });
}

#[test]
fn an_evacuation_submitted_again_after_its_end_does_not_evacuate_again() {
    let mut state = ClusterState::default();
    let first = apply(&mut state, &evacuation("begin", false));
    apply(&mut state, &evacuation("finish", true));
    assert_eq!(apply(&mut state, &evacuation("begin", false)), first);
    assert_eq!(state.evacuated, Vec::<String>::new());
}

/// A state that has forgotten some of the changes that it decided.
fn state_with_forgotten_changes() -> ClusterState {
    let mut state = ClusterState::default();
    apply_others(&mut state, 3000);
    state
}

fn evacuation_since(id: &str, since: Option<u64>) -> Change {
    Change::Evacuate {
        id: ChangeId {
            id: id.into(),
            since,
        },
        locality: "north/n1".into(),
        restore: false,
        confirmed_revision: None,
    }
}

#[test]
fn a_new_change_is_applied_where_it_can_be_told_from_a_forgotten_one() {
    let state = state_with_forgotten_changes();
    let new = [
        evacuation_since("new", Some(state.decided)),
        configuration("new", Some(state.revision)),
        versioned("new", 7, "x"),
        versioned("", 7, "x"),
    ];
    new.into_iter().for_each(|change| {
        let mut state = state.clone();
        let decision = apply(&mut state, &change);
        assert_eq!(
            (decision.code, decision.revision),
            (ResultCode::Success, 3001),
            "{change:?}"
        );
        assert_eq!(apply(&mut state, &change), decision, "{change:?} again");
    });
}

#[test]
fn a_change_that_may_be_a_forgotten_one_is_rejected() {
    let state = state_with_forgotten_changes();
    let old = [
        evacuation_since("old", None),
        evacuation_since("old", Some(5)),
        // More than were ever decided: the operator cannot have known of so many.
        evacuation_since("old", Some(state.decided + 1)),
        configuration("old", None),
        configuration("old", Some(5)),
    ];
    old.into_iter().for_each(|change| {
        let mut after = state.clone();
        assert_eq!(
            code(&mut after, &change),
            Some(ResultCode::ChangeForgotten),
            "{change:?}"
        );
        assert_eq!(after, state, "{change:?}");
    });
}

#[test]
fn an_old_base_revision_is_a_conflict_while_its_time_is_remembered() {
    let mut state = state_with_forgotten_changes();
    let base = state.revision - 100;
    assert_eq!(
        code(&mut state, &configuration("late", Some(base))),
        Some(ResultCode::RevisionConflict)
    );
}

/// Decisions without effect raise no revision; new changes must be applied after any number of them.
#[test]
fn changes_without_effect_do_not_stop_new_ones() {
    let mut state = ClusterState::default();
    (0..2000).for_each(|at| {
        let since = Some(state.decided);
        assert_eq!(
            code(&mut state, &evacuation_since(&format!("e-{at}"), since)),
            Some(ResultCode::Success)
        );
    });
    assert_eq!(state.revision, 1);
    let decided = state.decided;
    assert_eq!(
        code(&mut state, &evacuation_since("one-more", Some(decided))),
        Some(ResultCode::Success)
    );
}

/// As an earlier version left it: the content of changes is remembered in full, and forgotten ones are not counted.
#[test]
fn a_state_of_an_earlier_version_keeps_its_decisions() {
    let asked = format!("{} None", protocol::digest(b"s-0"));
    let submission = |at: u64| DecidedChange {
        id: format!("s-{at}"),
        asked: asked.clone(),
        revision: at + 1,
        code: 1000,
    };
    let digest = protocol::digest(b"seven");
    let before = |count: u64| ClusterState {
        revision: count,
        number: 7,
        digest: digest.clone(),
        submissions: (0..count).map(submission).collect(),
        ..ClusterState::default()
    };
    let mut state = before(3);
    assert_eq!(
        apply(&mut state, &configuration("s-0", None)),
        Decision {
            code: ResultCode::Success,
            revision: 1
        }
    );
    assert_eq!(
        code(&mut state, &versioned("", 7, "seven")),
        Some(ResultCode::Success)
    );
    assert_eq!(
        code(&mut state, &versioned("", 7, "other")),
        VERSION_CONFLICT
    );
    assert_eq!(
        code(&mut state, &configuration("new", None)),
        Some(ResultCode::Success)
    );
    // It may have forgotten some.
    assert_eq!(
        code(&mut before(256), &configuration("new", None)),
        Some(ResultCode::ChangeForgotten)
    );
}

#[test]
fn the_state_stays_small_after_many_changes() {
    let size = |state: &ClusterState| protocol::Message::encoded_len(state);
    let mut state = ClusterState::default();
    let apply_both = |state: &mut ClusterState, at: u64| {
        apply(state, &versioned(&format!("operator-{at:08}"), at + 1, "x"));
        apply(state, &evacuation(&format!("zone-{at:08}"), at % 2 == 1));
    };
    (0..400).for_each(|at| apply_both(&mut state, at));
    let early = size(&state);
    (400..10_000).for_each(|at| apply_both(&mut state, at));
    assert!(
        size(&state) <= early + 1200,
        "{early} bytes after 800 changes, {} after 20000",
        size(&state)
    );
    assert!(early < 32 * 1024, "{early} bytes");
}

fn anonymous_evacuation(locality: &str, restore: bool, confirmed_revision: u64) -> Change {
    Change::Evacuate {
        id: ChangeId::default(),
        locality: locality.into(),
        restore,
        confirmed_revision: Some(confirmed_revision),
    }
}

/// The change waits at one node while the same change, submitted again, and the one that ends it are decided elsewhere.
#[test]
fn an_evacuation_without_an_id_that_waited_too_long_does_not_evacuate_again() {
    let mut state = ClusterState::default();
    apply_others(&mut state, 3);
    let waiting = anonymous_evacuation("north/n1", false, state.revision);
    apply(&mut state, &waiting);
    let finish = anonymous_evacuation("north/n1", true, state.revision);
    apply(&mut state, &finish);
    let revision = state.revision;
    assert_eq!(
        apply(&mut state, &waiting),
        Decision {
            code: ResultCode::Success,
            revision
        }
    );
    assert_eq!(state.evacuated, Vec::<String>::new());
    // A new one, which came after that, evacuates.
    assert_eq!(
        apply(
            &mut state,
            &anonymous_evacuation("north/n1", false, revision)
        )
        .revision,
        revision + 1
    );
}

#[test]
fn other_localities_and_configurations_do_not_delay_an_evacuation() {
    let mut state = ClusterState::default();
    let waiting = anonymous_evacuation("north/n1", false, state.revision);
    apply_others(&mut state, 20);
    (0..40).for_each(|at| {
        let other = anonymous_evacuation(&format!("north/m{at}"), false, state.revision);
        apply(&mut state, &other);
    });
    apply(&mut state, &waiting);
    assert!(state.evacuated.contains(&"north/n1".to_owned()));
}

#[test]
fn an_evacuation_whose_locality_is_forgotten_is_rejected() {
    let mut state = ClusterState::default();
    let waiting = anonymous_evacuation("north/n1", false, state.revision);
    (0..100).for_each(|at| {
        let other = anonymous_evacuation(&format!("north/m{at}"), false, state.revision);
        apply(&mut state, &other);
    });
    assert_eq!(code(&mut state, &waiting), Some(ResultCode::StaleView));
}
