//! Deliberate defects of the simulated system, each of which a checker must catch.

use std::time::Duration;

/// What a deliberately defective system does wrong, to show that the checkers catch it. The default has no defects.
#[derive(Clone, Copy, Debug)]
pub struct Defects {
    /// After this without an update a view counts as stale.
    pub stale_after: Duration,
    /// How long clients may use what the directory answered.
    pub lifetime: Duration,
    /// Disks report a sync as done, and lose it in a power loss.
    pub disks_lose_synced_writes: bool,
    /// A disk's first error ends its voter's participation until its process is restarted.
    pub first_disk_error_is_final: bool,
    /// Disks delete configurations by the times of their files, on a clock that jumped back: the newest go first, whatever
    /// refers to them.
    pub deletes_newest_configurations: bool,
    /// No node takes the place of a voter that is lost.
    pub never_replaces_voters: bool,
    /// Proxies pass on whatever an upstream says, and report a lost response as not executed.
    pub trusts_any_response: bool,
    /// Upstreams hold their keys this much longer than their leases allow.
    pub lease_overrun: Duration,
    /// Upstreams with numeric keys accept responses that came late, or to a heartbeat that a newer one overtook.
    pub accepts_late_grants: bool,
    /// Configurations are parsed without their operators' versions.
    pub ignores_versions: bool,
    /// Control nodes send data-plane nodes nothing before they know all upstreams.
    pub withholds_upstream_views: bool,
    /// Data-plane nodes' counts of requests by key are lost.
    pub drops_key_counts: bool,
    /// The operators' configurations lack the home regions.
    pub omits_home_regions: bool,
    /// Upstreams that drain announce it to nobody.
    pub drains_unannounced: bool,
    /// What an upstream holds counts as released once it deregistered: a heartbeat that lists nothing follows in its name.
    pub lists_no_keys_after_deregistering: bool,
    /// Proxies do not check their choice of an upstream again once they are connected.
    pub skips_check_after_connect: bool,
    /// Clocks stand still while a machine is suspended.
    pub clock_stops_while_suspended: bool,
    /// The lease holder counts whatever its clock jumps ahead as time in which leases expire.
    pub lease_counts_clock_jumps: bool,
    /// No observer asks the nodes which revision they have: only traffic shows it.
    pub revisions_unobserved: bool,
    /// Proxies have no budget for retries.
    pub unlimited_retry_budget: bool,
    /// Proxies take every upstream for warm.
    pub ignores_warm_up: bool,
    /// Proxies take whatever comes next on a reused connection for the response.
    pub accepts_any_response_on_connection: bool,
    /// A control node takes every peer to agree with it: whatever it asks them counts as answered.
    pub forges_peer_agreement: bool,
    /// A control node takes a departure as known to its peers as soon as it has sent it.
    pub skips_departure_acks: bool,
    /// Nodes answer reads from their own disks.
    pub reads_local_disk_only: bool,
    /// A command under a version that is taken is confirmed.
    pub confirms_version_conflicts: bool,
    /// Every sending of a command is taken for a new one.
    pub reexecutes_commands: bool,
    /// The first proxy gets no update of the placement.
    pub withholds_placement_changes: bool,
}

impl Default for Defects {
    fn default() -> Self {
        let span = Duration::from_millis(2000);
        Defects {
            stale_after: span,
            lifetime: span,
            disks_lose_synced_writes: false,
            first_disk_error_is_final: false,
            deletes_newest_configurations: false,
            never_replaces_voters: false,
            trusts_any_response: false,
            lease_overrun: Duration::ZERO,
            accepts_late_grants: false,
            ignores_versions: false,
            withholds_upstream_views: false,
            drops_key_counts: false,
            omits_home_regions: false,
            drains_unannounced: false,
            lists_no_keys_after_deregistering: false,
            skips_check_after_connect: false,
            clock_stops_while_suspended: false,
            lease_counts_clock_jumps: false,
            revisions_unobserved: false,
            unlimited_retry_budget: false,
            ignores_warm_up: false,
            forges_peer_agreement: false,
            skips_departure_acks: false,
            reads_local_disk_only: false,
            confirms_version_conflicts: false,
            reexecutes_commands: false,
            withholds_placement_changes: false,
            accepts_any_response_on_connection: false,
        }
    }
}
