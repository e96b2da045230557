//! Control nodes that are partitioned from the others while operators and upstreams still reach them, and what they
//! confirm meanwhile.

use super::faults::{Fault, LongPartition};
use super::network::Partition;
use super::nodes::Core;
use super::world::World;
use crate::submissions::OperatorCommand;
use control_plane::{ControlRequest, ControlResponse, Event};
use invariants::observations::{Confirmation, Observation};
use result_code::ResultCode;
use std::time::Duration;

/// When operators and upstreams turn to the machine, counted from the cut: at once, while it can't have noticed, and
/// later.
const COMMANDS_AFTER_MS: [u64; 7] = [5, 300, 900, 1500, 4000, 9000, 16_000];
/// How long what was asked there may take.
const DRAINING_LASTS: Duration = Duration::from_millis(4500);
/// A cut that comes and goes.
const FLAP_EVERY: Duration = Duration::from_millis(1700);
const FLAP_LASTS: Duration = Duration::from_millis(900);
const RESTART_AFTER: Duration = Duration::from_secs(3);
const RESTART_LASTS: Duration = Duration::from_millis(300);
/// How many upstreams leave each time.
const DRAINING_AT_ONCE: usize = 2;

impl World {
    /// The steps of a long cut.
    pub(super) fn plan_long_partition(
        &mut self,
        machine: usize,
        how: LongPartition,
        until: Duration,
    ) {
        let machine = machine % self.shape.disks;
        let (receives, sends) = (
            how == LongPartition::DropOutbound,
            how == LongPartition::DropInbound,
        );
        let now = self.now;
        if how == LongPartition::Flapping {
            let mut from = now;
            while from + FLAP_LASTS < until {
                self.push_step(
                    from,
                    from + FLAP_LASTS,
                    Fault::PartitionFromPeers {
                        machine,
                        receives,
                        sends,
                    },
                );
                from += FLAP_EVERY;
            }
        } else {
            self.push_step(
                now,
                until,
                Fault::PartitionFromPeers {
                    machine,
                    receives,
                    sends,
                },
            );
        }
        COMMANDS_AFTER_MS.into_iter().for_each(|after| {
            let at = now + Duration::from_millis(after);
            self.push_step(at, at + DRAINING_LASTS, Fault::RouteCommandsTo(machine));
        });
        let restarted = match how {
            LongPartition::Restarted => Some(machine),
            LongPartition::Seeds => Some((machine + 1) % self.shape.disks),
            _ => None,
        };
        if how == LongPartition::Seeds {
            self.list_first_as_seed(machine);
        }
        restarted.into_iter().for_each(|machine| {
            let at = now + RESTART_AFTER;
            self.push_step(at, at + RESTART_LASTS, Fault::KillMachine(machine));
        });
    }

    /// From now on the settings of all name this machine first.
    fn list_first_as_seed(&mut self, machine: usize) {
        let there = self
            .nodes_on_machine(machine)
            .into_iter()
            .filter(|node| self.nodes[*node].is_control_node());
        let first: Vec<String> = there.map(|node| self.nodes[node].name.clone()).collect();
        let others = self
            .control_nodes()
            .into_iter()
            .map(|node| self.nodes[node].name.clone());
        let others: Vec<String> = others
            .filter(|name| !first.contains(name))
            .take(1)
            .collect();
        let seeds: Vec<String> = first.into_iter().chain(others).collect();
        self.seeds = Some(seeds.clone());
        (0..self.nodes.len()).for_each(|at| {
            let local = self.nodes[at].local(self.now);
            match &mut self.nodes[at].core {
                Core::ControlNode(control) => {
                    drop(control.step(local, Event::SeedsChanged(seeds.clone())))
                }
                Core::DataNode(data_node, _) => {
                    drop(data_node.step(local, data_plane::Event::SeedsChanged(seeds.clone())))
                }
                Core::Down => {}
            }
        });
    }

    fn control_node_on(&self, machine: usize) -> Option<usize> {
        self.nodes_on_machine(machine)
            .into_iter()
            .find(|node| self.nodes[*node].is_control_node())
    }

    pub(super) fn partition_from_peers(&mut self, machine: usize, receives: bool, sends: bool) {
        self.add_partition(Partition::Peers {
            machine,
            receives,
            sends,
        });
        if let Some(node) = self.control_node_on(machine) {
            self.isolated.insert(node);
            let node = self.nodes[node].name.clone();
            self.note(Observation::NodeIsolated { node });
        }
    }

