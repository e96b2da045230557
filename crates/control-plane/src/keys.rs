//! Numeric keys: what carriers count of them, and the division that follows it.

use crate::interface::Effect;
use crate::node::ControlNode;
use crate::placement::{DECISION_INTERVAL, PlacementLease};
use key_space::{KEY_COUNT, LOAD_BUCKET_COUNT};
use protocol::{KeyLoad, KeyLoads, KeyShare, Payload, ServiceKeyShares, Upstream};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::{
    Heartbeat, HeldKeyRange, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram, ReleasedKeyRange,
};

/// An upstream that heard no answer for so long asks elsewhere, and takes a later one for nothing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to every span that is waited out, beyond the lease's margin: a clock that jumps by less goes unnoticed.
const MARGIN: Duration = Duration::from_millis(50);
/// Least time between two moves for balance.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(2500);
/// After this long a request counts for half.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// Counts are kept in so many parts of a request.
const FINE: f64 = 16.0;
/// Most services whose keys are counted.
const MAX_SERVICES: usize = 1024;

/// Requests by equal parts of the keys, for each service.
#[derive(Default)]
pub(crate) struct KeyLoadCounts(BTreeMap<String, BTreeMap<u32, f64>>);

impl KeyLoadCounts {
    pub(crate) fn add(&mut self, load: KeyLoad) {
        if self.0.len() >= MAX_SERVICES && !self.0.contains_key(&load.service) {
            return;
        }
        let counts = self.0.entry(load.service).or_default();
        load.parts
            .iter()
            .zip(load.counts)
            .filter(|(part, _)| **part < LOAD_BUCKET_COUNT)
            .for_each(|(part, count)| {
                *counts.entry(*part).or_insert(0.0) += f64::from(count);
            });
    }

    /// What was counted, as a message; nothing is left.
    fn drain(&mut self) -> Vec<KeyLoad> {
        let load = |(service, counts): (String, BTreeMap<u32, f64>)| {
            let (parts, counts) = counts
                .into_iter()
                .map(|(part, count)| (part, count as u32))
                .unzip();
            KeyLoad {
                service,
                parts,
                counts,
            }
        };
        std::mem::take(&mut self.0).into_iter().map(load).collect()
    }

    /// Lets what is past count for less.
    pub(crate) fn decay(&mut self, span: Duration) {
        let left = 0.5f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.0.values_mut().for_each(|counts| {
            counts.values_mut().for_each(|count| *count *= left);
            counts.retain(|_, count| *count > 1.0 / FINE);
        });
    }

    /// How a service's requests lie over its keys.
    fn load(&self, service: &str) -> LoadHistogram {
        let counts = self.0.get(service);
        let count = |part| {
            counts
                .and_then(|counts| counts.get(&part))
                .map_or(0, |count| (count * FINE) as u64)
        };
        LoadHistogram::new(
            KEY_COUNT,
            &(0..LOAD_BUCKET_COUNT).map(count).collect::<Vec<u64>>(),
        )
    }
}

impl ControlNode {
    /// Requests by key that a carrier counted, or another postmaster told on.
    pub(crate) fn count_key_loads(&mut self, loads: Vec<KeyLoad>) {
        match self.placement.lease.as_mut() {
            Some(placement_lease) => loads
                .into_iter()
                .for_each(|load| placement_lease.key_loads.add(load)),
            None => loads
                .into_iter()
                .for_each(|load| self.placement.unreported_loads.add(load)),
        }
    }

    /// Tells them on to the holder of the duty.
    pub(crate) fn forward_key_loads(&mut self) {
        let loads = self.placement.unreported_loads.drain();
        if loads.is_empty() {
            return;
        }
        if self.placement.lease.is_some() {
            return self.count_key_loads(loads);
        }
        let to = Some(self.placement.lease_holder.clone())
            .filter(|holder| !holder.is_empty() && *holder != self.me.node);
        let send = to.map(|to| Effect::Send {
            to,
            body: Payload::KeyLoads(KeyLoads { loads }),
        });
        self.effects.extend(send);
    }

