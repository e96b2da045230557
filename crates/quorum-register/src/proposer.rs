//! The proposer's half of a round.

use crate::register::{Effect, Register, Standing};
use crate::wish::{Change, Verdict, apply};
use address::{Code, majority};
use parcel::{Accept, Accepted, Ballot, Body, Prepare, Promise, SetupBytes, Word};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many changes may wait here; more are denied with a time to come back.
const MOST_WISHES: usize = 64;
/// How many changes one round takes along.
const MOST_AT_ONCE: usize = 16;

/// A change that waits for its verdict.
pub(crate) struct Wish {
    token: Option<u64>,
    change: Change,
    since: Duration,
    /// True once some voter may have accepted it.
    tried: bool,
}

impl Wish {
    pub(crate) fn new(since: Duration, token: Option<u64>, change: Change) -> Self {
        Wish { token, change, since, tried: false }
    }

    pub(crate) fn digest(&self) -> Option<String> {
        match &self.change {
            Change::Setup { digest, .. } => Some(digest.clone()),
            _ => None,
        }
    }
}

/// Where this proposer's round stands.
pub(crate) enum Round {
    Idle,
    /// Lost a race: waits a random while.
    BackingOff {
        until: Duration,
    },
    Preparing {
        ballot: Ballot,
        asked_at: Duration,
        promises: BTreeMap<String, Promise>,
    },
    Accepting {
        ballot: Ballot,
        asked_at: Duration,
        /// Started this phase.
        since: Duration,
        word: Word,
        verdicts: Vec<(Option<u64>, Verdict)>,
        accepted: BTreeSet<String>,
    },
}

impl Register {
    /// The one place where the round's state changes.
    fn turn(&mut self, round: Round) {
        self.round = round;
    }

    pub(crate) fn wish(&mut self, now: Duration, token: u64, change: Change, bytes: Option<Vec<u8>>) {
        let deny = match self.standing {
            Standing::Voting if self.waitlist.len() < MOST_WISHES => None,
            Standing::Voting => Some(Code::SetupCrowded),
            _ => Some(Code::Stale),
        };
        if let Some(code) = deny {
            let verdict = Verdict { code, edition: self.current.word.edition };
            self.effects.push(Effect::Verdict { token, verdict });
            return;
        }
        self.push_wish(Wish::new(now, Some(token), change));
        if let Some(bytes) = bytes {
            self.keep_setup(parcel::digest(&bytes), bytes);
        }
        self.tick_round(now);
    }

    pub(crate) fn push_wish(&mut self, wish: Wish) {
        self.waitlist.push_back(wish);
    }

    pub(crate) fn tick_round(&mut self, now: Duration) {
        let phase = self.times.phase;
        match &self.round {
            Round::Idle if !self.waitlist.is_empty() => self.start_round(now),
            Round::BackingOff { until } if now >= *until => self.turn(Round::Idle),
            Round::Preparing { asked_at, .. } if now >= *asked_at + phase => self.back_off(now),
            Round::Accepting { since, .. } if now >= *since + phase => self.back_off(now),
            _ => {}
        }
        self.give_up_on_old(now);
    }

    fn give_up_on_old(&mut self, now: Duration) {
        let patience = self.times.patience;
        let edition = self.current.word.edition;
        let (old, rest): (Vec<Wish>, Vec<Wish>) =
            self.waitlist.drain(..).partition(|wish| now >= wish.since + patience);
        self.waitlist.extend(rest);
        if old.is_empty() {
            return;
        }
        // The round under way may carry one of them, and its verdict must not be told twice.
        self.back_off(now);
        old.into_iter().for_each(|wish| {
            let code = if wish.tried { Code::SetupUnknown } else { Code::Stale };
            let verdict = Verdict { code, edition };
            self.effects.extend(wish.token.map(|token| Effect::Verdict { token, verdict }));
        });
    }

    fn start_round(&mut self, now: Duration) {
        self.tally.rounds += 1;
        self.seen_round += 1;
        let ballot = Ballot { round: self.seen_round, voter: self.me.clone(), stamp: self.stamp };
        // A setup's bytes travel once, ahead of the round that needs them.
        let untried: Vec<String> =
            self.waitlist.iter().take(MOST_AT_ONCE).filter(|wish| !wish.tried).filter_map(Wish::digest).collect();
        untried.into_iter().for_each(|digest| {
            if let Some(squeezed) = self.squeezed(&digest) {
                self.send_all(Body::SetupBytes(SetupBytes { digest, squeezed }));
            }
        });
        self.turn(Round::Preparing { ballot: ballot.clone(), asked_at: now, promises: BTreeMap::new() });
        self.send_all(Body::Prepare(Prepare { ballot }));
    }

