//! The clock by which whoever granted something waits until it has surely run out.

use std::time::Duration;

/// Steps come every few milliseconds: a longer one counts for so much.
pub const MAX_STEP: Duration = Duration::from_millis(100);

/// Time that counts no step for more than a bound. A process that stands still, and a clock that jumps ahead, look
/// alike from inside; either way this clock falls behind, and what was given out is waited out for too long, not for
/// too short. So jumps that are each too small to be noticed don't add up within one grant.
///
/// ```
/// use lease::{BoundedStepClock, MAX_STEP};
/// use std::time::Duration;
/// let mut clock = BoundedStepClock::new(MAX_STEP);
/// clock.advance(Duration::from_secs(5));
/// clock.advance(Duration::from_secs(9));
/// assert_eq!(clock.now(), MAX_STEP);
/// ```
#[derive(Clone, Hash)]
pub struct BoundedStepClock {
    longest_step: Duration,
    last: Option<Duration>,
    counted: Duration,
}

impl BoundedStepClock {
    /// A clock at zero.
    ///
    /// ```
    /// assert!(lease::BoundedStepClock::new(lease::MAX_STEP).now().is_zero());
    /// ```
    pub fn new(longest_step: Duration) -> Self {
        BoundedStepClock {
            longest_step,
            last: None,
            counted: Duration::ZERO,
        }
    }

    /// Counts the step from the last time to this one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut clock = lease::BoundedStepClock::new(lease::MAX_STEP);
    /// [0, 20, 40].map(|at| clock.advance(Duration::from_millis(at)));
    /// assert_eq!(clock.now(), Duration::from_millis(40));
    /// ```
    pub fn advance(&mut self, now: Duration) {
        let last = self.last.replace(now).unwrap_or(now);
        self.counted += now.saturating_sub(last).min(self.longest_step);
    }

    /// What was counted so far.
    ///
    /// ```
    /// assert!(lease::BoundedStepClock::new(lease::MAX_STEP).now().is_zero());
    /// ```
    pub fn now(&self) -> Duration {
        self.counted
    }
}
