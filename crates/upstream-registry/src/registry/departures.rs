//! Departures: upstreams that announced that they drain, or that deregistered. They are remembered also where the
//! registry has no entry for the instance, so that a delayed heartbeat does not bring it back.

use super::upstream_id::UpstreamId;
use super::{MAX_UPSTREAMS, UpstreamRegistry};
use protocol::{Departure, Upstream, UpstreamState};
use std::time::Duration;

/// How long a deregistered upstream is gossiped after it was last heard of.
const DEREGISTRATION_GOSSIP_DURATION: Duration = Duration::from_secs(8);

/// An upstream that departed and has no entry any more, or never had one.
pub(super) struct Departed {
    pub(super) state: UpstreamState,
    /// The number of its last heartbeat.
    pub(super) sequence: u64,
    pub(super) known_since: Duration,
}

impl UpstreamRegistry {
    /// Records that an upstream drains or deregistered, as another node knows it. False where there is no capacity to
    /// remember one that is not known here. A departure without a service means whoever has this instance id, now or
    /// later.
    ///
    /// ```
    /// use upstream_registry::UpstreamRegistry;
    /// use protocol::{Departure, Upstream, UpstreamState};
    /// use std::time::Duration;
    /// let (mut registry, now) = (UpstreamRegistry::default(), Duration::from_secs(9));
    /// assert!(registry.record_departure(now, &Departure { instance: "a".into(), state: UpstreamState::Deregistered.into(), heartbeat_number: 7, ..Default::default() }));
    /// registry.apply_heartbeat(now, Upstream { service: "s".into(), instance: "a".into(), heartbeat_number: 7, ..Default::default() });
    /// assert_eq!(registry.snapshot(now)[0].state(), UpstreamState::Deregistered, "a late heartbeat brings nobody back");
    /// ```
    pub fn record_departure(&mut self, now: Duration, departure: &Departure) -> bool {
        let state = departure.state();
        if state == UpstreamState::Ready || state > UpstreamState::Deregistered {
            return true;
        }
        let known = self.entries_of_departure(departure);
        for id in &known {
            self.mark_departed(now, id, departure);
        }
        if !known.is_empty() {
            return true;
        }
        let id = UpstreamId::new(&departure.service, &departure.instance);
        if self.departed_state(&id, departure.heartbeat_number) >= state {
            return true;
        }
        let has_capacity = self.departed.len() < MAX_UPSTREAMS || self.departed.contains_key(&id);
        if has_capacity {
            // Data-plane nodes that follow this node may still know it.
            self.changed.insert(id.clone());
            let departed = Departed {
                state,
                sequence: departure.heartbeat_number,
                known_since: now,
            };
            self.departed.insert(id, departed);
        }
        has_capacity
    }

    /// The entries that a departure is about; of any service where it names none.
    fn entries_of_departure(&self, departure: &Departure) -> Vec<UpstreamId> {
        if departure.service.is_empty() {
            return self
                .entries
                .keys()
                .filter(|known| known.instance == departure.instance)
                .cloned()
                .collect();
        }
        let id = UpstreamId::new(&departure.service, &departure.instance);
        match self.entries.contains_key(&id) {
            true => vec![id],
            false => Vec::new(),
        }
    }

    /// Applies a departure to an entry, unless the upstream has sent a later heartbeat or departed already.
    fn mark_departed(&mut self, now: Duration, id: &UpstreamId, departure: &Departure) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let applies = entry.upstream.state() < departure.state()
            && entry.upstream.heartbeat_number <= departure.heartbeat_number;
        if !applies {
            return;
        }
        entry.upstream.heartbeat_number = departure.heartbeat_number;
        entry.upstream.state = departure.state;
        entry.departing_since = Some(now);
        if departure.state() == UpstreamState::Deregistered {
            entry.last_heard_at = now;
        }
        self.changed.insert(id.clone());
    }

    /// The last state of a departed upstream without an entry, else [`UpstreamState::Ready`]. Draining is final; one that was
    /// deregistered may have lost its address to another by mistake, and still send heartbeats.
    pub(super) fn departed_state(&self, id: &UpstreamId, sequence: u64) -> UpstreamState {
        [id, &id.without_service()]
            .into_iter()
            .filter_map(|id| self.departed.get(id))
            .filter(|departed| {
                departed.state == UpstreamState::Draining || sequence <= departed.sequence
            })
            .map(|departed| departed.state)
            .max()
            .unwrap_or(UpstreamState::Ready)
    }

    /// Departed upstreams that have no entry: whoever still knows one of them is to forget it. Without a service it is
    /// whoever has this instance id.
    ///
    /// ```
    /// let (mut registry, now) = (upstream_registry::UpstreamRegistry::default(), std::time::Duration::ZERO);
    /// registry.record_departure(now, &protocol::Departure { instance: "a".into(), state: 1, ..Default::default() });
    /// assert_eq!(registry.departed_without_entry().map(|gone| gone.state()).collect::<Vec<_>>(), [protocol::UpstreamState::Deregistered]);
    /// assert_eq!(registry.drain_changes(now).len(), 1);
    /// ```
    pub fn departed_without_entry(&self) -> impl Iterator<Item = Upstream> {
        self.departed.keys().map(deregistered_record)
    }

    /// Deregistered upstreams that were heard of lately. They are gossiped again, since they send no heartbeats any more.
    ///
    /// ```
    /// assert!(upstream_registry::UpstreamRegistry::default().recently_deregistered(std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn recently_deregistered(&self, now: Duration) -> Vec<Upstream> {
        self.entries
            .values()
            .filter(|entry| entry.upstream.state() == UpstreamState::Deregistered)
            .filter(|entry| now < entry.last_heard_at + DEREGISTRATION_GOSSIP_DURATION)
            .map(|entry| entry.record(now))
            .collect()
    }

    /// Upstreams that announced within this time span that they drain, or that deregistered themselves.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (mut registry, at) = (upstream_registry::UpstreamRegistry::default(), Duration::from_secs(9));
    /// let draining = protocol::Upstream { heartbeat_number: 1, state: protocol::UpstreamState::Draining.into(), ..Default::default() };
    /// registry.apply_heartbeat(at, draining);
    /// assert_eq!(registry.recent_departures(at, Duration::from_secs(5)).len(), 1);
    /// assert!(registry.recent_departures(at + Duration::from_secs(5), Duration::from_secs(5)).is_empty());
    /// ```
    pub fn recent_departures(&self, now: Duration, within: Duration) -> Vec<Departure> {
        let is_recent = |since: Duration| now < since + within;
        let with_entry = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.departing_since.is_some_and(is_recent))
            .map(|(id, entry)| {
                departure(id, entry.upstream.state(), entry.upstream.heartbeat_number)
            });
        let without_entry = self
            .departed
            .iter()
            .filter(|(_, departed)| is_recent(departed.known_since))
            .map(|(id, departed)| departure(id, departed.state, departed.sequence));
        with_entry.chain(without_entry).collect()
    }
}

fn departure(id: &UpstreamId, state: UpstreamState, sequence: u64) -> Departure {
    Departure {
        service: id.service.clone(),
        instance: id.instance.clone(),
        state: state.into(),
        heartbeat_number: sequence,
    }
}

/// What is published of an upstream that has no entry.
pub(super) fn deregistered_record(id: &UpstreamId) -> Upstream {
    Upstream {
        service: id.service.clone(),
        instance: id.instance.clone(),
        state: UpstreamState::Deregistered.into(),
        ..Upstream::default()
    }
}
