//! What each action does to the world: steps of the real register, its effects, faults and operators.

use super::defects::forged_answer;
use super::order::Order;
use super::scenario::RegisterDefect;
use super::world::{Node, RegisterWorld, disks};
use super::{MOMENT, RegisterModel, TICK};
use crate::disk::{Content, Write};
use crate::model::{node_index, node_name};
use crate::network::{InFlight, Message};
use protocol::{DurableState, Payload};
use quorum_register::{Change, Effect, Event, VoterPhase};
use std::sync::Arc;

impl RegisterModel {
    pub(super) fn step(&self, world: &mut RegisterWorld, at: usize, event: Event) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let effects = node.register.step(node.now, event);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(world, at, effect));
        self.observe(world, at);
        Arc::make_mut(&mut world.nodes[at]).renew_fingerprint();
    }

    pub(super) fn carry_out(&self, world: &mut RegisterWorld, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
            Effect::Persist { write_id, durable } => {
                self.write(world, at, write_id, Content::State(durable))
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
                let content = Content::DroppedSetup { digest };
                Arc::make_mut(&mut world.nodes[at]).writes.push_back(Write {
                    write_id: 0,
                    content,
                });
            }
            Effect::Decided {
                request_id,
                decision,
            } if request_id != u64::MAX => {
                let order = request_id as usize;
                world.record(|history, disks| history.decided(order, decision, &self.facts, disks));
            }
            Effect::StateChanged => {
                let state = world.nodes[at].register.state().clone();
                world.note(world.history.adopted(at, &state));
            }
            _ => {}
        }
    }

    pub(super) fn write(
        &self,
        world: &mut RegisterWorld,
        at: usize,
        write_id: u64,
        content: Content,
    ) {
        Arc::make_mut(&mut world.nodes[at])
            .writes
            .push_back(Write { write_id, content });
        if self.defect == RegisterDefect::AnswersBeforeSync {
            self.step(world, at, Event::WriteCompleted { write_id });
        }
    }

    pub(super) fn send(&self, world: &mut RegisterWorld, from: usize, to: usize, body: Payload) {
        if to >= world.nodes.len() {
            return;
        }
        if self.defect == RegisterDefect::CountsMinority
            && let Some(body) = forged_answer(&body)
        {
            self.step(
                world,
                from,
                Event::Received {
                    from: node_name(to),
                    body,
                },
            );
        }
        let replaced = self.scenario.voters - 1;
        if self.defect == RegisterDefect::CountsReplacedVoter
            && to == replaced + 1
            && from != replaced
        {
            world.network.send(from, replaced, body.clone());
        }
        world.network.send(from, to, body);
    }

    pub(super) fn deliver(&self, world: &mut RegisterWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        let (from, body) = self.twist(*from, body.clone());
        self.step(
            world,
            *to,
            Event::Received {
                from: node_name(from),
                body,
            },
        );
    }

    /// Syncs a node's oldest write; false where there is none.
    pub(super) fn sync(&self, world: &mut RegisterWorld, at: usize) -> bool {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let Some(write) = node.writes.pop_front() else {
            return false;
        };
        node.disk_is_stray &= !node.writes.is_empty();
        node.keep(&write.content, self.defect);
        self.disk_changed(world, at);
        let nobody_waits = matches!(write.content, Content::DroppedSetup { .. });
        if nobody_waits || self.defect == RegisterDefect::AnswersBeforeSync {
            Arc::make_mut(&mut world.nodes[at]).renew_fingerprint();
        } else {
            self.step(
                world,
                at,
                Event::WriteCompleted {
                    write_id: write.write_id,
                },
            );
        }
        true
    }

    pub(super) fn disk_changed(&self, world: &mut RegisterWorld, at: usize) {
        world.record(|history, disks| {
            history.disk_changed(at, disks, &self.facts)?;
            history.check_kept(disks, &self.facts)
        });
    }

    pub(super) fn tick(&self, world: &mut RegisterWorld, at: usize) {
        Arc::make_mut(&mut world.nodes[at]).now += TICK;
        self.step(world, at, Event::Tick);
    }

    pub(super) fn crash(&self, world: &mut RegisterWorld, at: usize, kept: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let writes: Vec<Write> = node.writes.drain(..).take(kept).collect();
        if let Some(before) = node
            .disk_before
            .take()
            .filter(|_| self.defect == RegisterDefect::DiskForgetsSynced)
        {
            node.disk = *before;
        }
        writes.iter().for_each(|write| {
            Arc::make_mut(&mut world.nodes[at]).keep(&write.content, self.defect);
            self.disk_changed(world, at);
        });
        self.restart(world, at);
        let checked = world.history.check_kept(&disks(&world.nodes), &self.facts);
        world.note(checked);
    }

    pub(super) fn wipe(&self, world: &mut RegisterWorld, at: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let DurableState {
            disk,
            initial_voters,
            bootstrap_vote,
            ..
        } = std::mem::take(&mut node.disk).durable;
        if self.defect == RegisterDefect::KeepsMarkAfterWipe {
            node.disk.durable = DurableState {
                disk,
                initial_voters,
                bootstrap_vote,
                ..DurableState::default()
            };
        }
        self.restart(world, at);
    }

    pub(super) fn restart(&self, world: &mut RegisterWorld, at: usize) {
        let node = &world.nodes[at];
        let peers = world.nodes.len();
        let node = self.start_node(at, peers, node.disk.clone(), node.now, node.lives + 1);
        world.nodes[at] = Arc::new(node);
        world.record(|history, _| {
            history.node_ended(at);
            Ok(())
        });
    }

    pub(super) fn ask(&self, world: &mut RegisterWorld, order: usize, at: usize) {
        let Order {
            mut change, bytes, ..
        } = self.scenario.orders[order].clone();
        if self.defect == RegisterDefect::ResendsAsNew
            && world.asked[order] > 0
            && let Change::Configuration { id, .. } | Change::Evacuate { id, .. } = &mut change
        {
            id.id.push_str("-again");
        }
        if let (RegisterDefect::LosesNumbers, Change::Configuration { number, .. }) =
            (self.defect, &mut change)
        {
            *number = None;
        }
        world.asked[order] += 1;
        self.step(
            world,
            at,
            Event::Submit {
                request_id: order as u64,
                change,
                bytes,
            },
        );
    }

    pub(super) fn read(&self, world: &mut RegisterWorld, at: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        node.now += MOMENT;
        let now = node.now;
        world.record(|history, _| {
            history.read_asked(at, now);
            Ok(())
        });
        self.step(world, at, Event::Confirm);
    }

    /// After each step of a node: reads that can be answered are.
    pub(super) fn observe(&self, world: &mut RegisterWorld, at: usize) {
        if !world.history.is_read_pending(at) {
            return;
        }
        let node = world.nodes[at].clone();
        let register = &node.register;
        let revision = register.state().revision;
        let local = self.defect == RegisterDefect::ReadsLocally;
        let confirmed = |asked_at| local || register.is_confirmed_since(asked_at);
        world.record(|history, _| history.answer_reads(at, revision, confirmed));
    }

    pub(super) fn may_wipe(&self, world: &RegisterWorld, at: usize) -> bool {
        let whole = |node: &Arc<Node>| {
            node.disk.durable.disk != 0 && *node.register.phase() == VoterPhase::Active
        };
        world
            .nodes
            .iter()
            .enumerate()
            .all(|(other, node)| whole(node) || other == at)
            && world.nodes[at].disk.durable.disk != 0
    }
}
