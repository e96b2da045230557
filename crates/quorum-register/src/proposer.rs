//! The proposer's half of a round.

use crate::change::{Change, Decision, apply, apply_to_voters};
use crate::deltas::{WHOLE, told_state};
use crate::register::{Effect, Register, VoterPhase};
use protocol::{
    Accept, AcceptDelta, Accepted, Ballot, ClusterState, ConfigurationBytes, ConfigurationRequest,
    Payload, Prepare, Promise,
};
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many changes may wait here; more are denied with a time to come back.
const MAX_PENDING_CHANGES: usize = 64;
/// A proposer that lost a round waits for a random while, at least and at most so long; the most doubles with each loss
/// in a row, so that rivals come to different turns.
const MIN_BACK_OFF_MS: u64 = 20;
const BACK_OFF_MS: u64 = 180;
const MAX_DOUBLINGS: u32 = 1;
/// How long after its sending a question goes again to the voters that have not answered it: longer than an answer takes
/// between regions with its write, and well below the time of a phase.
const RESEND_EVERY: Duration = Duration::from_millis(300);
/// How many changes one round takes along.
const MAX_AT_ONCE: usize = 16;

/// A change that waits for its decision.
#[derive(Clone, Hash)]
pub(crate) struct PendingChange {
    request_id: Option<u64>,
    change: Change,
    since: Duration,
    /// True once some voter may have accepted it.
    tried: bool,
}

impl PendingChange {
    pub(crate) fn new(since: Duration, request_id: Option<u64>, change: Change) -> Self {
        PendingChange {
            request_id,
            change,
            since,
            tried: false,
        }
    }

    pub(crate) fn digest(&self) -> Option<String> {
        match &self.change {
            Change::Configuration { digest, .. } => Some(digest.clone()),
            _ => None,
        }
    }
}

/// Where this proposer's round stands.
#[derive(Clone, Hash)]
pub(crate) enum Round {
    Idle,
    /// Lost a race: waits a random while.
    BackingOff {
        until: Duration,
    },
    Preparing {
        ballot: Ballot,
        asked_at: Duration,
        resend_at: Duration,
        /// Who was asked so far.
        asked: BTreeSet<String>,
        promises: BTreeMap<String, Promise>,
    },
    Accepting {
        ballot: Ballot,
        asked_at: Duration,
        /// Started this phase.
        since: Duration,
        resend_at: Duration,
        state: ClusterState,
        /// The highest lease epoch among the promises.
        lease_epoch: u64,
        /// How many submissions were decided before this round.
        decided_before: u64,
        /// Who was asked to accept, with the disk whose promise was counted.
        disks: BTreeMap<String, u64>,
        decisions: Vec<(Option<u64>, Decision)>,
        accepted: BTreeSet<String>,
    },
}

impl Round {
    /// The state that waits for a majority's acceptance.
    pub(crate) fn proposed_state(&self) -> Option<&ClusterState> {
        match self {
            Round::Accepting { state, .. } => Some(state),
            _ => None,
        }
    }
}

impl Register {
    /// The one place where the round's state changes.
    fn turn(&mut self, round: Round) {
        self.round = round;
    }

    pub(crate) fn ask(
        &mut self,
        now: Duration,
        request_id: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    ) {
        let deny = match self.phase {
            VoterPhase::Active if self.pending.len() < MAX_PENDING_CHANGES => None,
            VoterPhase::Active => Some(ResultCode::TooManyPendingChanges),
            _ => Some(ResultCode::StaleView),
        };
        if let Some(code) = deny {
            let decision = Decision {
                code,
                revision: self.current.state.revision,
            };
            self.effects.push(Effect::Decided {
                request_id,
                decision,
            });
            return;
        }
        self.push_change(PendingChange::new(now, Some(request_id), change));
        if let Some(bytes) = bytes {
            self.store_configuration(protocol::digest(&bytes), bytes);
        }
        self.tick_round(now);
    }

    /// A change that nobody waits for; dropped where there is no room, or one like it waits already.
    pub(crate) fn propose(&mut self, now: Duration, change: Change) {
        let waits = self.pending.iter().any(|pending| pending.change == change);
        if self.phase == VoterPhase::Active && self.pending.len() < MAX_PENDING_CHANGES && !waits {
            self.push_change(PendingChange::new(now, None, change));
            self.tick_round(now);
        }
    }

