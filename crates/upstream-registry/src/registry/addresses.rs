//! Which upstream owns an address. An address belongs to its youngest registration that is not deregistered; whoever
//! loses it is evicted.

use super::UpstreamRegistry;
use super::upstream_id::UpstreamId;
use protocol::{Upstream, UpstreamState};
use std::time::Duration;

/// An owner that was not heard of for so long may be known from a delayed heartbeat alone; see
/// [`UpstreamRegistry::regains_address`]. Longer than a heartbeat interval and the gossip batch that forwards it.
const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);

impl UpstreamRegistry {
    /// True where an evicted upstream still sends heartbeats while the one that took its address is silent: then that
    /// one is the older. So a heartbeat that was delayed for long can't end a live upstream for good.
    pub(super) fn regains_address(
        &self,
        now: Duration,
        id: &UpstreamId,
        heartbeat: &Upstream,
    ) -> bool {
        let is_evicted = self.entries.get(id).is_some_and(|entry| {
            entry.is_evicted && heartbeat.heartbeat_number > entry.upstream.heartbeat_number
        });
        let other_owner = self
            .address_owners
            .get(&heartbeat.address)
            .filter(|owner| *owner != id);
        let owner_is_silent = other_owner
            .and_then(|owner| self.entries.get(owner))
            .is_none_or(|owner| {
                owner.upstream.state() == UpstreamState::Deregistered
                    || now >= owner.last_heard_at + OWNER_SILENCE_TIMEOUT
            });
        is_evicted && owner_is_silent && heartbeat.state() != UpstreamState::Deregistered
    }

    /// Gives an address to this upstream unless a younger one owns it. Returns the upstream that lost it.
    pub(super) fn claim_address(
        &mut self,
        id: &UpstreamId,
        upstream: &Upstream,
        registered_at_ms: i64,
    ) -> Option<UpstreamId> {
        let other_owner = self
            .address_owners
            .get(&upstream.address)
            .filter(|owner| *owner != id)
            .cloned();
        if let Some(owner) = &other_owner {
            let takes_over = upstream.state() != UpstreamState::Deregistered
                && self.is_succeeded_by(owner, id, registered_at_ms);
            if !takes_over {
                return None;
            }
        }
        self.address_owners
            .insert(upstream.address.clone(), id.clone());
        other_owner
    }

    /// True where the owner of an address gives way to another upstream that registered at this time.
    fn is_succeeded_by(&self, owner: &UpstreamId, id: &UpstreamId, registered_at_ms: i64) -> bool {
        let Some(entry) = self.entries.get(owner) else {
            return true;
        };
        let was_evicted = self.entries.get(id).is_some_and(|entry| entry.is_evicted);
        let is_older = (entry.registered_at_ms, entry.upstream.instance.as_str())
            < (registered_at_ms, id.instance.as_str());
        entry.upstream.state() == UpstreamState::Deregistered || was_evicted || is_older
    }

    /// True where another upstream owns this one's address.
    pub(super) fn has_lost_address(&self, id: &UpstreamId, upstream: &Upstream) -> bool {
        self.address_owners
            .get(&upstream.address)
            .is_some_and(|owner| owner != id)
    }

    /// Deregisters an upstream whose address was taken over.
    pub(super) fn evict(&mut self, id: &UpstreamId) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.upstream.state() == UpstreamState::Deregistered {
            return;
        }
        entry.upstream.state = UpstreamState::Deregistered.into();
        entry.is_evicted = true;
        entry.departing_since = None;
        self.changed.insert(id.clone());
    }
}
