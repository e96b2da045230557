//! What each action does to the world: steps of the real register, its effects, faults and operators.

use super::defects::forged_vote;
use super::scenario::RegisterDefect;
use super::submission::Submission;
use super::world::{Node, RegisterAction, RegisterWorld};
use super::{BOOTSTRAP_TOKEN, READ_DELAY, RegisterModel, TICK};
use crate::cluster::{Cluster, ClusterModel, ModelNode};
use crate::disk::{Content, Write};
use crate::model::{node_index, node_name};
use crate::network::{InFlight, Message};
use crate::voters::{RegisterNode, VoterChange, disks};
use protocol::{DurableState, Payload};
use quorum_register::{Change, Effect, Event};
use std::sync::Arc;

impl ClusterModel for RegisterModel {
    type Node = Node;
    type World = RegisterWorld;

    fn cluster(world: &mut RegisterWorld) -> &mut Cluster<Node> {
        &mut world.cluster
    }

    fn deliver(&self, world: &mut RegisterWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        let (from, body) = self.apply_defect(*from, body.clone());
        let from = node_name(from);
        self.step(world, *to, Event::Received { from, body });
    }

    fn sync(&self, world: &mut RegisterWorld, at: usize) -> bool {
        let Some(write) = world.cluster.take_write(at) else {
            return false;
        };
        self.apply_write(world, at, &write);
        if write.content.is_awaited() && self.defect != RegisterDefect::AcknowledgesBeforeSync {
            let write_id = write.write_id;
            self.step(world, at, Event::WriteCompleted { write_id });
        } else {
            world.cluster.node_mut(at).renew_fingerprint();
        }
        true
    }
}

impl RegisterModel {
    pub(super) fn step(&self, world: &mut RegisterWorld, at: usize, event: Event) {
        let node = world.cluster.node_mut(at);
        let effects = node.register.step(node.now, event);
        for effect in effects {
            self.execute(world, at, effect);
        }
        self.answer_reads(world, at);
        world.cluster.node_mut(at).renew_fingerprint();
    }

