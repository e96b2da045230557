//! Promises about the code itself, which no run can show.

use std::fs;
use std::path::{Path, PathBuf};

const CORES: [&str; 10] = [
    "key-space",
    "locality",
    "random",
    "result-code",
    "quorum-register",
    "membership",
    "upstream-registry",
    "lease",
    "name-directory",
    "request-routing",
];

fn sources(package: &str) -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("crates")
        .join(package)
        .join("src");
    let mut found = Vec::new();
    let mut folders = vec![root];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else {
                let text = fs::read_to_string(&path).expect("a text");
                found.push((path, text));
            }
        }
    }
    assert!(!found.is_empty(), "{package} has sources");
    found
}

fn none_holds(package: &str, words: &[&str]) {
    sources(package).iter().for_each(|(path, text)| {
        words
            .iter()
            .for_each(|word| assert!(!text.contains(word), "{} holds {word}", path.display()));
    });
}

/// A clock that jumps can change nothing that is never read.
#[test]
fn no_process_reads_a_wall_clock() {
    let shells = [
        "protocol",
        "config",
        "storage",
        "transport",
        "control-plane",
        "data-plane",
        "cli",
        "invariants",
        "simulator",
        "scale-model",
        "testbed",
        "test-harness",
    ];
    CORES
        .iter()
        .chain(&shells)
        .for_each(|package| none_holds(package, &["SystemTime", "UNIX_EPOCH"]));
}

#[test]
fn the_cores_do_no_input_or_output_and_take_time_from_outside() {
    CORES.iter().for_each(|package| {
        none_holds(
            package,
            &[
                "tokio",
                "Instant",
                "std::fs",
                "TcpStream",
                "UdpSocket",
                "std::thread",
                "RandomState",
            ],
        );
    });
}

#[test]
fn only_the_test_harness_starts_processes() {
    let others = [
        "storage",
        "transport",
        "control-plane",
        "data-plane",
        "cli",
        "invariants",
        "simulator",
    ];
    others.iter().for_each(|package| {
        none_holds(
            package,
            &["std::process::Command", "process::{", "Command::new"],
        )
    });
}

/// Words of the first users' platform. Only `platform/` and `deploy/` may carry them, and the pages that tell of it.
const OF_THE_PLATFORM: [&str; 48] = [
    // Headers.
    "x-attempt-id",
    "x-deadline-ms",
    "x-expected-instance",
    "x-server-seal",
    "x-not-executed",
    "x-server-load",
    "x-instance-id",
    "x-cold-ms",
    "x-shard-key",
    // Paths.
    "/api/",
    "instances.heartbeat",
    "instances.deregister",
    "configuration.replace",
    "configuration.read",
    "evacuation.begin",
    "evacuation.finish",
    // Fields of bodies.
    "configversion",
    "hostname\"",
    "pathprefix\"",
    "routekind",
    "non_idempotent",
    "weightedsplit",
    "servicename",
    "maxattempts",
    "healthpath",
    "connectioncap",
    "coldperiod",
    "coldrates",
    "capacityslots",
    "coldleft",
    "callseq",
    "beattarget",
    "maxheaderbytes",
    "maxbodybytes",
    // Fields of the settings file, and the gaps of the templates that they fill.
    "{{nodename",
    "{{region}}",
    "{{zone}}",
    "selfentry",
    "listenaddrs",
    "frontplain",
    "controlport",
    "directoryport",
    "internalports",
    "seednodes",
    "datapath",
    // A role's value in the deploy file and in the settings; the bare word is also the name of our own package.
    "\"control_plane\"",
    "=control_plane",
    ",control_plane",
];

/// The words of a text that belong to the platform, in whatever case they stand.
fn platform_words(text: &str) -> Vec<&'static str> {
    let text = text.to_lowercase();
    OF_THE_PLATFORM
        .into_iter()
        .filter(|word| text.contains(word))
        .collect()
}

/// Every file below a folder whose name ends so, but for what a build leaves.
fn files(folder: &Path, endings: &[&str]) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .expect("a folder")
        .flatten()
        .map(|entry| entry.path());
    let (folders, files): (Vec<PathBuf>, Vec<PathBuf>) = entries.partition(|path| path.is_dir());
    let named = |path: &PathBuf| {
        endings
            .iter()
            .any(|ending| path.to_string_lossy().ends_with(ending))
    };
    let below = folders
        .iter()
        .filter(|path| !path.ends_with("target"))
        .flat_map(|path| self::files(path, endings));
    below.chain(files.into_iter().filter(named)).collect()
}

#[test]
fn no_word_of_the_platform_stands_outside_its_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("the repository");
    let mut searched = files(&root.join("crates"), &[".rs", "Cargo.toml"]);
    searched.extend(files(&root.join("docs"), &[".md", ".json"]));
    searched.extend(["Cargo.toml", "README.md", "CHANGELOG.md"].map(|name| root.join(name)));
    let tells_of_it = |path: &Path| {
        path.ends_with("test-harness/tests/sources.rs")
            || path.ends_with("docs/design/platform.md")
            || path.starts_with(root.join("docs/incidents"))
    };
    searched.retain(|path| !tells_of_it(path));
    assert!(
        searched.len() > 100,
        "{} files were searched",
        searched.len()
    );
    let found: Vec<String> = searched
        .iter()
        .flat_map(|path| {
            let words = platform_words(&fs::read_to_string(path).expect("a text"));
            words
                .into_iter()
                .map(|word| format!("{} holds {word}", path.display()))
        })
        .collect();
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn a_planted_word_of_the_platform_is_found() {
    assert_eq!(
        platform_words("enquiry.header(\"X-Attempt-Id\")"),
        ["x-attempt-id"]
    );
    assert_eq!(
        platform_words(r#"{"node": "c-{{nodeName}}", "seeds": "{{seedNodes}}"}"#),
        ["{{nodename", "seednodes"]
    );
    assert_eq!(platform_words("GET /api/anything"), ["/api/"]);
    assert_eq!(
        platform_words("serves = [\"edge\", \"control_plane\"]"),
        ["\"control_plane\""]
    );
    assert_eq!(
        platform_words("serves=edge,control_plane,directory"),
        [",control_plane"]
    );
    assert!(platform_words("use control_plane::ControlNode;").is_empty());
    assert_eq!(
        platform_words("let path = format!(\"{{{name}}}\"); // PathPrefix, hostnames"),
        Vec::<&str>::new()
    );
    OF_THE_PLATFORM
        .into_iter()
        .for_each(|word| assert!(platform_words(&word.to_uppercase()).contains(&word)));
    // What the adapter itself says is found, so the list is not made of air.
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("the repository");
    let adapter = files(&root.join("platform/src"), &[".rs"]);
    let spoken = adapter
        .iter()
        .flat_map(|path| platform_words(&fs::read_to_string(path).expect("a text")));
    assert!(spoken.collect::<std::collections::BTreeSet<_>>().len() > 15);
}
