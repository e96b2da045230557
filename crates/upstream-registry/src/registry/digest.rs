//! Digests: 64 bits that stand for an upstream in gossip between control nodes.
//!
//! The upper half identifies the upstream, the lower half covers what else is gossiped of it. A node that knows an
//! upstream with the same digest needs only its sequence number and age; otherwise it requests the full record.

use super::UpstreamRegistry;
use protocol::{Upstream, UpstreamState};
use random::stable_hash_parts;
use std::time::Duration;

const IDENTITY_SHIFT: u32 = 32;

/// 64 bits that stand for an upstream in batches: the upper half for its identity, the lower half for what else is
/// gossiped of it.
///
/// ```
/// let warm = protocol::Upstream { instance: "a".into(), warm: true, heartbeat_number: 3, ..Default::default() };
/// let cold = protocol::Upstream { warm: false, ..warm.clone() };
/// assert_eq!(upstream_registry::digest(&warm), upstream_registry::digest(&protocol::Upstream { heartbeat_number: 4, ..warm.clone() }));
/// assert_ne!(upstream_registry::digest(&warm), upstream_registry::digest(&cold));
/// assert_eq!(upstream_registry::digest(&warm) >> 32, upstream_registry::digest(&cold) >> 32);
/// ```
pub fn digest(upstream: &Upstream) -> u64 {
    let identity_parts = [upstream.service.as_str(), "/", &upstream.instance];
    let identity = stable_hash_parts(identity_parts) >> IDENTITY_SHIFT;
    identity << IDENTITY_SHIFT | content_digest(upstream)
}

fn content_digest(upstream: &Upstream) -> u64 {
    if upstream.state() == UpstreamState::Deregistered {
        // What it was like before its end no longer matters.
        return 0;
    }
    let numbers = format!(
        "/{}/{}/{}",
        upstream.free_slots, upstream.warm, upstream.state
    );
    let content_parts = [upstream.address.as_str(), "/", &upstream.locality, &numbers];
    stable_hash_parts(content_parts) >> IDENTITY_SHIFT
}

/// The half of a digest that identifies the upstream.
pub(super) fn identity(digest: u64) -> u64 {
    digest >> IDENTITY_SHIFT
}

/// True for the digest of a deregistered upstream.
///
/// ```
/// let gone = protocol::Upstream { state: protocol::UpstreamState::Deregistered.into(), ..Default::default() };
/// assert!(upstream_registry::is_deregistered_digest(upstream_registry::digest(&gone)));
/// assert!(!upstream_registry::is_deregistered_digest(upstream_registry::digest(&protocol::Upstream::default())));
/// ```
pub fn is_deregistered_digest(digest: u64) -> bool {
    digest & u64::from(u32::MAX) == 0
}

impl UpstreamRegistry {
    /// Applies a gossiped digest: the upstream sent heartbeat number `sequence`, `age` ago, and is otherwise as its
    /// digest says. False where the full record is needed, because the upstream is unknown here or has changed.
    ///
    /// ```
    /// use upstream_registry::UpstreamRegistry;
    /// use std::time::Duration;
    /// let (ms, mut registry) = (Duration::from_millis, UpstreamRegistry::default());
    /// let upstream = protocol::Upstream { instance: "a".into(), heartbeat_number: 1, ..Default::default() };
    /// let digest = upstream_registry::digest(&upstream);
    /// assert!(!registry.refresh_from_digest(ms(1000), digest, 1, ms(0)), "nobody knows it");
    /// registry.apply_heartbeat(ms(1000), upstream);
    /// assert!(registry.refresh_from_digest(ms(3000), digest, 2, ms(200)));
    /// assert_eq!((registry.snapshot(ms(3000))[0].heartbeat_number, registry.snapshot(ms(3000))[0].age_ms), (2, 200));
    /// assert!(!registry.refresh_from_digest(ms(3500), digest ^ 1, 3, ms(0)), "something about it changed");
    /// assert!(registry.refresh_from_digest(ms(3500), digest ^ 1, 2, ms(0)), "what is known is no older");
    /// ```
    pub fn refresh_from_digest(
        &mut self,
        now: Duration,
        gossiped_digest: u64,
        sequence: u64,
        age: Duration,
    ) -> bool {
        let id = self.ids_by_digest.get(&identity(gossiped_digest));
        let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) else {
            return false;
        };
        if sequence <= entry.upstream.heartbeat_number {
            return true;
        }
        if digest(&entry.upstream) != gossiped_digest {
            return false;
        }
        if entry.upstream.state() != UpstreamState::Deregistered {
            entry.upstream.heartbeat_number = sequence;
            entry.last_heard_at = now.saturating_sub(age).max(entry.last_heard_at);
        }
        true
    }

    /// The upstream that a digest stands for, with its ages as of `now`.
    ///
    /// ```
    /// assert_eq!(upstream_registry::UpstreamRegistry::default().find_by_digest(std::time::Duration::ZERO, 7), None);
    /// ```
    pub fn find_by_digest(&self, now: Duration, digest: u64) -> Option<Upstream> {
        let id = self.ids_by_digest.get(&identity(digest))?;
        Some(self.entries.get(id)?.record(now))
    }
}
