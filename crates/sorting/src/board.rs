//! What a proxy counts: seats at upstreams, resends of services, tries under way.

use crate::window::Window;
use dashmap::DashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Resends over 10 s: a tenth of first sends, and this many more over all proxies together.
const RESEND_ALLOWANCE: u64 = 10;
const MOST_TRIES: usize = 100_000;
const MOST_EJECTION: Duration = Duration::from_secs(8);

/// Counts for one service at this proxy.
#[derive(Default)]
pub struct Desk {
    pub firsts: Window,
    pub resends: Window,
    pub serving: AtomicU64,
}

impl Desk {
    /// Takes a resend if the last 10 s allow it; `proxies` share the allowance.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (desk, now) = (sorting::Desk::default(), Duration::from_secs(1));
    /// assert!(!desk.take_resend(now, 13), "nothing was sent yet");
    /// (0..10).for_each(|_| desk.firsts.add(now));
    /// assert!(desk.take_resend(now, 13));
    /// assert!(!desk.take_resend(now, 13));
    /// ```
    pub fn take_resend(&self, now: Duration, proxies: usize) -> bool {
        let allowed = self.firsts.sum(now) / 10 + RESEND_ALLOWANCE / proxies.max(1) as u64;
        let free = self.resends.sum(now) < allowed;
        if free {
            self.resends.add(now);
        }
        free
    }
}

/// Counts for one upstream at this proxy.
#[derive(Default)]
pub struct Seat {
    pub inFlight: AtomicU32,
    failures: AtomicU32,
    ejectedUntilMs: AtomicU64,
    nextWarmMs: AtomicU64,
}

impl Seat {
    /// Takes one place if fewer than `most` are taken.
    ///
    /// ```
    /// let seat = sorting::Seat::default();
    /// assert!(seat.sit(1));
    /// assert!(!seat.sit(1));
    /// seat.rise();
    /// assert!(seat.sit(1));
    /// ```
    pub fn sit(&self, most: u32) -> bool {
        let more = |taken: u32| Some(taken + 1).filter(|taken| *taken <= most);
        self.inFlight.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).is_ok()
    }

    /// Gives the place back.
    ///
    /// ```
    /// let seat = sorting::Seat::default();
    /// seat.sit(1);
    /// seat.rise();
    /// assert_eq!(seat.inFlight.load(std::sync::atomic::Ordering::Relaxed), 0);
    /// ```
    pub fn rise(&self) {
        let fewer = |taken: u32| Some(taken.saturating_sub(1));
        let _ = self.inFlight.fetch_update(Ordering::AcqRel, Ordering::Acquire, fewer);
    }

    /// Notes how a call went; an instance that fails is left out for a growing while.
    ///
    /// ```
    /// use std::time::Duration;
    /// let seat = sorting::Seat::default();
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
        let span = (Duration::from_millis(250) * 2u32.pow(failures)).min(MOST_EJECTION);
        self.ejectedUntilMs.fetch_max((now + span).as_millis() as u64, Ordering::AcqRel);
    }

    /// True while it is left out.
    ///
    /// ```
    /// assert!(!sorting::Seat::default().is_ejected(std::time::Duration::ZERO));
    /// ```
    pub fn is_ejected(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.ejectedUntilMs.load(Ordering::Acquire)
    }

    /// Takes one first send of a cold upstream's warm-up rate, of which this proxy has one part in `proxies`;
    /// `rank` staggers the proxies, so that not all begin at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// let seat = sorting::Seat::default();
    /// let now = Duration::from_secs(5);
    /// assert!(!seat.warm_up(now, 2, 4, 1), "the second of four waits its turn");
    /// assert!(seat.warm_up(now + Duration::from_millis(500), 2, 4, 1));
    /// assert!(!seat.warm_up(now + Duration::from_millis(600), 2, 4, 1));
    /// assert!(seat.warm_up(now + Duration::from_millis(2500), 2, 4, 1));
    /// ```
    pub fn warm_up(&self, now: Duration, perSecond: u64, proxies: u64, rank: u64) -> bool {
        let nowMs = now.as_millis() as u64;
        let everyMs = 1000 * proxies.max(1) / perSecond.max(1);
        let firstMs = nowMs + everyMs * rank / proxies.max(1);
        let due = self
            .nextWarmMs
            .compare_exchange(0, firstMs.max(1), Ordering::AcqRel, Ordering::Acquire)
            .map(|_| firstMs)
            .unwrap_or_else(|known| known);
        nowMs >= due
            && self
                .nextWarmMs
                .compare_exchange(due.max(1), nowMs + everyMs, Ordering::AcqRel, Ordering::Acquire)
                .is_ok()
    }
}

/// All that one proxy counts.
#[derive(Default)]
pub struct Board {
    desks: DashMap<String, Arc<Desk>>,
    seats: DashMap<String, Arc<Seat>>,
    tries: DashMap<String, Duration>,
}

impl Board {
    /// The counts of a service.
    ///
    /// ```
    /// let board = sorting::Board::default();
    /// board.desk("s").firsts.add(std::time::Duration::ZERO);
    /// assert_eq!(board.desk("s").firsts.sum(std::time::Duration::ZERO), 1);
    /// ```
    pub fn desk(&self, service: &str) -> Arc<Desk> {
        let known = self.desks.get(service).map(|desk| desk.clone());
        known.unwrap_or_else(|| self.desks.entry(service.to_owned()).or_default().clone())
    }

    /// The counts of an upstream, by instance.
    ///
    /// ```
    /// let board = sorting::Board::default();
    /// board.seat("a").sit(1);
    /// assert!(!board.seat("a").sit(1));
    /// ```
    pub fn seat(&self, instance: &str) -> Arc<Seat> {
        let known = self.seats.get(instance).map(|seat| seat.clone());
        known.unwrap_or_else(|| self.seats.entry(instance.to_owned()).or_default().clone())
    }

    /// Notes a try id; false where it was noted before and its life is not over, or too many are under way.
    ///
    /// ```
    /// use std::time::Duration;
    /// let board = sorting::Board::default();
    /// assert!(board.open_try("t", Duration::ZERO, Duration::from_secs(1)));
    /// assert!(!board.open_try("t", Duration::ZERO, Duration::from_secs(1)));
    /// board.sweep(Duration::from_secs(2), |_| true);
    /// assert!(board.open_try("t", Duration::from_secs(2), Duration::from_secs(1)));
    /// ```
    pub fn open_try(&self, tryId: &str, now: Duration, life: Duration) -> bool {
        if self.tries.len() >= MOST_TRIES {
            return false;
        }
        let until = now + life;
        let mut fresh = false;
        self.tries
            .entry(tryId.to_owned())
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

    /// Forgets tries whose life is over and upstreams that are gone.
    ///
    /// ```
    /// let board = sorting::Board::default();
    /// board.seat("a").note(std::time::Duration::ZERO, false);
    /// board.sweep(std::time::Duration::ZERO, |instance| instance != "a");
    /// assert!(!board.seat("a").is_ejected(std::time::Duration::ZERO));
    /// ```
    pub fn sweep(&self, now: Duration, present: impl Fn(&str) -> bool) {
        self.tries.retain(|_, until| *until > now);
        self.seats.retain(|instance, seat| present(instance) || seat.inFlight.load(Ordering::Acquire) > 0);
    }
}
