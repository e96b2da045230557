//! Registers over a network and disks that fail on purpose, driven by arbitrary bytes. Of every state that a node has in
//! force it is checked that each revision has one configuration, each epoch one voter set, and that no node goes back.

use arbtest::arbitrary::Unstructured;
use protocol::{DurableState, Payload, VoterSet};
use quorum_register::{Change, Effect, Event, Register, RegisterConfig, RegisterTiming};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How many voters bootstrap the cluster.
pub const VOTERS: usize = 5;
/// Beyond so many messages in flight, the oldest are lost.
const MAX_IN_FLIGHT: usize = 300;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// A write that the disk hasn't completed. Deletions are reported to nobody.
enum Write {
    State {
        write_id: u64,
        durable: DurableState,
    },
    Configuration {
        write_id: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    Deletion {
        digest: String,
    },
}

pub struct Node {
    pub register: Register,
    pub disk: DurableState,
    configurations: BTreeMap<String, Vec<u8>>,
    writes: VecDeque<Write>,
    started_at: Duration,
    last_revision: u64,
    /// Gone for good: it receives nothing and sends nothing.
    pub removed: bool,
}

/// All nodes, and the messages in flight between them.
pub struct Cluster {
    pub nodes: Vec<Node>,
    /// So many of them are running.
    pub present: usize,
    pub now: Duration,
    pub messages: Vec<(usize, usize, Payload)>,
    states: BTreeMap<u64, String>,
    voters: BTreeMap<u64, VoterSet>,
    /// The highest revision that was reported as decided.
    pub decided_revision: u64,
    submitted: u64,
}

pub fn name(at: usize) -> String {
    format!("v{at}")
}

fn start_node(
    at: usize,
    seed: u64,
    durable: DurableState,
    configurations: BTreeMap<String, Vec<u8>>,
    now: Duration,
) -> Node {
    let config = RegisterConfig {
        node: name(at),
        initial_voter_count: VOTERS,
        seed,
        durable: durable.clone(),
        configurations: configurations.clone(),
        timing: RegisterTiming::default(),
    };
    let register = Register::new(config);
    Node {
        register,
        disk: durable,
        configurations,
        writes: VecDeque::new(),
        started_at: now,
        last_revision: 0,
        removed: false,
    }
}

impl Cluster {
    /// So many nodes with blank disks, of which the first few bootstrap the cluster.
    pub fn blank(count: usize, seed: u64) -> Cluster {
        let blank = |at: usize| {
            start_node(
                at,
                seed * 13 + at as u64,
                DurableState::default(),
                BTreeMap::new(),
                MS(0),
            )
        };
        let nodes = (0..count).map(blank).collect();
        let (states, voters, now) = (BTreeMap::new(), BTreeMap::new(), Duration::ZERO);
        Cluster {
            nodes,
            present: VOTERS,
            now,
            messages: vec![],
            states,
            voters,
            decided_revision: 0,
            submitted: 0,
        }
    }

    pub fn step(&mut self, at: usize, event: Event) {
        if self.nodes[at].removed {
            return;
        }
        let local = self.now - self.nodes[at].started_at;
        let effects = self.nodes[at].register.step(local, event);
        for effect in effects {
            self.carry_out(at, effect);
        }
        let excess = self.messages.len().saturating_sub(MAX_IN_FLIGHT);
        self.messages.drain(..excess);
        self.check_state(at);
        self.check_voter_set(at);
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        let writes = &mut self.nodes[at].writes;
        match effect {
            Effect::Send { to, body } => {
                let to = (0..self.nodes.len())
                    .find(|other| name(*other) == to)
                    .expect("a voter");
                self.messages.push((at, to, body));
            }
            Effect::Persist { write_id, durable } => {
                writes.push_back(Write::State { write_id, durable });
            }
            Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                writes.push_back(Write::Configuration {
                    write_id,
                    digest,
                    bytes,
                });
            }
            Effect::DeleteConfiguration { digest } => writes.push_back(Write::Deletion { digest }),
            Effect::Decided { decision, .. }
                if decision.code == result_code::ResultCode::Success =>
            {
                self.decided_revision = self.decided_revision.max(decision.revision);
            }
            _ => {}
        }
    }

    /// A revision has one configuration, and no node goes back.
    fn check_state(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let state = node.register.state();
        let (revision, digest) = (state.revision, state.digest.clone());
        let known = self
            .states
            .entry(revision)
            .or_insert_with(|| digest.clone());
        assert_eq!(*known, digest, "revision {revision} is two states");
        assert!(
            revision >= node.last_revision,
            "{} went back to {revision}",
            name(at)
        );
        node.last_revision = revision;
    }

    /// An epoch has one voter set.
    fn check_voter_set(&mut self, at: usize) {
        let voter_set = self.nodes[at].register.state().voter_set.clone();
        if !voter_set.voters.is_empty() {
            let known = self
                .voters
                .entry(voter_set.epoch)
                .or_insert_with(|| voter_set.clone());
            assert_eq!(*known, voter_set, "epoch {} is two sets", voter_set.epoch);
        }
    }

