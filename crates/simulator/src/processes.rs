//! The lifecycle of processes: they start on what their disks hold, stop, crash, freeze and thaw.

use crate::disks::Disk;
use crate::exchanges::Exchange;
use crate::network::Endpoint;
use crate::nodes::{Core, DRIFT, Node};
use crate::schedule::Action;
use crate::world::World;
use config::{Configuration, ValidationError};
use control_plane::ControlNode;
use data_plane::DataNode;
use locality::Locality;
use name_directory::ConfigurationParser;
use protocol::{CONTROL_NODE_ROLE, Member};
use request_routing::ProxyContext;
use std::time::Duration;

/// What membership calls a data-plane node: the string is on the wire.
const DATA_NODE_ROLES: &str = "proxy,directory";
/// How many nodes the settings name as seeds.
const SEED_NODES: usize = 3;
/// Within this after its start a process ticks for the first time.
const TICK_SPREAD_MICROS: u64 = 50_000;

fn default_settings() -> config::Settings {
    config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap_or_default()
}

/// In a defective system: a configuration whose version is lost.
fn parse_without_version(bytes: &[u8]) -> Result<Configuration, Vec<ValidationError>> {
    Configuration::parse(bytes).map(|mut configuration| {
        configuration.version = None;
        configuration
    })
}

