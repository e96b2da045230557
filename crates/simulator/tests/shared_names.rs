//! Sites where the services are routes of one name, with home regions that do not overlap.

use name_directory::OwnershipMode;
use simulator::shapes::{COUNTERS, Shape};
use simulator::{Outcome, Plan, run};
use std::collections::BTreeMap;

/// Served operations of each service, in thousandths.
fn served_by_service(outcome: &Outcome) -> BTreeMap<&'static str, u64> {
    let mut counts: BTreeMap<&'static str, (u64, u64)> = BTreeMap::new();
    for ended in &outcome.ended {
        let (all, served) = counts.entry(ended.service).or_default();
        *all += 1;
        *served += u64::from(ended.code == 1000);
    }
    counts
        .into_iter()
        .map(|(service, (all, served))| (service, served * 1000 / all))
        .collect()
}

/// Each service is served whole on a quiet site.
fn assert_every_service_is_served(shape: Shape) {
    for seed in 1..4 {
        let outcome = run(seed, Some(Plan::quiet()), shape.clone());
        let whole = BTreeMap::from([("deed", 1000), ("duty", 1000), ("template", 1000)]);
        assert_eq!(served_by_service(&outcome), whole, "seed {seed}");
        assert!(outcome.passed(), "seed {seed}: {:?}", outcome.violations);
    }
}

/// The same site where the bound service has numeric keys.
fn with_bound_keys() -> Shape {
    let mut shape = COUNTERS;
    shape.services[0].keyed = true;
    shape.services[0].numbered = true;
    shape
}

#[test]
fn keys_of_a_bound_service_are_held_where_its_requests_may_go() {
    assert_every_service_is_served(with_bound_keys());
    assert_every_service_is_served(Shape {
        ownership: OwnershipMode::SingleZone,
        ..with_bound_keys()
    });
}

#[test]
fn every_service_of_a_shared_name_is_served_where_each_zone_has_its_own_owner() {
    assert_every_service_is_served(COUNTERS);
}

#[test]
fn every_service_of_a_shared_name_is_served_where_one_zone_owns_the_name() {
    assert_every_service_is_served(Shape {
        ownership: OwnershipMode::SingleZone,
        ..COUNTERS
    });
}
