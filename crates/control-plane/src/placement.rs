//! The placement of names and keys, decided by the control node that holds the placement lease and followed by all others.

use crate::key_loads::KeyLoadCounts;
use crate::key_ranges::{KeyDivisionInputs, assigned_shares};
use crate::key_reports::KeyReport;
use crate::node::ControlNode;
use config::Configuration;
use name_directory::{OwnershipMode, PlacementInputs, ZoneAssigner};
use protocol::{
    KeyShare, LeaseHolder, Payload, Placement, PlacementRequest, ServiceKeyShares, Upstream,
    UpstreamState,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::{KeyRangeAssigner, OwnerRecord, SlotAssigner};

/// How long a new lease holder listens before it decides, so that heartbeats and the last placement can reach it.
const LISTEN_DURATION: Duration = Duration::from_millis(1200);
/// How often the lease holder decides.
pub(crate) const DECISION_INTERVAL: Duration = Duration::from_millis(200);
/// How often a placement is published that has not changed.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// The placement as this control node knows it, and its own lease if it holds one.
#[derive(Default)]
pub(crate) struct PlacementState {
    /// The last placement that was heard of.
    pub(crate) current: Placement,
    /// The node that was last heard to hold the lease; empty before the first.
    pub(crate) lease_holder: String,
    /// The greatest epoch of the lease that was heard of.
    pub(crate) lease_epoch: u64,
    /// This node's lease.
    pub(crate) lease: Option<PlacementLease>,
    /// Requests by key that data-plane nodes counted, to be forwarded to the lease holder.
    pub(crate) unreported_loads: KeyLoadCounts,
}

/// What a placement that was received does to the one known.
enum PlacementChange {
    /// It replaces or changes it.
    Applied,
    /// It changes one that is not known here.
    Gap,
}

impl PlacementState {
    /// Records who holds the lease; a lower epoch is outdated.
    fn record_lease_holder(&mut self, node: String, epoch: u64) {
        if epoch > self.lease_epoch {
            self.lease_epoch = epoch;
            self.lease_holder = node;
        }
    }

    /// Where the known placement stands: its epoch, and its number in that epoch.
    fn version(&self) -> (u64, u64) {
        (self.current.epoch, self.current.number)
    }

    /// True where it has neither reservations nor tombstones, whose ages change all the time.
    fn has_no_ages(&self) -> bool {
        self.current.reservations.is_empty() && self.current.tombstones.is_empty()
    }

    fn apply(&mut self, placement: Placement) -> PlacementChange {
        if !placement.partial {
            self.current = placement;
            PlacementChange::Applied
        } else if (placement.epoch, placement.after) == self.version() {
            name_directory::apply_share_changes(&mut self.current.shares, &placement.shares);
            self.current.number = placement.number;
            PlacementChange::Applied
        } else {
            PlacementChange::Gap
        }
    }
}

/// The lease holder's working state, dropped when the lease ends.
pub(crate) struct PlacementLease {
    pub(crate) epoch: u64,
    /// When the lease began, by the grant clock: nobody else grants anything from then on.
    pub(crate) since: Duration,
    /// True where nothing was ever granted before: nobody held the lease before.
    pub(crate) is_first: bool,
    /// How long before its begin nobody granted anything.
    pub(crate) idle_before: Duration,
    /// Requests by key.
    pub(crate) key_loads: KeyLoadCounts,
    /// By service, where keys are numbers.
    pub(crate) ranges: BTreeMap<String, KeyRangeAssigner>,
    /// By the same services.
    pub(crate) inputs: BTreeMap<String, Arc<KeyDivisionInputs>>,
    /// What was told of the same services.
    pub(crate) reports: BTreeMap<String, KeyReport>,
    /// To whom numeric keys may be granted; none where too few voters keep such a record.
    pub(crate) owner_record: Option<OwnerRecord>,
    /// When a service was dropped whose keys this holder had granted, by the grant clock.
    pub(crate) dropped_at: BTreeMap<String, Duration>,
    listen_until: Duration,
    assigner: Option<ZoneAssigner>,
    /// By service, where keys are hashed to slots.
    slots: BTreeMap<String, SlotAssigner>,
    published_shares: Vec<ServiceKeyShares>,
    next_decision_at: Duration,
    next_publication_at: Duration,
}

impl PlacementLease {
    fn new(
        now: Duration,
        epoch: u64,
        since: Duration,
        is_first: bool,
        idle_before: Duration,
    ) -> Self {
        PlacementLease {
            epoch,
            since,
            is_first,
            idle_before,
            key_loads: KeyLoadCounts::default(),
            ranges: BTreeMap::new(),
            inputs: BTreeMap::new(),
            reports: BTreeMap::new(),
            owner_record: None,
            dropped_at: BTreeMap::new(),
            listen_until: now + LISTEN_DURATION,
            assigner: None,
            slots: BTreeMap::new(),
            published_shares: Vec::new(),
            next_decision_at: now,
            next_publication_at: now,
        }
    }

    /// Drops what was assigned for services that are gone, or whose keys are divided in another way now.
    fn retain_services(&mut self, grant_time: Duration, configuration: &Configuration) {
        let has_numeric_keys = |name: &String| {
            let service = configuration.services.get(name)?;
            service.keyed.then_some(service.numeric_keys)
        };
        let is_dropped_slots = |name: &&String| has_numeric_keys(name) != Some(false);
        let is_dropped_ranges = |name: &&String| has_numeric_keys(name) != Some(true);
        let dropped_slots = self.slots.keys().filter(is_dropped_slots);
        let dropped_ranges = self.ranges.keys().filter(is_dropped_ranges);
        let dropped: Vec<String> = dropped_slots.chain(dropped_ranges).cloned().collect();
        for name in dropped {
            self.slots.remove(&name);
            self.ranges.remove(&name);
            self.dropped_at.insert(name, grant_time);
        }
        self.inputs
            .retain(|name, _| has_numeric_keys(name).is_some());
    }

    /// By the grant clock, since when nobody else has granted keys of a service, nor this holder before it dropped the
    /// service; and how long nobody had granted any before.
    pub(crate) fn granted_elsewhere_until(&self, service: &str) -> (Duration, Duration) {
        match self.dropped_at.get(service) {
            Some(dropped_at) => (*dropped_at, Duration::ZERO),
            None => (self.since, self.idle_before),
        }
    }

    /// What was granted of a service's keys, and whether grants of an earlier holder may still be in use.
    fn assigned(&self, service: &str, at: Duration) -> AssignedKeys {
        if let Some(ranges) = self.ranges.get(service) {
            AssignedKeys {
                shares: assigned_shares(ranges, at),
                awaits_earlier_leases: ranges.awaits_earlier_leases(at),
            }
        } else if let Some(slots) = self.slots.get(service) {
            AssignedKeys {
                shares: slots.assignments(at),
                awaits_earlier_leases: slots.awaits_earlier_leases(at),
            }
        } else {
            AssignedKeys {
                shares: Vec::new(),
                awaits_earlier_leases: true,
            }
        }
    }
}

/// Keys of a service that this lease holder granted.
struct AssignedKeys {
    shares: Vec<KeyShare>,
    awaits_earlier_leases: bool,
}

impl ControlNode {
    /// True while this node holds the placement lease.
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
            if let Some(lost) = self.placement.lease.take() {
                self.log(format!("placement: lease of epoch {} lost", lost.epoch));
            }
            return;
        };
        if epoch > self.placement.lease_epoch {
            self.announce_lease(epoch);
        }
        let is_first = self.lease.is_first_holder(epoch);
        let current = self
            .placement
            .lease
            .take()
            .filter(|lease| lease.epoch == epoch);
        let mut lease = current.unwrap_or_else(|| {
            let idle_before = self.lease.idle_before(epoch);
            let granted_since = self.grant_clock.now();
            let mut lease = PlacementLease::new(now, epoch, granted_since, is_first, idle_before);
            lease.owner_record = self
                .lease
                .keeps_key_owners(epoch)
                .then(|| OwnerRecord::new(now, epoch));
            lease
        });
        // Without a current state it might decide from an old one: who holds which keys is all that it goes on to tell.
        let is_current = self.is_current(now);
        let may_decide = is_current || lease.assigner.is_some();
        if now >= lease.next_decision_at && now >= lease.listen_until && may_decide {
            lease.next_decision_at = now + DECISION_INTERVAL;
            self.decide_placement(now, &mut lease, is_current);
        }
        self.placement.lease = Some(lease);
        self.tick_key_owners(now);
    }

    /// Tells everybody that this node holds the lease: heartbeats find their way here long before the first decision.
    fn announce_lease(&mut self, epoch: u64) {
        self.statistics.leases_acquired += 1;
        self.log(format!("placement: lease held under epoch {epoch}"));
        let me = self.me.node.clone();
        self.placement.record_lease_holder(me, epoch);
        self.send_to_control_nodes(Payload::LeaseHolder(LeaseHolder { epoch }));
    }

    /// Decides who owns which name, if the state is current, and publishes the placement where it has changed or the last one
    /// is old.
    fn decide_placement(&mut self, now: Duration, lease: &mut PlacementLease, is_current: bool) {
        let mut assigner = lease.assigner.take().unwrap_or_else(|| {
            ZoneAssigner::new(
                now,
                lease.epoch,
                &self.placement.current,
                self.times.placement,
            )
        });
        let moved = is_current && self.assign_zones(now, &mut assigner);
        lease.retain_services(self.grant_clock.now(), &self.configuration);
        lease.key_loads.decay(DECISION_INTERVAL);
        self.report_keys(now, lease);
        let shares = self.shares_to_publish(now, lease);
        self.statistics.names_moved += u64::from(moved);
        let changed = moved || shares != lease.published_shares;
        if changed || now >= lease.next_publication_at {
            lease.next_publication_at = now + PUBLISH_INTERVAL;
            self.publish_placement(now, &mut assigner, changed, &shares);
            lease.published_shares = shares;
        }
        lease.assigner = Some(assigner);
    }

    /// Lets the assigner decide by what is known now; true where a name moved.
    fn assign_zones(&self, now: Duration, assigner: &mut ZoneAssigner) -> bool {
        let served: BTreeSet<String> = self
            .members
            .iter()
            .filter(|member| member.roles.contains("proxy"))
            .map(|member| member.locality.clone())
            .collect();
        let upstreams = self.registry.snapshot(now);
        // Where each client's zone has its own owner, no name has one for everybody.
        let no_names = Configuration::default();
        let configuration = match self.owners {
            OwnershipMode::SingleZone => self.configuration.as_ref(),
            OwnershipMode::PerClientZone => &no_names,
        };
        assigner.reassign(
            now,
            &PlacementInputs {
                configuration,
                evacuated: &self.register.state().evacuated,
                upstreams: &upstreams,
                served: &served,
            },
        )
    }

    /// Sends the changes since the last placement, where these are of shares alone; else the complete placement. Where
    /// nothing has changed its number alone is sent, so that whoever missed one requests it.
    fn publish_placement(
        &mut self,
        now: Duration,
        assigner: &mut ZoneAssigner,
        changed: bool,
        shares: &[ServiceKeyShares],
    ) {
        let has_no_ages = self.placement.has_no_ages();
        if changed || !has_no_ages || self.placement.current.number == 0 {
            assigner.advance_number();
        }
        self.statistics.placements_published += 1;
        let placement = assigner.placement(now, shares.to_vec());
        let delta = name_directory::placement_delta(&self.placement.current, &placement);
        let published = match delta {
            Some(delta) if has_no_ages => delta,
            _ => placement.clone(),
        };
        self.send_to_control_nodes(Payload::Placement(published));
        let me = self.me.node.clone();
        self.handle_placement(me, placement);
    }

    /// Who holds which keys, for the placement. Until every grant of an earlier lease holder has expired, what was last
    /// published goes on for the slots that nobody claimed here yet: their upstreams hold them, or say that they don't.
    fn shares_to_publish(&self, now: Duration, lease: &PlacementLease) -> Vec<ServiceKeyShares> {
        let claimed = if self.placement.current.epoch == 0 {
            self.claimed_shares(now)
        } else {
            Vec::new()
        };
        let grant_time = self.grant_clock.now();
        let mut published = Vec::new();
        for service in self.configuration.services.values() {
            if !service.keyed {
                continue;
            }
            let assigned = lease.assigned(&service.name, grant_time);
            let earlier = self
                .placement
                .current
                .shares
                .iter()
                .chain(&claimed)
                .find(|earlier| earlier.service == service.name && assigned.awaits_earlier_leases);
            let mut shares = match earlier {
                Some(earlier) => name_directory::uncovered(&earlier.shares, &assigned.shares),
                None => Vec::new(),
            };
            shares.extend(assigned.shares);
            published.push(ServiceKeyShares {
                service: service.name.clone(),
                shares,
            });
        }
        published
    }

    /// Follows a placement that the lease holder published; requests the complete one where it can't be applied.
    pub(crate) fn handle_placement(&mut self, from: String, placement: Placement) {
        if (placement.epoch, placement.number) <= self.placement.version() {
            return;
        }
        self.placement
            .record_lease_holder(from.clone(), placement.epoch);
        match self.placement.apply(placement) {
            PlacementChange::Applied => {}
            PlacementChange::Gap => {
                self.send(from, Payload::PlacementRequest(PlacementRequest {}));
            }
        }
    }

    pub(crate) fn handle_placement_request(&mut self, from: String) {
        let placement = self.placement.current.clone();
        self.send(from, Payload::Placement(placement));
    }

    /// Another control node says that it holds the lease.
    pub(crate) fn handle_lease_holder(&mut self, from: String, holder: &LeaseHolder) {
        self.placement.record_lease_holder(from, holder.epoch);
    }

    /// Key shares for an upstream's heartbeat; none where this node does not hold the lease, so that nobody takes them for
    /// a grant.
    pub(crate) fn grant_key_shares(
        &mut self,
        now: Duration,
        upstream: &Upstream,
    ) -> Option<Vec<KeyShare>> {
        let epoch = self.lease.held_epoch(now)?;
        if upstream.state() == UpstreamState::Deregistered {
            // A deregistration lists nothing and proves nothing: its sender may serve on, so its grants expire by
            // themselves.
            return None;
        }
        let service = self.configuration.services.get(&upstream.service);
        if service.is_some_and(|service| service.numeric_keys) {
            return self.grant_key_ranges(now, upstream, epoch);
        }
        let grant_time = self.grant_clock.now();
        let duration = self.times.share_span;
        let inputs = self.key_division_inputs(now, upstream, epoch)?;
        let lease = self.placement.lease.as_mut()?;
        lease
            .inputs
            .insert(upstream.service.clone(), inputs.clone());
        let (since, idle_before) = lease.granted_elsewhere_until(&upstream.service);
        let slots = lease
            .slots
            .entry(upstream.service.clone())
            .or_insert_with(|| SlotAssigner::new(since, duration, epoch).after_idle(idle_before));
        slots.handle_heartbeat(grant_time, upstream, &inputs.weights.by_instance)
    }
}
