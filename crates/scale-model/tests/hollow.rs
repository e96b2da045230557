//! The hollow harness counts rightly, and a hollow site keeps its promises.

use protocol::{Envelope, Freshness, Message, Payload, UpdateRequest};
use scale_model::{
    Figures, Fleet, Load, Reach, Role, Run, SETTLING_TIME, Size, TrafficStats, kind, run,
};
use std::time::Duration;

const FORTY: Size = Size {
    nodes: 34,
    control_nodes: 6,
    upstreams: 60,
    services: 6,
    routes: 30,
    regions: 3,
    zones: 6,
};
const WINDOW: Duration = Duration::from_secs(10);

/// The site once every data node could serve every name, with empty counts.
fn site(seed: u64, load: Load) -> Fleet {
    let mut fleet = Fleet::new(FORTY, seed, load);
    fleet.run_for(Duration::from_secs(3));
    fleet.submit(0);
    let up = fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.serving() == FORTY.nodes
    });
    assert!(
        up.is_some(),
        "{} of {} carriers serve",
        fleet.serving(),
        FORTY.nodes
    );
    fleet.run_for(Duration::from_secs(4));
    fleet.take_stats();
    fleet
}

fn counts(stats: &TrafficStats, role: Role) -> Vec<(&'static str, u64, u64, u64, u64)> {
    let kinds = stats.kinds(role).into_iter();
    kinds
        .map(|(kind, (out, into))| (kind, out.messages, out.bytes, into.messages, into.bytes))
        .collect()
}

#[test]
fn what_is_counted_is_what_the_nodes_say() {
    let mut fleet = site(1, Load::default());
    fleet.run_for(WINDOW);
    let stats = fleet.take_stats();
    let data_nodes = stats.kinds(Role::DataNode);
    // Each data node asks twice a second, by its own clock; each ask is answered.
    let (asks, answers) = (data_nodes["news ask"].0, data_nodes["fresh"].1);
    let expected = FORTY.nodes as u64 * 2 * WINDOW.as_secs();
    assert!(
        asks.messages.abs_diff(expected) <= FORTY.nodes as u64,
        "{} asks, expected {expected}",
        asks.messages
    );
    assert!(asks.messages.abs_diff(answers.messages) <= FORTY.nodes as u64);
    // Each upstream heartbeats twice a second.
    let heartbeats = stats.out(Role::Upstream, None).messages;
    assert!(
        heartbeats.abs_diff(FORTY.upstreams as u64 * 2 * WINDOW.as_secs())
            <= FORTY.upstreams as u64,
        "{heartbeats} beats"
    );
    // Bytes are those of the encoded message with its frame.
    let largest = UpdateRequest {
        nonce: u64::MAX,
        stream: u64::MAX,
        number: 300,
        ..UpdateRequest::default()
    };
    let envelope = Envelope {
        from: "carrier-33".into(),
        body: Some(Payload::UpdateRequest(largest)),
    };
    let (most, least) = (envelope.encoded_len() as u64 + 4, 4 + 12);
    assert!(asks.bytes <= most * asks.messages && asks.bytes > least * asks.messages);
    assert_eq!(kind(&Payload::Freshness(Freshness::default())), "fresh");
}

#[test]
fn what_leaves_comes_in_and_is_split_by_reach() {
    let mut fleet = site(
        2,
        Load {
            changing_per_mille: 100,
            cold: false,
        },
    );
    fleet.run_for(WINDOW);
    let stats = fleet.take_stats();
    let roles = [Role::DataNode, Role::Voter, Role::Holder, Role::Upstream];
    let (out, into) = roles.iter().fold((0, 0), |(out, into), role| {
        (
            out + stats.out(*role, None).bytes,
            into + stats.received_by(*role, None).bytes,
        )
    });
    assert_eq!((out, into), (stats.all().bytes, stats.all().bytes));
    let reaches = [Reach::Zone, Reach::Region, Reach::Far];
    let split: u64 = reaches
        .iter()
        .map(|reach| stats.out(Role::DataNode, Some(*reach)).bytes)
        .sum();
    assert_eq!(split, stats.out(Role::DataNode, None).bytes);
    assert!(
        stats.kinds(Role::DataNode).contains_key("news change"),
        "other room is told"
    );
    // Every process took steps, and each once for every tick.
    assert_eq!(stats.busy(Role::DataNode).len(), FORTY.nodes);
    let ticks = stats.steps(Role::DataNode)["tick"].count;
    assert!(
        ticks.abs_diff(FORTY.nodes as u64 * 50 * WINDOW.as_secs()) <= FORTY.nodes as u64,
        "{ticks} ticks"
    );
}

