//! A complete, validated configuration, and lookups in it.

use crate::model::{Alias, Route, Service};
use crate::parser;
use crate::validation::{ValidationError, add_validation_error};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How many aliases may lead to one another.
const MAX_ALIAS_LINKS: usize = 8;
/// Longest path of a route, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// A complete, validated configuration.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Configuration {
    /// The operator's own version number, where there is one.
    pub version: Option<u64>,
    /// By name.
    pub services: BTreeMap<String, Arc<Service>>,
    /// By id.
    pub routes: BTreeMap<String, Arc<Route>>,
    /// By alias.
    pub aliases: BTreeMap<String, Alias>,
    /// Route ids by name, then by path.
    route_ids: BTreeMap<String, BTreeMap<String, String>>,
}

impl Configuration {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// An invalid configuration is rejected as a whole, with all its errors at once.
    ///
    /// ```
    /// use config::Configuration;
    /// let configuration = Configuration::parse(br#"{
    ///   "services": [{"name": "slots", "work": "once", "warmUpPerSecond": 5}],
    ///   "routes": [{"id": "r1", "name": "book", "path": "/book", "service": "slots"}],
    ///   "aliases": [{"alias": "book.example", "to": "r1"}]
    /// }"#).unwrap();
    /// assert_eq!(configuration.resolve("book.example"), Some("book"));
    /// let validation_errors = Configuration::parse(br#"{"routes": [{"id": "r1", "name": "a", "path": "b", "service": "c"}]}"#)
    ///     .unwrap_err();
    /// assert_eq!(validation_errors.len(), 2);
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Configuration, Vec<ValidationError>> {
        parser::parse_configuration(bytes)
    }

    /// Adds a service; false where one of this name is there already.
    ///
    /// ```
    /// let mut configuration = config::Configuration::default();
    /// assert!(configuration.insert_service(config::Service { name: "s".into(), ..Default::default() }));
    /// assert!(!configuration.insert_service(config::Service { name: "s".into(), ..Default::default() }));
    /// ```
    pub fn insert_service(&mut self, service: Service) -> bool {
        let replaced = self
            .services
            .insert(service.name.clone(), Arc::new(service));
        replaced.is_none()
    }

    /// Adds a route, and reports what clashes with others; `path` is where the route stands in the configuration.
    ///
    /// ```
    /// let (mut configuration, mut validation_errors) = (config::Configuration::default(), Vec::new());
    /// let route = config::Route { id: "r".into(), name: "book".into(), path: "/a/".into(), prefix: true,
    ///     ..Default::default() };
    /// configuration.insert_route(route, "/routes/0", &mut validation_errors);
    /// assert_eq!(configuration.find_route("book", "/a/b/c").map(|route| route.id.as_str()), Some("r"));
    /// assert!(configuration.find_route("book", "/b").is_none());
    /// ```
    pub fn insert_route(
        &mut self,
        route: Route,
        path: &str,
        validation_errors: &mut Vec<ValidationError>,
    ) {
        let mut reject = |path: &str, message: String| {
            add_validation_error(validation_errors, path, message);
        };
        if !is_valid_path(&route.path) {
            let message = format!(
                "'{}' is no path; start it with / and leave out spaces, ? and #",
                route.path
            );
            reject(&format!("{path}/path"), message);
        }
        let ids_by_path = self.route_ids.entry(route.name.clone()).or_default();
        let same_path = ids_by_path.insert(route.path.clone(), route.id.clone());
        if same_path.is_some() {
            let message = format!("name '{}' and path '{}' come twice", route.name, route.path);
            reject(path, message);
        }
        let id = route.id.clone();
        let same_id = self.routes.insert(id.clone(), Arc::new(route));
        if same_id.is_some() {
            reject(&format!("{path}/id"), format!("route '{id}' comes twice"));
        }
    }

    /// Adds an alias; false where it is there already.
    pub(crate) fn insert_alias(&mut self, alias: Alias) -> bool {
        self.aliases.insert(alias.alias.clone(), alias).is_none()
    }

    /// True where routes have this name.
    pub(crate) fn has_name(&self, name: &str) -> bool {
        self.route_ids.contains_key(name)
    }

    /// The route name behind a name, a route's id or an alias. Aliases lead to a route's id, name or another alias.
    ///
    /// ```
    /// assert_eq!(config::Configuration::default().resolve("x"), None);
    /// ```
    pub fn resolve<'a>(&'a self, requested_name: &'a str) -> Option<&'a str> {
        let mut target = requested_name;
        for _ in 0..MAX_ALIAS_LINKS {
            match self.aliases.get(target) {
                Some(alias) => target = &alias.to,
                None => break,
            }
        }
        // A name before an id: a dialect whose ids may look like names must not lead one name to another.
        if let Some((name, _)) = self.route_ids.get_key_value(target) {
            return Some(name);
        }
        Some(&self.routes.get(target)?.name)
    }

    /// The route for a path under a name: the one of exactly this path, or else that of the longest matching prefix.
    ///
    /// ```
    /// assert!(config::Configuration::default().find_route("book", "/book").is_none());
    /// ```
    pub fn find_route(&self, name: &str, path: &str) -> Option<&Arc<Route>> {
        let ids_by_path = self.route_ids.get(name)?;
        let route_of_path = |path: &str| self.routes.get(ids_by_path.get(path)?);
        let longest_prefix = || {
            path.rmatch_indices('/')
                .filter_map(|(index, _)| route_of_path(&path[..=index]))
                .find(|route| route.prefix)
        };
        route_of_path(path).or_else(longest_prefix)
    }

    /// The services behind one name, once for each of its routes.
    ///
    /// ```
    /// assert_eq!(config::Configuration::default().services_of_name("book").count(), 0);
    /// ```
    pub fn services_of_name(&self, name: &str) -> impl Iterator<Item = &Arc<Service>> {
        self.routes_of_name(name)
            .flat_map(|route| route.services())
            .filter_map(|service| self.services.get(service))
    }

    /// The routes of one name.
    ///
    /// ```
    /// assert_eq!(config::Configuration::default().routes_of_name("book").count(), 0);
    /// ```
    pub fn routes_of_name(&self, name: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.route_ids
            .get(name)
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter_map(|id| self.routes.get(id))
    }

    /// The services that a name's routes lead to, for each name.
    ///
    /// ```
    /// assert!(config::Configuration::default().names().is_empty());
    /// ```
    pub fn names(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let services = |name: &str| {
            self.routes_of_name(name)
                .flat_map(|route| route.services())
                .collect()
        };
        self.route_ids
            .keys()
            .map(|name| (name.as_str(), services(name)))
            .collect()
    }
}

fn is_valid_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
}
