//! What a data node knows, as one immutable value.

use config::{Configuration, Service, ValidationError};
use locality::Locality;
use protocol::{KeyShare, Placement, Reservation, Tombstone, Upstream, UpstreamState, ViewUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A proxy that membership holds for present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    pub node: String,
    pub locality: Locality,
    pub address: String,
    /// Silent to its prober and to third parties: not worth naming to an origin while others are there.
    pub suspect: bool,
}

/// One service's upstreams, by instance.
pub type Upstreams = BTreeMap<String, Arc<Upstream>>;

/// Who sends to the upstreams of each service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSenders {
    /// Proxies (node ids, in order) by service.
    by_service: BTreeMap<String, Vec<String>>,
    /// Since when these are they: until the others' views have caught up, more may send than are named here.
    pub since: Duration,
}

impl ServiceSenders {
    /// How many proxies send to this service's upstreams, and this one's rank among them.
    ///
    /// ```
    /// assert_eq!(name_directory::ServiceSenders::default().rank_of("s", "proxy-1"), None);
    /// ```
    pub fn rank_of(&self, service: &str, proxy: &str) -> Option<(usize, usize)> {
        let senders = self.by_service.get(service)?;
        senders
            .iter()
            .position(|sender| sender == proxy)
            .map(|rank| (senders.len(), rank))
    }
}

/// How a configuration's bytes are read and checked.
#[derive(Clone, Copy)]
pub struct ConfigurationParser(pub fn(&[u8]) -> Result<Configuration, Vec<ValidationError>>);

impl Default for ConfigurationParser {
    fn default() -> Self {
        ConfigurationParser(Configuration::parse)
    }
}

/// One edition of the world, as requests read it. What a change leaves alone is shared by the editions.
#[derive(Clone, Default)]
pub struct View {
    /// How configurations are read here.
    pub reader: ConfigurationParser,
    pub revision: u64,
    pub digest: String,
    pub configuration: Arc<Configuration>,
    pub evacuated: BTreeSet<String>,
    /// By service, then by instance; only those that are not gone.
    pub upstreams: Arc<BTreeMap<String, Upstreams>>,
    pub reservations: Arc<BTreeMap<String, Reservation>>,
    /// By name and the locality left.
    pub tombstones: Arc<BTreeMap<(String, String), Tombstone>>,
    /// By service.
    pub shares: Arc<BTreeMap<String, Vec<KeyShare>>>,
    pub placement_version: (u64, u64),
    pub proxies: Arc<Vec<Proxy>>,
    /// Which proxies send to a service's upstreams: those where its names are owned.
    pub senders: Arc<ServiceSenders>,
    /// The moment that this view is surely no older than: its own ask, less the age it was told.
    pub as_of: Option<Duration>,
}

impl View {
    /// True while the view may be acted on. Ask at the moment of acting.
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

    /// Takes in a piece of news. An image replaces all that control tells; membership stays. A setup that
    /// cannot be read is a failure of the sender, and nothing is taken in.
    ///
    /// ```
    /// use protocol::{ViewUpdate, Upstream, UpstreamState};
    /// let mut view = name_directory::View::default();
    /// let ready = Upstream { service: "s".into(), instance: "a".into(), ..Default::default() };
    /// view.apply_update(ViewUpdate { upstreams: vec![ready.clone()], ..Default::default() }, true).unwrap();
    /// assert_eq!(view.upstreams["s"].len(), 1);
    /// view.apply_update(ViewUpdate { upstreams: vec![Upstream { state: 2, ..ready }], ..Default::default() }, false).unwrap();
    /// assert!(view.upstreams["s"].is_empty());
    /// ```
    pub fn apply_update(
        &mut self,
        news: ViewUpdate,
        image: bool,
    ) -> Result<(), Vec<ValidationError>> {
        let configuration = news
            .configuration
            .map(|bytes| (self.reader.0)(&bytes).map(Arc::new))
            .transpose()?;
        if image && !news.keeps_unlisted_upstreams {
            self.upstreams = Arc::default();
        }
        // An older edition never follows a newer one.
        let state = news.state.filter(|state| state.revision >= self.revision);
        if let Some(state) = state {
            self.revision = state.revision;
            self.digest = state.digest;
            self.evacuated = state.evacuated.into_iter().collect();
            self.configuration = configuration.unwrap_or_else(|| self.configuration.clone());
        }
        if !news.upstreams.is_empty() {
            let known = Arc::make_mut(&mut self.upstreams);
            news.upstreams.into_iter().for_each(|upstream| {
                if upstream.service.is_empty() {
                    // It signed off where nobody knew its service.
                    let gone = upstream.state() >= UpstreamState::Deregistered;
                    known
                        .values_mut()
                        .filter(|_| gone)
                        .for_each(|service| drop(service.remove(&upstream.instance)));
                    return;
                }
                let service = known.entry(upstream.service.clone()).or_default();
                if upstream.state() >= UpstreamState::Deregistered {
                    service.remove(&upstream.instance);
                } else {
                    service.insert(upstream.instance.clone(), Arc::new(upstream));
                }
            });
        }
        news.placement
            .into_iter()
            .for_each(|placement| self.place(placement));
        Ok(())
    }

