//! What is counted: messages and their encoded bytes by role, kind and reach, and the time spent in step functions.

use protocol::Payload;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::OnceLock;
use std::time::Duration;

/// What a process does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    DataNode,
    /// A control node without the placement role.
    Voter,
    /// The control node that holds it.
    Holder,
    /// A control node that has no vote.
    Replica,
    Upstream,
}

pub const ROLES: [Role; 5] = [
    Role::DataNode,
    Role::Voter,
    Role::Holder,
    Role::Replica,
    Role::Upstream,
];

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = match self {
            Role::DataNode => "carrier",
            Role::Voter => "voter",
            Role::Holder => "holder",
            Role::Replica => "replica",
            Role::Upstream => "upstream",
        };
        f.pad(name)
    }
}

/// How far a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    Zone,
    Region,
    Far,
}

pub const REACHES: [Reach; 3] = [Reach::Zone, Reach::Region, Reach::Far];

impl fmt::Display for Reach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = match self {
            Reach::Zone => "zone",
            Reach::Region => "region",
            Reach::Far => "far",
        };
        f.pad(name)
    }
}

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

impl Flow {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

impl std::iter::Sum for Flow {
    fn sum<I: Iterator<Item = Flow>>(flows: I) -> Flow {
        flows.fold(Flow::default(), |sum, flow| Flow {
            messages: sum.messages + flow.messages,
            bytes: sum.bytes + flow.bytes,
        })
    }
}

/// Steps of one kind and the time they took.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepStats {
    pub count: u64,
    pub took: Duration,
    pub most: Duration,
}

type FlowKey = (Role, Role, &'static str, Reach);

/// All counts of a window.
#[derive(Default)]
pub struct TrafficStats {
    flows: BTreeMap<FlowKey, Flow>,
    steps: BTreeMap<(Role, &'static str), StepStats>,
    /// Time in step functions, by process.
    busy: BTreeMap<(Role, usize), Duration>,
}

impl TrafficStats {
    /// Notes one message on its way.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Reach, Role};
    /// let mut stats = TrafficStats::default();
    /// stats.sent((Role::DataNode, Role::Voter, "probe", Reach::Far), 100);
    /// assert_eq!(stats.out(Role::DataNode, None).bytes, 100);
    /// assert_eq!(stats.received_by(Role::Voter, Some(Reach::Far)).messages, 1);
    /// assert_eq!(stats.received_by(Role::Voter, Some(Reach::Zone)).messages, 0);
    /// ```
    pub fn sent(&mut self, way: FlowKey, bytes: u64) {
        self.flows.entry(way).or_default().add(bytes);
    }

    /// Notes one step of a process.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// use std::time::Duration;
    /// let mut stats = TrafficStats::default();
    /// stats.record_step(Role::DataNode, 3, "tick", Duration::from_micros(5));
    /// assert_eq!(stats.busy(Role::DataNode), [Duration::from_micros(5)]);
    /// ```
    pub fn record_step(&mut self, role: Role, node: usize, kind: &'static str, took: Duration) {
        let steps = self.steps.entry((role, kind)).or_default();
        steps.count += 1;
        steps.took += took;
        steps.most = steps.most.max(took);
        *self.busy.entry((role, node)).or_default() += took;
    }

    /// What left the processes of a role.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert_eq!(TrafficStats::default().out(Role::Voter, None).messages, 0);
    /// ```
    pub fn out(&self, role: Role, reach: Option<Reach>) -> Flow {
        self.sum(|way| way.0 == role && reach.is_none_or(|reach| way.3 == reach))
    }

    /// What came in to the processes of a role.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert_eq!(TrafficStats::default().received_by(Role::Voter, None).bytes, 0);
    /// ```
    pub fn received_by(&self, role: Role, reach: Option<Reach>) -> Flow {
        self.sum(|way| way.1 == role && reach.is_none_or(|reach| way.3 == reach))
    }

    /// Everything.
    ///
    /// ```
    /// use scale_model::TrafficStats;
    /// assert_eq!(TrafficStats::default().all().messages, 0);
    /// ```
    pub fn all(&self) -> Flow {
        self.sum(|_| true)
    }

    fn sum(&self, counts: impl Fn(&FlowKey) -> bool) -> Flow {
        self.flows
            .iter()
            .filter(|(way, _)| counts(way))
            .map(|(_, flow)| *flow)
            .sum()
    }

    /// Everything by kind.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Reach, Role};
    /// let mut stats = TrafficStats::default();
    /// stats.sent((Role::DataNode, Role::Voter, "probe", Reach::Far), 100);
    /// assert_eq!(stats.totals()["probe"].bytes, 100);
    /// ```
    pub fn totals(&self) -> BTreeMap<&'static str, Flow> {
        self.flows
            .iter()
            .fold(BTreeMap::new(), |mut totals, ((_, _, kind, _), flow)| {
                let total: &mut Flow = totals.entry(kind).or_default();
                total.messages += flow.messages;
                total.bytes += flow.bytes;
                totals
            })
    }

    /// Out of and into a role, by kind.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert!(TrafficStats::default().kinds(Role::DataNode).is_empty());
    /// ```
    pub fn kinds(&self, role: Role) -> BTreeMap<&'static str, (Flow, Flow)> {
        let mut kinds: BTreeMap<&'static str, (Flow, Flow)> = BTreeMap::new();
        self.flows.iter().for_each(|((from, to, kind, _), flow)| {
            let (out, into) = kinds.entry(kind).or_default();
            *out = [*out, *flow]
                .into_iter()
                .take(1 + usize::from(*from == role))
                .sum();
            *into = [*into, *flow]
                .into_iter()
                .take(1 + usize::from(*to == role))
                .sum();
        });
        kinds.retain(|_, (out, into)| out.messages + into.messages > 0);
        kinds
    }

    /// The steps of a role by what caused them.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert!(TrafficStats::default().steps(Role::DataNode).is_empty());
    /// ```
    pub fn steps(&self, role: Role) -> BTreeMap<&'static str, StepStats> {
        self.steps
            .iter()
            .filter(|((of, _), _)| *of == role)
            .map(|((_, kind), steps)| (*kind, *steps))
            .collect()
    }

    /// The time in step functions of each process of a role.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert!(TrafficStats::default().busy(Role::DataNode).is_empty());
    /// ```
    pub fn busy(&self, role: Role) -> Vec<Duration> {
        self.busy
            .iter()
            .filter(|((of, _), _)| *of == role)
            .map(|(_, took)| *took)
            .collect()
    }
}

