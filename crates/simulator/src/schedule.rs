//! The queue of actions in virtual time.

use crate::nodes::NodeEvent;
use crate::responses::Response;
use config::JsonValue;
use protocol::{Departure, KeyShare};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What happens at a moment.
pub(crate) enum Action {
    Tick {
        node: usize,
        incarnation: u64,
    },
    Deliver {
        node: usize,
        event: NodeEvent,
    },
    FinishWrite {
        node: usize,
        incarnation: u64,
    },
    WriteDepartures {
        node: usize,
        incarnation: u64,
        write_id: u64,
        departures: Vec<Departure>,
    },
    Heartbeat {
        upstream: usize,
        incarnation: u64,
    },
    RetryHeartbeat {
        upstream: usize,
        incarnation: u64,
        heartbeat: u64,
    },
    ReceiveRangeGrants {
        upstream: usize,
        incarnation: u64,
        heartbeat: u64,
        sent_at: Duration,
        shares: Vec<KeyShare>,
        span: Duration,
    },
    ReceiveGrants {
        upstream: usize,
        incarnation: u64,
        heartbeat: u64,
        sent_at: Duration,
        json: JsonValue,
    },
    AcceptConnection {
        exchange: u64,
        send: u32,
        address: String,
        cut: bool,
    },
    ReceiveCall {
        exchange: u64,
        send: u32,
        cut: bool,
    },
    FinishCall {
        exchange: u64,
        send: u32,
        upstream: usize,
        incarnation: u64,
    },
    ReceiveDuplicateResponse {
        connection: u64,
        reply: Response,
    },
    StartOperation,
    StartAttempt {
        operation: u64,
    },
    ReceiveLookup {
        operation: u64,
        answer: Option<name_directory::LookupAnswer>,
        asked_at: Duration,
    },
    ReceiveResponse {
        operation: u64,
        attempt: u32,
        answer: Response,
    },
    RunOperators,
    SendSubmission {
        submission: usize,
    },
    RepeatSubmission {
        submission: usize,
    },
    ReceiveSubmissionResult {
        submission: usize,
        answer: control_plane::ControlResponse,
    },
    InjectFault {
        at: usize,
    },
    HealFault {
        at: usize,
    },
    ObserveNodes,
}

struct ScheduledAction {
    at: Duration,
    /// Orders actions of the same moment by when they were scheduled.
    number: u64,
    action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// All actions to come, the earliest first; those of one moment in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct Schedule {
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    scheduled: u64,
}

impl Schedule {
    /// Adds an action.
    pub(crate) fn push(&mut self, at: Duration, action: Action) {
        self.scheduled += 1;
        self.queue.push(Reverse(ScheduledAction {
            at,
            number: self.scheduled,
            action,
        }));
    }

    /// Takes the next action and its moment.
    pub(crate) fn pop(&mut self) -> Option<(Duration, Action)> {
        let Reverse(next) = self.queue.pop()?;
        Some((next.at, next.action))
    }
}
