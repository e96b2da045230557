//! A node whose disk lacks what its state names says so, and takes it from the others.

use config::JsonValue;
use control_plane::{ControlNode, ControlRequest, ControlResponse, Effect, Event, Start};
use protocol::{
    ClusterState, ConfigurationBytes, ConfigurationRequest, DurableState, Member, Payload, VoterSet,
};
use std::collections::BTreeMap;
use std::time::Duration;

const CONFIGURATION: &[u8] = br#"{"services": {}, "routes": []}"#;

/// A voter whose state names a configuration, with or without its bytes.
fn start(configurations: BTreeMap<String, Vec<u8>>) -> ControlNode {
    let initial_voters: Vec<String> = ["pm-1", "pm-2", "pm-3"].map(String::from).to_vec();
    let voter_set = VoterSet {
        voters: initial_voters.clone(),
        ..Default::default()
    };
    let accepted = ClusterState {
        revision: 3,
        digest: protocol::digest(CONFIGURATION),
        voter_set,
        ..Default::default()
    };
    let durable = DurableState {
        disk: 7,
        bootstrap_vote: initial_voters.clone(),
        initial_voters,
        accepted,
        ..Default::default()
    };
    let settings = config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap();
    let me = Member {
        node: "pm-1".into(),
        roles: "postmaster".into(),
        ..Default::default()
    };
    ControlNode::new(Start {
        me,
        seeds: vec![],
        initial_voter_count: 3,
        seed: 1,
        reader: Default::default(),
        owners: Default::default(),
        durable,
        configurations,
        departures: vec![],
        times: control_plane::daemon::times(&settings),
    })
}

fn alarms(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::LogError(_)))
        .count()
}

fn repairs(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Log(text) if text.starts_with("repaired")))
        .count()
}

fn status(control: &mut ControlNode, now: Duration) -> JsonValue {
    let effects = control.step(
        now,
        Event::ControlRequest {
            request_id: 1,
            request: ControlRequest::Status,
        },
    );
    let json = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond {
            response: ControlResponse::Json(json),
            ..
        } => Some(json),
        _ => None,
    });
    json.unwrap()
}

#[test]
fn a_missing_configuration_is_reported_until_it_is_repaired() {
    let mut control = start(BTreeMap::new());
    let ms = Duration::from_millis;
    let effects = control.step(ms(1), Event::Tick);
    assert_eq!(alarms(&effects), 1);
    assert_eq!(
        status(&mut control, ms(2)).get("setupMissing"),
        Some(&JsonValue::Bool(true))
    );
    let digest = protocol::digest(CONFIGURATION);
    let asks = |effect: &&Effect| matches!(effect, Effect::Send { body: Payload::ConfigurationRequest(ConfigurationRequest { digest: asked }), .. } if *asked == digest);
    assert_eq!(
        effects.iter().filter(asks).count(),
        2,
        "both others are asked"
    );
    let again = control.step(ms(900), Event::Tick);
    assert_eq!(alarms(&again), 0, "once is enough");
    assert_eq!(again.iter().filter(asks).count(), 2, "until one has them");
    let body = Payload::ConfigurationBytes(ConfigurationBytes {
        digest: digest.clone(),
        compressed: protocol::compress(CONFIGURATION),
    });
    let effects = control.step(
        ms(950),
        Event::Received {
            from: "pm-2".into(),
            body,
        },
    );
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::StoreConfiguration { .. }))
    );
    let effects = control.step(ms(1000), Event::Tick);
    assert_eq!(repairs(&effects), 1);
    assert_eq!(
        status(&mut control, ms(1001)).get("setupMissing"),
        Some(&JsonValue::Bool(false))
    );
}

#[test]
fn an_intact_disk_reports_nothing() {
    let mut control = start([(protocol::digest(CONFIGURATION), CONFIGURATION.to_vec())].into());
    let effects = control.step(Duration::from_millis(1), Event::Tick);
    assert_eq!(alarms(&effects), 0);
    assert_eq!(
        status(&mut control, Duration::from_millis(2)).get("setupMissing"),
        Some(&JsonValue::Bool(false))
    );
}

#[test]
fn a_disk_that_fails_shows_in_the_status() {
    let mut control = start(BTreeMap::new());
    let now = Duration::from_millis(1);
    control.step(now, Event::DiskRetrying);
    assert_eq!(status(&mut control, now).text("disk"), Some("failing"));
    control.step(now, Event::DiskRecovered);
    assert_eq!(status(&mut control, now).text("disk"), Some("works"));
}
