//! Deliveries and syncs, which are the same in every model: which of them may come next, and what each does.

use crate::network::{InFlight, Message, Network, Schedule};
use std::sync::Arc;

/// A message or a disk goes on.
#[derive(Clone, Copy, Debug)]
pub enum Traffic {
    Deliver {
        message: usize,
    },
    Duplicate {
        message: usize,
    },
    Sync {
        node: usize,
    },
    /// The message whose turn it is comes at any later moment, or never.
    StrayMessage {
        message: usize,
    },
    /// The disk whose turn it is syncs at any later moment.
    StrayDisk {
        node: usize,
    },
}

/// A node, as far as the order of things depends on it.
pub(crate) trait TrafficNode {
    fn is_writing(&self) -> bool;
    fn disk_is_stray(&self) -> bool;
    /// From now on its writes wait for a sync that comes at any moment.
    fn make_disk_stray(&mut self);
    /// Nodes that stand still take no message, and their disks do not sync.
    fn is_awake(&self) -> bool {
        true
    }
}

/// A model's state, as far as messages and disks go.
pub(crate) trait TrafficWorld {
    type Node: TrafficNode + Clone;
    fn nodes(&self) -> &[Arc<Self::Node>];
    fn node_mut(&mut self, at: usize) -> &mut Self::Node;
    fn network(&self) -> &Network;
    fn network_mut(&mut self) -> &mut Network;
    fn strays_left(&mut self) -> &mut u8;
    fn duplicates_left(&mut self) -> &mut u8;
}

/// What may come next where everything comes in order.
pub(crate) struct InOrder {
    /// What comes in turn; none where nothing is left to come.
    pub turn: Option<Traffic>,
    /// The strays, and what may become one.
    pub others: Vec<Traffic>,
}

/// Deliveries and syncs that may come next, whatever the order.
pub(crate) fn any_order<W: TrafficWorld>(world: &W) -> Vec<Traffic> {
    let deliveries = (0..world.network().len()).map(|message| Traffic::Deliver { message });
    let nodes = world.nodes().iter().enumerate();
    let syncs = nodes
        .filter(|(_, node)| node.is_writing())
        .map(|(node, _)| Traffic::Sync { node });
    deliveries.chain(syncs).collect()
}

/// What comes in turn, the strays, and what may become one.
pub(crate) fn in_order<W: TrafficWorld>(world: &W, strays_left: u8) -> InOrder {
    let (network, nodes) = (world.network(), world.nodes());
    let ready = |node: &Arc<W::Node>| node.is_writing() && !node.disk_is_stray() && node.is_awake();
    let (disk, message) = (nodes.iter().position(ready), network.next_in_turn());
    let is_for_awake = |at: &usize| nodes[network.message(*at).to].is_awake();
    let turn = disk
        .map(|node| Traffic::Sync { node })
        .or(message.map(|message| {
            // What comes for a node that stands still waits at its door.
            let waits = !is_for_awake(&message);
            if waits {
                Traffic::StrayMessage { message }
            } else {
                Traffic::Deliver { message }
            }
        }));
    let mut others: Vec<Traffic> = network
        .strays()
        .filter(is_for_awake)
        .map(|message| Traffic::Deliver { message })
        .collect();
    let stray_disks =
        (0..nodes.len()).filter(|at| nodes[*at].disk_is_stray() && nodes[*at].is_awake());
    others.extend(stray_disks.map(|node| Traffic::Sync { node }));
    if strays_left > 0 {
        others.extend(disk.map(|node| Traffic::StrayDisk { node }));
        let message = message.filter(is_for_awake).filter(|_| disk.is_none());
        others.extend(message.map(|message| Traffic::StrayMessage { message }));
    }
    InOrder { turn, others }
}

/// A second delivery of each message in flight to a node that takes it.
pub(crate) fn duplicates<W: TrafficWorld>(world: &W) -> Vec<Traffic> {
    let messages = 0..world.network().len();
    let awake = messages.filter(|at| world.nodes()[world.network().message(*at).to].is_awake());
    awake
        .map(|message| Traffic::Duplicate { message })
        .collect()
}

/// Takes one of them: the model tells what a delivery and a sync do.
pub(crate) fn take<W: TrafficWorld>(
    world: &mut W,
    traffic: Traffic,
    deliver: impl FnOnce(&mut W, &InFlight),
    sync: impl FnOnce(&mut W, usize),
) {
    match traffic {
        Traffic::Deliver { message } => {
            let in_flight = world.network_mut().take(message);
            deliver(world, &in_flight);
        }
        Traffic::Duplicate { message } => {
            *world.duplicates_left() -= 1;
            let in_flight = world.network().copy(message);
            deliver(world, &in_flight);
        }
        Traffic::Sync { node } => sync(world, node),
        Traffic::StrayMessage { message } => {
            let to = world.network().message(message).to;
            *world.strays_left() -= u8::from(world.nodes()[to].is_awake());
            world.network_mut().make_stray(message);
        }
        Traffic::StrayDisk { node } => {
            *world.strays_left() -= 1;
            world.node_mut(node).make_disk_stray();
        }
    }
}

/// How many strays a schedule begins with.
pub(crate) fn strays_of(schedule: Schedule) -> u8 {
    match schedule {
        Schedule::InOrder { strays } => strays,
        Schedule::AnyOrder => 0,
    }
}

/// In words, for a trace.
pub(crate) fn describe<W: TrafficWorld>(world: &W, traffic: Traffic) -> String {
    let (verb, message) = match traffic {
        Traffic::Deliver { message } => ("deliver", message),
        Traffic::Duplicate { message } => ("duplicate", message),
        Traffic::StrayMessage { message } => ("stray", message),
        Traffic::Sync { .. } | Traffic::StrayDisk { .. } => return format!("{traffic:?}"),
    };
    let Message { from, to, body } = world.network().message(message);
    format!(
        "{verb} v{from} -> v{to}: {}",
        shortened(&format!("{body:?}"))
    )
}

/// Long enough to be told apart in a trace.
pub(crate) fn shortened(text: &str) -> String {
    text.chars().take(160).collect()
}
