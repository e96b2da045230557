//! The event loop: control nodes' registers, their disks and the links between them, in virtual time.

use super::disk::{Disk, Write, remove_folder};
use super::results::{TrafficByKind, Trial};
use protocol::{Envelope, Message, Payload};
use quorum_register::{Effect, Event, Register, RegisterConfig, RegisterTiming};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;
use storage::{Contents, Storage};

pub(super) const TICK: Duration = Duration::from_millis(20);
/// How long a sync of a disk takes.
const SYNC_TIME: Duration = Duration::from_millis(5);
/// The one-way latency between two nodes.
const LINK_LATENCY: Duration = Duration::from_millis(30);
/// Messages queued on a link, the same limit as the transport's; more are dropped.
const MAX_ON_LINK: usize = 512;
/// After this time the register is bootstrapped.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(8);

/// A modelled control node: its register, disk and incoming link.
pub(super) struct Node {
    pub(super) name: String,
    pub(super) register: Register,
    pub(super) disk: Disk,
    pub(super) writes: VecDeque<Write>,
    pub(super) up: bool,
    pub(super) incarnation: u64,
    /// The bandwidth of its incoming link in bits a second; `None`: unlimited.
    pub(super) link_bits_per_second: Option<u64>,
    pub(super) link_free_at: Duration,
    pub(super) messages_on_link: usize,
    pub(super) received: TrafficByKind,
}

/// What happens to a node at some moment.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledEvent {
    Tick,
    /// The first of its pending writes is complete.
    WriteDue,
    /// A message arrives, by its key in [`Site`].
    Message(usize),
}

/// An entry of the event queue; the order of the fields is the order of the entries.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    at: Duration,
    /// Orders the events of one moment.
    number: u64,
    node: usize,
    /// An event of an earlier incarnation of its node is void.
    incarnation: u64,
    event: ScheduledEvent,
}

/// A message on its way.
struct MessageInFlight {
    from: String,
    body: Payload,
}

/// A few control nodes in virtual time, connected by simulated links.
pub struct Site {
    pub(super) trial: Trial,
    pub(super) now: Duration,
    pub(super) nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    messages: BTreeMap<usize, MessageInFlight>,
    pub(super) number: u64,
    /// All messages sent, dropped ones included.
    pub sent: TrafficByKind,
    pub(super) requested: usize,
    /// How many submissions were accepted.
    pub accepted: usize,
}

impl Drop for Site {
    fn drop(&mut self) {
        remove_folder(self.trial.folder.as_deref());
    }
}

/// A register that starts with the contents of its node's disk.
pub(super) fn start_register(
    name: &str,
    trial: &Trial,
    seed: u64,
    contents: &Contents,
) -> Register {
    Register::new(RegisterConfig {
        node: name.to_owned(),
        initial_voter_count: trial.nodes,
        seed,
        durable: contents.durable.clone(),
        configurations: contents.configurations.clone(),
        timing: RegisterTiming::default(),
    })
}

impl Site {
    /// A site whose register is bootstrapped.
    pub fn new(trial: Trial) -> Site {
        remove_folder(trial.folder.as_deref());
        let nodes: Vec<Node> = (0..trial.nodes).map(|at| Node::new(&trial, at)).collect();
        let mut site = Site {
            trial,
            now: Duration::ZERO,
            nodes,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            number: 0,
            sent: TrafficByKind::new(),
            requested: 0,
            accepted: 0,
        };
        for at in 0..site.nodes.len() {
            site.schedule(site.now, at, ScheduledEvent::Tick);
        }
        site.run_until(BOOTSTRAP_TIME);
        site
    }

    pub(super) fn schedule(&mut self, at: Duration, node: usize, event: ScheduledEvent) {
        self.number += 1;
        self.queue.push(Reverse(QueueEntry {
            at,
            number: self.number,
            node,
            incarnation: self.nodes[node].incarnation,
            event,
        }));
    }

