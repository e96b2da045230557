//! What the nodes say to one another between zones and regions, in bytes.

use drill::shapes::ROADWISE;
use drill::sim::{Plan, run};

/// Bytes within zones, between zones and between regions, of a whole run.
fn spoken(plan: &str) -> [u64; 3] {
    let steps = if plan == "quiet" { Some(Plan { steps: Vec::new() }) } else { Plan::named(plan, 1) };
    let outcome = run(1, steps, ROADWISE);
    assert!(outcome.fine(), "{plan}: {:?}", outcome.violations);
    let sum = |at: usize| outcome.spoken.values().map(|bytes| bytes[at]).sum::<u64>();
    let all = [sum(0), sum(1), sum(2)];
    println!("{plan}: {all:?} bytes in {:?}: {:?}", outcome.lasted, outcome.spoken);
    all
}

#[test]
fn little_is_said_between_zones_and_regions() {
    ["quiet", "setup-storm", "rolling-restart", "dark-zone"].into_iter().for_each(|plan| {
        spoken(plan);
    });
}
