//! The roll of upstreams. Soft state: every beat tells it again.

use protocol::{Departure, Upstream};
use random::stable_hash_parts;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Takes work.
pub const READY: u32 = 0;
/// Said that it will go: no new work.
pub const DRAINING: u32 = 1;
/// Signed off, or its address was taken over.
pub const DEREGISTERED: u32 = 2;

/// How long a gone instance is remembered, so that a late beat does not bring it back.
const REMEMBERED: Duration = Duration::from_secs(60);
/// A tenant that was not heard for so long may have been told of late: see [`UpstreamRegistry::comes_back`]. Longer than a beat and
/// the batch that it is told on with.
const TENANT_SILENT: Duration = Duration::from_millis(1800);
/// Most upstreams kept.
const MAX_UPSTREAMS: usize = 20_000;

type Id = (String, String);

struct Entry {
    upstream: Upstream,
    heard_at: Duration,
    /// On this process's clock, in milliseconds; it may lie before the start of the process.
    born_at_ms: i64,
    /// Gone because another one took its address, not by its own word.
    evicted: bool,
    /// Since when it is known here that it leaves or is gone, by its own word.
    departing_since: Option<Duration>,
}

/// An upstream that departed and has no entry any more, or never had one.
struct Departed {
    condition: u32,
    beat: u64,
    known_since: Duration,
}

/// All upstreams known here.
#[derive(Default)]
pub struct UpstreamRegistry {
    entries: BTreeMap<Id, Entry>,
    /// Who holds an address at present.
    addresses: BTreeMap<String, Id>,
    changed: BTreeSet<Id>,
    /// Whom the first half of a mark means.
    marked: BTreeMap<u64, Id>,
    /// Whom no late beat may bring back, though there is no entry; without a service where none is known.
    departed: BTreeMap<Id, Departed>,
}

/// 64 bits that stand for an upstream in batches: the first half for who it is, the second for what else is told of it.
///
/// ```
/// let warm = protocol::Upstream { instance: "a".into(), warm: true, beat: 3, ..Default::default() };
/// let cold = protocol::Upstream { warm: false, ..warm.clone() };
/// assert_eq!(upstream_registry::digest(&warm), upstream_registry::digest(&protocol::Upstream { beat: 4, ..warm.clone() }));
/// assert_ne!(upstream_registry::digest(&warm), upstream_registry::digest(&cold));
/// assert_eq!(upstream_registry::digest(&warm) >> 32, upstream_registry::digest(&cold) >> 32);
/// ```
pub fn digest(upstream: &Upstream) -> u64 {
    let who = stable_hash_parts([upstream.service.as_str(), "/", &upstream.instance]) >> 32;
    let numbers = format!(
        "/{}/{}/{}",
        upstream.free_slots, upstream.warm, upstream.condition
    );
    let what = match upstream.condition {
        // How it was before its end no longer matters.
        DEREGISTERED => 0,
        _ => {
            stable_hash_parts([upstream.address.as_str(), "/", &upstream.locality, &numbers]) >> 32
        }
    };
    who << 32 | what
}

/// True for the mark of an upstream that is gone.
///
/// ```
/// let gone = protocol::Upstream { condition: upstream_registry::DEREGISTERED, ..Default::default() };
/// assert!(upstream_registry::is_deregistered_digest(upstream_registry::digest(&gone)));
/// assert!(!upstream_registry::is_deregistered_digest(upstream_registry::digest(&protocol::Upstream::default())));
/// ```
pub fn is_deregistered_digest(mark: u64) -> bool {
    mark & u64::from(u32::MAX) == 0
}

