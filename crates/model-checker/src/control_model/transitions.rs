//! The world of register and lease as a [`Model`]: its choices, and where each leads.

use super::ControlModel;
use super::world::{ControlAction, ControlWorld};
use crate::cluster::ClusterModel;
use crate::model::{Model, Violation, fingerprint_of};
use crate::network::Schedule;
use crate::voters::may_wipe;

impl Model for ControlModel {
    type State = ControlWorld;
    type Action = ControlAction;

    fn initial(&self) -> ControlWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &ControlWorld) -> Vec<ControlAction> {
        let cluster = &world.cluster;
        let mut actions = world.scheduled_actions();
        if world.remaining.crashes > 0 {
            let crashes = cluster.crash_choices();
            actions
                .extend(crashes.map(|(node, persisted)| ControlAction::Crash { node, persisted }));
        }
        if world.remaining.wipes > 0 {
            let nodes = 0..cluster.nodes.len();
            let wiped = nodes.filter(|at| may_wipe(&cluster.nodes, *at));
            actions.extend(wiped.map(|node| ControlAction::Wipe { node }));
        }
        if world.remaining.proposals > 0 {
            actions.extend(self.proposals(world));
        }
        let duplicates = cluster.duplicate_steps();
        actions.extend(duplicates.into_iter().map(ControlAction::Io));
        actions
    }

    fn next(&self, world: &ControlWorld, action: ControlAction) -> ControlWorld {
        let mut next = world.clone();
        match action {
            ControlAction::Io(step) => self.take_io_step(&mut next, step),
            ControlAction::PassAndTick => {
                next.remaining.passes -= 1;
                self.pass(&mut next, world.remaining.quantum);
            }
            ControlAction::Crash { node, persisted } => {
                next.remaining.crashes -= 1;
                self.crash(&mut next, node, persisted);
            }
            ControlAction::Wipe { node } => {
                next.remaining.wipes -= 1;
                self.wipe(&mut next, node);
            }
            ControlAction::ChangeVoters { node, change } => {
                next.remaining.proposals -= 1;
                self.change_voters(&mut next, node, change);
            }
        }
        next
    }

    fn usual_actions(&self, world: &ControlWorld) -> usize {
        match world.cluster.schedule() {
            Schedule::AnyOrder => world.any_order_actions().len(),
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A delivery without any effect: as if the message were never delivered.
    fn is_redundant(&self, before: &ControlWorld, after: &ControlWorld) -> bool {
        after.cluster.schedule() == Schedule::AnyOrder
            && after.now == before.now
            && after.cluster.network.len() < before.cluster.network.len()
            && after.cluster.has_same_nodes(&before.cluster)
    }

    fn violation<'a>(&self, world: &'a ControlWorld) -> Option<&'a Violation> {
        world.cluster.violation.as_ref()
    }

    fn fingerprint(&self, world: &ControlWorld) -> u64 {
        fingerprint_of(&(
            world.cluster.fingerprint(),
            world.now,
            world.lease_observer,
            world.history_fingerprint,
            world.remaining,
        ))
    }

    fn describe(&self, world: &ControlWorld, action: ControlAction) -> String {
        match action {
            ControlAction::Io(step) => world.cluster.describe(step),
            ControlAction::PassAndTick => format!("pass from {:?}", world.now),
            other => format!("{other:?}"),
        }
    }
}
