//! Faults of the network, and of connections to upstreams.

use super::category::Category;
use crate::connections::ConnectionFaults;
use crate::faults::{Fault, REUSE_EVERY};
use crate::network::Partition;
use crate::world::World;
use std::time::Duration;

impl World {
    pub(super) fn inject_network_fault(&mut self, fault: Fault, until: Duration) {
        match fault {
            Fault::PartitionMachine(machine) => self.partition_machine(machine, false, false),
            Fault::DropOutbound(machine) => self.partition_machine(machine, true, false),
            Fault::DropInbound(machine) => self.partition_machine(machine, false, true),
            Fault::PartitionZone(zone) => self.add_partition(Partition::Zone(self.zone(zone))),
            Fault::PartitionRegion(region) => {
                self.add_partition(Partition::Region(self.region(region)));
            }
            Fault::PacketLoss(per_mille) => self.network.loss_per_mille = per_mille,
            Fault::LongPartition { machine, how } => self.plan_long_partition(machine, how, until),
            Fault::PartitionFromPeers {
                machine,
                receives,
                sends,
            } => self.partition_from_peers(machine, receives, sends),
            Fault::SplitControlNodes(first) => self.split_control_nodes(first),
            Fault::Connections(faults) => {
                self.connections.keep_alive_faults += 1;
                self.set_connection_faults(faults, |now, wanted| now.max(wanted));
            }
            Fault::ReuseAddressesUnderKeepAlive(upstreams) => {
                self.connections.keep_alive_faults += 1;
                self.plan_address_reuse(&upstreams);
            }
            other => Category::Network.cannot_handle(&other),
        }
    }

    pub(super) fn heal_network_fault(&mut self, fault: Fault) {
        match fault {
            Fault::PartitionMachine(_)
            | Fault::DropOutbound(_)
            | Fault::DropInbound(_)
            | Fault::PartitionZone(_)
            | Fault::PartitionRegion(_) => self.network.partitions.clear(),
            Fault::PacketLoss(_) => self.network.loss_per_mille = 0,
            Fault::PartitionFromPeers { machine, .. } => self.reconnect_peers(machine),
            Fault::SplitControlNodes(_) => self
                .network
                .partitions
                .retain(|partition| !matches!(partition, Partition::ControlNodes { .. })),
            Fault::Connections(faults) => {
                self.connections.keep_alive_faults -= 1;
                self.set_connection_faults(faults, |now, wanted| if wanted > 0 { 0 } else { now });
            }
            Fault::ReuseAddressesUnderKeepAlive(_) => self.connections.keep_alive_faults -= 1,
            Fault::LongPartition { .. } => {}
            other => Category::Network.cannot_handle(&other),
        }
    }

    pub(crate) fn add_partition(&mut self, partition: Partition) {
        self.network.partitions.push(partition);
    }

    fn partition_machine(&mut self, machine: usize, receives: bool, sends: bool) {
        let machine = machine % self.shape.machines;
        self.add_partition(Partition::Machine {
            machine,
            receives,
            sends,
        });
    }

    fn split_control_nodes(&mut self, first: usize) {
        let machines = self.shape.disks;
        let side = (0..machines / 2)
            .map(|number| (first + number) % machines)
            .collect();
        self.add_partition(Partition::ControlNodes { side, machines });
    }

    fn set_connection_faults(&mut self, wanted: ConnectionFaults, change: fn(u64, u64) -> u64) {
        let now = &mut self.connections.faults_on_connections;
        now.duplicates_per_mille = change(now.duplicates_per_mille, wanted.duplicates_per_mille);
        now.resets_per_mille = change(now.resets_per_mille, wanted.resets_per_mille);
        now.hangs_per_mille = change(now.hangs_per_mille, wanted.hangs_per_mille);
    }

    fn plan_address_reuse(&mut self, upstreams: &[usize]) {
        for (number, upstream) in upstreams.iter().enumerate() {
            let from = self.now + REUSE_EVERY * (number as u32 + 1);
            self.push_step(from, from + REUSE_EVERY, Fault::ReuseAddress(*upstream));
        }
    }
}
