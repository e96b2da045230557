//! What the nodes say to one another between zones and regions, in bytes.

use simulator::shapes::ROADWISE;
use simulator::{Plan, run};

/// Bytes within zones, between zones and between regions, of a whole run.
fn traffic(plan: &str) -> [u64; 3] {
    let steps = if plan == "quiet" {
        Some(Plan { steps: Vec::new() })
    } else {
        Plan::named(plan, 1)
    };
    let outcome = run(1, steps, ROADWISE);
    assert!(outcome.passed(), "{plan}: {:?}", outcome.violations);
    let sum = |at: usize| outcome.traffic.values().map(|bytes| bytes[at]).sum::<u64>();
    let all = [sum(0), sum(1), sum(2)];
    println!(
        "{plan}: {all:?} bytes in {:?}: {:?}",
        outcome.lasted, outcome.traffic
    );
    all
}

/// At rest, and in storms: the most bytes between zones, and between regions.
#[test]
fn little_is_said_between_zones_and_regions() {
    let bounds = [
        ("quiet", 360_000, 800_000),
        ("setup-storm", 900_000, 2_500_000),
        ("rolling-restart", 1_400_000, 2_700_000),
        ("dark-zone", 500_000, 1_100_000),
    ];
    bounds.into_iter().for_each(|(plan, zones, regions)| {
        let said = traffic(plan);
        assert!(said[1] <= zones && said[2] <= regions, "{plan}: {said:?}");
    });
}
