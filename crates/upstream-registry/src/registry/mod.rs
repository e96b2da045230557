//! The registry of upstreams. It is soft state, which every heartbeat restores.
//!
//! This module holds the entries and applies heartbeats; its parts are [`digest`](mod@digest) (gossip in short form),
//! `addresses` (who owns an address), `departures` (draining and deregistered upstreams) and `expiry`.

mod addresses;
mod departures;
mod digest;
mod expiry;
mod upstream_id;

pub use digest::{digest, is_deregistered_digest};

use departures::{Departed, deregistered_record};
use protocol::{Upstream, UpstreamState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use upstream_id::UpstreamId;

/// Most upstreams kept.
const MAX_UPSTREAMS: usize = 20_000;

/// What is known of one upstream.
struct Entry {
    /// Its last record; the ages in it are zero, they follow from the times below.
    upstream: Upstream,
    last_heard_at: Duration,
    /// On this process's clock, in milliseconds; it may lie before the start of the process.
    registered_at_ms: i64,
    /// Deregistered because another one took its address, not by its own announcement.
    is_evicted: bool,
    /// Since when it is known here that it drains or deregistered, by its own announcement.
    departing_since: Option<Duration>,
}

impl Entry {
    /// The upstream's record with its ages as of `now`.
    fn record(&self, now: Duration) -> Upstream {
        let age_ms = now.saturating_sub(self.last_heard_at).as_millis() as u64;
        let registered_ms_ago = (now.as_millis() as i64 - self.registered_at_ms).max(0) as u64;
        Upstream {
            age_ms,
            registered_ms_ago,
            ..self.upstream.clone()
        }
    }
}

/// All upstreams known here.
#[derive(Default)]
pub struct UpstreamRegistry {
    entries: BTreeMap<UpstreamId, Entry>,
    /// The present owner of each address.
    address_owners: BTreeMap<String, UpstreamId>,
    /// Upstreams that changed since the last call of [`UpstreamRegistry::drain_changes`].
    changed: BTreeSet<UpstreamId>,
    /// By the identity half of a digest.
    ids_by_digest: BTreeMap<u64, UpstreamId>,
    /// Departed upstreams without an entry, which no delayed heartbeat may bring back.
    departed: BTreeMap<UpstreamId, Departed>,
}

impl UpstreamRegistry {
    /// Applies a heartbeat, received directly or gossiped; true where it was newer than what was known.
    ///
    /// ```
    /// use upstream_registry::UpstreamRegistry;
    /// use protocol::{Upstream, UpstreamState};
    /// use std::time::Duration;
    /// let heartbeat = |instance: &str, heartbeat_number, state: UpstreamState| Upstream {
    ///     service: "slots".into(), instance: instance.into(), address: "127.0.0.1:9".into(),
    ///     heartbeat_number, state: state.into(), ..Default::default()
    /// };
    /// let (mut registry, now) = (UpstreamRegistry::default(), Duration::from_secs(9));
    /// assert!(registry.apply_heartbeat(now, heartbeat("a", 1, UpstreamState::Ready)));
    /// assert!(registry.apply_heartbeat(now, heartbeat("a", 2, UpstreamState::Draining)));
    /// assert!(!registry.apply_heartbeat(now, heartbeat("a", 1, UpstreamState::Ready)), "an older heartbeat changes nothing");
    /// registry.apply_heartbeat(now, heartbeat("a", 3, UpstreamState::Ready));
    /// assert_eq!(registry.snapshot(now)[0].state(), UpstreamState::Draining, "draining is final");
    /// registry.apply_heartbeat(now + Duration::from_secs(1), heartbeat("b", 1, UpstreamState::Ready));
    /// assert_eq!(registry.snapshot(now)[0].state(), UpstreamState::Deregistered, "its address has a new owner");
    /// ```
    pub fn apply_heartbeat(&mut self, now: Duration, heartbeat: Upstream) -> bool {
        let id = UpstreamId::of(&heartbeat);
        let regains_address = self.regains_address(now, &id, &heartbeat);
        if !self.is_acceptable(&id, &heartbeat, regains_address) {
            return false;
        }
        let last_heard_at = now.saturating_sub(Duration::from_millis(heartbeat.age_ms));
        let departed_state = self.departed_state(&id, heartbeat.heartbeat_number);
        // One that regains its address begins anew.
        let previous = self.entries.get(&id).filter(|_| !regains_address);
        let registered_at_ms = registered_at_ms(now, &heartbeat, previous);
        let state = heartbeat
            .state()
            .max(previous.map_or(UpstreamState::Ready, |entry| entry.upstream.state()))
            .max(departed_state);
        let departing_since = previous
            .filter(|entry| entry.upstream.state() == state)
            .and_then(|entry| entry.departing_since)
            .unwrap_or(now);
        let mut upstream = Upstream {
            state: state.into(),
            age_ms: 0,
            registered_ms_ago: 0,
            ..heartbeat
        };
        let is_unchanged = previous
            .is_some_and(|entry| published_part(&entry.upstream) == published_part(&upstream));
        if let Some(loser) = self.claim_address(&id, &upstream, registered_at_ms) {
            self.evict(&loser);
        }
        let is_evicted = self.has_lost_address(&id, &upstream);
        if is_evicted {
            upstream.state = UpstreamState::Deregistered.into();
        }
        let departs = upstream.state() != UpstreamState::Ready && !is_evicted;
        self.ids_by_digest
            .insert(digest::identity(digest(&upstream)), id.clone());
        self.departed.remove(&id);
        let entry = Entry {
            upstream,
            last_heard_at,
            registered_at_ms,
            is_evicted,
            departing_since: departs.then_some(departing_since),
        };
        self.entries.insert(id.clone(), entry);
        if !is_unchanged || is_evicted {
            self.changed.insert(id);
        }
        true
    }

    /// False for a heartbeat that is older than what is known, comes from a deregistered upstream, or exceeds the
    /// capacity of the registry.
    fn is_acceptable(&self, id: &UpstreamId, heartbeat: &Upstream, regains_address: bool) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return self.entries.len() < MAX_UPSTREAMS;
        };
        let is_deregistered =
            entry.upstream.state() == UpstreamState::Deregistered && !regains_address;
        !is_deregistered && heartbeat.heartbeat_number > entry.upstream.heartbeat_number
    }

    /// The record of one upstream as it is known here, with its ages as of `now`. Of the argument only the service and
    /// the instance count.
    ///
    /// ```
    /// let upstream = protocol::Upstream { instance: "a".into(), heartbeat_number: 1, ..Default::default() };
    /// assert_eq!(upstream_registry::UpstreamRegistry::default().get(std::time::Duration::ZERO, &upstream), None);
    /// ```
    pub fn get(&self, now: Duration, upstream: &Upstream) -> Option<Upstream> {
        let entry = self.entries.get(&UpstreamId::of(upstream))?;
        Some(entry.record(now))
    }

    /// The upstreams that changed since the last call; a dropped one comes as deregistered.
    ///
    /// ```
    /// let mut registry = upstream_registry::UpstreamRegistry::default();
    /// assert!(registry.drain_changes(std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn drain_changes(&mut self, now: Duration) -> Vec<Upstream> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|id| match self.entries.get(&id) {
                Some(entry) => entry.record(now),
                None => deregistered_record(&id),
            })
            .collect()
    }

    /// The records of all upstreams, with their ages as of `now`.
    ///
    /// ```
    /// assert!(upstream_registry::UpstreamRegistry::default().snapshot(std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn snapshot(&self, now: Duration) -> Vec<Upstream> {
        self.entries
            .values()
            .map(|entry| entry.record(now))
            .collect()
    }

    /// The last records of one service's upstreams, without their ages and without a copy.
    ///
    /// ```
    /// use protocol::Upstream;
    /// let mut registry = upstream_registry::UpstreamRegistry::default();
    /// [("a", "1"), ("b", "2"), ("c", "3")].into_iter().for_each(|(service, instance)| {
    ///     let (service, instance, address) = (service.into(), instance.into(), instance.into());
    ///     registry.apply_heartbeat(Default::default(), Upstream { service, instance, address, heartbeat_number: 1, ..Upstream::default() });
    /// });
    /// assert_eq!(registry.of_service("b").map(|upstream| upstream.instance.as_str()).collect::<Vec<_>>(), ["2"]);
    /// ```
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.entries_of_service(service)
            .map(|entry| &entry.upstream)
    }

    /// As [`UpstreamRegistry::of_service`], but only upstreams that were heard of within this time span.
    ///
    /// ```
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let (mut registry, second) = (upstream_registry::UpstreamRegistry::default(), Duration::from_secs(1));
    /// let upstream = Upstream { service: "s".into(), instance: "a".into(), heartbeat_number: 1, ..Upstream::default() };
    /// registry.apply_heartbeat(second, upstream);
    /// assert_eq!(registry.heard_within("s", 2 * second, 3 * second).count(), 1);
    /// assert_eq!(registry.heard_within("s", 4 * second, 3 * second).count(), 0);
    /// ```
    pub fn heard_within(
        &self,
        service: &str,
        now: Duration,
        span: Duration,
    ) -> impl Iterator<Item = &Upstream> {
        self.entries_of_service(service)
            .filter(move |entry| now.saturating_sub(entry.last_heard_at) < span)
            .map(|entry| &entry.upstream)
    }

    fn entries_of_service(&self, service: &str) -> impl Iterator<Item = &Entry> {
        self.entries
            .range(UpstreamId::first_of_service(service)..)
            .take_while(move |(id, _)| id.service == service)
            .map(|(_, entry)| entry)
    }
}

/// When the upstream was first heard of, by its sender or here, whichever is earlier.
fn registered_at_ms(now: Duration, heartbeat: &Upstream, previous: Option<&Entry>) -> i64 {
    let age_ms = heartbeat.registered_ms_ago.min(i64::MAX as u64 / 2) as i64;
    let by_sender_ms = now.as_millis() as i64 - age_ms;
    previous.map_or(by_sender_ms, |entry| {
        entry.registered_at_ms.min(by_sender_ms)
    })
}

/// The part of a record whose changes are published to the data plane.
fn published_part(upstream: &Upstream) -> Upstream {
    Upstream {
        heartbeat_number: 0,
        holder: 0,
        holds: Vec::new(),
        released: Vec::new(),
        ..upstream.clone()
    }
}
