//! The run itself: a queue of actions in virtual time.

use super::connections::Connections;
use super::faults::Plan;
use super::net::{Net, Spoken};
use super::nodes::{Node, NodeEvent};
use super::operators::Operators;
use super::path::{Origins, Trip};
use super::units::Unit;
use crate::shapes::{ROADWISE, Shape};
use config::JsonValue;
use invariants::facts::Ended;
use invariants::facts::{Fact, Seen, Vouched};
use invariants::rules::{Violation, judge};
use protocol::{Departure, KeyShare};
use random::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Load starts here, when the site had time to come up.
pub const LOAD_FROM: Duration = Duration::from_secs(14);
/// Within this after the last fault healed, everything must be served again.
pub const RESUME_WITHIN: Duration = Duration::from_secs(15);
/// How long the run goes on after that.
pub const AFTERWARDS: Duration = Duration::from_secs(4);
/// How long a run goes on after its last piece of work was begun.
const ENDS_AFTER: Duration = Duration::from_secs(5);
/// Within this a change of the placement is known to every carrier: news goes out every 100 ms, through two hops.
const NEWS_WITHIN: Duration = Duration::from_millis(500);

/// What happens at a moment.
pub enum Action {
    Tick {
        node: usize,
        life: u64,
    },
    Deliver {
        node: usize,
        event: NodeEvent,
    },
    Disk {
        node: usize,
        life: u64,
    },
    Departures {
        node: usize,
        life: u64,
        write_id: u64,
        departures: Vec<Departure>,
    },
    Beat {
        unit: usize,
        life: u64,
    },
    BeatAgain {
        unit: usize,
        life: u64,
        beat: u64,
    },
    RangesAnswer {
        unit: usize,
        life: u64,
        beat: u64,
        sent_at: Duration,
        shares: Vec<KeyShare>,
        span: Duration,
    },
    BeatAnswer {
        unit: usize,
        life: u64,
        beat: u64,
        sent_at: Duration,
        json: JsonValue,
    },
    UnitConnect {
        trip: u64,
        send: u32,
        address: String,
        cut: bool,
    },
    UnitCall {
        trip: u64,
        send: u32,
        cut: bool,
    },
    UnitDone {
        trip: u64,
        send: u32,
        unit: usize,
        life: u64,
    },
    Surplus {
        connection: u64,
        reply: super::path::Reply,
    },
    OriginStart,
    OriginTry {
        work: u64,
    },
    OriginTold {
        work: u64,
        listing: Option<name_directory::LookupAnswer>,
        asked_at: Duration,
    },
    OriginAnswer {
        work: u64,
        try_number: u32,
        answer: super::path::Reply,
    },
    Operator,
    OperatorAsk {
        submission: usize,
    },
    OperatorRepeat {
        submission: usize,
    },
    OperatorAnswer {
        submission: usize,
        answer: control_plane::ControlResponse,
    },
    Fault {
        at: usize,
    },
    Heal {
        at: usize,
    },
    Watch,
}

