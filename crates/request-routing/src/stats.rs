//! What a proxy counts: seats at upstreams, resends of services, tries under way.

use crate::admission_queue::{AdmissionQueue, WakeUp};
use crate::load::{Load, LoadEstimate};
use crate::sliding_window::SlidingWindow;
use dashmap::DashMap;
use protocol::KeyLoad;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Resends over 10 s: a tenth of first sends, and this many more over all proxies together.
const RETRY_ALLOWANCE: u64 = 10;
const MAX_ATTEMPTS: usize = 100_000;
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// An upstream that sealed that it has no room is believed for so long.
const FULL_FOR: Duration = Duration::from_millis(100);

/// Counts for one service at this proxy.
#[derive(Default)]
pub struct ServiceStats {
    pub first_sends: SlidingWindow,
    pub retries: SlidingWindow,
    /// Denials for want of room.
    pub rejected: SlidingWindow,
    pub serving: AtomicU64,
    /// Requests by equal parts of the keys, where keys are numbers; made with the first.
    keys: OnceLock<Vec<AtomicU32>>,
    waitlist: Mutex<AdmissionQueue>,
    /// How many wait, so that nobody takes the lock to find out that nobody does.
    waiting: AtomicUsize,
}

impl ServiceStats {
    /// Takes a resend if the last 10 s allow it; `proxies` share the allowance.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (desk, now) = (request_routing::ServiceStats::default(), Duration::from_secs(1));
    /// assert!(!desk.take_retry(now, 13), "nothing was sent yet");
    /// (0..10).for_each(|_| desk.first_sends.add(now));
    /// assert!(desk.take_retry(now, 13));
    /// assert!(!desk.take_retry(now, 13));
    /// ```
    pub fn take_retry(&self, now: Duration, proxies: usize) -> bool {
        let allowed = self.first_sends.sum(now) / 10 + RETRY_ALLOWANCE / proxies.max(1) as u64;
        let free = self.retries.sum(now) < allowed;
        if free {
            self.retries.add(now);
        }
        free
    }

    /// How much was denied for each that was taken, over the last 10 s.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (desk, now) = (request_routing::ServiceStats::default(), Duration::from_secs(1));
    /// (0..10).for_each(|_| desk.first_sends.add(now));
    /// (0..20).for_each(|_| desk.rejected.add(now));
    /// assert_eq!(desk.pressure(now), 2.0);
    /// ```
    pub fn pressure(&self, now: Duration) -> f64 {
        self.rejected.sum(now) as f64 / self.first_sends.sum(now).max(1) as f64
    }

