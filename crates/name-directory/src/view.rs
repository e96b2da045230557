//! What a data-plane node knows of the site, as one immutable value.

use crate::deltas::apply_share_delta;
use crate::senders::ServiceSenders;
use config::{Configuration, ValidationError};
use locality::Locality;
use protocol::{KeyShare, Placement, Reservation, Tombstone, Upstream, UpstreamState, ViewUpdate};
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A proxy that membership considers present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// Its node id.
    pub node: String,
    /// Where it runs.
    pub locality: Locality,
    /// Its address for clients.
    pub address: String,
    /// It did not answer direct or indirect probes: not named to a client while others are there.
    pub suspect: bool,
}

/// One service's upstreams, by instance.
pub type Upstreams = BTreeMap<String, Arc<Upstream>>;

/// How a configuration's bytes are parsed and validated.
#[derive(Clone, Copy)]
pub struct ConfigurationParser(pub fn(&[u8]) -> Result<Configuration, Vec<ValidationError>>);

impl Default for ConfigurationParser {
    fn default() -> Self {
        ConfigurationParser(Configuration::parse)
    }
}

/// Orders placements: by the epoch of the placement lease, then by the number under that lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementVersion {
    /// Epoch of the placement lease.
    pub epoch: u64,
    /// Number of the placement under this lease.
    pub number: u64,
}

/// Identifies a tombstone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TombstoneKey {
    /// The name that moved away.
    pub name: String,
    /// The locality that it left (region/zone).
    pub left_locality: String,
}

/// One snapshot of the site, as requests use it. What an update does not change is shared between the snapshots.
#[derive(Clone, Default)]
pub struct View {
    /// How configurations are parsed here.
    pub reader: ConfigurationParser,
    /// Revision of the replicated state.
    pub revision: u64,
    /// Digest of the replicated state.
    pub digest: String,
    /// The configuration of this revision.
    pub configuration: Arc<Configuration>,
    /// True once any configuration was received: before, nothing is known of which names and routes there are.
    pub has_configuration: bool,
    /// Localities (region/zone) that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// When evacuations ended, by locality, as far as heartbeats of then may be missing.
    pub evacuation_ends: Arc<BTreeMap<String, Duration>>,
    /// By service, then by instance; only those that are not deregistered.
    pub upstreams: Arc<BTreeMap<String, Upstreams>>,
    /// By name.
    pub reservations: Arc<BTreeMap<String, Reservation>>,
    /// Where names have moved to from localities that they left.
    pub tombstones: Arc<BTreeMap<TombstoneKey, Tombstone>>,
    /// Key assignments by service.
    pub shares: Arc<BTreeMap<String, Vec<KeyShare>>>,
    /// The latest placement that was applied.
    pub placement_version: PlacementVersion,
    /// The proxies of the site, as membership knows them.
    pub proxies: Arc<Vec<Proxy>>,
    /// Which proxies send to a service's upstreams: those where its names are owned.
    pub senders: Arc<ServiceSenders>,
    /// The view is certainly no older than this: the time of its own request, less the age that was reported.
    pub as_of: Option<Duration>,
    /// When it was confirmed again after a gap, or for the first time.
    pub gap_ended_at: Option<Duration>,
}

/// A view in touch is confirmed more often than this, by what is no older.
const CONFIRMATION_GAP: Duration = Duration::from_millis(1500);
/// By then the next heartbeat of each upstream has reached every view in touch.
const HEARTBEAT_DELAY: Duration = Duration::from_secs(3);

impl View {
    /// True while the view may be used. To be called at the moment of use.
    ///
    /// ```
    /// use std::time::Duration;
    /// let view = name_directory::View { as_of: Some(Duration::from_secs(1)), ..Default::default() };
    /// assert!(view.is_fresh(Duration::from_secs(2), Duration::from_secs(2)));
    /// assert!(!view.is_fresh(Duration::from_secs(3), Duration::from_secs(2)));
    /// assert!(!name_directory::View::default().is_fresh(Duration::ZERO, Duration::from_secs(2)));
    /// ```
    pub fn is_fresh(&self, now: Duration, stale_after: Duration) -> bool {
        self.as_of.is_some_and(|as_of| now < as_of + stale_after)
    }

