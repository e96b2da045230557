//! Stand-in back ends in the simulator.

use super::network::Endpoint;
use super::nodes::{DRIFT, NodeEvent, true_span};
use super::range_leases::RangeLeases;
use crate::grants::granted_slots;
use crate::responses::Response;
use crate::schedule::Action;
use crate::shapes::{ServiceProfile, marker_index};
use crate::world::World;
use config::JsonValue;
use control_plane::ControlResponse;
use invariants::observations::Observation;
use protocol::{KeyShare, Upstream};
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One stand-in.
pub struct SimulatedUpstream {
    pub profile: ServiceProfile,
    pub instance: String,
    pub address: String,
    pub place: Endpoint,
    pub up: bool,
    pub incarnation: u64,
    pub state: protocol::UpstreamState,
    pub warm: bool,
    pub heartbeat: u64,
    /// The control node that it says its leaving to first, and when one acknowledged it.
    pub draining_node: Option<usize>,
    pub draining_acked_at: Option<Duration>,
    /// It signed off before it ever said that it leaves: it beats no more, and serves on.
    pub deregistered: bool,
    pub holder: u64,
    /// Slot, epoch and end of what it holds.
    pub holds: BTreeMap<u32, (u64, Duration)>,
    /// The same, where keys are numbers.
    pub range_leases: RangeLeases,
    pub busy: u32,
    /// Of a thousand answers, how many are lost after the work was done.
    pub loses_per_mille: u64,
    pub garbles_per_mille: u64,
    pub paused_until: Duration,
    /// How its clock runs, in parts of a million more than true time.
    pub drift: i64,
}

impl World {
    pub(super) fn create_upstreams(&mut self) {
        let shape = self.shape.clone();
        shape.profiles().for_each(|(profile, count)| {
            (0..count).for_each(|at| {
                // Marks stand apart from one another.
                let place = crate::shapes::marker_index(profile.service).unwrap_or(at);
                let number = self.push_upstream(profile, at, shape.locality(place), true);
                let first = Duration::from_millis(5000 + self.random.below(500));
                self.at(
                    first,
                    Action::Heartbeat {
                        upstream: number,
                        incarnation: 1,
                    },
                );
            });
        });
    }

    fn push_upstream(
        &mut self,
        profile: ServiceProfile,
        at: usize,
        locality: String,
        warm: bool,
    ) -> usize {
        let number = self.upstreams.len();
        // The contract of numeric keys allows for clocks that are twice as slow.
        let slow = if profile.numbered { 2 * DRIFT } else { DRIFT };
        self.upstreams.push(SimulatedUpstream {
            profile,
            instance: format!("{}-{at}", profile.service),
            address: format!("10.0.{}.{}:80", number / 200, number % 200),
            place: Endpoint {
                machine: None,
                locality,
            },
            up: true,
            incarnation: 1,
            state: protocol::UpstreamState::Ready,
            warm,
            heartbeat: 0,
            draining_node: None,
            draining_acked_at: None,
            deregistered: false,
            holder: 0,
            holds: BTreeMap::new(),
            range_leases: RangeLeases::default(),
            busy: 0,
            loses_per_mille: 0,
            garbles_per_mille: 0,
            paused_until: Duration::ZERO,
            drift: self.random.below(slow + DRIFT) as i64 - slow as i64,
        });
        number
    }

    /// A further upstream, empty and cold.
    pub(super) fn add_upstream(&mut self, at: usize) -> usize {
        let (profile, place) = (self.shape.services[at % 3], self.shape.locality(at));
        let upstream = self.push_upstream(profile, 100 + self.upstreams.len(), place, false);
        self.after(
            Duration::from_millis(10),
            Action::Heartbeat {
                upstream,
                incarnation: 1,
            },
        );
        upstream
    }

    /// Starts a new instance in the place of an old one, perhaps of another service.
    pub(super) fn replace_upstream(&mut self, at: usize, profile: ServiceProfile, warm: bool) {
        let incarnation = self.upstreams[at].incarnation + 1;
        let upstream = &mut self.upstreams[at];
        upstream.profile = profile;
        upstream.incarnation = incarnation;
        upstream.instance = format!("{}-{at}-{incarnation}", profile.service);
        upstream.up = true;
        upstream.state = protocol::UpstreamState::Ready;
        upstream.warm = warm;
        upstream.heartbeat = 0;
        (
            upstream.draining_node,
            upstream.draining_acked_at,
            upstream.deregistered,
        ) = (None, None, false);
        upstream.holder = 0;
        upstream.holds.clear();
        upstream.range_leases = RangeLeases::default();
        upstream.busy = 0;
        upstream.paused_until = Duration::ZERO;
        self.after(
            Duration::from_millis(10),
            Action::Heartbeat {
                upstream: at,
                incarnation,
            },
        );
    }

