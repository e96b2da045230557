//! What one proxy counts and knows of one upstream.

use crate::load_estimate::{Load, LoadEstimate};
use crate::outlier_ejection::OutlierEjection;
use crate::slot_limit::SlotLimit;
use crate::slow_start::SlowStart;
use crate::warm_up_checks::WarmUpChecks;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// Counts for one upstream at this proxy.
#[derive(Default)]
pub struct UpstreamStats {
    in_flight: AtomicU32,
    /// Its load, where it reports any.
    pub load_estimate: LoadEstimate,
    /// How many requests it may get, where it reports free slots only.
    pub slot_limit: SlotLimit,
    /// Whether it is left out because its calls failed.
    pub ejection: OutlierEjection,
    /// The rate at which it gets requests while it warms up.
    pub slow_start: SlowStart,
    /// Whether it is warm, by its own word.
    pub warm_up_checks: WarmUpChecks,
    /// Another instance answered at its address: it is not there any more, whatever the view says.
    is_replaced: AtomicBool,
}

impl UpstreamStats {
    /// This proxy's requests in flight there.
    ///
    /// ```
    /// assert_eq!(request_routing::UpstreamStats::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// True once another instance answered at its address.
    pub(crate) fn is_replaced(&self) -> bool {
        self.is_replaced.load(Ordering::Acquire)
    }

    pub(crate) fn mark_replaced(&self) {
        self.is_replaced.store(true, Ordering::Release);
    }

    /// Requests there by the best estimate, this proxy's and others'.
    ///
    /// ```
    /// let stats = request_routing::UpstreamStats::default();
    /// stats.try_acquire(1);
    /// assert_eq!(stats.load(std::time::Duration::ZERO), 1.0);
    /// ```
    pub fn load(&self, now: Duration) -> f64 {
        f64::from(self.in_flight()) + self.load_estimate.others_in_flight(now)
    }

    /// Records the load that the upstream reported with a response, whose request still counts as in flight.
    ///
    /// ```
    /// let stats = request_routing::UpstreamStats::default();
    /// stats.record_load(std::time::Duration::ZERO, request_routing::Load { running: 2, waiting: 0, slots: 3 });
    /// assert_eq!(stats.load(std::time::Duration::ZERO), 2.0);
    /// ```
    pub fn record_load(&self, now: Duration, load: Load) {
        let own = self.in_flight().saturating_sub(1);
        self.load_estimate.record_load(now, load, own);
    }

    /// Takes one slot if fewer than `limit` are taken.
    ///
    /// ```
    /// let stats = request_routing::UpstreamStats::default();
    /// assert!(stats.try_acquire(1));
    /// assert!(!stats.try_acquire(1));
    /// stats.release();
    /// assert!(stats.try_acquire(1));
    /// ```
    pub fn try_acquire(&self, limit: u32) -> bool {
        let one_more = |taken: u32| Some(taken + 1).filter(|taken| *taken <= limit);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_more)
            .is_ok()
    }

    /// Gives a slot back.
    ///
    /// ```
    /// let stats = request_routing::UpstreamStats::default();
    /// stats.try_acquire(1);
    /// stats.release();
    /// assert_eq!(stats.in_flight(), 0);
    /// ```
    pub fn release(&self) {
        let one_fewer = |taken: u32| Some(taken.saturating_sub(1));
        let _ = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_fewer);
    }

    pub(crate) fn snapshot(&self) -> UpstreamStats {
        UpstreamStats {
            in_flight: self.in_flight().into(),
            load_estimate: self.load_estimate.snapshot(),
            slot_limit: self.slot_limit.snapshot(),
            ejection: self.ejection.snapshot(),
            slow_start: self.slow_start.snapshot(),
            warm_up_checks: self.warm_up_checks.snapshot(),
            is_replaced: self.is_replaced().into(),
        }
    }
}
