//! Disks that take no writes for a while.

use super::nodes::Core;
use super::world::{Action, World};
use control_plane::Event;
use protocol::Departure;
use std::time::Duration;

/// Between two tries of a write that was refused.
const RETRY_EVERY: Duration = Duration::from_millis(100);

/// A write without a sync.
const UNSYNCED: Duration = Duration::from_micros(100);
/// How long a control node that starts again believes what it finds of departures.
const DEPARTURES_REMEMBERED: Duration = Duration::from_secs(60);

impl World {
    /// Departures are written beside all that waits for a sync.
    pub(super) fn keep_departures(&mut self, at: usize, write_id: u64, departures: Vec<Departure>) {
        let life = self.nodes[at].life;
        self.after(
            UNSYNCED,
            Action::Departures {
                node: at,
                life,
                write_id,
                departures,
            },
        );
    }

    pub(super) fn departures_kept(
        &mut self,
        at: usize,
        life: u64,
        write_id: u64,
        departures: Vec<Departure>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.life != life {
            return;
        }
        if node.frozen.is_some() || node.disk.hung || node.disk.refuses || node.disk.broken {
            return self.after(
                RETRY_EVERY,
                Action::Departures {
                    node: at,
                    life,
                    write_id,
                    departures,
                },
            );
        }
        node.disk.departures = Some((now, departures));
        self.tell_disk(at, Event::DeparturesPersisted { write_id });
    }

    /// What a control node that starts now finds of departures.
    pub(super) fn departures_found(&self, at: usize) -> Vec<Departure> {
        let found = self.nodes[at].disk.departures.as_ref();
        let found = found.filter(|(written_at, _)| self.now < *written_at + DEPARTURES_REMEMBERED);
        found
            .map(|(_, departures)| departures.clone())
            .unwrap_or_default()
    }

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
