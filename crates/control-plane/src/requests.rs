//! What operators and upstreams ask.

use crate::departures::deregistered_record;
use crate::node::{
    ControlNode, ControlRequest, ControlResponse, Effect, HeartbeatWait, InForceWait, ReadWait,
};
use config::JsonValue;
use protocol::{Heartbeats, Payload, SharesReply, SharesRequest, Upstream};
use quorum_register::{Change, Decision, VoterPhase};
use result_code::ResultCode;
use std::time::Duration;

const MAX_HEARTBEAT_WAITS: usize = 4096;
const MAX_READ_WAITS: usize = 256;
/// A caller waits for a second and goes on to another node.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

impl ControlNode {
    pub(crate) fn handle_request(
        &mut self,
        now: Duration,
        request_id: u64,
        request: ControlRequest,
    ) {
        if Self::needs_contact(&request) && !self.is_in_contact(now) {
            return self.handle_request_out_of_contact(now, request_id, request);
        }
        match request {
            ControlRequest::SubmitConfiguration {
                id,
                base,
                bytes,
                in_force,
            } => match (self.reader.0)(&bytes) {
                Err(validation_errors) => self.respond(
                    request_id,
                    ControlResponse::Rejected {
                        code: ResultCode::InvalidConfiguration,
                        validation_errors,
                    },
                ),
                Ok(configuration) => {
                    let number = configuration.version;
                    let digest = protocol::digest(&bytes);
                    self.wait_until_in_force(now, request_id, in_force);
                    self.submit_change(
                        now,
                        request_id,
                        Change::Configuration {
                            id,
                            base_revision: base,
                            version: number,
                            digest,
                        },
                        Some(bytes),
                    );
                }
            },
            ControlRequest::Evacuate {
                id,
                locality,
                back,
                in_force,
            } => {
                self.wait_until_in_force(now, request_id, in_force);
                if id.id.is_empty() {
                    self.evacuate_anonymously(now, request_id, locality, back);
                } else {
                    self.submit_change(
                        now,
                        request_id,
                        Change::Evacuate {
                            id,
                            locality,
                            restore: back,
                            confirmed_revision: None,
                        },
                        None,
                    );
                }
            }
            ControlRequest::ChangeVoters { add, remove } => {
                self.change_voters(now, request_id, add, remove)
            }
            ControlRequest::ReadConfiguration => {
                if self.read_waits.len() < MAX_READ_WAITS {
                    self.read_waits.push(ReadWait {
                        request_id,
                        asked_at: now,
                    });
                    self.run_register(now, quorum_register::Event::Confirm);
                } else {
                    self.respond(
                        request_id,
                        ControlResponse::Outcome {
                            code: ResultCode::TooManyPendingChanges,
                            revision: 0,
                        },
                    );
                }
            }
            ControlRequest::Status => {
                let json = self.status_json(now);
                self.respond(request_id, ControlResponse::Json(json));
            }
            ControlRequest::Upstreams => {
                let json = self
                    .registry
                    .snapshot(now)
                    .iter()
                    .map(upstream_json)
                    .collect();
                self.respond(request_id, ControlResponse::Json(json));
            }
            ControlRequest::Reservations => {
                let json = self.placement.reservations.iter().map(|owned| {
                    JsonValue::object([
                        ("name", owned.name.as_str().into()),
                        ("locality", owned.locality.as_str().into()),
                        ("epoch", owned.epoch.into()),
                        ("ageMs", owned.age_ms.into()),
                    ])
                });
                let json = json.collect();
                self.respond(request_id, ControlResponse::Json(json));
            }
            ControlRequest::Tombstones => {
                let json = self.placement.tombstones.iter().map(|mark| {
                    JsonValue::object([
                        ("name", mark.name.as_str().into()),
                        ("from", mark.from.as_str().into()),
                        ("to", mark.to.as_str().into()),
                        ("epoch", mark.epoch.into()),
                    ])
                });
                let json = json.collect();
                self.respond(request_id, ControlResponse::Json(json));
            }
            ControlRequest::Heartbeat(upstream) => self.handle_heartbeat(now, request_id, upstream),
            ControlRequest::Deregister { instance } => {
                let gone = self.deregister(now, instance);
                self.replicate_departure(now, request_id, gone);
            }
        }
    }

