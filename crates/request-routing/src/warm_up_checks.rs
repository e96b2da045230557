//! Health checks that confirm at first hand that a busy upstream is warm.
//!
//! A proxy learns from heartbeats who is warming up, by way of the control plane. An upstream may turn cold at any
//! moment, and the news of it comes late, or never where the upstream or the proxy is cut off from the control plane.
//! So only as much as a cold upstream tolerates is sent on the word of a heartbeat. Where an upstream gets more, from all
//! proxies together, each proxy that sends to it asks it directly, and sends only while a recent answer said "warm".
//!
//! An answer is good for a span and for so many requests that what all proxies send on theirs after the upstream has turned cold
//! is within its tolerance, together with slow start ([`ColdTolerance::allowance`]). Where few proxies send to an upstream, each may send one
//! request along with its check, so that nobody waits for the answer.
//!
//! Where heartbeats may be missing ([`HeartbeatTrust::Missing`]), their word is good for nothing: each request is confirmed, by an
//! answer that is good for a counted number, or takes a turn of slow start where no answer is to be had.

use crate::cold_tolerance::{Allowance, ColdTolerance, MIN_CHECKED_OWN_RATE, RequestRate};
use crate::recent_sends::{RecentSends, SendBasis, SendCounts};
use crate::sliding_window::SlidingWindow;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A health check that has no answer by then has failed.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a request waits for the answer to a health check at most, before it goes to an upstream that is farther.
pub(crate) const HEALTH_ANSWER_WAIT: Duration = Duration::from_millis(100);
/// How far apart the health checks of one upstream are at least: in touch, and where each request may need one.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MIN_CHECK_INTERVAL_PER_REQUEST: Duration = Duration::from_millis(20);
/// The next check is due after this part of an answer's span, or of its requests; the rest is for its way.
const RENEWAL_POINT: f64 = 0.67;
/// An upstream that says it warms up is believed for so long at most; then it is asked again.
const MAX_REPORTED_WARM_UP: Duration = Duration::from_secs(60);
/// Rates are counted over this span.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Rates of few requests are counted over this span.
const STEADY_RATE_SPAN: Duration = Duration::from_secs(10);

/// What an upstream tells of itself in its answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// How much longer it warms up; zero where it is warm.
    pub warm_up_left: Duration,
}

/// What a proxy may go by when it sends to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// It is warm, or gets no more than it would tolerate if it were not.
    Warm,
    /// It gets more than it tolerates while cold, and no recent answer says that it is warm.
    Unconfirmed {
        /// The answer to a check may come at any moment.
        is_answer_near: bool,
    },
    /// It said that it is warming up, or nobody can tell.
    WarmingUp,
}

/// The warmth of an upstream, and whether it is to be asked now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmthAssessment {
    /// What a proxy may go by.
    pub warmth: Warmth,
    /// What allows a request, where one may be sent.
    pub basis: SendBasis,
    /// A health check is due; it counts as sent.
    pub is_check_due: bool,
}

impl WarmthAssessment {
    /// A request takes a turn of slow start.
    pub(crate) const SLOW_START: WarmthAssessment = WarmthAssessment {
        warmth: Warmth::WarmingUp,
        basis: SendBasis::SlowStart,
        is_check_due: false,
    };

    /// A request is sent on a heartbeat's word.
    pub(crate) const WARM_BY_HEARTBEAT: WarmthAssessment = WarmthAssessment {
        warmth: Warmth::Warm,
        basis: SendBasis::Heartbeat,
        is_check_due: false,
    };
}

/// Whether what the view says of an upstream's warmth is as late as its heartbeats at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatTrust {
    /// It is, as far as this proxy knows.
    Current,
    /// Heartbeats of the last seconds may be missing.
    Missing,
}

/// An answer that said "warm".
#[derive(Clone, Copy)]
struct Confirmation {
    /// When its check was sent.
    asked_at: Duration,
    /// Requests sent since then.
    sends: u64,
}

impl Confirmation {
    /// True while it is within a part of what it allows.
    fn holds(&self, now: Duration, allowance: Allowance, part: f64) -> bool {
        now < self.asked_at + allowance.validity.mul_f64(part)
            && (self.sends as f64) < allowance.requests * part
    }
}

#[derive(Clone, Default)]
struct State {
    /// When the latest check was sent.
    checked_at: Option<Duration>,
    /// The latest check has no answer yet.
    is_pending: bool,
    /// The latest check that came to an end had no valid answer.
    is_failing: bool,
    /// When the check was sent whose answer is the latest that came.
    answered_check_at: Option<Duration>,
    /// Requests sent since the latest check was.
    sends_since_check: u64,
    /// The latest answer, where it said "warm".
    confirmation: Option<Confirmation>,
    /// Until when it warms up, by what it said.
    cold_until: Duration,
    /// It is known to be cold, by whatever news.
    is_known_cold: bool,
    recent_sends: RecentSends,
}

