//! What each action does to the world: steps of the real register and the real lease, their effects, and faults.

use super::ControlModel;
use super::world::{ControlAction, ControlWorld, Node};
use crate::clocks::local_time;
use crate::cluster::{Cluster, ClusterModel, ModelNode};
use crate::disk::{Content, Disk, Write};
use crate::lease_observer::HeldLease;
use crate::model::{node_index, node_name};
use crate::network::{InFlight, Message};
use crate::voters::{RegisterNode, VoterChange};
use protocol::Payload;
use std::sync::Arc;
use std::time::Duration;

/// How long voters have been stable before a change may begin, as the control plane has it.
const STABLE_VOTERS: Duration = Duration::from_millis(2000);

impl ClusterModel for ControlModel {
    type Node = Node;
    type World = ControlWorld;

    fn cluster(world: &mut ControlWorld) -> &mut Cluster<Node> {
        &mut world.cluster
    }

    fn deliver(&self, world: &mut ControlWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        let (from, body) = (node_name(*from), body.clone());
        match body {
            Payload::LeaseRequest(_) | Payload::LeaseReply(_) | Payload::LeaseRelease(_) => {
                self.step_lease_among_voters(world, *to, lease::Event::Received { from, body });
            }
            _ => self.step_register(world, *to, quorum_register::Event::Received { from, body }),
        }
    }

    fn sync(&self, world: &mut ControlWorld, at: usize) -> bool {
        let Some(write) = world.cluster.take_write(at) else {
            return false;
        };
        apply_write(world, at, &write);
        if write.content.is_awaited() {
            let write_id = write.write_id;
            self.step_register(
                world,
                at,
                quorum_register::Event::WriteCompleted { write_id },
            );
        } else {
            world.cluster.node_mut(at).renew_fingerprint();
        }
        true
    }
}

impl ControlModel {
    fn clock(&self, world: &ControlWorld, at: usize) -> Duration {
        let started_at = world.cluster.nodes[at].started_at;
        local_time(world.now - started_at, self.drifts[at])
    }

    pub(super) fn step_register(
        &self,
        world: &mut ControlWorld,
        at: usize,
        event: quorum_register::Event,
    ) {
        let clock = self.clock(world, at);
        let effects = world.cluster.node_mut(at).register.step(clock, event);
        for effect in effects {
            self.execute_register_effect(world, at, effect);
        }
        world.cluster.node_mut(at).renew_fingerprint();
    }

    fn execute_register_effect(
        &self,
        world: &mut ControlWorld,
        at: usize,
        effect: quorum_register::Effect,
    ) {
        use quorum_register::Effect;
        match effect {
            Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
            Effect::Persist { write_id, durable } => {
                write(world, at, write_id, Content::State(durable))
            }
            Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => write(
                world,
                at,
                write_id,
                Content::Configuration { digest, bytes },
            ),
            Effect::DeleteConfiguration { digest } => {
                write(world, at, 0, Content::DeletedConfiguration { digest });
            }
            Effect::LeaseEpochPersisted { request_id } => {
                self.step_lease(world, at, lease::Event::LeaseEpochPersisted { request_id });
            }
            Effect::StateChanged => {
                let state = world.cluster.nodes[at].register.state();
                let checked = world.history.adopted(at, state);
                world.cluster.note(checked);
            }
            Effect::Decided { .. } => {}
        }
    }

    fn step_lease(&self, world: &mut ControlWorld, at: usize, event: lease::Event) {
        let clock = self.clock(world, at);
        let effects = world.cluster.node_mut(at).lease.step(clock, event);
        for effect in effects {
            match effect {
                lease::Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
                lease::Effect::PersistLeaseEpoch {
                    epoch,
                    keeps_key_owners,
                    request_id,
                } => {
                    let raise = quorum_register::Event::PersistLeaseEpoch {
                        epoch,
                        keeps_key_owners,
                        request_id,
                    };
                    self.step_register(world, at, raise);
                }
            }
        }
        world.cluster.node_mut(at).renew_fingerprint();
        self.observe(world);
    }

