//! All that one proxy counts: by service, by upstream and by attempt.

use crate::attempt_table::AttemptTable;
use crate::health_check::HealthCheck;
use crate::recent_sends::{ColdNews, ColdUpstream};
use crate::service_stats::ServiceStats;
use crate::upstream_stats::UpstreamStats;
use crate::warm_up_checks::HealthReport;
use dashmap::DashMap;
use protocol::KeyLoad;
use std::sync::Arc;
use std::time::Duration;

/// What one proxy counts for one service: now, and over the last 10 s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCounters {
    /// The service's name.
    pub service: String,
    /// Requests in progress now.
    pub in_progress: u64,
    /// Requests in the admission queue now.
    pub queued: u64,
    /// Requests written to an upstream for the first time, over the last 10 s.
    pub first_sends: u64,
    /// Retries over the last 10 s.
    pub retries: u64,
    /// Requests rejected for lack of capacity over the last 10 s.
    pub rejected: u64,
}

/// All that one proxy counts.
#[derive(Default)]
pub struct ProxyStats {
    services: DashMap<String, Arc<ServiceStats>>,
    upstreams: DashMap<String, Arc<UpstreamStats>>,
    attempts: AttemptTable,
}

impl ProxyStats {
    /// The counts of a service.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").rejected.add(std::time::Duration::ZERO);
    /// assert_eq!(stats.service("s").rejected.sum(std::time::Duration::ZERO), 1);
    /// ```
    pub fn service(&self, service: &str) -> Arc<ServiceStats> {
        get_or_default(&self.services, service)
    }

    /// The counts of an upstream, by instance.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.upstream("a").try_acquire(1);
    /// assert!(!stats.upstream("a").try_acquire(1));
    /// ```
    pub fn upstream(&self, instance: &str) -> Arc<UpstreamStats> {
        get_or_default(&self.upstreams, instance)
    }

    /// Records what came of a health check; none where it has no valid answer. A request that waits for it is woken. Gives
    /// the upstream, where it is news that it is cold after this proxy had sent there as to a warm one.
    ///
    /// ```
    /// use request_routing::{HealthCheck, HealthReport, ProxyStats};
    /// use std::time::Duration;
    /// let (stats, now) = (ProxyStats::default(), Duration::from_secs(1));
    /// let check = HealthCheck { upstream: Default::default(), path: "/health".into(), sent_at: now };
    /// stats.on_health_check(&check, now, Some(HealthReport { warm_up_left: Duration::from_secs(2) }));
    /// ```
    pub fn on_health_check(
        &self,
        check: &HealthCheck,
        now: Duration,
        report: Option<HealthReport>,
    ) -> Option<ColdUpstream> {
        let HealthCheck {
            upstream, sent_at, ..
        } = check;
        let sends = self
            .upstream(&upstream.instance)
            .warm_up_checks
            .record_answer(*sent_at, now, report);
        self.service(&upstream.service)
            .wake_first(Some(&upstream.instance));
        Some(ColdUpstream {
            service: upstream.service.clone(),
            instance: upstream.instance.clone(),
            news: ColdNews::HealthAnswer,
            sends: sends?,
        })
    }

    /// Registers an attempt; false where it was registered before and its retention is not over, or too many are.
    ///
    /// ```
    /// use std::time::Duration;
    /// let stats = request_routing::ProxyStats::default();
    /// assert!(stats.register_attempt("t", Duration::ZERO, Duration::from_secs(1)));
    /// assert!(!stats.register_attempt("t", Duration::ZERO, Duration::from_secs(1)));
    /// stats.sweep(Duration::from_secs(2), |_| true);
    /// assert!(stats.register_attempt("t", Duration::from_secs(2), Duration::from_secs(1)));
    /// ```
    pub fn register_attempt(&self, attempt_id: &str, now: Duration, retention: Duration) -> bool {
        self.attempts.register(attempt_id, now, retention)
    }

