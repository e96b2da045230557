//! Upstreams that are draining or gone: acknowledged once a majority of the voters knows, also after a restart.
//!
//! Every node that is confirmed by a majority requests the departures that it lacks along with the confirmation. Two
//! majorities share a voter; so whoever is confirmed by a read begun after the acknowledgement knows of the departure, and
//! so do the data-plane nodes that follow it.

use crate::heartbeat_relay::DIGEST_INTERVAL;
use crate::interface::Effect;
use crate::node::ControlNode;
use protocol::{
    Departure, DeparturesRead, DeparturesReadBack, Heartbeats, HeartbeatsAck, Payload, Read,
    ReadBack, Upstream, UpstreamState, VoterSet,
};
use random::stable_hash_parts;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an acknowledgement may take: within the second that clients wait for one.
const ACK_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a departure is sent again to the nodes that did not acknowledge it.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Most departures that wait for a majority, and most acknowledgements that wait for the disk.
const MAX_PENDING: usize = 4096;
/// How long it is remembered that a majority knows, and of how many departures at most.
const KNOWN_DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);
const MAX_KNOWN_DEPARTURES: usize = 20_000;

/// A departure whose client waits until a majority knows.
struct PendingDeparture {
    request_id: u64,
    upstream: Upstream,
    acknowledged_by: BTreeSet<String>,
    deadline: Duration,
    next_send_at: Duration,
}

/// What follows once the departures known here survive a restart of this process.
enum AfterPersist {
    /// The acknowledgement to the control node that sent one.
    Ack { to: String, nonce: u64 },
    /// This node counts among those that acknowledged a departure of its own client.
    Own { nonce: u64 },
}

/// A departure that a majority knows.
struct KnownDeparture {
    state: UpstreamState,
    known_at: Duration,
}

/// Departures on their way to a majority, and those that it knows.
#[derive(Default)]
pub(crate) struct Departures {
    /// By nonce.
    pending: BTreeMap<u64, PendingDeparture>,
    /// By service and instance.
    known: BTreeMap<(String, String), KnownDeparture>,
    /// The digest that came with the read being answered.
    requested_digest: u64,
    /// Id of the last write of departures.
    write_id: u64,
    /// What waits for that write; nothing where it is done.
    in_flight: Vec<AfterPersist>,
    /// What waits for the write after it.
    queued: Vec<AfterPersist>,
}

impl Departures {
    /// True where a majority knows that the upstream is in this state, or in one further on.
    fn is_known(&self, upstream: &Upstream) -> bool {
        let id = (upstream.service.clone(), upstream.instance.clone());
        self.known
            .get(&id)
            .is_some_and(|known| known.state >= upstream.state())
    }

    fn remember(&mut self, now: Duration, upstream: &Upstream) {
        if self.known.len() < MAX_KNOWN_DEPARTURES {
            let id = (upstream.service.clone(), upstream.instance.clone());
            let known = KnownDeparture {
                state: upstream.state(),
                known_at: now,
            };
            self.known.insert(id, known);
        }
    }

    fn expire_known(&mut self, now: Duration) {
        self.known
            .retain(|_, known| now < known.known_at + KNOWN_DEPARTURE_LIFETIME);
    }

    /// Takes a pending departure that a quorum of the voters acknowledged.
    fn take_acknowledged(&mut self, nonce: u64, voter_set: &VoterSet) -> Option<PendingDeparture> {
        let pending = self.pending.get(&nonce)?;
        if voter_set.is_quorum(|voter| pending.acknowledged_by.contains(voter)) {
            self.pending.remove(&nonce)
        } else {
            None
        }
    }

    /// Takes the requests whose departures were not acknowledged in time.
    fn take_late(&mut self, now: Duration) -> Vec<u64> {
        let mut late = Vec::new();
        self.pending.retain(|_, pending| {
            let is_late = now >= pending.deadline;
            if is_late {
                late.push(pending.request_id);
            }
            !is_late
        });
        late
    }

    /// Nonces of the departures that have to be sent again.
    fn due(&self, now: Duration) -> Vec<u64> {
        self.pending
            .iter()
            .filter(|(_, pending)| now >= pending.next_send_at)
            .map(|(nonce, _)| *nonce)
            .collect()
    }

