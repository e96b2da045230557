//! Stand-in back ends in the simulator.

use super::net::Place;
use super::nodes::{DRIFT, NodeEvent, true_span};
use super::path::Reply;
use super::ranged::Ranged;
use super::world::{Action, World};
use crate::grants::given_slots;
use crate::shapes::{Work, mark_of};
use config::JsonValue;
use control_plane::ControlResponse;
use invariants::facts::Fact;
use protocol::{KeyShare, Upstream};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

const BEAT_EVERY: Duration = Duration::from_millis(500);
const BEAT_AGAIN: Duration = Duration::from_millis(50);

/// One stand-in.
pub struct Unit {
    pub work: Work,
    pub instance: String,
    pub address: String,
    pub place: Place,
    pub up: bool,
    pub life: u64,
    pub condition: u32,
    pub warm: bool,
    pub beat: u64,
    /// The control node that it says its leaving to first, and when one acknowledged it.
    pub leaves_by: Option<usize>,
    pub taken_at: Option<Duration>,
    /// It signed off before it ever said that it leaves: it beats no more, and serves on.
    pub signed_off: bool,
    pub holder: u64,
    /// Slot, epoch and end of what it holds.
    pub holds: BTreeMap<u32, (u64, Duration)>,
    /// The same, where keys are numbers.
    pub ranged: Ranged,
    pub busy: u32,
    /// Of a thousand answers, how many are lost after the work was done.
    pub loses_per_mille: u64,
    pub garbles_per_mille: u64,
    pub paused_until: Duration,
    /// How its clock runs, in parts of a million more than true time.
    pub drift: i64,
}

impl World {
    pub(super) fn lay_out_units(&mut self) {
        let shape = self.shape.clone();
        shape.works().for_each(|(work, count)| {
            (0..count).for_each(|at| {
                // Marks stand apart from one another.
                let place = crate::shapes::mark_of(work.service).unwrap_or(at);
                let number = self.push_unit(work, at, shape.locality(place), true);
                let first = Duration::from_millis(5000 + self.random.below(500));
                self.at(
                    first,
                    Action::Beat {
                        unit: number,
                        life: 1,
                    },
                );
            });
        });
    }

    fn push_unit(&mut self, work: Work, at: usize, locality: String, warm: bool) -> usize {
        let number = self.units.len();
        // The contract of numeric keys allows for clocks that are twice as slow.
        let slow = if work.numbered { 2 * DRIFT } else { DRIFT };
        self.units.push(Unit {
            work,
            instance: format!("{}-{at}", work.service),
            address: format!("10.0.{}.{}:80", number / 200, number % 200),
            place: Place {
                machine: None,
                locality,
            },
            up: true,
            life: 1,
            condition: upstream_registry::READY,
            warm,
            beat: 0,
            leaves_by: None,
            taken_at: None,
            signed_off: false,
            holder: 0,
            holds: BTreeMap::new(),
            ranged: Ranged::default(),
            busy: 0,
            loses_per_mille: 0,
            garbles_per_mille: 0,
            paused_until: Duration::ZERO,
            drift: self.random.below(slow + DRIFT) as i64 - slow as i64,
        });
        number
    }

    /// A further upstream, empty and cold.
    pub(super) fn grow_unit(&mut self, at: usize) -> usize {
        let (work, place) = (self.shape.services[at % 3], self.shape.locality(at));
        let unit = self.push_unit(work, 100 + self.units.len(), place, false);
        self.after(Duration::from_millis(10), Action::Beat { unit, life: 1 });
        unit
    }

    /// Starts a new instance in the place of an old one, perhaps of another service.
    pub(super) fn replace_unit(&mut self, at: usize, work: Work, warm: bool) {
        let life = self.units[at].life + 1;
        let unit = &mut self.units[at];
        unit.work = work;
        unit.life = life;
        unit.instance = format!("{}-{at}-{life}", work.service);
        unit.up = true;
        unit.condition = upstream_registry::READY;
        unit.warm = warm;
        unit.beat = 0;
        (unit.leaves_by, unit.taken_at, unit.signed_off) = (None, None, false);
        unit.holder = 0;
        unit.holds.clear();
        unit.ranged = Ranged::default();
        unit.busy = 0;
        unit.paused_until = Duration::ZERO;
        self.after(Duration::from_millis(10), Action::Beat { unit: at, life });
    }

    pub(super) fn crash_unit(&mut self, at: usize) {
        let unit = &mut self.units[at];
        unit.up = false;
        unit.life += 1;
        let (service, instance) = (unit.work.service.to_owned(), unit.instance.clone());
        let held = std::mem::take(&mut unit.holds)
            .into_keys()
            .map(|slot| slot..slot + 1);
        let held: Vec<Range<u32>> = held
            .chain(std::mem::take(&mut unit.ranged).keys())
            .collect();
        held.into_iter().for_each(|keys| {
            self.note(Fact::LetGo {
                service: service.clone(),
                keys,
                instance: instance.clone(),
            });
        });
    }

