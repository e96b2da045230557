//! The faults of a run: what fails, when, and until when.

use super::connections::ConnectionFaults;
use super::world::LOAD_STARTS_AT;
use random::Random;
use std::time::Duration;

/// A fault. Machines, zones and upstreams are numbers, taken modulo what there is.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A machine loses its power.
    KillMachine(usize),
    /// Several machines lose their power at once.
    KillMachines(Vec<usize>),
    /// Power and disk of one machine are lost; it comes back blank.
    WipeMachine(usize),
    /// A machine's stored configurations are found corrupt when it starts again.
    CorruptConfigurations(usize),
    /// A machine is suspended.
    Freeze(usize),
    /// Syncs of a machine's disk take longer.
    SlowDisk(usize),
    /// A machine's disk fails.
    FailDisk(usize),
    /// A sync hangs, and goes on much later.
    HangDisk(usize),
    /// The power goes in the middle of a write, and the state can't be read any more.
    TearStateWrite(usize),
    /// Two disks are lost at the same moment, while configurations are submitted.
    WipeTwo(usize),
    /// The power is lost at a write, right before or after it is synced.
    PowerLossAtWrite {
        /// The machine.
        machine: usize,
        /// The number of the write, counted from now.
        write: u32,
        /// Whether the write is synced.
        synced: bool,
        /// Whether the disk starts blank and is repaired meanwhile.
        wiped: bool,
    },
    /// A machine is partitioned from everything.
    PartitionMachine(usize),
    /// What a machine sends is lost.
    DropOutbound(usize),
    /// What is sent to a machine is lost.
    DropInbound(usize),
    /// A zone is partitioned from the others.
    PartitionZone(usize),
    /// A region is partitioned from the others.
    PartitionRegion(usize),
    /// Machines and upstreams of a zone lose their power.
    ZonePowerLoss(usize),
    /// Machines and upstreams of a region lose their power.
    RegionPowerLoss(usize),
    /// So many of a thousand messages are lost.
    PacketLoss(u64),
    /// Each machine is shut down gracefully in turn and started again.
    RollingRestart,
    /// Upstreams crash.
    CrashUpstreams(Vec<usize>),
    /// Upstreams drain, and are replaced by new instances at the same addresses.
    RestartUpstreams(Vec<usize>),
    /// Upstreams deregister without having drained, serve on, and are replaced by new instances at the same addresses.
    DeregisterBeforeDraining(Vec<usize>),
    /// An upstream vanishes, and another service takes its address.
    ReuseAddress(usize),
    /// Every so-many-th upstream restarts cold.
    RestartCold(usize),
    /// An upstream loses some of its responses.
    LoseResponses(usize),
    /// An upstream garbles some of its responses.
    GarbleResponses(usize),
    /// Every upstream of the first service garbles: a release that went wrong.
    BadRelease,
    /// An upstream is suspended.
    PauseUpstream(usize),
    /// A zone is evacuated, and the evacuation ends.
    Evacuate(usize),
    /// A zone is evacuated while it is partitioned.
    EvacuatePartitionedZone(usize),
    /// Many configurations are submitted at once.
    ConfigurationStorm,
    /// Operators submit configurations based on the same revision at the same moment.
    OperatorRace,
    /// The node that holds the lease on the placement crashes.
    KillPlacementHolder,
    /// The node that holds the lease on the placement is suspended.
    FreezePlacementHolder,
    /// While the voters bootstrap, some are killed, one of them with its disk.
    InterruptBootstrap(Vec<usize>),
    /// One key takes most of the traffic.
    HotKey,
    /// Every upstream of the region-bound services vanishes.
    CrashHomeUpstreams,
    /// The next proxy that opens a connection is suspended at that moment.
    Ambush {
        /// Whether the zone of the chosen upstream is evacuated meanwhile; else the upstream drains.
        evacuate: bool,
    },
    /// New upstreams start empty and cold; later they drain.
    AddUpstreams(usize),
    /// One zone after another is evacuated for a while, so that names change their owners.
    EvacuateZonesInTurn,
    /// A machine's clock jumps ahead.
    JumpClock(usize, Duration),
    /// The clock of the node that holds the lease on the placement jumps ahead.
    JumpPlacementHolderClock(Duration),
    /// Some responses to heartbeats with numeric keys take up to 1.5 s longer.
    DelayGrants,
    /// A configuration every 120 ms, so many in all, while a disk is slow; then all control nodes are killed.
    LongConfigurationStorm(u32),
    /// Voters' machines are lost for good, one after the other, and empty ones take their places; meanwhile
    /// configurations are submitted.
    ReplaceVoters {
        /// The machines' places.
        places: Vec<usize>,
        /// Between one replacement and the next.
        gap: Duration,
        /// Whether the new machine comes before the old one goes.
        planned: bool,
    },
    /// One voter's machine is replaced.
    ReplaceOne {
        /// The machine's place.
        place: usize,
        /// Whether the new machine comes before the old one goes.
        planned: bool,
    },
    /// A disk rejects writes, which are retried until it takes them.
    RefuseDisk(usize),
    /// In a storm of so many configurations, one disk after the other rejects writes for a while; then all control nodes
    /// are killed.
    DisksFullInTurn(u32),
    /// The same with disks whose syncs hang for a while.
    DisksStallInTurn(u32),
    /// Operators race with versions of their own, so many rounds.
    VersionRace(u32),
    /// So many of a thousand results to operators are lost; the same command is sent again, to another node.
    LoseCommandResults(u64),
    /// Commands and their results come late, duplicated and in any order.
    ReorderCommands,
    /// So many commands of all kinds, up to eight in flight at once.
    CommandStorm(u32),
    /// The same, and at the end the oldest are sent again.
    StaleCommandStorm(u32),
    /// Two operators submit different configurations under one version at the same moment, to two nodes, so many times.
    EqualVersions(u32),
    /// A zone is evacuated and the evacuation ends; the command to evacuate comes again before and after that, to other
    /// nodes.
    LateEvacuation(usize),
    /// A command without an id to evacuate a zone lies in a suspended node's sockets, while the zone is evacuated by
    /// another node and the evacuation ends.
    FrozenEvacuation(usize),
    /// A configuration is accepted, and all control nodes end at that moment.
    RestartControlNodes,
    /// All control nodes are killed.
    KillControlNodes,
    /// A machine is shut down gracefully.
    StopMachine(usize),
    /// A control node's machine is partitioned from the others for some twenty seconds, while operators and upstreams
    /// reach it.
    LongPartition {
        /// The machine.
        machine: usize,
        /// How it is partitioned.
        how: LongPartition,
    },
    /// One control node's machine is partitioned from all other machines.
    PartitionFromPeers {
        /// The machine.
        machine: usize,
        /// Whether it still receives.
        receives: bool,
        /// Whether it still sends.
        sends: bool,
    },
    /// Half of the control nodes' machines, counted from this one on, are partitioned from the other half; everything else
    /// reaches both.
    SplitControlNodes(usize),
    /// Operators send commands, and upstreams announce that they drain, to this machine first.
    RouteCommandsTo(usize),
    /// Proxies reuse connections, and upstreams misbehave on them.
    Connections(ConnectionFaults),
    /// Proxies reuse connections, and some upstreams vanish while others take their addresses.
    ReuseAddressesUnderKeepAlive(Vec<usize>),
}

