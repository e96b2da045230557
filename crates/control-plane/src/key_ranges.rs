//! Numeric keys: which ranges of them an upstream is granted, by the capacity of the upstreams and the loads counted.

use crate::key_loads::KeyLoadCounts;
use crate::node::ControlNode;
use crate::placement::DECISION_INTERVAL;
use key_space::KEY_COUNT;
use name_directory::HomeRegionLists;
use protocol::{KeyShare, ServiceKeyShares, Upstream, UpstreamState};
use std::collections::{BTreeMap, BTreeSet};
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
        let lease = self.placement.lease.as_mut()?;
        lease
            .inputs
            .insert(upstream.service.clone(), inputs.clone());
        let (since, is_first) = (lease.since, lease.is_first);
        let ranges = lease
            .ranges
            .entry(upstream.service.clone())
            .or_insert_with(|| KeyRangeAssigner::new(since, terms, KEY_COUNT, epoch, is_first));
        let grants = ranges.handle_heartbeat(
            grant_time,
            &heartbeat(upstream),
            &inputs.ready,
            &inputs.load,
        )?;
        let share = |grant: upstream_registry::Grant| KeyShare {
            from: grant.from,
            until: grant.to + 1,
            epoch: grant.fence,
            instance: upstream.instance.clone(),
            handover: grant.handover,
        };
        Some(grants.into_iter().map(share).collect())
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
    fn key_division_inputs(
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
                &lease.key_loads,
            ))),
        }
    }

    /// True where an upstream may be granted keys.
    pub(crate) fn may_hold(&self, upstream: &Upstream) -> bool {
        upstream.state() == UpstreamState::Ready
            && !self.register.state().evacuated.contains(&upstream.locality)
    }

    /// The upstreams among which a service's keys are divided: of those that may hold any, the ones where as many routes to
    /// the service as possible are at home. A key has one holder, so one outside a route's home regions would leave that
    /// route's requests for the key without any.
    pub(crate) fn key_holders(&self, service: &str) -> Vec<&Upstream> {
        let home_regions = HomeRegionLists::of_service(&self.configuration, service);
        let bound_elsewhere =
            |upstream: &Upstream| home_regions.routes_bound_elsewhere_than(&upstream.locality);
        let mut holders: Vec<&Upstream> = self
            .registry
            .of_service(service)
            .filter(|upstream| self.may_hold(upstream))
            .collect();
        let fewest = holders
            .iter()
            .map(|upstream| bound_elsewhere(upstream))
            .min();
        holders.retain(|upstream| Some(bound_elsewhere(upstream)) == fewest);
        holders
    }

    fn read_division_inputs(
        &self,
        now: Duration,
        service: &str,
        counts: &KeyLoadCounts,
    ) -> KeyDivisionInputs {
        let capacity = |upstream: &Upstream| upstream.slots.max(upstream.free_slots).max(1);
        let ready = self
            .key_holders(service)
            .into_iter()
            .map(|upstream| (upstream.instance.clone(), capacity(upstream)))
            .collect();
        let may_hold = self
            .registry
            .of_service(service)
            .filter(|upstream| self.may_hold(upstream))
            .map(|upstream| upstream.instance.clone())
            .collect();
        KeyDivisionInputs {
            read_at: now,
            ready,
            may_hold,
            load: counts.histogram(service),
        }
    }
}

/// What a service's keys are divided by: read anew as often as placements are decided, not for each heartbeat.
pub(crate) struct KeyDivisionInputs {
    read_at: Duration,
    /// Who is granted keys, and their capacity.
    ready: BTreeMap<String, u32>,
    /// Who may hold keys, those included that lie outside the home regions of routes.
    may_hold: BTreeSet<String>,
    load: LoadHistogram,
}

impl KeyDivisionInputs {
    /// True while it is young, and right about whether this upstream may hold keys.
    fn is_current(&self, now: Duration, upstream: &Upstream, may_hold: bool) -> bool {
        now < self.read_at + DECISION_INTERVAL
            && self.may_hold.contains(&upstream.instance) == may_hold
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