#[test]
fn one_seed_gives_one_count() {
    let count = |seed| {
        let mut fleet = site(seed, Load::default());
        fleet.run_for(Duration::from_secs(3));
        let stats = fleet.take_stats();
        [Role::DataNode, Role::Voter, Role::Holder].map(|role| counts(&stats, role))
    };
    assert_eq!(count(5), count(5));
    assert_ne!(count(5), count(6));
}

fn tried(what: &str, load: Load) -> Figures {
    let arguments = Run {
        size: FORTY,
        window: WINDOW,
        seed: 3,
        what: what.into(),
        load,
        settle: SETTLING_TIME,
        replicas: 0,
        kinds: false,
    };
    run(&arguments).expect("a known trial on a site that comes up")
}

#[test]
fn a_configuration_is_in_force_everywhere_within_three_seconds() {
    let took = tried("config", Load::default())
        .get("in-force.s")
        .expect("it is in force");
    assert!(took <= 3.0, "{took} s");
}

#[test]
fn a_dead_node_is_noticed_by_all() {
    let figures = tried("node-loss", Load::default());
    let (first, all) = (
        figures.get("first-knows.s").unwrap(),
        figures.get("all-know.s").unwrap(),
    );
    // Nobody is held for gone before a probe failed and the suspicion lasted; a turn through forty takes 12 s.
    assert!((1.5..=6.0).contains(&first), "first after {first} s");
    assert!(first <= all && all <= 12.0, "all after {all} s");
}

#[test]
fn names_leave_a_dead_zone() {
    let took = tried("zone-loss", Load::default())
        .get("names-moved.s")
        .expect("they move");
    assert!(took <= 10.0, "{took} s");
}

#[test]
fn nodes_that_know_only_their_seeds_come_up() {
    let took = tried(
        "cold-start",
        Load {
            cold: true,
            ..Load::default()
        },
    )
    .get("all-serve.s")
    .expect("all serve");
    assert!(took <= 15.0, "{took} s");
}

#[test]
fn the_rest_serves_on_while_a_region_is_cut_off() {
    let figures = tried("region-cut", Load::default());
    // A third of the data nodes stands in the region that is cut off, and stops.
    assert_eq!(
        figures.get("cut.serving"),
        Some((FORTY.nodes - FORTY.nodes / 3) as f64)
    );
    assert!(figures.get("healed.s").unwrap() <= 5.0);
}

#[test]
fn every_order_of_many_is_taken_and_in_force_in_time() {
    let figures = tried("orders", Load::default());
    let submissions = figures.get("calls").expect("orders are counted");
    assert_eq!(submissions, 100.0, "one every 100 ms");
    assert_eq!(figures.get("calls.taken"), Some(submissions));
    let (half, all) = (
        figures.get("in-force.p50.s").unwrap(),
        figures.get("in-force.most.s").unwrap(),
    );
    assert!(
        half > 0.0 && half <= all && all <= 3.0,
        "half within {half} s, all within {all} s"
    );
}

#[test]
fn every_departure_of_many_is_taken_within_the_second_that_callers_wait() {
    let figures = tried("departures", Load::default());
    let requested = FORTY.upstreams as f64;
    assert_eq!(
        (figures.get("calls"), figures.get("calls.taken")),
        (Some(requested), Some(requested))
    );
    assert!(
        figures.get("all.beats-taken.msgs").unwrap() > 0.0,
        "a majority takes them"
    );
    let most = figures.get("answer.most.s").expect("they are answered");
    assert!(most < 1.0, "{most} s");
}

#[test]
fn control_nodes_without_a_vote_are_counted_apart() {
    let idle = |replicas| {
        let (what, load, kinds) = ("idle".into(), Load::default(), false);
        run(&Run {
            size: FORTY,
            window: WINDOW,
            seed: 3,
            what,
            load,
            settle: SETTLING_TIME,
            replicas,
            kinds,
        })
        .unwrap()
    };
    let (without, with) = (idle(0), idle(2));
    assert_eq!(without.get("replica.out.msgs"), None);
    assert!(with.get("replica.out.msgs").unwrap() > 0.0);
    // They read as voters do, so each voter has more to answer.
    assert!(with.get("voter.out.msgs") > without.get("voter.out.msgs"));
}
