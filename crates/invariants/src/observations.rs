//! What was seen from outside the system, in the order it was seen. Checkers know nothing else.

use crate::history::{Command, CommandResult};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What an answer of a control node vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// An order was taken.
    Command,
    /// This is what holds.
    Read,
    /// Nothing more will be sent to an upstream that leaves.
    Draining,
    /// An upstream that stays was heard.
    Heartbeat,
}

/// One thing seen, by a stand-in or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An upstream was handed a try; `service` is what the try is for.
    RequestArrived {
        attempt_id: String,
        service: String,
        instance: String,
        locality: String,
        cold: bool,
    },
    /// An upstream did a piece of work.
    OperationExecuted {
        operation: String,
        attempt_id: String,
        at_most_once: bool,
    },
    /// An origin made a try.
    AttemptStarted {
        operation: String,
        attempt_id: String,
    },
    /// An origin got the final answer of a try. `complete`: a success whose seal, try and work are right.
    AttemptAnswered {
        attempt_id: String,
        code: u32,
        success: bool,
        complete: bool,
        not_executed: bool,
    },
    /// An origin used an address this long after the directory gave it.
    AddressUsed { age: Duration },
    /// An upstream told that it leaves.
    UpstreamDraining { instance: String },
    /// The system said yes to an evacuation; or an operator asked to take the place back, which may be in force before
    /// the yes comes.
    Evacuation { locality: String, back: bool },
    /// The system said yes to an edition.
    RevisionAccepted { revision: u64 },
    /// A node that says it serves has this edition in force.
    RevisionInForce { node: String, revision: u64 },
    /// An operator read the setup back from a node.
    ConfigurationRead {
        node: String,
        revision: u64,
        digest: String,
        asked_at: Duration,
    },
    /// An operator's setup, accepted under an edition; where it leads the probes, and how long the yes took.
    ConfigurationAccepted {
        revision: u64,
        digest: String,
        marker: usize,
        took: Duration,
    },
    /// An operator asks for a setup with a number of its own.
    VersionSubmitted { number: u64, digest: String },
    /// The system said yes to such a one, which it may have because a higher one holds.
    VersionAcknowledged { number: u64 },
    /// An operator calls for something, by a name of the call's own, however often it is sent.
    CommandInvoked { call: String, command: Command },
    /// An operator is told the outcome of a call; again where it was sent again.
    CommandReturned { call: String, reply: CommandResult },
    /// What was left after a lost majority was put in force.
    ClusterRecovered,
    /// A probe through this proxy came to a marking upstream.
    MarkerReached { node: String, marker: usize },
    /// An upstream holds slots, or numeric keys, of a keyed service until a moment, unless it lets go.
    KeysHeld {
        service: String,
        keys: Range<u32>,
        instance: String,
        until: Duration,
    },
    KeysReleased {
        service: String,
        keys: Range<u32>,
        instance: String,
    },
    /// A control node is cut off from all others from now on, in one direction at least.
    NodeIsolated { node: String },
    /// It is no longer.
    NodeReconnected { node: String },
    /// A control node that was cut off vouched for something that it was asked at that moment.
    NodeConfirmed {
        node: String,
        what: Confirmation,
        asked_at: Duration,
    },
    /// A fault was brought about, or healed.
    Fault { what: String },
}

/// How one piece of work ended.
#[derive(Clone, Debug)]
pub struct FinishedOperation {
    pub at: Duration,
    pub took: Duration,
    pub service: &'static str,
    /// The last code, 0 where no node could be reached.
    pub code: u32,
    pub attempts: u32,
}

/// A fact and when it was seen.
pub type TimedObservation = (Duration, Observation);

/// A shared record of facts.
#[derive(Clone, Default)]
pub struct ObservationLog(Arc<Mutex<Vec<TimedObservation>>>);

impl ObservationLog {
    /// Notes a fact.
    ///
    /// ```
    /// use invariants::observations::{Observation, ObservationLog};
    /// let record = ObservationLog::default();
    /// record.note(std::time::Duration::ZERO, Observation::Fault { what: "none".into() });
    /// assert_eq!(record.all().len(), 1);
    /// ```
    pub fn note(&self, at: Duration, observation: Observation) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, observation));
    }

    /// All facts, in the order of their moments.
    ///
    /// ```
    /// assert!(invariants::observations::ObservationLog::default().all().is_empty());
    /// ```
    pub fn all(&self) -> Vec<TimedObservation> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}
