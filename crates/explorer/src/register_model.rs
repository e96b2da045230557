//! Voters of the quorum register with their disks, the messages in flight and operators, as a [`Model`].
//!
//! Time is a choice: each node's clock stands still until a `Tick` moves it on by [`TICK`], past every timeout that
//! the scenario leaves short. A message that is lost is one that is never delivered, so losses need no action of
//! their own.

use crate::model::{Invariant, Model, Violation, fingerprint_of, node_index, node_name};
use crate::network::{InFlight, Message, Network, Schedule};
use crate::register_history::{Disk, History, OrderFacts};
use protocol::{Accept, AcceptDelta, Accepted, Ballot, ClusterState, DurableState, Payload, Prepare, Promise};
use quorum_register::{Change, Effect, Event, Register, Start, Times, VoterPhase};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

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

/// An order that operators may send.
#[derive(Clone, Debug)]
pub struct Order {
    pub change: Change,
    pub bytes: Option<Vec<u8>>,
    /// The nodes it may be sent to.
    pub at: Vec<usize>,
}

impl Order {
    /// A new configuration with an id, made from this edition where one is named.
    ///
    /// ```
    /// assert_eq!(explorer::Order::setup("a", Some(1), &[0]).at, [0]);
    /// ```
    pub fn setup(id: &str, base: Option<u64>, at: &[usize]) -> Self {
        let bytes = id.as_bytes().to_vec();
        let change = Change::Setup { id: id.into(), base, number: None, digest: protocol::digest(&bytes) };
        Order { change, bytes: Some(bytes), at: at.to_vec() }
    }

    /// A new configuration under the operator's own number.
    ///
    /// ```
    /// assert!(explorer::Order::numbered("a", 7, &[0, 1]).bytes.is_some());
    /// ```
    pub fn numbered(id: &str, number: u64, at: &[usize]) -> Self {
        let bytes = id.as_bytes().to_vec();
        let change =
            Change::Setup { id: id.into(), base: None, number: Some(number), digest: protocol::digest(&bytes) };
        Order { change, bytes: Some(bytes), at: at.to_vec() }
    }

    /// An evacuation, or its end.
    ///
    /// ```
    /// assert!(explorer::Order::evacuation("a", "north/n1", false, &[0]).bytes.is_none());
    /// ```
    pub fn evacuation(id: &str, locality: &str, back: bool, at: &[usize]) -> Self {
        let change = Change::Evacuate { id: id.into(), locality: locality.into(), back, seen: None };
        Order { change, bytes: None, at: at.to_vec() }
    }

    fn facts(&self) -> OrderFacts {
        match &self.change {
            Change::Setup { digest, number, base, .. } => {
                let asked = kept_of(&format!("{digest} {base:?}"));
                OrderFacts { asked, digest: digest.clone(), number: *number }
            }
            Change::Evacuate { locality, back, .. } => {
                OrderFacts { asked: kept_of(&format!("{locality} {back}")), digest: String::new(), number: None }
            }
            _ => OrderFacts { asked: String::new(), digest: String::new(), number: None },
        }
    }
}

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
    /// assert_eq!(explorer::Scenario::new("quiet", 3).voters, 3);
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

    fn times(&self) -> Times {
        Times {
            confirm_every: if self.reads_by_itself { TICK } else { NEVER },
            phase: TICK,
            patience: if self.impatient { TICK * 2 } else { NEVER },
        }
    }
}

/// A write that the disk has not reported as synced.
#[derive(Clone, Hash)]
struct Write {
    ticket: u64,
    content: Content,
}

#[derive(Clone, Hash)]
enum Content {
    State(DurableState),
    Setup {
        digest: String,
        bytes: Vec<u8>,
    },
    /// A configuration that nothing refers to any more; nobody waits for this.
    DroppedSetup {
        digest: String,
    },
}