impl State {
    /// When the next check may be sent.
    fn next_check_at(&self, trust: HeartbeatTrust) -> Duration {
        let interval = match trust {
            _ if self.is_pending => HEALTH_CHECK_TIMEOUT,
            HeartbeatTrust::Current => MIN_CHECK_INTERVAL,
            HeartbeatTrust::Missing if self.is_failing => HEALTH_CHECK_TIMEOUT,
            HeartbeatTrust::Missing => MIN_CHECK_INTERVAL_PER_REQUEST,
        };
        self.checked_at.map_or(Duration::ZERO, |at| at + interval)
    }

    fn is_confirmed(&self, now: Duration, allowance: Allowance, part: f64) -> bool {
        let confirmation = self.confirmation.as_ref();
        confirmation.is_some_and(|answer| answer.holds(now, allowance, part))
    }

    fn begin_check(&mut self, now: Duration) {
        self.checked_at = Some(now);
        self.is_pending = true;
        self.sends_since_check = 0;
    }

    /// Notes that it is known to be cold; what was sent there in the last second, where that is news.
    fn note_cold(&mut self, now: Duration) -> Option<SendCounts> {
        let is_news = !std::mem::replace(&mut self.is_known_cold, true);
        let sends = self.recent_sends.counts(now);
        Some(sends).filter(|sends| is_news && sends.total() > 0)
    }

    /// True where a check was sent so lately that its answer may come at any moment.
    fn is_answer_near(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now < at + HEALTH_ANSWER_WAIT;
        self.is_pending && self.checked_at.is_some_and(is_recent)
    }
}

/// One upstream's health checks at one proxy, and the requests that make them necessary.
#[derive(Default)]
pub struct WarmUpChecks {
    sends: SlidingWindow,
    state: Mutex<State>,
}

impl WarmUpChecks {
    fn with_state<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes that a heartbeat says that it is cold; what was sent there in the last second, where that is news.
    pub(crate) fn note_cold(&self, now: Duration) -> Option<SendCounts> {
        self.with_state(|state| state.note_cold(now))
    }

    /// Counts a request that is sent there, and what allowed it.
    pub(crate) fn record_send(&self, now: Duration, basis: SendBasis) {
        self.sends.add(now);
        self.with_state(|state| {
            if basis != SendBasis::SlowStart {
                state.is_known_cold = false;
            }
            state.recent_sends.record(now, basis);
            if basis == SendBasis::AlongWithCheck {
                // It is no later than the check, and what an answer allows is sent after it.
                return;
            }
            state.sends_since_check += 1;
            if let Some(confirmation) = &mut state.confirmation {
                confirmation.sends += 1;
            }
        });
    }

    /// How many requests this proxy sent there in the last second.
    pub(crate) fn own_rate(&self, now: Duration) -> f64 {
        self.sends.sum_within(now, RATE_SPAN) as f64
    }

    /// How many requests a second this proxy sends there: in the last second, or over a longer time where these are few.
    pub(crate) fn own_steady_rate(&self, now: Duration) -> f64 {
        let last_second = self.own_rate(now);
        if last_second >= MIN_CHECKED_OWN_RATE {
            return last_second;
        }
        self.sends.sum_within(now, STEADY_RATE_SPAN) as f64 / STEADY_RATE_SPAN.as_secs_f64()
    }

