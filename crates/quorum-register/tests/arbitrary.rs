//! Whatever the network, crashes and one lost disk at a time do: one state for each edition, and none is lost.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use protocol::{DurableState, Payload};
use quorum_register::{Change, Effect, Event, Register, Start, Times};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const VOTERS: usize = 5;
/// Beyond so many, the oldest are lost.
const MAX_ON_THE_WAY: usize = 300;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// A ticket, and what it waits for: the state, or a setup.
type Write = (u64, Option<DurableState>, Option<(String, Vec<u8>)>);

struct Node {
    register: Register,
    disk: DurableState,
    setups: BTreeMap<String, Vec<u8>>,
    writes: VecDeque<Write>,
    born_at: Duration,
    seen: u64,
}

struct Site {
    nodes: Vec<Node>,
    now: Duration,
    wire: Vec<(usize, usize, Payload)>,
    states: BTreeMap<u64, String>,
    /// The highest edition that any operator was told is accepted.
    accepted: u64,
    submitted: u64,
}

fn name(at: usize) -> String {
    format!("v{at}")
}

fn born(at: usize, seed: u64, durable: DurableState, setups: BTreeMap<String, Vec<u8>>, now: Duration) -> Node {
    let start = Start {
        me: name(at),
        roster_size: VOTERS,
        seed,
        durable: durable.clone(),
        setups: setups.clone(),
        times: Times::default(),
    };
    let register = Register::new(start);
    Node { register, disk: durable, setups, writes: VecDeque::new(), born_at: now, seen: 0 }
}

impl Site {
    fn step(&mut self, at: usize, event: Event) {
        let local = self.now - self.nodes[at].born_at;
        let effects = self.nodes[at].register.step(local, event);
        effects.into_iter().for_each(|effect| match effect {
            Effect::Send { to, body } => {
                let to = (0..VOTERS).find(|other| name(*other) == to).expect("a voter");
                self.wire.push((at, to, body));
            }
            Effect::Keep { ticket, durable } => self.nodes[at].writes.push_back((ticket, Some(durable), None)),
            Effect::KeepSetup { ticket, digest, bytes } => {
                self.nodes[at].writes.push_back((ticket, None, Some((digest, bytes))));
            }
            Effect::DropSetup { digest } => self.nodes[at].writes.push_back((0, None, Some((digest, Vec::new())))),
            Effect::Decided { decision, .. } if decision.code == address::Code::Fine => {
                self.accepted = self.accepted.max(decision.edition);
            }
            _ => {}
        });
        let excess = self.wire.len().saturating_sub(MAX_ON_THE_WAY);
        self.wire.drain(..excess);
        let state = self.nodes[at].register.state();
        let (edition, digest) = (state.edition, state.digest.clone());
        let known = self.states.entry(edition).or_insert_with(|| digest.clone());
        assert_eq!(*known, digest, "edition {edition} is two states");
        assert!(edition >= self.nodes[at].seen, "{} went back to {edition}", name(at));
        self.nodes[at].seen = edition;
    }

    fn sync(&mut self, at: usize) {
        let Some((ticket, durable, setup)) = self.nodes[at].writes.pop_front() else { return };
        let node = &mut self.nodes[at];
        node.disk = durable.unwrap_or_else(|| node.disk.clone());
        match setup {
            Some((digest, bytes)) if bytes.is_empty() => drop(node.setups.remove(&digest)),
            setup => node.setups.extend(setup),
        }
        // Whatever crash comes next, the state on this disk names only bytes that are on it.
        let digest = &node.disk.accepted.digest;
        assert!(digest.is_empty() || node.setups.contains_key(digest), "{} lost the bytes of its state", name(at));
        if ticket > 0 {
            self.step(at, Event::Kept { ticket });
        }
    }

    fn tick_all(&mut self) {
        (0..VOTERS).for_each(|at| {
            self.step(at, Event::Peers((0..VOTERS).map(name).collect()));
            self.step(at, Event::Tick);
        });
    }

    fn act(&mut self, noise: &mut Unstructured) -> arbtest::arbitrary::Result<()> {
        let at = noise.int_in_range(0..=VOTERS - 1)?;
        match noise.int_in_range(0..=255u8)? {
            0 => {
                let node = &self.nodes[at];
                self.nodes[at] = born(at, noise.arbitrary()?, node.disk.clone(), node.setups.clone(), self.now);
            }
            // A disk is lost only while every other one is whole: what two at once may lose is another matter.
            1 if self.nodes.iter().all(|node| node.disk.disk != 0) => {
                self.nodes[at] = born(at, noise.arbitrary()?, DurableState::default(), BTreeMap::new(), self.now);
            }
            2..=5 => {
                self.submitted += 1;
                let (id, bytes) = (format!("s{}", self.submitted), format!("setup {}", self.submitted).into_bytes());
                let change = Change::Setup { id, base: None, number: None, digest: protocol::digest(&bytes) };
                self.step(at, Event::Ask { token: self.submitted, change, bytes: Some(bytes) });
            }
            6..=15 if !self.wire.is_empty() => {
                drop(self.wire.swap_remove(noise.int_in_range(0..=self.wire.len() - 1)?));
            }
            16..=150 if !self.wire.is_empty() => {
                let (from, to, body) = self.wire.remove(noise.int_in_range(0..=self.wire.len().min(12) - 1)?);
                self.step(to, Event::Received { from: name(from), body });
            }
            151..=200 => self.sync(at),
            _ => {
                self.now += MS(noise.int_in_range(0..=40)?);
                self.tick_all();
            }
        }
        Ok(())
    }
}

#[test]
fn one_word_for_each_edition_and_none_is_lost() {
    let mut accepted = 0;
    (1..50u64).for_each(|number| {
        arbtest(|noise| {
            let blank = |at: usize| born(at, number * 13 + at as u64, DurableState::default(), BTreeMap::new(), MS(0));
            let nodes = (0..VOTERS).map(blank).collect();
            let (states, now) = (BTreeMap::new(), Duration::ZERO);
            let mut site = Site { nodes, now, wire: vec![], states, accepted: 0, submitted: 0 };
            while !noise.is_empty() {
                site.act(noise)?;
            }
            // Whole again: everybody comes to a state that nothing accepted is missing from.
            (0..400).for_each(|_| {
                site.now += MS(20);
                site.tick_all();
                let mut carried = 0;
                while !site.wire.is_empty() {
                    let (from, to, body) = site.wire.remove(0);
                    site.step(to, Event::Received { from: name(from), body });
                    (0..VOTERS).for_each(|at| site.sync(at));
                    carried += 1;
                    assert!(carried < 20_000, "they never stop talking: {:?}", site.wire.last());
                }
            });
            let editions: Vec<u64> = site.nodes.iter().map(|node| node.register.state().edition).collect();
            assert!(editions.iter().all(|edition| *edition >= site.accepted), "{editions:?}, {} lost", site.accepted);
            accepted += site.accepted;
            Ok(())
        })
        .seed(number << 32 | 20_000);
    });
    assert!(accepted > 200, "hardly anything was accepted: {accepted}");
}
