//! Faults on the way between operators and control nodes, and commands that race.

use super::ZONES;
use super::category::Category;
use crate::faults::{Fault, MOVE_EVERY};
use crate::network::Partition;
use crate::submissions::OperatorCommand;
use crate::world::World;
use std::time::Duration;

/// How long after the end of an evacuation a node thaws that has the command to evacuate in its sockets.
const THAW_DELAY: Duration = Duration::from_secs(2);
/// Between two rounds of a race of versions, and of one of equal versions.
const VERSION_RACE_GAP: Duration = Duration::from_millis(150);
const EQUAL_VERSIONS_GAP: Duration = Duration::from_millis(300);
/// Configurations of a storm, and by how many routes each is larger than the one before.
const STORM_CONFIGURATIONS: usize = 40;
const STORM_EXTRA_ROUTES: usize = 10;
/// Operators that submit a configuration based on the same revision.
const RACING_OPERATORS: usize = 6;

impl World {
    pub(super) fn inject_operator_fault(&mut self, fault: Fault, until: Duration) {
        match fault {
            Fault::Evacuate(zone) => self.submit_evacuation(zone),
            Fault::EvacuatePartitionedZone(zone) => {
                self.add_partition(Partition::Zone(self.zone(zone)));
                self.submit_evacuation(zone);
            }
            Fault::EvacuateZonesInTurn => {
                for zone in 0..ZONES {
                    let from = self.now + MOVE_EVERY * zone as u32;
                    self.push_step(from, from + MOVE_EVERY, Fault::Evacuate(zone));
                }
            }
            Fault::ConfigurationStorm => {
                for number in 0..STORM_CONFIGURATIONS {
                    self.submit_configuration(number * STORM_EXTRA_ROUTES, None);
                }
            }
            Fault::OperatorRace => {
                for _ in 0..RACING_OPERATORS {
                    let base = Some(self.operators.revision);
                    self.submit_configuration(1, base);
                }
            }
            Fault::LongConfigurationStorm(count) => self.continue_configuration_storm(count),
            Fault::VersionRace(times) => {
                self.race_versions();
                self.repeat_race(times, VERSION_RACE_GAP, Fault::VersionRace);
            }
            Fault::EqualVersions(times) => {
                self.race_equal_versions();
                self.repeat_race(times, EQUAL_VERSIONS_GAP, Fault::EqualVersions);
            }
            Fault::LoseCommandResults(per_mille) => {
                self.operators.delivery.lost_per_mille = per_mille;
            }
            Fault::ReorderCommands => self.operators.delivery.reordered = true,
            Fault::CommandStorm(count) | Fault::StaleCommandStorm(count) => {
                self.start_command_storm(count);
            }
            Fault::LateEvacuation(zone) => self.evacuate_repeatedly(self.zone(zone)),
            Fault::FrozenEvacuation(zone) => self.evacuate_through_frozen_node(zone, until),
            Fault::RouteCommandsTo(machine) => self.route_commands_to(machine),
            other => Category::Operator.cannot_handle(&other),
        }
    }

    pub(super) fn heal_operator_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Evacuate(zone) | Fault::LateEvacuation(zone) | Fault::FrozenEvacuation(zone) => {
                self.end_evacuation(self.zone(*zone));
            }
            Fault::EvacuatePartitionedZone(zone) => {
                self.network.partitions.clear();
                self.end_evacuation(self.zone(*zone));
            }
            Fault::LoseCommandResults(_) => self.operators.delivery.lost_per_mille = 0,
            Fault::ReorderCommands => self.operators.delivery.reordered = false,
            Fault::CommandStorm(_) => self.end_command_storm(),
            Fault::StaleCommandStorm(_) => {
                self.end_command_storm();
                self.resend_oldest();
            }
            Fault::RouteCommandsTo(_) => self.replace_draining_upstreams(),
            Fault::EvacuateZonesInTurn
            | Fault::ConfigurationStorm
            | Fault::OperatorRace
            | Fault::LongConfigurationStorm(_)
            | Fault::VersionRace(_)
            | Fault::EqualVersions(_) => {}
            other => Category::Operator.cannot_handle(other),
        }
    }

    fn submit_evacuation(&mut self, zone: usize) {
        self.submit(OperatorCommand::Evacuate {
            locality: self.zone(zone),
            back: false,
        });
    }

    /// Plans the next round of a race, where this one was not the last.
    fn repeat_race(&mut self, times: u32, gap: Duration, race: fn(u32) -> Fault) {
        let next = self.now + gap;
        if times > 1 {
            self.push_step(next, next, race(times - 1));
        }
    }

    /// Freezes a machine, and sends its control node a command to evacuate a zone.
    fn evacuate_through_frozen_node(&mut self, zone: usize, until: Duration) {
        let machine = zone % self.shape.disks;
        self.push_step(self.now, until + THAW_DELAY, Fault::Freeze(machine));
        let control_node = self
            .nodes_on_machine(machine)
            .into_iter()
            .find(|node| self.nodes[*node].is_control_node());
        if let Some(node) = control_node {
            self.evacuate_through(node, self.zone(zone));
        }
    }
}
