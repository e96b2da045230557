//! How many requests this proxy may have in flight at an upstream that reports its free slots with heartbeats.

use crate::proxy_partition::ProxyPartition;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// For how long an upstream that rejected a request for lack of slots is taken for full.
const FULL_FOR: Duration = Duration::from_millis(100);

/// Set in every packed heartbeat number, so that a heartbeat numbered 0 differs from none.
const HEARTBEAT_SEEN: u64 = 1 << 31;
const LOWER_HALF: u64 = 0xffff_ffff;

/// What a heartbeat reported of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedSlots {
    /// The heartbeat's number.
    pub heartbeat: u64,
    /// How many slots were free then.
    pub free: u32,
}

/// The limit on requests in flight at one upstream, from its heartbeats and its rejections.
#[derive(Default)]
pub struct SlotLimit {
    /// The heartbeat whose free slots are in use (upper half), and how many requests were in flight when it was
    /// first seen (lower half): packed, so that both change together.
    baseline: AtomicU64,
    /// The most free slots it ever reported.
    max_free: AtomicU32,
    /// Until when it is taken for full, and how many requests were in flight when it said so.
    full_until_ms: AtomicU64,
    in_flight_when_full: AtomicU32,
}

impl SlotLimit {
    /// How many requests this proxy may have in flight. The greater of: its part, rounded up, of the most slots that
    /// the upstream ever reported free; what it had in flight when this heartbeat was first seen, and its part of the
    /// slots that the heartbeat reported free. Less where the upstream just rejected one.
    ///
    /// ```
    /// use request_routing::{ProxyPartition, ReportedSlots, SlotLimit};
    /// use std::time::Duration;
    /// let (limit, now) = (SlotLimit::default(), Duration::from_secs(1));
    /// let first_of_two = ProxyPartition { proxies: 2, rank: 0 };
    /// let slots = |in_flight, heartbeat, free| {
    ///     limit.max_in_flight(now, in_flight, ReportedSlots { heartbeat, free }, first_of_two)
    /// };
    /// assert_eq!(slots(0, 1, 8), 4, "half of eight");
    /// assert_eq!(slots(4, 2, 4), 6, "the other one sends nothing");
    /// assert_eq!(slots(6, 2, 4), 6, "the same heartbeat: its slots are not counted anew");
    /// assert_eq!(slots(6, 3, 0), 6, "no more slots than it has");
    /// limit.record_full(now, 6, 1);
    /// assert_eq!(slots(6, 3, 9), 5, "it rejected the sixth");
    /// ```
    pub fn max_in_flight(
        &self,
        now: Duration,
        in_flight: u32,
        reported: ReportedSlots,
        partition: ProxyPartition,
    ) -> u32 {
        let baseline = self.baseline_of(reported.heartbeat, in_flight);
        let max_free = self
            .max_free
            .fetch_max(reported.free, Ordering::AcqRel)
            .max(reported.free);
        // Each may have one where there are fewer slots than proxies; the upstream rejects what is too much.
        let limit = baseline
            .saturating_add(partition.part_of(reported.free))
            .max(partition.fair_part_of(max_free));
        let is_full = (now.as_millis() as u64) < self.full_until_ms.load(Ordering::Acquire);
        if is_full {
            limit.min(self.in_flight_when_full.load(Ordering::Acquire))
        } else {
            limit
        }
    }

    /// Requests in flight when this heartbeat was first seen.
    fn baseline_of(&self, heartbeat: u64, in_flight: u32) -> u32 {
        let number = (heartbeat & LOWER_HALF) | HEARTBEAT_SEEN;
        let baseline = self.baseline.load(Ordering::Acquire);
        if baseline >> 32 == number {
            return (baseline & LOWER_HALF) as u32;
        }
        self.baseline
            .store(number << 32 | u64::from(in_flight), Ordering::Release);
        in_flight
    }

    /// The upstream rejected one of `in_flight` requests: it has no slot beyond the others. `min_slots` stay allowed
    /// all the same, where it may have rejected for another reason.
    ///
    /// ```
    /// request_routing::SlotLimit::default().record_full(std::time::Duration::ZERO, 1, 0);
    /// ```
    pub fn record_full(&self, now: Duration, in_flight: u32, min_slots: u32) {
        self.in_flight_when_full.store(
            in_flight.saturating_sub(1).max(min_slots),
            Ordering::Release,
        );
        self.full_until_ms
            .store((now + FULL_FOR).as_millis() as u64, Ordering::Release);
    }

    pub(crate) fn snapshot(&self) -> Self {
        SlotLimit {
            baseline: self.baseline.load(Ordering::Acquire).into(),
            max_free: self.max_free.load(Ordering::Acquire).into(),
            full_until_ms: self.full_until_ms.load(Ordering::Acquire).into(),
            in_flight_when_full: self.in_flight_when_full.load(Ordering::Acquire).into(),
        }
    }
}
