//! What a proxy tells when an upstream turns out to be cold.

use request_routing::{ColdNews, ColdUpstream, HealthReport, SendCounts, WarmUpChecks};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);
const COLD: HealthReport = HealthReport {
    warm_up_left: Duration::from_secs(3),
};

#[test]
fn an_upstream_that_was_sent_nothing_is_no_news() {
    let checks = WarmUpChecks::default();
    assert_eq!(checks.record_answer(NOW, NOW, Some(COLD)), None);
}

#[test]
fn the_line_says_what_allowed_the_requests_of_the_last_second() {
    let upstream = ColdUpstream {
        service: "clauses".into(),
        instance: "a".into(),
        news: ColdNews::HealthAnswer,
        sends: SendCounts {
            heartbeat: 4,
            slow_start: 1,
            ..SendCounts::default()
        },
    };
    assert_eq!(
        upstream.to_string(),
        "a of clauses is cold, by its health answer; sent there in the last second: 4 on a heartbeat, \
         0 on a health answer, 0 along with a check, 1 by slow start"
    );
    assert_eq!(upstream.sends.total(), 5);
}
