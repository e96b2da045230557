//! Converts manifests in the form of the Kubernetes Gateway API into a configuration. What a configuration can't
//! express is rejected with its path, never dropped silently.

use config::{Configuration, JsonValue, ObjectReader, ValidationError, add_validation_error};
use std::collections::{BTreeMap, BTreeSet};
use yaml_rust2::{Yaml, YamlLoader};

const API_VERSION: &str = "gateway.networking.k8s.io/v1";
const GATEWAY_CLASS: &str = "mothspindle";
const GATEWAY_KIND: &str = "Gateway";
const ROUTE_KIND: &str = "HTTPRoute";

/// What manifests were converted into.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Converted {
    /// The configuration, as JSON.
    pub configuration: String,
    /// What an operator should know about parts of the manifests that have no effect.
    pub remarks: Vec<String>,
}

/// Converts manifests (YAML, several documents). Backends of routes are described in `services`, a configuration whose
/// routes and aliases are ignored: manifests don't say which requests are idempotent, or where a service runs.
///
/// ```
/// let errors = cli::gateway_api::convert("a: [", r#"{"services": []}"#).unwrap_err();
/// assert_eq!(errors[0].path, "/");
/// ```
pub fn convert(manifests: &str, services: &str) -> Result<Converted, Vec<ValidationError>> {
    let documents = YamlLoader::load_from_str(manifests)
        .map_err(|error| single_error("/", error.to_string()))?;
    let described =
        JsonValue::parse(services).map_err(|error| single_error("services", error.to_string()))?;
    let mut converter = Converter::default();
    converter.read_documents(&documents);
    converter.check_backends(&described);
    if !converter.validation_errors.is_empty() {
        return Err(converter.validation_errors);
    }
    let configuration = JsonValue::object([
        ("services", list(described.list("services"))),
        ("routes", list(&converter.routes)),
        ("aliases", list(&converter.aliases)),
    ])
    .to_string();
    Configuration::parse(configuration.as_bytes())?;
    Ok(Converted {
        configuration,
        remarks: converter.remarks,
    })
}

fn single_error(path: &str, text: String) -> Vec<ValidationError> {
    vec![ValidationError::new(path, text)]
}

fn list(items: &[JsonValue]) -> JsonValue {
    items.iter().cloned().collect()
}

/// What was read from the manifests so far.
#[derive(Default)]
struct Converter {
    validation_errors: Vec<ValidationError>,
    remarks: Vec<String>,
    /// Names of all gateways.
    gateways: BTreeSet<String>,
    routes: Vec<JsonValue>,
    aliases: Vec<JsonValue>,
    /// Services that routes lead to, each with the path where it was first named.
    backends: BTreeMap<String, String>,
}

impl Converter {
    fn reject(&mut self, path: &str, text: impl std::fmt::Display) {
        add_validation_error(&mut self.validation_errors, path, text);
    }

    fn read_documents(&mut self, documents: &[Yaml]) {
        let mut manifests = Vec::with_capacity(documents.len());
        for (index, yaml) in documents.iter().enumerate() {
            let path = format!("/{index}");
            manifests.push((self.json(yaml, &path), path));
        }
        let is_gateway = |manifest: &JsonValue| manifest.text("kind") == Some(GATEWAY_KIND);
        // Gateways first, whatever the order: routes refer to them.
        for (manifest, path) in manifests.iter().filter(|(json, _)| is_gateway(json)) {
            self.read_manifest(manifest, path);
        }
        for (manifest, path) in manifests.iter().filter(|(json, _)| !is_gateway(json)) {
            self.read_manifest(manifest, path);
        }
    }

    /// YAML as JSON; values that JSON or a manifest can't have are rejected.
    fn json(&mut self, yaml: &Yaml, path: &str) -> JsonValue {
        match yaml {
            Yaml::Null => JsonValue::Null,
            Yaml::Boolean(truth) => JsonValue::Bool(*truth),
            Yaml::String(text) => JsonValue::from(text.as_str()),
            Yaml::Integer(number) if *number >= 0 => JsonValue::Integer(*number as u64),
            Yaml::Array(items) => items
                .iter()
                .enumerate()
                .map(|(index, item)| self.json(item, &format!("{path}/{index}")))
                .collect(),
            Yaml::Hash(fields) => {
                let mut json_fields = Vec::with_capacity(fields.len());
                for (name, value) in fields {
                    let name = name.as_str().unwrap_or_default().to_owned();
                    let json = self.json(value, &format!("{path}/{name}"));
                    json_fields.push((name, json));
                }
                JsonValue::Object(json_fields)
            }
            _ => {
                self.reject(path, "a value that no manifest has here");
                JsonValue::Null
            }
        }
    }

