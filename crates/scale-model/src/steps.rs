//! How a hollow node takes a step, and what becomes of its effects.

use super::event_queue::{ScheduledEvent, Write};
use super::fleet::{Core, Fleet};
use super::traffic_stats::{FlowKey, Reach, Role, Stopwatch, kind};
use protocol::{Envelope, Message, Payload};
use std::time::Duration;

const SYNC: Duration = Duration::from_millis(2);
/// A frame's length on a link.
const FRAME: usize = 4;

impl Fleet {
    pub(super) fn step(
        &mut self,
        at: usize,
        kind: &'static str,
        data_node: data_plane::Event,
        control: control_plane::Event,
    ) {
        match self.nodes[at].role {
            Role::DataNode => self.step_data_node(at, kind, data_node),
            _ => self.step_control(at, kind, control),
        }
    }

    pub(super) fn envelope(&mut self, at: usize, from: usize, body: Payload) {
        let (from, kind) = (self.nodes[from].name.clone(), kind(&body));
        match self.nodes[at].role {
            Role::DataNode => {
                self.step_data_node(at, kind, data_plane::Event::Received { from, body })
            }
            _ => self.step_control(at, kind, control_plane::Event::Received { from, body }),
        }
    }

    pub(super) fn step_data_node(
        &mut self,
        at: usize,
        kind: &'static str,
        event: data_plane::Event,
    ) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = now - node.started_at;
        let Core::DataNode(data_node, view) = &mut node.core else {
            return;
        };
        let watch = Stopwatch::start();
        let effects = data_node.step(local, event);
        if effects
            .iter()
            .any(|effect| matches!(effect, data_plane::Effect::Publish))
        {
            **view = data_node.view().clone();
        }
        self.stats
            .record_step(Role::DataNode, at, kind, watch.took());
        effects.into_iter().for_each(|effect| match effect {
            data_plane::Effect::Send { to, body } => self.send(at, &to, body, true),
            data_plane::Effect::Datagram { address, body } => self.send(at, &address, body, false),
            data_plane::Effect::Addresses(book) => self.look_up(at, &book),
            _ => {}
        });
    }

    pub(super) fn step_control(
        &mut self,
        at: usize,
        kind: &'static str,
        event: control_plane::Event,
    ) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let local = now - node.started_at;
        let Core::ControlNode(control) = &mut node.core else {
            return;
        };
        let watch = Stopwatch::start();
        let effects = control.step(local, event);
        let took = watch.took();
        node.role = match node.role {
            Role::Replica => Role::Replica,
            _ if control.holds_placement(local) => Role::Holder,
            _ => Role::Voter,
        };
        self.stats.record_step(node.role, at, kind, took);
        effects.into_iter().for_each(|effect| match effect {
            control_plane::Effect::Send { to, body } => self.send(at, &to, body, true),
            control_plane::Effect::SendDatagram { address, body } => {
                self.send(at, &address, body, false)
            }
            control_plane::Effect::Persist { write_id, durable } => {
                self.persist(at, write_id, Write::State(durable))
            }
            control_plane::Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                self.persist(at, write_id, Write::Configuration(digest, bytes));
            }
            control_plane::Effect::PersistDepartures { write_id, .. } => {
                self.step_control(
                    at,
                    "kept",
                    control_plane::Event::DeparturesPersisted { write_id },
                );
            }
            control_plane::Effect::DeleteConfiguration { digest } => {
                drop(self.nodes[at].configurations.remove(&digest))
            }
            control_plane::Effect::Respond {
                request_id,
                response: answer,
            } => self.answered(at, request_id, answer),
            control_plane::Effect::UpdateAddresses(book) => self.look_up(at, &book),
            control_plane::Effect::Log(_) | control_plane::Effect::LogError(_) => {}
        });
    }

    fn persist(&mut self, at: usize, write_id: u64, write: Write) {
        let node = &mut self.nodes[at];
        node.synced_at = node.synced_at.max(self.now) + SYNC;
        let incarnation = node.incarnation;
        self.queue.push(
            node.synced_at,
            ScheduledEvent::Synced {
                node: at,
                incarnation,
                write_id,
                write,
            },
        );
    }

    pub(super) fn synced(&mut self, at: usize, incarnation: u64, write_id: u64, write: Write) {
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation {
            return;
        }
        match write {
            Write::State(durable) => node.durable = durable,
            Write::Configuration(digest, bytes) => drop(node.configurations.insert(digest, bytes)),
        }
        self.step_control(
            at,
            "synced",
            control_plane::Event::WriteCompleted { write_id },
        );
    }

    /// Sends a message over a link, or as a datagram.
    fn send(&mut self, from: usize, to: &str, body: Payload, reliable: bool) {
        let Some(to) = self.named.get(to).copied() else {
            return;
        };
        let kind = kind(&body);
        let envelope = Envelope {
            from: if reliable {
                self.nodes[from].name.clone()
            } else {
                String::new()
            },
            body: Some(body),
        };
        let bytes = envelope.encoded_len() + if reliable { FRAME } else { 0 };
        let (here, there) = (self.nodes[from].zone, self.nodes[to].zone);
        let key = FlowKey {
            from: self.nodes[from].role,
            to: self.nodes[to].role,
            kind,
            reach: self.reach(here, there),
        };
        self.stats.sent(key, bytes as u64);
        let (Some(delay), Some(body)) = (self.delay(here, there), envelope.body) else {
            return;
        };
        let at = self.now + delay;
        if reliable {
            let last = self.in_order.entry((from, to)).or_default();
            *last = at.max(*last + Duration::from_nanos(1));
            self.queue.push(
                *last,
                ScheduledEvent::Envelope {
                    node: to,
                    from,
                    body,
                },
            );
        } else {
            self.queue.push(
                at,
                ScheduledEvent::Datagram {
                    node: to,
                    from,
                    body,
                },
            );
        }
    }

    pub(super) fn reach(&self, from: usize, to: usize) -> Reach {
        match (from == to, self.size.region(from) == self.size.region(to)) {
            (true, _) => Reach::Zone,
            (_, true) => Reach::Region,
            _ => Reach::Far,
        }
    }

    /// How long a message takes from zone to zone; none where it is lost.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        let within = |region: usize, zone: usize| self.size.region(zone) == region;
        let lost = self
            .partition_region
            .is_some_and(|region| within(region, from) != within(region, to));
        let base = match self.reach(from, to) {
            Reach::Zone => 200,
            Reach::Region => 1500,
            Reach::Far => 20_000,
        };
        let micros = base + self.random.below(base / 2 + 300);
        Some(Duration::from_micros(micros)).filter(|_| !lost)
    }

    /// One of the control nodes that are up.
    pub(super) fn some_control_node(&mut self) -> Option<usize> {
        let all = self
            .control_nodes
            .clone()
            .filter(|at| !matches!(self.nodes[*at].core, Core::Down));
        let up: Vec<usize> = all.collect();
        up.get(self.random.below(up.len() as u64) as usize).copied()
    }

    pub(super) fn request_id(&mut self) -> u64 {
        self.tokens += 1;
        self.tokens
    }
}
