//! The state of one voter and proposer, and the reducer over its events.

use crate::change::{Change, Decision};
use crate::proposer::{PendingChange, Round};
use crate::reading::Reading;
use address::Random;
use protocol::{Ballot, Chosen, ClusterState, DurableState, Payload, Promise, SetupAsk, SetupBytes};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How many disk writes may wait before the voter stays out of rounds.
const MAX_WRITES: usize = 64;
/// How many setups are kept in memory beside those in use.
const SPARE_SETUPS: usize = 16;

/// The register's time values.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Times {
    /// How often a majority confirms the state.
    pub confirm_every: Duration,
    /// How long one phase of a round may take.
    pub phase: Duration,
    /// How long a change may wait for its decision.
    pub patience: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            confirm_every: Duration::from_millis(500),
            phase: Duration::from_millis(700),
            patience: Duration::from_millis(2500),
        }
    }
}

/// What a voter starts from.
pub struct Start {
    pub me: String,
    /// How many voters a founding needs.
    pub roster_size: usize,
    pub seed: u64,
    /// What the disk holds; default on a blank disk.
    pub durable: DurableState,
    /// Undamaged setups found on the disk, by digest.
    pub setups: BTreeMap<String, Vec<u8>>,
    pub times: Times,
}

/// What happens to a register.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: String,
        body: Payload,
    },
    /// The postmasters that membership knows, this one included.
    Peers(Vec<String>),
    /// An operator's change, with the setup's bytes where it brings one.
    Ask {
        token: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    },
    /// Somebody wants to read: confirm the state anew, from now.
    Confirm,
    /// The write with this ticket is synced.
    Kept {
        ticket: u64,
    },
    /// The disk failed: this voter stays out from now on.
    DiskFailed,
    /// Persist a lease epoch; answered by `EpochKept` with the token.
    RaiseEpoch {
        epoch: u64,
        token: u64,
    },
}

/// What a register wants done.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    Send {
        to: String,
        body: Payload,
    },
    /// Sync this state, then tell `Kept`.
    Keep {
        ticket: u64,
        durable: DurableState,
    },
    /// Sync this setup, then tell `Kept`.
    KeepSetup {
        ticket: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    Decided {
        token: u64,
        decision: Decision,
    },
    /// The state in force changed.
    Adopted,
    EpochKept {
        token: u64,
    },
}

/// Where a voter stands.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum VoterPhase {
    /// Nothing on disk: asks whether a roster was founded.
    Blank { unfounded: BTreeSet<String> },
    /// Endorsed a roster, waits for the others.
    Bootstrapping { endorsed: BTreeSet<String> },
    /// Lost its disk: gathers what the others promised and accepted.
    Recovering { roster: Vec<String>, ballot: Ballot, promises: BTreeMap<String, Promise>, until: Duration },
    /// Takes part in rounds.
    Voting,
    /// The disk failed.
    Out,
}

#[derive(Clone, Hash)]
pub(crate) struct Write {
    ticket: u64,
    durable: Option<DurableState>,
    digest: Option<String>,
    then: Vec<Effect>,
}

/// A state known to be chosen.
#[derive(Clone, Hash)]
pub(crate) struct Current {
    pub ballot: Ballot,
    pub state: ClusterState,
    /// When the question was sent whose answers confirmed it.
    pub confirmed_at: Option<Duration>,
}

/// What a voter did since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    /// Rounds begun here.
    pub rounds: u64,
    /// Of them, those that lost a race or their time.
    pub lost: u64,
    pub writes: u64,
}

/// One voter of the majority register. Two that hash alike act alike from then on: the explorer tells visited
/// states by it.
#[derive(Clone, Hash)]
pub struct Register {
    pub(crate) me: String,
    pub(crate) roster_size: usize,
    pub(crate) times: Times,
    pub(crate) random: Random,
    pub(crate) incarnation: u64,
    pub(crate) peers: Vec<String>,
    pub(crate) phase: VoterPhase,
    /// What was decided, perhaps not synced yet.
    pub(crate) durable: DurableState,
    /// What the disk surely holds: questions are answered from it.
    pub(crate) synced: DurableState,
    pub(crate) setups: BTreeMap<String, Vec<u8>>,
    /// The setup that was last sent, by its digest.
    squeezed: Option<(String, Vec<u8>)>,
    pub(crate) held: BTreeSet<String>,
    pub(crate) current: Current,
    pub(crate) seen_round: u64,
    pub(crate) round: Round,
    pub(crate) pending: VecDeque<PendingChange>,
    pub(crate) reading: Option<Reading>,
    pub(crate) next_read: Duration,
    /// Somebody asked for a confirmation after the read under way was begun.
    pub(crate) read_again: bool,
    pub(crate) next_tell: Duration,
    writes: VecDeque<Write>,
    ticket: u64,
    inbox: VecDeque<Payload>,
    pub(crate) tally: Tally,
    pub(crate) effects: Vec<Effect>,
}

