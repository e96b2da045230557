//! Simulated upstreams.

use super::network::Endpoint;
use super::nodes::DRIFT;
use super::range_leases::RangeLeases;
use crate::schedule::Action;
use crate::shapes::ServiceProfile;
use crate::world::World;
use invariants::observations::Observation;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// One upstream.
pub struct SimulatedUpstream {
    pub profile: ServiceProfile,
    pub instance: String,
    pub address: String,
    pub place: Endpoint,
    pub up: bool,
    pub incarnation: u64,
    pub state: protocol::UpstreamState,
    pub warm: bool,
    pub heartbeat: u64,
    /// The control node that it announces its draining to first, and when one acknowledged it.
    pub draining_node: Option<usize>,
    pub draining_acked_at: Option<Duration>,
    /// It deregistered before it ever drained: it sends no heartbeats any more, and serves on.
    pub deregistered: bool,
    pub holder: u64,
    /// The slots it holds, with epoch and end of the lease.
    pub holds: BTreeMap<u32, (u64, Duration)>,
    /// The same, where keys are numbers.
    pub range_leases: RangeLeases,
    pub busy: u32,
    /// Of a thousand responses, how many are lost after the operation was executed.
    pub loses_per_mille: u64,
    pub garbles_per_mille: u64,
    pub paused_until: Duration,
    /// How its clock runs, in parts of a million more than true time.
    pub drift: i64,
}

impl SimulatedUpstream {
    /// The epoch under which it holds the slot of a key.
    pub(crate) fn held_epoch(&self, key: &str, now: Duration) -> Option<u64> {
        let (epoch, until) = self.holds.get(&key_space::slot_of_key(key))?;
        (now < *until).then_some(*epoch)
    }
}

impl World {
    pub(super) fn create_upstreams(&mut self) {
        let shape = self.shape.clone();
        shape.profiles().for_each(|(profile, count)| {
            (0..count).for_each(|at| {
                // Marks stand apart from one another.
                let place = crate::shapes::marker_index(profile.service).unwrap_or(at);
                let number = self.push_upstream(profile, at, shape.locality(place), true);
                let first = Duration::from_millis(5000 + self.random.below(500));
                self.at(
                    first,
                    Action::Heartbeat {
                        upstream: number,
                        incarnation: 1,
                    },
                );
            });
        });
    }

    fn push_upstream(
        &mut self,
        profile: ServiceProfile,
        at: usize,
        locality: String,
        warm: bool,
    ) -> usize {
        let number = self.upstreams.len();
        // The contract of numeric keys allows for clocks that are twice as slow.
        let slow = if profile.numbered { 2 * DRIFT } else { DRIFT };
        self.upstreams.push(SimulatedUpstream {
            profile,
            instance: format!("{}-{at}", profile.service),
            address: format!("10.0.{}.{}:80", number / 200, number % 200),
            place: Endpoint {
                machine: None,
                locality,
            },
            up: true,
            incarnation: 1,
            state: protocol::UpstreamState::Ready,
            warm,
            heartbeat: 0,
            draining_node: None,
            draining_acked_at: None,
            deregistered: false,
            holder: 0,
            holds: BTreeMap::new(),
            range_leases: RangeLeases::default(),
            busy: 0,
            loses_per_mille: 0,
            garbles_per_mille: 0,
            paused_until: Duration::ZERO,
            drift: self.random.below(slow + DRIFT) as i64 - slow as i64,
        });
        number
    }

    /// A further upstream, empty and cold.
    pub(super) fn add_upstream(&mut self, at: usize) -> usize {
        let (profile, place) = (self.shape.services[at % 3], self.shape.locality(at));
        let upstream = self.push_upstream(profile, 100 + self.upstreams.len(), place, false);
        self.after(
            Duration::from_millis(10),
            Action::Heartbeat {
                upstream,
                incarnation: 1,
            },
        );
        upstream
    }

    /// Starts a new instance in the place of an old one, perhaps of another service.
    pub(super) fn replace_upstream(&mut self, at: usize, profile: ServiceProfile, warm: bool) {
        let incarnation = self.upstreams[at].incarnation + 1;
        let upstream = &mut self.upstreams[at];
        upstream.profile = profile;
        upstream.incarnation = incarnation;
        upstream.instance = format!("{}-{at}-{incarnation}", profile.service);
        upstream.up = true;
        upstream.state = protocol::UpstreamState::Ready;
        upstream.warm = warm;
        upstream.heartbeat = 0;
        (
            upstream.draining_node,
            upstream.draining_acked_at,
            upstream.deregistered,
        ) = (None, None, false);
        upstream.holder = 0;
        upstream.holds.clear();
        upstream.range_leases = RangeLeases::default();
        upstream.busy = 0;
        upstream.paused_until = Duration::ZERO;
        self.after(
            Duration::from_millis(10),
            Action::Heartbeat {
                upstream: at,
                incarnation,
            },
        );
    }

    pub(super) fn crash_upstream(&mut self, at: usize) {
        let upstream = &mut self.upstreams[at];
        upstream.up = false;
        upstream.incarnation += 1;
        let (service, instance) = (
            upstream.profile.service.to_owned(),
            upstream.instance.clone(),
        );
        let held_epoch = std::mem::take(&mut upstream.holds)
            .into_keys()
            .map(|slot| slot..slot + 1);
        let held_epoch: Vec<Range<u32>> = held_epoch
            .chain(std::mem::take(&mut upstream.range_leases).keys())
            .collect();
        held_epoch.into_iter().for_each(|keys| {
            self.note(Observation::KeysReleased {
                service: service.clone(),
                keys,
                instance: instance.clone(),
            });
        });
    }

    /// Its clock stood still for so long: its leases seem to last that much longer.
    pub(super) fn extend_leases(&mut self, at: usize, span: Duration) {
        let upstream = &mut self.upstreams[at];
        upstream
            .holds
            .values_mut()
            .for_each(|(_, until)| *until += span);
        let (service, instance) = (
            upstream.profile.service.to_owned(),
            upstream.instance.clone(),
        );
        upstream.range_leases.until += span;
        upstream.range_leases.ending_until += span;
        let slots = upstream
            .holds
            .iter()
            .map(|(slot, (_, until))| (*slot..slot + 1, *until));
        let held_epoch: Vec<(Range<u32>, Duration)> =
            slots.chain(upstream.range_leases.spans()).collect();
        held_epoch.into_iter().for_each(|(keys, until)| {
            self.note(Observation::KeysHeld {
                service: service.clone(),
                keys,
                instance: instance.clone(),
                until,
            });
        });
    }
}