    pub(super) fn crash_upstream(&mut self, at: usize) {
        let upstream = &mut self.upstreams[at];
        upstream.up = false;
        upstream.incarnation += 1;
        let (service, instance) = (
            upstream.profile.service.to_owned(),
            upstream.instance.clone(),
        );
        let held_epoch = std::mem::take(&mut upstream.holds)
            .into_keys()
            .map(|slot| slot..slot + 1);
        let held_epoch: Vec<Range<u32>> = held_epoch
            .chain(std::mem::take(&mut upstream.range_leases).keys())
            .collect();
        held_epoch.into_iter().for_each(|keys| {
            self.note(Observation::KeysReleased {
                service: service.clone(),
                keys,
                instance: instance.clone(),
            });
        });
    }

    pub(super) fn heartbeat(&mut self, at: usize, incarnation: u64) {
        let now = self.now;
        if !self.upstreams[at].up
            || self.upstreams[at].incarnation != incarnation
            || self.is_deregistered(at)
        {
            return;
        }
        if now < self.upstreams[at].paused_until {
            let until = self.upstreams[at].paused_until;
            return self.at(
                until,
                Action::Heartbeat {
                    upstream: at,
                    incarnation,
                },
            );
        }
        self.after(
            HEARTBEAT_INTERVAL,
            Action::Heartbeat {
                upstream: at,
                incarnation,
            },
        );
        self.send_heartbeat(at);
    }

    /// A beat that nobody took is sent to another postmaster, unless a newer one was sent meanwhile.
    pub(super) fn retry_heartbeat(&mut self, at: usize, incarnation: u64, heartbeat: u64) {
        let upstream = &self.upstreams[at];
        let is_latest = upstream.incarnation == incarnation && upstream.heartbeat == heartbeat;
        if upstream.up
            && is_latest
            && self.now >= upstream.paused_until
            && !self.is_deregistered(at)
        {
            self.send_heartbeat(at);
        }
    }

    /// One beat, to some postmaster.
    pub(super) fn send_heartbeat(&mut self, at: usize) {
        let (now, incarnation) = (self.now, self.upstreams[at].incarnation);
        if self.upstreams[at].profile.numbered {
            self.release_keys(at);
        }
        let control_nodes = self.control_nodes();
        let node = control_nodes[self.random.below(control_nodes.len() as u64) as usize];
        let upstream = &mut self.upstreams[at];
        let node = upstream.draining_node.unwrap_or(node);
        upstream.heartbeat += 1;
        let holds = upstream.holds.iter().filter(|(_, (_, until))| now < *until);
        let holds = holds.map(|(slot, (epoch, _))| KeyShare {
            from: *slot,
            until: slot + 1,
            epoch: *epoch,
            ..KeyShare::default()
        });
        let told = Upstream {
            service: upstream.profile.service.into(),
            instance: upstream.instance.clone(),
            address: upstream.address.clone(),
            locality: upstream.place.locality.clone(),
            free_slots: self.load.slots.saturating_sub(upstream.busy),
            warm: upstream.warm,
            state: upstream.state.into(),
            beat: upstream.heartbeat,
            holder: upstream.holder,
            holds: holds.chain(upstream.range_leases.listed(now)).collect(),
            released: upstream.range_leases.released.clone(),
            ..Upstream::default()
        };
        let (heartbeat, place) = (upstream.heartbeat, upstream.place.clone());
        let delay = self
            .network
            .delay(&mut self.random, &place, &self.nodes[node].place);
        delay.into_iter().for_each(|delay| {
            let request_id = self.allocate_id();
            self.operators
                .pending_heartbeats
                .insert(request_id, (at, incarnation, heartbeat, now, node));
            let event = NodeEvent::ControlRequest {
                request_id,
                ask: self.heartbeat_or_deregister(at, told.clone()),
            };
            self.after(delay, Action::Deliver { node, event });
        });
    }

