//! Which locality owns each name, derived from upstreams' heartbeats, evacuations and the configuration. Runs on the
//! holder of the placement lease.

use crate::home_regions::{HomeRegionLists, is_allowed_in, is_in_regions};
use crate::view::TombstoneKey;
use config::Configuration;
use protocol::{Placement, Reservation, ServiceKeyShares, Tombstone, Upstream, UpstreamState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The epoch of a name's owner: the epoch of the placement lease in the upper bits, a counter in the lower ones.
const EPOCH_COUNTER_BITS: u32 = 32;
/// What a warm upstream weighs, against one that is warming up.
const WARM_UPSTREAM_WEIGHT: u64 = 100;
const WARMING_UPSTREAM_WEIGHT: u64 = 1;

/// Time values of placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementTimes {
    /// How long a name stays in a locality before an unforced move.
    pub min_residence: Duration,
    /// How long a tombstone is kept.
    pub tombstone_lifetime: Duration,
}

/// What placement decides from.
pub struct PlacementInputs<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Localities that are evacuated.
    pub evacuated: &'a [String],
    /// All upstreams known.
    pub upstreams: &'a [Upstream],
    /// Localities where a proxy is alive.
    pub served: &'a BTreeSet<String>,
}

/// The locality that owns a name.
struct Ownership {
    locality: String,
    epoch: u64,
    since: Duration,
}

/// Where a name has moved to.
struct Departure {
    to: String,
    epoch: u64,
    since: Duration,
}

/// A service in a locality.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ServiceInLocality<'a> {
    service: &'a str,
    locality: &'a str,
}

/// The weight of the ready upstreams of each service in each locality.
type Capacities<'a> = BTreeMap<ServiceInLocality<'a>, u64>;

/// Assigns names to localities; the working state of one placement lease.
pub struct ZoneAssigner {
    lease_epoch: u64,
    /// Number of the next placement.
    number: u64,
    last_epoch: u64,
    times: PlacementTimes,
    owners: BTreeMap<String, Ownership>,
    departures: BTreeMap<TombstoneKey, Departure>,
}

impl ZoneAssigner {
    /// The state of a new holder of the placement lease, from the last placement that it knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// let times = name_directory::PlacementTimes { min_residence: Duration::from_secs(4), tombstone_lifetime: Duration::from_secs(60) };
    /// let assigner = name_directory::ZoneAssigner::new(Duration::ZERO, 3, &Default::default(), times);
    /// assert!(assigner.placement(Duration::ZERO, vec![]).reservations.is_empty());
    /// ```
    pub fn new(now: Duration, lease_epoch: u64, last: &Placement, times: PlacementTimes) -> Self {
        let time_of = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let owners = last.reservations.iter().map(|reservation| {
            let ownership = Ownership {
                locality: reservation.locality.clone(),
                epoch: reservation.epoch,
                since: time_of(reservation.age_ms),
            };
            (reservation.name.clone(), ownership)
        });
        let departures = last.tombstones.iter().map(|tombstone| {
            let key = TombstoneKey {
                name: tombstone.name.clone(),
                left_locality: tombstone.from.clone(),
            };
            let departure = Departure {
                to: tombstone.to.clone(),
                epoch: tombstone.epoch,
                since: time_of(tombstone.age_ms),
            };
            (key, departure)
        });
        ZoneAssigner {
            lease_epoch,
            number: 0,
            last_epoch: lease_epoch << EPOCH_COUNTER_BITS,
            times,
            owners: owners.collect(),
            departures: departures.collect(),
        }
    }

