//! Answers to heartbeats that wait for the record of key owners: keys that are to go to an upstream are granted in the
//! answer to the very heartbeat by which they were reserved, once a quorum has them on record for it.

use crate::node::ControlNode;
use protocol::{KeyShare, Payload, SharesReply, Upstream};
use std::time::Duration;

/// How long an answer may wait for the record. Upstreams take no answer after a second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);
/// Most answers that wait at a time.
const MAX_WAITING: usize = 4096;

/// Where the answer to a heartbeat goes.
pub(crate) enum HeartbeatSender {
    /// The upstream itself asked this node.
    Upstream { request_id: u64 },
    /// Another control node asks on behalf of the upstream.
    ControlNode { node: String, nonce: u64 },
}

/// A heartbeat whose answer waits for the record.
pub(crate) struct WaitingHeartbeat {
    sender: HeartbeatSender,
    upstream: Upstream,
    deadline: Duration,
}

impl ControlNode {
    /// Answers a heartbeat with the keys that its upstream is to hold, now or once they are on record.
    pub(crate) fn grant_in_answer(
        &mut self,
        now: Duration,
        upstream: Upstream,
        sender: HeartbeatSender,
    ) {
        let shares = self.grant_key_shares(now, &upstream);
        let has_room = self.waiting_heartbeats.len() < MAX_WAITING;
        if shares.is_some() && has_room && self.awaits_record(&upstream) {
            self.waiting_heartbeats.push(WaitingHeartbeat {
                sender,
                upstream,
                deadline: now + RECORD_TIMEOUT,
            });
            // Where this node alone votes, the record may be there already.
            self.answer_waiting_heartbeats(now);
        } else {
            self.send_grants(now, sender, shares);
        }
    }

    /// Answers those whose keys are on record now, and those that can't wait any longer.
    pub(crate) fn answer_waiting_heartbeats(&mut self, now: Duration) {
        for waiting in std::mem::take(&mut self.waiting_heartbeats) {
            let shares = self.grant_recorded_shares(now, &waiting.upstream);
            let waits_on =
                shares.is_some() && now < waiting.deadline && self.awaits_record(&waiting.upstream);
            if waits_on {
                self.waiting_heartbeats.push(waiting);
            } else {
                self.send_grants(now, waiting.sender, shares);
            }
        }
    }

    fn awaits_record(&self, upstream: &Upstream) -> bool {
        let lease = self.placement.lease.as_ref();
        let ranges = lease.and_then(|lease| lease.ranges.get(&upstream.service));
        ranges.is_some_and(|ranges| ranges.awaits_record(&upstream.instance))
    }

    /// The keys of an upstream whose heartbeat was handled before; none where that was not its last one, or this node does
    /// not hold the lease any more.
    fn grant_recorded_shares(
        &mut self,
        now: Duration,
        upstream: &Upstream,
    ) -> Option<Vec<KeyShare>> {
        let epoch = self.lease.held_epoch(now)?;
        let grant_time = self.grant_clock.now();
        let lease = self.placement.lease.as_mut()?;
        if lease.epoch != epoch {
            return None;
        }
        let ranges = lease.ranges.get_mut(&upstream.service)?;
        let grants =
            ranges.grant_recorded(grant_time, &upstream.instance, upstream.heartbeat_number)?;
        Some(crate::key_ranges::shares_of(&upstream.instance, grants))
    }

    fn send_grants(
        &mut self,
        now: Duration,
        sender: HeartbeatSender,
        shares: Option<Vec<KeyShare>>,
    ) {
        let held_epoch = self.lease.held_epoch(now);
        let lease_epoch = held_epoch.unwrap_or(self.placement.lease_epoch);
        match sender {
            HeartbeatSender::Upstream { request_id } => {
                self.respond_to_upstream(request_id, lease_epoch, shares);
            }
            HeartbeatSender::ControlNode { node, nonce } => {
                let span_ms = match &shares {
                    Some(_) => self.times.share_span.as_millis() as u64,
                    None => 0,
                };
                let reply = SharesReply {
                    nonce,
                    shares: shares.unwrap_or_default(),
                    span_ms,
                    holder: lease_epoch,
                };
                self.send(node, Payload::SharesReply(reply));
            }
        }
    }
}
