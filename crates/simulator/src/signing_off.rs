//! Upstreams that sign off before they ever said that they leave, serve on for a while, and end.

use super::world::World;
use control_plane::ControlRequest;
use protocol::Upstream;

impl World {
    /// It signs off at one control node after the other until one acknowledges it. What it holds, it holds on.
    pub(super) fn sign_off_first(&mut self, at: usize) {
        let control_nodes = self.control_nodes();
        let first = control_nodes[self.random.below(control_nodes.len() as u64) as usize];
        let unit = &mut self.units[at];
        if !unit.up || unit.condition != upstream_registry::READY {
            return;
        }
        unit.condition = upstream_registry::DRAINING;
        unit.leaves_by = Some(first);
        unit.signed_off = true;
        self.beat_once(at);
    }

    /// True where an upstream says no more: its sign-off was acknowledged.
    pub(super) fn is_silent(&self, at: usize) -> bool {
        let unit = &self.units[at];
        unit.signed_off && unit.taken_at.is_some() && !self.weak.lists_nothing_once_signed_off
    }

    /// What an upstream says in its next call.
    pub(super) fn beat_or_sign_off(&self, at: usize, told: Upstream) -> ControlRequest {
        let unit = &self.units[at];
        match (unit.signed_off, unit.taken_at) {
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
