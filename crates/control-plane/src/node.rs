//! One postmaster's decisions: the register, membership, the roll of upstreams, the placement duty and the
//! news to carriers, as one reducer.

use crate::anonymous_orders::AnonymousOrders;
use crate::contact::QuorumContact;
use crate::departures::Departures;
use crate::keys::KeyLoadCounts;
use crate::placement::PlacementLease;
use crate::updates::UpdateStream;
use crate::voters::VoterChanges;
use config::{Configuration, JsonValue, ValidationError};
use lease::BoundedStepClock;
use lease::Lease;
use membership::Membership;
use name_directory::{ConfigurationParser, OwnershipMode};
use protocol::{
    Departure, DurableState, KeyShare, Member, Payload, Placement, Upstream, UpstreamsReply,
    UpstreamsRequest,
};
use quorum_register::{Change, ChangeId, Register, VoterPhase};
use random::Random;
use result_code::ResultCode;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use upstream_registry::UpstreamRegistry;

/// The role of a control node in `Member.roles`: part of the wire format, so it keeps its old word.
pub(crate) const CONTROL_NODE_ROLE: &str = "postmaster";
/// How often upstreams that go on beating are told on.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// A postmaster's time values.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub register: quorum_register::RegisterTiming,
    pub membership: membership::Times,
    pub lease: lease::LeaseTiming,
    pub placement: name_directory::PlacementTimes,
    pub share_span: Duration,
    pub upstream_silent: Duration,
    pub stale_after: Duration,
    /// Where holds are waited out, a step counts for no more than this.
    pub longest_step: Duration,
}

/// What a postmaster starts from.
pub struct Start {
    pub me: Member,
    pub seeds: Vec<String>,
    pub initial_voter_count: usize,
    pub seed: u64,
    /// How configurations are read.
    pub reader: ConfigurationParser,
    /// Who owns a name.
    pub owners: OwnershipMode,
    pub durable: DurableState,
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// What an earlier process kept of the departures of its last minute.
    pub departures: Vec<Departure>,
    pub times: Times,
}

/// What operators and upstreams ask over HTTP.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    SubmitConfiguration {
        id: ChangeId,
        base: Option<u64>,
        bytes: Vec<u8>,
        in_force: bool,
    },
    Evacuate {
        id: ChangeId,
        locality: String,
        back: bool,
        in_force: bool,
    },
    /// Let one node vote, another not any more, or both at once.
    ChangeVoters {
        add: Option<String>,
        remove: Option<String>,
    },
    ReadConfiguration,
    Status,
    Upstreams,
    Reservations,
    Tombstones,
    Heartbeat(Upstream),
    /// An upstream says that it ends now.
    Deregister {
        instance: String,
    },
}

/// An answer to an [`ControlRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ControlResponse {
    Outcome {
        code: ResultCode,
        revision: u64,
    },
    Rejected {
        code: ResultCode,
        validation_errors: Vec<ValidationError>,
    },
    Configuration {
        revision: u64,
        bytes: Vec<u8>,
    },
    /// To a beat: who holds the duty, and all that the upstream holds from now on, for this span. Without shares it
    /// learns nothing new.
    Heartbeat {
        holder: u64,
        shares: Option<Vec<KeyShare>>,
        span: Duration,
    },
    Json(JsonValue),
    /// This node is out of contact with a majority: the one at this address was lately in contact. Nothing was done.
    /// The core names host and port; what is shown is a whole URL.
    Redirect {
        to: String,
    },
}

/// What happens to a postmaster.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: String,
        body: Payload,
    },
    Datagram {
        address: String,
        body: Payload,
    },
    ControlRequest {
        request_id: u64,
        request: ControlRequest,
    },
    WriteCompleted {
        write_id: u64,
    },
    DiskFailed,
    /// The departures with this ticket outlive this process.
    DeparturesPersisted {
        write_id: u64,
    },
    /// A write failed, and the disk tries it again until it is done.
    DiskRetrying,
    /// The write that failed is done.
    DiskRecovered,
    /// The settings name other seeds.
    SeedsChanged(Vec<String>),
    Shutdown,
}

/// What a postmaster wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: String,
        body: Payload,
    },
    SendDatagram {
        address: String,
        body: Payload,
    },
    Persist {
        write_id: u64,
        durable: DurableState,
    },
    StoreConfiguration {
        write_id: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    /// Write these departures, without a sync and without waiting for other writes, then tell `DeparturesPersisted`. They
    /// take the place of those written before.
    PersistDepartures {
        write_id: u64,
        departures: Vec<Departure>,
    },
    /// The file of this setup may go, after all writes before.
    DeleteConfiguration {
        digest: String,
    },
    Respond {
        request_id: u64,
        response: ControlResponse,
    },
    /// Membership changed: node ids with their link addresses.
    UpdateAddresses(Vec<(String, String)>),
    /// Worth a line in the log.
    Log(String),
    /// Worth an operator's look.
    LogError(String),
}

