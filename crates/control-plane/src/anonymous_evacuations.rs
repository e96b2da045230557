//! Evacuations without an id. When such a request is retried, it is only known by what it wants; so one that was decided
//! through another node meanwhile, and ended by a later request, must not be executed again here.
//!
//! A majority confirms the state after the request came. Where the locality is as the request wants it, that is the
//! response. Else the change names the confirmed revision, and does nothing if the locality has changed since.
//!
//! A request that lay in the sockets of a frozen process may be far older than its arrival. None is accepted for a moment
//! after that: clients that still wait retry.

use crate::node::ControlNode;
use quorum_register::{Change, ChangeId, Decision};
use result_code::ResultCode;
use std::time::Duration;

/// Most requests that wait for a confirmation.
const MAX_PENDING: usize = 256;
/// How long a request waits for the confirmation.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);
/// A process that took no step for so long was frozen: nearly as long as clients wait before they try another node.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(900);
/// How long after that requests may arrive that were sent before.
const BACKLOG_DURATION: Duration = Duration::from_millis(500);

/// A request that waits for a confirmation begun after it came.
struct PendingEvacuation {
    request_id: u64,
    received_at: Duration,
    locality: String,
    restore: bool,
}

impl PendingEvacuation {
    fn is_late(&self, now: Duration) -> bool {
        now >= self.received_at + CONFIRMATION_TIMEOUT
    }
}

/// The requests that wait, and when this process was last frozen.
#[derive(Default)]
pub(crate) struct AnonymousEvacuations {
    pending: Vec<PendingEvacuation>,
    last_step: Duration,
    resumed_at: Duration,
}

impl AnonymousEvacuations {
    /// Called at each step of the node, before anything else.
    pub(crate) fn record_step(&mut self, now: Duration) {
        if now >= self.last_step + FREEZE_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_step = now;
    }

    /// True where a request may be accepted: it can't be older than the last freeze, and there is capacity.
    fn accepts(&self, now: Duration) -> bool {
        let may_predate_freeze =
            !self.resumed_at.is_zero() && now < self.resumed_at + BACKLOG_DURATION;
        !may_predate_freeze && self.pending.len() < MAX_PENDING
    }

    /// Takes the requests that `is_taken` chooses, in their order.
    fn take_if(&mut self, is_taken: impl Fn(&PendingEvacuation) -> bool) -> Vec<PendingEvacuation> {
        let (taken, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(is_taken);
        self.pending = pending;
        taken
    }
}

impl ControlNode {
    pub(crate) fn evacuate_anonymously(
        &mut self,
        now: Duration,
        request_id: u64,
        locality: String,
        restore: bool,
    ) {
        self.open_change(request_id);
        if !self.anonymous_evacuations.accepts(now) {
            return self.decide_evacuation(now, request_id, ResultCode::StaleView);
        }
        self.anonymous_evacuations.pending.push(PendingEvacuation {
            request_id,
            received_at: now,
            locality,
            restore,
        });
        self.run_register(now, quorum_register::Event::Confirm);
    }

    /// Goes on with the requests whose confirmation came, and gives up on old ones.
    pub(crate) fn complete_anonymous_evacuations(&mut self, now: Duration) {
        let late = self
            .anonymous_evacuations
            .take_if(|evacuation| evacuation.is_late(now));
        let register = &self.register;
        let confirmed = self
            .anonymous_evacuations
            .take_if(|evacuation| register.is_confirmed_since(evacuation.received_at));
        for evacuation in late {
            self.decide_evacuation(now, evacuation.request_id, ResultCode::StaleView);
        }
        for evacuation in confirmed {
            self.submit_confirmed_evacuation(now, evacuation);
        }
    }

    fn submit_confirmed_evacuation(&mut self, now: Duration, evacuation: PendingEvacuation) {
        let PendingEvacuation {
            request_id,
            locality,
            restore,
            ..
        } = evacuation;
        if !self.is_open_change(request_id) {
            // Contact was lost meanwhile, and the client was told to ask another node.
            return;
        }
        let state = self.register.state();
        if state.evacuated.contains(&locality) != restore {
            return self.decide_evacuation(now, request_id, ResultCode::Success);
        }
        let change = Change::Evacuate {
            id: ChangeId::default(),
            locality,
            restore,
            confirmed_revision: Some(state.revision),
        };
        self.submit_change(now, request_id, change, None);
    }

    /// Decides a request without a change of the state.
    fn decide_evacuation(&mut self, now: Duration, request_id: u64, code: ResultCode) {
        let revision = self.revision();
        self.handle_decision(now, request_id, Decision { code, revision });
    }
}
