//! The whole measurement and its printed report.

use super::process::written_bytes;
use super::results::{Checkpoint, TrafficByKind, Trial};
use super::site::Site;
use crate::Flow;
use std::time::Duration;

/// How many checkpoints the report has.
const CHECKPOINTS: usize = 10;
/// Changes that the last node misses while it is stopped.
const MISSED_CHANGES: usize = 40;
/// Changes that a restarted node follows.
const FOLLOWED_CHANGES: usize = 250;
/// A node that is within both limits has caught up.
const MAX_AGE: Duration = Duration::from_secs(1);
const MAX_REVISIONS_BEHIND: u64 = 8;

/// How the last node is restarted.
struct Restart {
    blank: bool,
    bits_per_second: u64,
}

impl Restart {
    const fn new(blank: bool, bits_per_second: u64) -> Restart {
        Restart {
            blank,
            bits_per_second,
        }
    }

    fn disk(&self) -> &'static str {
        if self.blank { "a blank" } else { "its" }
    }
}

/// Restarts to catch up after, without and with further changes meanwhile.
const CATCH_UPS: [(Restart, bool); 5] = [
    (Restart::new(false, 2_000_000), false),
    (Restart::new(true, 2_000_000), false),
    (Restart::new(false, 2_000_000), true),
    (Restart::new(true, 2_000_000), true),
    (Restart::new(true, 20_000_000), true),
];

/// Restarts after which the node follows further changes.
const FOLLOWINGS: [Restart; 4] = [
    Restart::new(false, 2_000_000),
    Restart::new(true, 2_000_000),
    Restart::new(true, 1_000_000),
    Restart::new(true, 500_000),
];

/// Submits the trial's changes in this many parts, restarts the first node after each and returns its checkpoints.
pub fn submit_in_parts(site: &mut Site, parts: usize) -> Vec<Checkpoint> {
    let changes = site.trial.changes / parts;
    let checkpoints = (0..parts).map(|_| {
        let written_before = written_bytes();
        site.change(changes);
        site.run_until_idle();
        let written = written_bytes() - written_before;
        Checkpoint {
            written_per_change: written / changes as u64,
            ..site.restart_first()
        }
    });
    checkpoints.collect()
}

/// Measures a trial and prints the report.
pub fn measure(trial: Trial) {
    let (changes, routes, nodes) = (trial.changes, trial.routes, trial.nodes);
    let mut site = Site::new(trial);
    let configuration = site.next_configuration();
    println!(
        "{nodes} control nodes, {routes} routes: {} B a setup, {} B squeezed",
        configuration.len(),
        protocol::compress(&configuration).len()
    );
    for checkpoint in submit_in_parts(&mut site, CHECKPOINTS) {
        println!("{checkpoint:?}");
    }
    print_sent_per_change(&site, changes);
    for (restart, changes_go_on) in &CATCH_UPS {
        print_catch_up(&mut site, restart, *changes_go_on);
    }
    for restart in &FOLLOWINGS {
        print_following(&mut site, restart);
    }
}

fn print_sent_per_change(site: &Site, changes: usize) {
    println!(
        "{} of {changes} changes accepted; sent per change:",
        site.accepted
    );
    let changes = changes as u64;
    let per_change = site.sent.iter().map(|(kind, flow)| {
        let flow = Flow {
            messages: flow.messages / changes,
            bytes: flow.bytes / changes,
        };
        (*kind, flow)
    });
    println!("  {}", describe(&per_change.collect()));
}

fn print_catch_up(site: &mut Site, restart: &Restart, changes_go_on: bool) {
    miss_changes(site);
    let catch_up = site.restart_last(restart.blank, restart.bits_per_second, changes_go_on);
    site.run_until_idle();
    println!(
        "back with {} disk over {} bit/s{}: {:?}; received {}",
        restart.disk(),
        restart.bits_per_second,
        if changes_go_on {
            ", changes going on"
        } else {
            ""
        },
        catch_up.took,
        describe(&catch_up.received)
    );
}

fn print_following(site: &mut Site, restart: &Restart) {
    miss_changes(site);
    let following = site.follow_with_last(restart.blank, restart.bits_per_second, FOLLOWED_CHANGES);
    site.run_until_idle();
    let second_half = FOLLOWED_CHANGES / 2;
    println!(
        "follows {FOLLOWED_CHANGES} changes with {} disk over {} bit/s: no older than 1 s and 8 editions after {:?}; \
         in the second half confirmed {:?} ago at the most, {:?} editions behind; received {}",
        restart.disk(),
        restart.bits_per_second,
        following.caught_up_after(MAX_AGE, MAX_REVISIONS_BEHIND),
        following.ages[second_half..].iter().max(),
        following.revisions_behind[second_half..].iter().max(),
        describe(&following.received)
    );
}

/// Stops the last node and submits changes without it.
fn miss_changes(site: &mut Site) {
    site.stop_last();
    site.change(MISSED_CHANGES);
    site.run_until_idle();
}

fn describe(traffic: &TrafficByKind) -> String {
    let kinds: Vec<String> = traffic
        .iter()
        .map(|(kind, flow)| format!("{kind} {} of {} B", flow.messages, flow.bytes))
        .collect();
    kinds.join(", ")
}
