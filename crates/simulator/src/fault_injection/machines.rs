//! Faults of machines and their processes.

use super::category::Category;
use crate::faults::{Fault, RESTART_EVERY, RESTART_TAKES, SUCCESSOR_EARLIER, SUCCESSOR_LATER};
use crate::world::World;
use std::time::Duration;

/// How long all control nodes are down when they are killed at once.
pub(super) const CONTROL_NODES_DOWN: Duration = Duration::from_millis(300);

impl World {
    pub(super) fn inject_machine_fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillMachine(machine) => self.kill_machine(machine),
            Fault::KillMachines(machines) => {
                for machine in machines {
                    self.kill_machine(machine);
                }
            }
            Fault::WipeMachine(machine) => self.wipe_machine(machine),
            Fault::Freeze(machine) => self.freeze_machine(machine),
            Fault::ZonePowerLoss(zone) => self.cut_power(&self.zone(zone)),
            Fault::RegionPowerLoss(region) => self.cut_power(&self.region(region)),
            Fault::RollingRestart => self.plan_rolling_restart(),
            Fault::StopMachine(machine) => {
                for node in self.nodes_on_machine(machine) {
                    self.stop(node);
                }
            }
            Fault::InterruptBootstrap(machines) => self.interrupt_bootstrap(&machines),
            Fault::KillControlNodes => {
                for node in self.control_nodes() {
                    self.kill(node);
                }
            }
            Fault::RestartControlNodes => {
                self.submit_configuration(0, None);
                self.restart_on_next_acceptance = true;
            }
            Fault::KillPlacementHolder => {
                for node in self.placement_holder() {
                    self.kill(node);
                }
            }
            Fault::FreezePlacementHolder => {
                for node in self.placement_holder() {
                    self.freeze(node);
                }
            }
            Fault::JumpPlacementHolderClock(ahead) => {
                self.advance_clocks(&self.placement_holder(), ahead);
            }
            Fault::JumpClock(machine, ahead) => {
                self.advance_clocks(&self.nodes_on_machine(machine), ahead);
            }
            Fault::ReplaceVoters {
                places,
                gap,
                planned,
            } => self.plan_voter_replacements(&places, gap, planned),
            Fault::ReplaceOne { place, planned } => self.replace_machine(place, planned),
            Fault::Ambush { evacuate } => self.ambush = Some(evacuate),
            other => Category::Machine.cannot_handle(&other),
        }
    }

    pub(super) fn heal_machine_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::KillMachine(_)
            | Fault::KillMachines(_)
            | Fault::WipeMachine(_)
            | Fault::ZonePowerLoss(_)
            | Fault::RegionPowerLoss(_)
            | Fault::InterruptBootstrap(_)
            | Fault::StopMachine(_)
            | Fault::KillControlNodes
            | Fault::KillPlacementHolder => self.restart_all(),
            Fault::Freeze(_) | Fault::FreezePlacementHolder | Fault::Ambush { .. } => {
                for node in 0..self.nodes.len() {
                    self.thaw(node);
                }
            }
            Fault::ReplaceOne {
                place,
                planned: true,
            } => {
                if let Some(machine) = self.machine_in_place_of(*place) {
                    self.decommission(machine);
                }
            }
            Fault::ReplaceOne {
                place,
                planned: false,
            } => self.add_machine(*place),
            Fault::RollingRestart
            | Fault::RestartControlNodes
            | Fault::JumpPlacementHolderClock(_)
            | Fault::JumpClock(..)
            | Fault::ReplaceVoters { .. } => {}
            other => Category::Machine.cannot_handle(other),
        }
    }

    /// Kills all control nodes at this moment, where a fault waits for an acceptance: one control node has accepted
    /// something and told no data-plane node yet.
    pub(crate) fn restart_if_awaited(&mut self) {
        if std::mem::take(&mut self.restart_on_next_acceptance) {
            let now = self.now;
            self.push_step(now, now + CONTROL_NODES_DOWN, Fault::KillControlNodes);
        }
    }

    /// Starts whatever is down, after a recovery of the cluster where too many disks are lost.
    pub(super) fn restart_all(&mut self) {
        for node in &mut self.nodes {
            node.disk.power_at = None;
        }
        self.recover_cluster();
        for node in 0..self.nodes.len() {
            if !self.nodes[node].up {
                self.start(node);
            }
        }
        self.restart_crashed_upstreams();
    }

    pub(super) fn kill_machine(&mut self, machine: usize) {
        for node in self.nodes_on_machine(machine) {
            self.kill(node);
        }
    }

    pub(super) fn freeze_machine(&mut self, machine: usize) {
        for node in self.nodes_on_machine(machine) {
            self.freeze(node);
        }
    }

    /// Power and disk of a machine are lost.
    pub(super) fn wipe_machine(&mut self, machine: usize) {
        for node in self.nodes_on_machine(machine) {
            self.kill(node);
            self.nodes[node].disk = Default::default();
        }
    }

    /// All machines and upstreams of a zone or region lose their power.
    fn cut_power(&mut self, locality: &str) {
        for node in self.nodes_at(locality) {
            self.kill(node);
        }
        for upstream in 0..self.upstreams.len() {
            if self.upstreams[upstream]
                .place
                .locality
                .starts_with(locality)
            {
                self.crash_upstream(upstream);
            }
        }
    }

    fn plan_rolling_restart(&mut self) {
        for machine in 0..self.shape.machines {
            let from = self.now + RESTART_EVERY * machine as u32;
            self.push_step(from, from + RESTART_TAKES, Fault::StopMachine(machine));
        }
    }

    /// Kills machines while the voters bootstrap; the first of them loses its disk too.
    fn interrupt_bootstrap(&mut self, machines: &[usize]) {
        for (number, machine) in machines.iter().enumerate() {
            for node in self.nodes_on_machine(*machine) {
                self.kill(node);
                if number == 0 {
                    self.nodes[node].disk = Default::default();
                }
            }
        }
    }

    fn advance_clocks(&mut self, nodes: &[usize], ahead: Duration) {
        for node in nodes {
            self.nodes[*node].clock_jump += ahead;
        }
    }

    fn plan_voter_replacements(&mut self, places: &[usize], gap: Duration, planned: bool) {
        let span = if planned {
            SUCCESSOR_EARLIER
        } else {
            SUCCESSOR_LATER
        };
        for (number, place) in places.iter().enumerate() {
            let from = self.now + gap * number as u32;
            let place = *place;
            self.push_step(from, from + span, Fault::ReplaceOne { place, planned });
        }
    }

    /// A planned replacement adds the new machine first; else the old one is lost first.
    fn replace_machine(&mut self, place: usize, planned: bool) {
        self.submit_configuration(0, None);
        if planned {
            self.add_machine(place);
        } else if let Some(machine) = self.machine_in_place_of(place) {
            self.remove_machine(machine);
        }
    }

    /// Shuts a machine down gracefully; it never comes back.
    fn decommission(&mut self, machine: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].machine == machine {
                self.note_loss(node);
                self.nodes[node].removed = true;
                self.stop(node);
            }
        }
    }
}
