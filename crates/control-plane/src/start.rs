//! What a control node is started with.

use name_directory::{ConfigurationParser, OwnershipMode};
use protocol::{Departure, DurableState, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// Intervals, leases and timeouts of a control node.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Of the replicated register.
    pub register: quorum_register::RegisterTiming,
    /// Of the membership protocol.
    pub membership: membership::MembershipTiming,
    /// Of the placement lease.
    pub lease: lease::LeaseTiming,
    /// Of the placement of names.
    pub placement: name_directory::PlacementTimes,
    /// How long key shares are granted for.
    pub share_span: Duration,
    /// An upstream without a heartbeat for so long is dropped.
    pub upstream_silent: Duration,
    /// A state that no majority confirmed for so long is served no more.
    pub stale_after: Duration,
    /// Where grants are waited out, one step of the clock counts for no more than this.
    pub longest_step: Duration,
}

/// What a control node is started with.
pub struct Start {
    /// This node, as the membership knows it.
    pub me: Member,
    /// Addresses of other nodes.
    pub seeds: Vec<String>,
    /// How many nodes a bootstrap needs.
    pub initial_voter_count: usize,
    /// Seed of the node's random numbers; unlike that of any earlier process of the same name.
    pub seed: u64,
    /// How configurations are parsed.
    pub reader: ConfigurationParser,
    /// Who owns a name.
    pub owners: OwnershipMode,
    /// The register's state on disk.
    pub durable: DurableState,
    /// The configurations on disk, by digest.
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// Departures that an earlier process wrote in its last minute.
    pub departures: Vec<Departure>,
    /// Intervals and timeouts.
    pub times: Times,
}
