//! A smallest site of real processes: what operators type, and what strangers send.

use bytes::Bytes;
use config::JsonValue;
use result_code::ResultCode;
use simulator::shapes::{ROADWISE, Shape};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use testbed::fleet::Fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use transport::{HttpClient, Reply};

const LIMIT: Duration = Duration::from_secs(60);

fn programs() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_test-harness"))
        .parent()
        .expect("a folder")
        .to_owned()
}

/// Path, headers, body, and the code that must come.
type Case<'a> = (&'a str, Vec<(&'a str, &'a str)>, &'a str, ResultCode);

/// Runs a program to its end: exit code, output, complaints.
fn run(program: &str, args: &[&str]) -> (i32, String, String) {
    let done = Command::new(programs().join(program))
        .args(args)
        .output()
        .expect("it was built before the tests");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        done.status.code().unwrap_or(-1),
        text(&done.stdout),
        text(&done.stderr),
    )
}

async fn site(name: &str) -> Fleet {
    let shape = Shape {
        machines: 2,
        disks: 1,
        ..ROADWISE
    };
    let folder = std::env::temp_dir().join(format!("site-{name}-{}", std::process::id()));
    let (mut fleet, _) = Fleet::create(&shape, &programs(), &folder)
        .await
        .expect("free ports");
    fleet
        .start()
        .expect("daemons that were built before the tests");
    assert!(
        Fleet::ready(&fleet.nodes(), LIMIT).await,
        "the site came up"
    );
    fleet
}

async fn call(node: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
    let body = Bytes::from(body.to_owned());
    HttpClient::default()
        .call(node, method, path, headers, body, LIMIT, false)
        .await
        .expect("a whole answer")
}

fn code(reply: &Reply) -> Option<ResultCode> {
    reply
        .header("x-code")
        .parse()
        .ok()
        .and_then(ResultCode::from_number)
}

#[test]
fn wrong_settings_stop_the_start_with_name_value_and_what_is_allowed() {
    let whole = [
        "--node",
        "c",
        "--locality",
        "n/1",
        "--http",
        "127.0.0.1:1",
        "--link",
        "127.0.0.1:2",
        "--check",
    ];
    assert_eq!(run("data-plane", &whole).0, 0);
    let cases: [(&[&str], &[&str]); 5] = [
        (&["--colour", "red"], &["colour", "red", "known:"]),
        (
            &["--probe-every-ms", "7"],
            &["probe-every-ms", "'7'", "20 to 5000"],
        ),
        (
            &["--address-lifetime-ms", "4000"],
            &["address-lifetime-ms", "4000", "4500"],
        ),
        (
            &["--serve", "dance"],
            &["serve", "dance", "proxy, directory"],
        ),
        (&["--http", "nowhere"], &["http", "nowhere", "IP number"]),
    ];
    cases.into_iter().for_each(|(more, outcome)| {
        let (code, _, validation_errors) = run("data-plane", &[&whole[..], more].concat());
        assert_eq!(code, 2, "{more:?}");
        outcome.iter().for_each(|word| {
            assert!(
                validation_errors.contains(word),
                "{more:?}: {word} not in {validation_errors}"
            )
        });
    });
    assert_eq!(
        run("control-plane", &["--version"]).1.trim(),
        "control-plane 0.1.0"
    );
    assert!(run("mothspindlectl", &["--help"]).1.contains("exit codes"));
    assert_eq!(run("mothspindlectl", &["dance"]).0, 2);
    assert_eq!(
        run("mothspindlectl", &["--node", "127.0.0.1:1", "status"]).0,
        3
    );
}

