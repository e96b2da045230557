//! Numeric keys: which ranges of them an upstream is granted, by the capacity of the upstreams and the loads counted.

use crate::key_owners::follow_record;
use crate::key_regions::{ByRegion, KeyDemand, NeededSlots, divide_among_regions, is_close};
use crate::node::ControlNode;
use crate::placement::{DECISION_INTERVAL, PlacementLease};
use key_space::KEY_COUNT;
use name_directory::region_of;
use protocol::{KeyShare, ServiceKeyShares, Upstream, UpstreamState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::{
    Heartbeat, HeldKeyRange, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram, ReleasedKeyRange,
};

/// An upstream without a response for so long asks another node, and ignores a later one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to every lease that is waited out, beyond the lease's margin: a clock that jumps by less does no harm.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// Least time between two moves that balance the load.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(2500);
/// The sum of all upstreams' weights.
const WEIGHT_OF_ALL: f64 = 1e6;
/// Regions' parts of the keys stay as they are while they differ by no more than this from what they should be.
const SHARE_TOLERANCE: f64 = 0.1;

impl ControlNode {
    /// Who holds which numeric keys by the upstreams' own state: used while no placement is known here, as after all
    /// control nodes were restarted. It grants nothing; a request that comes to the wrong upstream is not executed.
    pub(crate) fn claimed_shares(&self, now: Duration) -> Vec<ServiceKeyShares> {
        self.configuration
            .services
            .values()
            .filter(|service| service.keyed && service.numeric_keys)
            .map(|service| self.claimed_shares_of(&service.name, now))
            .collect()
    }

    fn claimed_shares_of(&self, service: &str, now: Duration) -> ServiceKeyShares {
        let mut claims = Vec::new();
        for upstream in self
            .registry
            .heard_within(service, now, self.times.share_span)
        {
            if upstream.state() == UpstreamState::Deregistered {
                continue;
            }
            for share in &upstream.holds {
                claims.push(KeyShare {
                    instance: upstream.instance.clone(),
                    ..share.clone()
                });
            }
        }
        // Where two claim a key, the later grant counts.
        ServiceKeyShares {
            service: service.to_owned(),
            shares: name_directory::latest_grants(claims),
        }
    }

    /// All keys that an upstream holds from now on, in response to its heartbeat.
    pub(crate) fn grant_key_ranges(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        epoch: u64,
    ) -> Option<Vec<KeyShare>> {
        let grant_time = self.grant_clock.now();
        let terms = self.key_lease_terms();
        let inputs = self.key_division_inputs(now, upstream, epoch)?;
        let is_current = self.is_current(now);
        let is_confirmed_promptly = self.is_confirmed_promptly(now);
        let lease = self.placement.lease.as_mut()?;
        if lease
            .owner_record
            .as_ref()
            .is_some_and(|record| !record.is_ready())
        {
            return None;
        }
        lease
            .inputs
            .insert(upstream.service.clone(), inputs.clone());
        if !lease.ranges.contains_key(&upstream.service) {
            let ranges = new_assigner(lease, terms, &upstream.service);
            lease.ranges.insert(upstream.service.clone(), ranges);
        }
        let ranges = lease.ranges.get_mut(&upstream.service)?;
        if !is_current {
            // Data-plane nodes hear of no move.
            ranges.postpone_rebalancing(grant_time);
        }
        ranges.pause_rebalancing(!is_confirmed_promptly);
        let grants = ranges.handle_heartbeat(
            grant_time,
            &heartbeat(upstream),
            &inputs.weights.by_instance,
            &inputs.load,
        )?;
        self.propose_key_owners(now);
        Some(shares_of(&upstream.instance, grants))
    }

    fn key_lease_terms(&self) -> KeyLeaseTerms {
        KeyLeaseTerms {
            lease_duration: self.times.share_span,
            response_timeout: RESPONSE_TIMEOUT,
            margin: self.times.lease.safety_margin + CLOCK_MARGIN,
            rebalance_interval: REBALANCE_INTERVAL,
            accepts_late_responses: false,
        }
    }

    /// What a service's keys are divided by under the lease of this epoch; none where this node does not hold it.
    pub(crate) fn key_division_inputs(
        &self,
        now: Duration,
        upstream: &Upstream,
        epoch: u64,
    ) -> Option<Arc<KeyDivisionInputs>> {
        let lease = self
            .placement
            .lease
            .as_ref()
            .filter(|lease| lease.epoch == epoch)?;
        // Whoever else may hold keys is known well enough for a while; of this upstream the newest counts.
        let may_hold = self
            .registry
            .get(now, upstream)
            .is_some_and(|known| self.may_hold(&known));
        match lease.inputs.get(&upstream.service) {
            Some(known) if known.is_current(now, upstream, may_hold) => Some(known.clone()),
            _ => Some(Arc::new(self.read_division_inputs(
                now,
                &upstream.service,
                lease,
            ))),
        }
    }

    /// True where an upstream may be granted keys.
    pub(crate) fn may_hold(&self, upstream: &Upstream) -> bool {
        upstream.state() == UpstreamState::Ready
            && !self.register.state().evacuated.contains(&upstream.locality)
    }

    /// The upstreams that may hold keys of a service, and for how much of them each: in proportion to their slots, and more
    /// where more of the service's requests may be executed. A weight of zero is for one that is granted none.
    /// Where the regions' parts hardly differ from the last ones, these stay.
    pub(crate) fn key_weights(
        &self,
        service: &str,
        demand: &KeyDemand,
        last: Option<&ByRegion>,
    ) -> KeyWeights {
        let service_divides_by_slots = self
            .configuration
            .services
            .get(service)
            .is_some_and(|service| service.numeric_keys);
        let mut regions: BTreeMap<&str, RegionSupply> = BTreeMap::new();
        let mut upstreams: Vec<KeyCandidate> = Vec::new();
        for upstream in self.registry.of_service(service) {
            if !self.may_hold(upstream) {
                continue;
            }
            let slots = upstream.slots.max(upstream.free_slots).max(1);
            let candidate = KeyCandidate {
                instance: &upstream.instance,
                region: region_of(&upstream.locality),
                weight: if service_divides_by_slots { slots } else { 1 },
            };
            let region = regions.entry(candidate.region).or_default();
            region.slots += f64::from(slots);
            region.weight += f64::from(candidate.weight);
            upstreams.push(candidate);
        }
        let slots = |(region, supply): (&&str, &RegionSupply)| ((*region).to_owned(), supply.slots);
        let shares = divide_among_regions(&regions.iter().map(slots).collect(), demand);
        let shares = match last {
            Some(last) if is_close(last, &shares, SHARE_TOLERANCE) => last.clone(),
            _ => shares,
        };
        let weight = |candidate: &KeyCandidate| {
            if demand.is_unbound() {
                return candidate.weight;
            }
            let share = shares.get(candidate.region).copied().unwrap_or(0.0);
            let part_of_region = f64::from(candidate.weight) / regions[candidate.region].weight;
            (WEIGHT_OF_ALL * share * part_of_region) as u32
        };
        let by_instance = upstreams
            .iter()
            .map(|candidate| (candidate.instance.to_owned(), weight(candidate)))
            .collect();
        KeyWeights {
            by_instance,
            shares,
        }
    }

    /// What is asked of a service, as counted; where too little was counted, by its routes, each like the others.
    pub(crate) fn key_demand(&self, service: &str, lease: &PlacementLease) -> KeyDemand {
        if let Some(demand) = lease.key_loads.demand(service) {
            return demand;
        }
        // Earlier holders may have divided the keys by more than the routes tell.
        let slots = match lease.is_first {
            true => NeededSlots::None,
            false => NeededSlots::Unknown,
        };
        let mut demand = KeyDemand {
            slots,
            ..KeyDemand::default()
        };
        let Some(target) = self.configuration.services.get(service) else {
            return demand;
        };
        for route in self.configuration.routes.values() {
            if route.services().any(|name| name == service) {
                let homes = name_directory::home_regions(Some(route), target);
                demand.add(homes.as_deref(), 1.0);
            }
        }
        demand
    }

    fn read_division_inputs(
        &self,
        now: Duration,
        service: &str,
        lease: &PlacementLease,
    ) -> KeyDivisionInputs {
        let last = lease.inputs.get(service).map(|last| &last.weights.shares);
        let weights = self.key_weights(service, &self.key_demand(service, lease), last);
        KeyDivisionInputs {
            read_at: now,
            weights,
            load: lease.key_loads.histogram(service),
        }
    }
}

/// An upstream that may hold keys.
struct KeyCandidate<'a> {
    instance: &'a str,
    region: &'a str,
    /// How much of its region's keys it is to hold, relative to the others there.
    weight: u32,
}

