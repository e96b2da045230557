//! Upstreams that deregister before they ever drained, serve on for a while, and end.

use super::world::World;
use control_plane::ControlRequest;
use protocol::Upstream;

impl World {
    /// It deregisters at one control node after the other until one acknowledges it. It keeps its keys meanwhile.
    pub(super) fn deregister_before_draining(&mut self, at: usize) {
        let control_nodes = self.control_nodes();
        let first = control_nodes[self.random.below(control_nodes.len() as u64) as usize];
        let upstream = &mut self.upstreams[at];
        if !upstream.up || upstream.state != protocol::UpstreamState::Ready {
            return;
        }
        upstream.state = protocol::UpstreamState::Draining;
        upstream.draining_node = Some(first);
        upstream.deregistered = true;
        self.send_heartbeat(at);
    }

    /// True where an upstream sends no heartbeats any more: it deregistered, and that was acknowledged.
    pub(super) fn is_deregistered(&self, at: usize) -> bool {
        let upstream = &self.upstreams[at];
        upstream.deregistered
            && upstream.draining_acked_at.is_some()
            && !self.defects.lists_no_keys_after_deregistering
    }

    /// What an upstream sends next.
    pub(super) fn heartbeat_or_deregister(&self, at: usize, told: Upstream) -> ControlRequest {
        let upstream = &self.upstreams[at];
        match (upstream.deregistered, upstream.draining_acked_at) {
            (false, _) => ControlRequest::Heartbeat(told),
            (true, None) => ControlRequest::Deregister {
                instance: told.instance,
            },
            (true, Some(_)) => ControlRequest::Heartbeat(Upstream {
                holds: Vec::new(),
                ..told
            }),
        }
    }
}
