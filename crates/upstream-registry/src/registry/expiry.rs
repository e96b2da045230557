//! Expiry of silent upstreams and of what is remembered of departed ones.

use super::departures::Departed;
use super::upstream_id::UpstreamId;
use super::{Entry, UpstreamRegistry};
use protocol::UpstreamState;
use std::time::Duration;

/// How long a deregistered instance is remembered, so that a delayed heartbeat does not bring it back.
const DEREGISTERED_RETENTION: Duration = Duration::from_secs(60);

impl UpstreamRegistry {
    /// Drops upstreams that were silent for `silence_timeout`, and forgets those deregistered long ago.
    ///
    /// ```
    /// use upstream_registry::UpstreamRegistry;
    /// use std::time::Duration;
    /// let mut registry = UpstreamRegistry::default();
    /// registry.apply_heartbeat(Duration::ZERO, protocol::Upstream { instance: "a".into(), heartbeat_number: 1, ..Default::default() });
    /// registry.expire_silent(Duration::from_secs(4), Duration::from_secs(3));
    /// assert!(registry.snapshot(Duration::from_secs(4)).is_empty());
    /// assert_eq!(registry.drain_changes(Duration::from_secs(4))[0].state(), protocol::UpstreamState::Deregistered);
    /// ```
    pub fn expire_silent(&mut self, now: Duration, silence_timeout: Duration) {
        self.departed
            .retain(|_, departed| now < departed.known_since + DEREGISTERED_RETENTION);
        let is_expired = |entry: &Entry| {
            let retention = match entry.upstream.state() {
                UpstreamState::Deregistered => DEREGISTERED_RETENTION,
                _ => silence_timeout,
            };
            now >= entry.last_heard_at + retention
        };
        let expired: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Removes an entry. Where it was draining, that is remembered without the entry.
    fn remove(&mut self, id: UpstreamId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.address_owners.retain(|_, owner| *owner != id);
        self.ids_by_digest.retain(|_, known| *known != id);
        if entry.upstream.state() == UpstreamState::Deregistered {
            return;
        }
        if let Some(known_since) = entry.departing_since {
            let departed = Departed {
                state: entry.upstream.state(),
                sequence: entry.upstream.heartbeat_number,
                known_since,
            };
            self.departed.insert(id.clone(), departed);
        }
        self.changed.insert(id);
    }
}
