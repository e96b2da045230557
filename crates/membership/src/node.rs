//! One node's part in the membership protocol.

use crate::probing::{ForwardedProbe, ProbeState};
use crate::record::DISTANCES;
use crate::table::MemberTable;
use protocol::{Member, Payload};
use random::Random;
use std::time::Duration;

/// A node that was not scheduled for so many probe intervals was paused itself.
const PAUSED_INTERVALS: u32 = 3;

/// The time values of membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// How often a node probes another one.
    pub probe_interval: Duration,
    /// How long a suspect has to refute the suspicion.
    pub suspicion_timeout: Duration,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; it comes several times in a probe interval.
    Tick,
    /// A message arrived.
    Received {
        /// The address it came from.
        address: String,
        /// The message.
        body: Payload,
    },
    /// This node shuts down.
    Leave,
}

/// What the node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The address it goes to.
        address: String,
        /// The message.
        body: Payload,
    },
    /// The list of members changed.
    Changed,
}

/// One node's view of the others.
pub struct Membership {
    pub(crate) timing: MembershipTiming,
    pub(crate) table: MemberTable,
    pub(crate) seeds: Vec<String>,
    pub(crate) random: Random,
    /// Whom to probe next, by distance.
    pub(crate) probe_queues: [Vec<String>; DISTANCES],
    pub(crate) probe_count: u64,
    /// How many of the next probes go to other regions, since a node is suspect there.
    pub(crate) probes_to_other_regions: u64,
    pub(crate) probe: ProbeState,
    /// Probes on behalf of other nodes, the oldest first.
    pub(crate) forwarded_probes: Vec<ForwardedProbe>,
    /// Which partition of the table was compared last.
    pub(crate) compared_partition: u64,
    next_probe_at: Duration,
    pub(crate) started_at: Option<Duration>,
    pub(crate) next_join_at: Duration,
    pub(crate) seed_turn: usize,
    last_tick_at: Duration,
    /// Until when this node accuses nobody, since it was paused itself.
    pub(crate) lenient_until: Duration,
    pub(crate) effects: Vec<Effect>,
}

impl Membership {
    /// A node that knows itself and its seeds.
    ///
    /// ```
    /// use membership::{Event, Membership, MembershipTiming};
    /// use std::time::Duration;
    /// let timing = MembershipTiming { probe_interval: Duration::from_millis(300), suspicion_timeout: Duration::from_millis(1500) };
    /// let me = protocol::Member { node: "a".into(), probe_address: "127.0.0.1:1".into(), ..Default::default() };
    /// let mut membership = Membership::new(me, vec!["127.0.0.1:2".into()], timing, 7);
    /// let effects = membership.step(Duration::ZERO, Event::Tick);
    /// assert!(matches!(&effects[0], membership::Effect::Send { address, .. } if address == "127.0.0.1:2"));
    /// ```
    pub fn new(me: Member, seeds: Vec<String>, timing: MembershipTiming, seed: u64) -> Self {
        let mut membership = Membership {
            timing,
            table: MemberTable::new(me),
            seeds: Vec::new(),
            random: Random::new(seed),
            probe_queues: Default::default(),
            probe_count: 0,
            probes_to_other_regions: 0,
            probe: ProbeState::Idle,
            forwarded_probes: Vec::new(),
            compared_partition: 0,
            next_probe_at: Duration::ZERO,
            started_at: None,
            next_join_at: Duration::ZERO,
            seed_turn: 0,
            last_tick_at: Duration::ZERO,
            lenient_until: Duration::ZERO,
            effects: Vec::new(),
        };
        membership.set_seeds(seeds);
        membership
    }

    /// Replaces the seeds; known members stay.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let timing = membership::MembershipTiming { probe_interval: Duration::from_millis(9), suspicion_timeout: Duration::from_millis(9) };
    /// let mut membership = membership::Membership::new(Default::default(), vec!["127.0.0.1:1".into()], timing, 7);
    /// membership.set_seeds(vec!["127.0.0.1:2".into()]);
    /// let effects = membership.step(Duration::ZERO, membership::Event::Tick);
    /// assert!(matches!(&effects[0], membership::Effect::Send { address, .. } if address == "127.0.0.1:2"));
    /// ```
    pub fn set_seeds(&mut self, mut seeds: Vec<String>) {
        seeds.retain(|address| *address != self.table.me().probe_address);
        self.seeds = seeds;
    }

    /// Takes an event in and gives effects out.
    ///
    /// ```
    /// use membership::{Effect, Event, Membership, MembershipTiming};
    /// use std::time::Duration;
    /// let timing = MembershipTiming { probe_interval: Duration::from_millis(300), suspicion_timeout: Duration::from_millis(1500) };
    /// let node = |name: &str| protocol::Member { node: name.into(), probe_address: name.into(), ..Default::default() };
    /// let mut a = Membership::new(node("a"), vec!["b".into()], timing, 1);
    /// let mut b = Membership::new(node("b"), vec![], timing, 2);
    /// let effects = a.step(Duration::ZERO, Event::Tick);
    /// let Effect::Send { body, .. } = effects[0].clone() else { panic!() };
    /// b.step(Duration::ZERO, Event::Received { address: "a".into(), body });
    /// assert_eq!(b.members().map(|member| member.node.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received { address, body } => self.receive(now, &address, body),
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.effects)
    }

    /// This node and those that are not known to be dead or to have left, in the order of their ids.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let timing = membership::MembershipTiming { probe_interval: Duration::from_millis(9), suspicion_timeout: Duration::from_millis(9) };
    /// let me = protocol::Member { node: "a".into(), ..Default::default() };
    /// let membership = membership::Membership::new(me, vec![], timing, 7);
    /// assert_eq!(membership.members().count(), 1);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members().into_iter()
    }

    fn tick(&mut self, now: Duration) {
        self.note_pause(now);
        self.last_tick_at = now;
        self.join(now);
        self.send_indirect_probes(now);
        self.declare_dead(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.timing.probe_interval;
            self.suspect_unanswered(now);
            self.probe_next(now);
            self.probe_unreachable();
        }
    }

    /// A node that was paused itself must not blame the others for its own silence.
    fn note_pause(&mut self, now: Duration) {
        let since_tick = now.saturating_sub(self.last_tick_at);
        let was_paused = since_tick > self.timing.probe_interval * PAUSED_INTERVALS;
        if was_paused && self.last_tick_at > Duration::ZERO {
            self.lenient_until = now + self.timing.suspicion_timeout;
            self.probe = ProbeState::Idle;
            self.table.restart_suspicions(now);
        }
    }

    fn receive(&mut self, now: Duration, address: &str, body: Payload) {
        match body {
            Payload::Probe(probe) => self.reply_to_probe(now, address, probe),
            Payload::IndirectProbe(probe) => self.forward_probe(now, address, probe),
            Payload::ProbeReply(reply) => {
                let (nonce, node) = (reply.nonce, reply.node.clone());
                self.reconcile(now, address, reply);
                self.handle_reply(nonce, &node);
            }
            _ => {}
        }
    }

    /// Tells every member that this node leaves.
    fn leave(&mut self) {
        self.table.leave();
        let own_address = self.table.me().probe_address.clone();
        let addresses: Vec<String> = self
            .members()
            .map(|member| member.probe_address.clone())
            .filter(|address| *address != own_address)
            .collect();
        for address in addresses {
            self.send_probe(address, None);
        }
    }
}
