//! The operators' manual recovery of a cluster that lost its quorum for good.

use crate::disks::Disk;
use crate::nodes::Node;
use crate::world::World;
use invariants::observations::Observation;
use protocol::SurvivorState;

impl World {
    /// Does what the operators' page says when too many disks are lost for the others to repair them: computes one
    /// state from the survivors' states, and gives it to every control node. Does nothing while a quorum survives.
    pub(super) fn recover_cluster(&mut self) {
        let control_nodes = self.control_nodes();
        let (survivors, lost): (Vec<usize>, Vec<usize>) = control_nodes
            .iter()
            .partition(|node| self.nodes[**node].disk.durable.disk != 0);
        // An interrupted bootstrap is no loss.
        let bootstraps = |node: &usize| !self.nodes[*node].disk.durable.bootstrap_vote.is_empty();
        if lost.iter().any(bootstraps) {
            return;
        }
        let survivors: Vec<SurvivorState> = survivors
            .iter()
            .map(|node| survivor_state(&self.nodes[*node]))
            .collect();
        let lost: Vec<String> = lost
            .iter()
            .map(|node| self.nodes[*node].name.clone())
            .collect();
        let Ok(recovered) = quorum_register::recover_from_survivors(&survivors, &lost) else {
            return;
        };
        self.note(Observation::ClusterRecovered);
        self.note(Observation::Fault {
            what: format!("rescued from {} voters", survivors.len()),
        });
        for node in control_nodes {
            self.kill(node);
            self.nodes[node].disk = recovered_disk(&recovered);
        }
    }
}

fn survivor_state(node: &Node) -> SurvivorState {
    let disk = &node.disk;
    let configuration = disk
        .configurations
        .get(&disk.durable.accepted.digest)
        .cloned()
        .unwrap_or_default();
    SurvivorState {
        node: node.name.clone(),
        durable: disk.durable.clone(),
        configuration,
    }
}

fn recovered_disk(state: &SurvivorState) -> Disk {
    let digest = state.durable.accepted.digest.clone();
    Disk {
        durable: state.durable.clone(),
        configurations: [(digest, state.configuration.clone())]
            .into_iter()
            .collect(),
        ..Disk::default()
    }
}
