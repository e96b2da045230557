//! Voters and candidates of the lease with their disks and drifting clocks, as a [`Model`].
//!
//! True time goes on by one quantum with each `Pass`, for all nodes at once; each reads it off a clock of its own that
//! runs fast or slow by as much as the bound allows. A node takes no notice before its `Tick`, so that one left out
//! for some passes is a node that stood still.

use crate::clocks::drifts;
use crate::holders::{Holders, Holding};
use crate::model::{Invariant, Model, Violation, fingerprint_of, node_index, node_name};
use crate::network::{InFlight, Message, Network, Schedule};
use crate::traffic::{self, Traffic, TrafficNode, TrafficWorld};
use lease::{Effect, Event, Lease, LeaseTiming};
use protocol::majority;
use protocol::{LeaseReply, Payload, VoterSet};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(1500);
const MARGIN: Duration = Duration::from_millis(500);
/// How far a broken clock is off, in thousandths, and from which moment on.
const BROKEN_FROM: Duration = Duration::from_millis(1800);
const BROKEN_DRIFT: i64 = -800;
/// Just after all have been quiet for a span since their start.
const EXPLORED_FROM: Duration = Duration::from_millis(1530);
/// How often nodes tick until then.
const START_TICK: Duration = Duration::from_millis(90);

/// How often each thing may happen on one way through the model.
#[derive(Clone, Copy, Debug, Hash)]
pub struct LeaseBudget {
    /// How much true time one pass takes.
    pub quantum: Duration,
    pub passes: u8,
    /// In which order messages and syncs may come.
    pub schedule: Schedule,
    /// Messages delivered a second time.
    pub duplicates: u8,
    /// Crashes at once followed by a restart, each with every number of its unsynced writes kept.
    pub crashes: u8,
    /// Disks replaced by blank ones, mended from a majority of the others.
    pub wipes: u8,
    /// Nodes that stand still, each until any later moment; only where everything else comes in order, since a node
    /// that is left out of every order stands still anyway.
    pub freezes: u8,
}

impl Default for LeaseBudget {
    /// Some passes, and no fault.
    fn default() -> Self {
        LeaseBudget {
            quantum: Duration::from_millis(490),
            passes: 4,
            schedule: Schedule::AnyOrder,
            duplicates: 0,
            crashes: 0,
            wipes: 0,
            freezes: 0,
        }
    }
}

/// Something taken away that an invariant rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseDefect {
    #[default]
    None,
    /// A restarted voter grants at once, though it has forgotten whom it granted, and goes on to forget.
    GrantsAfterRestart,
    /// Half of the voters, rounded down, count as a majority.
    CountsMinority,
    /// The shell reports epochs as synced that are not.
    AnswersBeforeSync,
    /// A mended voter does not learn which epochs were granted.
    MendsWithoutEpoch,
    /// The clock of one node goes far too slow.
    ClocksOffBound,
}

#[derive(Clone, Copy, Hash)]
struct EpochWrite {
    epoch: u64,
    request_id: u64,
}

#[derive(Clone)]
pub(crate) struct Node {
    lease: Lease,
    /// The highest epoch on its disk.
    epoch: u64,
    writes: VecDeque<EpochWrite>,
    /// Its writes wait for a sync that comes at any moment, until none is left.
    disk_is_stray: bool,
    is_frozen: bool,
    born_at: Duration,
    lives: u64,
    fingerprint: u64,
}

impl Node {
    fn renew_fingerprint(&mut self) {
        let Node {
            lease,
            epoch,
            writes,
            born_at,
            lives,
            ..
        } = self;
        let flags = (self.disk_is_stray, self.is_frozen);
        self.fingerprint = fingerprint_of(&(lease, epoch, writes, flags, born_at, lives));
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

    fn is_awake(&self) -> bool {
        !self.is_frozen
    }
}

/// One state of the model.
#[derive(Clone)]
pub struct LeaseWorld {
    nodes: Vec<Arc<Node>>,
    network: Network,
    now: Duration,
    holders: Holders,
    left: LeaseBudget,
    strays_left: u8,
    violation: Option<Violation>,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
pub enum LeaseAction {
    Traffic(Traffic),
    Freeze {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    Tick {
        node: usize,
    },
    Pass,
    /// Nothing is left to come: time passes and all nodes that don't stand still tick.
    PassAndTick,
    Crash {
        node: usize,
        kept: usize,
    },
    Wipe {
        node: usize,
    },
}

/// The model of one roster.
pub struct LeaseModel {
    defect: LeaseDefect,
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
        let drifts = drifts(voters);
        let initial = LeaseWorld {
            nodes: Vec::new(),
            network: Network::new(budget.schedule),
            now: Duration::ZERO,
            holders: Holders::default(),
            left: budget,
            strays_left: traffic::strays_of(budget.schedule),
            violation: None,
        };
        let mut model = LeaseModel {
            defect,
            drifts,
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
        world.holders.last.map_or(0, |holding| holding.epoch)
    }

