//! Many nodes in one process: the daemons' sans-I/O cores over a simulated network, in virtual time.

use super::call_tracker::CallTracker;
use super::event_queue::{Queue, ScheduledEvent};
use super::size::Size;
use super::traffic_stats::{Role, TrafficStats, kind};
use super::upstreams::{HollowUpstream, PendingHeartbeat};
use control_plane::ControlNode;
use data_plane::DataNode;
use name_directory::View;
use protocol::{CONTROL_NODE_ROLE, DurableState, Member, Payload, ProbeReply};
use random::Random;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The interval between ticks, the same as in the daemons.
const TICK: Duration = Duration::from_millis(20);

/// How many control nodes are the seeds of the membership.
const SEED_COUNT: usize = 3;

/// The load on a modelled deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// How many of a thousand heartbeats report another capacity than the one before.
    pub changing_per_mille: u64,
    /// Whether nodes discover each other from their seeds; otherwise each knows all others at its start.
    pub cold: bool,
}

pub(super) enum Core {
    ControlNode(Box<ControlNode>),
    /// With the published view: while requests hold it, applying an update has to copy.
    DataNode(Box<DataNode>, Box<View>),
    Down,
}

/// One modelled process of the data plane or the control plane.
pub struct Node {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) role: Role,
    pub(super) core: Core,
    pub(super) incarnation: u64,
    pub(super) started_at: Duration,
    pub(super) durable: DurableState,
    pub(super) configurations: BTreeMap<String, Vec<u8>>,
    pub(super) synced_at: Duration,
    /// Since when its address book lacks all nodes of [`Fleet::watched`].
    pub(super) lacks: Option<Duration>,
}

/// A whole modelled deployment.
pub struct Fleet {
    /// Its dimensions.
    pub size: Size,
    pub(super) load: Load,
    pub(super) now: Duration,
    pub(super) random: Random,
    pub(super) queue: Queue,
    pub(super) nodes: Vec<Node>,
    pub(super) upstreams: Vec<HollowUpstream>,
    /// Unanswered heartbeats by request id.
    pub(super) heartbeats: HashMap<u64, PendingHeartbeat>,
    pub(super) stats: TrafficStats,
    pub(super) named: HashMap<String, usize>,
    pub(super) in_order: HashMap<(usize, usize), Duration>,
    pub(super) tokens: u64,
    /// The submission's number by request id.
    pub(super) submitted: HashMap<u64, u32>,
    /// The revision that the last configuration was accepted as, and when.
    pub(super) accepted: Option<(u64, Duration)>,
    pub(super) pending: u32,
    /// The calls of the trials that make many of them.
    pub(crate) calls: CallTracker,
    pub(super) watched: BTreeSet<String>,
    pub(super) partition_region: Option<usize>,
    /// The indices of the voting control nodes in `nodes`.
    pub(super) control_nodes: std::ops::Range<usize>,
}

