//! The grants that one candidate has for one request, and what they amount to.

use protocol::VoterSet;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What one voter said with its grant.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub(crate) struct VoterGrant {
    /// It never granted a lease which anybody held.
    pub(crate) is_first: bool,
    /// Its grant counts towards half of the voters.
    pub(crate) may_break_tie: bool,
    /// How long ago the last lease ended that it may have granted.
    pub(crate) idle: Duration,
    /// It keeps records of key owners.
    pub(crate) keeps_key_owners: bool,
}

/// Grants by voter.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub(crate) struct Grants(BTreeMap<String, VoterGrant>);

impl Grants {
    pub(crate) fn insert(&mut self, voter: &str, grant: VoterGrant) {
        self.0.insert(voter.to_owned(), grant);
    }

    pub(crate) fn voters(&self) -> BTreeSet<String> {
        self.0.keys().cloned().collect()
    }

    /// True where they give the lease.
    pub(crate) fn are_quorum(&self, voter_set: &VoterSet) -> bool {
        let may_break_tie =
            |voter: &str| self.0.get(voter).is_some_and(|grant| grant.may_break_tie);
        voter_set.is_lease_quorum(|voter| self.0.contains_key(voter), may_break_tie)
    }

    /// True where voters that keep records of key owners give the lease without the others.
    pub(crate) fn keep_key_owners(&self, voter_set: &VoterSet) -> bool {
        let keeps = |voter: &str| {
            self.0
                .get(voter)
                .is_some_and(|grant| grant.keeps_key_owners)
        };
        voter_set.is_lease_quorum(keeps, |_| true)
    }

    /// True where nobody can have held the lease before: any earlier holder had the grant of one of these. Where voters have
    /// replaced others, a majority has to say so, since those who are new know only of epochs that a majority knew.
    pub(crate) fn are_all_first(&self, voter_set: &VoterSet) -> bool {
        let is_first = |voter: &str| self.0.get(voter).is_some_and(|grant| grant.is_first);
        let are_first_voters = voter_set.epoch == 0;
        are_first_voters && are_in_every_quorum(voter_set, is_first)
            || voter_set.is_quorum(is_first)
    }

    /// How long nobody can have held the lease: the longest time for which voters have been idle of whom every earlier
    /// holder needed one.
    pub(crate) fn idle(&self, voter_set: &VoterSet) -> Duration {
        let is_idle_for = |idle: Duration| {
            let was_idle = |voter: &str| self.0.get(voter).is_some_and(|grant| grant.idle >= idle);
            are_in_every_quorum(voter_set, was_idle)
        };
        let spans = self.0.values().map(|grant| grant.idle);
        spans
            .filter(|idle| is_idle_for(*idle))
            .max()
            .unwrap_or_default()
    }
}

/// True where the other voters alone can't give anybody the lease.
fn are_in_every_quorum(voter_set: &VoterSet, is_chosen: impl Fn(&str) -> bool) -> bool {
    !voter_set.is_lease_quorum(|voter| !is_chosen(voter), |_| true)
}
