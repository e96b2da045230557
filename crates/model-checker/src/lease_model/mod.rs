//! Voters and candidates of the lease with their disks and drifting clocks, as a [`Model`](crate::Model).
//!
//! True time goes on by one quantum with each `Pass`, for all nodes at once; each reads it off a clock of its own that
//! runs fast or slow by as much as the bound allows. A node takes no notice before its `Tick`, so that one left out
//! for some passes is a paused node.

mod scenario;
mod steps;
mod transitions;
mod world;

pub use scenario::{LeaseBudget, LeaseDefect};
pub use world::LeaseWorld;

use crate::clocks::drifts;
use crate::cluster::{Cluster, ModelNode};
use crate::disk::WriteQueue;
use crate::lease_observer::LeaseObserver;
use crate::model::{fingerprint_of, node_name};
use lease::{Lease, LeaseTiming};
use std::sync::Arc;
use std::time::Duration;
use world::Node;

/// How long a grant lasts.
const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// By how much a holder ends its lease earlier than its voters do.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Just after all have been quiet for a lease's duration since their start.
const EXPLORED_FROM: Duration = Duration::from_millis(1530);
/// How often nodes tick until then.
const START_TICK: Duration = Duration::from_millis(90);

/// The model of one set of voters.
pub struct LeaseModel {
    defect: LeaseDefect,
    /// How far each node's clock is off, in thousandths.
    drifts: Vec<i64>,
    initial: LeaseWorld,
}

impl LeaseModel {
    /// So many voters, the code as it is, clocks as far apart as the bound allows.
    ///
    /// ```
    /// use model_checker::{LeaseBudget, LeaseModel, Model};
    /// let model = LeaseModel::new(3, LeaseBudget::default());
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn new(voters: usize, budget: LeaseBudget) -> Self {
        LeaseModel::with_defect(voters, budget, LeaseDefect::None)
    }

    /// The same with something taken away.
    ///
    /// ```
    /// use model_checker::{LeaseBudget, LeaseDefect, LeaseModel, Model};
    /// let model = LeaseModel::with_defect(3, LeaseBudget::default(), LeaseDefect::CountsMinority);
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn with_defect(voters: usize, budget: LeaseBudget, defect: LeaseDefect) -> Self {
        let initial = LeaseWorld {
            cluster: Cluster::new(budget.schedule, budget.duplicates),
            now: Duration::ZERO,
            lease_observer: LeaseObserver::default(),
            remaining: budget,
        };
        let mut model = LeaseModel {
            defect,
            drifts: drifts(voters),
            initial,
        };
        model.initial = model.undisturbed_start(voters);
        model
    }

    /// The epoch of the last node that held the lease on the way to a state; 0 where none did.
    ///
    /// ```
    /// use model_checker::{LeaseBudget, LeaseModel, Model};
    /// let model = LeaseModel::new(3, LeaseBudget::default());
    /// assert_eq!(model.last_epoch(&model.initial()), 0);
    /// ```
    pub fn last_epoch(&self, world: &LeaseWorld) -> u64 {
        world.lease_observer.last_epoch()
    }

    fn start_node(&self, at: usize, epoch: u64, started_at: Duration, incarnation: u64) -> Node {
        let forgets = self.defect == LeaseDefect::GrantsAfterRestart && incarnation > 0;
        // A voter waits for one lease's duration of its own clock, whatever time it starts at: the defect has none.
        let timing = if forgets {
            LeaseTiming::new(Duration::ZERO, Duration::ZERO)
        } else {
            lease_timing()
        };
        Node {
            lease: Lease::new(node_name(at), timing, fingerprint_of(&(at, incarnation))),
            epoch,
            writes: WriteQueue::default(),
            is_paused: false,
            started_at,
            incarnation,
            fingerprint: 0,
        }
    }

    /// All start together and wait until they may grant.
    fn undisturbed_start(&self, voters: usize) -> LeaseWorld {
        let mut world = self.initial.clone();
        world.cluster.nodes = (0..voters)
            .map(|at| Arc::new(self.start_node(at, 0, Duration::ZERO, 0)))
            .collect();
        while world.now < EXPLORED_FROM {
            for at in 0..voters {
                self.tick(&mut world, at);
            }
            world.now += START_TICK;
        }
        for at in 0..voters {
            world.cluster.node_mut(at).renew_fingerprint();
        }
        world
    }
}

/// The lease's timing where ticks are far apart and clocks drift but never jump.
pub(crate) fn lease_timing() -> LeaseTiming {
    LeaseTiming {
        max_step: Duration::MAX,
        ..LeaseTiming::new(LEASE_DURATION, SAFETY_MARGIN)
    }
}