    pub(super) fn beat(&mut self, at: usize, life: u64) {
        let now = self.now;
        if !self.units[at].up || self.units[at].life != life || self.is_silent(at) {
            return;
        }
        if now < self.units[at].paused_until {
            let until = self.units[at].paused_until;
            return self.at(until, Action::Beat { unit: at, life });
        }
        self.after(BEAT_EVERY, Action::Beat { unit: at, life });
        self.beat_once(at);
    }

    /// A beat that nobody took is sent to another postmaster, unless a newer one was sent meanwhile.
    pub(super) fn beat_again(&mut self, at: usize, life: u64, beat: u64) {
        let unit = &self.units[at];
        let is_latest = unit.life == life && unit.beat == beat;
        if unit.up && is_latest && self.now >= unit.paused_until && !self.is_silent(at) {
            self.beat_once(at);
        }
    }

    /// One beat, to some postmaster.
    pub(super) fn beat_once(&mut self, at: usize) {
        let (now, life) = (self.now, self.units[at].life);
        if self.units[at].work.numbered {
            self.let_go(at);
        }
        let control_nodes = self.control_nodes();
        let node = control_nodes[self.random.below(control_nodes.len() as u64) as usize];
        let unit = &mut self.units[at];
        let node = unit.leaves_by.unwrap_or(node);
        unit.beat += 1;
        let holds = unit.holds.iter().filter(|(_, (_, until))| now < *until);
        let holds = holds.map(|(slot, (epoch, _))| KeyShare {
            from: *slot,
            until: slot + 1,
            epoch: *epoch,
            ..KeyShare::default()
        });
        let told = Upstream {
            service: unit.work.service.into(),
            instance: unit.instance.clone(),
            address: unit.address.clone(),
            locality: unit.place.locality.clone(),
            free_slots: self.load.slots.saturating_sub(unit.busy),
            warm: unit.warm,
            condition: unit.condition,
            beat: unit.beat,
            holder: unit.holder,
            holds: holds.chain(unit.ranged.listed(now)).collect(),
            released: unit.ranged.released.clone(),
            ..Upstream::default()
        };
        let (beat, place) = (unit.beat, unit.place.clone());
        let delay = self
            .net
            .delay(&mut self.random, &place, &self.nodes[node].place);
        delay.into_iter().for_each(|delay| {
            let request_id = self.id();
            self.operators
                .beats
                .insert(request_id, (at, life, beat, now, node));
            let event = NodeEvent::ControlRequest {
                request_id,
                ask: self.beat_or_sign_off(at, told.clone()),
            };
            self.after(delay, Action::Deliver { node, event });
        });
    }

    /// A postmaster answered a beat.
    pub(super) fn beat_answered(
        &mut self,
        from: (usize, u64, u64, Duration, usize),
        answer: ControlResponse,
    ) {
        let (unit, life, beat, sent_at, node) = from;
        if let ControlResponse::Redirect { to } = &answer {
            self.units[unit].leaves_by = self.units[unit].leaves_by.and(self.named(to));
        }
        let ControlResponse::Heartbeat {
            holder,
            shares,
            span,
        } = answer
        else {
            self.next_to_hear_of_leaving(unit, node);
            // Nobody there, or on its way out: another one, soon.
            return self.after(BEAT_AGAIN, Action::BeatAgain { unit, life, beat });
        };
        self.leaving_taken(unit, life);
        if self.units[unit].signed_off {
            return;
        }
        if self.units[unit].work.numbered {
            return self.ranges_answered(from, shares, span);
        }
        let json = control_plane::heartbeat_json(holder, shares, span);
        let delay = self.net.delay(
            &mut self.random,
            &self.nodes[node].place,
            &self.units[unit].place,
        );
        delay.into_iter().for_each(|delay| {
            let json = json.clone();
            self.after(
                delay,
                Action::BeatAnswer {
                    unit,
                    life,
                    beat,
                    sent_at,
                    json,
                },
            );
        });
    }

    /// One that leaves goes on to the next node after a refusal.
    fn next_to_hear_of_leaving(&mut self, unit: usize, refused_by: usize) {
        let control_nodes = self.control_nodes();
        let unit = &mut self.units[unit];
        if unit.leaves_by == Some(refused_by) {
            let at = control_nodes
                .iter()
                .position(|node| *node == refused_by)
                .unwrap_or(0);
            unit.leaves_by = Some(control_nodes[(at + 1) % control_nodes.len()]);
        }
    }

