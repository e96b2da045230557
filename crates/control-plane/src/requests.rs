//! Requests of operators and upstreams, and the responses that come later.

use crate::departures::deregistered_record;
use crate::granting::HeartbeatSender;
use crate::interface::{ControlRequest, ControlResponse, Effect};
use crate::node::ControlNode;
use protocol::{
    Heartbeats, KeyShare, Payload, SharesReply, SharesRequest, Upstream, UpstreamState,
};
use quorum_register::{Change, ChangeId, Decision};
use result_code::ResultCode;
use std::time::Duration;

impl ControlNode {
    pub(crate) fn handle_request(
        &mut self,
        now: Duration,
        request_id: u64,
        request: ControlRequest,
    ) {
        if Self::needs_contact(&request)
            && !self.is_in_contact(now)
            && !self.may_renew(now, &request)
        {
            return self.handle_request_out_of_contact(now, request_id, request);
        }
        match request {
            ControlRequest::SubmitConfiguration {
                id,
                base,
                bytes,
                in_force,
            } => self.submit_configuration(now, request_id, id, base, bytes, in_force),
            ControlRequest::Evacuate {
                id,
                locality,
                back,
                in_force,
            } => {
                self.wait_until_in_force(now, request_id, in_force);
                self.evacuate(now, request_id, id, locality, back);
            }
            ControlRequest::ChangeVoters { add, remove } => {
                self.change_voters(now, request_id, add, remove);
            }
            ControlRequest::ReadConfiguration => self.read_configuration(now, request_id),
            ControlRequest::Status => {
                let page = self.status_json(now);
                self.respond(request_id, ControlResponse::Json(page));
            }
            ControlRequest::Upstreams => {
                let page = self.upstreams_json(now);
                self.respond(request_id, ControlResponse::Json(page));
            }
            ControlRequest::Reservations => {
                let page = self.reservations_json();
                self.respond(request_id, ControlResponse::Json(page));
            }
            ControlRequest::Tombstones => {
                let page = self.tombstones_json();
                self.respond(request_id, ControlResponse::Json(page));
            }
            ControlRequest::Heartbeat(upstream) => self.handle_heartbeat(now, request_id, upstream),
            ControlRequest::Deregister { instance } => {
                let gone = self.deregister(now, instance);
                self.replicate_departure(now, request_id, gone);
            }
        }
    }

    /// What an upstream says of itself is recorded and relayed to the nodes that can be reached, but not acknowledged.
    fn handle_request_out_of_contact(
        &mut self,
        now: Duration,
        request_id: u64,
        request: ControlRequest,
    ) {
        match request {
            ControlRequest::SubmitConfiguration { bytes, .. } => {
                // An invalid configuration is invalid whichever node decides.
                if let Err(validation_errors) = (self.reader.0)(&bytes) {
                    let response = ControlResponse::Rejected {
                        code: ResultCode::InvalidConfiguration,
                        validation_errors,
                    };
                    return self.respond(request_id, response);
                }
            }
            ControlRequest::Heartbeat(upstream) => self.relay_heartbeat(now, &upstream),
            ControlRequest::Deregister { instance } => {
                let gone = self.deregister(now, instance);
                self.send_to_control_nodes(Payload::Heartbeats(Heartbeats {
                    upstreams: vec![gone],
                    nonce: 0,
                }));
            }
            _ => {}
        }
        self.reject_or_redirect(now, request_id, ResultCode::StaleView);
    }

    fn submit_configuration(
        &mut self,
        now: Duration,
        request_id: u64,
        id: ChangeId,
        base: Option<u64>,
        bytes: Vec<u8>,
        in_force: bool,
    ) {
        match (self.reader.0)(&bytes) {
            Err(validation_errors) => {
                let response = ControlResponse::Rejected {
                    code: ResultCode::InvalidConfiguration,
                    validation_errors,
                };
                self.respond(request_id, response);
            }
            Ok(configuration) => {
                self.wait_until_in_force(now, request_id, in_force);
                let change = Change::Configuration {
                    id,
                    base_revision: base,
                    version: configuration.version,
                    digest: protocol::digest(&bytes),
                };
                self.submit_change(now, request_id, change, Some(bytes));
            }
        }
    }