pub(crate) struct InForceWait {
    pub request_id: u64,
    pub response: ControlResponse,
    pub revision: u64,
    pub until: Duration,
}

/// A read-back that waits for a confirmation asked after it.
pub(crate) struct ReadWait {
    pub request_id: u64,
    pub asked_at: Duration,
}

pub(crate) struct HeartbeatWait {
    pub request_id: u64,
    /// Who was asked.
    pub asked: String,
    pub until: Duration,
}

/// What a postmaster did since its start, beside its membership.
#[derive(Default)]
pub(crate) struct Statistics {
    pub heartbeats: u64,
    pub leases_acquired: u64,
    pub placements_published: u64,
    pub names_moved: u64,
    pub snapshots: u64,
    pub changes: u64,
}

/// The core of one postmaster.
pub struct ControlNode {
    pub(crate) me: Member,
    /// Tells this life of the process from earlier ones of the same name.
    incarnation: u64,
    pub(crate) times: Times,
    pub(crate) reader: ConfigurationParser,
    pub(crate) owners: OwnershipMode,
    pub(crate) random: Random,
    pub(crate) register: Register,
    pub(crate) membership: Membership,
    pub(crate) lease: Lease,
    pub(crate) registry: UpstreamRegistry,
    pub(crate) placement_lease: Option<PlacementLease>,
    /// Requests by key that carriers told of, to be told on to the holder of the duty.
    pub(crate) loads: KeyLoadCounts,
    /// The last placement heard of, and who holds the duty.
    pub(crate) placement: Placement,
    pub(crate) placement_holder: String,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) members: Vec<Member>,
    pub(crate) update_streams: BTreeMap<String, UpdateStream>,
    /// The edition that each carrier acknowledged, to whichever postmaster.
    pub(crate) acknowledged_revisions: BTreeMap<String, u64>,
    pub(crate) in_force_waits: Vec<InForceWait>,
    pub(crate) read_waits: Vec<ReadWait>,
    pub(crate) anonymous: AnonymousOrders,
    pub(crate) heartbeat_waits: BTreeMap<u64, HeartbeatWait>,
    pub(crate) contact: QuorumContact,
    pub(crate) departures: Departures,
    /// Upstreams whose beats came here of late: which beat, and when.
    pub(crate) recent_heartbeats: BTreeMap<(String, String), (u64, Duration)>,
    pub(crate) digest_rounds: usize,
    pub(crate) next_relay_at: Duration,
    pub(crate) next_update_at: Duration,
    pub(crate) effects: VecDeque<Effect>,
    logged_phase: VoterPhase,
    /// True once another postmaster told all it knows of upstreams, or all of them had time to beat.
    pub(crate) registry_synced: bool,
    pub(crate) placement_epoch: u64,
    /// By which the holds that this node gave are waited out.
    pub(crate) grant_clock: BoundedStepClock,
    pub(crate) statistics: Statistics,
    /// A write failed and is tried again: nothing new is promised or accepted here meanwhile.
    pub(crate) disk_failing: bool,
    /// The state accepted here names a setup whose bytes are not here.
    configuration_missing: bool,
    /// True once it was told to end: whoever asks is sent elsewhere.
    pub(crate) shutting_down: bool,
    pub(crate) voter_changes: VoterChanges,
}