    /// Its leaving was acknowledged, and from now on it beats there.
    fn leaving_taken(&mut self, unit: usize, life: u64) {
        let unit = &mut self.units[unit];
        if unit.life == life
            && unit.condition == upstream_registry::DRAINING
            && unit.taken_at.is_none()
        {
            unit.taken_at = Some(self.now);
            let instance = Some(unit.instance.clone()).filter(|_| unit.leaves_by.is_some());
            instance
                .into_iter()
                .for_each(|instance| self.note(Fact::Leaving { instance }));
        }
    }

    /// Only the answer to the latest beat counts, and only what has not run out.
    pub(super) fn beat_answer(
        &mut self,
        at: usize,
        life: u64,
        beat: u64,
        sent_at: Duration,
        json: &JsonValue,
    ) {
        let now = self.now;
        let unit = &mut self.units[at];
        let told = json.count("holder").unwrap_or(0);
        let new_holder = unit.up && unit.life == life && unit.beat == beat && unit.holder != told;
        if new_holder {
            unit.holder = told;
        }
        if new_holder && told > 0 && unit.work.keyed && now >= unit.paused_until {
            // The next beat proves that it knows the new holder: the sooner, the less runs out.
            self.beat_once(at);
        }
        let unit = &mut self.units[at];
        let span_ms = json
            .count("spanMs")
            .filter(|_| json.get("shares").is_some());
        let Some(span_ms) = span_ms.filter(|_| unit.up && unit.life == life && unit.beat == beat)
        else {
            return;
        };
        if now < unit.paused_until {
            let until = unit.paused_until;
            let json = json.clone();
            return self.at(
                until,
                Action::BeatAnswer {
                    unit: at,
                    life,
                    beat,
                    sent_at,
                    json,
                },
            );
        }
        let until =
            sent_at + true_span(Duration::from_millis(span_ms), unit.drift) + self.weak.holds_on;
        let given = given_slots(json);
        let (service, instance) = (unit.work.service.to_owned(), unit.instance.clone());
        let gone: Vec<u32> = unit
            .holds
            .keys()
            .filter(|slot| !given.contains_key(slot))
            .copied()
            .collect();
        gone.iter().for_each(|slot| {
            unit.holds.remove(slot);
        });
        let live = now < until;
        if live {
            unit.holds
                .extend(given.iter().map(|(slot, epoch)| (*slot, (*epoch, until))));
        }
        gone.into_iter().for_each(|slot| {
            self.note(Fact::LetGo {
                service: service.clone(),
                keys: slot..slot + 1,
                instance: instance.clone(),
            });
        });
        given.into_keys().filter(|_| live).for_each(|slot| {
            self.note(Fact::Holds {
                service: service.clone(),
                keys: slot..slot + 1,
                instance: instance.clone(),
                until,
            });
        });
    }

    /// Its clock stood still for so long: what it holds seems to last that much longer.
    pub(super) fn hold_on(&mut self, at: usize, span: Duration) {
        let unit = &mut self.units[at];
        unit.holds
            .values_mut()
            .for_each(|(_, until)| *until += span);
        let (service, instance) = (unit.work.service.to_owned(), unit.instance.clone());
        unit.ranged.until += span;
        unit.ranged.ending_until += span;
        let slots = unit
            .holds
            .iter()
            .map(|(slot, (_, until))| (*slot..slot + 1, *until));
        let held: Vec<(Range<u32>, Duration)> = slots.chain(unit.ranged.spans()).collect();
        held.into_iter().for_each(|(keys, until)| {
            self.note(Fact::Holds {
                service: service.clone(),
                keys,
                instance: instance.clone(),
                until,
            });
        });
    }

    /// A proxy's connection reaches the address. A paused upstream's machine still takes it.
    pub(super) fn unit_connect(&mut self, trip: u64, send: u32, address: &str, cut: bool) {
        let at = self.units.iter().position(|unit| unit.address == address);
        let up = at.filter(|at| self.units[*at].up && !cut);
        let Some(at) = up else {
            return self.back(
                trip,
                send,
                Err(transport::CallError::NotConnected),
                Duration::from_micros(300),
            );
        };
        let life = (at, self.units[at].life);
        let node = self.trips.get(&trip).map(|trip| trip.node);
        node.into_iter().for_each(|node| {
            let (from, to) = (self.units[at].place.clone(), self.nodes[node].place.clone());
            let delay = self.net.delay(&mut self.random, &from, &to);
            delay.into_iter().for_each(|delay| {
                self.after(
                    delay,
                    Action::Deliver {
                        node,
                        event: NodeEvent::Connected { trip, send, life },
                    },
                );
            });
        });
    }

