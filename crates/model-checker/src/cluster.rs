//! What the models share: nodes with unsynced disk writes, messages in flight, and the steps that either may take.
//!
//! A model's world contains a [`Cluster`] and implements [`ClusterModel`], which says what a delivery and a sync do to
//! its nodes. Everything else about their order, delays, duplicates and crashes is decided here.

use crate::disk::WriteQueue;
use crate::model::{Violation, fingerprint_of};
use crate::network::{InFlight, Message, Network, Schedule};
use std::sync::Arc;

/// The longest description of a message in a trace, in characters.
const DESCRIPTION_LENGTH: usize = 160;

/// A step of a message or of a disk.
#[derive(Clone, Copy, Debug)]
pub enum IoStep {
    /// A message in flight arrives.
    Deliver {
        /// Its index among the messages in flight.
        message: usize,
    },
    /// A message in flight arrives and stays in flight.
    Duplicate {
        /// Its index among the messages in flight.
        message: usize,
    },
    /// A node's oldest write is synced.
    Sync {
        /// The node's index.
        node: usize,
    },
    /// The message that is next in order arrives at any later moment, or never.
    DelayMessage {
        /// Its index among the messages in flight.
        message: usize,
    },
    /// The disk that is next in order syncs at any later moment.
    DelayDisk {
        /// The node's index.
        node: usize,
    },
}

/// A node as far as the order of its messages and writes depends on it.
pub(crate) trait ModelNode: Clone {
    /// What the node writes to its disk.
    type Write;

    fn writes(&self) -> &WriteQueue<Self::Write>;
    fn writes_mut(&mut self) -> &mut WriteQueue<Self::Write>;
    fn fingerprint(&self) -> u64;
    /// Computes the fingerprint again after a change.
    fn renew_fingerprint(&mut self);
    /// Paused nodes receive no message, and their disks don't sync.
    fn is_running(&self) -> bool {
        true
    }
}

/// The nodes, the messages in flight, and the faults that may still happen to them.
#[derive(Clone)]
pub(crate) struct Cluster<N> {
    pub nodes: Vec<Arc<N>>,
    pub network: Network,
    /// The first violation on the way to this state.
    pub violation: Option<Violation>,
    schedule: Schedule,
    delays_remaining: u8,
    duplicates_remaining: u8,
}

/// What may come next where everything comes in order.
pub(crate) struct InOrderSteps {
    /// The step whose turn it is; none where nothing is in flight.
    pub next: Option<IoStep>,
    /// What was delayed before, and what may be delayed now.
    pub others: Vec<IoStep>,
}

/// What a step does to a node.
enum NodeInput {
    Receive(InFlight),
    Sync { node: usize },
}

impl<N: ModelNode> Cluster<N> {
    pub fn new(schedule: Schedule, duplicates: u8) -> Self {
        let delays_remaining = match schedule {
            Schedule::InOrder { delays } => delays,
            Schedule::AnyOrder => 0,
        };
        Cluster {
            nodes: Vec::new(),
            network: Network::new(schedule),
            violation: None,
            schedule,
            delays_remaining,
            duplicates_remaining: duplicates,
        }
    }

    pub fn schedule(&self) -> Schedule {
        self.schedule
    }

    pub fn node_mut(&mut self, at: usize) -> &mut N {
        Arc::make_mut(&mut self.nodes[at])
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.nodes[at].is_running()
    }

    /// Keeps the first violation.
    pub fn note(&mut self, checked: Result<(), Violation>) {
        if self.violation.is_none() {
            self.violation = checked.err();
        }
    }

    /// Takes a node's oldest write, which is synced now.
    pub fn take_write(&mut self, at: usize) -> Option<N::Write> {
        self.node_mut(at).writes_mut().pop_oldest()
    }

    /// Deliveries and syncs that may come next in any order.
    pub fn any_order_steps(&self) -> Vec<IoStep> {
        let mut steps = Vec::new();
        for message in 0..self.network.len() {
            steps.push(IoStep::Deliver { message });
        }
        for (node, state) in self.nodes.iter().enumerate() {
            if !state.writes().is_empty() {
                steps.push(IoStep::Sync { node });
            }
        }
        steps
    }

    /// What comes next in order, what was delayed before, and what may be delayed now.
    pub fn in_order_steps(&self) -> InOrderSteps {
        let disk = self.nodes.iter().position(|node| {
            let writes = node.writes();
            !writes.is_empty() && !writes.is_delayed() && node.is_running()
        });
        let message = self.network.next_in_order();
        InOrderSteps {
            next: self.next_in_order(disk, message),
            others: self.steps_out_of_order(disk, message),
        }
    }

    fn is_deliverable(&self, message: usize) -> bool {
        self.is_running(self.network.message(message).to)
    }

    fn next_in_order(&self, disk: Option<usize>, message: Option<usize>) -> Option<IoStep> {
        if let Some(node) = disk {
            return Some(IoStep::Sync { node });
        }
        let message = message?;
        if self.is_deliverable(message) {
            Some(IoStep::Deliver { message })
        } else {
            // Messages to a paused node wait until it runs again.
            Some(IoStep::DelayMessage { message })
        }
    }

