//! What is known of an upstream's load: what it told of itself in answers, what this proxy has there, and how long
//! its work took.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// What an upstream told of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests running there, from everybody.
    pub running: u32,
    /// Requests waiting there, from everybody.
    pub waiting: u32,
    /// How many it runs at a time.
    pub slots: u32,
}

/// After this long half of what was heard of others' requests is believed; the rest is their usual number.
const BELIEVED_FOR: Duration = Duration::from_millis(500);
/// The weight of the newest in what is usual.
const NEWEST: f64 = 0.15;
/// Up to how many times its slots an upstream is filled.
const MAX_FILL: f64 = 3.0;

#[derive(Clone, Default)]
struct Known {
    /// Others' requests when last heard, and when.
    others: f64,
    heard_at: Duration,
    /// Others' requests on the whole.
    usual: f64,
    /// How long work takes there where nobody waits, in milliseconds.
    work_ms: f64,
}

/// One upstream's load as this proxy knows it.
#[derive(Default)]
pub struct LoadEstimate(Mutex<Known>);

impl LoadEstimate {
    fn with<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn copy(&self) -> LoadEstimate {
        LoadEstimate(Mutex::new(self.with(|known| known.clone())))
    }

    /// Takes in what an answer told; `own` is how many of those requests are this proxy's.
    ///
    /// ```
    /// use request_routing::{LoadEstimate, Load};
    /// use std::time::Duration;
    /// let load_estimate = LoadEstimate::default();
    /// load_estimate.record_load(Duration::ZERO, Load { running: 3, waiting: 2, slots: 3 }, 1);
    /// assert_eq!(load_estimate.others(Duration::ZERO).round(), 4.0);
    /// ```
    pub fn record_load(&self, now: Duration, load: Load, own: u32) {
        let others = f64::from((load.running + load.waiting).saturating_sub(own));
        self.with(|known| {
            let weight = if known.heard_at.is_zero() {
                1.0
            } else {
                NEWEST
            };
            known.usual += weight * (others - known.usual);
            known.others = others;
            known.heard_at = now;
        });
    }

    /// Takes in how long a request was there, among `load` requests on `slots`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let load_estimate = request_routing::LoadEstimate::default();
    /// load_estimate.record_work_time(Duration::from_millis(200), 6.0, 3);
    /// assert_eq!(load_estimate.work_ms(50.0), 100.0, "half of it went to waiting");
    /// ```
    pub fn record_work_time(&self, took: Duration, load: f64, slots: u32) {
        let alone = took.as_secs_f64() * 1000.0 / (load / f64::from(slots.max(1))).max(1.0);
        self.with(|known| {
            let weight = if known.work_ms == 0.0 { 1.0 } else { NEWEST };
            known.work_ms += weight * (alone - known.work_ms);
        });
    }

    /// How long work takes there, in milliseconds; `fallback` where none was seen.
    ///
    /// ```
    /// assert_eq!(request_routing::LoadEstimate::default().work_ms(50.0), 50.0);
    /// ```
    pub fn work_ms(&self, fallback: f64) -> f64 {
        self.with(|known| {
            if known.work_ms > 0.0 {
                known.work_ms
            } else {
                fallback
            }
        })
    }

    /// How many requests of others are there by the best guess.
    ///
    /// ```
    /// assert_eq!(request_routing::LoadEstimate::default().others(std::time::Duration::ZERO), 0.0);
    /// ```
    pub fn others(&self, now: Duration) -> f64 {
        self.with(|known| {
            let age = now.saturating_sub(known.heard_at).as_secs_f64() / BELIEVED_FOR.as_secs_f64();
            let believed = 1.0 / (1.0 + age);
            believed * known.others + (1.0 - believed) * known.usual
        })
    }

    /// What one more request there would cost in milliseconds, `far_ms` away, with `own` of this proxy there already;
    /// none where it is filled.
    ///
    /// ```
    /// use std::time::Duration;
    /// let load_estimate = request_routing::LoadEstimate::default();
    /// let cost = |own| load_estimate.cost_ms(Duration::ZERO, own, 3, 0.0, 100.0);
    /// assert!(cost(0) < cost(1) && cost(3) > Some(100.0));
    /// assert_eq!(cost(9), None);
    /// ```
    pub fn cost_ms(
        &self,
        now: Duration,
        own: u32,
        slots: u32,
        far_ms: f64,
        fallback_ms: f64,
    ) -> Option<f64> {
        let slots = f64::from(slots.max(1));
        let fill = (f64::from(own) + self.others(now) + 1.0) / slots;
        let work_ms = self.work_ms(fallback_ms);
        // Nearly full ones grow slower; beyond that a request waits for those before it.
        let slower = 0.25 * fill.min(1.0).powi(2) + (fill - 1.0).max(0.0);
        Some(far_ms + work_ms * (1.0 + slower)).filter(|_| fill <= MAX_FILL)
    }
}