    /// A postmaster answered a beat.
    pub(super) fn heartbeat_answered(
        &mut self,
        from: (usize, u64, u64, Duration, usize),
        answer: ControlResponse,
    ) {
        let (upstream, incarnation, heartbeat, sent_at, node) = from;
        if let ControlResponse::Redirect { to } = &answer {
            self.upstreams[upstream].draining_node =
                self.upstreams[upstream].draining_node.and(self.named(to));
        }
        let ControlResponse::Heartbeat {
            holder,
            shares,
            span,
        } = answer
        else {
            self.try_next_draining_node(upstream, node);
            // Nobody there, or on its way out: another one, soon.
            return self.after(
                HEARTBEAT_RETRY_DELAY,
                Action::RetryHeartbeat {
                    upstream,
                    incarnation,
                    heartbeat,
                },
            );
        };
        self.draining_acknowledged(upstream, incarnation);
        if self.upstreams[upstream].deregistered {
            return;
        }
        if self.upstreams[upstream].profile.numbered {
            return self.send_range_grants(from, shares, span);
        }
        let json = control_plane::heartbeat_json(holder, shares, span);
        let delay = self.network.delay(
            &mut self.random,
            &self.nodes[node].place,
            &self.upstreams[upstream].place,
        );
        delay.into_iter().for_each(|delay| {
            let json = json.clone();
            self.after(
                delay,
                Action::ReceiveGrants {
                    upstream,
                    incarnation,
                    heartbeat,
                    sent_at,
                    json,
                },
            );
        });
    }

    /// One that leaves goes on to the next node after a refusal.
    fn try_next_draining_node(&mut self, upstream: usize, refused_by: usize) {
        let control_nodes = self.control_nodes();
        let upstream = &mut self.upstreams[upstream];
        if upstream.draining_node == Some(refused_by) {
            let at = control_nodes
                .iter()
                .position(|node| *node == refused_by)
                .unwrap_or(0);
            upstream.draining_node = Some(control_nodes[(at + 1) % control_nodes.len()]);
        }
    }

    /// Its leaving was acknowledged, and from now on it beats there.
    fn draining_acknowledged(&mut self, upstream: usize, incarnation: u64) {
        let upstream = &mut self.upstreams[upstream];
        if upstream.incarnation == incarnation
            && upstream.state == protocol::UpstreamState::Draining
            && upstream.draining_acked_at.is_none()
        {
            upstream.draining_acked_at = Some(self.now);
            let instance =
                Some(upstream.instance.clone()).filter(|_| upstream.draining_node.is_some());
            instance
                .into_iter()
                .for_each(|instance| self.note(Observation::UpstreamDraining { instance }));
        }
    }

    /// Only the answer to the latest beat counts, and only what has not run out.
    pub(super) fn receive_grants(
        &mut self,
        at: usize,
        incarnation: u64,
        heartbeat: u64,
        sent_at: Duration,
        json: &JsonValue,
    ) {
        let now = self.now;
        let upstream = &mut self.upstreams[at];
        let told = json.count("holder").unwrap_or(0);
        let new_holder = upstream.up
            && upstream.incarnation == incarnation
            && upstream.heartbeat == heartbeat
            && upstream.holder != told;
        if new_holder {
            upstream.holder = told;
        }
        if new_holder && told > 0 && upstream.profile.keyed && now >= upstream.paused_until {
            // The next beat proves that it knows the new holder: the sooner, the less runs out.
            self.send_heartbeat(at);
        }
        let upstream = &mut self.upstreams[at];
        let span_ms = json
            .count("spanMs")
            .filter(|_| json.get("shares").is_some());
        let Some(span_ms) = span_ms.filter(|_| {
            upstream.up && upstream.incarnation == incarnation && upstream.heartbeat == heartbeat
        }) else {
            return;
        };
        if now < upstream.paused_until {
            let until = upstream.paused_until;
            let json = json.clone();
            return self.at(
                until,
                Action::ReceiveGrants {
                    upstream: at,
                    incarnation,
                    heartbeat,
                    sent_at,
                    json,
                },
            );
        }
        let until = sent_at
            + true_span(Duration::from_millis(span_ms), upstream.drift)
            + self.defects.lease_overrun;
        let given = granted_slots(json);
        let (service, instance) = (
            upstream.profile.service.to_owned(),
            upstream.instance.clone(),
        );
        let gone: Vec<u32> = upstream
            .holds
            .keys()
            .filter(|slot| !given.contains_key(slot))
            .copied()
            .collect();
        gone.iter().for_each(|slot| {
            upstream.holds.remove(slot);
        });
        let live = now < until;
        if live {
            upstream
                .holds
                .extend(given.iter().map(|(slot, epoch)| (*slot, (*epoch, until))));
        }
        gone.into_iter().for_each(|slot| {
            self.note(Observation::KeysReleased {
                service: service.clone(),
                keys: slot..slot + 1,
                instance: instance.clone(),
            });
        });
        given.into_keys().filter(|_| live).for_each(|slot| {
            self.note(Observation::KeysHeld {
                service: service.clone(),
                keys: slot..slot + 1,
                instance: instance.clone(),
                until,
            });
        });
    }

