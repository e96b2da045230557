//! Upstreams that leave or are gone: acknowledged once a majority of the voters knows, also after a restart.
//!
//! Every node that is confirmed by a majority asks it for the departures that it lacks along with the confirmation. Two
//! majorities share a voter; so whoever is confirmed by a question asked after the acknowledgement knows of it, and so
//! do the carriers that follow it.

use crate::heartbeat_relay::DIGEST_INTERVAL;
use crate::interface::Effect;
use crate::node::{CONTROL_NODE_ROLE, ControlNode};
use protocol::{
    Departure, DeparturesRead, DeparturesReadBack, Heartbeats, HeartbeatsAck, Payload, Read,
    ReadBack, Upstream,
};
use random::stable_hash_parts;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an acknowledgement may take: within the second that callers wait for one.
const ACK_TIMEOUT: Duration = Duration::from_millis(700);
/// How often the nodes that did not answer are told again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Most departures that wait for their acknowledgement, and most answers that wait for the disk.
const MAX_PENDING: usize = 4096;
/// How long it is remembered that a majority knows, and of how many at most.
const KNOWN_DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);
const MAX_KNOWN_DEPARTURES: usize = 20_000;

/// A departure whose caller waits until a majority knows.
struct PendingDeparture {
    request_id: u64,
    upstream: Upstream,
    acknowledged_by: BTreeSet<String>,
    until: Duration,
    next_send_at: Duration,
}

/// What waits until the departures taken in here outlive this process.
enum AfterPersist {
    /// The acknowledgement to the control node that told of one.
    Ack { to: String, nonce: u64 },
    /// A departure that was told here counts this node among those that took it in.
    Own { nonce: u64 },
}

/// Departures on their way to a majority, and those that it knows.
#[derive(Default)]
pub(crate) struct Departures {
    waiting: BTreeMap<u64, PendingDeparture>,
    /// Condition, and when a majority was found to know, by service and instance.
    known: BTreeMap<(String, String), (protocol::UpstreamState, Duration)>,
    /// The digest that came with the question being answered.
    requested_digest: u64,
    /// The last write of departures, and what waits for it; nothing where it is done.
    write_id: u64,
    in_flight: Vec<AfterPersist>,
    /// What waits for the write after it.
    queued: Vec<AfterPersist>,
}

/// Stands for a set of departures, in whatever order.
fn digest(departures: &[Departure]) -> u64 {
    let one = |departure: &Departure| {
        let state = departure.state.to_string();
        stable_hash_parts([
            departure.service.as_str(),
            "/",
            &departure.instance,
            "/",
            &state,
        ])
    };
    departures
        .iter()
        .fold(0, |digest, departure| digest ^ one(departure))
}

impl ControlNode {
    /// True where the caller has to wait until a majority knows of it.
    pub(crate) fn needs_departure_quorum(&self, upstream: &Upstream) -> bool {
        let id = (upstream.service.clone(), upstream.instance.clone());
        let known = self
            .departures
            .known
            .get(&id)
            .is_some_and(|(state, _)| *state >= upstream.state());
        upstream.state() != protocol::UpstreamState::Ready && !known
    }

    /// Tells every control node of a departure, and the caller once a majority of the voters knows.
    pub(crate) fn replicate_departure(
        &mut self,
        now: Duration,
        request_id: u64,
        upstream: Upstream,
    ) {
        if self.departures.waiting.len() >= MAX_PENDING {
            return self.reject_or_redirect(now, request_id, ResultCode::StaleView);
        }
        let nonce = self.random.next_u64().max(1);
        let wait = PendingDeparture {
            request_id,
            upstream,
            acknowledged_by: BTreeSet::new(),
            until: now + ACK_TIMEOUT,
            next_send_at: now,
        };
        self.departures.waiting.insert(nonce, wait);
        self.persist_departures(now, AfterPersist::Own { nonce });
        self.send_departure(now, nonce);
    }

    /// Writes the departures known here; one write at a time takes all that came meanwhile.
    fn persist_departures(&mut self, now: Duration, then: AfterPersist) {
        if self.departures.queued.len() < MAX_PENDING {
            self.departures.queued.push(then);
        }
        self.start_departure_write(now);
    }