    /// Who holds which numeric keys by the upstreams' own state: what is told while no placement is known here, as after
    /// all postmasters started anew. It gives nothing; a request that comes to the wrong one is not run.
    pub(crate) fn claimed_shares(&self, now: Duration) -> Vec<ServiceKeyShares> {
        let numbered = self
            .configuration
            .services
            .values()
            .filter(|service| service.keyed && service.numeric_keys);
        let of = |name: &str| {
            let heard = self.registry.heard_within(name, now, self.times.share_span);
            let live =
                heard.filter(|upstream| upstream.state() != protocol::UpstreamState::Deregistered);
            let rows = live.flat_map(|upstream| {
                upstream.holds.iter().map(|share| KeyShare {
                    instance: upstream.instance.clone(),
                    ..share.clone()
                })
            });
            // Where two say that they hold a key, the later grant counts.
            ServiceKeyShares {
                service: name.to_owned(),
                shares: name_directory::latest_grants(rows.collect()),
            }
        };
        numbered.map(|service| of(&service.name)).collect()
    }

    /// All keys that an upstream holds from now on, in answer to its beat.
    pub(crate) fn grant_key_ranges(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        epoch: u64,
    ) -> Option<Vec<KeyShare>> {
        let held_at = self.grant_clock.now();
        let terms = KeyLeaseTerms {
            lease_duration: self.times.share_span,
            response_timeout: RESPONSE_TIMEOUT,
            margin: self.times.lease.safety_margin + MARGIN,
            rebalance_interval: REBALANCE_INTERVAL,
            accepts_late_responses: false,
        };
        // Whoever else may be given keys is known well enough for a while; of this one the newest counts.
        let me = self
            .registry
            .get(now, upstream)
            .filter(|me| self.may_hold(me));
        let placement_lease = self
            .placement
            .lease
            .as_ref()
            .filter(|placement_lease| placement_lease.epoch == epoch)?;
        let known = placement_lease.inputs.get(&upstream.service);
        let inputs = match known.filter(|known| known.is_good(now, upstream, me.is_some())) {
            Some(known) => known.clone(),
            None => {
                Arc::new(self.division_inputs(now, &upstream.service, &placement_lease.key_loads))
            }
        };
        let PlacementLease {
            since,
            is_first,
            ranges,
            inputs: all_inputs,
            ..
        } = self.placement.lease.as_mut()?;
        all_inputs.insert(upstream.service.clone(), inputs.clone());
        let new = || KeyRangeAssigner::new(*since, terms, KEY_COUNT, epoch, *is_first);
        let ranges = ranges.entry(upstream.service.clone()).or_insert_with(new);
        let grants =
            ranges.handle_heartbeat(held_at, &heartbeat(upstream), &inputs.ready, &inputs.load)?;
        let share = |grant: upstream_registry::Grant| KeyShare {
            from: grant.from,
            until: grant.to + 1,
            epoch: grant.fence,
            instance: upstream.instance.clone(),
            handover: grant.handover,
        };
        Some(grants.into_iter().map(share).collect())
    }

    /// True where an upstream may be given keys.
    pub(crate) fn may_hold(&self, upstream: &Upstream) -> bool {
        upstream.state() == protocol::UpstreamState::Ready
            && !self.register.state().evacuated.contains(&upstream.locality)
    }

    fn division_inputs(
        &self,
        now: Duration,
        service: &str,
        counts: &KeyLoadCounts,
    ) -> KeyDivisionInputs {
        let capacity = |upstream: &Upstream| upstream.slots.max(upstream.free_slots).max(1);
        let all = self
            .registry
            .of_service(service)
            .filter(|upstream| self.may_hold(upstream));
        let ready = all
            .map(|upstream| (upstream.instance.clone(), capacity(upstream)))
            .collect();
        KeyDivisionInputs {
            read_at: now,
            ready,
            load: counts.load(service),
        }
    }
}

/// What a service's keys are divided by: made anew as often as decisions are, not for each beat.
pub(crate) struct KeyDivisionInputs {
    read_at: Duration,
    /// Who may be given keys, and their capacity.
    ready: BTreeMap<String, u32>,
    load: LoadHistogram,
}

impl KeyDivisionInputs {
    /// True while it is young, and right about this upstream.
    fn is_good(&self, now: Duration, upstream: &Upstream, ready: bool) -> bool {
        now < self.read_at + DECISION_INTERVAL
            && self.ready.contains_key(&upstream.instance) == ready
    }
}

/// What a beat says of numeric keys.
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
        sequence: upstream.beat,
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

/// Who holds which keys of a service, as shares to be told on.
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
