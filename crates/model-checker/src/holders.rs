//! Who held the lease, as an observer outside the system sees it; its invariants are judged here.

use crate::model::{Invariant, Violation};

/// Who held the lease, and under which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holding {
    pub node: usize,
    pub life: u64,
    pub epoch: u64,
    /// It takes itself for the first holder of all.
    pub founder: bool,
}

impl Holding {
    fn is_same(&self, other: &Holding) -> bool {
        (self.node, self.life, self.epoch) == (other.node, other.life, other.epoch)
    }
}

/// The last holder seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Holders {
    pub last: Option<Holding>,
}

impl Holders {
    /// All who hold the lease at this moment: one at most, and each new one under a new, higher epoch.
    pub fn observe(&mut self, holders: &[Holding]) -> Result<(), Violation> {
        let broken = |invariant, detail| Err(Violation { invariant, detail });
        if holders.len() > 1 {
            return broken(Invariant::OneHolder, format!("{holders:?}"));
        }
        let new = holders
            .first()
            .filter(|holder| !self.last.is_some_and(|last| last.is_same(holder)));
        let Some(holder) = new.copied() else {
            return Ok(());
        };
        if let Some(last) = self.last.filter(|last| last.epoch >= holder.epoch) {
            return broken(
                Invariant::EpochsRise,
                format!("{holder:?} comes after {last:?}"),
            );
        }
        if self.last.is_some() && holder.founder {
            return broken(
                Invariant::EpochsRise,
                format!("{holder:?} takes itself for the first"),
            );
        }
        self.last = Some(holder);
        Ok(())
    }
}