struct Item {
    at: Duration,
    number: u64,
    action: Action,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What a deliberately broken system does wrong, to show that the checkers see it. The default is the real one.
#[derive(Clone, Copy, Debug)]
pub struct Weakness {
    pub stale_after: Duration,
    pub lifetime: Duration,
    /// Disks tell that they synced, and lose it in a power cut.
    pub disks_lie: bool,
    /// A disk's first failure ends its voter's part until its process is started again.
    pub gives_disks_up: bool,
    /// Disks thin out setups by the times of their files, on a clock that jumped back: the newest go first, whatever refers
    /// to them.
    pub drops_newest: bool,
    /// Nobody takes the place of a voter that is gone.
    pub keeps_voters: bool,
    /// Proxies pass on whatever an upstream says, and call a lost verdict busy.
    pub trusting: bool,
    /// Upstreams hold their shares this much longer than they may.
    pub holds_on: Duration,
    /// Upstreams with numeric keys take answers that came late, or to a beat that a newer one overtook.
    pub takes_late: bool,
    /// Configurations are read without their operators' numbers.
    pub unnumbered: bool,
    /// Postmasters tell carriers nothing before they know all upstreams.
    pub tells_late: bool,
    /// Carriers' counts of requests by key reach nobody.
    pub uncounted: bool,
    /// The operators' setups leave the home regions out.
    pub homeless: bool,
    /// Upstreams that leave say so to nobody.
    pub leaves_quietly: bool,
    /// What an upstream holds counts as let go once it signed off: a heartbeat that lists nothing follows in its name.
    pub lists_nothing_once_signed_off: bool,
    /// Proxies do not judge again, once connected, what they chose.
    pub hasty: bool,
    /// Clocks stand still while a machine is suspended.
    pub stands_still: bool,
    /// The lease holder counts whatever its clock jumps ahead as time in which holds run out.
    pub counts_jumps: bool,
    /// Nobody asks the nodes which edition they have: only traffic shows it.
    pub unwatched: bool,
    /// Proxies have no budget for resends.
    pub spendthrift: bool,
    /// Proxies take every upstream for warm.
    pub forgets_warm_up: bool,
    /// Proxies take whatever comes next on a kept connection for the answer.
    pub takes_next: bool,
    /// A control node takes every other for in agreement with it: whatever it asks them counts as answered.
    pub agrees_alone: bool,
    /// A control node takes a departure for known by the others as soon as it has told them.
    pub tells_departures_blindly: bool,
    /// Nodes read back what their own disk holds.
    pub reads_alone: bool,
    /// An order under a number that is taken is confirmed.
    pub confirms_taken: bool,
    /// Every sending of an order is taken for a new one.
    pub redoes_orders: bool,
    /// The first proxy is told of no change of the placement.
    pub keeps_placement: bool,
}

impl Default for Weakness {
    fn default() -> Self {
        let span = Duration::from_millis(2000);
        Weakness {
            stale_after: span,
            lifetime: span,
            disks_lie: false,
            gives_disks_up: false,
            drops_newest: false,
            keeps_voters: false,
            trusting: false,
            holds_on: Duration::ZERO,
            takes_late: false,
            unnumbered: false,
            tells_late: false,
            uncounted: false,
            homeless: false,
            leaves_quietly: false,
            lists_nothing_once_signed_off: false,
            hasty: false,
            stands_still: false,
            counts_jumps: false,
            unwatched: false,
            spendthrift: false,
            forgets_warm_up: false,
            agrees_alone: false,
            tells_departures_blindly: false,
            reads_alone: false,
            confirms_taken: false,
            redoes_orders: false,
            keeps_placement: false,
            takes_next: false,
        }
    }
}

/// How much the upstreams can bear, and what is asked of the site. The default is room enough for everything.
#[derive(Clone, Copy, Debug)]
pub struct Load {
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

impl Default for Load {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Load {
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
    pub seen: Vec<Seen>,
    pub ended: Vec<Ended>,
    pub violations: Vec<Violation>,
    /// When the last fault was healed.
    pub healed_at: Duration,
    /// How long after that the last piece of work failed.
    pub resumed_after: Duration,
    /// Of the work started before the first fault, between it and the last healing, and after that, in
    /// thousandths, how much was served.
    pub served_per_mille: [u64; 3],
    pub parcels: u64,
    pub parcel_bytes: u64,
    /// The same bytes and those of datagrams, by what they were about and how far they went.
    pub spoken: Spoken,
    pub lasted: Duration,
    /// Who votes at the end, as the control nodes know it, and which of them are gone for good.
    pub voters: BTreeSet<String>,
    pub voters_gone: BTreeSet<String>,
    /// Voters that were lost for good or told to end for good, in this order.
    pub losses: Vec<VoterLoss>,
    /// How often a connection to an upstream was used again, and how many answers to other requests were read past.
    pub reused: u64,
    pub passed_over: u64,
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
    pub(super) net: Net,
    pub(super) hot_key: bool,
    pub(super) late_answers: bool,
    /// Control nodes that are cut off from all others, and what was asked there.
    pub(super) isolated: BTreeSet<usize>,
    pub(super) asked: BTreeMap<u64, (Duration, Vouched)>,
    /// What the settings name, where that changed.
    pub(super) seeds: Option<Vec<String>>,
    pub(super) connections: Connections,
    /// All postmasters end as soon as one of them says yes.
    pub(super) restart_due: bool,
    pub(super) losses: Vec<VoterLoss>,
    pub(super) weak: Weakness,
    pub(super) nodes: Vec<Node>,
    pub(super) units: Vec<Unit>,
    pub(super) trips: BTreeMap<u64, Trip>,
    pub(super) origins: Origins,
    pub(super) operators: Operators,
    pub(super) seen: Vec<Seen>,
    pub(super) ended: Vec<Ended>,
    pub(super) parcels: u64,
    pub(super) parcel_bytes: u64,
    pub(super) next_id: u64,
    /// Requests whose bell rang.
    pub(super) rung: Arc<Mutex<Vec<u64>>>,
    pub(super) load: Load,
    /// Upstreams added in the course of the run.
    pub(super) grown: Vec<usize>,
    /// What befalls the next proxy that opens a connection: see [`super::Fault::Ambush`].
    pub(super) ambush: Option<bool>,
    queue: BinaryHeap<Reverse<Item>>,
    number: u64,
}

impl World {
    /// A site that is about to start.
    pub fn new(seed: u64, plan: Option<Plan>, shape: Shape) -> World {
        let mut random = Random::new(seed);
        let plan = plan.unwrap_or_else(|| Plan::drawn(&mut random));
        World::lay_out(seed, random, plan, shape)
    }

