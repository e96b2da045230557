//! The parameters and results of the measurement.

use crate::Flow;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// The parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Control nodes, all with a vote.
    pub nodes: usize,
    /// Routes of each submitted configuration.
    pub routes: usize,
    /// Configurations to submit in all.
    pub changes: usize,
    /// Virtual time between two submissions.
    pub gap: Duration,
    /// The first node's data folder, removed when the site is dropped. Without it all disks are simulated.
    pub folder: Option<PathBuf>,
}

/// The state of the first node's process and disk after some number of changes.
#[derive(Clone, Debug, Default)]
pub struct Checkpoint {
    /// Configurations submitted so far.
    pub changes: usize,
    /// Size of the data folder in bytes.
    pub folder_bytes: u64,
    /// Files in the data folder.
    pub files: usize,
    /// Wall-clock time to open the data folder and read its contents.
    pub open_took: Duration,
    /// Resident memory of the measuring process in bytes.
    pub resident_bytes: u64,
    /// Size of the durable state as it is stored, in bytes.
    pub state_bytes: usize,
    /// Bytes handed to the operating system to write, per change.
    pub written_per_change: u64,
}

/// Messages and their bytes, by kind of message.
pub type TrafficByKind = BTreeMap<&'static str, Flow>;

/// How a restarted node caught up.
#[derive(Clone, Debug)]
pub struct CatchUp {
    /// Until it had the state that was in force at its restart, confirmed by a majority; `None` if it never did.
    pub took: Option<Duration>,
    /// What was sent to it until then.
    pub received: TrafficByKind,
}

/// How a restarted node followed a series of changes, sampled after each of them.
#[derive(Clone, Debug)]
pub struct Following {
    /// How long ago a majority confirmed its state; `None` before the first confirmation, or without the configuration.
    pub ages: Vec<Option<Duration>>,
    /// How many revisions it was behind the first node.
    pub revisions_behind: Vec<u64>,
    /// Virtual time between two samples.
    pub gap: Duration,
    /// What was sent to it.
    pub received: TrafficByKind,
}

impl Following {
    /// How long it took until the node never again exceeded these limits; `None` if it did so at the last sample.
    pub fn caught_up_after(
        &self,
        max_age: Duration,
        max_revisions_behind: u64,
    ) -> Option<Duration> {
        let is_late = |(age, behind): (&Option<Duration>, &u64)| {
            age.is_none_or(|age| age > max_age) || *behind > max_revisions_behind
        };
        let samples = self.ages.iter().zip(&self.revisions_behind);
        let last_late = samples.map(is_late).rposition(|late| late);
        let samples_before = last_late.map_or(0, |at| at + 1);
        (samples_before < self.ages.len()).then(|| self.gap * samples_before as u32)
    }
}
