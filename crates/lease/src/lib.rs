//! Lease: a duty that one node does at a time, under a majority's grant.
//!
//! The holder counts from the moment it asked and stops a margin before the end; a voter counts from the
//! moment it granted. So the holder always stops first, whatever the network or a freeze does. A restarted
//! voter grants nothing for one whole span, since it has forgotten whom it granted. Nor does a voter that has just taken
//! another's place: it knows of no lease that the voters before it granted.

mod bounded_step_clock;

pub use bounded_step_clock::{BoundedStepClock, MAX_STEP};

use protocol::{LeaseRelease, LeaseReply, LeaseRequest, Payload, VoterSet};
use random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many epochs a change of the voters takes: begun, and settled.
const EPOCHS_OF_A_CHANGE: u64 = 2;

/// The lease's time values.
#[derive(Clone, Copy, Debug, Hash)]
pub struct LeaseTiming {
    pub span: Duration,
    /// How long before the end the holder stops.
    pub margin: Duration,
    /// A voter that waits out what it granted counts no step for more than this.
    pub longest_step: Duration,
}

impl LeaseTiming {
    /// A span and its margin, with the longest step that is counted in full by default.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let times = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert_eq!(times.longest_step, lease::MAX_STEP);
    /// ```
    pub fn new(span: Duration, margin: Duration) -> LeaseTiming {
        LeaseTiming {
            span,
            margin,
            longest_step: MAX_STEP,
        }
    }

    /// How long a candidate waits for a majority. What is left of the span then must do for the first renewal.
    fn ask_patience(&self) -> Duration {
        self.span / 3
    }

    /// How long after its question a holder renews the lease.
    fn renew_after(&self) -> Duration {
        self.span / 3
    }

    /// How long a holder waits before it sends the question of a renewal again to those that did not answer.
    fn resend_every(&self) -> Duration {
        self.span / 6
    }
}

/// What happens to a lease.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: String,
        body: Payload,
    },
    /// The voters, and the highest epoch safe on this disk.
    VotersChanged {
        voter_set: VoterSet,
        epoch: u64,
    },
    /// The epoch asked for with this token is synced.
    LeaseEpochPersisted {
        request_id: u64,
    },
    /// This node is closing: let go.
    Close,
}

/// What a lease wants done.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    Send {
        to: String,
        body: Payload,
    },
    /// Sync this epoch, then tell `LeaseEpochPersisted`.
    PersistLeaseEpoch {
        epoch: u64,
        request_id: u64,
    },
}

#[derive(Clone, Hash)]
struct Granted {
    epoch: u64,
    holder: String,
    until: Duration,
    /// True once the holder came back to renew: until then it may be a candidate that fails.
    renewed: bool,
}

/// Where the candidate stands.
#[derive(Clone, Debug, PartialEq, Hash)]
enum CandidatePhase {
    Resting,
    Asking {
        epoch: u64,
        nonce: u64,
        asked_at: Duration,
        grants: BTreeSet<String>,
        firsts: BTreeSet<String>,
        denied: BTreeSet<String>,
    },
    Holding {
        epoch: u64,
        until: Duration,
    },
    /// One question, sent again to those who did not answer: grants count from its first sending.
    Renewing {
        epoch: u64,
        until: Duration,
        nonce: u64,
        asked_at: Duration,
        sent_at: Duration,
        grants: BTreeSet<String>,
    },
    Closed,
}

/// One voter's and candidate's state for one duty. Two that hash alike act alike from then on: the explorer tells
/// visited states by it.
#[derive(Clone, Hash)]
pub struct Lease {
    me: String,
    voter_set: VoterSet,
    times: LeaseTiming,
    random: Random,
    granted: Option<Granted>,
    /// Grants that wait for their epoch's sync.
    pending: BTreeMap<u64, (String, LeaseRequest, Duration)>,
    /// True while nobody that this voter granted a lease to can have held it.
    unheld: bool,
    /// The epoch granted while that was so.
    only_epoch: Option<u64>,
    /// The epoch under which this node was the first of all holders.
    founder: Option<u64>,
    /// The highest epoch heard of: a new lease asks for one more.
    seen_epoch: u64,
    /// The highest epoch granted by this voter: a new lease must have a higher one.
    granted_epoch: u64,
    phase: CandidatePhase,
    next_ask: Duration,
    /// The clock of this voter's grants.
    grant_clock: BoundedStepClock,
    /// This voter grants no new lease before this, by the clock of its grants: it may have forgotten, or slept over, whom it granted.
    quiet_until: Duration,
    last_step: Option<Duration>,
    effects: Vec<Effect>,
}