impl Disk {
    fn apply(&mut self, content: &Content, defect: RegisterDefect) {
        match content {
            Content::State(durable) => self.durable = durable.clone(),
            Content::Setup { .. } if defect == RegisterDefect::DropsBytes => {}
            Content::Setup { digest, bytes } => {
                self.setups.insert(digest.clone(), bytes.clone());
            }
            Content::DroppedSetup { digest } => {
                self.setups.remove(digest);
            }
        }
    }
}

#[derive(Clone)]
struct Node {
    register: Register,
    disk: Disk,
    /// The disk before its last write, for the defect that forgets it.
    disk_before: Option<Box<Disk>>,
    writes: VecDeque<Write>,
    /// Its writes wait for a sync that comes at any moment, until none is left.
    disk_is_stray: bool,
    now: Duration,
    lives: u64,
    fingerprint: u64,
}

/// One state of the model.
#[derive(Clone)]
pub struct RegisterWorld {
    nodes: Vec<Arc<Node>>,
    network: Network,
    history: Arc<History>,
    history_fingerprint: u64,
    left: RegisterBudget,
    strays_left: u8,
    /// How often each order was sent.
    asked: Vec<u8>,
    violation: Option<Violation>,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum RegisterAction {
    Deliver {
        message: usize,
    },
    Duplicate {
        message: usize,
    },
    Sync {
        node: usize,
    },
    /// The message whose turn it is comes at any later moment, or never.
    StrayMessage {
        message: usize,
    },
    /// The disk whose turn it is syncs at any later moment.
    StrayDisk {
        node: usize,
    },
    Tick {
        node: usize,
    },
    /// Nothing is left to come: all nodes tick.
    TickAll,
    Crash {
        node: usize,
        kept: usize,
    },
    Wipe {
        node: usize,
    },
    Ask {
        order: usize,
        node: usize,
    },
    Read {
        node: usize,
    },
    /// A node proposes that a replica takes a voter's place.
    BeginVoters {
        node: usize,
        gone: usize,
        successor: usize,
    },
    /// A node proposes to complete the change that it knows to be under way.
    CompleteVoters {
        node: usize,
    },
}

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
    /// use explorer::{Model, RegisterModel, Scenario};
    /// let model = RegisterModel::new(Scenario::new("quiet", 3));
    /// assert!(model.actions(&model.initial()).is_empty());
    /// ```
    pub fn new(scenario: Scenario) -> Self {
        RegisterModel::with_defect(scenario, RegisterDefect::None)
    }

