//! Exponential backoff between the retries of a failed write.

use std::time::Duration;

/// How long a writer waits before each retry of a failed write.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    /// The delay before the first retry.
    pub first: Duration,
    /// Each delay is twice as long as the one before, up to this.
    pub max: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        RetryBackoff {
            first: Duration::from_millis(50),
            max: Duration::from_secs(2),
        }
    }
}

impl RetryBackoff {
    /// The delay after so many failures in a row.
    ///
    /// ```
    /// let backoff = control_plane::persistence::RetryBackoff::default();
    /// assert_eq!(backoff.after(1).as_millis(), 50);
    /// assert_eq!(backoff.after(3).as_millis(), 200);
    /// assert_eq!(backoff.after(1000), backoff.max);
    /// ```
    pub fn after(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        (self.first * 2u32.pow(doublings)).min(self.max)
    }
}
