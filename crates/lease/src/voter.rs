//! The voter's side: grants the lease to one candidate at a time, or rejects the request.

use crate::bounded_step_clock::BoundedStepClock;
use crate::event::Effect;
use crate::lease::Lease;
use crate::timing::LeaseTiming;
use crate::voters::VoterView;
use protocol::{LeaseRelease, LeaseReply, LeaseRequest, Payload};
use std::collections::BTreeMap;
use std::time::Duration;

/// The last grant of this voter.
#[derive(Clone, Debug, Hash)]
struct Grant {
    epoch: u64,
    candidate: String,
    /// When it expires, by the voter's own clock.
    expires_at: Duration,
    /// True once the candidate renewed the lease. Before, it may be one that gets no quorum.
    renewed: bool,
}

impl Grant {
    fn is_for(&self, candidate: &str) -> bool {
        self.candidate == candidate
    }
}

/// A request that is granted once its epoch is on the disk.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PendingGrant {
    pub(crate) candidate: String,
    pub(crate) request: LeaseRequest,
    received_at: Duration,
}

/// What one voter knows of its own grants.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Voter {
    grant: Option<Grant>,
    /// Grants that wait for their epoch's write, by request id.
    pending: BTreeMap<u64, PendingGrant>,
    /// True while no candidate that this voter granted the lease to can have held it.
    never_held: bool,
    /// The epoch that was granted while `never_held` was still true.
    first_granted_epoch: Option<u64>,
    /// The highest epoch granted: a new lease must have a higher one.
    highest_granted_epoch: u64,
    /// Counts the time by which grants expire.
    clock: BoundedStepClock,
    /// Rejects every request until then, by `clock`: the voter may have forgotten what it granted.
    rejects_until: Duration,
    /// Until then, by `clock`, anybody may hold a lease that this voter granted.
    used_until: Duration,
    /// What `used_until` was before the last grant, while that one is not known to have given anybody the lease.
    used_until_before: Option<Duration>,
    /// Since when, by `clock`, this voter has known the voter set.
    voter_set_since: Duration,
}

impl Voter {
    /// A voter that has just started, and rejects requests for one lease duration.
    pub(crate) fn new(timing: &LeaseTiming) -> Voter {
        Voter {
            grant: None,
            pending: BTreeMap::new(),
            never_held: true,
            first_granted_epoch: None,
            highest_granted_epoch: 0,
            clock: BoundedStepClock::new(timing.max_step),
            rejects_until: timing.duration,
            used_until: timing.duration,
            used_until_before: None,
            voter_set_since: Duration::ZERO,
        }
    }

    pub(crate) fn advance_clock(&mut self, now: Duration) {
        self.clock.advance(now);
    }

    /// Rejects every request for a while, counted from now.
    pub(crate) fn reject_for(&mut self, duration: Duration) {
        let until = self.clock.now() + duration;
        self.rejects_until = self.rejects_until.max(until);
        // Whoever it may have granted a lease and forgotten holds it for no longer.
        self.used_until = self.used_until.max(until);
        self.used_until_before = None;
    }

    /// The voter set is another one from now on.
    pub(crate) fn note_voter_set_changed(&mut self) {
        self.voter_set_since = self.clock.now();
    }

    /// How long this voter has known the voter set, beyond the time for which leases of an earlier set may last.
    fn settled_for(&self, duration: Duration) -> Option<Duration> {
        self.clock
            .now()
            .checked_sub(self.voter_set_since + duration)
    }

    /// How long nobody has held a lease that this voter, or one of an earlier set, granted.
    fn idle(&self, duration: Duration) -> Duration {
        let idle = self.clock.now().saturating_sub(self.used_until);
        idle.min(self.settled_for(duration).unwrap_or_default())
    }

    /// Takes note of the highest epoch on the disk, which also tells of grants before the last start.
    pub(crate) fn note_persisted_epoch(&mut self, epoch: u64) {
        self.never_held = self.never_held && epoch <= self.highest_granted_epoch;
        self.highest_granted_epoch = self.highest_granted_epoch.max(epoch);
    }

    pub(crate) fn take_pending(&mut self, request_id: u64) -> Option<PendingGrant> {
        self.pending.remove(&request_id)
    }

    /// Drops the requests of candidates that knew only voter sets before this epoch.
    pub(crate) fn drop_pending_before(&mut self, voter_epoch: u64) {
        self.pending
            .retain(|_, pending| pending.request.voter_epoch >= voter_epoch);
    }

    /// Drops requests whose write takes too long: their candidates have given up.
    fn drop_slow_pending(&mut self, now: Duration, persist_timeout: Duration) {
        self.pending
            .retain(|_, pending| now < pending.received_at + persist_timeout);
    }

    /// None where the request may be granted; otherwise how long the lease is surely not free.
    pub(crate) fn rejection(
        &self,
        view: &VoterView,
        candidate: &str,
        request: &LeaseRequest,
    ) -> Option<Duration> {
        let now = self.clock.now();
        if now < self.rejects_until {
            return Some(self.rejects_until - now);
        }
        if let Some(grant) = &self.grant
            && now < grant.expires_at
            && !grant.is_for(candidate)
        {
            // A candidate without a quorum may release its grants any moment.
            return Some(if grant.renewed {
                grant.expires_at - now
            } else {
                Duration::ZERO
            });
        }
        // The candidate's quorum may share no voter with that of one that knows the newer voters.
        let is_outdated = request.voter_epoch < view.voter_set.epoch;
        // The holder keeps the lease also at a voter that has forgotten it, or that granted a higher epoch to a candidate
        // without success: no other candidate can have got the lease meanwhile.
        let is_free = request.renewal
            || (request.epoch > self.highest_granted_epoch && self.pending.is_empty());
        if is_outdated || view.is_behind(request) || !is_free {
            return Some(Duration::ZERO);
        }
        None
    }

