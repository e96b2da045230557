//! What one proxy counts for one service, and the service's admission queue.

use crate::admission_queue::{AdmissionQueue, WakeUp};
use crate::key_counters::KeyCounters;
use crate::retry_budget::RetryBudget;
use crate::sliding_window::SlidingWindow;
use protocol::KeyLoad;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Counts for one service at this proxy.
#[derive(Default)]
pub struct ServiceStats {
    /// First sends and the retries that they allow.
    pub retry_budget: RetryBudget,
    /// Requests rejected for lack of capacity.
    pub rejected: SlidingWindow,
    /// Requests admitted here and not answered yet.
    in_progress: AtomicU64,
    key_counters: KeyCounters,
    demand: Mutex<KeyLoad>,
    queue: Mutex<AdmissionQueue>,
    /// The queue's length, so that nobody takes the lock to find it empty.
    queue_length: AtomicUsize,
}

impl ServiceStats {
    /// Counts of a service of which `in_progress` requests are under way, and nothing else is known.
    pub(crate) fn with_in_progress(in_progress: u64) -> Self {
        ServiceStats {
            in_progress: AtomicU64::new(in_progress),
            ..ServiceStats::default()
        }
    }

    /// Requests admitted here and not answered yet.
    ///
    /// ```
    /// assert_eq!(request_routing::ServiceStats::default().in_progress(), 0);
    /// ```
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Admits one request more, where fewer than `max_concurrency` are in progress.
    pub(crate) fn try_admit(&self, max_concurrency: u64) -> bool {
        if self.in_progress.fetch_add(1, Ordering::AcqRel) >= max_concurrency {
            self.release_admission();
            return false;
        }
        true
    }

    pub(crate) fn release_admission(&self) {
        self.in_progress.fetch_sub(1, Ordering::AcqRel);
    }

    /// How many requests were rejected for each one that was sent, over the last 10 s.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (stats, now) = (request_routing::ServiceStats::default(), Duration::from_secs(1));
    /// (0..10).for_each(|_| stats.retry_budget.record_first_send(now));
    /// (0..20).for_each(|_| stats.rejected.add(now));
    /// assert_eq!(stats.rejection_ratio(now), 2.0);
    /// ```
    pub fn rejection_ratio(&self, now: Duration) -> f64 {
        let sent = self.retry_budget.first_sends(now).max(1);
        self.rejected.sum(now) as f64 / sent as f64
    }

    /// Counts a request for a key.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").count_key(65_535);
    /// stats.service("s").count_key(65_534);
    /// let loads = stats.drain_key_loads();
    /// assert_eq!((loads[0].parts.as_slice(), loads[0].counts.as_slice()), (&[1023][..], &[2][..]));
    /// assert!(stats.drain_key_loads().is_empty(), "reported once");
    /// ```
    pub fn count_key(&self, key: u32) {
        self.key_counters.add(key);
    }

    /// Counts a request that may be executed in these regions only.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").count_key(7);
    /// stats.service("s").count_bound(&["north".to_owned()]);
    /// assert_eq!(stats.drain_key_loads()[0].bound[0].count, 1);
    /// ```
    pub fn count_bound(&self, regions: &[String]) {
        self.with_demand(|demand| demand.add_bound(regions, 1));
    }

    /// Records how long a request occupied a slot of its upstream.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").count_key(7);
    /// stats.service("s").record_work(std::time::Duration::from_millis(80));
    /// let loads = stats.drain_key_loads();
    /// assert_eq!((loads[0].ended, loads[0].work_ms), (1, 80));
    /// ```
    pub fn record_work(&self, took: Duration) {
        self.with_demand(|demand| {
            demand.ended = demand.ended.saturating_add(1);
            demand.work_ms += took.as_millis() as u64;
        });
    }

    fn with_demand<T>(&self, use_demand: impl FnOnce(&mut KeyLoad) -> T) -> T {
        use_demand(&mut self.demand.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn drain_key_load(&self, service: &str) -> Option<KeyLoad> {
        let mut load = self.key_counters.drain(service)?;
        load.merge(self.with_demand(std::mem::take));
        Some(load)
    }

    fn with_queue<T>(&self, use_queue: impl FnOnce(&mut AdmissionQueue) -> T) -> T {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let result = use_queue(&mut queue);
        self.queue_length.store(queue.len(), Ordering::Release);
        result
    }

    /// Appends a request to the admission queue and gives its ticket; none where the queue is full.
    ///
    /// ```
    /// let stats = request_routing::ServiceStats::default();
    /// let ticket = stats.enqueue(1, None, request_routing::WakeUp::default()).unwrap();
    /// assert!(stats.has_queued(None));
    /// stats.dequeue(ticket);
    /// assert!(!stats.has_queued(None));
    /// ```
    pub fn enqueue(&self, key_hash: u64, instance: Option<&str>, wake_up: WakeUp) -> Option<u64> {
        self.with_queue(|queue| queue.enqueue(key_hash, instance, wake_up))
    }

    /// Removes a request from the admission queue.
    ///
    /// ```
    /// request_routing::ServiceStats::default().dequeue(7);
    /// ```
    pub fn dequeue(&self, ticket: u64) {
        self.with_queue(|queue| queue.dequeue(ticket));
    }

    /// How many requests are queued.
    ///
    /// ```
    /// assert_eq!(request_routing::ServiceStats::default().queue_length(), 0);
    /// ```
    pub fn queue_length(&self) -> usize {
        self.queue_length.load(Ordering::Acquire)
    }

    /// True where a request that needs the same instance (or that can go to any) is queued already.
    ///
    /// ```
    /// assert!(!request_routing::ServiceStats::default().has_queued(None));
    /// ```
    pub fn has_queued(&self, instance: Option<&str>) -> bool {
        self.queue_length() > 0 && self.with_queue(|queue| queue.has_queued(instance))
    }

    /// Wakes the first queued request that could use a slot freed at this instance, or at any.
    ///
    /// ```
    /// request_routing::ServiceStats::default().wake_first(Some("a"));
    /// ```
    pub fn wake_first(&self, freed_instance: Option<&str>) {
        if self.queue_length() == 0 {
            return;
        }
        let first = self.with_queue(|queue| queue.first_for(freed_instance));
        // Outside the lock: whoever is woken may look at the queue.
        if let Some(wake_up) = first {
            wake_up.wake();
        }
    }
}
