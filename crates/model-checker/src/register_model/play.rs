//! The register's world as a [`Model`]: its choices, and where each leads.

use super::RegisterModel;
use super::world::{Node, RegisterAction, RegisterWorld};
use crate::disk::Content;
use crate::model::{Invariant, Model, Violation, fingerprint_of};
use crate::network::{InFlight, Schedule};
use crate::traffic::{self, Traffic, shortened};
use std::sync::Arc;

impl Model for RegisterModel {
    type State = RegisterWorld;
    type Action = RegisterAction;

    fn initial(&self) -> RegisterWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let left = &world.left;
        let nodes = || 0..world.nodes.len();
        let mut actions = match self.scenario.schedule {
            Schedule::AnyOrder => world.any_order(),
            Schedule::InOrder { .. } => world.in_order(),
        };
        if left.asks > 0 {
            let orders = self.scenario.orders.iter().enumerate();
            actions.extend(orders.flat_map(|(order, sent)| {
                sent.at
                    .iter()
                    .map(move |node| RegisterAction::Ask { order, node: *node })
            }));
        }
        if left.reads > 0 {
            actions.extend(nodes().map(|node| RegisterAction::Read { node }));
        }
        if left.ticks > 0 {
            actions.extend(nodes().map(|node| RegisterAction::Tick { node }));
        }
        if left.crashes > 0 {
            actions.extend(nodes().flat_map(|node| {
                (0..=world.nodes[node].writes.len())
                    .map(move |kept| RegisterAction::Crash { node, kept })
            }));
        }
        if left.wipes > 0 {
            actions.extend(
                nodes()
                    .filter(|at| self.may_wipe(world, *at))
                    .map(|node| RegisterAction::Wipe { node }),
            );
        }
        if left.proposals > 0 {
            actions.extend(self.proposals(world));
        }
        if left.duplicates > 0 {
            actions.extend(
                traffic::duplicates(world)
                    .into_iter()
                    .map(RegisterAction::Traffic),
            );
        }
        actions
    }

    fn next(&self, world: &RegisterWorld, action: RegisterAction) -> RegisterWorld {
        let mut next = world.clone();
        match action {
            RegisterAction::Traffic(traffic) => {
                let deliver = |world: &mut RegisterWorld, in_flight: &InFlight| {
                    self.deliver(world, in_flight)
                };
                traffic::take(&mut next, traffic, deliver, |world, node| {
                    self.sync(world, node);
                });
            }
            RegisterAction::TickAll => {
                next.left.rounds -= 1;
                (0..next.nodes.len()).for_each(|node| self.tick(&mut next, node));
            }
            RegisterAction::Tick { node } => {
                next.left.ticks -= 1;
                self.tick(&mut next, node);
            }
            RegisterAction::Crash { node, kept } => {
                next.left.crashes -= 1;
                self.crash(&mut next, node, kept);
            }
            RegisterAction::Wipe { node } => {
                next.left.wipes -= 1;
                self.wipe(&mut next, node);
            }
            RegisterAction::Ask { order, node } => {
                next.left.asks -= 1;
                self.ask(&mut next, order, node);
            }
            RegisterAction::BeginVoters {
                node,
                gone,
                successor,
            } => {
                next.left.proposals -= 1;
                self.begin_voters(&mut next, node, gone, successor);
            }
            RegisterAction::CompleteVoters { node } => {
                next.left.proposals -= 1;
                self.complete_voters(&mut next, node);
            }
            RegisterAction::Read { node } => {
                next.left.reads -= 1;
                self.read(&mut next, node);
            }
        }
        next
    }

    fn usual_actions(&self, world: &RegisterWorld) -> usize {
        match self.scenario.schedule {
            Schedule::AnyOrder => world.any_order().len(),
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A delivery without any effect: as if the message were never delivered.
    fn is_redundant(&self, before: &RegisterWorld, after: &RegisterWorld) -> bool {
        let same = |(one, other): (&Arc<Node>, &Arc<Node>)| one.fingerprint == other.fingerprint;
        self.scenario.schedule == Schedule::AnyOrder
            && after.network.len() < before.network.len()
            && after.violation.is_none()
            && before.nodes.iter().zip(&after.nodes).all(same)
    }

    fn violation<'a>(&self, world: &'a RegisterWorld) -> Option<&'a Violation> {
        world.violation.as_ref()
    }

    fn fingerprint(&self, world: &RegisterWorld) -> u64 {
        let nodes: Vec<u64> = world.nodes.iter().map(|node| node.fingerprint).collect();
        let invariant: Option<Invariant> = world
            .violation
            .as_ref()
            .map(|violation| violation.invariant);
        let network = world.network.fingerprints();
        let budget = (&world.left, world.strays_left, &world.asked);
        fingerprint_of(&(nodes, network, world.history_fingerprint, budget, invariant))
    }

    fn describe(&self, world: &RegisterWorld, action: RegisterAction) -> String {
        match action {
            RegisterAction::Traffic(Traffic::Sync { node }) => {
                let what = match world.nodes[node].writes.front().map(|write| &write.content) {
                    Some(Content::State(durable)) => {
                        format!(
                            "promised {:?} accepted {:?}",
                            durable.promised, durable.accepted_at
                        )
                    }
                    Some(Content::Configuration { digest, .. }) => format!("setup {digest}"),
                    Some(Content::DroppedSetup { digest }) => format!("drop setup {digest}"),
                    None => "nothing".into(),
                };
                format!("sync v{node}: {what}")
            }
            RegisterAction::Traffic(traffic) => traffic::describe(world, traffic),
            RegisterAction::Ask { order, node } => {
                format!(
                    "ask v{node}: {}",
                    shortened(&format!("{:?}", self.scenario.orders[order].change))
                )
            }
            other => format!("{other:?}"),
        }
    }
}
