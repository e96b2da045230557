//! Key leases: what a heartbeat confirms or releases, what expires, and what a new holder of the placement lease adopts.

use super::KeyRangeAssigner;
use super::key_range::KeyRange;
use super::messages::{Heartbeat, HeldKeyRange, MAX_HANDOVER_TOKEN_BYTES};
use super::range_table::{FreeKeys, KeyLease, RangeState};
use std::time::Duration;

impl KeyRangeAssigner {
    /// Frees keys whose lease has expired.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        for state in self.table.states_mut() {
            if let Some(lease) = state.lease().filter(|lease| now >= lease.expires_at) {
                // A token from before the lease's end is the previous owner's only where that one has released the keys.
                *state = freed(lease, lease.is_unlisted);
            }
        }
        self.table.join_adjacent();
    }

    /// What the upstream lists, it holds; what it no longer lists, it has released.
    pub(super) fn apply_listed_ranges(&mut self, now: Duration, heartbeat: &Heartbeat) {
        let all_keys = KeyRange::new(0, self.key_count.saturating_sub(1));
        for (range, state) in self.table.within(all_keys) {
            let RangeState::Leased(lease) = state else {
                continue;
            };
            if lease.owner != heartbeat.instance {
                continue;
            }
            let (listed, missing) = split_by_listed(range, lease.fence, &heartbeat.holdings);
            let confirmed = KeyLease {
                is_confirmed: true,
                is_unlisted: false,
                handover: String::new(),
                ..lease.clone()
            };
            for range in listed {
                self.table.set(range, RangeState::Leased(confirmed.clone()));
            }
            let unlisted = self.after_omission(now, lease);
            for range in missing {
                self.table.set(range, unlisted.clone());
            }
        }
    }

    /// The state of keys that their owner doesn't list.
    fn after_omission(&self, now: Duration, lease: KeyLease) -> RangeState {
        if !self.terms.accepts_late_responses {
            // A grant that never took effect keeps its token, unless it may have taken effect and expired since.
            let is_recent = now + self.terms.lease_duration / 2 < lease.expires_at;
            return freed(&lease, is_recent);
        }
        let response_time = self.terms.with_clock_error(self.terms.response_timeout);
        if !lease.is_confirmed && now < lease.granted_at + response_time {
            return RangeState::Leased(lease);
        }
        // Nothing shows that this heartbeat was sent after the last response lost its effect: the lease must expire.
        RangeState::Leased(KeyLease {
            is_revoked: true,
            is_unlisted: true,
            ..lease
        })
    }

    /// Keeps the tokens of released keys for whoever is granted them next.
    pub(super) fn store_handover_tokens(&mut self, heartbeat: &Heartbeat) {
        for row in &heartbeat.released {
            let Some(released) = KeyRange::of_released(row, self.key_count) else {
                continue;
            };
            if row.handover.len() > MAX_HANDOVER_TOKEN_BYTES {
                continue;
            }
            for (range, state) in self.table.within(released) {
                let state = with_token(state, &heartbeat.instance, &row.handover);
                if let Some(state) = state {
                    self.table.set(range, state);
                }
            }
        }
    }

    /// Adopts what an upstream was granted by an earlier holder of the placement lease. Where two upstreams list a key,
    /// the later grant counts.
    pub(super) fn adopt_listed_ranges(&mut self, now: Duration, heartbeat: &Heartbeat) {
        let first_own_fence = self.first_fence();
        for row in &heartbeat.holdings {
            let Some(listed) = KeyRange::of_held(row, self.key_count) else {
                continue;
            };
            if row.fence >= first_own_fence {
                continue;
            }
            let adopted = KeyLease {
                owner: heartbeat.instance.clone(),
                fence: row.fence,
                granted_at: now,
                expires_at: self.lease_expiry(now),
                is_confirmed: true,
                is_revoked: false,
                is_unlisted: false,
                handover: String::new(),
            };
            for (range, state) in self.table.within(listed) {
                if state.lease().is_some_and(|other| other.fence >= row.fence) {
                    continue;
                }
                // By the last holder's record others may own parts of it.
                let parts = match self.is_restored() {
                    true => self.grantable(range, &heartbeat.instance),
                    false => vec![range],
                };
                for part in parts {
                    self.table.set(part, RangeState::Leased(adopted.clone()));
                }
            }
        }
    }
}

/// Keys whose lease has ended, with or without the handover token on record.
fn freed(lease: &KeyLease, keeps_token: bool) -> RangeState {
    let handover = match keeps_token {
        true => lease.handover.clone(),
        false => String::new(),
    };
    RangeState::Free(FreeKeys {
        previous_owner: Some(lease.owner.clone()),
        handover,
        ..FreeKeys::default()
    })
}

/// The state with a handover token from the upstream that released the keys; none where it wasn't their owner.
fn with_token(state: RangeState, releaser: &str, token: &str) -> Option<RangeState> {
    let handover = token.to_owned();
    match state {
        RangeState::Free(free)
            if free
                .previous_owner
                .as_ref()
                .is_none_or(|previous| previous == releaser) =>
        {
            Some(RangeState::Free(FreeKeys { handover, ..free }))
        }
        RangeState::Leased(lease) if lease.is_unlisted && lease.owner == releaser => {
            Some(RangeState::Leased(KeyLease { handover, ..lease }))
        }
        _ => None,
    }
}

/// The parts of a range that a heartbeat lists under the range's fence, and those that it doesn't.
fn split_by_listed(
    range: KeyRange,
    fence: u64,
    rows: &[HeldKeyRange],
) -> (Vec<KeyRange>, Vec<KeyRange>) {
    let mut listed: Vec<KeyRange> = rows
        .iter()
        .filter(|row| row.fence == fence && row.from <= row.to)
        .filter_map(|row| range.intersection(&KeyRange::new(row.from, row.to)))
        .collect();
    listed.sort_unstable();
    let mut missing = Vec::new();
    let mut next = range.first;
    for part in &listed {
        if part.first > next {
            missing.push(KeyRange::new(next, part.first - 1));
        }
        next = next.max(part.last + 1);
    }
    if next <= range.last {
        missing.push(KeyRange::new(next, range.last));
    }
    (listed, missing)
}