    pub(crate) fn push_change(&mut self, change: PendingChange) {
        self.pending.push_back(change);
    }

    pub(crate) fn tick_round(&mut self, now: Duration) {
        let phase_timeout = self.times.phase_timeout;
        match &self.round {
            Round::Idle if !self.pending.is_empty() => self.start_round(now),
            Round::BackingOff { until } if now >= *until => self.turn(Round::Idle),
            Round::Preparing { asked_at, .. } if now >= *asked_at + phase_timeout => {
                self.back_off(now)
            }
            Round::Accepting { since, .. } if now >= *since + phase_timeout => self.back_off(now),
            Round::Preparing { resend_at, .. } if now >= *resend_at => self.resend_prepares(now),
            Round::Accepting { resend_at, .. } if now >= *resend_at => self.resend_accepts(now),
            _ => {}
        }
        self.give_up_on_old(now);
    }

    /// A lost question or answer costs this long instead of the whole phase; a voter answers a ballot alike each time.
    fn resend_prepares(&mut self, now: Duration) {
        let since = self.since();
        let Round::Preparing {
            ballot,
            resend_at,
            asked,
            promises,
            ..
        } = &mut self.round
        else {
            return;
        };
        *resend_at = now + RESEND_EVERY;
        let prepare = Payload::Prepare(Prepare {
            ballot: ballot.clone(),
            since,
        });
        let silent: Vec<String> = asked
            .iter()
            .filter(|voter| !promises.contains_key(*voter))
            .cloned()
            .collect();
        silent
            .iter()
            .for_each(|voter| self.send(voter, prepare.clone()));
    }

    fn resend_accepts(&mut self, now: Duration) {
        let Round::Accepting {
            resend_at,
            decided_before,
            disks,
            accepted,
            ..
        } = &mut self.round
        else {
            return;
        };
        *resend_at = now + RESEND_EVERY;
        let since = *decided_before;
        let silent = disks.iter().filter(|(voter, _)| !accepted.contains(*voter));
        let silent: Vec<(String, u64)> =
            silent.map(|(voter, disk)| (voter.clone(), *disk)).collect();
        silent.into_iter().for_each(|(voter, disk)| {
            // Whoever can't put the state together from that asks for the whole.
            let since = Some(since).filter(|_| self.replicas.takes_deltas(&voter));
            self.ask_to_accept(&voter, disk, since);
        });
    }

    fn give_up_on_old(&mut self, now: Duration) {
        let change_timeout = self.times.change_timeout;
        let revision = self.current.state.revision;
        let (old, rest): (Vec<PendingChange>, Vec<PendingChange>) = self
            .pending
            .drain(..)
            .partition(|change| now >= change.since + change_timeout);
        self.pending.extend(rest);
        if old.is_empty() {
            return;
        }
        // The round under way may carry one of them, and its decision must not be told twice.
        self.back_off(now);
        old.into_iter().for_each(|change| {
            let code = if change.tried {
                ResultCode::ChangeOutcomeUnknown
            } else {
                ResultCode::StaleView
            };
            let decision = Decision { code, revision };
            self.effects
                .extend(change.request_id.map(|request_id| Effect::Decided {
                    request_id,
                    decision,
                }));
        });
    }

    fn start_round(&mut self, now: Duration) {
        self.statistics.rounds_started += 1;
        self.seen_round += 1;
        let ballot = Ballot {
            round: self.seen_round,
            voter: self.me.clone(),
            incarnation: self.incarnation,
        };
        // A setup's bytes travel once, ahead of the round that needs them.
        let untried: Vec<String> = self
            .pending
            .iter()
            .take(MAX_AT_ONCE)
            .filter(|change| !change.tried)
            .filter_map(PendingChange::digest)
            .collect();
        untried.into_iter().for_each(|digest| {
            if let Some(compressed) = self.compressed(&digest) {
                self.send_all(Payload::ConfigurationBytes(ConfigurationBytes {
                    digest,
                    compressed,
                }));
            }
        });
        let asked = self.replica_nodes().into_iter().collect();
        let (resend_at, promises) = (now + RESEND_EVERY, BTreeMap::new());
        self.turn(Round::Preparing {
            ballot: ballot.clone(),
            asked_at: now,
            resend_at,
            asked,
            promises,
        });
        let since = self.since();
        self.send_all(Payload::Prepare(Prepare { ballot, since }));
    }