    /// Counts a request for a key.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").count_key(65_535);
    /// stats.service("s").count_key(65_534);
    /// let told = stats.drain_key_loads();
    /// assert_eq!((told[0].parts.as_slice(), told[0].counts.as_slice()), (&[1023][..], &[2][..]));
    /// assert!(stats.drain_key_loads().is_empty(), "told once");
    /// ```
    pub fn count_key(&self, key: u32) {
        let parts = self.keys.get_or_init(|| {
            (0..key_space::LOAD_BUCKET_COUNT)
                .map(|_| AtomicU32::new(0))
                .collect()
        });
        let part =
            parts.get((key / (key_space::KEY_COUNT / key_space::LOAD_BUCKET_COUNT)) as usize);
        part.into_iter().for_each(|part| {
            part.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn line<T>(&self, change: impl FnOnce(&mut AdmissionQueue) -> T) -> T {
        let mut waitlist = self.waitlist.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = change(&mut waitlist);
        self.waiting.store(waitlist.len(), Ordering::Release);
        changed
    }

    /// Takes a place in the waitlist; none where it is full.
    ///
    /// ```
    /// let desk = request_routing::ServiceStats::default();
    /// let ticket = desk.join(1, None, request_routing::WakeUp::default()).unwrap();
    /// assert!(desk.has_waiting(None));
    /// desk.leave(ticket);
    /// assert!(!desk.has_waiting(None));
    /// ```
    pub fn join(&self, key: u64, wants: Option<&str>, wake_up: WakeUp) -> Option<u64> {
        self.line(|line| line.join(key, wants, wake_up))
    }

    /// Gives a place in the waitlist up.
    ///
    /// ```
    /// request_routing::ServiceStats::default().leave(7);
    /// ```
    pub fn leave(&self, ticket: u64) {
        self.line(|line| line.leave(ticket));
    }

    /// How many wait.
    ///
    /// ```
    /// assert_eq!(request_routing::ServiceStats::default().waiting(), 0);
    /// ```
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// True where one who wants the same waits already.
    ///
    /// ```
    /// assert!(!request_routing::ServiceStats::default().has_waiting(None));
    /// ```
    pub fn has_waiting(&self, wants: Option<&str>) -> bool {
        self.waiting() > 0 && self.line(|line| line.has(wants))
    }

    /// Rings for the first who would take a seat at this upstream, or anywhere.
    ///
    /// ```
    /// request_routing::ServiceStats::default().wake(Some("a"));
    /// ```
    pub fn wake(&self, freed: Option<&str>) {
        let first = Some(())
            .filter(|()| self.waiting() > 0)
            .and_then(|()| self.line(|line| line.first(freed)));
        // Outside the lock: whoever is called may look at the list.
        first.iter().for_each(WakeUp::wake);
    }
}

/// Counts for one upstream at this proxy.
#[derive(Default)]
pub struct UpstreamStats {
    pub in_flight: AtomicU32,
    /// What is known of its load, where it tells any.
    pub load_estimate: LoadEstimate,
    /// Another instance answered at its address: it is not there any more, whatever the view says.
    pub replaced: AtomicBool,
    failures: AtomicU32,
    ejected_until_ms: AtomicU64,
    next_warm_ms: AtomicU64,
    /// The beat whose room is being used, and how many places were taken when it was heard.
    told: AtomicU64,
    /// The most free places it ever told of.
    room: AtomicU32,
    /// It sealed that it has no room: until when it is believed, and how many places were taken then.
    full_until_ms: AtomicU64,
    full_at: AtomicU32,
}

impl UpstreamStats {
    /// How many places may be taken by this proxy, which is number `rank` of `proxies`: its part, rounded up, of all
    /// that the upstream ever told of at once, or what it had when this beat was heard and its part of the room the beat told
    /// of, whichever is more.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (seat, now) = (request_routing::UpstreamStats::default(), Duration::from_secs(1));
    /// assert_eq!(seat.most(now, 1, 8, (2, 0)), 4, "half of eight");
    /// (0..4).for_each(|_| assert!(seat.try_acquire(4)));
    /// assert_eq!(seat.most(now, 2, 4, (2, 0)), 6, "the other one sends nothing");
    /// (0..2).for_each(|_| assert!(seat.try_acquire(6)));
    /// assert_eq!(seat.most(now, 2, 4, (2, 0)), 6, "the same beat: its room is not counted anew");
    /// assert_eq!(seat.most(now, 3, 0, (2, 0)), 6, "no more room than it has");
    /// seat.full(now, 1);
    /// assert_eq!(seat.most(now, 3, 9, (2, 0)), 5, "it denied the sixth");
    /// ```
    pub fn most(&self, now: Duration, beat: u64, free: u32, (proxies, rank): (u32, u32)) -> u32 {
        let part = |all: u32| all / proxies.max(1) + u32::from(rank < all % proxies.max(1));
        let number = (beat & 0xffff_ffff) | 1 << 31;
        let told = self.told.load(Ordering::Acquire);
        let taken = if told >> 32 == number {
            (told & 0xffff_ffff) as u32
        } else {
            let taken = self.in_flight.load(Ordering::Acquire);
            self.told
                .store(number << 32 | u64::from(taken), Ordering::Release);
            taken
        };
        let room = self.room.fetch_max(free, Ordering::AcqRel).max(free);
        let full = (now.as_millis() as u64) < self.full_until_ms.load(Ordering::Acquire);
        // Each may have one where there are fewer places than proxies; the upstream denies what is too much.
        let fair = room.div_ceil(proxies.max(1));
        let most = taken.saturating_add(part(free)).max(fair);
        if full {
            most.min(self.full_at.load(Ordering::Acquire))
        } else {
            most
        }
    }

    /// It sealed that it did not run what was sent: it has no room beyond the others that are there. `least` places are
    /// left to it all the same, where it may have denied for another reason.
    ///
    /// ```
    /// request_routing::UpstreamStats::default().full(std::time::Duration::ZERO, 0);
    /// ```
    pub fn full(&self, now: Duration, least: u32) {
        self.full_at.store(
            self.in_flight
                .load(Ordering::Acquire)
                .saturating_sub(1)
                .max(least),
            Ordering::Release,
        );
        self.full_until_ms
            .store((now + FULL_FOR).as_millis() as u64, Ordering::Release);
    }

    /// Requests there by the best guess, this proxy's and others'.
    ///
    /// ```
    /// let seat = request_routing::UpstreamStats::default();
    /// seat.try_acquire(1);
    /// assert_eq!(seat.load(std::time::Duration::ZERO), 1.0);
    /// ```
    pub fn load(&self, now: Duration) -> f64 {
        f64::from(self.in_flight.load(Ordering::Acquire)) + self.load_estimate.others(now)
    }

    /// Takes in what it told of its load.
    ///
    /// ```
    /// let seat = request_routing::UpstreamStats::default();
    /// seat.record_load(std::time::Duration::ZERO, request_routing::Load { running: 2, waiting: 0, slots: 3 });
    /// assert_eq!(seat.load(std::time::Duration::ZERO), 2.0);
    /// ```
    pub fn record_load(&self, now: Duration, load: Load) {
        self.load_estimate.record_load(
            now,
            load,
            self.in_flight.load(Ordering::Acquire).saturating_sub(1),
        );
    }

    /// Takes one place if fewer than `most` are taken.
    ///
    /// ```
    /// let seat = request_routing::UpstreamStats::default();
    /// assert!(seat.try_acquire(1));
    /// assert!(!seat.try_acquire(1));
    /// seat.release();
    /// assert!(seat.try_acquire(1));
    /// ```
    pub fn try_acquire(&self, most: u32) -> bool {
        let more = |taken: u32| Some(taken + 1).filter(|taken| *taken <= most);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .is_ok()
    }

    fn copy(&self) -> UpstreamStats {
        let word = |from: &AtomicU64| AtomicU64::new(from.load(Ordering::Acquire));
        let count = |from: &AtomicU32| AtomicU32::new(from.load(Ordering::Acquire));
        UpstreamStats {
            in_flight: count(&self.in_flight),
            load_estimate: self.load_estimate.copy(),
            replaced: AtomicBool::new(self.replaced.load(Ordering::Acquire)),
            failures: count(&self.failures),
            ejected_until_ms: word(&self.ejected_until_ms),
            next_warm_ms: word(&self.next_warm_ms),
            told: word(&self.told),
            room: count(&self.room),
            full_until_ms: word(&self.full_until_ms),
            full_at: count(&self.full_at),
        }
    }

    /// Gives the place back.
    ///
    /// ```
    /// let seat = request_routing::UpstreamStats::default();
    /// seat.try_acquire(1);
    /// seat.release();
    /// assert_eq!(seat.in_flight.load(std::sync::atomic::Ordering::Relaxed), 0);
    /// ```
    pub fn release(&self) {
        let fewer = |taken: u32| Some(taken.saturating_sub(1));
        let _ = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fewer);
    }

    /// Notes how a call went; an instance that fails is left out for a growing while.
    ///
    /// ```
    /// use std::time::Duration;
    /// let seat = request_routing::UpstreamStats::default();
    /// seat.note(Duration::ZERO, false);
    /// assert!(seat.is_ejected(Duration::from_millis(100)));
    /// assert!(!seat.is_ejected(Duration::from_secs(1)));
    /// ```
    pub fn note(&self, now: Duration, fine: bool) {
        if fine {
            self.failures.store(0, Ordering::Release);
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::AcqRel).min(6);
        let span = (Duration::from_millis(250) * 2u32.pow(failures)).min(MAX_EJECTION);
        self.ejected_until_ms
            .fetch_max((now + span).as_millis() as u64, Ordering::AcqRel);
    }

    /// True while it is left out.
    ///
    /// ```
    /// assert!(!request_routing::UpstreamStats::default().is_ejected(std::time::Duration::ZERO));
    /// ```
    pub fn is_ejected(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.ejected_until_ms.load(Ordering::Acquire)
    }

    /// Takes one first send of a cold upstream's warm-up rate, of which this proxy has one part in `proxies`;
    /// `rank` staggers the proxies, so that not all begin at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// let seat = request_routing::UpstreamStats::default();
    /// let now = Duration::from_secs(5);
    /// assert!(!seat.warm_up(now, 2, 4, 1), "the second of four waits its turn");
    /// assert!(seat.warm_up(now + Duration::from_millis(500), 2, 4, 1));
    /// assert!(!seat.warm_up(now + Duration::from_millis(600), 2, 4, 1));
    /// assert!(seat.warm_up(now + Duration::from_millis(2500), 2, 4, 1));
    /// ```
    pub fn warm_up(&self, now: Duration, per_second: u64, proxies: u64, rank: u64) -> bool {
        let now_ms = now.as_millis() as u64;
        let every_ms = 1000 * proxies.max(1) / per_second.max(1);
        let first_ms = now_ms + every_ms * rank / proxies.max(1);
        let due = self
            .next_warm_ms
            .compare_exchange(0, first_ms.max(1), Ordering::AcqRel, Ordering::Acquire)
            .map(|_| first_ms)
            .unwrap_or_else(|known| known);
        now_ms >= due
            && self
                .next_warm_ms
                .compare_exchange(
                    due.max(1),
                    now_ms + every_ms,
                    Ordering::AcqRel,
                    Ordering::Acquire,
                )
                .is_ok()
    }
}

/// What one proxy counts for one service: now, and over the last 10 s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCounters {
    pub service: String,
    pub serving: u64,
    pub waiting: u64,
    pub first_sends: u64,
    pub retries: u64,
    pub rejected: u64,
}

/// All that one proxy counts.
#[derive(Default)]
pub struct ProxyStats {
    desks: DashMap<String, Arc<ServiceStats>>,
    seats: DashMap<String, Arc<UpstreamStats>>,
    attempts: DashMap<String, Duration>,
}

impl ProxyStats {
    /// The counts of a service.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").first_sends.add(std::time::Duration::ZERO);
    /// assert_eq!(stats.service("s").first_sends.sum(std::time::Duration::ZERO), 1);
    /// ```
    pub fn service(&self, service: &str) -> Arc<ServiceStats> {
        let known = self.desks.get(service).map(|desk| desk.clone());
        known.unwrap_or_else(|| self.desks.entry(service.to_owned()).or_default().clone())
    }

