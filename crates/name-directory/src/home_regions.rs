//! Home regions: where the requests of a service or route may go.
//!
//! A lookup names only a host; the routes under it may have different home regions, and no region needs to be the home
//! of all. So home regions *rank* the proxies and localities for a name and never leave it without one: what a route
//! may not do is decided for each request, where its upstream is selected.

use config::{Configuration, Route, Service};
use std::borrow::Cow;
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
    let region = region_of(locality);
    regions.is_empty() || regions.iter().any(|home| home == region)
}

/// The regions where a route's requests to a service may go: the home regions of both bind, and where they have none in
/// common there is none. `None` where they may go anywhere.
///
/// ```
/// use config::{Route, RoutePolicy, Service};
/// let homes = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<String>>();
/// let service = Service { home_regions: homes(&["north", "east"]), ..Service::default() };
/// let policy = RoutePolicy { home_regions: homes(&["east", "south"]), ..RoutePolicy::default() };
/// let route = Route { policy, ..Route::default() };
/// assert_eq!(name_directory::home_regions(Some(&route), &service).unwrap(), homes(&["east"]));
/// assert_eq!(name_directory::home_regions(None, &service).unwrap(), service.home_regions);
/// assert!(name_directory::home_regions(None, &Service::default()).is_none());
/// ```
pub fn home_regions<'a>(
    route: Option<&'a Route>,
    service: &'a Service,
) -> Option<Cow<'a, [String]>> {
    let of_route = route.map_or(&[][..], |route| &route.policy.home_regions);
    let of_service = service.home_regions.as_slice();
    match (of_route.is_empty(), of_service.is_empty()) {
        (true, true) => None,
        (true, false) => Some(Cow::Borrowed(of_service)),
        (false, true) => Some(Cow::Borrowed(of_route)),
        (false, false) => {
            let of_both = of_route.iter().filter(|region| of_service.contains(region));
            Some(Cow::Owned(of_both.cloned().collect()))
        }
    }
}

/// The region of a locality in text form (region/zone).
///
/// ```
/// assert_eq!(name_directory::region_of("north/n1"), "north");
/// ```
pub fn region_of(locality: &str) -> &str {
    locality.split('/').next().unwrap_or_default()
}

/// The lists of home regions that bind the requests of one name, each with the number of routes that it binds. Lists that allow any region are left out.
///
/// ```
/// use config::{Configuration, Route, RoutePolicy, Service};
/// let mut configuration = Configuration::default();
/// configuration.insert_service(Service { name: "s".into(), ..Service::default() });
/// for (id, home) in [("r1", "north"), ("r2", "south")] {
///     let policy = RoutePolicy { home_regions: vec![home.into()], ..RoutePolicy::default() };
///     let route = Route { id: id.into(), name: "book".into(), path: format!("/{id}"), service: "s".into(), policy,
///         ..Route::default() };
///     configuration.insert_route(route, "/routes", &mut Vec::new());
/// }
/// let lists = name_directory::HomeRegionLists::of_name(&configuration, "book");
/// assert_eq!(["north", "south", "east"].map(|region| lists.routes_bound_elsewhere(region)), [1, 1, 2]);
/// ```
pub struct HomeRegionLists<'a> {
    routes_by_list: BTreeMap<&'a [String], usize>,
}

impl<'a> HomeRegionLists<'a> {
    /// Those of a name's routes, and of the services behind them.
    pub fn of_name(configuration: &'a Configuration, name: &str) -> Self {
        let of_routes = configuration
            .routes_of_name(name)
            .map(|route| route.policy.home_regions.as_slice());
        let of_services = configuration
            .services_of_name(name)
            .map(|service| service.home_regions.as_slice());
        Self::count(of_routes.chain(of_services))
    }

    fn count(lists: impl Iterator<Item = &'a [String]>) -> Self {
        let mut routes_by_list = BTreeMap::new();
        for list in lists {
            if !list.is_empty() {
                *routes_by_list.entry(list).or_default() += 1;
            }
        }
        HomeRegionLists { routes_by_list }
    }

    /// How many routes have their homes elsewhere than in this region.
    pub fn routes_bound_elsewhere(&self, region: &str) -> usize {
        self.routes_by_list
            .iter()
            .filter(|(list, _)| !list.iter().any(|home| home == region))
            .map(|(_, routes)| routes)
            .sum()
    }

    /// The same for a locality in text form (region/zone).
    pub fn routes_bound_elsewhere_than(&self, locality: &str) -> usize {
        self.routes_bound_elsewhere(region_of(locality))
    }
}
