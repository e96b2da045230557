//! What an upstream's warmth allows a request: by the view's heartbeats, by health answers, or by turns of slow start.

use super::{DEFAULT_WORK_MS, Selection, SelectionNotes};
use crate::cold_tolerance::{ColdTolerance, RequestRate};
use crate::health_check::HealthCheck;
use crate::proxy_partition::ProxyPartition;
use crate::recent_sends::{ColdNews, ColdUpstream};
use crate::trace::RejectReason;
use crate::upstream_stats::UpstreamStats;
use crate::warm_up_checks::{HeartbeatTrust, Warmth, WarmthAssessment};
use protocol::Upstream;
use std::sync::Arc;

impl Selection<'_> {
    /// Takes what an upstream's warmth allows: a request more, one of a health answer's, or a turn of slow start.
    pub(crate) fn take_warm_up_allowance(
        &self,
        stats: &UpstreamStats,
        upstream: &Arc<Upstream>,
        partition: ProxyPartition,
        notes: &mut SelectionNotes,
    ) -> Result<(), RejectReason> {
        let WarmthAssessment { warmth, basis, .. } = self.warmth(stats, upstream, partition, notes);
        let allowed = match warmth {
            Warmth::Warm => Ok(()),
            Warmth::Unconfirmed { is_answer_near } => {
                Err(RejectReason::WarmthUnconfirmed { is_answer_near })
            }
            Warmth::WarmingUp => self.take_slow_start_turn(stats, partition),
        };
        if allowed.is_ok() {
            stats.warm_up_checks.record_send(self.now, basis);
        }
        allowed
    }

    fn take_slow_start_turn(
        &self,
        stats: &UpstreamStats,
        partition: ProxyPartition,
    ) -> Result<(), RejectReason> {
        let per_second = self.service.warm_up_per_second;
        let validity = self.cold_tolerance().turn_validity();
        stats
            .slow_start
            .try_take(self.now, per_second, partition, validity)
            .then_some(())
            .ok_or(RejectReason::WarmingUp)
    }

    /// Whether an upstream is warm: by its heartbeats, and where it gets more than it bears while cold also by its
    /// answers to this proxy's health checks.
    fn warmth(
        &self,
        stats: &UpstreamStats,
        upstream: &Arc<Upstream>,
        partition: ProxyPartition,
        notes: &mut SelectionNotes,
    ) -> WarmthAssessment {
        if !upstream.warm {
            if let Some(sends) = stats.warm_up_checks.note_cold(self.now) {
                notes.cold_upstreams.push(ColdUpstream {
                    service: upstream.service.clone(),
                    instance: upstream.instance.clone(),
                    news: ColdNews::Heartbeat,
                    sends,
                });
            }
            return WarmthAssessment::SLOW_START;
        }
        let Some(path) = &self.service.health_path else {
            return WarmthAssessment::WARM_BY_HEARTBEAT;
        };
        let tolerance = self.cold_tolerance();
        let rate = self.request_rate(stats, upstream, partition);
        let trust = self.heartbeat_trust(upstream);
        let assessment = stats
            .warm_up_checks
            .assess(self.now, rate, tolerance, trust);
        if assessment.is_check_due {
            notes.health_checks.push(HealthCheck {
                upstream: upstream.clone(),
                path: path.clone(),
                sent_at: self.now,
            });
        }
        assessment
    }

    fn cold_tolerance(&self) -> ColdTolerance {
        ColdTolerance::new(
            self.proxy.warm_up_tolerance,
            self.service.warm_up_per_second,
        )
    }

    /// Whether the view's word that an upstream is warm is good for anything.
    fn heartbeat_trust(&self, upstream: &Upstream) -> HeartbeatTrust {
        match self.view.may_lack_heartbeats(self.now, &upstream.locality) {
            true => HeartbeatTrust::Missing,
            false => HeartbeatTrust::Current,
        }
    }

    /// How many requests per second an upstream gets from all proxies by the best estimate, one more of this proxy's
    /// included. Where it has reported no load, the other proxies are taken to send as much as this one does over a
    /// longer time, up to what it can execute.
    fn request_rate(
        &self,
        stats: &UpstreamStats,
        upstream: &Upstream,
        partition: ProxyPartition,
    ) -> RequestRate {
        let own = stats.warm_up_checks.own_rate(self.now) + 1.0;
        let reported =
            stats
                .load_estimate
                .others_per_second(self.now, upstream.slots, DEFAULT_WORK_MS);
        let others = reported.unwrap_or_else(|| {
            let steady = stats.warm_up_checks.own_steady_rate(self.now);
            let as_this_one = steady * f64::from(partition.proxies.saturating_sub(1));
            match upstream.slots {
                0 => as_this_one,
                slots => as_this_one.min(stats.load_estimate.max_rate(slots, DEFAULT_WORK_MS)),
            }
        });
        RequestRate {
            own,
            total: own + others,
            proxies: partition.proxies,
        }
    }
}
