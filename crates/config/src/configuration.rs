//! The operators' setup: services, routes and aliases.

use crate::check::{ObjectReader, ValidationError, add_validation_error};
use crate::json_value::JsonValue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The largest setup that is read at all.
pub const MAX_CONFIGURATION_BYTES: usize = 2 * 1024 * 1024;
const MAX_ITEMS: usize = 20_000;
/// How many aliases may lead to one another.
const MAX_LINKS: usize = 8;

/// A kind of work that upstreams do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    /// True where a request may run more than once without harm.
    pub idempotent: bool,
    /// True where keys are divided among the upstreams.
    pub keyed: bool,
    /// True where keys are whole numbers of `key_space::KEY_COUNT`, divided as they are; else they are hashed into slots.
    pub numeric_keys: bool,
    /// First sends a second that one cold upstream may get, over all proxies together.
    pub warm_up_per_second: u64,
    /// The only regions where its work may go; empty means anywhere.
    pub home_regions: Vec<String>,
    /// The largest request body.
    pub max_body_bytes: u64,
    /// Requests that one proxy serves at a time for this service.
    pub max_concurrency: u64,
}

impl Service {
    /// The place of a key in the space that this service's upstreams divide; none where it can't be one.
    ///
    /// ```
    /// let service = config::Service { numeric_keys: true, ..Default::default() };
    /// assert_eq!(service.key_position("65535"), Some(65_535));
    /// assert_eq!(service.key_position("65536"), None);
    /// assert_eq!(config::Service::default().key_position("any"), Some(key_space::slot_of_key("any")));
    /// ```
    pub fn key_position(&self, key: &str) -> Option<u32> {
        if self.numeric_keys {
            return key
                .parse::<u32>()
                .ok()
                .filter(|key| *key < key_space::KEY_COUNT);
        }
        Some(key_space::slot_of_key(key))
    }
}

impl Default for Service {
    fn default() -> Self {
        Service {
            name: String::new(),
            idempotent: false,
            keyed: false,
            numeric_keys: false,
            warm_up_per_second: 5,
            home_regions: Vec::new(),
            max_body_bytes: 65_536,
            max_concurrency: 256,
        }
    }
}

/// What a route says of the requests on it, where it says anything.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct RoutePolicy {
    /// Whether a request may run more than once; else its service says it.
    pub idempotent: Option<bool>,
    /// The longest that a request is held.
    pub timeout: Option<Duration>,
    /// An answer within it earns its full worth.
    pub latency_target: Option<Duration>,
    /// The most upstreams that one try may be sent to.
    pub max_attempts: Option<u32>,
    /// Its rank; zero is the highest.
    pub priority: u32,
    /// The only regions where its work may go, beside what its service says; empty means anywhere.
    pub home_regions: Vec<String>,
}

/// Ties a name and a path to a service, or to several by weight.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Route {
    pub id: String,
    pub name: String,
    pub path: String,
    /// True where it serves all that begins with its path, unless a longer one does.
    pub prefix: bool,
    pub service: String,
    /// Services with their weights; empty where there is one only.
    pub split: Vec<(String, u64)>,
    pub policy: RoutePolicy,
}

impl Route {
    /// Every service that it may lead to.
    ///
    /// ```
    /// let route = config::Route { service: "s".into(), ..Default::default() };
    /// assert_eq!(route.services().collect::<Vec<_>>(), ["s"]);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let one = Some(self.service.as_str()).filter(|_| self.split.is_empty());
        one.into_iter()
            .chain(self.split.iter().map(|(service, _)| service.as_str()))
    }

    /// The service for one request, by weight; the same salt always leads to the same one.
    ///
    /// ```
    /// let split = vec![("a".to_owned(), 0), ("b".to_owned(), 3)];
    /// let route = config::Route { split, ..Default::default() };
    /// assert_eq!(route.select_service("try-1"), "b");
    /// ```
    pub fn select_service(&self, salt: &str) -> &str {
        let sum: u64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut at = random::stable_hash(salt).checked_rem(sum).unwrap_or(0);
        let picked = self.split.iter().find(|(_, weight)| {
            let found = at < *weight;
            at = at.saturating_sub(*weight);
            found
        });
        picked
            .map(|(service, _)| service.as_str())
            .unwrap_or(&self.service)
    }
}

/// Another name, linked to a route's id (the id-form name) or to another alias.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alias {
    pub alias: String,
    pub to: String,
}

