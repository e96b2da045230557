//! A disk and a process stay as small as they were, however many changes there are.

use scale_model::changes::{Checkpoint, Site, Trial, submit_in_parts};
use std::path::Path;
use std::time::Duration;

const MIB: u64 = 1024 * 1024;

fn trial(changes: usize) -> Trial {
    Trial {
        nodes: 3,
        routes: 400,
        changes,
        gap: Duration::from_millis(120),
        folder: None,
    }
}

fn on_real_disk(name: &str, changes: usize) -> Trial {
    // Syncs cost nothing in memory; what lies there is as large.
    let memory = Some(Path::new("/dev/shm")).filter(|memory| memory.is_dir());
    let folder = memory.unwrap_or(Path::new(env!("CARGO_TARGET_TMPDIR")));
    let folder = folder.join(format!("drill-{name}-{}", std::process::id()));
    Trial {
        folder: Some(folder),
        ..trial(changes)
    }
}

/// Everything past the first 600 changes, when the state remembers as many submissions as it ever will.
fn assert_flat(checkpoints: &[Checkpoint]) {
    let full = checkpoints
        .iter()
        .find(|checkpoint| checkpoint.changes >= 600)
        .expect("enough changes");
    let later = checkpoints
        .iter()
        .filter(|checkpoint| checkpoint.changes > full.changes);
    later.for_each(|later| {
        assert!(
            later.folder_bytes <= full.folder_bytes + MIB,
            "{full:?} {later:?}"
        );
        assert!(later.files <= 24, "{later:?}");
        assert!(
            later.state_bytes <= full.state_bytes + 1024,
            "{full:?} {later:?}"
        );
        assert!(
            later.written_per_change <= full.written_per_change * 3 / 2,
            "{full:?} {later:?}"
        );
        assert!(
            later.resident_bytes <= full.resident_bytes + 16 * MIB,
            "{full:?} {later:?}"
        );
        assert!(later.open_took < Duration::from_secs(2), "{later:?}");
    });
    assert!(full.folder_bytes < 4 * MIB, "{full:?}");
}

#[test]
fn hundreds_of_changes_leave_disk_and_memory_flat() {
    let mut site = Site::new(on_real_disk("flat", 900));
    let checkpoints = submit_in_parts(&mut site, 6);
    assert_eq!(site.accepted, 900);
    assert_flat(&checkpoints);
}

/// Minutes long: `cargo test -p scale-model --test changes -- --ignored`.
#[test]
#[ignore = "minutes long"]
fn ten_thousand_changes_leave_disk_and_memory_flat() {
    let mut site = Site::new(on_real_disk("flat-long", 10_000));
    assert_flat(&submit_in_parts(&mut site, 20));
}

#[test]
fn a_node_comes_back_over_a_link_of_20_mbit() {
    for blank in [false, true] {
        for changes_go_on in [false, true] {
            let mut site = Site::new(trial(300));
            site.stop_last();
            site.change(300);
            let back = site.restart_last(blank, 20_000_000, changes_go_on);
            assert!(
                back.took.is_some_and(|took| took < Duration::from_secs(2)),
                "{back:?}"
            );
        }
    }
}

/// A blank node has caught up within this, and is never further behind again, while changes go on.
const CAUGHT_UP_WITHIN: Duration = Duration::from_secs(3);
/// How long ago a majority confirmed the state of a node that has caught up, at the most: two confirmations' pause.
const MAX_AGE: Duration = Duration::from_millis(1000);
const MAX_REVISIONS_BEHIND: u64 = 8;

#[test]
fn a_blank_node_follows_a_storm_of_changes_over_a_link_of_2_mbit() {
    for nodes in [3, 6] {
        for blank in [false, true] {
            let mut site = Site::new(Trial {
                nodes,
                ..trial(600)
            });
            site.change(560);
            site.stop_last();
            site.change(40);
            site.run_until_idle();
            let gap = Duration::from_millis(120);
            let followed = site.follow_with_last(blank, 2_000_000, 250);
            let caught_up = (CAUGHT_UP_WITHIN.as_millis() / gap.as_millis()) as usize;
            let late = |age: &Option<Duration>| age.is_none_or(|age| age > MAX_AGE);
            let ages = &followed.ages[caught_up..];
            let behind = &followed.revisions_behind[caught_up..];
            let received = &followed.received;
            assert!(
                !ages.iter().any(late)
                    && behind.iter().all(|behind| *behind <= MAX_REVISIONS_BEHIND),
                "{nodes} nodes, blank {blank}: {ages:?}, {behind:?}, {received:?}"
            );
        }
    }
}
