//! Observations of the system from outside, in the order in which they were made. Checkers know nothing else.

use crate::history::{Command, CommandResult};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a response of a control node confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// A command was accepted.
    Command,
    /// The configuration that was read is the current one.
    Read,
    /// Nothing more will be sent to a draining upstream.
    Draining,
    /// The heartbeat of an upstream that stays was received.
    Heartbeat,
}

/// One thing observed, by an upstream, a client or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request arrived at an upstream.
    RequestArrived {
        /// The client's attempt that the request belongs to.
        attempt_id: String,
        /// The service that the request is for.
        service: String,
        /// The upstream's instance.
        instance: String,
        /// The upstream's region and zone.
        locality: String,
        /// Whether the upstream is still warming up.
        cold: bool,
    },
    /// An upstream executed an operation.
    OperationExecuted {
        /// The client's operation.
        operation: String,
        /// The attempt that it was executed for.
        attempt_id: String,
        /// Whether the operation may be executed only once.
        at_most_once: bool,
    },
    /// A client started an attempt of an operation.
    AttemptStarted {
        /// The client's operation.
        operation: String,
        /// The attempt.
        attempt_id: String,
    },
    /// A client received the final response to an attempt.
    AttemptAnswered {
        /// The attempt.
        attempt_id: String,
        /// The number of the result code.
        code: u32,
        /// Whether the response says that the operation succeeded.
        success: bool,
        /// Whether it is a success whose seal, attempt and operation are right.
        complete: bool,
        /// Whether the response promises that the operation was not executed.
        not_executed: bool,
    },
    /// A client used an address this long after the directory gave it.
    AddressUsed {
        /// Since the directory was asked.
        age: Duration,
    },
    /// An upstream announced that it drains.
    UpstreamDraining {
        /// The upstream's instance.
        instance: String,
    },
    /// An evacuation was accepted; or an operator asked to end one, which may take effect before it is accepted.
    Evacuation {
        /// The evacuated region and zone.
        locality: String,
        /// Whether the evacuation ends.
        back: bool,
    },
    /// A revision was accepted.
    RevisionAccepted {
        /// The revision.
        revision: u64,
    },
    /// A node that reports itself ready has this revision in force.
    RevisionInForce {
        /// The node's name.
        node: String,
        /// The revision.
        revision: u64,
    },
    /// An operator read the configuration from a node.
    ConfigurationRead {
        /// The node's name.
        node: String,
        /// The revision that was read.
        revision: u64,
        /// A digest of the configuration; empty where there was none.
        digest: String,
        /// When the operator asked.
        asked_at: Duration,
    },
    /// An operator's configuration was accepted under a revision.
    ConfigurationAccepted {
        /// The revision.
        revision: u64,
        /// A digest of the configuration.
        digest: String,
        /// The marker upstream that it routes probes to.
        marker: usize,
        /// How long it took until it was accepted.
        took: Duration,
    },
    /// An operator submits a configuration with a version of its own.
    VersionSubmitted {
        /// The operator's version.
        number: u64,
        /// A digest of the configuration.
        digest: String,
    },
    /// Such a configuration was acknowledged, perhaps because a higher version is in force.
    VersionAcknowledged {
        /// The operator's version.
        number: u64,
    },
    /// An operator invokes a command.
    CommandInvoked {
        /// Names the call, however often it is sent.
        call: String,
        /// What is asked for.
        command: Command,
    },
    /// An operator receives the result of a call; once more for each time that it is sent again.
    CommandReturned {
        /// Names the call.
        call: String,
        /// The result.
        reply: CommandResult,
    },
    /// Operators recovered the cluster from the states that survived the loss of its quorum.
    ClusterRecovered,
    /// A probe through this proxy arrived at a marker upstream.
    MarkerReached {
        /// The proxy's name.
        node: String,
        /// The marker upstream.
        marker: usize,
    },
    /// An upstream holds keys of a service until a moment, unless it releases them.
    KeysHeld {
        /// The service.
        service: String,
        /// Slots, or numeric keys.
        keys: Range<u32>,
        /// The upstream's instance.
        instance: String,
        /// The end of its lease.
        until: Duration,
    },
    /// An upstream released keys.
    KeysReleased {
        /// The service.
        service: String,
        /// Slots, or numeric keys.
        keys: Range<u32>,
        /// The upstream's instance.
        instance: String,
    },
    /// A control node is partitioned from all others from now on, in one direction at least.
    NodeIsolated {
        /// The node's name.
        node: String,
    },
    /// The partition of a control node has healed.
    NodeReconnected {
        /// The node's name.
        node: String,
    },
    /// A control node that was partitioned confirmed something.
    NodeConfirmed {
        /// The node's name.
        node: String,
        /// What it confirmed.
        what: Confirmation,
        /// When it was asked.
        asked_at: Duration,
    },
    /// A fault was injected, or healed.
    Fault {
        /// Describes the fault.
        what: String,
    },
}

/// How a client's operation ended.
#[derive(Clone, Debug)]
pub struct FinishedOperation {
    /// When it ended.
    pub at: Duration,
    /// How long it took, with all its attempts.
    pub took: Duration,
    /// The service that it was for.
    pub service: &'static str,
    /// The number of the last result code; 0 where no node could be reached.
    pub code: u32,
    /// Attempts that were made.
    pub attempts: u32,
}

/// An observation and the time of it, since the start of the run.
pub type TimedObservation = (Duration, Observation);

/// A log of observations that many tasks write to.
#[derive(Clone, Default)]
pub struct ObservationLog(Arc<Mutex<Vec<TimedObservation>>>);

impl ObservationLog {
    /// Adds an observation.
    ///
    /// ```
    /// use invariants::observations::{Observation, ObservationLog};
    /// let log = ObservationLog::default();
    /// log.note(std::time::Duration::ZERO, Observation::Fault { what: "none".into() });
    /// assert_eq!(log.all().len(), 1);
    /// ```
    pub fn note(&self, at: Duration, observation: Observation) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, observation));
    }

    /// All observations, sorted by time.
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
