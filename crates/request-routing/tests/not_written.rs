//! A reused connection that turned out to be closed before a byte of the request went out.

use name_directory::{OwnershipMode, View};
use protocol::{ClusterState, Upstream, ViewUpdate};
use request_routing::{CallOutcome, NextStep, ProxyContext, ProxyStats, RequestInfo, RequestState};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn view() -> View {
    let configuration = r#"{"services": [{"name": "slots", "work": "once"}],
                    "routes": [{"id": "r1", "name": "book", "path": "/book", "service": "slots"}]}"#;
    let upstream = |instance: &str| Upstream {
        service: "slots".into(),
        instance: instance.into(),
        address: instance.into(),
        locality: "n/1".into(),
        free_slots: 9,
        warm: true,
        ..Upstream::default()
    };
    let update = ViewUpdate {
        state: Some(ClusterState {
            revision: 1,
            ..ClusterState::default()
        }),
        configuration: Some(configuration.into()),
        upstreams: vec![upstream("a"), upstream("b")],
        ..ViewUpdate::default()
    };
    let mut view = View {
        as_of: Some(NOW),
        ..View::default()
    };
    view.apply_update(update, true)
        .expect("the configuration is valid");
    view
}

fn new_request() -> RequestState {
    let mut proxy = ProxyContext::new(
        "p",
        "n/1".parse().unwrap(),
        Duration::from_secs(9),
        Duration::ZERO,
    );
    proxy.ownership = OwnershipMode::PerClientZone;
    let request = RequestInfo {
        attempt_id: "t-1".into(),
        name: "book".into(),
        path: "/book".into(),
        arrived_at: NOW,
        remaining: Duration::from_secs(5),
        ..RequestInfo::default()
    };
    RequestState::new(request, proxy)
}

fn selected_instance(next: &NextStep) -> String {
    match next {
        NextStep::Connect { upstream, .. } => upstream.instance.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_same_upstream_is_called_again_on_a_new_connection() {
    let (view, stats) = (view(), ProxyStats::default());
    let mut request_state = new_request();
    let first = request_state.start(NOW, &view, &stats);
    assert!(matches!(
        request_state.on_connected(NOW, &view, &stats),
        NextStep::Send { .. }
    ));
    let again = request_state.on_not_written(NOW);
    assert_eq!(selected_instance(&again), selected_instance(&first));
    assert!(matches!(
        request_state.on_connected(NOW, &view, &stats),
        NextStep::Send { .. }
    ));
    assert!(matches!(
        request_state.on_outcome(NOW, &view, &stats, CallOutcome::Complete),
        NextStep::PassResponse
    ));
}

#[test]
fn the_selection_is_checked_again() {
    let (mut view, stats) = (view(), ProxyStats::default());
    let mut request_state = new_request();
    let first = selected_instance(&request_state.start(NOW, &view, &stats));
    request_state.on_connected(NOW, &view, &stats);
    assert_eq!(selected_instance(&request_state.on_not_written(NOW)), first);
    let gone = Upstream {
        service: "slots".into(),
        instance: first.clone(),
        state: 2,
        ..Upstream::default()
    };
    view.apply_update(
        ViewUpdate {
            upstreams: vec![gone],
            ..ViewUpdate::default()
        },
        false,
    )
    .unwrap();
    let next = request_state.on_connected(NOW, &view, &stats);
    assert_ne!(selected_instance(&next), first, "it was removed meanwhile");
}

#[test]
fn a_request_never_written_is_answered_as_not_executed() {
    let (view, stats) = (view(), ProxyStats::default());
    let mut request_state = new_request();
    let mut next = request_state.start(NOW, &view, &stats);
    while let NextStep::Connect { .. } = next {
        assert!(matches!(
            request_state.on_connected(NOW, &view, &stats),
            NextStep::Send { .. }
        ));
        next = request_state.on_outcome(NOW, &view, &stats, CallOutcome::NotConnected);
    }
    let NextStep::Answer { code, .. } = next else {
        panic!("{next:?}")
    };
    assert_eq!(code.kind(), result_code::Execution::NotExecuted);
}

#[test]
fn an_answered_request_is_never_sent_again() {
    let (view, stats) = (view(), ProxyStats::default());
    let mut request_state = new_request();
    request_state.start(NOW, &view, &stats);
    request_state.on_connected(NOW, &view, &stats);
    request_state.on_outcome(NOW, &view, &stats, CallOutcome::ResponseLost);
    assert!(matches!(
        request_state.on_not_written(NOW),
        NextStep::Answer { .. }
    ));
}