    fn start_departure_write(&mut self, now: Duration) {
        if !self.departures.in_flight.is_empty() || self.departures.queued.is_empty() {
            return;
        }
        self.departures.in_flight = std::mem::take(&mut self.departures.queued);
        self.departures.write_id += 1;
        let (write_id, departures) = (self.departures.write_id, self.recent_departures(now));
        self.effects.push_back(Effect::PersistDepartures {
            write_id,
            departures,
        });
    }

    /// What was known of departures when this write began is known in the next life of this process too.
    pub(crate) fn handle_departures_persisted(&mut self, now: Duration, write_id: u64) {
        if write_id != self.departures.write_id {
            return;
        }
        std::mem::take(&mut self.departures.in_flight)
            .into_iter()
            .for_each(|then| match then {
                AfterPersist::Ack { to, nonce } => {
                    let body = Payload::HeartbeatsAck(HeartbeatsAck { nonce });
                    self.effects.push_back(Effect::Send { to, body });
                }
                AfterPersist::Own { nonce } => {
                    self.handle_heartbeats_ack(now, self.me.node.clone(), HeartbeatsAck { nonce })
                }
            });
        self.start_departure_write(now);
    }

    /// Tells those that did not answer yet.
    fn send_departure(&mut self, now: Duration, nonce: u64) {
        let Some(wait) = self.departures.waiting.get_mut(&nonce) else {
            return;
        };
        wait.next_send_at = now + RESEND_INTERVAL;
        let upstream = Upstream {
            holds: Vec::new(),
            released: Vec::new(),
            ..wait.upstream.clone()
        };
        let body = Payload::Heartbeats(Heartbeats {
            upstreams: vec![upstream],
            nonce,
        });
        let voter_set = self.register.voter_set().clone();
        let voters = voter_set.members();
        let members = self
            .members
            .iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE)
            .map(|member| &member.node);
        let all: BTreeSet<&String> = voters.chain(members).collect();
        let others = all
            .into_iter()
            .filter(|node| **node != self.me.node && !wait.acknowledged_by.contains(*node));
        let sends = others.map(|node| Effect::Send {
            to: node.clone(),
            body: body.clone(),
        });
        self.effects.extend(sends.collect::<Vec<_>>());
    }

    /// Takes in beats that another control node tells of.
    pub(crate) fn handle_heartbeats(&mut self, now: Duration, from: String, beats: Heartbeats) {
        let dropped = beats
            .upstreams
            .into_iter()
            .filter(|upstream| !self.record_relayed_upstream(now, upstream.clone()))
            .count();
        if dropped == 0 && beats.nonce != 0 {
            self.persist_departures(
                now,
                AfterPersist::Ack {
                    to: from,
                    nonce: beats.nonce,
                },
            );
        }
    }

    /// True where a departure is known here from now on.
    pub(crate) fn record_relayed_upstream(&mut self, now: Duration, upstream: Upstream) -> bool {
        let departure = Some(&upstream)
            .filter(|upstream| upstream.state() != protocol::UpstreamState::Ready)
            .map(departure);
        if !upstream.service.is_empty() {
            self.registry.apply_heartbeat(now, upstream);
        }
        departure.is_none_or(|departure| self.registry.record_departure(now, &departure))
    }

    pub(crate) fn handle_heartbeats_ack(
        &mut self,
        now: Duration,
        from: String,
        ack: HeartbeatsAck,
    ) {
        if let Some(wait) = self.departures.waiting.get_mut(&ack.nonce) {
            wait.acknowledged_by.insert(from);
            self.complete_departure(now, ack.nonce);
        }
    }

    /// Acknowledges a departure that a majority knows.
    fn complete_departure(&mut self, now: Duration, nonce: u64) {
        let Some(wait) = self.departures.waiting.get(&nonce) else {
            return;
        };
        if !self
            .register
            .voter_set()
            .is_quorum(|voter| wait.acknowledged_by.contains(voter))
        {
            return;
        }
        let Some(PendingDeparture {
            request_id,
            upstream,
            ..
        }) = self.departures.waiting.remove(&nonce)
        else {
            return;
        };
        if self.departures.known.len() < MAX_KNOWN_DEPARTURES {
            let id = (upstream.service.clone(), upstream.instance.clone());
            self.departures.known.insert(id, (upstream.state(), now));
        }
        self.respond_to_heartbeat(now, request_id, upstream);
    }

    pub(crate) fn tick_departures(&mut self, now: Duration) {
        self.departures
            .known
            .retain(|_, (_, known_at)| now < *known_at + KNOWN_DEPARTURE_LIFETIME);
        let late = self
            .departures
            .waiting
            .iter()
            .filter(|(_, wait)| now >= wait.until);
        let late: Vec<u64> = late.map(|(nonce, _)| *nonce).collect();
        late.into_iter().for_each(|nonce| {
            let wait = self.departures.waiting.remove(&nonce);
            wait.into_iter().for_each(|wait| {
                self.reject_or_redirect(now, wait.request_id, ResultCode::StaleView)
            });
        });
        let due = self
            .departures
            .waiting
            .iter()
            .filter(|(_, wait)| now >= wait.next_send_at);
        let due: Vec<u64> = due.map(|(nonce, _)| *nonce).collect();
        due.into_iter()
            .for_each(|nonce| self.send_departure(now, nonce));
    }

    /// Departures that a node may lack which held for current until now: whoever lacks an older one has dropped the
    /// upstream as silent since, or heard of it in a batch.
    fn recent_departures(&self, now: Duration) -> Vec<Departure> {
        self.registry
            .recent_departures(now, self.times.upstream_silent + DIGEST_INTERVAL * 3)
    }

    /// A message of the register to another voter: with a reading goes a digest of the departures known here, with the
    /// answer those that the reader may lack.
    pub(crate) fn send_register_message(&mut self, now: Duration, to: String, body: Payload) {
        let body = match body {
            Payload::Read(read) => self.read_with_digest(now, read),
            Payload::ReadBack(read_back) => self.read_back_with_departures(now, read_back),
            Payload::Prepare(_) if !self.may_start_round(now) => return,
            other => other,
        };
        self.effects.push_back(Effect::Send { to, body });
    }

    fn read_with_digest(&self, now: Duration, read: Read) -> Payload {
        match digest(&self.recent_departures(now)) {
            0 => Payload::Read(read),
            digest => Payload::DeparturesRead(DeparturesRead { read, digest }),
        }
    }

    fn read_back_with_departures(&self, now: Duration, read_back: ReadBack) -> Payload {
        let departures = self.recent_departures(now);
        if departures.is_empty() || digest(&departures) == self.departures.requested_digest {
            return Payload::ReadBack(read_back);
        }
        Payload::DeparturesReadBack(DeparturesReadBack {
            read_back,
            departures,
        })
    }

    /// A voter's question what was accepted here.
    pub(crate) fn handle_read(&mut self, now: Duration, from: String, read: Read, digest: u64) {
        self.departures.requested_digest = digest;
        self.run_register(
            now,
            quorum_register::Event::Received {
                from,
                body: Payload::Read(read),
            },
        );
    }

    /// What the voter knows of departures counts before its confirmation does.
    pub(crate) fn handle_read_back(
        &mut self,
        now: Duration,
        from: String,
        response: DeparturesReadBack,
    ) {
        self.record_voter_response(now, &from);
        let dropped = response
            .departures
            .iter()
            .filter(|departure| !self.registry.record_departure(now, departure))
            .count();
        if dropped == 0 {
            let body = Payload::ReadBack(response.read_back);
            self.run_register(now, quorum_register::Event::Received { from, body });
        }
    }
}

/// What is told of an upstream that departs.
fn departure(upstream: &Upstream) -> Departure {
    let Upstream {
        service,
        instance,
        state,
        beat,
        ..
    } = upstream;
    Departure {
        service: service.clone(),
        instance: instance.clone(),
        state: *state,
        beat: *beat,
    }
}

/// The record of an instance that signed off. It is new with every life, so no later beat can be meant.
pub(crate) fn deregistered_record(instance: String, known: Option<Upstream>) -> Upstream {
    let known = known.unwrap_or_else(|| Upstream {
        instance,
        ..Upstream::default()
    });
    Upstream {
        state: protocol::UpstreamState::Deregistered.into(),
        beat: u64::MAX,
        ..known
    }
}