/// Those of one region, summed.
#[derive(Default)]
struct RegionSupply {
    slots: f64,
    weight: f64,
}

/// How much of a service's keys each of its upstreams is to hold.
pub(crate) struct KeyWeights {
    /// By instance, relative to one another.
    pub(crate) by_instance: BTreeMap<String, u32>,
    /// By region, as parts of all keys; regions that get none are left out.
    pub(crate) shares: ByRegion,
}

/// What a service's keys are divided by: read anew as often as placements are decided, not for each heartbeat.
pub(crate) struct KeyDivisionInputs {
    read_at: Duration,
    /// Those that may hold keys.
    pub(crate) weights: KeyWeights,
    load: LoadHistogram,
}

impl KeyDivisionInputs {
    /// True while it is young, and right about whether this upstream may hold keys.
    fn is_current(&self, now: Duration, upstream: &Upstream, may_hold: bool) -> bool {
        now < self.read_at + DECISION_INTERVAL
            && self.weights.by_instance.contains_key(&upstream.instance) == may_hold
    }
}

/// What a heartbeat says of numeric keys.
fn heartbeat(upstream: &Upstream) -> Heartbeat {
    let row = |share: &KeyShare| HeldKeyRange {
        from: share.from,
        to: share.until.saturating_sub(1),
        fence: share.epoch,
    };
    let released = |share: &KeyShare| ReleasedKeyRange {
        from: share.from,
        to: share.until.saturating_sub(1),
        handover: share.handover.clone(),
    };
    Heartbeat {
        instance: upstream.instance.clone(),
        sequence: upstream.heartbeat_number,
        holdings: upstream
            .holds
            .iter()
            .filter(|share| share.from < share.until)
            .map(row)
            .collect(),
        released: upstream
            .released
            .iter()
            .filter(|share| share.from < share.until)
            .map(released)
            .collect(),
    }
}

