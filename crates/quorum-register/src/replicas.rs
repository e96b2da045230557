//! What is known of the other control nodes: when each was heard, and which state its disk holds.

use protocol::Ballot;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most nodes that are remembered; beyond, the one heard longest ago is forgotten.
const MAX_REMEMBERED: usize = 256;

#[derive(Clone, Default, Hash)]
struct Replica {
    heard_at: Duration,
    synced: Option<Ballot>,
    takes_deltas: bool,
}

/// The other control nodes, by name.
#[derive(Clone, Default, Hash)]
pub(crate) struct Replicas(BTreeMap<String, Replica>);

impl Replicas {
    /// Something came from a node.
    pub(crate) fn heard(&mut self, node: &str, now: Duration) {
        if let Some(replica) = self.0.get_mut(node) {
            replica.heard_at = now;
            return;
        }
        if self.0.len() >= MAX_REMEMBERED {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, replica)| replica.heard_at)
                .map(|(node, _)| node.clone());
            oldest
                .into_iter()
                .for_each(|node| drop(self.0.remove(&node)));
        }
        self.0.insert(
            node.to_owned(),
            Replica {
                heard_at: now,
                ..Replica::default()
            },
        );
    }

    /// A node told what its disk holds. It may have lost its disk meanwhile, so the last word counts.
    pub(crate) fn told_synced(&mut self, node: &str, ballot: Ballot) {
        if let Some(replica) = self.0.get_mut(node) {
            replica.synced = Some(ballot);
        }
    }

    /// A node asked for states by what it knows already, or did not, as one of an earlier version.
    pub(crate) fn told_since(&mut self, node: &str, since: Option<u64>) {
        if let Some(replica) = self.0.get_mut(node) {
            replica.takes_deltas = since.is_some();
        }
    }

    /// True where the last word of a node was that it takes states as differences.
    pub(crate) fn takes_deltas(&self, node: &str) -> bool {
        self.0.get(node).is_some_and(|replica| replica.takes_deltas)
    }

    pub(crate) fn heard_at(&self, node: &str) -> Duration {
        self.0
            .get(node)
            .map(|replica| replica.heard_at)
            .unwrap_or_default()
    }

    pub(crate) fn synced_ballot(&self, node: &str) -> Option<&Ballot> {
        self.0.get(node).and_then(|replica| replica.synced.as_ref())
    }
}
