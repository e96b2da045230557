//! The retry budget of one service at one proxy.

use crate::sliding_window::SlidingWindow;
use std::time::Duration;

/// Retries over 10 s are allowed up to this part of first sends (one in ten).
const FIRST_SENDS_PER_RETRY: u64 = 10;
/// And this many more, over all proxies together, so that retries are possible at low request rates too.
const SHARED_RETRY_ALLOWANCE: u64 = 10;

/// Bounds retries to a part of the requests sent, so that retries can't multiply the load of a service in trouble.
#[derive(Default)]
pub struct RetryBudget {
    first_sends: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Counts a request that was written to an upstream for the first time.
    ///
    /// ```
    /// use std::time::Duration;
    /// let budget = request_routing::RetryBudget::default();
    /// budget.record_first_send(Duration::ZERO);
    /// assert_eq!(budget.first_sends(Duration::ZERO), 1);
    /// ```
    pub fn record_first_send(&self, now: Duration) {
        self.first_sends.add(now);
    }

    /// Takes a retry if the last 10 s allow it; `proxies` share the allowance.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (budget, now) = (request_routing::RetryBudget::default(), Duration::from_secs(1));
    /// assert!(!budget.try_take(now, 13), "nothing was sent yet");
    /// (0..10).for_each(|_| budget.record_first_send(now));
    /// assert!(budget.try_take(now, 13));
    /// assert!(!budget.try_take(now, 13));
    /// ```
    pub fn try_take(&self, now: Duration, proxies: usize) -> bool {
        let allowed = self.first_sends.sum(now) / FIRST_SENDS_PER_RETRY
            + SHARED_RETRY_ALLOWANCE / proxies.max(1) as u64;
        let is_allowed = self.retries.sum(now) < allowed;
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Requests written for the first time over the last 10 s.
    pub fn first_sends(&self, now: Duration) -> u64 {
        self.first_sends.sum(now)
    }

    /// Retries taken over the last 10 s.
    pub fn retries(&self, now: Duration) -> u64 {
        self.retries.sum(now)
    }
}
