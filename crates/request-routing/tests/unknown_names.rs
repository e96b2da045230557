//! Requests for names and routes that a view lacks.

use name_directory::View;
use protocol::{ClusterState, ViewUpdate};
use request_routing::{NextStep, ProxyContext, ProxyStats, RequestInfo, RequestState};
use result_code::{Execution, ResultCode};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const CONFIGURATION: &str = r#"{"services": [{"name": "slots", "work": "once"}],
    "routes": [{"id": "r1", "name": "book", "path": "/book", "service": "slots"}]}"#;

/// A view that a majority confirmed just now, after this update.
fn confirmed_view(update: ViewUpdate) -> View {
    let mut view = View {
        as_of: Some(NOW),
        ..View::default()
    };
    view.apply_update(update, true).expect("it is valid");
    view
}

/// What a request is answered with at once.
fn rejection(view: &View, name: &str, path: &str) -> ResultCode {
    let locality = "n/1".parse().expect("a locality");
    let proxy = ProxyContext::new("p", locality, Duration::from_secs(9), Duration::ZERO);
    let request = RequestInfo {
        attempt_id: "t-1".into(),
        name: name.into(),
        path: path.into(),
        arrived_at: NOW,
        remaining: Duration::from_secs(5),
        ..RequestInfo::default()
    };
    match RequestState::new(request, proxy).start(NOW, view, &ProxyStats::default()) {
        NextStep::Answer { code, .. } => code,
        other => panic!("{other:?}"),
    }
}

/// Guards against proper requests that are denied for good, by a node that follows a control node which does not know
/// the first configuration yet.
#[test]
fn a_node_that_knows_no_configuration_does_not_say_that_a_route_does_not_exist() {
    let evacuated = ClusterState {
        revision: 1,
        evacuated: vec!["n/2".into()],
        ..ClusterState::default()
    };
    let before_any_change = confirmed_view(ViewUpdate::default());
    let after_an_evacuation = confirmed_view(ViewUpdate {
        state: Some(evacuated),
        ..ViewUpdate::default()
    });
    for view in [before_any_change, after_an_evacuation] {
        let code = rejection(&view, "book", "/book");
        assert_eq!(code, ResultCode::StaleView);
        assert_eq!((code.status(), code.kind()), (503, Execution::NotExecuted));
    }
}

#[test]
fn a_route_that_the_configuration_lacks_does_not_exist() {
    let state = ClusterState {
        revision: 1,
        ..ClusterState::default()
    };
    let view = confirmed_view(ViewUpdate {
        state: Some(state),
        configuration: Some(CONFIGURATION.into()),
        ..ViewUpdate::default()
    });
    for (name, path) in [("book", "/other"), ("other", "/book")] {
        assert_eq!(rejection(&view, name, path), ResultCode::NoSuchName);
    }
}
