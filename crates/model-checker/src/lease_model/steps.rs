//! What each action does to the world: steps of the real lease, its effects, and faults.

use super::LeaseModel;
use super::scenario::LeaseDefect;
use super::world::{EpochWrite, LeaseWorld, Node};
use crate::cluster::{Cluster, ClusterModel, ModelNode};
use crate::lease_observer::HeldLease;
use crate::model::{node_index, node_name};
use crate::network::{InFlight, Message};
use lease::{Effect, Event};
use protocol::{LeaseReply, Payload, majority};
use std::sync::Arc;
use std::time::Duration;

/// How far a broken clock is off, in thousandths, and from which moment of its node's life on.
const BROKEN_DRIFT: i64 = -800;
const BROKEN_FROM: Duration = Duration::from_millis(1800);

impl ClusterModel for LeaseModel {
    type Node = Node;
    type World = LeaseWorld;

    fn cluster(world: &mut LeaseWorld) -> &mut Cluster<Node> {
        &mut world.cluster
    }

    fn deliver(&self, world: &mut LeaseWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        let received = Event::Received {
            from: node_name(*from),
            body: body.clone(),
        };
        self.step(world, *to, received);
    }

    fn sync(&self, world: &mut LeaseWorld, at: usize) -> bool {
        let Some(write) = world.cluster.take_write(at) else {
            return false;
        };
        let node = world.cluster.node_mut(at);
        node.epoch = node.epoch.max(write.epoch);
        node.renew_fingerprint();
        if self.defect != LeaseDefect::AcknowledgesBeforeSync {
            self.step(
                world,
                at,
                Event::LeaseEpochPersisted {
                    request_id: write.request_id,
                },
            );
        }
        true
    }
}

impl LeaseModel {
    /// What a node's clock shows.
    pub(super) fn clock(&self, world: &LeaseWorld, at: usize) -> Duration {
        let node = &world.cluster.nodes[at];
        let lived = (world.now - node.started_at).as_micros() as i64;
        let before = lived.min(BROKEN_FROM.as_micros() as i64);
        let is_broken = self.defect == LeaseDefect::ClocksOffBound && at == 0;
        let drift = if is_broken {
            BROKEN_DRIFT
        } else {
            self.drifts[at]
        };
        let shown = (before * (1000 + self.drifts[at]) + (lived - before) * (1000 + drift)) / 1000;
        Duration::from_micros(shown as u64)
    }

    fn step(&self, world: &mut LeaseWorld, at: usize, event: Event) {
        let clock = self.clock(world, at);
        let effects = world.cluster.node_mut(at).lease.step(clock, event);
        for effect in effects {
            match effect {
                Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
                Effect::PersistLeaseEpoch {
                    epoch, request_id, ..
                } => {
                    self.write(world, at, EpochWrite { epoch, request_id });
                }
            }
        }
        world.cluster.node_mut(at).renew_fingerprint();
        self.observe(world);
    }

    fn write(&self, world: &mut LeaseWorld, at: usize, write: EpochWrite) {
        world.cluster.node_mut(at).writes.push(write);
        if self.defect == LeaseDefect::AcknowledgesBeforeSync {
            self.step(
                world,
                at,
                Event::LeaseEpochPersisted {
                    request_id: write.request_id,
                },
            );
        }
    }

    fn send(&self, world: &mut LeaseWorld, from: usize, to: usize, body: Payload) {
        if to >= world.cluster.nodes.len() {
            return;
        }
        let is_forged = match self.defect {
            LeaseDefect::CountsMinority => true,
            // One grant too many makes a quorum of any half.
            LeaseDefect::BothHalvesDecide => to == (from + 1) % world.cluster.nodes.len(),
            _ => false,
        };
        if is_forged && let Payload::LeaseRequest(request) = &body {
            let granted = forged_grant(request.epoch, request.nonce);
            let received = Event::Received {
                from: node_name(to),
                body: Payload::LeaseReply(granted),
            };
            self.step(world, from, received);
        }
        world.cluster.network.send(from, to, body);
    }

    pub(super) fn tick(&self, world: &mut LeaseWorld, at: usize) {
        let epoch = world.cluster.nodes[at].epoch;
        self.notify_of_voters(world, at, epoch);
        self.step(world, at, Event::Tick);
    }

    fn notify_of_voters(&self, world: &mut LeaseWorld, at: usize, persisted_epoch: u64) {
        let voters_changed = Event::VotersChanged {
            voter_set: world.voter_set(),
            persisted_epoch,
        };
        self.step(world, at, voters_changed);
    }

    fn restart(&self, world: &mut LeaseWorld, at: usize, epoch: u64) {
        let incarnation = world.cluster.nodes[at].incarnation + 1;
        let node = self.start_node(at, epoch, world.now, incarnation);
        world.cluster.nodes[at] = Arc::new(node);
        self.notify_of_voters(world, at, epoch);
    }

    pub(super) fn crash(&self, world: &mut LeaseWorld, at: usize, persisted: usize) {
        let node = world.cluster.node_mut(at);
        for write in node.writes.crash(persisted) {
            node.epoch = node.epoch.max(write.epoch);
        }
        let epoch = node.epoch;
        self.restart(world, at, epoch);
    }

    /// The lowest epoch that a majority of the others may report: they are asked in any order.
    fn repaired_epoch(&self, world: &LeaseWorld, at: usize) -> u64 {
        let nodes = &world.cluster.nodes;
        let others = nodes.iter().enumerate().filter(|(other, _)| *other != at);
        let mut epochs: Vec<u64> = others.map(|(_, node)| node.epoch).collect();
        epochs.sort_unstable();
        epochs.truncate(majority(nodes.len()));
        epochs.last().copied().unwrap_or(0)
    }

    pub(super) fn wipe(&self, world: &mut LeaseWorld, at: usize) {
        let epoch = match self.defect {
            LeaseDefect::RepairsWithoutEpoch => 0,
            _ => self.repaired_epoch(world, at),
        };
        self.restart(world, at, epoch);
    }

    /// Pauses a running node, resumes a paused one.
    pub(super) fn toggle_pause(&self, world: &mut LeaseWorld, at: usize) {
        let pauses = world.cluster.is_running(at);
        world.remaining.freezes -= u8::from(pauses);
        let node = world.cluster.node_mut(at);
        node.is_paused = pauses;
        node.renew_fingerprint();
    }

    /// After each step: at most one node holds the lease, and under a new epoch.
    fn observe(&self, world: &mut LeaseWorld) {
        let nodes = world.cluster.nodes.iter().enumerate();
        let held: Vec<HeldLease> = nodes
            .filter_map(|(at, node)| {
                HeldLease::of(at, node.incarnation, &node.lease, self.clock(world, at))
            })
            .collect();
        let checked = world.lease_observer.observe(&held);
        world.cluster.note(checked);
    }
}

/// The answer that stands for a grant which was not given.
fn forged_grant(epoch: u64, nonce: u64) -> LeaseReply {
    LeaseReply {
        epoch,
        nonce,
        granted: true,
        highest_epoch: epoch,
        wait_ms: 0,
        first: false,
        may_break_tie: true,
        idle_ms: 0,
        keeps_key_owners: true,
    }
}