impl Lease {
    /// A node that holds nothing and has granted nothing it remembers.
    ///
    /// ```
    /// use std::time::Duration;
    /// let times = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert_eq!(lease::Lease::new("a".into(), times, 1).holds(Duration::ZERO), None);
    /// ```
    pub fn new(me: String, times: LeaseTiming, seed: u64) -> Self {
        Lease {
            me,
            voter_set: VoterSet::default(),
            times,
            random: Random::new(seed),
            granted: None,
            pending: BTreeMap::new(),
            unheld: true,
            only_epoch: None,
            founder: None,
            seen_epoch: 0,
            granted_epoch: 0,
            phase: CandidatePhase::Resting,
            next_ask: Duration::ZERO,
            grant_clock: BoundedStepClock::new(times.longest_step),
            quiet_until: times.span,
            last_step: None,
            effects: Vec::new(),
        }
    }

    /// The epoch under which this node holds the duty at this moment.
    ///
    /// ```
    /// use lease::{Lease, Effect, Event, LeaseTiming};
    /// use std::time::Duration;
    /// let times = LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// let mut alone = Lease::new("a".into(), times, 1);
    /// alone.step(Duration::ZERO, Event::VotersChanged { voter_set: protocol::VoterSet::new(vec!["a".into()]), epoch: 4 });
    /// let (mut now, mut effects) = (Duration::ZERO, vec![]);
    /// while effects.is_empty() {
    ///     now += Duration::from_millis(10);
    ///     effects = alone.step(now, Event::Tick);
    /// }
    /// assert!(now > times.span, "whom it granted before its start, it may have forgotten");
    /// let Effect::PersistLeaseEpoch { epoch: 5, request_id, .. } = effects[0] else { panic!("{effects:?}") };
    /// alone.step(now, Event::LeaseEpochPersisted { request_id });
    /// assert_eq!(alone.holds(now), Some(5));
    /// assert_eq!(alone.holds(now + Duration::from_millis(2500)), None);
    /// alone.step(now + Duration::from_millis(600), Event::Tick);
    /// assert_eq!(alone.holds(now + Duration::from_millis(600)), None, "it stood still, or its clock jumped");
    /// ```
    pub fn holds(&self, now: Duration) -> Option<u64> {
        match &self.phase {
            CandidatePhase::Holding { epoch, until }
            | CandidatePhase::Renewing { epoch, until, .. }
                if now < *until =>
            {
                Some(*epoch)
            }
            _ => None,
        }
    }

    /// True where nobody can have held the duty before this node got it under this epoch: each voter of a majority
    /// granted it to nobody else ever, but to candidates that gave up without a majority.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert!(!lease::Lease::new("a".into(), times, 1).is_first_holder(7));
    /// ```
    pub fn is_first_holder(&self, epoch: u64) -> bool {
        self.founder == Some(epoch)
    }