    /// Begins a write where something waits for one and none is under way; the id of that write.
    fn begin_write(&mut self) -> Option<u64> {
        if !self.in_flight.is_empty() || self.queued.is_empty() {
            return None;
        }
        self.in_flight = std::mem::take(&mut self.queued);
        self.write_id += 1;
        Some(self.write_id)
    }
}

/// Stands for a set of departures, in whatever order.
fn digest(departures: &[Departure]) -> u64 {
    let hash = |departure: &Departure| {
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
        .fold(0, |digest, departure| digest ^ hash(departure))
}

impl ControlNode {
    /// True where the client has to wait until a majority knows of a departure.
    pub(crate) fn needs_departure_quorum(&self, upstream: &Upstream) -> bool {
        upstream.state() != UpstreamState::Ready && !self.departures.is_known(upstream)
    }

    /// Sends a departure to every control node, and responds once a majority of the voters knows.
    pub(crate) fn replicate_departure(
        &mut self,
        now: Duration,
        request_id: u64,
        upstream: Upstream,
    ) {
        if self.departures.pending.len() >= MAX_PENDING {
            return self.reject_or_redirect(now, request_id, ResultCode::StaleView);
        }
        let nonce = self.random.next_u64().max(1);
        let pending = PendingDeparture {
            request_id,
            upstream,
            acknowledged_by: BTreeSet::new(),
            deadline: now + ACK_TIMEOUT,
            next_send_at: now,
        };
        self.departures.pending.insert(nonce, pending);
        self.persist_departures(now, AfterPersist::Own { nonce });
        self.send_departure(now, nonce);
    }

    /// Writes the departures known here; one write at a time takes all that came meanwhile.
    fn persist_departures(&mut self, now: Duration, after: AfterPersist) {
        if self.departures.queued.len() < MAX_PENDING {
            self.departures.queued.push(after);
        }
        self.start_departure_write(now);
    }

    fn start_departure_write(&mut self, now: Duration) {
        if let Some(write_id) = self.departures.begin_write() {
            let departures = self.recent_departures(now);
            self.effects.push_back(Effect::PersistDepartures {
                write_id,
                departures,
            });
        }
    }

    /// What was known of departures when this write began survives a restart of this process.
    pub(crate) fn handle_departures_persisted(&mut self, now: Duration, write_id: u64) {
        if write_id != self.departures.write_id {
            return;
        }
        for after in std::mem::take(&mut self.departures.in_flight) {
            match after {
                AfterPersist::Ack { to, nonce } => {
                    self.send(to, Payload::HeartbeatsAck(HeartbeatsAck { nonce }));
                }
                AfterPersist::Own { nonce } => {
                    let me = self.me.node.clone();
                    self.handle_heartbeats_ack(now, me, HeartbeatsAck { nonce });
                }
            }
        }
        self.start_departure_write(now);
    }

    /// Sends a departure to the nodes that did not acknowledge it yet.
    fn send_departure(&mut self, now: Duration, nonce: u64) {
        let Some(pending) = self.departures.pending.get_mut(&nonce) else {
            return;
        };
        pending.next_send_at = now + RESEND_INTERVAL;
        let upstream = Upstream {
            holds: Vec::new(),
            released: Vec::new(),
            ..pending.upstream.clone()
        };
        let body = Payload::Heartbeats(Heartbeats {
            upstreams: vec![upstream],
            nonce,
        });
        let acknowledged_by = pending.acknowledged_by.clone();
        for node in self.voters_and_control_nodes() {
            if node != self.me.node && !acknowledged_by.contains(&node) {
                self.send(node, body.clone());
            }
        }
    }

    fn voters_and_control_nodes(&self) -> BTreeSet<String> {
        let control_nodes = self.control_nodes().map(|member| &member.node);
        self.register
            .voter_set()
            .members()
            .chain(control_nodes)
            .cloned()
            .collect()
    }

    /// Records heartbeats that another control node relays; acknowledges departures once they are written.
    pub(crate) fn handle_heartbeats(
        &mut self,
        now: Duration,
        from: String,
        heartbeats: Heartbeats,
    ) {
        let mut recorded_all = true;
        for upstream in heartbeats.upstreams {
            recorded_all &= self.record_relayed_upstream(now, upstream);
        }
        if recorded_all && heartbeats.nonce != 0 {
            let after = AfterPersist::Ack {
                to: from,
                nonce: heartbeats.nonce,
            };
            self.persist_departures(now, after);
        }
    }

    /// Records what is relayed of an upstream; false where it is a departure that could not be recorded.
    pub(crate) fn record_relayed_upstream(&mut self, now: Duration, upstream: Upstream) -> bool {
        let departure = departure(&upstream);
        if !upstream.service.is_empty() {
            self.registry.apply_heartbeat(now, upstream);
        }
        departure.is_none_or(|departure| self.registry.record_departure(now, &departure))
    }

    /// A control node has written a departure.
    pub(crate) fn handle_heartbeats_ack(
        &mut self,
        now: Duration,
        from: String,
        ack: HeartbeatsAck,
    ) {
        if let Some(pending) = self.departures.pending.get_mut(&ack.nonce) {
            pending.acknowledged_by.insert(from);
            self.complete_departure(now, ack.nonce);
        }
    }

    /// Responds to the client of a departure that a majority knows.
    fn complete_departure(&mut self, now: Duration, nonce: u64) {
        let voter_set = self.register.voter_set();
        if let Some(pending) = self.departures.take_acknowledged(nonce, voter_set) {
            self.departures.remember(now, &pending.upstream);
            self.respond_to_heartbeat(now, pending.request_id, pending.upstream);
        }
    }

    pub(crate) fn tick_departures(&mut self, now: Duration) {
        self.departures.expire_known(now);
        for request_id in self.departures.take_late(now) {
            self.reject_or_redirect(now, request_id, ResultCode::StaleView);
        }
        for nonce in self.departures.due(now) {
            self.send_departure(now, nonce);
        }
    }

    /// Departures that a node may lack whose state was current until now: whoever lacks an older one has dropped the
    /// upstream as silent since, or heard of it in a digest.
    fn recent_departures(&self, now: Duration) -> Vec<Departure> {
        self.registry
            .recent_departures(now, self.times.upstream_silent + DIGEST_INTERVAL * 3)
    }

    /// Sends a message of the register to another voter: a read goes with a digest of the departures known here, its
    /// answer with those that the reader may lack.
    pub(crate) fn send_register_message(&mut self, now: Duration, to: String, body: Payload) {
        let body = match body {
            Payload::Read(read) => self.read_with_digest(now, read),
            Payload::ReadBack(read_back) => self.read_back_with_departures(now, read_back),
            Payload::Prepare(_) if !self.may_start_round(now) => return,
            other => other,
        };
        self.send(to, body);
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

    /// A voter reads what was accepted here.
    pub(crate) fn handle_read(&mut self, now: Duration, from: String, read: Read, digest: u64) {
        self.departures.requested_digest = digest;
        let body = Payload::Read(read);
        self.run_register(now, quorum_register::Event::Received { from, body });
    }

    /// What the voter knows of departures counts before its confirmation does.
    pub(crate) fn handle_read_back(
        &mut self,
        now: Duration,
        from: String,
        answer: DeparturesReadBack,
    ) {
        self.record_voter_response(now, &from);
        let mut recorded_all = true;
        for departure in &answer.departures {
            recorded_all &= self.registry.record_departure(now, departure);
        }
        if recorded_all {
            let body = Payload::ReadBack(answer.read_back);
            self.run_register(now, quorum_register::Event::Received { from, body });
        }
    }
}

/// What is remembered of an upstream that departs; none where it doesn't.
fn departure(upstream: &Upstream) -> Option<Departure> {
    if upstream.state() == UpstreamState::Ready {
        return None;
    }
    Some(Departure {
        service: upstream.service.clone(),
        instance: upstream.instance.clone(),
        state: upstream.state,
        heartbeat_number: upstream.heartbeat_number,
    })
}

/// The record of an instance that deregistered. Instance ids are new with every process, so no later heartbeat can be
/// meant.
pub(crate) fn deregistered_record(instance: String, known: Option<Upstream>) -> Upstream {
    let known = known.unwrap_or_else(|| Upstream {
        instance,
        ..Upstream::default()
    });
    Upstream {
        state: UpstreamState::Deregistered.into(),
        heartbeat_number: u64::MAX,
        ..known
    }
}
