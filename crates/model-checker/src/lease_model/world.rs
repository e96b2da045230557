//! One state of the lease's world, and what may come next in it.

use super::scenario::LeaseBudget;
use crate::cluster::{Cluster, InOrderSteps, IoStep, ModelNode};
use crate::disk::WriteQueue;
use crate::lease_observer::LeaseObserver;
use crate::model::{fingerprint_of, node_name};
use crate::network::Schedule;
use lease::Lease;
use protocol::VoterSet;
use std::time::Duration;

/// An epoch that is to be on disk before its grant is sent.
#[derive(Clone, Copy, Hash)]
pub(crate) struct EpochWrite {
    pub(super) epoch: u64,
    pub(super) request_id: u64,
}

#[derive(Clone)]
pub(crate) struct Node {
    pub(super) lease: Lease,
    /// The highest epoch on its disk.
    pub(super) epoch: u64,
    pub(super) writes: WriteQueue<EpochWrite>,
    pub(super) is_paused: bool,
    /// In true time.
    pub(super) started_at: Duration,
    pub(super) incarnation: u64,
    pub(super) fingerprint: u64,
}

impl ModelNode for Node {
    type Write = EpochWrite;

    fn writes(&self) -> &WriteQueue<EpochWrite> {
        &self.writes
    }

    fn writes_mut(&mut self) -> &mut WriteQueue<EpochWrite> {
        &mut self.writes
    }

    fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    fn renew_fingerprint(&mut self) {
        self.fingerprint = fingerprint_of(&(
            &self.lease,
            self.epoch,
            &self.writes,
            self.is_paused,
            self.started_at,
            self.incarnation,
        ));
    }

    fn is_running(&self) -> bool {
        !self.is_paused
    }
}

/// One state of the model.
#[derive(Clone)]
pub struct LeaseWorld {
    pub(super) cluster: Cluster<Node>,
    /// True time since the start.
    pub(super) now: Duration,
    pub(super) lease_observer: LeaseObserver,
    pub(super) remaining: LeaseBudget,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum LeaseAction {
    /// A step of a message or of a disk.
    Io(IoStep),
    /// A node is paused.
    Freeze {
        /// The node's index.
        node: usize,
    },
    /// A paused node runs again.
    Thaw {
        /// The node's index.
        node: usize,
    },
    /// A node reads its clock.
    Tick {
        /// The node's index.
        node: usize,
    },
    /// Time passes.
    Pass,
    /// Nothing is in flight: time passes and all nodes tick that aren't paused.
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
}

impl LeaseWorld {
    pub(super) fn voter_set(&self) -> VoterSet {
        VoterSet::new((0..self.cluster.nodes.len()).map(node_name).collect())
    }

    /// Deliveries, syncs, ticks and the passing of time, by the schedule, and nodes that are paused or resumed.
    pub(super) fn scheduled_actions(&self) -> Vec<LeaseAction> {
        match self.cluster.schedule() {
            Schedule::AnyOrder => self.any_order_actions(),
            Schedule::InOrder { .. } => self.in_order_actions(),
        }
    }

    pub(super) fn any_order_actions(&self) -> Vec<LeaseAction> {
        let steps = self.cluster.any_order_steps();
        let mut actions: Vec<LeaseAction> = steps.into_iter().map(LeaseAction::Io).collect();
        for node in 0..self.cluster.nodes.len() {
            actions.push(LeaseAction::Tick { node });
        }
        if self.remaining.passes > 0 {
            actions.push(LeaseAction::Pass);
        }
        actions
    }

    fn in_order_actions(&self) -> Vec<LeaseAction> {
        let InOrderSteps { next, others } = self.cluster.in_order_steps();
        let pass = (self.remaining.passes > 0).then_some(LeaseAction::PassAndTick);
        let mut actions = Vec::new();
        actions.extend(next.map(LeaseAction::Io).or(pass));
        actions.extend(others.into_iter().map(LeaseAction::Io));
        let (running, paused): (Vec<usize>, Vec<usize>) =
            (0..self.cluster.nodes.len()).partition(|at| self.cluster.is_running(*at));
        actions.extend(paused.into_iter().map(|node| LeaseAction::Thaw { node }));
        if self.remaining.freezes > 0 {
            actions.extend(running.into_iter().map(|node| LeaseAction::Freeze { node }));
        }
        actions
    }

    pub(super) fn pass(&mut self) {
        self.remaining.passes -= 1;
        self.now += self.remaining.quantum;
    }
}
