//! The state of one voter and proposer, and the reducer over its events.

use crate::change::{Change, Decision};
use crate::proposer::{PendingChange, Round};
use crate::reading::Reading;
use crate::replicas::Replicas;
use protocol::{
    Ballot, ClusterState, ConfigurationRequest, DurableState, Payload, Promise, VoterSet,
};
use random::Random;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How many disk writes may wait before the voter stays out of rounds.
const MAX_WRITES: usize = 64;
/// How many control nodes beside the voters are sent what is decided.
const MAX_NONVOTERS: usize = 8;

/// The register's time values.
#[derive(Clone, Copy, Debug, Hash)]
pub struct RegisterTiming {
    /// How often a majority confirms the state.
    pub confirm_interval: Duration,
    /// How long one phase of a round may take.
    pub phase_timeout: Duration,
    /// How long a change may wait for its decision.
    pub change_timeout: Duration,
}

impl Default for RegisterTiming {
    fn default() -> Self {
        RegisterTiming {
            confirm_interval: Duration::from_millis(500),
            phase_timeout: Duration::from_millis(700),
            change_timeout: Duration::from_millis(2500),
        }
    }
}

/// What a voter starts from.
pub struct RegisterConfig {
    pub me: String,
    /// How many voters a founding needs.
    pub initial_voter_count: usize,
    pub seed: u64,
    /// What the disk holds; default on a blank disk.
    pub durable: DurableState,
    /// Undamaged setups found on the disk, by digest.
    pub configurations: BTreeMap<String, Vec<u8>>,
    pub times: RegisterTiming,
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
    Submit {
        request_id: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    },
    /// A change that nobody waits for.
    Propose(Change),
    /// Somebody wants to read: confirm the state anew, from now.
    Confirm,
    /// The write with this ticket is synced.
    WriteCompleted {
        write_id: u64,
    },
    /// The disk failed: this voter stays out from now on.
    DiskFailed,
    /// Persist a lease epoch; answered by `LeaseEpochPersisted` with the token.
    PersistLeaseEpoch {
        epoch: u64,
        request_id: u64,
    },
}

/// What a register wants done.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    Send {
        to: String,
        body: Payload,
    },
    /// Sync this state, then tell `WriteCompleted`.
    Persist {
        write_id: u64,
        durable: DurableState,
    },
    /// Sync this setup, then tell `WriteCompleted`.
    StoreConfiguration {
        write_id: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    /// Nothing refers to this setup any more: its file may go, after all writes before.
    DeleteConfiguration {
        digest: String,
    },
    Decided {
        request_id: u64,
        decision: Decision,
    },
    /// The state in force changed.
    StateChanged,
    LeaseEpochPersisted {
        request_id: u64,
    },
}

/// Where a voter stands.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum VoterPhase {
    /// Nothing on disk: asks whether a roster was founded.
    Blank { unbootstrapped: BTreeSet<String> },
    /// Endorsed a roster, waits for the others.
    Bootstrapping { bootstrap_vote: BTreeSet<String> },
    /// Lost its disk: gathers what the others promised and accepted.
    Recovering(Recovery),
    /// Has a state: answers, accepts, reads and proposes. Whether its answers count is told by the voter set.
    Active,
    /// The disk failed.
    Failed,
}

/// What a blank disk gathers before it takes part.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Recovery {
    /// The voters asked, as far as they are known.
    pub(crate) voter_set: VoterSet,
    pub(crate) ballot: Ballot,
    pub(crate) promises: BTreeMap<String, Promise>,
    /// The newest state that an earlier try was told: what is told now names what was decided since.
    pub(crate) base: ClusterState,
    /// When to begin anew.
    pub(crate) until: Duration,
}

