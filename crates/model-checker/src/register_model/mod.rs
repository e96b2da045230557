//! Voters of the quorum register with their disks, the messages in flight and operators, as a [`Model`].
//!
//! Time is a choice: each node's clock stands still until a `Tick` moves it on by [`TICK`], past every timeout that
//! the scenario leaves short. A message that is lost is one that is never delivered, so losses need no action of
//! their own.

mod defects;
mod order;
mod play;
mod scenario;
mod steps;
mod world;

pub use order::Order;
pub use scenario::{RegisterBudget, RegisterDefect, Scenario};
pub use world::RegisterWorld;

use crate::disk::Disk;
use crate::model::{fingerprint_of, node_index, node_name};
use crate::network::Network;
use crate::register_history::OrderFacts;
use crate::traffic;
use quorum_register::{Change, Event, Register, RegisterConfig, VoterPhase};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use world::{Node, RegisterAction};

/// How far one tick moves a node's clock on.
const TICK: Duration = Duration::from_millis(200);
/// How far asking for a read moves it on: a question that is under way was sent earlier.
const MOMENT: Duration = Duration::from_micros(1);
/// A span that no exploration reaches.
const NEVER: Duration = Duration::from_secs(100_000);
/// How many times all nodes tick in each part of the undisturbed start.
const START_ROUNDS: usize = 60;
/// The order that the undisturbed start puts in force.
const FIRST_ORDER: &str = "first";

/// The model of one scenario.
pub struct RegisterModel {
    scenario: Scenario,
    defect: RegisterDefect,
    facts: Vec<OrderFacts>,
    initial: RegisterWorld,
}

impl RegisterModel {
    /// The scenario on the code as it is.
    ///
    /// ```
    /// use model_checker::{Model, RegisterModel, Scenario};
    /// let model = RegisterModel::new(Scenario::new("quiet", 3));
    /// assert!(model.actions(&model.initial()).is_empty());
    /// ```
    pub fn new(scenario: Scenario) -> Self {
        RegisterModel::with_defect(scenario, RegisterDefect::None)
    }

    /// The scenario with something taken away.
    ///
    /// ```
    /// use model_checker::{Model, RegisterDefect, RegisterModel, Scenario};
    /// let model = RegisterModel::with_defect(Scenario::new("quiet", 3), RegisterDefect::CountsMinority);
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn with_defect(scenario: Scenario, defect: RegisterDefect) -> Self {
        let facts = scenario.orders.iter().map(Order::facts).collect();
        let asked = vec![0; scenario.orders.len()];
        let mut model = RegisterModel {
            facts,
            initial: RegisterWorld {
                nodes: Vec::new(),
                network: Network::new(scenario.schedule),
                history: Arc::default(),
                history_fingerprint: 0,
                left: scenario.budget,
                strays_left: traffic::strays_of(scenario.schedule),
                asked,
                violation: None,
            },
            scenario,
            defect: RegisterDefect::None,
        };
        let voters = model.scenario.voters;
        let born = |at| Arc::new(model.start_node(at, voters, Disk::default(), Duration::ZERO, 0));
        let nodes = (0..voters).map(born).collect();
        model.initial.nodes = nodes;
        if !model.scenario.blank {
            model.initial = model.undisturbed_start();
        }
        model.defect = defect;
        model
    }