    /// Decides anew which locality owns each name; true where something changed.
    ///
    /// ```
    /// use name_directory::{PlacementInputs, ZoneAssigner, PlacementTimes};
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let times = PlacementTimes { min_residence: Duration::from_secs(4), tombstone_lifetime: Duration::from_secs(60) };
    /// let configuration = config::Configuration::parse(br#"{"services": [{"name": "s", "work": "once", "homeRegions": ["n"]}],
    ///     "routes": [{"id": "r", "name": "book", "path": "/", "service": "s"}]}"#).unwrap();
    /// let upstream = |name: &str, locality: &str| Upstream { service: "s".into(), instance: name.into(),
    ///     locality: locality.into(), free_slots: 4, warm: true, ..Default::default() };
    /// let upstreams = [upstream("a", "n/1"), upstream("b", "n/1"), upstream("c", "n/2"), upstream("d", "s/1"),
    ///     upstream("e", "s/1"), upstream("f", "s/1")];
    /// let served = ["n/1".to_owned(), "n/2".to_owned(), "s/1".to_owned()].into_iter().collect();
    /// let mut assigner = ZoneAssigner::new(Duration::ZERO, 1, &Default::default(), times);
    /// let inputs = |evacuated| PlacementInputs { configuration: &configuration, evacuated, upstreams: &upstreams, served: &served };
    /// assert!(assigner.reassign(Duration::ZERO, &inputs(&[])));
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).reservations[0].locality, "n/1");
    /// let (one, both) = (["n/1".to_owned()], ["n/1".to_owned(), "n/2".to_owned()]);
    /// assigner.reassign(Duration::ZERO, &inputs(&one));
    /// let after = assigner.placement(Duration::ZERO, vec![]);
    /// assert_eq!(after.reservations[0].locality, "n/2");
    /// assert_eq!((after.tombstones[0].from.as_str(), after.tombstones[0].to.as_str()), ("n/1", "n/2"));
    /// assigner.reassign(Duration::ZERO, &inputs(&both));
    /// assert!(assigner.placement(Duration::ZERO, vec![]).reservations.is_empty(), "never outside the home regions");
    /// ```
    pub fn reassign(&mut self, now: Duration, inputs: &PlacementInputs) -> bool {
        let names = inputs.configuration.names();
        let count_before = self.owners.len() + self.departures.len();
        self.owners
            .retain(|name, _| names.contains_key(name.as_str()));
        let lifetime = self.times.tombstone_lifetime;
        self.departures.retain(|key, departure| {
            names.contains_key(key.name.as_str()) && now < departure.since + lifetime
        });
        let has_dropped = count_before != self.owners.len() + self.departures.len();
        let capacities = ready_capacities(inputs);
        let mut has_moved = false;
        for (name, services) in &names {
            let candidates = candidate_localities(inputs, &capacities, name, services);
            has_moved |= self.keep_or_move(now, name, &candidates);
        }
        has_moved || has_dropped
    }

    /// Keeps or moves one name; true where it moved. The only place where a reservation changes.
    fn keep_or_move(
        &mut self,
        now: Duration,
        name: &str,
        candidates: &BTreeMap<String, u64>,
    ) -> bool {
        let tie_break = |locality: &str| random::stable_hash(&format!("{name} {locality}"));
        let best = candidates
            .iter()
            .max_by_key(|(locality, weight)| (**weight, tie_break(locality)));
        let owner = self.owners.get(name);
        let Some((best_locality, best_weight)) = best else {
            // No locality can serve the name: it loses its owner, if it has one.
            return self.owners.remove(name).is_some();
        };
        if owner.is_some_and(|owner| self.stays(now, owner, candidates, *best_weight)) {
            return false;
        }
        self.move_name(now, name, best_locality);
        true
    }

    /// True where a name stays with its owner, although another locality may have more weight.
    fn stays(
        &self,
        now: Duration,
        owner: &Ownership,
        candidates: &BTreeMap<String, u64>,
        best_weight: u64,
    ) -> bool {
        let own_weight = candidates.get(&owner.locality).copied().unwrap_or(0);
        let is_forced = own_weight == 0;
        let is_worthwhile = now >= owner.since + self.times.min_residence
            && best_weight > own_weight + own_weight / 2;
        !is_forced && !is_worthwhile
    }

    /// Makes a locality the owner of a name, and leaves tombstones in those that owned it before.
    fn move_name(&mut self, now: Duration, name: &str, to: &str) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        for (key, departure) in &mut self.departures {
            if key.name == name {
                departure.to = to.to_owned();
                departure.epoch = epoch;
            }
        }
        let key = |left_locality: &str| TombstoneKey {
            name: name.to_owned(),
            left_locality: left_locality.to_owned(),
        };
        let ownership = Ownership {
            locality: to.to_owned(),
            epoch,
            since: now,
        };
        if let Some(previous) = self.owners.insert(name.to_owned(), ownership) {
            let departure = Departure {
                to: to.to_owned(),
                epoch,
                since: now,
            };
            self.departures.insert(key(&previous.locality), departure);
        }
        self.departures.remove(&key(to));
    }

    /// Everything decided, with key shares, to be published.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = name_directory::PlacementTimes { min_residence: Duration::ZERO, tombstone_lifetime: Duration::ZERO };
    /// let mut assigner = name_directory::ZoneAssigner::new(Duration::ZERO, 3, &Default::default(), times);
    /// assigner.advance_number();
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).number, 1);
    /// ```
    pub fn placement(&self, now: Duration, shares: Vec<ServiceKeyShares>) -> Placement {
        let age_ms = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let reservations = self.owners.iter().map(|(name, owner)| Reservation {
            name: name.clone(),
            locality: owner.locality.clone(),
            epoch: owner.epoch,
            age_ms: age_ms(owner.since),
        });
        let tombstones = self.departures.iter().map(|(key, departure)| Tombstone {
            name: key.name.clone(),
            from: key.left_locality.clone(),
            to: departure.to.clone(),
            epoch: departure.epoch,
            age_ms: age_ms(departure.since),
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

    /// Gives the next placement a new number.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = name_directory::PlacementTimes { min_residence: Duration::ZERO, tombstone_lifetime: Duration::ZERO };
    /// let mut assigner = name_directory::ZoneAssigner::new(Duration::ZERO, 3, &Default::default(), times);
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).number, 0);
    /// assigner.advance_number();
    /// assert_eq!(assigner.placement(Duration::ZERO, vec![]).number, 1);
    /// ```
    pub fn advance_number(&mut self) {
        self.number += 1;
    }
}