    fn back_off(&mut self, now: Duration) {
        self.statistics.rounds_lost += 1;
        let most_ms = BACK_OFF_MS << self.lost_in_a_row.min(MAX_DOUBLINGS);
        self.lost_in_a_row += 1;
        let wait_ms = MIN_BACK_OFF_MS + self.random.below(most_ms);
        self.turn(Round::BackingOff {
            until: now + Duration::from_millis(wait_ms),
        });
    }

    pub(crate) fn promise(&mut self, now: Duration, from: &str, promise: Promise) {
        self.seen_round = self.seen_round.max(promise.promised.round);
        if matches!(self.phase, VoterPhase::Recovering(_)) {
            return self.take_recovery_promise(now, from, promise);
        }
        self.replicas.told_since(from, promise.since);
        let given = promise.promised == promise.ballot;
        match &self.round {
            Round::Preparing { ballot, .. } if *ballot == promise.ballot && !given => {
                self.back_off(now)
            }
            Round::Preparing { ballot, .. } if *ballot == promise.ballot => {
                self.take_promise(now, from, promise)
            }
            // It came late: a quorum had promised already.
            Round::Accepting { ballot, .. } if *ballot == promise.ballot && given => {
                self.ask_to_accept(from, promise.disk, promise.since);
            }
            _ => {}
        }
    }

    fn take_promise(&mut self, now: Duration, from: &str, promise: Promise) {
        let Some(promise) = self.whole_promise(from, promise) else {
            return;
        };
        if let Round::Preparing { promises, .. } = &mut self.round {
            promises.insert(from.to_owned(), promise);
            self.start_accepting_if_promised(now);
        }
    }

    /// The newest state among the promises tells who votes. Those of them that were not asked yet are asked now; once a
    /// quorum of them promised, nothing newer can have been chosen.
    fn start_accepting_if_promised(&mut self, now: Duration) {
        let Round::Preparing {
            ballot,
            asked,
            promises,
            ..
        } = &mut self.round
        else {
            return;
        };
        let Some(newest) = newest_promise(promises) else {
            return;
        };
        let voter_set = &newest.accepted.voter_set;
        let promised = voter_set.is_quorum(|voter| promises.contains_key(voter));
        // A state known to be chosen is known to a quorum: until one of it answers, somebody is missing.
        if promised && newest.accepted_at >= self.current.ballot {
            return self.start_accepting(now);
        }
        let unasked: Vec<String> = voter_set
            .members()
            .filter(|voter| !asked.contains(*voter))
            .cloned()
            .collect();
        asked.extend(unasked.iter().cloned());
        let ballot = ballot.clone();
        let prepare = Payload::Prepare(Prepare {
            ballot,
            since: self.since(),
        });
        unasked
            .iter()
            .for_each(|voter| self.send(voter, prepare.clone()));
    }

    fn start_accepting(&mut self, now: Duration) {
        let round = std::mem::replace(&mut self.round, Round::Idle);
        let Round::Preparing {
            ballot,
            asked_at,
            promises,
            ..
        } = round
        else {
            return;
        };
        let newest = newest_promise(&promises).cloned().unwrap_or_default();
        let mut is_chosen =
            self.current.confirmed_at.is_some() && newest.accepted_at == self.current.ballot;
        let mut state = newest.accepted;
        let decided_before = state.decided;
        let lease_epoch = promises
            .values()
            .map(|promise| promise.lease_epoch)
            .max()
            .unwrap_or(0);
        let mut decisions = Vec::new();
        for pending in self.pending.iter_mut().take(MAX_AT_ONCE) {
            pending.tried = true;
            decisions.push((
                pending.request_id,
                apply_any(&mut state, &pending.change, &mut is_chosen),
            ));
        }
        self.turn(Round::Accepting {
            ballot,
            asked_at,
            since: now,
            resend_at: now + RESEND_EVERY,
            state,
            lease_epoch,
            decided_before,
            disks: BTreeMap::new(),
            decisions,
            accepted: BTreeSet::new(),
        });
        promises
            .into_iter()
            .for_each(|(voter, promise)| self.ask_to_accept(&voter, promise.disk, promise.since));
    }

