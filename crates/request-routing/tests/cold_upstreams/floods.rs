//! Floods of a cold upstream that come from several proxies together.

use crate::harness::{Profile, Run, Traffic, ViewCourse, overruns};
use request_routing::{ColdTolerance, ProxyPartition, SlowStart, WarmUpTolerance};
use std::time::Duration;

/// Upstreams that are fewer than the proxies that send to them.
const BUSY: Profile = Profile {
    slow_start_rate: 7,
    margin: 8.0,
    slots: 6,
    work: Duration::from_millis(180),
};
const SPARSE: Profile = Profile {
    slow_start_rate: 3,
    margin: 8.0,
    slots: 3,
    work: Duration::from_millis(140),
};

/// Each rate at an upstream, before which most proxies send a little each.
fn traffics_of_many(view_course: ViewCourse) -> Vec<Traffic> {
    let mut traffics = Vec::new();
    for (profile, rates) in [(BUSY, [12.0, 16.0, 24.0]), (SPARSE, [7.0, 10.0, 14.0])] {
        for (proxies, first_share) in [(8, 0.125), (11, 0.3), (30, 0.034)] {
            for (rate, rate_before) in rates.iter().flat_map(|rate| [(*rate, 1.0), (*rate, 0.4)]) {
                for check_latency in [2, 45] {
                    traffics.push(Traffic {
                        profile,
                        rate,
                        rate_before,
                        proxies,
                        first_share,
                        reports_load: true,
                        check_latency: Duration::from_millis(check_latency),
                        max_queue_wait: Duration::from_millis(150),
                        view_course,
                        has_outage: false,
                    });
                }
            }
        }
    }
    traffics
}

/// Guards against many proxies of a zone that is cut off, each of which takes the sum of their requests for tolerable.
#[test]
fn a_cold_upstream_is_not_flooded_by_many_proxies_that_are_out_of_touch() {
    let overruns = overruns(traffics_of_many(ViewCourse::Stale));
    assert!(overruns.is_empty(), "{overruns:#?}");
}

/// Guards against proxies that hear of an evacuation's end before they hear that the zone's upstreams are cold.
#[test]
fn a_cold_upstream_is_not_flooded_when_its_evacuation_ends() {
    let overruns = overruns(traffics_of_many(ViewCourse::EvacuationEnds));
    assert!(overruns.is_empty(), "{overruns:#?}");
}

/// Guards against connections that come up together after a partition, and carry requests that were allowed before it.
#[test]
fn a_cold_upstream_is_not_flooded_by_connections_that_waited_out_a_partition() {
    let mut traffics = traffics_of_many(ViewCourse::Stale);
    for traffic in &mut traffics {
        traffic.has_outage = true;
    }
    let overruns = overruns(traffics);
    assert!(overruns.is_empty(), "{overruns:#?}");
}

/// A broken twin: proxies that take an old view for a current one.
#[test]
fn proxies_that_take_an_old_view_for_current_are_caught() {
    let caught = |traffic: Traffic| {
        let run = Run::new(traffic).with_view_taken_for_current().play(0);
        run.most_while_cold() as f64 > traffic.profile.most_in_a_second()
    };
    let traffics = traffics_of_many(ViewCourse::Stale);
    let count = traffics.len();
    let caught = traffics.into_iter().filter(|traffic| caught(*traffic));
    assert!(
        caught.count() * 10 >= count,
        "one in ten at least, of {count}"
    );
}

/// Guards against turns that proxies kept from an earlier warm-up of the same upstream, and spend at once in the next.
#[test]
fn a_cold_upstream_is_not_flooded_by_turns_from_an_earlier_warm_up() {
    const PROXIES: u32 = 40;
    const PER_SECOND: u64 = 3;
    const STEP: Duration = Duration::from_millis(10);
    let tolerance = ColdTolerance::new(WarmUpTolerance::default(), PER_SECOND);
    let proxies: Vec<SlowStart> = (0..PROXIES).map(|_| SlowStart::default()).collect();
    // All proxies have requests for it, at any time.
    let most_in_a_second = |from: Duration| {
        let mut taken: Vec<Duration> = Vec::new();
        let mut now = from;
        while now < from + Duration::from_secs(3) {
            for (rank, slow_start) in proxies.iter().enumerate() {
                let partition = ProxyPartition {
                    proxies: PROXIES,
                    rank: rank as u32,
                };
                if slow_start.try_take(now, PER_SECOND, partition, tolerance.turn_validity()) {
                    taken.push(now);
                }
            }
            now += STEP;
        }
        let within = |at: &Duration| {
            let second = *at..*at + Duration::from_secs(1);
            taken.iter().filter(|other| second.contains(other)).count()
        };
        taken.iter().map(within).max().unwrap_or(0)
    };
    let bears = PER_SECOND as f64 * 1.5 + 5.0;
    let first = most_in_a_second(Duration::from_secs(5));
    assert!(first as f64 <= bears, "{first} in the first warm-up");
    for again in [30, 40, 60, 300] {
        let most = most_in_a_second(Duration::from_secs(again));
        assert!(most as f64 <= bears, "{most} in the one at {again} s");
    }
}
