//! The candidate's side: requests the lease when it is free, renews it while it holds it, and releases it.

use crate::event::Effect;
use crate::grants::{Grants, VoterGrant};
use crate::lease::Lease;
use protocol::{LeaseRelease, LeaseReply, LeaseRequest, Payload, VoterSet};
use std::collections::BTreeSet;
use std::time::Duration;

/// The least delay before a candidate requests a free lease, in milliseconds.
const MIN_REQUEST_DELAY_MS: u64 = 20;
/// How much later each candidate requests the lease than the one before it in rank, in milliseconds.
const REQUEST_DELAY_PER_RANK_MS: u64 = 120;
/// The delay's random part is below this, in milliseconds.
const REQUEST_DELAY_JITTER_MS: u64 = 40;

/// A request for a new lease that is under way.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Candidacy {
    epoch: u64,
    nonce: u64,
    requested_at: Duration,
    grants: Grants,
    rejected_by: BTreeSet<String>,
    keeps_key_owners: bool,
}

/// What is known of a lease that was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
struct AcquiredLease {
    epoch: u64,
    /// How long nobody had held any before.
    idle: Duration,
    keeps_key_owners: bool,
}

/// What became of a request by one more grant.
enum GrantOutcome {
    /// A quorum is missing.
    Waiting,
    /// A quorum granted the lease.
    Held { epoch: u64, requested_at: Duration },
    /// A quorum granted it to a candidate that keeps a record of key owners, and too few of the voters keep any.
    RecordUnsupported,
}

/// A renewal that is under way. It may be sent several times; a grant counts from the first sending.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Renewal {
    epoch: u64,
    /// When the lease expires that is to be renewed.
    expires_at: Duration,
    nonce: u64,
    requested_at: Duration,
    last_sent_at: Duration,
    grants: Grants,
}

#[derive(Clone, Debug, Default, PartialEq, Hash)]
enum CandidatePhase {
    /// Holds no lease and has requested none.
    #[default]
    Idle,
    Requesting(Candidacy),
    Holding {
        epoch: u64,
        expires_at: Duration,
    },
    Renewing(Renewal),
    /// Shut down: requests nothing any more.
    Closed,
}

/// What one candidate knows of its own lease.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Candidate {
    phase: CandidatePhase,
    /// When to request the lease, or to renew the one held; zero before the first tick.
    next_request: Duration,
    /// The epoch under which this node was the first holder of all.
    pub(crate) first_holder_epoch: Option<u64>,
    /// The last lease acquired.
    acquired: Option<AcquiredLease>,
    /// Too few voters keep records of key owners: the next lease is requested without one.
    does_without_key_owners: bool,
}

impl Candidate {
    /// The epoch of the lease that is held at this moment.
    pub(crate) fn held_epoch(&self, now: Duration) -> Option<u64> {
        let (epoch, expires_at) = match &self.phase {
            CandidatePhase::Holding { epoch, expires_at } => (*epoch, *expires_at),
            CandidatePhase::Renewing(renewal) => (renewal.epoch, renewal.expires_at),
            CandidatePhase::Idle | CandidatePhase::Requesting(_) | CandidatePhase::Closed => {
                return None;
            }
        };
        (now < expires_at).then_some(epoch)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.phase == CandidatePhase::Idle
    }

    /// True while the lease is requested, held or renewed.
    pub(crate) fn is_active(&self) -> bool {
        !matches!(self.phase, CandidatePhase::Idle | CandidatePhase::Closed)
    }

    /// True from winning the lease until it is given up.
    fn is_holder(&self) -> bool {
        matches!(
            self.phase,
            CandidatePhase::Holding { .. } | CandidatePhase::Renewing(_)
        )
    }

    /// The epoch that is requested, held or renewed.
    fn active_epoch(&self) -> Option<u64> {
        match &self.phase {
            CandidatePhase::Requesting(candidacy) => Some(candidacy.epoch),
            CandidatePhase::Holding { epoch, .. } => Some(*epoch),
            CandidatePhase::Renewing(renewal) => Some(renewal.epoch),
            CandidatePhase::Idle | CandidatePhase::Closed => None,
        }
    }

    /// Drops a renewal that is under way; the next one begins now.
    pub(crate) fn restart_renewal(&mut self, now: Duration) {
        if let CandidatePhase::Renewing(renewal) = &self.phase {
            self.next_request = now;
            self.phase = CandidatePhase::Holding {
                epoch: renewal.epoch,
                expires_at: renewal.expires_at,
            };
        }
    }

    /// True where a request with this nonce waits for replies.
    fn awaits_reply_to(&self, nonce: u64) -> bool {
        match &self.phase {
            CandidatePhase::Requesting(candidacy) => candidacy.nonce == nonce,
            CandidatePhase::Renewing(renewal) => renewal.nonce == nonce,
            CandidatePhase::Idle | CandidatePhase::Holding { .. } | CandidatePhase::Closed => false,
        }
    }

