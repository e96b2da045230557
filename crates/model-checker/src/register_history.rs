//! What an observer outside the system knows: what disks accepted, which decisions operators received. The invariants
//! of the register are checked here.

use crate::disk::Disk;
use crate::model::{Invariant, Violation, node_index};
use protocol::{Ballot, ClusterState, VoterSet};
use quorum_register::Decision;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Disk {
    fn has_decided(&self, submission: &SubmissionFacts) -> bool {
        submission.is_in(&self.durable.accepted)
    }

    fn has_configuration_of(&self, state: &ClusterState) -> bool {
        state.digest.is_empty() || self.configurations.contains_key(&state.digest)
    }
}

/// What a submission is about, as far as the observer checks it.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct SubmissionFacts {
    /// What the state records of the request.
    pub request_digest: String,
    /// Empty where the submission is no configuration.
    pub configuration_digest: String,
    /// The operator's own version, if any.
    pub version: Option<u64>,
}

impl SubmissionFacts {
    fn is_in(&self, state: &ClusterState) -> bool {
        let mut executed = state.submissions.iter();
        executed.any(|done| done.asked == self.request_digest)
    }

    /// True where both claim the same version for different content.
    fn conflicts_with(&self, other: &SubmissionFacts) -> bool {
        self.version.is_some()
            && self.version == other.version
            && self.configuration_digest != other.configuration_digest
    }
}

/// A read that an operator waits for.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingRead {
    pub node: usize,
    pub requested_at: Duration,
    /// The newest revision that was confirmed to any operator before the read was requested.
    pub min_revision: u64,
}

/// A state that was accepted at one ballot, and by which nodes.
#[derive(Clone, Debug, Hash)]
struct AcceptedState {
    state: ClusterState,
    nodes: BTreeSet<usize>,
}

/// All that was seen from outside.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct History {
    /// Who accepted what at a ballot, also where that disk has gone on or was lost since: the proposer may have
    /// heard of it.
    accepted: BTreeMap<Ballot, AcceptedState>,
    chosen: BTreeMap<Ballot, ClusterState>,
    /// What operators were notified of, by submission.
    decisions: BTreeMap<usize, Decision>,
    /// The newest revision that was confirmed to any operator.
    confirmed: u64,
    reads: Vec<PendingRead>,
    /// The revision that the explored part begins with.
    base_revision: u64,
}

fn violated(invariant: Invariant, detail: String) -> Result<(), Violation> {
    Err(Violation { invariant, detail })
}