    /// The counts of an upstream, by instance.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.upstream("a").try_acquire(1);
    /// assert!(!stats.upstream("a").try_acquire(1));
    /// ```
    pub fn upstream(&self, instance: &str) -> Arc<UpstreamStats> {
        let known = self.seats.get(instance).map(|seat| seat.clone());
        known.unwrap_or_else(|| self.seats.entry(instance.to_owned()).or_default().clone())
    }

    /// Notes a try id; false where it was noted before and its life is not over, or too many are under way.
    ///
    /// ```
    /// use std::time::Duration;
    /// let stats = request_routing::ProxyStats::default();
    /// assert!(stats.open_attempt("t", Duration::ZERO, Duration::from_secs(1)));
    /// assert!(!stats.open_attempt("t", Duration::ZERO, Duration::from_secs(1)));
    /// stats.sweep(Duration::from_secs(2), |_| true);
    /// assert!(stats.open_attempt("t", Duration::from_secs(2), Duration::from_secs(1)));
    /// ```
    pub fn open_attempt(&self, attempt_id: &str, now: Duration, life: Duration) -> bool {
        if self.attempts.len() >= MAX_ATTEMPTS {
            return false;
        }
        let until = now + life;
        let mut fresh = false;
        self.attempts
            .entry(attempt_id.to_owned())
            .and_modify(|known| {
                fresh = *known <= now;
                *known = until.max(*known);
            })
            .or_insert_with(|| {
                fresh = true;
                until
            });
        fresh
    }

