//! The clock by which the lease holder waits out the holds that it gave.

use std::time::Duration;

/// Steps come every few milliseconds: a longer one counts for so much.
pub(crate) const LONGEST_STEP: Duration = Duration::from_millis(100);

/// Time that counts no step for more than a bound. A process that stands still, and a clock that jumps ahead, look
/// alike from inside; either way this clock falls behind, and what was given out is waited out for too long, not for
/// too short. So jumps that are each too small to cost the lease don't add up within one hold.
pub(crate) struct HoldClock {
    longest_step: Duration,
    last: Option<Duration>,
    counted: Duration,
}

impl HoldClock {
    pub(crate) fn new(longest_step: Duration) -> Self {
        HoldClock { longest_step, last: None, counted: Duration::ZERO }
    }

    /// Counts the step from the last time to this one.
    pub(crate) fn advance(&mut self, now: Duration) {
        let last = self.last.replace(now).unwrap_or(now);
        self.counted += now.saturating_sub(last).min(self.longest_step);
    }

    pub(crate) fn now(&self) -> Duration {
        self.counted
    }
}
