//! An address belongs to one upstream at a time: the one that registered last.

use protocol::{Upstream, UpstreamState};
use std::time::Duration;
use upstream_registry::UpstreamRegistry;

/// Records that a control node gets just after its start, in either order: the live owner keeps the address.
#[test]
fn a_deregistered_instance_does_not_regain_its_address() {
    let record = |instance: &str, state: UpstreamState, registered_ms_ago| Upstream {
        service: "s".into(),
        instance: instance.into(),
        address: "127.0.0.1:9".into(),
        heartbeat_number: 4,
        state: state.into(),
        registered_ms_ago,
        ..Upstream::default()
    };
    let (old, new) = (
        record("unit-3", UpstreamState::Deregistered, 90_000),
        record("unit-27", UpstreamState::Ready, 40_000),
    );
    [[old.clone(), new.clone()], [new.clone(), old.clone()]]
        .into_iter()
        .for_each(|order| {
            let mut registry = UpstreamRegistry::default();
            order.into_iter().for_each(|upstream| {
                registry.apply_heartbeat(Duration::from_secs(1), upstream);
            });
            let live = registry
                .snapshot(Duration::from_secs(1))
                .into_iter()
                .find(|upstream| upstream.instance == "unit-27");
            assert_eq!(
                live.map(|upstream| upstream.state()),
                Some(UpstreamState::Ready)
            );
        });
}

/// A heartbeat of an old instance was delayed in a frozen process, and gossiped as new when its address had a new owner.
#[test]
fn a_live_upstream_recovers_from_a_delayed_heartbeat_of_its_address() {
    let record = |instance: &str, heartbeat_number| Upstream {
        service: "s".into(),
        instance: instance.into(),
        address: "127.0.0.1:9".into(),
        heartbeat_number,
        ..Upstream::default()
    };
    let ms = Duration::from_millis;
    let mut registry = UpstreamRegistry::default();
    registry.apply_heartbeat(ms(1000), record("new", 1));
    registry.apply_heartbeat(ms(1200), record("old", 9));
    assert_eq!(
        registry
            .get(ms(1200), &record("new", 0))
            .map(|new| new.state()),
        Some(UpstreamState::Deregistered),
        "it seems the older"
    );
    assert!(
        !registry.apply_heartbeat(ms(1500), record("new", 2)),
        "for a moment the order can't be known"
    );
    assert!(registry.apply_heartbeat(ms(3000), record("new", 5)));
    assert_eq!(
        registry
            .get(ms(3000), &record("new", 0))
            .map(|new| new.state()),
        Some(UpstreamState::Ready)
    );
    assert_eq!(
        registry
            .get(ms(3000), &record("old", 0))
            .map(|old| old.state()),
        Some(UpstreamState::Deregistered)
    );
}

/// Ages beyond the start of this process still distinguish the younger from the older registration.
#[test]
fn the_younger_registration_owns_the_address() {
    let record = |instance: &str, registered_ms_ago| Upstream {
        service: "s".into(),
        instance: instance.into(),
        address: "127.0.0.1:9".into(),
        heartbeat_number: 4,
        registered_ms_ago,
        ..Upstream::default()
    };
    let mut registry = UpstreamRegistry::default();
    registry.apply_heartbeat(Duration::from_secs(1), record("a-younger", 40_000));
    registry.apply_heartbeat(Duration::from_secs(1), record("b-older", 90_000));
    let ready: Vec<String> = registry
        .snapshot(Duration::from_secs(1))
        .into_iter()
        .filter(|upstream| upstream.state() == UpstreamState::Ready)
        .map(|upstream| upstream.instance)
        .collect();
    assert_eq!(ready, ["a-younger"]);
}
