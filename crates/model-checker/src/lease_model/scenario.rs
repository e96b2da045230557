//! How far an exploration of the lease goes, and what its defects take away.

use crate::network::Schedule;
use std::time::Duration;

/// How often each thing may happen on one way through the model.
#[derive(Clone, Copy, Debug, Hash)]
pub struct LeaseBudget {
    /// How much true time one pass takes.
    pub quantum: Duration,
    /// How often time passes.
    pub passes: u8,
    /// In which order messages and syncs may come.
    pub schedule: Schedule,
    /// Messages delivered a second time.
    pub duplicates: u8,
    /// Crashes at once followed by a restart, each with every number of its unsynced writes persisted.
    pub crashes: u8,
    /// Disks replaced by blank ones, repaired from a majority of the others.
    pub wipes: u8,
    /// Nodes that are paused, each until any later moment; only where everything else comes in order, since a node
    /// that any order leaves out is paused anyway.
    pub freezes: u8,
}

impl Default for LeaseBudget {
    /// Some passes, and no fault.
    fn default() -> Self {
        LeaseBudget {
            quantum: Duration::from_millis(490),
            passes: 4,
            schedule: Schedule::AnyOrder,
            duplicates: 0,
            crashes: 0,
            wipes: 0,
            freezes: 0,
        }
    }
}

/// Something taken away that an invariant rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseDefect {
    /// The code as it is.
    #[default]
    None,
    /// A restarted voter grants at once, though it has forgotten whom it granted, and goes on to forget.
    GrantsAfterRestart,
    /// Half of the voters, rounded down, count as a majority.
    CountsMinority,
    /// Of an even number of voters either half counts as a quorum.
    BothHalvesDecide,
    /// Epochs are reported as synced that are not.
    AcknowledgesBeforeSync,
    /// A repaired voter does not learn which epochs were granted.
    RepairsWithoutEpoch,
    /// The clock of one node goes far too slow.
    ClocksOffBound,
}