    /// Whether a further request may be sent to an upstream that gets so many.
    ///
    /// ```
    /// use request_routing::{ColdTolerance, HealthReport, HeartbeatTrust, RequestRate, WarmUpChecks, Warmth};
    /// use std::time::Duration;
    /// let (checks, tolerance) = (WarmUpChecks::default(), ColdTolerance::new(Default::default(), 10));
    /// let (few, many) = (RequestRate { own: 2.0, total: 8.0, proxies: 4 }, RequestRate { own: 2.0, total: 30.0, proxies: 15 });
    /// let now = Duration::from_secs(5);
    /// assert_eq!(checks.assess(now, few, tolerance, HeartbeatTrust::Current).warmth, Warmth::Warm, "a cold one tolerates that");
    /// let unconfirmed = checks.assess(now, many, tolerance, HeartbeatTrust::Current);
    /// assert_eq!(unconfirmed.warmth, Warmth::Unconfirmed { is_answer_near: true });
    /// assert!(unconfirmed.is_check_due);
    /// assert!(!checks.assess(now, many, tolerance, HeartbeatTrust::Current).is_check_due, "one is under way");
    /// checks.record_answer(now, now, Some(HealthReport { warm_up_left: Duration::ZERO }));
    /// assert_eq!(checks.assess(now, many, tolerance, HeartbeatTrust::Current).warmth, Warmth::Warm);
    /// assert_ne!(checks.assess(now + Duration::from_secs(1), many, tolerance, HeartbeatTrust::Current).warmth, Warmth::Warm, "too long ago");
    /// ```
    pub fn assess(
        &self,
        now: Duration,
        rate: RequestRate,
        tolerance: ColdTolerance,
        trust: HeartbeatTrust,
    ) -> WarmthAssessment {
        let unanswered = tolerance.senders_unanswered(rate, trust);
        let allowance = tolerance.allowance(rate, unanswered, trust);
        let is_trusted = trust == HeartbeatTrust::Current;
        let is_tolerated = is_trusted && rate.total <= tolerance.unconfirmed_rate();
        let is_checked = !is_trusted || tolerance.is_checked(rate);
        self.with_state(|state| {
            if now < state.cold_until {
                return WarmthAssessment::SLOW_START;
            }
            let is_confirmed = state.is_confirmed(now, allowance, 1.0);
            let is_check_due = is_checked
                && !state.is_confirmed(now, allowance, RENEWAL_POINT)
                && now >= state.next_check_at(trust);
            if is_check_due {
                state.begin_check(now);
            }
            let may_go_along = is_check_due && unanswered.is_some();
            let is_answer_near = state.is_answer_near(now);
            if is_tolerated || is_confirmed || may_go_along {
                return WarmthAssessment {
                    warmth: Warmth::Warm,
                    basis: match (is_tolerated, is_confirmed) {
                        (true, _) => SendBasis::Heartbeat,
                        (false, true) => SendBasis::HealthAnswer,
                        (false, false) => SendBasis::AlongWithCheck,
                    },
                    is_check_due,
                };
            }
            if !is_trusted && !is_answer_near {
                return WarmthAssessment::SLOW_START;
            }
            WarmthAssessment {
                warmth: Warmth::Unconfirmed { is_answer_near },
                basis: SendBasis::HealthAnswer,
                is_check_due,
            }
        })
    }

    /// Records the answer to the check that was sent at `sent_at`; none where no valid one came. An answer that was
    /// overtaken by the answer to a later check counts for nothing. Gives what was sent there in the last second, where
    /// it is news that it is cold.
    ///
    /// ```
    /// use request_routing::{ColdTolerance, HealthReport, HeartbeatTrust, RequestRate, WarmUpChecks, Warmth};
    /// use std::time::Duration;
    /// let (checks, now) = (WarmUpChecks::default(), Duration::from_secs(5));
    /// checks.record_answer(now, now, Some(HealthReport { warm_up_left: Duration::from_secs(3) }));
    /// let rate = RequestRate { own: 1.0, total: 1.0, proxies: 1 };
    /// let warmth = |at| checks.assess(at, rate, ColdTolerance::new(Default::default(), 10), HeartbeatTrust::Current).warmth;
    /// assert_eq!(warmth(now), Warmth::WarmingUp);
    /// assert_eq!(warmth(now + Duration::from_secs(3)), Warmth::Warm);
    /// checks.record_answer(now, now, Some(HealthReport { warm_up_left: Duration::MAX }));
    /// assert_eq!(warmth(now + Duration::from_secs(60)), Warmth::Warm, "it is asked again before it gets much");
    /// ```
    pub fn record_answer(
        &self,
        sent_at: Duration,
        now: Duration,
        report: Option<HealthReport>,
    ) -> Option<SendCounts> {
        self.with_state(|state| {
            let is_latest = state.checked_at == Some(sent_at);
            if is_latest {
                state.is_pending = false;
                state.is_failing = report.is_none();
            }
            let is_overtaken = state.answered_check_at.is_some_and(|at| sent_at < at);
            let report = report.filter(|_| !is_overtaken)?;
            state.answered_check_at = Some(sent_at);
            // An answer that came after its time-out confirms nothing: the requests since then were not counted.
            let confirms = is_latest && report.warm_up_left.is_zero();
            state.confirmation = confirms.then_some(Confirmation {
                asked_at: sent_at,
                sends: state.sends_since_check,
            });
            state.cold_until = match report.warm_up_left {
                Duration::ZERO => Duration::ZERO,
                left => now + left.min(MAX_REPORTED_WARM_UP),
            };
            match report.warm_up_left {
                Duration::ZERO => None,
                _ => state.note_cold(now),
            }
        })
    }

    pub(crate) fn snapshot(&self) -> Self {
        WarmUpChecks {
            sends: self.sends.snapshot(),
            state: Mutex::new(self.with_state(|state| state.clone())),
        }
    }
}