    /// The scenario with something taken away.
    ///
    /// ```
    /// use explorer::{Model, RegisterDefect, RegisterModel, Scenario};
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
                strays_left: match scenario.schedule {
                    Schedule::InOrder { strays } => strays,
                    Schedule::AnyOrder => 0,
                },
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
    /// use explorer::{RegisterModel, Scenario};
    /// assert_eq!(RegisterModel::new(Scenario::new("quiet", 3)).name(), "quiet");
    /// ```
    pub fn name(&self) -> &'static str {
        self.scenario.name
    }

    /// How many orders some operator was told are accepted, on the way to a state.
    ///
    /// ```
    /// use explorer::{Model, RegisterModel, Scenario};
    /// let model = RegisterModel::new(Scenario::new("quiet", 3));
    /// assert_eq!(model.accepted_orders(&model.initial()), 0);
    /// ```
    pub fn accepted_orders(&self, world: &RegisterWorld) -> usize {
        world.history.accepted_orders()
    }

    /// The epoch of the newest voters in force anywhere in a state.
    ///
    /// ```
    /// use explorer::{Model, RegisterModel, Scenario};
    /// let model = RegisterModel::new(Scenario::new("quiet", 3));
    /// assert_eq!(model.voter_epoch(&model.initial()), 0);
    /// ```
    pub fn voter_epoch(&self, world: &RegisterWorld) -> u64 {
        world.nodes.iter().map(|node| node.register.state().voter_set.epoch).max().unwrap_or(0)
    }

    fn start_node(&self, at: usize, peers: usize, disk: Disk, now: Duration, lives: u64) -> Node {
        let mut register = Register::new(Start {
            me: node_name(at),
            roster_size: self.scenario.voters,
            seed: fingerprint_of(&(at, lives)),
            durable: disk.durable.clone(),
            setups: disk.setups.clone(),
            times: self.scenario.times(),
        });
        register.step(now, Event::Peers((0..peers).map(node_name).collect()));
        let writes = VecDeque::new();
        let (disk_before, disk_is_stray) = (None, false);
        let mut node = Node { register, disk, disk_before, writes, disk_is_stray, now, lives, fingerprint: 0 };
        node.renew_fingerprint();
        node
    }

    /// Founds the roster and puts a first configuration in force everywhere, with no fault on the way.
    fn undisturbed_start(&self) -> RegisterWorld {
        let mut world = self.initial.clone();
        self.run_undisturbed(&mut world);
        let Order { change, bytes, .. } = Order::setup(FIRST_ORDER, None, &[]);
        self.step(&mut world, 0, Event::Ask { token: u64::MAX, change, bytes });
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
        let voters = voter_set.voters.iter().filter(stays).cloned().chain([node_name(successor)]).collect();
        let change = Change::BeginVoters { epoch: voter_set.epoch, voters };
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
        nodes.flat_map(|node| self.proposals_of(world, node)).collect()
    }

    fn proposals_of(&self, world: &RegisterWorld, node: usize) -> Vec<RegisterAction> {
        let voter_set = &world.nodes[node].register.state().voter_set;
        if voter_set.is_joint() {
            return vec![RegisterAction::CompleteVoters { node }];
        }
        let votes = |at: usize| voter_set.contains(&node_name(at));
        let possible = self.scenario.replacements.iter().filter(|(gone, successor)| votes(*gone) && !votes(*successor));
        possible
            .map(|(gone, successor)| RegisterAction::BeginVoters { node, gone: *gone, successor: *successor })
            .collect()
    }

    fn step(&self, world: &mut RegisterWorld, at: usize, event: Event) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let effects = node.register.step(node.now, event);
        effects.into_iter().for_each(|effect| self.carry_out(world, at, effect));
        self.observe(world, at);
        Arc::make_mut(&mut world.nodes[at]).renew_fingerprint();
    }

    fn carry_out(&self, world: &mut RegisterWorld, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
            Effect::Keep { ticket, durable } => self.write(world, at, ticket, Content::State(durable)),
            Effect::KeepSetup { ticket, digest, bytes } => {
                self.write(world, at, ticket, Content::Setup { digest, bytes });
            }
            Effect::DropSetup { digest } => {
                let content = Content::DroppedSetup { digest };
                Arc::make_mut(&mut world.nodes[at]).writes.push_back(Write { ticket: 0, content });
            }
            Effect::Decided { token, decision } if token != u64::MAX => {
                let order = token as usize;
                world.record(|history, disks| history.decided(order, decision, &self.facts, disks));
            }
            Effect::Adopted => {
                let state = world.nodes[at].register.state().clone();
                world.note(world.history.adopted(at, &state));
            }
            _ => {}
        }
    }

    fn write(&self, world: &mut RegisterWorld, at: usize, ticket: u64, content: Content) {
        Arc::make_mut(&mut world.nodes[at]).writes.push_back(Write { ticket, content });
        if self.defect == RegisterDefect::AnswersBeforeSync {
            self.step(world, at, Event::Kept { ticket });
        }
    }

    fn send(&self, world: &mut RegisterWorld, from: usize, to: usize, body: Payload) {
        if to >= world.nodes.len() {
            return;
        }
        if self.defect == RegisterDefect::CountsMinority
            && let Some(body) = forged_answer(&body)
        {
            self.step(world, from, Event::Received { from: node_name(to), body });
        }
        let replaced = self.scenario.voters - 1;
        if self.defect == RegisterDefect::CountsReplacedVoter && to == replaced + 1 && from != replaced {
            world.network.send(from, replaced, body.clone());
        }
        world.network.send(from, to, body);
    }

    fn deliver(&self, world: &mut RegisterWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        let (from, body) = self.twist(*from, body.clone());
        self.step(world, *to, Event::Received { from: node_name(from), body });
    }

    /// What a defect makes of a message.
    fn twist(&self, from: usize, body: Payload) -> (usize, Payload) {
        let replaced = self.scenario.voters - 1;
        match (self.defect, body) {
            (RegisterDefect::CountsReplacedVoter, body @ (Payload::Promise(_) | Payload::Accepted(_)))
                if from == replaced =>
            {
                (replaced + 1, body)
            }
            // The voters are to be read off the promise: it is asked for whole.
            (RegisterDefect::SkipsJointVoters, Payload::Prepare(prepare)) => {
                (from, Payload::Prepare(Prepare { since: None, ..prepare }))
            }
            (RegisterDefect::SkipsJointVoters, Payload::Promise(mut promise)) => {
                let voter_set = &mut promise.accepted.voter_set;
                if voter_set.is_joint() {
                    voter_set.voters = std::mem::take(&mut voter_set.next);
                }
                (from, Payload::Promise(promise))
            }
            (_, body) => (from, body),
        }
    }

    /// Syncs a node's oldest write; false where there is none.
    fn sync(&self, world: &mut RegisterWorld, at: usize) -> bool {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let Some(write) = node.writes.pop_front() else { return false };
        node.disk_is_stray &= !node.writes.is_empty();
        node.keep(&write.content, self.defect);
        self.disk_changed(world, at);
        let nobody_waits = matches!(write.content, Content::DroppedSetup { .. });
        if nobody_waits || self.defect == RegisterDefect::AnswersBeforeSync {
            Arc::make_mut(&mut world.nodes[at]).renew_fingerprint();
        } else {
            self.step(world, at, Event::Kept { ticket: write.ticket });
        }
        true
    }

    fn disk_changed(&self, world: &mut RegisterWorld, at: usize) {
        world.record(|history, disks| {
            history.disk_changed(at, disks, &self.facts)?;
            history.check_kept(disks, &self.facts)
        });
    }

    fn tick(&self, world: &mut RegisterWorld, at: usize) {
        Arc::make_mut(&mut world.nodes[at]).now += TICK;
        self.step(world, at, Event::Tick);
    }

    fn crash(&self, world: &mut RegisterWorld, at: usize, kept: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let writes: Vec<Write> = node.writes.drain(..).take(kept).collect();
        if let Some(before) = node.disk_before.take().filter(|_| self.defect == RegisterDefect::DiskForgetsSynced) {
            node.disk = *before;
        }
        writes.iter().for_each(|write| {
            Arc::make_mut(&mut world.nodes[at]).keep(&write.content, self.defect);
            self.disk_changed(world, at);
        });
        self.restart(world, at);
        let checked = world.history.check_kept(&disks(&world.nodes), &self.facts);
        world.note(checked);
    }

    fn wipe(&self, world: &mut RegisterWorld, at: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let DurableState { disk, roster, endorsed, .. } = std::mem::take(&mut node.disk).durable;
        if self.defect == RegisterDefect::KeepsMarkAfterWipe {
            node.disk.durable = DurableState { disk, roster, endorsed, ..DurableState::default() };
        }
        self.restart(world, at);
    }

    fn restart(&self, world: &mut RegisterWorld, at: usize) {
        let node = &world.nodes[at];
        let peers = world.nodes.len();
        let node = self.start_node(at, peers, node.disk.clone(), node.now, node.lives + 1);
        world.nodes[at] = Arc::new(node);
        world.record(|history, _| {
            history.node_ended(at);
            Ok(())
        });
    }

    fn ask(&self, world: &mut RegisterWorld, order: usize, at: usize) {
        let Order { mut change, bytes, .. } = self.scenario.orders[order].clone();
        if self.defect == RegisterDefect::ResendsAsNew
            && world.asked[order] > 0
            && let Change::Setup { id, .. } | Change::Evacuate { id, .. } = &mut change
        {
            id.id.push_str("-again");
        }
        if let (RegisterDefect::LosesNumbers, Change::Setup { number, .. }) = (self.defect, &mut change) {
            *number = None;
        }
        world.asked[order] += 1;
        self.step(world, at, Event::Ask { token: order as u64, change, bytes });
    }

    fn read(&self, world: &mut RegisterWorld, at: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        node.now += MOMENT;
        let now = node.now;
        world.record(|history, _| {
            history.read_asked(at, now);
            Ok(())
        });
        self.step(world, at, Event::Confirm);
    }

    /// After each step of a node: reads that can be answered are.
    fn observe(&self, world: &mut RegisterWorld, at: usize) {
        if !world.history.is_read_pending(at) {
            return;
        }
        let node = world.nodes[at].clone();
        let register = &node.register;
        let edition = register.state().edition;
        let local = self.defect == RegisterDefect::ReadsLocally;
        let confirmed = |asked_at| local || register.is_confirmed_since(asked_at);
        world.record(|history, _| history.answer_reads(at, edition, confirmed));
    }

    fn may_wipe(&self, world: &RegisterWorld, at: usize) -> bool {
        let whole = |node: &Arc<Node>| node.disk.durable.disk != 0 && *node.register.phase() == VoterPhase::Active;
        world.nodes.iter().enumerate().all(|(other, node)| whole(node) || other == at)
            && world.nodes[at].disk.durable.disk != 0
    }
}

