//! Grants of free keys, renewal of key leases, and revocation for balance.

use super::key_range::{KeyRange, Run, join_adjacent};
use super::load::LoadHistogram;
use super::messages::{Grant, KeyAssignment};
use super::range_table::{FreeKeys, KeyLease, RangeState};
use super::{ActiveInstances, FENCE_COUNTER_BITS, KeyRangeAssigner, rebalancing, reservation};
use std::time::Duration;

/// Where most keys are in the wrong place, this part of the interval between two steps is waited.
const LOPSIDED_DIVISOR: u32 = 5;

impl KeyRangeAssigner {
    /// Revokes keys where one instance has too many and another too few, unless other keys are moving.
    pub(super) fn rebalance(
        &mut self,
        now: Duration,
        active: &ActiveInstances,
        load: &LoadHistogram,
    ) {
        let is_moving = |state: &RangeState| state.lease().is_none_or(|lease| lease.is_revoked);
        // Where most keys are in the wrong place, the next step need not wait so long.
        let due_at = match rebalancing::is_lopsided(&self.table, active) {
            true => self.last_rebalance_at + self.terms.rebalance_interval / LOPSIDED_DIVISOR,
            false => self.last_rebalance_at + self.terms.rebalance_interval,
        };
        if now < due_at || self.table.iter().any(|(_, state)| is_moving(state)) {
            return;
        }
        let revoked = rebalancing::ranges_to_revoke(&self.table, active, load, self.key_count);
        if !revoked.is_empty() {
            self.last_rebalance_at = now;
        }
        for range in revoked {
            self.table.update_leases(range, |lease| {
                RangeState::Leased(KeyLease {
                    is_revoked: true,
                    ..lease
                })
            });
        }
    }

    /// Leaves keys that were to move with their owners, and reserves those that are on their way for the previous ones,
    /// as far as these may hold keys.
    pub(super) fn take_moves_back(&mut self, active: &ActiveInstances) {
        for state in self.table.states_mut() {
            match state {
                RangeState::Leased(lease) if active.contains_key(lease.owner.as_str()) => {
                    lease.is_revoked = lease.is_unlisted;
                }
                RangeState::Free(free) => {
                    let previous = free.previous_owner.clone();
                    let returning = previous.filter(|owner| active.contains_key(owner.as_str()));
                    free.reserved_for = returning.or(free.reserved_for.take());
                }
                RangeState::Leased(_) => {}
            }
        }
    }

    /// Reserves the free keys that are not reserved yet; all of them where other instances are active than before.
    fn reserve_free_keys(&mut self, active: &ActiveInstances, load: &LoadHistogram) {
        // Capacities change with each request, but reservations stay: new ones would pass by instances whose heartbeat
        // was answered already.
        let is_same_set = self
            .reserved_among
            .iter()
            .map(String::as_str)
            .eq(active.keys().copied());
        if !is_same_set {
            self.reserved_among = active.keys().map(|name| (*name).to_owned()).collect();
            self.clear_reservations();
        }
        let is_unreserved = |state: &RangeState| matches!(state, RangeState::Free(free) if free.reserved_for.is_none());
        if !self.table.iter().any(|(_, state)| is_unreserved(state)) {
            return;
        }
        for reservation in reservation::reserve(&self.table, active, load) {
            self.table.update_free(reservation.range, |free| {
                RangeState::Free(FreeKeys {
                    reserved_for: Some(reservation.value.to_owned()),
                    ..free
                })
            });
        }
    }

    fn clear_reservations(&mut self) {
        for state in self.table.states_mut() {
            if let RangeState::Free(free) = state {
                free.reserved_for = None;
            }
        }
        self.table.join_adjacent();
    }

    /// Grants an instance the free keys that are reserved for it, and those whose reservation nobody has taken up.
    pub(super) fn grant_free_keys(
        &mut self,
        now: Duration,
        instance: &str,
        active: &ActiveInstances,
        load: &LoadHistogram,
    ) {
        self.reserve_free_keys(active, load);
        self.take_over_abandoned(instance, active);
        self.grant_reserved_keys(now, instance);
        self.count_passed_heartbeats();
    }

    /// Grants an instance the free keys that are reserved for it, as far as it is on record for them.
    pub(super) fn grant_reserved_keys(&mut self, now: Duration, instance: &str) {
        let is_due = |state: &RangeState| state.reserved_for() == Some(instance);
        let due: Vec<KeyRange> = self
            .table
            .iter()
            .filter(|(_, state)| is_due(state))
            .flat_map(|(range, _)| self.grantable(range, instance))
            .collect();
        self.lease_keys(now, instance, due);
    }

