//! Membership: every node probes the others in turn, asks third parties for a second opinion, and holds a
//! silent node suspect for a while before it counts as gone.
//!
//! A record that changed is told on a few times, with the probes and their answers, and then no more. Each probe
//! bears a digest of the prober's table; where the other's differs it answers with a mark for each of its records,
//! and both then tell what the other lacks. So a table at rest costs 8 bytes a probe, and a split heals.

mod members;

pub use members::{ALIVE, GONE, LEFT, SUSPECT, supersedes};

use address::Random;
use members::{distance, folded, mark, unfolded};
use protocol::{Heard, Member, Payload, Probe, ProbeFor};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many third parties are asked for a second opinion.
const SECOND_OPINIONS: usize = 3;
/// How many members travel on one message.
const MOST_TOLD: usize = 12;
/// How many messages of members answer one set of marks.
const MOST_LACKED: usize = 4 * MOST_TOLD;
/// How many marks travel on one message.
const MOST_MARKS: usize = 128;
/// How far the probes go in turn: 0 within the zone, 1 to the region's other zones, 2 to other regions.
const TURNS: [usize; 4] = [2, 0, 1, 0];
/// How many more probes go to another region for each of its nodes that falls silent, and at most.
const MINDED: u64 = 2;
const MOST_MINDED: u64 = 4;
/// How long a node counts as just started, how often it then asks others, and how many at a time.
const YOUNG: Duration = Duration::from_millis(1500);
const INTRODUCE_EVERY: Duration = Duration::from_millis(120);
const INTRODUCED: usize = 2;
/// How long a gone member is remembered.
const REMEMBERED: Duration = Duration::from_secs(120);
/// Most second opinions being fetched for others at a time.
const MOST_FAVOURS: usize = 64;
/// Most members kept at all.
const MOST_MEMBERS: usize = 4096;

/// Membership's time values.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub probe_every: Duration,
    pub suspect_for: Duration,
}

/// What happens to membership.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// A message, with the address it came from.
    Received {
        address: String,
        body: Payload,
    },
    /// This node is closing.
    Leave,
}

/// What membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        address: String,
        body: Payload,
    },
    /// The list of members changed.
    Changed,
}

struct Known {
    member: Member,
    mark: u64,
    since: Duration,
    /// How often this record was told on since it changed.
    told: u32,
}

/// Where the probe under way stands.
enum Probing {
    Resting,
    Asked { nonce: u64, node: String, asked_at: Duration },
    SecondOpinion { nonce: u64, node: String },
}

struct Favour {
    nonce: u64,
    address: String,
    theirs: u64,
    node: String,
}

/// One node's view of the others.
pub struct Membership {
    me: Member,
    /// How often this node's own record was told since it changed.
    me_told: u32,
    seeds: Vec<String>,
    times: Times,
    random: Random,
    known: BTreeMap<String, Known>,
    /// Whom to probe next, by distance.
    turn: [Vec<String>; 3],
    turns: u64,
    /// Which part of the table is compared next.
    part: u64,
    probing: Probing,
    favours: Vec<Favour>,
    next_probe: Duration,
    /// How many of the next probes go to other regions, since something is wrong there.
    far_next: u64,
    started_at: Option<Duration>,
    next_introduction: Duration,
    last_tick: Duration,
    slow_until: Duration,
    seed_turn: usize,
    effects: Vec<Effect>,
}

impl Membership {
    /// A node that knows itself and its seeds.
    ///
    /// ```
    /// use membership::{Event, Membership, Times};
    /// use std::time::Duration;
    /// let times = Times { probe_every: Duration::from_millis(300), suspect_for: Duration::from_millis(1500) };
    /// let me = protocol::Member { node: "a".into(), probe_address: "127.0.0.1:1".into(), ..Default::default() };
    /// let mut membership = Membership::new(me, vec!["127.0.0.1:2".into()], times, 7);
    /// let effects = membership.step(Duration::ZERO, Event::Tick);
    /// assert!(matches!(&effects[0], membership::Effect::Send { address, .. } if address == "127.0.0.1:2"));
    /// ```
    pub fn new(me: Member, seeds: Vec<String>, times: Times, seed: u64) -> Self {
        let mut membership = Membership {
            me: unfolded(Member { incarnation: me.incarnation.max(1), condition: ALIVE, ..me }),
            me_told: 0,
            seeds: Vec::new(),
            times,
            random: Random::new(seed),
            known: BTreeMap::new(),
            turn: Default::default(),
            turns: 0,
            part: 0,
            probing: Probing::Resting,
            favours: Vec::new(),
            next_probe: Duration::ZERO,
            far_next: 0,
            started_at: None,
            next_introduction: Duration::ZERO,
            last_tick: Duration::ZERO,
            slow_until: Duration::ZERO,
            seed_turn: 0,
            effects: Vec::new(),
        };
        membership.learn_seeds(seeds);
        membership
    }