/// How a control node's machine is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPartition {
    /// In both directions.
    BothWays,
    /// It receives, but what it sends is lost.
    DropOutbound,
    /// It sends, but receives nothing.
    DropInbound,
    /// On and off, with less than a second between.
    Flapping,
    /// Its processes are restarted meanwhile.
    Restarted,
    /// The settings name it as the first seed, and other machines are restarted with them.
    Seeds,
}

/// How long such a partition lasts.
pub(super) const LONG_PARTITION: Duration = Duration::from_secs(20);

/// How long a rolling restart gives each machine.
pub(super) const RESTART_EVERY: Duration = Duration::from_millis(4500);
/// Between two configurations of a long storm.
pub(super) const STORM_GAP: Duration = Duration::from_millis(120);
/// From a long storm's last configuration until all control nodes are killed: everything is decided by then.
pub(super) const STORM_SETTLES: Duration = Duration::from_secs(4);
/// How much later than the loss the machine comes that takes its place, and how much earlier where it is planned.
pub(super) const SUCCESSOR_LATER: Duration = Duration::from_secs(1);
pub(super) const SUCCESSOR_EARLIER: Duration = Duration::from_millis(2500);
/// How long each zone is evacuated while names are moved about.
pub(super) const MOVE_EVERY: Duration = Duration::from_millis(1500);
/// Where disks break in turn: how long after one the next does, and for how long each.
pub(super) const DISK_EVERY: Duration = Duration::from_millis(1500);
pub(super) const DISK_BROKEN_FOR: Duration = Duration::from_millis(2500);
pub(super) const RESTART_TAKES: Duration = Duration::from_millis(3500);

