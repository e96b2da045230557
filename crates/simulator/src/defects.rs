//! Deliberate defects of the simulated system, each of which a checker must catch.

use std::time::Duration;

/// What a deliberately broken system does wrong, to show that the checkers see it. The default is the real one.
#[derive(Clone, Copy, Debug)]
pub struct Defects {
    pub stale_after: Duration,
    pub lifetime: Duration,
    /// Disks tell that they synced, and lose it in a power cut.
    pub disks_lose_synced_writes: bool,
    /// A disk's first failure ends its voter's part until its process is started again.
    pub first_disk_error_is_final: bool,
    /// Disks thin out setups by the times of their files, on a clock that jumped back: the newest go first, whatever refers
    /// to them.
    pub deletes_newest_configurations: bool,
    /// Nobody takes the place of a voter that is gone.
    pub never_replaces_voters: bool,
    /// Proxies pass on whatever an upstream says, and call a lost verdict busy.
    pub trusts_any_response: bool,
    /// Upstreams hold their shares this much longer than they may.
    pub lease_overrun: Duration,
    /// Upstreams with numeric keys take answers that came late, or to a beat that a newer one overtook.
    pub accepts_late_grants: bool,
    /// Configurations are read without their operators' numbers.
    pub ignores_versions: bool,
    /// Postmasters tell carriers nothing before they know all upstreams.
    pub withholds_upstream_views: bool,
    /// Carriers' counts of requests by key reach nobody.
    pub drops_key_counts: bool,
    /// The operators' setups leave the home regions out.
    pub omits_home_regions: bool,
    /// Upstreams that leave say so to nobody.
    pub drains_unannounced: bool,
    /// What an upstream holds counts as let go once it signed off: a heartbeat that lists nothing follows in its name.
    pub lists_no_keys_after_deregistering: bool,
    /// Proxies do not judge again, once connected, what they chose.
    pub skips_check_after_connect: bool,
    /// Clocks stand still while a machine is suspended.
    pub clock_stops_while_suspended: bool,
    /// The lease holder counts whatever its clock jumps ahead as time in which holds run out.
    pub lease_counts_clock_jumps: bool,
    /// Nobody asks the nodes which edition they have: only traffic shows it.
    pub revisions_unobserved: bool,
    /// Proxies have no budget for resends.
    pub unlimited_retry_budget: bool,
    /// Proxies take every upstream for warm.
    pub ignores_warm_up: bool,
    /// Proxies take whatever comes next on a kept connection for the answer.
    pub accepts_any_response_on_connection: bool,
    /// A control node takes every other for in agreement with it: whatever it asks them counts as answered.
    pub forges_peer_agreement: bool,
    /// A control node takes a departure for known by the others as soon as it has told them.
    pub skips_departure_acks: bool,
    /// Nodes read back what their own disk holds.
    pub reads_local_disk_only: bool,
    /// An order under a number that is taken is confirmed.
    pub confirms_version_conflicts: bool,
    /// Every sending of an order is taken for a new one.
    pub reexecutes_commands: bool,
    /// The first proxy is told of no change of the placement.
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
