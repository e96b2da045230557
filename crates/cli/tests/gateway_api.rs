//! Gateway API manifests become a configuration, or are rejected with the path of what can't be expressed.

use cli::gateway_api::{Converted, convert};

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
fn a_gateway_and_its_route_become_a_configuration() {
    let manifests = format!(
        "{GATEWAY}{}",
        route("{path: {type: Exact, value: /book}}", "")
    );
    let Converted {
        configuration,
        remarks,
    } = convert(&manifests, SERVICES).expect("it can be expressed");
    let configuration =
        config::Configuration::parse(configuration.as_bytes()).expect("a complete configuration");
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
    assert_eq!(
        remarks.len(),
        2,
        "there is a remark on either port: {remarks:?}"
    );
}

#[test]
fn what_a_configuration_cannot_express_is_rejected_with_its_path() {
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
    for (manifests, path) in cases {
        let errors = convert(&manifests, SERVICES).expect_err("it can't be expressed");
        assert!(
            errors.iter().any(|error| error.path == path),
            "{path} not in {errors:?}"
        );
    }
}
