//! The disks of control nodes, and what goes wrong with them.

use super::nodes::Core;
use crate::schedule::Action;
use crate::world::World;
use control_plane::Event;
use protocol::{Departure, DurableState};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Between two attempts of a write that was rejected.
const RETRY_EVERY: Duration = Duration::from_millis(100);

/// A write without a sync.
const UNSYNCED: Duration = Duration::from_micros(100);
/// How long a control node that starts again believes what it finds of departures.
const DEPARTURES_REMEMBERED: Duration = Duration::from_secs(60);

/// How many configurations a disk keeps that deletes the newest.
const MAX_KEPT_BLINDLY: usize = 32;

pub enum Write {
    State(u64, DurableState),
    Configuration(u64, String, Vec<u8>),
    Drop(String),
}

/// A disk: what is synced, and what waits to be.
#[derive(Default)]
pub struct Disk {
    pub durable: DurableState,
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// Departures, and when they were written. They are never synced: a power cut takes them.
    pub departures: Option<(Duration, Vec<Departure>)>,
    pub waiting: VecDeque<Write>,
    /// How much longer a sync takes than it should.
    pub slowed: Duration,
    pub broken: bool,
    /// It takes no writes; each is tried again until it is done.
    pub rejects_writes: bool,
    /// The core was notified that a write is retried.
    pub retrying: bool,
    /// A sync that was begun does not end.
    pub hung: bool,
    /// The power is lost at the write that many from now: before it is synced, or right after.
    pub power_at: Option<(u32, bool)>,
    /// What a disk that lies still has after a power cut.
    pub early: DurableState,
    /// See [`super::Defects::deletes_newest_configurations`].
    pub deletes_newest_configurations: bool,
}

impl Disk {
    /// Carries out one write; gives the ticket that it is confirmed by.
    fn apply(&mut self, write: Write) -> Option<u64> {
        match write {
            Write::State(write_id, durable) => {
                if self.early.disk == 0 {
                    self.early = durable.clone();
                }
                self.durable = durable;
                Some(write_id)
            }
            Write::Configuration(write_id, digest, bytes) => {
                if !self.deletes_newest_configurations
                    || self.configurations.len() < MAX_KEPT_BLINDLY
                {
                    self.configurations.insert(digest, bytes);
                }
                Some(write_id)
            }
            Write::Drop(digest) => {
                self.configurations
                    .retain(|known, _| *known != digest || self.deletes_newest_configurations);
                None
            }
        }
    }
}

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

    pub(crate) fn write(&mut self, at: usize, write: Write) {
        let micros = 800 + self.random.below(3000);
        let node = &mut self.nodes[at];
        node.disk.waiting.push_back(write);
        let (incarnation, idle) = (node.incarnation, node.disk.waiting.len() == 1);
        let takes = Duration::from_micros(micros) + node.disk.slowed;
        if idle {
            self.after(
                takes,
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
    }

    pub(crate) fn disk_done(&mut self, at: usize, incarnation: u64) {
        let micros = 800 + self.random.below(3000);
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation || node.frozen.is_some() {
            return;
        }
        if node.disk.hung {
            return self.after(
                Duration::from_millis(100),
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
        if node.disk.rejects_writes && !node.disk.waiting.is_empty() {
            return self.reject_write(at);
        }
        self.end_write_retries(at);
        let node = &mut self.nodes[at];
        let Some(write) = node.disk.waiting.pop_front() else {
            return;
        };
        let powerless = node.disk.power_at.take_if(|(left, _)| *left == 0);
        node.disk.power_at = node.disk.power_at.map(|(left, synced)| (left - 1, synced));
        node.disk.departures.take_if(|_| powerless.is_some());
        if powerless == Some((0, false)) {
            return self.kill(at);
        }
        let event = if node.disk.broken {
            node.disk.waiting.clear();
            Some(control_plane::Event::DiskFailed)
        } else {
            node.disk
                .apply(write)
                .map(|write_id| control_plane::Event::WriteCompleted { write_id })
        };
        if powerless.is_some() {
            return self.kill(at);
        }
        let (more, slowed, local) = (
            !node.disk.waiting.is_empty(),
            node.disk.slowed,
            node.local(now),
        );
        if more {
            self.after(
                Duration::from_micros(micros) + slowed,
                Action::FinishWrite {
                    node: at,
                    incarnation,
                },
            );
        }
        let effects = match (&mut self.nodes[at].core, event) {
            (Core::ControlNode(control), Some(event)) => control.step(local, event),
            _ => Vec::new(),
        };
        self.run_control_effects(at, effects);
    }
}
