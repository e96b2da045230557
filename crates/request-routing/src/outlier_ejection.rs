//! Outlier ejection: an upstream whose calls fail is left out of selection for a while.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// The ejection after a first failure; each further failure in a row doubles it.
const BASE_EJECTION: Duration = Duration::from_millis(250);
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// From here on the ejection doubles no more.
const MAX_DOUBLINGS: u32 = 6;

/// Failures in a row of one upstream, and until when it is ejected for them.
#[derive(Default)]
pub struct OutlierEjection {
    consecutive_failures: AtomicU32,
    ejected_until_ms: AtomicU64,
}

impl OutlierEjection {
    /// Records how a call went. A failure ejects the upstream, for longer with each in a row; a success only ends the
    /// row.
    ///
    /// ```
    /// use std::time::Duration;
    /// let ejection = request_routing::OutlierEjection::default();
    /// ejection.record(Duration::ZERO, false);
    /// assert!(ejection.is_ejected(Duration::from_millis(100)));
    /// assert!(!ejection.is_ejected(Duration::from_secs(1)));
    /// ```
    pub fn record(&self, now: Duration, is_success: bool) {
        if is_success {
            self.consecutive_failures.store(0, Ordering::Release);
            return;
        }
        let failures = self.consecutive_failures.fetch_add(1, Ordering::AcqRel);
        let doublings = failures.min(MAX_DOUBLINGS);
        let span = (BASE_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.ejected_until_ms
            .fetch_max((now + span).as_millis() as u64, Ordering::AcqRel);
    }

    /// True while the upstream is ejected.
    ///
    /// ```
    /// assert!(!request_routing::OutlierEjection::default().is_ejected(std::time::Duration::ZERO));
    /// ```
    pub fn is_ejected(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.ejected_until_ms.load(Ordering::Acquire)
    }

    pub(crate) fn snapshot(&self) -> Self {
        OutlierEjection {
            consecutive_failures: self.consecutive_failures.load(Ordering::Acquire).into(),
            ejected_until_ms: self.ejected_until_ms.load(Ordering::Acquire).into(),
        }
    }
}