/// The processor's time that this thread has used: what others take of the machine doesn't count.
fn processor_time() -> Duration {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(used.tv_sec.max(0) as u64, used.tv_nsec.max(0) as u32)
}

/// What something takes of the processor, less what it takes to look at the clock.
pub struct Stopwatch {
    started_at: Duration,
}

impl Stopwatch {
    /// Starts.
    ///
    /// ```
    /// assert!(scale_model::Stopwatch::start().took() < std::time::Duration::from_secs(1));
    /// ```
    pub fn start() -> Self {
        Stopwatch {
            started_at: processor_time(),
        }
    }

    /// The time since then.
    ///
    /// ```
    /// let watch = scale_model::Stopwatch::start();
    /// let sum: u64 = (0..1_000_000).map(std::hint::black_box).sum();
    /// assert!(sum > 0 && watch.took() > std::time::Duration::ZERO);
    /// ```
    pub fn took(&self) -> Duration {
        let measuring_cost = *MEASURING_COST.get_or_init(|| {
            (0..1000)
                .map(|_| Stopwatch::start().plain())
                .min()
                .unwrap_or_default()
        });
        self.plain().saturating_sub(measuring_cost)
    }

    fn plain(&self) -> Duration {
        processor_time() - self.started_at
    }
}

static MEASURING_COST: OnceLock<Duration> = OnceLock::new();

/// A message's kind as the tables name it.
///
/// ```
/// assert_eq!(scale_model::kind(&protocol::Payload::UpstreamsRequest(Default::default())), "roll ask");
/// ```
pub fn kind(body: &Payload) -> &'static str {
    match body {
        Payload::Probe(_) => "probe",
        Payload::IndirectProbe(_) => "probe for",
        Payload::ProbeReply(_) => "heard",
        Payload::Read(_) => "read",
        Payload::ReadBack(_) => "read back",
        Payload::DeparturesRead(_) => "read, left",
        Payload::DeparturesReadBack(_) => "back, left",
        Payload::LeaseRequest(_) | Payload::LeaseReply(_) | Payload::LeaseRelease(_) => "claim",
        Payload::Heartbeats(_) => "beats told on",
        Payload::HeartbeatsAck(_) => "beats taken",
        Payload::SharesRequest(_) => "shares ask",
        Payload::SharesReply(_) => "shares given",
        Payload::Placement(_) => "placement",
        Payload::UpdateRequest(_) => "news ask",
        Payload::Freshness(_) => "fresh",
        Payload::ViewUpdate(update) if update.number == 0 => "news image",
        Payload::ViewUpdate(_) => "news change",
        Payload::UpdateAck(_) => "news kept",
        Payload::DataPlaneAck(_) => "carrier kept",
        Payload::UpstreamsRequest(_) => "roll ask",
        Payload::UpstreamsReply(_) => "roll told",
        Payload::LeaseHolder(_) => "holder",
        Payload::HeartbeatDigest(_) => "alive",
        Payload::KeyLoads(_) => "key loads",
        Payload::ConfigurationBytes(_) => "setup bytes",
        Payload::Prepare(_)
        | Payload::Promise(_)
        | Payload::Accept(_)
        | Payload::AcceptDelta(_)
        | Payload::Accepted(_)
        | Payload::Chosen(_)
        | Payload::ChosenDelta(_) => "round",
        _ => "other",
    }
}