    fn steps_out_of_order(&self, disk: Option<usize>, message: Option<usize>) -> Vec<IoStep> {
        let mut steps = Vec::new();
        for message in self.network.delayed() {
            if self.is_deliverable(message) {
                steps.push(IoStep::Deliver { message });
            }
        }
        for (node, state) in self.nodes.iter().enumerate() {
            if state.writes().is_delayed() && state.is_running() {
                steps.push(IoStep::Sync { node });
            }
        }
        if self.delays_remaining == 0 {
            return steps;
        }
        if let Some(node) = disk {
            steps.push(IoStep::DelayDisk { node });
        } else if let Some(message) = message
            && self.is_deliverable(message)
        {
            steps.push(IoStep::DelayMessage { message });
        }
        steps
    }

    /// A second delivery of each message that can be delivered, while the budget lasts.
    pub fn duplicate_steps(&self) -> Vec<IoStep> {
        if self.duplicates_remaining == 0 {
            return Vec::new();
        }
        (0..self.network.len())
            .filter(|message| self.is_deliverable(*message))
            .map(|message| IoStep::Duplicate { message })
            .collect()
    }

    /// Every crash that may come next: each node, with every number of its unsynced writes persisted.
    pub fn crash_choices(&self) -> impl Iterator<Item = (usize, usize)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.flat_map(|(node, state)| {
            (0..=state.writes().len()).map(move |persisted| (node, persisted))
        })
    }

    /// Takes a step as far as it concerns the network, the disks' queues and the budgets.
    fn take_step(&mut self, step: IoStep) -> Option<NodeInput> {
        match step {
            IoStep::Deliver { message } => Some(NodeInput::Receive(self.network.take(message))),
            IoStep::Duplicate { message } => {
                self.duplicates_remaining -= 1;
                Some(NodeInput::Receive(self.network.copy(message)))
            }
            IoStep::Sync { node } => Some(NodeInput::Sync { node }),
            IoStep::DelayMessage { message } => {
                // Only a delay of a message that could be delivered is a fault.
                self.delays_remaining -= u8::from(self.is_deliverable(message));
                self.network.delay(message);
                None
            }
            IoStep::DelayDisk { node } => {
                self.delays_remaining -= 1;
                let node = self.node_mut(node);
                node.writes_mut().delay();
                node.renew_fingerprint();
                None
            }
        }
    }

    /// True where all nodes are as in `other` and no violation was noted: whatever led here had no effect on them.
    pub fn has_same_nodes(&self, other: &Self) -> bool {
        let mut pairs = self.nodes.iter().zip(&other.nodes);
        self.violation.is_none() && pairs.all(|(one, two)| one.fingerprint() == two.fingerprint())
    }

    /// The same for states of a cluster that go on alike.
    pub fn fingerprint(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|node| node.fingerprint()).collect();
        let faults = (self.delays_remaining, self.duplicates_remaining);
        let invariant = self.violation.as_ref().map(|found| found.invariant);
        fingerprint_of(&(nodes, self.network.fingerprints(), faults, invariant))
    }

    /// A step in words, for a trace.
    pub fn describe(&self, step: IoStep) -> String {
        let (verb, message) = match step {
            IoStep::Deliver { message } => ("deliver", message),
            IoStep::Duplicate { message } => ("duplicate", message),
            IoStep::DelayMessage { message } => ("delay", message),
            IoStep::Sync { .. } | IoStep::DelayDisk { .. } => return format!("{step:?}"),
        };
        let Message { from, to, body } = self.network.message(message);
        let body = shortened(&format!("{body:?}"));
        format!("{verb} v{from} -> v{to}: {body}")
    }
}

/// What a model does with the steps of its cluster.
pub(crate) trait ClusterModel {
    type Node: ModelNode;
    type World;

    fn cluster(world: &mut Self::World) -> &mut Cluster<Self::Node>;

    /// A node receives a message.
    fn deliver(&self, world: &mut Self::World, in_flight: &InFlight);

    /// Syncs a node's oldest write; false where there is none.
    fn sync(&self, world: &mut Self::World, at: usize) -> bool;

    /// Takes a step of a message or of a disk.
    fn take_io_step(&self, world: &mut Self::World, step: IoStep) {
        match Self::cluster(world).take_step(step) {
            Some(NodeInput::Receive(in_flight)) => self.deliver(world, &in_flight),
            Some(NodeInput::Sync { node }) => {
                self.sync(world, node);
            }
            None => {}
        }
    }

    /// Syncs all writes and delivers all messages, also those that come of them, but for the messages from and to a
    /// partitioned node.
    fn deliver_all(&self, world: &mut Self::World, partitioned: Option<usize>) {
        self.sync_all(world);
        while let Some(in_flight) = Self::cluster(world).network.take_first() {
            let Message { from, to, .. } = &*in_flight.message;
            if partitioned.is_none_or(|node| node != *from && node != *to) {
                self.deliver(world, &in_flight);
            }
            self.sync_all(world);
        }
    }

    /// Syncs all writes of all nodes.
    fn sync_all(&self, world: &mut Self::World) {
        for at in 0..Self::cluster(world).nodes.len() {
            while self.sync(world, at) {}
        }
    }
}

/// Short enough for a line of a trace, long enough to tell messages apart.
pub(crate) fn shortened(text: &str) -> String {
    text.chars().take(DESCRIPTION_LENGTH).collect()
}