    /// How long nobody held the lease before this epoch; zero where this node did not acquire it.
    pub(crate) fn idle_before(&self, epoch: u64) -> Duration {
        self.acquired_under(epoch)
            .map_or(Duration::ZERO, |acquired| acquired.idle)
    }

    /// True where the lease of this epoch was granted to a candidate that keeps a record of key owners.
    pub(crate) fn keeps_key_owners(&self, epoch: u64) -> bool {
        self.acquired_under(epoch)
            .is_some_and(|acquired| acquired.keeps_key_owners)
    }

    fn acquired_under(&self, epoch: u64) -> Option<AcquiredLease> {
        self.acquired.filter(|acquired| acquired.epoch == epoch)
    }

    /// Counts a grant.
    fn count_grant(
        &mut self,
        voter_set: &VoterSet,
        voter: &str,
        grant: VoterGrant,
    ) -> GrantOutcome {
        match &mut self.phase {
            CandidatePhase::Requesting(candidacy) => {
                candidacy.grants.insert(voter, grant);
                if !candidacy.grants.are_quorum(voter_set) {
                    return GrantOutcome::Waiting;
                }
                if candidacy.keeps_key_owners && !candidacy.grants.keep_key_owners(voter_set) {
                    return GrantOutcome::RecordUnsupported;
                }
                let epoch = candidacy.epoch;
                if candidacy.grants.are_all_first(voter_set) {
                    self.first_holder_epoch = Some(epoch);
                }
                self.acquired = Some(AcquiredLease {
                    epoch,
                    idle: candidacy.grants.idle(voter_set),
                    keeps_key_owners: candidacy.keeps_key_owners,
                });
                GrantOutcome::Held {
                    epoch,
                    requested_at: candidacy.requested_at,
                }
            }
            CandidatePhase::Renewing(renewal) => {
                renewal.grants.insert(voter, grant);
                if !renewal.grants.are_quorum(voter_set) {
                    return GrantOutcome::Waiting;
                }
                GrantOutcome::Held {
                    epoch: renewal.epoch,
                    requested_at: renewal.requested_at,
                }
            }
            CandidatePhase::Idle | CandidatePhase::Holding { .. } | CandidatePhase::Closed => {
                GrantOutcome::Waiting
            }
        }
    }
}

impl Lease {
    pub(crate) fn tick(&mut self, now: Duration) {
        if !self.view.is_voter() {
            return;
        }
        if self.candidate.next_request.is_zero() {
            // All nodes start alike: from the first time on they request the lease one after the other.
            self.schedule_request(now.max(self.timing.duration));
        }
        let timing = self.timing;
        let next_request = self.candidate.next_request;
        match &self.candidate.phase {
            CandidatePhase::Idle if now >= next_request && now >= timing.duration => {
                self.request_lease(now);
            }
            CandidatePhase::Requesting(candidacy)
                if now >= candidacy.requested_at + timing.request_timeout() =>
            {
                self.give_up(now, Duration::ZERO);
            }
            CandidatePhase::Holding { expires_at, .. } if now >= *expires_at => {
                self.give_up(now, Duration::ZERO);
            }
            CandidatePhase::Renewing(renewal) if now >= renewal.expires_at => {
                self.give_up(now, Duration::ZERO);
            }
            CandidatePhase::Holding { epoch, expires_at } if now >= next_request => {
                let (epoch, expires_at) = (*epoch, *expires_at);
                self.start_renewal(now, epoch, expires_at);
            }
            CandidatePhase::Renewing(renewal)
                if now >= renewal.last_sent_at + timing.renewal_retry_interval() =>
            {
                self.retry_renewal(now);
            }
            _ => {}
        }
    }

    /// How long to wait before a free lease is requested. Candidates take turns, so that votes are not split.
    fn request_delay(&mut self) -> Duration {
        let rank = self.view.rank(self.highest_epoch);
        let jitter_ms = self.random.below(REQUEST_DELAY_JITTER_MS);
        Duration::from_millis(MIN_REQUEST_DELAY_MS + rank * REQUEST_DELAY_PER_RANK_MS + jitter_ms)
    }

    /// Requests the lease when it is this candidate's turn, counted from this moment.
    pub(crate) fn schedule_request(&mut self, from: Duration) {
        self.candidate.next_request = from + self.request_delay();
    }

    fn request_lease(&mut self, now: Duration) {
        let epoch = self.highest_epoch + 1;
        let nonce = self.random.next_u64();
        let request = LeaseRequest {
            epoch,
            nonce,
            renewal: false,
            voter_epoch: self.view.voter_set.epoch,
            keeps_key_owners: !self.candidate.does_without_key_owners,
        };
        if let Some(wait) = self.voter.rejection(&self.view, &self.view.node, &request) {
            // A candidate whose own vote is missing need not request the others'.
            self.schedule_request(now + wait);
            return;
        }
        self.highest_epoch = epoch;
        self.candidate.phase = CandidatePhase::Requesting(Candidacy {
            epoch,
            nonce,
            requested_at: now,
            grants: Grants::default(),
            rejected_by: BTreeSet::new(),
            keeps_key_owners: request.keeps_key_owners,
        });
        self.send_request(now, request, &BTreeSet::new());
    }

