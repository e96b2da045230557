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

const MAX_WAITING: usize = 256;
/// How long an order waits for the confirmation.
const PATIENCE: Duration = Duration::from_secs(2);
/// A process that took no step for so long stood still: nearly as long as callers wait before they ask elsewhere.
const STOOD_STILL: Duration = Duration::from_millis(900);
/// How long after that orders may come that were sent before.
const BACKLOG: Duration = Duration::from_millis(500);

/// An order that waits for a confirmation asked after it came.
struct Waiting {
    request_id: u64,
    came_at: Duration,
    locality: String,
    back: bool,
}

/// The orders that wait, and when this process last stood still.
#[derive(Default)]
pub(crate) struct AnonymousOrders {
    waiting: Vec<Waiting>,
    last_step: Duration,
    awake_since: Duration,
}

impl AnonymousOrders {
    /// Called at each step of the node, first of all.
    pub(crate) fn note_step(&mut self, now: Duration) {
        if now >= self.last_step + STOOD_STILL {
            self.awake_since = now;
        }
        self.last_step = now;
    }

    fn may_be_old(&self, now: Duration) -> bool {
        !self.awake_since.is_zero() && now < self.awake_since + BACKLOG
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
        self.open_order(request_id);
        if self.anonymous.may_be_old(now) || self.anonymous.waiting.len() >= MAX_WAITING {
            return self.deny_anonymous(now, request_id);
        }
        self.anonymous.waiting.push(Waiting {
            request_id,
            came_at: now,
            locality,
            back,
        });
        self.run_register(now, quorum_register::Event::Confirm);
    }

    /// Goes on with the orders whose confirmation came, and gives up on old ones.
    pub(crate) fn go_on_with_anonymous(&mut self, now: Duration) {
        if self.anonymous.waiting.is_empty() {
            return;
        }
        let (late, waiting): (Vec<Waiting>, Vec<Waiting>) = self
            .anonymous
            .waiting
            .drain(..)
            .partition(|wait| now >= wait.came_at + PATIENCE);
        let (confirmed, waiting): (Vec<Waiting>, Vec<Waiting>) = waiting
            .into_iter()
            .partition(|wait| self.register.is_confirmed_since(wait.came_at));
        self.anonymous.waiting = waiting;
        late.into_iter()
            .for_each(|wait| self.deny_anonymous(now, wait.request_id));
        confirmed
            .into_iter()
            .for_each(|wait| self.evacuate_confirmed(now, wait));
    }

    fn evacuate_confirmed(&mut self, now: Duration, wait: Waiting) {
        let Waiting {
            request_id,
            locality,
            back,
            ..
        } = wait;
        if !self.is_open_order(request_id) {
            // Contact was lost meanwhile, and its caller was told to ask elsewhere.
            return;
        }
        let revision = self.register.state().revision;
        if self.register.state().evacuated.contains(&locality) != back {
            return self.decided(
                now,
                request_id,
                Decision {
                    code: ResultCode::Success,
                    revision,
                },
            );
        }
        let (id, seen) = (ChangeId::default(), Some(revision));
        self.change(
            now,
            request_id,
            Change::Evacuate {
                id,
                locality,
                back,
                seen,
            },
            None,
        );
    }

    fn deny_anonymous(&mut self, now: Duration, request_id: u64) {
        let revision = self.register.state().revision;
        self.decided(
            now,
            request_id,
            Decision {
                code: ResultCode::StaleView,
                revision,
            },
        );
    }
}
