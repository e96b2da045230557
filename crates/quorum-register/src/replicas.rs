//! What is known of the other control nodes: when each was heard from, and which state its disk holds.

use protocol::Ballot;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most nodes that are remembered; beyond, the one heard from longest ago is forgotten.
const MAX_REMEMBERED: usize = 256;

#[derive(Clone, Debug, Default, Hash)]
struct Replica {
    last_heard: Duration,
    persisted_ballot: Option<Ballot>,
    accepts_deltas: bool,
}

/// The other control nodes, by name.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Replicas(BTreeMap<String, Replica>);

impl Replicas {
    /// Records that a message came from a node.
    pub(crate) fn record_heard(&mut self, node: &str, now: Duration) {
        if let Some(replica) = self.0.get_mut(node) {
            replica.last_heard = now;
            return;
        }
        if self.0.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        let replica = Replica {
            last_heard: now,
            ..Replica::default()
        };
        self.0.insert(node.to_owned(), replica);
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .0
            .iter()
            .min_by_key(|(_, replica)| replica.last_heard)
            .map(|(node, _)| node.clone());
        if let Some(node) = oldest {
            self.0.remove(&node);
        }
    }

    /// Records what a node's disk holds. It may have lost its disk meanwhile, so the last report counts.
    pub(crate) fn record_persisted(&mut self, node: &str, ballot: Ballot) {
        if let Some(replica) = self.0.get_mut(node) {
            replica.persisted_ballot = Some(ballot);
        }
    }

    /// Records whether a node's last request named what it knows already, as those of an earlier version don't.
    pub(crate) fn record_since(&mut self, node: &str, since: Option<u64>) {
        if let Some(replica) = self.0.get_mut(node) {
            replica.accepts_deltas = since.is_some();
        }
    }

    /// True where a node's last request showed that it accepts states as differences.
    pub(crate) fn accepts_deltas(&self, node: &str) -> bool {
        self.0
            .get(node)
            .is_some_and(|replica| replica.accepts_deltas)
    }

    /// When the last message came from a node; zero where none did.
    pub(crate) fn last_heard(&self, node: &str) -> Duration {
        self.0
            .get(node)
            .map(|replica| replica.last_heard)
            .unwrap_or_default()
    }

    /// The ballot of the state on a node's disk, where it is known.
    pub(crate) fn persisted_ballot(&self, node: &str) -> Option<&Ballot> {
        self.0
            .get(node)
            .and_then(|replica| replica.persisted_ballot.as_ref())
    }
}
