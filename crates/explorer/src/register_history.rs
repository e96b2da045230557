//! What an observer outside the system knows: what disks accepted, what operators were told. The invariants of the
//! register are judged here.

use crate::model::{Invariant, Violation};
use address::{Code, majority};
use protocol::{Ballot, ClusterState, DurableState};
use quorum_register::Decision;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One voter's disk.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Disk {
    pub durable: DurableState,
    pub setups: BTreeMap<String, Vec<u8>>,
}

impl Disk {
    fn holds_bytes_of(&self, state: &ClusterState) -> bool {
        state.digest.is_empty() || self.setups.contains_key(&state.digest)
    }
}

/// What an order is about, as far as the observer judges it.
#[derive(Clone, Debug, Hash)]
pub(crate) struct OrderFacts {
    pub id: String,
    pub digest: String,
    pub number: Option<u64>,
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
    match earlier.edition == later.edition {
        true => earlier.digest == later.digest && later.submissions.starts_with(&earlier.submissions),
        false => earlier.edition < later.edition && later.submissions.starts_with(&earlier.submissions),
    }
}

/// How many disks must hold what was accepted: a majority, but for those that were just lost and are mended from the
/// others before they vote.
fn wanted_holders(disks: &[&Disk]) -> usize {
    let blank = disks.iter().filter(|disk| disk.durable.disk == 0).count();
    majority(disks.len()).saturating_sub(blank)
}

