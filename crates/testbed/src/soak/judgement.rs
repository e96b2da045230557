//! What is wrong with what a soak saw.

use invariants::observations::FinishedOperation;
use result_code::ResultCode;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// A request that a node has read is answered, even where the node shuts down. One that was sent this shortly before the
/// connection ended may have crossed the close unread.
pub const CROSSING: Duration = Duration::from_millis(200);
/// A service that fails whole for so long, while others are served, is a finding.
pub const MAX_ONE_SIDED_OUTAGE: Duration = Duration::from_secs(15);
/// Width of the windows in which services are compared.
const WINDOW: Duration = Duration::from_secs(5);
/// Fewer operations of a service in a window say nothing.
const MIN_OPERATIONS: u64 = 5;
/// Of a thousand operations, so many are served where the others count as served.
const SERVED_PER_MILLE: u64 = 500;
/// The changes at the start of a process's life, in which tables fill up.
const WARM_UP_CHANGES: u64 = 100;
/// A life with fewer changes after them says nothing of leaks.
const MIN_CHANGES: u64 = 100;
/// Growth between the first and the last third of a life that counts as a leak.
const MAX_GROWTH: Resources = Resources {
    memory_kib: 12 * 1024,
    descriptors: 200,
    threads: 8,
    disk_kib: 8 * 1024,
};

/// One figure of what a process holds.
type Measure = fn(&Resources) -> u64;

/// All of them, with their units.
const MEASURES: [(&str, Measure); 4] = [
    ("KiB of memory", |resources| resources.memory_kib),
    ("descriptors", |resources| resources.descriptors),
    ("threads", |resources| resources.threads),
    ("KiB on disk", |resources| resources.disk_kib),
];

/// What a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Resident memory.
    pub memory_kib: u64,
    /// Open descriptors, connections among them.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
    /// Bytes in its data folder.
    pub disk_kib: u64,
}

/// One look at a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceSample {
    /// The node.
    pub node: String,
    /// The process id: each life is judged by itself.
    pub process: u32,
    /// How many changes were acknowledged in the run so far.
    pub changes: u64,
    /// What it holds.
    pub resources: Resources,
}

/// Something that must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A process ended, and not by the soak's signal.
    EndedByItself {
        /// The node.
        node: String,
        /// Its exit code or signal.
        status: String,
        /// The last lines of its log.
        log: Vec<String>,
    },
    /// A process did not end in time after the signal to shut down.
    DidNotEnd {
        /// The node.
        node: String,
    },
    /// A node was not ready in time after trouble ended.
    NotReady {
        /// The node.
        node: String,
    },
    /// A service was not served in time after trouble ended.
    NotServed {
        /// The service.
        service: String,
        /// Of a thousand operations, so many were served.
        per_mille: u64,
        /// What proxies say would become of such a request, a line each.
        explanation: Vec<String>,
    },
    /// A service failed whole while others were served.
    OneSidedOutage {
        /// The service.
        service: String,
        /// When it began.
        from: Duration,
        /// For how long, at least.
        lasted: Duration,
    },
    /// A node read an older configuration back than was acknowledged, or another content.
    OldConfiguration {
        /// The node.
        node: String,
        /// The revision that it read back.
        read: u64,
        /// The revision that was acknowledged.
        acknowledged: u64,
    },
    /// An invalid configuration was not rejected.
    InvalidAccepted {
        /// What was answered.
        code: u64,
    },
    /// A node closed a connection on a request that it had read.
    ConnectionLost {
        /// The node's address.
        address: String,
        /// How long after the request was sent.
        after: Duration,
    },
    /// A process holds more and more.
    Leak {
        /// The node.
        node: String,
        /// What grew, and by how much per change.
        what: String,
    },
    /// A rule of the product was broken.
    Rule {
        /// Its number and what was seen.
        violation: String,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::EndedByItself { node, status, log } => {
                write!(f, "{node} ended by itself, {status}; last lines:")?;
                log.iter().try_for_each(|line| write!(f, "\n      {line}"))
            }
            Finding::DidNotEnd { node } => write!(f, "{node} did not end when told to"),
            Finding::NotReady { node } => write!(f, "{node} was not ready in time"),
            Finding::NotServed {
                service,
                per_mille,
                explanation,
            } => {
                write!(
                    f,
                    "{service} was served {per_mille} of 1000 after trouble ended"
                )?;
                explanation
                    .iter()
                    .try_for_each(|line| write!(f, "\n      {line}"))
            }
            Finding::OneSidedOutage {
                service,
                from,
                lasted,
            } => write!(
                f,
                "{service} failed whole for {lasted:?} from {from:?} on, while others were served"
            ),
            Finding::OldConfiguration {
                node,
                read,
                acknowledged,
            } => write!(
                f,
                "{node} read revision {read} back, {acknowledged} was acknowledged"
            ),
            Finding::InvalidAccepted { code } => {
                write!(f, "an invalid configuration was answered with {code}")
            }
            Finding::ConnectionLost { address, after } => write!(
                f,
                "{address} closed a connection {after:?} after a request was sent on it"
            ),
            Finding::Leak { node, what } => write!(f, "{node} grows: {what}"),
            Finding::Rule { violation } => write!(f, "rule broken: {violation}"),
        }
    }
}