/// A whole, checked setup.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Configuration {
    /// The operator's own version number, where there is one.
    pub version: Option<u64>,
    pub services: BTreeMap<String, Arc<Service>>,
    pub routes: BTreeMap<String, Arc<Route>>,
    pub aliases: BTreeMap<String, Alias>,
    /// Route ids by name, then by path.
    places: BTreeMap<String, BTreeMap<String, String>>,
}

impl Configuration {
    /// Reads and checks a setup; a bad one is denied whole, with every complaint at once.
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
        let whole = |text: String| {
            vec![ValidationError {
                path: "/".into(),
                text,
            }]
        };
        if bytes.len() > MAX_CONFIGURATION_BYTES {
            return Err(whole(format!(
                "{} bytes; at most {MAX_CONFIGURATION_BYTES} are read",
                bytes.len()
            )));
        }
        let json = std::str::from_utf8(bytes)
            .map_err(|_| "this is not UTF-8".to_owned())
            .and_then(JsonValue::parse)
            .map_err(whole)?;
        let mut validation_errors = Vec::new();
        let mut fields = ObjectReader::new(&json, "", &mut validation_errors);
        let has_version = fields.value("number").is_some();
        let version = fields
            .count("number", 1..=u64::MAX, Some(1))
            .filter(|_| has_version);
        let (services, routes, aliases) = (
            fields.list("services"),
            fields.list("routes"),
            fields.list("aliases"),
        );
        fields.finish();
        let most = [services.len(), routes.len(), aliases.len()]
            .into_iter()
            .max()
            .unwrap_or(0);
        if most > MAX_ITEMS {
            add_validation_error(
                &mut validation_errors,
                "/",
                format!("a list of {most}; at most {MAX_ITEMS}"),
            );
            return Err(validation_errors);
        }
        let mut configuration = Configuration {
            version,
            ..Configuration::default()
        };
        services
            .iter()
            .enumerate()
            .for_each(|(at, json)| configuration.add_service(json, at, &mut validation_errors));
        routes
            .iter()
            .enumerate()
            .for_each(|(at, json)| configuration.add_route(json, at, &mut validation_errors));
        aliases
            .iter()
            .enumerate()
            .for_each(|(at, json)| configuration.add_alias(json, at, &mut validation_errors));
        configuration.check_links(routes, aliases, &mut validation_errors);
        if validation_errors.is_empty() {
            Ok(configuration)
        } else {
            Err(validation_errors)
        }
    }

    fn add_service(
        &mut self,
        json: &JsonValue,
        at: usize,
        validation_errors: &mut Vec<ValidationError>,
    ) {
        let path = format!("/services/{at}");
        let mut fields = ObjectReader::new(json, &path, validation_errors);
        let name = fields.id("name");
        let work = fields.text("work");
        let keyed = fields.boolean("keyed", false);
        let numeric_keys = fields.boolean("numbered", false);
        let warm_up_per_second = fields.count("warmUpPerSecond", 1..=100_000, Some(5));
        let max_body_bytes = fields.count("mostBytes", 1..=1_048_576, Some(65_536));
        let max_concurrency = fields.count("concurrency", 1..=10_000, Some(256));
        let regions = fields.list("homeRegions");
        fields.finish();
        let home_regions: Vec<String> = regions.iter().filter_map(region).collect();
        if home_regions.len() != regions.len() {
            add_validation_error(
                validation_errors,
                &format!("{path}/homeRegions"),
                "must be a list of region ids",
            );
        }
        let idempotent = work
            .as_deref()
            .and_then(|work| idempotent(work, &path, validation_errors));
        let service = name
            .zip(idempotent)
            .zip(warm_up_per_second)
            .zip(max_body_bytes.zip(max_concurrency));
        if let Some((((name, idempotent), warm_up_per_second), (max_body_bytes, max_concurrency))) =
            service
        {
            let known = name.clone();
            let service = Service {
                name,
                idempotent,
                keyed,
                numeric_keys,
                warm_up_per_second,
                home_regions,
                max_body_bytes,
                max_concurrency,
            };
            if !self.insert_service(service) {
                add_validation_error(
                    validation_errors,
                    &format!("{path}/name"),
                    format!("service '{known}' comes twice"),
                );
            }
        }
    }

    /// Adds a service; false where one of this name is there already.
    ///
    /// ```
    /// let mut configuration = config::Configuration::default();
    /// assert!(configuration.insert_service(config::Service { name: "s".into(), ..Default::default() }));
    /// assert!(!configuration.insert_service(config::Service { name: "s".into(), ..Default::default() }));
    /// ```
    pub fn insert_service(&mut self, service: Service) -> bool {
        self.services
            .insert(service.name.clone(), Arc::new(service))
            .is_none()
    }

    /// Adds a route, and complains of what clashes.
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
        if !is_path(&route.path) {
            let text = format!(
                "'{}' is no path; start it with / and leave out spaces, ? and #",
                route.path
            );
            add_validation_error(validation_errors, &format!("{path}/path"), text);
        }
        let by_path = self.places.entry(route.name.clone()).or_default();
        if by_path
            .insert(route.path.clone(), route.id.clone())
            .is_some()
        {
            add_validation_error(
                validation_errors,
                path,
                format!("name '{}' and path '{}' come twice", route.name, route.path),
            );
        }
        let id = route.id.clone();
        if self.routes.insert(id.clone(), Arc::new(route)).is_some() {
            add_validation_error(
                validation_errors,
                &format!("{path}/id"),
                format!("route '{id}' comes twice"),
            );
        }
    }

    fn add_route(
        &mut self,
        json: &JsonValue,
        at: usize,
        validation_errors: &mut Vec<ValidationError>,
    ) {
        let path = format!("/routes/{at}");
        let mut fields = ObjectReader::new(json, &path, validation_errors);
        let ids = fields.id("id").zip(fields.id("name"));
        let to = fields.text("path");
        let prefix = fields.boolean("prefix", false);
        let split = fields.list("split");
        let service = if split.is_empty() {
            fields.id("service")
        } else {
            Some(String::new())
        };
        let work = fields
            .value("work")
            .map(|_| fields.text("work").unwrap_or_default());
        let mut span = |name| {
            fields
                .count(name, 0..=600_000, Some(0))
                .filter(|ms| *ms > 0)
                .map(Duration::from_millis)
        };
        let (timeout, latency_target) = (span("timeoutMs"), span("targetMs"));
        let max_attempts = fields
            .count("attempts", 0..=100, Some(0))
            .filter(|most| *most > 0)
            .map(|most| most as u32);
        let priority = fields.count("priority", 0..=100, Some(0)).unwrap_or(0) as u32;
        let regions = fields.list("homeRegions");
        fields.finish();
        let home_regions: Vec<String> = regions.iter().filter_map(region).collect();
        if home_regions.len() != regions.len() {
            add_validation_error(
                validation_errors,
                &format!("{path}/homeRegions"),
                "must be a list of region ids",
            );
        }
        let idempotent = work.and_then(|work| idempotent(&work, &path, validation_errors));
        let split = split.iter().enumerate().filter_map(|(part, json)| {
            let mut fields =
                ObjectReader::new(json, &format!("{path}/split/{part}"), validation_errors);
            let share = fields
                .id("service")
                .zip(fields.count("weight", 0..=1_000_000, None));
            fields.finish();
            share
        });
        let split: Vec<(String, u64)> = split.collect();
        if !split.is_empty() && split.iter().all(|(_, weight)| *weight == 0) {
            add_validation_error(
                validation_errors,
                &format!("{path}/split"),
                "the weights sum to 0",
            );
        }
        let policy = RoutePolicy {
            idempotent,
            timeout,
            latency_target,
            max_attempts,
            priority,
            home_regions,
        };
        ids.zip(to.zip(service))
            .into_iter()
            .for_each(|((id, name), (to, service))| {
                let split = split.clone();
                let route = Route {
                    id,
                    name,
                    path: to,
                    prefix,
                    service,
                    split,
                    policy: policy.clone(),
                };
                self.insert_route(route, &path, validation_errors);
            });
    }

    fn add_alias(
        &mut self,
        json: &JsonValue,
        at: usize,
        validation_errors: &mut Vec<ValidationError>,
    ) {
        let path = format!("/aliases/{at}");
        let mut fields = ObjectReader::new(json, &path, validation_errors);
        let link = fields.id("alias").zip(fields.id("to"));
        fields.finish();
        link.into_iter().for_each(|(alias, to)| {
            if self
                .aliases
                .insert(
                    alias.clone(),
                    Alias {
                        alias: alias.clone(),
                        to,
                    },
                )
                .is_some()
            {
                add_validation_error(
                    validation_errors,
                    &format!("{path}/alias"),
                    format!("alias '{alias}' comes twice"),
                );
            }
        });
    }

    /// What no single item shows: dangling links, names that clash, loops.
    fn check_links(
        &self,
        routes: &[JsonValue],
        aliases: &[JsonValue],
        validation_errors: &mut Vec<ValidationError>,
    ) {
        routes.iter().enumerate().for_each(|(at, json)| {
            let id = json.text("id").unwrap_or_default();
            let services = self
                .routes
                .get(id)
                .map(|route| route.services().collect())
                .unwrap_or_else(|| Vec::from_iter(json.text("service")));
            services
                .into_iter()
                .filter(|name| locality::is_valid_id(name) && !self.services.contains_key(*name))
                .for_each(|name| {
                    add_validation_error(
                        validation_errors,
                        &format!("/routes/{at}/service"),
                        format!("no service '{name}'"),
                    )
                });
            if self.places.contains_key(id) {
                add_validation_error(
                    validation_errors,
                    &format!("/routes/{at}/id"),
                    format!("'{id}' is also a route's name"),
                );
            }
        });
        aliases.iter().enumerate().for_each(|(at, json)| {
            let alias = json.text("alias").unwrap_or_default();
            if self.places.contains_key(alias) || self.routes.contains_key(alias) {
                let text = format!("'{alias}' is also a route's name or id");
                add_validation_error(validation_errors, &format!("/aliases/{at}/alias"), text);
            } else if self.aliases.contains_key(alias) && self.resolve(alias).is_none() {
                let text = format!("'{alias}' leads to no route (dangling, or a loop)");
                add_validation_error(validation_errors, &format!("/aliases/{at}/to"), text);
            }
        });
    }

    /// The route name behind a name, an id-form name or an alias. Aliases go through the id form.
    ///
    /// ```
    /// assert_eq!(config::Configuration::default().resolve("x"), None);
    /// ```
    pub fn resolve<'a>(&'a self, asked: &'a str) -> Option<&'a str> {
        let link = |name: &&'a str| self.aliases.get(*name).map(|alias| alias.to.as_str());
        let id = std::iter::successors(Some(asked), link)
            .take(MAX_LINKS + 1)
            .last()?;
        let route = self.routes.get(id).map(|route| route.name.as_str());
        route.or_else(|| self.places.get_key_value(id).map(|(name, _)| name.as_str()))
    }

    /// The route that serves a path under a name: the very path, or else the longest prefix that begins it.
    ///
    /// ```
    /// assert!(config::Configuration::default().find_route("book", "/book").is_none());
    /// ```
    pub fn find_route(&self, name: &str, path: &str) -> Option<&Arc<Route>> {
        let by_path = self.places.get(name)?;
        let find = |path: &str| by_path.get(path).and_then(|id| self.routes.get(id));
        find(path).or_else(|| {
            let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
            ends.filter_map(find).find(|route| route.prefix)
        })
    }

    /// The services behind one name, once for each of its routes.
    ///
    /// ```
    /// assert_eq!(config::Configuration::default().services_of_name("book").count(), 0);
    /// ```
    pub fn services_of_name(&self, name: &str) -> impl Iterator<Item = &Arc<Service>> {
        let services = self.routes_of_name(name).flat_map(|route| route.services());
        services.filter_map(|service| self.services.get(service))
    }

    /// The routes of one name.
    ///
    /// ```
    /// assert_eq!(config::Configuration::default().routes_of_name("book").count(), 0);
    /// ```
    pub fn routes_of_name(&self, name: &str) -> impl Iterator<Item = &Arc<Route>> {
        let ids = self.places.get(name).into_iter().flat_map(BTreeMap::values);
        ids.filter_map(|id| self.routes.get(id))
    }

    /// The services that a name's routes lead to, with its name, for each name.
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
        self.places
            .keys()
            .map(|name| (name.as_str(), services(name)))
            .collect()
    }
}

fn idempotent(
    work: &str,
    path: &str,
    validation_errors: &mut Vec<ValidationError>,
) -> Option<bool> {
    match work {
        "repeatable" => Some(true),
        "once" => Some(false),
        other => {
            let text = format!("'{other}' is neither 'repeatable' nor 'once'");
            add_validation_error(validation_errors, &format!("{path}/work"), text);
            None
        }
    }
}

fn region(json: &JsonValue) -> Option<String> {
    match json {
        JsonValue::String(text) if locality::is_valid_id(text) => Some(text.clone()),
        _ => None,
    }
}

fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= 256
        && path
            .bytes()
            .all(|b| b.is_ascii_graphic() && !matches!(b, b'?' | b'#'))
}