/// How long a storm of hundreds of commands may take.
const STORM_TAKES: Duration = Duration::from_secs(25);
/// How long after each other addresses change hands.
pub(super) const REUSE_EVERY: Duration = Duration::from_millis(700);

/// Draws a fault of one kind.
pub type DrawFault = fn(&mut Random) -> Fault;

/// Every kind of fault that a seed draws by itself, by its name on the command line.
pub const DRAWN_FAULTS: &[(&str, DrawFault)] = &[
    ("kill-machine", |d| Fault::KillMachine(d.below(99) as usize)),
    ("kill-herd", |d| {
        Fault::KillMachines((0..3).map(|_| d.below(99) as usize).collect())
    }),
    ("wipe-machine", |d| Fault::WipeMachine(d.below(6) as usize)),
    ("rot-setups", |d| {
        Fault::CorruptConfigurations(d.below(6) as usize)
    }),
    ("freeze", |d| Fault::Freeze(d.below(99) as usize)),
    ("slow-disk", |d| Fault::SlowDisk(d.below(6) as usize)),
    ("break-disk", |d| Fault::FailDisk(d.below(6) as usize)),
    ("hang-disk", |d| Fault::HangDisk(d.below(6) as usize)),
    ("torn-state", |d| Fault::TearStateWrite(d.below(6) as usize)),
    ("wipe-two", |d| Fault::WipeTwo(d.below(6) as usize)),
    ("power-at-write", |d| {
        let (machine, write) = (d.below(6) as usize, d.below(8) as u32);
        Fault::PowerLossAtWrite {
            machine,
            write,
            synced: d.below(2) == 0,
            wiped: d.below(3) == 0,
        }
    }),
    ("cut-machine", |d| {
        Fault::PartitionMachine(d.below(99) as usize)
    }),
    ("mute", |d| Fault::DropOutbound(d.below(99) as usize)),
    ("deaf", |d| Fault::DropInbound(d.below(99) as usize)),
    ("cut-zone", |d| Fault::PartitionZone(d.below(6) as usize)),
    (
        "cut-region",
        |d| Fault::PartitionRegion(d.below(3) as usize),
    ),
    ("dark-zone", |d| Fault::ZonePowerLoss(d.below(6) as usize)),
    ("dark-region", |d| {
        Fault::RegionPowerLoss(d.below(3) as usize)
    }),
    ("loss", |d| Fault::PacketLoss(20 + d.below(130))),
    ("rolling-restart", |_| Fault::RollingRestart),
    ("crash-units", |d| {
        Fault::CrashUpstreams((0..5).map(|_| d.below(99) as usize).collect())
    }),
    ("release", |d| {
        Fault::RestartUpstreams((0..6).map(|_| d.below(99) as usize).collect())
    }),
    ("reuse-address", |d| {
        Fault::ReuseAddress(d.below(99) as usize)
    }),
    ("cold-herd", |_| Fault::RestartCold(2)),
    ("cold-all", |_| Fault::RestartCold(1)),
    ("lose-answers", |d| {
        Fault::LoseResponses(d.below(99) as usize)
    }),
    ("garble", |d| Fault::GarbleResponses(d.below(99) as usize)),
    ("bad-release", |_| Fault::BadRelease),
    ("pause-unit", |d| Fault::PauseUpstream(d.below(99) as usize)),
    ("evacuate", |d| Fault::Evacuate(d.below(6) as usize)),
    ("evacuate-cut", |d| {
        Fault::EvacuatePartitionedZone(d.below(6) as usize)
    }),
    ("setup-storm", |_| Fault::ConfigurationStorm),
    ("operator-race", |_| Fault::OperatorRace),
    ("kill-placement", |_| Fault::KillPlacementHolder),
    ("freeze-placement", |_| Fault::FreezePlacementHolder),
    ("founding", |d| {
        Fault::InterruptBootstrap((0..3).map(|_| d.below(6) as usize).collect())
    }),
    ("hot-key", |_| Fault::HotKey),
    ("homes-gone", |_| Fault::CrashHomeUpstreams),
    ("ambush-leave", |_| Fault::Ambush { evacuate: false }),
    ("ambush-evacuate", |_| Fault::Ambush { evacuate: true }),
    ("grow-shrink", |d| {
        Fault::AddUpstreams(3 + d.below(6) as usize)
    }),
    ("move-names", |_| Fault::EvacuateZonesInTurn),
    ("jump-placement", |d| {
        Fault::JumpPlacementHolderClock(Duration::from_millis(550 + d.below(900)))
    }),
    ("jump-clock", |d| {
        Fault::JumpClock(
            d.below(99) as usize,
            Duration::from_millis(200 + d.below(12_000)),
        )
    }),
];

