//! What an upstream bears while it warms up, and what follows from it for the requests that it gets.

use crate::proxy_context::WarmUpTolerance;
use crate::warm_up_checks::{HEALTH_ANSWER_WAIT, HeartbeatTrust};
use std::time::Duration;

/// How long an answer confirms an upstream at most, and at least.
const MAX_VALIDITY: Duration = Duration::from_secs(1);
const MIN_VALIDITY: Duration = Duration::from_millis(100);
/// How long an answer at most is good for a counted number of requests.
const MAX_COUNTED_VALIDITY: Duration = Duration::from_millis(500);
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
    /// How many proxies may send there, this one included.
    pub proxies: u32,
}

/// How far an answer that says "warm" carries at one proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// So many requests, from the moment of its check on.
    pub requests: f64,
    /// For so long.
    pub validity: Duration,
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

    /// How long a turn of slow start may wait to be taken, so that the turns that are open at any moment, and those that come
    /// due in the second after it, are tolerated.
    ///
    /// ```
    /// # use request_routing::ColdTolerance;
    /// assert_eq!(ColdTolerance::new(Default::default(), 10).turn_validity().as_millis(), 800, "18 of 20: 8 saved, 10 due");
    /// ```
    pub fn turn_validity(&self) -> Duration {
        Duration::from_secs_f64(self.spare() / self.slow_start_rate.max(1.0))
    }

    /// True where an upstream that gets so many is to be asked: it gets more than it tolerates, or may by chance.
    pub(crate) fn is_checked(&self, rate: RequestRate) -> bool {
        let by_chance = rate.total + FLUCTUATION * rate.total.sqrt();
        let is_large_sender =
            rate.own >= MIN_CHECKED_OWN_RATE && rate.own >= rate.total * MIN_CHECKED_SHARE;
        rate.total > self.unconfirmed_rate() || (by_chance > self.most && is_large_sender)
    }

    /// How many proxies would send one request each along with a check; none where they are too many for that. Where the
    /// rates may have risen just now (`trust`), all that may send count.
    pub(crate) fn senders_unanswered(
        &self,
        rate: RequestRate,
        trust: HeartbeatTrust,
    ) -> Option<f64> {
        let all = f64::from(rate.proxies.max(1));
        let senders = match trust {
            HeartbeatTrust::Current => (rate.total / rate.own.max(f64::MIN_POSITIVE)).min(all),
            HeartbeatTrust::Missing => all,
        };
        Some(senders).filter(|senders| *senders <= self.spare() * MAX_UNANSWERED_PART)
    }

    /// How far an answer carries, so that what all proxies send on theirs after the upstream has turned cold, what goes out
    /// along with checks, and slow start are tolerated within a second.
    ///
    /// ```
    /// # use request_routing::{ColdTolerance, HeartbeatTrust, RequestRate};
    /// let tolerance = ColdTolerance::new(Default::default(), 10);
    /// let rate = |own, total| RequestRate { own, total, proxies: 2 };
    /// let requests = |own, total| tolerance.allowance(rate(own, total), None, HeartbeatTrust::Missing).requests;
    /// assert_eq!(requests(40.0, 40.0), 10.0, "20 are tolerated, 10 of them by slow start");
    /// assert_eq!(requests(20.0, 40.0), 5.0);
    /// assert_eq!(requests(1.0, 40.0), 1.0);
    /// let validity = |total| tolerance.allowance(rate(1.0, total), None, HeartbeatTrust::Current).validity.as_millis();
    /// assert_eq!(validity(14.0), 1000, "it bears that anyway");
    /// assert_eq!(validity(42.0), 250, "8 of 32 beyond its slow-start rate");
    /// ```
    pub fn allowance(
        &self,
        rate: RequestRate,
        unanswered: Option<f64>,
        trust: HeartbeatTrust,
    ) -> Allowance {
        match trust {
            HeartbeatTrust::Current => self.allowance_by_rate(rate, unanswered),
            HeartbeatTrust::Missing => self.counted_allowance(rate, unanswered),
        }
    }

    /// The longest span V for which `total * V + slow_start_rate * (1 - V)` is tolerated, and what this proxy sends in it.
    fn allowance_by_rate(&self, rate: RequestRate, unanswered: Option<f64>) -> Allowance {
        let spare = self.spare() - unanswered.unwrap_or(0.0);
        let excess = rate.total - self.slow_start_rate;
        let validity = match excess <= spare {
            true => MAX_VALIDITY,
            false => Duration::from_secs_f64(spare / excess).max(MIN_VALIDITY),
        };
        Allowance {
            requests: rate.own * validity.as_secs_f64() + 1.0,
            validity,
        }
    }

    /// This proxy's part of what is tolerated beside slow start, so that the parts of all proxies add up to it whatever the
    /// rates do meanwhile. One that sends too few for a whole request of its own asks for each.
    fn counted_allowance(&self, rate: RequestRate, unanswered: Option<f64>) -> Allowance {
        let spare = self.most - self.slow_start_rate - unanswered.unwrap_or(0.0);
        let requests = (spare * rate.own / rate.total.max(rate.own)).floor();
        if requests < 1.0 {
            // It is used at once, by the request that waits for it.
            return Allowance {
                requests: 1.0,
                validity: HEALTH_ANSWER_WAIT,
            };
        }
        Allowance {
            requests,
            validity: MAX_COUNTED_VALIDITY,
        }
    }
}
