//! Manifests in the manner of the Gateway API, turned into a setup. What a setup can't express is denied with its
//! path, never left out in silence.

use config::{Configuration, JsonValue, ObjectReader, ValidationError, add_validation_error};
use std::collections::{BTreeMap, BTreeSet};
use yaml_rust2::{Yaml, YamlLoader};

const GROUP: &str = "gateway.networking.k8s.io/v1";
const CLASS: &str = "mothspindle";

/// A setup as text, and what an operator should know beside it.
pub type Turned = (String, Vec<String>);

#[derive(Default)]
struct Desk {
    validation_errors: Vec<ValidationError>,
    remarks: Vec<String>,
    gateways: BTreeSet<String>,
    routes: Vec<JsonValue>,
    aliases: Vec<JsonValue>,
    backends: BTreeMap<String, String>,
}

/// Turns manifests (YAML, several documents) into a setup. The services that routes lead to are described in `services`,
/// a setup whose routes and aliases don't matter: manifests don't say what may run twice, or where.
pub fn turn(manifests: &str, services: &str) -> Result<Turned, Vec<ValidationError>> {
    let one = |path: &str, text: String| {
        vec![ValidationError {
            path: path.into(),
            text,
        }]
    };
    let documents =
        YamlLoader::load_from_str(manifests).map_err(|failed| one("/", failed.to_string()))?;
    let described = JsonValue::parse(services).map_err(|text| one("services", text))?;
    let mut desk = Desk::default();
    let sheets: Vec<JsonValue> = documents
        .iter()
        .enumerate()
        .map(|(at, yaml)| desk.json(yaml, &format!("/{at}")))
        .collect();
    // Gateways first, whatever the order: routes name them.
    [true, false].into_iter().for_each(|gateways| {
        sheets.iter().enumerate().for_each(|(at, json)| {
            let is_gateway = json.text("kind") == Some("Gateway");
            if is_gateway == gateways {
                desk.document(json, &format!("/{at}"));
            }
        });
    });
    let known: BTreeSet<&str> = described
        .list("services")
        .iter()
        .filter_map(|json| json.text("name"))
        .collect();
    let unknown: Vec<(String, String)> = desk
        .backends
        .iter()
        .filter(|(service, _)| !known.contains(service.as_str()))
        .map(|(service, path)| {
            (
                path.clone(),
                format!("service '{service}' is not described; see --services"),
            )
        })
        .collect();
    unknown
        .into_iter()
        .for_each(|(path, text)| add_validation_error(&mut desk.validation_errors, &path, text));
    if !desk.validation_errors.is_empty() {
        return Err(desk.validation_errors);
    }
    let list = |items: &[JsonValue]| items.iter().cloned().collect::<JsonValue>();
    let configuration = JsonValue::object([
        ("services", list(described.list("services"))),
        ("routes", list(&desk.routes)),
        ("aliases", list(&desk.aliases)),
    ])
    .to_string();
    Configuration::parse(configuration.as_bytes())?;
    Ok((configuration, desk.remarks))
}

impl Desk {
    /// YAML as a sheet; what JSON has no shape for is complained of.
    fn json(&mut self, yaml: &Yaml, path: &str) -> JsonValue {
        match yaml {
            Yaml::Null => JsonValue::Null,
            Yaml::Boolean(truth) => JsonValue::Bool(*truth),
            Yaml::String(text) => JsonValue::from(text.as_str()),
            Yaml::Integer(number) if *number >= 0 => JsonValue::Integer(*number as u64),
            Yaml::Array(items) => items
                .iter()
                .enumerate()
                .map(|(at, item)| self.json(item, &format!("{path}/{at}")))
                .collect(),
            Yaml::Hash(fields) => JsonValue::Object(
                fields
                    .iter()
                    .map(|(name, value)| {
                        let name = name.as_str().unwrap_or_default().to_owned();
                        let json = self.json(value, &format!("{path}/{name}"));
                        (name, json)
                    })
                    .collect(),
            ),
            _ => {
                add_validation_error(
                    &mut self.validation_errors,
                    path,
                    "a value that no manifest has here",
                );
                JsonValue::Null
            }
        }
    }

