//! What must never happen between a client and scripted upstreams.

use super::{Event, Outcome, work};

/// A rule that was broken, and by which attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The reported success is not the attempt's own, complete response.
    ForeignResponse {
        /// The attempt's id.
        attempt_id: String,
    },
    /// It may be executed once at most, and more than one upstream may have executed it.
    ExecutedTwice {
        /// The attempt's id.
        attempt_id: String,
    },
    /// It was reported as not executed, and an upstream may have executed it.
    FalselyRejected {
        /// The attempt's id.
        attempt_id: String,
    },
    /// No outcome was reported, or more than one.
    NotAnsweredOnce {
        /// The attempt's id.
        attempt_id: String,
    },
}

/// Checks all that happened.
///
/// ```
/// use testbed::scripted::{Event, Outcome, Violation, check};
/// let requested = Event::Requested { attempt_id: "t".into(), at_most_once: true };
/// let reported = Event::OutcomeReported { attempt_id: "t".into(), outcome: Outcome::Unknown };
/// assert_eq!(check(&[requested.clone(), reported]), vec![]);
/// assert_eq!(check(&[requested]), vec![Violation::NotAnsweredOnce { attempt_id: "t".into() }]);
/// ```
pub fn check(events: &[Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in events {
        if let Event::Requested {
            attempt_id,
            at_most_once,
        } = event
        {
            violations.extend(check_attempt(events, attempt_id, *at_most_once));
        }
    }
    violations
}

fn check_attempt(events: &[Event], id: &str, at_most_once: bool) -> Vec<Violation> {
    let (mut arrived, mut rejected, mut answered) = (0usize, 0, 0);
    let mut outcomes = Vec::new();
    for event in events {
        match event {
            Event::Arrived { attempt_id } if attempt_id == id => arrived += 1,
            Event::RejectionSent { attempt_id } if attempt_id == id => rejected += 1,
            Event::ResponseSent { attempt_id } if attempt_id == id => answered += 1,
            Event::OutcomeReported {
                attempt_id,
                outcome,
            } if attempt_id == id => outcomes.push(outcome),
            _ => {}
        }
    }
    let may_have_run = arrived.saturating_sub(rejected);
    let is_foreign = |outcome: &&Outcome| match outcome {
        Outcome::Success { body } => answered == 0 || *body != work(id).as_bytes(),
        _ => false,
    };
    let attempt_id = || id.to_owned();
    let mut violations = Vec::new();
    if outcomes.iter().any(is_foreign) {
        violations.push(Violation::ForeignResponse {
            attempt_id: attempt_id(),
        });
    }
    if at_most_once && may_have_run > 1 {
        violations.push(Violation::ExecutedTwice {
            attempt_id: attempt_id(),
        });
    }
    if outcomes.contains(&&Outcome::NotExecuted) && may_have_run > 0 {
        violations.push(Violation::FalselyRejected {
            attempt_id: attempt_id(),
        });
    }
    if outcomes.len() != 1 {
        violations.push(Violation::NotAnsweredOnce {
            attempt_id: attempt_id(),
        });
    }
    violations
}
