//! Changes of the voters, proposed by the nodes of a model that run the register.

use crate::disk::Disk;
use crate::model::{node_index, node_name};
use protocol::{Payload, VoterSet};
use quorum_register::{Change, Register, VoterPhase};
use std::sync::Arc;

/// A voter that may be replaced, and by which replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Replacement {
    /// The index of the voter that is removed.
    pub removed: usize,
    /// The index of the node that takes its place.
    pub successor: usize,
}

impl Replacement {
    /// The replacement of one voter.
    ///
    /// ```
    /// assert_eq!(model_checker::Replacement::new(2, 3).successor, 3);
    /// ```
    pub fn new(removed: usize, successor: usize) -> Self {
        Replacement { removed, successor }
    }

    fn is_possible(&self, voter_set: &VoterSet) -> bool {
        let votes = |at: usize| voter_set.contains(&node_name(at));
        votes(self.removed) && !votes(self.successor)
    }

    /// The proposal that begins this replacement.
    pub(crate) fn proposal(&self, voter_set: &VoterSet) -> Change {
        let remaining = voter_set
            .voters
            .iter()
            .filter(|voter| node_index(voter) != self.removed);
        let voters = remaining
            .cloned()
            .chain([node_name(self.successor)])
            .collect();
        Change::BeginVoters {
            epoch: voter_set.epoch,
            voters,
        }
    }
}

/// A step of a change of the voters that a node proposes.
#[derive(Clone, Copy, Debug)]
pub enum VoterChange {
    /// A replica is to take a voter's place.
    Begin(Replacement),
    /// The change that is under way is to be completed.
    Complete,
}

impl VoterChange {
    /// What a node may propose that knows these voters.
    pub(crate) fn possible(voter_set: &VoterSet, replacements: &[Replacement]) -> Vec<VoterChange> {
        if voter_set.is_joint() {
            return vec![VoterChange::Complete];
        }
        let possible = replacements
            .iter()
            .filter(|replacement| replacement.is_possible(voter_set));
        possible.copied().map(VoterChange::Begin).collect()
    }

    /// The proposal to the register.
    pub(crate) fn proposal(&self, voter_set: &VoterSet) -> Change {
        match self {
            VoterChange::Begin(replacement) => replacement.proposal(voter_set),
            VoterChange::Complete => Change::CompleteVoters {
                epoch: voter_set.epoch,
            },
        }
    }
}

/// A node that runs the register on a disk.
pub(crate) trait RegisterNode {
    fn register(&self) -> &Register;
    fn disk(&self) -> &Disk;

    fn is_active(&self) -> bool {
        *self.register().phase() == VoterPhase::Active
    }

    fn has_data(&self) -> bool {
        self.disk().durable.disk != 0
    }
}

/// The disks of all nodes.
pub(crate) fn disks<N: RegisterNode>(nodes: &[Arc<N>]) -> Vec<&Disk> {
    nodes.iter().map(|node| node.disk()).collect()
}

/// True where a node has a disk to lose and all others are complete.
pub(crate) fn may_wipe<N: RegisterNode>(nodes: &[Arc<N>], at: usize) -> bool {
    let is_complete = |node: &Arc<N>| node.has_data() && node.is_active();
    let mut others = nodes.iter().enumerate();
    nodes[at].has_data() && others.all(|(other, node)| other == at || is_complete(node))
}

/// The epoch of the newest voters in force at any node.
pub(crate) fn newest_voter_epoch<N: RegisterNode>(nodes: &[Arc<N>]) -> u64 {
    let epochs = nodes
        .iter()
        .map(|node| node.register().state().voter_set.epoch);
    epochs.max().unwrap_or(0)
}

/// What a defect that skips the joint voter set makes of a message: the new voters decide as soon as a change is begun.
pub(crate) fn skip_joint_voter_set(mut body: Payload) -> Payload {
    match &mut body {
        // The voters are read off the promise, so it is to contain the complete state.
        Payload::Prepare(prepare) => prepare.since = None,
        Payload::Promise(promise) => {
            let voter_set = &mut promise.accepted.voter_set;
            if voter_set.is_joint() {
                voter_set.voters = std::mem::take(&mut voter_set.next);
            }
        }
        _ => {}
    }
    body
}
