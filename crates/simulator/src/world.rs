//! The run itself: a queue of actions in virtual time.

use super::connections::Connections;
use super::faults::Plan;
use super::network::{Network, TrafficByTopic};
use super::nodes::{Node, NodeEvent};
use super::operators::Operators;
use super::path::{Exchange, Origins};
use super::upstreams::SimulatedUpstream;
use crate::shapes::{ROADWISE, Shape};
use config::JsonValue;
use invariants::observations::FinishedOperation;
use invariants::observations::{Confirmation, Observation, TimedObservation};
use invariants::rules::{Violation, check_all};
use protocol::{Departure, KeyShare};
use random::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Load starts here, when the site had time to come up.
pub const LOAD_STARTS_AT: Duration = Duration::from_secs(14);
/// Within this after the last fault healed, everything must be served again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// How long the run goes on after that.
pub const RUN_AFTER_RECOVERY: Duration = Duration::from_secs(4);
/// How long a run goes on after its last piece of work was begun.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Within this a change of the placement is known to every carrier: news goes out every 100 ms, through two hops.
const UPDATE_PROPAGATION: Duration = Duration::from_millis(500);

/// What happens at a moment.
pub enum Action {
    Tick {
        node: usize,
        incarnation: u64,
    },
    Deliver {
        node: usize,
        event: NodeEvent,
    },
    FinishWrite {
        node: usize,
        incarnation: u64,
    },
    WriteDepartures {
        node: usize,
        incarnation: u64,
        write_id: u64,
        departures: Vec<Departure>,
    },
    Heartbeat {
        upstream: usize,
        incarnation: u64,
    },
    RetryHeartbeat {
        upstream: usize,
        incarnation: u64,
        heartbeat: u64,
    },
    ReceiveRangeGrants {
        upstream: usize,
        incarnation: u64,
        heartbeat: u64,
        sent_at: Duration,
        shares: Vec<KeyShare>,
        span: Duration,
    },
    ReceiveGrants {
        upstream: usize,
        incarnation: u64,
        heartbeat: u64,
        sent_at: Duration,
        json: JsonValue,
    },
    AcceptConnection {
        exchange: u64,
        send: u32,
        address: String,
        cut: bool,
    },
    ReceiveCall {
        exchange: u64,
        send: u32,
        cut: bool,
    },
    FinishCall {
        exchange: u64,
        send: u32,
        upstream: usize,
        incarnation: u64,
    },
    ReceiveDuplicateResponse {
        connection: u64,
        reply: super::path::Reply,
    },
    StartOperation,
    StartAttempt {
        work: u64,
    },
    ReceiveLookup {
        work: u64,
        listing: Option<name_directory::LookupAnswer>,
        asked_at: Duration,
    },
    ReceiveResponse {
        work: u64,
        attempt: u32,
        answer: super::path::Reply,
    },
    RunOperators,
    SendSubmission {
        submission: usize,
    },
    RepeatSubmission {
        submission: usize,
    },
    ReceiveSubmissionResult {
        submission: usize,
        answer: control_plane::ControlResponse,
    },
    InjectFault {
        at: usize,
    },
    HealFault {
        at: usize,
    },
    ObserveNodes,
}