    fn back_off(&mut self, now: Duration) {
        self.tally.lost += 1;
        let wait_ms = 20 + self.dice.below(180);
        self.turn(Round::BackingOff { until: now + Duration::from_millis(wait_ms) });
    }

    pub(crate) fn promise(&mut self, now: Duration, from: &str, promise: Promise) {
        self.seen_round = self.seen_round.max(promise.promised.round);
        if matches!(self.standing, Standing::Mending { .. }) {
            return self.mend(now, from, promise);
        }
        let voters = majority(self.durable.roster.len());
        let given = promise.promised == promise.ballot;
        let late = match &mut self.round {
            Round::Preparing { ballot, promises, .. } if *ballot == promise.ballot => {
                if !given {
                    return self.back_off(now);
                }
                promises.insert(from.to_owned(), promise);
                if promises.len() >= voters {
                    self.start_accepting(now);
                }
                None
            }
            Round::Accepting { ballot, word, .. } if *ballot == promise.ballot && given => {
                Some(Accept { ballot: ballot.clone(), word: word.clone(), disk: promise.disk })
            }
            _ => None,
        };
        late.into_iter().for_each(|accept| self.send(from, Body::Accept(accept)));
    }

    fn start_accepting(&mut self, now: Duration) {
        let round = std::mem::replace(&mut self.round, Round::Idle);
        let Round::Preparing { ballot, asked_at, promises } = round else { return };
        let highest = promises.values().max_by(|a, b| a.accepted_at.cmp(&b.accepted_at));
        let mut word = highest.map(|promise| promise.accepted.clone()).unwrap_or_default();
        let verdicts = self
            .waitlist
            .iter_mut()
            .take(MOST_AT_ONCE)
            .map(|wish| {
                wish.tried = true;
                (wish.token, apply(&mut word, &wish.change))
            })
            .collect();
        let accepts: Vec<(String, Accept)> = promises
            .into_iter()
            .map(|(voter, promise)| (voter, Accept { ballot: ballot.clone(), word: word.clone(), disk: promise.disk }))
            .collect();
        self.turn(Round::Accepting { ballot, asked_at, since: now, word, verdicts, accepted: BTreeSet::new() });
        accepts.into_iter().for_each(|(voter, accept)| self.send(&voter, Body::Accept(accept)));
    }

    pub(crate) fn accepted(&mut self, now: Duration, from: &str, answer: Accepted) {
        self.seen_round = self.seen_round.max(answer.promised.round);
        let voters = majority(self.durable.roster.len());
        let Round::Accepting { ballot, word, accepted, .. } = &mut self.round else { return };
        if *ballot != answer.ballot {
            return;
        }
        if answer.wants_bytes {
            let digest = word.digest.clone();
            return self.resend_setup(from, digest, answer.ballot);
        }
        if !answer.done {
            return self.back_off(now);
        }
        accepted.insert(from.to_owned());
        if accepted.len() >= voters {
            self.finish_round();
        }
    }

    /// A voter came back without the bytes: send them, and ask for its promise again.
    fn resend_setup(&mut self, voter: &str, digest: String, ballot: Ballot) {
        if let Some(squeezed) = self.squeezed(&digest) {
            self.send(voter, Body::SetupBytes(SetupBytes { digest, squeezed }));
            self.send(voter, Body::Prepare(Prepare { ballot }));
        }
    }

    fn finish_round(&mut self) {
        let round = std::mem::replace(&mut self.round, Round::Idle);
        let Round::Accepting { ballot, asked_at, word, verdicts, .. } = round else { return };
        self.waitlist.drain(..verdicts.len());
        self.adopt(ballot.clone(), word.clone(), Some(asked_at));
        self.tell_chosen(ballot, word);
        let told = verdicts.into_iter().filter_map(|(token, verdict)| token.map(|token| (token, verdict)));
        self.effects.extend(told.map(|(token, verdict)| Effect::Verdict { token, verdict }));
    }
}
