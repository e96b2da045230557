//! Evacuations without an id: what a node that stood still takes for old.

mod site;

use control_plane::{ControlRequest, ControlResponse, Event};
use result_code::ResultCode;
use site::{Site, site};
use std::time::Duration;

/// The code of the answer to an order to evacuate, after a moment.
fn evacuated(site: &mut Site, back: bool) -> Option<ResultCode> {
    let request = ControlRequest::Evacuate {
        id: Default::default(),
        locality: "north/n1".into(),
        back,
        in_force: false,
    };
    site.step(Event::ControlRequest {
        request_id: 1,
        request,
    });
    site.run(Duration::from_millis(100));
    site.answers.pop().and_then(|response| match response {
        ControlResponse::Outcome { code, .. } => Some(code),
        _ => None,
    })
}

#[test]
fn an_evacuation_without_an_id_begins_and_ends() {
    let mut site = site();
    let before = site.control.revision();
    assert_eq!(evacuated(&mut site, false), Some(ResultCode::Success));
    assert_eq!(evacuated(&mut site, false), Some(ResultCode::Success));
    assert_eq!(evacuated(&mut site, true), Some(ResultCode::Success));
    assert_eq!(evacuated(&mut site, false), Some(ResultCode::Success));
    assert_eq!(site.control.revision(), before + 3);
}

#[test]
fn after_a_freeze_no_evacuation_without_an_id_is_accepted_for_a_moment() {
    let mut site = site();
    let before = site.control.revision();
    site.now += Duration::from_secs(3);
    assert_eq!(
        evacuated(&mut site, false),
        Some(ResultCode::StaleView),
        "it may be three seconds old"
    );
    assert_eq!(site.control.revision(), before);
    site.run(Duration::from_millis(500));
    assert_eq!(evacuated(&mut site, false), Some(ResultCode::Success));
}