impl Node {
    fn keep(&mut self, content: &Content, defect: RegisterDefect) {
        if defect == RegisterDefect::DiskForgetsSynced {
            self.disk_before = Some(Box::new(self.disk.clone()));
        }
        self.disk.apply(content, defect);
    }

    fn renew_fingerprint(&mut self) {
        let Node { register, disk, disk_before, writes, disk_is_stray, now, lives, .. } = self;
        self.fingerprint = fingerprint_of(&(register, disk, disk_before, writes, disk_is_stray, now, lives));
    }
}

impl RegisterWorld {
    /// Adds to what was seen and judges it.
    fn record(&mut self, seen: impl FnOnce(&mut History, &[&Disk]) -> Result<(), Violation>) {
        let checked = seen(Arc::make_mut(&mut self.history), &disks(&self.nodes));
        self.history_fingerprint = fingerprint_of(&self.history);
        self.note(checked);
    }

    /// The node whose disk syncs next, where everything comes in order.
    fn disk_in_turn(&self) -> Option<usize> {
        self.nodes.iter().position(|node| !node.writes.is_empty() && !node.disk_is_stray)
    }

    /// Deliveries and syncs that may come next, whatever the order.
    fn any_order(&self) -> Vec<RegisterAction> {
        let writing = (0..self.nodes.len()).filter(|at| !self.nodes[*at].writes.is_empty());
        let deliveries = (0..self.network.len()).map(|message| RegisterAction::Deliver { message });
        deliveries.chain(writing.map(|node| RegisterAction::Sync { node })).collect()
    }

