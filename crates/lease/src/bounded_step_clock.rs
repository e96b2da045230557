//! The clock by which whoever granted something waits until the grant has surely expired.

use std::time::Duration;

/// The longest step that is counted in full. Steps come every few milliseconds, so a longer one shows a suspended
/// process or a clock that jumped.
pub const MAX_STEP: Duration = Duration::from_millis(100);

/// A clock that counts no step for more than a bound. A suspended process and a clock that jumps ahead look alike from
/// inside; in either case this clock falls behind, so a grant is waited out for too long rather than too short. Jumps
/// that are each too small to be noticed don't add up within one grant either.
///
/// ```
/// use lease::{BoundedStepClock, MAX_STEP};
/// use std::time::Duration;
/// let mut clock = BoundedStepClock::new(MAX_STEP);
/// clock.advance(Duration::from_secs(5));
/// clock.advance(Duration::from_secs(9));
/// assert_eq!(clock.now(), MAX_STEP);
/// ```
#[derive(Clone, Debug, Hash)]
pub struct BoundedStepClock {
    max_step: Duration,
    last_advance: Option<Duration>,
    elapsed: Duration,
}

impl BoundedStepClock {
    /// A clock at zero that counts at most `max_step` for each step.
    ///
    /// ```
    /// assert!(lease::BoundedStepClock::new(lease::MAX_STEP).now().is_zero());
    /// ```
    pub fn new(max_step: Duration) -> Self {
        BoundedStepClock {
            max_step,
            last_advance: None,
            elapsed: Duration::ZERO,
        }
    }

    /// Counts the step from the last call's `now` to this one's; the first call counts nothing.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut clock = lease::BoundedStepClock::new(lease::MAX_STEP);
    /// [0, 20, 40].map(|at| clock.advance(Duration::from_millis(at)));
    /// assert_eq!(clock.now(), Duration::from_millis(40));
    /// ```
    pub fn advance(&mut self, now: Duration) {
        let last_advance = self.last_advance.replace(now).unwrap_or(now);
        self.elapsed += now.saturating_sub(last_advance).min(self.max_step);
    }

    /// The time counted so far.
    ///
    /// ```
    /// assert!(lease::BoundedStepClock::new(lease::MAX_STEP).now().is_zero());
    /// ```
    pub fn now(&self) -> Duration {
        self.elapsed
    }
}
