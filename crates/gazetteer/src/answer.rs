//! A directory node's answer: the owning locality's proxies, for a short lifetime.

use crate::view::{View, is_home};
use address::{Code, Locality};
use std::time::Duration;

/// How many addresses one answer names.
const MOST_PROXIES: usize = 3;

/// Where a name lives, for an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    pub name: String,
    pub locality: String,
    pub epoch: u64,
    pub proxies: Vec<String>,
    pub lifetime: Duration,
}

/// Answers a directory question. Aliases go through the id form; the owner's own proxies come first, and
/// where it has none alive, the nearest others that its work may pass through.
///
/// ```
/// use address::Code;
/// use std::time::Duration;
/// let view = gazetteer::View::default();
/// let asked = gazetteer::list(&view, "book", &"north/n1".parse().unwrap(), Duration::from_secs(2));
/// assert_eq!(asked, Err(Code::NoSuchName));
/// ```
pub fn list(view: &View, asked: &str, origin: &Locality, lifetime: Duration) -> Result<Listing, Code> {
    let name = view.setup.resolve(asked).ok_or(Code::NoSuchName)?;
    let reservation = view
        .reservations
        .get(name)
        .filter(|reservation| !view.evacuated.contains(&reservation.locality))
        .ok_or(Code::NoOwner)?;
    let owner: Locality = reservation.locality.parse().map_err(|_| Code::NoOwner)?;
    let services: Vec<_> = view.setup.services_of(name).collect();
    let mut proxies: Vec<_> = view
        .proxies
        .iter()
        .filter(|proxy| {
            let place = proxy.locality.to_string();
            !view.evacuated.contains(&place) && services.iter().all(|service| is_home(service, &place))
        })
        .map(|proxy| {
            let near = (proxy.locality != owner, proxy.locality.region != owner.region);
            let far = proxy.locality.region != origin.region;
            let near = (proxy.suspect, near.0, near.1);
            (near, far, address::spread(&format!("{asked}{origin}{}", proxy.node)), proxy)
        })
        .collect();
    proxies.sort_by_key(|(near, far, spread, _)| (*near, *far, *spread));
    let best = proxies.first().map(|(near, ..)| *near).ok_or(Code::NoOwner)?;
    let proxies = proxies
        .into_iter()
        .take_while(|(near, ..)| *near == best)
        .take(MOST_PROXIES)
        .map(|(.., proxy)| proxy.address.clone())
        .collect();
    Ok(Listing {
        name: name.to_owned(),
        locality: reservation.locality.clone(),
        epoch: reservation.epoch,
        proxies,
        lifetime,
    })
}
