//! Counters: messages and their encoded bytes by role, kind and reach, and the processor time spent in step
//! functions.

use protocol::Payload;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::OnceLock;
use std::time::Duration;

/// What a process currently does in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A data-plane node.
    DataNode,
    /// A voting control node without the placement lease.
    Voter,
    /// The control node that holds the placement lease.
    Holder,
    /// A control node without a vote.
    Replica,
    /// An upstream instance.
    Upstream,
}

/// All roles, in the order of the printed tables.
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

/// How far apart a message's sender and receiver are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// Both are in the same zone.
    Zone,
    /// They are in different zones of the same region.
    Region,
    /// They are in different regions.
    Far,
}

/// All reaches, the nearest first.
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

/// A number of messages and their size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// The number of messages.
    pub messages: u64,
    /// Their encoded size in bytes, framing included.
    pub bytes: u64,
}

impl Flow {
    /// Counts one message.
    pub(crate) fn add(&mut self, bytes: u64) {
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

/// Calls of a step function with one kind of cause, and the processor time they used.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepStats {
    /// The number of calls.
    pub count: u64,
    /// Processor time of all calls together.
    pub took: Duration,
    /// Processor time of the longest call.
    pub most: Duration,
}

/// What messages are counted by; the order of the fields is the order of the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// The sender's role.
    pub from: Role,
    /// The receiver's role.
    pub to: Role,
    /// The message's kind, as [`kind`] names it.
    pub kind: &'static str,
    /// How far apart sender and receiver are.
    pub reach: Reach,
}

/// All counters of one measured window.
#[derive(Default)]
pub struct TrafficStats {
    flows: BTreeMap<FlowKey, Flow>,
    steps: BTreeMap<(Role, &'static str), StepStats>,
    /// Time in step functions, by process.
    busy: BTreeMap<(Role, usize), Duration>,
}

impl TrafficStats {
    /// Counts one message of `bytes` encoded bytes.
    ///
    /// ```
    /// use scale_model::{FlowKey, TrafficStats, Reach, Role};
    /// let mut stats = TrafficStats::default();
    /// let key = FlowKey { from: Role::DataNode, to: Role::Voter, kind: "probe", reach: Reach::Far };
    /// stats.sent(key, 100);
    /// assert_eq!(stats.out(Role::DataNode, None).bytes, 100);
    /// assert_eq!(stats.received_by(Role::Voter, Some(Reach::Far)).messages, 1);
    /// assert_eq!(stats.received_by(Role::Voter, Some(Reach::Zone)).messages, 0);
    /// ```
    pub fn sent(&mut self, key: FlowKey, bytes: u64) {
        self.flows.entry(key).or_default().add(bytes);
    }

    /// Counts one call of a process's step function.
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

    /// Messages that processes of a role sent, over one reach or over all.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert_eq!(TrafficStats::default().out(Role::Voter, None).messages, 0);
    /// ```
    pub fn out(&self, role: Role, reach: Option<Reach>) -> Flow {
        self.sum(|key| key.from == role && reach.is_none_or(|reach| key.reach == reach))
    }

    /// Messages addressed to processes of a role, over one reach or over all.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert_eq!(TrafficStats::default().received_by(Role::Voter, None).bytes, 0);
    /// ```
    pub fn received_by(&self, role: Role, reach: Option<Reach>) -> Flow {
        self.sum(|key| key.to == role && reach.is_none_or(|reach| key.reach == reach))
    }

    /// All messages.
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
            .filter(|(key, _)| counts(key))
            .map(|(_, flow)| *flow)
            .sum()
    }

    /// All messages by kind.
    ///
    /// ```
    /// use scale_model::{FlowKey, TrafficStats, Reach, Role};
    /// let mut stats = TrafficStats::default();
    /// let key = FlowKey { from: Role::DataNode, to: Role::Voter, kind: "probe", reach: Reach::Far };
    /// stats.sent(key, 100);
    /// assert_eq!(stats.totals()["probe"].bytes, 100);
    /// ```
    pub fn totals(&self) -> BTreeMap<&'static str, Flow> {
        self.flows.iter().fold(
            BTreeMap::new(),
            |mut totals, (FlowKey { kind, .. }, flow)| {
                let total: &mut Flow = totals.entry(kind).or_default();
                total.messages += flow.messages;
                total.bytes += flow.bytes;
                totals
            },
        )
    }

    /// Messages sent by and addressed to processes of a role, by kind.
    ///
    /// ```
    /// use scale_model::{TrafficStats, Role};
    /// assert!(TrafficStats::default().kinds(Role::DataNode).is_empty());
    /// ```
    pub fn kinds(&self, role: Role) -> BTreeMap<&'static str, (Flow, Flow)> {
        let mut kinds: BTreeMap<&'static str, (Flow, Flow)> = BTreeMap::new();
        self.flows
            .iter()
            .for_each(|(FlowKey { from, to, kind, .. }, flow)| {
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

    /// The steps of a role's processes by cause.
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

    /// The processor time that each process of a role spent in step functions.
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

/// The processor time used by this thread: other threads and processes on the machine don't count.
fn processor_time() -> Duration {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(used.tv_sec.max(0) as u64, used.tv_nsec.max(0) as u32)
}

/// Measures processor time, less the cost of reading the clock.
pub struct Stopwatch {
    started_at: Duration,
}

impl Stopwatch {
    /// Starts measuring.
    ///
    /// ```
    /// assert!(scale_model::Stopwatch::start().took() < std::time::Duration::from_secs(1));
    /// ```
    pub fn start() -> Self {
        Stopwatch {
            started_at: processor_time(),
        }
    }

    /// The processor time used by this thread since the start.
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

/// A message's kind as the printed tables and figures name it. The names are part of the output's format: recorded
/// runs are compared by them.
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
