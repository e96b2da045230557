//! What a register starts from.

use protocol::DurableState;
use std::collections::BTreeMap;
use std::time::Duration;

/// The register's durations.
#[derive(Clone, Copy, Debug, Hash)]
pub struct RegisterTiming {
    /// How often a quorum is asked to confirm the state.
    pub confirm_interval: Duration,
    /// How long one phase of a round may take.
    pub phase_timeout: Duration,
    /// How long a change may wait for its decision.
    pub change_timeout: Duration,
}

impl Default for RegisterTiming {
    fn default() -> Self {
        RegisterTiming {
            confirm_interval: Duration::from_millis(500),
            phase_timeout: Duration::from_millis(700),
            change_timeout: Duration::from_millis(2500),
        }
    }
}

/// What a register starts from.
pub struct RegisterConfig {
    /// Name of this node.
    pub node: String,
    /// How many voters a bootstrap needs.
    pub initial_voter_count: usize,
    /// Seed of the random numbers drawn here.
    pub seed: u64,
    /// What the disk holds; the default on a blank disk.
    pub durable: DurableState,
    /// Undamaged configurations found on the disk, by digest.
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// Durations.
    pub timing: RegisterTiming,
}