#[derive(Clone, Hash)]
pub(crate) struct Write {
    pub(crate) write_id: u64,
    pub(crate) durable: Option<DurableState>,
    pub(crate) digest: Option<String>,
    pub(crate) then: Vec<Effect>,
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
pub struct Statistics {
    /// Rounds begun here.
    pub rounds_started: u64,
    /// Of them, those that lost a race or their time.
    pub rounds_lost: u64,
    pub disk_writes: u64,
}

/// A disk written before the voters were part of the state: those it was founded with are the first.
fn name_voters(durable: &mut DurableState) {
    if durable.accepted.voter_set.voters.is_empty() {
        durable
            .accepted
            .voter_set
            .voters
            .clone_from(&durable.initial_voters);
    }
}

/// One voter of the majority register. Two that hash alike act alike from then on: the explorer tells visited
/// states by it.
#[derive(Clone, Hash)]
pub struct Register {
    pub(crate) me: String,
    pub(crate) initial_voter_count: usize,
    pub(crate) times: RegisterTiming,
    pub(crate) random: Random,
    pub(crate) incarnation: u64,
    pub(crate) peers: Vec<String>,
    pub(crate) phase: VoterPhase,
    /// Time of the step under way.
    pub(crate) now: Duration,
    /// When the voter set in force was seen first.
    pub(crate) voters_since: Duration,
    pub(crate) replicas: Replicas,
    /// What was decided, perhaps not synced yet.
    pub(crate) durable: DurableState,
    /// What the disk surely holds: questions are answered from it.
    pub(crate) synced: DurableState,
    pub(crate) configurations: BTreeMap<String, Vec<u8>>,
    /// Digests of the setups, the earliest first.
    pub(crate) arrivals: VecDeque<String>,
    /// The setup that was last sent, by its digest.
    pub(crate) compressed: Option<(String, Vec<u8>)>,
    pub(crate) held: BTreeSet<String>,
    pub(crate) current: Current,
    pub(crate) seen_round: u64,
    pub(crate) round: Round,
    pub(crate) pending: VecDeque<PendingChange>,
    /// Reads under way, the earliest first.
    pub(crate) readings: VecDeque<Reading>,
    pub(crate) next_read: Duration,
    /// Somebody asked for a confirmation after the read under way was begun.
    pub(crate) read_again: bool,
    /// An answer told a difference that fits to nothing here: the next read asks for whole states.
    pub(crate) reads_whole: bool,
    pub(crate) next_tell: Duration,
    /// Rounds lost since the last that was won.
    pub(crate) lost_in_a_row: u32,
    pub(crate) writes: VecDeque<Write>,
    pub(crate) write_id: u64,
    inbox: VecDeque<Payload>,
    pub(crate) statistics: Statistics,
    pub(crate) effects: Vec<Effect>,
}

impl Register {
    /// A register as its disk left it.
    ///
    /// ```
    /// use quorum_register::{Register, VoterPhase, RegisterConfig, RegisterTiming};
    /// let register = Register::new(RegisterConfig {
    ///     me: "pm-1".into(), initial_voter_count: 1, seed: 7, durable: Default::default(),
    ///     configurations: Default::default(), times: RegisterTiming::default(),
    /// });
    /// assert!(matches!(register.phase(), VoterPhase::Blank { .. }));
    /// ```
    pub fn new(mut start: RegisterConfig) -> Self {
        let mut random = Random::new(start.seed);
        name_voters(&mut start.durable);
        let incarnation = random.next_u64();
        let phase = match (start.durable.disk, start.durable.bootstrap_vote.is_empty()) {
            (0, true) => VoterPhase::Blank {
                unbootstrapped: BTreeSet::new(),
            },
            (0, false) => VoterPhase::Bootstrapping {
                bootstrap_vote: BTreeSet::new(),
            },
            _ => VoterPhase::Active,
        };
        Register {
            me: start.me,
            initial_voter_count: start.initial_voter_count,
            times: start.times,
            random,
            incarnation,
            peers: Vec::new(),
            phase,
            now: Duration::ZERO,
            voters_since: Duration::ZERO,
            replicas: Replicas::default(),
            synced: start.durable.clone(),
            seen_round: start.durable.promised.round,
            durable: start.durable,
            held: start.configurations.keys().cloned().collect(),
            arrivals: start.configurations.keys().cloned().collect(),
            configurations: start.configurations,
            compressed: None,
            current: Current {
                ballot: Ballot::default(),
                state: ClusterState::default(),
                confirmed_at: None,
            },
            round: Round::Idle,
            pending: VecDeque::new(),
            readings: VecDeque::new(),
            next_read: Duration::ZERO,
            read_again: false,
            reads_whole: false,
            next_tell: Duration::ZERO,
            lost_in_a_row: 0,
            writes: VecDeque::new(),
            write_id: 0,
            inbox: VecDeque::new(),
            statistics: Statistics::default(),
            effects: Vec::new(),
        }
    }