impl Fleet {
    /// A deployment about to start with blank disks.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let mut fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// fleet.run_for(std::time::Duration::from_millis(100));
    /// assert_eq!(fleet.in_force(1), 0);
    /// ```
    pub fn new(size: Size, seed: u64, load: Load) -> Fleet {
        let mut fleet = Fleet {
            size,
            load,
            now: Duration::ZERO,
            random: Random::new(seed),
            queue: Queue::default(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            heartbeats: HashMap::new(),
            stats: TrafficStats::default(),
            named: HashMap::new(),
            in_order: HashMap::new(),
            tokens: 0,
            submitted: HashMap::new(),
            accepted: None,
            pending: 0,
            calls: CallTracker::default(),
            watched: BTreeSet::new(),
            partition_region: None,
            control_nodes: size.nodes..size.nodes + size.control_nodes,
        };
        let data_nodes =
            (0..size.nodes).map(|at| (format!("carrier-{at}"), size.zone(at), Role::DataNode));
        let control_nodes = (0..size.control_nodes)
            .map(|at| (format!("postmaster-{at}"), size.zone(at), Role::Voter));
        data_nodes
            .chain(control_nodes)
            .for_each(|(name, zone, role)| fleet.push(name, zone, role));
        (0..fleet.nodes.len()).for_each(|at| fleet.start(at));
        fleet.create_upstreams();
        fleet
    }

    fn push(&mut self, name: String, zone: usize, role: Role) {
        self.named.insert(name.clone(), self.nodes.len());
        self.nodes.push(Node {
            name,
            zone,
            role,
            core: Core::Down,
            incarnation: 0,
            started_at: Duration::ZERO,
            durable: DurableState::default(),
            configurations: BTreeMap::new(),
            synced_at: Duration::ZERO,
            lacks: None,
        });
    }

    fn member(&self, at: usize) -> Member {
        let node = &self.nodes[at];
        let roles = if node.role == Role::DataNode {
            "proxy,directory"
        } else {
            CONTROL_NODE_ROLE
        };
        let port = |port: u32| {
            format!(
                "10.{}.{}.{}:{port}",
                100 + at / 62_500,
                at / 250 % 250,
                at % 250
            )
        };
        // The model routes by node id; the addresses are only as long as real ones.
        Member {
            node: node.name.clone(),
            incarnation: 1,
            locality: self.size.locality(node.zone),
            roles: roles.into(),
            probe_address: port(7100),
            link_address: port(7000),
            http_address: port(8000),
            ..Member::default()
        }
    }

    /// Starts a process with the contents of its disk.
    pub(crate) fn start(&mut self, at: usize) {
        let me = self.member(at);
        self.named.insert(me.probe_address.clone(), at);
        let seed = self.random.next_u64();
        let core = if self.nodes[at].role == Role::DataNode {
            self.data_node_core(me, seed)
        } else {
            self.control_node_core(at, me, seed)
        };
        let node = &mut self.nodes[at];
        if !matches!(node.role, Role::DataNode | Role::Replica) {
            node.role = Role::Voter;
        }
        node.core = core;
        node.incarnation += 1;
        node.started_at = self.now;
        node.synced_at = self.now;
        node.lacks = None;
        let incarnation = node.incarnation;
        let first = self.now + Duration::from_micros(self.random.below(TICK.as_micros() as u64));
        if !self.load.cold {
            self.introduce_all_members(at, first);
        }
        let tick = ScheduledEvent::Tick {
            node: at,
            incarnation,
        };
        self.queue.push(first, tick);
    }

    fn data_node_core(&self, me: Member, seed: u64) -> Core {
        let data_node = DataNode::new(data_plane::Start {
            me,
            seeds: self.seed_addresses(),
            seed,
            reader: Default::default(),
            times: data_plane::shell::times(&default_settings()),
        });
        Core::DataNode(Box::new(data_node), Box::default())
    }

    fn control_node_core(&self, at: usize, me: Member, seed: u64) -> Core {
        let node = &self.nodes[at];
        let control_node = ControlNode::new(control_plane::Start {
            me,
            seeds: self.seed_addresses(),
            initial_voter_count: self.size.control_nodes,
            seed,
            reader: Default::default(),
            owners: Default::default(),
            durable: node.durable.clone(),
            configurations: node.configurations.clone(),
            departures: Vec::new(),
            times: control_plane::daemon::times(&default_settings()),
        });
        Core::ControlNode(Box::new(control_node))
    }

    /// The membership addresses that every process knows from its settings.
    fn seed_addresses(&self) -> Vec<String> {
        self.control_nodes
            .clone()
            .take(SEED_COUNT)
            .map(|at| self.member(at).probe_address)
            .collect()
    }

    /// Delivers all members' records to a process, so that it needn't discover them.
    fn introduce_all_members(&mut self, at: usize, when: Duration) {
        let members = (0..self.nodes.len()).map(|at| self.member(at)).collect();
        let body = Payload::ProbeReply(ProbeReply {
            members,
            ..ProbeReply::default()
        });
        let datagram = ScheduledEvent::Datagram {
            node: at,
            from: at,
            body,
        };
        self.queue.push(when, datagram);
    }

    /// Kills a process; its disk keeps what was synced.
    pub(crate) fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        node.core = Core::Down;
        if node.role == Role::Holder {
            node.role = Role::Voter;
        }
    }