    fn read_manifest(&mut self, manifest: &JsonValue, path: &str) {
        let mut fields = ObjectReader::new(manifest, path, &mut self.validation_errors);
        let version = fields.text("apiVersion");
        let kind = fields.text("kind");
        let metadata = fields.value("metadata").cloned().unwrap_or(JsonValue::Null);
        let spec = fields.value("spec").cloned().unwrap_or(JsonValue::Null);
        fields.finish();
        if version.is_some_and(|version| version != API_VERSION) {
            self.reject(
                &format!("{path}/apiVersion"),
                format!("must be {API_VERSION}"),
            );
        }
        let metadata_path = format!("{path}/metadata");
        let name = self.object_name(&metadata, &metadata_path);
        let spec_path = format!("{path}/spec");
        match kind.as_deref() {
            Some(GATEWAY_KIND) => self.read_gateway(name, &spec, &spec_path),
            Some(ROUTE_KIND) => self.read_route(&name, &spec, &spec_path),
            Some(other) => self.reject(
                &format!("{path}/kind"),
                format!("'{other}' is neither {GATEWAY_KIND} nor {ROUTE_KIND}"),
            ),
            None => {}
        }
    }

    /// Reads an object of which only `name` is known.
    fn object_name(&mut self, object: &JsonValue, path: &str) -> String {
        let mut fields = ObjectReader::new(object, path, &mut self.validation_errors);
        let name = fields.id("name").unwrap_or_default();
        fields.finish();
        name
    }

    fn read_gateway(&mut self, name: String, spec: &JsonValue, path: &str) {
        self.gateways.insert(name);
        let mut fields = ObjectReader::new(spec, path, &mut self.validation_errors);
        let class = fields.text("gatewayClassName");
        let listeners = fields.list("listeners");
        fields.finish();
        if class.is_some_and(|class| class != GATEWAY_CLASS) {
            self.reject(
                &format!("{path}/gatewayClassName"),
                format!("must be {GATEWAY_CLASS}"),
            );
        }
        for (index, listener) in listeners.iter().enumerate() {
            self.read_listener(listener, &format!("{path}/listeners/{index}"));
        }
    }

    fn read_listener(&mut self, listener: &JsonValue, path: &str) {
        let mut fields = ObjectReader::new(listener, path, &mut self.validation_errors);
        fields.id("name");
        let port = fields.count("port", 1..=65_535, None);
        let protocol = fields.text("protocol");
        fields.finish();
        if protocol.is_some_and(|protocol| protocol != "HTTP") {
            self.reject(&format!("{path}/protocol"), "must be HTTP");
        }
        if let Some(port) = port {
            self.remarks.push(format!(
                "{path}/port: {port} has no effect; data-plane nodes listen where their --http says"
            ));
        }
    }

    fn read_route(&mut self, name: &str, spec: &JsonValue, path: &str) {
        let mut fields = ObjectReader::new(spec, path, &mut self.validation_errors);
        let parents = fields.list("parentRefs");
        let hosts = fields.list("hostnames");
        let rules = fields.list("rules");
        fields.finish();
        for (index, parent) in parents.iter().enumerate() {
            self.check_parent(parent, &format!("{path}/parentRefs/{index}"));
        }
        let hosts = self.host_names(hosts, &format!("{path}/hostnames"));
        let Some((host, other_hosts)) = hosts.split_first() else {
            return self.reject(&format!("{path}/hostnames"), "must name one host at least");
        };
        let mut route_count = 0;
        for (index, rule) in rules.iter().enumerate() {
            for matched in self.read_rule(rule, &format!("{path}/rules/{index}")) {
                route_count += 1;
                self.routes.push(JsonValue::object([
                    ("id", format!("{name}-{route_count}").into()),
                    ("name", (*host).into()),
                    ("path", matched.path.into()),
                    ("service", matched.service.into()),
                ]));
            }
        }
        for other in other_hosts {
            self.aliases.push(JsonValue::object([
                ("alias", (*other).into()),
                ("to", format!("{name}-1").into()),
            ]));
        }
    }

