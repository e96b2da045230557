//! The register of one node: composes the concerns, and dispatches events and messages to them.

use crate::acceptor::Acceptor;
use crate::configurations::ConfigurationStore;
use crate::event::{Effect, Event};
use crate::inspect::Statistics;
use crate::majority_read::MajorityReads;
use crate::options::{RegisterConfig, RegisterTiming};
use crate::proposer::Proposer;
use crate::recovery::Recovery;
use crate::replicas::Replicas;
use crate::write_queue::WriteQueue;
use protocol::{Ballot, ClusterState, DurableState, Payload};
use random::Random;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How many control nodes beside the voters are sent what is decided.
const MAX_NONVOTERS: usize = 8;
/// How often votes of a bootstrap, and requests for a missing configuration, are sent.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Where a voter stands.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum VoterPhase {
    /// Nothing is on the disk: asks the peers whether they were bootstrapped.
    Blank {
        /// The peers that were not.
        unbootstrapped: BTreeSet<String>,
    },
    /// Voted for the initial voters, and waits for the others' votes.
    Bootstrapping {
        /// The voters whose vote came.
        votes_from: BTreeSet<String>,
    },
    /// Lost its disk: gathers what the others promised and accepted.
    Recovering(Recovery),
    /// Has a state: promises, accepts, reads and proposes. Whether its votes count is told by the voter set.
    Active,
    /// The disk failed.
    Failed,
}

impl VoterPhase {
    /// The phase in which a voter starts from its disk.
    fn at_start(durable: &DurableState) -> VoterPhase {
        if durable.disk != 0 {
            VoterPhase::Active
        } else if durable.bootstrap_vote.is_empty() {
            VoterPhase::Blank {
                unbootstrapped: BTreeSet::new(),
            }
        } else {
            VoterPhase::Bootstrapping {
                votes_from: BTreeSet::new(),
            }
        }
    }
}

/// A state known to be chosen.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct ChosenState {
    pub(crate) ballot: Ballot,
    pub(crate) state: ClusterState,
    /// When the request was sent whose replies confirmed that it is the newest.
    pub(crate) confirmed_at: Option<Duration>,
    /// When its voter set was first known to be chosen.
    pub(crate) voter_set_since: Duration,
}

/// One node's part in the register. Two that hash alike act alike from then on, by which the model checker recognizes
/// visited states.
#[derive(Clone, Debug, Hash)]
pub struct Register {
    pub(crate) node: String,
    pub(crate) initial_voter_count: usize,
    pub(crate) timing: RegisterTiming,
    pub(crate) random: Random,
    /// Drawn at each start; part of the ballots from here.
    pub(crate) incarnation: u64,
    /// The control nodes that membership knows.
    pub(crate) peers: Vec<String>,
    pub(crate) phase: VoterPhase,
    /// Time of the step under way.
    now: Duration,
    pub(crate) acceptor: Acceptor,
    pub(crate) proposer: Proposer,
    pub(crate) reads: MajorityReads,
    pub(crate) chosen: ChosenState,
    pub(crate) configurations: ConfigurationStore,
    pub(crate) writes: WriteQueue,
    pub(crate) replicas: Replicas,
    pub(crate) next_retry: Duration,
    /// Messages of this node to itself.
    inbox: VecDeque<Payload>,
    pub(crate) statistics: Statistics,
    pub(crate) effects: Vec<Effect>,
}

impl Register {
    /// A register that goes on from what its disk holds.
    ///
    /// ```
    /// use quorum_register::{Register, VoterPhase, RegisterConfig, RegisterTiming};
    /// let register = Register::new(RegisterConfig {
    ///     node: "pm-1".into(), initial_voter_count: 1, seed: 7, durable: Default::default(),
    ///     configurations: Default::default(), timing: RegisterTiming::default(),
    /// });
    /// assert!(matches!(register.phase(), VoterPhase::Blank { .. }));
    /// ```
    pub fn new(config: RegisterConfig) -> Self {
        let mut random = Random::new(config.seed);
        let incarnation = random.next_u64();
        Register {
            node: config.node,
            initial_voter_count: config.initial_voter_count,
            timing: config.timing,
            random,
            incarnation,
            peers: Vec::new(),
            phase: VoterPhase::at_start(&config.durable),
            now: Duration::ZERO,
            proposer: Proposer::new(config.durable.promised.round),
            acceptor: Acceptor::new(config.durable),
            reads: MajorityReads::default(),
            chosen: ChosenState::default(),
            configurations: ConfigurationStore::new(config.configurations),
            writes: WriteQueue::default(),
            replicas: Replicas::default(),
            next_retry: Duration::ZERO,
            inbox: VecDeque::new(),
            statistics: Statistics::default(),
            effects: Vec::new(),
        }
    }

