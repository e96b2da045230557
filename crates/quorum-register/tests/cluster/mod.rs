//! Registers over a network and disks that fail on purpose, as arbitrary bytes say. In every state that a node has in
//! force: one configuration for each edition, one voter set for each epoch, and no way back.

use arbtest::arbitrary::Unstructured;
use protocol::{DurableState, Payload, VoterSet};
use quorum_register::{Change, Effect, Event, Register, RegisterConfig, RegisterTiming};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How many found the cluster.
pub const VOTERS: usize = 5;
/// Beyond so many, the oldest are lost.
const MAX_ON_THE_WAY: usize = 300;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// A ticket, and what it waits for: the state, or a setup.
type Write = (u64, Option<DurableState>, Option<(String, Vec<u8>)>);

pub struct Node {
    pub register: Register,
    pub disk: DurableState,
    configurations: BTreeMap<String, Vec<u8>>,
    writes: VecDeque<Write>,
    born_at: Duration,
    seen: u64,
    /// Gone for good: it hears nothing and says nothing.
    pub removed: bool,
}

/// All nodes, and what is on its way between them.
pub struct Cluster {
    pub nodes: Vec<Node>,
    /// So many of them are there.
    pub present: usize,
    pub now: Duration,
    pub wire: Vec<(usize, usize, Payload)>,
    states: BTreeMap<u64, String>,
    voters: BTreeMap<u64, VoterSet>,
    /// The highest edition that any operator was told is accepted.
    pub accepted: u64,
    submitted: u64,
}

pub fn name(at: usize) -> String {
    format!("v{at}")
}

fn born(
    at: usize,
    seed: u64,
    durable: DurableState,
    configurations: BTreeMap<String, Vec<u8>>,
    now: Duration,
) -> Node {
    let start = RegisterConfig {
        node: name(at),
        initial_voter_count: VOTERS,
        seed,
        durable: durable.clone(),
        configurations: configurations.clone(),
        timing: RegisterTiming::default(),
    };
    let register = Register::new(start);
    Node {
        register,
        disk: durable,
        configurations,
        writes: VecDeque::new(),
        born_at: now,
        seen: 0,
        removed: false,
    }
}