    /// Its clock stood still for so long: what it holds seems to last that much longer.
    pub(super) fn extend_leases(&mut self, at: usize, span: Duration) {
        let upstream = &mut self.upstreams[at];
        upstream
            .holds
            .values_mut()
            .for_each(|(_, until)| *until += span);
        let (service, instance) = (
            upstream.profile.service.to_owned(),
            upstream.instance.clone(),
        );
        upstream.range_leases.until += span;
        upstream.range_leases.ending_until += span;
        let slots = upstream
            .holds
            .iter()
            .map(|(slot, (_, until))| (*slot..slot + 1, *until));
        let held_epoch: Vec<(Range<u32>, Duration)> =
            slots.chain(upstream.range_leases.spans()).collect();
        held_epoch.into_iter().for_each(|(keys, until)| {
            self.note(Observation::KeysHeld {
                service: service.clone(),
                keys,
                instance: instance.clone(),
                until,
            });
        });
    }

    /// A proxy's connection reaches the address. A paused upstream's machine still takes it.
    pub(super) fn accept_connection(&mut self, exchange: u64, send: u32, address: &str, cut: bool) {
        let at = self
            .upstreams
            .iter()
            .position(|upstream| upstream.address == address);
        let up = at.filter(|at| self.upstreams[*at].up && !cut);
        let Some(at) = up else {
            return self.return_response(
                exchange,
                send,
                Err(transport::CallError::NotConnected),
                Duration::from_micros(300),
            );
        };
        let incarnation = (at, self.upstreams[at].incarnation);
        let node = self.exchanges.get(&exchange).map(|exchange| exchange.node);
        node.into_iter().for_each(|node| {
            let (from, to) = (
                self.upstreams[at].place.clone(),
                self.nodes[node].place.clone(),
            );
            let delay = self.network.delay(&mut self.random, &from, &to);
            delay.into_iter().for_each(|delay| {
                self.after(
                    delay,
                    Action::Deliver {
                        node,
                        event: NodeEvent::Connected {
                            exchange,
                            send,
                            incarnation,
                        },
                    },
                );
            });
        });
    }