struct ScheduledAction {
    at: Duration,
    number: u64,
    action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What a deliberately broken system does wrong, to show that the checkers see it. The default is the real one.
#[derive(Clone, Copy, Debug)]
pub struct Defects {
    pub stale_after: Duration,
    pub lifetime: Duration,
    /// Disks tell that they synced, and lose it in a power cut.
    pub disks_lose_synced_writes: bool,
    /// A disk's first failure ends its voter's part until its process is started again.
    pub first_disk_error_is_final: bool,
    /// Disks thin out setups by the times of their files, on a clock that jumped back: the newest go first, whatever refers
    /// to them.
    pub deletes_newest_configurations: bool,
    /// Nobody takes the place of a voter that is gone.
    pub never_replaces_voters: bool,
    /// Proxies pass on whatever an upstream says, and call a lost verdict busy.
    pub trusts_any_response: bool,
    /// Upstreams hold their shares this much longer than they may.
    pub lease_overrun: Duration,
    /// Upstreams with numeric keys take answers that came late, or to a beat that a newer one overtook.
    pub accepts_late_grants: bool,
    /// Configurations are read without their operators' numbers.
    pub ignores_versions: bool,
    /// Postmasters tell carriers nothing before they know all upstreams.
    pub withholds_upstream_views: bool,
    /// Carriers' counts of requests by key reach nobody.
    pub drops_key_counts: bool,
    /// The operators' setups leave the home regions out.
    pub omits_home_regions: bool,
    /// Upstreams that leave say so to nobody.
    pub drains_unannounced: bool,
    /// What an upstream holds counts as let go once it signed off: a heartbeat that lists nothing follows in its name.
    pub lists_no_keys_after_deregistering: bool,
    /// Proxies do not judge again, once connected, what they chose.
    pub skips_check_after_connect: bool,
    /// Clocks stand still while a machine is suspended.
    pub clock_stops_while_suspended: bool,
    /// The lease holder counts whatever its clock jumps ahead as time in which holds run out.
    pub lease_counts_clock_jumps: bool,
    /// Nobody asks the nodes which edition they have: only traffic shows it.
    pub revisions_unobserved: bool,
    /// Proxies have no budget for resends.
    pub unlimited_retry_budget: bool,
    /// Proxies take every upstream for warm.
    pub ignores_warm_up: bool,
    /// Proxies take whatever comes next on a kept connection for the answer.
    pub accepts_any_response_on_connection: bool,
    /// A control node takes every other for in agreement with it: whatever it asks them counts as answered.
    pub forges_peer_agreement: bool,
    /// A control node takes a departure for known by the others as soon as it has told them.
    pub skips_departure_acks: bool,
    /// Nodes read back what their own disk holds.
    pub reads_local_disk_only: bool,
    /// An order under a number that is taken is confirmed.
    pub confirms_version_conflicts: bool,
    /// Every sending of an order is taken for a new one.
    pub reexecutes_commands: bool,
    /// The first proxy is told of no change of the placement.
    pub withholds_placement_changes: bool,
}

impl Default for Defects {
    fn default() -> Self {
        let span = Duration::from_millis(2000);
        Defects {
            stale_after: span,
            lifetime: span,
            disks_lose_synced_writes: false,
            first_disk_error_is_final: false,
            deletes_newest_configurations: false,
            never_replaces_voters: false,
            trusts_any_response: false,
            lease_overrun: Duration::ZERO,
            accepts_late_grants: false,
            ignores_versions: false,
            withholds_upstream_views: false,
            drops_key_counts: false,
            omits_home_regions: false,
            drains_unannounced: false,
            lists_no_keys_after_deregistering: false,
            skips_check_after_connect: false,
            clock_stops_while_suspended: false,
            lease_counts_clock_jumps: false,
            revisions_unobserved: false,
            unlimited_retry_budget: false,
            ignores_warm_up: false,
            forges_peer_agreement: false,
            skips_departure_acks: false,
            reads_local_disk_only: false,
            confirms_version_conflicts: false,
            reexecutes_commands: false,
            withholds_placement_changes: false,
            accepts_any_response_on_connection: false,
        }
    }
}

/// How much the upstreams can bear, and what is asked of the site. The default is room enough for everything.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Places at one upstream.
    pub slots: u32,
    /// Least and most that a piece of work takes; every sixth upstream is three times as slow.
    pub takes: (Duration, Duration),
    pub some_slow: bool,
    /// How long requests may wait for a seat.
    pub wait_for: Duration,
    /// Origins come back after this, whatever they are told.
    pub retry_after_for: Option<Duration>,
}

