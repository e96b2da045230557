//! What is broken in a run, when, and how it heals.

use super::connections::ConnectionFaults;
use super::world::LOAD_STARTS_AT;
use random::Random;
use std::time::Duration;

/// A fault. Machines, zones and upstreams are numbers, taken modulo what there is.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    KillMachine(usize),
    /// Several machines at once.
    KillMachines(Vec<usize>),
    /// Power and disk of one machine are lost; it comes back blank.
    WipeMachine(usize),
    /// Its state is found rotten when it starts again.
    CorruptConfigurations(usize),
    Freeze(usize),
    SlowDisk(usize),
    FailDisk(usize),
    /// A sync hangs, and goes on much later.
    HangDisk(usize),
    /// The power goes in the middle of a write, and the state can't be read any more.
    TearStateWrite(usize),
    /// Two disks are lost at the same moment, while setups are submitted.
    WipeTwo(usize),
    /// The power is lost at this write from now on, before or right after it is synced; a blank disk mends meanwhile.
    PowerLossAtWrite {
        machine: usize,
        write: u32,
        synced: bool,
        wiped: bool,
    },
    PartitionMachine(usize),
    /// It hears, but nobody hears it.
    DropOutbound(usize),
    /// It speaks, but hears nobody.
    DropInbound(usize),
    PartitionZone(usize),
    PartitionRegion(usize),
    ZonePowerLoss(usize),
    RegionPowerLoss(usize),
    PacketLoss(u64),
    RollingRestart,
    CrashUpstreams(Vec<usize>),
    /// Leave with notice, and be replaced by a new instance on the same address.
    RollUpstreams(Vec<usize>),
    /// Sign off without having left before, serve on, and are replaced by a new instance on the same address.
    DeregisterBeforeDraining(Vec<usize>),
    /// Vanish, and the address is taken by another service.
    ReuseAddress(usize),
    /// Every so-many-th upstream comes back cold.
    RestartCold(usize),
    LoseResponses(usize),
    GarbleResponses(usize),
    /// Every upstream of the first service garbles: a release that went wrong.
    BadRelease,
    PauseUpstream(usize),
    Evacuate(usize),
    /// A zone is evacuated while it is cut off.
    EvacuatePartitionedZone(usize),
    ConfigurationStorm,
    OperatorRace,
    KillPlacementHolder,
    FreezePlacementHolder,
    /// While the voters found themselves, some are killed, one of them with its disk.
    InterruptBootstrap(Vec<usize>),
    /// One key takes most of the traffic.
    HotKey,
    /// Every upstream of the region-bound services vanishes.
    CrashHomeUpstreams,
    /// The next proxy that opens a connection is frozen at that moment; meanwhile the upstream it chose leaves, or
    /// its zone is evacuated.
    Ambush {
        evacuate: bool,
    },
    /// New upstreams start empty and cold; later they leave with notice.
    AddUpstreams(usize),
    /// One zone after another is evacuated and taken back, so that names move on while marks are in use.
    EvacuateZonesInTurn,
    /// A machine's clock jumps ahead.
    JumpClock(usize, Duration),
    /// The placement holder's clock jumps ahead.
    JumpPlacementHolderClock(Duration),
    /// A part of the answers to beats with numeric keys takes up to 1.5 s longer.
    DelayGrants,
    /// A setup every 120 ms, so many in all, while a disk is slow; then all postmasters are killed.
    LongConfigurationStorm(u32),
    /// Machines of voters, one after the other in these places, are gone for good; an empty one comes for each 1 s
    /// later, or 5 s earlier where it is planned. Meanwhile setups come.
    ReplaceVoters {
        places: Vec<usize>,
        gap: Duration,
        planned: bool,
    },
    /// The machine in this place is gone, and another is there or comes.
    ReplaceOne {
        place: usize,
        planned: bool,
    },
    /// Takes no more writes, and tries each again until it does.
    RefuseDisk(usize),
    /// In a storm of so many setups, one disk after the other takes no more writes for a while; then all postmasters are
    /// killed.
    DisksFullInTurn(u32),
    /// The same with disks that answer nothing for a while.
    DisksStallInTurn(u32),
    /// Operators race with numbers of their own, again and again; the step tells how often.
    VersionRace(u32),
    /// So many of a thousand answers to operators are lost; the same order is sent again, to another node.
    LoseCommandResults(u64),
    /// Orders and their answers come late, doubled and in any order.
    ReorderCommands,
    /// So many orders of all kinds, up to eight under way at once.
    CommandStorm(u32),
    /// The same, and at the end the oldest are sent again.
    StaleCommandStorm(u32),
    /// Two operators offer different setups under one number at the same moment, to two nodes, so many times.
    EqualVersions(u32),
    /// A zone is evacuated and taken back; the order to evacuate comes again before and after that, to other nodes.
    LateEvacuation(usize),
    /// An order without an id to evacuate a zone lies in a frozen node's sockets, while the zone is evacuated by another
    /// node and taken back.
    FrozenEvacuation(usize),
    /// A setup is accepted, and all postmasters end at that moment.
    RestartControlNodes,
    KillControlNodes,
    /// Ends politely: what it has to do, it does, and nothing is lost.
    StopMachine(usize),
    /// A control machine is cut off from the others for some twenty seconds, while operators and upstreams reach it.
    LongPartition {
        machine: usize,
        how: LongPartition,
    },
    /// One control machine is cut off from all other machines.
    PartitionFromPeers {
        machine: usize,
        receives: bool,
        sends: bool,
    },
    /// Operators send orders, and upstreams say that they leave, to this machine first.
    RouteCommandsTo(usize),
    /// Proxies keep connections, and upstreams behave like this on them.
    Connections(ConnectionFaults),
    /// Proxies keep connections, and some upstreams vanish while others take their addresses.
    ReuseAddressesUnderKeepAlive(Vec<usize>),
}

/// How a control machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPartition {
    BothWays,
    /// It hears, but nobody hears it.
    DropOutbound,
    /// It speaks, but hears nobody.
    DropInbound,
    /// On and off, with less than a second between.
    Flapping,
    /// Its processes are restarted meanwhile.
    Restarted,
    /// The settings name it first, and other machines are restarted with them.
    Seeds,
}

/// How long such a cut lasts.
pub(super) const LONG_PARTITION: Duration = Duration::from_secs(20);

/// How long a rolling restart gives each machine.
pub(super) const RESTART_EVERY: Duration = Duration::from_millis(4500);
/// Between two setups of a long storm.
pub(super) const STORM_GAP: Duration = Duration::from_millis(120);
/// From a long storm's last setup until all postmasters are killed: everything is decided by then.
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

/// How long a storm of hundreds of orders may take.
const STORM_TAKES: Duration = Duration::from_secs(25);
/// How long after each other addresses change hands.
pub(super) const REUSE_EVERY: Duration = Duration::from_millis(700);

type DrawFault = fn(&mut Random) -> Fault;

/// Every kind of fault, as a seed draws it.
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
        Fault::RollUpstreams((0..6).map(|_| d.below(99) as usize).collect())
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

/// Further kinds, which no seed draws by itself: so the drawn plans of known seeds stay as they were.
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

/// One fault and its span.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub until: Duration,
    pub fault: Fault,
}

/// What a run breaks.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Plan {
    pub steps: Vec<Step>,
}

impl Plan {
    /// Nothing is broken.
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
