//! What an observer sees of the nodes: revisions in force, voters, agreement.

use crate::nodes::Core;
use crate::outcome::VoterLoss;
use crate::world::World;
use invariants::observations::Observation;
use std::collections::BTreeSet;

impl World {
    /// Records the revision in force at every data-plane node that would serve at this moment.
    pub(crate) fn observe_nodes(&mut self) {
        let serving: Vec<(String, u64)> = self
            .nodes
            .iter()
            .filter(|node| node.up && node.frozen.is_none())
            .filter_map(|node| {
                let view = node.data_node()?.view();
                view.is_fresh(node.local(self.now), self.defects.stale_after)
                    .then(|| (node.name.clone(), view.revision))
            })
            .collect();
        serving.into_iter().for_each(|(node, revision)| {
            self.note(Observation::RevisionInForce { node, revision })
        });
        self.watch_losses();
    }

    pub(crate) fn watch_losses(&mut self) {
        if self.losses.iter().all(|loss| loss.replaced_at.is_some()) {
            return;
        }
        let (voters, now) = (self.voters(), self.now);
        let over = self
            .losses
            .iter_mut()
            .filter(|loss| loss.replaced_at.is_none() && !voters.contains(&loss.node));
        over.for_each(|loss| loss.replaced_at = Some(now));
    }

    /// Records that a voter is lost for good.
    pub(super) fn note_loss(&mut self, at: usize) {
        let node = self.nodes[at].name.clone();
        if self.nodes[at].is_control_node() && self.voters().contains(&node) {
            let lost_at = self.now;
            self.losses.push(VoterLoss {
                node,
                lost_at,
                replaced_at: None,
            });
        }
    }

    pub(crate) fn voters(&self) -> BTreeSet<String> {
        let sets = self.nodes.iter().filter_map(|node| match &node.core {
            Core::ControlNode(control) => Some(control.voters()),
            _ => None,
        });
        sets.flatten().collect()
    }

    pub(crate) fn agreed(&self) -> bool {
        let there = || self.nodes.iter().filter(|node| !node.removed);
        let revisions = there().map(|node| match &node.core {
            Core::ControlNode(control) => control.revision(),
            Core::DataNode(data_node, _) => data_node.view().revision,
            Core::Down => 0,
        });
        let places = there()
            .filter_map(|node| node.data_node())
            .map(|data_node| {
                let view = data_node.view();
                (
                    view.reservations.clone(),
                    view.tombstones.clone(),
                    view.upstreams.len(),
                )
            });
        let (revisions, places): (Vec<_>, Vec<_>) = (revisions.collect(), places.collect());
        revisions.windows(2).all(|two| two[0] == two[1])
            && places.windows(2).all(|two| two[0] == two[1])
    }
}