impl World {
    pub(crate) fn create_nodes(&mut self) {
        let kinds = |machine: usize, disks: usize| {
            if machine < disks {
                vec![true, false]
            } else {
                vec![false]
            }
        };
        for machine in 0..self.shape.machines {
            let locality = self.shape.locality(machine);
            for is_control_node in kinds(machine, self.shape.disks) {
                self.create_node(machine, &locality, is_control_node);
            }
        }
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    fn create_node(&mut self, machine: usize, locality: &str, is_control_node: bool) {
        let name = format!(
            "{}-{machine}",
            if is_control_node {
                "postmaster"
            } else {
                "carrier"
            }
        );
        let zone: Locality = locality.parse().unwrap_or_default();
        let mut site = ProxyContext::new(&name, zone, self.defects.stale_after, self.load.wait_for);
        site.ownership = self.shape.ownership;
        site.serve_stale_view = self.shape.serves_stale_view;
        let drift = self.random.below(2 * DRIFT) as i64 - DRIFT as i64;
        let place = Endpoint {
            machine: Some(machine),
            locality: locality.to_owned(),
        };
        self.nodes.push(Node {
            name,
            machine,
            place,
            up: false,
            removed: false,
            incarnation: 0,
            started_at: Duration::ZERO,
            core: Core::Down,
            disk: Disk::default(),
            frozen: None,
            site,
            is_control_node,
            next_sweep: Duration::ZERO,
            drift,
            clock_jump: Duration::ZERO,
            suspended_for: Duration::ZERO,
        });
    }

    /// An empty machine in the place of another: both of its processes, under names of their own.
    pub(crate) fn add_machine(&mut self, place_of: usize) {
        let machine = self
            .nodes
            .iter()
            .map(|node| node.machine + 1)
            .max()
            .unwrap_or(0);
        let locality = self.shape.locality(place_of);
        for is_control_node in [true, false] {
            self.create_node(machine, &locality, is_control_node);
            self.start(self.nodes.len() - 1);
        }
    }

    /// The machine of a voter that was not replaced yet, in the place of this one.
    pub(crate) fn machine_in_place_of(&self, machine: usize) -> Option<usize> {
        let locality = self.shape.locality(machine);
        let there =
            |node: &&Node| node.is_control_node && !node.removed && node.place.locality == locality;
        self.nodes.iter().find(there).map(|node| node.machine)
    }

    /// A machine is gone for good.
    pub(crate) fn remove_machine(&mut self, machine: usize) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].machine == machine)
            .collect();
        nodes.into_iter().for_each(|at| {
            self.note_loss(at);
            self.nodes[at].removed = true;
            self.kill(at);
        });
    }

    pub(crate) fn control_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].is_control_node() && !self.nodes[*at].removed)
            .collect()
    }

    pub(crate) fn data_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| !self.nodes[*at].is_control_node() && !self.nodes[*at].removed)
            .collect()
    }

    /// Starts a process on whatever its disk holds.
    pub(crate) fn start(&mut self, at: usize) {
        let seed = self.random.next_u64();
        if self.nodes[at].removed {
            return;
        }
        self.reset_process(at);
        self.nodes[at].core = if self.nodes[at].is_control_node {
            self.new_control_node(at, seed)
        } else {
            self.new_data_node(at, seed)
        };
        let incarnation = self.nodes[at].incarnation;
        // Not all tick at the same moment.
        let first = self.now + Duration::from_micros(self.random.below(TICK_SPREAD_MICROS));
        self.at(
            first,
            Action::Tick {
                node: at,
                incarnation,
            },
        );
    }

    /// A new incarnation begins: its clock starts, and nothing waits.
    fn reset_process(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.up = true;
        node.incarnation += 1;
        node.started_at = self.now;
        node.frozen = None;
        node.next_sweep = Duration::ZERO;
        node.clock_jump = Duration::ZERO;
        node.suspended_for = Duration::ZERO;
    }

    fn new_control_node(&mut self, at: usize, seed: u64) -> Core {
        let departures = self.stored_departures(at);
        let disk = &mut self.nodes[at].disk;
        disk.waiting.clear();
        let (durable, configurations) = (disk.durable.clone(), disk.configurations.clone());
        let mut times = control_plane::daemon::times(&default_settings());
        times.share_span = self.shape.key_span.unwrap_or(times.share_span);
        if self.defects.lease_counts_clock_jumps {
            times.longest_step = Duration::MAX;
        }
        Core::ControlNode(Box::new(ControlNode::new(control_plane::Start {
            me: self.member(at, CONTROL_NODE_ROLE),
            seeds: self.seed_nodes(),
            initial_voter_count: self.shape.disks,
            seed,
            reader: self.configuration_parser(),
            owners: self.shape.ownership,
            durable,
            configurations,
            departures,
            times,
        })))
    }

    fn new_data_node(&self, at: usize, seed: u64) -> Core {
        let data_node = DataNode::new(data_plane::Start {
            me: self.member(at, DATA_NODE_ROLES),
            seeds: self.seed_nodes(),
            seed,
            reader: self.configuration_parser(),
            times: data_plane::shell::times(&default_settings()),
        });
        Core::DataNode(Box::new(data_node), Box::default())
    }

    /// The node as membership knows it.
    fn member(&self, at: usize, roles: &str) -> Member {
        let node = &self.nodes[at];
        Member {
            node: node.name.clone(),
            locality: node.place.locality.clone(),
            roles: roles.into(),
            probe_address: node.name.clone(),
            link_address: node.name.clone(),
            http_address: node.name.clone(),
            ..Member::default()
        }
    }

    /// The nodes that the settings name as seeds.
    fn seed_nodes(&self) -> Vec<String> {
        let control_nodes = || {
            self.control_nodes()
                .into_iter()
                .take(SEED_NODES)
                .map(|node| self.nodes[node].name.clone())
                .collect()
        };
        self.seeds.clone().unwrap_or_else(control_nodes)
    }

    fn configuration_parser(&self) -> ConfigurationParser {
        if self.defects.ignores_versions {
            ConfigurationParser(parse_without_version)
        } else {
            ConfigurationParser::default()
        }
    }

    /// Kills a process: memory and unsynced writes are gone.
    pub(crate) fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.up = false;
        node.incarnation += 1;
        node.core = Core::Down;
        node.frozen = None;
        node.disk.waiting.clear();
        if self.defects.disks_lose_synced_writes {
            node.disk.durable = std::mem::take(&mut node.disk.early);
        }
        let gone: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.node == at)
            .map(|(id, _)| *id)
            .collect();
        gone.into_iter().for_each(|id| {
            let exchange = self.exchanges.remove(&id);
            exchange
                .into_iter()
                .for_each(|exchange| self.lose(&exchange));
        });
    }

    /// The connection of a request dies with the process that served it.
    fn lose(&mut self, exchange: &Exchange) {
        self.fail_exchange(exchange, Err(transport::CallError::ConnectionLost));
    }

    /// Asks a process to end; it does so once it owes nothing.
    pub(crate) fn stop(&mut self, at: usize) {
        let local = self.nodes[at].local(self.now);
        match &mut self.nodes[at].core {
            Core::ControlNode(control) => {
                let effects = control.step(local, control_plane::Event::Shutdown);
                self.run_control_effects(at, effects);
                self.end_if_done(at);
            }
            Core::DataNode(data_node, _) => {
                let effects = data_node.step(local, data_plane::Event::Shutdown);
                self.run_data_node(at, effects);
            }
            Core::Down => {}
        }
    }

    /// A control node ends once it has handed over; a data-plane node that rejects, with the last request in flight.
    pub(crate) fn end_if_done(&mut self, at: usize) {
        if matches!(&self.nodes[at].core, Core::ControlNode(control) if control.is_shut_down()) {
            return self.kill(at);
        }
        let denies = self.nodes[at]
            .data_node()
            .is_some_and(|data_node| data_node.phase() == data_plane::Phase::Rejecting);
        if denies && !self.exchanges.values().any(|exchange| exchange.node == at) {
            self.kill(at);
        }
    }

    pub(crate) fn freeze(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.up && node.frozen.is_none() {
            node.frozen = Some((now, Vec::new()));
        }
    }

    pub(crate) fn thaw(&mut self, at: usize) {
        let (since, waiting) = self.nodes[at]
            .frozen
            .take()
            .unwrap_or((self.now, Vec::new()));
        if self.defects.clock_stops_while_suspended {
            self.nodes[at].suspended_for += self.now - since;
        }
        let incarnation = self.nodes[at].incarnation;
        if self.nodes[at].up {
            waiting
                .into_iter()
                .for_each(|event| self.after(Duration::ZERO, Action::Deliver { node: at, event }));
            self.after(
                Duration::ZERO,
                Action::Tick {
                    node: at,
                    incarnation,
                },
            );
            self.after(
                Duration::from_millis(1),
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
    }
}