/// Further kinds, which run only by name: so the drawn plans of known seeds stay as they were.
pub const EXTRA_FAULTS: &[(&str, DrawFault)] = &[
    ("late-answers", |_| Fault::DelayGrants),
    ("sign-off-first", |d| {
        Fault::DeregisterBeforeDraining((0..6).map(|_| d.below(99) as usize).collect())
    }),
    ("number-race", |_| Fault::VersionRace(6)),
    ("restart-postmasters", |_| Fault::RestartControlNodes),
    ("kept-connections", |_| {
        Fault::Connections(ConnectionFaults::default())
    }),
    ("surplus-answers", |_| {
        Fault::Connections(ConnectionFaults {
            duplicates_per_mille: 300,
            ..ConnectionFaults::default()
        })
    }),
    ("upstream-resets", |_| {
        Fault::Connections(ConnectionFaults {
            resets_per_mille: 60,
            ..ConnectionFaults::default()
        })
    }),
    ("upstream-hangs", |_| {
        Fault::Connections(ConnectionFaults {
            hangs_per_mille: 20,
            ..ConnectionFaults::default()
        })
    }),
    ("kept-reuse", |d| {
        Fault::ReuseAddressesUnderKeepAlive((0..5).map(|_| d.below(99) as usize).collect())
    }),
    ("long-cut", |d| Fault::LongPartition {
        machine: d.below(6) as usize,
        how: LongPartition::BothWays,
    }),
    ("long-cut-mute", |d| Fault::LongPartition {
        machine: d.below(6) as usize,
        how: LongPartition::DropOutbound,
    }),
    ("long-cut-deaf", |d| Fault::LongPartition {
        machine: d.below(6) as usize,
        how: LongPartition::DropInbound,
    }),
    ("long-cut-flapping", |d| Fault::LongPartition {
        machine: d.below(6) as usize,
        how: LongPartition::Flapping,
    }),
    ("long-cut-restarted", |d| Fault::LongPartition {
        machine: d.below(6) as usize,
        how: LongPartition::Restarted,
    }),
    ("long-cut-seeds", |d| Fault::LongPartition {
        machine: d.below(6) as usize,
        how: LongPartition::Seeds,
    }),
    ("split-control", |d| {
        Fault::SplitControlNodes(d.below(6) as usize)
    }),
    ("replace-voters", |d| drawn_replacements(d, false)),
    ("replace-planned", |d| drawn_replacements(d, true)),
    ("long-storm", |_| Fault::LongConfigurationStorm(200)),
    ("refuse-disk", |d| Fault::RefuseDisk(d.below(6) as usize)),
    ("disks-full-in-turn", |_| Fault::DisksFullInTurn(100)),
    ("disks-stall-in-turn", |_| Fault::DisksStallInTurn(100)),
    ("lost-acks", |d| {
        Fault::LoseCommandResults(500 + d.below(400))
    }),
    ("late-orders", |_| Fault::ReorderCommands),
    ("order-storm", |_| Fault::CommandStorm(300)),
    ("old-orders", |_| Fault::StaleCommandStorm(300)),
    ("equal-numbers", |_| Fault::EqualVersions(8)),
    ("late-evacuation", |d| {
        Fault::LateEvacuation(d.below(6) as usize)
    }),
    ("frozen-evacuation", |d| {
        Fault::FrozenEvacuation(d.below(6) as usize)
    }),
];

