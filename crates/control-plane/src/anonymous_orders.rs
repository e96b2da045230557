//! Evacuations that bear no id. Such an order, when it comes again, is only known by what it wants; so one that was
//! decided through another node meanwhile, and ended by a later order, must not be done anew here.
//!
//! The state is confirmed by a majority after the order came. Where the locality is as the order wants it, that is the
//! answer. Else the order bears the confirmed edition, and does nothing if the locality has changed since.
//!
//! An order that lay in the sockets of a process that stood still may be far older than its coming here. None is taken
//! for a moment after that: whoever still waits asks again.

use crate::node::ControlNode;
use quorum_register::{Change, ChangeId, Decision};
use result_code::ResultCode;
use std::time::Duration;

const MAX_PENDING: usize = 256;
/// How long an order waits for the confirmation.
const TIMEOUT: Duration = Duration::from_secs(2);
/// A process that took no step for so long stood still: nearly as long as callers wait before they ask elsewhere.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(900);
/// How long after that orders may come that were sent before.
const BACKLOG: Duration = Duration::from_millis(500);

/// An order that waits for a confirmation asked after it came.
struct Waiting {
    request_id: u64,
    received_at: Duration,
    locality: String,
    back: bool,
}

/// The orders that wait, and when this process last stood still.
#[derive(Default)]
pub(crate) struct AnonymousOrders {
    waiting: Vec<Waiting>,
    last_step: Duration,
    resumed_at: Duration,
}

impl AnonymousOrders {
    /// Called at each step of the node, first of all.
    pub(crate) fn note_step(&mut self, now: Duration) {
        if now >= self.last_step + FREEZE_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_step = now;
    }

    fn may_predate_freeze(&self, now: Duration) -> bool {
        !self.resumed_at.is_zero() && now < self.resumed_at + BACKLOG
    }
}

impl ControlNode {
    pub(crate) fn evacuate_anonymously(
        &mut self,
        now: Duration,
        request_id: u64,
        locality: String,
        back: bool,
    ) {
        self.open_change(request_id);
        if self.anonymous.may_predate_freeze(now) || self.anonymous.waiting.len() >= MAX_PENDING {
            return self.reject_anonymous(now, request_id);
        }
        self.anonymous.waiting.push(Waiting {
            request_id,
            received_at: now,
            locality,
            back,
        });
        self.run_register(now, quorum_register::Event::Confirm);
    }

    /// Goes on with the orders whose confirmation came, and gives up on old ones.
    pub(crate) fn tick_anonymous_evacuations(&mut self, now: Duration) {
        if self.anonymous.waiting.is_empty() {
            return;
        }
        let (late, waiting): (Vec<Waiting>, Vec<Waiting>) = self
            .anonymous
            .waiting
            .drain(..)
            .partition(|wait| now >= wait.received_at + TIMEOUT);
        let (confirmed, waiting): (Vec<Waiting>, Vec<Waiting>) = waiting
            .into_iter()
            .partition(|wait| self.register.is_confirmed_since(wait.received_at));
        self.anonymous.waiting = waiting;
        late.into_iter()
            .for_each(|wait| self.reject_anonymous(now, wait.request_id));
        confirmed
            .into_iter()
            .for_each(|wait| self.submit_confirmed_evacuation(now, wait));
    }

    fn submit_confirmed_evacuation(&mut self, now: Duration, wait: Waiting) {
        let Waiting {
            request_id,
            locality,
            back,
            ..
        } = wait;
        if !self.is_open_change(request_id) {
            // Contact was lost meanwhile, and its caller was told to ask elsewhere.
            return;
        }
        let revision = self.register.state().revision;
        if self.register.state().evacuated.contains(&locality) != back {
            return self.handle_decision(
                now,
                request_id,
                Decision {
                    code: ResultCode::Success,
                    revision,
                },
            );
        }
        let (id, seen) = (ChangeId::default(), Some(revision));
        self.submit_change(
            now,
            request_id,
            Change::Evacuate {
                id,
                locality,
                restore: back,
                confirmed_revision: seen,
            },
            None,
        );
    }

    fn reject_anonymous(&mut self, now: Duration, request_id: u64) {
        let revision = self.register.state().revision;
        self.handle_decision(
            now,
            request_id,
            Decision {
                code: ResultCode::StaleView,
                revision,
            },
        );
    }
}
