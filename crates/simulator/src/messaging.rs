//! Messages and datagrams between nodes, and the delivery of events.

use crate::nodes::NodeEvent;
use crate::schedule::Action;
use crate::world::World;
use control_plane::ControlResponse;
use protocol::{Envelope, HeartbeatsAck, Message, Payload, ReadBack, ViewUpdate};
use std::time::Duration;

impl World {
    pub(crate) fn named(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }

    pub(crate) fn send(&mut self, from: usize, to: &str, body: Payload) {
        if self.defects.withholds_upstream_views
            && matches!(&body, Payload::ViewUpdate(news) if news.keeps_unlisted_upstreams)
        {
            return;
        }
        let body = self.strip_placement(to, body);
        self.forge_agreement(from, to, &body);
        if self.defects.never_replaces_voters
            && matches!(&body, Payload::Bootstrapped(told) if !told.voter_set.contains(to))
        {
            return;
        }
        self.messages += 1;
        let envelope = Envelope {
            from: self.nodes[from].name.clone(),
            body: Some(body.clone()),
        };
        self.message_bytes += envelope.encoded_len() as u64;
        let Some(to) = self.named(to) else { return };
        self.network.count(
            &self.nodes[from].place,
            &self.nodes[to].place,
            &body,
            envelope.encoded_len(),
        );
        let delay = self.network.delay(
            &mut self.random,
            &self.nodes[from].place,
            &self.nodes[to].place,
        );
        delay.into_iter().for_each(|delay| {
            let at = self.network.in_order(from, to, self.now + delay);
            let event = NodeEvent::Envelope {
                from: self.nodes[from].name.clone(),
                body: body.clone(),
            };
            self.at(at, Action::Deliver { node: to, event });
        });
    }

    /// In a defective system: updates to the first proxy lack the changes of the placement.
    fn strip_placement(&self, to: &str, body: Payload) -> Payload {
        let is_first = || {
            self.nodes
                .iter()
                .find(|node| node.data_node().is_some())
                .is_some_and(|node| node.name == to)
        };
        match body {
            Payload::ViewUpdate(news)
                if self.defects.withholds_placement_changes && news.number > 0 && is_first() =>
            {
                Payload::ViewUpdate(ViewUpdate {
                    placement: None,
                    ..news
                })
            }
            other => other,
        }
    }

    /// In a defective system: a response that no peer sent.
    fn forge_agreement(&mut self, at: usize, other: &str, body: &Payload) {
        let answer = match body {
            Payload::Read(read) if self.defects.forges_peer_agreement => {
                Payload::ReadBack(ReadBack {
                    nonce: read.nonce,
                    ..ReadBack::default()
                })
            }
            Payload::DeparturesRead(asked) if self.defects.forges_peer_agreement => {
                Payload::ReadBack(ReadBack {
                    nonce: asked.read.nonce,
                    ..ReadBack::default()
                })
            }
            Payload::Heartbeats(heartbeats)
                if self.defects.skips_departure_acks && heartbeats.nonce != 0 =>
            {
                Payload::HeartbeatsAck(HeartbeatsAck {
                    nonce: heartbeats.nonce,
                })
            }
            _ => return,
        };
        let event = NodeEvent::Envelope {
            from: other.to_owned(),
            body: answer,
        };
        self.after(
            Duration::from_micros(1),
            Action::Deliver { node: at, event },
        );
    }

    pub(crate) fn datagram(&mut self, from: usize, to: &str, body: Payload) {
        let Some(to) = self.named(to) else { return };
        let envelope = Envelope {
            from: String::new(),
            body: Some(body.clone()),
        };
        self.network.count(
            &self.nodes[from].place,
            &self.nodes[to].place,
            &body,
            envelope.encoded_len(),
        );
        let delay = self.network.delay(
            &mut self.random,
            &self.nodes[from].place,
            &self.nodes[to].place,
        );
        delay.into_iter().for_each(|delay| {
            let event = NodeEvent::Datagram {
                address: self.nodes[from].name.clone(),
                body: body.clone(),
            };
            self.after(delay, Action::Deliver { node: to, event });
        });
    }

    pub(crate) fn deliver(&mut self, at: usize, event: NodeEvent) {
        let node = &mut self.nodes[at];
        if !node.up {
            return self.reject_undeliverable(event);
        }
        if let Some((_, waiting)) = &mut node.frozen {
            return waiting.push(event);
        }
        match event {
            NodeEvent::Lookup {
                operation,
                name,
                place,
                asked_at,
            } => self.answer_lookup(at, operation, &name, &place, asked_at),
            NodeEvent::Request { exchange, request } => self.receive_request(at, exchange, request),
            NodeEvent::Connected {
                exchange,
                send,
                incarnation,
            } => self.connection_opened(at, exchange, send, incarnation),
            NodeEvent::WakeUp { exchange } => self.wake_exchange(at, exchange),
            NodeEvent::CallEnded {
                exchange,
                send,
                outcome,
                reply,
            } => self.receive_outcome(at, exchange, send, outcome, reply),
            other => self.step_node(at, Some(other)),
        }
    }

    /// What was sent to a process that is down: the sender learns at once that it can't connect.
    fn reject_undeliverable(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Lookup {
                operation,
                asked_at,
                ..
            } => {
                self.after(
                    Duration::from_millis(1),
                    Action::ReceiveLookup {
                        operation,
                        answer: None,
                        asked_at,
                    },
                );
            }
            NodeEvent::Request { request, .. } => {
                self.fail_request(&request, Err(transport::CallError::NotConnected));
            }
            NodeEvent::ControlRequest { request_id, .. } => {
                let answer = ControlResponse::Outcome {
                    code: result_code::ResultCode::NoControlNode,
                    revision: 0,
                };
                self.control_responded(request_id, answer);
            }
            _ => {}
        }
    }
}
