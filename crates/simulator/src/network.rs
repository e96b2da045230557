//! The simulated network: delays by locality, loss, order on links, partitions.

use protocol::Payload;
use random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Where one end of a message is.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// A machine's number; upstreams and clients have none.
    pub machine: Option<usize>,
    pub locality: String,
}

impl Endpoint {
    fn region(&self) -> &str {
        self.locality.split('/').next().unwrap_or_default()
    }
}

/// What separates two ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Partition {
    /// One machine, from everything; `receives` or `sends` may still work.
    Machine {
        machine: usize,
        receives: bool,
        sends: bool,
    },
    /// One machine from all other machines, while upstreams and clients still reach it.
    Peers {
        machine: usize,
        receives: bool,
        sends: bool,
    },
    /// Some of the machines with control nodes from the others; everything else reaches all of them.
    ControlNodes {
        /// The machines on one side.
        side: BTreeSet<usize>,
        /// How many machines have control nodes; these are the first ones.
        machines: usize,
    },
    Zone(String),
    Region(String),
}

impl Partition {
    fn blocks(&self, from: &Endpoint, to: &Endpoint) -> bool {
        match self {
            Partition::Peers { .. } if from.machine.is_none() || to.machine.is_none() => false,
            Partition::Machine {
                machine,
                receives,
                sends,
            }
            | Partition::Peers {
                machine,
                receives,
                sends,
            } => {
                let (out, into) = (from.machine == Some(*machine), to.machine == Some(*machine));
                out != into && ((out && !sends) || (into && !receives))
            }
            Partition::ControlNodes { side, machines } => {
                let (Some(from), Some(to)) = (from.machine, to.machine) else {
                    return false;
                };
                from.max(to) < *machines && side.contains(&from) != side.contains(&to)
            }
            Partition::Zone(zone) => (from.locality == *zone) != (to.locality == *zone),
            Partition::Region(region) => (from.region() == region) != (to.region() == region),
        }
    }
}

/// Bytes that the nodes said to one another, by what they were about: within a zone, between the zones of a region, and
/// between regions.
pub type TrafficByTopic = BTreeMap<&'static str, [u64; 3]>;

/// What a message is about.
pub fn topic(body: &Payload) -> &'static str {
    match body {
        Payload::Probe(_) | Payload::IndirectProbe(_) | Payload::ProbeReply(_) => "membership",
        Payload::Read(_)
        | Payload::ReadBack(_)
        | Payload::DeparturesRead(_)
        | Payload::DeparturesReadBack(_) => "confirmations",
        Payload::Prepare(_)
        | Payload::Promise(_)
        | Payload::Accept(_)
        | Payload::AcceptDelta(_)
        | Payload::Accepted(_)
        | Payload::Chosen(_)
        | Payload::ChosenDelta(_) => "rounds",
        Payload::ConfigurationBytes(_) | Payload::ConfigurationRequest(_) => "setups",
        Payload::LeaseRequest(_)
        | Payload::LeaseReply(_)
        | Payload::LeaseRelease(_)
        | Payload::LeaseHolder(_) => "claims",
        Payload::SharesRequest(_) | Payload::SharesReply(_) => "shares",
        Payload::Placement(_) => "placement",
        Payload::UpdateRequest(_)
        | Payload::Freshness(_)
        | Payload::ViewUpdate(_)
        | Payload::UpdateAck(_)
        | Payload::DataPlaneAck(_) => "news",
        Payload::BootstrapVote(_) | Payload::Bootstrapped(_) => "founding",
        _ => "upstreams",
    }
}

/// The network's state.
#[derive(Default)]
pub struct Network {
    pub partitions: Vec<Partition>,
    /// Of a thousand messages, how many are lost.
    pub loss_per_mille: u64,
    pub traffic: TrafficByTopic,
    /// When the last message of a link arrives: links keep their order.
    last: BTreeMap<(usize, usize), Duration>,
}

impl Network {
    /// True where nothing gets from one end to the other.
    pub fn blocked(&self, from: &Endpoint, to: &Endpoint) -> bool {
        self.partitions.iter().any(|cut| cut.blocks(from, to))
    }

    /// How long a message takes; none where it is lost.
    pub fn delay(&self, random: &mut Random, from: &Endpoint, to: &Endpoint) -> Option<Duration> {
        let lost = self.blocked(from, to) || random.below(1000) < self.loss_per_mille;
        let base = match (from.locality == to.locality, from.region() == to.region()) {
            (true, _) => 200,
            (_, true) => 1500,
            _ => 20_000,
        };
        let micros = base + random.below(base / 2 + 300);
        Some(Duration::from_micros(micros)).filter(|_| !lost)
    }

    /// Counts what was said between two ends.
    pub fn count(&mut self, from: &Endpoint, to: &Endpoint, body: &Payload, bytes: usize) {
        let far =
            usize::from(from.locality != to.locality) + usize::from(from.region() != to.region());
        self.traffic.entry(topic(body)).or_default()[far] += bytes as u64;
    }

    /// When a message on a link arrives: never before an earlier one.
    pub fn in_order(&mut self, from: usize, to: usize, at: Duration) -> Duration {
        let last = self.last.entry((from, to)).or_default();
        *last = at.max(*last + Duration::from_nanos(1));
        *last
    }
}
