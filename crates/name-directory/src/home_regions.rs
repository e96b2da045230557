//! Home regions: where the requests of a service or route may go.
//!
//! A lookup names only a host; the routes under it may have different home regions, and no region needs to be the home
//! of all. So home regions *rank* the proxies and localities for a name and never leave it without one: what a route
//! may not do is decided for each request, where its upstream is selected.

use config::{Configuration, Service};
use std::collections::BTreeMap;

/// True where a service's requests may go to a locality (text form: region/zone).
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

/// All lists of home regions that bind requests of one name: those of its routes, and of the services behind them.
pub(crate) struct HomeRegionsOfName<'a> {
    /// How many routes each list binds. Lists that allow any region are left out.
    routes_by_list: BTreeMap<&'a [String], usize>,
}

impl<'a> HomeRegionsOfName<'a> {
    pub(crate) fn new(configuration: &'a Configuration, name: &str) -> Self {
        let of_routes = configuration
            .routes_of_name(name)
            .map(|route| route.policy.home_regions.as_slice());
        let of_services = configuration
            .services_of_name(name)
            .map(|service| service.home_regions.as_slice());
        let mut routes_by_list = BTreeMap::new();
        for list in of_routes.chain(of_services) {
            if !list.is_empty() {
                *routes_by_list.entry(list).or_default() += 1;
            }
        }
        HomeRegionsOfName { routes_by_list }
    }

    /// How many routes have their homes elsewhere than in this region.
    pub(crate) fn routes_bound_elsewhere(&self, region: &str) -> usize {
        self.routes_by_list
            .iter()
            .filter(|(list, _)| !list.iter().any(|home| home == region))
            .map(|(_, routes)| routes)
            .sum()
    }
}
