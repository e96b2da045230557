//! Disks that take no writes for a while.

use super::nodes::Core;
use crate::schedule::Action;
use crate::world::World;
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
    pub(super) fn write_departures(
        &mut self,
        at: usize,
        write_id: u64,
        departures: Vec<Departure>,
    ) {
        let incarnation = self.nodes[at].incarnation;
        self.after(
            UNSYNCED,
            Action::WriteDepartures {
                node: at,
                incarnation,
                write_id,
                departures,
            },
        );
    }

    pub(super) fn departures_written(
        &mut self,
        at: usize,
        incarnation: u64,
        write_id: u64,
        departures: Vec<Departure>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation {
            return;
        }
        if node.frozen.is_some() || node.disk.hung || node.disk.rejects_writes || node.disk.broken {
            return self.after(
                RETRY_EVERY,
                Action::WriteDepartures {
                    node: at,
                    incarnation,
                    write_id,
                    departures,
                },
            );
        }
        node.disk.departures = Some((now, departures));
        self.notify_disk_event(at, Event::DeparturesPersisted { write_id });
    }

    /// What a control node that starts now finds of departures.
    pub(super) fn stored_departures(&self, at: usize) -> Vec<Departure> {
        let found = self.nodes[at].disk.departures.as_ref();
        let found = found.filter(|(written_at, _)| self.now < *written_at + DEPARTURES_REMEMBERED);
        found
            .map(|(_, departures)| departures.clone())
            .unwrap_or_default()
    }

    /// The first write that waits is refused: it stays, and is tried again.
    pub(super) fn reject_write(&mut self, at: usize) {
        if self.defects.first_disk_error_is_final {
            self.nodes[at].disk.waiting.clear();
            return self.notify_disk_event(at, Event::DiskFailed);
        }
        let node = &mut self.nodes[at];
        let (incarnation, told) = (
            node.incarnation,
            std::mem::replace(&mut node.disk.retrying, true),
        );
        self.after(
            RETRY_EVERY,
            Action::FinishWrite {
                node: at,
                incarnation,
            },
        );
        if !told {
            self.notify_disk_event(at, Event::DiskRetrying);
        }
    }

    /// A write that was refused is taken.
    pub(super) fn end_write_retries(&mut self, at: usize) {
        if std::mem::take(&mut self.nodes[at].disk.retrying) {
            self.notify_disk_event(at, Event::DiskRecovered);
        }
    }

    fn notify_disk_event(&mut self, at: usize, event: Event) {
        let local = self.nodes[at].local(self.now);
        if let Core::ControlNode(control) = &mut self.nodes[at].core {
            let effects = control.step(local, event);
            self.run_control_effects(at, effects);
        }
    }
}