impl Default for LoadProfile {
    fn default() -> Self {
        let ms = Duration::from_millis;
        LoadProfile {
            slots: 16,
            takes: (ms(3), ms(7)),
            some_slow: false,
            wait_for: ms(150),
            retry_after_for: None,
        }
    }
}

/// What a run came to.
pub struct Outcome {
    pub seed: u64,
    pub plan: Plan,
    pub seen: Vec<TimedObservation>,
    pub ended: Vec<FinishedOperation>,
    pub violations: Vec<Violation>,
    /// When the last fault was healed.
    pub healed_at: Duration,
    /// How long after that the last piece of work failed.
    pub resumed_after: Duration,
    /// Of the work started before the first fault, between it and the last healing, and after that, in
    /// thousandths, how much was served.
    pub served_per_mille: [u64; 3],
    pub messages: u64,
    pub message_bytes: u64,
    /// The same bytes and those of datagrams, by what they were about and how far they went.
    pub traffic: TrafficByTopic,
    pub lasted: Duration,
    /// Who votes at the end, as the control nodes know it, and which of them are gone for good.
    pub voters: BTreeSet<String>,
    pub voters_gone: BTreeSet<String>,
    /// Voters that were lost for good or told to end for good, in this order.
    pub losses: Vec<VoterLoss>,
    /// How often a connection to an upstream was used again, and how many answers to other requests were read past.
    pub reused_connections: u64,
    pub skipped_responses: u64,
    /// True where at the end, or once news on its way had come, every node had the same edition, and every carrier the same
    /// reservations and marks.
    pub agreed: bool,
    /// A digest over everything seen.
    pub digest: String,
}

/// A voter that goes for good, and how long it takes until no control node counts it any more.
#[derive(Clone, Debug)]
pub struct VoterLoss {
    pub node: String,
    pub lost_at: Duration,
    /// Looked at every 100 ms.
    pub replaced_at: Option<Duration>,
}

/// All state of a run.
pub struct World {
    pub(super) seed: u64,
    pub(super) plan: Plan,
    pub(super) now: Duration,
    pub(super) random: Random,
    pub(super) shape: Shape,
    pub(super) network: Network,
    pub(super) hot_key: bool,
    pub(super) late_answers: bool,
    /// Control nodes that are cut off from all others, and what was asked there.
    pub(super) isolated: BTreeSet<usize>,
    pub(super) requests_while_isolated: BTreeMap<u64, (Duration, Confirmation)>,
    /// What the settings name, where that changed.
    pub(super) seeds: Option<Vec<String>>,
    pub(super) connections: Connections,
    /// All postmasters end as soon as one of them says yes.
    pub(super) restart_on_next_acceptance: bool,
    pub(super) losses: Vec<VoterLoss>,
    pub(super) defects: Defects,
    pub(super) nodes: Vec<Node>,
    pub(super) upstreams: Vec<SimulatedUpstream>,
    pub(super) exchanges: BTreeMap<u64, Exchange>,
    pub(super) origins: Origins,
    pub(super) operators: Operators,
    pub(super) seen: Vec<TimedObservation>,
    pub(super) ended: Vec<FinishedOperation>,
    pub(super) messages: u64,
    pub(super) message_bytes: u64,
    pub(super) next_id: u64,
    /// Requests whose bell rang.
    pub(super) wake_ups: Arc<Mutex<Vec<u64>>>,
    pub(super) load: LoadProfile,
    /// Upstreams added in the course of the run.
    pub(super) added_upstreams: Vec<usize>,
    /// What befalls the next proxy that opens a connection: see [`super::Fault::Ambush`].
    pub(super) ambush: Option<bool>,
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    number: u64,
}

impl World {
    /// A site that is about to start.
    pub fn new(seed: u64, plan: Option<Plan>, shape: Shape) -> World {
        let mut random = Random::new(seed);
        let plan = plan.unwrap_or_else(|| Plan::drawn(&mut random));
        World::create(seed, random, plan, shape)
    }

