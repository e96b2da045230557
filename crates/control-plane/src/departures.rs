//! Upstreams that leave or are gone: acknowledged once a majority of the voters knows, also after a restart.
//!
//! Every node that is confirmed by a majority asks it for the departures that it lacks along with the confirmation. Two
//! majorities share a voter; so whoever is confirmed by a question asked after the acknowledgement knows of it, and so
//! do the carriers that follow it.

use crate::node::{BATCH_EVERY, CONTROL_NODE_ROLE, ControlNode, Effect};
use protocol::{
    Departure, DeparturesRead, DeparturesReadBack, Heartbeats, HeartbeatsAck, Payload, Read,
    ReadBack, Upstream,
};
use random::stable_hash_parts;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use upstream_registry::{DEREGISTERED, READY};

/// How long an acknowledgement may take: within the second that callers wait for one.
const PATIENCE: Duration = Duration::from_millis(700);
/// How often the nodes that did not answer are told again.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// Most departures that wait for their acknowledgement, and most answers that wait for the disk.
const MAX_WAITING: usize = 4096;
/// How long it is remembered that a majority knows, and of how many at most.
const REMEMBERED: Duration = Duration::from_secs(60);
const MAX_REMEMBERED: usize = 20_000;

/// A departure whose caller waits until a majority knows.
struct Wait {
    request_id: u64,
    upstream: Upstream,
    taken_by: BTreeSet<String>,
    until: Duration,
    next_tell: Duration,
}

/// What waits until the departures taken in here outlive this process.
enum AfterKept {
    /// The acknowledgement to the control node that told of one.
    Ack { to: String, nonce: u64 },
    /// A departure that was told here counts this node among those that took it in.
    Own { nonce: u64 },
}

/// Departures on their way to a majority, and those that it knows.
#[derive(Default)]
pub(crate) struct Departures {
    waiting: BTreeMap<u64, Wait>,
    /// Condition, and when a majority was found to know, by service and instance.
    known: BTreeMap<(String, String), (u32, Duration)>,
    /// The digest that came with the question being answered.
    asked_with: u64,
    /// The last write of departures, and what waits for it; nothing where it is done.
    write_id: u64,
    being_kept: Vec<AfterKept>,
    /// What waits for the write after it.
    to_keep: Vec<AfterKept>,
}

/// Stands for a set of departures, in whatever order.
fn digest(departures: &[Departure]) -> u64 {
    let one = |departure: &Departure| {
        let condition = departure.condition.to_string();
        stable_hash_parts([
            departure.service.as_str(),
            "/",
            &departure.instance,
            "/",
            &condition,
        ])
    };
    departures
        .iter()
        .fold(0, |digest, departure| digest ^ one(departure))
}

impl ControlNode {
    /// True where the caller has to wait until a majority knows of it.
    pub(crate) fn is_unknown_departure(&self, upstream: &Upstream) -> bool {
        let id = (upstream.service.clone(), upstream.instance.clone());
        let known = self
            .departures
            .known
            .get(&id)
            .is_some_and(|(condition, _)| *condition >= upstream.condition);
        upstream.condition != READY && !known
    }

    /// Tells every control node of a departure, and the caller once a majority of the voters knows.
    pub(crate) fn tell_departure(&mut self, now: Duration, request_id: u64, upstream: Upstream) {
        if self.departures.waiting.len() >= MAX_WAITING {
            return self.refuse(now, request_id, ResultCode::StaleView);
        }
        let nonce = self.random.next_u64().max(1);
        let wait = Wait {
            request_id,
            upstream,
            taken_by: BTreeSet::new(),
            until: now + PATIENCE,
            next_tell: now,
        };
        self.departures.waiting.insert(nonce, wait);
        self.keep_departures(now, AfterKept::Own { nonce });
        self.tell_waiting(now, nonce);
    }

    /// Writes the departures known here; one write at a time takes all that came meanwhile.
    fn keep_departures(&mut self, now: Duration, then: AfterKept) {
        if self.departures.to_keep.len() < MAX_WAITING {
            self.departures.to_keep.push(then);
        }
        self.begin_keeping(now);
    }

    fn begin_keeping(&mut self, now: Duration) {
        if !self.departures.being_kept.is_empty() || self.departures.to_keep.is_empty() {
            return;
        }
        self.departures.being_kept = std::mem::take(&mut self.departures.to_keep);
        self.departures.write_id += 1;
        let (write_id, departures) = (self.departures.write_id, self.recent_departures(now));
        self.effects.push_back(Effect::PersistDepartures {
            write_id,
            departures,
        });
    }

    /// What was known of departures when this write began is known in the next life of this process too.
    pub(crate) fn departures_kept(&mut self, now: Duration, write_id: u64) {
        if write_id != self.departures.write_id {
            return;
        }
        std::mem::take(&mut self.departures.being_kept)
            .into_iter()
            .for_each(|then| match then {
                AfterKept::Ack { to, nonce } => {
                    let body = Payload::HeartbeatsAck(HeartbeatsAck { nonce });
                    self.effects.push_back(Effect::Send { to, body });
                }
                AfterKept::Own { nonce } => {
                    self.beats_taken(now, self.me.node.clone(), HeartbeatsAck { nonce })
                }
            });
        self.begin_keeping(now);
    }