/// The keys that an instance is granted, as they are sent.
pub(crate) fn shares_of(instance: &str, grants: Vec<upstream_registry::Grant>) -> Vec<KeyShare> {
    let share = |grant: upstream_registry::Grant| KeyShare {
        from: grant.from,
        until: grant.to + 1,
        epoch: grant.fence,
        instance: instance.to_owned(),
        handover: grant.handover,
    };
    grants.into_iter().map(share).collect()
}

/// The assigner of a service's keys under a lease, whose grants of an earlier time may still be in use.
fn new_assigner(lease: &PlacementLease, terms: KeyLeaseTerms, service: &str) -> KeyRangeAssigner {
    let (since, idle_before) = lease.granted_elsewhere_until(service);
    let is_first = lease.is_first && !lease.dropped_at.contains_key(service);
    let assigner = KeyRangeAssigner::new(since, terms, KEY_COUNT, lease.epoch, is_first)
        .after_idle(idle_before);
    let Some(record) = &lease.owner_record else {
        return assigner;
    };
    let mut assigner = assigner.with_records(record.committed_owners(service));
    follow_record(record, service, &mut assigner);
    assigner
}

/// Who holds which keys of a service, as shares to be published.
pub(crate) fn assigned_shares(ranges: &KeyRangeAssigner, now: Duration) -> Vec<KeyShare> {
    let share = |holding: upstream_registry::KeyAssignment| KeyShare {
        from: holding.from,
        until: holding.to + 1,
        epoch: holding.fence,
        instance: holding.instance,
        handover: String::new(),
    };
    ranges.assignments(now).into_iter().map(share).collect()
}