    fn evacuate(
        &mut self,
        now: Duration,
        request_id: u64,
        id: ChangeId,
        locality: String,
        back: bool,
    ) {
        if id.id.is_empty() {
            return self.evacuate_anonymously(now, request_id, locality, back);
        }
        let change = Change::Evacuate {
            id,
            locality,
            restore: back,
            confirmed_revision: None,
        };
        self.submit_change(now, request_id, change, None);
    }

    /// Reads the configuration in force: responds once a majority confirmed the state after the request came.
    fn read_configuration(&mut self, now: Duration, request_id: u64) {
        if self.pending.add_read(now, request_id) {
            self.run_register(now, quorum_register::Event::Confirm);
        } else {
            let response = ControlResponse::Outcome {
                code: ResultCode::TooManyPendingChanges,
                revision: 0,
            };
            self.respond(request_id, response);
        }
    }

    /// Responds to the reads whose state was confirmed since they were requested, and gives up on old ones.
    pub(crate) fn complete_reads(&mut self, now: Duration) {
        let register = &self.register;
        let done = self.pending.take_reads(now, |requested_at| {
            register.is_confirmed_since(requested_at)
        });
        for read in done {
            if self.register.is_confirmed_since(read.requested_at) {
                let response = self.configuration_response();
                self.respond(read.request_id, response);
            } else {
                self.reject_or_redirect(now, read.request_id, ResultCode::StaleView);
            }
        }
    }

    fn configuration_response(&self) -> ControlResponse {
        let revision = self.revision();
        match self.register.configuration() {
            Some(bytes) => ControlResponse::Configuration {
                revision,
                bytes: bytes.to_vec(),
            },
            None => ControlResponse::Outcome {
                code: ResultCode::NoConfiguration,
                revision,
            },
        }
    }

    /// Records that an instance is gone, known here or not.
    fn deregister(&mut self, now: Duration, instance: String) -> Upstream {
        let known = self
            .registry
            .snapshot(now)
            .into_iter()
            .find(|upstream| upstream.instance == instance);
        let gone = deregistered_record(instance, known);
        self.record_relayed_upstream(now, gone.clone());
        gone
    }

    /// Notes, where the operator wants that, that the response has to wait until the change is in force everywhere.
    fn wait_until_in_force(&mut self, now: Duration, request_id: u64, in_force: bool) {
        if in_force {
            let response = ControlResponse::Outcome {
                code: ResultCode::ChangeOutcomeUnknown,
                revision: 0,
            };
            let deadline = now + self.times.register.change_timeout * 2;
            self.pending
                .add_in_force_wait(request_id, response, deadline);
        }
    }

    /// The register decided a change: responds, at once or when the change is in force everywhere.
    pub(crate) fn handle_decision(&mut self, now: Duration, request_id: u64, decision: Decision) {
        if !self.close_change(request_id) {
            return;
        }
        let Decision { code, revision } = decision;
        let response = ControlResponse::Outcome { code, revision };
        if matches!(
            code,
            ResultCode::VersionConflict | ResultCode::ChangeForgotten
        ) {
            self.log(format!("a change was rejected: {code}"));
        }
        // By this deadline every view that was not updated has become stale.
        let deadline = now + self.times.stale_after;
        let waits = code == ResultCode::Success
            && self
                .pending
                .await_revision(request_id, &response, revision, deadline);
        if !waits {
            self.pending
                .remove_in_force_waits(|waiting| waiting == request_id);
            self.respond(request_id, response);
        }
    }

    pub(crate) fn tick_pending_requests(&mut self, now: Duration) {
        let updates = &self.updates;
        let members = &self.members;
        let done = self.pending.take_in_force(now, |revision| {
            updates.is_acknowledged_by_all(revision, members)
        });
        for ready in done {
            self.respond(ready.request_id, ready.response);
        }
        for request_id in self.pending.take_late_heartbeats(now) {
            self.respond_without_lease_holder(now, request_id);
        }
    }

