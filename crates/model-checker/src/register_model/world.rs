//! One state of the register's world, and what may come next in it.

use super::scenario::{RegisterBudget, RegisterDefect};
use crate::cluster::{Cluster, InOrderSteps, IoStep, ModelNode};
use crate::disk::{Content, Disk, Write, WriteQueue};
use crate::model::{Violation, fingerprint_of};
use crate::network::Schedule;
use crate::register_history::History;
use crate::voters::{RegisterNode, VoterChange, disks};
use quorum_register::Register;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub(crate) struct Node {
    pub(super) register: Register,
    pub(super) disk: Disk,
    /// The disk before its last write, for the defect that forgets it.
    pub(super) disk_before: Option<Box<Disk>>,
    pub(super) writes: WriteQueue<Write>,
    /// What its clock shows.
    pub(super) now: Duration,
    pub(super) incarnation: u64,
    pub(super) fingerprint: u64,
}

/// One state of the model.
#[derive(Clone)]
pub struct RegisterWorld {
    pub(super) cluster: Cluster<Node>,
    pub(super) history: Arc<History>,
    pub(super) history_fingerprint: u64,
    pub(super) remaining: RegisterBudget,
    /// How often each submission was sent.
    pub(super) attempts: Vec<u8>,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum RegisterAction {
    /// A step of a message or of a disk.
    Io(IoStep),
    /// A node's clock goes on.
    Tick {
        /// The node's index.
        node: usize,
    },
    /// Nothing is in flight: all nodes tick.
    TickAll,
    /// A node crashes and restarts.
    Crash {
        /// The node's index.
        node: usize,
        /// How many of its unsynced writes are on disk afterwards.
        persisted: usize,
    },
    /// A node restarts on a blank disk.
    Wipe {
        /// The node's index.
        node: usize,
    },
    /// An operator submits a change, or retries it.
    Submit {
        /// The index of the scenario's submission.
        submission: usize,
        /// The index of the node it is sent to.
        node: usize,
    },
    /// An operator reads at a node.
    Read {
        /// The node's index.
        node: usize,
    },
    /// A node proposes a step of a change of the voters, by what it knows.
    ChangeVoters {
        /// The node's index.
        node: usize,
        /// What it proposes.
        change: VoterChange,
    },
}

impl Node {
    pub(super) fn apply(&mut self, content: &Content, defect: RegisterDefect) {
        if defect == RegisterDefect::DiskForgetsSynced {
            self.disk_before = Some(Box::new(self.disk.clone()));
        }
        let is_dropped = defect == RegisterDefect::DropsConfigurations
            && matches!(content, Content::Configuration { .. });
        if !is_dropped {
            self.disk.apply(content);
        }
    }
}

impl ModelNode for Node {
    type Write = Write;

    fn writes(&self) -> &WriteQueue<Write> {
        &self.writes
    }

    fn writes_mut(&mut self) -> &mut WriteQueue<Write> {
        &mut self.writes
    }

    fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    fn renew_fingerprint(&mut self) {
        self.fingerprint = fingerprint_of(&(
            &self.register,
            &self.disk,
            &self.disk_before,
            &self.writes,
            self.now,
            self.incarnation,
        ));
    }
}

impl RegisterNode for Node {
    fn register(&self) -> &Register {
        &self.register
    }

    fn disk(&self) -> &Disk {
        &self.disk
    }
}

impl RegisterWorld {
    /// Adds to what was seen and checks it.
    pub(super) fn record(
        &mut self,
        seen: impl FnOnce(&mut History, &[&Disk]) -> Result<(), Violation>,
    ) {
        let checked = seen(
            Arc::make_mut(&mut self.history),
            &disks(&self.cluster.nodes),
        );
        self.history_fingerprint = fingerprint_of(&self.history);
        self.cluster.note(checked);
    }

    /// Deliveries and syncs, by the schedule, and the ticks of all nodes.
    pub(super) fn scheduled_actions(&self) -> Vec<RegisterAction> {
        match self.cluster.schedule() {
            Schedule::AnyOrder => self.any_order_actions(),
            Schedule::InOrder { .. } => self.in_order_actions(),
        }
    }

    pub(super) fn any_order_actions(&self) -> Vec<RegisterAction> {
        let steps = self.cluster.any_order_steps();
        steps.into_iter().map(RegisterAction::Io).collect()
    }

    fn in_order_actions(&self) -> Vec<RegisterAction> {
        let InOrderSteps { next, others } = self.cluster.in_order_steps();
        let ticks = (self.remaining.rounds > 0).then_some(RegisterAction::TickAll);
        let next = next.map(RegisterAction::Io).or(ticks);
        let others = others.into_iter().map(RegisterAction::Io);
        next.into_iter().chain(others).collect()
    }
}
