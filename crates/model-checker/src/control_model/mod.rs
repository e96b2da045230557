//! Control nodes with the real register and the real lease in one world, as a [`Model`](crate::Model): the voters
//! change while leases are requested, held and renewed.
//!
//! A node is put together as the control plane puts it together: the lease learns its voters from the register's newest
//! state before each of its steps, and its epochs are on the register's disk. True time goes on for all nodes at once,
//! and each reads it off its own drifting clock.

mod defects;
mod scenario;
mod steps;
mod transitions;
mod world;

pub use scenario::{ControlBudget, ControlDefect, ControlScenario};
pub use world::ControlWorld;

use crate::clocks::drifts;
use crate::cluster::{Cluster, ClusterModel};
use crate::disk::{Disk, WriteQueue};
use crate::lease_model::lease_timing;
use crate::lease_observer::LeaseObserver;
use crate::model::{fingerprint_of, node_name};
use crate::voters::newest_voter_epoch;
use lease::Lease;
use quorum_register::{Change, Event, Register, RegisterConfig, RegisterTiming};
use std::sync::Arc;
use std::time::Duration;
use world::Node;

/// A span that no exploration reaches.
const NEVER: Duration = Duration::from_secs(100_000);
/// How often, and how far apart, all nodes tick in each part of the undisturbed start.
const START_ROUNDS: usize = 40;
const START_TICK: Duration = Duration::from_millis(90);
/// So many of these pass until every voter has been quiet for a lease's duration, by the slowest clock.
const QUIET_ROUNDS: usize = 17;
/// Within so many further ones some node holds the lease.
const HELD_ROUNDS: usize = 40;

/// The model of one scenario.
pub struct ControlModel {
    scenario: ControlScenario,
    defect: ControlDefect,
    /// How far each node's clock is off, in thousandths.
    drifts: Vec<i64>,
    initial: ControlWorld,
}

impl ControlModel {
    /// The scenario on the code as it is.
    ///
    /// ```
    /// use model_checker::{ControlModel, ControlScenario, Model};
    /// let model = ControlModel::new(ControlScenario::new("quiet", 3));
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn new(scenario: ControlScenario) -> Self {
        ControlModel::with_defect(scenario, ControlDefect::None)
    }

    /// The scenario with something taken away.
    ///
    /// ```
    /// use model_checker::{ControlDefect, ControlModel, ControlScenario, Model};
    /// let scenario = ControlScenario::new("quiet", 3);
    /// let model = ControlModel::with_defect(scenario, ControlDefect::AcceptsWithoutEpoch);
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn with_defect(scenario: ControlScenario, defect: ControlDefect) -> Self {
        let budget = scenario.budget;
        let initial = ControlWorld {
            cluster: Cluster::new(budget.schedule, budget.duplicates),
            now: Duration::ZERO,
            leases_run: false,
            lease_observer: LeaseObserver::default(),
            history: Arc::default(),
            history_fingerprint: 0,
            remaining: budget,
        };
        let mut model = ControlModel {
            drifts: drifts(scenario.nodes()),
            scenario,
            defect: ControlDefect::None,
            initial,
        };
        model.initial = model.bootstrapped_start();
        model.defect = defect;
        model.initial = model.scenario_start();
        model
    }

    /// The epoch of the last node that held the lease on the way to a state; 0 where none did.
    ///
    /// ```
    /// use model_checker::{ControlModel, ControlScenario, Model};
    /// let model = ControlModel::new(ControlScenario::new("quiet", 3));
    /// assert_eq!(model.last_epoch(&model.initial()), 0);
    /// ```
    pub fn last_epoch(&self, world: &ControlWorld) -> u64 {
        world.lease_observer.last_epoch()
    }