    fn create(seed: u64, random: Random, plan: Plan, shape: Shape) -> World {
        let mut world = World {
            seed,
            plan,
            now: Duration::ZERO,
            random,
            network: Network::default(),
            hot_key: false,
            late_answers: false,
            isolated: BTreeSet::new(),
            requests_while_isolated: BTreeMap::new(),
            seeds: None,
            connections: Connections::default(),
            restart_on_next_acceptance: false,
            losses: Vec::new(),
            defects: Defects::default(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            exchanges: BTreeMap::new(),
            origins: Origins::default(),
            operators: Operators::default(),
            seen: Vec::new(),
            ended: Vec::new(),
            messages: 0,
            message_bytes: 0,
            next_id: 1,
            wake_ups: Arc::default(),
            load: LoadProfile::default(),
            added_upstreams: Vec::new(),
            ambush: None,
            queue: BinaryHeap::new(),
            number: 0,
            shape,
        };
        world.create_nodes();
        world.create_upstreams();
        world
    }

    pub(super) fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(super) fn at(&mut self, at: Duration, action: Action) {
        self.number += 1;
        self.queue.push(Reverse(ScheduledAction {
            at,
            number: self.number,
            action,
        }));
    }

    pub(super) fn after(&mut self, span: Duration, action: Action) {
        self.at(self.now + span, action);
    }

    pub(super) fn note(&mut self, observation: Observation) {
        self.seen.push((self.now, observation));
    }

    /// The same world with something taken away that the rules rest on.
    pub fn with_defects(seed: u64, plan: Plan, defects: Defects) -> World {
        World::site_with_defects(seed, plan, ROADWISE, defects)
    }

    /// The same for any site.
    pub fn site_with_defects(seed: u64, plan: Plan, shape: Shape, defects: Defects) -> World {
        let mut world = World::new(seed, Some(plan), shape);
        world.nodes.iter_mut().for_each(|node| {
            node.site.stale_after = defects.stale_after;
            node.disk.deletes_newest_configurations = defects.deletes_newest_configurations;
        });
        world.defects = defects;
        if defects.ignores_versions || defects.lease_counts_clock_jumps {
            (0..world.nodes.len()).for_each(|node| world.kill(node));
            (0..world.nodes.len()).for_each(|node| world.start(node));
        }
        world
    }

    /// The same world with upstreams that can bear so much.
    pub fn loaded(seed: u64, plan: Plan, shape: Shape, load: LoadProfile) -> World {
        let mut world = World::new(seed, Some(plan), shape);
        world
            .nodes
            .iter_mut()
            .for_each(|node| node.site.max_queue_wait = load.wait_for);
        world.load = load;
        world
    }

    /// Runs to the end and judges.
    pub fn run(mut self) -> Outcome {
        let healed_at = self
            .plan
            .steps
            .iter()
            .map(|step| step.until)
            .max()
            .unwrap_or(Duration::ZERO)
            .max(LOAD_STARTS_AT);
        let load_until = healed_at + RECOVERY_TIMEOUT + RUN_AFTER_RECOVERY;
        self.at(LOAD_STARTS_AT, Action::StartOperation);
        self.at(Duration::from_secs(3), Action::RunOperators);
        self.at(Duration::ZERO, Action::ObserveNodes);
        let steps: Vec<(Duration, Duration)> = self
            .plan
            .steps
            .iter()
            .map(|step| (step.at, step.until))
            .collect();
        steps
            .into_iter()
            .enumerate()
            .for_each(|(at, (from, until))| {
                self.at(from, Action::InjectFault { at });
                self.at(until, Action::HealFault { at });
            });
        let ends_at = load_until + DRAIN_TIME;
        while let Some(Reverse(item)) = self.queue.pop() {
            // What changed in the last moment may still be on its way to some.
            if item.at > ends_at && (item.at > ends_at + UPDATE_PROPAGATION || self.agreed()) {
                break;
            }
            self.now = item.at;
            self.act(item.action, load_until);
            self.deliver_wake_ups();
        }
        self.finish(healed_at)
    }

    fn act(&mut self, action: Action, load_until: Duration) {
        match action {
            Action::Tick { node, incarnation } => self.tick(node, incarnation),
            Action::Deliver { node, event } => self.deliver(node, event),
            Action::FinishWrite { node, incarnation } => self.disk_done(node, incarnation),
            Action::WriteDepartures {
                node,
                incarnation,
                write_id,
                departures,
            } => self.departures_written(node, incarnation, write_id, departures),
            Action::Heartbeat {
                upstream,
                incarnation,
            } => self.heartbeat(upstream, incarnation),
            Action::RetryHeartbeat {
                upstream,
                incarnation,
                heartbeat,
            } => self.retry_heartbeat(upstream, incarnation, heartbeat),
            Action::ReceiveGrants {
                upstream,
                incarnation,
                heartbeat,
                sent_at,
                json,
            } => self.receive_grants(upstream, incarnation, heartbeat, sent_at, &json),
            Action::ReceiveRangeGrants {
                upstream,
                incarnation,
                heartbeat,
                sent_at,
                shares,
                span,
            } => {
                self.receive_range_grants((upstream, incarnation, heartbeat, sent_at), shares, span)
            }
            Action::AcceptConnection {
                exchange,
                send,
                address,
                cut,
            } => self.accept_connection(exchange, send, &address, cut),
            Action::ReceiveCall {
                exchange,
                send,
                cut,
            } => self.receive_call(exchange, send, cut),
            Action::FinishCall {
                exchange,
                send,
                upstream,
                incarnation,
            } => self.finish_call(exchange, send, upstream, incarnation),
            Action::ReceiveDuplicateResponse { connection, reply } => {
                self.receive_duplicate_response(connection, reply)
            }
            Action::StartOperation => {
                if self.now < load_until {
                    self.after(
                        Duration::from_micros(1_000_000 / self.shape.per_second),
                        Action::StartOperation,
                    );
                    self.origin_start();
                }
            }
            Action::StartAttempt { work } => self.origin_try(work),
            Action::ReceiveLookup {
                work,
                listing,
                asked_at,
            } => self.origin_told(work, listing, asked_at),
            Action::ReceiveResponse {
                work,
                attempt,
                answer,
            } => self.origin_answer(work, attempt, answer),
            Action::RunOperators => self.run_operators(),
            Action::SendSubmission { submission } => self.send_submission(submission),
            Action::RepeatSubmission { submission } => self.send_command(submission),
            Action::ReceiveSubmissionResult { submission, answer } => {
                self.operator_received(submission, answer)
            }
            Action::InjectFault { at } => self.inject_fault(at),
            Action::HealFault { at } => self.heal_fault(at),
            Action::ObserveNodes => {
                if !self.defects.revisions_unobserved {
                    self.watch();
                }
                if self.now < load_until && self.now.as_millis().is_multiple_of(300) {
                    self.probe();
                }
                self.after(Duration::from_millis(100), Action::ObserveNodes);
            }
        }
    }

    /// Notes the edition in force at every carrier that would serve at this moment.
    fn watch(&mut self) {
        let serving: Vec<(String, u64)> = self
            .nodes
            .iter()
            .filter(|node| node.up && node.frozen.is_none())
            .filter_map(|node| {
                let view = node.data_node()?.view();
                view.is_fresh(node.local(self.now), self.defects.stale_after)
                    .then(|| (node.name.clone(), view.revision))
            })
            .collect();
        serving.into_iter().for_each(|(node, revision)| {
            self.note(Observation::RevisionInForce { node, revision })
        });
        self.watch_losses();
    }

    fn watch_losses(&mut self) {
        if self.losses.iter().all(|loss| loss.replaced_at.is_some()) {
            return;
        }
        let (voters, now) = (self.voters(), self.now);
        let over = self
            .losses
            .iter_mut()
            .filter(|loss| loss.replaced_at.is_none() && !voters.contains(&loss.node));
        over.for_each(|loss| loss.replaced_at = Some(now));
    }

    /// A voter goes for good.
    pub(super) fn note_loss(&mut self, at: usize) {
        let node = self.nodes[at].name.clone();
        if self.nodes[at].is_control_node() && self.voters().contains(&node) {
            let lost_at = self.now;
            self.losses.push(VoterLoss {
                node,
                lost_at,
                replaced_at: None,
            });
        }
    }

    fn voters(&self) -> BTreeSet<String> {
        let sets = self.nodes.iter().filter_map(|node| match &node.core {
            super::nodes::Core::ControlNode(control) => Some(control.voters()),
            _ => None,
        });
        sets.flatten().collect()
    }

    fn agreed(&self) -> bool {
        let there = || self.nodes.iter().filter(|node| !node.removed);
        let revisions = there().map(|node| match &node.core {
            super::nodes::Core::ControlNode(control) => control.revision(),
            super::nodes::Core::DataNode(data_node, _) => data_node.view().revision,
            super::nodes::Core::Down => 0,
        });
        let places = there()
            .filter_map(|node| node.data_node())
            .map(|data_node| {
                let view = data_node.view();
                (
                    view.reservations.clone(),
                    view.tombstones.clone(),
                    view.upstreams.len(),
                )
            });
        let (revisions, places): (Vec<_>, Vec<_>) = (revisions.collect(), places.collect());
        revisions.windows(2).all(|two| two[0] == two[1])
            && places.windows(2).all(|two| two[0] == two[1])
    }

    fn finish(self, healed_at: Duration) -> Outcome {
        let violations = check_all(&self.seen, &self.shape.rule_parameters());
        let started_at = |ended: &FinishedOperation| ended.at.saturating_sub(ended.took);
        let failed = self.ended.iter().filter(|ended| ended.code != 1000);
        let last_failed = failed.map(started_at).max().unwrap_or(Duration::ZERO);
        // What was under way when the fault came belongs to the fault.
        let broken_at = self
            .plan
            .steps
            .iter()
            .map(|step| step.at)
            .min()
            .unwrap_or(healed_at);
        let broken_at = broken_at.saturating_sub(Duration::from_secs(3));
        let served = |from: Duration, until: Duration| {
            let part = self
                .ended
                .iter()
                .filter(|ended| (from..until).contains(&started_at(ended)));
            let counts = part.fold((0, 0), |(all, served), ended| {
                (all + 1, served + u64::from(ended.code == 1000))
            });
            (counts.1 * 1000u64).checked_div(counts.0).unwrap_or(1000)
        };
        let served_per_mille = [
            served(Duration::ZERO, broken_at),
            served(broken_at, healed_at),
            served(healed_at, Duration::MAX),
        ];
        let agreed = self.agreed();
        let voters = self.voters();
        let gone = self
            .nodes
            .iter()
            .filter(|node| node.removed)
            .map(|node| node.name.clone())
            .collect();
        let voters_gone = voters.intersection(&gone).cloned().collect();
        let digest = protocol::digest(format!("{:?}", self.seen).as_bytes());
        Outcome {
            seed: self.seed,
            plan: self.plan,
            served_per_mille,
            seen: self.seen,
            ended: self.ended,
            violations,
            healed_at,
            resumed_after: last_failed.saturating_sub(healed_at),
            messages: self.messages,
            message_bytes: self.message_bytes,
            traffic: self.network.traffic,
            lasted: self.now,
            voters,
            voters_gone,
            losses: self.losses,
            reused_connections: self.connections.reused_connections,
            skipped_responses: self.connections.skipped_responses,
            agreed,
            digest,
        }
    }
}

impl Outcome {
    /// True where no rule was broken and service resumed in time.
    pub fn passed(&self) -> bool {
        // A site that denies everything breaks no rule; so it must serve all before, and all in time after.
        self.violations.is_empty()
            && self.agreed
            && self.resumed_after <= RECOVERY_TIMEOUT
            && self.served_per_mille[0] == 1000
    }
}
