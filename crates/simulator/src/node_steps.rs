//! Steps of the nodes' cores, and their effects.

use crate::disks::Write;
use crate::nodes::{Core, NodeEvent};
use crate::schedule::Action;
use crate::world::World;
use control_plane::ControlResponse;
use std::time::Duration;

/// Between two ticks of a node.
const TICK: Duration = Duration::from_millis(50);

impl World {
    pub(crate) fn tick(&mut self, at: usize, incarnation: u64) {
        let node = &self.nodes[at];
        if node.incarnation != incarnation || node.frozen.is_some() {
            return;
        }
        self.after(
            TICK,
            Action::Tick {
                node: at,
                incarnation,
            },
        );
        self.step_node(at, None);
    }

    /// Steps a core with an event, or with a tick, and carries out its effects.
    pub(crate) fn step_node(&mut self, at: usize, event: Option<NodeEvent>) {
        if let Some(NodeEvent::ControlRequest { request_id, ask }) = &event {
            self.note_asked(at, *request_id, ask);
        }
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = node.local(now);
        match &mut node.core {
            Core::ControlNode(control) => {
                use control_plane::Event;
                let event = match event {
                    None => Event::Tick,
                    Some(NodeEvent::Envelope { from, body }) => Event::Received { from, body },
                    Some(NodeEvent::Datagram { address, body }) => {
                        Event::Datagram { address, body }
                    }
                    Some(NodeEvent::ControlRequest { request_id, ask }) => Event::ControlRequest {
                        request_id,
                        request: ask,
                    },
                    Some(_) => return,
                };
                let effects = control.step(local, event);
                self.run_control_effects(at, effects);
                self.end_if_done(at);
            }
            Core::DataNode(data_node, proxy_stats) => {
                use data_plane::Event;
                if event.is_none() && local >= node.next_sweep {
                    node.next_sweep = local + Duration::from_secs(1);
                    let counts = proxy_stats.drain_key_loads();
                    if !self.defects.drops_key_counts {
                        data_node.step(local, Event::KeyLoadsCounted(counts));
                    }
                    let view = data_node.view();
                    proxy_stats.sweep(local, |instance| {
                        view.upstreams
                            .values()
                            .any(|known| known.contains_key(instance))
                    });
                }
                let event = match event {
                    None => Event::Tick,
                    Some(NodeEvent::Envelope { from, body }) => Event::Received { from, body },
                    Some(NodeEvent::Datagram { address, body }) => {
                        Event::Datagram { address, body }
                    }
                    Some(_) => return,
                };
                let effects = data_node.step(local, event);
                self.run_data_node(at, effects);
                self.end_if_done(at);
            }
            Core::Down => {}
        }
    }

    pub(crate) fn run_data_node(&mut self, at: usize, effects: Vec<data_plane::Effect>) {
        effects.into_iter().for_each(|effect| match effect {
            data_plane::Effect::Send { to, body } => self.send(at, &to, body),
            data_plane::Effect::Datagram { address, body } => self.datagram(at, &address, body),
            data_plane::Effect::Publish => self.wake_all(at),
            data_plane::Effect::Addresses(_)
            | data_plane::Effect::Phase(_)
            | data_plane::Effect::Log(_) => {}
        });
    }

    /// Heartbeats may have announced capacity.
    fn wake_all(&self, at: usize) {
        if let Core::DataNode(_, proxy_stats) = &self.nodes[at].core {
            proxy_stats.wake_all();
        }
    }

    pub(crate) fn run_control_effects(&mut self, at: usize, effects: Vec<control_plane::Effect>) {
        effects.into_iter().for_each(|effect| match effect {
            control_plane::Effect::Send { to, body } => self.send(at, &to, body),
            control_plane::Effect::SendDatagram { address, body } => {
                self.datagram(at, &address, body)
            }
            control_plane::Effect::Persist { write_id, durable } => {
                self.write(at, Write::State(write_id, durable))
            }
            control_plane::Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                self.write(at, Write::Configuration(write_id, digest, bytes));
            }
            control_plane::Effect::PersistDepartures {
                write_id,
                departures,
            } => self.write_departures(at, write_id, departures),
            control_plane::Effect::DeleteConfiguration { digest } => {
                self.write(at, Write::Drop(digest))
            }
            control_plane::Effect::Respond {
                request_id,
                response,
            } => self.control_answered(at, request_id, response),
            control_plane::Effect::UpdateAddresses(_)
            | control_plane::Effect::Log(_)
            | control_plane::Effect::LogError(_) => {}
        });
    }

    fn control_answered(&mut self, at: usize, request_id: u64, answer: ControlResponse) {
        self.note_confirmation(at, request_id, &answer);
        if matches!(
            answer,
            ControlResponse::Outcome {
                code: result_code::ResultCode::Success,
                ..
            }
        ) {
            self.restart_if_awaited();
        }
        self.control_responded(request_id, answer);
    }
}
