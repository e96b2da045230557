//! The prepare phase of a round: promises are gathered until a quorum gave them.

use crate::register::{Register, VoterPhase};
use crate::round::{PreparePhase, RETRY_INTERVAL, Round, newest_promise};
use protocol::{Ballot, ConfigurationBytes, Payload, Prepare, Promise};
use std::collections::BTreeMap;
use std::time::Duration;

/// A proposer that lost a round backs off for a random time, at least so long.
const MIN_BACKOFF_MS: u64 = 20;
/// The backoff's random part is below this, and doubles with each loss in a row, so that rivals take turns.
const BACKOFF_JITTER_MS: u64 = 180;
/// How often the random part of the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;

impl Register {
    /// The next ballot from here.
    pub(crate) fn next_ballot(&mut self) -> Ballot {
        Ballot {
            round: self.proposer.next_round(),
            voter: self.node.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Begins a round under a new ballot.
    pub(crate) fn start_round(&mut self, now: Duration) {
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
    pub(crate) fn retry_prepares(&mut self, now: Duration) {
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