    /// Grants an instance the free keys of which the last holder's record names it as the owner.
    pub(super) fn grant_recorded_keys(&mut self, now: Duration, instance: &str) {
        let free = self
            .table
            .iter()
            .filter(|(_, state)| state.lease().is_none());
        let due: Vec<KeyRange> = free
            .flat_map(|(range, _)| self.grantable(range, instance))
            .collect();
        self.lease_keys(now, instance, due);
    }

    /// Reserves for an instance what others left to lie for a round of heartbeats.
    fn take_over_abandoned(&mut self, instance: &str, active: &ActiveInstances) {
        for state in self.table.states_mut() {
            if let RangeState::Free(free) = state
                && free.passed_heartbeats > active.len()
            {
                free.reserved_for = Some(instance.to_owned());
                free.passed_heartbeats = 0;
            }
        }
    }

    /// Counts a heartbeat that left reservations as they are. One that is not on record yet is not left to lie.
    fn count_passed_heartbeats(&mut self) {
        if self.table.iter().all(|(_, state)| state.lease().is_some()) {
            return;
        }
        let is_grantable = |(range, state): (KeyRange, &RangeState)| {
            let owner = state.reserved_for().unwrap_or_default();
            !self.grantable(range, owner).is_empty()
        };
        let grantable: Vec<bool> = self.table.iter().map(is_grantable).collect();
        for (state, is_grantable) in self.table.states_mut().zip(grantable) {
            if let RangeState::Free(free) = state
                && is_grantable
            {
                free.passed_heartbeats += 1;
            }
        }
    }

    /// Leases free keys to an instance under a new fencing token.
    fn lease_keys(&mut self, now: Duration, instance: &str, due: Vec<KeyRange>) {
        if due.is_empty() || self.grant_count + 1 >= 1 << FENCE_COUNTER_BITS {
            return;
        }
        self.grant_count += 1;
        let fence = self.first_fence() + self.grant_count;
        let expires_at = self.lease_expiry(now);
        for range in due {
            self.table.update_free(range, |free| {
                RangeState::Leased(KeyLease {
                    owner: instance.to_owned(),
                    fence,
                    granted_at: now,
                    expires_at,
                    is_confirmed: false,
                    is_revoked: false,
                    is_unlisted: false,
                    handover: free.handover,
                })
            });
        }
    }

    /// Extends the leases of an instance that are not revoked.
    pub(super) fn renew_leases(&mut self, now: Duration, instance: &str) {
        let expires_at = self.lease_expiry(now);
        for state in self.table.states_mut() {
            match state {
                RangeState::Leased(lease) if lease.owner == instance && !lease.is_revoked => {
                    lease.expires_at = expires_at;
                }
                _ => {}
            }
        }
    }

    /// Revokes all leases of an instance, so that it releases the keys with handover tokens.
    pub(super) fn revoke_leases(&mut self, instance: &str) {
        for state in self.table.states_mut() {
            match state {
                RangeState::Leased(lease) if lease.owner == instance => lease.is_revoked = true,
                _ => {}
            }
        }
        self.table.join_adjacent();
    }

    /// Everything that an instance is to hold.
    pub(super) fn grants_of(&self, instance: &str) -> Vec<Grant> {
        let leased = self.table.iter().filter_map(|(range, state)| {
            let lease = state.lease_of(instance).filter(|lease| !lease.is_revoked)?;
            let value = (lease.fence, lease.handover.as_str());
            Some(Run { range, value })
        });
        join_adjacent(leased)
            .into_iter()
            .map(|run| {
                let (fence, handover) = run.value;
                Grant {
                    from: run.range.first,
                    to: run.range.last,
                    fence,
                    handover: handover.to_owned(),
                }
            })
            .collect()
    }

    /// Everything that is granted, in the order of the keys. Revoked keys are included until they are released.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// assert!(KeyRangeAssigner::new(second, terms, 100, 2, false).assignments(second).is_empty());
    /// ```
    pub fn assignments(&self, now: Duration) -> Vec<KeyAssignment> {
        let leased = self.table.iter().filter_map(|(range, state)| {
            let lease = state
                .lease()
                .filter(|lease| now < lease.expires_at && !lease.is_unlisted)?;
            let value = (lease.fence, lease.owner.as_str());
            Some(Run { range, value })
        });
        join_adjacent(leased)
            .into_iter()
            .map(|run| {
                let (fence, owner) = run.value;
                KeyAssignment {
                    from: run.range.first,
                    to: run.range.last,
                    fence,
                    instance: owner.to_owned(),
                }
            })
            .collect()
    }
}
