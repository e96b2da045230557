//! Requests whose responses wait for something: for a change to be in force everywhere, for a majority's confirmation, or
//! for the holder of the placement lease.

use crate::interface::ControlResponse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most heartbeats that wait for the lease holder at a time.
const MAX_HEARTBEAT_WAITS: usize = 4096;
/// Most reads of the configuration that wait for a confirmation at a time.
const MAX_READ_WAITS: usize = 256;
/// Within the second after which clients go on to another node.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the holder of the placement lease may take to answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// A change whose client wants to hear only once it is in force everywhere that still serves.
struct InForceWait {
    request_id: u64,
    response: ControlResponse,
    /// The revision to be in force; the greatest there is until the change is decided.
    revision: u64,
    deadline: Duration,
}

/// A read of the configuration that waits for a confirmation begun after it.
pub(crate) struct ReadWait {
    pub(crate) request_id: u64,
    pub(crate) requested_at: Duration,
}

impl ReadWait {
    fn is_late(&self, now: Duration) -> bool {
        now >= self.requested_at + READ_TIMEOUT
    }
}

/// A heartbeat whose keys another node grants.
struct HeartbeatWait {
    request_id: u64,
    asked_node: String,
    deadline: Duration,
}

/// A response whose request waits no longer.
pub(crate) struct ReadyResponse {
    pub(crate) request_id: u64,
    pub(crate) response: ControlResponse,
}

/// All requests that wait.
#[derive(Default)]
pub(crate) struct PendingRequests {
    in_force: Vec<InForceWait>,
    reads: Vec<ReadWait>,
    heartbeats: BTreeMap<u64, HeartbeatWait>,
}

impl PendingRequests {
    /// Notes that a change is answered with `response` at the deadline, unless it was decided before.
    pub(crate) fn add_in_force_wait(
        &mut self,
        request_id: u64,
        response: ControlResponse,
        deadline: Duration,
    ) {
        self.in_force.push(InForceWait {
            request_id,
            response,
            revision: u64::MAX,
            deadline,
        });
    }

    /// A change was accepted: where its client waits, it is answered once `revision` is in force everywhere or at the
    /// deadline. False where it doesn't wait.
    pub(crate) fn await_revision(
        &mut self,
        request_id: u64,
        response: &ControlResponse,
        revision: u64,
        deadline: Duration,
    ) -> bool {
        let Some(wait) = self
            .in_force
            .iter_mut()
            .find(|wait| wait.request_id == request_id)
        else {
            return false;
        };
        wait.response = response.clone();
        wait.revision = revision;
        wait.deadline = deadline;
        true
    }

    /// Forgets the in-force waits of the requests that `answered` names.
    pub(crate) fn remove_in_force_waits(&mut self, answered: impl Fn(u64) -> bool) {
        self.in_force.retain(|wait| !answered(wait.request_id));
    }

    /// The responses to changes that are in force everywhere, or whose deadline has passed.
    pub(crate) fn take_in_force(
        &mut self,
        now: Duration,
        is_in_force: impl Fn(u64) -> bool,
    ) -> Vec<ReadyResponse> {
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_force)
            .into_iter()
            .partition(|wait| now >= wait.deadline || is_in_force(wait.revision));
        self.in_force = waiting;
        done.into_iter()
            .map(|wait| ReadyResponse {
                request_id: wait.request_id,
                response: wait.response,
            })
            .collect()
    }

    /// Notes a read that waits for a confirmation; false where too many do.
    pub(crate) fn add_read(&mut self, now: Duration, request_id: u64) -> bool {
        if self.reads.len() >= MAX_READ_WAITS {
            return false;
        }
        self.reads.push(ReadWait {
            request_id,
            requested_at: now,
        });
        true
    }

    /// The reads that are confirmed, and those that waited too long.
    pub(crate) fn take_reads(
        &mut self,
        now: Duration,
        is_confirmed_since: impl Fn(Duration) -> bool,
    ) -> Vec<ReadWait> {
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|wait| is_confirmed_since(wait.requested_at) || wait.is_late(now));
        self.reads = waiting;
        done
    }

    /// True where no more heartbeats may wait.
    pub(crate) fn is_full_of_heartbeats(&self) -> bool {
        self.heartbeats.len() >= MAX_HEARTBEAT_WAITS
    }

    /// Notes a heartbeat that waits for the key shares that `asked_node` grants.
    pub(crate) fn add_heartbeat(
        &mut self,
        now: Duration,
        nonce: u64,
        request_id: u64,
        asked_node: String,
    ) {
        let wait = HeartbeatWait {
            request_id,
            asked_node,
            deadline: now + HEARTBEAT_TIMEOUT,
        };
        self.heartbeats.insert(nonce, wait);
    }

    /// The request that the reply with this nonce answers; none where another node was asked, or nobody waits.
    pub(crate) fn take_heartbeat(&mut self, nonce: u64, from: &str) -> Option<u64> {
        let wait = self.heartbeats.get(&nonce)?;
        if wait.asked_node != from {
            return None;
        }
        self.heartbeats.remove(&nonce).map(|wait| wait.request_id)
    }

    /// Takes the heartbeats that the lease holder did not answer in time, in the order of their nonces.
    pub(crate) fn take_late_heartbeats(&mut self, now: Duration) -> Vec<u64> {
        let mut late = Vec::new();
        self.heartbeats.retain(|_, wait| {
            let is_late = now >= wait.deadline;
            if is_late {
                late.push(wait.request_id);
            }
            !is_late
        });
        late
    }
}