    fn document(&mut self, json: &JsonValue, path: &str) {
        let mut fields = ObjectReader::new(json, path, &mut self.validation_errors);
        let (version, kind) = (fields.text("apiVersion"), fields.text("kind"));
        let (metadata, spec) = (
            fields.value("metadata").cloned(),
            fields.value("spec").cloned(),
        );
        fields.finish();
        if version.is_some_and(|version| version != GROUP) {
            add_validation_error(
                &mut self.validation_errors,
                &format!("{path}/apiVersion"),
                format!("must be {GROUP}"),
            );
        }
        let mut fields = ObjectReader::new(
            metadata.as_ref().unwrap_or(&JsonValue::Null),
            &format!("{path}/metadata"),
            &mut self.validation_errors,
        );
        let name = fields.id("name").unwrap_or_default();
        fields.finish();
        let spec = spec.unwrap_or(JsonValue::Null);
        match kind.as_deref() {
            Some("Gateway") => self.gateway(&name, &spec, &format!("{path}/spec")),
            Some("HTTPRoute") => self.route(&name, &spec, &format!("{path}/spec")),
            Some(other) => {
                let text = format!("'{other}' is neither Gateway nor HTTPRoute");
                add_validation_error(&mut self.validation_errors, &format!("{path}/kind"), text);
            }
            None => {}
        }
    }

    fn gateway(&mut self, name: &str, spec: &JsonValue, path: &str) {
        self.gateways.insert(name.to_owned());
        let mut fields = ObjectReader::new(spec, path, &mut self.validation_errors);
        let class = fields.text("gatewayClassName");
        let listeners = fields.list("listeners");
        fields.finish();
        if class.is_some_and(|class| class != CLASS) {
            add_validation_error(
                &mut self.validation_errors,
                &format!("{path}/gatewayClassName"),
                format!("must be {CLASS}"),
            );
        }
        listeners.iter().enumerate().for_each(|(at, listener)| {
            let path = format!("{path}/listeners/{at}");
            let mut fields = ObjectReader::new(listener, &path, &mut self.validation_errors);
            fields.id("name");
            let port = fields.count("port", 1..=65_535, None);
            let protocol = fields.text("protocol");
            fields.finish();
            if protocol.is_some_and(|protocol| protocol != "HTTP") {
                add_validation_error(&mut self.validation_errors, &format!("{path}/protocol"), "must be HTTP");
            }
            self.remarks.extend(port.map(|port| {
                format!("{path}/port: {port} is no part of a setup; carriers listen where their --http says")
            }));
        });
    }

    fn route(&mut self, name: &str, spec: &JsonValue, path: &str) {
        let mut fields = ObjectReader::new(spec, path, &mut self.validation_errors);
        let (parents, hosts, rules) = (
            fields.list("parentRefs"),
            fields.list("hostnames"),
            fields.list("rules"),
        );
        fields.finish();
        parents.iter().enumerate().for_each(|(at, parent)| {
            let path = format!("{path}/parentRefs/{at}");
            let mut fields = ObjectReader::new(parent, &path, &mut self.validation_errors);
            let gateway = fields.id("name").unwrap_or_default();
            fields.finish();
            if !self.gateways.contains(&gateway) {
                add_validation_error(
                    &mut self.validation_errors,
                    &format!("{path}/name"),
                    format!("no Gateway '{gateway}' here"),
                );
            }
        });
        let names: Vec<&str> = hosts
            .iter()
            .enumerate()
            .filter_map(|(at, host)| match host {
                JsonValue::String(host) if locality::is_valid_id(host) => Some(host.as_str()),
                _ => {
                    let text = "must be a whole host name; patterns can't be expressed";
                    add_validation_error(
                        &mut self.validation_errors,
                        &format!("{path}/hostnames/{at}"),
                        text,
                    );
                    None
                }
            })
            .collect();
        let Some((first, others)) = names.split_first() else {
            return add_validation_error(
                &mut self.validation_errors,
                &format!("{path}/hostnames"),
                "must name one host at least",
            );
        };
        let mut count = 0;
        rules.iter().enumerate().for_each(|(at, rule)| {
            let path = format!("{path}/rules/{at}");
            let mut fields = ObjectReader::new(rule, &path, &mut self.validation_errors);
            let (matches, backends) = (fields.list("matches"), fields.list("backendRefs"));
            fields.finish();
            let service = self.backend(backends, &format!("{path}/backendRefs"));
            if matches.is_empty() {
                let text = "must match one path at least: a route has a path";
                add_validation_error(
                    &mut self.validation_errors,
                    &format!("{path}/matches"),
                    text,
                );
            }
            matches.iter().enumerate().for_each(|(at, matched)| {
                let place = self.path(matched, &format!("{path}/matches/{at}"));
                count += 1;
                let id = format!("{name}-{count}");
                self.routes.push(JsonValue::object([
                    ("id", id.into()),
                    ("name", (*first).into()),
                    ("path", place.into()),
                    ("service", service.as_str().into()),
                ]));
            });
        });
        let links = others.iter().map(|other| {
            JsonValue::object([
                ("alias", (*other).into()),
                ("to", format!("{name}-1").into()),
            ])
        });
        self.aliases.extend(links);
    }