    /// Other seeds than so far; whom it knows stays known.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = membership::Times { probe_every: Duration::from_millis(9), suspect_for: Duration::from_millis(9) };
    /// let mut membership = membership::Membership::new(Default::default(), vec!["127.0.0.1:1".into()], times, 7);
    /// membership.learn_seeds(vec!["127.0.0.1:2".into()]);
    /// let effects = membership.step(Duration::ZERO, membership::Event::Tick);
    /// assert!(matches!(&effects[0], membership::Effect::Send { address, .. } if address == "127.0.0.1:2"));
    /// ```
    pub fn learn_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds.into_iter().filter(|address| *address != self.me.probe_address).collect();
    }

    /// The one reducer: takes an event in, gives effects out.
    ///
    /// ```
    /// use membership::{Effect, Event, Membership, Times};
    /// use std::time::Duration;
    /// let times = Times { probe_every: Duration::from_millis(300), suspect_for: Duration::from_millis(1500) };
    /// let node = |name: &str| protocol::Member { node: name.into(), probe_address: name.into(), ..Default::default() };
    /// let mut a = Membership::new(node("a"), vec!["b".into()], times, 1);
    /// let mut b = Membership::new(node("b"), vec![], times, 2);
    /// let effects = a.step(Duration::ZERO, Event::Tick);
    /// let Effect::Send { body, .. } = effects[0].clone() else { panic!() };
    /// b.step(Duration::ZERO, Event::Received { address: "a".into(), body });
    /// assert_eq!(b.members().map(|member| member.node.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received { address, body } => self.take(now, &address, body),
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.effects)
    }

    /// This node and those not known to be gone, in the order of their ids.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let times = membership::Times { probe_every: Duration::from_millis(9), suspect_for: Duration::from_millis(9) };
    /// let me = protocol::Member { node: "a".into(), ..Default::default() };
    /// let membership = membership::Membership::new(me, vec![], times, 7);
    /// assert_eq!(membership.members().count(), 1);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let mut all: Vec<&Member> =
            self.known.values().map(|known| &known.member).filter(|member| member.condition < GONE).collect();
        all.push(&self.me);
        all.sort_by(|a, b| a.node.cmp(&b.node));
        all.into_iter()
    }

    fn tick(&mut self, now: Duration) {
        // A node that was itself frozen must not blame the others for its own silence.
        if now.saturating_sub(self.last_tick) > self.times.probe_every * 3 && self.last_tick > Duration::ZERO {
            self.slow_until = now + self.times.suspect_for;
            self.probing = Probing::Resting;
            let waking = self.known.values_mut().filter(|known| known.member.condition == SUSPECT);
            waking.for_each(|known| known.since = now);
        }
        self.last_tick = now;
        self.introduce(now);
        self.escalate(now);
        self.bury(now);
        if now >= self.next_probe {
            self.next_probe = now + self.times.probe_every;
            self.suspect_silent(now);
            self.probe_next(now);
            self.probe_seed();
        }
    }

    /// No word half-way through the turn: ask third parties.
    fn escalate(&mut self, now: Duration) {
        let half = self.times.probe_every / 2;
        let late = match &self.probing {
            Probing::Asked { nonce, node, asked_at } if now >= *asked_at + half => Some((*nonce, node.clone())),
            _ => None,
        };
        late.into_iter().for_each(|(nonce, node)| {
            let mut others: Vec<String> = self
                .known
                .values()
                .filter(|known| known.member.condition == ALIVE && known.member.node != node)
                .map(|known| known.member.probe_address.clone())
                .collect();
            while others.len() > SECOND_OPINIONS {
                let drop = self.random.below(others.len() as u64) as usize;
                others.swap_remove(drop);
            }
            others.into_iter().for_each(|address| {
                let members = self.tell(Some(&node));
                let body = Payload::ProbeFor(ProbeFor { nonce, target: node.clone(), members });
                self.effects.push(Effect::Send { address, body });
            });
            self.probing = Probing::SecondOpinion { nonce, node };
        });
    }

    fn suspect_silent(&mut self, now: Duration) {
        let silent = match std::mem::replace(&mut self.probing, Probing::Resting) {
            Probing::SecondOpinion { node, .. } if now >= self.slow_until => Some(node),
            _ => None,
        };
        let suspect = silent.and_then(|node| self.known.get(&node)).map(|known| known.member.clone());
        suspect.into_iter().filter(|member| member.condition == ALIVE).for_each(|member| {
            self.learn(now, Member { condition: SUSPECT, ..member });
        });
    }

    /// Suspects that did not refute in time are gone; those long gone are forgotten.
    fn bury(&mut self, now: Duration) {
        let patience = if now < self.slow_until { self.times.suspect_for * 2 } else { self.times.suspect_for };
        let due: Vec<Member> = self
            .known
            .values()
            .filter(|known| known.member.condition == SUSPECT && now >= known.since + patience)
            .map(|known| Member { condition: GONE, ..known.member.clone() })
            .collect();
        due.into_iter().for_each(|member| self.learn(now, member));
        self.known.retain(|_, known| known.member.condition < GONE || now < known.since + REMEMBERED);
    }

    fn probe_next(&mut self, now: Duration) {
        self.turns += 1;
        let mut all: [Vec<String>; 3] = Default::default();
        let there = self.known.values().filter(|known| known.member.condition < GONE);
        there.for_each(|known| all[distance(&self.me, &known.member)].push(known.member.node.clone()));
        // Most probes stay near; what is all dark is found by those further off.
        let turn = TURNS[(self.turns % TURNS.len() as u64) as usize];
        let wanted = if self.far_next > 0 { 2 } else { turn };
        self.far_next = self.far_next.saturating_sub(1);
        let reach = [wanted, 0, 1, 2].into_iter().find(|reach| !all[*reach].is_empty()).unwrap_or(wanted);
        let turn = &mut self.turn[reach];
        if turn.is_empty() {
            *turn = std::mem::take(&mut all[reach]);
            (1..turn.len()).for_each(|at| {
                let other = self.random.below(at as u64 + 1) as usize;
                turn.swap(at, other);
            });
        }
        let next = turn.pop().and_then(|node| {
            let known = self.known.get(&node).filter(|known| known.member.condition < GONE);
            known.map(|known| (node, known.member.probe_address.clone()))
        });
        next.into_iter().for_each(|(node, address)| {
            let nonce = self.nonce();
            self.send_probe(address, nonce, Some(&node));
            self.probing = Probing::Asked { nonce, node, asked_at: now };
        });
    }

    /// A node that just started asks seeds and whoever it knows in quick turn, until it knows them all.
    fn introduce(&mut self, now: Duration) {
        let started_at = *self.started_at.get_or_insert(now);
        if now >= started_at + YOUNG || now < self.next_introduction {
            return;
        }
        self.next_introduction = now + INTRODUCE_EVERY;
        let known = self.known.values().filter(|known| known.member.condition < GONE);
        let mut all: Vec<String> = known.map(|known| known.member.probe_address.clone()).collect();
        all.extend(self.seeds.iter().filter(|seed| !all.contains(seed)).cloned().collect::<Vec<_>>());
        (0..INTRODUCED).for_each(|_| {
            let at = self.random.below(all.len() as u64) as usize;
            let next = all.get(at).cloned();
            next.into_iter().for_each(|address| {
                let nonce = self.nonce();
                self.send_probe(address, nonce, None);
            });
        });
    }

    /// Seeds and gone nodes are still tried now and then, so that a split heals.
    fn probe_seed(&mut self) {
        let reached = |address: &String| {
            self.known.values().any(|known| known.member.condition < GONE && known.member.probe_address == *address)
        };
        let gone = self.known.values().filter(|known| known.member.condition == GONE);
        let mut lost: Vec<String> = self.seeds.clone();
        lost.extend(gone.map(|known| known.member.probe_address.clone()));
        lost.retain(|address| !reached(address));
        lost.dedup();
        self.seed_turn = self.seed_turn.wrapping_add(1);
        let next = self.seed_turn.checked_rem(lost.len()).and_then(|at| lost.get(at).cloned());
        next.into_iter().for_each(|address| {
            let nonce = self.nonce();
            self.send_probe(address, nonce, None);
        });
    }

    fn send_probe(&mut self, address: String, nonce: u64, about: Option<&str>) {
        let mut members = self.tell(about);
        // Nothing is known of who stands there.
        if about.is_none() && !members.iter().any(|member| member.node == self.me.node) {
            members.push(folded(&self.me));
        }
        let (node, table) = (self.me.node.clone(), self.table());
        self.effects.push(Effect::Send { address, body: Payload::Probe(Probe { nonce, members, node, table }) });
    }

    /// A digest of all that count as there.
    fn table(&self) -> u64 {
        self.there().fold(0, |sum: u64, (_, mark)| sum.wrapping_add(mark)).max(1)
    }

    /// This node and those not known to be gone, with their marks.
    fn there(&self) -> impl Iterator<Item = (&Member, u64)> {
        let others = self.known.values().filter(|known| known.member.condition < GONE);
        others.map(|known| (&known.member, known.mark)).chain([(&self.me, mark(&self.me))])
    }

    /// The marks of one part of the table.
    fn marks(&self, part: u64, parts: u64) -> Vec<u64> {
        let within = |member: &Member| address::spread(&member.node).checked_rem(parts) == Some(part);
        self.there().filter(|(member, _)| within(member)).map(|(_, mark)| mark).take(2 * MOST_MARKS).collect()
    }

    /// How often a record that changed is told: every node tells as often, so that it reaches nearly all of them.
    fn often(&self) -> u32 {
        (self.known.len() as u32 + 1).ilog2() + 2
    }

    /// What one message tells on: the receiver's own record where it is in doubt, then news, the least told first.
    fn tell(&mut self, about: Option<&str>) -> Vec<Member> {
        let often = self.often();
        let doubt = about.and_then(|node| self.known.get(node)).filter(|known| known.member.condition != ALIVE);
        let mut members: Vec<Member> = doubt.map(|known| folded(&known.member)).into_iter().collect();
        if self.me_told < often {
            self.me_told += 1;
            members.push(folded(&self.me));
        }
        let mut news: Vec<&mut Known> = self.known.values_mut().filter(|known| known.told < often).collect();
        news.sort_by_key(|known| known.told);
        news.into_iter().take(MOST_TOLD).for_each(|known| {
            known.told += 1;
            if !members.iter().any(|member| member.node == known.member.node) {
                members.push(folded(&known.member));
            }
        });
        members
    }

    fn take(&mut self, now: Duration, address: &str, body: Payload) {
        match body {
            Payload::Probe(Probe { nonce, members, node, table }) => {
                let stale = self.learn_all(now, members);
                let told = self.tell(Some(&node));
                let mut answer = Heard { nonce, members: with(told, stale), ..self.said() };
                if table != self.table() {
                    answer.parts = (self.known.len() as u64 + 1).div_ceil(MOST_MARKS as u64);
                    self.part = (self.part + 1) % answer.parts;
                    answer.part = self.part;
                    answer.marks = self.marks(answer.part, answer.parts);
                }
                self.effects.push(Effect::Send { address: address.to_owned(), body: Payload::Heard(answer) });
            }
            Payload::ProbeFor(ProbeFor { nonce, target, members }) => {
                self.learn_all(now, members);
                let known = self.known.get(&target).map(|known| known.member.probe_address.clone());
                known.filter(|_| self.favours.len() < MOST_FAVOURS * 2).into_iter().for_each(|to| {
                    let mine = self.nonce();
                    let excess = (self.favours.len() + 1).saturating_sub(MOST_FAVOURS);
                    self.favours.drain(..excess);
                    let favour =
                        Favour { nonce: mine, address: address.to_owned(), theirs: nonce, node: target.clone() };
                    self.favours.push(favour);
                    self.send_probe(to, mine, Some(&target));
                });
            }
            Payload::Heard(heard) => {
                let stale = self.learn_all(now, heard.members);
                self.settle(address, heard.nonce, stale, heard.part, heard.parts, heard.marks);
                self.heard(heard.nonce, &heard.node);
            }
            _ => {}
        }
    }

    /// 32 bits suffice for the few answers that are waited for.
    fn nonce(&mut self) -> u64 {
        (self.random.next_u64() >> 32).max(1)
    }

    fn said(&self) -> Heard {
        Heard { node: self.me.node.clone(), ..Heard::default() }
    }

    /// Tells what the other side lacks or has only an older record of, and the own marks where this side lacks
    /// something. What is told so has nonce 0; it is answered once more at most.
    fn settle(&mut self, address: &str, nonce: u64, stale: Vec<Member>, part: u64, parts: u64, marks: Vec<u64>) {
        let theirs: BTreeSet<u64> = marks.into_iter().collect();
        let within = |member: &Member| address::spread(&member.node).checked_rem(parts) == Some(part);
        let lacked = self.there().filter(|(member, mark)| within(member) && !theirs.contains(mark));
        let lacked: Vec<Member> = lacked.take(MOST_LACKED).map(|(member, _)| folded(member)).collect();
        let mut told = with(stale, lacked);
        let mine = self.marks(part, parts.max(1));
        let lacks = nonce != 0 && parts > 0 && theirs.iter().any(|mark| !mine.contains(mark));
        let mut first = lacks.then(|| Heard { part, parts, marks: mine, ..self.said() });
        while first.is_some() || !told.is_empty() {
            let rest = told.split_off(told.len().min(MOST_TOLD));
            let body = Heard { members: told, ..first.take().unwrap_or_else(|| self.said()) };
            self.effects.push(Effect::Send { address: address.to_owned(), body: Payload::Heard(body) });
            told = rest;
        }
    }

    fn heard(&mut self, nonce: u64, node: &str) {
        let mine = match &self.probing {
            Probing::Asked { nonce: asked, node: target, .. }
            | Probing::SecondOpinion { nonce: asked, node: target, .. } => *asked == nonce && target == node,
            Probing::Resting => false,
        };
        if mine {
            self.probing = Probing::Resting;
        }
        let favour = self.favours.iter().position(|favour| favour.nonce == nonce && favour.node == node);
        favour.map(|at| self.favours.swap_remove(at)).into_iter().for_each(|favour| {
            let body = Payload::Heard(Heard { nonce: favour.theirs, node: favour.node, ..Heard::default() });
            self.effects.push(Effect::Send { address: favour.address, body });
        });
    }

    /// Takes records in; gives what is known better of those that were overtaken.
    fn learn_all(&mut self, now: Duration, members: Vec<Member>) -> Vec<Member> {
        let mut stale = Vec::new();
        members.into_iter().map(unfolded).for_each(|member| {
            let known = self.known.get(&member.node).map(|known| &known.member);
            stale.extend(known.filter(|known| supersedes(known, &member)).map(folded));
            self.learn(now, member);
        });
        stale
    }

    /// The one place where a member's record changes.
    fn learn(&mut self, now: Duration, member: Member) {
        if member.node == self.me.node {
            // Whatever is told of this node is refuted by a higher incarnation, unless it is what it says itself.
            if member.incarnation >= self.me.incarnation && member != self.me && self.me.condition == ALIVE {
                self.me.incarnation = member.incarnation + 1;
                self.me_told = 0;
            }
            return;
        }
        let newer = self.known.get(&member.node).map(|known| supersedes(&member, &known.member));
        let fresh = newer.unwrap_or(member.condition < GONE && self.known.len() < MOST_MEMBERS);
        if fresh && address::is_id(&member.node) {
            self.mind_region(&member);
            let mark = mark(&member);
            self.known.insert(member.node.clone(), Known { member, mark, since: now, told: 0 });
            self.effects.push(Effect::Changed);
        }
    }

    /// Where one of another region falls silent, others there may have: they are looked at next.
    fn mind_region(&mut self, member: &Member) {
        if member.condition != SUSPECT || distance(&self.me, member) < 2 {
            return;
        }
        let alive = |known: &&Known| known.member.condition == ALIVE && known.member.node != member.node;
        let others = self.known.values().filter(alive).filter(|known| distance(member, &known.member) < 2);
        let mut others: Vec<String> = others.map(|known| known.member.node.clone()).collect();
        (1..others.len()).for_each(|at| {
            let other = self.random.below(at as u64 + 1) as usize;
            others.swap(at, other);
        });
        self.turn[2].retain(|node| !others.contains(node));
        self.turn[2].extend(others);
        self.far_next = (self.far_next + MINDED).min(MOST_MINDED);
    }

    /// Says good-bye to everybody.
    fn leave(&mut self) {
        self.me.condition = LEFT;
        self.me_told = 0;
        let addresses: Vec<String> = self.members().map(|member| member.probe_address.clone()).collect();
        let own = self.me.probe_address.clone();
        addresses.into_iter().filter(|address| *address != own).for_each(|address| {
            let nonce = self.nonce();
            self.send_probe(address, nonce, None);
        });
    }
}

/// Both lists, each node once.
fn with(mut members: Vec<Member>, more: Vec<Member>) -> Vec<Member> {
    let new = |members: &[Member], member: &Member| !members.iter().any(|other| other.node == member.node);
    more.into_iter().for_each(|member| {
        if new(&members, &member) {
            members.push(member);
        }
    });
    members
}