    fn start_node(&self, at: usize, epoch: u64, born_at: Duration, lives: u64) -> Node {
        // Its ticks are far apart, and its clocks drift but never jump.
        let times = LeaseTiming {
            max_step: Duration::MAX,
            ..LeaseTiming::new(SPAN, MARGIN)
        };
        let forgets = self.defect == LeaseDefect::GrantsAfterRestart && lives > 0;
        // A voter waits one span of its own clock, whatever time it starts at: so the broken one has none.
        let times = if forgets {
            LeaseTiming::new(Duration::ZERO, Duration::ZERO)
        } else {
            times
        };
        let lease = Lease::new(node_name(at), times, fingerprint_of(&(at, lives)));
        let writes = VecDeque::new();
        let (disk_is_stray, is_frozen, fingerprint) = (false, false, 0);
        Node {
            lease,
            epoch,
            writes,
            disk_is_stray,
            is_frozen,
            born_at,
            lives,
            fingerprint,
        }
    }

    /// All start together and wait until they may grant.
    fn undisturbed_start(&self, voters: usize) -> LeaseWorld {
        let mut world = self.initial.clone();
        world.nodes = (0..voters)
            .map(|at| Arc::new(self.start_node(at, 0, Duration::ZERO, 0)))
            .collect();
        while world.now < EXPLORED_FROM {
            (0..voters).for_each(|at| self.tick(&mut world, at));
            world.now += START_TICK;
        }
        (0..voters).for_each(|at| Arc::make_mut(&mut world.nodes[at]).renew_fingerprint());
        world
    }

    fn clock(&self, world: &LeaseWorld, at: usize) -> Duration {
        let node = &world.nodes[at];
        let lived = (world.now - node.born_at).as_micros() as i64;
        let before = lived.min(BROKEN_FROM.as_micros() as i64);
        let is_broken = self.defect == LeaseDefect::ClocksOffBound && at == 0;
        let drift = if is_broken {
            BROKEN_DRIFT
        } else {
            self.drifts[at]
        };
        let shown = (before * (1000 + self.drifts[at]) + (lived - before) * (1000 + drift)) / 1000;
        Duration::from_micros(shown as u64)
    }

    fn step(&self, world: &mut LeaseWorld, at: usize, event: Event) {
        let clock = self.clock(world, at);
        let effects = Arc::make_mut(&mut world.nodes[at]).lease.step(clock, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => self.send(world, at, node_index(&to), body),
            Effect::PersistLeaseEpoch { epoch, request_id } => {
                self.write(world, at, EpochWrite { epoch, request_id })
            }
        });
        Arc::make_mut(&mut world.nodes[at]).renew_fingerprint();
        self.observe(world);
    }

    fn write(&self, world: &mut LeaseWorld, at: usize, write: EpochWrite) {
        Arc::make_mut(&mut world.nodes[at]).writes.push_back(write);
        if self.defect == LeaseDefect::AnswersBeforeSync {
            self.step(
                world,
                at,
                Event::LeaseEpochPersisted {
                    request_id: write.request_id,
                },
            );
        }
    }

    fn send(&self, world: &mut LeaseWorld, from: usize, to: usize, body: Payload) {
        if to >= world.nodes.len() {
            return;
        }
        if let (LeaseDefect::CountsMinority, Payload::LeaseRequest(ask)) = (self.defect, &body) {
            let (epoch, nonce) = (ask.epoch, ask.nonce);
            let granted = LeaseReply {
                epoch,
                nonce,
                granted: true,
                highest_epoch: epoch,
                wait_ms: 0,
                first: false,
            };
            self.step(
                world,
                from,
                Event::Received {
                    from: node_name(to),
                    body: Payload::LeaseReply(granted),
                },
            );
        }
        world.network.send(from, to, body);
    }

