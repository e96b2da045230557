//! How faults come about, and how they heal.

use super::connections::ConnectionFaults;
use super::faults::{
    DISK_BROKEN_FOR, DISK_EVERY, Fault, MOVE_EVERY, RESTART_EVERY, RESTART_TAKES, REUSE_EVERY,
    STORM_GAP, STORM_SETTLES, SUCCESSOR_EARLIER, SUCCESSOR_LATER, Step,
};
use super::network::Partition;
use super::nodes::{Disk, Node};
use super::operators::OperatorCommand;
use super::world::{LOAD_STARTS_AT, World};
use invariants::observations::Observation;
use protocol::SurvivorState;
use std::time::Duration;

/// How long after its zone was taken back a node thaws that an order to evacuate it lies in.
const THAW_DELAY: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn nodes_on_machine(&self, machine: usize) -> Vec<usize> {
        let machine = machine % self.shape.machines;
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].machine == machine)
            .collect()
    }

    fn nodes_at(&self, part: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].place.locality.starts_with(part))
            .collect()
    }

    fn upstream_index(&self, at: usize) -> usize {
        at % self.upstreams.len()
    }

    fn zone(&self, at: usize) -> String {
        self.shape.locality(at % 6)
    }

    fn region(&self, at: usize) -> String {
        self.shape.regions[at % 3].to_owned()
    }

    /// The postmaster that the others follow for placement.
    fn placement_holder(&self) -> Vec<usize> {
        let holds = |at: &usize| match &self.nodes[*at].core {
            super::nodes::Core::ControlNode(control) => {
                control.holds_placement(self.nodes[*at].local(self.now))
            }
            _ => false,
        };
        (0..self.nodes.len()).filter(holds).collect()
    }

    pub(super) fn inject_fault(&mut self, at: usize) {
        let fault = self.plan.steps[at].fault.clone();
        self.note(Observation::Fault {
            what: format!("{fault:?}"),
        });
        let fixed = match &fault {
            Fault::KillPlacementHolder
            | Fault::FreezePlacementHolder
            | Fault::JumpPlacementHolderClock(_) => self.placement_holder(),
            _ => Vec::new(),
        };
        match fault {
            Fault::KillMachine(machine) | Fault::CorruptConfigurations(machine) => {
                self.nodes_on_machine(machine)
                    .into_iter()
                    .for_each(|node| self.kill(node));
                if matches!(self.plan.steps[at].fault, Fault::CorruptConfigurations(_)) {
                    self.nodes_on_machine(machine)
                        .into_iter()
                        .for_each(|node| self.nodes[node].disk.configurations.clear());
                }
            }
            Fault::KillMachines(machines) => {
                let nodes: Vec<usize> = machines
                    .into_iter()
                    .flat_map(|machine| self.nodes_on_machine(machine))
                    .collect();
                nodes.into_iter().for_each(|node| self.kill(node));
            }
            Fault::WipeMachine(machine) => self.wipe(machine),
            Fault::Freeze(machine) => self
                .nodes_on_machine(machine)
                .into_iter()
                .for_each(|node| self.freeze(node)),
            Fault::SlowDisk(machine) => {
                self.set_disk(machine, |disk| disk.slowed = Duration::from_millis(900))
            }
            Fault::FailDisk(machine) => self.set_disk(machine, |disk| disk.broken = true),
            Fault::HangDisk(machine) => self.set_disk(machine, |disk| disk.hung = true),
            Fault::TearStateWrite(machine) => {
                self.nodes_on_machine(machine).into_iter().for_each(|node| {
                    self.kill(node);
                    self.nodes[node].disk.durable = Default::default();
                })
            }
            Fault::WipeTwo(machine) => {
                (0..8).for_each(|extra| self.submit_configuration(extra, None));
                let (disks, first) = (self.shape.disks, machine % self.shape.disks);
                let both = [first, (first + 1 + machine / disks % (disks - 1)) % disks];
                both.into_iter().for_each(|machine| self.wipe(machine));
            }
            Fault::PowerLossAtWrite {
                machine,
                write,
                synced,
                wiped,
            } => {
                if wiped {
                    self.wipe(machine);
                    self.nodes_on_machine(machine)
                        .into_iter()
                        .for_each(|node| self.start(node));
                }
                self.set_disk(machine, |disk| disk.power_at = Some((write, synced)));
                if self.operators.configurations() > 0 {
                    (0..4).for_each(|extra| self.submit_configuration(extra, None));
                }
            }
            Fault::PartitionMachine(machine) => self.cut(Partition::Machine {
                machine: machine % self.shape.machines,
                receives: false,
                sends: false,
            }),
            Fault::DropOutbound(machine) => self.cut(Partition::Machine {
                machine: machine % self.shape.machines,
                receives: true,
                sends: false,
            }),
            Fault::DropInbound(machine) => self.cut(Partition::Machine {
                machine: machine % self.shape.machines,
                receives: false,
                sends: true,
            }),
            Fault::PartitionZone(zone) => self.cut(Partition::Zone(self.zone(zone))),
            Fault::PartitionRegion(region) => self.cut(Partition::Region(self.region(region))),
            Fault::ZonePowerLoss(zone) => self.cut_power(&self.zone(zone)),
            Fault::RegionPowerLoss(region) => self.cut_power(&self.region(region)),
            Fault::PacketLoss(per_mille) => self.network.loss_per_mille = per_mille,
            Fault::RollingRestart => (0..self.shape.machines).for_each(|machine| {
                let from = self.now + RESTART_EVERY * machine as u32;
                self.push_step(from, from + RESTART_TAKES, Fault::StopMachine(machine));
            }),
            Fault::CrashUpstreams(upstreams) => upstreams
                .into_iter()
                .for_each(|upstream| self.crash_upstream(self.upstream_index(upstream))),
            Fault::RollUpstreams(upstreams) => upstreams
                .into_iter()
                .for_each(|upstream| self.leave(self.upstream_index(upstream))),
            Fault::DeregisterBeforeDraining(upstreams) => {
                upstreams.into_iter().for_each(|upstream| {
                    self.deregister_before_draining(self.upstream_index(upstream))
                });
            }
            Fault::ReuseAddress(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.crash_upstream(upstream);
                let other = self
                    .shape
                    .services
                    .iter()
                    .position(|work| work.service == self.upstreams[upstream].work.service);
                let work = self.shape.services[(other.unwrap_or(0) + 1) % 3];
                self.replace_upstream(upstream, work, false);
            }
            Fault::Connections(faults_on_connections) => {
                self.connections.keep_alive_faults += 1;
                self.set_connection_faults(faults_on_connections, |now, wanted| now.max(wanted));
            }
            Fault::ReuseAddressesUnderKeepAlive(upstreams) => {
                self.connections.keep_alive_faults += 1;
                upstreams
                    .into_iter()
                    .enumerate()
                    .for_each(|(number, upstream)| {
                        let from = self.now + REUSE_EVERY * (number as u32 + 1);
                        self.push_step(from, from + REUSE_EVERY, Fault::ReuseAddress(upstream));
                    });
            }
            Fault::RestartCold(every) => (0..self.upstreams.len())
                .filter(|upstream| upstream % every == 0)
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|upstream| {
                    self.crash_upstream(upstream);
                    let work = self.upstreams[upstream].work;
                    self.replace_upstream(upstream, work, false);
                }),
            Fault::LoseResponses(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].loses_per_mille = 400;
            }
            Fault::GarbleResponses(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].garbles_per_mille = 400;
            }
            Fault::BadRelease => self.set_first_service_garbling(400),
            Fault::PauseUpstream(upstream) => {
                let (upstream, until) = (self.upstream_index(upstream), self.plan.steps[at].until);
                self.upstreams[upstream].paused_until = until;
            }
            Fault::Evacuate(zone) => self.submit(OperatorCommand::Evacuate {
                locality: self.zone(zone),
                back: false,
            }),
            Fault::EvacuatePartitionedZone(zone) => {
                self.cut(Partition::Zone(self.zone(zone)));
                self.submit(OperatorCommand::Evacuate {
                    locality: self.zone(zone),
                    back: false,
                });
            }
            Fault::ConfigurationStorm => {
                (0..40).for_each(|extra| self.submit_configuration(extra * 10, None))
            }
            Fault::OperatorRace => (0..6).for_each(|_| {
                let base = Some(self.operators.revision);
                self.submit_configuration(1, base);
            }),
            Fault::InterruptBootstrap(machines) => {
                machines
                    .into_iter()
                    .enumerate()
                    .for_each(|(order, machine)| {
                        self.nodes_on_machine(machine).into_iter().for_each(|node| {
                            self.kill(node);
                            if order == 0 {
                                self.nodes[node].disk = Default::default();
                            }
                        });
                    })
            }
            Fault::HotKey => self.hot_key = true,
            Fault::LongConfigurationStorm(count) => self.continue_configuration_storm(count),
            Fault::RefuseDisk(machine) => self.set_disk(machine, |disk| disk.rejects_writes = true),
            Fault::DisksFullInTurn(count) => self.break_disks_in_turn(count, Fault::RefuseDisk),
            Fault::DisksStallInTurn(count) => self.break_disks_in_turn(count, Fault::HangDisk),
            Fault::ReplaceVoters {
                places,
                gap,
                planned,
            } => places.iter().enumerate().for_each(|(order, place)| {
                let from = self.now + gap * order as u32;
                let step = Fault::ReplaceOne {
                    place: *place,
                    planned,
                };
                self.push_step(
                    from,
                    from + if planned {
                        SUCCESSOR_EARLIER
                    } else {
                        SUCCESSOR_LATER
                    },
                    step,
                );
            }),
            Fault::ReplaceOne { place, planned } => {
                self.submit_configuration(0, None);
                if planned {
                    self.add_machine(place);
                } else {
                    let lost = self.machine_in_place_of(place);
                    lost.into_iter()
                        .for_each(|machine| self.remove_machine(machine));
                }
            }
            Fault::VersionRace(times) => {
                self.race_versions();
                let next = self.now + Duration::from_millis(150);
                if times > 1 {
                    self.push_step(next, next, Fault::VersionRace(times - 1));
                }
            }
            Fault::RestartControlNodes => {
                self.submit_configuration(0, None);
                self.restart_on_next_acceptance = true;
            }
            Fault::KillControlNodes => self
                .control_nodes()
                .into_iter()
                .for_each(|node| self.kill(node)),
            Fault::DelayGrants => self.late_answers = true,
            Fault::LoseCommandResults(per_mille) => {
                self.operators.delivery.lost_per_mille = per_mille
            }
            Fault::ReorderCommands => self.operators.delivery.scrambled = true,
            Fault::CommandStorm(count) | Fault::StaleCommandStorm(count) => {
                self.start_command_storm(count)
            }
            Fault::EqualVersions(times) => {
                self.race_equal_versions();
                let next = self.now + Duration::from_millis(300);
                if times > 1 {
                    self.push_step(next, next, Fault::EqualVersions(times - 1));
                }
            }
            Fault::LateEvacuation(zone) => self.evacuate_repeatedly(self.zone(zone)),
            Fault::FrozenEvacuation(zone) => {
                let (machine, thaws_at) = (
                    zone % self.shape.disks,
                    self.plan.steps[at].until + THAW_DELAY,
                );
                self.push_step(self.now, thaws_at, Fault::Freeze(machine));
                let node = self
                    .nodes_on_machine(machine)
                    .into_iter()
                    .find(|node| self.nodes[*node].is_control_node());
                node.into_iter()
                    .for_each(|node| self.evacuate_through(node, self.zone(zone)));
            }
            Fault::CrashHomeUpstreams => {
                let bound = (0..self.upstreams.len())
                    .filter(|upstream| self.upstreams[*upstream].work.homes > 0);
                bound
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|upstream| self.crash_upstream(upstream));
            }
            Fault::Ambush { evacuate } => self.ambush = Some(evacuate),
            Fault::AddUpstreams(count) => {
                let added_upstreams: Vec<usize> =
                    (0..count).map(|at| self.add_upstream(at)).collect();
                added_upstreams
                    .into_iter()
                    .for_each(|upstream| self.added_upstreams.push(upstream));
            }
            Fault::EvacuateZonesInTurn => (0..6).for_each(|zone| {
                let from = self.now + MOVE_EVERY * zone as u32;
                self.push_step(from, from + MOVE_EVERY, Fault::Evacuate(zone));
            }),
            Fault::JumpClock(machine, ahead) => {
                self.nodes_on_machine(machine)
                    .into_iter()
                    .for_each(|node| self.nodes[node].clock_jump += ahead);
            }
            Fault::JumpPlacementHolderClock(ahead) => fixed
                .into_iter()
                .for_each(|node| self.nodes[node].clock_jump += ahead),
            Fault::LongPartition { machine, how } => {
                self.plan_long_partition(machine, how, self.plan.steps[at].until)
            }
            Fault::PartitionFromPeers {
                machine,
                receives,
                sends,
            } => self.partition_from_peers(machine, receives, sends),
            Fault::RouteCommandsTo(machine) => self.route_commands_to(machine),
            Fault::StopMachine(machine) => self
                .nodes_on_machine(machine)
                .into_iter()
                .for_each(|node| self.stop(node)),
            Fault::KillPlacementHolder => fixed.into_iter().for_each(|node| self.kill(node)),
            Fault::FreezePlacementHolder => fixed.into_iter().for_each(|node| self.freeze(node)),
        }
    }

    pub(super) fn heal_fault(&mut self, at: usize) {
        self.note(Observation::Fault {
            what: format!("healed: {:?}", self.plan.steps[at].fault),
        });
        match self.plan.steps[at].fault.clone() {
            Fault::KillMachine(_)
            | Fault::KillMachines(_)
            | Fault::WipeMachine(_)
            | Fault::CorruptConfigurations(_)
            | Fault::ZonePowerLoss(_)
            | Fault::RegionPowerLoss(_)
            | Fault::InterruptBootstrap(_)
            | Fault::StopMachine(_)
            | Fault::TearStateWrite(_)
            | Fault::WipeTwo(_)
            | Fault::PowerLossAtWrite { .. }
            | Fault::KillControlNodes
            | Fault::KillPlacementHolder => {
                self.nodes
                    .iter_mut()
                    .for_each(|node| node.disk.power_at = None);
                self.rescue();
                let down: Vec<usize> = (0..self.nodes.len())
                    .filter(|node| !self.nodes[*node].up)
                    .collect();
                down.into_iter().for_each(|node| self.start(node));
                self.restart_crashed_upstreams();
            }
            Fault::FailDisk(machine) => {
                self.set_disk(machine, |disk| disk.broken = false);
                self.nodes_on_machine(machine).into_iter().for_each(|node| {
                    self.kill(node);
                    self.start(node);
                });
            }
            Fault::ReplaceOne {
                place,
                planned: true,
            } => {
                let old = self.machine_in_place_of(place);
                old.into_iter()
                    .for_each(|machine| self.decommission(machine));
            }
            Fault::ReplaceOne {
                place,
                planned: false,
            } => self.add_machine(place),
            Fault::Freeze(_) | Fault::FreezePlacementHolder | Fault::Ambush { .. } => {
                (0..self.nodes.len()).for_each(|node| self.thaw(node))
            }
            Fault::SlowDisk(machine) => self.set_disk(machine, |disk| disk.slowed = Duration::ZERO),
            Fault::HangDisk(machine) => self.set_disk(machine, |disk| disk.hung = false),
            Fault::RefuseDisk(machine) => {
                self.set_disk(machine, |disk| disk.rejects_writes = false)
            }
            Fault::PartitionMachine(_)
            | Fault::DropOutbound(_)
            | Fault::DropInbound(_)
            | Fault::PartitionZone(_)
            | Fault::PartitionRegion(_) => self.network.partitions.clear(),
            Fault::PacketLoss(_) => self.network.loss_per_mille = 0,
            Fault::HotKey => self.hot_key = false,
            Fault::DelayGrants => self.late_answers = false,
            Fault::LoseCommandResults(_) => self.operators.delivery.lost_per_mille = 0,
            Fault::ReorderCommands => self.operators.delivery.scrambled = false,
            Fault::CommandStorm(_) => self.end_command_storm(),
            Fault::StaleCommandStorm(_) => {
                self.end_command_storm();
                self.resend_oldest();
            }
            Fault::LateEvacuation(zone) | Fault::FrozenEvacuation(zone) => {
                self.end_evacuation(self.zone(zone))
            }
            Fault::CrashUpstreams(_) | Fault::CrashHomeUpstreams => {
                self.restart_crashed_upstreams()
            }
            Fault::RollUpstreams(upstreams) | Fault::DeregisterBeforeDraining(upstreams) => {
                upstreams.into_iter().for_each(|upstream| {
                    let upstream = self.upstream_index(upstream);
                    if self.upstreams[upstream].state == protocol::UpstreamState::Draining {
                        self.crash_upstream(upstream);
                        let work = self.upstreams[upstream].work;
                        self.replace_upstream(upstream, work, true);
                    }
                })
            }
            Fault::RestartCold(_) | Fault::ReuseAddress(_) => {
                self.upstreams
                    .iter_mut()
                    .for_each(|upstream| upstream.warm = true);
            }
            Fault::LoseResponses(upstream) | Fault::GarbleResponses(upstream) => {
                let upstream = self.upstream_index(upstream);
                self.upstreams[upstream].loses_per_mille = 0;
                self.upstreams[upstream].garbles_per_mille = 0;
            }
            Fault::AddUpstreams(_) => std::mem::take(&mut self.added_upstreams)
                .into_iter()
                .for_each(|upstream| self.leave(upstream)),
            Fault::BadRelease => self.set_first_service_garbling(0),
            Fault::Evacuate(zone) => self.end_evacuation(self.zone(zone)),
            Fault::EvacuatePartitionedZone(zone) => {
                self.network.partitions.clear();
                self.end_evacuation(self.zone(zone));
            }
            Fault::PauseUpstream(upstream) => {
                let step = &self.plan.steps[at];
                let span = step.until - step.at;
                if self.defects.clock_stops_while_suspended {
                    self.extend_leases(self.upstream_index(upstream), span);
                }
            }
            Fault::PartitionFromPeers { machine, .. } => self.reconnect_peers(machine),
            Fault::RouteCommandsTo(_) => self.replace_draining_upstreams(),
            Fault::Connections(faults_on_connections) => {
                self.connections.keep_alive_faults -= 1;
                self.set_connection_faults(
                    faults_on_connections,
                    |now, wanted| if wanted > 0 { 0 } else { now },
                );
            }
            Fault::ReuseAddressesUnderKeepAlive(_) => self.connections.keep_alive_faults -= 1,
            Fault::RollingRestart
            | Fault::LongPartition { .. }
            | Fault::EvacuateZonesInTurn
            | Fault::VersionRace(_)
            | Fault::EqualVersions(_)
            | Fault::RestartControlNodes
            | Fault::ConfigurationStorm
            | Fault::LongConfigurationStorm(_)
            | Fault::DisksFullInTurn(_)
            | Fault::DisksStallInTurn(_)
            | Fault::ReplaceVoters { .. }
            | Fault::OperatorRace
            | Fault::JumpClock(..)
            | Fault::JumpPlacementHolderClock(_) => {}
        }
    }

    /// What the operators' page says to do when too many disks are lost for the others to mend them: the survivors'
    /// survivors are settled, and every disk inherits.
    fn rescue(&mut self) {
        let control_nodes = self.control_nodes();
        let (survivors, lost): (Vec<usize>, Vec<usize>) = control_nodes
            .iter()
            .partition(|at| self.nodes[**at].disk.durable.disk != 0);
        // A founding that was interrupted is no loss.
        if lost
            .iter()
            .any(|at| !self.nodes[*at].disk.durable.bootstrap_vote.is_empty())
        {
            return;
        }
        let survivor = |at: &usize| {
            let Node { name, disk, .. } = &self.nodes[*at];
            let configuration = disk
                .configurations
                .get(&disk.durable.accepted.digest)
                .cloned()
                .unwrap_or_default();
            SurvivorState {
                node: name.clone(),
                durable: disk.durable.clone(),
                configuration,
            }
        };
        let survivors: Vec<SurvivorState> = survivors.iter().map(survivor).collect();
        let lost: Vec<String> = lost.iter().map(|at| self.nodes[*at].name.clone()).collect();
        quorum_register::recover_from_survivors(&survivors, &lost)
            .into_iter()
            .for_each(|inheritance| {
                self.note(Observation::ClusterRecovered);
                self.note(Observation::Fault {
                    what: format!("rescued from {} voters", survivors.len()),
                });
                let SurvivorState {
                    durable,
                    configuration,
                    ..
                } = inheritance;
                control_nodes.iter().for_each(|at| {
                    self.kill(*at);
                    let configurations = [(durable.accepted.digest.clone(), configuration.clone())]
                        .into_iter()
                        .collect();
                    self.nodes[*at].disk = Disk {
                        durable: durable.clone(),
                        configurations,
                        ..Disk::default()
                    };
                });
            });
    }

    fn set_connection_faults(&mut self, wanted: ConnectionFaults, turn: fn(u64, u64) -> u64) {
        let now = &mut self.connections.faults_on_connections;
        now.duplicates_per_mille = turn(now.duplicates_per_mille, wanted.duplicates_per_mille);
        now.resets_per_mille = turn(now.resets_per_mille, wanted.resets_per_mille);
        now.hangs_per_mille = turn(now.hangs_per_mille, wanted.hangs_per_mille);
    }

    /// An upstream tells that it leaves.
    fn leave(&mut self, upstream: usize) {
        self.upstreams[upstream].state = if self.defects.drains_unannounced {
            protocol::UpstreamState::Ready
        } else {
            protocol::UpstreamState::Draining
        };
        let instance = self.upstreams[upstream].instance.clone();
        self.note(Observation::UpstreamDraining { instance });
        self.send_heartbeat(upstream);
    }

    /// Power and disk of a machine are lost.
    fn wipe(&mut self, machine: usize) {
        self.nodes_on_machine(machine).into_iter().for_each(|node| {
            self.kill(node);
            self.nodes[node].disk = Default::default();
        });
    }

    /// A further step, found out while a fault comes about.
    pub(super) fn push_step(&mut self, at: Duration, until: Duration, fault: Fault) {
        self.plan.steps.push(Step { at, until, fault });
        let step = self.plan.steps.len() - 1;
        self.at(at, super::world::Action::InjectFault { at: step });
        self.at(until, super::world::Action::HealFault { at: step });
    }

    /// A machine is told to end and never comes back.
    fn decommission(&mut self, machine: usize) {
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].machine == machine)
            .collect();
        nodes.into_iter().for_each(|at| {
            self.note_loss(at);
            self.nodes[at].removed = true;
            self.stop(at);
        });
    }

    /// One more setup of a storm; after the last, all control nodes are killed.
    fn continue_configuration_storm(&mut self, left: u32) {
        let (next, slow_disk) = (self.now + STORM_GAP, Duration::from_millis(40));
        self.set_disk(0, |disk| disk.slowed = slow_disk);
        if left == 0 {
            self.set_disk(0, |disk| disk.slowed = Duration::ZERO);
            let killed_at = self.now + STORM_SETTLES;
            return self.push_step(
                killed_at,
                killed_at + Duration::from_millis(300),
                Fault::KillControlNodes,
            );
        }
        self.submit_configuration(0, None);
        self.push_step(next, next, Fault::LongConfigurationStorm(left - 1));
    }

    fn set_first_service_garbling(&mut self, per_mille: u64) {
        let service = self.shape.services[0].service;
        let bad = self
            .upstreams
            .iter_mut()
            .filter(|upstream| upstream.work.service == service);
        bad.for_each(|upstream| upstream.garbles_per_mille = per_mille);
    }

    /// A proxy has just chosen this upstream and begun to connect: the moment an ambush waits for.
    pub(super) fn trigger_ambush(&mut self, proxy: usize, instance: &str) {
        let upstream = self
            .upstreams
            .iter()
            .position(|upstream| upstream.instance == instance && upstream.up);
        let sprung = upstream
            .filter(|_| self.now >= LOAD_STARTS_AT)
            .and_then(|upstream| self.ambush.take().map(|how| (upstream, how)));
        sprung.into_iter().for_each(|(upstream, evacuate)| {
            let machine = self.nodes[proxy].machine;
            self.nodes_on_machine(machine)
                .into_iter()
                .for_each(|node| self.freeze(node));
            if evacuate {
                let locality = self.upstreams[upstream].place.locality.clone();
                self.submit(OperatorCommand::Evacuate {
                    locality: locality.clone(),
                    back: false,
                });
            } else {
                self.leave(upstream);
            }
        });
    }

    /// A postmaster has just accepted something, and told no carrier: the moment that a restart waits for.
    pub(super) fn trigger_restart(&mut self) {
        if std::mem::take(&mut self.restart_on_next_acceptance) {
            self.push_step(
                self.now,
                self.now + Duration::from_millis(300),
                Fault::KillControlNodes,
            );
        }
    }

    /// One disk after the other breaks and heals, two at once at most, while setups come; then all control nodes restart.
    fn break_disks_in_turn(&mut self, configurations: u32, fault: fn(usize) -> Fault) {
        (0..self.shape.disks).for_each(|machine| {
            let from = self.now + DISK_EVERY * machine as u32;
            self.push_step(from, from + DISK_BROKEN_FOR, fault(machine));
        });
        self.continue_configuration_storm(configurations);
    }

    fn set_disk(&mut self, machine: usize, change: impl Fn(&mut super::nodes::Disk)) {
        self.nodes_on_machine(machine)
            .into_iter()
            .for_each(|node| change(&mut self.nodes[node].disk));
    }

    pub(super) fn cut(&mut self, cut: Partition) {
        self.network.partitions.push(cut);
    }

    fn cut_power(&mut self, part: &str) {
        self.nodes_at(part)
            .into_iter()
            .for_each(|node| self.kill(node));
        let upstreams = (0..self.upstreams.len())
            .filter(|upstream| self.upstreams[*upstream].place.locality.starts_with(part));
        upstreams
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|upstream| self.crash_upstream(upstream));
    }

    /// Whatever upstream is down comes back as a new, warm instance.
    fn restart_crashed_upstreams(&mut self) {
        (0..self.upstreams.len()).for_each(|upstream| {
            if !self.upstreams[upstream].up {
                let work = self.upstreams[upstream].work;
                self.replace_upstream(upstream, work, true);
            }
        });
    }
}
