//! Bad setups are denied whole, with a path in every complaint.

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
fn each_kind_of_mistake_is_complained_of_at_its_place() {
    let fine = route("r", "n", "/p", "s");
    let loops = [alias("a", "b"), alias("b", "a")].join(",");
    let chain: Vec<String> = (0..12)
        .map(|at| alias(&format!("a{at}"), &format!("a{}", at + 1)))
        .collect();
    let two = |second: String| [fine.clone(), second].join(",");
    let with =
        |field: &str| configuration(&SERVICE.replace('}', &format!(", {field}}}")), &fine, "");
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
            configuration(&[SERVICE, SERVICE].join(","), &fine, ""),
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
            configuration(SERVICE, &fine, &alias("a", "moon")),
            "/aliases/0/to",
        ),
        (
            "alias loop",
            configuration(SERVICE, &fine, &loops),
            "/aliases/0/to",
        ),
        (
            "alias chain too long",
            configuration(SERVICE, &fine, &chain.join(",")),
            "/aliases/0/to",
        ),
        (
            "alias like a name",
            configuration(SERVICE, &fine, &alias("n", "r")),
            "/aliases/0/alias",
        ),
        (
            "number zero",
            configuration(SERVICE, &fine, "").replacen('{', r#"{"number": 0, "#, 1),
            "/number",
        ),
        (
            "number no number",
            configuration(SERVICE, &fine, "").replacen('{', r#"{"number": "7", "#, 1),
            "/number",
        ),
        ("too large", " ".repeat(MAX_CONFIGURATION_BYTES + 1), "/"),
    ];
    cases.into_iter().for_each(|(what, text, path)| {
        let validation_errors = Configuration::parse(text.as_bytes()).expect_err(what);
        assert!(
            validation_errors
                .iter()
                .any(|complaint| complaint.path == path),
            "{what}: {validation_errors:?}"
        );
    });
    assert!(Configuration::parse(b"\xff\xfe").is_err());
    assert!(
        Configuration::parse(configuration(SERVICE, &fine, &alias("a", "r")).as_bytes()).is_ok()
    );
}

#[test]
fn a_setup_may_have_a_number_of_its_own() {
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
fn all_complaints_come_at_once() {
    let text = configuration(
        &SERVICE.replace("once", "thrice"),
        &route("r", "a b", "p", "moon"),
        &alias("a", "b"),
    );
    let paths: Vec<String> = Configuration::parse(text.as_bytes())
        .unwrap_err()
        .into_iter()
        .map(|c| c.path)
        .collect();
    assert!(paths.len() >= 4, "{paths:?}");
}

/// Whatever bytes come, reading ends with a setup or with complaints.
#[test]
fn no_text_makes_reading_panic() {
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
