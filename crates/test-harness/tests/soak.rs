//! The soak on real processes, with a saboteur beside it: what ends behind its back is found.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(150);

/// The program under test; the daemons are built beside it.
fn test_harness() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_test-harness"))
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("soak-test-{name}-{}", std::process::id()))
}

/// The ids of a process's children that run this program.
fn children_running(parent: u32, program: &str) -> Vec<u32> {
    let tasks = format!("/proc/{parent}/task");
    let mut found = Vec::new();
    for task in fs::read_dir(tasks).into_iter().flatten().flatten() {
        let children = fs::read_to_string(task.path().join("children")).unwrap_or_default();
        for id in children.split_whitespace().filter_map(|id| id.parse().ok()) {
            let name = fs::read_to_string(format!("/proc/{id}/comm")).unwrap_or_default();
            if name.trim() == program {
                found.push(id);
            }
        }
    }
    found
}

/// Waits until the soak runs all its data-plane nodes; their ids.
fn wait_for_data_nodes(soak: &Child) -> Vec<u32> {
    let begun = Instant::now();
    loop {
        let nodes = children_running(soak.id(), "data-plane");
        if nodes.len() >= 13 {
            return nodes;
        }
        assert!(begun.elapsed() < LIMIT, "the site is not laid out");
        std::thread::yield_now();
    }
}

#[test]
fn a_process_that_ends_behind_the_soaks_back_is_found() {
    let keep = folder("saboteur");
    let soak = Command::new(test_harness())
        .args([
            "soak",
            "--shape",
            "roadwise",
            "--seeds",
            "3..3",
            "--seconds",
            "4",
            "--keep",
        ])
        .arg(&keep)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program was built");
    let victim = wait_for_data_nodes(&soak)[4];
    let killed = Command::new("kill")
        .args(["-ABRT", &victim.to_string()])
        .status();
    assert!(killed.is_ok_and(|status| status.success()));
    let output = soak.wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("ended by itself"), "{text}");
    assert!(text.contains("again: test-harness soak"), "{text}");
    fs::remove_dir_all(&keep).expect("a failed seed leaves its data and logs");
}

#[test]
fn tools_end_quietly_where_nobody_reads_on() {
    let mut tool = Command::new(test_harness())
        .arg("--help")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program was built");
    drop(tool.stdout.take());
    let output = tool.wait_with_output().expect("it ends");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
}