    /// The view is confirmed as of a moment; none where nobody says how old it is. Gives how old it was, where that ends a
    /// gap in its confirmations.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (mut view, seconds) = (name_directory::View::default(), Duration::from_secs);
    /// assert_eq!(view.confirm(seconds(1), Some(seconds(1))), None, "it is the first");
    /// assert_eq!(view.confirm(seconds(2), Some(seconds(2))), None);
    /// assert_eq!(view.confirm(seconds(5), Some(seconds(5))), Some(seconds(3)));
    /// ```
    pub fn confirm(&mut self, now: Duration, as_of: Option<Duration>) -> Option<Duration> {
        let age = self.as_of.map(|as_of| now.saturating_sub(as_of));
        let ends_gap = !self.is_fresh(now, CONFIRMATION_GAP);
        if ends_gap {
            self.gap_ended_at = Some(now);
        }
        self.as_of = as_of;
        age.filter(|_| ends_gap)
    }

    /// Notes which evacuations ended with an update, after what was evacuated before it. An evacuated zone's upstreams may
    /// have turned cold shortly before its end, which is known at once, and the cold with the next heartbeat.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut view = name_directory::View { as_of: Some(Duration::ZERO), ..Default::default() };
    /// view.note_evacuation_ends(Duration::ZERO, &["n/1".to_owned()].into());
    /// assert!(view.may_lack_heartbeats(Duration::ZERO, "n/1"));
    /// assert!(!view.may_lack_heartbeats(Duration::ZERO, "n/2"));
    /// ```
    pub fn note_evacuation_ends(&mut self, now: Duration, evacuated_before: &BTreeSet<String>) {
        let is_missing = |end: &Duration| now < *end + HEARTBEAT_DELAY;
        let are_all_recent = self.evacuation_ends.values().all(is_missing);
        let mut ended = evacuated_before.difference(&self.evacuated).peekable();
        if ended.peek().is_none() && are_all_recent {
            return;
        }
        let ends = Arc::make_mut(&mut self.evacuation_ends);
        ends.retain(|_, end| is_missing(end));
        ends.extend(ended.map(|locality| (locality.clone(), now)));
    }

    /// True where heartbeats of the last seconds from a locality may be missing: the view is not confirmed now, or was not
    /// until a moment ago, or the locality's evacuation has just ended. Then upstreams may be cold that it calls warm.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut view = name_directory::View::default();
    /// let seconds = Duration::from_secs;
    /// assert!(view.may_lack_heartbeats(seconds(1), "n/1"));
    /// (1..=4).for_each(|second| drop(view.confirm(seconds(second), Some(seconds(second)))));
    /// assert!(!view.may_lack_heartbeats(seconds(4), "n/1"));
    /// assert!(view.may_lack_heartbeats(seconds(6), "n/1"), "nobody confirms it any more");
    /// view.confirm(seconds(7), Some(seconds(7)));
    /// assert!(view.may_lack_heartbeats(seconds(8), "n/1"), "heartbeats of before may still be on their way");
    /// ```
    pub fn may_lack_heartbeats(&self, now: Duration, locality: &str) -> bool {
        let is_recent = |end: Duration| now < end + HEARTBEAT_DELAY;
        let evacuation_end = self.evacuation_ends.get(locality).copied();
        self.gap_ended_at.is_some_and(is_recent)
            || evacuation_end.is_some_and(is_recent)
            || !self.is_fresh(now, CONFIRMATION_GAP)
    }

    /// Why a name or route that the configuration lacks is not served: there is none, or nobody can tell yet.
    ///
    /// ```
    /// use result_code::ResultCode;
    /// let known = name_directory::View { has_configuration: true, ..Default::default() };
    /// assert_eq!(known.unknown_name_code(), ResultCode::NoSuchName);
    /// assert_eq!(name_directory::View::default().unknown_name_code(), ResultCode::StaleView);
    /// ```
    pub fn unknown_name_code(&self) -> ResultCode {
        match self.has_configuration {
            true => ResultCode::NoSuchName,
            false => ResultCode::StaleView,
        }
    }

    /// The tombstone of a name in a locality (region/zone) that it left.
    ///
    /// ```
    /// assert_eq!(name_directory::View::default().tombstone("book", "north/n1"), None);
    /// ```
    pub fn tombstone(&self, name: &str, left_locality: &str) -> Option<&Tombstone> {
        self.tombstones.get(&TombstoneKey {
            name: name.to_owned(),
            left_locality: left_locality.to_owned(),
        })
    }

