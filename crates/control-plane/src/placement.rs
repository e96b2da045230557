//! The placement duty, done by whichever postmaster holds its lease.

use crate::keys::{KeyDivisionInputs, KeyLoadCounts};
use crate::node::{ControlNode, Effect};
use config::Configuration;
use name_directory::{OwnershipMode, PlacementInputs, ZoneAssigner};
use protocol::{
    KeyShare, LeaseHolder, Payload, Placement, PlacementRequest, ServiceKeyShares, Upstream,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::{KeyRangeAssigner, SlotAssigner};

/// How long a new holder listens before it decides, so that beats and the last placement can reach it.
const LISTEN_DURATION: Duration = Duration::from_millis(1200);
pub(crate) const DECISION_INTERVAL: Duration = Duration::from_millis(200);
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// The holder's working state, thrown away when the lease ends.
pub(crate) struct PlacementLease {
    pub(crate) epoch: u64,
    /// When the lease began, by the hold clock: nobody else gives anything from then on.
    pub(crate) since: Duration,
    /// True where nothing was ever given before: nobody held the lease before.
    pub(crate) founding: bool,
    /// Requests by key.
    pub(crate) key_loads: KeyLoadCounts,
    /// By service, where keys are numbers.
    pub(crate) ranges: BTreeMap<String, KeyRangeAssigner>,
    /// By the same services.
    pub(crate) inputs: BTreeMap<String, Arc<KeyDivisionInputs>>,
    listen_until: Duration,
    assigner: Option<ZoneAssigner>,
    shares: BTreeMap<String, SlotAssigner>,
    told: Vec<ServiceKeyShares>,
    next_decide: Duration,
    next_send_at: Duration,
}

impl ControlNode {
    /// True while this node holds the placement duty.
    ///
    /// ```
    /// # let times = control_plane::daemon::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = control_plane::Start { me: Default::default(), seeds: vec![], initial_voter_count: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), configurations: Default::default(), departures: vec![], times };
    /// assert!(!control_plane::ControlNode::new(start).holds_placement(Default::default()));
    /// ```
    pub fn holds_placement(&self, now: Duration) -> bool {
        self.lease.held_epoch(now).is_some()
    }

    pub(crate) fn tick_placement(&mut self, now: Duration) {
        let Some(epoch) = self.lease.held_epoch(now) else {
            let lost = self.placement_lease.take().map(|placement_lease| {
                Effect::Log(format!(
                    "placement: lease of epoch {} lost",
                    placement_lease.epoch
                ))
            });
            self.effects.extend(lost);
            return;
        };
        if epoch > self.placement_epoch {
            // Beats find their way here at once, long before the first decision.
            let me = self.me.node.clone();
            self.statistics.leases_acquired += 1;
            self.effects.push_back(Effect::Log(format!(
                "placement: lease held under epoch {epoch}"
            )));
            self.record_lease_holder(me, epoch);
            self.send_to_control_nodes(Payload::LeaseHolder(LeaseHolder { epoch }));
        }
        let founding = self.lease.is_first_holder(epoch);
        let mut placement_lease = self
            .placement_lease
            .take()
            .filter(|placement_lease| placement_lease.epoch == epoch)
            .unwrap_or_else(|| PlacementLease {
                epoch,
                since: self.grant_clock.now(),
                founding,
                key_loads: KeyLoadCounts::default(),
                ranges: BTreeMap::new(),
                inputs: BTreeMap::new(),
                listen_until: now + LISTEN_DURATION,
                assigner: None,
                shares: BTreeMap::new(),
                told: Vec::new(),
                next_decide: now,
                next_send_at: now,
            });
        // Without a current state it might decide from an old one.
        if now >= placement_lease.next_decide
            && now >= placement_lease.listen_until
            && self.is_current(now)
        {
            placement_lease.next_decide = now + DECISION_INTERVAL;
            self.decide(now, &mut placement_lease);
        }
        self.placement_lease = Some(placement_lease);
    }

    fn decide(&mut self, now: Duration, placement_lease: &mut PlacementLease) {
        let (last, times) = (&self.placement, self.times.placement);
        let mut assigner = placement_lease
            .assigner
            .take()
            .unwrap_or_else(|| ZoneAssigner::new(now, placement_lease.epoch, last, times));
        let served = self
            .members
            .iter()
            .filter(|member| member.roles.contains("proxy"));
        let served: BTreeSet<String> = served.map(|member| member.locality.clone()).collect();
        let upstreams = self.registry.snapshot(now);
        let evacuated = &self.register.state().evacuated;
        // Where each caller's zone has its own owner, no name has one for everybody.
        let (nothing, all) = (Configuration::default(), self.configuration.as_ref());
        let configuration = if self.owners == OwnershipMode::SingleZone {
            all
        } else {
            &nothing
        };
        let needs = PlacementInputs {
            configuration,
            evacuated,
            upstreams: &upstreams,
            served: &served,
        };
        let moved = assigner.decide(now, &needs);
        let keyed = |name: &String| {
            self.configuration
                .services
                .get(name)
                .filter(|service| service.keyed)
        };
        placement_lease
            .shares
            .retain(|name, _| keyed(name).is_some_and(|service| !service.numeric_keys));
        placement_lease
            .ranges
            .retain(|name, _| keyed(name).is_some_and(|service| service.numeric_keys));
        placement_lease
            .inputs
            .retain(|name, _| placement_lease.ranges.contains_key(name));
        placement_lease.key_loads.decay(DECISION_INTERVAL);
        let shares = self.published_shares(now, placement_lease);
        self.statistics.names_moved += u64::from(moved);
        let changed = moved || shares != placement_lease.told;
        if changed || now >= placement_lease.next_send_at {
            placement_lease.next_send_at = now + PUBLISH_INTERVAL;
            self.publish_placement(now, &mut assigner, changed, &shares);
            placement_lease.told = shares;
        }
        placement_lease.assigner = Some(assigner);
    }

    /// What changed since the last, where that is shares alone; else the whole. Where nothing did, its number alone,
    /// so that whoever missed one asks.
    fn publish_placement(
        &mut self,
        now: Duration,
        assigner: &mut ZoneAssigner,
        changed: bool,
        shares: &[ServiceKeyShares],
    ) {
        let ageless =
            self.placement.reservations.is_empty() && self.placement.tombstones.is_empty();
        if changed || !ageless || self.placement.number == 0 {
            assigner.count();
        }
        self.statistics.placements_published += 1;
        let placement = assigner.placement(now, shares.to_vec());
        let change =
            name_directory::placement_delta(&self.placement, &placement).filter(|_| ageless);
        self.send_to_control_nodes(Payload::Placement(
            change.unwrap_or_else(|| placement.clone()),
        ));
        let me = self.me.node.clone();
        self.handle_placement(me, placement);
    }

    /// Who holds which keys, to be told on. Until everything given by an earlier holder has run out, what it told of
    /// last is told on for the slots that nobody claimed here yet: their upstreams hold them, or say that they don't.
    fn published_shares(
        &self,
        now: Duration,
        placement_lease: &PlacementLease,
    ) -> Vec<ServiceKeyShares> {
        let keyed = self
            .configuration
            .services
            .values()
            .filter(|service| service.keyed);
        let heard = if self.placement.epoch == 0 {
            self.claimed_shares(now)
        } else {
            Vec::new()
        };
        let held_at = self.grant_clock.now();
        let told = keyed.map(|service| {
            let name = &service.name;
            let known = match (
                placement_lease.ranges.get(name),
                placement_lease.shares.get(name),
            ) {
                (Some(ranges), _) => Some((
                    crate::keys::assigned_shares(ranges, held_at),
                    ranges.awaits_earlier_leases(held_at),
                )),
                (None, shares) => shares.map(|shares| {
                    (
                        shares.assignments(held_at),
                        shares.awaits_earlier_leases(held_at),
                    )
                }),
            };
            let (known, quiet) = known.unwrap_or((Vec::new(), true));
            let told = self.placement.shares.iter().chain(&heard);
            let last = told.into_iter().find(|last| last.service == *name && quiet);
            let kept = last
                .map(|last| name_directory::uncovered(&last.shares, &known))
                .unwrap_or_default();
            ServiceKeyShares {
                service: name.clone(),
                shares: kept.into_iter().chain(known).collect(),
            }
        });
        told.collect()
    }

    pub(crate) fn handle_placement(&mut self, from: String, placement: Placement) {
        let (at, known) = (
            (placement.epoch, placement.number),
            (self.placement.epoch, self.placement.number),
        );
        if at <= known {
            return;
        }
        self.record_lease_holder(from.clone(), placement.epoch);
        if !placement.partial {
            self.placement = placement;
        } else if (placement.epoch, placement.after) == known {
            name_directory::apply_share_changes(&mut self.placement.shares, &placement.shares);
            self.placement.number = placement.number;
        } else {
            self.effects.push_back(Effect::Send {
                to: from,
                body: Payload::PlacementRequest(PlacementRequest {}),
            });
        }
    }

    pub(crate) fn handle_placement_request(&mut self, from: String) {
        let placement = self.placement.clone();
        self.effects.push_back(Effect::Send {
            to: from,
            body: Payload::Placement(placement),
        });
    }

    /// Who holds the duty; a lower epoch was overtaken.
    pub(crate) fn record_lease_holder(&mut self, from: String, epoch: u64) {
        if epoch > self.placement_epoch {
            self.placement_epoch = epoch;
            self.placement_holder = from;
        }
    }

    /// Shares for a beat; none where this node does not hold the duty, so that nobody takes it for an answer.
    pub(crate) fn grant_key_shares(
        &mut self,
        now: Duration,
        upstream: &Upstream,
    ) -> Option<Vec<KeyShare>> {
        let epoch = self.lease.held_epoch(now)?;
        if upstream.state() == protocol::UpstreamState::Deregistered {
            // A sign-off lists nothing and proves nothing: its sender may serve on, so its holds run out by themselves.
            return None;
        }
        if self
            .configuration
            .services
            .get(&upstream.service)
            .is_some_and(|service| service.numeric_keys)
        {
            return self.grant_key_ranges(now, upstream, epoch);
        }
        let (span, held_at) = (self.times.share_span, self.grant_clock.now());
        let ready = self
            .registry
            .of_service(&upstream.service)
            .filter(|other| self.may_hold(other));
        let ready: BTreeSet<String> = ready.map(|other| other.instance.clone()).collect();
        let placement_lease = self
            .placement_lease
            .as_mut()
            .filter(|placement_lease| placement_lease.epoch == epoch)?;
        let shares = placement_lease
            .shares
            .entry(upstream.service.clone())
            .or_insert_with(|| SlotAssigner::new(held_at, span, epoch));
        shares.handle_heartbeat(held_at, upstream, &ready)
    }
}
