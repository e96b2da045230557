//! Manifests in the manner of the Gateway API, turned into a setup. What a setup can't express is denied with its
//! path, never left out in silence.

use config::{Complaint, Fields, Setup, Sheet, complain};
use std::collections::{BTreeMap, BTreeSet};
use yaml_rust2::{Yaml, YamlLoader};

const GROUP: &str = "gateway.networking.k8s.io/v1";
const CLASS: &str = "mothspindle";

/// A setup as text, and what an operator should know beside it.
pub type Turned = (String, Vec<String>);

#[derive(Default)]
struct Desk {
    complaints: Vec<Complaint>,
    remarks: Vec<String>,
    gateways: BTreeSet<String>,
    routes: Vec<Sheet>,
    aliases: Vec<Sheet>,
    backends: BTreeMap<String, String>,
}

/// Turns manifests (YAML, several documents) into a setup. The services that routes lead to are described in `services`,
/// a setup whose routes and aliases don't matter: manifests don't say what may run twice, or where.
pub fn turn(manifests: &str, services: &str) -> Result<Turned, Vec<Complaint>> {
    let one = |path: &str, text: String| {
        vec![Complaint {
            path: path.into(),
            text,
        }]
    };
    let documents =
        YamlLoader::load_from_str(manifests).map_err(|failed| one("/", failed.to_string()))?;
    let described = Sheet::read(services).map_err(|text| one("services", text))?;
    let mut desk = Desk::default();
    let sheets: Vec<Sheet> = documents
        .iter()
        .enumerate()
        .map(|(at, yaml)| desk.sheet(yaml, &format!("/{at}")))
        .collect();
    // Gateways first, whatever the order: routes name them.
    [true, false].into_iter().for_each(|gateways| {
        sheets.iter().enumerate().for_each(|(at, sheet)| {
            let is_gateway = sheet.text("kind") == Some("Gateway");
            if is_gateway == gateways {
                desk.document(sheet, &format!("/{at}"));
            }
        });
    });
    let known: BTreeSet<&str> = described
        .list("services")
        .iter()
        .filter_map(|sheet| sheet.text("name"))
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
        .for_each(|(path, text)| complain(&mut desk.complaints, &path, text));
    if !desk.complaints.is_empty() {
        return Err(desk.complaints);
    }
    let list = |items: &[Sheet]| items.iter().cloned().collect::<Sheet>();
    let setup = Sheet::fields([
        ("services", list(described.list("services"))),
        ("routes", list(&desk.routes)),
        ("aliases", list(&desk.aliases)),
    ])
    .to_string();
    Setup::read(setup.as_bytes())?;
    Ok((setup, desk.remarks))
}

impl Desk {
    /// YAML as a sheet; what JSON has no shape for is complained of.
    fn sheet(&mut self, yaml: &Yaml, path: &str) -> Sheet {
        match yaml {
            Yaml::Null => Sheet::Null,
            Yaml::Boolean(truth) => Sheet::Truth(*truth),
            Yaml::String(text) => Sheet::from(text.as_str()),
            Yaml::Integer(number) if *number >= 0 => Sheet::Count(*number as u64),
            Yaml::Array(items) => items
                .iter()
                .enumerate()
                .map(|(at, item)| self.sheet(item, &format!("{path}/{at}")))
                .collect(),
            Yaml::Hash(fields) => Sheet::Fields(
                fields
                    .iter()
                    .map(|(name, value)| {
                        let name = name.as_str().unwrap_or_default().to_owned();
                        let sheet = self.sheet(value, &format!("{path}/{name}"));
                        (name, sheet)
                    })
                    .collect(),
            ),
            _ => {
                complain(
                    &mut self.complaints,
                    path,
                    "a value that no manifest has here",
                );
                Sheet::Null
            }
        }
    }

    fn document(&mut self, sheet: &Sheet, path: &str) {
        let mut fields = Fields::open(sheet, path, &mut self.complaints);
        let (version, kind) = (fields.text("apiVersion"), fields.text("kind"));
        let (metadata, spec) = (
            fields.part("metadata").cloned(),
            fields.part("spec").cloned(),
        );
        fields.close();
        if version.is_some_and(|version| version != GROUP) {
            complain(
                &mut self.complaints,
                &format!("{path}/apiVersion"),
                format!("must be {GROUP}"),
            );
        }
        let mut fields = Fields::open(
            metadata.as_ref().unwrap_or(&Sheet::Null),
            &format!("{path}/metadata"),
            &mut self.complaints,
        );
        let name = fields.id("name").unwrap_or_default();
        fields.close();
        let spec = spec.unwrap_or(Sheet::Null);
        match kind.as_deref() {
            Some("Gateway") => self.gateway(&name, &spec, &format!("{path}/spec")),
            Some("HTTPRoute") => self.route(&name, &spec, &format!("{path}/spec")),
            Some(other) => {
                let text = format!("'{other}' is neither Gateway nor HTTPRoute");
                complain(&mut self.complaints, &format!("{path}/kind"), text);
            }
            None => {}
        }
    }