    /// A placement of a lower claim epoch, or an earlier one of the same, is dropped.
    fn place(&mut self, placement: Placement) {
        let at = (placement.epoch, placement.number);
        if at < self.placement_version {
            return;
        }
        self.placement_version = at;
        if placement.partial {
            let shares = Arc::make_mut(&mut self.shares);
            placement.shares.into_iter().for_each(|change| {
                let known = shares.entry(change.service).or_default();
                *known = crate::patch::apply_share_delta(known, &change.shares);
            });
            return;
        }
        let reservations = placement
            .reservations
            .into_iter()
            .map(|r| (r.name.clone(), r));
        self.reservations = Arc::new(reservations.collect());
        let tombstones = placement
            .tombstones
            .into_iter()
            .map(|m| ((m.name.clone(), m.from.clone()), m));
        self.tombstones = Arc::new(tombstones.collect());
        self.shares = Arc::new(
            placement
                .shares
                .into_iter()
                .map(|s| (s.service, s.shares))
                .collect(),
        );
    }

    /// Works out anew who sends where, after a change of the state, the placement or the proxies.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut view = name_directory::View::default();
    /// view.update_senders(Duration::from_secs(1));
    /// assert_eq!(view.senders.since, Duration::ZERO, "nothing changed");
    /// ```
    pub fn update_senders(&mut self, now: Duration) {
        let owners = self.configuration.routes.values().flat_map(|route| {
            let owned = self.reservations.get(&route.name);
            owned.into_iter().flat_map(|owned| {
                route
                    .services()
                    .map(|service| (service, owned.locality.as_str()))
            })
        });
        let places: BTreeSet<(&str, &str)> = owners.collect();
        let mut by_service: BTreeMap<String, Vec<String>> = BTreeMap::new();
        places.into_iter().for_each(|(service, place)| {
            let there = self.proxies.iter().filter(|proxy| proxy.locality == *place);
            by_service
                .entry(service.to_owned())
                .or_default()
                .extend(there.map(|proxy| proxy.node.clone()));
        });
        by_service.values_mut().for_each(|senders| senders.sort());
        if by_service != self.senders.by_service {
            self.senders = Arc::new(ServiceSenders {
                by_service,
                since: now,
            });
        }
    }
}

/// True where a service's work may go to a locality (text form: region/zone).
///
/// ```
/// use config::Service;
/// let service = Service { home_regions: vec!["north".into()], ..Default::default() };
/// assert!(name_directory::is_allowed_in(&service, "north/n1"));
/// assert!(!name_directory::is_allowed_in(&service, "south/s1"));
/// ```
pub fn is_allowed_in(service: &Service, locality: &str) -> bool {
    is_in_regions(&service.home_regions, locality)
}

/// True where a locality (text form: region/zone) lies in one of these regions, or none are named.
///
/// ```
/// assert!(name_directory::is_in_regions(&[], "north/n1"));
/// assert!(!name_directory::is_in_regions(&["south".to_owned()], "north/n1"));
/// ```
pub fn is_in_regions(regions: &[String], locality: &str) -> bool {
    let region = locality.split('/').next().unwrap_or_default();
    regions.is_empty() || regions.iter().any(|home| home == region)
}