    pub fn complete_write(&mut self, at: usize) {
        if self.nodes[at].removed {
            return;
        }
        let Some(write) = self.nodes[at].writes.pop_front() else {
            return;
        };
        let node = &mut self.nodes[at];
        let completed = match write {
            Write::State { write_id, durable } => {
                node.disk = durable;
                Some(write_id)
            }
            Write::Configuration {
                write_id,
                digest,
                bytes,
            } => {
                node.configurations.insert(digest, bytes);
                Some(write_id)
            }
            Write::Deletion { digest } => {
                node.configurations.remove(&digest);
                None
            }
        };
        // After any crash, the state on this disk names only bytes that are on it.
        let digest = &node.disk.accepted.digest;
        assert!(
            digest.is_empty() || node.configurations.contains_key(digest),
            "{} lost the bytes of its state",
            name(at)
        );
        if let Some(write_id) = completed {
            self.step(at, Event::WriteCompleted { write_id });
        }
    }

    /// A node restarts with a blank disk.
    #[allow(dead_code, reason = "not every test file loses a disk at will")]
    pub fn restart_with_blank_disk(&mut self, at: usize) {
        self.nodes[at] = start_node(
            at,
            self.submitted + 1_000,
            DurableState::default(),
            BTreeMap::new(),
            self.now,
        );
    }

    pub fn tick_all(&mut self) {
        let running: Vec<usize> = (0..self.present)
            .filter(|at| !self.nodes[*at].removed)
            .collect();
        for at in running.clone() {
            self.step(
                at,
                Event::Peers(running.iter().copied().map(name).collect()),
            );
            self.step(at, Event::Tick);
        }
    }

    /// One action, drawn from the noise.
    pub fn run_random_action(
        &mut self,
        noise: &mut Unstructured,
    ) -> arbtest::arbitrary::Result<()> {
        let at = noise.int_in_range(0..=self.present - 1)?;
        if self.nodes[at].removed {
            return Ok(());
        }
        match noise.int_in_range(0..=255u8)? {
            0 => self.restart(at, noise.arbitrary()?),
            // A disk is lost only while every other one has its state: what two at once may lose is another matter.
            1 if self.all_disks_have_state() => {
                self.nodes[at] = start_node(
                    at,
                    noise.arbitrary()?,
                    DurableState::default(),
                    BTreeMap::new(),
                    self.now,
                );
            }
            2..=5 => self.submit_configuration(at),
            6..=15 if !self.messages.is_empty() => {
                let lost = noise.int_in_range(0..=self.messages.len() - 1)?;
                self.messages.swap_remove(lost);
            }
            16..=150 if !self.messages.is_empty() => {
                let next = noise.int_in_range(0..=self.messages.len().min(12) - 1)?;
                let (from, to, body) = self.messages.remove(next);
                let from = name(from);
                self.step(to, Event::Received { from, body });
            }
            151..=200 => self.complete_write(at),
            _ => {
                self.now += MS(noise.int_in_range(0..=40)?);
                self.tick_all();
            }
        }
        Ok(())
    }

    /// A node restarts with what its disk has.
    fn restart(&mut self, at: usize, seed: u64) {
        let node = &self.nodes[at];
        self.nodes[at] = start_node(
            at,
            seed,
            node.disk.clone(),
            node.configurations.clone(),
            self.now,
        );
    }

    fn all_disks_have_state(&self) -> bool {
        self.nodes
            .iter()
            .take(self.present)
            .all(|node| node.removed || node.disk.disk != 0)
    }

    fn submit_configuration(&mut self, at: usize) {
        self.submitted += 1;
        let bytes = format!("configuration {}", self.submitted).into_bytes();
        let change = Change::Configuration {
            id: format!("s{}", self.submitted).into(),
            base_revision: None,
            version: None,
            digest: protocol::digest(&bytes),
        };
        let event = Event::Submit {
            request_id: self.submitted,
            change,
            bytes: Some(bytes),
        };
        self.step(at, event);
    }

    /// Every running node, a line each: its phase, its states and the voters it knows.
    pub fn describe(&self) -> String {
        let running = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.removed);
        let lines = running.map(|(at, node)| {
            let (phase, voters) = (node.register.phase(), node.register.voter_set());
            let (revision, accepted) = (node.register.state().revision, &node.disk.accepted_at);
            format!(
                "{}: revision {revision}, {phase:?}, {voters:?}, accepted at {accepted:?}",
                name(at)
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Everything arrives and is written for so long that all nodes come to one state.
    pub fn run_until_settled(&mut self) {
        self.run_without_faults(400);
    }

    /// Everything arrives and is written for so many ticks of 20 ms.
    pub fn run_without_faults(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| {
            self.now += MS(20);
            self.tick_all();
            let mut delivered = 0;
            while !self.messages.is_empty() {
                let (from, to, body) = self.messages.remove(0);
                self.step(
                    to,
                    Event::Received {
                        from: name(from),
                        body,
                    },
                );
                (0..self.nodes.len()).for_each(|at| self.complete_write(at));
                delivered += 1;
                assert!(
                    delivered < 20_000,
                    "they never stop sending: {:?}",
                    self.messages.last()
                );
            }
        });
    }
}