    fn gateway(&mut self, name: &str, spec: &Sheet, path: &str) {
        self.gateways.insert(name.to_owned());
        let mut fields = Fields::open(spec, path, &mut self.complaints);
        let class = fields.text("gatewayClassName");
        let listeners = fields.list("listeners");
        fields.close();
        if class.is_some_and(|class| class != CLASS) {
            complain(
                &mut self.complaints,
                &format!("{path}/gatewayClassName"),
                format!("must be {CLASS}"),
            );
        }
        listeners.iter().enumerate().for_each(|(at, listener)| {
            let path = format!("{path}/listeners/{at}");
            let mut fields = Fields::open(listener, &path, &mut self.complaints);
            fields.id("name");
            let port = fields.count("port", 1..=65_535, None);
            let protocol = fields.text("protocol");
            fields.close();
            if protocol.is_some_and(|protocol| protocol != "HTTP") {
                complain(&mut self.complaints, &format!("{path}/protocol"), "must be HTTP");
            }
            self.remarks.extend(port.map(|port| {
                format!("{path}/port: {port} is no part of a setup; carriers listen where their --http says")
            }));
        });
    }

    fn route(&mut self, name: &str, spec: &Sheet, path: &str) {
        let mut fields = Fields::open(spec, path, &mut self.complaints);
        let (parents, hosts, rules) = (
            fields.list("parentRefs"),
            fields.list("hostnames"),
            fields.list("rules"),
        );
        fields.close();
        parents.iter().enumerate().for_each(|(at, parent)| {
            let path = format!("{path}/parentRefs/{at}");
            let mut fields = Fields::open(parent, &path, &mut self.complaints);
            let gateway = fields.id("name").unwrap_or_default();
            fields.close();
            if !self.gateways.contains(&gateway) {
                complain(
                    &mut self.complaints,
                    &format!("{path}/name"),
                    format!("no Gateway '{gateway}' here"),
                );
            }
        });
        let names: Vec<&str> = hosts
            .iter()
            .enumerate()
            .filter_map(|(at, host)| match host {
                Sheet::Text(host) if locality::is_valid_id(host) => Some(host.as_str()),
                _ => {
                    let text = "must be a whole host name; patterns can't be expressed";
                    complain(
                        &mut self.complaints,
                        &format!("{path}/hostnames/{at}"),
                        text,
                    );
                    None
                }
            })
            .collect();
        let Some((first, others)) = names.split_first() else {
            return complain(
                &mut self.complaints,
                &format!("{path}/hostnames"),
                "must name one host at least",
            );
        };
        let mut count = 0;
        rules.iter().enumerate().for_each(|(at, rule)| {
            let path = format!("{path}/rules/{at}");
            let mut fields = Fields::open(rule, &path, &mut self.complaints);
            let (matches, backends) = (fields.list("matches"), fields.list("backendRefs"));
            fields.close();
            let service = self.backend(backends, &format!("{path}/backendRefs"));
            if matches.is_empty() {
                let text = "must match one path at least: a route has a path";
                complain(&mut self.complaints, &format!("{path}/matches"), text);
            }
            matches.iter().enumerate().for_each(|(at, matched)| {
                let place = self.path(matched, &format!("{path}/matches/{at}"));
                count += 1;
                let id = format!("{name}-{count}");
                self.routes.push(Sheet::fields([
                    ("id", id.into()),
                    ("name", (*first).into()),
                    ("path", place.into()),
                    ("service", service.as_str().into()),
                ]));
            });
        });
        let links = others.iter().map(|other| {
            Sheet::fields([
                ("alias", (*other).into()),
                ("to", format!("{name}-1").into()),
            ])
        });
        self.aliases.extend(links);
    }

    fn backend(&mut self, backends: &[Sheet], path: &str) -> String {
        if backends.len() != 1 {
            complain(
                &mut self.complaints,
                path,
                "must be one service: traffic is not split by a setup",
            );
        }
        let first = backends
            .first()
            .cloned()
            .unwrap_or(Sheet::Fields(Vec::new()));
        let path = format!("{path}/0");
        let mut fields = Fields::open(&first, &path, &mut self.complaints);
        let service = fields.id("name").unwrap_or_default();
        // Upstreams report their own addresses; a port says nothing here.
        let port = fields.part("port").cloned();
        fields.close();
        self.remarks.extend(port.map(|port| {
            format!("{path}/port: {port} is no part of a setup; upstreams report theirs")
        }));
        self.backends.entry(service.clone()).or_insert(path);
        service
    }

    fn path(&mut self, matched: &Sheet, path: &str) -> String {
        let mut fields = Fields::open(matched, path, &mut self.complaints);
        let place = fields.part("path").cloned().unwrap_or(Sheet::Null);
        fields.close();
        let mut fields = Fields::open(&place, &format!("{path}/path"), &mut self.complaints);
        let (kind, value) = (
            fields.text("type"),
            fields.text("value").unwrap_or_default(),
        );
        fields.close();
        if kind.is_some_and(|kind| kind != "Exact") {
            complain(
                &mut self.complaints,
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
        let (setup, remarks) = turn(&manifests, SERVICES).expect("it can be expressed");
        let setup = config::Setup::read(setup.as_bytes()).expect("a whole setup");
        assert_eq!(setup.resolve("booking.example"), Some("book.example"));
        assert_eq!(
            setup
                .route("book.example", "/book")
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
