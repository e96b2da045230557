//! Parsing and validation of a configuration.

use crate::configuration::Configuration;
use crate::json_value::JsonValue;
use crate::model::{
    Alias, DEFAULT_MAX_BODY_BYTES, DEFAULT_MAX_CONCURRENCY, DEFAULT_WARM_UP_PER_SECOND, Route,
    RoutePolicy, Service, WeightedService,
};
use crate::object_reader::ObjectReader;
use crate::validation::{ValidationError, add_validation_error};
use std::time::Duration;

/// The largest configuration that is parsed at all.
pub const MAX_CONFIGURATION_BYTES: usize = 2 * 1024 * 1024;

const MAX_ITEMS: usize = 20_000;
const MAX_WARM_UP_PER_SECOND: u64 = 100_000;
const MAX_BODY_BYTES: u64 = 1_048_576;
const MAX_CONCURRENCY: u64 = 10_000;
const MAX_ROUTE_TIME_MS: u64 = 600_000;
const MAX_ATTEMPTS: u64 = 100;
const MAX_PRIORITY: u64 = 100;
const MAX_WEIGHT: u64 = 1_000_000;

/// See [`Configuration::parse`].
pub(crate) fn parse_configuration(bytes: &[u8]) -> Result<Configuration, Vec<ValidationError>> {
    let json = parse_json(bytes).map_err(|error| vec![error])?;
    let mut validation_errors = Vec::new();
    let mut fields = ObjectReader::new(&json, "", &mut validation_errors);
    let has_version = fields.value("number").is_some();
    let version = fields
        .count("number", 1..=u64::MAX, Some(1))
        .filter(|_| has_version);
    let services = fields.list("services");
    let routes = fields.list("routes");
    let aliases = fields.list("aliases");
    fields.finish();
    let longest = services.len().max(routes.len()).max(aliases.len());
    if longest > MAX_ITEMS {
        let message = format!("a list of {longest}; at most {MAX_ITEMS}");
        add_validation_error(&mut validation_errors, "/", message);
        return Err(validation_errors);
    }
    let mut parser = Parser {
        configuration: Configuration::default(),
        validation_errors,
    };
    parser.configuration.version = version;
    for (index, json) in services.iter().enumerate() {
        parser.add_service(json, &format!("/services/{index}"));
    }
    for (index, json) in routes.iter().enumerate() {
        parser.add_route(json, &format!("/routes/{index}"));
    }
    for (index, json) in aliases.iter().enumerate() {
        parser.add_alias(json, &format!("/aliases/{index}"));
    }
    for (index, json) in routes.iter().enumerate() {
        parser.check_route(json, &format!("/routes/{index}"));
    }
    for (index, json) in aliases.iter().enumerate() {
        parser.check_alias(json, &format!("/aliases/{index}"));
    }
    if parser.validation_errors.is_empty() {
        Ok(parser.configuration)
    } else {
        Err(parser.validation_errors)
    }
}

fn parse_json(bytes: &[u8]) -> Result<JsonValue, ValidationError> {
    if bytes.len() > MAX_CONFIGURATION_BYTES {
        let message = format!(
            "{} bytes; at most {MAX_CONFIGURATION_BYTES} are read",
            bytes.len()
        );
        return Err(ValidationError::new("/", message));
    }
    let text =
        std::str::from_utf8(bytes).map_err(|_| ValidationError::new("/", "this is not UTF-8"))?;
    JsonValue::parse(text).map_err(|error| ValidationError::new("/", error))
}

/// A configuration in the making, and what was found wrong so far.
struct Parser {
    configuration: Configuration,
    validation_errors: Vec<ValidationError>,
}

impl Parser {
    fn reject(&mut self, path: &str, message: impl Into<String>) {
        add_validation_error(&mut self.validation_errors, path, message.into());
    }

    fn add_service(&mut self, json: &JsonValue, path: &str) {
        let Some(service) = self.parse_service(json, path) else {
            return;
        };
        let name = service.name.clone();
        if !self.configuration.insert_service(service) {
            let message = format!("service '{name}' comes twice");
            self.reject(&format!("{path}/name"), message);
        }
    }

    fn parse_service(&mut self, json: &JsonValue, path: &str) -> Option<Service> {
        let mut fields = ObjectReader::new(json, path, &mut self.validation_errors);
        let name = fields.id("name");
        let work = fields.text("work");
        let keyed = fields.boolean("keyed", false);
        let numeric_keys = fields.boolean("numbered", false);
        let warm_up_per_second = fields.count(
            "warmUpPerSecond",
            1..=MAX_WARM_UP_PER_SECOND,
            Some(DEFAULT_WARM_UP_PER_SECOND),
        );
        let health_path = fields.path("healthCheckPath");
        let max_body_bytes = fields.count(
            "mostBytes",
            1..=MAX_BODY_BYTES,
            Some(DEFAULT_MAX_BODY_BYTES),
        );
        let max_concurrency = fields.count(
            "concurrency",
            1..=MAX_CONCURRENCY,
            Some(DEFAULT_MAX_CONCURRENCY),
        );
        let regions = fields.list("homeRegions");
        fields.finish();
        let home_regions = self.parse_home_regions(regions, path);
        let idempotent = work.and_then(|work| self.parse_work(&work, path));
        Some(Service {
            name: name?,
            idempotent: idempotent?,
            keyed,
            numeric_keys,
            warm_up_per_second: warm_up_per_second?,
            health_path,
            home_regions,
            max_body_bytes: max_body_bytes?,
            max_concurrency: max_concurrency?,
        })
    }

    fn add_route(&mut self, json: &JsonValue, path: &str) {
        if let Some(route) = self.parse_route(json, path) {
            self.configuration
                .insert_route(route, path, &mut self.validation_errors);
        }
    }