    /// The reducer: takes one event in, gives the effects to carry out.
    ///
    /// ```
    /// use quorum_register::{Effect, Event, Register, VoterPhase, RegisterConfig, RegisterTiming};
    /// use std::time::Duration;
    /// // A single voter bootstraps itself once its vote and its disk's identity are on the disk.
    /// let mut register = Register::new(RegisterConfig {
    ///     node: "pm-1".into(), initial_voter_count: 1, seed: 7, durable: Default::default(),
    ///     configurations: Default::default(), timing: RegisterTiming::default(),
    /// });
    /// let mut effects = register.step(Duration::ZERO, Event::Peers(vec!["pm-1".into()]));
    /// for second in 1..9 {
    ///     let completed = effects.drain(..).filter_map(|effect| match effect {
    ///         Effect::Persist { write_id, .. } => Some(Event::WriteCompleted { write_id }),
    ///         _ => None,
    ///     });
    ///     let events: Vec<Event> = completed.chain([Event::Tick]).collect();
    ///     let now = Duration::from_secs(second);
    ///     effects = events.into_iter().flat_map(|event| register.step(now, event)).collect();
    /// }
    /// assert_eq!(*register.phase(), VoterPhase::Active);
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, body } => self.handle_message(now, &from, body),
            Event::Peers(peers) => self.set_peers(peers),
            Event::Submit {
                request_id,
                change,
                bytes,
            } => self.submit(now, request_id, change, bytes),
            Event::Propose(change) => self.propose(now, change),
            Event::Confirm => self.confirm(now),
            Event::WriteCompleted { write_id } => self.complete_writes(write_id),
            Event::DiskFailed => self.phase = VoterPhase::Failed,
            Event::PersistLeaseEpoch {
                epoch,
                keeps_key_owners,
                request_id,
            } => {
                self.persist_lease_epoch(epoch, keeps_key_owners, request_id);
            }
        }
        while let Some(body) = self.inbox.pop_front() {
            let node = self.node.clone();
            self.handle_message(now, &node, body);
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Duration) {
        self.tick_recovery(now);
        self.tick_bootstrap(now);
        if self.phase == VoterPhase::Active {
            self.tick_reads(now);
            self.tick_round(now);
        }
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.request_missing_configuration();
        }
    }

    fn set_peers(&mut self, mut peers: Vec<String>) {
        peers.sort();
        peers.dedup();
        self.peers = peers;
    }

    fn handle_message(&mut self, now: Duration, from: &str, body: Payload) {
        self.replicas.record_heard(from, now);
        match body {
            Payload::Prepare(prepare) => self.handle_prepare(from, prepare),
            Payload::Promise(promise) => self.handle_promise(now, from, promise),
            Payload::Accept(accept) => self.handle_accept(from, accept),
            Payload::AcceptDelta(accept) => self.handle_accept_delta(from, accept),
            Payload::Accepted(accepted) => self.handle_accepted(now, from, accepted),
            Payload::Read(read) => self.handle_read(from, read),
            Payload::ReadBack(reply) => self.handle_read_back(now, from, reply),
            Payload::Chosen(chosen) => self.adopt(chosen.ballot, chosen.state, None),
            Payload::ChosenDelta(chosen) => self.handle_chosen_delta(now, chosen),
            Payload::ConfigurationBytes(configuration) => self.handle_configuration(configuration),
            Payload::ConfigurationRequest(request) => {
                self.handle_configuration_request(from, request.digest);
            }
            Payload::BootstrapVote(vote) => self.handle_bootstrap_vote(from, vote),
            Payload::Bootstrapped(bootstrapped) => {
                self.handle_bootstrapped(now, bootstrapped.voter_set);
            }
            Payload::KeyOwnersWrite(write) => self.handle_key_owners_write(from, write),
            Payload::KeyOwnersRead(read) => self.handle_key_owners_read(from, &read),
            // The caller is the one who asked.
            body @ (Payload::KeyOwnersWritten(_) | Payload::KeyOwnersReadBack(_)) => {
                let to = self.node.clone();
                self.effects.push(Effect::Send { to, body });
            }
            _ => {}
        }
    }

    pub(crate) fn send(&mut self, to: &str, body: Payload) {
        if to == self.node {
            self.inbox.push_back(body);
            return;
        }
        self.effects.push(Effect::Send {
            to: to.to_owned(),
            body,
        });
    }

    pub(crate) fn send_to_each(&mut self, nodes: &[String], body: &Payload) {
        for node in nodes {
            self.send(node, body.clone());
        }
    }

    /// Sends to every voter, and to a few control nodes beside them: those follow what is decided, and one of them may
    /// have to replace a voter.
    pub(crate) fn broadcast(&mut self, body: Payload) {
        self.send_to_each(&self.replica_nodes(), &body);
    }

    /// The voters, and a few further control nodes.
    pub(crate) fn replica_nodes(&self) -> Vec<String> {
        let mut nodes: Vec<String> = self.voter_set().members().cloned().collect();
        let nonvoters: Vec<String> = self
            .peers
            .iter()
            .filter(|peer| !nodes.contains(peer))
            .take(MAX_NONVOTERS)
            .cloned()
            .collect();
        nodes.extend(nonvoters);
        nodes
    }

    /// Puts a chosen state in force, unless a newer one is, or its configuration is not here yet.
    pub(crate) fn adopt(
        &mut self,
        ballot: Ballot,
        state: ClusterState,
        confirmed_at: Option<Duration>,
    ) {
        if ballot < self.chosen.ballot {
            return;
        }
        if !self.configurations.is_complete(&state.digest) {
            self.request_configuration(state.digest);
            return;
        }
        let is_changed = ballot > self.chosen.ballot && state != self.chosen.state;
        if state.voter_set != self.chosen.state.voter_set {
            self.chosen.voter_set_since = self.now;
        }
        self.chosen.confirmed_at = confirmed_at.max(self.chosen.confirmed_at);
        self.chosen.ballot = ballot;
        self.chosen.state = state;
        if is_changed {
            self.effects.push(Effect::StateChanged);
        }
        self.confirm_by_replies(self.now);
    }
}
