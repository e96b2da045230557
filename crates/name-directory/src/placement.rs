//! The placement duty: which locality owns each name, derived from beats, evacuations and editions.

use crate::view::is_allowed_in;
use config::Configuration;
use protocol::{Placement, Reservation, ServiceKeyShares, Tombstone, Upstream, UpstreamState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Placement's time values.
#[derive(Clone, Copy, Debug)]
pub struct PlacementTimes {
    pub min_residence: Duration,
    pub tombstone_lifetime: Duration,
}

/// What placement decides from.
pub struct PlacementInputs<'a> {
    pub configuration: &'a Configuration,
    pub evacuated: &'a [String],
    pub upstreams: &'a [Upstream],
    /// Localities where a proxy is alive.
    pub served: &'a BTreeSet<String>,
}

struct Owned {
    locality: String,
    epoch: u64,
    since: Duration,
}

struct Left {
    to: String,
    epoch: u64,
    since: Duration,
}

/// The holder's working state.
pub struct ZoneAssigner {
    lease_epoch: u64,
    number: u64,
    epoch: u64,
    times: PlacementTimes,
    owned: BTreeMap<String, Owned>,
    /// By name and the locality left.
    left: BTreeMap<(String, String), Left>,
}

impl ZoneAssigner {
    /// Takes the duty over under a claim, from the last placement heard of.
    ///
    /// ```
    /// use std::time::Duration;
    /// let times = name_directory::PlacementTimes { min_residence: Duration::from_secs(4), tombstone_lifetime: Duration::from_secs(60) };
    /// let assigner = name_directory::ZoneAssigner::new(Duration::ZERO, 3, &Default::default(), times);
    /// assert!(assigner.placement(Duration::ZERO, vec![]).reservations.is_empty());
    /// ```
    pub fn new(now: Duration, lease_epoch: u64, last: &Placement, times: PlacementTimes) -> Self {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let owned = last.reservations.iter().map(|known| {
            let Reservation {
                name,
                locality,
                epoch,
                age_ms,
            } = known.clone();
            (
                name,
                Owned {
                    locality,
                    epoch,
                    since: at(age_ms),
                },
            )
        });
        let left = last.tombstones.iter().map(|known| {
            let Tombstone {
                name,
                from,
                to,
                epoch,
                age_ms,
            } = known.clone();
            (
                (name, from),
                Left {
                    to,
                    epoch,
                    since: at(age_ms),
                },
            )
        });
        let (owned, left): (BTreeMap<_, _>, BTreeMap<_, _>) = (owned.collect(), left.collect());
        ZoneAssigner {
            lease_epoch,
            number: 0,
            epoch: lease_epoch << 32,
            times,
            owned,
            left,
        }
    }

