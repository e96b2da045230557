//! Voters of the quorum register with their disks, the messages in flight and operators, as a [`Model`](crate::Model).
//!
//! Time is a choice: each node's clock stands still until a `Tick` moves it on by [`TICK`], past every time-out that
//! the scenario leaves short. A message that is lost is one that is never delivered, so losses need no action of
//! their own.

mod defects;
mod scenario;
mod steps;
mod submission;
mod transitions;
mod world;

pub use scenario::{RegisterBudget, RegisterDefect, RegisterScenario};
pub use submission::Submission;
pub use world::RegisterWorld;

use crate::cluster::{Cluster, ClusterModel, ModelNode};
use crate::disk::{Disk, WriteQueue};
use crate::model::{fingerprint_of, node_name};
use crate::register_history::SubmissionFacts;
use crate::voters::{Replacement, VoterChange, newest_voter_epoch};
use quorum_register::{Event, Register, RegisterConfig};
use std::sync::Arc;
use std::time::Duration;
use world::Node;

/// How far one tick moves a node's clock on.
const TICK: Duration = Duration::from_millis(200);
/// How far a read request moves it on: a round that is under way was sent earlier.
const READ_DELAY: Duration = Duration::from_micros(1);
/// A span that no exploration reaches.
const NEVER: Duration = Duration::from_secs(100_000);
/// How many times all nodes tick in each part of the undisturbed start.
const START_ROUNDS: usize = 60;
/// The id of the submission that the undisturbed start puts in force, and its token, which no other submission has.
const FIRST_SUBMISSION: &str = "first";
const BOOTSTRAP_TOKEN: u64 = u64::MAX;

/// The model of one scenario.
pub struct RegisterModel {
    scenario: RegisterScenario,
    defect: RegisterDefect,
    submission_facts: Vec<SubmissionFacts>,
    initial: RegisterWorld,
}

impl RegisterModel {
    /// The scenario on the code as it is.
    ///
    /// ```
    /// use model_checker::{Model, RegisterModel, RegisterScenario};
    /// let model = RegisterModel::new(RegisterScenario::new("quiet", 3));
    /// assert!(model.actions(&model.initial()).is_empty());
    /// ```
    pub fn new(scenario: RegisterScenario) -> Self {
        RegisterModel::with_defect(scenario, RegisterDefect::None)
    }

    /// The scenario with something taken away.
    ///
    /// ```
    /// use model_checker::{Model, RegisterDefect, RegisterModel, RegisterScenario};
    /// let scenario = RegisterScenario::new("quiet", 3);
    /// let model = RegisterModel::with_defect(scenario, RegisterDefect::CountsMinority);
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn with_defect(scenario: RegisterScenario, defect: RegisterDefect) -> Self {
        let initial = RegisterWorld {
            cluster: Cluster::new(scenario.schedule, scenario.budget.duplicates),
            history: Arc::default(),
            history_fingerprint: 0,
            remaining: scenario.budget,
            attempts: vec![0; scenario.submissions.len()],
        };
        let mut model = RegisterModel {
            submission_facts: scenario.submissions.iter().map(Submission::facts).collect(),
            initial,
            scenario,
            defect: RegisterDefect::None,
        };
        let voters = model.scenario.voters;
        for at in 0..voters {
            let node = model.start_node(at, voters, Disk::default(), Duration::ZERO, 0);
            model.initial.cluster.nodes.push(Arc::new(node));
        }
        if !model.scenario.starts_blank {
            model.initial = model.undisturbed_start();
        }
        model.defect = defect;
        model
    }

    /// The scenario's name.
    ///
    /// ```
    /// use model_checker::{RegisterModel, RegisterScenario};
    /// assert_eq!(RegisterModel::new(RegisterScenario::new("quiet", 3)).name(), "quiet");
    /// ```
    pub fn name(&self) -> &'static str {
        self.scenario.name
    }

    /// How many submissions were acknowledged as accepted, on the way to a state.
    ///
    /// ```
    /// use model_checker::{Model, RegisterModel, RegisterScenario};
    /// let model = RegisterModel::new(RegisterScenario::new("quiet", 3));
    /// assert_eq!(model.accepted_submissions(&model.initial()), 0);
    /// ```
    pub fn accepted_submissions(&self, world: &RegisterWorld) -> usize {
        world.history.accepted_submissions()
    }

    /// The epoch of the newest voters in force anywhere in a state.
    ///
    /// ```
    /// use model_checker::{Model, RegisterModel, RegisterScenario};
    /// let model = RegisterModel::new(RegisterScenario::new("quiet", 3));
    /// assert_eq!(model.voter_epoch(&model.initial()), 0);
    /// ```
    pub fn voter_epoch(&self, world: &RegisterWorld) -> u64 {
        newest_voter_epoch(&world.cluster.nodes)
    }

    fn start_node(
        &self,
        at: usize,
        peers: usize,
        disk: Disk,
        now: Duration,
        incarnation: u64,
    ) -> Node {
        let mut register = Register::new(RegisterConfig {
            node: node_name(at),
            initial_voter_count: self.scenario.voters,
            seed: fingerprint_of(&(at, incarnation)),
            durable: disk.durable.clone(),
            configurations: disk.configurations.clone(),
            timing: self.scenario.times(),
        });
        register.step(now, Event::Peers((0..peers).map(node_name).collect()));
        let mut node = Node {
            register,
            disk,
            disk_before: None,
            writes: WriteQueue::default(),
            now,
            incarnation,
            fingerprint: 0,
        };
        node.renew_fingerprint();
        node
    }

    /// Bootstraps the cluster and puts a first configuration in force everywhere, with no fault on the way.
    fn undisturbed_start(&self) -> RegisterWorld {
        let mut world = self.initial.clone();
        self.run_undisturbed(&mut world);
        let first = Submission::configuration(FIRST_SUBMISSION, None, &[]);
        let submitted = Event::Submit {
            request_id: BOOTSTRAP_TOKEN,
            change: first.change,
            bytes: first.bytes,
        };
        self.step(&mut world, 0, submitted);
        self.run_undisturbed(&mut world);
        self.add_replicas(&mut world);
        if self.scenario.voter_replaced {
            let replacement = Replacement::new(self.scenario.voters - 1, self.scenario.voters);
            self.change_voters(&mut world, 0, VoterChange::Begin(replacement));
            self.run_undisturbed(&mut world);
            self.change_voters(&mut world, 0, VoterChange::Complete);
            self.run_undisturbed(&mut world);
        }
        world.record(|history, _| {
            history.begin();
            Ok(())
        });
        world
    }

    fn run_undisturbed(&self, world: &mut RegisterWorld) {
        for _ in 0..START_ROUNDS {
            self.tick_all(world);
            self.deliver_all(world, None);
        }
    }

    /// Blank nodes beside the voters follow until they have everything.
    fn add_replicas(&self, world: &mut RegisterWorld) {
        let voters = self.scenario.voters;
        let all = voters + self.scenario.replicas;
        let now = world.cluster.nodes[0].now;
        for at in voters..all {
            let node = self.start_node(at, all, Disk::default(), now, 0);
            world.cluster.nodes.push(Arc::new(node));
        }
        let peers: Vec<String> = (0..all).map(node_name).collect();
        for at in 0..voters {
            self.step(world, at, Event::Peers(peers.clone()));
        }
        self.run_undisturbed(world);
    }
}
