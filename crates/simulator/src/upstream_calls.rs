//! Calls at an upstream: its connections, its admission of calls, their execution and responses.

use crate::exchanges::UpstreamCall;
use crate::nodes::NodeEvent;
use crate::responses::Response;
use crate::schedule::Action;
use crate::shapes::marker_index;
use crate::world::World;
use invariants::observations::Observation;
use std::time::Duration;

/// How long the reset of a connection, and a rejection, take to arrive.
const RESET_DELAY: Duration = Duration::from_micros(300);
const REJECTION_DELAY: Duration = Duration::from_micros(500);
/// Where some upstreams are slow: every so-many-th, so many times.
const SLOW_EVERY: usize = 6;
const SLOWDOWN: u32 = 3;

impl World {
    /// A proxy's connection reaches the address. A paused upstream's machine still takes it.
    pub(crate) fn accept_connection(&mut self, exchange: u64, send: u32, address: &str, cut: bool) {
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

    /// A proxy's request reaches the upstream that accepted its connection, if it still runs.
    pub(crate) fn receive_call(&mut self, exchange: u64, send: u32, cut: bool) {
        let accepted_by = self
            .exchanges
            .get(&exchange)
            .filter(|exchange| exchange.send == send)
            .and_then(|exchange| exchange.incarnation);
        let alive = accepted_by.filter(|(at, incarnation)| {
            self.upstreams[*at].up && self.upstreams[*at].incarnation == *incarnation && !cut
        });
        let Some((at, _)) = alive else {
            return self.reset_call(exchange, send);
        };
        let paused_until = self.upstreams[at].paused_until;
        if self.now < paused_until {
            let call_again = Action::ReceiveCall {
                exchange,
                send,
                cut,
            };
            return self.at(paused_until, call_again);
        }
        if self.draw_hang() {
            return;
        }
        if self.draw_reset() {
            return self.reset_call(exchange, send);
        }
        let Some(caller) = self.exchanges.get(&exchange) else {
            return;
        };
        let (call, proxy) = (caller.sent.clone(), self.nodes[caller.node].name.clone());
        let admitted = self.admit_call(at, exchange, send, &call);
        self.note_arrival(at, &call, proxy);
        if admitted {
            self.execute_call(at, exchange, send, &call);
        } else {
            let instance = &self.upstreams[at].instance;
            let rejected = Response::sealed(&call.attempt_id, instance, 503, "not run");
            self.return_response(exchange, send, Ok(rejected), REJECTION_DELAY);
        }
    }

    /// The connection of a call is reset.
    fn reset_call(&mut self, exchange: u64, send: u32) {
        let reset = Err(transport::CallError::ConnectionLost);
        self.return_response(exchange, send, reset, RESET_DELAY);
    }

    /// Takes a call in, where the upstream serves its path, has capacity and holds its key.
    fn admit_call(&mut self, at: usize, exchange: u64, send: u32, call: &UpstreamCall) -> bool {
        let now = self.now;
        let upstream = &mut self.upstreams[at];
        let profile = upstream.profile;
        // An upstream of another service, which took over the address, does not know this path.
        let serves_probes = marker_index(profile.service).is_some() && call.path == "probe";
        let serves_path = profile.service == call.path || serves_probes;
        let number = call.key.parse::<u32>().ok().filter(|_| profile.numbered);
        let holds_key = match (profile.keyed, number) {
            (false, _) => true,
            (true, Some(key)) => upstream.range_leases.holds(key, now),
            (true, None) => {
                let held_epoch = upstream.held_epoch(&call.key, now);
                held_epoch.is_some() && held_epoch == call.epoch
            }
        };
        if !serves_path || upstream.busy >= self.load.slots || !holds_key {
            return false;
        }
        upstream.busy += 1;
        if let Some(key) = number {
            upstream.range_leases.working.insert((exchange, send), key);
        }
        true
    }

    fn note_arrival(&mut self, at: usize, call: &UpstreamCall, proxy: String) {
        let upstream = &self.upstreams[at];
        let marker = marker_index(upstream.profile.service);
        self.note(Observation::RequestArrived {
            attempt_id: call.attempt_id.clone(),
            service: call.path.into(),
            instance: upstream.instance.clone(),
            locality: upstream.place.locality.clone(),
            cold: !upstream.warm,
        });
        if let Some(marker) = marker {
            self.note(Observation::MarkerReached {
                node: proxy,
                marker,
            });
        }
    }

    /// Executes an admitted call; it finishes after a random time.
    fn execute_call(&mut self, at: usize, exchange: u64, send: u32, call: &UpstreamCall) {
        self.note(Observation::OperationExecuted {
            operation: call.operation.clone(),
            attempt_id: call.attempt_id.clone(),
            at_most_once: self.upstreams[at].profile.at_most_once,
        });
        let (least, most) = self.load.takes;
        let is_slow = self.load.some_slow && at % SLOW_EVERY == SLOW_EVERY - 1;
        let factor = if is_slow { SLOWDOWN } else { 1 };
        let spread_micros = (most - least).as_micros() as u64;
        let takes = (least + Duration::from_micros(self.random.below(spread_micros))) * factor;
        self.after(
            takes,
            Action::FinishCall {
                exchange,
                send,
                upstream: at,
                incarnation: self.upstreams[at].incarnation,
            },
        );
    }

    pub(crate) fn finish_call(&mut self, exchange: u64, send: u32, at: usize, incarnation: u64) {
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
            // Truncated, or the complete and well sealed response to another attempt.
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