    /// The holder of the placement lease did not answer. Where it is heard from, only this node's way to it is cut: the
    /// upstream finds its keys there. Else nobody grants any at present.
    fn respond_without_lease_holder(&mut self, now: Duration, request_id: u64) {
        match self.address_in_contact(now) {
            Some(to) => self.respond(request_id, ControlResponse::Redirect { to }),
            None => self.respond_to_upstream(request_id, 0, None),
        }
    }

    fn handle_heartbeat(&mut self, now: Duration, request_id: u64, upstream: Upstream) {
        self.statistics.heartbeats += 1;
        if self.needs_departure_quorum(&upstream) {
            self.record_heartbeat(now, &upstream);
            return self.replicate_departure(now, request_id, upstream);
        }
        self.relay_heartbeat(now, &upstream);
        self.respond_to_heartbeat(now, request_id, upstream);
    }

    /// Responds to a heartbeat that was recorded: with the keys that the upstream holds from now on, if it has any. The
    /// holder of the placement lease grants them; where that is another node, it is asked.
    pub(crate) fn respond_to_heartbeat(
        &mut self,
        now: Duration,
        request_id: u64,
        upstream: Upstream,
    ) {
        let lease_holder = self.placement.lease_holder.clone();
        if !self.may_be_granted_keys(&upstream)
            || lease_holder.is_empty()
            || self.pending.is_full_of_heartbeats()
        {
            return self.respond_to_upstream(request_id, 0, None);
        }
        if lease_holder == self.me.node {
            return self.grant_in_answer(now, upstream, HeartbeatSender::Upstream { request_id });
        }
        let nonce = self.random.next_u64();
        self.pending
            .add_heartbeat(now, nonce, request_id, lease_holder.clone());
        let request = SharesRequest { nonce, upstream };
        self.send(lease_holder, Payload::SharesRequest(request));
    }

    fn may_be_granted_keys(&self, upstream: &Upstream) -> bool {
        let service = self.configuration.services.get(&upstream.service);
        upstream.state() != UpstreamState::Deregistered
            && service.is_some_and(|service| service.keyed)
    }

    /// Another control node asks for the keys of an upstream that sent its heartbeat there.
    pub(crate) fn handle_shares_request(
        &mut self,
        now: Duration,
        from: String,
        request: SharesRequest,
    ) {
        self.registry.apply_heartbeat(now, request.upstream.clone());
        if self.lease.held_epoch(now).is_none() {
            return;
        }
        let sender = HeartbeatSender::ControlNode {
            node: from,
            nonce: request.nonce,
        };
        self.grant_in_answer(now, request.upstream, sender);
    }

    pub(crate) fn handle_shares_reply(&mut self, from: &str, reply: SharesReply) {
        if let Some(request_id) = self.pending.take_heartbeat(reply.nonce, from) {
            let shares = Some(reply.shares).filter(|_| reply.span_ms > 0);
            self.respond_to_upstream(request_id, reply.holder, shares);
        }
    }

    /// Without `shares` the upstream learns nothing new, and what it holds expires by itself.
    pub(crate) fn respond_to_upstream(
        &mut self,
        request_id: u64,
        lease_epoch: u64,
        shares: Option<Vec<KeyShare>>,
    ) {
        let response = ControlResponse::Heartbeat {
            holder: lease_epoch,
            shares,
            span: self.times.share_span,
        };
        self.respond(request_id, response);
    }

    pub(crate) fn respond(&mut self, request_id: u64, response: ControlResponse) {
        self.effects.push_back(Effect::Respond {
            request_id,
            response,
        });
    }

    /// Lets the register decide a change; the response follows in [`Self::handle_decision`].
    pub(crate) fn submit_change(
        &mut self,
        now: Duration,
        request_id: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    ) {
        self.open_change(request_id);
        let event = quorum_register::Event::Submit {
            request_id,
            change,
            bytes,
        };
        self.run_register(now, event);
    }
}
