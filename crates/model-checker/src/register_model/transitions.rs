//! The register's world as a [`Model`]: its choices, and where each leads.

use super::RegisterModel;
use super::world::{RegisterAction, RegisterWorld};
use crate::cluster::{ClusterModel, IoStep, shortened};
use crate::disk::Content;
use crate::model::{Model, Violation, fingerprint_of};
use crate::network::Schedule;
use crate::voters::may_wipe;

impl RegisterModel {
    /// What operators may do.
    fn operator_actions(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let mut actions = Vec::new();
        if world.remaining.submissions > 0 {
            for (submission, sent) in self.scenario.submissions.iter().enumerate() {
                for node in sent.at.iter().copied() {
                    actions.push(RegisterAction::Submit { submission, node });
                }
            }
        }
        if world.remaining.reads > 0 {
            let nodes = 0..world.cluster.nodes.len();
            actions.extend(nodes.map(|node| RegisterAction::Read { node }));
        }
        actions
    }

    /// Ticks, crashes and wiped disks.
    fn node_actions(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let cluster = &world.cluster;
        let nodes = 0..cluster.nodes.len();
        let mut actions = Vec::new();
        if world.remaining.ticks > 0 {
            actions.extend(nodes.clone().map(|node| RegisterAction::Tick { node }));
        }
        if world.remaining.crashes > 0 {
            let crashes = cluster.crash_choices();
            actions
                .extend(crashes.map(|(node, persisted)| RegisterAction::Crash { node, persisted }));
        }
        if world.remaining.wipes > 0 {
            let wiped = nodes.filter(|at| may_wipe(&cluster.nodes, *at));
            actions.extend(wiped.map(|node| RegisterAction::Wipe { node }));
        }
        actions
    }
}

impl Model for RegisterModel {
    type State = RegisterWorld;
    type Action = RegisterAction;

    fn initial(&self) -> RegisterWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let mut actions = world.scheduled_actions();
        actions.extend(self.operator_actions(world));
        actions.extend(self.node_actions(world));
        if world.remaining.proposals > 0 {
            actions.extend(self.proposals(world));
        }
        let duplicates = world.cluster.duplicate_steps();
        actions.extend(duplicates.into_iter().map(RegisterAction::Io));
        actions
    }

    fn next(&self, world: &RegisterWorld, action: RegisterAction) -> RegisterWorld {
        let mut next = world.clone();
        match action {
            RegisterAction::Io(step) => self.take_io_step(&mut next, step),
            RegisterAction::TickAll => {
                next.remaining.rounds -= 1;
                self.tick_all(&mut next);
            }
            RegisterAction::Tick { node } => {
                next.remaining.ticks -= 1;
                self.tick(&mut next, node);
            }
            RegisterAction::Crash { node, persisted } => {
                next.remaining.crashes -= 1;
                self.crash(&mut next, node, persisted);
            }
            RegisterAction::Wipe { node } => {
                next.remaining.wipes -= 1;
                self.wipe(&mut next, node);
            }
            RegisterAction::Submit { submission, node } => {
                next.remaining.submissions -= 1;
                self.submit(&mut next, submission, node);
            }
            RegisterAction::ChangeVoters { node, change } => {
                next.remaining.proposals -= 1;
                self.change_voters(&mut next, node, change);
            }
            RegisterAction::Read { node } => {
                next.remaining.reads -= 1;
                self.read(&mut next, node);
            }
        }
        next
    }

    fn usual_actions(&self, world: &RegisterWorld) -> usize {
        match world.cluster.schedule() {
            Schedule::AnyOrder => world.any_order_actions().len(),
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A delivery without any effect: as if the message were never delivered.
    fn is_redundant(&self, before: &RegisterWorld, after: &RegisterWorld) -> bool {
        after.cluster.schedule() == Schedule::AnyOrder
            && after.cluster.network.len() < before.cluster.network.len()
            && after.cluster.has_same_nodes(&before.cluster)
    }

    fn violation<'a>(&self, world: &'a RegisterWorld) -> Option<&'a Violation> {
        world.cluster.violation.as_ref()
    }

    fn fingerprint(&self, world: &RegisterWorld) -> u64 {
        fingerprint_of(&(
            world.cluster.fingerprint(),
            world.history_fingerprint,
            world.remaining,
            &world.attempts,
        ))
    }

    fn describe(&self, world: &RegisterWorld, action: RegisterAction) -> String {
        match action {
            RegisterAction::Io(IoStep::Sync { node }) => {
                let write = world.cluster.nodes[node].writes.oldest();
                let content = write.map(|write| &write.content);
                format!("sync v{node}: {}", describe_content(content))
            }
            RegisterAction::Io(step) => world.cluster.describe(step),
            RegisterAction::Submit { submission, node } => {
                let change = &self.scenario.submissions[submission].change;
                format!("submit v{node}: {}", shortened(&format!("{change:?}")))
            }
            other => format!("{other:?}"),
        }
    }
}

fn describe_content(content: Option<&Content>) -> String {
    match content {
        Some(Content::State(durable)) => {
            let (promised, accepted_at) = (&durable.promised, &durable.accepted_at);
            format!("promised {promised:?} accepted {accepted_at:?}")
        }
        Some(Content::Configuration { digest, .. }) => format!("configuration {digest}"),
        Some(Content::DeletedConfiguration { digest }) => format!("delete configuration {digest}"),
        None => "nothing".into(),
    }
}
