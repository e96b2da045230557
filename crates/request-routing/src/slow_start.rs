//! Slow start: a new upstream that is warming up gets a bounded rate of requests.

use crate::proxy_partition::ProxyPartition;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// When the next request may go to an upstream that is warming up.
#[derive(Default)]
pub struct SlowStart {
    /// In milliseconds; 0 until the first request asks.
    next_ms: AtomicU64,
}

impl SlowStart {
    /// Takes one request of the warm-up rate (`per_second`, over all proxies together), of which this proxy has its
    /// part. The rank staggers the proxies, so that not all begin at once.
    ///
    /// ```
    /// use request_routing::{ProxyPartition, SlowStart};
    /// use std::time::Duration;
    /// let (slow_start, second_of_four) = (SlowStart::default(), ProxyPartition { proxies: 4, rank: 1 });
    /// let now = Duration::from_secs(5);
    /// assert!(!slow_start.try_take(now, 2, second_of_four), "the second of four waits for its turn");
    /// assert!(slow_start.try_take(now + Duration::from_millis(500), 2, second_of_four));
    /// assert!(!slow_start.try_take(now + Duration::from_millis(600), 2, second_of_four));
    /// assert!(slow_start.try_take(now + Duration::from_millis(2500), 2, second_of_four));
    /// ```
    pub fn try_take(&self, now: Duration, per_second: u64, partition: ProxyPartition) -> bool {
        let proxies = u64::from(partition.proxies.max(1));
        let now_ms = now.as_millis() as u64;
        let interval_ms = 1000 * proxies / per_second.max(1);
        let first_ms = now_ms + interval_ms * u64::from(partition.rank) / proxies;
        let started =
            self.next_ms
                .compare_exchange(0, first_ms.max(1), Ordering::AcqRel, Ordering::Acquire);
        let due_ms = match started {
            Ok(_) => first_ms,
            Err(next_ms) => next_ms,
        };
        if now_ms < due_ms {
            return false;
        }
        // Only one of several requests at this moment gets the turn.
        self.next_ms
            .compare_exchange(
                due_ms.max(1),
                now_ms + interval_ms,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }

    pub(crate) fn snapshot(&self) -> Self {
        SlowStart {
            next_ms: self.next_ms.load(Ordering::Acquire).into(),
        }
    }
}
