//! Heartbeats of upstreams, and the key grants in the responses to them.

use crate::grants::granted_slots;
use crate::nodes::{NodeEvent, true_span};
use crate::schedule::Action;
use crate::world::World;
use config::JsonValue;
use control_plane::ControlResponse;
use invariants::observations::Observation;
use protocol::{KeyShare, Upstream};
use std::collections::BTreeMap;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A heartbeat that was sent and not responded to yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentHeartbeat {
    pub(crate) upstream: usize,
    pub(crate) incarnation: u64,
    /// The number of the heartbeat.
    pub(crate) heartbeat: u64,
    pub(crate) sent_at: Duration,
    /// The control node that it was sent to.
    pub(crate) node: usize,
}

impl World {
    pub(crate) fn heartbeat(&mut self, at: usize, incarnation: u64) {
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

    /// Sends a heartbeat that was not accepted to another control node, unless a newer one was sent meanwhile.
    pub(crate) fn retry_heartbeat(&mut self, at: usize, incarnation: u64, heartbeat: u64) {
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

    /// Sends one heartbeat to a random control node.
    pub(crate) fn send_heartbeat(&mut self, at: usize) {
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
            heartbeat_number: upstream.heartbeat,
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
            self.operators.pending_heartbeats.insert(
                request_id,
                SentHeartbeat {
                    upstream: at,
                    incarnation,
                    heartbeat,
                    sent_at: now,
                    node,
                },
            );
            let event = NodeEvent::ControlRequest {
                request_id,
                ask: self.heartbeat_or_deregister(at, told.clone()),
            };
            self.after(delay, Action::Deliver { node, event });
        });
    }

    /// A control node responded to a heartbeat.
    pub(crate) fn heartbeat_answered(&mut self, sent: SentHeartbeat, answer: ControlResponse) {
        let SentHeartbeat {
            upstream,
            incarnation,
            heartbeat,
            sent_at,
            node,
        } = sent;
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
            return self.send_range_grants(sent, shares, span);
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

    /// A draining upstream goes on to the next node after a rejection.
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

    /// Its draining was acknowledged, and from now on it sends its heartbeats there.
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

    /// Only the response to the latest heartbeat counts, and only what has not expired.
    pub(crate) fn receive_grants(
        &mut self,
        at: usize,
        incarnation: u64,
        heartbeat: u64,
        sent_at: Duration,
        json: &JsonValue,
    ) {
        let now = self.now;
        let upstream = &self.upstreams[at];
        if upstream.up && upstream.incarnation == incarnation && upstream.heartbeat == heartbeat {
            self.learn_lease_holder(at, json.count("holder").unwrap_or(0));
        }
        let upstream = &self.upstreams[at];
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
        self.replace_held_slots(at, granted_slots(json), until);
    }

    /// An upstream learns who holds the lease on the placement now; zero: nobody that the control node knows.
    fn learn_lease_holder(&mut self, at: usize, holder: u64) {
        let upstream = &mut self.upstreams[at];
        if upstream.holder == holder {
            return;
        }
        upstream.holder = holder;
        if holder > 0 && upstream.profile.keyed && self.now >= upstream.paused_until {
            // The next heartbeat proves that it knows the new holder: the sooner, the less expires.
            self.send_heartbeat(at);
        }
    }

    /// An upstream holds the granted slots until then, and releases all others.
    fn replace_held_slots(&mut self, at: usize, given: BTreeMap<u32, u64>, until: Duration) {
        let upstream = &mut self.upstreams[at];
        let service = upstream.profile.service.to_owned();
        let instance = upstream.instance.clone();
        let gone: Vec<u32> = upstream
            .holds
            .keys()
            .filter(|slot| !given.contains_key(slot))
            .copied()
            .collect();
        gone.iter().for_each(|slot| {
            upstream.holds.remove(slot);
        });
        let live = self.now < until;
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
}
