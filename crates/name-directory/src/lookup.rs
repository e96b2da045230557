//! Directory lookups: the proxies of the locality that owns a name, for a short lifetime.

use crate::home_regions::HomeRegionLists;
use crate::view::{Proxy, View};
use locality::Locality;
use result_code::ResultCode;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much a proxy counts when zones are compared by their proxies: any number of suspect ones weighs less than one
/// that is alive.
const ALIVE_PROXY_WEIGHT: u64 = 1000;
const SUSPECT_PROXY_WEIGHT: u64 = 1;

/// Where a name lives, for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// The route name, also where an alias was looked up.
    pub name: String,
    /// The locality that owns the name (region/zone).
    pub locality: String,
    /// Rises with each change of the owner.
    pub epoch: u64,
    /// Addresses of proxies to connect to.
    pub proxies: Vec<String>,
    /// How long the client may use this answer.
    pub lifetime: Duration,
}

/// Who owns a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum OwnershipMode {
    /// One locality for all clients; the holder of the placement lease decides which.
    #[default]
    SingleZone,
    /// One locality for the clients of each zone: their own where it can serve, else the nearest that can.
    PerClientZone,
}

/// What a lookup's answer depends on beside the view.
#[derive(Clone, Copy, Debug)]
pub struct LookupOptions {
    /// Who owns a name.
    pub ownership: OwnershipMode,
    /// Most proxies in an answer.
    pub max_proxies: usize,
    /// The lifetime of an answer.
    pub lifetime: Duration,
}

/// The present owner of a name.
struct Owner {
    locality: Locality,
    epoch: u64,
}

/// How near a proxy is to the owner of a name; lower is better. Only the best are named to a client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    is_suspect: bool,
    /// How badly its region fits the routes of the name.
    misfit: usize,
    is_outside_locality: bool,
    is_outside_region: bool,
}

/// Answers a directory request. Aliases are resolved to the route name; the owner's own proxies come first, and where
/// none of them is alive, the nearest others, those first that most of its requests may pass through.
///
/// ```
/// use result_code::ResultCode;
/// use name_directory::{LookupOptions, OwnershipMode};
/// use std::time::Duration;
/// let view = name_directory::View { has_configuration: true, ..Default::default() };
/// let options = LookupOptions { ownership: OwnershipMode::SingleZone, max_proxies: 3, lifetime: Duration::from_secs(2) };
/// let look_up = |view| name_directory::lookup(view, "book", &"north/n1".parse().unwrap(), &options);
/// assert_eq!(look_up(&view), Err(ResultCode::NoSuchName));
/// assert_eq!(look_up(&Default::default()), Err(ResultCode::StaleView), "it knows no configuration yet");
/// ```
pub fn lookup(
    view: &View,
    requested_name: &str,
    client: &Locality,
    options: &LookupOptions,
) -> Result<LookupAnswer, ResultCode> {
    let name = view
        .configuration
        .resolve(requested_name)
        .ok_or_else(|| view.unknown_name_code())?;
    let entries = EntryPoints {
        view,
        home_regions: HomeRegionLists::of_name(&view.configuration, name),
        client,
    };
    let owner = match options.ownership {
        OwnershipMode::SingleZone => reserved_owner(view, name),
        OwnershipMode::PerClientZone => entries.owner_for_client(name),
    };
    let owner = owner.ok_or(ResultCode::NoOwner)?;
    let proxies = entries.nearest_proxies(requested_name, &owner.locality);
    if proxies.is_empty() {
        return Err(ResultCode::NoOwner);
    }
    Ok(LookupAnswer {
        name: name.to_owned(),
        locality: owner.locality.to_string(),
        epoch: owner.epoch,
        proxies: proxies
            .into_iter()
            .take(options.max_proxies)
            .map(|proxy| proxy.address.clone())
            .collect(),
        lifetime: options.lifetime,
    })
}

/// The owner that the placement names, unless its locality is evacuated.
fn reserved_owner(view: &View, name: &str) -> Option<Owner> {
    let reservation = view.reservations.get(name)?;
    if view.evacuated.contains(&reservation.locality) {
        return None;
    }
    Some(Owner {
        locality: reservation.locality.parse().ok()?,
        epoch: reservation.epoch,
    })
}

/// The proxies where a client's requests under one name may enter.
struct EntryPoints<'a> {
    view: &'a View,
    home_regions: HomeRegionLists<'a>,
    client: &'a Locality,
}

impl<'a> EntryPoints<'a> {
    /// Every proxy but those in evacuated localities. Home regions don't leave any out, they only rank: a route that is
    /// bound elsewhere is carried on to its home regions by the proxy that it enters at.
    fn proxies(&self) -> impl Iterator<Item = &'a Proxy> {
        let evacuated = &self.view.evacuated;
        self.view
            .proxies
            .iter()
            .filter(|proxy| !evacuated.contains(&proxy.locality.to_string()))
    }

    /// How badly a region fits the name's routes, 0 best: where all routes are at home; then the client's own region,
    /// since the request is there already; then by how many routes have their homes elsewhere.
    fn misfit(&self, region: &str) -> usize {
        match self.home_regions.routes_bound_elsewhere(region) {
            0 => 0,
            _ if region == self.client.region => 1,
            routes => 1 + routes,
        }
    }

    /// The proxies at the least distance from the owner; those of the client's region first, then in an order that
    /// spreads clients and names over them.
    fn nearest_proxies(&self, requested_name: &str, owner: &Locality) -> Vec<&'a Proxy> {
        let client = self.client;
        let distance = |proxy: &Proxy| Distance {
            is_suspect: proxy.suspect,
            misfit: self.misfit(&proxy.locality.region),
            is_outside_locality: proxy.locality != *owner,
            is_outside_region: proxy.locality.region != owner.region,
        };
        let order = |proxy: &&Proxy| {
            let is_in_other_region = proxy.locality.region != client.region;
            let spread_parts = [requested_name, &client.region, &client.zone, &proxy.node];
            let spread = random::stable_hash_parts(spread_parts);
            (distance(proxy), is_in_other_region, spread)
        };
        let mut proxies: Vec<&Proxy> = self.proxies().collect();
        proxies.sort_by_cached_key(order);
        if let Some(least) = proxies.first().map(|proxy| distance(proxy)) {
            proxies.retain(|proxy| distance(proxy) == least);
        }
        proxies
    }

    /// The zone that owns a name for the clients of one zone: among those with a proxy alive and in a region that fits the
    /// name's routes best, their own zone, else one of their region, else the one with the most proxies, ties broken by
    /// a spread over name and zones.
    fn owner_for_client(&self, name: &str) -> Option<Owner> {
        let client = self.client;
        let mut weights: BTreeMap<&Locality, u64> = BTreeMap::new();
        for proxy in self.proxies() {
            *weights.entry(&proxy.locality).or_default() += match proxy.suspect {
                true => SUSPECT_PROXY_WEIGHT,
                false => ALIVE_PROXY_WEIGHT,
            };
        }
        let rank = |(locality, weight): &(&Locality, u64)| {
            let has_alive_proxy = *weight >= ALIVE_PROXY_WEIGHT;
            let spread = random::stable_hash_parts([name, &client.zone, &locality.zone]);
            (
                has_alive_proxy,
                Reverse(self.misfit(&locality.region)),
                *locality == client,
                locality.region == client.region,
                *weight,
                spread,
            )
        };
        let (locality, _) = weights.into_iter().max_by_key(rank)?;
        Some(Owner {
            locality: locality.clone(),
            epoch: self.view.revision,
        })
    }
}