    /// Starts further data nodes.
    pub(crate) fn grow(&mut self, count: usize) {
        (0..count).for_each(|_| {
            let at = self.nodes.len();
            self.push(format!("carrier-{at}"), self.size.zone(at), Role::DataNode);
            self.start(at);
        });
    }

    /// Starts control nodes without a vote.
    pub(crate) fn grow_replicas(&mut self, count: usize) {
        (0..count).for_each(|number| {
            let at = self.nodes.len();
            self.push(
                format!("replica-{number}"),
                self.size.zone(number),
                Role::Replica,
            );
            self.start(at);
        });
    }

    /// Cuts a region off from all others, or heals the partition.
    pub(crate) fn partition_region(&mut self, region: Option<usize>) {
        self.partition_region = region;
    }

    /// Advances virtual time by `span`.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let mut fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// fleet.run_for(std::time::Duration::from_secs(1));
    /// assert!(fleet.take_stats().all().messages > 0);
    /// ```
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, what)) = self.queue.pop(until) {
            self.now = at;
            self.handle_event(what);
        }
        self.now = until;
    }

    /// Advances virtual time until a condition holds; returns how long that took, `None` if the limit came first.
    ///
    /// ```
    /// use scale_model::{Fleet, Load, CURRENT_SIZE};
    /// let mut fleet = Fleet::new(CURRENT_SIZE, 1, Load::default());
    /// let took = fleet.run_until(std::time::Duration::from_millis(50), |_| false);
    /// assert_eq!(took, None);
    /// ```
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let (from, each) = (self.now, Duration::from_millis(10));
        while !done(self) {
            if self.now >= from + limit {
                return None;
            }
            self.run_for(each);
        }
        Some(self.now - from)
    }

    fn handle_event(&mut self, what: ScheduledEvent) {
        match what {
            ScheduledEvent::Tick { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.queue
                        .push(self.now + TICK, ScheduledEvent::Tick { node, incarnation });
                    self.step(
                        node,
                        "tick",
                        data_plane::Event::Tick,
                        control_plane::Event::Tick,
                    );
                }
            }
            ScheduledEvent::Envelope { node, from, body } => self.envelope(node, from, body),
            ScheduledEvent::Datagram { node, from, body } => {
                let (address, kind) = (self.member(from).probe_address, kind(&body));
                match self.nodes[node].role {
                    Role::DataNode => self.step_data_node(
                        node,
                        kind,
                        data_plane::Event::Datagram { address, body },
                    ),
                    _ => self.step_control(
                        node,
                        kind,
                        control_plane::Event::Datagram { address, body },
                    ),
                }
            }
            ScheduledEvent::Synced {
                node,
                incarnation,
                write_id,
                write,
            } => self.synced(node, incarnation, write_id, write),
            ScheduledEvent::Heartbeat {
                upstream,
                incarnation,
            } => self.heartbeat(upstream, incarnation),
            ScheduledEvent::HeartbeatArrived {
                node,
                upstream,
                incarnation,
                record,
            } => self.receive_heartbeat(node, upstream, incarnation, *record),
            ScheduledEvent::HeartbeatAnswered { upstream, answered } => {
                self.receive_heartbeat_response(upstream, answered)
            }
            ScheduledEvent::Submit { bytes, requested } => self.try_submit(bytes, requested),
            ScheduledEvent::Result { requested, answer } => self.result(requested, &answer),
        }
    }
}

fn default_settings() -> config::Settings {
    config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap_or_default()
}
