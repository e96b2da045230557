//! Membership: every node probes the others in turn, asks third parties for a second opinion, and holds a
//! silent node suspect for a while before it counts as gone.
//!
//! A record that changed is told on a few times, with the probes and their answers, and then no more. Each probe
//! bears a digest of the prober's table; where the other's differs it answers with a mark for each of its records,
//! and both then tell what the other lacks. So a table at rest costs 8 bytes a probe, and a split heals.

mod dissemination;
mod members;
mod probing;

pub use members::supersedes;

use dissemination::{MAX_MARKS, with};
use members::unfolded;
use protocol::{IndirectProbe, Member, MemberState, Payload, Probe, ProbeReply};
use random::Random;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most second opinions being fetched for others at a time.
const MAX_FAVOURS: usize = 64;

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
    Asked {
        nonce: u64,
        node: String,
        asked_at: Duration,
    },
    SecondOpinion {
        nonce: u64,
        node: String,
    },
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
            me: unfolded(Member {
                incarnation: me.incarnation.max(1),
                state: MemberState::Alive.into(),
                ..me
            }),
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
        self.seeds = seeds
            .into_iter()
            .filter(|address| *address != self.me.probe_address)
            .collect();
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
        let mut all: Vec<&Member> = self
            .known
            .values()
            .map(|known| &known.member)
            .filter(|member| member.state() < MemberState::Dead)
            .collect();
        all.push(&self.me);
        all.sort_by(|a, b| a.node.cmp(&b.node));
        all.into_iter()
    }

    fn tick(&mut self, now: Duration) {
        // A node that was itself frozen must not blame the others for its own silence.
        if now.saturating_sub(self.last_tick) > self.times.probe_every * 3
            && self.last_tick > Duration::ZERO
        {
            self.slow_until = now + self.times.suspect_for;
            self.probing = Probing::Resting;
            let waking = self
                .known
                .values_mut()
                .filter(|known| known.member.state() == MemberState::Suspect);
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

    fn take(&mut self, now: Duration, address: &str, body: Payload) {
        match body {
            Payload::Probe(Probe {
                nonce,
                members,
                node,
                table,
            }) => {
                let stale = self.learn_all(now, members);
                let told = self.tell(Some(&node));
                let mut answer = ProbeReply {
                    nonce,
                    members: with(told, stale),
                    ..self.said()
                };
                if table != self.table() {
                    answer.parts = (self.known.len() as u64 + 1).div_ceil(MAX_MARKS as u64);
                    self.part = (self.part + 1) % answer.parts;
                    answer.part = self.part;
                    answer.marks = self.marks(answer.part, answer.parts);
                }
                self.effects.push(Effect::Send {
                    address: address.to_owned(),
                    body: Payload::ProbeReply(answer),
                });
            }
            Payload::IndirectProbe(IndirectProbe {
                nonce,
                target,
                members,
            }) => {
                self.learn_all(now, members);
                let known = self
                    .known
                    .get(&target)
                    .map(|known| known.member.probe_address.clone());
                known
                    .filter(|_| self.favours.len() < MAX_FAVOURS * 2)
                    .into_iter()
                    .for_each(|to| {
                        let mine = self.nonce();
                        let excess = (self.favours.len() + 1).saturating_sub(MAX_FAVOURS);
                        self.favours.drain(..excess);
                        let favour = Favour {
                            nonce: mine,
                            address: address.to_owned(),
                            theirs: nonce,
                            node: target.clone(),
                        };
                        self.favours.push(favour);
                        self.send_probe(to, mine, Some(&target));
                    });
            }
            Payload::ProbeReply(heard) => {
                let stale = self.learn_all(now, heard.members);
                self.settle(
                    address,
                    heard.nonce,
                    stale,
                    heard.part,
                    heard.parts,
                    heard.marks,
                );
                self.heard(heard.nonce, &heard.node);
            }
            _ => {}
        }
    }

    /// Says good-bye to everybody.
    fn leave(&mut self) {
        self.me.state = MemberState::Left.into();
        self.me_told = 0;
        let addresses: Vec<String> = self
            .members()
            .map(|member| member.probe_address.clone())
            .collect();
        let own = self.me.probe_address.clone();
        addresses
            .into_iter()
            .filter(|address| *address != own)
            .for_each(|address| {
                let nonce = self.nonce();
                self.send_probe(address, nonce, None);
            });
    }
}