    /// A step of the lease, which is notified of the voters before it: only a node that takes part in the register has
    /// one.
    fn step_lease_among_voters(&self, world: &mut ControlWorld, at: usize, event: lease::Event) {
        if !world.leases_run || !world.cluster.nodes[at].is_active() {
            return;
        }
        let register = &world.cluster.nodes[at].register;
        let (voter_set, persisted_epoch) = (register.voter_set().clone(), register.lease_epoch());
        self.step_lease(
            world,
            at,
            lease::Event::VotersChanged {
                voter_set,
                persisted_epoch,
            },
        );
        self.step_lease(world, at, event);
    }

    fn send(&self, world: &mut ControlWorld, from: usize, to: usize, body: Payload) {
        if to < world.cluster.nodes.len() {
            let body = self.apply_defect(world, from, body);
            world.cluster.network.send(from, to, body);
        }
    }

    pub(super) fn pass(&self, world: &mut ControlWorld, quantum: Duration) {
        world.now += quantum;
        for at in 0..world.cluster.nodes.len() {
            self.step_register(world, at, quorum_register::Event::Tick);
            self.step_lease_among_voters(world, at, lease::Event::Tick);
        }
    }

    pub(super) fn crash(&self, world: &mut ControlWorld, at: usize, persisted: usize) {
        for write in world.cluster.node_mut(at).writes.crash(persisted) {
            apply_write(world, at, &write);
        }
        self.restart(world, at);
    }

    pub(super) fn wipe(&self, world: &mut ControlWorld, at: usize) {
        let node = world.cluster.node_mut(at);
        node.disk = Disk::default();
        self.restart(world, at);
    }

    fn restart(&self, world: &mut ControlWorld, at: usize) {
        let node = &world.cluster.nodes[at];
        let (disk, incarnation) = (node.disk.clone(), node.incarnation + 1);
        let peers = world.cluster.nodes.len();
        let mut restarted = self.start_node(at, peers, disk, world.now, incarnation);
        restarted.renew_fingerprint();
        world.cluster.nodes[at] = Arc::new(restarted);
    }

    /// Every change that some node may propose by what it knows, and when it may.
    pub(super) fn proposals(&self, world: &ControlWorld) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for node in &self.scenario.proposers {
            for change in self.possible_changes(world, *node) {
                actions.push(ControlAction::ChangeVoters {
                    node: *node,
                    change,
                });
            }
        }
        actions
    }

    fn possible_changes(&self, world: &ControlWorld, at: usize) -> Vec<VoterChange> {
        let node = &world.cluster.nodes[at];
        let register = &node.register;
        let voter_set = &register.state().voter_set;
        let stable_for = register.voter_set_stable_for(self.clock(world, at));
        let is_stable = stable_for.is_some_and(|stable| stable >= STABLE_VOTERS);
        if node.is_active() && (voter_set.is_joint() || is_stable) {
            VoterChange::possible(voter_set, &self.scenario.replacements)
        } else {
            Vec::new()
        }
    }

    pub(super) fn change_voters(&self, world: &mut ControlWorld, at: usize, change: VoterChange) {
        let voter_set = &world.cluster.nodes[at].register.state().voter_set;
        let proposal = change.proposal(voter_set);
        self.step_register(world, at, quorum_register::Event::Propose(proposal));
    }

    /// After each step: at most one node holds the lease, and under a new epoch.
    fn observe(&self, world: &mut ControlWorld) {
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

fn write(world: &mut ControlWorld, at: usize, write_id: u64, content: Content) {
    let write = Write { write_id, content };
    world.cluster.node_mut(at).writes.push(write);
}

fn apply_write(world: &mut ControlWorld, at: usize, write: &Write) {
    world.cluster.node_mut(at).disk.apply(&write.content);
    world.record(|history, disks| {
        history.disk_changed(at, disks, &[])?;
        history.check_durable(disks, &[])
    });
}