impl ControlNode {
    /// A postmaster as its disk left it.
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
        departures.iter().for_each(|departure| {
            registry.record_departure(Duration::ZERO, departure);
        });
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
            logged_phase: register.phase().clone(),
            members: vec![me.clone()],
            me,
            incarnation,
            times,
            reader,
            owners,
            random,
            register,
            registry,
            placement_lease: None,
            loads: KeyLoadCounts::default(),
            placement: Placement::default(),
            placement_holder: String::new(),
            configuration: Arc::default(),
            update_streams: BTreeMap::new(),
            acknowledged_revisions: BTreeMap::new(),
            in_force_waits: Vec::new(),
            read_waits: Vec::new(),
            anonymous: AnonymousOrders::default(),
            heartbeat_waits: BTreeMap::new(),
            contact: QuorumContact::default(),
            departures: Departures::default(),
            recent_heartbeats: BTreeMap::new(),
            digest_rounds: 0,
            next_relay_at: Duration::ZERO,
            next_update_at: Duration::ZERO,
            effects: VecDeque::new(),
            registry_synced: false,
            placement_epoch: 0,
            statistics: Statistics::default(),
            disk_failing: false,
            configuration_missing: false,
            shutting_down: false,
            voter_changes: VoterChanges::default(),
        }
    }

    /// The edition in force here.
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

    /// The one reducer: takes an event in, gives effects out.
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
        self.anonymous.note_step(now);
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
            Event::SeedsChanged(seeds) => self.membership.learn_seeds(seeds),
            Event::Shutdown => self.shut_down(now),
        }
        self.complete_reads(now);
        self.tick_anonymous_evacuations(now);
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
        if now >= self.next_relay_at {
            self.next_relay_at = now + DIGEST_INTERVAL;
            // What others hear of comes with their next batch.
            self.registry
                .expire_silent(now, self.times.upstream_silent + DIGEST_INTERVAL);
            if !self.knows_upstreams(now) {
                let life = self.incarnation;
                self.send_to_control_nodes(Payload::UpstreamsRequest(UpstreamsRequest {
                    life,
                    ..Default::default()
                }));
            }
            self.forward_key_loads();
            self.send_heartbeat_digests(now);
        }
        self.tick_placement(now);
        self.tick_updates(now);
        self.tick_pending_requests(now);
        self.tick_quorum_contact(now);
        self.tick_departures(now);
        self.log_voter_phase();
        self.log_missing_configuration();
    }

    /// Until its bytes are here this node can't answer with the state it holds: it asks the others for them.
    fn log_missing_configuration(&mut self) {
        let lacks = self.register.is_missing_accepted_configuration();
        if lacks != self.configuration_missing {
            self.configuration_missing = lacks;
            self.effects.push_back(match lacks {
                true => Effect::LogError(
                    "the configuration of the state on this disk is missing or damaged; the other nodes are asked for it".into(),
                ),
                false => Effect::Log("repaired: the configuration of the state on this disk is here again".into()),
            });
        }
    }

    fn log_voter_phase(&mut self) {
        let now = self.register.phase();
        if std::mem::discriminant(now) != std::mem::discriminant(&self.logged_phase) {
            self.logged_phase = now.clone();
            let text = match now {
                VoterPhase::Blank { .. } => "the disk is blank",
                VoterPhase::Bootstrapping { .. } => "voted for a bootstrap",
                VoterPhase::Recovering(_) => "recovering from the voters",
                VoterPhase::Active if self.register.is_voter() => "voting",
                VoterPhase::Active => "replica without a vote",
                VoterPhase::Failed => "the disk failed: takes no part in voting",
            };
            self.effects.push_back(Effect::Log(text.into()));
        }
    }

    fn handle_message(&mut self, now: Duration, from: String, body: Payload) {
        self.observe_lease_holder(now, &from, &body);
        match body {
            Payload::LeaseRequest(_) | Payload::LeaseReply(_) | Payload::LeaseRelease(_) => {
                // A voter that has lost its disk has forgotten the epochs it granted.
                if *self.register.phase() == VoterPhase::Active {
                    self.update_lease_voters(now);
                    self.run_lease(now, lease::Event::Received { from, body });
                }
            }
            Payload::Heartbeats(beats) => self.handle_heartbeats(now, from, beats),
            Payload::HeartbeatsAck(ack) => self.handle_heartbeats_ack(now, from, ack),
            Payload::Read(read) => self.handle_read(now, from, read, 0),
            Payload::DeparturesRead(asked) => self.handle_read(now, from, asked.read, asked.digest),
            Payload::DeparturesReadBack(response) => self.handle_read_back(now, from, response),
            Payload::HeartbeatDigest(alive) => self.handle_heartbeat_digest(now, from, alive),
            Payload::UpstreamsRequest(request) => self.handle_upstreams_request(now, from, request),
            Payload::UpstreamsReply(reply) => self.handle_upstreams_reply(now, reply),
            Payload::LeaseHolder(holder) => self.record_lease_holder(from, holder.epoch),
            Payload::SharesRequest(request) => self.handle_shares_request(now, from, request),
            Payload::SharesReply(given) => self.handle_shares_reply(&from, given),
            Payload::PlacementRequest(_) => self.handle_placement_request(from),
            Payload::Placement(placement) => self.handle_placement(from, placement),
            Payload::VoterLeaving(_) => self.handle_voter_leaving(now, from),
            Payload::KeyLoads(key_loads) => self.count_key_loads(key_loads.loads),
            Payload::UpdateRequest(request) => self.handle_update_request(now, from, request),
            Payload::UpdateAck(kept) => self.handle_update_ack(&from, &kept),
            Payload::DataPlaneAck(kept) => self.handle_data_plane_ack(kept),
            other => {
                if matches!(other, Payload::ReadBack(_)) {
                    self.record_voter_response(now, &from);
                }
                self.run_register(now, quorum_register::Event::Received { from, body: other });
            }
        }
    }

    pub(crate) fn run_membership(&mut self, now: Duration, effects: Vec<membership::Effect>) {
        let changed = effects.contains(&membership::Effect::Changed);
        effects.into_iter().for_each(|effect| {
            if let membership::Effect::Send { address, body } = effect {
                self.effects
                    .push_back(Effect::SendDatagram { address, body });
            }
        });
        if changed {
            self.members = self.membership.members().cloned().collect();
            let present = |node: &String| self.members.iter().any(|member| member.node == *node);
            self.acknowledged_revisions.retain(|node, _| present(node));
            let book = self
                .members
                .iter()
                .map(|member| (member.node.clone(), member.link_address.clone()));
            self.effects
                .push_back(Effect::UpdateAddresses(book.collect()));
        }
        let peers = self
            .members
            .iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE);
        let peers = peers.map(|member| member.node.clone()).collect();
        self.run_register(now, quorum_register::Event::Peers(peers));
    }

    pub(crate) fn run_register(&mut self, now: Duration, event: quorum_register::Event) {
        let effects = self.register.step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            quorum_register::Effect::Send { to, body } => self.send_register_message(now, to, body),
            quorum_register::Effect::Persist { write_id, durable } => {
                self.effects
                    .push_back(Effect::Persist { write_id, durable });
            }
            quorum_register::Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                self.effects.push_back(Effect::StoreConfiguration {
                    write_id,
                    digest,
                    bytes,
                });
            }
            quorum_register::Effect::DeleteConfiguration { digest } => self
                .effects
                .push_back(Effect::DeleteConfiguration { digest }),
            quorum_register::Effect::Decided {
                request_id,
                decision,
            } => self.handle_decision(now, request_id, decision),
            quorum_register::Effect::StateChanged => self.handle_state_changed(),
            quorum_register::Effect::LeaseEpochPersisted { request_id } => {
                self.run_lease(now, lease::Event::LeaseEpochPersisted { request_id })
            }
        });
    }

    /// Whom the lease asks, and what it may grant, follows every newer state at once.
    fn update_lease_voters(&mut self, now: Duration) {
        let voter_set = self.register.voter_set().clone();
        let persisted_epoch = self.register.lease_epoch();
        self.run_lease(
            now,
            lease::Event::VotersChanged {
                voter_set,
                persisted_epoch,
            },
        );
    }

    pub(crate) fn run_lease(&mut self, now: Duration, event: lease::Event) {
        let effects = self.lease.step(now, event);
        effects.into_iter().for_each(|effect| match effect {
            lease::Effect::Send { to, body } => self.effects.push_back(Effect::Send { to, body }),
            lease::Effect::PersistLeaseEpoch { epoch, request_id } => {
                self.run_register(
                    now,
                    quorum_register::Event::PersistLeaseEpoch { epoch, request_id },
                );
            }
        });
    }

    /// A newer state is in force: read its setup once, and tell the carriers with the next news.
    fn handle_state_changed(&mut self) {
        let read = self
            .register
            .configuration()
            .map(self.reader.0)
            .and_then(Result::ok);
        self.configuration = read.map(Arc::new).unwrap_or_default();
        self.next_update_at = Duration::ZERO;
        let revision = self.register.state().revision;
        self.effects
            .push_back(Effect::Log(format!("revision {revision} is in force")));
    }

    pub(crate) fn send_to_control_nodes(&mut self, body: Payload) {
        let others = self
            .members
            .iter()
            .filter(|member| member.roles == CONTROL_NODE_ROLE && member.node != self.me.node);
        let sends = others.map(|member| Effect::Send {
            to: member.node.clone(),
            body: body.clone(),
        });
        self.effects.extend(sends.collect::<Vec<_>>());
    }

    pub(crate) fn submit_change(
        &mut self,
        now: Duration,
        request_id: u64,
        change: Change,
        bytes: Option<Vec<u8>>,
    ) {
        self.open_change(request_id);
        self.run_register(
            now,
            quorum_register::Event::Submit {
                request_id,
                change,
                bytes,
            },
        );
    }

    /// True once this node knows the upstreams well enough to tell carriers of them.
    pub(crate) fn knows_upstreams(&self, now: Duration) -> bool {
        self.registry_synced || now >= self.times.upstream_silent
    }

    fn handle_upstreams_reply(&mut self, now: Duration, reply: UpstreamsReply) {
        // An answer to an earlier life's question may be from before that life's end.
        if reply.life != 0 && reply.life != self.incarnation {
            return;
        }
        reply.upstreams.into_iter().for_each(|upstream| {
            self.registry.apply_heartbeat(now, upstream);
        });
        self.handle_placement(reply.placed_by, reply.placement);
        self.registry_synced = true;
    }

    /// True while a majority confirmed the state lately.
    pub(crate) fn is_current(&self, now: Duration) -> bool {
        self.register
            .confirmation_age(now)
            .is_some_and(|age| age < self.times.stale_after)
    }
}