    fn parse_route(&mut self, json: &JsonValue, path: &str) -> Option<Route> {
        let mut fields = ObjectReader::new(json, path, &mut self.validation_errors);
        let id = fields.id("id");
        let name = fields.id("name");
        let route_path = fields.text("path");
        let prefix = fields.boolean("prefix", false);
        let split = fields.list("split");
        let service = match split.is_empty() {
            true => fields.id("service"),
            false => Some(String::new()),
        };
        let has_work = fields.value("work").is_some();
        let work = has_work.then(|| fields.text("work").unwrap_or_default());
        let timeout = optional_duration(&mut fields, "timeoutMs");
        let latency_target = optional_duration(&mut fields, "targetMs");
        let max_attempts = fields
            .count("attempts", 0..=MAX_ATTEMPTS, Some(0))
            .filter(|attempts| *attempts > 0)
            .map(|attempts| attempts as u32);
        let priority = fields
            .count("priority", 0..=MAX_PRIORITY, Some(0))
            .unwrap_or(0) as u32;
        let regions = fields.list("homeRegions");
        fields.finish();
        let home_regions = self.parse_home_regions(regions, path);
        let idempotent = work.and_then(|work| self.parse_work(&work, path));
        let split = self.parse_split(split, path);
        Some(Route {
            id: id?,
            name: name?,
            path: route_path?,
            prefix,
            service: service?,
            split,
            policy: RoutePolicy {
                idempotent,
                timeout,
                latency_target,
                max_attempts,
                priority,
                home_regions,
            },
        })
    }

    fn parse_split(&mut self, parts: &[JsonValue], path: &str) -> Vec<WeightedService> {
        let mut split = Vec::new();
        for (index, json) in parts.iter().enumerate() {
            let part_path = format!("{path}/split/{index}");
            let mut fields = ObjectReader::new(json, &part_path, &mut self.validation_errors);
            let service = fields.id("service");
            let weight = fields.count("weight", 0..=MAX_WEIGHT, None);
            fields.finish();
            if let (Some(service), Some(weight)) = (service, weight) {
                split.push(WeightedService { service, weight });
            }
        }
        if !split.is_empty() && split.iter().all(|part| part.weight == 0) {
            self.reject(&format!("{path}/split"), "the weights sum to 0");
        }
        split
    }

    fn parse_home_regions(&mut self, regions: &[JsonValue], path: &str) -> Vec<String> {
        let home_regions: Vec<String> = regions.iter().filter_map(region_id).collect();
        if home_regions.len() != regions.len() {
            self.reject(
                &format!("{path}/homeRegions"),
                "must be a list of region ids",
            );
        }
        home_regions
    }

    /// Whether requests are idempotent, by the value of a `work` field.
    fn parse_work(&mut self, work: &str, path: &str) -> Option<bool> {
        match work {
            "repeatable" => Some(true),
            "once" => Some(false),
            other => {
                let message = format!("'{other}' is neither 'repeatable' nor 'once'");
                self.reject(&format!("{path}/work"), message);
                None
            }
        }
    }

    fn add_alias(&mut self, json: &JsonValue, path: &str) {
        let mut fields = ObjectReader::new(json, path, &mut self.validation_errors);
        let alias = fields.id("alias");
        let to = fields.id("to");
        fields.finish();
        let (Some(alias), Some(to)) = (alias, to) else {
            return;
        };
        let message = format!("alias '{alias}' comes twice");
        if !self.configuration.insert_alias(Alias { alias, to }) {
            self.reject(&format!("{path}/alias"), message);
        }
    }

    /// Rejects a route that leads to an unknown service, or whose id is a name too. To be called when all items are
    /// known.
    fn check_route(&mut self, json: &JsonValue, path: &str) {
        let id = json.text("id").unwrap_or_default();
        let services: Vec<String> = match self.configuration.routes.get(id) {
            Some(route) => route.services().map(str::to_owned).collect(),
            None => json
                .text("service")
                .map(str::to_owned)
                .into_iter()
                .collect(),
        };
        for name in services {
            let is_known = self.configuration.services.contains_key(&name);
            if locality::is_valid_id(&name) && !is_known {
                self.reject(&format!("{path}/service"), format!("no service '{name}'"));
            }
        }
        if self.configuration.has_name(id) {
            let message = format!("'{id}' is also a route's name");
            self.reject(&format!("{path}/id"), message);
        }
    }

    /// Rejects an alias that is a route's name or id, dangles, or is part of a loop. To be called when all items are
    /// known.
    fn check_alias(&mut self, json: &JsonValue, path: &str) {
        let configuration = &self.configuration;
        let alias = json.text("alias").unwrap_or_default();
        let is_taken = configuration.has_name(alias) || configuration.routes.contains_key(alias);
        let is_alias = configuration.aliases.contains_key(alias);
        if is_taken {
            let message = format!("'{alias}' is also a route's name or id");
            self.reject(&format!("{path}/alias"), message);
        } else if is_alias && configuration.resolve(alias).is_none() {
            let message = format!("'{alias}' leads to no route (dangling, or a loop)");
            self.reject(&format!("{path}/to"), message);
        }
    }
}

/// A duration in milliseconds; none where it is left out or zero.
fn optional_duration(fields: &mut ObjectReader, name: &'static str) -> Option<Duration> {
    let ms = fields.count(name, 0..=MAX_ROUTE_TIME_MS, Some(0))?;
    (ms > 0).then(|| Duration::from_millis(ms))
}

fn region_id(json: &JsonValue) -> Option<String> {
    match json {
        JsonValue::String(text) if locality::is_valid_id(text) => Some(text.clone()),
        _ => None,
    }
}
