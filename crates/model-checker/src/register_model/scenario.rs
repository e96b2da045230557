//! Where an exploration of the register begins, how far it goes, and what its defects take away.

use super::submission::Submission;
use super::{NEVER, TICK};
use crate::network::Schedule;
use crate::voters::Replacement;
use quorum_register::RegisterTiming;

/// How often each thing may happen on one way through the model.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct RegisterBudget {
    /// Submissions of operators, retries included.
    pub submissions: u8,
    /// Reads of operators.
    pub reads: u8,
    /// Ticks of single nodes.
    pub ticks: u8,
    /// Messages delivered a second time.
    pub duplicates: u8,
    /// Crashes at once followed by a restart, each with every number of its unsynced writes persisted.
    pub crashes: u8,
    /// Disks replaced by blank ones while all others are complete.
    pub wipes: u8,
    /// Proposals to replace a voter, or to complete that.
    pub proposals: u8,
    /// Where everything comes in order and nothing is in flight: how often all nodes tick.
    pub rounds: u8,
}

/// Something taken away that an invariant rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegisterDefect {
    /// The code as it is.
    #[default]
    None,
    /// Half of the voters, rounded down, count as a majority.
    CountsMinority,
    /// Writes are reported as synced that are not.
    AcknowledgesBeforeSync,
    /// A crash takes back the last synced write.
    DiskForgetsSynced,
    /// A wiped disk comes back with its old disk id and initial voters.
    KeepsDiskIdAfterWipe,
    /// Reads are answered without asking a majority.
    ReadsWithoutQuorum,
    /// Operators retry a submission under a new id.
    RetriesUnderNewId,
    /// The version of a configuration gets lost on its way to the register.
    DropsVersions,
    /// The disk drops configurations that it was to store.
    DropsConfigurations,
    /// A voter that was replaced still counts, in the place of its successor.
    CountsReplacedVoter,
    /// A change of the voters that was begun is taken as completed.
    SkipsJointVoterSet,
}

/// Where an exploration begins, and how far it may go.
#[derive(Clone, Debug)]
pub struct RegisterScenario {
    /// The name that selects it.
    pub name: &'static str,
    /// How many voters there are.
    pub voters: usize,
    /// Nodes beside the voters, which may take the place of one.
    pub replicas: usize,
    /// Which voter may be replaced by which replica.
    pub replacements: Vec<Replacement>,
    /// The nodes that may propose it.
    pub proposers: Vec<usize>,
    /// True to begin after the last voter was replaced by the first replica.
    pub voter_replaced: bool,
    /// True to begin with blank disks; otherwise with a first configuration in force everywhere.
    pub starts_blank: bool,
    /// What operators may submit.
    pub submissions: Vec<Submission>,
    /// In which order messages and syncs may come.
    pub schedule: Schedule,
    /// How often each thing may happen.
    pub budget: RegisterBudget,
    /// Whether each tick begins a confirming read by itself, beside those that operators request.
    pub background_reads: bool,
    /// Whether a submission times out within two ticks.
    pub short_submission_timeout: bool,
}

impl RegisterScenario {
    /// A bootstrapped cluster and no submissions.
    ///
    /// ```
    /// assert_eq!(model_checker::RegisterScenario::new("quiet", 3).voters, 3);
    /// ```
    pub fn new(name: &'static str, voters: usize) -> Self {
        RegisterScenario {
            name,
            voters,
            replicas: 0,
            replacements: vec![Replacement::new(voters.saturating_sub(1), voters)],
            proposers: vec![0, 1],
            voter_replaced: false,
            starts_blank: false,
            submissions: Vec::new(),
            schedule: Schedule::AnyOrder,
            budget: RegisterBudget::default(),
            background_reads: false,
            short_submission_timeout: false,
        }
    }

    pub(super) fn times(&self) -> RegisterTiming {
        RegisterTiming {
            confirm_interval: if self.background_reads { TICK } else { NEVER },
            phase_timeout: TICK,
            change_timeout: if self.short_submission_timeout {
                TICK * 2
            } else {
                NEVER
            },
        }
    }
}
