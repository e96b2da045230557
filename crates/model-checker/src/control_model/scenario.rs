//! Where an exploration of register and lease begins, how far it goes, and what its defects take away.

use crate::network::Schedule;
use crate::voters::Replacement;
use std::time::Duration;

/// How often each thing may happen on one way through the model.
#[derive(Clone, Copy, Debug, Hash)]
pub struct ControlBudget {
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
    /// Disks replaced by blank ones while all others are complete.
    pub wipes: u8,
    /// Proposals to replace a voter, or to complete that.
    pub proposals: u8,
}

impl Default for ControlBudget {
    /// Some passes and one replacement, without a fault.
    fn default() -> Self {
        ControlBudget {
            quantum: Duration::from_millis(490),
            passes: 6,
            schedule: Schedule::InOrder { delays: 0 },
            duplicates: 0,
            crashes: 0,
            wipes: 0,
            proposals: 2,
        }
    }
}

/// Something taken away that an invariant rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlDefect {
    /// The code as it is.
    #[default]
    None,
    /// A node that has taken a voter's place grants the lease at once.
    NewVoterGrantsAtOnce,
    /// A changed state tells nobody which lease epochs were granted.
    AcceptsWithoutEpoch,
    /// Voters commit a change as soon as it is begun.
    SkipsJointVoterSet,
}

/// Where an exploration begins, and how far it may go.
#[derive(Clone, Debug)]
pub struct ControlScenario {
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
    /// Begin with the lease held, and with this node not having heard of it; otherwise with nobody having asked for it.
    pub uninformed_node: Option<usize>,
    /// Begin right after the first of the replacements was begun, by the first of the proposers.
    pub change_begun: bool,
    /// How often each thing may happen.
    pub budget: ControlBudget,
}

impl ControlScenario {
    /// A bootstrapped cluster with one replica that may take the place of the last voter.
    ///
    /// ```
    /// assert_eq!(model_checker::ControlScenario::new("quiet", 3).replicas, 1);
    /// ```
    pub fn new(name: &'static str, voters: usize) -> Self {
        ControlScenario {
            name,
            voters,
            replicas: 1,
            replacements: vec![Replacement::new(voters.saturating_sub(1), voters)],
            proposers: (0..voters).collect(),
            uninformed_node: None,
            change_begun: false,
            budget: ControlBudget::default(),
        }
    }

    pub(super) fn nodes(&self) -> usize {
        self.voters + self.replicas
    }
}