    fn deliver(&self, world: &mut LeaseWorld, in_flight: &InFlight) {
        let Message { from, to, body } = &*in_flight.message;
        self.step(
            world,
            *to,
            Event::Received {
                from: node_name(*from),
                body: body.clone(),
            },
        );
    }

    fn sync(&self, world: &mut LeaseWorld, at: usize) {
        let node = Arc::make_mut(&mut world.nodes[at]);
        let Some(write) = node.writes.pop_front() else {
            return;
        };
        node.disk_is_stray &= !node.writes.is_empty();
        node.epoch = node.epoch.max(write.epoch);
        node.renew_fingerprint();
        if self.defect != LeaseDefect::AnswersBeforeSync {
            self.step(
                world,
                at,
                Event::LeaseEpochPersisted {
                    request_id: write.request_id,
                },
            );
        }
    }

    fn tick(&self, world: &mut LeaseWorld, at: usize) {
        let epoch = world.nodes[at].epoch;
        self.step(
            world,
            at,
            Event::VotersChanged {
                voter_set: world.voter_set(),
                persisted_epoch: epoch,
            },
        );
        self.step(world, at, Event::Tick);
    }

    fn restart(&self, world: &mut LeaseWorld, at: usize, epoch: u64) {
        let node = self.start_node(at, epoch, world.now, world.nodes[at].lives + 1);
        world.nodes[at] = Arc::new(node);
        self.step(
            world,
            at,
            Event::VotersChanged {
                voter_set: world.voter_set(),
                persisted_epoch: epoch,
            },
        );
    }

    fn crash(&self, world: &mut LeaseWorld, at: usize, kept: usize) {
        let node = &world.nodes[at];
        let written = node.writes.iter().take(kept).map(|write| write.epoch);
        let epoch = written.chain([node.epoch]).max().unwrap_or(0);
        self.restart(world, at, epoch);
    }

    /// The lowest epoch that a majority of the others may come to: they are asked in any order.
    fn mended_epoch(&self, world: &LeaseWorld, at: usize) -> u64 {
        let others = world
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at);
        let mut epochs: Vec<u64> = others.map(|(_, node)| node.epoch).collect();
        epochs.sort_unstable();
        epochs.truncate(majority(world.nodes.len()));
        epochs.last().copied().unwrap_or(0)
    }

    fn wipe(&self, world: &mut LeaseWorld, at: usize) {
        let blank = self.defect == LeaseDefect::MendsWithoutEpoch;
        let epoch = if blank {
            0
        } else {
            self.mended_epoch(world, at)
        };
        self.restart(world, at, epoch);
    }

