//! Majority reads: what confirms that the state in force is the newest.

use crate::change::Change;
use crate::deltas::WHOLE;
use crate::proposer::PendingChange;
use crate::register::{Register, VoterPhase};
use protocol::{Ballot, ClusterState, Payload, Read, ReadBack};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often the state is asked for until it is confirmed for the first time.
const FIRST_EVERY: Duration = Duration::from_millis(150);

/// How many reads may be under way at a time: over a slow link the answers to one come after the next was sent.
const MAX_READINGS: usize = 4;

/// A read under way.
#[derive(Clone, Hash)]
pub(crate) struct Reading {
    nonce: u64,
    asked_at: Duration,
    /// The ballot that the question named as known.
    known: (Ballot, ClusterState),
    /// What each node accepted last.
    backs: BTreeMap<String, Ballot>,
}

impl Register {
    pub(crate) fn tick_reading(&mut self, now: Duration) {
        if now < self.next_read {
            return;
        }
        self.finish_if_split(now);
        self.start_reading(now);
    }

    /// Joins a read that begins later than the asker: the one under way may have been answered before.
    pub(crate) fn confirm(&mut self, now: Duration) {
        if self.phase != VoterPhase::Active {
            return;
        }
        match self.readings.back() {
            Some(reading) if reading.asked_at < now => self.read_again = true,
            Some(_) => {}
            None => self.start_reading(now),
        }
    }

    fn start_reading(&mut self, now: Duration) {
        // Until the first confirmation nobody here can do anything: answers may have been lost for want of peers.
        let every = self.times.confirm_interval;
        self.next_read = now
            + if self.current.confirmed_at.is_some() {
                every
            } else {
                every.min(FIRST_EVERY)
            };
        self.read_again = false;
        let nonce = self.random.next_u64();
        let known = (self.current.ballot.clone(), self.current.state.clone());
        let since = if std::mem::take(&mut self.reads_whole) {
            WHOLE
        } else {
            self.since()
        };
        let body = Payload::Read(Read {
            nonce,
            known: known.0.clone(),
            since,
        });
        let excess = (self.readings.len() + 1).saturating_sub(MAX_READINGS);
        self.readings.drain(..excess);
        self.readings.push_back(Reading {
            nonce,
            asked_at: now,
            known,
            backs: BTreeMap::new(),
        });
        self.send_all(body);
    }

    /// The last read ended without a majority of one mind: some round was left half done.
    fn finish_if_split(&mut self, now: Duration) {
        let voter_set = self.voter_set().clone();
        let answered =
            |reading: &Reading| voter_set.is_quorum(|voter| reading.backs.contains_key(voter));
        let split = self.readings.back().filter(|reading| answered(reading));
        let mine_to_do = split.is_some_and(|reading| reading.backs.keys().next() == Some(&self.me));
        if mine_to_do
            || (self.pending.is_empty() && self.reading_is_old(now) && self.random.below(4) == 0)
        {
            self.push_change(PendingChange::new(now, None, Change::FinishRound));
        }
    }

    fn reading_is_old(&self, now: Duration) -> bool {
        self.age(now)
            .is_none_or(|age| age > self.times.confirm_interval * 2)
    }

    pub(crate) fn read_back(&mut self, now: Duration, from: &str, back: ReadBack) {
        if self.phase != VoterPhase::Active {
            return;
        }
        let Some(at) = self
            .readings
            .iter()
            .position(|reading| reading.nonce == back.nonce)
        else {
            return;
        };
        let ReadBack {
            accepted_at,
            accepted,
            delta,
            ..
        } = back;
        let told = accepted.or_else(|| self.whole_state(delta.as_ref()?));
        if told.is_none() && delta.is_some() {
            self.reads_whole = true;
            return;
        }
        let reading = &mut self.readings[at];
        let (ballot, state) = match accepted_at {
            Some(ballot) => (ballot, told),
            None => (reading.known.0.clone(), Some(reading.known.1.clone())),
        };
        let asked_at = reading.asked_at;
        reading.backs.insert(from.to_owned(), ballot.clone());
        let alike = |voter: &str| reading.backs.get(voter) == Some(&ballot);
        // The state itself names those whose quorum makes it chosen.
        let chosen =
            state.filter(|state| ballot >= self.current.ballot && state.voter_set.is_quorum(alike));
        self.replicas.told_synced(from, ballot.clone());
        match chosen {
            Some(state) => {
                self.readings.drain(..=at);
                self.adopt(ballot, state, Some(asked_at));
                if self.read_again {
                    self.start_reading(now);
                }
            }
            None => self.confirm_by_known(now),
        }
    }

    /// Confirms the state in force where a quorum of its voters answered that they accepted nothing newer. Had anything
    /// newer been chosen before the question, one of them would have accepted it. In a storm of changes, and while some
    /// disks lag, no quorum answers alike; but what is known to be chosen catches up with what each of them told.
    pub(crate) fn confirm_by_known(&mut self, now: Duration) {
        let current = &self.current;
        let confirms = |reading: &Reading| {
            let is_older = |voter: &str| {
                reading
                    .backs
                    .get(voter)
                    .is_some_and(|ballot| *ballot <= current.ballot)
            };
            current.state.voter_set.is_quorum(is_older)
        };
        let Some(at) = self.readings.iter().rposition(confirms) else {
            return;
        };
        let asked_at = self.readings[at].asked_at;
        self.readings.drain(..=at);
        self.current.confirmed_at = self.current.confirmed_at.max(Some(asked_at));
        if self.read_again {
            self.start_reading(now);
        }
    }
}
