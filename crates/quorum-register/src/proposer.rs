//! The proposer's state, the changes that wait for a decision, and the prepare phase of a round.

use crate::change::{Change, Decision};
use crate::event::Effect;
use crate::register::{Register, VoterPhase};
use protocol::{Ballot, ClusterState, ConfigurationBytes, Payload, Prepare, Promise};
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How many changes may wait here; more are rejected.
const MAX_PENDING_CHANGES: usize = 64;
/// How many changes one round takes along.
pub(crate) const MAX_CHANGES_PER_ROUND: usize = 16;
/// A proposer that lost a round backs off for a random time, at least so long.
const MIN_BACKOFF_MS: u64 = 20;
/// The backoff's random part is below this, and doubles with each loss in a row, so that rivals take turns.
const BACKOFF_JITTER_MS: u64 = 180;
/// How often the random part of the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// How long after its sending a request is retried at the voters that haven't answered it: longer than an answer takes
/// between regions with its write, and well below the time of a phase.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// A change that waits for its decision.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingChange {
    /// None where nobody waits for the decision.
    pub(crate) request_id: Option<u64>,
    pub(crate) change: Change,
    submitted_at: Duration,
    /// True once some voter may have accepted it.
    pub(crate) proposed: bool,
}

impl PendingChange {
    pub(crate) fn new(submitted_at: Duration, request_id: Option<u64>, change: Change) -> Self {
        PendingChange {
            request_id,
            change,
            submitted_at,
            proposed: false,
        }
    }

    /// Digest of the configuration that it brings.
    fn digest(&self) -> Option<&String> {
        match &self.change {
            Change::Configuration { digest, .. } => Some(digest),
            _ => None,
        }
    }

    /// What becomes of it where it has waited too long.
    fn timeout_code(&self) -> ResultCode {
        if self.proposed {
            ResultCode::ChangeOutcomeUnknown
        } else {
            ResultCode::StaleView
        }
    }
}

/// The decision on a change, told once the round's state is chosen.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ProposedDecision {
    pub(crate) request_id: Option<u64>,
    pub(crate) decision: Decision,
}

/// The first phase of a round: promises are gathered.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PreparePhase {
    pub(crate) ballot: Ballot,
    pub(crate) started_at: Duration,
    retry_at: Duration,
    /// The nodes that a prepare was sent to.
    sent_to: BTreeSet<String>,
    pub(crate) promises: BTreeMap<String, Promise>,
}

/// The second phase of a round: acceptances are gathered.
#[derive(Clone, Debug, Hash)]
pub(crate) struct AcceptPhase {
    pub(crate) ballot: Ballot,
    /// When the round began.
    pub(crate) round_started_at: Duration,
    pub(crate) started_at: Duration,
    pub(crate) retry_at: Duration,
    /// The proposed state.
    pub(crate) state: ClusterState,
    /// The highest lease epoch among the promises.
    pub(crate) lease_epoch: u64,
    /// How many submissions were decided before this round.
    pub(crate) decided_before: u64,
    /// The nodes that an accept was sent to, with the disk whose promise was counted.
    pub(crate) disks: BTreeMap<String, u64>,
    pub(crate) decisions: Vec<ProposedDecision>,
    pub(crate) accepted_by: BTreeSet<String>,
}

/// Where this proposer's round stands.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) enum Round {
    #[default]
    Idle,
    /// Lost to another proposer or to time: waits before the next round.
    BackingOff {
        until: Duration,
    },
    Preparing(PreparePhase),
    Accepting(AcceptPhase),
}

/// The state of one proposer.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Proposer {
    pub(crate) round: Round,
    /// The highest round number seen in any ballot.
    highest_round: u64,
    pub(crate) pending: VecDeque<PendingChange>,
    /// Rounds lost since the last that was won.
    pub(crate) consecutive_losses: u32,
}

impl Proposer {
    /// A proposer that goes on above this round number.
    pub(crate) fn new(highest_round: u64) -> Proposer {
        Proposer {
            highest_round,
            ..Proposer::default()
        }
    }

