//! A directory node's answer: the owning locality's proxies, for a short lifetime.

use crate::view::{Proxy, View, is_allowed_in, is_in_regions};
use locality::Locality;
use result_code::ResultCode;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where a name lives, for an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    pub name: String,
    pub locality: String,
    pub epoch: u64,
    pub proxies: Vec<String>,
    pub lifetime: Duration,
}

/// Who owns a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum OwnershipMode {
    /// One locality for everybody; the placement duty decides which.
    #[default]
    SingleZone,
    /// One for the callers of each zone: their own where it can serve, else the nearest that can.
    PerClientZone,
}

/// Answers a directory question. Aliases go through the id form; the owner's own proxies come first, and
/// where it has none alive, the nearest others that its work may pass through.
///
/// ```
/// use result_code::ResultCode;
/// use name_directory::OwnershipMode;
/// use std::time::Duration;
/// let view = name_directory::View::default();
/// let asked = name_directory::lookup(&view, "book", &"north/n1".parse().unwrap(), Duration::from_secs(2), (OwnershipMode::SingleZone, 3));
/// assert_eq!(asked, Err(ResultCode::NoSuchName));
/// ```
pub fn lookup(
    view: &View,
    asked: &str,
    origin: &Locality,
    lifetime: Duration,
    (owners, most): (OwnershipMode, usize),
) -> Result<LookupAnswer, ResultCode> {
    let name = view
        .configuration
        .resolve(asked)
        .ok_or(ResultCode::NoSuchName)?;
    let (owner, epoch) = match owners {
        OwnershipMode::SingleZone => {
            let owned = view.reservations.get(name);
            let owned = owned
                .filter(|owned| !view.evacuated.contains(&owned.locality))
                .ok_or(ResultCode::NoOwner)?;
            (
                owned.locality.parse().map_err(|_| ResultCode::NoOwner)?,
                owned.epoch,
            )
        }
        OwnershipMode::PerClientZone => (
            owner_for(view, name, origin).ok_or(ResultCode::NoOwner)?,
            view.revision,
        ),
    };
    let mut proxies: Vec<_> = able(view, name)
        .map(|proxy| {
            let near = (
                proxy.suspect,
                proxy.locality != owner,
                proxy.locality.region != owner.region,
            );
            let far = proxy.locality.region != origin.region;
            (
                near,
                far,
                random::stable_hash_parts([asked, &origin.region, &origin.zone, &proxy.node]),
                proxy,
            )
        })
        .collect();
    proxies.sort_by_key(|(near, far, spread, _)| (*near, *far, *spread));
    let best = proxies
        .first()
        .map(|(near, ..)| *near)
        .ok_or(ResultCode::NoOwner)?;
    let proxies = proxies
        .into_iter()
        .take_while(|(near, ..)| *near == best)
        .take(most)
        .map(|(.., proxy)| proxy.address.clone())
        .collect();
    Ok(LookupAnswer {
        name: name.to_owned(),
        locality: owner.to_string(),
        epoch,
        proxies,
        lifetime,
    })
}

/// The proxies that may carry a name's work: not evacuated, and at home for all of its services.
fn able<'a>(view: &'a View, name: &'a str) -> impl Iterator<Item = &'a Proxy> {
    let services: Vec<_> = view.configuration.services_of_name(name).collect();
    let regions: Vec<_> = view
        .configuration
        .routes_of_name(name)
        .map(|route| &route.policy.home_regions)
        .collect();
    view.proxies.iter().filter(move |proxy| {
        let place = proxy.locality.to_string();
        !view.evacuated.contains(&place)
            && services
                .iter()
                .all(|service| is_allowed_in(service, &place))
            && regions.iter().all(|regions| is_in_regions(regions, &place))
    })
}

/// The zone that owns a name for the callers of one zone: their own where a proxy of it is alive, else one of their
/// region, else any; among equals the one with the most proxies, ties broken by a spread over name and zones.
fn owner_for(view: &View, name: &str, origin: &Locality) -> Option<Locality> {
    let counts = able(view, name).fold(
        BTreeMap::new(),
        |mut counts: BTreeMap<&Locality, u64>, proxy| {
            *counts.entry(&proxy.locality).or_insert(0) += if proxy.suspect { 1 } else { 1000 };
            counts
        },
    );
    let rank = |(place, count): &(&Locality, u64)| {
        let spread = random::stable_hash_parts([name, &origin.zone, &place.zone]);
        (
            *count >= 1000,
            *place == origin,
            place.region == origin.region,
            *count,
            spread,
        )
    };
    counts
        .into_iter()
        .max_by_key(rank)
        .map(|(place, _)| place.clone())
}