/// Five of six places, one machine after the other.
fn drawn_replacements(random: &mut Random, planned: bool) -> Fault {
    let first = random.below(6) as usize;
    let places = (0..5).map(|at| (first + at) % 6).collect();
    Fault::ReplaceVoters {
        places,
        gap: Duration::from_millis(5000 + random.below(3000)),
        planned,
    }
}

/// Every kind by name.
///
/// ```
/// assert!(simulator::fault_names().any(|name| name == "late-answers"));
/// ```
pub fn fault_names() -> impl Iterator<Item = &'static str> + Clone {
    DRAWN_FAULTS
        .iter()
        .chain(EXTRA_FAULTS)
        .map(|(name, _)| *name)
}

/// One fault and its time span.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it is injected, since the start of the run.
    pub at: Duration,
    /// When it is healed.
    pub until: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Plan {
    /// In no special order.
    pub steps: Vec<Step>,
}

impl Plan {
    /// No faults.
    ///
    /// ```
    /// assert!(simulator::Plan::quiet().steps.is_empty());
    /// ```
    pub fn quiet() -> Plan {
        Plan::default()
    }

    /// One fault by name, from 2 s into the load; two with a `+` between.
    ///
    /// ```
    /// use simulator::Plan;
    /// assert_eq!(Plan::named("cold-herd", 1).unwrap().steps.len(), 1);
    /// assert_eq!(Plan::named("loss+freeze", 1).unwrap().steps.len(), 2);
    /// assert!(Plan::named("rain", 1).is_none());
    /// ```
    pub fn named(name: &str, seed: u64) -> Option<Plan> {
        let mut random = Random::new(seed ^ 0x5eed);
        if name == "quiet" {
            return Some(Plan::quiet());
        }
        let drawers: Option<Vec<DrawFault>> = name
            .split('+')
            .map(|part| {
                DRAWN_FAULTS
                    .iter()
                    .chain(EXTRA_FAULTS)
                    .find(|(known, _)| *known == part)
                    .map(|(_, draw)| *draw)
            })
            .collect();
        let steps = drawers?
            .into_iter()
            .map(|draw| Step::drawn(&mut random, draw))
            .collect();
        Some(Plan { steps })
    }

    /// One or two faults, drawn; two may overlap.
    pub(super) fn drawn(random: &mut Random) -> Plan {
        let count = 1 + random.below(2);
        let steps = (0..count).map(|_| {
            let (_, draw) = DRAWN_FAULTS[random.below(DRAWN_FAULTS.len() as u64) as usize];
            Step::drawn(random, draw)
        });
        Plan {
            steps: steps.collect(),
        }
    }
}

impl Step {
    fn drawn(random: &mut Random, draw: DrawFault) -> Step {
        let fault = draw(random);
        let at = match fault {
            Fault::InterruptBootstrap(_) => Duration::from_millis(100 + random.below(1500)),
            _ => LOAD_STARTS_AT + Duration::from_millis(2000 + random.below(6000)),
        };
        let until = match fault {
            Fault::RollingRestart => at + RESTART_EVERY * 15,
            Fault::ReplaceVoters {
                ref places, gap, ..
            } => at + gap * (places.len() as u32 + 1),
            Fault::LongConfigurationStorm(count)
            | Fault::DisksFullInTurn(count)
            | Fault::DisksStallInTurn(count) => at + STORM_GAP * (count + 1) + STORM_SETTLES,
            Fault::EvacuateZonesInTurn => at + MOVE_EVERY * 6,
            // The last address changes hands before it is over.
            Fault::ReuseAddressesUnderKeepAlive(ref upstreams) => {
                at + REUSE_EVERY * (upstreams.len() as u32 + 2)
            }
            Fault::LongPartition { .. } => at + LONG_PARTITION,
            Fault::CommandStorm(_) | Fault::StaleCommandStorm(_) => at + STORM_TAKES,
            Fault::InterruptBootstrap(_) => at + Duration::from_millis(200 + random.below(1000)),
            Fault::Ambush { .. } => at + Duration::from_millis(6000 + random.below(3000)),
            _ => at + Duration::from_millis(1500 + random.below(9000)),
        };
        Step { at, until, fault }
    }
}