    /// The epoch of the newest voters in force anywhere in a state.
    ///
    /// ```
    /// use model_checker::{ControlModel, ControlScenario, Model};
    /// let model = ControlModel::new(ControlScenario::new("quiet", 3));
    /// assert_eq!(model.voter_epoch(&model.initial()), 0);
    /// ```
    pub fn voter_epoch(&self, world: &ControlWorld) -> u64 {
        newest_voter_epoch(&world.cluster.nodes)
    }

    fn start_node(
        &self,
        at: usize,
        peers: usize,
        disk: Disk,
        started_at: Duration,
        incarnation: u64,
    ) -> Node {
        let seed = fingerprint_of(&(at, incarnation));
        let mut register = Register::new(RegisterConfig {
            node: node_name(at),
            initial_voter_count: self.scenario.voters,
            seed,
            durable: disk.durable.clone(),
            configurations: disk.configurations.clone(),
            timing: RegisterTiming {
                confirm_interval: NEVER,
                ..Default::default()
            },
        });
        let peers = Event::Peers((0..peers).map(node_name).collect());
        register.step(Duration::ZERO, peers);
        Node {
            register,
            lease: Lease::new(node_name(at), lease_timing(), seed),
            disk,
            writes: WriteQueue::default(),
            started_at,
            incarnation,
            fingerprint: 0,
        }
    }

    fn start_blank_nodes(
        &self,
        world: &mut ControlWorld,
        nodes: std::ops::Range<usize>,
        peers: usize,
    ) {
        for at in nodes {
            let node = self.start_node(at, peers, Disk::default(), world.now, 0);
            world.cluster.nodes.push(Arc::new(node));
        }
    }

    /// Bootstraps the cluster, lets replicas follow, and waits until every voter may grant the lease.
    fn bootstrapped_start(&self) -> ControlWorld {
        let mut world = self.initial.clone();
        let (voters, all) = (self.scenario.voters, self.scenario.nodes());
        self.start_blank_nodes(&mut world, 0..voters, voters);
        self.run_undisturbed(&mut world, START_ROUNDS, None);
        self.start_blank_nodes(&mut world, voters..all, all);
        let peers: Vec<String> = (0..all).map(node_name).collect();
        for at in 0..voters {
            self.step_register(&mut world, at, Event::Peers(peers.clone()));
        }
        self.run_undisturbed(&mut world, START_ROUNDS, None);
        for at in 0..all {
            self.step_register(&mut world, at, Event::Propose(Change::FinishRound));
        }
        self.run_undisturbed(&mut world, START_ROUNDS, None);
        world.record(|history, _| {
            history.begin();
            Ok(())
        });
        world.leases_run = true;
        self.run_undisturbed(&mut world, QUIET_ROUNDS, None);
        world
    }

    /// From there to where the scenario begins.
    fn scenario_start(&self) -> ControlWorld {
        let mut world = self.initial.clone();
        if self.scenario.uninformed_node.is_some() {
            self.run_until_lease_is_held(&mut world);
        }
        if let (true, Some(replacement)) = (
            self.scenario.change_begun,
            self.scenario.replacements.first(),
        ) {
            let proposer = self.scenario.proposers[0];
            let voter_set = &world.cluster.nodes[proposer].register.state().voter_set;
            let proposal = replacement.proposal(voter_set);
            self.step_register(&mut world, proposer, Event::Propose(proposal));
            self.run_undisturbed(&mut world, 1, None);
        }
        world
    }

    fn run_until_lease_is_held(&self, world: &mut ControlWorld) {
        for _ in 0..HELD_ROUNDS {
            if world.lease_observer.has_seen_holder() {
                return;
            }
            self.run_undisturbed(world, 1, self.scenario.uninformed_node);
        }
    }

    /// So many rounds of ticks in which everything arrives, but for the messages of a partitioned node.
    fn run_undisturbed(&self, world: &mut ControlWorld, rounds: usize, partitioned: Option<usize>) {
        for _ in 0..rounds {
            self.pass(world, START_TICK);
            self.deliver_all(world, partitioned);
        }
    }
}