    /// What comes in turn, the strays, and what may become one.
    fn in_order(&self) -> Vec<RegisterAction> {
        let mut actions = Vec::new();
        let (disk, message) = (self.disk_in_turn(), self.network.next_in_turn());
        if let Some(node) = disk {
            actions.push(RegisterAction::Sync { node });
        } else if let Some(message) = message {
            actions.push(RegisterAction::Deliver { message });
        } else if self.left.rounds > 0 {
            actions.push(RegisterAction::TickAll);
        }
        actions.extend(self.network.strays().map(|message| RegisterAction::Deliver { message }));
        let stray_disks = (0..self.nodes.len()).filter(|at| self.nodes[*at].disk_is_stray);
        actions.extend(stray_disks.map(|node| RegisterAction::Sync { node }));
        if self.strays_left > 0 {
            actions.extend(disk.map(|node| RegisterAction::StrayDisk { node }));
            let message = message.filter(|_| disk.is_none());
            actions.extend(message.map(|message| RegisterAction::StrayMessage { message }));
        }
        actions
    }

    /// The first violation stays.
    fn note(&mut self, checked: Result<(), Violation>) {
        if self.violation.is_none() {
            self.violation = checked.err();
        }
    }
}

fn disks(nodes: &[Arc<Node>]) -> Vec<&Disk> {
    nodes.iter().map(|node| &node.disk).collect()
}

