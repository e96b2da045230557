//! Injects the faults of a plan and heals them, one module for each category of faults.

mod ambush;
mod category;
mod disks;
mod machines;
mod network;
mod operators;
mod recovery;
mod upstreams;

use crate::disks::Disk;
use crate::faults::{Fault, Step};
use crate::nodes::Core;
use crate::schedule::Action;
use crate::world::World;
use category::Category;
use invariants::observations::Observation;
use std::time::Duration;

/// Zones of a site; plans number them modulo this.
pub(super) const ZONES: usize = 6;
/// Regions of a site; plans number them modulo this.
const REGIONS: usize = 3;

impl World {
    /// Injects the fault of this step of the plan.
    pub(super) fn inject_fault(&mut self, step: usize) {
        let fault = self.plan.steps[step].fault.clone();
        self.note(Observation::Fault {
            what: format!("{fault:?}"),
        });
        let until = self.plan.steps[step].until;
        match Category::of(&fault) {
            Category::Machine => self.inject_machine_fault(fault),
            Category::Disk => self.inject_disk_fault(fault),
            Category::Network => self.inject_network_fault(fault, until),
            Category::Upstream => self.inject_upstream_fault(fault, until),
            Category::Operator => self.inject_operator_fault(fault, until),
        }
    }

    /// Heals the fault of this step of the plan; faults that last only a moment need nothing.
    pub(super) fn heal_fault(&mut self, step: usize) {
        let Step { at, until, fault } = self.plan.steps[step].clone();
        self.note(Observation::Fault {
            what: format!("healed: {fault:?}"),
        });
        match Category::of(&fault) {
            Category::Machine => self.heal_machine_fault(&fault),
            Category::Disk => self.heal_disk_fault(&fault),
            Category::Network => self.heal_network_fault(fault),
            Category::Upstream => self.heal_upstream_fault(fault, until - at),
            Category::Operator => self.heal_operator_fault(&fault),
        }
    }

    /// Adds a step to the plan while the run goes on.
    pub(super) fn push_step(&mut self, at: Duration, until: Duration, fault: Fault) {
        self.plan.steps.push(Step { at, until, fault });
        let step = self.plan.steps.len() - 1;
        self.at(at, Action::InjectFault { at: step });
        self.at(until, Action::HealFault { at: step });
    }

    /// The nodes that run on a machine.
    pub(super) fn nodes_on_machine(&self, machine: usize) -> Vec<usize> {
        let machine = machine % self.shape.machines;
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].machine == machine)
            .collect()
    }

    /// The nodes in a zone or region.
    fn nodes_at(&self, locality: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].place.locality.starts_with(locality))
            .collect()
    }

    /// The control nodes that hold the lease on the placement: one, or none.
    fn placement_holder(&self) -> Vec<usize> {
        let holds_lease = |node: &usize| match &self.nodes[*node].core {
            Core::ControlNode(control) => {
                control.holds_placement(self.nodes[*node].local(self.now))
            }
            _ => false,
        };
        (0..self.nodes.len()).filter(holds_lease).collect()
    }

    fn upstream_index(&self, number: usize) -> usize {
        number % self.upstreams.len()
    }

    fn zone(&self, number: usize) -> String {
        self.shape.locality(number % ZONES)
    }

    fn region(&self, number: usize) -> String {
        self.shape.regions[number % REGIONS].to_owned()
    }

    /// Changes the disks of a machine's nodes.
    fn set_disk(&mut self, machine: usize, change: impl Fn(&mut Disk)) {
        for node in self.nodes_on_machine(machine) {
            change(&mut self.nodes[node].disk);
        }
    }
}