impl UpstreamRegistry {
    /// Takes in a beat, direct or told on; true where it was news.
    ///
    /// ```
    /// use upstream_registry::{DEREGISTERED, DRAINING, READY, UpstreamRegistry};
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let beat = |instance: &str, beat, condition| Upstream {
    ///     service: "slots".into(), instance: instance.into(), address: "127.0.0.1:9".into(),
    ///     beat, condition, ..Default::default()
    /// };
    /// let (mut registry, now) = (UpstreamRegistry::default(), Duration::from_secs(9));
    /// assert!(registry.apply_heartbeat(now, beat("a", 1, READY)));
    /// assert!(registry.apply_heartbeat(now, beat("a", 2, DRAINING)));
    /// assert!(!registry.apply_heartbeat(now, beat("a", 1, READY)), "an older beat changes nothing");
    /// registry.apply_heartbeat(now, beat("a", 3, READY));
    /// assert_eq!(registry.snapshot(now)[0].condition, DRAINING, "leaving is for good");
    /// registry.apply_heartbeat(now + Duration::from_secs(1), beat("b", 1, READY));
    /// assert_eq!(registry.snapshot(now)[0].condition, DEREGISTERED, "its address has a new tenant");
    /// ```
    pub fn apply_heartbeat(&mut self, now: Duration, told: Upstream) -> bool {
        let id = (told.service.clone(), told.instance.clone());
        let born_at_ms = now.as_millis() as i64 - told.born_ms.min(i64::MAX as u64 / 2) as i64;
        let heard_at = now.saturating_sub(Duration::from_millis(told.age_ms));
        let back = self.comes_back(now, &id, &told);
        let known = self.entries.get(&id);
        if known.is_some_and(|entry| {
            (entry.upstream.condition == DEREGISTERED && !back) || told.beat <= entry.upstream.beat
        }) || (known.is_none() && self.entries.len() >= MAX_UPSTREAMS)
        {
            return false;
        }
        let known = known.filter(|_| !back);
        let departed = self.departed_condition(&id, told.beat);
        let condition = told
            .condition
            .max(known.map(|entry| entry.upstream.condition).unwrap_or(READY))
            .max(departed);
        let departing_since = known.filter(|entry| entry.upstream.condition == condition);
        let departing_since = departing_since
            .and_then(|entry| entry.departing_since)
            .unwrap_or(now);
        let born_at_ms = known
            .map(|entry| entry.born_at_ms.min(born_at_ms))
            .unwrap_or(born_at_ms);
        let upstream = Upstream {
            condition,
            age_ms: 0,
            born_ms: 0,
            ..told
        };
        let same = known.is_some_and(|entry| Self::news(&entry.upstream) == Self::news(&upstream));
        self.settle_address(&id, &upstream, born_at_ms)
            .into_iter()
            .for_each(|loser| {
                self.end(&loser);
            });
        let lost = self
            .addresses
            .get(&upstream.address)
            .is_some_and(|tenant| *tenant != id);
        let condition = if lost { DEREGISTERED } else { condition };
        let upstream = Upstream {
            condition,
            ..upstream
        };
        self.marked.insert(digest(&upstream) >> 32, id.clone());
        let departing_since = Some(departing_since).filter(|_| condition != READY && !lost);
        self.departed.remove(&id);
        self.entries.insert(
            id.clone(),
            Entry {
                upstream,
                heard_at,
                born_at_ms,
                evicted: lost,
                departing_since,
            },
        );
        if !same || lost {
            self.changed.insert(id);
        }
        true
    }

    /// Takes in from a batch that an upstream beat and is still as its mark tells; false where its record is wanted.
    ///
    /// ```
    /// use upstream_registry::UpstreamRegistry;
    /// use std::time::Duration;
    /// let (ms, mut registry) = (Duration::from_millis, UpstreamRegistry::default());
    /// let told = protocol::Upstream { instance: "a".into(), beat: 1, ..Default::default() };
    /// let mark = upstream_registry::digest(&told);
    /// assert!(!registry.refresh_from_digest(ms(1000), mark, 1, ms(0)), "nobody knows it");
    /// registry.apply_heartbeat(ms(1000), told);
    /// assert!(registry.refresh_from_digest(ms(3000), mark, 2, ms(200)));
    /// assert_eq!((registry.snapshot(ms(3000))[0].beat, registry.snapshot(ms(3000))[0].age_ms), (2, 200));
    /// assert!(!registry.refresh_from_digest(ms(3500), mark ^ 1, 3, ms(0)), "something about it changed");
    /// assert!(registry.refresh_from_digest(ms(3500), mark ^ 1, 2, ms(0)), "what is known is no older");
    /// ```
    pub fn refresh_from_digest(
        &mut self,
        now: Duration,
        told: u64,
        beat: u64,
        age: Duration,
    ) -> bool {
        let Some(entry) = self
            .marked
            .get(&(told >> 32))
            .and_then(|id| self.entries.get_mut(id))
        else {
            return false;
        };
        if beat <= entry.upstream.beat {
            return true;
        }
        if digest(&entry.upstream) != told {
            return false;
        }
        if entry.upstream.condition != DEREGISTERED {
            entry.upstream.beat = beat;
            entry.heard_at = now.saturating_sub(age).max(entry.heard_at);
        }
        true
    }

    /// The upstream that a mark stands for, with its ages.
    ///
    /// ```
    /// assert_eq!(upstream_registry::UpstreamRegistry::default().find_by_digest(std::time::Duration::ZERO, 7), None);
    /// ```
    pub fn find_by_digest(&self, now: Duration, mark: u64) -> Option<Upstream> {
        let entry = self
            .marked
            .get(&(mark >> 32))
            .and_then(|id| self.entries.get(id));
        entry.map(|entry| Self::aged(entry, now))
    }

    /// True where it lost its address to one that is silent, and goes on beating: then that one is the past. So a beat
    /// that lay somewhere for long can't end a live upstream for good.
    fn comes_back(&self, now: Duration, id: &Id, told: &Upstream) -> bool {
        let evicted = self
            .entries
            .get(id)
            .is_some_and(|entry| entry.evicted && told.beat > entry.upstream.beat);
        let tenant = self
            .addresses
            .get(&told.address)
            .filter(|tenant| *tenant != id);
        let silent = tenant
            .and_then(|tenant| self.entries.get(tenant))
            .is_none_or(|tenant| {
                tenant.upstream.condition == DEREGISTERED || now >= tenant.heard_at + TENANT_SILENT
            });
        evicted && silent && told.condition != DEREGISTERED
    }

    /// One upstream as it is known here, with its ages.
    ///
    /// ```
    /// let upstream = protocol::Upstream { instance: "a".into(), beat: 1, ..Default::default() };
    /// assert_eq!(upstream_registry::UpstreamRegistry::default().get(std::time::Duration::ZERO, &upstream), None);
    /// ```
    pub fn get(&self, now: Duration, upstream: &Upstream) -> Option<Upstream> {
        let id = (upstream.service.clone(), upstream.instance.clone());
        self.entries.get(&id).map(|entry| Self::aged(entry, now))
    }

    /// Which part of a beat is worth telling the data plane.
    fn news(upstream: &Upstream) -> Upstream {
        Upstream {
            beat: 0,
            holder: 0,
            holds: Vec::new(),
            released: Vec::new(),
            ..upstream.clone()
        }
    }

    /// An address belongs to its youngest registration that is not gone; gives the one that lost it.
    fn settle_address(&mut self, id: &Id, upstream: &Upstream, born_at_ms: i64) -> Option<Id> {
        let tenant = self
            .addresses
            .get(&upstream.address)
            .filter(|tenant| *tenant != id)
            .cloned();
        let older = tenant
            .as_ref()
            .and_then(|tenant| self.entries.get(tenant))
            .is_none_or(|entry| {
                entry.upstream.condition == DEREGISTERED
                    || self.entries.get(id).is_some_and(|mine| mine.evicted)
                    || (entry.born_at_ms, entry.upstream.instance.as_str())
                        < (born_at_ms, id.1.as_str())
            });
        let older = older && (upstream.condition != DEREGISTERED || tenant.is_none());
        if older {
            self.addresses.insert(upstream.address.clone(), id.clone());
        }
        tenant.filter(|_| older)
    }

    fn end(&mut self, id: &Id) {
        if let Some(entry) = self
            .entries
            .get_mut(id)
            .filter(|entry| entry.upstream.condition != DEREGISTERED)
        {
            entry.upstream.condition = DEREGISTERED;
            entry.evicted = true;
            entry.departing_since = None;
            self.changed.insert(id.clone());
        }
    }

    /// Drops the silent, and forgets those long gone.
    ///
    /// ```
    /// use upstream_registry::UpstreamRegistry;
    /// use std::time::Duration;
    /// let mut registry = UpstreamRegistry::default();
    /// registry.apply_heartbeat(Duration::ZERO, protocol::Upstream { instance: "a".into(), beat: 1, ..Default::default() });
    /// registry.expire_silent(Duration::from_secs(4), Duration::from_secs(3));
    /// assert!(registry.snapshot(Duration::from_secs(4)).is_empty());
    /// assert_eq!(registry.drain_changes(Duration::from_secs(4))[0].condition, upstream_registry::DEREGISTERED);
    /// ```
    pub fn expire_silent(&mut self, now: Duration, silent_for: Duration) {
        let over = |entry: &Entry| {
            let patience = if entry.upstream.condition == DEREGISTERED {
                REMEMBERED
            } else {
                silent_for
            };
            now >= entry.heard_at + patience
        };
        self.departed
            .retain(|_, departed| now < departed.known_since + REMEMBERED);
        let due: Vec<Id> = self
            .entries
            .iter()
            .filter(|(_, entry)| over(entry))
            .map(|(id, _)| id.clone())
            .collect();
        due.into_iter().for_each(|id| {
            if let Some(entry) = self.entries.remove(&id) {
                self.addresses.retain(|_, tenant| *tenant != id);
                self.marked.retain(|_, marked| *marked != id);
                let departed = entry
                    .departing_since
                    .filter(|_| entry.upstream.condition != DEREGISTERED);
                departed.into_iter().for_each(|known_since| {
                    let Upstream {
                        condition, beat, ..
                    } = entry.upstream;
                    self.departed.insert(
                        id.clone(),
                        Departed {
                            condition,
                            beat,
                            known_since,
                        },
                    );
                });
                if entry.upstream.condition != DEREGISTERED {
                    self.changed.insert(id);
                }
            }
        });
    }

    /// What changed since the last call; a dropped upstream comes as gone.
    ///
    /// ```
    /// let mut registry = upstream_registry::UpstreamRegistry::default();
    /// assert!(registry.drain_changes(std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn drain_changes(&mut self, now: Duration) -> Vec<Upstream> {
        std::mem::take(&mut self.changed)
            .into_iter()
            .map(|id| {
                let known = self.entries.get(&id).map(|entry| Self::aged(entry, now));
                known.unwrap_or_else(|| Self::forgotten(&id))
            })
            .collect()
    }