    /// Tells those that did not answer yet.
    fn tell_waiting(&mut self, now: Duration, nonce: u64) {
        let Some(wait) = self.departures.waiting.get_mut(&nonce) else {
            return;
        };
        wait.next_tell = now + TELL_EVERY;
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
            .filter(|node| **node != self.me.node && !wait.taken_by.contains(*node));
        let sends = others.map(|node| Effect::Send {
            to: node.clone(),
            body: body.clone(),
        });
        self.effects.extend(sends.collect::<Vec<_>>());
    }

    /// Takes in beats that another control node tells of.
    pub(crate) fn beats_told(&mut self, now: Duration, from: String, beats: Heartbeats) {
        let dropped = beats
            .upstreams
            .into_iter()
            .filter(|upstream| !self.take_told(now, upstream.clone()))
            .count();
        if dropped == 0 && beats.nonce != 0 {
            self.keep_departures(
                now,
                AfterKept::Ack {
                    to: from,
                    nonce: beats.nonce,
                },
            );
        }
    }

    /// True where a departure is known here from now on.
    pub(crate) fn take_told(&mut self, now: Duration, upstream: Upstream) -> bool {
        let departure = Some(&upstream)
            .filter(|upstream| upstream.condition != READY)
            .map(departure);
        if !upstream.service.is_empty() {
            self.registry.apply_heartbeat(now, upstream);
        }
        departure.is_none_or(|departure| self.registry.record_departure(now, &departure))
    }

    pub(crate) fn beats_taken(&mut self, now: Duration, from: String, ack: HeartbeatsAck) {
        if let Some(wait) = self.departures.waiting.get_mut(&ack.nonce) {
            wait.taken_by.insert(from);
            self.settle_departure(now, ack.nonce);
        }
    }

    /// Acknowledges a departure that a majority knows.
    fn settle_departure(&mut self, now: Duration, nonce: u64) {
        let Some(wait) = self.departures.waiting.get(&nonce) else {
            return;
        };
        if !self
            .register
            .voter_set()
            .is_quorum(|voter| wait.taken_by.contains(voter))
        {
            return;
        }
        let Some(Wait {
            request_id,
            upstream,
            ..
        }) = self.departures.waiting.remove(&nonce)
        else {
            return;
        };
        if self.departures.known.len() < MAX_REMEMBERED {
            let id = (upstream.service.clone(), upstream.instance.clone());
            self.departures.known.insert(id, (upstream.condition, now));
        }
        self.answer_taken_beat(now, request_id, upstream);
    }

    pub(crate) fn tick_departures(&mut self, now: Duration) {
        self.departures
            .known
            .retain(|_, (_, known_at)| now < *known_at + REMEMBERED);
        let late = self
            .departures
            .waiting
            .iter()
            .filter(|(_, wait)| now >= wait.until);
        let late: Vec<u64> = late.map(|(nonce, _)| *nonce).collect();
        late.into_iter().for_each(|nonce| {
            let wait = self.departures.waiting.remove(&nonce);
            wait.into_iter()
                .for_each(|wait| self.refuse(now, wait.request_id, ResultCode::StaleView));
        });
        let due = self
            .departures
            .waiting
            .iter()
            .filter(|(_, wait)| now >= wait.next_tell);
        let due: Vec<u64> = due.map(|(nonce, _)| *nonce).collect();
        due.into_iter()
            .for_each(|nonce| self.tell_waiting(now, nonce));
    }

    /// Departures that a node may lack which held for current until now: whoever lacks an older one has dropped the
    /// upstream as silent since, or heard of it in a batch.
    fn recent_departures(&self, now: Duration) -> Vec<Departure> {
        self.registry
            .recent_departures(now, self.times.upstream_silent + BATCH_EVERY * 3)
    }

    /// A message of the register to another voter: with a reading goes a digest of the departures known here, with the
    /// answer those that the reader may lack.
    pub(crate) fn send_of_register(&mut self, now: Duration, to: String, body: Payload) {
        let body = match body {
            Payload::Read(read) => self.read_with_digest(now, read),
            Payload::ReadBack(read_back) => self.read_back_with_departures(now, read_back),
            Payload::Prepare(_) if !self.may_begin_rounds(now) => return,
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
        if departures.is_empty() || digest(&departures) == self.departures.asked_with {
            return Payload::ReadBack(read_back);
        }
        Payload::DeparturesReadBack(DeparturesReadBack {
            read_back,
            departures,
        })
    }

    /// A voter's question what was accepted here.
    pub(crate) fn read_asked(&mut self, now: Duration, from: String, read: Read, digest: u64) {
        self.departures.asked_with = digest;
        self.run_register(
            now,
            quorum_register::Event::Received {
                from,
                body: Payload::Read(read),
            },
        );
    }

    /// What the voter knows of departures counts before its confirmation does.
    pub(crate) fn read_answered(
        &mut self,
        now: Duration,
        from: String,
        response: DeparturesReadBack,
    ) {
        self.note_answered(now, &from);
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
        condition,
        beat,
        ..
    } = upstream;
    Departure {
        service: service.clone(),
        instance: instance.clone(),
        condition: *condition,
        beat: *beat,
    }
}

/// The record of an instance that signed off. It is new with every life, so no later beat can be meant.
pub(crate) fn signed_off(instance: String, known: Option<Upstream>) -> Upstream {
    let known = known.unwrap_or_else(|| Upstream {
        instance,
        ..Upstream::default()
    });
    Upstream {
        condition: DEREGISTERED,
        beat: u64::MAX,
        ..known
    }
}
