//! Whether this node is in contact with a majority of the voters, and where callers are sent while it is not.

use crate::interface::{ControlRequest, ControlResponse, Effect};
use crate::node::ControlNode;
use protocol::Payload;
use quorum_register::VoterPhase;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A confirmation that was lost on its way and one that is slow are no loss of contact.
const TOLERATED_LOST_CONFIRMATIONS: u32 = 2;
/// What a confirmation may take beside the pause between two.
const CONFIRMATION_TIME: Duration = Duration::from_millis(200);

/// What is known of the contact of others, and which orders wait for a decision here.
#[derive(Default)]
pub(crate) struct QuorumContact {
    /// The node that was last heard to hold the placement lease, which a majority grants, and when.
    holder: Option<(String, Duration)>,
    /// When each voter last answered a question of this node.
    answered: BTreeMap<String, Duration>,
    /// Tokens of the orders that the register decides.
    orders: BTreeSet<u64>,
}

impl ControlNode {
    /// How long after the last confirmation this node still counts as in contact with a majority. No confirmation of
    /// what was asked meanwhile: an order, a reading or a leaving is acknowledged by a majority of its own.
    fn contact_duration(&self) -> Duration {
        self.times.register.confirm_interval * TOLERATED_LOST_CONFIRMATIONS + CONFIRMATION_TIME
    }

    /// True while a majority answered a question of this node that it asked a moment ago.
    pub(crate) fn is_in_contact(&self, now: Duration) -> bool {
        self.register
            .confirmation_age(now)
            .is_some_and(|age| age < self.contact_duration())
    }

    /// True where the answer would vouch for something, so that it needs contact with a majority.
    pub(crate) fn needs_contact(request: &ControlRequest) -> bool {
        !matches!(request, ControlRequest::Status)
    }

    /// The answer of a node that may not vouch for anything: nothing was done, and another node may be asked.
    pub(crate) fn reject_or_redirect(&mut self, now: Duration, request_id: u64, code: ResultCode) {
        let revision = self.register.state().revision;
        let response = match self.address_in_contact(now) {
            Some(to) => ControlResponse::Redirect { to },
            None => ControlResponse::Outcome { code, revision },
        };
        self.respond(request_id, response);
    }

    /// Notes that a voter answered a question of this node.
    pub(crate) fn record_voter_response(&mut self, now: Duration, from: &str) {
        if self.register.voter_set().contains(from) {
            self.contact.answered.insert(from.to_owned(), now);
        }
    }

    /// True while this voter may begin a round: enough others answer it. One that speaks but hears nobody would get
    /// promises that it never learns of, and every one of them ends the round of a voter that could finish its own.
    pub(crate) fn may_start_round(&self, now: Duration) -> bool {
        let answers = |voter: &str| {
            let answered_at = self.contact.answered.get(voter);
            voter == self.me.node
                || answered_at.is_some_and(|at| now < *at + self.contact_duration())
        };
        *self.register.phase() != VoterPhase::Active || self.register.voter_set().is_quorum(answers)
    }

    /// Notes who is heard to hold the placement lease: renewing it, or telling a placement under it.
    pub(crate) fn observe_lease_holder(&mut self, now: Duration, from: &str, body: &Payload) {
        let holds = match body {
            Payload::LeaseRequest(request) => request.renewal,
            Payload::LeaseHolder(holder) => holder.epoch >= self.placement.lease_epoch,
            Payload::Placement(placement) => {
                placement.epoch >= self.placement.lease_epoch && from == self.placement.lease_holder
            }
            _ => false,
        };
        if holds {
            self.contact.holder = Some((from.to_owned(), now));
        }
    }

    /// Where another node that was lately in contact answers callers.
    pub(crate) fn address_in_contact(&self, now: Duration) -> Option<String> {
        let (node, heard_at) = self.contact.holder.as_ref()?;
        if *node == self.me.node || now >= *heard_at + self.contact_duration() {
            return None;
        }
        let member = self.members.iter().find(|member| member.node == *node);
        member
            .map(|member| member.http_address.clone())
            .filter(|address| !address.is_empty())
    }

    /// Notes that an order waits for the register's decision.
    pub(crate) fn open_change(&mut self, request_id: u64) {
        self.contact.orders.insert(request_id);
    }

    /// True where the caller of an order still waits to hear of it.
    pub(crate) fn is_open_change(&self, request_id: u64) -> bool {
        self.contact.orders.contains(&request_id)
    }

    /// The order is answered now; false where it was before.
    pub(crate) fn close_change(&mut self, request_id: u64) -> bool {
        self.contact.orders.remove(&request_id)
    }

    /// Contact was lost while orders were under way: their callers hear that nobody can tell, and ask another node.
    pub(crate) fn tick_quorum_contact(&mut self, now: Duration) {
        if self.contact.orders.is_empty() || self.is_in_contact(now) {
            return;
        }
        let revision = self.register.state().revision;
        let waiting = std::mem::take(&mut self.contact.orders);
        self.pending
            .remove_in_force_waits(|request_id| waiting.contains(&request_id));
        waiting.into_iter().for_each(|request_id| {
            let response = ControlResponse::Outcome {
                code: ResultCode::ChangeOutcomeUnknown,
                revision,
            };
            self.effects.push_back(Effect::Respond {
                request_id,
                response,
            });
        });
    }
}