    /// The scenario's name.
    ///
    /// ```
    /// use model_checker::{RegisterModel, Scenario};
    /// assert_eq!(RegisterModel::new(Scenario::new("quiet", 3)).name(), "quiet");
    /// ```
    pub fn name(&self) -> &'static str {
        self.scenario.name
    }

    /// How many orders some operator was told are accepted, on the way to a state.
    ///
    /// ```
    /// use model_checker::{Model, RegisterModel, Scenario};
    /// let model = RegisterModel::new(Scenario::new("quiet", 3));
    /// assert_eq!(model.accepted_orders(&model.initial()), 0);
    /// ```
    pub fn accepted_orders(&self, world: &RegisterWorld) -> usize {
        world.history.accepted_orders()
    }

    /// The epoch of the newest voters in force anywhere in a state.
    ///
    /// ```
    /// use model_checker::{Model, RegisterModel, Scenario};
    /// let model = RegisterModel::new(Scenario::new("quiet", 3));
    /// assert_eq!(model.voter_epoch(&model.initial()), 0);
    /// ```
    pub fn voter_epoch(&self, world: &RegisterWorld) -> u64 {
        world
            .nodes
            .iter()
            .map(|node| node.register.state().voter_set.epoch)
            .max()
            .unwrap_or(0)
    }

    fn start_node(&self, at: usize, peers: usize, disk: Disk, now: Duration, lives: u64) -> Node {
        let mut register = Register::new(RegisterConfig {
            me: node_name(at),
            initial_voter_count: self.scenario.voters,
            seed: fingerprint_of(&(at, lives)),
            durable: disk.durable.clone(),
            configurations: disk.configurations.clone(),
            times: self.scenario.times(),
        });
        register.step(now, Event::Peers((0..peers).map(node_name).collect()));
        let writes = VecDeque::new();
        let (disk_before, disk_is_stray) = (None, false);
        let mut node = Node {
            register,
            disk,
            disk_before,
            writes,
            disk_is_stray,
            now,
            lives,
            fingerprint: 0,
        };
        node.renew_fingerprint();
        node
    }

    /// Founds the roster and puts a first configuration in force everywhere, with no fault on the way.
    fn undisturbed_start(&self) -> RegisterWorld {
        let mut world = self.initial.clone();
        self.run_undisturbed(&mut world);
        let Order { change, bytes, .. } = Order::configuration(FIRST_ORDER, None, &[]);
        self.step(
            &mut world,
            0,
            Event::Submit {
                request_id: u64::MAX,
                change,
                bytes,
            },
        );
        self.run_undisturbed(&mut world);
        self.add_replicas(&mut world);
        if self.scenario.replaced {
            let (gone, successor) = (self.scenario.voters - 1, self.scenario.voters);
            self.begin_voters(&mut world, 0, gone, successor);
            self.run_undisturbed(&mut world);
            self.complete_voters(&mut world, 0);
            self.run_undisturbed(&mut world);
        }
        world.record(|history, _| {
            history.begin();
            Ok(())
        });
        world
    }

    fn run_undisturbed(&self, world: &mut RegisterWorld) {
        (0..START_ROUNDS).for_each(|_| {
            (0..world.nodes.len()).for_each(|node| self.tick(world, node));
            self.sync_all(world);
            while let Some(in_flight) = world.network.take_first() {
                self.deliver(world, &in_flight);
                self.sync_all(world);
            }
        });
    }

    fn sync_all(&self, world: &mut RegisterWorld) {
        (0..world.nodes.len()).for_each(|node| while self.sync(world, node) {});
    }

    /// Blank nodes beside the voters follow until they hold everything.
    fn add_replicas(&self, world: &mut RegisterWorld) {
        let (voters, replicas) = (self.scenario.voters, self.scenario.replicas);
        let now = world.nodes[0].now;
        let born = |at| Arc::new(self.start_node(at, voters + replicas, Disk::default(), now, 0));
        world.nodes.extend((voters..voters + replicas).map(born));
        let peers: Vec<String> = (0..world.nodes.len()).map(node_name).collect();
        (0..voters).for_each(|at| self.step(world, at, Event::Peers(peers.clone())));
        self.run_undisturbed(world);
    }

    fn begin_voters(&self, world: &mut RegisterWorld, at: usize, gone: usize, successor: usize) {
        let voter_set = &world.nodes[at].register.state().voter_set;
        let stays = |voter: &&String| node_index(voter) != gone;
        let voters = voter_set
            .voters
            .iter()
            .filter(stays)
            .cloned()
            .chain([node_name(successor)])
            .collect();
        let change = Change::BeginVoters {
            epoch: voter_set.epoch,
            voters,
        };
        self.step(world, at, Event::Propose(change));
    }

    fn complete_voters(&self, world: &mut RegisterWorld, at: usize) {
        let epoch = world.nodes[at].register.state().voter_set.epoch;
        self.step(world, at, Event::Propose(Change::CompleteVoters { epoch }));
    }

    /// Every replacement that some node may propose by what it knows.
    fn proposals(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let active = |at: &usize| *world.nodes[*at].register.phase() == VoterPhase::Active;
        let nodes = self.scenario.proposers.iter().copied().filter(active);
        nodes
            .flat_map(|node| self.proposals_of(world, node))
            .collect()
    }

    fn proposals_of(&self, world: &RegisterWorld, node: usize) -> Vec<RegisterAction> {
        let voter_set = &world.nodes[node].register.state().voter_set;
        if voter_set.is_joint() {
            return vec![RegisterAction::CompleteVoters { node }];
        }
        let votes = |at: usize| voter_set.contains(&node_name(at));
        let possible = self
            .scenario
            .replacements
            .iter()
            .filter(|(gone, successor)| votes(*gone) && !votes(*successor));
        possible
            .map(|(gone, successor)| RegisterAction::BeginVoters {
                node,
                gone: *gone,
                successor: *successor,
            })
            .collect()
    }
}