    /// Everything known, with ages.
    ///
    /// ```
    /// assert!(upstream_registry::UpstreamRegistry::default().snapshot(std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn snapshot(&self, now: Duration) -> Vec<Upstream> {
        self.entries
            .values()
            .map(|entry| Self::aged(entry, now))
            .collect()
    }

    /// All of one service as last told, without their ages and without a copy.
    ///
    /// ```
    /// use protocol::Upstream;
    /// let mut registry = upstream_registry::UpstreamRegistry::default();
    /// [("a", "1"), ("b", "2"), ("c", "3")].into_iter().for_each(|(service, instance)| {
    ///     let (service, instance, address) = (service.into(), instance.into(), instance.into());
    ///     registry.apply_heartbeat(Default::default(), Upstream { service, instance, address, beat: 1, ..Upstream::default() });
    /// });
    /// assert_eq!(registry.of_service("b").map(|upstream| upstream.instance.as_str()).collect::<Vec<_>>(), ["2"]);
    /// ```
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        let first = (service.to_owned(), String::new());
        let mine = self
            .entries
            .range(first..)
            .take_while(move |((other, _), _)| other == service);
        mine.map(|(_, entry)| &entry.upstream)
    }

    /// Those of one service that were heard of within this span, as last told, without a copy.
    ///
    /// ```
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let (mut registry, second) = (upstream_registry::UpstreamRegistry::default(), Duration::from_secs(1));
    /// let upstream = Upstream { service: "s".into(), instance: "a".into(), beat: 1, ..Upstream::default() };
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
        let first = (service.to_owned(), String::new());
        let mine = self
            .entries
            .range(first..)
            .take_while(move |((other, _), _)| other == service);
        mine.filter(move |(_, entry)| now.saturating_sub(entry.heard_at) < span)
            .map(|(_, entry)| &entry.upstream)
    }

    /// Those that will not come back, heard of lately: told again, since they tell themselves no more.
    ///
    /// ```
    /// assert!(upstream_registry::UpstreamRegistry::default().recently_deregistered(std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn recently_deregistered(&self, now: Duration) -> Vec<Upstream> {
        let fresh = |entry: &&Entry| {
            entry.upstream.condition == DEREGISTERED
                && now < entry.heard_at + Duration::from_secs(8)
        };
        self.entries
            .values()
            .filter(fresh)
            .map(|entry| Self::aged(entry, now))
            .collect()
    }

    /// Takes in that an upstream leaves or is gone, as another node knows it; false where there is no room to remember
    /// one that is not known here. Without a service it is whoever has this instance id, now or later.
    ///
    /// ```
    /// use upstream_registry::{DEREGISTERED, READY, UpstreamRegistry};
    /// use protocol::{Departure, Upstream};
    /// use std::time::Duration;
    /// let (mut registry, now) = (UpstreamRegistry::default(), Duration::from_secs(9));
    /// assert!(registry.record_departure(now, &Departure { instance: "a".into(), condition: DEREGISTERED, beat: 7, ..Default::default() }));
    /// registry.apply_heartbeat(now, Upstream { service: "s".into(), instance: "a".into(), beat: 7, ..Default::default() });
    /// assert_eq!(registry.snapshot(now)[0].condition, DEREGISTERED, "a late beat brings nobody back");
    /// ```
    pub fn record_departure(&mut self, now: Duration, departure: &Departure) -> bool {
        let Departure {
            service,
            instance,
            condition,
            beat,
        } = departure;
        if *condition == READY || *condition > DEREGISTERED {
            return true;
        }
        let named = (service.clone(), instance.clone());
        let known: Vec<Id> = if service.is_empty() {
            self.entries
                .keys()
                .filter(|(_, known)| known == instance)
                .cloned()
                .collect()
        } else {
            Some(&named)
                .filter(|id| self.entries.contains_key(*id))
                .cloned()
                .into_iter()
                .collect()
        };
        known
            .iter()
            .for_each(|id| self.depart_known(now, id, *condition, *beat));
        if known.is_empty() && self.departed_condition(&named, *beat) < *condition {
            let room = self.departed.len() < MAX_UPSTREAMS || self.departed.contains_key(&named);
            if room {
                // Whoever follows this node may still know it.
                self.changed.insert(named.clone());
                self.departed.insert(
                    named,
                    Departed {
                        condition: *condition,
                        beat: *beat,
                        known_since: now,
                    },
                );
            }
            return room;
        }
        true
    }

    fn depart_known(&mut self, now: Duration, id: &Id, condition: u32, beat: u64) {
        let known = self.entries.get_mut(id);
        let departs = known
            .filter(|known| known.upstream.condition < condition && known.upstream.beat <= beat);
        let Some(entry) = departs else { return };
        entry.upstream.beat = beat;
        entry.upstream.condition = condition;
        entry.departing_since = Some(now);
        if condition == DEREGISTERED {
            entry.heard_at = now;
        }
        self.changed.insert(id.clone());
    }

    /// What a departed upstream without an entry was last. Leaving is for good; one that was gone may have lost its
    /// address to another by mistake, and goes on beating.
    fn departed_condition(&self, id: &Id, beat: u64) -> u32 {
        let nameless = (String::new(), id.1.clone());
        let known = [id, &nameless]
            .into_iter()
            .filter_map(|id| self.departed.get(id));
        let known =
            known.filter(|departed| departed.condition == DRAINING || beat <= departed.beat);
        known
            .map(|departed| departed.condition)
            .max()
            .unwrap_or(READY)
    }

    /// Those that departed and have no entry: whoever still knows one of them is to forget it. Without a service it is
    /// whoever has this instance id.
    ///
    /// ```
    /// let (mut registry, now) = (upstream_registry::UpstreamRegistry::default(), std::time::Duration::ZERO);
    /// registry.record_departure(now, &protocol::Departure { instance: "a".into(), condition: 1, ..Default::default() });
    /// assert_eq!(registry.departed_without_entry().map(|gone| gone.condition).collect::<Vec<_>>(), [upstream_registry::DEREGISTERED]);
    /// assert_eq!(registry.drain_changes(now).len(), 1);
    /// ```
    pub fn departed_without_entry(&self) -> impl Iterator<Item = Upstream> {
        self.departed.keys().map(Self::forgotten)
    }

    /// What is told of an upstream that has no entry.
    fn forgotten((service, instance): &Id) -> Upstream {
        let (service, instance) = (service.clone(), instance.clone());
        Upstream {
            service,
            instance,
            condition: DEREGISTERED,
            ..Upstream::default()
        }
    }

    /// Those that said within this span that they leave or are gone.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (mut registry, at) = (upstream_registry::UpstreamRegistry::default(), Duration::from_secs(9));
    /// let leaves = protocol::Upstream { beat: 1, condition: upstream_registry::DRAINING, ..Default::default() };
    /// registry.apply_heartbeat(at, leaves);
    /// assert_eq!(registry.recent_departures(at, Duration::from_secs(5)).len(), 1);
    /// assert!(registry.recent_departures(at + Duration::from_secs(5), Duration::from_secs(5)).is_empty());
    /// ```
    pub fn recent_departures(&self, now: Duration, within: Duration) -> Vec<Departure> {
        let known = self.entries.iter().filter_map(|(id, entry)| {
            let since = entry.departing_since?;
            Some((id, entry.upstream.condition, entry.upstream.beat, since))
        });
        let departed = self.departed.iter();
        let departed = departed
            .map(|(id, departed)| (id, departed.condition, departed.beat, departed.known_since));
        let recent = known
            .chain(departed)
            .filter(|(.., since)| now < *since + within);
        let told =
            |((service, instance), condition, beat, _): (&Id, u32, u64, Duration)| Departure {
                service: service.clone(),
                instance: instance.clone(),
                condition,
                beat,
            };
        recent.map(told).collect()
    }

    fn aged(entry: &Entry, now: Duration) -> Upstream {
        let age_ms = now.saturating_sub(entry.heard_at).as_millis() as u64;
        let born_ms = (now.as_millis() as i64 - entry.born_at_ms).max(0) as u64;
        Upstream {
            age_ms,
            born_ms,
            ..entry.upstream.clone()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a postmaster that just started is told, in whatever order: the live tenant keeps the address.
    #[test]
    fn a_gone_instance_takes_no_address_back() {
        let told = |instance: &str, condition, born_ms| Upstream {
            service: "s".into(),
            instance: instance.into(),
            address: "127.0.0.1:9".into(),
            beat: 4,
            condition,
            born_ms,
            ..Upstream::default()
        };
        let (old, new) = (
            told("unit-3", DEREGISTERED, 90_000),
            told("unit-27", READY, 40_000),
        );
        [[old.clone(), new.clone()], [new.clone(), old.clone()]]
            .into_iter()
            .for_each(|order| {
                let mut registry = UpstreamRegistry::default();
                order.into_iter().for_each(|upstream| {
                    registry.apply_heartbeat(Duration::from_secs(1), upstream);
                });
                let live = registry
                    .snapshot(Duration::from_secs(1))
                    .into_iter()
                    .find(|upstream| upstream.instance == "unit-27");
                assert_eq!(live.map(|upstream| upstream.condition), Some(READY));
            });
    }

    /// A beat of an old instance lay in a frozen process, and was told as news when its address had a new tenant.
    #[test]
    fn a_live_upstream_comes_back_from_a_late_beat_of_its_address() {
        let told = |instance: &str, beat| Upstream {
            service: "s".into(),
            instance: instance.into(),
            address: "127.0.0.1:9".into(),
            beat,
            ..Upstream::default()
        };
        let ms = Duration::from_millis;
        let mut registry = UpstreamRegistry::default();
        registry.apply_heartbeat(ms(1000), told("new", 1));
        registry.apply_heartbeat(ms(1200), told("old", 9));
        assert_eq!(
            registry
                .get(ms(1200), &told("new", 0))
                .map(|new| new.condition),
            Some(DEREGISTERED),
            "it seems the older"
        );
        assert!(
            !registry.apply_heartbeat(ms(1500), told("new", 2)),
            "for a moment it can't be known"
        );
        assert!(registry.apply_heartbeat(ms(3000), told("new", 5)));
        assert_eq!(
            registry
                .get(ms(3000), &told("new", 0))
                .map(|new| new.condition),
            Some(READY)
        );
        assert_eq!(
            registry
                .get(ms(3000), &told("old", 0))
                .map(|old| old.condition),
            Some(DEREGISTERED)
        );
    }

    /// Ages beyond the start of this process still tell the younger from the older.
    #[test]
    fn the_younger_registration_has_the_address() {
        let told = |instance: &str, born_ms| Upstream {
            service: "s".into(),
            instance: instance.into(),
            address: "127.0.0.1:9".into(),
            beat: 4,
            born_ms,
            ..Upstream::default()
        };
        let mut registry = UpstreamRegistry::default();
        registry.apply_heartbeat(Duration::from_secs(1), told("a-younger", 40_000));
        registry.apply_heartbeat(Duration::from_secs(1), told("b-older", 90_000));
        let ready: Vec<String> = registry
            .snapshot(Duration::from_secs(1))
            .into_iter()
            .filter(|upstream| upstream.condition == READY)
            .map(|upstream| upstream.instance)
            .collect();
        assert_eq!(ready, ["a-younger"]);
    }
}
