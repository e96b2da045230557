//! Hollow upstreams: they beat twice a second and hold what keys they are given.

use super::count::Role;
use super::fleet::Fleet;
use super::queue::Happening;
use config::JsonValue;
use control_plane::{ControlRequest, ControlResponse};
use protocol::{KeyShare, Upstream};
use simulator::grants::granted_slots;
use std::time::Duration;

const BEAT_EVERY: Duration = Duration::from_millis(500);
pub(super) const SLOTS_EACH: u32 = 16;

/// One upstream.
pub struct Unit {
    pub zone: usize,
    pub up: bool,
    pub life: u64,
    keyed: bool,
    told: Upstream,
}

/// The answer to a beat on its way back.
pub struct Answered {
    pub life: u64,
    pub beat: u64,
    pub json: JsonValue,
}

impl Fleet {
    pub(super) fn lay_out_units(&mut self) {
        (0..self.size.upstreams).for_each(|at| {
            let zone = self.size.unit_zone(at);
            let service = at % self.size.services.max(1);
            let told = Upstream {
                service: format!("service-{service}"),
                instance: format!("unit-{at}"),
                address: format!("10.{}.{}.{}:8080", at / 62_500, at / 250 % 250, at % 250),
                locality: self.size.locality(zone),
                free_slots: SLOTS_EACH,
                warm: true,
                ..Upstream::default()
            };
            let keyed = self.size.is_keyed(service);
            self.units.push(Unit {
                zone,
                up: true,
                life: 1,
                keyed,
                told,
            });
            let first = Duration::from_secs(1) + Duration::from_micros(self.random.below(500_000));
            self.queue
                .push(first, Happening::Beat { unit: at, life: 1 });
        });
    }

    /// A unit ends without a word.
    pub(crate) fn crash_unit(&mut self, at: usize) {
        self.units[at].up = false;
        self.units[at].life += 1;
    }

    pub(super) fn beat(&mut self, at: usize, life: u64) {
        if self.units[at].up && self.units[at].life == life {
            self.queue
                .push(self.now + BEAT_EVERY, Happening::Beat { unit: at, life });
            self.beat_once(at);
        }
    }

    fn beat_once(&mut self, at: usize) {
        let changes = self.random.below(1000) < self.load.changing_per_mille;
        let free = self.random.below(u64::from(SLOTS_EACH)) as u32;
        let Some(control) = self.some_control_node() else {
            return;
        };
        let unit = &mut self.units[at];
        unit.told.beat += 1;
        if changes {
            unit.told.free_slots = free;
        }
        let (told, zone, life) = (unit.told.clone(), unit.zone, unit.life);
        let bytes = described(&told).to_string().len();
        let reach = self.reach(zone, self.nodes[control].zone);
        let to = self.nodes[control].role;
        self.ledger
            .sent((Role::Upstream, to, "beat", reach), bytes as u64);
        if let Some(delay) = self.delay(zone, self.nodes[control].zone) {
            let told = Box::new(told);
            self.queue.push(
                self.now + delay,
                Happening::BeatComes {
                    node: control,
                    unit: at,
                    life,
                    told,
                },
            );
        }
    }

    pub(super) fn beat_comes(&mut self, node: usize, unit: usize, life: u64, told: Upstream) {
        let request_id = self.request_id();
        self.beats.insert(request_id, (unit, life, told.beat));
        self.step_control(
            node,
            "beat",
            control_plane::Event::ControlRequest {
                request_id,
                request: ControlRequest::Heartbeat(told),
            },
        );
    }

    /// True where the answer was one to a beat.
    pub(super) fn answer_beat(
        &mut self,
        node: usize,
        request_id: u64,
        answer: &ControlResponse,
    ) -> bool {
        let Some((unit, life, beat)) = self.beats.remove(&request_id) else {
            return false;
        };
        let ControlResponse::Heartbeat {
            holder,
            shares,
            span,
        } = answer
        else {
            return true;
        };
        let json = control_plane::heartbeat_json(*holder, shares.clone(), *span);
        let (from, to) = (self.nodes[node].zone, self.units[unit].zone);
        let (role, reach) = (self.nodes[node].role, self.reach(from, to));
        self.ledger.sent(
            (role, Role::Upstream, "beat answer", reach),
            json.to_string().len() as u64,
        );
        if let Some(delay) = self.delay(from, to) {
            let answered = Answered {
                life,
                beat,
                json: json.clone(),
            };
            self.queue
                .push(self.now + delay, Happening::BeatAnswered { unit, answered });
        }
        true
    }

    pub(super) fn beat_answered(&mut self, at: usize, answered: Answered) {
        let Answered { life, beat, json } = answered;
        let unit = &mut self.units[at];
        if !unit.up || unit.life != life || unit.told.beat != beat {
            return;
        }
        let holder = json.count("holder").unwrap_or(0);
        let new_holder = unit.told.holder != holder;
        unit.told.holder = holder;
        if json.get("shares").is_some() {
            let given = granted_slots(&json).into_iter();
            unit.told.holds = given
                .map(|(slot, epoch)| KeyShare {
                    from: slot,
                    until: slot + 1,
                    epoch,
                    ..KeyShare::default()
                })
                .collect();
        }
        // The next beat proves that it knows the new holder: the sooner, the less runs out.
        if new_holder && holder > 0 && unit.keyed {
            self.beat_once(at);
        }
    }
}

/// A beat's body as upstreams write it.
fn described(told: &Upstream) -> JsonValue {
    let runs = told.holds.iter().map(|share| {
        JsonValue::object([
            ("from", u64::from(share.from).into()),
            ("until", u64::from(share.until).into()),
            ("epoch", share.epoch.into()),
        ])
    });
    JsonValue::object([
        ("service", told.service.as_str().into()),
        ("instance", told.instance.as_str().into()),
        ("address", told.address.as_str().into()),
        ("locality", told.locality.as_str().into()),
        ("freeSlots", u64::from(told.free_slots).into()),
        ("warm", told.warm.into()),
        ("condition", "ready".into()),
        ("holder", told.holder.into()),
        ("beat", told.beat.into()),
        ("holds", runs.collect()),
    ])
}
