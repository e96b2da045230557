//! Who held the lease, as an observer outside the system sees it; its invariants are checked here.

use crate::model::{Invariant, Violation};
use lease::Lease;
use std::time::Duration;

/// Who held the lease, and under which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HeldLease {
    pub node: usize,
    pub incarnation: u64,
    pub epoch: u64,
    /// The node takes itself for the first holder of all.
    pub is_first: bool,
}

impl HeldLease {
    /// What a node holds at this reading of its clock.
    pub fn of(node: usize, incarnation: u64, lease: &Lease, clock: Duration) -> Option<Self> {
        let epoch = lease.held_epoch(clock)?;
        Some(HeldLease {
            node,
            incarnation,
            epoch,
            is_first: lease.is_first_holder(epoch),
        })
    }

    fn is_same(&self, other: &HeldLease) -> bool {
        (self.node, self.incarnation, self.epoch) == (other.node, other.incarnation, other.epoch)
    }
}

/// The last holder seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaseObserver {
    last: Option<HeldLease>,
}

impl LeaseObserver {
    /// True once any node held the lease.
    pub fn has_seen_holder(&self) -> bool {
        self.last.is_some()
    }

    /// The epoch of the last holder; 0 where there was none.
    pub fn last_epoch(&self) -> u64 {
        self.last.map_or(0, |held| held.epoch)
    }

    /// Checks all leases held at one moment: one at most, and each new one under a new, higher epoch.
    pub fn observe(&mut self, held: &[HeldLease]) -> Result<(), Violation> {
        if held.len() > 1 {
            return violated(Invariant::SingleLeaseHolder, format!("{held:?}"));
        }
        let Some(holder) = held.first().copied() else {
            return Ok(());
        };
        if let Some(last) = self.last {
            if last.is_same(&holder) {
                return Ok(());
            }
            check_successor(&last, &holder)?;
        }
        self.last = Some(holder);
        Ok(())
    }
}

fn check_successor(last: &HeldLease, holder: &HeldLease) -> Result<(), Violation> {
    if last.epoch >= holder.epoch {
        let detail = format!("{holder:?} comes after {last:?}");
        return violated(Invariant::MonotonicEpochs, detail);
    }
    if holder.is_first {
        let detail = format!("{holder:?} takes itself for the first");
        return violated(Invariant::MonotonicEpochs, detail);
    }
    Ok(())
}

fn violated(invariant: Invariant, detail: String) -> Result<(), Violation> {
    Err(Violation { invariant, detail })
}