    /// What an upstream says of itself is good to know, and to tell whom this node reaches. It is no acknowledgement.
    fn handle_request_out_of_contact(
        &mut self,
        now: Duration,
        request_id: u64,
        request: ControlRequest,
    ) {
        match request {
            ControlRequest::SubmitConfiguration { bytes, .. } => {
                // What is wrong with it is wrong whoever decides.
                if let Err(validation_errors) = (self.reader.0)(&bytes) {
                    return self.respond(
                        request_id,
                        ControlResponse::Rejected {
                            code: ResultCode::InvalidConfiguration,
                            validation_errors,
                        },
                    );
                }
            }
            ControlRequest::Heartbeat(upstream) => self.relay_heartbeat(now, &upstream),
            ControlRequest::Deregister { instance } => {
                let gone = self.deregister(now, instance);
                let (upstreams, nonce) = (vec![gone], 0);
                self.send_to_control_nodes(Payload::Heartbeats(Heartbeats { upstreams, nonce }));
            }
            _ => {}
        }
        self.reject_or_redirect(now, request_id, ResultCode::StaleView);
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

    /// Answers the read-backs whose state was confirmed since they were asked, and gives up on old ones.
    pub(crate) fn complete_reads(&mut self, now: Duration) {
        let late = |wait: &ReadWait| now >= wait.asked_at + READ_TIMEOUT;
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.read_waits)
            .into_iter()
            .partition(|wait| self.register.is_confirmed_since(wait.asked_at) || late(wait));
        self.read_waits = waiting;
        done.into_iter().for_each(|wait| {
            let revision = self.register.state().revision;
            let confirmed = self.register.is_confirmed_since(wait.asked_at);
            let response = match self.register.configuration() {
                _ if !confirmed => {
                    return self.reject_or_redirect(now, wait.request_id, ResultCode::StaleView);
                }
                None => ControlResponse::Outcome {
                    code: ResultCode::NoConfiguration,
                    revision,
                },
                Some(bytes) => ControlResponse::Configuration {
                    revision,
                    bytes: bytes.to_vec(),
                },
            };
            self.respond(wait.request_id, response);
        });
    }

    pub(crate) fn respond(&mut self, request_id: u64, response: ControlResponse) {
        self.effects.push_back(Effect::Respond {
            request_id,
            response,
        });
    }