    fn lay_out(seed: u64, random: Random, plan: Plan, shape: Shape) -> World {
        let mut world = World {
            seed,
            plan,
            now: Duration::ZERO,
            random,
            net: Net::default(),
            hot_key: false,
            late_answers: false,
            isolated: BTreeSet::new(),
            asked: BTreeMap::new(),
            seeds: None,
            connections: Connections::default(),
            restart_due: false,
            losses: Vec::new(),
            weak: Weakness::default(),
            nodes: Vec::new(),
            units: Vec::new(),
            trips: BTreeMap::new(),
            origins: Origins::default(),
            operators: Operators::default(),
            seen: Vec::new(),
            ended: Vec::new(),
            parcels: 0,
            parcel_bytes: 0,
            next_id: 1,
            rung: Arc::default(),
            load: Load::default(),
            grown: Vec::new(),
            ambush: None,
            queue: BinaryHeap::new(),
            number: 0,
            shape,
        };
        world.lay_out_nodes();
        world.lay_out_units();
        world
    }

    pub(super) fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(super) fn at(&mut self, at: Duration, action: Action) {
        self.number += 1;
        self.queue.push(Reverse(Item {
            at,
            number: self.number,
            action,
        }));
    }

    pub(super) fn after(&mut self, span: Duration, action: Action) {
        self.at(self.now + span, action);
    }

    pub(super) fn note(&mut self, fact: Fact) {
        self.seen.push((self.now, fact));
    }

    /// The same world with something taken away that the rules rest on.
    pub fn weakened(seed: u64, plan: Plan, weak: Weakness) -> World {
        World::weakened_site(seed, plan, ROADWISE, weak)
    }

    /// The same for any site.
    pub fn weakened_site(seed: u64, plan: Plan, shape: Shape, weak: Weakness) -> World {
        let mut world = World::new(seed, Some(plan), shape);
        world.nodes.iter_mut().for_each(|node| {
            node.site.stale_after = weak.stale_after;
            node.disk.drops_newest = weak.drops_newest;
        });
        world.weak = weak;
        if weak.unnumbered || weak.counts_jumps {
            (0..world.nodes.len()).for_each(|node| world.kill(node));
            (0..world.nodes.len()).for_each(|node| world.start(node));
        }
        world
    }

    /// The same world with upstreams that can bear so much.
    pub fn loaded(seed: u64, plan: Plan, shape: Shape, load: Load) -> World {
        let mut world = World::new(seed, Some(plan), shape);
        world
            .nodes
            .iter_mut()
            .for_each(|node| node.site.wait_for = load.wait_for);
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
            .max(LOAD_FROM);
        let load_until = healed_at + RESUME_WITHIN + AFTERWARDS;
        self.at(LOAD_FROM, Action::OriginStart);
        self.at(Duration::from_secs(3), Action::Operator);
        self.at(Duration::ZERO, Action::Watch);
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
                self.at(from, Action::Fault { at });
                self.at(until, Action::Heal { at });
            });
        let ends_at = load_until + ENDS_AFTER;
        while let Some(Reverse(item)) = self.queue.pop() {
            // What changed in the last moment may still be on its way to some.
            if item.at > ends_at && (item.at > ends_at + NEWS_WITHIN || self.agreed()) {
                break;
            }
            self.now = item.at;
            self.act(item.action, load_until);
            self.answer_bells();
        }
        self.finish(healed_at)
    }

