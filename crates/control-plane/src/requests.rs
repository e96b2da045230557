//! What operators and upstreams ask.

use crate::departures::signed_off;
use crate::node::{
    BeatWait, ControlNode, ControlRequest, ControlResponse, Effect, InForce, ReadWait,
};
use config::JsonValue;
use protocol::{Heartbeats, Payload, SharesReply, SharesRequest, Upstream};
use quorum_register::{Change, Decision, VoterPhase};
use result_code::ResultCode;
use std::time::Duration;

const MAX_BEAT_WAITS: usize = 4096;
const MAX_READ_WAITS: usize = 256;
/// A caller waits for a second and goes on to another node.
const READ_PATIENCE: Duration = Duration::from_millis(900);
const BEAT_PATIENCE: Duration = Duration::from_millis(700);

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
                    self.wait_for_force(now, request_id, in_force);
                    self.change(
                        now,
                        request_id,
                        Change::Configuration {
                            id,
                            base,
                            number,
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
                self.wait_for_force(now, request_id, in_force);
                if id.id.is_empty() {
                    self.evacuate_anonymously(now, request_id, locality, back);
                } else {
                    self.change(
                        now,
                        request_id,
                        Change::Evacuate {
                            id,
                            locality,
                            back,
                            seen: None,
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
                let json = self.status(now);
                self.respond(request_id, ControlResponse::Json(json));
            }
            ControlRequest::Upstreams => {
                let json = self
                    .registry
                    .snapshot(now)
                    .iter()
                    .map(upstream_sheet)
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
            ControlRequest::Heartbeat(upstream) => self.beat(now, request_id, upstream),
            ControlRequest::Deregister { instance } => {
                let gone = self.sign_off(now, instance);
                self.tell_departure(now, request_id, gone);
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
            ControlRequest::Heartbeat(upstream) => self.take_beat(now, &upstream),
            ControlRequest::Deregister { instance } => {
                let gone = self.sign_off(now, instance);
                let (upstreams, nonce) = (vec![gone], 0);
                self.tell_postmasters(Payload::Heartbeats(Heartbeats { upstreams, nonce }));
            }
            _ => {}
        }
        self.refuse(now, request_id, ResultCode::StaleView);
    }

    /// Records that an instance is gone, known here or not.
    fn sign_off(&mut self, now: Duration, instance: String) -> Upstream {
        let known = self
            .registry
            .snapshot(now)
            .into_iter()
            .find(|upstream| upstream.instance == instance);
        let gone = signed_off(instance, known);
        self.take_told(now, gone.clone());
        gone
    }

    /// Answers the read-backs whose state was confirmed since they were asked, and gives up on old ones.
    pub(crate) fn answer_reads(&mut self, now: Duration) {
        let late = |wait: &ReadWait| now >= wait.asked_at + READ_PATIENCE;
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.read_waits)
            .into_iter()
            .partition(|wait| self.register.is_confirmed_since(wait.asked_at) || late(wait));
        self.read_waits = waiting;
        done.into_iter().for_each(|wait| {
            let revision = self.register.state().revision;
            let confirmed = self.register.is_confirmed_since(wait.asked_at);
            let response = match self.register.configuration() {
                _ if !confirmed => return self.refuse(now, wait.request_id, ResultCode::StaleView),
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
    fn wait_for_force(&mut self, now: Duration, request_id: u64, in_force: bool) {
        if in_force {
            let response = ControlResponse::Outcome {
                code: ResultCode::ChangeOutcomeUnknown,
                revision: 0,
            };
            let until = now + self.times.register.change_timeout * 2;
            self.waiting_force.push(InForce {
                request_id,
                response,
                revision: u64::MAX,
                until,
            });
        }
    }

    pub(crate) fn decided(&mut self, now: Duration, request_id: u64, decision: Decision) {
        if !self.close_order(request_id) {
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
            .waiting_force
            .iter_mut()
            .find(|waiting| waiting.request_id == request_id && code == ResultCode::Success);
        match waiting {
            Some(waiting) => {
                // Every view that was not told has aged out by then.
                *waiting = InForce {
                    request_id,
                    response,
                    revision,
                    until: now + self.times.stale_after,
                };
            }
            None => {
                self.waiting_force
                    .retain(|waiting| waiting.request_id != request_id);
                self.respond(request_id, response);
            }
        }
    }

    pub(crate) fn tick_waits(&mut self, now: Duration) {
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting_force)
            .into_iter()
            .partition(|waiting| now >= waiting.until || self.all_kept(waiting.revision));
        self.waiting_force = waiting;
        done.into_iter()
            .for_each(|done| self.respond(done.request_id, done.response));
        let late: Vec<u64> = self
            .beat_waits
            .iter()
            .filter(|(_, wait)| now >= wait.until)
            .map(|(nonce, _)| *nonce)
            .collect();
        late.into_iter().for_each(|nonce| {
            let wait = self.beat_waits.remove(&nonce);
            wait.into_iter()
                .for_each(|wait| self.answer_without_holder(now, wait.request_id));
        });
    }

    /// The holder of the placement did not answer. Where it is heard, it is this node's way to it that is cut: the
    /// upstream finds its keys there. Else nobody gives any at present.
    fn answer_without_holder(&mut self, now: Duration, request_id: u64) {
        match self.address_in_contact(now) {
            Some(to) => self.respond(request_id, ControlResponse::Redirect { to }),
            None => self.answer_beat(request_id, 0, None),
        }
    }

    fn beat(&mut self, now: Duration, request_id: u64, upstream: Upstream) {
        self.counts.beats += 1;
        if self.is_unknown_departure(&upstream) {
            self.record_beat(now, &upstream);
            return self.tell_departure(now, request_id, upstream);
        }
        self.take_beat(now, &upstream);
        self.answer_taken_beat(now, request_id, upstream);
    }

    /// The answer to a beat that was taken in: with the keys that the upstream holds from now on, where it has any.
    pub(crate) fn answer_taken_beat(&mut self, now: Duration, request_id: u64, upstream: Upstream) {
        let may_hold = upstream.condition != upstream_registry::DEREGISTERED;
        let keyed = may_hold
            && self
                .configuration
                .services
                .get(&upstream.service)
                .is_some_and(|service| service.keyed);
        if !keyed || self.placed_by.is_empty() || self.beat_waits.len() >= MAX_BEAT_WAITS {
            return self.answer_beat(request_id, 0, None);
        }
        if self.placed_by == self.me.node {
            let given = self.give_shares(now, &upstream);
            return self.answer_beat(request_id, self.held_epoch, given);
        }
        let nonce = self.random.next_u64();
        let to = self.placed_by.clone();
        self.beat_waits.insert(
            nonce,
            BeatWait {
                request_id,
                asked: to.clone(),
                until: now + BEAT_PATIENCE,
            },
        );
        self.effects.push_back(Effect::Send {
            to,
            body: Payload::SharesRequest(SharesRequest { nonce, upstream }),
        });
    }

    pub(crate) fn shares_asked(&mut self, now: Duration, from: String, request: SharesRequest) {
        self.registry.apply_heartbeat(now, request.upstream.clone());
        let Some(epoch) = self.lease.held_epoch(now) else {
            return;
        };
        let shares = self.give_shares(now, &request.upstream);
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

    pub(crate) fn shares_given(&mut self, from: &str, given: SharesReply) {
        if self
            .beat_waits
            .get(&given.nonce)
            .is_none_or(|wait| wait.asked != from)
        {
            return;
        }
        let wait = self.beat_waits.remove(&given.nonce);
        let shares = Some(given.shares).filter(|_| given.span_ms > 0);
        wait.into_iter()
            .for_each(|wait| self.answer_beat(wait.request_id, given.holder, shares.clone()));
    }

    /// Without `shares` the upstream learns nothing new, and what it holds runs out by itself.
    fn answer_beat(
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

    fn status(&self, now: Duration) -> JsonValue {
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
                    if member.condition == membership::ALIVE {
                        "alive"
                    } else {
                        "suspect"
                    }
                    .into(),
                ),
            ])
        });
        let readers = self.readers.iter().map(|(node, reader)| {
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
                if self.disk_fails { "failing" } else { "works" }.into(),
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
                    .age(now)
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
            ("voters", self.show_voters(now)),
            ("placement", self.placed_by.as_str().into()),
            ("placementEpoch", self.held_epoch.into()),
            ("counts", self.show_counts()),
            ("members", members.collect()),
            ("readers", readers.collect()),
        ])
    }
}

impl ControlNode {
    fn show_counts(&self) -> JsonValue {
        let (statistics, counts) = (self.register.statistics(), &self.counts);
        JsonValue::object([
            ("rounds", statistics.rounds_started.into()),
            ("roundsLost", statistics.rounds_lost.into()),
            ("writes", statistics.disk_writes.into()),
            ("beats", counts.beats.into()),
            ("claimsHeld", counts.leases_held.into()),
            ("placementsTold", counts.placements_told.into()),
            ("namesMoved", counts.names_moved.into()),
            ("images", counts.images.into()),
            ("changes", counts.changes.into()),
        ])
    }
}

fn upstream_sheet(upstream: &Upstream) -> JsonValue {
    let condition = match upstream.condition {
        upstream_registry::READY => "ready",
        upstream_registry::DRAINING => "leaving",
        _ => "gone",
    };
    JsonValue::object([
        ("service", upstream.service.as_str().into()),
        ("instance", upstream.instance.as_str().into()),
        ("address", upstream.address.as_str().into()),
        ("locality", upstream.locality.as_str().into()),
        ("freeSlots", u64::from(upstream.free_slots).into()),
        ("warm", upstream.warm.into()),
        ("condition", condition.into()),
        ("beat", upstream.beat.into()),
        ("ageMs", upstream.age_ms.into()),
    ])
}
