//! One state of the register's world, and what may come next in it.

use super::scenario::{RegisterBudget, RegisterDefect};
use crate::disk::{Content, Disk, Write};
use crate::model::{Violation, fingerprint_of};
use crate::network::Network;
use crate::register_history::History;
use crate::traffic::{self, Traffic, TrafficNode, TrafficWorld};
use quorum_register::Register;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub(crate) struct Node {
    pub(super) register: Register,
    pub(super) disk: Disk,
    /// The disk before its last write, for the defect that forgets it.
    pub(super) disk_before: Option<Box<Disk>>,
    pub(super) writes: VecDeque<Write>,
    /// Its writes wait for a sync that comes at any moment, until none is left.
    pub(super) disk_is_stray: bool,
    pub(super) now: Duration,
    pub(super) lives: u64,
    pub(super) fingerprint: u64,
}

/// One state of the model.
#[derive(Clone)]
pub struct RegisterWorld {
    pub(super) nodes: Vec<Arc<Node>>,
    pub(super) network: Network,
    pub(super) history: Arc<History>,
    pub(super) history_fingerprint: u64,
    pub(super) left: RegisterBudget,
    pub(super) strays_left: u8,
    /// How often each order was sent.
    pub(super) asked: Vec<u8>,
    pub(super) violation: Option<Violation>,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum RegisterAction {
    Traffic(Traffic),
    Tick {
        node: usize,
    },
    /// Nothing is left to come: all nodes tick.
    TickAll,
    Crash {
        node: usize,
        kept: usize,
    },
    Wipe {
        node: usize,
    },
    Ask {
        order: usize,
        node: usize,
    },
    Read {
        node: usize,
    },
    /// A node proposes that a replica takes a voter's place.
    BeginVoters {
        node: usize,
        gone: usize,
        successor: usize,
    },
    /// A node proposes to complete the change that it knows to be under way.
    CompleteVoters {
        node: usize,
    },
}

impl Node {
    pub(super) fn keep(&mut self, content: &Content, defect: RegisterDefect) {
        if defect == RegisterDefect::DiskForgetsSynced {
            self.disk_before = Some(Box::new(self.disk.clone()));
        }
        let dropped = defect == RegisterDefect::DropsBytes
            && matches!(content, Content::Configuration { .. });
        if !dropped {
            self.disk.apply(content);
        }
    }

    pub(super) fn renew_fingerprint(&mut self) {
        let Node {
            register,
            disk,
            disk_before,
            writes,
            disk_is_stray,
            now,
            lives,
            ..
        } = self;
        self.fingerprint = fingerprint_of(&(
            register,
            disk,
            disk_before,
            writes,
            disk_is_stray,
            now,
            lives,
        ));
    }
}

impl RegisterWorld {
    /// Adds to what was seen and judges it.
    pub(super) fn record(
        &mut self,
        seen: impl FnOnce(&mut History, &[&Disk]) -> Result<(), Violation>,
    ) {
        let checked = seen(Arc::make_mut(&mut self.history), &disks(&self.nodes));
        self.history_fingerprint = fingerprint_of(&self.history);
        self.note(checked);
    }

    /// Deliveries and syncs that may come next, whatever the order.
    pub(super) fn any_order(&self) -> Vec<RegisterAction> {
        traffic::any_order(self)
            .into_iter()
            .map(RegisterAction::Traffic)
            .collect()
    }

    /// What comes in turn, the strays, and what may become one.
    pub(super) fn in_order(&self) -> Vec<RegisterAction> {
        let traffic::InOrder { turn, others } = traffic::in_order(self, self.strays_left);
        let ticks = (self.left.rounds > 0).then_some(RegisterAction::TickAll);
        let first = turn.map(RegisterAction::Traffic).or(ticks);
        first
            .into_iter()
            .chain(others.into_iter().map(RegisterAction::Traffic))
            .collect()
    }

    /// The first violation stays.
    pub(super) fn note(&mut self, checked: Result<(), Violation>) {
        if self.violation.is_none() {
            self.violation = checked.err();
        }
    }
}

pub(super) fn disks(nodes: &[Arc<Node>]) -> Vec<&Disk> {
    nodes.iter().map(|node| &node.disk).collect()
}

impl TrafficNode for Node {
    fn is_writing(&self) -> bool {
        !self.writes.is_empty()
    }

    fn disk_is_stray(&self) -> bool {
        self.disk_is_stray
    }

    fn make_disk_stray(&mut self) {
        self.disk_is_stray = true;
        self.renew_fingerprint();
    }
}

impl TrafficWorld for RegisterWorld {
    type Node = Node;

    fn nodes(&self) -> &[Arc<Node>] {
        &self.nodes
    }

    fn node_mut(&mut self, at: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[at])
    }

    fn network(&self) -> &Network {
        &self.network
    }

    fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    fn strays_left(&mut self) -> &mut u8 {
        &mut self.strays_left
    }

    fn duplicates_left(&mut self) -> &mut u8 {
        &mut self.left.duplicates
    }
}