    fn backend(&mut self, backends: &[JsonValue], path: &str) -> String {
        if backends.len() != 1 {
            add_validation_error(
                &mut self.validation_errors,
                path,
                "must be one service: traffic is not split by a setup",
            );
        }
        let first = backends
            .first()
            .cloned()
            .unwrap_or(JsonValue::Object(Vec::new()));
        let path = format!("{path}/0");
        let mut fields = ObjectReader::new(&first, &path, &mut self.validation_errors);
        let service = fields.id("name").unwrap_or_default();
        // Upstreams report their own addresses; a port says nothing here.
        let port = fields.value("port").cloned();
        fields.finish();
        self.remarks.extend(port.map(|port| {
            format!("{path}/port: {port} is no part of a setup; upstreams report theirs")
        }));
        self.backends.entry(service.clone()).or_insert(path);
        service
    }

    fn path(&mut self, matched: &JsonValue, path: &str) -> String {
        let mut fields = ObjectReader::new(matched, path, &mut self.validation_errors);
        let place = fields.value("path").cloned().unwrap_or(JsonValue::Null);
        fields.finish();
        let mut fields =
            ObjectReader::new(&place, &format!("{path}/path"), &mut self.validation_errors);
        let (kind, value) = (
            fields.text("type"),
            fields.text("value").unwrap_or_default(),
        );
        fields.finish();
        if kind.is_some_and(|kind| kind != "Exact") {
            add_validation_error(
                &mut self.validation_errors,
                &format!("{path}/path/type"),
                "must be Exact: a route has one path",
            );
        }
        value
    }
}

#[cfg(test)]
mod tests {
    use super::turn;

    const SERVICES: &str = r#"{"services": [{"name": "slots", "work": "once"}]}"#;
    const GATEWAY: &str = "apiVersion: gateway.networking.k8s.io/v1
kind: Gateway
metadata: {name: door}
spec:
  gatewayClassName: mothspindle
  listeners: [{name: web, port: 80, protocol: HTTP}]
";

    fn route(match_: &str, more: &str) -> String {
        format!(
            "---
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {{name: book}}
spec:
  parentRefs: [{{name: door}}]
  hostnames: [book.example, booking.example]
  rules:
  - matches: [{match_}]
    backendRefs: [{{name: slots, port: 8080}}]
{more}"
        )
    }

    #[test]
    fn a_gateway_and_its_route_become_a_setup() {
        let manifests = format!(
            "{GATEWAY}{}",
            route("{path: {type: Exact, value: /book}}", "")
        );
        let (configuration, remarks) = turn(&manifests, SERVICES).expect("it can be expressed");
        let configuration =
            config::Configuration::parse(configuration.as_bytes()).expect("a whole setup");
        assert_eq!(
            configuration.resolve("booking.example"),
            Some("book.example")
        );
        assert_eq!(
            configuration
                .find_route("book.example", "/book")
                .map(|route| route.service.as_str()),
            Some("slots")
        );
        assert_eq!(remarks.len(), 2, "both ports are spoken of: {remarks:?}");
    }

    #[test]
    fn what_a_setup_cannot_say_is_denied_with_its_path() {
        let exact = "{path: {type: Exact, value: /book}}";
        let cases = [
            (
                format!(
                    "{GATEWAY}{}",
                    route("{path: {type: PathPrefix, value: /}}", "")
                ),
                "/1/spec/rules/0/matches/0/path/type",
            ),
            (
                format!(
                    "{GATEWAY}{}",
                    route("{path: {type: Exact, value: /b}, method: GET}", "")
                ),
                "/1/spec/rules/0/matches/0/method",
            ),
            (
                format!("{GATEWAY}{}", route(exact, "    filters: []")),
                "/1/spec/rules/0/filters",
            ),
            (route(exact, ""), "/0/spec/parentRefs/0/name"),
            (
                format!("{GATEWAY}{}", route(exact, "")).replace("name: slots", "name: seats"),
                "/1/spec/rules/0/backendRefs/0",
            ),
            (
                format!("{GATEWAY}{}", route(exact, ""))
                    .replace("[{name: slots, port: 8080}]", "[{name: slots, weight: 3}]"),
                "/1/spec/rules/0/backendRefs/0/weight",
            ),
            (
                GATEWAY.replace("HTTP", "TLS"),
                "/0/spec/listeners/0/protocol",
            ),
            (
                GATEWAY.replace("kind: Gateway", "kind: GRPCRoute"),
                "/0/kind",
            ),
            ("a: [".to_owned(), "/"),
        ];
        cases.into_iter().for_each(|(manifests, path)| {
            let told = turn(&manifests, SERVICES).expect_err("it can't be expressed");
            assert!(
                told.iter().any(|complaint| complaint.path == path),
                "{path} not in {told:?}"
            );
        });
    }
}
