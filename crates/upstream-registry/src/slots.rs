//! Assignment of key slots to the upstreams of one service, by the holder of the placement lease.
//!
//! Keys of such a service are hashed into [`SLOT_COUNT`] slots. A slot has one owner. It moves only once the owner's
//! heartbeat no longer names it, or once the owner's key lease has expired. The lease is counted here from the moment of
//! the grant plus a margin; the upstream counts from when it sent the heartbeat, which was earlier.
//!
//! A new holder of the placement lease doesn't know what was granted before. It grants nothing free until all of that
//! has certainly expired. But an upstream that learned of this holder from the response to an earlier heartbeat sent
//! the present one under this holder's lease, when nobody else granted any more: what it says it holds, it alone holds,
//! and keeps.

use key_space::SLOT_COUNT;
use protocol::{KeyShare, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Beyond so many instances, those that are gone are forgotten.
const MAX_INSTANCES: usize = 256;
/// The upper bits of a fencing token are the epoch of the placement lease, the lower ones count its grants.
const FENCE_COUNTER_BITS: u32 = 32;
/// Added to a key lease's duration before it counts as expired: one part in so many of it.
const MARGIN_DIVISOR: u32 = 6;

#[derive(Clone)]
struct SlotLease {
    owner: String,
    /// Fencing token of the grant.
    epoch: u64,
    expires_at: Duration,
}

/// Assigns the slots of one service; the working state of one placement lease.
pub struct SlotAssigner {
    /// Nothing free is granted before this: what an earlier holder of the placement lease granted must have expired.
    grants_from: Duration,
    lease_epoch: u64,
    lease_duration: Duration,
    /// The fencing token of the latest grant.
    last_epoch: u64,
    slots: BTreeMap<u32, SlotLease>,
    /// The number of each instance's last heartbeat: one that was overtaken says nothing of what is held now.
    last_sequences: BTreeMap<String, u64>,
}

impl SlotAssigner {
    /// The state of a new holder of the placement lease, at `now`, under its lease's epoch.
    ///
    /// ```
    /// use upstream_registry::SlotAssigner;
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let lease_duration = Duration::from_secs(3);
    /// let mut slots = SlotAssigner::new(Duration::ZERO, lease_duration, 1);
    /// let upstream = |name: &str, heartbeat_number| Upstream { instance: name.into(), heartbeat_number, ..Default::default() };
    /// let ready = [("a".to_owned(), 1), ("b".to_owned(), 1)].into();
    /// assert_eq!(slots.handle_heartbeat(Duration::from_secs(1), &upstream("a", 1), &ready), None, "nothing at first");
    /// let held = protocol::KeyShare { from: 3, until: 5, epoch: 9, instance: "b".into(), ..Default::default() };
    /// let informed = Upstream { holder: 1, holds: vec![held.clone()], ..upstream("b", 1) };
    /// assert_eq!(slots.handle_heartbeat(Duration::from_secs(1), &informed, &ready), Some(vec![held]), "but it keeps what it has");
    /// let now = Duration::from_secs(4);
    /// let granted = slots.handle_heartbeat(now, &upstream("a", 2), &ready).unwrap();
    /// assert_eq!(granted.iter().map(|share| share.until - share.from).sum::<u32>(), key_space::SLOT_COUNT / 2);
    /// ```
    pub fn new(now: Duration, lease_duration: Duration, lease_epoch: u64) -> Self {
        SlotAssigner {
            grants_from: expiry(now, lease_duration),
            lease_epoch,
            lease_duration,
            last_epoch: lease_epoch << FENCE_COUNTER_BITS,
            slots: BTreeMap::new(),
            last_sequences: BTreeMap::new(),
        }
    }

    /// The same where nobody granted anything for so long before `now`: the wait counts from then on.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let slots = upstream_registry::SlotAssigner::new(Duration::from_secs(9), Duration::from_secs(3), 1);
    /// assert!(slots.awaits_earlier_leases(Duration::from_secs(10)));
    /// assert!(!slots.after_idle(Duration::from_secs(3)).awaits_earlier_leases(Duration::from_secs(10)));
    /// ```
    pub fn after_idle(mut self, idle: Duration) -> Self {
        self.grants_from = self.grants_from.saturating_sub(idle);
        self
    }

    /// Answers an upstream's heartbeat with the slots that it holds from now on; `ready` are all instances that may hold
    /// any, with how many relative to one another. One of weight zero is granted none, but keeps what nobody else may be
    /// granted yet. No answer to a heartbeat that was overtaken by a newer one.
    ///
    /// ```
    /// use upstream_registry::SlotAssigner;
    /// use protocol::{KeyShare, Upstream};
    /// use std::time::Duration;
    /// let (lease_duration, now) = (Duration::from_secs(3), Duration::from_secs(4));
    /// let mut slots = SlotAssigner::new(Duration::ZERO, lease_duration, 1);
    /// let upstream = |name: &str, heartbeat_number, holds: &[KeyShare]| Upstream {
    ///     instance: name.into(), heartbeat_number, holds: holds.to_vec(), ..Default::default()
    /// };
    /// let one = [("a".to_owned(), 1)].into();
    /// let both = [("a".to_owned(), 1), ("b".to_owned(), 1)].into();
    /// let first = slots.handle_heartbeat(now, &upstream("a", 1, &[]), &one).unwrap();
    /// assert_eq!(slots.handle_heartbeat(now, &upstream("b", 1, &[]), &both), Some(vec![]), "all are taken");
    /// let less = slots.handle_heartbeat(now, &upstream("a", 2, &first), &both).unwrap();
    /// assert_eq!(slots.handle_heartbeat(now, &upstream("b", 2, &[]), &both), Some(vec![]), "revoked, not released yet");
    /// slots.handle_heartbeat(now, &upstream("a", 3, &less), &both);
    /// assert_ne!(slots.handle_heartbeat(now, &upstream("b", 3, &[]), &both), Some(vec![]), "released");
    /// assert_eq!(slots.handle_heartbeat(now, &upstream("a", 2, &[]), &both), None, "an overtaken heartbeat releases nothing");
    /// ```
    pub fn handle_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Upstream,
        ready: &BTreeMap<String, u32>,
    ) -> Option<Vec<KeyShare>> {
        let instance = &heartbeat.instance;
        let last_sequence = self.last_sequences.get(instance);
        if last_sequence.is_some_and(|last| heartbeat.heartbeat_number <= *last) {
            return None;
        }
        self.record_heartbeat(heartbeat, ready);
        self.drop_released_and_expired(now, heartbeat);
        if self.awaits_earlier_leases(now) {
            if heartbeat.holder != self.lease_epoch {
                return None;
            }
            self.adopt(now, heartbeat);
        }
        let Some(weight) = ready.get(instance) else {
            return Some(Vec::new());
        };
        let fair_count = fair_count(*weight, ready);
        let awaits_earlier_leases = self.awaits_earlier_leases(now);
        // What is taken away now could be granted to nobody.
        let most = match awaits_earlier_leases {
            true => SLOT_COUNT as usize,
            false => fair_count,
        };
        let kept = self.renew(now, instance, most);
        let capacity = match awaits_earlier_leases {
            true => 0,
            false => fair_count - kept.len(),
        };
        let granted = self.grant_free(now, instance, capacity);
        // Slots beyond the fair count are not renewed: left out of the response, they are revoked.
        let answered: BTreeSet<u32> = kept.into_iter().chain(granted).collect();
        Some(self.shares(|slot, _| answered.contains(&slot)))
    }

    fn record_heartbeat(&mut self, heartbeat: &Upstream, ready: &BTreeMap<String, u32>) {
        self.last_sequences
            .insert(heartbeat.instance.clone(), heartbeat.heartbeat_number);
        if self.last_sequences.len() > MAX_INSTANCES {
            // Whoever is not there and holds nothing has nothing to lose by an overtaken heartbeat.
            let slots = &self.slots;
            let holds_slots = |name: &str| slots.values().any(|lease| lease.owner == name);
            self.last_sequences
                .retain(|name, _| ready.contains_key(name) || holds_slots(name));
        }
    }

    /// Frees slots that the upstream no longer names, and those of any owner whose lease has expired.
    fn drop_released_and_expired(&mut self, now: Duration, heartbeat: &Upstream) {
        let is_listed = |slot: u32, epoch: u64| {
            heartbeat
                .holds
                .iter()
                .any(|share| share.epoch == epoch && (share.from..share.until).contains(&slot))
        };
        self.slots.retain(|slot, lease| {
            let is_held = lease.owner != heartbeat.instance || is_listed(*slot, lease.epoch);
            now < lease.expires_at && is_held
        });
    }

    /// Renews up to `most` slots of an instance, and returns them.
    fn renew(&mut self, now: Duration, instance: &str, most: usize) -> Vec<u32> {
        let expires_at = expiry(now, self.lease_duration);
        let mut renewed = Vec::new();
        let own = self
            .slots
            .iter_mut()
            .filter(|(_, lease)| lease.owner == instance);
        for (slot, lease) in own.take(most) {
            lease.expires_at = expires_at;
            renewed.push(*slot);
        }
        renewed
    }

    /// Grants an instance up to `most` free slots under a new fencing token, and returns them.
    fn grant_free(&mut self, now: Duration, instance: &str, most: usize) -> Vec<u32> {
        let free: Vec<u32> = (0..SLOT_COUNT)
            .filter(|slot| !self.slots.contains_key(slot))
            .take(most)
            .collect();
        if free.is_empty() {
            return free;
        }
        self.last_epoch += 1;
        let lease = SlotLease {
            owner: instance.to_owned(),
            epoch: self.last_epoch,
            expires_at: expiry(now, self.lease_duration),
        };
        for slot in &free {
            self.slots.insert(*slot, lease.clone());
        }
        free
    }

    /// Takes over what an upstream held when it sent this heartbeat.
    fn adopt(&mut self, now: Duration, heartbeat: &Upstream) {
        let expires_at = expiry(now, self.lease_duration);
        for share in &heartbeat.holds {
            for slot in share.from..share.until.min(SLOT_COUNT) {
                self.slots.entry(slot).or_insert_with(|| SlotLease {
                    owner: heartbeat.instance.clone(),
                    epoch: share.epoch,
                    expires_at,
                });
            }
        }
    }

    /// True while what an earlier holder of the placement lease granted may not have expired.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let slots = upstream_registry::SlotAssigner::new(Duration::ZERO, Duration::from_secs(3), 1);
    /// assert!(slots.awaits_earlier_leases(Duration::from_secs(1)));
    /// assert!(!slots.awaits_earlier_leases(Duration::from_secs(9)));
    /// ```
    pub fn awaits_earlier_leases(&self, now: Duration) -> bool {
        now < self.grants_from
    }

    /// Everything that is granted and has not expired.
    ///
    /// ```
    /// # use std::time::Duration;
    /// assert!(upstream_registry::SlotAssigner::new(Duration::ZERO, Duration::from_secs(3), 1).assignments(Duration::ZERO).is_empty());
    /// ```
    pub fn assignments(&self, now: Duration) -> Vec<KeyShare> {
        self.shares(|_, lease| now < lease.expires_at)
    }

    /// The chosen slots, as runs of one owner and fencing token.
    fn shares(&self, is_chosen: impl Fn(u32, &SlotLease) -> bool) -> Vec<KeyShare> {
        let mut shares: Vec<KeyShare> = Vec::new();
        for (slot, lease) in &self.slots {
            if !is_chosen(*slot, lease) {
                continue;
            }
            match shares.last_mut() {
                Some(share)
                    if share.until == *slot
                        && share.epoch == lease.epoch
                        && share.instance == lease.owner =>
                {
                    share.until += 1;
                }
                _ => shares.push(KeyShare {
                    from: *slot,
                    until: slot + 1,
                    epoch: lease.epoch,
                    instance: lease.owner.clone(),
                    ..KeyShare::default()
                }),
            }
        }
        shares
    }
}

/// How many slots an instance of this weight is to hold.
fn fair_count(weight: u32, ready: &BTreeMap<String, u32>) -> usize {
    let all: u64 = ready.values().map(|weight| u64::from(*weight)).sum();
    let slots = u64::from(SLOT_COUNT) * u64::from(weight);
    slots.div_ceil(all.max(1)) as usize
}

/// When a lease that begins now has expired at its owner too.
fn expiry(now: Duration, lease_duration: Duration) -> Duration {
    now + lease_duration + lease_duration / MARGIN_DIVISOR
}