    pub(super) fn reconnect_peers(&mut self, machine: usize) {
        self.network.partitions.retain(
            |cut| !matches!(cut, Partition::Peers { machine: other, .. } if *other == machine),
        );
        if let Some(node) = self.control_node_on(machine) {
            self.isolated.remove(&node);
            let node = self.nodes[node].name.clone();
            self.note(Observation::NodeReconnected { node });
        }
    }

    /// Sends an operator's commands, and the announcements of draining upstreams, there first.
    pub(super) fn route_commands_to(&mut self, machine: usize) {
        let Some(node) = self.control_node_on(machine) else {
            return;
        };
        self.submit_first_at(node);
        let zone = self.shape.locality(machine + 1);
        self.submit_through(
            Some(node),
            OperatorCommand::Evacuate {
                locality: zone.clone(),
                back: false,
            },
            false,
        );
        self.end_evacuation(zone);
        let ready = |upstream: &usize| {
            self.upstreams[*upstream].up
                && self.upstreams[*upstream].state == protocol::UpstreamState::Ready
        };
        let ready: Vec<usize> = (0..self.upstreams.len()).filter(ready).collect();
        (0..DRAINING_AT_ONCE.min(ready.len())).for_each(|_| {
            let upstream = ready[self.random.below(ready.len() as u64) as usize];
            self.upstreams[upstream].state = protocol::UpstreamState::Draining;
            self.upstreams[upstream].draining_node = Some(node);
            self.send_heartbeat(upstream);
        });
    }

    /// Those that left at a cut-off machine are gone by now, and others come in their place.
    pub(super) fn replace_draining_upstreams(&mut self) {
        let left = |upstream: &usize| {
            self.upstreams[*upstream].draining_node.is_some()
                && self.upstreams[*upstream].draining_acked_at.is_some()
        };
        let over = |upstream: &usize| {
            self.upstreams[*upstream]
                .draining_acked_at
                .is_some_and(|at| self.now >= at + DRAINING_LASTS)
        };
        let left: Vec<usize> = (0..self.upstreams.len())
            .filter(left)
            .filter(over)
            .collect();
        left.into_iter().for_each(|upstream| {
            self.crash_upstream(upstream);
            let profile = self.upstreams[upstream].profile;
            self.replace_upstream(upstream, profile, true);
        });
    }

    fn is_taken(&self, instance: &str) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| upstream.instance == instance && upstream.draining_acked_at.is_some())
    }

    /// Notes what a node vouches for while it is cut off from all others.
    pub(super) fn note_confirmation(
        &mut self,
        at: usize,
        request_id: u64,
        answer: &ControlResponse,
    ) {
        let Some((asked_at, what)) = self.requests_while_isolated.remove(&request_id) else {
            return;
        };
        let vouches = match answer {
            ControlResponse::Outcome { code, .. } => {
                matches!(
                    code,
                    ResultCode::Success | ResultCode::Superseded | ResultCode::NoConfiguration
                )
            }
            ControlResponse::Configuration { .. } | ControlResponse::Heartbeat { .. } => true,
            ControlResponse::Rejected { .. }
            | ControlResponse::Json(_)
            | ControlResponse::Redirect { .. } => false,
        };
        if vouches && self.isolated.contains(&at) {
            let node = self.nodes[at].name.clone();
            self.note(Observation::NodeConfirmed {
                node,
                what,
                asked_at,
            });
        }
    }

    /// Notes when a question came to a node that is cut off from all others.
    pub(super) fn note_asked(&mut self, at: usize, request_id: u64, ask: &ControlRequest) {
        let what = match ask {
            ControlRequest::SubmitConfiguration { .. } | ControlRequest::Evacuate { .. } => {
                Confirmation::Command
            }
            ControlRequest::Heartbeat(upstream)
                if upstream.state() == protocol::UpstreamState::Ready =>
            {
                Confirmation::Heartbeat
            }
            // One that was told already that all know goes on beating.
            ControlRequest::Heartbeat(upstream) if self.is_taken(&upstream.instance) => {
                Confirmation::Heartbeat
            }
            ControlRequest::Heartbeat(_) | ControlRequest::Deregister { .. } => {
                Confirmation::Draining
            }
            _ => Confirmation::Read,
        };
        if self.isolated.contains(&at) {
            self.requests_while_isolated
                .insert(request_id, (self.now, what));
        }
    }
}