impl Register {
    /// A register as its disk left it.
    ///
    /// ```
    /// use quorum_register::{Register, VoterPhase, Start, Times};
    /// let register = Register::new(Start {
    ///     me: "pm-1".into(), roster_size: 1, seed: 7, durable: Default::default(),
    ///     setups: Default::default(), times: Times::default(),
    /// });
    /// assert!(matches!(register.phase(), VoterPhase::Blank { .. }));
    /// ```
    pub fn new(start: Start) -> Self {
        let mut random = Random::new(start.seed);
        let incarnation = random.next_u64();
        let phase = match (start.durable.disk, start.durable.endorsed.is_empty()) {
            (0, true) => VoterPhase::Blank { unfounded: BTreeSet::new() },
            (0, false) => VoterPhase::Bootstrapping { endorsed: BTreeSet::new() },
            _ => VoterPhase::Voting,
        };
        Register {
            me: start.me,
            roster_size: start.roster_size,
            times: start.times,
            random,
            incarnation,
            peers: Vec::new(),
            phase,
            synced: start.durable.clone(),
            seen_round: start.durable.promised.round,
            durable: start.durable,
            held: start.setups.keys().cloned().collect(),
            setups: start.setups,
            squeezed: None,
            current: Current { ballot: Ballot::default(), state: ClusterState::default(), confirmed_at: None },
            round: Round::Idle,
            pending: VecDeque::new(),
            reading: None,
            next_read: Duration::ZERO,
            read_again: false,
            next_tell: Duration::ZERO,
            writes: VecDeque::new(),
            ticket: 0,
            inbox: VecDeque::new(),
            tally: Tally::default(),
            effects: Vec::new(),
        }
    }