    /// Takes note of a ballot's round number: the next ballot from here is higher.
    pub(crate) fn observe_round(&mut self, ballot: &Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// The round number of the next ballot from here.
    pub(crate) fn next_round(&mut self) -> u64 {
        self.highest_round += 1;
        self.highest_round
    }

    /// The state that waits for a quorum's acceptance.
    pub(crate) fn proposed_state(&self) -> Option<&ClusterState> {
        match &self.round {
            Round::Accepting(phase) => Some(&phase.state),
            Round::Idle | Round::BackingOff { .. } | Round::Preparing(_) => None,
        }
    }

    pub(crate) fn push(&mut self, change: PendingChange) {
        self.pending.push_back(change);
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_CHANGES
    }

    fn is_pending(&self, change: &Change) -> bool {
        self.pending.iter().any(|pending| pending.change == *change)
    }

    /// Digests of the configurations that pending changes bring.
    pub(crate) fn pending_digests(&self) -> impl Iterator<Item = String> {
        self.pending
            .iter()
            .filter_map(|pending| pending.digest().cloned())
    }

    /// Digests of the configurations that the next round proposes for the first time.
    fn unproposed_digests(&self) -> Vec<String> {
        self.pending
            .iter()
            .take(MAX_CHANGES_PER_ROUND)
            .filter(|pending| !pending.proposed)
            .filter_map(|pending| pending.digest().cloned())
            .collect()
    }

    /// Removes the changes that have waited for too long.
    fn take_timed_out(&mut self, now: Duration, timeout: Duration) -> Vec<PendingChange> {
        let (timed_out, rest): (Vec<PendingChange>, Vec<PendingChange>) = self
            .pending
            .drain(..)
            .partition(|pending| now >= pending.submitted_at + timeout);
        self.pending.extend(rest);
        timed_out
    }
}

/// The promise of the newest state.
pub(crate) fn newest_promise(promises: &BTreeMap<String, Promise>) -> Option<&Promise> {
    promises
        .values()
        .max_by(|a, b| a.accepted_at.cmp(&b.accepted_at))
}

/// The highest lease epoch among the promises.
pub(crate) fn highest_lease_epoch(promises: &BTreeMap<String, Promise>) -> u64 {
    promises
        .values()
        .map(|promise| promise.lease_epoch)
        .max()
        .unwrap_or(0)
}

impl Register {
    /// The next ballot from here.
    pub(crate) fn next_ballot(&mut self) -> Ballot {
        Ballot {
            round: self.proposer.next_round(),
            voter: self.node.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Takes in an operator's change, or rejects it.
    pub(crate) fn submit(
        &mut self,
        now: Duration,
        request_id: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    ) {
        let rejection = match self.phase {
            VoterPhase::Active if self.proposer.has_capacity() => None,
            VoterPhase::Active => Some(ResultCode::TooManyPendingChanges),
            _ => Some(ResultCode::StaleView),
        };
        if let Some(code) = rejection {
            self.report_decision(Some(request_id), self.decision_without_effect(code));
            return;
        }
        self.proposer
            .push(PendingChange::new(now, Some(request_id), change));
        if let Some(bytes) = bytes {
            self.store_configuration(protocol::digest(&bytes), bytes);
        }
        self.tick_round(now);
    }

    /// Takes in a change that nobody waits for. It is dropped where there is no capacity, or the same is pending.
    pub(crate) fn propose(&mut self, now: Duration, change: Change) {
        let is_accepted = self.phase == VoterPhase::Active
            && self.proposer.has_capacity()
            && !self.proposer.is_pending(&change);
        if is_accepted {
            self.proposer.push(PendingChange::new(now, None, change));
            self.tick_round(now);
        }
    }

    fn decision_without_effect(&self, code: ResultCode) -> Decision {
        Decision {
            code,
            revision: self.chosen.state.revision,
        }
    }

    pub(crate) fn report_decision(&mut self, request_id: Option<u64>, decision: Decision) {
        if let Some(request_id) = request_id {
            self.effects.push(Effect::Decided {
                request_id,
                decision,
            });
        }
    }

    pub(crate) fn tick_round(&mut self, now: Duration) {
        let timeout = self.timing.phase_timeout;
        match &self.proposer.round {
            Round::Idle if self.proposer.has_pending() => self.start_round(now),
            Round::BackingOff { until } if now >= *until => self.proposer.round = Round::Idle,
            Round::Preparing(phase) if now >= phase.started_at + timeout => self.back_off(now),
            Round::Accepting(phase) if now >= phase.started_at + timeout => self.back_off(now),
            Round::Preparing(phase) if now >= phase.retry_at => self.retry_prepares(now),
            Round::Accepting(phase) if now >= phase.retry_at => self.retry_accepts(now),
            _ => {}
        }
        self.time_out_changes(now);
    }

    fn time_out_changes(&mut self, now: Duration) {
        let timed_out = self
            .proposer
            .take_timed_out(now, self.timing.change_timeout);
        if timed_out.is_empty() {
            return;
        }
        // The round under way may carry one of them, and its decision must not be reported twice.
        self.back_off(now);
        for pending in timed_out {
            let decision = self.decision_without_effect(pending.timeout_code());
            self.report_decision(pending.request_id, decision);
        }
    }

    fn start_round(&mut self, now: Duration) {
        self.statistics.rounds_started += 1;
        let ballot = self.next_ballot();
        // A configuration's bytes are sent once, ahead of the round that needs them.
        for digest in self.proposer.unproposed_digests() {
            if let Some(compressed) = self.configurations.compressed(&digest) {
                let configuration = ConfigurationBytes { digest, compressed };
                self.broadcast(Payload::ConfigurationBytes(configuration));
            }
        }
        self.proposer.round = Round::Preparing(PreparePhase {
            ballot: ballot.clone(),
            started_at: now,
            retry_at: now + RETRY_INTERVAL,
            sent_to: self.replica_nodes().into_iter().collect(),
            promises: BTreeMap::new(),
        });
        let since = self.known_decision_count();
        self.broadcast(Payload::Prepare(Prepare { ballot, since }));
    }

    /// Gives up the round; the next one begins after a random time.
    pub(crate) fn back_off(&mut self, now: Duration) {
        self.statistics.rounds_lost += 1;
        let doublings = self.proposer.consecutive_losses.min(MAX_BACKOFF_DOUBLINGS);
        self.proposer.consecutive_losses += 1;
        let jitter_ms = self.random.below(BACKOFF_JITTER_MS << doublings);
        let until = now + Duration::from_millis(MIN_BACKOFF_MS + jitter_ms);
        self.proposer.round = Round::BackingOff { until };
    }

    /// Sends the prepare again to the voters that haven't promised. A lost message costs this long instead of the whole
    /// phase; a voter answers the same ballot alike each time.
    fn retry_prepares(&mut self, now: Duration) {
        let since = self.known_decision_count();
        let Round::Preparing(phase) = &mut self.proposer.round else {
            return;
        };
        phase.retry_at = now + RETRY_INTERVAL;
        let prepare = Prepare {
            ballot: phase.ballot.clone(),
            since,
        };
        let unanswered: Vec<String> = phase
            .sent_to
            .iter()
            .filter(|voter| !phase.promises.contains_key(*voter))
            .cloned()
            .collect();
        self.send_to_each(&unanswered, &Payload::Prepare(prepare));
    }

    pub(crate) fn handle_promise(&mut self, now: Duration, from: &str, promise: Promise) {
        self.proposer.observe_round(&promise.promised);
        if matches!(self.phase, VoterPhase::Recovering(_)) {
            self.handle_recovery_promise(now, from, promise);
            return;
        }
        self.replicas.record_since(from, promise.since);
        let promises = promise.promised == promise.ballot;
        match &self.proposer.round {
            Round::Preparing(phase) if phase.ballot == promise.ballot && !promises => {
                self.back_off(now);
            }
            Round::Preparing(phase) if phase.ballot == promise.ballot => {
                self.count_promise(now, from, promise);
            }
            // It came late: a quorum had promised already.
            Round::Accepting(phase) if phase.ballot == promise.ballot && promises => {
                self.send_accept(from, promise.disk, promise.since);
            }
            _ => {}
        }
    }

    fn count_promise(&mut self, now: Duration, from: &str, promise: Promise) {
        let Some(promise) = self.with_full_state(from, promise) else {
            return;
        };
        if let Round::Preparing(phase) = &mut self.proposer.round {
            phase.promises.insert(from.to_owned(), promise);
            self.start_accepting_if_promised(now);
        }
    }

    /// The newest state among the promises names the voters. Those of them that no prepare was sent to get one now. Once a
    /// quorum of them promised, nothing newer can have been chosen.
    fn start_accepting_if_promised(&mut self, now: Duration) {
        let since = self.known_decision_count();
        let Round::Preparing(phase) = &mut self.proposer.round else {
            return;
        };
        let Some(newest) = newest_promise(&phase.promises) else {
            return;
        };
        let voter_set = &newest.accepted.voter_set;
        let has_quorum = voter_set.is_quorum(|voter| phase.promises.contains_key(voter));
        // A state known to be chosen is on the disks of a quorum: until one of it answers, somebody is missing.
        if has_quorum && newest.accepted_at >= self.chosen.ballot {
            self.start_accepting(now);
            return;
        }
        let unsent: Vec<String> = voter_set
            .members()
            .filter(|voter| !phase.sent_to.contains(*voter))
            .cloned()
            .collect();
        phase.sent_to.extend(unsent.iter().cloned());
        let prepare = Prepare {
            ballot: phase.ballot.clone(),
            since,
        };
        self.send_to_each(&unsent, &Payload::Prepare(prepare));
    }
}