    fn check_parent(&mut self, parent: &JsonValue, path: &str) {
        let gateway = self.object_name(parent, path);
        if !self.gateways.contains(&gateway) {
            self.reject(
                &format!("{path}/name"),
                format!("no Gateway '{gateway}' here"),
            );
        }
    }

    fn host_names<'a>(&mut self, hosts: &'a [JsonValue], path: &str) -> Vec<&'a str> {
        let mut names = Vec::with_capacity(hosts.len());
        for (index, host) in hosts.iter().enumerate() {
            match host {
                JsonValue::String(host) if locality::is_valid_id(host) => names.push(host.as_str()),
                _ => self.reject(
                    &format!("{path}/{index}"),
                    "must be a complete host name; patterns can't be expressed",
                ),
            }
        }
        names
    }

    /// The paths that a rule matches, each with the service that it leads to.
    fn read_rule(&mut self, rule: &JsonValue, path: &str) -> Vec<MatchedPath> {
        let mut fields = ObjectReader::new(rule, path, &mut self.validation_errors);
        let matches = fields.list("matches");
        let backends = fields.list("backendRefs");
        fields.finish();
        let service = self.read_backend(backends, &format!("{path}/backendRefs"));
        if matches.is_empty() {
            self.reject(
                &format!("{path}/matches"),
                "must match one path at least: a route has a path",
            );
        }
        let mut matched = Vec::with_capacity(matches.len());
        for (index, json) in matches.iter().enumerate() {
            matched.push(MatchedPath {
                path: self.read_match(json, &format!("{path}/matches/{index}")),
                service: service.clone(),
            });
        }
        matched
    }

    /// The service that a rule leads to.
    fn read_backend(&mut self, backends: &[JsonValue], path: &str) -> String {
        if backends.len() != 1 {
            self.reject(path, "must be one service: a rule can't split traffic");
        }
        let first = backends
            .first()
            .cloned()
            .unwrap_or(JsonValue::Object(Vec::new()));
        let path = format!("{path}/0");
        let mut fields = ObjectReader::new(&first, &path, &mut self.validation_errors);
        let service = fields.id("name").unwrap_or_default();
        let port = fields.value("port").cloned();
        fields.finish();
        if let Some(port) = port {
            self.remarks.push(format!(
                "{path}/port: {port} has no effect; upstreams report their own"
            ));
        }
        self.backends.entry(service.clone()).or_insert(path);
        service
    }

    /// The path of one match.
    fn read_match(&mut self, matched: &JsonValue, path: &str) -> String {
        let mut fields = ObjectReader::new(matched, path, &mut self.validation_errors);
        let path_match = fields.value("path").cloned().unwrap_or(JsonValue::Null);
        fields.finish();
        let path = format!("{path}/path");
        let mut fields = ObjectReader::new(&path_match, &path, &mut self.validation_errors);
        let kind = fields.text("type");
        let value = fields.text("value").unwrap_or_default();
        fields.finish();
        if kind.is_some_and(|kind| kind != "Exact") {
            self.reject(
                &format!("{path}/type"),
                "must be Exact: a route has one path",
            );
        }
        value
    }

    /// Rejects routes to services that are not described.
    fn check_backends(&mut self, described: &JsonValue) {
        let known: BTreeSet<&str> = described
            .list("services")
            .iter()
            .filter_map(|json| json.text("name"))
            .collect();
        for (service, path) in &self.backends {
            if !known.contains(service.as_str()) {
                add_validation_error(
                    &mut self.validation_errors,
                    path,
                    format!("service '{service}' is not described; see --services"),
                );
            }
        }
    }
}

/// A path that a rule matches, and the service that it leads to.
struct MatchedPath {
    path: String,
    service: String,
}
