//! Control nodes with the real register and the real lease in one world, as a [`Model`]: the voters change while leases
//! are asked for, held and renewed.
//!
//! A node is put together as the control plane puts it together: the lease learns its voters from the register's newest
//! state before each of its steps, and its epochs are kept on the register's disk. True time goes on for all nodes at
//! once, and each reads it off its own drifting clock.

use crate::clocks::{drifts, shown};
use crate::disk::{Content, Disk, Write};
use crate::holders::{Holders, Holding};
use crate::model::{Invariant, Model, Violation, fingerprint_of, node_index, node_name};
use crate::network::{InFlight, Message, Network, Schedule};
use crate::register_history::History;
use crate::traffic::{self, Traffic, TrafficNode, TrafficWorld};
use lease::Lease;
use protocol::{LeaseReply, Payload, Prepare};
use quorum_register::{Change, Register, RegisterConfig, VoterPhase};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(1500);
const MARGIN: Duration = Duration::from_millis(500);
/// How long voters have been settled before a change may begin, as the control plane has it.
const SETTLED: Duration = Duration::from_millis(2000);
/// A span that no exploration reaches.
const NEVER: Duration = Duration::from_secs(100_000);
/// How often, and how far apart, all nodes tick in each part of the undisturbed start.
const START_ROUNDS: usize = 40;
const START_TICK: Duration = Duration::from_millis(90);
/// So many of these pass until every voter has been quiet for a span, by the slowest clock.
const QUIET_ROUNDS: usize = 17;
/// Within so many further ones somebody holds the lease.
const HELD_ROUNDS: usize = 40;

/// How often each thing may happen on one way through the model.
#[derive(Clone, Copy, Debug, Hash)]
pub struct ControlBudget {
    /// How much true time one pass takes.
    pub quantum: Duration,
    pub passes: u8,
    /// In which order messages and syncs may come.
    pub schedule: Schedule,
    /// Messages delivered a second time.
    pub duplicates: u8,
    /// Crashes at once followed by a restart, each with every number of its unsynced writes kept.
    pub crashes: u8,
    /// Disks replaced by blank ones while all others are whole.
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
            schedule: Schedule::InOrder { strays: 0 },
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
    #[default]
    None,
    /// A node that has taken a voter's place grants the lease at once.
    NewVoterGrantsAtOnce,
    /// A changed state tells nobody which lease epochs were granted.
    AcceptsLackEpoch,
    /// Voters settle on a change as soon as it is begun.
    SkipsJointVoters,
}

/// Where an exploration begins, and how far it may go.
#[derive(Clone, Debug)]
pub struct ControlScenario {
    pub name: &'static str,
    pub voters: usize,
    /// Nodes beside the voters, which may take the place of one.
    pub replicas: usize,
    /// Which voter may lose its place to which replica.
    pub replacements: Vec<(usize, usize)>,
    /// The nodes that may propose it.
    pub proposers: Vec<usize>,
    /// Begin with the lease held, and with this node not having heard of it; otherwise with nobody having asked for it.
    pub unaware: Option<usize>,
    /// Begin right after the first of the replacements was begun, by the first of the proposers.
    pub begun: bool,
    pub budget: ControlBudget,
}

impl ControlScenario {
    /// A founded roster with one replica that may take the place of the last voter.
    ///
    /// ```
    /// assert_eq!(model_checker::ControlScenario::new("quiet", 3).replicas, 1);
    /// ```
    pub fn new(name: &'static str, voters: usize) -> Self {
        ControlScenario {
            name,
            voters,
            replicas: 1,
            replacements: vec![(voters.saturating_sub(1), voters)],
            proposers: (0..voters).collect(),
            unaware: None,
            begun: false,
            budget: ControlBudget::default(),
        }
    }
}

#[derive(Clone)]
pub(crate) struct Node {
    register: Register,
    lease: Lease,
    disk: Disk,
    writes: VecDeque<Write>,
    disk_is_stray: bool,
    born_at: Duration,
    lives: u64,
    fingerprint: u64,
}

impl Node {
    fn is_active(&self) -> bool {
        *self.register.phase() == VoterPhase::Active
    }

    fn renew_fingerprint(&mut self) {
        let Node {
            register,
            lease,
            disk,
            writes,
            disk_is_stray,
            born_at,
            lives,
            ..
        } = self;
        self.fingerprint =
            fingerprint_of(&(register, lease, disk, writes, disk_is_stray, born_at, lives));
    }
}

