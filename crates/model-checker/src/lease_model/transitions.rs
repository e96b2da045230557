//! The lease's world as a [`Model`]: its choices, and where each leads.

use super::LeaseModel;
use super::world::{LeaseAction, LeaseWorld};
use crate::cluster::ClusterModel;
use crate::model::{Model, Violation, fingerprint_of};
use crate::network::Schedule;

impl Model for LeaseModel {
    type State = LeaseWorld;
    type Action = LeaseAction;

    fn initial(&self) -> LeaseWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &LeaseWorld) -> Vec<LeaseAction> {
        let mut actions = world.scheduled_actions();
        if world.remaining.crashes > 0 {
            let crashes = world.cluster.crash_choices();
            actions.extend(crashes.map(|(node, persisted)| LeaseAction::Crash { node, persisted }));
        }
        if world.remaining.wipes > 0 {
            let nodes = 0..world.cluster.nodes.len();
            actions.extend(nodes.map(|node| LeaseAction::Wipe { node }));
        }
        let duplicates = world.cluster.duplicate_steps();
        actions.extend(duplicates.into_iter().map(LeaseAction::Io));
        actions
    }

    fn next(&self, world: &LeaseWorld, action: LeaseAction) -> LeaseWorld {
        let mut next = world.clone();
        match action {
            LeaseAction::Io(step) => self.take_io_step(&mut next, step),
            LeaseAction::Tick { node } => self.tick(&mut next, node),
            LeaseAction::Freeze { node } | LeaseAction::Thaw { node } => {
                self.toggle_pause(&mut next, node);
            }
            LeaseAction::Pass => next.pass(),
            LeaseAction::PassAndTick => {
                next.pass();
                for node in 0..next.cluster.nodes.len() {
                    if next.cluster.is_running(node) {
                        self.tick(&mut next, node);
                    }
                }
            }
            LeaseAction::Crash { node, persisted } => {
                next.remaining.crashes -= 1;
                self.crash(&mut next, node, persisted);
            }
            LeaseAction::Wipe { node } => {
                next.remaining.wipes -= 1;
                self.wipe(&mut next, node);
            }
        }
        next
    }

    fn usual_actions(&self, world: &LeaseWorld) -> usize {
        match world.cluster.schedule() {
            Schedule::AnyOrder => world.any_order_actions().len(),
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A tick or a delivery without any effect: as if it had not come yet.
    fn is_redundant(&self, before: &LeaseWorld, after: &LeaseWorld) -> bool {
        after.cluster.schedule() == Schedule::AnyOrder
            && after.now == before.now
            && after.cluster.network.len() <= before.cluster.network.len()
            && after.cluster.has_same_nodes(&before.cluster)
    }

    fn violation<'a>(&self, world: &'a LeaseWorld) -> Option<&'a Violation> {
        world.cluster.violation.as_ref()
    }

    fn fingerprint(&self, world: &LeaseWorld) -> u64 {
        fingerprint_of(&(
            world.cluster.fingerprint(),
            world.now,
            world.lease_observer,
            world.remaining,
        ))
    }

    fn describe(&self, world: &LeaseWorld, action: LeaseAction) -> String {
        match action {
            LeaseAction::Io(step) => world.cluster.describe(step),
            LeaseAction::Tick { node } => format!("tick v{node} at {:?}", self.clock(world, node)),
            LeaseAction::Pass => format!("pass from {:?}", world.now),
            other => format!("{other:?}"),
        }
    }
}
