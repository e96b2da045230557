//! Slow start: a new upstream that is warming up gets a bounded rate of requests.

use crate::proxy_partition::ProxyPartition;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// When the next request may go to an upstream that is warming up.
#[derive(Default)]
pub struct SlowStart {
    /// When this proxy's next turn comes due, in milliseconds; 0 until the first request asks.
    next_ms: AtomicU64,
}

impl SlowStart {
    /// Takes one request of the warm-up rate (`per_second`, over all proxies together), of which this proxy has its
    /// part. The rank staggers the proxies, so that not all begin at once, in each warm-up of the same upstream anew: a turn
    /// that is not taken within `validity` is lost.
    ///
    /// ```
    /// use request_routing::{ProxyPartition, SlowStart};
    /// use std::time::Duration;
    /// let (slow_start, second_of_four) = (SlowStart::default(), ProxyPartition { proxies: 4, rank: 1 });
    /// let (now, validity) = (Duration::from_secs(5), Duration::from_millis(500));
    /// assert!(!slow_start.try_take(now, 2, second_of_four, validity), "the second of four waits for its turn");
    /// assert!(slow_start.try_take(now + Duration::from_millis(500), 2, second_of_four, validity));
    /// assert!(!slow_start.try_take(now + Duration::from_millis(600), 2, second_of_four, validity));
    /// assert!(slow_start.try_take(now + Duration::from_millis(2500), 2, second_of_four, validity));
    /// assert!(!slow_start.try_take(now + Duration::from_millis(9000), 2, second_of_four, validity), "that turn is lost");
    /// assert!(slow_start.try_take(now + Duration::from_millis(9500), 2, second_of_four, validity));
    /// ```
    pub fn try_take(
        &self,
        now: Duration,
        per_second: u64,
        partition: ProxyPartition,
        validity: Duration,
    ) -> bool {
        let proxies = u64::from(partition.proxies.max(1));
        let now_ms = now.as_millis() as u64;
        let interval_ms = 1000 * proxies / per_second.max(1);
        let validity_ms = validity.as_millis() as u64;
        let due_ms = self.next_turn_ms(now_ms, interval_ms, partition, validity_ms);
        if now_ms < due_ms {
            return false;
        }
        // Only one of several requests at this moment gets the turn.
        self.next_ms
            .compare_exchange(
                due_ms,
                now_ms + interval_ms,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }

    /// When the next turn comes due; where there is none, or it was lost, the first of a new series.
    fn next_turn_ms(
        &self,
        now_ms: u64,
        interval_ms: u64,
        partition: ProxyPartition,
        validity_ms: u64,
    ) -> u64 {
        let known_ms = self.next_ms.load(Ordering::Acquire);
        let is_open = known_ms > 0 && now_ms <= known_ms + validity_ms;
        if is_open {
            return known_ms;
        }
        let proxies = u64::from(partition.proxies.max(1));
        let first_ms = (now_ms + interval_ms * u64::from(partition.rank) / proxies).max(1);
        let stored =
            self.next_ms
                .compare_exchange(known_ms, first_ms, Ordering::AcqRel, Ordering::Acquire);
        // Another request may have begun the series.
        stored.map_or_else(|begun_ms| begun_ms, |_| first_ms)
    }

    pub(crate) fn snapshot(&self) -> Self {
        SlowStart {
            next_ms: self.next_ms.load(Ordering::Acquire).into(),
        }
    }
}
