//! Whether this node is in contact with a majority of the voters, and where clients are redirected while it is not.

use crate::interface::{ControlRequest, ControlResponse};
use crate::node::ControlNode;
use protocol::Payload;
use quorum_register::VoterPhase;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A confirmation that was lost on its way and one that is slow are no loss of contact.
const TOLERATED_LOST_CONFIRMATIONS: u32 = 2;
/// How long a confirmation may take, beside the interval between two.
const CONFIRMATION_TIME: Duration = Duration::from_millis(200);

/// When a node was last heard to hold the placement lease.
struct HeardHolder {
    node: String,
    heard_at: Duration,
}

/// What is known of the contact of others, and which changes wait for a decision here.
#[derive(Default)]
pub(crate) struct QuorumContact {
    /// The node that was last heard to hold the placement lease, which a majority grants.
    lease_holder: Option<HeardHolder>,
    /// When each voter last answered this node.
    answered_at: BTreeMap<String, Duration>,
    /// Requests whose changes the register has to decide.
    open_changes: BTreeSet<u64>,
}

impl ControlNode {
    /// How long after the last confirmation this node still counts as in contact with a majority. It confirms
    /// nothing that was requested meanwhile: changes, reads and departures are acknowledged by a majority of their own.
    fn contact_duration(&self) -> Duration {
        self.times.register.confirm_interval * TOLERATED_LOST_CONFIRMATIONS + CONFIRMATION_TIME
    }

    /// True while a majority answered what this node asked a moment ago.
    pub(crate) fn is_in_contact(&self, now: Duration) -> bool {
        self.register
            .confirmation_age(now)
            .is_some_and(|age| age < self.contact_duration())
    }

    /// True where a majority confirms what this node asks as often as it asks. Otherwise contact may just be lost.
    pub(crate) fn is_confirmed_promptly(&self, now: Duration) -> bool {
        let due_within = self.times.register.confirm_interval + CONFIRMATION_TIME;
        self.register
            .confirmation_age(now)
            .is_some_and(|age| age < due_within)
    }

    /// True where the response would vouch for something, so that it needs contact with a majority.
    pub(crate) fn needs_contact(request: &ControlRequest) -> bool {
        !matches!(request, ControlRequest::Status)
    }

    /// True for a heartbeat that changes nothing, where the holder of the placement lease is in contact: it knows what
    /// upstreams hold and extends it, also where no majority is there to decide changes.
    pub(crate) fn may_renew(&self, now: Duration, request: &ControlRequest) -> bool {
        matches!(request, ControlRequest::Heartbeat(upstream) if !self.needs_departure_quorum(upstream))
            && self.is_in_contact_with_lease_holder(now)
    }

    /// True where this node holds the placement lease, or hears from its holder and is answered by it.
    fn is_in_contact_with_lease_holder(&self, now: Duration) -> bool {
        if self.lease.held_epoch(now).is_some() {
            return true;
        }
        let is_recent = |at: Duration| now < at + self.contact_duration();
        self.contact.lease_holder.as_ref().is_some_and(|holder| {
            let answered_at = self.contact.answered_at.get(&holder.node);
            is_recent(holder.heard_at) && answered_at.is_some_and(|at| is_recent(*at))
        })
    }

    /// The response of a node that may not vouch for anything: nothing was done, and another node may be asked.
    pub(crate) fn reject_or_redirect(&mut self, now: Duration, request_id: u64, code: ResultCode) {
        let revision = self.register.state().revision;
        let response = match self.address_in_contact(now) {
            Some(to) => ControlResponse::Redirect { to },
            None => ControlResponse::Outcome { code, revision },
        };
        self.respond(request_id, response);
    }

    /// Records that a voter answered this node.
    pub(crate) fn record_voter_response(&mut self, now: Duration, from: &str) {
        if self.register.voter_set().contains(from) {
            self.contact.answered_at.insert(from.to_owned(), now);
        }
    }

    /// True while this voter may start a round: enough others answer it. One that is heard but hears nobody would get
    /// promises that it never learns of, and every one of them ends the round of a voter that could finish its own.
    pub(crate) fn may_start_round(&self, now: Duration) -> bool {
        let answers = |voter: &str| {
            let answered_at = self.contact.answered_at.get(voter);
            voter == self.me.node
                || answered_at.is_some_and(|at| now < *at + self.contact_duration())
        };
        *self.register.phase() != VoterPhase::Active || self.register.voter_set().is_quorum(answers)
    }

    /// Records who is heard to hold the placement lease: renewing it, or publishing a placement under it.
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
            self.contact.lease_holder = Some(HeardHolder {
                node: from.to_owned(),
                heard_at: now,
            });
        }
    }

    /// Where another node that was lately in contact serves clients.
    pub(crate) fn address_in_contact(&self, now: Duration) -> Option<String> {
        let HeardHolder { node, heard_at } = self.contact.lease_holder.as_ref()?;
        if *node == self.me.node || now >= *heard_at + self.contact_duration() {
            return None;
        }
        let member = self.members.iter().find(|member| member.node == *node)?;
        Some(member.http_address.clone()).filter(|address| !address.is_empty())
    }

    /// Records that a change waits for the register's decision.
    pub(crate) fn open_change(&mut self, request_id: u64) {
        self.contact.open_changes.insert(request_id);
    }

    /// True where the client of a change still waits for the response.
    pub(crate) fn is_open_change(&self, request_id: u64) -> bool {
        self.contact.open_changes.contains(&request_id)
    }

    /// The change is responded to now; false where it was before.
    pub(crate) fn close_change(&mut self, request_id: u64) -> bool {
        self.contact.open_changes.remove(&request_id)
    }

    /// Contact was lost while changes were under way: their clients hear that the outcome is unknown, and ask another node.
    pub(crate) fn tick_quorum_contact(&mut self, now: Duration) {
        if self.contact.open_changes.is_empty() || self.is_in_contact(now) {
            return;
        }
        let revision = self.register.state().revision;
        let waiting = std::mem::take(&mut self.contact.open_changes);
        self.pending
            .remove_in_force_waits(|request_id| waiting.contains(&request_id));
        for request_id in waiting {
            let response = ControlResponse::Outcome {
                code: ResultCode::ChangeOutcomeUnknown,
                revision,
            };
            self.respond(request_id, response);
        }
    }
}
