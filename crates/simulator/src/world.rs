//! The state of a run, and its loop over the actions in virtual time.

use crate::clients::Clients;
use crate::connections::Connections;
use crate::defects::Defects;
use crate::exchanges::Exchange;
use crate::faults::Plan;
use crate::load::LoadProfile;
use crate::network::Network;
use crate::nodes::Node;
use crate::operators::Operators;
use crate::outcome::{Outcome, VoterLoss};
use crate::schedule::{Action, Schedule};
use crate::shapes::{ROADWISE, Shape};
use crate::upstreams::SimulatedUpstream;
use invariants::observations::{Confirmation, FinishedOperation, Observation, TimedObservation};
use random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Load starts here, when the site had time to come up.
pub const LOAD_STARTS_AT: Duration = Duration::from_secs(14);
/// Within this after the last fault healed, everything must be served again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// How long the run goes on after that.
pub const RUN_AFTER_RECOVERY: Duration = Duration::from_secs(4);
/// How long a run goes on after its last operation was started.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Within this a change of the placement is known to every data-plane node: updates go out every 100 ms, through two hops.
const UPDATE_PROPAGATION: Duration = Duration::from_millis(500);
/// All state of a run.
pub struct World {
    pub(super) seed: u64,
    pub(super) plan: Plan,
    pub(super) now: Duration,
    pub(super) random: Random,
    pub(super) shape: Shape,
    pub(super) network: Network,
    pub(super) hot_key: bool,
    pub(super) delays_grants: bool,
    /// Control nodes that are partitioned from all others, and what was asked there.
    pub(super) isolated: BTreeSet<usize>,
    pub(super) requests_while_isolated: BTreeMap<u64, (Duration, Confirmation)>,
    /// What the settings name, where that changed.
    pub(super) seeds: Option<Vec<String>>,
    pub(super) connections: Connections,
    /// All control nodes are killed as soon as one of them accepts a command.
    pub(super) restart_on_next_acceptance: bool,
    pub(super) losses: Vec<VoterLoss>,
    pub(super) defects: Defects,
    pub(super) nodes: Vec<Node>,
    pub(super) upstreams: Vec<SimulatedUpstream>,
    pub(super) exchanges: BTreeMap<u64, Exchange>,
    pub(super) clients: Clients,
    pub(super) operators: Operators,
    pub(super) observations: Vec<TimedObservation>,
    pub(super) ended: Vec<FinishedOperation>,
    pub(super) messages: u64,
    pub(super) message_bytes: u64,
    pub(super) next_id: u64,
    /// Exchanges that were woken up.
    pub(super) wake_ups: Arc<Mutex<Vec<u64>>>,
    pub(super) load: LoadProfile,
    /// Upstreams added in the course of the run.
    pub(super) added_upstreams: Vec<usize>,
    /// What strikes the next proxy that opens a connection: see [`super::Fault::Ambush`].
    pub(super) ambush: Option<bool>,
    schedule: Schedule,
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
            delays_grants: false,
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
            clients: Clients::default(),
            operators: Operators::default(),
            observations: Vec::new(),
            ended: Vec::new(),
            messages: 0,
            message_bytes: 0,
            next_id: 1,
            wake_ups: Arc::default(),
            load: LoadProfile::default(),
            added_upstreams: Vec::new(),
            ambush: None,
            schedule: Schedule::default(),
            shape,
        };
        world.create_nodes();
        world.create_upstreams();
        world
    }

    pub(super) fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(super) fn at(&mut self, at: Duration, action: Action) {
        self.schedule.push(at, action);
    }

    pub(super) fn after(&mut self, span: Duration, action: Action) {
        self.at(self.now + span, action);
    }

    pub(super) fn note(&mut self, observation: Observation) {
        self.observations.push((self.now, observation));
    }

    /// The default site with defects.
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

    /// A site whose upstreams have this capacity.
    pub fn loaded(seed: u64, plan: Plan, shape: Shape, load: LoadProfile) -> World {
        let mut world = World::new(seed, Some(plan), shape);
        world
            .nodes
            .iter_mut()
            .for_each(|node| node.site.max_queue_wait = load.wait_for);
        world.load = load;
        world
    }

    /// Runs to the end and checks every rule.
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
        while let Some((at, action)) = self.schedule.pop() {
            // What changed in the last moment may still be on its way to some.
            if at > ends_at && (at > ends_at + UPDATE_PROPAGATION || self.agreed()) {
                break;
            }
            self.now = at;
            self.act(action, load_until);
            self.deliver_wake_ups();
        }
        self.finish(healed_at)
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of action")]
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
            Action::StartOperation => self.start_operation_until(load_until),
            Action::StartAttempt { operation } => self.start_attempt(operation),
            Action::ReceiveLookup {
                operation,
                answer,
                asked_at,
            } => self.receive_lookup(operation, answer, asked_at),
            Action::ReceiveResponse {
                operation,
                attempt,
                answer,
            } => self.receive_response(operation, attempt, answer),
            Action::RunOperators => self.run_operators(),
            Action::SendSubmission { submission } => self.send_submission(submission),
            Action::RepeatSubmission { submission } => self.send_command(submission),
            Action::ReceiveSubmissionResult { submission, answer } => {
                self.operator_received(submission, answer)
            }
            Action::InjectFault { at } => self.inject_fault(at),
            Action::HealFault { at } => self.heal_fault(at),
            Action::ObserveNodes => self.observe_and_probe(load_until),
        }
    }

    /// Starts an operation and schedules the next one, until the load ends.
    fn start_operation_until(&mut self, load_until: Duration) {
        if self.now < load_until {
            self.after(
                Duration::from_micros(1_000_000 / self.shape.per_second),
                Action::StartOperation,
            );
            self.start_operation();
        }
    }

    /// Notes what each node serves, probes the markers at every third time, and schedules the next observation.
    fn observe_and_probe(&mut self, load_until: Duration) {
        if !self.defects.revisions_unobserved {
            self.observe_nodes();
        }
        if self.now < load_until && self.now.as_millis().is_multiple_of(300) {
            self.probe_markers();
        }
        self.after(Duration::from_millis(100), Action::ObserveNodes);
    }
}
