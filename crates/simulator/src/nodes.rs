//! The simulated processes: control nodes and data-plane nodes around their real cores.

use crate::disks::Disk;
use crate::network::Endpoint;
use control_plane::{ControlNode, ControlRequest};
use data_plane::DataNode;
use protocol::Payload;
use request_routing::{CallOutcome, ProxyContext, ProxyStats};
use std::time::Duration;

/// How far a clock may run off, in parts of a million: a hundred times what real ones do.
pub const DRIFT: u64 = 10_000;

/// What a span counted by a clock that runs off comes to in true time.
pub fn true_span(span: Duration, drift: i64) -> Duration {
    span.mul_f64(1e6 / (1e6 + drift as f64))
}

/// What reaches a node.
#[derive(Clone)]
pub enum NodeEvent {
    Envelope {
        from: String,
        body: Payload,
    },
    Datagram {
        address: String,
        body: Payload,
    },
    ControlRequest {
        request_id: u64,
        ask: ControlRequest,
    },
    Lookup {
        operation: u64,
        name: String,
        place: String,
        asked_at: Duration,
    },
    Request {
        exchange: u64,
        request: crate::exchanges::Request,
    },
    Connected {
        exchange: u64,
        send: u32,
        incarnation: (usize, u64),
    },
    WakeUp {
        exchange: u64,
    },
    CallEnded {
        exchange: u64,
        send: u32,
        outcome: CallOutcome,
        reply: Option<crate::responses::Response>,
    },
}

pub enum Core {
    ControlNode(Box<ControlNode>),
    DataNode(Box<DataNode>, Box<ProxyStats>),
    Down,
}

/// One process.
pub struct Node {
    pub name: String,
    pub machine: usize,
    pub place: Endpoint,
    pub up: bool,
    /// Gone for good: it never starts again.
    pub removed: bool,
    /// Counts starts, so that what belonged to an earlier incarnation is dropped.
    pub incarnation: u64,
    pub started_at: Duration,
    pub core: Core,
    pub disk: Disk,
    /// While frozen: since when, and what waits in its sockets.
    pub frozen: Option<(Duration, Vec<NodeEvent>)>,
    pub site: ProxyContext,
    pub(crate) is_control_node: bool,
    /// When a data-plane node sweeps its statistics next, by its own clock.
    pub(crate) next_sweep: Duration,
    /// How its clock runs, in parts of a million more than true time.
    pub(crate) drift: i64,
    /// How far its clock jumped ahead, and how long it stood still, since the start.
    pub clock_jump: Duration,
    pub(crate) suspended_for: Duration,
}

impl Node {
    pub fn data_node(&self) -> Option<&DataNode> {
        match &self.core {
            Core::DataNode(data_node, _) => Some(data_node),
            _ => None,
        }
    }

    pub fn is_control_node(&self) -> bool {
        self.is_control_node
    }

    /// What its clock says: time since its start, as it counts it.
    pub fn local(&self, now: Duration) -> Duration {
        let lived = now
            .saturating_sub(self.started_at)
            .saturating_sub(self.suspended_for);
        lived.mul_f64(1.0 + self.drift as f64 / 1e6) + self.clock_jump
    }
}