/// True where `later` comes from `earlier` by executing submissions.
fn derives(earlier: &ClusterState, later: &ClusterState) -> bool {
    let is_extended = later.submissions.starts_with(&earlier.submissions);
    if earlier.revision == later.revision {
        earlier.digest == later.digest && is_extended
    } else {
        earlier.revision < later.revision && is_extended
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
    /// The explored part begins here: what was chosen before stays, and later revisions are counted from it.
    pub fn begin(&mut self) {
        self.base_revision = self.newest_chosen().map_or(0, |state| state.revision);
        self.confirmed = self.base_revision;
        self.reads.clear();
        let newest = self.chosen.keys().next_back().cloned().unwrap_or_default();
        self.chosen.retain(|ballot, _| *ballot >= newest);
        self.accepted.retain(|ballot, _| *ballot >= newest);
    }

    fn newest_chosen(&self) -> Option<&ClusterState> {
        self.chosen.values().next_back()
    }

    fn newest_voters(&self) -> VoterSet {
        self.newest_chosen()
            .map(|state| state.voter_set.clone())
            .unwrap_or_default()
    }

    /// A disk has something else on it.
    pub fn disk_changed(
        &mut self,
        node: usize,
        disks: &[&Disk],
        submissions: &[SubmissionFacts],
    ) -> Result<(), Violation> {
        let durable = &disks[node].durable;
        if durable.disk == 0 || durable.accepted_at == Ballot::default() {
            return Ok(());
        }
        let ballot = &durable.accepted_at;
        let accepted = self
            .accepted
            .entry(ballot.clone())
            .or_insert_with(|| AcceptedState {
                state: durable.accepted.clone(),
                nodes: BTreeSet::new(),
            });
        if accepted.state != durable.accepted {
            let detail = format!("two states were accepted at ballot {ballot:?}");
            return violated(Invariant::SingleHistory, detail);
        }
        accepted.nodes.insert(node);
        let has_accepted = |voter: &str| accepted.nodes.contains(&node_index(voter));
        let is_chosen = accepted.state.voter_set.is_quorum(has_accepted);
        if is_chosen && !self.chosen.contains_key(ballot) {
            let state = accepted.state.clone();
            self.chosen.insert(ballot.clone(), state);
            self.check_chosen(ballot, disks, submissions)?;
        }
        Ok(())
    }

    /// Checks the state that was just chosen at a ballot.
    fn check_chosen(
        &self,
        ballot: &Ballot,
        disks: &[&Disk],
        submissions: &[SubmissionFacts],
    ) -> Result<(), Violation> {
        let state = &self.chosen[ballot];
        self.check_neighbours(ballot, state)?;
        self.check_decisions_are_in(state, submissions)?;
        self.check_executions(state, submissions)?;
        if !is_on_quorum(&state.voter_set, disks, |disk| {
            disk.has_configuration_of(state)
        }) {
            let revision = state.revision;
            let detail =
                format!("revision {revision} was chosen, and too few disks have its bytes");
            return violated(Invariant::ConfigurationIsStored, detail);
        }
        Ok(())
    }

    /// The state follows the one chosen before it, and the one chosen after it follows the state.
    fn check_neighbours(&self, ballot: &Ballot, state: &ClusterState) -> Result<(), Violation> {
        let mut chain = Vec::new();
        chain.extend(self.chosen.range(..ballot).next_back().map(|(_, it)| it));
        chain.push(state);
        chain.extend(self.chosen.range(ballot..).nth(1).map(|(_, it)| it));
        for pair in chain.windows(2) {
            let (earlier, later) = (&pair[0].voter_set, &pair[1].voter_set);
            if !is_one_step(earlier, later) {
                let detail = format!("{later:?} does not follow {earlier:?}");
                return violated(Invariant::SingleStepVoterChange, detail);
            }
        }
        for pair in chain.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            if !derives(earlier, later) {
                let detail = format!("{later:?} does not derive from {earlier:?}");
                return violated(Invariant::SingleHistory, detail);
            }
        }
        Ok(())
    }

    /// Every submission that was acknowledged up to the state's revision is in it.
    fn check_decisions_are_in(
        &self,
        state: &ClusterState,
        submissions: &[SubmissionFacts],
    ) -> Result<(), Violation> {
        for (submission, decision) in &self.decisions {
            if decision.revision <= state.revision && !submissions[*submission].is_in(state) {
                let detail = format!(
                    "submission {submission} was answered {decision:?} and is not in revision {}",
                    state.revision
                );
                return violated(Invariant::AcceptedIsDurable, detail);
            }
        }
        Ok(())
    }

    /// No submission is in the state twice, and there are no more revisions than submissions.
    fn check_executions(
        &self,
        state: &ClusterState,
        submissions: &[SubmissionFacts],
    ) -> Result<(), Violation> {
        if self.base_revision == 0 {
            return Ok(());
        }
        let executed = state.submissions.iter();
        let ids: BTreeSet<&str> = executed.map(|done| done.id.as_str()).collect();
        let revisions = state.revision.saturating_sub(self.base_revision) as usize;
        if ids.len() < state.submissions.len() || revisions > submissions.len() {
            let detail = format!(
                "{} submissions made {revisions} revisions: {:?}",
                submissions.len(),
                state.submissions
            );
            return violated(Invariant::ExactlyOnceExecution, detail);
        }
        Ok(())
    }

    /// An operator was notified what became of a submission.
    pub fn decided(
        &mut self,
        submission: usize,
        decision: Decision,
        submissions: &[SubmissionFacts],
        disks: &[&Disk],
    ) -> Result<(), Violation> {
        if decision.code != ResultCode::Success {
            return Ok(());
        }
        if let Some(before) = self.decisions.insert(submission, decision)
            && before != decision
        {
            let detail =
                format!("submission {submission} was answered {before:?}, then {decision:?}");
            return violated(Invariant::ExactlyOnceExecution, detail);
        }
        self.confirmed = self.confirmed.max(decision.revision);
        let facts = &submissions[submission];
        let mut others = self.decisions.keys();
        if let Some(other) = others.find(|other| submissions[**other].conflicts_with(facts)) {
            let version = facts.version;
            let detail = format!(
                "submissions {other} and {submission} have version {version:?} and different content"
            );
            return violated(Invariant::UniqueVersions, detail);
        }
        let has = |disk: &Disk| {
            disk.has_decided(facts) && disk.has_configuration_of(&disk.durable.accepted)
        };
        if !is_on_quorum(&self.newest_voters(), disks, has) {
            let detail = format!(
                "submission {submission} was answered {decision:?} while too few disks have it with its bytes"
            );
            return violated(Invariant::AcceptedIsDurable, detail);
        }
        Ok(())
    }

    /// A node takes a state for the one in force.
    pub fn adopted(&self, node: usize, state: &ClusterState) -> Result<(), Violation> {
        if state.revision > 0 && !self.chosen.values().any(|chosen| chosen == state) {
            let revision = state.revision;
            let detail =
                format!("node {node} has revision {revision} in force, which was never chosen");
            return violated(Invariant::SingleHistory, detail);
        }
        Ok(())
    }

    /// How many submissions were acknowledged as accepted.
    pub fn accepted_submissions(&self) -> usize {
        self.decisions.len()
    }

    /// True while an operator waits for a read at this node.
    pub fn is_read_pending(&self, node: usize) -> bool {
        self.reads.iter().any(|read| read.node == node)
    }

    /// An operator requests a read at a node.
    pub fn read_requested(&mut self, node: usize, requested_at: Duration) {
        self.reads.push(PendingRead {
            node,
            requested_at,
            min_revision: self.confirmed,
        });
    }

    /// A node ended: its answers are lost.
    pub fn node_ended(&mut self, node: usize) {
        self.reads.retain(|read| read.node != node);
    }

    /// Answers the reads that a node may answer now, with the revision in force there.
    pub fn answer_reads(
        &mut self,
        node: usize,
        revision: u64,
        is_confirmed_since: impl Fn(Duration) -> bool,
    ) -> Result<(), Violation> {
        let (answered, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|read| read.node == node && is_confirmed_since(read.requested_at));
        self.reads = pending;
        if let Some(read) = answered.iter().find(|read| revision < read.min_revision) {
            let confirmed = read.min_revision;
            let detail =
                format!("node {node} read revision {revision}, {confirmed} was confirmed before");
            return violated(Invariant::LinearizableReads, detail);
        }
        if !answered.is_empty() {
            self.confirmed = self.confirmed.max(revision);
        }
        Ok(())
    }

    /// In every state, what operators were notified of is on a majority of disks, but for those that were just lost.
    pub fn check_durable(
        &self,
        disks: &[&Disk],
        submissions: &[SubmissionFacts],
    ) -> Result<(), Violation> {
        let voter_set = self.newest_voters();
        for submission in self.decisions.keys() {
            let facts = &submissions[*submission];
            if !is_on_quorum(&voter_set, disks, |disk| disk.has_decided(facts)) {
                let detail =
                    format!("submission {submission} was accepted and is on too few disks");
                return violated(Invariant::AcceptedIsDurable, detail);
            }
        }
        for (node, disk) in disks.iter().enumerate() {
            if !disk.has_configuration_of(&disk.durable.accepted) {
                let detail = format!("the disk of node {node} accepted a state without its bytes");
                return violated(Invariant::ConfigurationIsStored, detail);
            }
        }
        Ok(())
    }
}
