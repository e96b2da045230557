//! Slots at an upstream that reports its free slots: the limit and the requests in flight together.

use request_routing::{ProxyPartition, ReportedSlots, UpstreamStats};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const FIRST_OF_TWO: ProxyPartition = ProxyPartition {
    proxies: 2,
    rank: 0,
};

fn max_in_flight(stats: &UpstreamStats, heartbeat: u64, free: u32) -> u32 {
    let reported = ReportedSlots { heartbeat, free };
    stats
        .slot_limit
        .max_in_flight(NOW, stats.in_flight(), reported, FIRST_OF_TWO)
}

#[test]
fn the_limit_follows_heartbeats_and_a_rejection() {
    let stats = UpstreamStats::default();
    assert_eq!(max_in_flight(&stats, 1, 8), 4, "half of eight");
    (0..4).for_each(|_| assert!(stats.try_acquire(4)));
    assert_eq!(
        max_in_flight(&stats, 2, 4),
        6,
        "the other one sends nothing"
    );
    (0..2).for_each(|_| assert!(stats.try_acquire(6)));
    assert_eq!(
        max_in_flight(&stats, 2, 4),
        6,
        "the same heartbeat: its slots are not counted anew"
    );
    assert_eq!(max_in_flight(&stats, 3, 0), 6, "no more slots than it has");
    stats.slot_limit.record_full(NOW, stats.in_flight(), 1);
    assert_eq!(max_in_flight(&stats, 3, 9), 5, "it rejected the sixth");
}
