//! An upstream that turns cold, by proxies that hear nothing of it but what it says itself.

use crate::harness::{
    COLD_FROM, FAST, LOCAL, Run, SEEDS, SLOW, SLOW_RATES, ViewCourse, overruns, traffics,
};
use std::time::Duration;

/// Guards against proxies that go on sending a cold upstream all that it got while it was warm, since no heartbeat of
/// it reached them.
#[test]
fn a_cold_upstream_gets_what_it_bears_though_no_heartbeat_says_that_it_is_cold() {
    let senders = [(1, 1.0), (3, 0.34), (3, 0.9), (12, 0.4), (12, 0.09)];
    let overruns = overruns(traffics(FAST, &[20.0, 28.0, 36.0, 60.0], &senders));
    assert!(overruns.is_empty(), "{overruns:#?}");
}

/// The same for an upstream that bears little, from one proxy.
#[test]
fn a_slow_upstream_gets_what_it_bears_from_one_proxy() {
    let overruns = overruns(traffics(SLOW, &SLOW_RATES, &[(1, 1.0)]));
    assert!(overruns.is_empty(), "{overruns:#?}");
}

/// The same from several, each of which knows of the others' requests by late reports only.
#[test]
fn a_slow_upstream_gets_what_it_bears_from_several_proxies() {
    let senders = [(3, 0.34), (3, 0.9), (12, 0.4), (12, 0.09)];
    let overruns = overruns(traffics(SLOW, &SLOW_RATES, &senders));
    assert!(overruns.is_empty(), "{overruns:#?}");
}

/// A broken twin: proxies that ask for no health check, and go by heartbeats alone.
#[test]
fn proxies_that_go_by_heartbeats_alone_are_caught() {
    let caught = |seed: &u64| {
        let run = Run::new(LOCAL).without_health_path().play(*seed);
        let bound = LOCAL.profile.most_in_a_second();
        run.checks == 0 && run.most_while_cold() as f64 > bound
    };
    assert!((0..SEEDS).all(|seed| caught(&seed)));
}

/// Checks hold up few of a warm upstream's requests, and are fewer than these. A request that is held up here would wait
/// for the answer, or go to another upstream.
#[test]
fn a_warm_upstream_gets_nearly_all_requests_at_once() {
    let runs = (0..SEEDS).map(|seed| Run::new(LOCAL).play(seed));
    let (mut sent, mut offered, mut checks) = (0, 0, 0);
    for run in runs {
        let is_warm = |at: &&Duration| **at < COLD_FROM;
        sent += run.arrivals.iter().filter(is_warm).count();
        offered += run.offered.iter().filter(is_warm).count();
        checks += run.checks;
    }
    assert!(sent * 10 >= offered * 9, "{sent} of {offered} were sent");
    assert!(
        checks * 4 <= offered * 2,
        "{checks} checks in twice the time of {offered} requests"
    );
}

/// The same where the proxies are in touch, and only the upstream is cut off.
#[test]
fn a_cold_upstream_gets_what_it_bears_though_its_heartbeats_are_lost() {
    let senders = [(1, 1.0), (3, 0.34), (3, 0.9), (12, 0.4), (12, 0.09)];
    let mut traffics = traffics(FAST, &[20.0, 28.0, 36.0, 60.0], &senders);
    traffics.extend(self::traffics(SLOW, &SLOW_RATES, &[(1, 1.0)]));
    for traffic in &mut traffics {
        traffic.view_course = ViewCourse::HeartbeatsLost;
    }
    let overruns = overruns(traffics);
    assert!(overruns.is_empty(), "{overruns:#?}");
}
