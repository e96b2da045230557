//! What a measurement does to a [`Site`]: submissions, stops and restarts.

use super::disk::{Disk, folder_size};
use super::process::resident_bytes;
use super::results::{CatchUp, Checkpoint, Following, TrafficByKind};
use super::site::{ScheduledEvent, Site, TICK, start_register};
use crate::Size;
use quorum_register::{Change, ChangeId, Event};
use std::time::{Duration, Instant};
use storage::{Contents, Storage};

/// After this time without submissions nothing is left to replicate.
const IDLE_AFTER: Duration = Duration::from_secs(6);
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(60);

impl Site {
    /// The next configuration to submit.
    pub(super) fn next_configuration(&self) -> Vec<u8> {
        let size = Size {
            routes: self.trial.routes,
            services: 40,
            ..crate::CURRENT_SIZE
        };
        // Each one differs from the others and has the same size.
        size.configuration(0)
            .replace("\"r0\"", &format!("\"r0-{:06}\"", self.requested))
            .into_bytes()
    }

    /// Submits this many changes, all to the same node: competing proposers aren't measured here.
    pub fn change(&mut self, count: usize) {
        for _ in 0..count {
            self.requested += 1;
            let bytes = self.next_configuration();
            let digest = protocol::digest(&bytes);
            let up: Vec<usize> = (0..self.nodes.len())
                .filter(|at| self.nodes[*at].up)
                .collect();
            let node = up[1 % up.len()];
            let since = Some(self.nodes[node].register.state().decided);
            let id = ChangeId {
                id: format!("change-{:012}", self.requested),
                since,
            };
            let change = Change::Configuration {
                id,
                base_revision: None,
                version: None,
                digest,
            };
            self.step(
                node,
                Event::Submit {
                    request_id: self.requested as u64,
                    change,
                    bytes: Some(bytes),
                },
            );
            self.run_until(self.now + self.trial.gap);
        }
    }

    /// Advances virtual time until all replication has finished.
    pub fn run_until_idle(&mut self) {
        self.run_until(self.now + IDLE_AFTER);
    }

    /// Restarts the first node with the contents of its real disk.
    pub fn restart_first(&mut self) -> Checkpoint {
        let folder = self.trial.folder.clone().expect("a real disk");
        self.nodes[0].disk = Disk::Memory(Box::default());
        let begun_at = Instant::now();
        let (storage, contents) = Storage::open(&folder).expect("the data folder opens");
        let open_took = begun_at.elapsed();
        assert!(contents.damaged.is_empty(), "{:?}", contents.damaged);
        let state_bytes = protocol::pack(&contents.durable).len();
        let folder_size = folder_size(&folder);
        let seed = self.number;
        let (trial, node) = (&self.trial, &mut self.nodes[0]);
        node.register = start_register(&node.name, trial, seed, &contents);
        node.disk = Disk::Real(Box::new(storage));
        node.writes.clear();
        node.incarnation += 1;
        self.schedule(self.now, 0, ScheduledEvent::Tick);
        Checkpoint {
            changes: self.requested,
            folder_bytes: folder_size.bytes,
            files: folder_size.files,
            open_took,
            resident_bytes: resident_bytes(),
            state_bytes,
            written_per_change: 0,
        }
    }

    /// Stops the last node.
    pub fn stop_last(&mut self) {
        let last = self.nodes.len() - 1;
        let node = &mut self.nodes[last];
        node.up = false;
        node.incarnation += 1;
        node.writes.clear();
    }

    /// Restarts the last node, with its disk or a blank one, behind a link of this bandwidth, and waits until it has
    /// caught up, 60 s at most; `changes_go_on` submits further changes meanwhile.
    pub fn restart_last(
        &mut self,
        blank: bool,
        bits_per_second: u64,
        changes_go_on: bool,
    ) -> CatchUp {
        let (last, begun_at) = (self.nodes.len() - 1, self.now);
        let wanted = self.nodes[0].register.state().revision;
        self.start_last(blank, bits_per_second);
        let mut took = None;
        while took.is_none() && self.now < begun_at + CATCH_UP_TIMEOUT {
            if changes_go_on {
                self.change(1);
            } else {
                self.run_until(self.now + TICK);
            }
            let node = &self.nodes[last];
            let caught_up = node.register.state().revision >= wanted
                && node.register.is_confirmed_since(begun_at)
                && !node.register.is_missing_accepted_configuration()
                && node.register.configuration().is_some();
            took = caught_up.then(|| self.now - begun_at);
        }
        self.nodes[last].link_bits_per_second = None;
        CatchUp {
            took,
            received: self.nodes[last].received.clone(),
        }
    }

    /// Restarts the last node, with its disk or a blank one, behind a link of this bandwidth, submits this many changes
    /// and samples after each how far behind the node is.
    pub fn follow_with_last(
        &mut self,
        blank: bool,
        bits_per_second: u64,
        changes: usize,
    ) -> Following {
        let last = self.nodes.len() - 1;
        self.start_last(blank, bits_per_second);
        let mut ages = Vec::with_capacity(changes);
        let mut revisions_behind = Vec::with_capacity(changes);
        for _ in 0..changes {
            self.change(1);
            let register = &self.nodes[last].register;
            let age = register
                .confirmation_age(self.now)
                .filter(|_| register.configuration().is_some());
            let newest = self.nodes[0].register.state().revision;
            ages.push(age);
            revisions_behind.push(newest.saturating_sub(register.state().revision));
        }
        self.nodes[last].link_bits_per_second = None;
        Following {
            ages,
            revisions_behind,
            gap: self.trial.gap,
            received: self.nodes[last].received.clone(),
        }
    }

    fn start_last(&mut self, blank: bool, bits_per_second: u64) {
        let (last, begun_at, seed) = (self.nodes.len() - 1, self.now, self.number);
        let (trial, node) = (&self.trial, &mut self.nodes[last]);
        let contents = match &mut node.disk {
            Disk::Memory(contents) => contents,
            Disk::Real(_) => unreachable!("only the first node has a real disk"),
        };
        if blank {
            **contents = Contents::default();
        }
        node.register = start_register(&node.name, trial, seed, contents);
        node.up = true;
        node.link_bits_per_second = Some(bits_per_second);
        node.link_free_at = begun_at;
        node.messages_on_link = 0;
        node.received = TrafficByKind::new();
        self.schedule(begun_at, last, ScheduledEvent::Tick);
    }
}