#[tokio::test(flavor = "multi_thread")]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
async fn operators_drive_any_node_and_get_one_result_for_one_id() {
    let fleet = site("operators").await;
    let nodes = fleet.nodes();
    let configuration = ROADWISE.configuration(0);
    let first = call(
        &nodes[0],
        "PUT",
        "/setup?id=a&wait=force",
        &[],
        &configuration,
    )
    .await;
    assert_eq!(code(&first), Some(ResultCode::Success));
    let again = call(&nodes[2], "PUT", "/setup?id=a", &[], &configuration).await;
    assert_eq!(
        first.body, again.body,
        "the same id has the same verdict at any node"
    );
    let other = call(
        &nodes[1],
        "PUT",
        "/setup?id=a",
        &[],
        &ROADWISE.configuration(1),
    )
    .await;
    assert_eq!(code(&other), Some(ResultCode::IdReused));
    let behind = call(&nodes[1], "PUT", "/setup?id=b&base=0", &[], &configuration).await;
    assert_eq!(code(&behind), Some(ResultCode::RevisionConflict));
    let bad = call(
        &nodes[0],
        "PUT",
        "/setup?id=c",
        &[],
        r#"{"routes": [{"id": "r", "id": 1}], "hue": 2}"#,
    )
    .await;
    assert_eq!(code(&bad), Some(ResultCode::InvalidConfiguration));
    let outcome = JsonValue::parse(&String::from_utf8_lossy(&bad.body))
        .expect("JSON")
        .list("complaints")
        .len();
    assert!(outcome >= 4, "every complaint at once: {bad:?}");
    for node in &nodes {
        let back = call(node, "GET", "/setup", &[], "").await;
        assert_eq!(
            (back.body, back.headers["x-edition"].clone()),
            (configuration.clone().into(), "1".parse().unwrap())
        );
    }
    let node = nodes[0].as_str();
    assert_eq!(
        run(
            "mothspindlectl",
            &[
                "--node",
                node,
                "evacuate",
                "middle/middle-1",
                "--id",
                "e",
                "--wait"
            ]
        )
        .0,
        0
    );
    assert!(
        run("mothspindlectl", &["--node", node, "status"])
            .1
            .contains("middle/middle-1")
    );
    // A name comes in while the rest goes on, and goes again: who asks for it hears so at once.
    let asked = |node: &str| {
        let node = node.to_owned();
        async move {
            let headers = [("x-try-id", "t-name"), ("x-remaining-ms", "1000")];
            code(&call(&node, "POST", "/r/extra/x0", &headers, "").await)
        }
    };
    assert_eq!(asked(&nodes[0]).await, Some(ResultCode::NoSuchName));
    let place = |id: &'static str, extra| {
        let (node, configuration) = (nodes[1].clone(), ROADWISE.configuration(extra));
        async move {
            code(
                &call(
                    &node,
                    "PUT",
                    &format!("/setup?id={id}&wait=force"),
                    &[],
                    &configuration,
                )
                .await,
            )
        }
    };
    assert_eq!(place("in", 1).await, Some(ResultCode::Success));
    assert_eq!(
        asked(&nodes[0]).await,
        Some(ResultCode::NoOwner),
        "the name is known, and nobody beats for it"
    );
    assert_eq!(place("out", 0).await, Some(ResultCode::Success));
    assert_eq!(asked(&nodes[0]).await, Some(ResultCode::NoSuchName));
    // A founding may be quicker than the first claim, which voters grant a span after their start.
    let placed = || async { call(node, "GET", "/status", &[], "").await.body };
    while JsonValue::parse(&String::from_utf8_lossy(&placed().await))
        .unwrap()
        .text("placement")
        == Some("")
    {}
    let (code, site, _) = run("mothspindlectl", &["--node", node, "site"]);
    [
        "edition 4",
        "evacuated: \"middle/middle-1\" (complete)",
        "control-plane-0",
        "voting",
        "data-plane-1",
    ]
    .into_iter()
    .for_each(|outcome| assert!(site.contains(outcome), "{outcome} not in {site}"));
    assert_eq!(code, 0, "{site}");
    let supposed = run(
        "mothspindlectl",
        &[
            "--node", node, "trace", "--name", "booking", "--path", "/booking",
        ],
    );
    assert!(supposed.1.contains("route r1 of edition 4"), "{supposed:?}");
    assert!(
        supposed.1.contains("1203"),
        "nobody beats, so nobody owns it: {supposed:?}"
    );
    assert_eq!(
        run("mothspindlectl", &["--node", node, "trace", "never"]).0,
        1
    );
    fleet.remove();
}