    /// The same counts, on a board of their own: what is taken there is not taken here.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.copy().upstream("a").try_acquire(1);
    /// assert!(stats.upstream("a").try_acquire(1));
    /// ```
    pub fn copy(&self) -> ProxyStats {
        let copy = ProxyStats::default();
        self.desks.iter().for_each(|desk| {
            let serving = AtomicU64::new(desk.serving.load(Ordering::Acquire));
            copy.desks.insert(
                desk.key().clone(),
                Arc::new(ServiceStats {
                    serving,
                    ..ServiceStats::default()
                }),
            );
        });
        self.seats.iter().for_each(|seat| {
            copy.seats.insert(seat.key().clone(), Arc::new(seat.copy()));
        });
        copy
    }

    /// Every service's counts, in the order of their names.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.service("s").first_sends.add(std::time::Duration::ZERO);
    /// assert_eq!(stats.service_counters(std::time::Duration::ZERO)[0].first_sends, 1);
    /// ```
    pub fn service_counters(&self, now: Duration) -> Vec<ServiceCounters> {
        let counters = |service: &str, desk: &ServiceStats| ServiceCounters {
            service: service.to_owned(),
            serving: desk.serving.load(Ordering::Acquire),
            waiting: desk.waiting() as u64,
            first_sends: desk.first_sends.sum(now),
            retries: desk.retries.sum(now),
            rejected: desk.rejected.sum(now),
        };
        let mut all: Vec<ServiceCounters> = self
            .desks
            .iter()
            .map(|desk| counters(desk.key(), &desk))
            .collect();
        all.sort_by(|a, b| a.service.cmp(&b.service));
        all
    }