/// The answer that stands for a vote which is not there.
fn forged_answer(question: &Payload) -> Option<Payload> {
    match question {
        Payload::Prepare(prepare) => Some(Payload::Promise(Promise {
            ballot: prepare.ballot.clone(),
            promised: prepare.ballot.clone(),
            accepted_at: Ballot::default(),
            accepted: ClusterState::default(),
            ..Promise::default()
        })),
        Payload::Accept(Accept { ballot, .. }) | Payload::AcceptDelta(AcceptDelta { ballot, .. }) => {
            let (ballot, promised) = (ballot.clone(), ballot.clone());
            Some(Payload::Accepted(Accepted { ballot, promised, done: true, ..Accepted::default() }))
        }
        _ => None,
    }
}

impl Model for RegisterModel {
    type State = RegisterWorld;
    type Action = RegisterAction;

    fn initial(&self) -> RegisterWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &RegisterWorld) -> Vec<RegisterAction> {
        let left = &world.left;
        let nodes = || 0..world.nodes.len();
        let mut actions = match self.scenario.schedule {
            Schedule::AnyOrder => world.any_order(),
            Schedule::InOrder { .. } => world.in_order(),
        };
        if left.asks > 0 {
            let orders = self.scenario.orders.iter().enumerate();
            actions.extend(
                orders.flat_map(|(order, sent)| {
                    sent.at.iter().map(move |node| RegisterAction::Ask { order, node: *node })
                }),
            );
        }
        if left.reads > 0 {
            actions.extend(nodes().map(|node| RegisterAction::Read { node }));
        }
        if left.ticks > 0 {
            actions.extend(nodes().map(|node| RegisterAction::Tick { node }));
        }
        if left.crashes > 0 {
            actions.extend(nodes().flat_map(|node| {
                (0..=world.nodes[node].writes.len()).map(move |kept| RegisterAction::Crash { node, kept })
            }));
        }
        if left.wipes > 0 {
            actions.extend(nodes().filter(|at| self.may_wipe(world, *at)).map(|node| RegisterAction::Wipe { node }));
        }
        if left.proposals > 0 {
            actions.extend(self.proposals(world));
        }
        if left.duplicates > 0 {
            actions.extend((0..world.network.len()).map(|message| RegisterAction::Duplicate { message }));
        }
        actions
    }

    fn next(&self, world: &RegisterWorld, action: RegisterAction) -> RegisterWorld {
        let mut next = world.clone();
        match action {
            RegisterAction::Deliver { message } => {
                let in_flight = next.network.take(message);
                self.deliver(&mut next, &in_flight);
            }
            RegisterAction::Duplicate { message } => {
                next.left.duplicates -= 1;
                let in_flight = next.network.copy(message);
                self.deliver(&mut next, &in_flight);
            }
            RegisterAction::Sync { node } => {
                self.sync(&mut next, node);
            }
            RegisterAction::StrayMessage { message } => {
                next.strays_left -= 1;
                next.network.make_stray(message);
            }
            RegisterAction::StrayDisk { node } => {
                next.strays_left -= 1;
                let node = Arc::make_mut(&mut next.nodes[node]);
                node.disk_is_stray = true;
                node.renew_fingerprint();
            }
            RegisterAction::TickAll => {
                next.left.rounds -= 1;
                (0..next.nodes.len()).for_each(|node| self.tick(&mut next, node));
            }
            RegisterAction::Tick { node } => {
                next.left.ticks -= 1;
                self.tick(&mut next, node);
            }
            RegisterAction::Crash { node, kept } => {
                next.left.crashes -= 1;
                self.crash(&mut next, node, kept);
            }
            RegisterAction::Wipe { node } => {
                next.left.wipes -= 1;
                self.wipe(&mut next, node);
            }
            RegisterAction::Ask { order, node } => {
                next.left.asks -= 1;
                self.ask(&mut next, order, node);
            }
            RegisterAction::BeginVoters { node, gone, successor } => {
                next.left.proposals -= 1;
                self.begin_voters(&mut next, node, gone, successor);
            }
            RegisterAction::CompleteVoters { node } => {
                next.left.proposals -= 1;
                self.complete_voters(&mut next, node);
            }
            RegisterAction::Read { node } => {
                next.left.reads -= 1;
                self.read(&mut next, node);
            }
        }
        next
    }

    fn usual_actions(&self, world: &RegisterWorld) -> usize {
        match self.scenario.schedule {
            Schedule::AnyOrder => world.any_order().len(),
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A delivery without any effect: as if the message were never delivered.
    fn is_redundant(&self, before: &RegisterWorld, after: &RegisterWorld) -> bool {
        let same = |(one, other): (&Arc<Node>, &Arc<Node>)| one.fingerprint == other.fingerprint;
        self.scenario.schedule == Schedule::AnyOrder
            && after.network.len() < before.network.len()
            && after.violation.is_none()
            && before.nodes.iter().zip(&after.nodes).all(same)
    }

    fn violation<'a>(&self, world: &'a RegisterWorld) -> Option<&'a Violation> {
        world.violation.as_ref()
    }

    fn fingerprint(&self, world: &RegisterWorld) -> u64 {
        let nodes: Vec<u64> = world.nodes.iter().map(|node| node.fingerprint).collect();
        let invariant: Option<Invariant> = world.violation.as_ref().map(|violation| violation.invariant);
        let network = world.network.fingerprints();
        let budget = (&world.left, world.strays_left, &world.asked);
        fingerprint_of(&(nodes, network, world.history_fingerprint, budget, invariant))
    }

    fn describe(&self, world: &RegisterWorld, action: RegisterAction) -> String {
        match action {
            RegisterAction::Deliver { message }
            | RegisterAction::Duplicate { message }
            | RegisterAction::StrayMessage { message } => {
                let Message { from, to, body } = world.network.message(message);
                let verb = match action {
                    RegisterAction::Deliver { .. } => "deliver",
                    RegisterAction::Duplicate { .. } => "duplicate",
                    _ => "stray",
                };
                format!("{verb} v{from} -> v{to}: {}", shortened(&format!("{body:?}")))
            }
            RegisterAction::Sync { node } => {
                let what = match world.nodes[node].writes.front().map(|write| &write.content) {
                    Some(Content::State(durable)) => {
                        format!("promised {:?} accepted {:?}", durable.promised, durable.accepted_at)
                    }
                    Some(Content::Setup { digest, .. }) => format!("setup {digest}"),
                    Some(Content::DroppedSetup { digest }) => format!("drop setup {digest}"),
                    None => "nothing".into(),
                };
                format!("sync v{node}: {what}")
            }
            RegisterAction::Ask { order, node } => {
                format!("ask v{node}: {}", shortened(&format!("{:?}", self.scenario.orders[order].change)))
            }
            other => format!("{other:?}"),
        }
    }
}

/// What the state keeps of what an order asked for.
fn kept_of(asked: &str) -> String {
    protocol::digest(asked.as_bytes()).chars().take(16).collect()
}

/// Long enough to be told apart in a trace.
fn shortened(text: &str) -> String {
    text.chars().take(160).collect()
}
