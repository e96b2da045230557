//! Hollow upstreams: they send heartbeats twice a second and own the keys that they are granted.

use super::event_queue::ScheduledEvent;
use super::fleet::Fleet;
use super::traffic_stats::{FlowKey, Role};
use config::JsonValue;
use control_plane::{ControlRequest, ControlResponse};
use protocol::{KeyShare, Upstream};
use simulator::grants::granted_slots;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
pub(super) const SLOTS_PER_UPSTREAM: u32 = 16;

/// One upstream.
pub struct HollowUpstream {
    pub zone: usize,
    pub up: bool,
    pub incarnation: u64,
    keyed: bool,
    record: Upstream,
}

/// A heartbeat that a control node hasn't answered yet.
pub(super) struct PendingHeartbeat {
    upstream: usize,
    incarnation: u64,
    heartbeat_number: u64,
}

/// The response to a heartbeat on its way back.
pub struct HeartbeatResponse {
    pub incarnation: u64,
    pub heartbeat_number: u64,
    pub json: JsonValue,
}

impl Fleet {
    pub(super) fn create_upstreams(&mut self) {
        (0..self.size.upstreams).for_each(|at| {
            let zone = self.size.upstream_zone(at);
            let service = at % self.size.services.max(1);
            let record = Upstream {
                service: format!("service-{service}"),
                instance: format!("unit-{at}"),
                address: format!("10.{}.{}.{}:8080", at / 62_500, at / 250 % 250, at % 250),
                locality: self.size.locality(zone),
                free_slots: SLOTS_PER_UPSTREAM,
                warm: true,
                ..Upstream::default()
            };
            let keyed = self.size.is_keyed(service);
            self.upstreams.push(HollowUpstream {
                zone,
                up: true,
                incarnation: 1,
                keyed,
                record,
            });
            let first = Duration::from_secs(1) + Duration::from_micros(self.random.below(500_000));
            self.queue.push(
                first,
                ScheduledEvent::Heartbeat {
                    upstream: at,
                    incarnation: 1,
                },
            );
        });
    }

    /// An upstream ends without notice.
    pub(crate) fn crash_upstream(&mut self, at: usize) {
        self.upstreams[at].up = false;
        self.upstreams[at].incarnation += 1;
    }

    pub(super) fn heartbeat(&mut self, at: usize, incarnation: u64) {
        if self.upstreams[at].up && self.upstreams[at].incarnation == incarnation {
            self.queue.push(
                self.now + HEARTBEAT_INTERVAL,
                ScheduledEvent::Heartbeat {
                    upstream: at,
                    incarnation,
                },
            );
            self.send_heartbeat(at);
        }
    }

    fn send_heartbeat(&mut self, at: usize) {
        let changes = self.random.below(1000) < self.load.changing_per_mille;
        let free = self.random.below(u64::from(SLOTS_PER_UPSTREAM)) as u32;
        let Some(control) = self.some_control_node() else {
            return;
        };
        let upstream = &mut self.upstreams[at];
        upstream.record.heartbeat_number += 1;
        if changes {
            upstream.record.free_slots = free;
        }
        let (record, zone, incarnation) =
            (upstream.record.clone(), upstream.zone, upstream.incarnation);
        let bytes = described(&record).to_string().len();
        let reach = self.reach(zone, self.nodes[control].zone);
        let to = self.nodes[control].role;
        let key = FlowKey {
            from: Role::Upstream,
            to,
            kind: "beat",
            reach,
        };
        self.stats.sent(key, bytes as u64);
        if let Some(delay) = self.delay(zone, self.nodes[control].zone) {
            let record = Box::new(record);
            self.queue.push(
                self.now + delay,
                ScheduledEvent::HeartbeatArrived {
                    node: control,
                    upstream: at,
                    incarnation,
                    record,
                },
            );
        }
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        node: usize,
        upstream: usize,
        incarnation: u64,
        record: Upstream,
    ) {
        let request_id = self.request_id();
        let pending = PendingHeartbeat {
            upstream,
            incarnation,
            heartbeat_number: record.heartbeat_number,
        };
        self.heartbeats.insert(request_id, pending);
        self.step_control(
            node,
            "beat",
            control_plane::Event::ControlRequest {
                request_id,
                request: ControlRequest::Heartbeat(record),
            },
        );
    }

    /// True where the answer was one to a heartbeat.
    pub(super) fn answer_heartbeat(
        &mut self,
        node: usize,
        request_id: u64,
        answer: &ControlResponse,
    ) -> bool {
        let Some(pending) = self.heartbeats.remove(&request_id) else {
            return false;
        };
        let PendingHeartbeat {
            upstream,
            incarnation,
            heartbeat_number,
        } = pending;
        let ControlResponse::Heartbeat {
            holder,
            shares,
            span,
        } = answer
        else {
            return true;
        };
        let json = control_plane::heartbeat_json(*holder, shares.clone(), *span);
        let (from, to) = (self.nodes[node].zone, self.upstreams[upstream].zone);
        let (role, reach) = (self.nodes[node].role, self.reach(from, to));
        let key = FlowKey {
            from: role,
            to: Role::Upstream,
            kind: "beat answer",
            reach,
        };
        self.stats.sent(key, json.to_string().len() as u64);
        if let Some(delay) = self.delay(from, to) {
            let answered = HeartbeatResponse {
                incarnation,
                heartbeat_number,
                json: json.clone(),
            };
            self.queue.push(
                self.now + delay,
                ScheduledEvent::HeartbeatAnswered { upstream, answered },
            );
        }
        true
    }

    pub(super) fn receive_heartbeat_response(&mut self, at: usize, answered: HeartbeatResponse) {
        let HeartbeatResponse {
            incarnation,
            heartbeat_number,
            json,
        } = answered;
        let upstream = &mut self.upstreams[at];
        if !upstream.up
            || upstream.incarnation != incarnation
            || upstream.record.heartbeat_number != heartbeat_number
        {
            return;
        }
        let holder = json.count("holder").unwrap_or(0);
        let new_holder = upstream.record.holder != holder;
        upstream.record.holder = holder;
        if json.get("shares").is_some() {
            let given = granted_slots(&json).into_iter();
            upstream.record.holds = given
                .map(|(slot, epoch)| KeyShare {
                    from: slot,
                    until: slot + 1,
                    epoch,
                    ..KeyShare::default()
                })
                .collect();
        }
        // The next heartbeat proves that it knows the new holder: the sooner, the less runs out.
        if new_holder && holder > 0 && upstream.keyed {
            self.send_heartbeat(at);
        }
    }
}

/// A heartbeat's body as upstreams write it.
fn described(record: &Upstream) -> JsonValue {
    let runs = record.holds.iter().map(|share| {
        JsonValue::object([
            ("from", u64::from(share.from).into()),
            ("until", u64::from(share.until).into()),
            ("epoch", share.epoch.into()),
        ])
    });
    JsonValue::object([
        ("service", record.service.as_str().into()),
        ("instance", record.instance.as_str().into()),
        ("address", record.address.as_str().into()),
        ("locality", record.locality.as_str().into()),
        ("freeSlots", u64::from(record.free_slots).into()),
        ("warm", record.warm.into()),
        ("condition", "ready".into()),
        ("holder", record.holder.into()),
        ("beat", record.heartbeat_number.into()),
        ("holds", runs.collect()),
    ])
}
