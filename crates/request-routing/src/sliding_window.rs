//! Event counts over a sliding window, kept in atomics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A few more than the window holds, so that a bucket is not reused while it counts.
const BUCKETS: usize = 128;
const BUCKET: Duration = Duration::from_millis(100);
/// How many buckets the window of 10 s holds.
const WINDOW_BUCKETS: u64 = 100;
const COUNT_MASK: u64 = 0xffff_ffff;

/// Counts events over the last 10 s in buckets of a tenth of a second. Each bucket packs its own number
/// with its count, so that an old one is never read as a new one.
///
/// ```
/// use std::time::Duration;
/// let window = request_routing::SlidingWindow::default();
/// window.add(Duration::from_secs(1));
/// window.add(Duration::from_secs(9));
/// assert_eq!(window.sum(Duration::from_secs(10)), 2);
/// assert_eq!(window.sum(Duration::from_secs(12)), 1);
/// ```
pub struct SlidingWindow([AtomicU64; BUCKETS]);

impl Default for SlidingWindow {
    fn default() -> Self {
        SlidingWindow(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl SlidingWindow {
    /// Counts one event.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let window = request_routing::SlidingWindow::default();
    /// window.add(Duration::ZERO);
    /// assert_eq!(window.sum(Duration::ZERO), 1);
    /// ```
    pub fn add(&self, now: Duration) {
        let number = Self::number(now);
        let bucket = &self.0[number as usize % BUCKETS];
        let next = |old: u64| {
            if old >> 32 == number {
                old + 1
            } else {
                (number << 32) | 1
            }
        };
        let _ = bucket.fetch_update(Ordering::AcqRel, Ordering::Acquire, |old| Some(next(old)));
    }

    /// How many events the last 10 s hold; a bucket that began 10 s ago still counts in full.
    ///
    /// ```
    /// # use std::time::Duration;
    /// assert_eq!(request_routing::SlidingWindow::default().sum(Duration::from_secs(1)), 0);
    /// ```
    pub fn sum(&self, now: Duration) -> u64 {
        self.sum_of_buckets(now, WINDOW_BUCKETS)
    }

    /// How many events a span of at most 10 s up to now holds; the bucket in which it begins counts in full.
    ///
    /// ```
    /// use std::time::Duration;
    /// let window = request_routing::SlidingWindow::default();
    /// window.add(Duration::from_millis(4100));
    /// window.add(Duration::from_millis(4900));
    /// let second = Duration::from_secs(1);
    /// assert_eq!(window.sum_within(Duration::from_millis(5100), second), 2);
    /// assert_eq!(window.sum_within(Duration::from_millis(5200), second), 1);
    /// ```
    pub fn sum_within(&self, now: Duration, span: Duration) -> u64 {
        let buckets = span.as_millis().div_ceil(BUCKET.as_millis()) as u64;
        self.sum_of_buckets(now, buckets.min(WINDOW_BUCKETS))
    }

    /// The events of the present bucket and of so many before it.
    fn sum_of_buckets(&self, now: Duration, buckets: u64) -> u64 {
        let last = Self::number(now);
        let first = last - buckets.min(WINDOW_BUCKETS);
        (first..=last)
            .map(|number| {
                let packed = self.0[number as usize % BUCKETS].load(Ordering::Acquire);
                (packed >> 32, packed & COUNT_MASK, number)
            })
            .filter(|(counted, _, number)| counted == number)
            .map(|(_, count, _)| count)
            .sum()
    }

    pub(crate) fn snapshot(&self) -> Self {
        SlidingWindow(std::array::from_fn(|index| {
            self.0[index].load(Ordering::Acquire).into()
        }))
    }

    fn number(now: Duration) -> u64 {
        // From 1, so that an untouched bucket belongs to no time.
        (now.as_millis() / BUCKET.as_millis()) as u64 + WINDOW_BUCKETS + 1
    }
}