    /// A proxy's request reaches whoever accepted its connection, if it still lives.
    pub(super) fn unit_call(&mut self, trip: u64, send: u32, cut: bool) {
        let life = self
            .trips
            .get(&trip)
            .filter(|trip| trip.send == send)
            .and_then(|trip| trip.life);
        let alive =
            life.filter(|(at, life)| self.units[*at].up && self.units[*at].life == *life && !cut);
        let Some((at, _)) = alive else {
            return self.back(
                trip,
                send,
                Err(transport::CallError::ConnectionLost),
                Duration::from_micros(300),
            );
        };
        if self.now < self.units[at].paused_until {
            let until = self.units[at].paused_until;
            return self.at(until, Action::UnitCall { trip, send, cut });
        }
        if self.hangs() {
            return;
        }
        if self.resets() {
            return self.back(
                trip,
                send,
                Err(transport::CallError::ConnectionLost),
                Duration::from_micros(300),
            );
        }
        let Some(order) = self.trips.get(&trip).map(|trip| trip.sent.clone()) else {
            return;
        };
        let now = self.now;
        let unit = &mut self.units[at];
        let arrived = Fact::Arrived {
            try_id: order.try_id.clone(),
            service: order.path.into(),
            instance: unit.instance.clone(),
            locality: unit.place.locality.clone(),
            cold: !unit.warm,
        };
        let slot = key_space::slot_of_key(&order.key);
        let held = unit
            .holds
            .get(&slot)
            .filter(|(_, until)| now < *until)
            .map(|(epoch, _)| *epoch);
        // A back end of another service, which took over the address, knows nothing of this path.
        let mark = mark_of(unit.work.service);
        let mine = unit.work.service == order.path || (mark.is_some() && order.path == "probe");
        let number = order.key.parse::<u32>().ok().filter(|_| unit.work.numbered);
        let may = match (unit.work.keyed, number) {
            (false, _) => true,
            (true, Some(key)) => unit.ranged.holds(key, now),
            (true, None) => held.is_some() && held == order.epoch,
        };
        let runs = mine && unit.busy < self.load.slots && may;
        let (instance, once, life) = (unit.instance.clone(), unit.work.once, unit.life);
        if runs {
            unit.busy += 1;
            unit.ranged
                .working
                .extend(number.map(|key| ((trip, send), key)));
        }
        self.note(arrived);
        let node = self
            .trips
            .get(&trip)
            .map(|trip| self.nodes[trip.node].name.clone());
        let probed = node
            .zip(mark)
            .map(|(node, mark)| Fact::Probed { node, mark });
        probed.into_iter().for_each(|probed| self.note(probed));
        if runs {
            self.note(Fact::Ran {
                work: order.work.clone(),
                try_id: order.try_id.clone(),
                once,
            });
            let (least, most) = self.load.takes;
            let slow = if self.load.some_slow && at % 6 == 5 {
                3
            } else {
                1
            };
            let takes = (least
                + Duration::from_micros(self.random.below((most - least).as_micros() as u64)))
                * slow;
            self.after(
                takes,
                Action::UnitDone {
                    trip,
                    send,
                    unit: at,
                    life,
                },
            );
        } else {
            self.back(
                trip,
                send,
                Ok(Reply::sealed(&order.try_id, &instance, 503, "not run")),
                Duration::from_micros(500),
            );
        }
    }

    pub(super) fn unit_done(&mut self, trip: u64, send: u32, at: usize, life: u64) {
        let lost = self.random.below(1000) < self.units[at].loses_per_mille;
        let garbled = self.random.below(1000) < self.units[at].garbles_per_mille;
        let alive = self.units[at].up && self.units[at].life == life;
        if alive {
            self.units[at].busy = self.units[at].busy.saturating_sub(1);
            self.units[at].ranged.working.remove(&(trip, send));
        }
        let Some(order) = self.trips.get(&trip).map(|trip| trip.sent.clone()) else {
            return;
        };
        let mut reply = Reply::sealed(&order.try_id, &self.units[at].instance, 200, &order.work);
        if garbled {
            // Cut short, or the whole and well sealed verdict of somebody else's try.
            if self.random.below(2) == 0 {
                reply.body.truncate(reply.body.len() / 2);
            } else {
                reply = Reply::sealed(
                    "try-of-another",
                    &self.units[at].instance,
                    200,
                    "work-of-another",
                );
            }
        }
        let lost = lost || self.resets();
        let called = if lost || !alive {
            Err(transport::CallError::ConnectionLost)
        } else {
            Ok(reply)
        };
        let from = self.units[at].place.clone();
        let to = self
            .trips
            .get(&trip)
            .map(|trip| self.nodes[trip.node].place.clone());
        let delay = to.and_then(|to| self.net.delay(&mut self.random, &from, &to));
        delay.into_iter().for_each(|delay| {
            called
                .iter()
                .for_each(|reply| self.send_surplus(trip, reply, delay));
            self.back(trip, send, called.clone(), delay);
        });
    }
}
