//! Series of submissions and deregistrations, and how long each waits for its response.

use super::fleet::Fleet;
use control_plane::{ControlRequest, ControlResponse};
use std::collections::HashMap;
use std::time::Duration;

/// How many calls were made, and how many of them were not accepted.
pub(crate) struct CallCounts {
    pub(crate) requested: usize,
    /// Rejected, or without a known outcome.
    pub(crate) rejected: usize,
    /// Redirected to a node in contact with a majority.
    pub(crate) redirected: usize,
}

/// Calls to control nodes and their outcomes.
#[derive(Default)]
pub struct CallTracker {
    requested_at: HashMap<u64, Duration>,
    requested: usize,
    rejected: usize,
    /// Redirected to a node in contact with a majority.
    redirected: usize,
    /// The response times of accepted calls.
    accepted_after: Vec<Duration>,
    /// Accepted revisions that aren't in force everywhere yet, and when they were submitted.
    pending: Vec<(u64, Duration)>,
    in_force_after: Vec<Duration>,
}

impl CallTracker {
    /// The counts so far.
    pub(crate) fn counts(&self) -> CallCounts {
        CallCounts {
            requested: self.requested,
            rejected: self.rejected,
            redirected: self.redirected,
        }
    }

    /// The response times of accepted calls.
    pub(crate) fn accepted_after(&self) -> &[Duration] {
        &self.accepted_after
    }

    /// How long it took from each submission until what it changed was in force at every data node.
    pub(crate) fn in_force_after(&self) -> &[Duration] {
        &self.in_force_after
    }
}

impl Fleet {
    /// An operator submits a configuration of the usual size to this control node, or to some other each time.
    pub(crate) fn submit_configuration(&mut self, at: Option<usize>) {
        let number = self.calls.requested;
        // Each is another one, of the same size.
        let text = self
            .size
            .configuration(0)
            .replace("\"r0\"", &format!("\"r0-{number:06}\""));
        let (id, bytes) = (format!("order-{number}").into(), text.into_bytes());
        self.call(
            at,
            "submit",
            ControlRequest::SubmitConfiguration {
                id,
                base: None,
                bytes,
                in_force: false,
            },
        );
    }

    /// An upstream deregisters and stops.
    pub(crate) fn deregister_upstream(&mut self, at: usize) {
        let instance = format!("unit-{at}");
        self.crash_upstream(at);
        self.call(None, "sign off", ControlRequest::Deregister { instance });
    }

    fn call(&mut self, at: Option<usize>, kind: &'static str, ask: ControlRequest) {
        let Some(at) = at.or_else(|| self.some_control_node()) else {
            return;
        };
        let request_id = self.request_id();
        self.calls.requested += 1;
        self.calls.requested_at.insert(request_id, self.now);
        self.step_control(
            at,
            kind,
            control_plane::Event::ControlRequest {
                request_id,
                request: ask,
            },
        );
    }

    /// Records the response of such a call; returns whether it was one.
    pub(super) fn answer_call(&mut self, request_id: u64, answer: &ControlResponse) -> bool {
        let Some(requested_at) = self.calls.requested_at.remove(&request_id) else {
            return false;
        };
        match answer {
            ControlResponse::Outcome {
                code: result_code::ResultCode::Success,
                revision,
            } => {
                self.calls.accepted_after.push(self.now - requested_at);
                self.calls.pending.push((*revision, requested_at));
            }
            ControlResponse::Heartbeat { .. } => {
                self.calls.accepted_after.push(self.now - requested_at)
            }
            ControlResponse::Redirect { .. } => self.calls.redirected += 1,
            _ => self.calls.rejected += 1,
        }
        true
    }

    /// Advances virtual time and records which submissions came into force everywhere meanwhile.
    pub(crate) fn run_watching_submissions(&mut self, span: Duration, step: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.run_for(step.min(until - self.now));
            let everywhere = self
                .views()
                .map(|node| node.view.revision)
                .min()
                .unwrap_or(0);
            let now = self.now;
            let (done, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.calls.pending)
                .into_iter()
                .partition(|(revision, _)| *revision <= everywhere);
            self.calls.pending = pending;
            self.calls
                .in_force_after
                .extend(done.into_iter().map(|(_, requested_at)| now - requested_at));
        }
    }
}