    /// Decides anew; true where something moved.
    ///
    /// ```
    /// use name_directory::{PlacementInputs, ZoneAssigner, PlacementTimes};
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let times = PlacementTimes { min_residence: Duration::from_secs(4), tombstone_lifetime: Duration::from_secs(60) };
    /// let configuration = config::Configuration::parse(br#"{"services": [{"name": "s", "work": "once", "homeRegions": ["n"]}],
    ///     "routes": [{"id": "r", "name": "book", "path": "/", "service": "s"}]}"#).unwrap();
    /// let unit = |name: &str, place: &str| Upstream { service: "s".into(), instance: name.into(),
    ///     locality: place.into(), free_slots: 4, warm: true, ..Default::default() };
    /// let upstreams = [unit("a", "n/1"), unit("b", "n/1"), unit("c", "n/2"), unit("d", "s/1"), unit("e", "s/1"),
    ///     unit("f", "s/1")];
    /// let served = ["n/1".to_owned(), "n/2".to_owned(), "s/1".to_owned()].into_iter().collect();
    /// let mut assigner = ZoneAssigner::new(Duration::ZERO, 1, &Default::default(), times);
    /// let needs = |evacuated| PlacementInputs { configuration: &configuration, evacuated, upstreams: &upstreams, served: &served };
    /// assert!(assigner.decide(Duration::ZERO, &needs(&[])));
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).reservations[0].locality, "n/1");
    /// let (one, both) = (["n/1".to_owned()], ["n/1".to_owned(), "n/2".to_owned()]);
    /// assigner.decide(Duration::ZERO, &needs(&one));
    /// let after = assigner.placement(Duration::ZERO, vec![]);
    /// assert_eq!(after.reservations[0].locality, "n/2");
    /// assert_eq!((after.tombstones[0].from.as_str(), after.tombstones[0].to.as_str()), ("n/1", "n/2"));
    /// assigner.decide(Duration::ZERO, &needs(&both));
    /// assert!(assigner.placement(Duration::ZERO, vec![]).reservations.is_empty(), "never outside the home regions");
    /// ```
    pub fn decide(&mut self, now: Duration, needs: &PlacementInputs) -> bool {
        let names = needs.configuration.names();
        let before = self.owned.len() + self.left.len();
        self.owned
            .retain(|name, _| names.contains_key(name.as_str()));
        let lifetime = self.times.tombstone_lifetime;
        self.left.retain(|(name, _), left| {
            names.contains_key(name.as_str()) && now < left.since + lifetime
        });
        let capacity = Self::capacity(needs);
        let dropped = before != self.owned.len() + self.left.len();
        let moved = names.iter().fold(false, |moved, (name, services)| {
            let scores = Self::scores(needs, &capacity, services);
            self.settle(now, name, &scores) || moved
        });
        moved || dropped
    }

    /// Ready upstreams by service and locality: warm ones count for much, cold ones for little.
    fn capacity<'a>(needs: &PlacementInputs<'a>) -> BTreeMap<(&'a str, &'a str), u64> {
        needs
            .upstreams
            .iter()
            .filter(|upstream| upstream.state() == UpstreamState::Ready)
            .fold(BTreeMap::new(), |mut sums, up| {
                *sums
                    .entry((up.service.as_str(), up.locality.as_str()))
                    .or_insert(0) += if up.warm { 100 } else { 1 };
                sums
            })
    }

    /// The localities that may own a name of these services, with what they weigh. One that has no proxy
    /// alive counts only where no other is left.
    fn scores(
        needs: &PlacementInputs,
        capacity: &BTreeMap<(&str, &str), u64>,
        services: &BTreeSet<&str>,
    ) -> BTreeMap<String, u64> {
        let homes = services
            .iter()
            .filter_map(|service| needs.configuration.services.get(*service));
        let homes: Vec<_> = homes.collect();
        let all = capacity
            .iter()
            .filter(|((service, locality), _)| {
                services.contains(service)
                    && !needs
                        .evacuated
                        .iter()
                        .any(|evacuated| evacuated == locality)
                    && homes.iter().all(|home| is_allowed_in(home, locality))
            })
            .fold(
                BTreeMap::new(),
                |mut scores: BTreeMap<String, u64>, ((_, locality), weight)| {
                    *scores.entry((*locality).to_owned()).or_insert(0) += weight;
                    scores
                },
            );
        let served = all
            .iter()
            .filter(|(locality, _)| needs.served.contains(*locality));
        let served: BTreeMap<String, u64> = served
            .map(|(locality, weight)| (locality.clone(), *weight))
            .collect();
        if served.is_empty() { all } else { served }
    }

    /// Keeps or moves one name; the one place where a reservation changes.
    fn settle(&mut self, now: Duration, name: &str, scores: &BTreeMap<String, u64>) -> bool {
        let tie = |locality: &str| random::stable_hash(&format!("{name} {locality}"));
        let best = scores
            .iter()
            .max_by_key(|(locality, weight)| (**weight, tie(locality)));
        let owned = self.owned.get(name);
        let stays = owned.is_some_and(|owned| {
            let here = scores.get(&owned.locality).copied().unwrap_or(0);
            let most = best.map(|(_, weight)| *weight).unwrap_or(0);
            let forced = here == 0;
            let worth = now >= owned.since + self.times.min_residence && most > here + here / 2;
            !forced && !worth
        });
        if stays || (owned.is_none() && best.is_none()) {
            return false;
        }
        let from = self.owned.remove(name).map(|owned| owned.locality);
        best.into_iter().for_each(|(to, _)| {
            self.epoch += 1;
            let epoch = self.epoch;
            let ours = self.left.iter_mut().filter(|((left, _), _)| left == name);
            ours.for_each(|(_, left)| {
                left.to = to.clone();
                left.epoch = epoch;
            });
            from.iter().for_each(|from| {
                self.left.insert(
                    (name.to_owned(), from.clone()),
                    Left {
                        to: to.clone(),
                        epoch,
                        since: now,
                    },
                );
            });
            self.left.remove(&(name.to_owned(), to.clone()));
            self.owned.insert(
                name.to_owned(),
                Owned {
                    locality: to.clone(),
                    epoch,
                    since: now,
                },
            );
        });
        true
    }

    /// Everything decided, to be told on.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = name_directory::PlacementTimes { min_residence: Duration::ZERO, tombstone_lifetime: Duration::ZERO };
    /// let mut assigner = name_directory::ZoneAssigner::new(Duration::ZERO, 3, &Default::default(), times);
    /// assigner.count();
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).number, 1);
    /// ```
    pub fn placement(&self, now: Duration, shares: Vec<ServiceKeyShares>) -> Placement {
        let age = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let reservations = self.owned.iter().map(|(name, owned)| Reservation {
            name: name.clone(),
            locality: owned.locality.clone(),
            epoch: owned.epoch,
            age_ms: age(owned.since),
        });
        let tombstones = self.left.iter().map(|((name, from), left)| Tombstone {
            name: name.clone(),
            from: from.clone(),
            to: left.to.clone(),
            epoch: left.epoch,
            age_ms: age(left.since),
        });
        Placement {
            epoch: self.lease_epoch,
            number: self.number,
            reservations: reservations.collect(),
            tombstones: tombstones.collect(),
            shares,
            ..Placement::default()
        }
    }

    /// Numbers the next placement.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = name_directory::PlacementTimes { min_residence: Duration::ZERO, tombstone_lifetime: Duration::ZERO };
    /// let mut assigner = name_directory::ZoneAssigner::new(Duration::ZERO, 3, &Default::default(), times);
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).number, 0);
    /// assigner.count();
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).number, 1);
    /// ```
    pub fn count(&mut self) {
        self.number += 1;
    }
}