impl History {
    /// The explored part begins here: what was chosen before is kept, and later editions are counted from it.
    pub fn begin(&mut self) {
        self.base_edition = self.newest_chosen().map_or(0, |state| state.edition);
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
    pub fn disk_changed(&mut self, node: usize, disks: &[&Disk], orders: &[OrderFacts]) -> Result<(), Violation> {
        let durable = &disks[node].durable;
        if durable.disk != 0 && durable.accepted_at != Ballot::default() {
            let ballot = &durable.accepted_at;
            let entry = self.accepted.entry(ballot.clone());
            let (state, holders) = entry.or_insert_with(|| (durable.accepted.clone(), BTreeSet::new()));
            if *state != durable.accepted {
                return broken(Invariant::OneHistory, format!("two states were accepted at ballot {ballot:?}"));
            }
            holders.insert(node);
            if holders.len() >= majority(disks.len()) && !self.chosen.contains_key(ballot) {
                let state = state.clone();
                self.chosen.insert(ballot.clone(), state);
                self.check_chosen(&durable.accepted_at, disks, orders)?;
            }
        }
        Ok(())
    }

    fn check_chosen(&self, ballot: &Ballot, disks: &[&Disk], orders: &[OrderFacts]) -> Result<(), Violation> {
        let state = &self.chosen[ballot];
        let before = self.chosen.range(..ballot).next_back();
        let after = self.chosen.range(ballot..).nth(1);
        let chain = before.into_iter().chain([(ballot, state)]).chain(after).collect::<Vec<_>>();
        if let Some(pair) = chain.windows(2).find(|pair| !derives(pair[0].1, pair[1].1)) {
            return broken(Invariant::OneHistory, format!("{:?} does not derive from {:?}", pair[1], pair[0]));
        }
        let lost = self.told.iter().find(|(order, decision)| {
            decision.edition <= state.edition && !state.submissions.iter().any(|done| done.id == orders[**order].id)
        });
        if let Some((order, decision)) = lost {
            let detail = format!("order {} was told {decision:?} and is not in edition {}", order, state.edition);
            return broken(Invariant::AcceptedIsKept, detail);
        }
        let ids: BTreeSet<&str> = state.submissions.iter().map(|done| done.id.as_str()).collect();
        let executed = state.edition.saturating_sub(self.base_edition) as usize;
        if self.base_edition > 0 && (ids.len() < state.submissions.len() || executed > orders.len()) {
            let detail = format!("{} orders made {executed} editions: {:?}", orders.len(), state.submissions);
            return broken(Invariant::ExecutedOnce, detail);
        }
        self.check_bytes(state, disks)
    }

    fn check_bytes(&self, state: &ClusterState, disks: &[&Disk]) -> Result<(), Violation> {
        let holders = disks.iter().filter(|disk| disk.holds_bytes_of(state)).count();
        if holders < wanted_holders(disks) {
            let detail = format!("edition {} was chosen, {holders} disks hold its bytes", state.edition);
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
        if decision.code != Code::Fine {
            return Ok(());
        }
        if let Some(before) = self.told.insert(order, decision).filter(|before| *before != decision) {
            return broken(Invariant::ExecutedOnce, format!("order {order} was told {before:?}, then {decision:?}"));
        }
        self.confirmed = self.confirmed.max(decision.edition);
        let facts = &orders[order];
        let rival = self.told.keys().find(|other| {
            let other = &orders[**other];
            other.number.is_some() && other.number == facts.number && other.digest != facts.digest
        });
        if let Some(rival) = rival {
            let detail = format!("orders {rival} and {order} have number {:?} and different content", facts.number);
            return broken(Invariant::NumbersAreUnique, detail);
        }
        let kept = disks.iter().filter(|disk| {
            let state = &disk.durable.accepted;
            state.submissions.iter().any(|done| done.id == facts.id) && disk.holds_bytes_of(state)
        });
        let kept = kept.count();
        if kept < wanted_holders(disks) {
            let detail = format!("order {order} was told {decision:?} while {kept} disks hold it with its bytes");
            return broken(Invariant::AcceptedIsKept, detail);
        }
        Ok(())
    }

    /// A node takes a state for the one in force.
    pub fn adopted(&self, node: usize, state: &ClusterState) -> Result<(), Violation> {
        if state.edition > 0 && !self.chosen.values().any(|chosen| chosen == state) {
            let detail = format!("node {node} has edition {} in force, which was never chosen", state.edition);
            return broken(Invariant::OneHistory, detail);
        }
        Ok(())
    }

    /// True while an operator waits for a read at this node.
    pub fn is_read_pending(&self, node: usize) -> bool {
        self.reads.iter().any(|read| read.node == node)
    }

    /// An operator asks to read at a node.
    pub fn read_asked(&mut self, node: usize, asked_at: Duration) {
        self.reads.push(PendingRead { node, asked_at, floor: self.confirmed });
    }

    /// A node ended: its answers are lost.
    pub fn node_ended(&mut self, node: usize) {
        self.reads.retain(|read| read.node != node);
    }

    /// Answers the reads that a node may answer now, with the edition in force there.
    pub fn answer_reads(
        &mut self,
        node: usize,
        edition: u64,
        is_confirmed_since: impl Fn(Duration) -> bool,
    ) -> Result<(), Violation> {
        let answered = |read: &PendingRead| read.node == node && is_confirmed_since(read.asked_at);
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads).into_iter().partition(answered);
        self.reads = waiting;
        if let Some(read) = done.iter().find(|read| edition < read.floor) {
            let detail = format!("node {node} read edition {edition}, {} was confirmed before", read.floor);
            return broken(Invariant::ReadsAreCurrent, detail);
        }
        if !done.is_empty() {
            self.confirmed = self.confirmed.max(edition);
        }
        Ok(())
    }

    /// What operators were told is on a majority of disks, but for those that were just lost, in every state.
    pub fn check_kept(&self, disks: &[&Disk], orders: &[OrderFacts]) -> Result<(), Violation> {
        let wanted = wanted_holders(disks);
        let lost = self.told.keys().find(|order| {
            let has =
                |disk: &&&Disk| disk.durable.accepted.submissions.iter().any(|done| done.id == orders[**order].id);
            disks.iter().filter(has).count() < wanted
        });
        lost.map_or(Ok(()), |order| {
            broken(Invariant::AcceptedIsKept, format!("order {order} was accepted and is on less than {wanted} disks"))
        })?;
        let bare = disks.iter().position(|disk| !disk.holds_bytes_of(&disk.durable.accepted));
        bare.map_or(Ok(()), |node| {
            broken(Invariant::BytesAreHeld, format!("the disk of node {node} accepted a state without its bytes"))
        })
    }
}