/// A process ends within this after the signal to shut down.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(6500);

/// A process that was told to shut down and still runs.
pub fn overdue_shutdown(node: &str, told_at: Duration, now: Duration) -> Option<Finding> {
    (now >= told_at + SHUTDOWN_TIMEOUT).then(|| Finding::DidNotEnd {
        node: node.to_owned(),
    })
}

/// Nodes that did not say in time that they are ready, or did not answer at the end.
pub fn unready_nodes(nodes: &[String], is_ready: impl Fn(&str) -> bool) -> Vec<Finding> {
    nodes
        .iter()
        .filter(|node| !is_ready(node))
        .map(|node| Finding::NotReady { node: node.clone() })
        .collect()
}

/// An invalid configuration that was answered with a code of success.
pub fn accepted_invalid(code: u64) -> Option<Finding> {
    (code == u64::from(ResultCode::Success.number())).then_some(Finding::InvalidAccepted { code })
}

/// Counts of one service in a window.
#[derive(Clone, Copy, Default)]
struct Tally {
    all: u64,
    served: u64,
}

impl Tally {
    fn add(&mut self, operation: &FinishedOperation) {
        self.all += 1;
        self.served += u64::from(operation.code == ResultCode::Success.number());
    }

    fn per_mille(&self) -> u64 {
        (self.served * 1000).checked_div(self.all).unwrap_or(1000)
    }
}

fn started_at(operation: &FinishedOperation) -> Duration {
    operation.at.saturating_sub(operation.took)
}

/// Services that are not served among the operations that started within `from..until`.
pub fn unserved_services(
    finished: &[FinishedOperation],
    services: &[&str],
    from: Duration,
    until: Duration,
) -> Vec<Finding> {
    let mut tallies: BTreeMap<&str, Tally> = services
        .iter()
        .map(|service| (*service, Tally::default()))
        .collect();
    let within = finished
        .iter()
        .filter(|operation| (from..until).contains(&started_at(operation)));
    for operation in within {
        tallies.entry(operation.service).or_default().add(operation);
    }
    tallies
        .into_iter()
        .filter(|(_, tally)| tally.all == 0 || tally.per_mille() < 900)
        .map(|(service, tally)| Finding::NotServed {
            service: service.to_owned(),
            per_mille: if tally.all == 0 { 0 } else { tally.per_mille() },
            explanation: Vec::new(),
        })
        .collect()
}

/// Services that fail whole for longer than [`MAX_ONE_SIDED_OUTAGE`] while the others together are served.
pub fn one_sided_outages(finished: &[FinishedOperation]) -> Vec<Finding> {
    let mut windows: BTreeMap<u64, BTreeMap<&str, Tally>> = BTreeMap::new();
    let services: BTreeSet<&str> = finished.iter().map(|operation| operation.service).collect();
    for operation in finished {
        let window = started_at(operation).as_millis() as u64 / WINDOW.as_millis() as u64;
        let tallies = windows.entry(window).or_default();
        tallies.entry(operation.service).or_default().add(operation);
    }
    let mut findings = Vec::new();
    for service in services {
        let mut begun: Option<u64> = None;
        let mut longest: Option<(u64, u64)> = None;
        for (window, tallies) in &windows {
            if !fails_alone(tallies, service) {
                begun = None;
                continue;
            }
            let first = *begun.get_or_insert(*window);
            let count = window - first + 1;
            if longest.is_none_or(|(_, most)| count > most) {
                longest = Some((first, count));
            }
        }
        let Some((first, count)) = longest else {
            continue;
        };
        let lasted = WINDOW * count as u32;
        if lasted >= MAX_ONE_SIDED_OUTAGE {
            findings.push(Finding::OneSidedOutage {
                service: service.to_owned(),
                from: WINDOW * first as u32,
                lasted,
            });
        }
    }
    findings
}

