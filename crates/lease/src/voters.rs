//! Who votes, and this node's place among the voters.

use protocol::{LeaseRequest, VoterSet};

/// How many epochs of the voter set a change takes: one for the joint set, one for the new set alone.
const EPOCHS_PER_VOTER_CHANGE: u64 = 2;

/// The voter set as one node knows it.
#[derive(Clone, Debug, Hash)]
pub(crate) struct VoterView {
    /// Name of this node.
    pub(crate) node: String,
    pub(crate) voter_set: VoterSet,
}

impl VoterView {
    pub(crate) fn new(node: String) -> VoterView {
        VoterView {
            node,
            voter_set: VoterSet::default(),
        }
    }

    /// True where this node is a voter, also one of a joint set.
    pub(crate) fn is_voter(&self) -> bool {
        self.voter_set.contains(&self.node)
    }

    /// The voters without this node.
    pub(crate) fn other_voters(&self) -> impl Iterator<Item = &String> {
        self.voter_set
            .members()
            .filter(|voter| **voter != self.node)
    }

    /// This node's rank in the order in which candidates request a free lease. The tie-breaker comes first, since its lease
    /// lasts through an even split; among the others the order rotates with the epoch.
    pub(crate) fn rank(&self, epoch: u64) -> u64 {
        if self.voter_set.tie_breaker() == Some(self.node.as_str()) {
            return 0;
        }
        let count = self.voter_set.members().count().max(1) as u64;
        let position = self
            .voter_set
            .members()
            .position(|voter| *voter == self.node)
            .unwrap_or(0) as u64;
        let rank = (position + epoch) % count;
        // Nobody else asks at the same time as the tie-breaker.
        rank + u64::from(self.voter_set.tie_breaker().is_some())
    }

    /// True where this node's vote counted, or it had none, in every settled set from the one known until now to a newer
    /// one. Otherwise it has newly replaced a voter: a quorum of the earlier voters, without it, may have granted a lease
    /// that still lasts. While a set is joint, a quorum of the earlier voters is needed too; once it has settled, only
    /// the voters who stayed know of such a lease.
    pub(crate) fn remains_voter_in(&self, newer: &VoterSet) -> bool {
        let votes_in = |voter_set: &VoterSet| voter_set.voters.contains(&self.node);
        let is_next_change = newer.epoch <= self.voter_set.epoch + EPOCHS_PER_VOTER_CHANGE;
        !votes_in(newer) || (votes_in(&self.voter_set) && is_next_change)
    }

    /// True where the set known here doesn't count this node's vote by itself, and the candidate knows a newer one,
    /// which may count it.
    pub(crate) fn is_behind(&self, request: &LeaseRequest) -> bool {
        request.voter_epoch > self.voter_set.epoch && !self.voter_set.voters.contains(&self.node)
    }
}