    /// A copy of the counts as they are: what is taken of the copy is not taken here.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.snapshot().upstream("a").try_acquire(1);
    /// assert!(stats.upstream("a").try_acquire(1));
    /// ```
    pub fn snapshot(&self) -> ProxyStats {
        let copy = ProxyStats::default();
        for entry in self.services.iter() {
            let service_stats = ServiceStats::with_in_progress(entry.in_progress());
            copy.services
                .insert(entry.key().clone(), Arc::new(service_stats));
        }
        for entry in self.upstreams.iter() {
            copy.upstreams
                .insert(entry.key().clone(), Arc::new(entry.snapshot()));
        }
        copy
    }

    /// Every service's counts, in the order of their names.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").retry_budget.record_first_send(std::time::Duration::ZERO);
    /// assert_eq!(stats.service_counters(std::time::Duration::ZERO)[0].first_sends, 1);
    /// ```
    pub fn service_counters(&self, now: Duration) -> Vec<ServiceCounters> {
        let mut counters: Vec<ServiceCounters> = self
            .services
            .iter()
            .map(|entry| ServiceCounters {
                service: entry.key().clone(),
                in_progress: entry.in_progress(),
                queued: entry.queue_length() as u64,
                first_sends: entry.retry_budget.first_sends(now),
                retries: entry.retry_budget.retries(now),
                rejected: entry.rejected.sum(now),
            })
            .collect();
        counters.sort_by(|a, b| a.service.cmp(&b.service));
        counters
    }

    /// Upstreams that are ejected or replaced at this moment, in order.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.upstream("a").ejection.record(std::time::Duration::ZERO, false);
    /// assert_eq!(stats.ejected(std::time::Duration::ZERO), ["a"]);
    /// ```
    pub fn ejected(&self, now: Duration) -> Vec<String> {
        let mut ejected: Vec<String> = self
            .upstreams
            .iter()
            .filter(|entry| entry.ejection.is_ejected(now) || entry.is_replaced())
            .map(|entry| entry.key().clone())
            .collect();
        ejected.sort();
        ejected
    }

    /// Requests by key since the last call, for each service that has any.
    ///
    /// ```
    /// assert!(request_routing::ProxyStats::default().drain_key_loads().is_empty());
    /// ```
    pub fn drain_key_loads(&self) -> Vec<KeyLoad> {
        self.services
            .iter()
            .filter_map(|entry| entry.drain_key_load(entry.key()))
            .collect()
    }

    /// Wakes one queued request of every service: there may be slots that nobody here gave back.
    ///
    /// ```
    /// request_routing::ProxyStats::default().wake_all();
    /// ```
    pub fn wake_all(&self) {
        // Collected first: whoever is woken may look at the map.
        let services: Vec<Arc<ServiceStats>> =
            self.services.iter().map(|entry| entry.clone()).collect();
        for service_stats in services {
            service_stats.wake_first(None);
        }
    }

    /// Forgets attempts whose time is over, and upstreams that are neither present nor in use.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.upstream("a").ejection.record(std::time::Duration::ZERO, false);
    /// stats.sweep(std::time::Duration::ZERO, |instance| instance != "a");
    /// assert!(!stats.upstream("a").ejection.is_ejected(std::time::Duration::ZERO));
    /// ```
    pub fn sweep(&self, now: Duration, is_present: impl Fn(&str) -> bool) {
        self.attempts.sweep(now);
        self.upstreams
            .retain(|instance, stats| is_present(instance) || stats.in_flight() > 0);
    }
}

/// The entry of a name, made where there is none; a known one is found without taking the map's write lock.
fn get_or_default<T: Default>(map: &DashMap<String, Arc<T>>, name: &str) -> Arc<T> {
    let known = map.get(name).map(|entry| entry.clone());
    known.unwrap_or_else(|| map.entry(name.to_owned()).or_default().clone())
}
