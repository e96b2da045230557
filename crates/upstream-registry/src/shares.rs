//! Key shares of one keyed service, as the placement duty gives them out.
//!
//! A slot has one owner. It moves only once the owner's beat no longer names it, or its span, counted here
//! from the moment of giving plus a margin, has run out; the upstream counts from the moment it sent the
//! beat, which was earlier.
//!
//! A new holder of the duty doesn't know what was given. It gives out nothing free until all of that has
//! surely run out. But an upstream that has heard of this holder in the answer to an earlier beat sent this
//! one under its claim, when nobody else gave any more: what it says it holds, it alone holds, and keeps.

use key_space::SLOT_COUNT;
use protocol::{KeyShare, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Beyond so many instances, those that are gone are forgotten.
const MAX_BEATS: usize = 256;

#[derive(Clone)]
struct Slot {
    owner: String,
    epoch: u64,
    until: Duration,
}

/// Who holds which slots of one service.
pub struct SlotAssigner {
    /// Nothing free is given before this: what an earlier holder of the duty gave must have run out.
    quiet_until: Duration,
    lease_epoch: u64,
    span: Duration,
    epoch: u64,
    slots: BTreeMap<u32, Slot>,
    /// The last beat of each instance: one that was overtaken says nothing of what is held now.
    beats: BTreeMap<String, u64>,
}

impl SlotAssigner {
    /// A new holder of the duty, at `now`, under its claim's epoch.
    ///
    /// ```
    /// use upstream_registry::SlotAssigner;
    /// use protocol::Upstream;
    /// use std::time::Duration;
    /// let span = Duration::from_secs(3);
    /// let mut shares = SlotAssigner::new(Duration::ZERO, span, 1);
    /// let unit = |name: &str, beat| Upstream { instance: name.into(), beat, ..Default::default() };
    /// let ready = ["a".to_owned(), "b".to_owned()].into_iter().collect();
    /// assert_eq!(shares.handle_heartbeat(Duration::from_secs(1), &unit("a", 1), &ready), None, "quiet at first");
    /// let held = protocol::KeyShare { from: 3, until: 5, epoch: 9, instance: "b".into(), ..Default::default() };
    /// let heard = Upstream { holder: 1, holds: vec![held.clone()], ..unit("b", 1) };
    /// assert_eq!(shares.handle_heartbeat(Duration::from_secs(1), &heard, &ready), Some(vec![held]), "but it keeps what it has");
    /// let now = Duration::from_secs(4);
    /// let given = shares.handle_heartbeat(now, &unit("a", 2), &ready).unwrap();
    /// assert_eq!(given.iter().map(|share| share.until - share.from).sum::<u32>(), key_space::SLOT_COUNT / 2);
    /// ```
    pub fn new(now: Duration, span: Duration, lease_epoch: u64) -> Self {
        SlotAssigner {
            quiet_until: now + span + span / 6,
            lease_epoch,
            span,
            epoch: lease_epoch << 32,
            slots: BTreeMap::new(),
            beats: BTreeMap::new(),
        }
    }

    /// Answers a beat of one upstream with the slots it holds from now on; `ready` are all that may hold any.
    /// No answer to a beat that was overtaken by a later one.
    ///
    /// ```
    /// use upstream_registry::SlotAssigner;
    /// use protocol::{KeyShare, Upstream};
    /// use std::time::Duration;
    /// let (span, now) = (Duration::from_secs(3), Duration::from_secs(4));
    /// let mut shares = SlotAssigner::new(Duration::ZERO, span, 1);
    /// let unit = |name: &str, beat, holds: &[KeyShare]| Upstream {
    ///     instance: name.into(), beat, holds: holds.to_vec(), ..Default::default()
    /// };
    /// let one = ["a".to_owned()].into_iter().collect();
    /// let both = ["a".to_owned(), "b".to_owned()].into_iter().collect();
    /// let first = shares.handle_heartbeat(now, &unit("a", 1, &[]), &one).unwrap();
    /// assert_eq!(shares.handle_heartbeat(now, &unit("b", 1, &[]), &both), Some(vec![]), "all are taken");
    /// let less = shares.handle_heartbeat(now, &unit("a", 2, &first), &both).unwrap();
    /// assert_eq!(shares.handle_heartbeat(now, &unit("b", 2, &[]), &both), Some(vec![]), "asked back, not let go yet");
    /// shares.handle_heartbeat(now, &unit("a", 3, &less), &both);
    /// assert_ne!(shares.handle_heartbeat(now, &unit("b", 3, &[]), &both), Some(vec![]), "let go");
    /// assert_eq!(shares.handle_heartbeat(now, &unit("a", 2, &[]), &both), None, "an overtaken beat lets nothing go");
    /// ```
    pub fn handle_heartbeat(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        ready: &BTreeSet<String>,
    ) -> Option<Vec<KeyShare>> {
        let me = &upstream.instance;
        if self
            .beats
            .get(me)
            .is_some_and(|last| upstream.beat <= *last)
        {
            return None;
        }
        self.beats.insert(me.clone(), upstream.beat);
        if self.beats.len() > MAX_BEATS {
            // Whoever is not there and holds nothing has nothing to lose by an overtaken beat.
            let slots = &self.slots;
            self.beats.retain(|other, _| {
                ready.contains(other) || slots.values().any(|slot| slot.owner == *other)
            });
        }
        let holds = |slot: u32, epoch: u64| {
            upstream
                .holds
                .iter()
                .any(|share| share.epoch == epoch && (share.from..share.until).contains(&slot))
        };
        // What it no longer names, it has let go; what ran out is free.
        self.slots.retain(|slot, owned| {
            now < owned.until && (owned.owner != *me || holds(*slot, owned.epoch))
        });
        if now < self.quiet_until {
            if upstream.holder != self.lease_epoch {
                return None;
            }
            self.adopt(now, upstream);
        }
        if !ready.contains(me) {
            return Some(Vec::new());
        }
        let fair = (SLOT_COUNT as usize).div_ceil(ready.len().max(1));
        let mine: Vec<u32> = self
            .slots
            .iter()
            .filter(|(_, owned)| owned.owner == *me)
            .map(|(slot, _)| *slot)
            .collect();
        let until = now + self.span + self.span / 6;
        let kept: Vec<u32> = mine.iter().copied().take(fair).collect();
        kept.iter().for_each(|slot| {
            self.slots
                .entry(*slot)
                .and_modify(|owned| owned.until = until);
        });
        let room = fair - kept.len();
        let room = if now < self.quiet_until { 0 } else { room };
        let free: Vec<u32> = (0..SLOT_COUNT)
            .filter(|slot| !self.slots.contains_key(slot))
            .take(room)
            .collect();
        if !free.is_empty() {
            self.epoch += 1;
        }
        let given = Slot {
            owner: me.clone(),
            epoch: self.epoch,
            until,
        };
        free.iter().for_each(|slot| {
            self.slots.insert(*slot, given.clone());
        });
        // Slots over the fair count are not renewed: left out of the answer, they are let go.
        let told: BTreeSet<u32> = kept.into_iter().chain(free).collect();
        Some(self.runs(|slot, _| told.contains(&slot)))
    }

    /// Takes over what an upstream held when it sent this beat.
    fn adopt(&mut self, now: Duration, upstream: &Upstream) {
        let until = now + self.span + self.span / 6;
        upstream.holds.iter().for_each(|share| {
            (share.from..share.until.min(SLOT_COUNT)).for_each(|slot| {
                let owner = upstream.instance.clone();
                self.slots.entry(slot).or_insert(Slot {
                    owner,
                    epoch: share.epoch,
                    until,
                });
            });
        });
    }

    /// True while what an earlier holder gave may not have run out.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let shares = upstream_registry::SlotAssigner::new(Duration::ZERO, Duration::from_secs(3), 1);
    /// assert!(shares.awaits_earlier_leases(Duration::from_secs(1)));
    /// assert!(!shares.awaits_earlier_leases(Duration::from_secs(9)));
    /// ```
    pub fn awaits_earlier_leases(&self, now: Duration) -> bool {
        now < self.quiet_until
    }

    /// Everything that is given out and not run out.
    ///
    /// ```
    /// # use std::time::Duration;
    /// assert!(upstream_registry::SlotAssigner::new(Duration::ZERO, Duration::from_secs(3), 1).assignments(Duration::ZERO).is_empty());
    /// ```
    pub fn assignments(&self, now: Duration) -> Vec<KeyShare> {
        self.runs(|_, owned| now < owned.until)
    }

    /// Chosen slots as runs of one owner and epoch.
    fn runs(&self, chosen: impl Fn(u32, &Slot) -> bool) -> Vec<KeyShare> {
        let picked = self
            .slots
            .iter()
            .filter(|(slot, owned)| chosen(**slot, owned));
        picked.fold(Vec::new(), |mut runs: Vec<KeyShare>, (slot, owned)| {
            match runs.last_mut() {
                Some(run)
                    if run.until == *slot
                        && run.epoch == owned.epoch
                        && run.instance == owned.owner =>
                {
                    run.until += 1;
                }
                _ => {
                    let instance = owned.owner.clone();
                    runs.push(KeyShare {
                        from: *slot,
                        until: slot + 1,
                        epoch: owned.epoch,
                        instance,
                        ..KeyShare::default()
                    })
                }
            }
            runs
        })
    }
}
