//! An upstream's load as one proxy estimates it: what the upstream reported with its responses, what this proxy has in
//! flight there, and how long its work took.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The load that an upstream reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests running there, from everybody.
    pub running: u32,
    /// Requests waiting there, from everybody.
    pub waiting: u32,
    /// How many it runs at a time.
    pub slots: u32,
}

/// A report this old weighs half; the other half is the average of others' requests.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// The weight of the newest value in the moving averages.
const NEWEST_WEIGHT: f64 = 0.15;
/// Up to how many times its slots an upstream is filled.
const MAX_FILL: f64 = 3.0;
/// How much slower work runs at an upstream whose slots are just all in use.
const FULL_SLOWDOWN: f64 = 0.25;

#[derive(Clone, Default)]
struct State {
    /// Others' requests by the last report.
    others: f64,
    reported_at: Duration,
    /// Moving average of others' requests.
    average_others: f64,
    /// Moving average of how long work takes there where nothing waits, in milliseconds; 0 until any was seen.
    work_ms: f64,
}

/// How much of the time that a request took was work, where it was one of `load` requests on `slots` slots.
pub(crate) fn work_time(took: Duration, load: f64, slots: u32) -> Duration {
    took.div_f64((load / f64::from(slots.max(1))).max(1.0))
}

/// One upstream's load as this proxy estimates it.
#[derive(Default)]
pub struct LoadEstimate(Mutex<State>);

impl LoadEstimate {
    fn with_state<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn snapshot(&self) -> LoadEstimate {
        LoadEstimate(Mutex::new(self.with_state(|state| state.clone())))
    }

    /// Records a report; `own` is how many of the reported requests are this proxy's, beside the one that it came with.
    ///
    /// ```
    /// use request_routing::{LoadEstimate, Load};
    /// use std::time::Duration;
    /// let estimate = LoadEstimate::default();
    /// estimate.record_load(Duration::ZERO, Load { running: 3, waiting: 2, slots: 3 }, 1);
    /// assert_eq!(estimate.others_in_flight(Duration::ZERO).round(), 4.0);
    /// ```
    pub fn record_load(&self, now: Duration, load: Load, own: u32) {
        let others = f64::from((load.running + load.waiting).saturating_sub(own));
        self.with_state(|state| {
            let weight = if state.reported_at.is_zero() {
                1.0
            } else {
                NEWEST_WEIGHT
            };
            state.average_others += weight * (others - state.average_others);
            state.others = others;
            state.reported_at = now;
        });
    }

    /// Records how long a request took there, among `load` requests on `slots` slots.
    ///
    /// ```
    /// use std::time::Duration;
    /// let estimate = request_routing::LoadEstimate::default();
    /// estimate.record_duration(Duration::from_millis(200), 6.0, 3);
    /// assert_eq!(estimate.work_ms(50.0), 100.0, "half of it went to waiting");
    /// ```
    pub fn record_duration(&self, took: Duration, load: f64, slots: u32) {
        let alone = work_time(took, load, slots).as_secs_f64() * 1000.0;
        self.with_state(|state| {
            let weight = if state.work_ms == 0.0 {
                1.0
            } else {
                NEWEST_WEIGHT
            };
            state.work_ms += weight * (alone - state.work_ms);
        });
    }

    /// How long work takes there, in milliseconds; `default_ms` where none was seen.
    ///
    /// ```
    /// assert_eq!(request_routing::LoadEstimate::default().work_ms(50.0), 50.0);
    /// ```
    pub fn work_ms(&self, default_ms: f64) -> f64 {
        self.with_state(|state| {
            if state.work_ms > 0.0 {
                state.work_ms
            } else {
                default_ms
            }
        })
    }

    /// How many requests of others are there by the best estimate.
    ///
    /// ```
    /// assert_eq!(request_routing::LoadEstimate::default().others_in_flight(std::time::Duration::ZERO), 0.0);
    /// ```
    pub fn others_in_flight(&self, now: Duration) -> f64 {
        self.with_state(|state| {
            let age = now.saturating_sub(state.reported_at).as_secs_f64()
                / REPORT_HALF_LIFE.as_secs_f64();
            let weight = 1.0 / (1.0 + age);
            weight * state.others + (1.0 - weight) * state.average_others
        })
    }

    /// How many requests of others it executes in a second; none where it never reported any load. The request that a
    /// report comes with is this proxy's. `slots` and `default_work_ms` are as for [`LoadEstimate::cost_ms`].
    ///
    /// ```
    /// use request_routing::{Load, LoadEstimate};
    /// use std::time::Duration;
    /// let estimate = LoadEstimate::default();
    /// let now = Duration::from_secs(1);
    /// assert_eq!(estimate.others_per_second(now, 3, 100.0), None);
    /// estimate.record_load(now, Load { running: 3, waiting: 2, slots: 3 }, 1);
    /// assert_eq!(estimate.others_per_second(now, 3, 100.0), Some(30.0), "three slots of 100 ms each");
    /// ```
    pub fn others_per_second(
        &self,
        now: Duration,
        slots: u32,
        default_work_ms: f64,
    ) -> Option<f64> {
        let was_reported = self.with_state(|state| !state.reported_at.is_zero());
        let others = Some(self.others_in_flight(now)).filter(|_| was_reported)?;
        let used_slots = ((others - 1.0).max(0.0) / f64::from(slots.max(1))).min(1.0);
        Some(used_slots * self.max_rate(slots, default_work_ms))
    }

    /// How many requests a second it can execute on all its slots.
    pub(crate) fn max_rate(&self, slots: u32, default_work_ms: f64) -> f64 {
        f64::from(slots.max(1)) * 1000.0 / self.work_ms(default_work_ms)
    }

    /// What one more request there would cost in milliseconds, with `own` of this proxy in flight there already;
    /// none where the upstream is filled. `distance_ms` is what the way there costs, `default_work_ms` how long work is
    /// taken to last where none was seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// let estimate = request_routing::LoadEstimate::default();
    /// let cost = |own| estimate.cost_ms(Duration::ZERO, own, 3, 0.0, 100.0);
    /// assert!(cost(0) < cost(1) && cost(3) > Some(100.0));
    /// assert_eq!(cost(9), None);
    /// ```
    pub fn cost_ms(
        &self,
        now: Duration,
        own: u32,
        slots: u32,
        distance_ms: f64,
        default_work_ms: f64,
    ) -> Option<f64> {
        let slots = f64::from(slots.max(1));
        let fill = (f64::from(own) + self.others_in_flight(now) + 1.0) / slots;
        let work_ms = self.work_ms(default_work_ms);
        // Nearly full upstreams run slower; beyond that a request waits for those before it.
        let slowdown = FULL_SLOWDOWN * fill.min(1.0).powi(2) + (fill - 1.0).max(0.0);
        Some(distance_ms + work_ms * (1.0 + slowdown)).filter(|_| fill <= MAX_FILL)
    }
}