impl Cluster {
    /// So many nodes with blank disks, of which the first few found the cluster.
    pub fn blank(count: usize, seed: u64) -> Cluster {
        let blank = |at: usize| {
            born(
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
            wire: vec![],
            states,
            voters,
            accepted: 0,
            submitted: 0,
        }
    }

    pub fn step(&mut self, at: usize, event: Event) {
        if self.nodes[at].removed {
            return;
        }
        let local = self.now - self.nodes[at].born_at;
        let effects = self.nodes[at].register.step(local, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => {
                let to = (0..self.nodes.len())
                    .find(|other| name(*other) == to)
                    .expect("a voter");
                self.wire.push((at, to, body));
            }
            Effect::Persist { write_id, durable } => {
                self.nodes[at]
                    .writes
                    .push_back((write_id, Some(durable), None))
            }
            Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                self.nodes[at]
                    .writes
                    .push_back((write_id, None, Some((digest, bytes))));
            }
            Effect::DeleteConfiguration { digest } => {
                self.nodes[at]
                    .writes
                    .push_back((0, None, Some((digest, Vec::new()))))
            }
            Effect::Decided { decision, .. }
                if decision.code == result_code::ResultCode::Success =>
            {
                self.accepted = self.accepted.max(decision.revision);
            }
            _ => {}
        });
        let excess = self.wire.len().saturating_sub(MAX_ON_THE_WAY);
        self.wire.drain(..excess);
        let state = self.nodes[at].register.state();
        let (revision, digest) = (state.revision, state.digest.clone());
        let known = self
            .states
            .entry(revision)
            .or_insert_with(|| digest.clone());
        assert_eq!(*known, digest, "edition {revision} is two states");
        assert!(
            revision >= self.nodes[at].seen,
            "{} went back to {revision}",
            name(at)
        );
        self.nodes[at].seen = revision;
        let voter_set = self.nodes[at].register.state().voter_set.clone();
        if !voter_set.voters.is_empty() {
            let known = self
                .voters
                .entry(voter_set.epoch)
                .or_insert_with(|| voter_set.clone());
            assert_eq!(*known, voter_set, "epoch {} is two sets", voter_set.epoch);
        }
    }

    pub fn sync(&mut self, at: usize) {
        if self.nodes[at].removed {
            return;
        }
        let Some((write_id, durable, configuration)) = self.nodes[at].writes.pop_front() else {
            return;
        };
        let node = &mut self.nodes[at];
        node.disk = durable.unwrap_or_else(|| node.disk.clone());
        match configuration {
            Some((digest, bytes)) if bytes.is_empty() => drop(node.configurations.remove(&digest)),
            configuration => node.configurations.extend(configuration),
        }
        // Whatever crash comes next, the state on this disk names only bytes that are on it.
        let digest = &node.disk.accepted.digest;
        assert!(
            digest.is_empty() || node.configurations.contains_key(digest),
            "{} lost the bytes of its state",
            name(at)
        );
        if write_id > 0 {
            self.step(at, Event::WriteCompleted { write_id });
        }
    }

    /// A node comes back with a blank disk.
    #[allow(dead_code, reason = "not every test file loses a disk at will")]
    pub fn blank_disk(&mut self, at: usize) {
        self.nodes[at] = born(
            at,
            self.submitted + 1_000,
            DurableState::default(),
            BTreeMap::new(),
            self.now,
        );
    }

    pub fn tick_all(&mut self) {
        let there: Vec<usize> = (0..self.present)
            .filter(|at| !self.nodes[*at].removed)
            .collect();
        there.iter().for_each(|at| {
            let at = *at;
            self.step(at, Event::Peers(there.iter().copied().map(name).collect()));
            self.step(at, Event::Tick);
        });
    }

    /// One thing that the noise says.
    pub fn act(&mut self, noise: &mut Unstructured) -> arbtest::arbitrary::Result<()> {
        let at = noise.int_in_range(0..=self.present - 1)?;
        if self.nodes[at].removed {
            return Ok(());
        }
        match noise.int_in_range(0..=255u8)? {
            0 => {
                let node = &self.nodes[at];
                self.nodes[at] = born(
                    at,
                    noise.arbitrary()?,
                    node.disk.clone(),
                    node.configurations.clone(),
                    self.now,
                );
            }
            // A disk is lost only while every other one is whole: what two at once may lose is another matter.
            1 if self
                .nodes
                .iter()
                .take(self.present)
                .all(|node| node.removed || node.disk.disk != 0) =>
            {
                self.nodes[at] = born(
                    at,
                    noise.arbitrary()?,
                    DurableState::default(),
                    BTreeMap::new(),
                    self.now,
                );
            }
            2..=5 => {
                self.submitted += 1;
                let (id, bytes) = (
                    format!("s{}", self.submitted),
                    format!("setup {}", self.submitted).into_bytes(),
                );
                let change = Change::Configuration {
                    id: id.into(),
                    base_revision: None,
                    version: None,
                    digest: protocol::digest(&bytes),
                };
                self.step(
                    at,
                    Event::Submit {
                        request_id: self.submitted,
                        change,
                        bytes: Some(bytes),
                    },
                );
            }
            6..=15 if !self.wire.is_empty() => {
                drop(
                    self.wire
                        .swap_remove(noise.int_in_range(0..=self.wire.len() - 1)?),
                );
            }
            16..=150 if !self.wire.is_empty() => {
                let (from, to, body) = self
                    .wire
                    .remove(noise.int_in_range(0..=self.wire.len().min(12) - 1)?);
                self.step(
                    to,
                    Event::Received {
                        from: name(from),
                        body,
                    },
                );
            }
            151..=200 => self.sync(at),
            _ => {
                self.now += MS(noise.int_in_range(0..=40)?);
                self.tick_all();
            }
        }
        Ok(())
    }

    /// Every node that is there, a line each: what it is about, and what it knows of the voters.
    pub fn describe(&self) -> String {
        let there = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.removed);
        let lines = there.map(|(at, node)| {
            let (phase, voters) = (node.register.phase(), node.register.voter_set());
            let (revision, accepted) = (node.register.state().revision, &node.disk.accepted_at);
            format!(
                "{}: edition {revision}, {phase:?}, {voters:?}, accepted at {accepted:?}",
                name(at)
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Everything arrives and is synced for a while: so long that all come to one state.
    pub fn recover_from_survivors(&mut self) {
        self.calm(400);
    }

    /// Everything arrives and is synced for so many ticks of 20 ms.
    pub fn calm(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| {
            self.now += MS(20);
            self.tick_all();
            let mut carried = 0;
            while !self.wire.is_empty() {
                let (from, to, body) = self.wire.remove(0);
                self.step(
                    to,
                    Event::Received {
                        from: name(from),
                        body,
                    },
                );
                (0..self.nodes.len()).for_each(|at| self.sync(at));
                carried += 1;
                assert!(
                    carried < 20_000,
                    "they never stop talking: {:?}",
                    self.wire.last()
                );
            }
        });
    }
}