    /// After each step: at most one node holds the lease, and under a new epoch.
    fn observe(&self, world: &mut LeaseWorld) {
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

impl TrafficWorld for LeaseWorld {
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

impl LeaseWorld {
    fn voter_set(&self) -> VoterSet {
        VoterSet::new((0..self.nodes.len()).map(node_name).collect())
    }

    fn is_awake(&self, at: usize) -> bool {
        !self.nodes[at].is_frozen
    }

    /// Deliveries, syncs, ticks and the passing of time, whatever the order.
    fn any_order(&self) -> Vec<LeaseAction> {
        let traffic = traffic::any_order(self)
            .into_iter()
            .map(LeaseAction::Traffic);
        let ticks = (0..self.nodes.len()).map(|node| LeaseAction::Tick { node });
        traffic
            .chain(ticks)
            .chain((self.left.passes > 0).then_some(LeaseAction::Pass))
            .collect()
    }

    /// What comes in turn, the strays, what may become one, and nodes that begin or end to stand still.
    fn in_order(&self) -> Vec<LeaseAction> {
        let nodes = || 0..self.nodes.len();
        let traffic::InOrder { turn, others } = traffic::in_order(self, self.strays_left);
        let pass = (self.left.passes > 0).then_some(LeaseAction::PassAndTick);
        let first = turn.map(LeaseAction::Traffic).or(pass);
        let mut actions: Vec<LeaseAction> = first
            .into_iter()
            .chain(others.into_iter().map(LeaseAction::Traffic))
            .collect();
        actions.extend(
            nodes()
                .filter(|at| !self.is_awake(*at))
                .map(|node| LeaseAction::Thaw { node }),
        );
        if self.left.freezes > 0 {
            actions.extend(
                nodes()
                    .filter(|at| self.is_awake(*at))
                    .map(|node| LeaseAction::Freeze { node }),
            );
        }
        actions
    }

    fn pass(&mut self) {
        self.left.passes -= 1;
        self.now += self.left.quantum;
    }

    /// The first violation stays.
    fn note(&mut self, checked: Result<(), Violation>) {
        if self.violation.is_none() {
            self.violation = checked.err();
        }
    }
}

impl Model for LeaseModel {
    type State = LeaseWorld;
    type Action = LeaseAction;

    fn initial(&self) -> LeaseWorld {
        self.initial.clone()
    }

    fn actions(&self, world: &LeaseWorld) -> Vec<LeaseAction> {
        let left = &world.left;
        let nodes = || 0..world.nodes.len();
        let mut actions = match left.schedule {
            Schedule::AnyOrder => world.any_order(),
            Schedule::InOrder { .. } => world.in_order(),
        };
        if left.crashes > 0 {
            actions.extend(nodes().flat_map(|node| {
                (0..=world.nodes[node].writes.len())
                    .map(move |kept| LeaseAction::Crash { node, kept })
            }));
        }
        if left.wipes > 0 {
            actions.extend(nodes().map(|node| LeaseAction::Wipe { node }));
        }
        if left.duplicates > 0 {
            actions.extend(
                traffic::duplicates(world)
                    .into_iter()
                    .map(LeaseAction::Traffic),
            );
        }
        actions
    }

    fn next(&self, world: &LeaseWorld, action: LeaseAction) -> LeaseWorld {
        let mut next = world.clone();
        match action {
            LeaseAction::Traffic(traffic) => {
                let deliver =
                    |world: &mut LeaseWorld, in_flight: &InFlight| self.deliver(world, in_flight);
                traffic::take(&mut next, traffic, deliver, |world, node| {
                    self.sync(world, node)
                });
            }
            LeaseAction::Tick { node } => self.tick(&mut next, node),
            LeaseAction::Freeze { node } | LeaseAction::Thaw { node } => {
                let freezes = next.is_awake(node);
                next.left.freezes -= u8::from(freezes);
                let node = Arc::make_mut(&mut next.nodes[node]);
                node.is_frozen = freezes;
                node.renew_fingerprint();
            }
            LeaseAction::Pass => next.pass(),
            LeaseAction::PassAndTick => {
                next.pass();
                let awake: Vec<usize> = (0..next.nodes.len())
                    .filter(|at| next.is_awake(*at))
                    .collect();
                awake
                    .into_iter()
                    .for_each(|node| self.tick(&mut next, node));
            }
            LeaseAction::Crash { node, kept } => {
                next.left.crashes -= 1;
                self.crash(&mut next, node, kept);
            }
            LeaseAction::Wipe { node } => {
                next.left.wipes -= 1;
                self.wipe(&mut next, node);
            }
        }
        next
    }

    fn usual_actions(&self, world: &LeaseWorld) -> usize {
        match world.left.schedule {
            Schedule::AnyOrder => world.any_order().len(),
            Schedule::InOrder { .. } => 1,
        }
    }

    /// A tick or a delivery without any effect: as if it had not come yet.
    fn is_redundant(&self, before: &LeaseWorld, after: &LeaseWorld) -> bool {
        let same = |(one, other): (&Arc<Node>, &Arc<Node>)| one.fingerprint == other.fingerprint;
        before.left.schedule == Schedule::AnyOrder
            && after.now == before.now
            && after.network.len() <= before.network.len()
            && after.violation.is_none()
            && before.nodes.iter().zip(&after.nodes).all(same)
    }

    fn violation<'a>(&self, world: &'a LeaseWorld) -> Option<&'a Violation> {
        world.violation.as_ref()
    }

    fn fingerprint(&self, world: &LeaseWorld) -> u64 {
        let nodes: Vec<u64> = world.nodes.iter().map(|node| node.fingerprint).collect();
        let invariant: Option<Invariant> = world
            .violation
            .as_ref()
            .map(|violation| violation.invariant);
        let network = world.network.fingerprints();
        let budget = (world.left, world.strays_left);
        fingerprint_of(&(nodes, network, world.now, world.holders, budget, invariant))
    }

    fn describe(&self, world: &LeaseWorld, action: LeaseAction) -> String {
        match action {
            LeaseAction::Traffic(traffic) => traffic::describe(world, traffic),
            LeaseAction::Tick { node } => format!("tick v{node} at {:?}", self.clock(world, node)),
            LeaseAction::Pass => format!("pass from {:?}", world.now),
            other => format!("{other:?}"),
        }
    }
}
