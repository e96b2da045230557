//! The parts of a configuration: services, routes and aliases.

use std::time::Duration;

/// Default of [`Service::warm_up_per_second`].
pub(crate) const DEFAULT_WARM_UP_PER_SECOND: u64 = 5;
/// Default of [`Service::max_body_bytes`].
pub(crate) const DEFAULT_MAX_BODY_BYTES: u64 = 65_536;
/// Default of [`Service::max_concurrency`].
pub(crate) const DEFAULT_MAX_CONCURRENCY: u64 = 256;

/// A kind of request that upstreams process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its id.
    pub name: String,
    /// True where a request may be executed more than once without harm.
    pub idempotent: bool,
    /// True where keys are divided among the upstreams.
    pub keyed: bool,
    /// True where keys are whole numbers below `key_space::KEY_COUNT`, divided as they are; else they are hashed into
    /// slots.
    pub numeric_keys: bool,
    /// First attempts per second that one upstream may get while it warms up, from all proxies together.
    pub warm_up_per_second: u64,
    /// The path at which its upstreams say how they are, and how much longer they warm up; none where they don't.
    pub health_path: Option<String>,
    /// The only regions where its requests may go; empty means anywhere.
    pub home_regions: Vec<String>,
    /// The largest request body.
    pub max_body_bytes: u64,
    /// Most requests that one proxy processes at a time for this service.
    pub max_concurrency: u64,
}

impl Service {
    /// The position of a key in the space that this service's upstreams divide; none where it is no valid key.
    ///
    /// ```
    /// let service = config::Service { numeric_keys: true, ..Default::default() };
    /// assert_eq!(service.key_position("65535"), Some(65_535));
    /// assert_eq!(service.key_position("65536"), None);
    /// assert_eq!(config::Service::default().key_position("any"), Some(key_space::slot_of_key("any")));
    /// ```
    pub fn key_position(&self, key: &str) -> Option<u32> {
        if !self.numeric_keys {
            return Some(key_space::slot_of_key(key));
        }
        let position: u32 = key.parse().ok()?;
        (position < key_space::KEY_COUNT).then_some(position)
    }
}

impl Default for Service {
    fn default() -> Self {
        Service {
            name: String::new(),
            idempotent: false,
            keyed: false,
            numeric_keys: false,
            warm_up_per_second: DEFAULT_WARM_UP_PER_SECOND,
            health_path: None,
            home_regions: Vec::new(),
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_concurrency: DEFAULT_MAX_CONCURRENCY,
        }
    }
}

/// How requests of a route are to be handled, where the route says anything.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct RoutePolicy {
    /// Whether a request may be executed more than once; else its service says so.
    pub idempotent: Option<bool>,
    /// How long a request may take in all.
    pub timeout: Option<Duration>,
    /// The latency that responses should have (the service level objective).
    pub latency_target: Option<Duration>,
    /// The most upstreams that one request may be sent to, one after the other.
    pub max_attempts: Option<u32>,
    /// Its priority; zero is the highest.
    pub priority: u32,
    /// The only regions where its requests may go, beside what its service says; empty means anywhere.
    pub home_regions: Vec<String>,
}

/// A service among several of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's id.
    pub service: String,
    /// Its part of the requests is this in proportion to the sum of all weights.
    pub weight: u64,
}

/// Maps a name and a path to a service, or to several by weight.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Route {
    /// Its id.
    pub id: String,
    /// The name that clients look up.
    pub name: String,
    /// The path of requests.
    pub path: String,
    /// True where it matches all paths that begin with its path, unless a longer prefix does.
    pub prefix: bool,
    /// The service, where there is one only.
    pub service: String,
    /// Services with their weights; empty where there is one only.
    pub split: Vec<WeightedService>,
    /// How its requests are to be handled.
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
        let single = self.split.is_empty().then_some(self.service.as_str());
        let weighted = self.split.iter().map(|part| part.service.as_str());
        single.into_iter().chain(weighted)
    }

    /// The service for one request, by weight; the same salt always leads to the same one.
    ///
    /// ```
    /// use config::WeightedService;
    /// let split = vec![
    ///     WeightedService { service: "a".into(), weight: 0 },
    ///     WeightedService { service: "b".into(), weight: 3 },
    /// ];
    /// let route = config::Route { split, ..Default::default() };
    /// assert_eq!(route.select_service("request-1"), "b");
    /// ```
    pub fn select_service(&self, salt: &str) -> &str {
        let total: u64 = self.split.iter().map(|part| part.weight).sum();
        let mut position = random::stable_hash(salt).checked_rem(total).unwrap_or(0);
        for part in &self.split {
            if position < part.weight {
                return &part.service;
            }
            position -= part.weight;
        }
        &self.service
    }
}

/// Another name, linked to a route's id or to another alias.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alias {
    /// The other name.
    pub alias: String,
    /// A route's id, a route's name or another alias.
    pub to: String,
}