    /// Upstreams set aside at this moment.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.upstream("a").note(std::time::Duration::ZERO, false);
    /// assert_eq!(stats.ejected(std::time::Duration::ZERO), ["a"]);
    /// ```
    pub fn ejected(&self, now: Duration) -> Vec<String> {
        let out =
            |seat: &UpstreamStats| seat.is_ejected(now) || seat.replaced.load(Ordering::Acquire);
        let mut all: Vec<String> = self
            .seats
            .iter()
            .filter(|seat| out(seat))
            .map(|seat| seat.key().clone())
            .collect();
        all.sort();
        all
    }

    /// Requests by key since the last call, for each service that has any.
    ///
    /// ```
    /// assert!(request_routing::ProxyStats::default().drain_key_loads().is_empty());
    /// ```
    pub fn drain_key_loads(&self) -> Vec<KeyLoad> {
        let drained = self.desks.iter().filter_map(|desk| {
            let counts = desk
                .keys
                .get()?
                .iter()
                .map(|count| count.swap(0, Ordering::Relaxed));
            let (parts, counts) = (0..).zip(counts).filter(|(_, count)| *count > 0).unzip();
            Some(KeyLoad {
                service: desk.key().clone(),
                parts,
                counts,
            })
        });
        drained.filter(|load| !load.parts.is_empty()).collect()
    }

    /// Rings once for every service: there may be room that nobody here gave back.
    ///
    /// ```
    /// request_routing::ProxyStats::default().wake_all();
    /// ```
    pub fn wake_all(&self) {
        let desks: Vec<Arc<ServiceStats>> = self.desks.iter().map(|desk| desk.clone()).collect();
        desks.iter().for_each(|desk| desk.wake(None));
    }

    /// Forgets tries whose life is over and upstreams that are gone.
    ///
    /// ```
    /// let stats = request_routing::ProxyStats::default();
    /// stats.upstream("a").note(std::time::Duration::ZERO, false);
    /// stats.sweep(std::time::Duration::ZERO, |instance| instance != "a");
    /// assert!(!stats.upstream("a").is_ejected(std::time::Duration::ZERO));
    /// ```
    pub fn sweep(&self, now: Duration, present: impl Fn(&str) -> bool) {
        self.attempts.retain(|_, until| *until > now);
        self.seats.retain(|instance, seat| {
            present(instance) || seat.in_flight.load(Ordering::Acquire) > 0
        });
    }
}
