//! What an observer outside the system knows: what disks accepted, what operators were told. The invariants of the
//! register are judged here.

use crate::disk::Disk;
use crate::model::{Invariant, Violation, node_index};
use protocol::{Ballot, ClusterState, VoterSet};
use quorum_register::Decision;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Disk {
    fn has_decided(&self, order: &OrderFacts) -> bool {
        order.is_in(&self.durable.accepted)
    }

    fn holds_bytes_of(&self, state: &ClusterState) -> bool {
        state.digest.is_empty() || self.configurations.contains_key(&state.digest)
    }
}

/// What an order is about, as far as the observer judges it.
#[derive(Clone, Debug, Hash)]
pub(crate) struct OrderFacts {
    /// What the state keeps of what was asked.
    pub asked: String,
    pub digest: String,
    pub number: Option<u64>,
}

impl OrderFacts {
    fn is_in(&self, state: &ClusterState) -> bool {
        state
            .submissions
            .iter()
            .any(|done| done.asked == self.asked)
    }
}

/// A read that an operator waits for.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingRead {
    pub node: usize,
    pub asked_at: Duration,
    /// The newest edition that was confirmed to anybody before the read was asked.
    pub floor: u64,
}

/// All that was seen from outside.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct History {
    /// Who accepted what at a ballot, also where that disk has gone on or was lost since: the proposer may have
    /// heard of it.
    accepted: BTreeMap<Ballot, (ClusterState, BTreeSet<usize>)>,
    chosen: BTreeMap<Ballot, ClusterState>,
    told: BTreeMap<usize, Decision>,
    /// The newest edition that was confirmed to anybody.
    confirmed: u64,
    reads: Vec<PendingRead>,
    /// The edition that the explored part begins with.
    base_edition: u64,
}

fn broken(invariant: Invariant, detail: String) -> Result<(), Violation> {
    Err(Violation { invariant, detail })
}

/// True where `later` comes from `earlier` by deciding orders.
fn derives(earlier: &ClusterState, later: &ClusterState) -> bool {
    match earlier.revision == later.revision {
        true => {
            earlier.digest == later.digest && later.submissions.starts_with(&earlier.submissions)
        }
        false => {
            earlier.revision < later.revision && later.submissions.starts_with(&earlier.submissions)
        }
    }
}

/// True where a quorum of disks has something, but for those that were just lost and recover from the others before
/// they vote.
fn is_on_quorum(voter_set: &VoterSet, disks: &[&Disk], has: impl Fn(&Disk) -> bool) -> bool {
    let counts = |disk: &&Disk| disk.durable.disk == 0 || has(disk);
    voter_set.is_quorum(|voter| disks.get(node_index(voter)).is_some_and(counts))
}

/// True where the voters stayed, or one step of a change was taken.
fn is_one_step(earlier: &VoterSet, later: &VoterSet) -> bool {
    let begun = earlier.begin_change(later.next.clone());
    earlier == later
        || begun.as_ref() == Some(later)
        || earlier.complete_change().as_ref() == Some(later)
}

impl History {
    /// The explored part begins here: what was chosen before is kept, and later editions are counted from it.
    pub fn begin(&mut self) {
        self.base_edition = self.newest_chosen().map_or(0, |state| state.revision);
        self.confirmed = self.base_edition;
        self.reads.clear();
        let newest = self.chosen.keys().next_back().cloned().unwrap_or_default();
        self.chosen.retain(|ballot, _| *ballot >= newest);
        self.accepted.retain(|ballot, _| *ballot >= newest);
    }

    fn newest_chosen(&self) -> Option<&ClusterState> {
        self.chosen.values().next_back()
    }

    /// A disk holds what it was given to keep.
    pub fn disk_changed(
        &mut self,
        node: usize,
        disks: &[&Disk],
        orders: &[OrderFacts],
    ) -> Result<(), Violation> {
        let durable = &disks[node].durable;
        if durable.disk != 0 && durable.accepted_at != Ballot::default() {
            let ballot = &durable.accepted_at;
            let entry = self.accepted.entry(ballot.clone());
            let (state, holders) =
                entry.or_insert_with(|| (durable.accepted.clone(), BTreeSet::new()));
            if *state != durable.accepted {
                return broken(
                    Invariant::OneHistory,
                    format!("two states were accepted at ballot {ballot:?}"),
                );
            }
            holders.insert(node);
            let accepted = |voter: &str| holders.contains(&node_index(voter));
            if state.voter_set.is_quorum(accepted) && !self.chosen.contains_key(ballot) {
                let state = state.clone();
                self.chosen.insert(ballot.clone(), state);
                self.check_chosen(&durable.accepted_at, disks, orders)?;
            }
        }
        Ok(())
    }

    fn check_chosen(
        &self,
        ballot: &Ballot,
        disks: &[&Disk],
        orders: &[OrderFacts],
    ) -> Result<(), Violation> {
        let state = &self.chosen[ballot];
        let before = self.chosen.range(..ballot).next_back();
        let after = self.chosen.range(ballot..).nth(1);
        let chain = before
            .into_iter()
            .chain([(ballot, state)])
            .chain(after)
            .collect::<Vec<_>>();
        let leap = chain
            .windows(2)
            .find(|pair| !is_one_step(&pair[0].1.voter_set, &pair[1].1.voter_set));
        if let Some(pair) = leap {
            let detail = format!(
                "{:?} does not follow {:?}",
                pair[1].1.voter_set, pair[0].1.voter_set
            );
            return broken(Invariant::VotersChangeByStep, detail);
        }
        if let Some(pair) = chain.windows(2).find(|pair| !derives(pair[0].1, pair[1].1)) {
            return broken(
                Invariant::OneHistory,
                format!("{:?} does not derive from {:?}", pair[1], pair[0]),
            );
        }
        let lost = self.told.iter().find(|(order, decision)| {
            decision.revision <= state.revision && !orders[**order].is_in(state)
        });
        if let Some((order, decision)) = lost {
            let detail = format!(
                "order {} was told {decision:?} and is not in edition {}",
                order, state.revision
            );
            return broken(Invariant::AcceptedIsKept, detail);
        }
        let ids: BTreeSet<&str> = state
            .submissions
            .iter()
            .map(|done| done.id.as_str())
            .collect();
        let executed = state.revision.saturating_sub(self.base_edition) as usize;
        if self.base_edition > 0 && (ids.len() < state.submissions.len() || executed > orders.len())
        {
            let detail = format!(
                "{} orders made {executed} editions: {:?}",
                orders.len(),
                state.submissions
            );
            return broken(Invariant::ExecutedOnce, detail);
        }
        self.check_bytes(state, disks)
    }