    fn act(&mut self, action: Action, load_until: Duration) {
        match action {
            Action::Tick { node, life } => self.tick(node, life),
            Action::Deliver { node, event } => self.deliver(node, event),
            Action::Disk { node, life } => self.disk_done(node, life),
            Action::Departures {
                node,
                life,
                write_id,
                departures,
            } => self.departures_kept(node, life, write_id, departures),
            Action::Beat { unit, life } => self.beat(unit, life),
            Action::BeatAgain { unit, life, beat } => self.beat_again(unit, life, beat),
            Action::BeatAnswer {
                unit,
                life,
                beat,
                sent_at,
                json,
            } => self.beat_answer(unit, life, beat, sent_at, &json),
            Action::RangesAnswer {
                unit,
                life,
                beat,
                sent_at,
                shares,
                span,
            } => self.ranges_answer((unit, life, beat, sent_at), shares, span),
            Action::UnitConnect {
                trip,
                send,
                address,
                cut,
            } => self.unit_connect(trip, send, &address, cut),
            Action::UnitCall { trip, send, cut } => self.unit_call(trip, send, cut),
            Action::UnitDone {
                trip,
                send,
                unit,
                life,
            } => self.unit_done(trip, send, unit, life),
            Action::Surplus { connection, reply } => self.surplus(connection, reply),
            Action::OriginStart => {
                if self.now < load_until {
                    self.after(
                        Duration::from_micros(1_000_000 / self.shape.per_second),
                        Action::OriginStart,
                    );
                    self.origin_start();
                }
            }
            Action::OriginTry { work } => self.origin_try(work),
            Action::OriginTold {
                work,
                listing,
                asked_at,
            } => self.origin_told(work, listing, asked_at),
            Action::OriginAnswer {
                work,
                try_number,
                answer,
            } => self.origin_answer(work, try_number, answer),
            Action::Operator => self.operate(),
            Action::OperatorAsk { submission } => self.ask_submission(submission),
            Action::OperatorRepeat { submission } => self.send_order(submission),
            Action::OperatorAnswer { submission, answer } => self.operator_told(submission, answer),
            Action::Fault { at } => self.break_it(at),
            Action::Heal { at } => self.heal(at),
            Action::Watch => {
                if !self.weak.unwatched {
                    self.watch();
                }
                if self.now < load_until && self.now.as_millis().is_multiple_of(300) {
                    self.probe();
                }
                self.after(Duration::from_millis(100), Action::Watch);
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
                let view = node.carrier()?.view();
                view.is_fresh(node.local(self.now), self.weak.stale_after)
                    .then(|| (node.name.clone(), view.revision))
            })
            .collect();
        serving
            .into_iter()
            .for_each(|(node, revision)| self.note(Fact::InForce { node, revision }));
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
        if self.nodes[at].is_office() && self.voters().contains(&node) {
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
            super::nodes::Core::DataNode(carrier, _) => carrier.view().revision,
            super::nodes::Core::Down => 0,
        });
        let places = there().filter_map(|node| node.carrier()).map(|carrier| {
            let view = carrier.view();
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
        let violations = judge(&self.seen, &self.shape.terms());
        let started_at = |ended: &Ended| ended.at.saturating_sub(ended.took);
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
            parcels: self.parcels,
            parcel_bytes: self.parcel_bytes,
            spoken: self.net.spoken,
            lasted: self.now,
            voters,
            voters_gone,
            losses: self.losses,
            reused: self.connections.reused,
            passed_over: self.connections.passed_over,
            agreed,
            digest,
        }
    }
}

impl Outcome {
    /// True where no rule was broken and service resumed in time.
    pub fn fine(&self) -> bool {
        // A site that denies everything breaks no rule; so it must serve all before, and all in time after.
        self.violations.is_empty()
            && self.agreed
            && self.resumed_after <= RESUME_WITHIN
            && self.served_per_mille[0] == 1000
    }
}
