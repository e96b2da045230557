//! The placement duty, done by whichever postmaster holds its lease.

use crate::keys::{DivisionInputs, KeyCounts};
use crate::node::{ControlNode, Effect};
use config::Configuration;
use name_directory::{OwnershipMode, PlacementInputs, ZoneAssigner};
use protocol::{
    KeyShare, LeaseHolder, Payload, Placement, PlacementRequest, ServiceKeyShares, Upstream,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::{DEREGISTERED, KeyRangeAssigner, SlotAssigner};

/// How long a new holder listens before it decides, so that beats and the last placement can reach it.
const LISTEN: Duration = Duration::from_millis(1200);
pub(crate) const DECIDE_EVERY: Duration = Duration::from_millis(200);
const TELL_EVERY: Duration = Duration::from_secs(1);

/// The holder's working state, thrown away when the lease ends.
pub(crate) struct PlacementLease {
    pub(crate) epoch: u64,
    /// When the lease began, by the hold clock: nobody else gives anything from then on.
    pub(crate) since: Duration,
    /// True where nothing was ever given before: nobody held the lease before.
    pub(crate) founding: bool,
    /// Requests by key.
    pub(crate) counts: KeyCounts,
    /// By service, where keys are numbers.
    pub(crate) ranges: BTreeMap<String, KeyRangeAssigner>,
    /// By the same services.
    pub(crate) inputs: BTreeMap<String, Arc<DivisionInputs>>,
    listen_until: Duration,
    assigner: Option<ZoneAssigner>,
    shares: BTreeMap<String, SlotAssigner>,
    told: Vec<ServiceKeyShares>,
    next_decide: Duration,
    next_tell: Duration,
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

    pub(crate) fn tick_duty(&mut self, now: Duration) {
        let Some(epoch) = self.lease.held_epoch(now) else {
            let lost = self
                .duty
                .take()
                .map(|duty| Effect::Log(format!("placement: lease of epoch {} lost", duty.epoch)));
            self.effects.extend(lost);
            return;
        };
        if epoch > self.held_epoch {
            // Beats find their way here at once, long before the first decision.
            let me = self.me.node.clone();
            self.counts.leases_held += 1;
            self.effects.push_back(Effect::Log(format!(
                "placement: lease held under epoch {epoch}"
            )));
            self.hear_holder(me, epoch);
            self.tell_postmasters(Payload::LeaseHolder(LeaseHolder { epoch }));
        }
        let founding = self.lease.is_first_holder(epoch);
        let mut duty = self
            .duty
            .take()
            .filter(|duty| duty.epoch == epoch)
            .unwrap_or_else(|| PlacementLease {
                epoch,
                since: self.grant_clock.now(),
                founding,
                counts: KeyCounts::default(),
                ranges: BTreeMap::new(),
                inputs: BTreeMap::new(),
                listen_until: now + LISTEN,
                assigner: None,
                shares: BTreeMap::new(),
                told: Vec::new(),
                next_decide: now,
                next_tell: now,
            });
        // Without a current state it might decide from an old one.
        if now >= duty.next_decide && now >= duty.listen_until && self.is_current(now) {
            duty.next_decide = now + DECIDE_EVERY;
            self.decide(now, &mut duty);
        }
        self.duty = Some(duty);
    }

    fn decide(&mut self, now: Duration, duty: &mut PlacementLease) {
        let (last, times) = (&self.placement, self.times.placement);
        let mut assigner = duty
            .assigner
            .take()
            .unwrap_or_else(|| ZoneAssigner::new(now, duty.epoch, last, times));
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
        duty.shares
            .retain(|name, _| keyed(name).is_some_and(|service| !service.numeric_keys));
        duty.ranges
            .retain(|name, _| keyed(name).is_some_and(|service| service.numeric_keys));
        duty.inputs.retain(|name, _| duty.ranges.contains_key(name));
        duty.counts.fade(DECIDE_EVERY);
        let shares = self.told_shares(now, duty);
        self.counts.names_moved += u64::from(moved);
        let changed = moved || shares != duty.told;
        if changed || now >= duty.next_tell {
            duty.next_tell = now + TELL_EVERY;
            self.tell_placement(now, &mut assigner, changed, &shares);
            duty.told = shares;
        }
        duty.assigner = Some(assigner);
    }

    /// What changed since the last, where that is shares alone; else the whole. Where nothing did, its number alone,
    /// so that whoever missed one asks.
    fn tell_placement(
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
        self.counts.placements_told += 1;
        let placement = assigner.placement(now, shares.to_vec());
        let change =
            name_directory::placement_delta(&self.placement, &placement).filter(|_| ageless);
        self.tell_postmasters(Payload::Placement(
            change.unwrap_or_else(|| placement.clone()),
        ));
        let me = self.me.node.clone();
        self.take_placement(me, placement);
    }

    /// Who holds which keys, to be told on. Until everything given by an earlier holder has run out, what it told of
    /// last is told on for the slots that nobody claimed here yet: their upstreams hold them, or say that they don't.
    fn told_shares(&self, now: Duration, duty: &PlacementLease) -> Vec<ServiceKeyShares> {
        let keyed = self
            .configuration
            .services
            .values()
            .filter(|service| service.keyed);
        let heard = if self.placement.epoch == 0 {
            self.heard_shares(now)
        } else {
            Vec::new()
        };
        let held_at = self.grant_clock.now();
        let told = keyed.map(|service| {
            let name = &service.name;
            let known = match (duty.ranges.get(name), duty.shares.get(name)) {
                (Some(ranges), _) => Some((
                    crate::keys::held(ranges, held_at),
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

    pub(crate) fn take_placement(&mut self, from: String, placement: Placement) {
        let (at, known) = (
            (placement.epoch, placement.number),
            (self.placement.epoch, self.placement.number),
        );
        if at <= known {
            return;
        }
        self.hear_holder(from.clone(), placement.epoch);
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

    pub(crate) fn placement_asked(&mut self, from: String) {
        let placement = self.placement.clone();
        self.effects.push_back(Effect::Send {
            to: from,
            body: Payload::Placement(placement),
        });
    }

    /// Who holds the duty; a lower epoch was overtaken.
    pub(crate) fn hear_holder(&mut self, from: String, epoch: u64) {
        if epoch > self.held_epoch {
            self.held_epoch = epoch;
            self.placed_by = from;
        }
    }

    /// Shares for a beat; none where this node does not hold the duty, so that nobody takes it for an answer.
    pub(crate) fn give_shares(
        &mut self,
        now: Duration,
        upstream: &Upstream,
    ) -> Option<Vec<KeyShare>> {
        let epoch = self.lease.held_epoch(now)?;
        if upstream.condition == DEREGISTERED {
            // A sign-off lists nothing and proves nothing: its sender may serve on, so its holds run out by themselves.
            return None;
        }
        if self
            .configuration
            .services
            .get(&upstream.service)
            .is_some_and(|service| service.numeric_keys)
        {
            return self.give_ranges(now, upstream, epoch);
        }
        let (span, held_at) = (self.times.share_span, self.grant_clock.now());
        let ready = self
            .registry
            .of_service(&upstream.service)
            .filter(|other| self.may_hold(other));
        let ready: BTreeSet<String> = ready.map(|other| other.instance.clone()).collect();
        let duty = self.duty.as_mut().filter(|duty| duty.epoch == epoch)?;
        let shares = duty
            .shares
            .entry(upstream.service.clone())
            .or_insert_with(|| SlotAssigner::new(held_at, span, epoch));
        shares.handle_heartbeat(held_at, upstream, &ready)
    }
}
