//! What operators are told of their orders: numbers that are taken, and orders that come again.

use protocol::{ClusterState, DecidedChange};
use quorum_register::{Change, ChangeId, Decision, apply};
use result_code::ResultCode;

const TAKEN: Option<ResultCode> = Some(ResultCode::VersionConflict);

fn numbered(id: &str, number: u64, bytes: &str) -> Change {
    let digest = protocol::digest(bytes.as_bytes());
    Change::Configuration {
        id: id.into(),
        base_revision: None,
        version: Some(number),
        digest,
    }
}

fn configuration(id: &str, base: Option<u64>) -> Change {
    Change::Configuration {
        id: id.into(),
        base_revision: base,
        version: None,
        digest: protocol::digest(id.as_bytes()),
    }
}

fn evacuation(id: &str, back: bool) -> Change {
    Change::Evacuate {
        id: id.into(),
        locality: "north/n1".into(),
        restore: back,
        confirmed_revision: None,
    }
}

fn code(state: &mut ClusterState, change: &Change) -> Option<ResultCode> {
    Some(apply(state, change).code)
}

/// So many orders of others, each of which changes something.
fn others(state: &mut ClusterState, count: u64) {
    (0..count).for_each(|at| {
        let id = format!("other-{}-{at}", state.revision);
        assert_eq!(
            apply(state, &configuration(&id, Some(state.revision))).code,
            ResultCode::Success
        );
    });
}

#[test]
fn two_operators_are_not_both_confirmed_under_one_number() {
    for (first, second) in [("", ""), ("a", "b")] {
        let mut state = ClusterState::default();
        assert_eq!(
            code(&mut state, &numbered(first, 7, "one")),
            Some(ResultCode::Success)
        );
        let before = (state.revision, state.digest.clone());
        assert_eq!(code(&mut state, &numbered(second, 7, "other")), TAKEN);
        assert_eq!((state.revision, state.digest.clone()), before);
        // The first operator asks again, and is told again.
        assert_eq!(
            code(&mut state, &numbered(first, 7, "one")),
            Some(ResultCode::Success)
        );
    }
}

#[test]
fn a_number_stays_taken_once_a_higher_one_holds() {
    let mut state = ClusterState::default();
    apply(&mut state, &numbered("", 7, "one"));
    apply(&mut state, &numbered("", 9, "two"));
    assert_eq!(code(&mut state, &numbered("", 7, "other")), TAKEN);
    assert_eq!(
        code(&mut state, &numbered("", 7, "one")),
        Some(ResultCode::Success)
    );
    assert_eq!((state.number, state.revision), (9, 2));
}

#[test]
fn a_number_that_was_overtaken_is_told_so() {
    let mut state = ClusterState::default();
    apply(&mut state, &numbered("", 9, "two"));
    assert_eq!(
        code(&mut state, &numbered("", 8, "late")),
        Some(ResultCode::Superseded)
    );
    assert_eq!((state.number, state.revision), (9, 1));
}

/// An order that was decided, and is sent again after so many others.
fn resent(order: Change, after: u64) -> (Decision, Decision, ClusterState, ClusterState) {
    let mut state = ClusterState::default();
    others(&mut state, 3);
    let first = apply(&mut state, &order);
    assert_eq!(first.code, ResultCode::Success);
    others(&mut state, after);
    let before = state.clone();
    let again = apply(&mut state, &order);
    (first, again, before, state)
}

#[test]
fn an_order_sent_again_hundreds_of_changes_later_gets_its_first_answer() {
    let orders = [
        configuration("order", None),
        configuration("order", Some(3)),
        numbered("order", 7, "x"),
        evacuation("order", false),
    ];
    orders.into_iter().for_each(|order| {
        let (first, again, before, after) = resent(order.clone(), 400);
        assert_eq!(again, first, "{order:?}");
        assert_eq!(after, before, "{order:?} was done twice");
    });
}

#[test]
fn an_order_sent_again_after_thousands_is_never_done_anew() {
    let orders = [
        configuration("order", None),
        configuration("order", Some(3)),
        numbered("order", 7, "x"),
        evacuation("order", false),
    ];
    orders.into_iter().for_each(|order| {
        let (_, again, before, after) = resent(order.clone(), 3000);
        let changed = (after.revision, &after.digest, &after.evacuated)
            != (before.revision, &before.digest, &before.evacuated);
        assert!(!changed, "{order:?} was done twice");
        let refused = again.code.kind() == result_code::Execution::NotExecuted;
        assert!(
            !refused,
            "{order:?} was done, and is refused with {:?}",
            again.code
        );
    });
}

