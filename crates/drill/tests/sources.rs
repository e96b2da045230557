//! Promises about the code itself, which no run can show.

use std::fs;
use std::path::{Path, PathBuf};

const CORES: [&str; 7] = ["address", "registered", "rounds", "enrolment", "claims", "gazetteer", "sorting"];

fn sources(package: &str) -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("crates").join(package).join("src");
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
        words.iter().for_each(|word| assert!(!text.contains(word), "{} holds {word}", path.display()));
    });
}

/// A clock that jumps can change nothing that is never read.
#[test]
fn no_process_reads_a_wall_clock() {
    let shells = ["parcel", "tariff", "vault", "wicket", "postmaster", "carrier", "clerk", "drill"];
    CORES.iter().chain(&shells).for_each(|package| none_holds(package, &["SystemTime", "UNIX_EPOCH"]));
}

#[test]
fn the_cores_do_no_input_or_output_and_take_time_from_outside() {
    CORES.iter().for_each(|package| {
        none_holds(package, &["tokio", "Instant", "std::fs", "TcpStream", "UdpSocket", "std::thread", "RandomState"]);
    });
}

#[test]
fn only_drill_starts_processes() {
    let daemons = ["vault", "wicket", "postmaster", "carrier", "clerk"];
    daemons.iter().for_each(|package| none_holds(package, &["std::process::Command", "process::{", "Command::new"]));
}
