//! Postmasters and carriers in the simulator: their cores, their disks, their effects.

use super::network::Endpoint;
use crate::exchanges::Exchange;
use crate::schedule::Action;
use crate::world::World;
use config::{Configuration, ValidationError};
use control_plane::{ControlNode, ControlRequest, ControlResponse};
use data_plane::DataNode;
use locality::Locality;
use name_directory::ConfigurationParser;
use protocol::{
    Departure, DurableState, Envelope, HeartbeatsAck, Member, Message, Payload, ReadBack,
    ViewUpdate,
};
use request_routing::{CallOutcome, ProxyContext, ProxyStats};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How many setups a disk keeps that drops the newest.
const MAX_KEPT_BLINDLY: usize = 32;
const TICK: Duration = Duration::from_millis(50);
/// How far a clock may run off, in parts of a million: a hundred times what real ones do.
pub const DRIFT: u64 = 10_000;

/// What a span counted by a clock that runs off comes to in true time.
pub fn true_span(span: Duration, drift: i64) -> Duration {
    span.mul_f64(1e6 / (1e6 + drift as f64))
}

/// What reaches a node.
#[derive(Clone)]
pub enum NodeEvent {
    Envelope {
        from: String,
        body: Payload,
    },
    Datagram {
        address: String,
        body: Payload,
    },
    ControlRequest {
        request_id: u64,
        ask: ControlRequest,
    },
    Lookup {
        operation: u64,
        name: String,
        place: String,
        asked_at: Duration,
    },
    Request {
        exchange: u64,
        request: crate::exchanges::Request,
    },
    Connected {
        exchange: u64,
        send: u32,
        incarnation: (usize, u64),
    },
    WakeUp {
        exchange: u64,
    },
    CallEnded {
        exchange: u64,
        send: u32,
        outcome: CallOutcome,
        reply: Option<crate::responses::Response>,
    },
}

pub enum Write {
    State(u64, DurableState),
    Configuration(u64, String, Vec<u8>),
    Drop(String),
}

/// A disk: what is synced, and what waits to be.
#[derive(Default)]
pub struct Disk {
    pub durable: DurableState,
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// Departures, and when they were written. They are never synced: a power cut takes them.
    pub departures: Option<(Duration, Vec<Departure>)>,
    pub waiting: VecDeque<Write>,
    /// How much longer a sync takes than it should.
    pub slowed: Duration,
    pub broken: bool,
    /// It takes no writes; each is tried again until it is done.
    pub rejects_writes: bool,
    /// The core was told that a write is tried again.
    pub retrying: bool,
    /// A sync that was begun does not end.
    pub hung: bool,
    /// The power is lost at the write that many from now: before it is synced, or right after.
    pub power_at: Option<(u32, bool)>,
    /// What a disk that lies still has after a power cut.
    pub early: DurableState,
    /// See [`super::Defects::deletes_newest_configurations`].
    pub deletes_newest_configurations: bool,
}

impl Disk {
    /// Carries out one write; gives the ticket that it is confirmed by.
    fn apply(&mut self, write: Write) -> Option<u64> {
        match write {
            Write::State(write_id, durable) => {
                if self.early.disk == 0 {
                    self.early = durable.clone();
                }
                self.durable = durable;
                Some(write_id)
            }
            Write::Configuration(write_id, digest, bytes) => {
                if !self.deletes_newest_configurations
                    || self.configurations.len() < MAX_KEPT_BLINDLY
                {
                    self.configurations.insert(digest, bytes);
                }
                Some(write_id)
            }
            Write::Drop(digest) => {
                self.configurations
                    .retain(|known, _| *known != digest || self.deletes_newest_configurations);
                None
            }
        }
    }
}

pub enum Core {
    ControlNode(Box<ControlNode>),
    DataNode(Box<DataNode>, Box<ProxyStats>),
    Down,
}

/// One process.
pub struct Node {
    pub name: String,
    pub machine: usize,
    pub place: Endpoint,
    pub up: bool,
    /// Gone for good: it never starts again.
    pub removed: bool,
    /// Counts starts, so that what belonged to an earlier life is dropped.
    pub incarnation: u64,
    pub started_at: Duration,
    pub core: Core,
    pub disk: Disk,
    /// While frozen: since when, and what waits in its sockets.
    pub frozen: Option<(Duration, Vec<NodeEvent>)>,
    pub site: ProxyContext,
    is_control_node: bool,
    /// When a carrier sweeps its board next, by its own clock.
    next_sweep: Duration,
    /// How its clock runs, in parts of a million more than true time.
    drift: i64,
    /// How far its clock jumped ahead, and how long it stood still, since the start.
    pub clock_jump: Duration,
    suspended_for: Duration,
}

