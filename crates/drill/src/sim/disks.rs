//! Disks that take no writes for a while.

use super::nodes::Core;
use super::world::{Action, World};
use controller::Event;
use std::time::Duration;

/// Between two tries of a write that was refused.
const RETRY_EVERY: Duration = Duration::from_millis(100);

impl World {
    /// The first write that waits is refused: it stays, and is tried again.
    pub(super) fn refuse_write(&mut self, at: usize) {
        if self.weak.gives_disks_up {
            self.nodes[at].disk.waiting.clear();
            return self.tell_disk(at, Event::DiskFailed);
        }
        let node = &mut self.nodes[at];
        let (life, told) = (node.life, std::mem::replace(&mut node.disk.retrying, true));
        self.after(RETRY_EVERY, Action::Disk { node: at, life });
        if !told {
            self.tell_disk(at, Event::DiskRetrying);
        }
    }

    /// A write that was refused is taken.
    pub(super) fn end_retries(&mut self, at: usize) {
        if std::mem::take(&mut self.nodes[at].disk.retrying) {
            self.tell_disk(at, Event::DiskRecovered);
        }
    }

    fn tell_disk(&mut self, at: usize, event: Event) {
        let local = self.nodes[at].local(self.now);
        if let Core::ControlNode(control) = &mut self.nodes[at].core {
            let effects = control.step(local, event);
            self.run_control(at, effects);
        }
    }
}
