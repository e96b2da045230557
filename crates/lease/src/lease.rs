//! The state of one node and its reducer.

use crate::candidate::Candidate;
use crate::event::{Effect, Event};
use crate::timing::LeaseTiming;
use crate::voter::Voter;
use crate::voters::VoterView;
use protocol::{Payload, VoterSet};
use random::Random;
use std::time::Duration;

/// One node's part in a majority lease: candidate and voter. Two that hash alike act alike from then on, by which the
/// model checker recognizes visited states.
#[derive(Clone, Debug, Hash)]
pub struct Lease {
    pub(crate) view: VoterView,
    pub(crate) timing: LeaseTiming,
    pub(crate) random: Random,
    /// The highest epoch heard of: a new candidacy uses the next one.
    pub(crate) highest_epoch: u64,
    pub(crate) voter: Voter,
    pub(crate) candidate: Candidate,
    last_step: Option<Duration>,
    pub(crate) effects: Vec<Effect>,
}

impl Lease {
    /// A node that holds no lease and knows of no grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// let timing = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert_eq!(lease::Lease::new("a".into(), timing, 1).held_epoch(Duration::ZERO), None);
    /// ```
    pub fn new(node: String, timing: LeaseTiming, seed: u64) -> Self {
        Lease {
            view: VoterView::new(node),
            timing,
            random: Random::new(seed),
            highest_epoch: 0,
            voter: Voter::new(&timing),
            candidate: Candidate::default(),
            last_step: None,
            effects: Vec::new(),
        }
    }

    /// The epoch of the lease that this node holds at this moment.
    ///
    /// ```
    /// use lease::{Lease, Effect, Event, LeaseTiming};
    /// use std::time::Duration;
    /// let timing = LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// let mut alone = Lease::new("a".into(), timing, 1);
    /// let voter_set = protocol::VoterSet::new(vec!["a".into()]);
    /// alone.step(Duration::ZERO, Event::VotersChanged { voter_set, persisted_epoch: 4 });
    /// let (mut now, mut effects) = (Duration::ZERO, vec![]);
    /// while effects.is_empty() {
    ///     now += Duration::from_millis(10);
    ///     effects = alone.step(now, Event::Tick);
    /// }
    /// assert!(now > timing.duration, "it may have forgotten what it granted before its start");
    /// let Effect::PersistLeaseEpoch { epoch: 5, request_id, .. } = effects[0] else { panic!("{effects:?}") };
    /// alone.step(now, Event::LeaseEpochPersisted { request_id });
    /// assert_eq!(alone.held_epoch(now), Some(5));
    /// assert_eq!(alone.held_epoch(now + Duration::from_millis(2500)), None);
    /// alone.step(now + Duration::from_millis(600), Event::Tick);
    /// let held_epoch = alone.held_epoch(now + Duration::from_millis(600));
    /// assert_eq!(held_epoch, None, "it was suspended, or its clock jumped");
    /// ```
    pub fn held_epoch(&self, now: Duration) -> Option<u64> {
        self.candidate.held_epoch(now)
    }

    /// True where nobody can have held the lease before this node got it under this epoch: each voter of a quorum never
    /// granted it to anybody else, except to candidates that gave up without a quorum.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let timing = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert!(!lease::Lease::new("a".into(), timing, 1).is_first_holder(7));
    /// ```
    pub fn is_first_holder(&self, epoch: u64) -> bool {
        self.candidate.first_holder_epoch == Some(epoch)
    }

    /// How long nobody can have held the lease before this node got it under this epoch: the end of every earlier lease is
    /// known to some voter that granted this one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let timing = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert!(lease::Lease::new("a".into(), timing, 1).idle_before(7).is_zero());
    /// ```
    pub fn idle_before(&self, epoch: u64) -> Duration {
        self.candidate.idle_before(epoch)
    }

    /// True where the holder under this epoch grants keys only to whom its record of key owners names: enough voters keep
    /// such records, and all that granted the lease know that this holder has one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let timing = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert!(!lease::Lease::new("a".into(), timing, 1).keeps_key_owners(7));
    /// ```
    pub fn keeps_key_owners(&self, epoch: u64) -> bool {
        self.candidate.keeps_key_owners(epoch)
    }

    /// The reducer: takes one event in, gives the effects to carry out.
    ///
    /// ```
    /// use lease::{Lease, Event, LeaseTiming};
    /// use std::time::Duration;
    /// let timing = LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// let mut lease = Lease::new("a".into(), timing, 1);
    /// assert!(lease.step(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.check_for_suspension(now);
        match event {
            Event::Tick => self.tick(now),
            Event::VotersChanged {
                voter_set,
                persisted_epoch,
            } => {
                self.update_voters(now, voter_set);
                self.highest_epoch = self.highest_epoch.max(persisted_epoch);
                self.voter.note_persisted_epoch(persisted_epoch);
            }
            Event::Received { from, body } => self.handle_message(now, &from, body),
            Event::LeaseEpochPersisted { request_id } => {
                if let Some(pending) = self.voter.take_pending(request_id) {
                    self.grant(now, &pending.candidate, &pending.request);
                }
            }
            Event::Shutdown => self.shut_down(),
        }
        std::mem::take(&mut self.effects)
    }

    /// Steps come many times within a safety margin. After a longer gap the process was suspended, or its clock jumped,
    /// and nothing tells which. So a holder gives up the lease, since what it granted itself may seem to have expired
    /// and has not, and a voter is as careful as after a start.
    fn check_for_suspension(&mut self, now: Duration) {
        self.voter.advance_clock(now);
        let last_step = self.last_step.replace(now);
        let was_suspended = last_step.is_some_and(|last| now > last + self.timing.safety_margin);
        if !was_suspended {
            return;
        }
        self.voter.reject_for(self.timing.duration);
        if self.candidate.is_active() {
            self.give_up(now, Duration::ZERO);
        }
    }

    /// Takes note of a newer voter set. A node that is none of its members gives up the lease, or its candidacy.
    fn update_voters(&mut self, now: Duration, voter_set: VoterSet) {
        if voter_set == self.view.voter_set {
            return;
        }
        if !self.view.remains_voter_in(&voter_set) {
            self.voter.reject_for(self.timing.duration);
        }
        // What was requested from the earlier voters must not be granted among the later ones.
        self.voter.drop_pending_before(voter_set.epoch);
        self.view.voter_set = voter_set;
        self.voter.note_voter_set_changed();
        if self.candidate.is_active() && !self.view.is_voter() {
            self.give_up(now, Duration::ZERO);
        } else {
            // Grants of the earlier voters don't count among the later ones: the next renewal is a new one.
            self.candidate.restart_renewal(now);
        }
    }

    fn handle_message(&mut self, now: Duration, from: &str, body: Payload) {
        match body {
            Payload::LeaseRequest(request) => self.handle_request(now, from, request),
            Payload::LeaseReply(reply) => self.handle_reply(now, from, reply),
            Payload::LeaseRelease(release) => self.handle_release(now, from, &release),
            _ => {}
        }
    }
}