/// Ready upstreams by service and locality: warm ones weigh much, those that are warming up little.
fn ready_capacities<'a>(inputs: &PlacementInputs<'a>) -> Capacities<'a> {
    let mut capacities = Capacities::new();
    for upstream in inputs.upstreams {
        if upstream.state() != UpstreamState::Ready {
            continue;
        }
        let key = ServiceInLocality {
            service: upstream.service.as_str(),
            locality: upstream.locality.as_str(),
        };
        *capacities.entry(key).or_default() += match upstream.warm {
            true => WARM_UPSTREAM_WEIGHT,
            false => WARMING_UPSTREAM_WEIGHT,
        };
    }
    capacities
}

/// The localities that may own a name of these services, with their weights: those where something of it may be served,
/// and of these the ones where as many of its routes as possible are at home. One that has no proxy alive counts only
/// where no other is left.
fn candidate_localities(
    inputs: &PlacementInputs,
    capacities: &Capacities,
    name: &str,
    services: &BTreeSet<&str>,
) -> BTreeMap<String, u64> {
    let is_evacuated = |locality: &str| {
        inputs
            .evacuated
            .iter()
            .any(|evacuated| evacuated == locality)
    };
    let mut candidates: BTreeMap<String, u64> = BTreeMap::new();
    for (key, weight) in capacities {
        if services.contains(key.service)
            && !is_evacuated(key.locality)
            && is_served_in(inputs.configuration, name, key)
        {
            *candidates.entry(key.locality.to_owned()).or_default() += weight;
        }
    }
    let home_regions = HomeRegionLists::of_name(inputs.configuration, name);
    let bound_elsewhere = |locality: &str| home_regions.routes_bound_elsewhere_than(locality);
    let fewest = candidates
        .keys()
        .map(|locality| bound_elsewhere(locality))
        .min();
    candidates.retain(|locality, _| Some(bound_elsewhere(locality)) == fewest);
    let has_proxy = |locality: &String| inputs.served.contains(locality);
    if candidates.keys().any(has_proxy) {
        candidates.retain(|locality, _| has_proxy(locality));
    }
    candidates
}

/// True where requests under a name may be served by a service's upstreams in a locality: its home regions allow it,
/// and those of a route that leads to it.
fn is_served_in(configuration: &Configuration, name: &str, at: &ServiceInLocality) -> bool {
    configuration
        .services
        .get(at.service)
        .is_some_and(|service| is_allowed_in(service, at.locality))
        && configuration
            .routes_of_name(name)
            .filter(|route| route.services().any(|service| service == at.service))
            .any(|route| is_in_regions(&route.policy.home_regions, at.locality))
}