    /// The one reducer: takes an event in, gives effects out.
    ///
    /// ```
    /// use lease::{Lease, Event, LeaseTiming};
    /// use std::time::Duration;
    /// let times = LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// let mut lease = Lease::new("a".into(), times, 1);
    /// assert!(lease.step(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.mind_gap(now);
        match event {
            Event::Tick => self.tick(now),
            Event::VotersChanged { voter_set, epoch } => {
                self.learn_voters(now, voter_set);
                self.seen_epoch = self.seen_epoch.max(epoch);
                // The disk knows of grants of an earlier life.
                self.unheld = self.unheld && epoch <= self.granted_epoch;
                self.granted_epoch = self.granted_epoch.max(epoch);
            }
            Event::Received { from, body } => self.take(now, &from, body),
            Event::LeaseEpochPersisted { request_id } => {
                let ask = self.pending.remove(&request_id);
                ask.into_iter()
                    .for_each(|(from, ask, _)| self.grant(now, &from, &ask));
            }
            Event::Close => {
                self.drop_lease();
                self.turn(CandidatePhase::Closed);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Steps come many times within a margin. After a longer gap the process stood still, or its clock jumped, and
    /// nothing tells which: so a holder lets go, since what it gave out may seem to have run out and has not, and a
    /// voter is as careful as after a start.
    fn mind_gap(&mut self, now: Duration) {
        self.grant_clock.advance(now);
        let last = self.last_step.replace(now);
        if last.is_some_and(|last| now > last + self.times.margin) {
            self.quiet_until = self.grant_clock.now() + self.times.span;
            if !matches!(self.phase, CandidatePhase::Resting | CandidatePhase::Closed) {
                self.give_up(now, Duration::ZERO);
            }
        }
    }

    /// Newer voters: whoever is none of them holds nothing any more, and asks for nothing.
    fn learn_voters(&mut self, now: Duration, voter_set: VoterSet) {
        if voter_set == self.voter_set {
            return;
        }
        if !self.stays_voter(&voter_set) {
            self.quiet_until = self
                .quiet_until
                .max(self.grant_clock.now() + self.times.span);
        }
        self.voter_set = voter_set;
        // What was asked of the voters before must not be granted among those after.
        let epoch = self.voter_set.epoch;
        self.pending
            .retain(|_, (_, ask, _)| ask.voter_epoch >= epoch);
        let busy = !matches!(self.phase, CandidatePhase::Resting | CandidatePhase::Closed);
        if busy && !self.voter_set.contains(&self.me) {
            self.give_up(now, Duration::ZERO);
        } else if let CandidatePhase::Renewing { epoch, until, .. } = self.phase {
            // Grants of the voters before say nothing of those after: the next question is a new one.
            self.next_ask = now;
            self.turn(CandidatePhase::Holding { epoch, until });
        }
    }

    /// True where this node's vote counted, or it had none, in every settled set from the one known until now to a newer
    /// one. Otherwise it has newly taken a place: a majority of the voters before, without it, may have granted a lease
    /// that lasts. While a set is joint, a majority of those is asked too; once it has settled, nobody but the voters
    /// who stayed remembers.
    fn stays_voter(&self, newer: &VoterSet) -> bool {
        let votes = |voter_set: &VoterSet| voter_set.voters.contains(&self.me);
        let next_settled = newer.epoch <= self.voter_set.epoch + EPOCHS_OF_A_CHANGE;
        !votes(newer) || (votes(&self.voter_set) && next_settled)
    }

    /// True while the set known here does not count this node's vote by itself, and the candidate knows a newer one: it
    /// may be the one in which it does.
    fn is_behind(&self, ask: &LeaseRequest) -> bool {
        ask.voter_epoch > self.voter_set.epoch && !self.voter_set.voters.contains(&self.me)
    }

    /// How long to wait before asking when the duty is free: one after the other, so that votes are not split.
    fn turn_wait(&mut self) -> Duration {
        let count = self.voter_set.members().count().max(1) as u64;
        let at = self
            .voter_set
            .members()
            .position(|voter| *voter == self.me)
            .unwrap_or(0) as u64;
        let rank = (at + self.seen_epoch) % count;
        Duration::from_millis(20 + rank * 120 + self.random.below(40))
    }

    /// The one place where the candidate's state changes.
    fn turn(&mut self, phase: CandidatePhase) {
        self.phase = phase;
    }

    fn tick(&mut self, now: Duration) {
        if !self.voter_set.contains(&self.me) {
            return;
        }
        if self.next_ask.is_zero() {
            // All start alike: from the first time on they ask one after the other.
            self.next_ask = now.max(self.times.span) + self.turn_wait();
        }
        match &self.phase {
            CandidatePhase::Resting if now >= self.next_ask && now >= self.times.span => {
                self.ask(now)
            }
            CandidatePhase::Asking { asked_at, .. }
                if now >= *asked_at + self.times.ask_patience() =>
            {
                self.give_up(now, Duration::ZERO)
            }
            CandidatePhase::Holding { until, .. } | CandidatePhase::Renewing { until, .. }
                if now >= *until =>
            {
                self.give_up(now, Duration::ZERO)
            }
            CandidatePhase::Holding { .. } if now >= self.next_ask => self.renew(now),
            CandidatePhase::Renewing { sent_at, .. }
                if now >= *sent_at + self.times.resend_every() =>
            {
                self.resend(now)
            }
            _ => {}
        }
    }

    fn ask(&mut self, now: Duration) {
        let (epoch, nonce) = (self.seen_epoch + 1, self.random.next_u64());
        let ask = LeaseRequest {
            epoch,
            nonce,
            renewal: false,
            voter_epoch: self.voter_set.epoch,
        };
        if let Some(wait) = self.denial(&self.me, &ask) {
            // Who denies itself need not ask the others.
            self.next_ask = now + wait + self.turn_wait();
            return;
        }
        self.seen_epoch = epoch;
        let (grants, firsts, denied) = Default::default();
        self.turn(CandidatePhase::Asking {
            epoch,
            nonce,
            asked_at: now,
            grants,
            firsts,
            denied,
        });
        self.ask_all(now, ask, &BTreeSet::new());
    }

    fn renew(&mut self, now: Duration) {
        if let CandidatePhase::Holding { epoch, until } = self.phase {
            let nonce = self.random.next_u64();
            let (asked_at, sent_at, grants) = (now, now, BTreeSet::new());
            self.turn(CandidatePhase::Renewing {
                epoch,
                until,
                nonce,
                asked_at,
                sent_at,
                grants,
            });
            self.ask_all(now, self.renewal(epoch, nonce), &BTreeSet::new());
        }
    }

    /// The same question once more: what was granted to its first sending counts, however slowly it comes.
    fn resend(&mut self, now: Duration) {
        if let CandidatePhase::Renewing {
            epoch,
            nonce,
            sent_at,
            grants,
            ..
        } = &mut self.phase
        {
            *sent_at = now;
            let (epoch, nonce, granted) = (*epoch, *nonce, grants.clone());
            self.ask_all(now, self.renewal(epoch, nonce), &granted);
        }
    }

    fn renewal(&self, epoch: u64, nonce: u64) -> LeaseRequest {
        LeaseRequest {
            epoch,
            nonce,
            renewal: true,
            voter_epoch: self.voter_set.epoch,
        }
    }

    /// Asks the voters but for those that granted it already.
    fn ask_all(&mut self, now: Duration, ask: LeaseRequest, granted: &BTreeSet<String>) {
        let me = self.me.clone();
        let others = self
            .voter_set
            .members()
            .filter(|voter| **voter != me && !granted.contains(*voter));
        let sends = others.map(|voter| Effect::Send {
            to: voter.clone(),
            body: Payload::LeaseRequest(ask.clone()),
        });
        self.effects.extend(sends);
        if self.voter_set.contains(&me) && !granted.contains(&me) {
            self.asked(now, &me, ask);
        }
    }

    fn give_up(&mut self, now: Duration, wait: Duration) {
        self.drop_lease();
        self.next_ask = now + wait + self.turn_wait();
        self.turn(CandidatePhase::Resting);
    }

    fn drop_lease(&mut self) {
        let epoch = match &self.phase {
            CandidatePhase::Asking { epoch, .. }
            | CandidatePhase::Holding { epoch, .. }
            | CandidatePhase::Renewing { epoch, .. } => Some(*epoch),
            _ => None,
        };
        epoch.into_iter().for_each(|epoch| {
            let me = self.me.clone();
            let unheld = matches!(self.phase, CandidatePhase::Asking { .. });
            self.dropped(&me, epoch, unheld);
            let drop = Payload::LeaseRelease(LeaseRelease { epoch, unheld });
            let others = self.voter_set.members().filter(|voter| **voter != me);
            self.effects.extend(others.map(|voter| Effect::Send {
                to: voter.clone(),
                body: drop.clone(),
            }));
        });
    }

    fn take(&mut self, now: Duration, from: &str, body: Payload) {
        match body {
            Payload::LeaseRequest(ask) => self.asked(now, from, ask),
            Payload::LeaseReply(grant) => self.answered(now, from, grant),
            Payload::LeaseRelease(drop) => {
                let held = self
                    .granted
                    .as_ref()
                    .is_some_and(|granted| granted.renewed && granted.holder == from);
                self.dropped(from, drop.epoch, drop.unheld);
                if held && self.phase == CandidatePhase::Resting {
                    // The duty is free: no need to wait for the end of its span.
                    self.next_ask = now + self.turn_wait();
                }
            }
            _ => {}
        }
    }

    fn dropped(&mut self, from: &str, epoch: u64, unheld: bool) {
        let granted = self
            .granted
            .as_ref()
            .is_some_and(|granted| granted.holder == from && granted.epoch == epoch);
        let pending = self
            .pending
            .values()
            .any(|(holder, ask, _)| holder == from && ask.epoch == epoch);
        if unheld && (granted || pending) && self.only_epoch == Some(epoch) {
            (self.unheld, self.only_epoch) = (true, None);
        }
        self.granted
            .take_if(|granted| granted.holder == from && granted.epoch <= epoch);
        self.pending
            .retain(|_, (holder, ask, _)| holder != from || ask.epoch > epoch);
    }

    /// The voter's side.
    fn asked(&mut self, now: Duration, from: &str, ask: LeaseRequest) {
        // A disk that takes so long is out of the round.
        self.pending
            .retain(|_, (.., since)| now < *since + self.times.span / 3);
        if let Some(wait) = self.denial(from, &ask) {
            let LeaseRequest { epoch, nonce, .. } = ask;
            let (wait_ms, highest_epoch) = (wait.as_millis() as u64, self.seen_epoch);
            let deny = LeaseReply {
                epoch,
                nonce,
                granted: false,
                highest_epoch,
                wait_ms,
                first: false,
            };
            self.answer(now, from, deny);
        } else if ask.renewal {
            self.grant(now, from, &ask);
        } else {
            let request_id = self.random.next_u64();
            self.seen_epoch = self.seen_epoch.max(ask.epoch);
            self.only_epoch = Some(ask.epoch).filter(|_| self.unheld);
            self.unheld = false;
            self.granted_epoch = ask.epoch;
            self.effects.push(Effect::PersistLeaseEpoch {
                epoch: ask.epoch,
                request_id,
            });
            self.pending.insert(request_id, (from.to_owned(), ask, now));
        }
    }

    /// None where this voter may grant what is asked; else how long it is surely not free.
    fn denial(&self, from: &str, ask: &LeaseRequest) -> Option<Duration> {
        let waited = self.grant_clock.now();
        if waited < self.quiet_until {
            return Some(self.quiet_until - waited);
        }
        let busy = self
            .granted
            .as_ref()
            .filter(|granted| waited < granted.until && granted.holder != from);
        if let Some(granted) = busy {
            // A candidate that has not won may drop its votes any moment.
            return Some(if granted.renewed {
                granted.until - waited
            } else {
                Duration::ZERO
            });
        }
        // Its quorum may share no voter with that of a candidate that knows the newer voters.
        let outdated = ask.voter_epoch < self.voter_set.epoch;
        // Whoever holds the lease goes on holding it, also by a voter that has forgotten, or that granted a
        // higher epoch to a candidate that failed: no other can have won meanwhile.
        let free = ask.renewal || (ask.epoch > self.granted_epoch && self.pending.is_empty());
        if outdated || self.is_behind(ask) || !free {
            Some(Duration::ZERO)
        } else {
            None
        }
    }

    fn grant(&mut self, now: Duration, from: &str, ask: &LeaseRequest) {
        let until = self.grant_clock.now() + self.times.span;
        self.granted = Some(Granted {
            epoch: ask.epoch,
            holder: from.to_owned(),
            until,
            renewed: ask.renewal,
        });
        let LeaseRequest { epoch, nonce, .. } = *ask;
        let first = self.only_epoch == Some(epoch);
        self.answer(
            now,
            from,
            LeaseReply {
                epoch,
                nonce,
                granted: true,
                highest_epoch: epoch,
                wait_ms: 0,
                first,
            },
        );
    }

    fn answer(&mut self, now: Duration, to: &str, grant: LeaseReply) {
        if to == self.me {
            self.answered(now, to, grant);
        } else {
            self.effects.push(Effect::Send {
                to: to.to_owned(),
                body: Payload::LeaseReply(grant),
            });
        }
    }

    /// The candidate's side.
    fn answered(&mut self, now: Duration, from: &str, grant: LeaseReply) {
        self.seen_epoch = self.seen_epoch.max(grant.highest_epoch);
        let voter_set = self.voter_set.clone();
        let (nonce, asked_at, epoch, grants) = match &mut self.phase {
            CandidatePhase::Asking {
                nonce,
                asked_at,
                epoch,
                grants,
                ..
            }
            | CandidatePhase::Renewing {
                nonce,
                asked_at,
                epoch,
                grants,
                ..
            } => (*nonce, *asked_at, *epoch, grants),
            _ => return,
        };
        if nonce != grant.nonce {
            return;
        }
        if grant.granted && voter_set.contains(from) {
            grants.insert(from.to_owned());
            let enough = voter_set.is_quorum(|voter| grants.contains(voter));
            if let CandidatePhase::Asking { firsts, .. } = &mut self.phase {
                firsts.extend(Some(from.to_owned()).filter(|_| grant.first));
                // Any earlier holder had a quorum too, and some voter of it is in this one.
                let first_of_all = voter_set.is_quorum(|voter| firsts.contains(voter));
                self.founder = Some(epoch).filter(|_| first_of_all).or(self.founder);
            }
            if enough {
                self.next_ask = asked_at + self.times.renew_after();
                self.turn(CandidatePhase::Holding {
                    epoch,
                    until: asked_at + self.times.span - self.times.margin,
                });
            }
        } else if !grant.granted {
            self.denied(now, from, Duration::from_millis(grant.wait_ms));
        }
    }

    /// A denial ends a candidacy only where those who did not deny are no quorum any more.
    fn denied(&mut self, now: Duration, from: &str, wait: Duration) {
        if let CandidatePhase::Asking { denied, .. } = &mut self.phase {
            denied.insert(from.to_owned());
            let hopeless = !self.voter_set.is_quorum(|voter| !denied.contains(voter));
            if hopeless {
                self.give_up(now, wait.min(self.times.span));
            }
        }
    }
}
