//! One state of the world of register and lease, and what may come next in it.

use super::scenario::ControlBudget;
use crate::cluster::{Cluster, InOrderSteps, IoStep, ModelNode};
use crate::disk::{Disk, Write, WriteQueue};
use crate::lease_observer::LeaseObserver;
use crate::model::{Violation, fingerprint_of};
use crate::network::Schedule;
use crate::register_history::History;
use crate::voters::{RegisterNode, VoterChange, disks};
use lease::Lease;
use quorum_register::Register;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub(crate) struct Node {
    pub(super) register: Register,
    pub(super) lease: Lease,
    pub(super) disk: Disk,
    pub(super) writes: WriteQueue<Write>,
    /// In true time.
    pub(super) started_at: Duration,
    pub(super) incarnation: u64,
    pub(super) fingerprint: u64,
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
            &self.lease,
            &self.disk,
            &self.writes,
            self.started_at,
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

/// One state of the model.
#[derive(Clone)]
pub struct ControlWorld {
    pub(super) cluster: Cluster<Node>,
    /// True time since the start.
    pub(super) now: Duration,
    /// False during the bootstrap: the lease comes after it.
    pub(super) leases_run: bool,
    pub(super) lease_observer: LeaseObserver,
    pub(super) history: Arc<History>,
    pub(super) history_fingerprint: u64,
    pub(super) remaining: ControlBudget,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum ControlAction {
    /// A step of a message or of a disk.
    Io(IoStep),
    /// Nothing is in flight: time passes and all nodes tick.
    PassAndTick,
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
    /// A node proposes a step of a change of the voters, by what it knows.
    ChangeVoters {
        /// The node's index.
        node: usize,
        /// What it proposes.
        change: VoterChange,
    },
}

impl ControlWorld {
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

    /// Deliveries, syncs and the passing of time, by the schedule.
    pub(super) fn scheduled_actions(&self) -> Vec<ControlAction> {
        match self.cluster.schedule() {
            Schedule::AnyOrder => self.any_order_actions(),
            Schedule::InOrder { .. } => self.in_order_actions(),
        }
    }

    pub(super) fn any_order_actions(&self) -> Vec<ControlAction> {
        let steps = self.cluster.any_order_steps().into_iter();
        steps.map(ControlAction::Io).chain(self.pass()).collect()
    }

    fn in_order_actions(&self) -> Vec<ControlAction> {
        let InOrderSteps { next, others } = self.cluster.in_order_steps();
        let next = next.map(ControlAction::Io).or(self.pass());
        let others = others.into_iter().map(ControlAction::Io);
        next.into_iter().chain(others).collect()
    }

    fn pass(&self) -> Option<ControlAction> {
        (self.remaining.passes > 0).then_some(ControlAction::PassAndTick)
    }
}