    pub(super) fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.pop_due(until) {
            self.now = entry.at;
            let node = &self.nodes[entry.node];
            let is_current = node.up && node.incarnation == entry.incarnation;
            match entry.event {
                ScheduledEvent::Message(id) => self.deliver(entry.node, id, is_current),
                ScheduledEvent::Tick if is_current => self.tick(entry.node),
                ScheduledEvent::WriteDue if is_current => self.complete_write(entry.node),
                ScheduledEvent::Tick | ScheduledEvent::WriteDue => {}
            }
        }
        self.now = until;
    }

    fn pop_due(&mut self, until: Duration) -> Option<QueueEntry> {
        let Reverse(next) = self.queue.peek()?;
        if next.at > until {
            return None;
        }
        self.queue.pop().map(|Reverse(entry)| entry)
    }

    fn tick(&mut self, node: usize) {
        self.schedule(self.now + TICK, node, ScheduledEvent::Tick);
        let up = self.nodes.iter().filter(|node| node.up);
        let peers = up.map(|node| node.name.clone()).collect();
        self.step(node, Event::Peers(peers));
        self.step(node, Event::Tick);
    }

    fn deliver(&mut self, node: usize, id: usize, is_current: bool) {
        let Some(MessageInFlight { from, body }) = self.messages.remove(&id) else {
            return;
        };
        let receiver = &mut self.nodes[node];
        receiver.messages_on_link = receiver.messages_on_link.saturating_sub(1);
        if is_current {
            count(&mut receiver.received, &from, &body);
            self.step(node, Event::Received { from, body });
        }
    }

    pub(super) fn step(&mut self, at: usize, event: Event) {
        let effects = self.nodes[at].register.step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send { to, body } => self.send(at, &to, body),
                Effect::Persist { write_id, durable } => {
                    self.write(at, Write::State { write_id, durable })
                }
                Effect::StoreConfiguration {
                    write_id,
                    digest,
                    bytes,
                } => {
                    let write = Write::Configuration {
                        write_id,
                        digest,
                        bytes,
                    };
                    self.write(at, write);
                }
                Effect::DeleteConfiguration { digest } => {
                    self.write(at, Write::DeleteConfiguration { digest })
                }
                Effect::Decided { decision, .. } => {
                    self.accepted += usize::from(decision.code == result_code::ResultCode::Success);
                }
                Effect::StateChanged | Effect::LeaseEpochPersisted { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, body: Payload) {
        let Some(to) = self.nodes.iter().position(|node| node.name == to) else {
            return;
        };
        let from = self.nodes[from].name.clone();
        let bytes = count(&mut self.sent, &from, &body);
        let node = &mut self.nodes[to];
        if !node.up || node.messages_on_link >= MAX_ON_LINK {
            return;
        }
        let transmission_time = node.link_bits_per_second.map(|bits_per_second| {
            Duration::from_secs_f64(bytes as f64 * 8.0 / bits_per_second as f64)
        });
        node.link_free_at = node.link_free_at.max(self.now) + transmission_time.unwrap_or_default();
        node.messages_on_link += 1;
        let arrives_at = node.link_free_at + LINK_LATENCY;
        let id = self.number as usize;
        self.messages.insert(id, MessageInFlight { from, body });
        self.schedule(arrives_at, to, ScheduledEvent::Message(id));
    }

    fn write(&mut self, at: usize, write: Write) {
        self.nodes[at].writes.push_back(write);
        if self.nodes[at].writes.len() == 1 {
            self.schedule(self.now + SYNC_TIME, at, ScheduledEvent::WriteDue);
        }
    }

    fn complete_write(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(write) = node.writes.pop_front() else {
            return;
        };
        let write_id = node.disk.apply(write);
        if !node.writes.is_empty() {
            self.schedule(self.now + SYNC_TIME, at, ScheduledEvent::WriteDue);
        }
        if let Some(write_id) = write_id {
            self.step(at, Event::WriteCompleted { write_id });
        }
    }
}

impl Node {
    fn new(trial: &Trial, at: usize) -> Node {
        let name = format!("pm-{at}");
        let register = start_register(&name, trial, at as u64 + 1, &Contents::default());
        let disk = match &trial.folder {
            Some(folder) if at == 0 => {
                Disk::Real(Box::new(Storage::open(folder).expect("a data folder").0))
            }
            _ => Disk::Memory(Box::default()),
        };
        Node {
            name,
            register,
            disk,
            writes: VecDeque::new(),
            up: true,
            incarnation: 0,
            link_bits_per_second: None,
            link_free_at: Duration::ZERO,
            messages_on_link: 0,
            received: TrafficByKind::new(),
        }
    }
}

/// Counts a message under its kind; returns its encoded bytes.
fn count(traffic: &mut TrafficByKind, from: &str, body: &Payload) -> u64 {
    let envelope = Envelope {
        from: from.to_owned(),
        body: Some(body.clone()),
    };
    let bytes = envelope.encoded_len() as u64;
    let flow = traffic.entry(protocol::kind(body)).or_default();
    flow.add(bytes);
    bytes
}
