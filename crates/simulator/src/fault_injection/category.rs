//! Which part of the system a fault strikes.

use crate::faults::Fault;

/// The part of the system that a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Category {
    /// Machines and their processes: crashes, restarts, freezes, clocks, replacement.
    Machine,
    /// Disks of control nodes.
    Disk,
    /// Links between machines, and connections to upstreams.
    Network,
    /// Upstreams, and the load on them.
    Upstream,
    /// Operators' commands and the way to the control nodes.
    Operator,
}

impl Category {
    /// The category of a fault.
    #[expect(clippy::too_many_lines, reason = "one line for each fault")]
    pub(super) fn of(fault: &Fault) -> Category {
        match fault {
            Fault::KillMachine(_)
            | Fault::KillMachines(_)
            | Fault::WipeMachine(_)
            | Fault::Freeze(_)
            | Fault::ZonePowerLoss(_)
            | Fault::RegionPowerLoss(_)
            | Fault::RollingRestart
            | Fault::StopMachine(_)
            | Fault::InterruptBootstrap(_)
            | Fault::KillControlNodes
            | Fault::RestartControlNodes
            | Fault::KillPlacementHolder
            | Fault::FreezePlacementHolder
            | Fault::JumpPlacementHolderClock(_)
            | Fault::JumpClock(..)
            | Fault::ReplaceVoters { .. }
            | Fault::ReplaceOne { .. }
            | Fault::Ambush { .. } => Category::Machine,
            Fault::CorruptConfigurations(_)
            | Fault::SlowDisk(_)
            | Fault::FailDisk(_)
            | Fault::HangDisk(_)
            | Fault::RefuseDisk(_)
            | Fault::TearStateWrite(_)
            | Fault::WipeTwo(_)
            | Fault::PowerLossAtWrite { .. }
            | Fault::DisksFullInTurn(_)
            | Fault::DisksStallInTurn(_) => Category::Disk,
            Fault::PartitionMachine(_)
            | Fault::DropOutbound(_)
            | Fault::DropInbound(_)
            | Fault::PartitionZone(_)
            | Fault::PartitionRegion(_)
            | Fault::PacketLoss(_)
            | Fault::LongPartition { .. }
            | Fault::PartitionFromPeers { .. }
            | Fault::SplitControlNodes(_)
            | Fault::Connections(_)
            | Fault::ReuseAddressesUnderKeepAlive(_) => Category::Network,
            Fault::CrashUpstreams(_)
            | Fault::RestartUpstreams(_)
            | Fault::DeregisterBeforeDraining(_)
            | Fault::ReuseAddress(_)
            | Fault::RestartCold(_)
            | Fault::LoseResponses(_)
            | Fault::GarbleResponses(_)
            | Fault::BadRelease
            | Fault::PauseUpstream(_)
            | Fault::HotKey
            | Fault::CrashHomeUpstreams
            | Fault::AddUpstreams(_)
            | Fault::DelayGrants => Category::Upstream,
            Fault::Evacuate(_)
            | Fault::EvacuatePartitionedZone(_)
            | Fault::EvacuateZonesInTurn
            | Fault::ConfigurationStorm
            | Fault::OperatorRace
            | Fault::LongConfigurationStorm(_)
            | Fault::VersionRace(_)
            | Fault::EqualVersions(_)
            | Fault::LoseCommandResults(_)
            | Fault::ReorderCommands
            | Fault::CommandStorm(_)
            | Fault::StaleCommandStorm(_)
            | Fault::LateEvacuation(_)
            | Fault::FrozenEvacuation(_)
            | Fault::RouteCommandsTo(_) => Category::Operator,
        }
    }

    /// Ends the run: a fault reached the code of this category, and isn't known there.
    pub(super) fn cannot_handle(self, fault: &Fault) -> ! {
        unreachable!("{fault:?} is unknown to the category {self:?}")
    }
}