impl TrafficNode for Node {
    fn is_writing(&self) -> bool {
        !self.writes.is_empty()
    }

    fn disk_is_stray(&self) -> bool {
        self.disk_is_stray
    }

    fn make_disk_stray(&mut self) {
        self.disk_is_stray = true;
        self.renew_fingerprint();
    }
}

/// One state of the model.
#[derive(Clone)]
pub struct ControlWorld {
    nodes: Vec<Arc<Node>>,
    network: Network,
    now: Duration,
    /// False while the roster is founded: the lease comes after it.
    leases_run: bool,
    holders: Holders,
    history: Arc<History>,
    history_fingerprint: u64,
    left: ControlBudget,
    strays_left: u8,
    violation: Option<Violation>,
}

impl TrafficWorld for ControlWorld {
    type Node = Node;

    fn nodes(&self) -> &[Arc<Node>] {
        &self.nodes
    }

    fn node_mut(&mut self, at: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[at])
    }

    fn network(&self) -> &Network {
        &self.network
    }

    fn network_mut(&mut self) -> &mut Network {
        &mut self.network
    }

    fn strays_left(&mut self) -> &mut u8 {
        &mut self.strays_left
    }

    fn duplicates_left(&mut self) -> &mut u8 {
        &mut self.left.duplicates
    }
}

impl ControlWorld {
    /// Adds to what was seen and judges it.
    fn record(&mut self, seen: impl FnOnce(&mut History, &[&Disk]) -> Result<(), Violation>) {
        let disks: Vec<&Disk> = self.nodes.iter().map(|node| &node.disk).collect();
        let checked = seen(Arc::make_mut(&mut self.history), &disks);
        self.history_fingerprint = fingerprint_of(&self.history);
        self.note(checked);
    }