    fn execute(&self, world: &mut RegisterWorld, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
            Effect::Persist { write_id, durable } => {
                self.write(world, at, write_id, Content::State(durable));
            }
            Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                self.write(
                    world,
                    at,
                    write_id,
                    Content::Configuration { digest, bytes },
                );
            }
            Effect::DeleteConfiguration { digest } => {
                let content = Content::DeletedConfiguration { digest };
                let write = Write {
                    write_id: 0,
                    content,
                };
                world.cluster.node_mut(at).writes.push(write);
            }
            Effect::Decided {
                request_id,
                decision,
            } if request_id != BOOTSTRAP_TOKEN => {
                let submission = request_id as usize;
                world.record(|history, disks| {
                    history.decided(submission, decision, &self.submission_facts, disks)
                });
            }
            Effect::StateChanged => {
                let state = world.cluster.nodes[at].register.state();
                let checked = world.history.adopted(at, state);
                world.cluster.note(checked);
            }
            _ => {}
        }
    }

    fn write(&self, world: &mut RegisterWorld, at: usize, write_id: u64, content: Content) {
        let write = Write { write_id, content };
        world.cluster.node_mut(at).writes.push(write);
        if self.defect == RegisterDefect::AcknowledgesBeforeSync {
            self.step(world, at, Event::WriteCompleted { write_id });
        }
    }

    fn send(&self, world: &mut RegisterWorld, from: usize, to: usize, body: Payload) {
        if to >= world.cluster.nodes.len() {
            return;
        }
        if self.defect == RegisterDefect::CountsMinority
            && let Some(body) = forged_vote(&body)
        {
            let voter = node_name(to);
            self.step(world, from, Event::Received { from: voter, body });
        }
        let removed = self.scenario.voters - 1;
        if self.defect == RegisterDefect::CountsReplacedVoter
            && to == removed + 1
            && from != removed
        {
            world.cluster.network.send(from, removed, body.clone());
        }
        world.cluster.network.send(from, to, body);
    }

    fn apply_write(&self, world: &mut RegisterWorld, at: usize, write: &Write) {
        let node = world.cluster.node_mut(at);
        node.apply(&write.content, self.defect);
        world.record(|history, disks| {
            history.disk_changed(at, disks, &self.submission_facts)?;
            history.check_durable(disks, &self.submission_facts)
        });
    }

    pub(super) fn tick(&self, world: &mut RegisterWorld, at: usize) {
        world.cluster.node_mut(at).now += TICK;
        self.step(world, at, Event::Tick);
    }

    pub(super) fn tick_all(&self, world: &mut RegisterWorld) {
        for at in 0..world.cluster.nodes.len() {
            self.tick(world, at);
        }
    }

    pub(super) fn crash(&self, world: &mut RegisterWorld, at: usize, persisted: usize) {
        let node = world.cluster.node_mut(at);
        let writes = node.writes.crash(persisted);
        if self.defect == RegisterDefect::DiskForgetsSynced
            && let Some(before) = node.disk_before.take()
        {
            node.disk = *before;
        }
        for write in &writes {
            self.apply_write(world, at, write);
        }
        self.restart(world, at);
        let disks = disks(&world.cluster.nodes);
        let checked = world.history.check_durable(&disks, &self.submission_facts);
        world.cluster.note(checked);
    }

    pub(super) fn wipe(&self, world: &mut RegisterWorld, at: usize) {
        let node = world.cluster.node_mut(at);
        let lost = std::mem::take(&mut node.disk).durable;
        if self.defect == RegisterDefect::KeepsDiskIdAfterWipe {
            node.disk.durable = DurableState {
                disk: lost.disk,
                initial_voters: lost.initial_voters,
                bootstrap_vote: lost.bootstrap_vote,
                ..DurableState::default()
            };
        }
        self.restart(world, at);
    }

    fn restart(&self, world: &mut RegisterWorld, at: usize) {
        let node = &world.cluster.nodes[at];
        let (disk, incarnation) = (node.disk.clone(), node.incarnation + 1);
        let peers = world.cluster.nodes.len();
        let node = self.start_node(at, peers, disk, node.now, incarnation);
        world.cluster.nodes[at] = Arc::new(node);
        world.record(|history, _| {
            history.node_ended(at);
            Ok(())
        });
    }

    pub(super) fn submit(&self, world: &mut RegisterWorld, submission: usize, at: usize) {
        let Submission {
            mut change, bytes, ..
        } = self.scenario.submissions[submission].clone();
        let is_retry = world.attempts[submission] > 0;
        if self.defect == RegisterDefect::RetriesUnderNewId
            && is_retry
            && let Change::Configuration { id, .. } | Change::Evacuate { id, .. } = &mut change
        {
            id.id.push_str("-again");
        }
        if self.defect == RegisterDefect::DropsVersions
            && let Change::Configuration {
                version: number, ..
            } = &mut change
        {
            *number = None;
        }
        world.attempts[submission] += 1;
        let submitted = Event::Submit {
            request_id: submission as u64,
            change,
            bytes,
        };
        self.step(world, at, submitted);
    }

    pub(super) fn read(&self, world: &mut RegisterWorld, at: usize) {
        let node = world.cluster.node_mut(at);
        node.now += READ_DELAY;
        let now = node.now;
        world.record(|history, _| {
            history.read_requested(at, now);
            Ok(())
        });
        self.step(world, at, Event::Confirm);
    }

    /// After each step of a node: answers the reads that can be answered.
    fn answer_reads(&self, world: &mut RegisterWorld, at: usize) {
        if !world.history.is_read_pending(at) {
            return;
        }
        let node = world.cluster.nodes[at].clone();
        let register = &node.register;
        let revision = register.state().revision;
        let is_local = self.defect == RegisterDefect::ReadsWithoutQuorum;
        let is_confirmed = |requested_at| is_local || register.is_confirmed_since(requested_at);
        world.record(|history, _| history.answer_reads(at, revision, is_confirmed));
    }

    /// Every change of the voters that some node may propose by what it knows.
    pub(super) fn proposals(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let mut actions = Vec::new();
        for at in &self.scenario.proposers {
            let node = &world.cluster.nodes[*at];
            if !node.is_active() {
                continue;
            }
            let voter_set = &node.register.state().voter_set;
            for change in VoterChange::possible(voter_set, &self.scenario.replacements) {
                actions.push(RegisterAction::ChangeVoters { node: *at, change });
            }
        }
        actions
    }

    pub(super) fn change_voters(&self, world: &mut RegisterWorld, at: usize, change: VoterChange) {
        let voter_set = &world.cluster.nodes[at].register.state().voter_set;
        let proposal = change.proposal(voter_set);
        self.step(world, at, Event::Propose(proposal));
    }
}