fn fails_alone(tallies: &BTreeMap<&str, Tally>, service: &str) -> bool {
    let own = tallies.get(service).copied().unwrap_or_default();
    let mut others = Tally::default();
    for (other, tally) in tallies {
        if *other != service {
            others.all += tally.all;
            others.served += tally.served;
        }
    }
    own.all >= MIN_OPERATIONS
        && own.served == 0
        && others.all >= MIN_OPERATIONS
        && others.per_mille() >= SERVED_PER_MILLE
}

/// Processes that hold more at the end of a life than after its first changes.
pub fn leaks(samples: &[ResourceSample]) -> Vec<Finding> {
    let mut lives: BTreeMap<(&str, u32), Vec<&ResourceSample>> = BTreeMap::new();
    for sample in samples {
        lives
            .entry((&sample.node, sample.process))
            .or_default()
            .push(sample);
    }
    lives
        .into_iter()
        .flat_map(|((node, _), life)| leaks_of_life(node, &life))
        .collect()
}

fn leaks_of_life(node: &str, life: &[&ResourceSample]) -> Vec<Finding> {
    let born_at = life.first().map_or(0, |sample| sample.changes);
    let settled: Vec<&&ResourceSample> = life
        .iter()
        .filter(|sample| sample.changes >= born_at + WARM_UP_CHANGES)
        .collect();
    let (Some(first), Some(last)) = (settled.first(), settled.last()) else {
        return Vec::new();
    };
    let changes = last.changes - first.changes;
    let third = settled.len() / 3;
    if changes < MIN_CHANGES || third == 0 {
        return Vec::new();
    }
    let (early, late) = (&settled[..third], &settled[settled.len() - third..]);
    let grown = |measure: Measure| {
        median(late.iter().map(|sample| measure(&sample.resources))).saturating_sub(median(
            early.iter().map(|sample| measure(&sample.resources)),
        ))
    };
    MEASURES
        .into_iter()
        .filter(|(_, measure)| grown(*measure) > measure(&MAX_GROWTH))
        .map(|(what, measure)| Finding::Leak {
            node: node.to_owned(),
            what: format!("{} {what} more in {changes} changes", grown(measure)),
        })
        .collect()
}

fn median(values: impl Iterator<Item = u64>) -> u64 {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

/// What one node read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// The node.
    pub node: String,
    /// The revision.
    pub revision: u64,
    /// Digest of the content.
    pub digest: String,
}

/// Nodes that read back something older than what was acknowledged before they were asked, or other bytes under its
/// revision.
pub fn old_read_backs(acknowledged: &ReadBack, read: &[ReadBack]) -> Vec<Finding> {
    read.iter()
        .filter(|read| {
            read.revision < acknowledged.revision
                || (read.revision == acknowledged.revision && read.digest != acknowledged.digest)
        })
        .map(|read| Finding::OldConfiguration {
            node: read.node.clone(),
            read: read.revision,
            acknowledged: acknowledged.revision,
        })
        .collect()
}

/// A connection that ended without an answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostConnection {
    /// The address of the process behind it.
    pub address: String,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the client saw the end.
    pub lost_at: Duration,
}

/// A span in which the soak kills a process or lets it stand still: what is lost there is the soak's own doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interruption {
    /// The address of the process.
    pub address: String,
    /// Before the kernel was told.
    pub from: Duration,
    /// When the process was surely gone, or went on.
    pub until: Duration,
}

/// Connections that were closed on a request, by processes that were not interrupted meanwhile.
pub fn lost_connections(lost: &[LostConnection], interruptions: &[Interruption]) -> Vec<Finding> {
    let is_excused = |lost: &LostConnection| {
        interruptions.iter().any(|interruption| {
            interruption.address == lost.address
                && interruption.from <= lost.lost_at
                && lost.sent_at <= interruption.until
        })
    };
    lost.iter()
        .filter(|lost| lost.lost_at.saturating_sub(lost.sent_at) > CROSSING)
        .filter(|lost| !is_excused(lost))
        .map(|lost| Finding::ConnectionLost {
            address: lost.address.clone(),
            after: lost.lost_at.saturating_sub(lost.sent_at),
        })
        .collect()
}