#[tokio::test(flavor = "multi_thread")]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
async fn whatever_strangers_send_gets_a_numbered_answer_and_harms_nothing() {
    let fleet = site("strangers").await;
    let (data_node, control_node) = (
        fleet.data_nodes[0].http.clone(),
        fleet.control_nodes[0].http.clone(),
    );
    call(
        &control_node,
        "PUT",
        "/setup?id=a&wait=force",
        &[],
        &ROADWISE.configuration(0),
    )
    .await;
    let (passed, long) = (("x-remaining-ms", "1000"), "x".repeat(70_000));
    let cases: Vec<Case> = vec![
        (
            "/r/booking/booking",
            vec![passed],
            "",
            ResultCode::MissingAttemptId,
        ),
        (
            "/r/booking/booking",
            vec![("x-try-id", "two words"), passed],
            "",
            ResultCode::MissingAttemptId,
        ),
        (
            "/r/booking/booking",
            vec![("x-try-id", "t1")],
            "",
            ResultCode::MissingDeadline,
        ),
        (
            "/r/booking/booking",
            vec![("x-try-id", "t2"), ("x-remaining-ms", "-5")],
            "",
            ResultCode::MissingDeadline,
        ),
        (
            "/r/booking/booking",
            vec![("x-try-id", "t3"), ("x-remaining-ms", "99999999")],
            "",
            ResultCode::MissingDeadline,
        ),
        (
            "/r/moon/booking",
            vec![("x-try-id", "t4"), passed],
            "",
            ResultCode::NoSuchName,
        ),
        (
            "/r/booking/moon",
            vec![("x-try-id", "t5"), passed],
            "",
            ResultCode::NoSuchName,
        ),
        (
            "/r/payment/payment",
            vec![("x-try-id", "t6"), passed],
            "",
            ResultCode::MissingKey,
        ),
        (
            "/r/booking/booking",
            vec![("x-try-id", "t7"), passed],
            &long,
            ResultCode::TooLarge,
        ),
        (
            "/r/booking",
            vec![("x-try-id", "t8"), passed],
            "",
            ResultCode::NoSuchName,
        ),
        ("/moon", vec![], "", ResultCode::NoSuchEndpoint),
        ("/beats", vec![], "{\"service\": 7}", ResultCode::Malformed),
        ("/beats", vec![], &long, ResultCode::Malformed),
        (
            "/evacuations?id=x&locality=nowhere",
            vec![],
            "",
            ResultCode::Malformed,
        ),
        (
            "/evacuations?locality=n%2F1",
            vec![],
            "",
            ResultCode::Malformed,
        ),
    ];
    for (path, headers, body, expected) in cases {
        let reply = call(&data_node, "POST", path, &headers, body).await;
        assert_eq!(code(&reply), Some(expected), "{path} {headers:?}");
        assert_eq!(reply.status, expected.status());
    }
    let huge = "x".repeat(3 * 1024 * 1024);
    let denied = HttpClient::default()
        .call(
            &control_node,
            "PUT",
            "/setup?id=h",
            &[],
            huge.into(),
            LIMIT,
            false,
        )
        .await;
    // The server may hang up on the rest of so large a body before its answer is read.
    assert!(denied.is_err() || denied.is_ok_and(|reply| reply.status == 413));
    for node in [&data_node, &control_node] {
        for garbage in [
            &b"\0\xff\xfe garbage\r\n\r\n"[..],
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /r/a/b HTTP/1.1\r\ncontent-length: -4\r\n\r\n",
        ] {
            let answer = raw(node, garbage).await;
            assert!(
                answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
                "{answer}"
            );
        }
        // Half a head and then nothing: the server ends it by itself.
        let answer = raw(node, b"GET /live HT").await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{answer}"
        );
        assert_eq!(call(node, "GET", "/live", &[], "").await.status, 200);
    }
    fleet.remove();
}

/// Sends bytes and reads until the server closes.
async fn raw(node: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node).await.expect("it listens");
    stream.write_all(bytes).await.expect("it reads");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the server left a stranger's connection open");
    String::from_utf8_lossy(&answer).into_owned()
}
