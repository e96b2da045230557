//! Faults of disks.

use super::category::Category;
use super::machines::CONTROL_NODES_DOWN;
use crate::faults::{DISK_BROKEN_FOR, DISK_EVERY, Fault, STORM_GAP, STORM_SETTLES};
use crate::world::World;
use std::time::Duration;

/// How much longer each sync of a slow disk takes.
const SLOW_SYNC: Duration = Duration::from_millis(900);
/// How much longer each sync takes on the first machine while configurations come in quick succession.
const SLOW_SYNC_IN_STORM: Duration = Duration::from_millis(40);
/// Configurations submitted while two disks are wiped, and while a power loss waits for a write.
const CONFIGURATIONS_WHILE_WIPED: usize = 8;
const CONFIGURATIONS_AT_POWER_LOSS: usize = 4;

impl World {
    pub(super) fn inject_disk_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CorruptConfigurations(machine) => {
                self.kill_machine(machine);
                self.set_disk(machine, |disk| disk.configurations.clear());
            }
            Fault::SlowDisk(machine) => self.set_disk(machine, |disk| disk.slowed = SLOW_SYNC),
            Fault::FailDisk(machine) => self.set_disk(machine, |disk| disk.broken = true),
            Fault::HangDisk(machine) => self.set_disk(machine, |disk| disk.hung = true),
            Fault::RefuseDisk(machine) => self.set_disk(machine, |disk| disk.rejects_writes = true),
            Fault::TearStateWrite(machine) => {
                self.kill_machine(machine);
                self.set_disk(machine, |disk| disk.durable = Default::default());
            }
            Fault::WipeTwo(machine) => self.wipe_two_machines(machine),
            Fault::PowerLossAtWrite {
                machine,
                write,
                synced,
                wiped,
            } => {
                if wiped {
                    self.wipe_machine(machine);
                    for node in self.nodes_on_machine(machine) {
                        self.start(node);
                    }
                }
                self.lose_power_at_write(machine, write, synced);
            }
            Fault::DisksFullInTurn(count) => self.fail_disks_in_turn(count, Fault::RefuseDisk),
            Fault::DisksStallInTurn(count) => self.fail_disks_in_turn(count, Fault::HangDisk),
            other => Category::Disk.cannot_handle(&other),
        }
    }

    pub(super) fn heal_disk_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::CorruptConfigurations(_)
            | Fault::TearStateWrite(_)
            | Fault::WipeTwo(_)
            | Fault::PowerLossAtWrite { .. } => self.restart_all(),
            Fault::SlowDisk(machine) => {
                self.set_disk(*machine, |disk| disk.slowed = Duration::ZERO);
            }
            Fault::FailDisk(machine) => {
                self.set_disk(*machine, |disk| disk.broken = false);
                for node in self.nodes_on_machine(*machine) {
                    self.kill(node);
                    self.start(node);
                }
            }
            Fault::HangDisk(machine) => self.set_disk(*machine, |disk| disk.hung = false),
            Fault::RefuseDisk(machine) => {
                self.set_disk(*machine, |disk| disk.rejects_writes = false);
            }
            Fault::DisksFullInTurn(_) | Fault::DisksStallInTurn(_) => {}
            other => Category::Disk.cannot_handle(other),
        }
    }

    fn wipe_two_machines(&mut self, machine: usize) {
        for extra in 0..CONFIGURATIONS_WHILE_WIPED {
            self.submit_configuration(extra, None);
        }
        let disks = self.shape.disks;
        let first = machine % disks;
        let second = (first + 1 + machine / disks % (disks - 1)) % disks;
        self.wipe_machine(first);
        self.wipe_machine(second);
    }

    fn lose_power_at_write(&mut self, machine: usize, write: u32, synced: bool) {
        self.set_disk(machine, |disk| disk.power_at = Some((write, synced)));
        if self.operators.configurations() > 0 {
            for extra in 0..CONFIGURATIONS_AT_POWER_LOSS {
                self.submit_configuration(extra, None);
            }
        }
    }

    /// One disk after the other fails and heals, two at once at most, in a storm of configurations.
    fn fail_disks_in_turn(&mut self, configurations: u32, fault: fn(usize) -> Fault) {
        for machine in 0..self.shape.disks {
            let from = self.now + DISK_EVERY * machine as u32;
            self.push_step(from, from + DISK_BROKEN_FOR, fault(machine));
        }
        self.continue_configuration_storm(configurations);
    }

    /// Submits one more configuration of a storm; after the last, all control nodes are killed.
    pub(super) fn continue_configuration_storm(&mut self, left: u32) {
        let next = self.now + STORM_GAP;
        self.set_disk(0, |disk| disk.slowed = SLOW_SYNC_IN_STORM);
        if left == 0 {
            self.set_disk(0, |disk| disk.slowed = Duration::ZERO);
            let killed_at = self.now + STORM_SETTLES;
            let until = killed_at + CONTROL_NODES_DOWN;
            return self.push_step(killed_at, until, Fault::KillControlNodes);
        }
        self.submit_configuration(0, None);
        self.push_step(next, next, Fault::LongConfigurationStorm(left - 1));
    }
}
