//! The clock of a process.

use std::time::Duration;

/// Monotonic time since the process started, the only time that decisions are made by. It goes on while the machine is
/// suspended (`CLOCK_BOOTTIME`), as `std::time::Instant` on Linux does not: leases that others granted expire meanwhile.
///
/// ```
/// let clock = transport::Clock::default();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy)]
pub struct Clock(Duration);

impl Default for Clock {
    fn default() -> Self {
        Clock(since_boot())
    }
}

impl Clock {
    /// Time since the start.
    ///
    /// ```
    /// assert!(transport::Clock::default().now().as_secs() < 60);
    /// ```
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.0)
    }
}

/// Time since the machine's boot, suspensions counted.
///
/// ```
/// assert!(transport::since_boot() <= transport::since_boot());
/// ```
pub fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