    fn start_renewal(&mut self, now: Duration, epoch: u64, expires_at: Duration) {
        let nonce = self.random.next_u64();
        self.candidate.phase = CandidatePhase::Renewing(Renewal {
            epoch,
            expires_at,
            nonce,
            requested_at: now,
            last_sent_at: now,
            grants: Grants::default(),
        });
        let request = self.renewal_request(epoch, nonce);
        self.send_request(now, request, &BTreeSet::new());
    }

    /// Sends the same renewal once more: a grant counts from its first sending, however late it comes.
    fn retry_renewal(&mut self, now: Duration) {
        let CandidatePhase::Renewing(renewal) = &mut self.candidate.phase else {
            return;
        };
        renewal.last_sent_at = now;
        let (epoch, nonce) = (renewal.epoch, renewal.nonce);
        let granted_by = renewal.grants.voters();
        let request = self.renewal_request(epoch, nonce);
        self.send_request(now, request, &granted_by);
    }

    fn renewal_request(&self, epoch: u64, nonce: u64) -> LeaseRequest {
        LeaseRequest {
            epoch,
            nonce,
            renewal: true,
            voter_epoch: self.view.voter_set.epoch,
            keeps_key_owners: self.candidate.keeps_key_owners(epoch),
        }
    }

    /// Sends a request to the voters that haven't granted it, this node included.
    fn send_request(
        &mut self,
        now: Duration,
        request: LeaseRequest,
        granted_by: &BTreeSet<String>,
    ) {
        for voter in self.view.other_voters() {
            if granted_by.contains(voter) {
                continue;
            }
            self.effects.push(Effect::Send {
                to: voter.clone(),
                body: Payload::LeaseRequest(request.clone()),
            });
        }
        let node = self.view.node.clone();
        if self.view.is_voter() && !granted_by.contains(&node) {
            self.handle_request(now, &node, request);
        }
    }

    /// Gives up the lease or the candidacy; the next request comes after `wait`, when it is this candidate's turn.
    pub(crate) fn give_up(&mut self, now: Duration, wait: Duration) {
        if self.candidate.is_holder() {
            self.candidate.does_without_key_owners = false;
        }
        self.send_release();
        self.schedule_request(now + wait);
        self.candidate.phase = CandidatePhase::Idle;
    }

    pub(crate) fn shut_down(&mut self) {
        self.send_release();
        self.candidate.phase = CandidatePhase::Closed;
    }

    /// Tells every voter that what it granted is free again.
    fn send_release(&mut self) {
        let Some(epoch) = self.candidate.active_epoch() else {
            return;
        };
        let was_never_held = matches!(self.candidate.phase, CandidatePhase::Requesting(_));
        self.voter.release(&self.view.node, epoch, was_never_held);
        for voter in self.view.other_voters() {
            self.effects.push(Effect::Send {
                to: voter.clone(),
                body: Payload::LeaseRelease(LeaseRelease {
                    epoch,
                    was_never_held,
                }),
            });
        }
    }

    pub(crate) fn handle_reply(&mut self, now: Duration, from: &str, reply: LeaseReply) {
        self.highest_epoch = self.highest_epoch.max(reply.highest_epoch);
        if !self.candidate.awaits_reply_to(reply.nonce) {
            return;
        }
        if !reply.granted {
            self.count_rejection(now, from, Duration::from_millis(reply.wait_ms));
            return;
        }
        let voter_set = &self.view.voter_set;
        if !voter_set.contains(from) {
            return;
        }
        let grant = VoterGrant {
            is_first: reply.first,
            may_break_tie: reply.may_break_tie,
            idle: Duration::from_millis(reply.idle_ms),
            keeps_key_owners: reply.keeps_key_owners,
        };
        match self.candidate.count_grant(voter_set, from, grant) {
            GrantOutcome::Waiting => {}
            GrantOutcome::Held {
                epoch,
                requested_at,
            } => {
                self.candidate.next_request = requested_at + self.timing.renewal_interval();
                self.candidate.phase = CandidatePhase::Holding {
                    epoch,
                    expires_at: self.timing.holder_expiry(requested_at),
                };
            }
            GrantOutcome::RecordUnsupported => {
                self.give_up(now, Duration::ZERO);
                self.candidate.does_without_key_owners = true;
            }
        }
    }

    /// Rejections end a candidacy only where the other voters are no quorum.
    fn count_rejection(&mut self, now: Duration, voter: &str, wait: Duration) {
        let CandidatePhase::Requesting(candidacy) = &mut self.candidate.phase else {
            return;
        };
        candidacy.rejected_by.insert(voter.to_owned());
        let may_succeed = self
            .view
            .voter_set
            .is_lease_quorum(|voter| !candidacy.rejected_by.contains(voter), |_| true);
        if !may_succeed {
            self.give_up(now, wait.min(self.timing.duration));
        }
    }
}