    /// The one reducer: takes an event in, gives effects out.
    ///
    /// ```
    /// use quorum_register::{Effect, Event, Register, VoterPhase, Start, Times};
    /// use std::time::Duration;
    /// // A roster of one founds itself once its endorsement and its mark are synced.
    /// let mut register = Register::new(Start {
    ///     me: "pm-1".into(), roster_size: 1, seed: 7, durable: Default::default(),
    ///     setups: Default::default(), times: Times::default(),
    /// });
    /// let mut effects = register.step(Duration::ZERO, Event::Peers(vec!["pm-1".into()]));
    /// for turn in 1..9 {
    ///     let kept = effects.drain(..).filter_map(|effect| match effect {
    ///         Effect::Keep { ticket, .. } => Some(Event::Kept { ticket }),
    ///         _ => None,
    ///     });
    ///     let events: Vec<Event> = kept.chain([Event::Tick]).collect();
    ///     let now = Duration::from_secs(turn);
    ///     effects = events.into_iter().flat_map(|event| register.step(now, event)).collect();
    /// }
    /// assert_eq!(*register.phase(), VoterPhase::Voting);
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, body } => self.take(now, &from, body),
            Event::Peers(mut peers) => {
                peers.sort();
                peers.dedup();
                self.peers = peers;
            }
            Event::Ask { token, change, bytes } => self.wish(now, token, change, bytes),
            Event::Confirm => self.confirm(now),
            Event::Kept { ticket } => self.kept(ticket),
            Event::DiskFailed => self.enter_phase(VoterPhase::Out),
            Event::RaiseEpoch { epoch, token } => self.raise_epoch(epoch, token),
        }
        while let Some(body) = self.inbox.pop_front() {
            let me = self.me.clone();
            self.take(now, &me, body);
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Duration) {
        self.tick_founding(now);
        if self.phase == VoterPhase::Voting {
            self.tick_reading(now);
            self.tick_round(now);
        }
        if now >= self.next_tell {
            self.next_tell = now + Duration::from_millis(300);
            self.ask_missing_setup();
        }
    }

    fn take(&mut self, now: Duration, from: &str, body: Payload) {
        match body {
            Payload::Prepare(prepare) => self.prepare(from, prepare),
            Payload::Promise(promise) => self.promise(now, from, promise),
            Payload::Accept(accept) => self.accept(from, accept),
            Payload::Accepted(accepted) => self.accepted(now, from, accepted),
            Payload::Read(read) => self.read(from, read),
            Payload::ReadBack(back) => self.read_back(now, from, back),
            Payload::Chosen(chosen) => self.adopt(chosen.ballot, chosen.state, None),
            Payload::SetupBytes(setup) => self.take_setup(setup),
            Payload::SetupAsk(ask) => self.give_setup(from, &ask),
            Payload::BootstrapVote(endorse) => self.endorse(from, endorse),
            Payload::Bootstrapped(founded) => self.founded(now, founded.roster),
            _ => {}
        }
    }

    /// The one place where the phase changes.
    pub(crate) fn enter_phase(&mut self, phase: VoterPhase) {
        self.phase = phase;
    }

    /// Where this voter stands.
    ///
    /// ```
    /// # use quorum_register::{Event, Register, VoterPhase, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// let mut register = Register::new(start);
    /// register.step(Default::default(), Event::DiskFailed);
    /// assert_eq!(*register.phase(), VoterPhase::Out);
    /// ```
    pub fn phase(&self) -> &VoterPhase {
        &self.phase
    }

    /// The state in force here, once one is known to be chosen.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert_eq!(Register::new(start).state().edition, 0);
    /// ```
    pub fn state(&self) -> &ClusterState {
        &self.current.state
    }

    /// The bytes of the setup in force.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert_eq!(Register::new(start).setup(), None);
    /// ```
    pub fn setup(&self) -> Option<&[u8]> {
        self.setups.get(&self.current.state.digest).map(Vec::as_slice)
    }

    /// How long ago a majority confirmed the state; none before the first time.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert_eq!(Register::new(start).age(Default::default()), None);
    /// ```
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// True where a majority confirmed the state by answers to a question sent at this moment or later.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert!(!Register::new(start).is_confirmed_since(Default::default()));
    /// ```
    pub fn is_confirmed_since(&self, asked_at: Duration) -> bool {
        self.current.confirmed_at.is_some_and(|at| at >= asked_at)
    }

    /// What it did since its start.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert_eq!(Register::new(start).tally().rounds, 0);
    /// ```
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The voters, once founded.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert!(Register::new(start).roster().is_empty());
    /// ```
    pub fn roster(&self) -> &[String] {
        &self.synced.roster
    }

    /// The highest lease epoch that is safe on this disk.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert_eq!(Register::new(start).lease_epoch(), 0);
    /// ```
    pub fn lease_epoch(&self) -> u64 {
        self.synced.lease_epoch
    }

    pub(crate) fn send(&mut self, to: &str, body: Payload) {
        if to == self.me {
            self.inbox.push_back(body);
        } else {
            self.effects.push(Effect::Send { to: to.to_owned(), body });
        }
    }

    pub(crate) fn send_all(&mut self, body: Payload) {
        let roster = self.durable.roster.clone();
        roster.iter().for_each(|voter| self.send(voter, body.clone()));
    }

    /// True while the disk keeps up.
    pub(crate) fn disk_is_free(&self) -> bool {
        self.writes.len() < MAX_WRITES
    }

    /// Syncs the decided state and only then lets `then` out.
    pub(crate) fn keep(&mut self, then: Vec<Effect>) {
        self.ticket += 1;
        self.tally.writes += 1;
        let (ticket, durable) = (self.ticket, self.durable.clone());
        self.writes.push_back(Write { ticket, durable: Some(durable.clone()), digest: None, then });
        self.effects.push(Effect::Keep { ticket, durable });
    }

    fn kept(&mut self, ticket: u64) {
        while self.writes.front().is_some_and(|write| write.ticket <= ticket) {
            let write = self.writes.pop_front().into_iter();
            write.for_each(|write| {
                if let Some(durable) = write.durable {
                    self.synced = durable;
                }
                self.held.extend(write.digest);
                write.then.into_iter().for_each(|effect| match effect {
                    Effect::Send { to, body } => self.send(&to, body),
                    other => self.effects.push(other),
                });
            });
        }
        self.settle_founding();
        self.settle_mending();
    }

    fn raise_epoch(&mut self, epoch: u64, token: u64) {
        let able = self.phase == VoterPhase::Voting && self.disk_is_free();
        if able && epoch >= self.durable.lease_epoch {
            self.durable.lease_epoch = epoch;
            self.keep(vec![Effect::EpochKept { token }]);
        }
    }

    fn take_setup(&mut self, setup: SetupBytes) {
        let wanted = !self.setups.contains_key(&setup.digest) && self.disk_is_free();
        let bytes = Some(&setup.squeezed).filter(|_| wanted).and_then(|squeezed| protocol::unsqueeze(squeezed));
        let right = bytes.filter(|bytes| protocol::digest(bytes) == setup.digest);
        right.into_iter().for_each(|bytes| self.keep_setup(setup.digest.clone(), bytes));
    }

    /// Takes in a setup's bytes; they count as held once synced.
    pub(crate) fn keep_setup(&mut self, digest: String, bytes: Vec<u8>) {
        if !self.setups.contains_key(&digest) && self.disk_is_free() {
            self.ticket += 1;
            let ticket = self.ticket;
            self.writes.push_back(Write { ticket, durable: None, digest: Some(digest.clone()), then: Vec::new() });
            self.setups.insert(digest.clone(), bytes.clone());
            self.effects.push(Effect::KeepSetup { ticket, digest, bytes });
            self.drop_spare_setups();
        }
    }

    /// A setup as it travels; the last one is kept so.
    pub(crate) fn squeezed(&mut self, digest: &str) -> Option<Vec<u8>> {
        if self.squeezed.as_ref().is_none_or(|(last, _)| last != digest) {
            let bytes = self.setups.get(digest)?;
            self.squeezed = Some((digest.to_owned(), protocol::squeeze(bytes)));
        }
        self.squeezed.as_ref().map(|(_, squeezed)| squeezed.clone())
    }

    /// The bytes of the setup in force, as they travel.
    ///
    /// ```
    /// # use quorum_register::{Register, Start, Times};
    /// # let start = Start { me: "a".into(), roster_size: 3, seed: 1, durable: Default::default(),
    /// #     setups: Default::default(), times: Times::default() };
    /// assert_eq!(Register::new(start).squeezed_setup(), None);
    /// ```
    pub fn squeezed_setup(&mut self) -> Option<Vec<u8>> {
        let digest = self.current.state.digest.clone();
        self.squeezed(&digest)
    }

    fn drop_spare_setups(&mut self) {
        let in_round: BTreeSet<String> = self.pending.iter().filter_map(|wish| wish.digest()).collect();
        let used = |digest: &String| {
            *digest == self.durable.accepted.digest
                || *digest == self.synced.accepted.digest
                || *digest == self.current.state.digest
                || in_round.contains(digest)
                || !self.held.contains(digest)
        };
        let spare: Vec<String> = self.setups.keys().filter(|digest| !used(digest)).cloned().collect();
        let excess = spare.len().saturating_sub(SPARE_SETUPS);
        spare.into_iter().take(excess).for_each(|digest| {
            self.setups.remove(&digest);
            self.held.remove(&digest);
        });
    }

    fn give_setup(&mut self, from: &str, ask: &SetupAsk) {
        if let Some(squeezed) = self.squeezed(&ask.digest) {
            self.send(from, Payload::SetupBytes(SetupBytes { digest: ask.digest.clone(), squeezed }));
        }
    }

    /// A damaged or missing file is mended from the others.
    fn ask_missing_setup(&mut self) {
        let digest = self.durable.accepted.digest.clone();
        if !digest.is_empty() && !self.setups.contains_key(&digest) {
            self.send_all(Payload::SetupAsk(SetupAsk { digest }));
        }
    }

    /// Takes a chosen state into force, unless a newer one is or its setup is not here yet.
    pub(crate) fn adopt(&mut self, ballot: Ballot, state: ClusterState, confirmed_at: Option<Duration>) {
        let complete = state.digest.is_empty() || self.setups.contains_key(&state.digest);
        if ballot < self.current.ballot {
            return;
        }
        if !complete {
            self.send_all(Payload::SetupAsk(SetupAsk { digest: state.digest }));
            return;
        }
        let changed = ballot > self.current.ballot && state != self.current.state;
        let confirmed_at = confirmed_at.max(self.current.confirmed_at);
        self.current = Current { ballot, state, confirmed_at };
        if changed {
            self.effects.push(Effect::Adopted);
        }
    }

    pub(crate) fn tell_chosen(&mut self, ballot: Ballot, state: ClusterState) {
        self.send_all(Payload::Chosen(Chosen { ballot, state }));
    }
}
