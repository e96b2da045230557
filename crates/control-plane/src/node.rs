//! The control node: one reducer that takes events in and gives effects out. It composes the register, membership, the
//! lease and the registry of upstreams with the states of this package's other modules, and carries effects between them.

use crate::anonymous_evacuations::AnonymousEvacuations;
use crate::contact::QuorumContact;
use crate::departures::Departures;
use crate::granting::WaitingHeartbeat;
use crate::heartbeat_relay::{DIGEST_INTERVAL, HeartbeatRelay};
use crate::interface::{Effect, Event};
use crate::pending_requests::PendingRequests;
use crate::placement::PlacementState;
use crate::start::{Start, Times};
use crate::update_streams::UpdateStreams;
use crate::voters::VoterChanges;
use config::Configuration;
use lease::BoundedStepClock;
use lease::Lease;
use membership::Membership;
use name_directory::{ConfigurationParser, OwnershipMode};
use protocol::{CONTROL_NODE_ROLE, Member, Payload, UpstreamsRequest};
use quorum_register::{Register, VoterPhase};
use random::Random;
use result_code::ResultCode;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::UpstreamRegistry;

/// What a control node did since its start, beside its membership.
#[derive(Default)]
pub(crate) struct Statistics {
    pub(crate) heartbeats: u64,
    pub(crate) leases_acquired: u64,
    pub(crate) placements_published: u64,
    pub(crate) names_moved: u64,
    pub(crate) snapshots: u64,
    pub(crate) changes: u64,
}

/// A control node without its input and output: pure and deterministic.
pub struct ControlNode {
    pub(crate) me: Member,
    /// Distinguishes this process from earlier ones of the same name.
    pub(crate) incarnation: u64,
    pub(crate) times: Times,
    pub(crate) reader: ConfigurationParser,
    pub(crate) owners: OwnershipMode,
    pub(crate) random: Random,
    pub(crate) register: Register,
    pub(crate) membership: Membership,
    pub(crate) lease: Lease,
    pub(crate) registry: UpstreamRegistry,
    /// True once another control node sent all it knows of upstreams.
    pub(crate) registry_synced: bool,
    /// The configuration in force here.
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Vec<Member>,
    pub(crate) placement: PlacementState,
    /// By which the grants of this node are waited out.
    pub(crate) grant_clock: BoundedStepClock,
    pub(crate) relay: HeartbeatRelay,
    next_relay_at: Duration,
    pub(crate) updates: UpdateStreams,
    pub(crate) pending: PendingRequests,
    /// Answers that wait for the record of key owners.
    pub(crate) waiting_heartbeats: Vec<WaitingHeartbeat>,
    pub(crate) anonymous_evacuations: AnonymousEvacuations,
    pub(crate) contact: QuorumContact,
    pub(crate) departures: Departures,
    pub(crate) voter_changes: VoterChanges,
    pub(crate) statistics: Statistics,
    /// A write failed and is retried: nothing new is promised or accepted here meanwhile.
    pub(crate) disk_failing: bool,
    /// The process was asked to stop: clients are sent to other nodes.
    pub(crate) shutting_down: bool,
    logged: LoggedState,
    pub(crate) effects: VecDeque<Effect>,
}

/// What the log said last, so that each change is logged once.
struct LoggedState {
    phase: VoterPhase,
    /// The accepted state names a configuration whose bytes are not here.
    configuration_missing: bool,
}

impl ControlNode {
    /// A control node as its disk left it.
    ///
    /// ```
    /// # let times = control_plane::daemon::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// let start = control_plane::Start { me: Default::default(), seeds: vec![], initial_voter_count: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    ///     durable: Default::default(), configurations: Default::default(), departures: vec![], times };
    /// assert_eq!(control_plane::ControlNode::new(start).revision(), 0);
    /// ```
    pub fn new(start: Start) -> Self {
        let incarnation = random::stable_hash(&format!("life {}", start.seed)).max(1);
        let mut random = Random::new(start.seed);
        let Start {
            me,
            seeds,
            initial_voter_count,
            reader,
            owners,
            durable,
            configurations,
            departures,
            times,
            ..
        } = start;
        let mut registry = UpstreamRegistry::default();
        for departure in &departures {
            registry.record_departure(Duration::ZERO, departure);
        }
        let register = Register::new(quorum_register::RegisterConfig {
            node: me.node.clone(),
            initial_voter_count,
            seed: random.next_u64(),
            durable,
            configurations,
            timing: times.register,
        });
        ControlNode {
            grant_clock: BoundedStepClock::new(times.longest_step),
            membership: Membership::new(me.clone(), seeds, times.membership, random.next_u64()),
            lease: Lease::new(me.node.clone(), times.lease, random.next_u64()),
            logged: LoggedState {
                phase: register.phase().clone(),
                configuration_missing: false,
            },
            members: vec![me.clone()],
            me,
            incarnation,
            times,
            reader,
            owners,
            random,
            register,
            registry,
            registry_synced: false,
            configuration: Arc::default(),
            placement: PlacementState::default(),
            relay: HeartbeatRelay::default(),
            next_relay_at: Duration::ZERO,
            updates: UpdateStreams::default(),
            pending: PendingRequests::default(),
            waiting_heartbeats: Vec::new(),
            anonymous_evacuations: AnonymousEvacuations::default(),
            contact: QuorumContact::default(),
            departures: Departures::default(),
            voter_changes: VoterChanges::default(),
            statistics: Statistics::default(),
            disk_failing: false,
            shutting_down: false,
            effects: VecDeque::new(),
        }
    }