    /// The first violation stays.
    fn note(&mut self, checked: Result<(), Violation>) {
        if self.violation.is_none() {
            self.violation = checked.err();
        }
    }
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum ControlAction {
    Traffic(Traffic),
    /// Nothing is left to come: time passes and all nodes tick.
    PassAndTick,
    Crash {
        node: usize,
        kept: usize,
    },
    Wipe {
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
pub struct ControlModel {
    scenario: ControlScenario,
    defect: ControlDefect,
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
    /// let model = ControlModel::with_defect(ControlScenario::new("quiet", 3), ControlDefect::AcceptsLackEpoch);
    /// assert!(model.violation(&model.initial()).is_none());
    /// ```
    pub fn with_defect(scenario: ControlScenario, defect: ControlDefect) -> Self {
        let budget = scenario.budget;
        let initial = ControlWorld {
            nodes: Vec::new(),
            network: Network::new(budget.schedule),
            now: Duration::ZERO,
            leases_run: false,
            holders: Holders::default(),
            history: Arc::default(),
            history_fingerprint: 0,
            left: budget,
            strays_left: traffic::strays_of(budget.schedule),
            violation: None,
        };
        let drifts = drifts(scenario.voters + scenario.replicas);
        let mut model = ControlModel {
            scenario,
            defect: ControlDefect::None,
            drifts,
            initial,
        };
        model.initial = model.founded_start();
        model.defect = defect;
        model.initial = model.leased_start();
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
        world.holders.last.map_or(0, |holding| holding.epoch)
    }

    /// The epoch of the newest voters in force anywhere in a state.
    ///
    /// ```
    /// use model_checker::{ControlModel, ControlScenario, Model};
    /// let model = ControlModel::new(ControlScenario::new("quiet", 3));
    /// assert_eq!(model.voter_epoch(&model.initial()), 0);
    /// ```
    pub fn voter_epoch(&self, world: &ControlWorld) -> u64 {
        world
            .nodes
            .iter()
            .map(|node| node.register.state().voter_set.epoch)
            .max()
            .unwrap_or(0)
    }

    fn start_node(
        &self,
        at: usize,
        peers: usize,
        disk: Disk,
        born_at: Duration,
        lives: u64,
    ) -> Node {
        let seed = fingerprint_of(&(at, lives));
        let mut register = Register::new(RegisterConfig {
            me: node_name(at),
            initial_voter_count: self.scenario.voters,
            seed,
            durable: disk.durable.clone(),
            configurations: disk.configurations.clone(),
            times: quorum_register::RegisterTiming {
                confirm_interval: NEVER,
                ..Default::default()
            },
        });
        register.step(
            Duration::ZERO,
            quorum_register::Event::Peers((0..peers).map(node_name).collect()),
        );
        // Its ticks are far apart, and its clocks drift but never jump.
        let times = lease::LeaseTiming {
            max_step: Duration::MAX,
            ..lease::LeaseTiming::new(SPAN, MARGIN)
        };
        let lease = Lease::new(node_name(at), times, seed);
        let (writes, disk_is_stray, fingerprint) = (VecDeque::new(), false, 0);
        Node {
            register,
            lease,
            disk,
            writes,
            disk_is_stray,
            born_at,
            lives,
            fingerprint,
        }
    }

    /// Founds the roster, lets replicas follow, and waits until every voter may grant the lease.
    fn founded_start(&self) -> ControlWorld {
        let mut world = self.initial.clone();
        let (voters, all) = (
            self.scenario.voters,
            self.scenario.voters + self.scenario.replicas,
        );
        let born = |at| Arc::new(self.start_node(at, voters, Disk::default(), Duration::ZERO, 0));
        world.nodes = (0..voters).map(born).collect();
        self.run_undisturbed(&mut world, START_ROUNDS, None);
        let later = world.now;
        world.nodes.extend(
            (voters..all).map(|at| Arc::new(self.start_node(at, all, Disk::default(), later, 0))),
        );
        let peers: Vec<String> = (0..all).map(node_name).collect();
        (0..voters).for_each(|at| {
            self.step_register(&mut world, at, quorum_register::Event::Peers(peers.clone()));
        });
        self.run_undisturbed(&mut world, START_ROUNDS, None);
        (0..all).for_each(|at| {
            self.step_register(
                &mut world,
                at,
                quorum_register::Event::Propose(Change::FinishRound),
            )
        });
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
    fn leased_start(&self) -> ControlWorld {
        let mut world = self.initial.clone();
        let mut rounds = 0;
        while self.scenario.unaware.is_some()
            && world.holders.last.is_none()
            && rounds < HELD_ROUNDS
        {
            self.run_undisturbed(&mut world, 1, self.scenario.unaware);
            rounds += 1;
        }
        if let (true, Some((gone, successor))) =
            (self.scenario.begun, self.scenario.replacements.first())
        {
            self.begin_voters(&mut world, self.scenario.proposers[0], *gone, *successor);
            self.run_undisturbed(&mut world, 1, None);
        }
        world
    }

    /// So many rounds of ticks in which everything arrives, but for what concerns a node that is cut off.
    fn run_undisturbed(&self, world: &mut ControlWorld, rounds: usize, cut_off: Option<usize>) {
        (0..rounds).for_each(|_| {
            self.pass(world, START_TICK);
            self.sync_all(world);
            while let Some(in_flight) = world.network.take_first() {
                let Message { from, to, .. } = &*in_flight.message;
                if cut_off.is_none_or(|node| node != *from && node != *to) {
                    self.deliver(world, &in_flight);
                }
                self.sync_all(world);
            }
        });
    }

    fn sync_all(&self, world: &mut ControlWorld) {
        (0..world.nodes.len()).for_each(|at| while self.sync(world, at) {});
    }

    fn clock(&self, world: &ControlWorld, at: usize) -> Duration {
        shown(world.now - world.nodes[at].born_at, self.drifts[at])
    }

    fn step_register(&self, world: &mut ControlWorld, at: usize, event: quorum_register::Event) {
        let clock = self.clock(world, at);
        let effects = world.node_mut(at).register.step(clock, event);
        effects.into_iter().for_each(|effect| match effect {
            quorum_register::Effect::Send { to, body } => {
                self.send(world, at, node_index(&to), body)
            }
            quorum_register::Effect::Persist { write_id, durable } => {
                write(world, at, write_id, Content::State(durable))
            }
            quorum_register::Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                write(
                    world,
                    at,
                    write_id,
                    Content::Configuration { digest, bytes },
                );
            }
            quorum_register::Effect::DeleteConfiguration { digest } => {
                write(world, at, 0, Content::DroppedSetup { digest })
            }
            quorum_register::Effect::LeaseEpochPersisted { request_id } => {
                self.step_lease(world, at, lease::Event::LeaseEpochPersisted { request_id });
            }
            quorum_register::Effect::StateChanged => {
                let state = world.nodes[at].register.state().clone();
                world.note(world.history.adopted(at, &state));
            }
            quorum_register::Effect::Decided { .. } => {}
        });
        world.node_mut(at).renew_fingerprint();
    }

    fn step_lease(&self, world: &mut ControlWorld, at: usize, event: lease::Event) {
        let clock = self.clock(world, at);
        let effects = world.node_mut(at).lease.step(clock, event);
        effects.into_iter().for_each(|effect| match effect {
            lease::Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
            lease::Effect::PersistLeaseEpoch { epoch, request_id } => {
                self.step_register(
                    world,
                    at,
                    quorum_register::Event::PersistLeaseEpoch { epoch, request_id },
                );
            }
        });
        world.node_mut(at).renew_fingerprint();
        self.observe(world);
    }

    /// A step of the lease, told before it who votes: only a node that takes part in the register has one.
    fn step_lease_among_voters(&self, world: &mut ControlWorld, at: usize, event: lease::Event) {
        if !world.leases_run || !world.nodes[at].is_active() {
            return;
        }
        let register = &world.nodes[at].register;
        let voter_set = register.voter_set().clone();
        let persisted_epoch = register.lease_epoch();
        self.step_lease(
            world,
            at,
            lease::Event::VotersChanged {
                voter_set,
                persisted_epoch,
            },
        );
        self.step_lease(world, at, event);
    }

    fn send(&self, world: &mut ControlWorld, from: usize, to: usize, body: Payload) {
        if to < world.nodes.len() {
            world.network.send(from, to, self.twist(world, from, body));
        }
    }

    /// What a defect makes of a message.
    fn twist(&self, world: &ControlWorld, from: usize, body: Payload) -> Payload {
        match (self.defect, body) {
            (ControlDefect::NewVoterGrantsAtOnce, Payload::LeaseReply(reply))
                if from >= self.scenario.voters && world.nodes[from].register.is_voter() =>
            {
                Payload::LeaseReply(LeaseReply {
                    granted: true,
                    ..reply
                })
            }
            (ControlDefect::AcceptsLackEpoch, Payload::Accept(mut accept)) => {
                accept.lease_epoch = 0;
                Payload::Accept(accept)
            }
            (ControlDefect::AcceptsLackEpoch, Payload::AcceptDelta(mut accept)) => {
                accept.lease_epoch = 0;
                Payload::AcceptDelta(accept)
            }
            // The voters are to be read off the promise: it is asked for whole.
            (ControlDefect::SkipsJointVoters, Payload::Prepare(prepare)) => {
                Payload::Prepare(Prepare {
                    since: None,
                    ..prepare
                })
            }
            (ControlDefect::SkipsJointVoters, Payload::Promise(mut promise)) => {
                let voter_set = &mut promise.accepted.voter_set;
                if voter_set.is_joint() {
                    voter_set.voters = std::mem::take(&mut voter_set.next);
                }
                Payload::Promise(promise)
            }
            (_, body) => body,
        }
    }

    fn deliver(&self, world: &mut ControlWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        let (from, body) = (node_name(*from), body.clone());
        match body {
            Payload::LeaseRequest(_) | Payload::LeaseReply(_) | Payload::LeaseRelease(_) => {
                self.step_lease_among_voters(world, *to, lease::Event::Received { from, body });
            }
            _ => self.step_register(world, *to, quorum_register::Event::Received { from, body }),
        }
    }

    /// Syncs a node's oldest write; false where there is none.
    fn sync(&self, world: &mut ControlWorld, at: usize) -> bool {
        let node = world.node_mut(at);
        let Some(write) = node.writes.pop_front() else {
            return false;
        };
        node.disk_is_stray &= !node.writes.is_empty();
        node.disk.apply(&write.content);
        disk_changed(world, at);
        if matches!(write.content, Content::DroppedSetup { .. }) {
            world.node_mut(at).renew_fingerprint();
        } else {
            self.step_register(
                world,
                at,
                quorum_register::Event::WriteCompleted {
                    write_id: write.write_id,
                },
            );
        }
        true
    }

    fn pass(&self, world: &mut ControlWorld, quantum: Duration) {
        world.now += quantum;
        (0..world.nodes.len()).for_each(|at| {
            self.step_register(world, at, quorum_register::Event::Tick);
            self.step_lease_among_voters(world, at, lease::Event::Tick);
        });
    }

    fn crash(&self, world: &mut ControlWorld, at: usize, kept: usize) {
        let writes: Vec<Write> = world.node_mut(at).writes.drain(..).take(kept).collect();
        writes.iter().for_each(|write| {
            world.node_mut(at).disk.apply(&write.content);
            disk_changed(world, at);
        });
        self.restart(world, at);
    }

    fn restart(&self, world: &mut ControlWorld, at: usize) {
        let node = &world.nodes[at];
        let restarted = self.start_node(
            at,
            world.nodes.len(),
            node.disk.clone(),
            world.now,
            node.lives + 1,
        );
        world.nodes[at] = Arc::new(restarted);
        world.node_mut(at).renew_fingerprint();
    }

    fn may_wipe(&self, world: &ControlWorld, at: usize) -> bool {
        let whole = |node: &Arc<Node>| node.disk.durable.disk != 0 && node.is_active();
        let others = world.nodes.iter().enumerate();
        others
            .into_iter()
            .all(|(other, node)| other == at || whole(node))
            && world.nodes[at].disk.durable.disk != 0
    }

    /// Every replacement that some node may propose by what it knows, and when it may.
    fn proposals(&self, world: &ControlWorld) -> Vec<ControlAction> {
        let active = |at: &usize| world.nodes[*at].is_active();
        let nodes = self.scenario.proposers.iter().copied().filter(active);
        nodes
            .flat_map(|node| self.proposals_of(world, node))
            .collect()
    }

    fn proposals_of(&self, world: &ControlWorld, node: usize) -> Vec<ControlAction> {
        let register = &world.nodes[node].register;
        let voter_set = &register.state().voter_set;
        if voter_set.is_joint() {
            return vec![ControlAction::CompleteVoters { node }];
        }
        if register
            .voter_set_stable_for(self.clock(world, node))
            .is_none_or(|settled| settled < SETTLED)
        {
            return Vec::new();
        }
        let votes = |at: usize| voter_set.contains(&node_name(at));
        let possible = self
            .scenario
            .replacements
            .iter()
            .filter(|(gone, successor)| votes(*gone) && !votes(*successor));
        possible
            .map(|(gone, successor)| ControlAction::BeginVoters {
                node,
                gone: *gone,
                successor: *successor,
            })
            .collect()
    }

    fn begin_voters(&self, world: &mut ControlWorld, at: usize, gone: usize, successor: usize) {
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
        self.step_register(world, at, quorum_register::Event::Propose(change));
    }

    fn complete_voters(&self, world: &mut ControlWorld, at: usize) {
        let epoch = world.nodes[at].register.state().voter_set.epoch;
        self.step_register(
            world,
            at,
            quorum_register::Event::Propose(Change::CompleteVoters { epoch }),
        );
    }

    /// After each step: at most one node holds the lease, and under a new epoch.
    fn observe(&self, world: &mut ControlWorld) {
        let holding = |at: usize| {
            let node = &world.nodes[at];
            let epoch = node.lease.held_epoch(self.clock(world, at))?;
            Some(Holding {
                node: at,
                life: node.lives,
                epoch,
                founder: node.lease.is_first_holder(epoch),
            })
        };
        let holders: Vec<Holding> = (0..world.nodes.len()).filter_map(holding).collect();
        let checked = world.holders.observe(&holders);
        world.note(checked);
    }
}

fn write(world: &mut ControlWorld, at: usize, write_id: u64, content: Content) {
    world
        .node_mut(at)
        .writes
        .push_back(Write { write_id, content });
}

fn disk_changed(world: &mut ControlWorld, at: usize) {
    world.record(|history, disks| {
        history.disk_changed(at, disks, &[])?;
        history.check_kept(disks, &[])
    });
}

impl Model for ControlModel {
    type State = ControlWorld;
    type Action = ControlAction;

    fn initial(&self) -> ControlWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &ControlWorld) -> Vec<ControlAction> {
        let left = &world.left;
        let nodes = || 0..world.nodes.len();
        let mut actions = match left.schedule {
            Schedule::AnyOrder => {
                let traffic = traffic::any_order(world)
                    .into_iter()
                    .map(ControlAction::Traffic);
                traffic
                    .chain((left.passes > 0).then_some(ControlAction::PassAndTick))
                    .collect::<Vec<_>>()
            }
            Schedule::InOrder { .. } => {
                let traffic::InOrder { turn, others } = traffic::in_order(world, world.strays_left);
                let pass = (left.passes > 0).then_some(ControlAction::PassAndTick);
                let first = turn.map(ControlAction::Traffic).or(pass);
                first
                    .into_iter()
                    .chain(others.into_iter().map(ControlAction::Traffic))
                    .collect()
            }
        };
        if left.crashes > 0 {
            actions.extend(nodes().flat_map(|node| {
                (0..=world.nodes[node].writes.len())
                    .map(move |kept| ControlAction::Crash { node, kept })
            }));
        }
        if left.wipes > 0 {
            actions.extend(
                nodes()
                    .filter(|at| self.may_wipe(world, *at))
                    .map(|node| ControlAction::Wipe { node }),
            );
        }
        if left.proposals > 0 {
            actions.extend(self.proposals(world));
        }
        if left.duplicates > 0 {
            actions.extend(
                traffic::duplicates(world)
                    .into_iter()
                    .map(ControlAction::Traffic),
            );
        }
        actions
    }

    fn next(&self, world: &ControlWorld, action: ControlAction) -> ControlWorld {
        let mut next = world.clone();
        match action {
            ControlAction::Traffic(traffic) => {
                let deliver =
                    |world: &mut ControlWorld, in_flight: &InFlight| self.deliver(world, in_flight);
                traffic::take(&mut next, traffic, deliver, |world, node| {
                    self.sync(world, node);
                });
            }
            ControlAction::PassAndTick => {
                next.left.passes -= 1;
                self.pass(&mut next, world.left.quantum);
            }
            ControlAction::Crash { node, kept } => {
                next.left.crashes -= 1;
                self.crash(&mut next, node, kept);
            }
            ControlAction::Wipe { node } => {
                next.left.wipes -= 1;
                let wiped = next.node_mut(node);
                wiped.disk = Disk::default();
                wiped.writes.clear();
                self.restart(&mut next, node);
            }
            ControlAction::BeginVoters {
                node,
                gone,
                successor,
            } => {
                next.left.proposals -= 1;
                self.begin_voters(&mut next, node, gone, successor);
            }
            ControlAction::CompleteVoters { node } => {
                next.left.proposals -= 1;
                self.complete_voters(&mut next, node);
            }
        }
        next
    }

    fn usual_actions(&self, world: &ControlWorld) -> usize {
        match world.left.schedule {
            Schedule::AnyOrder => {
                traffic::any_order(world).len() + usize::from(world.left.passes > 0)
            }
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A delivery without any effect: as if the message were never delivered.
    fn is_redundant(&self, before: &ControlWorld, after: &ControlWorld) -> bool {
        let same = |(one, other): (&Arc<Node>, &Arc<Node>)| one.fingerprint == other.fingerprint;
        before.left.schedule == Schedule::AnyOrder
            && after.now == before.now
            && after.network.len() < before.network.len()
            && after.violation.is_none()
            && before.nodes.iter().zip(&after.nodes).all(same)
    }

    fn violation<'a>(&self, world: &'a ControlWorld) -> Option<&'a Violation> {
        world.violation.as_ref()
    }

    fn fingerprint(&self, world: &ControlWorld) -> u64 {
        let nodes: Vec<u64> = world.nodes.iter().map(|node| node.fingerprint).collect();
        let invariant: Option<Invariant> = world
            .violation
            .as_ref()
            .map(|violation| violation.invariant);
        let seen = (world.holders, world.history_fingerprint);
        let budget = (world.left, world.strays_left);
        fingerprint_of(&(
            nodes,
            world.network.fingerprints(),
            world.now,
            seen,
            budget,
            invariant,
        ))
    }

    fn describe(&self, world: &ControlWorld, action: ControlAction) -> String {
        match action {
            ControlAction::Traffic(traffic) => traffic::describe(world, traffic),
            ControlAction::PassAndTick => format!("pass from {:?}", world.now),
            other => format!("{other:?}"),
        }
    }
}