    /// Reserves the lease for a candidate until its epoch is on the disk.
    fn reserve(&mut self, now: Duration, candidate: &str, request: LeaseRequest, request_id: u64) {
        self.first_granted_epoch = self.never_held.then_some(request.epoch);
        self.never_held = false;
        self.highest_granted_epoch = request.epoch;
        let pending = PendingGrant {
            candidate: candidate.to_owned(),
            request,
            received_at: now,
        };
        self.pending.insert(request_id, pending);
    }

    /// Records a grant and returns the reply that tells of it.
    fn record_grant(
        &mut self,
        candidate: &str,
        request: &LeaseRequest,
        duration: Duration,
    ) -> LeaseReply {
        let idle = self.idle(duration);
        let expires_at = self.clock.now() + duration;
        self.grant = Some(Grant {
            epoch: request.epoch,
            candidate: candidate.to_owned(),
            expires_at,
            renewed: request.renewal,
        });
        self.used_until_before = (!request.renewal).then_some(self.used_until);
        self.used_until = self.used_until.max(expires_at);
        LeaseReply {
            epoch: request.epoch,
            nonce: request.nonce,
            granted: true,
            highest_epoch: request.epoch,
            wait_ms: 0,
            first: self.first_granted_epoch == Some(request.epoch),
            may_break_tie: self.settled_for(duration).is_some(),
            idle_ms: idle.as_millis() as u64,
            keeps_key_owners: true,
        }
    }

    /// True where the last grant went to this node, which renewed it, and so held the lease.
    fn was_renewed_by(&self, node: &str) -> bool {
        self.grant
            .as_ref()
            .is_some_and(|grant| grant.renewed && grant.is_for(node))
    }

    /// Takes back what a candidate was granted up to this epoch. `was_never_held` tells that it never held the lease under it.
    pub(crate) fn release(&mut self, candidate: &str, epoch: u64, was_never_held: bool) {
        let was_granted = self
            .grant
            .as_ref()
            .is_some_and(|grant| grant.is_for(candidate) && grant.epoch == epoch);
        let was_pending = self
            .pending
            .values()
            .any(|pending| pending.candidate == candidate && pending.request.epoch == epoch);
        if was_never_held && (was_granted || was_pending) && self.first_granted_epoch == Some(epoch)
        {
            self.never_held = true;
            self.first_granted_epoch = None;
        }
        if was_granted {
            self.end_use(was_never_held);
        }
        self.grant
            .take_if(|grant| grant.is_for(candidate) && grant.epoch <= epoch);
        self.pending
            .retain(|_, pending| pending.candidate != candidate || pending.request.epoch > epoch);
    }
}

impl Voter {
    /// The lease of the last grant is not used any more; or it never was, and what was before it counts.
    fn end_use(&mut self, was_never_held: bool) {
        let ended_at = match self.used_until_before.take() {
            Some(before) if was_never_held => before,
            _ => self.clock.now(),
        };
        self.used_until = self.used_until.min(ended_at);
    }
}

impl Lease {
    /// Grants a request, starts the write that it needs first, or rejects it.
    pub(crate) fn handle_request(&mut self, now: Duration, from: &str, request: LeaseRequest) {
        self.voter
            .drop_slow_pending(now, self.timing.persist_timeout());
        if let Some(wait) = self.voter.rejection(&self.view, from, &request) {
            self.reject(now, from, &request, wait);
        } else if request.renewal {
            self.grant(now, from, &request);
        } else {
            self.persist_epoch_of(now, from, request);
        }
    }

    fn reject(&mut self, now: Duration, candidate: &str, request: &LeaseRequest, wait: Duration) {
        let reply = LeaseReply {
            epoch: request.epoch,
            nonce: request.nonce,
            granted: false,
            highest_epoch: self.highest_epoch,
            wait_ms: wait.as_millis() as u64,
            ..LeaseReply::default()
        };
        self.send_reply(now, candidate, reply);
    }

    fn persist_epoch_of(&mut self, now: Duration, candidate: &str, request: LeaseRequest) {
        let request_id = self.random.next_u64();
        self.highest_epoch = self.highest_epoch.max(request.epoch);
        self.effects.push(Effect::PersistLeaseEpoch {
            epoch: request.epoch,
            keeps_key_owners: request.keeps_key_owners,
            request_id,
        });
        self.voter.reserve(now, candidate, request, request_id);
    }

    pub(crate) fn grant(&mut self, now: Duration, candidate: &str, request: &LeaseRequest) {
        let reply = self
            .voter
            .record_grant(candidate, request, self.timing.duration);
        self.send_reply(now, candidate, reply);
    }

    fn send_reply(&mut self, now: Duration, candidate: &str, reply: LeaseReply) {
        if candidate == self.view.node {
            self.handle_reply(now, candidate, reply);
            return;
        }
        self.effects.push(Effect::Send {
            to: candidate.to_owned(),
            body: Payload::LeaseReply(reply),
        });
    }

    pub(crate) fn handle_release(&mut self, now: Duration, from: &str, release: &LeaseRelease) {
        let was_holder = self.voter.was_renewed_by(from);
        self.voter
            .release(from, release.epoch, release.was_never_held);
        if was_holder && self.candidate.is_idle() {
            // The lease is free: no need to wait until it would have expired.
            self.schedule_request(now);
        }
    }
}