    /// Asks who promised to accept the round's state, told as what it adds to the voter's own.
    fn ask_to_accept(&mut self, voter: &str, disk: u64, since: Option<u64>) {
        let Round::Accepting {
            ballot,
            state,
            lease_epoch,
            disks,
            ..
        } = &mut self.round
        else {
            return;
        };
        disks.insert(voter.to_owned(), disk);
        let (ballot, lease_epoch) = (ballot.clone(), *lease_epoch);
        let body = match told_state(state, since.filter(|_| voter != self.me)) {
            (_, Some(delta)) => Payload::AcceptDelta(AcceptDelta {
                ballot,
                delta,
                disk,
                lease_epoch,
            }),
            (whole, None) => Payload::Accept(Accept {
                ballot,
                state: whole.unwrap_or_default(),
                disk,
                lease_epoch,
            }),
        };
        self.send(voter, body);
    }

    pub(crate) fn accepted(&mut self, now: Duration, from: &str, answer: Accepted) {
        self.seen_round = self.seen_round.max(answer.promised.round);
        if answer.done {
            self.replicas.told_synced(from, answer.ballot.clone());
        }
        let Round::Accepting {
            ballot,
            state,
            accepted,
            disks,
            ..
        } = &mut self.round
        else {
            return;
        };
        if *ballot != answer.ballot {
            return;
        }
        if answer.wants_state {
            let disk = disks.get(from).copied();
            return disk
                .into_iter()
                .for_each(|disk| self.ask_to_accept(from, disk, WHOLE));
        }
        if answer.wants_bytes {
            let digest = state.digest.clone();
            return self.resend_setup(from, digest, answer.ballot);
        }
        if !answer.done {
            return self.back_off(now);
        }
        accepted.insert(from.to_owned());
        if state.voter_set.is_quorum(|voter| accepted.contains(voter)) {
            self.finish_round();
        }
    }

    /// A voter came back without the bytes: send them, and ask for its promise again.
    fn resend_setup(&mut self, voter: &str, digest: String, ballot: Ballot) {
        if let Some(compressed) = self.compressed(&digest) {
            self.send(
                voter,
                Payload::ConfigurationBytes(ConfigurationBytes { digest, compressed }),
            );
            let since = self.since();
            self.send(voter, Payload::Prepare(Prepare { ballot, since }));
        } else {
            // Taken over from an earlier round, with its bytes on other voters only.
            self.send_all(Payload::ConfigurationRequest(ConfigurationRequest {
                digest,
            }));
        }
    }

    fn finish_round(&mut self) {
        self.lost_in_a_row = 0;
        let round = std::mem::replace(&mut self.round, Round::Idle);
        let Round::Accepting {
            ballot,
            asked_at,
            state,
            decided_before,
            disks,
            decisions,
            ..
        } = round
        else {
            return;
        };
        self.pending.drain(..decisions.len());
        self.adopt(ballot.clone(), state.clone(), Some(asked_at));
        self.tell_chosen(ballot, state, decided_before, &disks);
        let told = decisions.into_iter().filter_map(|(request_id, decision)| {
            request_id.map(|request_id| (request_id, decision))
        });
        self.effects
            .extend(told.map(|(request_id, decision)| Effect::Decided {
                request_id,
                decision,
            }));
    }
}

/// The promise that tells of the newest state.
pub(crate) fn newest_promise(promises: &BTreeMap<String, Promise>) -> Option<&Promise> {
    promises
        .values()
        .max_by(|a, b| a.accepted_at.cmp(&b.accepted_at))
}

/// Applies a change of any kind. After a change of the voters the state is not one that is known to be chosen.
fn apply_any(state: &mut ClusterState, change: &Change, is_chosen: &mut bool) -> Decision {
    match change {
        Change::BeginVoters { .. } | Change::CompleteVoters { .. } => {
            let code = apply_to_voters(state, change, *is_chosen);
            *is_chosen &= code != ResultCode::Success;
            Decision {
                code,
                revision: state.revision,
            }
        }
        Change::Configuration { .. } | Change::Evacuate { .. } | Change::FinishRound => {
            apply(state, change)
        }
    }
}
