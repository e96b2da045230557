//! One state of the register's world, and what may come next in it.

use super::scenario::{RegisterBudget, RegisterDefect};
use crate::disk::{Content, Disk, Write};
use crate::model::{Violation, fingerprint_of};
use crate::network::Network;
use crate::register_history::History;
use quorum_register::Register;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub(super) struct Node {
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
    Deliver {
        message: usize,
    },
    Duplicate {
        message: usize,
    },
    Sync {
        node: usize,
    },
    /// The message whose turn it is comes at any later moment, or never.
    StrayMessage {
        message: usize,
    },
    /// The disk whose turn it is syncs at any later moment.
    StrayDisk {
        node: usize,
    },
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
        let dropped = defect == RegisterDefect::DropsBytes && matches!(content, Content::Setup { .. });
        if !dropped {
            self.disk.apply(content);
        }
    }

    pub(super) fn renew_fingerprint(&mut self) {
        let Node { register, disk, disk_before, writes, disk_is_stray, now, lives, .. } = self;
        self.fingerprint = fingerprint_of(&(register, disk, disk_before, writes, disk_is_stray, now, lives));
    }
}

impl RegisterWorld {
    /// Adds to what was seen and judges it.
    pub(super) fn record(&mut self, seen: impl FnOnce(&mut History, &[&Disk]) -> Result<(), Violation>) {
        let checked = seen(Arc::make_mut(&mut self.history), &disks(&self.nodes));
        self.history_fingerprint = fingerprint_of(&self.history);
        self.note(checked);
    }

    /// The node whose disk syncs next, where everything comes in order.
    pub(super) fn disk_in_turn(&self) -> Option<usize> {
        self.nodes.iter().position(|node| !node.writes.is_empty() && !node.disk_is_stray)
    }

    /// Deliveries and syncs that may come next, whatever the order.
    pub(super) fn any_order(&self) -> Vec<RegisterAction> {
        let writing = (0..self.nodes.len()).filter(|at| !self.nodes[*at].writes.is_empty());
        let deliveries = (0..self.network.len()).map(|message| RegisterAction::Deliver { message });
        deliveries.chain(writing.map(|node| RegisterAction::Sync { node })).collect()
    }

    /// What comes in turn, the strays, and what may become one.
    pub(super) fn in_order(&self) -> Vec<RegisterAction> {
        let mut actions = Vec::new();
        let (disk, message) = (self.disk_in_turn(), self.network.next_in_turn());
        if let Some(node) = disk {
            actions.push(RegisterAction::Sync { node });
        } else if let Some(message) = message {
            actions.push(RegisterAction::Deliver { message });
        } else if self.left.rounds > 0 {
            actions.push(RegisterAction::TickAll);
        }
        actions.extend(self.network.strays().map(|message| RegisterAction::Deliver { message }));
        let stray_disks = (0..self.nodes.len()).filter(|at| self.nodes[*at].disk_is_stray);
        actions.extend(stray_disks.map(|node| RegisterAction::Sync { node }));
        if self.strays_left > 0 {
            actions.extend(disk.map(|node| RegisterAction::StrayDisk { node }));
            let message = message.filter(|_| disk.is_none());
            actions.extend(message.map(|message| RegisterAction::StrayMessage { message }));
        }
        actions
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