    /// The revision in force here.
    ///
    /// ```
    /// # let times = control_plane::daemon::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = control_plane::Start { me: Default::default(), seeds: vec![], initial_voter_count: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), configurations: Default::default(), departures: vec![], times };
    /// assert_eq!(control_plane::ControlNode::new(start).revision(), 0);
    /// ```
    pub fn revision(&self) -> u64 {
        self.register.state().revision
    }

    /// Handles an event at a time of the local clock; the effects are to be carried out in their order.
    ///
    /// ```
    /// # let times = control_plane::daemon::times(&config::Settings::parse(&[config::TIME_SETTINGS], None, &[]).unwrap());
    /// # let start = control_plane::Start { me: Default::default(), seeds: vec![], initial_voter_count: 6, seed: 1, reader: Default::default(), owners: Default::default(),
    /// #     durable: Default::default(), configurations: Default::default(), departures: vec![], times };
    /// use control_plane::{ControlResponse, ControlRequest, Effect, Event, ControlNode};
    /// let mut control = ControlNode::new(start);
    /// let request = ControlRequest::SubmitConfiguration { id: "a".into(), base: None, bytes: b"{".to_vec(), in_force: false };
    /// let effects = control.step(Default::default(), Event::ControlRequest { request_id: 7, request });
    /// assert!(matches!(&effects[0], Effect::Respond { request_id: 7, response: ControlResponse::Rejected { .. } }));
    /// ```
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.grant_clock.advance(now);
        self.anonymous_evacuations.record_step(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, body } => self.handle_message(now, from, body),
            Event::Datagram { address, body } => {
                let effects = self
                    .membership
                    .step(now, membership::Event::Received { address, body });
                self.run_membership(now, effects);
            }
            Event::ControlRequest { request_id, .. } if self.shutting_down => {
                self.reject_or_redirect(now, request_id, ResultCode::ShuttingDown)
            }
            Event::ControlRequest {
                request_id,
                request,
            } => self.handle_request(now, request_id, request),
            Event::WriteCompleted { write_id } => {
                self.run_register(now, quorum_register::Event::WriteCompleted { write_id })
            }
            Event::DeparturesPersisted { write_id } => {
                self.handle_departures_persisted(now, write_id)
            }
            Event::DiskFailed => self.run_register(now, quorum_register::Event::DiskFailed),
            Event::DiskRetrying => self.disk_failing = true,
            Event::DiskRecovered => self.disk_failing = false,
            Event::SeedsChanged(seeds) => self.membership.set_seeds(seeds),
            Event::Shutdown => self.shut_down(now),
        }
        self.complete_reads(now);
        self.complete_anonymous_evacuations(now);
        std::mem::take(&mut self.effects).into()
    }

    fn tick(&mut self, now: Duration) {
        let effects = self.membership.step(now, membership::Event::Tick);
        self.run_membership(now, effects);
        self.run_register(now, quorum_register::Event::Tick);
        if *self.register.phase() == VoterPhase::Active {
            self.update_lease_voters(now);
            self.run_lease(now, lease::Event::Tick);
        }
        self.tick_voters(now);
        self.tick_relay(now);
        self.tick_placement(now);
        self.answer_waiting_heartbeats(now);
        self.tick_updates(now);
        self.tick_pending_requests(now);
        self.tick_quorum_contact(now);
        self.tick_departures(now);
        self.log_voter_phase();
        self.log_missing_configuration();
    }

    /// Tells the other control nodes what this one was told of upstreams.
    fn tick_relay(&mut self, now: Duration) {
        if now < self.next_relay_at {
            return;
        }
        self.next_relay_at = now + DIGEST_INTERVAL;
        // What others heard comes with their next digests.
        self.registry
            .expire_silent(now, self.times.upstream_silent + DIGEST_INTERVAL);
        if !self.knows_upstreams(now) {
            let request = UpstreamsRequest {
                incarnation: self.incarnation,
                ..UpstreamsRequest::default()
            };
            self.send_to_control_nodes(Payload::UpstreamsRequest(request));
        }
        self.forward_key_loads();
        self.send_heartbeat_digests(now);
    }

    /// Until the bytes are here this node can't answer with the state it accepted: it requests them from the others.
    fn log_missing_configuration(&mut self) {
        let is_missing = self.register.is_missing_accepted_configuration();
        if is_missing == self.logged.configuration_missing {
            return;
        }
        self.logged.configuration_missing = is_missing;
        if is_missing {
            self.effects.push_back(Effect::LogError(
                "the configuration of the state on this disk is missing or damaged; the other nodes are asked for it"
                    .into(),
            ));
        } else {
            self.log("repaired: the configuration of the state on this disk is here again");
        }
    }

    fn log_voter_phase(&mut self) {
        let phase = self.register.phase();
        if std::mem::discriminant(phase) == std::mem::discriminant(&self.logged.phase) {
            return;
        }
        self.logged.phase = phase.clone();
        let text = match phase {
            VoterPhase::Blank { .. } => "the disk is blank",
            VoterPhase::Bootstrapping { .. } => "voted for a bootstrap",
            VoterPhase::Recovering(_) => "recovering from the voters",
            VoterPhase::Active if self.register.is_voter() => "voting",
            VoterPhase::Active => "replica without a vote",
            VoterPhase::Failed => "the disk failed: takes no part in voting",
        };
        self.log(text);
    }

    pub(crate) fn handle_message(&mut self, now: Duration, from: String, body: Payload) {
        self.observe_lease_holder(now, &from, &body);
        match body {
            Payload::LeaseRequest(_) | Payload::LeaseReply(_) | Payload::LeaseRelease(_) => {
                // A voter that has lost its disk has forgotten the epochs it granted.
                if *self.register.phase() == VoterPhase::Active {
                    self.update_lease_voters(now);
                    self.run_lease(now, lease::Event::Received { from, body });
                }
            }
            Payload::Heartbeats(heartbeats) => self.handle_heartbeats(now, from, heartbeats),
            Payload::HeartbeatsAck(ack) => self.handle_heartbeats_ack(now, from, ack),
            Payload::Read(read) => self.handle_read(now, from, read, 0),
            Payload::DeparturesRead(request) => {
                self.handle_read(now, from, request.read, request.digest)
            }
            Payload::DeparturesReadBack(response) => self.handle_read_back(now, from, response),
            Payload::HeartbeatDigest(digest) => self.handle_heartbeat_digest(now, from, digest),
            Payload::UpstreamsRequest(request) => self.handle_upstreams_request(now, from, request),
            Payload::UpstreamsReply(reply) => self.handle_upstreams_reply(now, reply),
            Payload::LeaseHolder(holder) => self.handle_lease_holder(from, &holder),
            Payload::SharesRequest(request) => self.handle_shares_request(now, from, request),
            Payload::SharesReply(reply) => self.handle_shares_reply(&from, reply),
            Payload::PlacementRequest(_) => self.handle_placement_request(from),
            Payload::Placement(placement) => self.handle_placement(from, placement),
            Payload::VoterLeaving(_) => self.handle_voter_leaving(now, from),
            Payload::KeyLoads(key_loads) => self.count_key_loads(key_loads.loads),
            Payload::KeyOwnersReadBack(read_back) => {
                self.handle_key_owners_read_back(now, &from, read_back);
            }
            Payload::KeyOwnersWritten(written) => {
                self.handle_key_owners_written(now, &from, &written);
            }
            Payload::UpdateRequest(request) => self.handle_update_request(now, from, request),
            Payload::UpdateAck(ack) => self.handle_update_ack(&from, &ack),
            Payload::DataPlaneAck(ack) => self.handle_data_plane_ack(ack),
            other => {
                if matches!(other, Payload::ReadBack(_)) {
                    self.record_voter_response(now, &from);
                }
                self.run_register(now, quorum_register::Event::Received { from, body: other });
            }
        }
    }

    /// All control nodes among the members, this one included.
    pub(crate) fn control_nodes(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE)
    }

    /// The other control nodes.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Member> {
        self.control_nodes()
            .filter(|member| member.node != self.me.node)
    }

    pub(crate) fn send(&mut self, to: String, body: Payload) {
        self.effects.push_back(Effect::Send { to, body });
    }

    /// Sends a message to all other control nodes.
    pub(crate) fn send_to_control_nodes(&mut self, body: Payload) {
        let peers: Vec<String> = self.peers().map(|member| member.node.clone()).collect();
        for to in peers {
            self.send(to, body.clone());
        }
    }

    pub(crate) fn log(&mut self, text: impl Into<String>) {
        self.effects.push_back(Effect::Log(text.into()));
    }

    /// True once this node knows the upstreams well enough to tell data-plane nodes of them: another control node sent all
    /// it knows, or all upstreams had time to send a heartbeat.
    pub(crate) fn knows_upstreams(&self, now: Duration) -> bool {
        self.registry_synced || now >= self.times.upstream_silent
    }

    /// True while a majority confirmed the state lately.
    pub(crate) fn is_current(&self, now: Duration) -> bool {
        self.register
            .confirmation_age(now)
            .is_some_and(|age| age < self.times.stale_after)
    }
}