    /// The one reducer: takes an event in, gives effects out.
    ///
    /// ```
    /// use quorum_register::{Effect, Event, Register, VoterPhase, RegisterConfig, RegisterTiming};
    /// use std::time::Duration;
    /// // A roster of one founds itself once its endorsement and its mark are synced.
    /// let mut register = Register::new(RegisterConfig {
    ///     me: "pm-1".into(), initial_voter_count: 1, seed: 7, durable: Default::default(),
    ///     configurations: Default::default(), times: RegisterTiming::default(),
    /// });
    /// let mut effects = register.step(Duration::ZERO, Event::Peers(vec!["pm-1".into()]));
    /// for turn in 1..9 {
    ///     let kept = effects.drain(..).filter_map(|effect| match effect {
    ///         Effect::Persist { write_id, .. } => Some(Event::WriteCompleted { write_id }),
    ///         _ => None,
    ///     });
    ///     let events: Vec<Event> = kept.chain([Event::Tick]).collect();
    ///     let now = Duration::from_secs(turn);
    ///     effects = events.into_iter().flat_map(|event| register.step(now, event)).collect();
    /// }
    /// assert_eq!(*register.phase(), VoterPhase::Active);
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, body } => self.take(now, &from, body),
            Event::Peers(mut peers) => {
                peers.sort();
                peers.dedup();
                self.peers = peers;
            }
            Event::Submit {
                request_id,
                change,
                bytes,
            } => self.ask(now, request_id, change, bytes),
            Event::Propose(change) => self.propose(now, change),
            Event::Confirm => self.confirm(now),
            Event::WriteCompleted { write_id } => self.kept(write_id),
            Event::DiskFailed => self.enter_phase(VoterPhase::Failed),
            Event::PersistLeaseEpoch { epoch, request_id } => self.raise_epoch(epoch, request_id),
        }
        while let Some(body) = self.inbox.pop_front() {
            let me = self.me.clone();
            self.take(now, &me, body);
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Duration) {
        self.tick_founding(now);
        if self.phase == VoterPhase::Active {
            self.tick_reading(now);
            self.tick_round(now);
        }
        if now >= self.next_tell {
            self.next_tell = now + Duration::from_millis(300);
            self.request_missing_configuration();
        }
    }

    fn take(&mut self, now: Duration, from: &str, body: Payload) {
        self.replicas.heard(from, now);
        match body {
            Payload::Prepare(prepare) => self.prepare(from, prepare),
            Payload::Promise(promise) => self.promise(now, from, promise),
            Payload::Accept(accept) => self.accept(from, accept),
            Payload::AcceptDelta(accept) => self.accept_delta(from, accept),
            Payload::Accepted(accepted) => self.accepted(now, from, accepted),
            Payload::Read(read) => self.read(from, read),
            Payload::ReadBack(back) => self.read_back(now, from, back),
            Payload::Chosen(chosen) => self.adopt(chosen.ballot, chosen.state, None),
            Payload::ChosenDelta(chosen) => self.chosen_delta(now, chosen),
            Payload::ConfigurationBytes(configuration) => self.receive_configuration(configuration),
            Payload::ConfigurationRequest(ask) => self.send_configuration(from, &ask),
            Payload::BootstrapVote(endorse) => self.endorse(from, endorse),
            Payload::Bootstrapped(founded) => self.founded(now, founded.voter_set),
            _ => {}
        }
    }

    /// The one place where the phase changes.
    pub(crate) fn enter_phase(&mut self, phase: VoterPhase) {
        self.phase = phase;
    }

    pub(crate) fn send(&mut self, to: &str, body: Payload) {
        if to == self.me {
            self.inbox.push_back(body);
        } else {
            self.effects.push(Effect::Send {
                to: to.to_owned(),
                body,
            });
        }
    }

    /// Sends to every voter, and to the control nodes that are there beside them: they follow what is decided, and one
    /// of them may have to take a voter's place.
    pub(crate) fn send_all(&mut self, body: Payload) {
        self.replica_nodes()
            .iter()
            .for_each(|node| self.send(node, body.clone()));
    }

    /// The voters, and a few further control nodes.
    pub(crate) fn replica_nodes(&self) -> Vec<String> {
        let mut nodes: Vec<String> = self.voter_set().members().cloned().collect();
        let others: Vec<String> = self
            .peers
            .iter()
            .filter(|peer| !nodes.contains(peer))
            .take(MAX_NONVOTERS)
            .cloned()
            .collect();
        nodes.extend(others);
        nodes
    }

    /// True while the disk keeps up.
    pub(crate) fn disk_is_free(&self) -> bool {
        self.writes.len() < MAX_WRITES
    }

    /// Syncs the decided state and only then lets `then` out.
    pub(crate) fn keep(&mut self, then: Vec<Effect>) {
        self.write_id += 1;
        self.statistics.disk_writes += 1;
        let (write_id, durable) = (self.write_id, self.durable.clone());
        self.writes.push_back(Write {
            write_id,
            durable: Some(durable.clone()),
            digest: None,
            then,
        });
        self.effects.push(Effect::Persist { write_id, durable });
    }

    fn kept(&mut self, write_id: u64) {
        while self
            .writes
            .front()
            .is_some_and(|write| write.write_id <= write_id)
        {
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
        self.settle_recovery();
        self.delete_unreferenced_configurations();
    }

    fn raise_epoch(&mut self, epoch: u64, request_id: u64) {
        let able = self.phase == VoterPhase::Active && self.disk_is_free();
        if able && epoch >= self.durable.lease_epoch {
            self.durable.lease_epoch = epoch;
            self.keep(vec![Effect::LeaseEpochPersisted { request_id }]);
        }
    }

    /// Takes a chosen state into force, unless a newer one is or its setup is not here yet.
    pub(crate) fn adopt(
        &mut self,
        ballot: Ballot,
        state: ClusterState,
        confirmed_at: Option<Duration>,
    ) {
        let complete = state.digest.is_empty() || self.configurations.contains_key(&state.digest);
        if ballot < self.current.ballot {
            return;
        }
        if !complete {
            self.send_all(Payload::ConfigurationRequest(ConfigurationRequest {
                digest: state.digest,
            }));
            return;
        }
        let changed = ballot > self.current.ballot && state != self.current.state;
        let confirmed_at = confirmed_at.max(self.current.confirmed_at);
        if state.voter_set != self.current.state.voter_set {
            self.voters_since = self.now;
        }
        self.current = Current {
            ballot,
            state,
            confirmed_at,
        };
        if changed {
            self.effects.push(Effect::StateChanged);
        }
        self.confirm_by_known(self.now);
    }
}