    fn check_bytes(&self, state: &ClusterState, disks: &[&Disk]) -> Result<(), Violation> {
        if !is_on_quorum(&state.voter_set, disks, |disk| disk.holds_bytes_of(state)) {
            let detail = format!(
                "edition {} was chosen, and too few disks hold its bytes",
                state.revision
            );
            return broken(Invariant::BytesAreHeld, detail);
        }
        Ok(())
    }

    /// An operator was told what became of an order.
    pub fn decided(
        &mut self,
        order: usize,
        decision: Decision,
        orders: &[OrderFacts],
        disks: &[&Disk],
    ) -> Result<(), Violation> {
        if decision.code != ResultCode::Success {
            return Ok(());
        }
        if let Some(before) = self
            .told
            .insert(order, decision)
            .filter(|before| *before != decision)
        {
            return broken(
                Invariant::ExecutedOnce,
                format!("order {order} was told {before:?}, then {decision:?}"),
            );
        }
        self.confirmed = self.confirmed.max(decision.revision);
        let facts = &orders[order];
        let rival = self.told.keys().find(|other| {
            let other = &orders[**other];
            other.number.is_some() && other.number == facts.number && other.digest != facts.digest
        });
        if let Some(rival) = rival {
            let detail = format!(
                "orders {rival} and {order} have number {:?} and different content",
                facts.number
            );
            return broken(Invariant::NumbersAreUnique, detail);
        }
        let has =
            |disk: &Disk| disk.has_decided(facts) && disk.holds_bytes_of(&disk.durable.accepted);
        let voter_set = self
            .newest_chosen()
            .map(|state| state.voter_set.clone())
            .unwrap_or_default();
        if !is_on_quorum(&voter_set, disks, has) {
            let detail = format!(
                "order {order} was told {decision:?} while too few disks hold it with its bytes"
            );
            return broken(Invariant::AcceptedIsKept, detail);
        }
        Ok(())
    }

    /// A node takes a state for the one in force.
    pub fn adopted(&self, node: usize, state: &ClusterState) -> Result<(), Violation> {
        if state.revision > 0 && !self.chosen.values().any(|chosen| chosen == state) {
            let detail = format!(
                "node {node} has edition {} in force, which was never chosen",
                state.revision
            );
            return broken(Invariant::OneHistory, detail);
        }
        Ok(())
    }

    /// How many orders some operator was told are accepted.
    pub fn accepted_orders(&self) -> usize {
        self.told.len()
    }

    /// True while an operator waits for a read at this node.
    pub fn is_read_pending(&self, node: usize) -> bool {
        self.reads.iter().any(|read| read.node == node)
    }

    /// An operator asks to read at a node.
    pub fn read_asked(&mut self, node: usize, asked_at: Duration) {
        self.reads.push(PendingRead {
            node,
            asked_at,
            floor: self.confirmed,
        });
    }

    /// A node ended: its answers are lost.
    pub fn node_ended(&mut self, node: usize) {
        self.reads.retain(|read| read.node != node);
    }

    /// Answers the reads that a node may answer now, with the edition in force there.
    pub fn answer_reads(
        &mut self,
        node: usize,
        revision: u64,
        is_confirmed_since: impl Fn(Duration) -> bool,
    ) -> Result<(), Violation> {
        let answered = |read: &PendingRead| read.node == node && is_confirmed_since(read.asked_at);
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(answered);
        self.reads = waiting;
        if let Some(read) = done.iter().find(|read| revision < read.floor) {
            let detail = format!(
                "node {node} read edition {revision}, {} was confirmed before",
                read.floor
            );
            return broken(Invariant::ReadsAreCurrent, detail);
        }
        if !done.is_empty() {
            self.confirmed = self.confirmed.max(revision);
        }
        Ok(())
    }

    /// What operators were told is on a majority of disks, but for those that were just lost, in every state.
    pub fn check_kept(&self, disks: &[&Disk], orders: &[OrderFacts]) -> Result<(), Violation> {
        let voter_set = self
            .newest_chosen()
            .map(|state| state.voter_set.clone())
            .unwrap_or_default();
        let lost = self.told.keys().find(|order| {
            let facts = &orders[**order];
            !is_on_quorum(&voter_set, disks, |disk| disk.has_decided(facts))
        });
        lost.map_or(Ok(()), |order| {
            broken(
                Invariant::AcceptedIsKept,
                format!("order {order} was accepted and is on too few disks"),
            )
        })?;
        let bare = disks
            .iter()
            .position(|disk| !disk.holds_bytes_of(&disk.durable.accepted));
        bare.map_or(Ok(()), |node| {
            broken(
                Invariant::BytesAreHeld,
                format!("the disk of node {node} accepted a state without its bytes"),
            )
        })
    }
}
