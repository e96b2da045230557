//! Where an exploration of the register begins, how far it goes, and what is taken away in its broken twins.

use super::order::Order;
use super::{NEVER, TICK};
use crate::network::Schedule;
use quorum_register::RegisterTiming;

/// How often each thing may happen on one way through the model.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct RegisterBudget {
    /// Sendings of orders, resent ones included.
    pub asks: u8,
    pub reads: u8,
    pub ticks: u8,
    /// Messages delivered a second time.
    pub duplicates: u8,
    /// Crashes at once followed by a restart, each with every number of its unsynced writes kept.
    pub crashes: u8,
    /// Disks replaced by blank ones while all others are whole.
    pub wipes: u8,
    /// Proposals to replace a voter, or to complete that.
    pub proposals: u8,
    /// Where everything comes in order and nothing is left to come: how often all nodes tick.
    pub rounds: u8,
}

/// Something taken away that an invariant rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegisterDefect {
    #[default]
    None,
    /// Half of the voters, rounded down, count as a majority.
    CountsMinority,
    /// The shell reports writes as synced that are not.
    AnswersBeforeSync,
    /// A crash takes back the last synced write.
    DiskForgetsSynced,
    /// A wiped disk comes back with its old identity mark and roster.
    KeepsMarkAfterWipe,
    /// Reads are answered without asking a majority.
    ReadsLocally,
    /// Operators send an order again as a new one.
    ResendsAsNew,
    /// The number of an order gets lost on its way to the register.
    LosesNumbers,
    /// The disk drops configurations that it was told to keep.
    DropsBytes,
    /// A voter that was replaced still counts, in the place of its successor.
    CountsReplacedVoter,
    /// A change of the voters that was begun is taken as done.
    SkipsJointVoters,
}

/// Where an exploration begins, and how far it may go.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub voters: usize,
    /// Nodes beside the voters, which may take the place of one.
    pub replicas: usize,
    /// Which voter may lose its place to which replica.
    pub replacements: Vec<(usize, usize)>,
    /// The nodes that may propose it.
    pub proposers: Vec<usize>,
    /// True to begin after the last voter was replaced by the first replica.
    pub replaced: bool,
    /// True to begin with blank disks; otherwise with a first configuration in force everywhere.
    pub blank: bool,
    pub orders: Vec<Order>,
    pub schedule: Schedule,
    pub budget: RegisterBudget,
    /// Whether readings begin by themselves with each tick, beside those that operators ask for.
    pub reads_by_itself: bool,
    /// Whether an order's patience ends with a tick.
    pub impatient: bool,
}

impl Scenario {
    /// A founded roster and no orders.
    ///
    /// ```
    /// assert_eq!(model_checker::Scenario::new("quiet", 3).voters, 3);
    /// ```
    pub fn new(name: &'static str, voters: usize) -> Self {
        let (orders, budget) = (Vec::new(), RegisterBudget::default());
        let schedule = Schedule::AnyOrder;
        Scenario {
            name,
            voters,
            replicas: 0,
            replacements: vec![(voters.saturating_sub(1), voters)],
            proposers: vec![0, 1],
            replaced: false,
            blank: false,
            orders,
            schedule,
            budget,
            reads_by_itself: false,
            impatient: false,
        }
    }

    pub(super) fn times(&self) -> RegisterTiming {
        RegisterTiming {
            confirm_interval: if self.reads_by_itself { TICK } else { NEVER },
            phase_timeout: TICK,
            change_timeout: if self.impatient { TICK * 2 } else { NEVER },
        }
    }
}