    /// A proxy's request reaches whoever accepted its connection, if it still lives.
    pub(super) fn receive_call(&mut self, exchange: u64, send: u32, cut: bool) {
        let incarnation = self
            .exchanges
            .get(&exchange)
            .filter(|exchange| exchange.send == send)
            .and_then(|exchange| exchange.incarnation);
        let alive = incarnation.filter(|(at, incarnation)| {
            self.upstreams[*at].up && self.upstreams[*at].incarnation == *incarnation && !cut
        });
        let Some((at, _)) = alive else {
            return self.return_response(
                exchange,
                send,
                Err(transport::CallError::ConnectionLost),
                Duration::from_micros(300),
            );
        };
        if self.now < self.upstreams[at].paused_until {
            let until = self.upstreams[at].paused_until;
            return self.at(
                until,
                Action::ReceiveCall {
                    exchange,
                    send,
                    cut,
                },
            );
        }
        if self.draw_hang() {
            return;
        }
        if self.draw_reset() {
            return self.return_response(
                exchange,
                send,
                Err(transport::CallError::ConnectionLost),
                Duration::from_micros(300),
            );
        }
        let Some(call) = self
            .exchanges
            .get(&exchange)
            .map(|exchange| exchange.sent.clone())
        else {
            return;
        };
        let now = self.now;
        let upstream = &mut self.upstreams[at];
        let arrived = Observation::RequestArrived {
            attempt_id: call.attempt_id.clone(),
            service: call.path.into(),
            instance: upstream.instance.clone(),
            locality: upstream.place.locality.clone(),
            cold: !upstream.warm,
        };
        let slot = key_space::slot_of_key(&call.key);
        let held_epoch = upstream
            .holds
            .get(&slot)
            .filter(|(_, until)| now < *until)
            .map(|(epoch, _)| *epoch);
        // A back end of another service, which took over the address, knows nothing of this path.
        let marker = marker_index(upstream.profile.service);
        let mine =
            upstream.profile.service == call.path || (marker.is_some() && call.path == "probe");
        let number = call
            .key
            .parse::<u32>()
            .ok()
            .filter(|_| upstream.profile.numbered);
        let may = match (upstream.profile.keyed, number) {
            (false, _) => true,
            (true, Some(key)) => upstream.range_leases.holds(key, now),
            (true, None) => held_epoch.is_some() && held_epoch == call.epoch,
        };
        let runs = mine && upstream.busy < self.load.slots && may;
        let (instance, at_most_once, incarnation) = (
            upstream.instance.clone(),
            upstream.profile.at_most_once,
            upstream.incarnation,
        );
        if runs {
            upstream.busy += 1;
            upstream
                .range_leases
                .working
                .extend(number.map(|key| ((exchange, send), key)));
        }
        self.note(arrived);
        let node = self
            .exchanges
            .get(&exchange)
            .map(|exchange| self.nodes[exchange.node].name.clone());
        let probed = node
            .zip(marker)
            .map(|(node, marker)| Observation::MarkerReached { node, marker });
        probed.into_iter().for_each(|probed| self.note(probed));
        if runs {
            self.note(Observation::OperationExecuted {
                operation: call.operation.clone(),
                attempt_id: call.attempt_id.clone(),
                at_most_once,
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
                Action::FinishCall {
                    exchange,
                    send,
                    upstream: at,
                    incarnation,
                },
            );
        } else {
            self.return_response(
                exchange,
                send,
                Ok(Response::sealed(
                    &call.attempt_id,
                    &instance,
                    503,
                    "not run",
                )),
                Duration::from_micros(500),
            );
        }
    }

    pub(super) fn finish_call(&mut self, exchange: u64, send: u32, at: usize, incarnation: u64) {
        let lost = self.random.below(1000) < self.upstreams[at].loses_per_mille;
        let garbled = self.random.below(1000) < self.upstreams[at].garbles_per_mille;
        let alive = self.upstreams[at].up && self.upstreams[at].incarnation == incarnation;
        if alive {
            self.upstreams[at].busy = self.upstreams[at].busy.saturating_sub(1);
            self.upstreams[at]
                .range_leases
                .working
                .remove(&(exchange, send));
        }
        let Some(call) = self
            .exchanges
            .get(&exchange)
            .map(|exchange| exchange.sent.clone())
        else {
            return;
        };
        let mut reply = Response::sealed(
            &call.attempt_id,
            &self.upstreams[at].instance,
            200,
            &call.operation,
        );
        if garbled {
            // Cut short, or the whole and well sealed verdict of somebody else's try.
            if self.random.below(2) == 0 {
                reply.body.truncate(reply.body.len() / 2);
            } else {
                reply = Response::sealed(
                    "try-of-another",
                    &self.upstreams[at].instance,
                    200,
                    "work-of-another",
                );
            }
        }
        let lost = lost || self.draw_reset();
        let called = if lost || !alive {
            Err(transport::CallError::ConnectionLost)
        } else {
            Ok(reply)
        };
        let from = self.upstreams[at].place.clone();
        let to = self
            .exchanges
            .get(&exchange)
            .map(|exchange| self.nodes[exchange.node].place.clone());
        let delay = to.and_then(|to| self.network.delay(&mut self.random, &from, &to));
        delay.into_iter().for_each(|delay| {
            called
                .iter()
                .for_each(|reply| self.send_duplicate_response(exchange, reply, delay));
            self.return_response(exchange, send, called.clone(), delay);
        });
    }
}
