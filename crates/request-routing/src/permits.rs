//! What a request holds while it is under way. Each is given back when it is dropped.

use crate::service_stats::ServiceStats;
use crate::upstream_stats::UpstreamStats;
use std::sync::Arc;

/// Counts a request as in progress at this proxy.
pub(crate) struct AdmissionPermit {
    service_stats: Arc<ServiceStats>,
}

impl AdmissionPermit {
    /// Admits a request; none where `max_concurrency` are in progress.
    pub(crate) fn try_acquire(
        service_stats: Arc<ServiceStats>,
        max_concurrency: u64,
    ) -> Option<Self> {
        service_stats
            .try_admit(max_concurrency)
            .then_some(AdmissionPermit { service_stats })
    }

    pub(crate) fn service_stats(&self) -> &Arc<ServiceStats> {
        &self.service_stats
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.service_stats.release_admission();
    }
}

/// A slot at an upstream. Its release wakes the first queued request that could use it.
pub(crate) struct SlotPermit {
    upstream_stats: Arc<UpstreamStats>,
    service_stats: Arc<ServiceStats>,
    instance: String,
}

impl SlotPermit {
    /// The permit for a slot that was taken from `upstream_stats`.
    pub(crate) fn for_acquired(
        upstream_stats: Arc<UpstreamStats>,
        service_stats: Arc<ServiceStats>,
        instance: String,
    ) -> Self {
        SlotPermit {
            upstream_stats,
            service_stats,
            instance,
        }
    }

    pub(crate) fn upstream_stats(&self) -> &UpstreamStats {
        &self.upstream_stats
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.upstream_stats.release();
        self.service_stats.wake_first(Some(&self.instance));
    }
}

/// A request's entry in a service's admission queue.
pub(crate) struct QueueEntry {
    service_stats: Arc<ServiceStats>,
    ticket: u64,
}

impl QueueEntry {
    /// The entry of the request that was enqueued under `ticket`.
    pub(crate) fn for_ticket(service_stats: Arc<ServiceStats>, ticket: u64) -> Self {
        QueueEntry {
            service_stats,
            ticket,
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.service_stats.dequeue(self.ticket);
    }
}