    /// Applies an update. A full snapshot replaces all that comes from the control plane; membership stays.
    ///
    /// # Errors
    ///
    /// A configuration that cannot be parsed is a fault of the sender, and nothing of the update is applied.
    ///
    /// ```
    /// use protocol::{ViewUpdate, Upstream};
    /// let mut view = name_directory::View::default();
    /// let ready = Upstream { service: "s".into(), instance: "a".into(), ..Default::default() };
    /// view.apply_update(ViewUpdate { upstreams: vec![ready.clone()], ..Default::default() }, true).unwrap();
    /// assert_eq!(view.upstreams["s"].len(), 1);
    /// view.apply_update(ViewUpdate { upstreams: vec![Upstream { state: 2, ..ready }], ..Default::default() }, false).unwrap();
    /// assert!(view.upstreams["s"].is_empty());
    /// ```
    pub fn apply_update(
        &mut self,
        update: ViewUpdate,
        is_snapshot: bool,
    ) -> Result<(), Vec<ValidationError>> {
        let configuration = match update.configuration {
            Some(bytes) => Some(Arc::new((self.reader.0)(&bytes)?)),
            None => None,
        };
        if is_snapshot && !update.keeps_unlisted_upstreams {
            self.upstreams = Arc::default();
        }
        // An older revision never follows a newer one.
        if let Some(state) = update.state
            && state.revision >= self.revision
        {
            self.revision = state.revision;
            self.digest = state.digest;
            self.evacuated = state.evacuated.into_iter().collect();
            if let Some(configuration) = configuration {
                self.configuration = configuration;
                self.has_configuration = true;
            }
        }
        if !update.upstreams.is_empty() {
            let known = Arc::make_mut(&mut self.upstreams);
            for upstream in update.upstreams {
                apply_upstream(known, upstream);
            }
        }
        if let Some(placement) = update.placement {
            self.apply_placement(placement);
        }
        Ok(())
    }

    /// Applies a placement, unless it is older than the present one: of a lower lease epoch, or an earlier one of the
    /// same lease.
    fn apply_placement(&mut self, placement: Placement) {
        let version = PlacementVersion {
            epoch: placement.epoch,
            number: placement.number,
        };
        if version < self.placement_version {
            return;
        }
        self.placement_version = version;
        if placement.partial {
            let shares = Arc::make_mut(&mut self.shares);
            for change in placement.shares {
                let known = shares.entry(change.service).or_default();
                *known = apply_share_delta(known, &change.shares);
            }
            return;
        }
        let reservations = placement
            .reservations
            .into_iter()
            .map(|reservation| (reservation.name.clone(), reservation));
        self.reservations = Arc::new(reservations.collect());
        let tombstones = placement.tombstones.into_iter().map(|tombstone| {
            let key = TombstoneKey {
                name: tombstone.name.clone(),
                left_locality: tombstone.from.clone(),
            };
            (key, tombstone)
        });
        self.tombstones = Arc::new(tombstones.collect());
        let shares = placement
            .shares
            .into_iter()
            .map(|service| (service.service, service.shares));
        self.shares = Arc::new(shares.collect());
    }

    /// Works out anew which proxies send to which services, after a change of the state, the placement or the proxies.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut view = name_directory::View::default();
    /// view.update_senders(Duration::from_secs(1));
    /// assert_eq!(view.senders.since, Duration::ZERO, "nothing changed");
    /// ```
    pub fn update_senders(&mut self, now: Duration) {
        let mut by_service: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (service, locality) in self.owning_localities() {
            let proxies = self
                .proxies
                .iter()
                .filter(|proxy| proxy.locality == *locality)
                .map(|proxy| proxy.node.clone());
            by_service
                .entry(service.to_owned())
                .or_default()
                .extend(proxies);
        }
        for senders in by_service.values_mut() {
            senders.sort();
        }
        if by_service != self.senders.by_service {
            self.senders = Arc::new(ServiceSenders {
                by_service,
                since: now,
            });
        }
    }

    /// Each service with each locality that owns a name of one of its routes.
    fn owning_localities(&self) -> BTreeSet<(&str, &str)> {
        let mut owners = BTreeSet::new();
        for route in self.configuration.routes.values() {
            let Some(reservation) = self.reservations.get(&route.name) else {
                continue;
            };
            for service in route.services() {
                owners.insert((service, reservation.locality.as_str()));
            }
        }
        owners
    }
}

/// Adds, replaces or removes one upstream.
fn apply_upstream(known: &mut BTreeMap<String, Upstreams>, upstream: Upstream) {
    let is_gone = upstream.state() >= UpstreamState::Deregistered;
    if upstream.service.is_empty() {
        // It deregistered where nobody knew its service.
        if is_gone {
            for service in known.values_mut() {
                service.remove(&upstream.instance);
            }
        }
        return;
    }
    let service = known.entry(upstream.service.clone()).or_default();
    if is_gone {
        service.remove(&upstream.instance);
    } else {
        service.insert(upstream.instance.clone(), Arc::new(upstream));
    }
}
