//! The durations of a lease.

use crate::MAX_STEP;
use std::time::Duration;

/// The durations that candidates and voters go by. They must be the same on every node.
#[derive(Clone, Copy, Debug, Hash)]
pub struct LeaseTiming {
    /// How long a grant lasts, counted by the voter from the moment it grants.
    pub duration: Duration,
    /// How long before the end of the lease the holder stops.
    pub safety_margin: Duration,
    /// A voter that waits until its grant has expired counts no step for more than this.
    pub max_step: Duration,
}

impl LeaseTiming {
    /// A duration and its safety margin, with the default bound for a step.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let timing = lease::LeaseTiming::new(Duration::from_secs(3), Duration::from_millis(500));
    /// assert_eq!(timing.max_step, lease::MAX_STEP);
    /// ```
    pub fn new(duration: Duration, safety_margin: Duration) -> LeaseTiming {
        LeaseTiming {
            duration,
            safety_margin,
            max_step: MAX_STEP,
        }
    }

    /// How long a candidate waits for a quorum. The rest of the lease must then do for the first renewal.
    pub(crate) fn request_timeout(&self) -> Duration {
        self.duration / 3
    }

    /// How long after its request was sent a holder renews the lease.
    pub(crate) fn renewal_interval(&self) -> Duration {
        self.duration / 3
    }

    /// How long a holder waits before it retries a renewal at the voters that haven't granted it.
    pub(crate) fn renewal_retry_interval(&self) -> Duration {
        self.duration / 6
    }

    /// How long a voter waits for an epoch to be persisted; a grant that takes longer is dropped.
    pub(crate) fn persist_timeout(&self) -> Duration {
        self.duration / 3
    }

    /// When a lease that was requested at this moment ends for its holder.
    pub(crate) fn holder_expiry(&self, requested_at: Duration) -> Duration {
        requested_at + self.duration - self.safety_margin
    }
}
