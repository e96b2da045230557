//! Invalid configurations are rejected as a whole, with a path in every error.

use arbtest::arbtest;
use config::{Configuration, MAX_CONFIGURATION_BYTES};

const SERVICE: &str = r#"{"name": "s", "work": "once"}"#;

fn configuration(services: &str, routes: &str, aliases: &str) -> String {
    format!(r#"{{"services": [{services}], "routes": [{routes}], "aliases": [{aliases}]}}"#)
}

fn route(id: &str, name: &str, path: &str, service: &str) -> String {
    format!(r#"{{"id": "{id}", "name": "{name}", "path": "{path}", "service": "{service}"}}"#)
}

fn alias(alias: &str, to: &str) -> String {
    format!(r#"{{"alias": "{alias}", "to": "{to}"}}"#)
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn each_kind_of_mistake_is_reported_at_its_path() {
    let valid = route("r", "n", "/p", "s");
    let loops = [alias("a", "b"), alias("b", "a")].join(",");
    let chain: Vec<String> = (0..12)
        .map(|at| alias(&format!("a{at}"), &format!("a{}", at + 1)))
        .collect();
    let two = |second: String| [valid.clone(), second].join(",");
    let with =
        |field: &str| configuration(&SERVICE.replace('}', &format!(", {field}}}")), &valid, "");
    let cases: Vec<(&str, String, &str)> = vec![
        ("broken JSON", "{\"services\": [".into(), "/"),
        ("no object", "[]".into(), ""),
        ("too deep", "[".repeat(5000), "/"),
        (
            "unknown field",
            with(r#""colour": 1"#),
            "/services/0/colour",
        ),
        ("field twice", with(r#""work": "once""#), "/services/0/work"),
        ("wrong kind", with(r#""keyed": "yes""#), "/services/0/keyed"),
        (
            "out of range",
            with(r#""warmUpPerSecond": 0"#),
            "/services/0/warmUpPerSecond",
        ),
        (
            "a health path that is no path",
            with(r#""healthCheckPath": "health""#),
            "/services/0/healthCheckPath",
        ),
        (
            "below zero",
            with(r#""concurrency": -4"#),
            "/services/0/concurrency",
        ),
        (
            "home regions",
            with(r#""homeRegions": ["a b"]"#),
            "/services/0/homeRegions",
        ),
        (
            "neither once nor repeatable",
            configuration(&SERVICE.replace("once", "thrice"), "", ""),
            "/services/0/work",
        ),
        (
            "service twice",
            configuration(&[SERVICE, SERVICE].join(","), &valid, ""),
            "/services/1/name",
        ),
        (
            "dangling service",
            configuration(SERVICE, &route("r", "n", "/p", "moon"), ""),
            "/routes/0/service",
        ),
        (
            "name and path twice",
            configuration(SERVICE, &two(route("q", "n", "/p", "s")), ""),
            "/routes/1",
        ),
        (
            "id twice",
            configuration(SERVICE, &two(route("r", "n", "/q", "s")), ""),
            "/routes/1/id",
        ),
        (
            "id like a name",
            configuration(SERVICE, &two(route("n", "m", "/q", "s")), ""),
            "/routes/1/id",
        ),
        (
            "no path",
            configuration(SERVICE, &route("r", "n", "p?q", "s"), ""),
            "/routes/0/path",
        ),
        (
            "alias to nothing",
            configuration(SERVICE, &valid, &alias("a", "moon")),
            "/aliases/0/to",
        ),
        (
            "alias loop",
            configuration(SERVICE, &valid, &loops),
            "/aliases/0/to",
        ),
        (
            "alias chain too long",
            configuration(SERVICE, &valid, &chain.join(",")),
            "/aliases/0/to",
        ),
        (
            "alias like a name",
            configuration(SERVICE, &valid, &alias("n", "r")),
            "/aliases/0/alias",
        ),
        (
            "number zero",
            configuration(SERVICE, &valid, "").replacen('{', r#"{"number": 0, "#, 1),
            "/number",
        ),
        (
            "number no number",
            configuration(SERVICE, &valid, "").replacen('{', r#"{"number": "7", "#, 1),
            "/number",
        ),
        ("too large", " ".repeat(MAX_CONFIGURATION_BYTES + 1), "/"),
    ];
    cases.into_iter().for_each(|(what, text, path)| {
        let validation_errors = Configuration::parse(text.as_bytes()).expect_err(what);
        assert!(
            validation_errors.iter().any(|error| error.path == path),
            "{what}: {validation_errors:?}"
        );
    });
    assert!(Configuration::parse(b"\xff\xfe").is_err());
    assert!(
        Configuration::parse(configuration(SERVICE, &valid, &alias("a", "r")).as_bytes()).is_ok()
    );
}

#[test]
fn a_configuration_may_have_a_version_number() {
    let plain = configuration(SERVICE, "", "");
    let numbered = |number: u64| plain.replacen('{', &format!("{{\"number\": {number}, "), 1);
    let read = |text: &str| {
        Configuration::parse(text.as_bytes()).map(|configuration| configuration.version)
    };
    assert_eq!(read(&plain), Ok(None));
    [1, 7, u64::MAX]
        .into_iter()
        .for_each(|number| assert_eq!(read(&numbered(number)), Ok(Some(number))));
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = configuration(
        &SERVICE.replace("once", "thrice"),
        &route("r", "a b", "p", "moon"),
        &alias("a", "b"),
    );
    let paths: Vec<String> = Configuration::parse(text.as_bytes())
        .unwrap_err()
        .into_iter()
        .map(|error| error.path)
        .collect();
    assert!(paths.len() >= 4, "{paths:?}");
}

/// Whatever bytes come, parsing ends with a configuration or with errors.
#[test]
fn no_text_makes_the_parser_panic() {
    let words = [
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"services\"",
        "\"routes\"",
        "\"id\"",
        "\"to\"",
        "1",
        "-1e9",
        "null",
        "\"\\",
    ];
    // Fixed seeds, each of a fixed size: the same run every time.
    (1..2000u64).for_each(|number| {
        arbtest(|noise| {
            let mut text = String::new();
            while !noise.is_empty() {
                text += noise.choose(&words)?;
            }
            let _ = Configuration::parse(text.as_bytes());
            Ok(())
        })
        .seed(number << 32 | 24);
    });
}
