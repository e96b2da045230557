//! Upstreams that follow a script of protocol violations, the proxy's real HTTP client against them, and a checker of
//! the outcome: no response to another request, nothing that is not idempotent executed twice, no partial response taken
//! for a complete one, no rejection of what may have been executed.

mod check;
mod clients;
mod peer;

pub use check::{Violation, check};
pub use clients::{Proxy, ResponseCheck, SiteConventions, request_without_checks};
pub use peer::{
    CONNECTION_STARTS, ConnectionStart, Peer, RESPONSE_FAULTS, ResponseFault, ResponseParts, Step,
};

use bytes::Bytes;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// One attempt of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// True where it may be executed once at most.
    pub at_most_once: bool,
    /// The length of its request's body.
    pub body_bytes: usize,
}

/// What is reported to a client of an attempt.
#[derive(Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was executed.
    Success {
        /// The response's body.
        body: Bytes,
    },
    /// It was not executed and never will be.
    NotExecuted,
    /// It may have been executed.
    Unknown,
}

impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Success { body } => {
                let first = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
                write!(
                    f,
                    "success of {} bytes: {}",
                    body.len(),
                    String::from_utf8_lossy(first)
                )
            }
            Outcome::NotExecuted => f.write_str("not run"),
            Outcome::Unknown => f.write_str("unknown"),
        }
    }
}

/// What happened, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client made an attempt.
    Requested {
        /// The attempt's id.
        attempt_id: String,
        /// True where it may be executed once at most.
        at_most_once: bool,
    },
    /// An upstream read its head: from here on it may be executed.
    Arrived {
        /// The attempt's id.
        attempt_id: String,
    },
    /// An upstream wrote a complete rejection.
    RejectionSent {
        /// The attempt's id.
        attempt_id: String,
    },
    /// An upstream wrote a complete success.
    ResponseSent {
        /// The attempt's id.
        attempt_id: String,
    },
    /// A client was notified of an attempt's outcome.
    OutcomeReported {
        /// The attempt's id.
        attempt_id: String,
        /// The outcome.
        outcome: Outcome,
    },
}

/// Events that several parties note.
#[derive(Clone, Debug, Default)]
pub struct EventLog(Arc<Mutex<Vec<Event>>>);

impl EventLog {
    /// Notes an event.
    ///
    /// ```
    /// use testbed::scripted::{Event, EventLog};
    /// let events = EventLog::default();
    /// events.note(Event::Arrived { attempt_id: "t".into() });
    /// assert_eq!(events.all().len(), 1);
    /// ```
    pub fn note(&self, event: Event) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(event);
    }

    /// All so far.
    ///
    /// ```
    /// assert!(testbed::scripted::EventLog::default().all().is_empty());
    /// ```
    pub fn all(&self) -> Vec<Event> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// What an upstream responds to an attempt: no two responses are alike.
///
/// ```
/// assert_ne!(testbed::scripted::work("t-1"), testbed::scripted::work("t-2"));
/// ```
pub fn work(attempt_id: &str) -> String {
    let lines = 1 + random::stable_hash(attempt_id) % 900;
    (0..lines)
        .map(|line| format!("line {line} of the work of {attempt_id}\n"))
        .collect()
}