    /// The operator wants to hear only once the change is in force everywhere that still serves.
    fn wait_until_in_force(&mut self, now: Duration, request_id: u64, in_force: bool) {
        if in_force {
            let response = ControlResponse::Outcome {
                code: ResultCode::ChangeOutcomeUnknown,
                revision: 0,
            };
            let until = now + self.times.register.change_timeout * 2;
            self.in_force_waits.push(InForceWait {
                request_id,
                response,
                revision: u64::MAX,
                until,
            });
        }
    }

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
            self.effects
                .push_back(Effect::Log(format!("a change was rejected: {code}")));
        }
        let waiting = self
            .in_force_waits
            .iter_mut()
            .find(|waiting| waiting.request_id == request_id && code == ResultCode::Success);
        match waiting {
            Some(waiting) => {
                // Every view that was not told has aged out by then.
                *waiting = InForceWait {
                    request_id,
                    response,
                    revision,
                    until: now + self.times.stale_after,
                };
            }
            None => {
                self.in_force_waits
                    .retain(|waiting| waiting.request_id != request_id);
                self.respond(request_id, response);
            }
        }
    }

    pub(crate) fn tick_pending_requests(&mut self, now: Duration) {
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_force_waits)
            .into_iter()
            .partition(|waiting| {
                now >= waiting.until || self.is_acknowledged_by_all(waiting.revision)
            });
        self.in_force_waits = waiting;
        done.into_iter()
            .for_each(|done| self.respond(done.request_id, done.response));
        let late: Vec<u64> = self
            .heartbeat_waits
            .iter()
            .filter(|(_, wait)| now >= wait.until)
            .map(|(nonce, _)| *nonce)
            .collect();
        late.into_iter().for_each(|nonce| {
            let wait = self.heartbeat_waits.remove(&nonce);
            wait.into_iter()
                .for_each(|wait| self.respond_without_lease_holder(now, wait.request_id));
        });
    }

    /// The holder of the placement did not answer. Where it is heard, it is this node's way to it that is cut: the
    /// upstream finds its keys there. Else nobody gives any at present.
    fn respond_without_lease_holder(&mut self, now: Duration, request_id: u64) {
        match self.address_in_contact(now) {
            Some(to) => self.respond(request_id, ControlResponse::Redirect { to }),
            None => self.send_heartbeat_response(request_id, 0, None),
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

    /// The answer to a beat that was taken in: with the keys that the upstream holds from now on, where it has any.
    pub(crate) fn respond_to_heartbeat(
        &mut self,
        now: Duration,
        request_id: u64,
        upstream: Upstream,
    ) {
        let may_hold = upstream.state() != protocol::UpstreamState::Deregistered;
        let keyed = may_hold
            && self
                .configuration
                .services
                .get(&upstream.service)
                .is_some_and(|service| service.keyed);
        if !keyed
            || self.placement_holder.is_empty()
            || self.heartbeat_waits.len() >= MAX_HEARTBEAT_WAITS
        {
            return self.send_heartbeat_response(request_id, 0, None);
        }
        if self.placement_holder == self.me.node {
            let given = self.grant_key_shares(now, &upstream);
            return self.send_heartbeat_response(request_id, self.placement_epoch, given);
        }
        let nonce = self.random.next_u64();
        let to = self.placement_holder.clone();
        self.heartbeat_waits.insert(
            nonce,
            HeartbeatWait {
                request_id,
                asked: to.clone(),
                until: now + HEARTBEAT_TIMEOUT,
            },
        );
        self.effects.push_back(Effect::Send {
            to,
            body: Payload::SharesRequest(SharesRequest { nonce, upstream }),
        });
    }

    pub(crate) fn handle_shares_request(
        &mut self,
        now: Duration,
        from: String,
        request: SharesRequest,
    ) {
        self.registry.apply_heartbeat(now, request.upstream.clone());
        let Some(epoch) = self.lease.held_epoch(now) else {
            return;
        };
        let shares = self.grant_key_shares(now, &request.upstream);
        let span_ms = shares
            .as_ref()
            .map(|_| self.times.share_span.as_millis() as u64)
            .unwrap_or(0);
        let given = SharesReply {
            nonce: request.nonce,
            shares: shares.unwrap_or_default(),
            span_ms,
            holder: epoch,
        };
        self.effects.push_back(Effect::Send {
            to: from,
            body: Payload::SharesReply(given),
        });
    }

    pub(crate) fn handle_shares_reply(&mut self, from: &str, given: SharesReply) {
        if self
            .heartbeat_waits
            .get(&given.nonce)
            .is_none_or(|wait| wait.asked != from)
        {
            return;
        }
        let wait = self.heartbeat_waits.remove(&given.nonce);
        let shares = Some(given.shares).filter(|_| given.span_ms > 0);
        wait.into_iter().for_each(|wait| {
            self.send_heartbeat_response(wait.request_id, given.holder, shares.clone())
        });
    }

    /// Without `shares` the upstream learns nothing new, and what it holds runs out by itself.
    fn send_heartbeat_response(
        &mut self,
        request_id: u64,
        holder: u64,
        shares: Option<Vec<protocol::KeyShare>>,
    ) {
        self.respond(
            request_id,
            ControlResponse::Heartbeat {
                holder,
                shares,
                span: self.times.share_span,
            },
        );
    }

    fn status_json(&self, now: Duration) -> JsonValue {
        let phase = match self.register.phase() {
            VoterPhase::Blank { .. } => "blank",
            VoterPhase::Bootstrapping { .. } => "founding",
            VoterPhase::Recovering(_) => "mending",
            VoterPhase::Active if self.register.is_voter() => "voting",
            VoterPhase::Active => "following",
            VoterPhase::Failed => "out",
        };
        let members = self.members.iter().map(|member| {
            JsonValue::object([
                ("node", member.node.as_str().into()),
                ("roles", member.roles.as_str().into()),
                ("locality", member.locality.as_str().into()),
                ("http", member.http_address.as_str().into()),
                (
                    "condition",
                    if member.state() == protocol::MemberState::Alive {
                        "alive"
                    } else {
                        "suspect"
                    }
                    .into(),
                ),
            ])
        });
        let update_streams = self.update_streams.iter().map(|(node, reader)| {
            JsonValue::object([
                ("node", node.as_str().into()),
                ("edition", reader.revision.into()),
            ])
        });
        let state = self.register.state();
        JsonValue::object([
            ("node", self.me.node.as_str().into()),
            ("standing", phase.into()),
            (
                "disk",
                if self.disk_failing {
                    "failing"
                } else {
                    "works"
                }
                .into(),
            ),
            (
                "setupMissing",
                self.register.is_missing_accepted_configuration().into(),
            ),
            ("edition", state.revision.into()),
            ("digest", state.digest.as_str().into()),
            ("decided", state.decided.into()),
            (
                "evacuated",
                state
                    .evacuated
                    .iter()
                    .map(|place| JsonValue::from(place.as_str()))
                    .collect(),
            ),
            ("current", self.is_current(now).into()),
            (
                "ageMs",
                self.register
                    .confirmation_age(now)
                    .map(|age| (age.as_millis() as u64).into())
                    .unwrap_or(JsonValue::Null),
            ),
            (
                "roster",
                self.register
                    .voter_set()
                    .members()
                    .map(|voter| JsonValue::from(voter.as_str()))
                    .collect(),
            ),
            ("voters", self.voters_json(now)),
            ("placement", self.placement_holder.as_str().into()),
            ("placementEpoch", self.placement_epoch.into()),
            ("counts", self.counters_json()),
            ("members", members.collect()),
            ("readers", update_streams.collect()),
        ])
    }
}

impl ControlNode {
    fn counters_json(&self) -> JsonValue {
        let (register, node) = (self.register.statistics(), &self.statistics);
        JsonValue::object([
            ("rounds", register.rounds_started.into()),
            ("roundsLost", register.rounds_lost.into()),
            ("writes", register.disk_writes.into()),
            ("beats", node.heartbeats.into()),
            ("claimsHeld", node.leases_acquired.into()),
            ("placementsTold", node.placements_published.into()),
            ("namesMoved", node.names_moved.into()),
            ("images", node.snapshots.into()),
            ("changes", node.changes.into()),
        ])
    }
}

fn upstream_json(upstream: &Upstream) -> JsonValue {
    let state = match upstream.state() {
        protocol::UpstreamState::Ready => "ready",
        protocol::UpstreamState::Draining => "leaving",
        _ => "gone",
    };
    JsonValue::object([
        ("service", upstream.service.as_str().into()),
        ("instance", upstream.instance.as_str().into()),
        ("address", upstream.address.as_str().into()),
        ("locality", upstream.locality.as_str().into()),
        ("freeSlots", u64::from(upstream.free_slots).into()),
        ("warm", upstream.warm.into()),
        ("condition", state.into()),
        ("beat", upstream.beat.into()),
        ("ageMs", upstream.age_ms.into()),
    ])
}
