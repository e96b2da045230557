//! Answers to health checks in the product's own interface.

use data_plane::ApiAdapter;
use std::time::Duration;
use transport::Reply;

fn warm_up_left(status: u16, headers: &[(&str, &str)]) -> Option<Duration> {
    let reply = Reply {
        status,
        headers: transport::header_map(headers),
        body: Default::default(),
    };
    let report = (ApiAdapter::own().parse_health)(&reply, "slots-3");
    report.map(|report| report.warm_up_left)
}

#[test]
fn an_upstream_tells_for_how_long_it_warms_up() {
    let told = |ms| warm_up_left(200, &[("x-instance", "slots-3"), ("x-warm-up-ms", ms)]);
    assert_eq!(told("2500"), Some(Duration::from_millis(2500)));
    assert_eq!(told("0"), Some(Duration::ZERO));
}

#[test]
fn an_answer_that_does_not_say_so_confirms_nothing() {
    let warm = ("x-warm-up-ms", "0");
    let own = ("x-instance", "slots-3");
    assert_eq!(warm_up_left(503, &[own, warm]), None);
    assert_eq!(warm_up_left(200, &[("x-instance", "slots-4"), warm]), None);
    assert_eq!(warm_up_left(200, &[warm]), None);
    assert_eq!(warm_up_left(200, &[own]), None);
    assert_eq!(warm_up_left(200, &[own, ("x-warm-up-ms", "-1")]), None);
}