impl Node {
    pub fn data_node(&self) -> Option<&DataNode> {
        match &self.core {
            Core::DataNode(data_node, _) => Some(data_node),
            _ => None,
        }
    }

    pub fn is_control_node(&self) -> bool {
        self.is_control_node
    }

    /// What its clock says: time since its start, as it counts it.
    pub fn local(&self, now: Duration) -> Duration {
        let lived = now
            .saturating_sub(self.started_at)
            .saturating_sub(self.suspended_for);
        lived.mul_f64(1.0 + self.drift as f64 / 1e6) + self.clock_jump
    }
}

/// A configuration whose number is lost.
fn read_unnumbered(bytes: &[u8]) -> Result<Configuration, Vec<ValidationError>> {
    Configuration::parse(bytes).map(|mut configuration| {
        configuration.version = None;
        configuration
    })
}

impl World {
    pub(super) fn create_nodes(&mut self) {
        let kinds = |machine: usize, disks: usize| {
            if machine < disks {
                vec![true, false]
            } else {
                vec![false]
            }
        };
        for machine in 0..self.shape.machines {
            let locality = self.shape.locality(machine);
            for is_control_node in kinds(machine, self.shape.disks) {
                self.create_node(machine, &locality, is_control_node);
            }
        }
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    fn create_node(&mut self, machine: usize, locality: &str, is_control_node: bool) {
        let name = format!(
            "{}-{machine}",
            if is_control_node {
                "postmaster"
            } else {
                "carrier"
            }
        );
        let zone: Locality = locality.parse().unwrap_or_default();
        let site = ProxyContext::new(&name, zone, self.defects.stale_after, self.load.wait_for);
        let drift = self.random.below(2 * DRIFT) as i64 - DRIFT as i64;
        let place = Endpoint {
            machine: Some(machine),
            locality: locality.to_owned(),
        };
        self.nodes.push(Node {
            name,
            machine,
            place,
            up: false,
            removed: false,
            incarnation: 0,
            started_at: Duration::ZERO,
            core: Core::Down,
            disk: Disk::default(),
            frozen: None,
            site,
            is_control_node,
            next_sweep: Duration::ZERO,
            drift,
            clock_jump: Duration::ZERO,
            suspended_for: Duration::ZERO,
        });
    }

    /// An empty machine in the place of another: both of its processes, under names of their own.
    pub(super) fn add_machine(&mut self, place_of: usize) {
        let machine = self
            .nodes
            .iter()
            .map(|node| node.machine + 1)
            .max()
            .unwrap_or(0);
        let locality = self.shape.locality(place_of);
        for is_control_node in [true, false] {
            self.create_node(machine, &locality, is_control_node);
            self.start(self.nodes.len() - 1);
        }
    }

    /// The machine of a voter that was not replaced yet, in the place of this one.
    pub(super) fn machine_in_place_of(&self, machine: usize) -> Option<usize> {
        let locality = self.shape.locality(machine);
        let there =
            |node: &&Node| node.is_control_node && !node.removed && node.place.locality == locality;
        self.nodes.iter().find(there).map(|node| node.machine)
    }

    /// A machine is gone for good.
    pub(super) fn remove_machine(&mut self, machine: usize) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].machine == machine)
            .collect();
        nodes.into_iter().for_each(|at| {
            self.note_loss(at);
            self.nodes[at].removed = true;
            self.kill(at);
        });
    }

    pub(super) fn control_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].is_control_node() && !self.nodes[*at].removed)
            .collect()
    }

    pub(super) fn data_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| !self.nodes[*at].is_control_node() && !self.nodes[*at].removed)
            .collect()
    }

    /// Starts a process on whatever its disk holds.
    pub(super) fn start(&mut self, at: usize) {
        let seed = self.random.next_u64();
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| node.is_control_node && !node.removed)
            .take(3)
            .map(|node| node.name.clone())
            .collect();
        let seeds = self.seeds.clone().unwrap_or(seeds);
        let settings =
            config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap_or_default();
        let initial_voter_count = self.shape.disks;
        let reader = if self.defects.ignores_versions {
            ConfigurationParser(read_unnumbered)
        } else {
            ConfigurationParser::default()
        };
        let now = self.now;
        let departures = self.stored_departures(at);
        let node = &mut self.nodes[at];
        if node.removed {
            return;
        }
        node.up = true;
        node.incarnation += 1;
        node.started_at = now;
        node.frozen = None;
        node.next_sweep = Duration::ZERO;
        (node.clock_jump, node.suspended_for) = (Duration::ZERO, Duration::ZERO);
        let me = Member {
            node: node.name.clone(),
            locality: node.place.locality.clone(),
            roles: if node.is_control_node {
                "postmaster"
            } else {
                "proxy,directory"
            }
            .into(),
            probe_address: node.name.clone(),
            link_address: node.name.clone(),
            http_address: node.name.clone(),
            ..Member::default()
        };
        node.core = if node.is_control_node {
            let (durable, configurations) =
                (node.disk.durable.clone(), node.disk.configurations.clone());
            node.disk.waiting.clear();
            let times = control_plane::daemon::times(&settings);
            let longest_step = if self.defects.lease_counts_clock_jumps {
                Duration::MAX
            } else {
                times.longest_step
            };
            let times = control_plane::Times {
                longest_step,
                ..times
            };
            let start = control_plane::Start {
                me,
                seeds,
                initial_voter_count,
                seed,
                reader,
                owners: Default::default(),
                durable,
                configurations,
                departures,
                times,
            };
            Core::ControlNode(Box::new(ControlNode::new(start)))
        } else {
            let times = data_plane::shell::times(&settings);
            Core::DataNode(
                Box::new(DataNode::new(data_plane::Start {
                    me,
                    seeds,
                    seed,
                    reader,
                    times,
                })),
                Box::default(),
            )
        };
        let incarnation = node.incarnation;
        // Not all tick at the same moment.
        let first = now + Duration::from_micros(self.random.below(50_000));
        self.at(
            first,
            Action::Tick {
                node: at,
                incarnation,
            },
        );
    }

    /// Kills a process: memory and unsynced writes are gone.
    pub(super) fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.up = false;
        node.incarnation += 1;
        node.core = Core::Down;
        node.frozen = None;
        node.disk.waiting.clear();
        if self.defects.disks_lose_synced_writes {
            node.disk.durable = std::mem::take(&mut node.disk.early);
        }
        let gone: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.node == at)
            .map(|(id, _)| *id)
            .collect();
        gone.into_iter().for_each(|id| {
            let exchange = self.exchanges.remove(&id);
            exchange
                .into_iter()
                .for_each(|exchange| self.lose(&exchange));
        });
    }

    /// The connection of a request dies with the process that served it.
    fn lose(&mut self, exchange: &Exchange) {
        self.fail_exchange(exchange, Err(transport::CallError::ConnectionLost));
    }

    /// Asks a process to end; it does so once it owes nothing.
    pub(super) fn stop(&mut self, at: usize) {
        let local = self.nodes[at].local(self.now);
        match &mut self.nodes[at].core {
            Core::ControlNode(control) => {
                let effects = control.step(local, control_plane::Event::Shutdown);
                self.run_control_effects(at, effects);
                self.end_if_done(at);
            }
            Core::DataNode(data_node, _) => {
                let effects = data_node.step(local, data_plane::Event::Shutdown);
                self.run_data_node(at, effects);
            }
            Core::Down => {}
        }
    }

    /// A control node ends once it has handed over; a carrier that denies, with the last request under way.
    fn end_if_done(&mut self, at: usize) {
        if matches!(&self.nodes[at].core, Core::ControlNode(control) if control.is_shut_down()) {
            return self.kill(at);
        }
        let denies = self.nodes[at]
            .data_node()
            .is_some_and(|data_node| data_node.phase() == data_plane::Phase::Rejecting);
        if denies && !self.exchanges.values().any(|exchange| exchange.node == at) {
            self.kill(at);
        }
    }

    pub(super) fn freeze(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.up && node.frozen.is_none() {
            node.frozen = Some((now, Vec::new()));
        }
    }

    pub(super) fn thaw(&mut self, at: usize) {
        let (since, waiting) = self.nodes[at]
            .frozen
            .take()
            .unwrap_or((self.now, Vec::new()));
        if self.defects.clock_stops_while_suspended {
            self.nodes[at].suspended_for += self.now - since;
        }
        let incarnation = self.nodes[at].incarnation;
        if self.nodes[at].up {
            waiting
                .into_iter()
                .for_each(|event| self.after(Duration::ZERO, Action::Deliver { node: at, event }));
            self.after(
                Duration::ZERO,
                Action::Tick {
                    node: at,
                    incarnation,
                },
            );
            self.after(
                Duration::from_millis(1),
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn tick(&mut self, at: usize, incarnation: u64) {
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
    fn step_node(&mut self, at: usize, event: Option<NodeEvent>) {
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

    fn run_data_node(&mut self, at: usize, effects: Vec<data_plane::Effect>) {
        effects.into_iter().for_each(|effect| match effect {
            data_plane::Effect::Send { to, body } => self.send(at, &to, body),
            data_plane::Effect::Datagram { address, body } => self.datagram(at, &address, body),
            data_plane::Effect::Publish => self.wake_all(at),
            data_plane::Effect::Addresses(_)
            | data_plane::Effect::Phase(_)
            | data_plane::Effect::Log(_) => {}
        });
    }

    /// Beats may have told of room.
    fn wake_all(&self, at: usize) {
        if let Core::DataNode(_, proxy_stats) = &self.nodes[at].core {
            proxy_stats.wake_all();
        }
    }

    pub(super) fn run_control_effects(&mut self, at: usize, effects: Vec<control_plane::Effect>) {
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

    fn write(&mut self, at: usize, write: Write) {
        let micros = 800 + self.random.below(3000);
        let node = &mut self.nodes[at];
        node.disk.waiting.push_back(write);
        let (incarnation, idle) = (node.incarnation, node.disk.waiting.len() == 1);
        let takes = Duration::from_micros(micros) + node.disk.slowed;
        if idle {
            self.after(
                takes,
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn disk_done(&mut self, at: usize, incarnation: u64) {
        let micros = 800 + self.random.below(3000);
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation || node.frozen.is_some() {
            return;
        }
        if node.disk.hung {
            return self.after(
                Duration::from_millis(100),
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
        if node.disk.rejects_writes && !node.disk.waiting.is_empty() {
            return self.reject_write(at);
        }
        self.end_write_retries(at);
        let node = &mut self.nodes[at];
        let Some(write) = node.disk.waiting.pop_front() else {
            return;
        };
        let powerless = node.disk.power_at.take_if(|(left, _)| *left == 0);
        node.disk.power_at = node.disk.power_at.map(|(left, synced)| (left - 1, synced));
        node.disk.departures.take_if(|_| powerless.is_some());
        if powerless == Some((0, false)) {
            return self.kill(at);
        }
        let event = if node.disk.broken {
            node.disk.waiting.clear();
            Some(control_plane::Event::DiskFailed)
        } else {
            node.disk
                .apply(write)
                .map(|write_id| control_plane::Event::WriteCompleted { write_id })
        };
        if powerless.is_some() {
            return self.kill(at);
        }
        let (more, slowed, local) = (
            !node.disk.waiting.is_empty(),
            node.disk.slowed,
            node.local(now),
        );
        if more {
            self.after(
                Duration::from_micros(micros) + slowed,
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
        let effects = match (&mut self.nodes[at].core, event) {
            (Core::ControlNode(control), Some(event)) => control.step(local, event),
            _ => Vec::new(),
        };
        self.run_control_effects(at, effects);
    }

    pub(super) fn named(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }

    fn send(&mut self, from: usize, to: &str, body: Payload) {
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

    /// In a broken system: news to the first proxy lacks what changed in the placement.
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

    /// In a broken system: an answer that nobody gave.
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
            Payload::Heartbeats(pending_heartbeats)
                if self.defects.skips_departure_acks && pending_heartbeats.nonce != 0 =>
            {
                Payload::HeartbeatsAck(HeartbeatsAck {
                    nonce: pending_heartbeats.nonce,
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

    fn datagram(&mut self, from: usize, to: &str, body: Payload) {
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

    pub(super) fn deliver(&mut self, at: usize, event: NodeEvent) {
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

    /// What was sent to a process that is down: the other side learns at once that it can't connect.
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
                        listing: None,
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