#[test]
fn a_begin_that_comes_late_does_not_evacuate_anew() {
    let mut state = ClusterState::default();
    let first = apply(&mut state, &evacuation("begin", false));
    apply(&mut state, &evacuation("finish", true));
    assert_eq!(apply(&mut state, &evacuation("begin", false)), first);
    assert_eq!(state.evacuated, Vec::<String>::new());
}

/// A state that has forgotten some of the orders that it decided.
fn forgetful() -> ClusterState {
    let mut state = ClusterState::default();
    others(&mut state, 3000);
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
fn a_new_order_goes_ahead_where_it_can_be_told_from_a_forgotten_one() {
    let state = forgetful();
    let new = [
        evacuation_since("new", Some(state.decided)),
        configuration("new", Some(state.revision)),
        numbered("new", 7, "x"),
        numbered("", 7, "x"),
    ];
    new.into_iter().for_each(|order| {
        let mut state = state.clone();
        let decision = apply(&mut state, &order);
        assert_eq!(
            (decision.code, decision.revision),
            (ResultCode::Success, 3001),
            "{order:?}"
        );
        assert_eq!(apply(&mut state, &order), decision, "{order:?} again");
    });
}

#[test]
fn an_order_that_may_be_a_forgotten_one_does_nothing() {
    let state = forgetful();
    let old = [
        evacuation_since("old", None),
        evacuation_since("old", Some(5)),
        // More than were ever decided: it cannot have been told so.
        evacuation_since("old", Some(state.decided + 1)),
        configuration("old", None),
        configuration("old", Some(5)),
    ];
    old.into_iter().for_each(|order| {
        let mut after = state.clone();
        assert_eq!(
            code(&mut after, &order),
            Some(ResultCode::ChangeForgotten),
            "{order:?}"
        );
        assert_eq!(after, state, "{order:?}");
    });
}

#[test]
fn a_base_that_is_behind_is_told_so_while_its_time_is_remembered() {
    let mut state = forgetful();
    let base = state.revision - 100;
    assert_eq!(
        code(&mut state, &configuration("late", Some(base))),
        Some(ResultCode::RevisionConflict)
    );
}

/// Decisions without effect raise no edition; new orders must go ahead after any number of them.
#[test]
fn orders_that_change_nothing_do_not_stop_new_ones() {
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

/// As an earlier version left it: what was asked for stands there in full, and nothing counts what was forgotten.
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
        code(&mut state, &numbered("", 7, "seven")),
        Some(ResultCode::Success)
    );
    assert_eq!(code(&mut state, &numbered("", 7, "other")), TAKEN);
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
fn the_state_stays_small_however_many_orders_come() {
    let size = |state: &ClusterState| protocol::Message::encoded_len(state);
    let mut state = ClusterState::default();
    let order = |state: &mut ClusterState, at: u64| {
        apply(state, &numbered(&format!("operator-{at:08}"), at + 1, "x"));
        apply(state, &evacuation(&format!("zone-{at:08}"), at % 2 == 1));
    };
    (0..400).for_each(|at| order(&mut state, at));
    let early = size(&state);
    (400..10_000).for_each(|at| order(&mut state, at));
    assert!(
        size(&state) <= early + 1200,
        "{early} bytes after 800 orders, {} after 20000",
        size(&state)
    );
    assert!(early < 32 * 1024, "{early} bytes");
}

fn anonymous_evacuation(locality: &str, back: bool, seen: u64) -> Change {
    Change::Evacuate {
        id: ChangeId::default(),
        locality: locality.into(),
        restore: back,
        confirmed_revision: Some(seen),
    }
}

/// The order waits at one node while the same order, sent again, and the one that ends it are decided through others.
#[test]
fn a_begin_without_an_id_that_waited_too_long_does_not_evacuate_anew() {
    let mut state = ClusterState::default();
    others(&mut state, 3);
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
fn other_localities_and_setups_do_not_hold_an_evacuation_up() {
    let mut state = ClusterState::default();
    let waiting = anonymous_evacuation("north/n1", false, state.revision);
    others(&mut state, 20);
    (0..40).for_each(|at| {
        let other = anonymous_evacuation(&format!("north/m{at}"), false, state.revision);
        apply(&mut state, &other);
    });
    apply(&mut state, &waiting);
    assert!(state.evacuated.contains(&"north/n1".to_owned()));
}

#[test]
fn an_evacuation_that_can_not_be_judged_any_more_is_denied() {
    let mut state = ClusterState::default();
    let waiting = anonymous_evacuation("north/n1", false, state.revision);
    (0..100).for_each(|at| {
        let other = anonymous_evacuation(&format!("north/m{at}"), false, state.revision);
        apply(&mut state, &other);
    });
    assert_eq!(code(&mut state, &waiting), Some(ResultCode::StaleView));
}
