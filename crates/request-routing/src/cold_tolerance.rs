//! What an upstream bears while it warms up, and what follows from it for the requests that it gets.

use crate::proxy_context::WarmUpTolerance;
use crate::warm_up_checks::MIN_CHECK_INTERVAL;
use std::time::Duration;

/// How long an answer confirms an upstream at most.
const MAX_VALIDITY: Duration = Duration::from_secs(1);
/// The part of what a cold upstream tolerates that it gets on a heartbeat's word: rates are estimates.
const UNCONFIRMED_PART: f64 = 0.9;
/// Chance lets the requests of a second exceed their mean by this many standard deviations, for what matters here.
const FLUCTUATION: f64 = 2.0;
/// Where only chance may exceed the tolerance, a proxy asks that sends at least so many requests a second...
pub(crate) const MIN_CHECKED_OWN_RATE: f64 = 3.0;
/// ...and at least this part of all.
const MIN_CHECKED_SHARE: f64 = 0.25;
/// Requests that go out along with checks may take up this part of what it tolerates beyond its slow-start rate.
const MAX_UNANSWERED_PART: f64 = 0.5;

/// How many requests per second an upstream gets, by a proxy's best estimate.
#[derive(Clone, Copy, Debug)]
pub struct RequestRate {
    /// From this proxy.
    pub own: f64,
    /// From all proxies.
    pub total: f64,
}

/// What an upstream that is warming up bears, from all proxies together.
#[derive(Clone, Copy, Debug)]
pub struct ColdTolerance {
    /// The rate of slow start, in requests per second.
    slow_start_rate: f64,
    /// The most requests that it tolerates in a second.
    most: f64,
}

impl ColdTolerance {
    /// The tolerance of an upstream with this rate of slow start, in requests per second.
    pub fn new(tolerance: WarmUpTolerance, slow_start_per_second: u64) -> Self {
        let slow_start_rate = slow_start_per_second as f64;
        ColdTolerance {
            slow_start_rate,
            most: slow_start_rate * tolerance.excess + tolerance.margin,
        }
    }

    /// How many requests a second it gets on a heartbeat's word.
    pub(crate) fn unconfirmed_rate(&self) -> f64 {
        self.most * UNCONFIRMED_PART
    }

    /// What of that is beyond its slow-start rate.
    fn spare(&self) -> f64 {
        (self.unconfirmed_rate() - self.slow_start_rate).max(0.0)
    }

    /// True where an upstream that gets so many is to be asked: it gets more than it tolerates, or may by chance.
    pub(crate) fn is_checked(&self, rate: RequestRate) -> bool {
        let by_chance = rate.total + FLUCTUATION * rate.total.sqrt();
        let is_large_sender =
            rate.own >= MIN_CHECKED_OWN_RATE && rate.own >= rate.total * MIN_CHECKED_SHARE;
        rate.total > self.unconfirmed_rate() || (by_chance > self.most && is_large_sender)
    }

    /// How many proxies would send one request each along with a check; none where they are too many for that.
    pub(crate) fn senders_unanswered(&self, rate: RequestRate) -> Option<f64> {
        let senders = rate.total / rate.own.max(f64::MIN_POSITIVE);
        Some(senders).filter(|senders| *senders <= self.spare() * MAX_UNANSWERED_PART)
    }

    /// How long an answer confirms an upstream that gets so many requests: the longest span V for which
    /// `total * V + slow_start_rate * (1 - V)`, and what goes out along with checks, is tolerated within a second.
    ///
    /// ```
    /// # use request_routing::{ColdTolerance, RequestRate};
    /// let tolerance = ColdTolerance::new(Default::default(), 10);
    /// let validity = |own, total| tolerance.validity(RequestRate { own, total }).as_millis();
    /// assert_eq!(validity(1.0, 14.0), 1000, "it bears that anyway");
    /// assert_eq!(validity(1.0, 42.0), 250, "8 of 32 beyond its slow-start rate");
    /// assert_eq!(validity(21.0, 42.0), 187, "6 of 32: one request each of two proxies is unanswered");
    /// ```
    pub fn validity(&self, rate: RequestRate) -> Duration {
        let spare = self.spare() - self.senders_unanswered(rate).unwrap_or(0.0);
        let excess = rate.total - self.slow_start_rate;
        if excess <= spare {
            return MAX_VALIDITY;
        }
        Duration::from_secs_f64(spare / excess).max(MIN_CHECK_INTERVAL)
    }
}
