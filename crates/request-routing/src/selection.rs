//! Selection of an upstream for a request.
//!
//! Three steps, each with its own reasons to pass an upstream over:
//!
//! 1. **Filters** ([`Selection::reject_reason`]): draining upstreams, evacuated localities, localities outside the home
//!    regions of the service or the route, and instances that do not own the request's key are never used. Instances
//!    that this request tried already, and those that another instance replaced, are left out too.
//! 2. **Rank** ([`Selection::rank`]): the rest is sorted. Upstreams that are not ejected come first. Where upstreams
//!    report their load, the estimated cost of one more request (work, waiting and distance) decides: those that
//!    would answer well within the latency target come first, nearest first, then the cheapest. Where they report free
//!    slots only, the nearest come first, then those with the fewest requests of this proxy in flight. A stable hash
//!    of the attempt id and the instance spreads requests over what is equally good.
//! 3. **Acquisition** ([`Selection::try_acquire`]): the first in this order that has a free slot for this proxy, and is
//!    warm or has its slow-start turn, is taken. One that gets more than it would bear while cold must have confirmed
//!    lately that it is warm ([`WarmUpChecks`](crate::WarmUpChecks)); while its answer may come at any moment, no farther
//!    upstream is taken in its place.

mod warm_up;

use crate::admission::is_allowed_in;
use crate::distance::Distance;
use crate::health_check::HealthCheck;
use crate::permits::SlotPermit;
use crate::proxy_context::ProxyContext;
use crate::proxy_partition::ProxyPartition;
use crate::proxy_stats::ProxyStats;
use crate::recent_sends::ColdUpstream;
use crate::request_info::RequestInfo;
use crate::service_stats::ServiceStats;
use crate::slot_limit::ReportedSlots;
use crate::trace::{RejectReason, TraceEvent};
use crate::upstream_stats::UpstreamStats;
use config::{Route, Service};
use name_directory::View;
use protocol::{KeyShare, Upstream};
use std::sync::Arc;
use std::time::Duration;

/// After a change of who sends to a service, all proxies may be sending until their views have caught up.
const SENDERS_SETTLE: Duration = Duration::from_secs(3);

/// How long work is taken to last at an upstream that none was seen to end at.
const DEFAULT_WORK_MS: f64 = 100.0;

/// An answer is wanted by this part of its latency target, so that chance leaves most of them within it.
const LATENCY_TARGET_MARGIN: f64 = 0.6;

/// Costs are compared in tenths of a millisecond.
const COST_UNITS_PER_MS: f64 = 10.0;

/// The order of selection, smallest first. The order of the fields is the order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_ejected: bool,
    /// The answer would be late for the latency target.
    is_late: bool,
    distance: Distance,
    /// Estimated cost where the upstream reports its load, else this proxy's requests in flight there.
    cost: u32,
    /// Spreads requests over equally good upstreams.
    tie_breaker: u64,
}

/// An upstream that passed the filters.
struct Candidate<'a> {
    rank: Rank,
    stats: Arc<UpstreamStats>,
    upstream: &'a Arc<Upstream>,
}

/// The upstream that was selected, with the slot that was taken there.
pub(crate) struct Selected {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) slot: SlotPermit,
}

/// What a selection leaves behind beside its result.
pub(crate) struct SelectionNotes {
    /// Upstreams that were passed over are noted here.
    pub(crate) trace: Vec<TraceEvent>,
    /// Health checks that became due.
    pub(crate) health_checks: Vec<HealthCheck>,
    /// Upstreams that turned out to be cold.
    pub(crate) cold_upstreams: Vec<ColdUpstream>,
    /// The answer to a health check of a nearer upstream is worth waiting for.
    pub(crate) awaits_health_answer: bool,
}

/// What one selection goes by.
pub(crate) struct Selection<'a> {
    pub(crate) now: Duration,
    pub(crate) view: &'a View,
    pub(crate) proxy: &'a ProxyContext,
    pub(crate) request: &'a RequestInfo,
    pub(crate) route: Option<&'a Route>,
    pub(crate) service: &'a Service,
    /// The key range that the request's key is in, where the service has keys.
    pub(crate) key_share: Option<&'a KeyShare>,
    /// Whether the request may wait.
    pub(crate) may_wait: bool,
}

impl Selection<'_> {
    /// Selects the best upstream that may be used and has a slot, and takes the slot. Upstreams in `tried` are left
    /// out.
    pub(crate) fn select(
        &self,
        stats: &ProxyStats,
        service_stats: &Arc<ServiceStats>,
        tried: &[String],
        notes: &mut SelectionNotes,
    ) -> Option<Selected> {
        let mut awaited: Option<Distance> = None;
        for candidate in self.candidates(stats, tried, &mut notes.trace) {
            let Candidate {
                stats, upstream, ..
            } = candidate;
            let distance = Distance::between(&self.proxy.locality_text, &upstream.locality);
            if awaited.is_some_and(|awaited| distance > awaited) {
                break;
            }
            let acquired = self.try_acquire(&stats, upstream, notes);
            if let Err(reason) = acquired {
                if self.may_wait && reason.is_answer_near() {
                    awaited = Some(awaited.map_or(distance, |nearest| nearest.min(distance)));
                }
                notes.trace.push(TraceEvent::UpstreamRejected {
                    upstream: upstream.clone(),
                    reason,
                });
                continue;
            }
            let instance = upstream.instance.clone();
            return Some(Selected {
                upstream: upstream.clone(),
                slot: SlotPermit::for_acquired(stats, service_stats.clone(), instance),
            });
        }
        notes.awaits_health_answer = awaited.is_some();
        None
    }

    /// The upstreams that pass the filters, best first.
    fn candidates(
        &self,
        stats: &ProxyStats,
        tried: &[String],
        trace: &mut Vec<TraceEvent>,
    ) -> Vec<Candidate<'_>> {
        let Some(upstreams) = self.view.upstreams.get(&self.service.name) else {
            return Vec::new();
        };
        let mut candidates: Vec<Candidate> = Vec::new();
        for upstream in upstreams.values() {
            let stats = stats.upstream(&upstream.instance);
            let reason = self.reject_reason(upstream).or_else(|| {
                if tried.contains(&upstream.instance) {
                    Some(RejectReason::AlreadyTried)
                } else if stats.is_replaced() {
                    Some(RejectReason::InstanceReplaced)
                } else {
                    None
                }
            });
            match reason {
                Some(reason) => trace.push(TraceEvent::UpstreamRejected {
                    upstream: upstream.clone(),
                    reason,
                }),
                None => candidates.push(Candidate {
                    rank: self.rank(&stats, upstream),
                    stats,
                    upstream,
                }),
            }
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        candidates
    }

    /// What keeps the request from an upstream, whenever it is asked: at selection, and just before the first byte.
    pub(crate) fn reject_reason(&self, upstream: &Upstream) -> Option<RejectReason> {
        if upstream.state() != protocol::UpstreamState::Ready {
            return Some(RejectReason::Draining);
        }
        if self.view.evacuated.contains(&upstream.locality) {
            return Some(RejectReason::Evacuated);
        }
        if !is_allowed_in(self.route, self.service, &upstream.locality) {
            return Some(RejectReason::OutsideHomes);
        }
        match self.key_share {
            Some(share) if share.instance != upstream.instance => {
                Some(RejectReason::KeyOwnedElsewhere)
            }
            _ => None,
        }
    }

    fn rank(&self, stats: &UpstreamStats, upstream: &Upstream) -> Rank {
        let distance = Distance::between(&self.proxy.locality_text, &upstream.locality);
        let in_flight = stats.in_flight();
        let tie_breaker = random::stable_hash_parts([
            self.request.attempt_id.as_str(),
            upstream.instance.as_str(),
        ]);
        let is_ejected = stats.ejection.is_ejected(self.now);
        if upstream.slots == 0 {
            return Rank {
                is_ejected,
                is_late: false,
                distance,
                cost: in_flight,
                tie_breaker,
            };
        }
        let cost_ms = stats.load_estimate.cost_ms(
            self.now,
            in_flight,
            upstream.slots,
            self.proxy.distance_cost.of(distance),
            DEFAULT_WORK_MS,
        );
        let is_late = cost_ms.is_none_or(|cost_ms| cost_ms > self.wanted_within_ms());
        Rank {
            is_ejected,
            is_late,
            // Traffic between localities is costly, so the near are used as long as they are in time; among the late
            // ones only time counts.
            distance: if is_late {
                Distance::SameZone
            } else {
                distance
            },
            cost: cost_ms.map_or(u32::MAX, |cost_ms| (cost_ms * COST_UNITS_PER_MS) as u32),
            tie_breaker,
        }
    }

    /// How long an answer may take from now on to be well within its latency target, in milliseconds.
    fn wanted_within_ms(&self) -> f64 {
        let target = self
            .route
            .and_then(|route| route.policy.latency_target)
            .unwrap_or(self.request.remaining);
        let spent = self.now.saturating_sub(self.request.arrived_at);
        let wanted_within = target.mul_f64(LATENCY_TARGET_MARGIN).saturating_sub(spent);
        wanted_within.as_secs_f64() * 1000.0
    }

    /// This proxy's position among those that send to the service's upstreams; among all proxies, as long as it is not
    /// settled who sends.
    pub(crate) fn partition(&self) -> ProxyPartition {
        let senders = &self.view.senders;
        let is_settled = self.now >= senders.since + SENDERS_SETTLE;
        let among_senders = senders
            .rank_of(&self.service.name, &self.proxy.node)
            .filter(|_| is_settled);
        let (proxies, rank) = among_senders.unwrap_or_else(|| self.rank_among_all_proxies());
        ProxyPartition {
            proxies: proxies as u32,
            rank: rank as u32,
        }
    }

    fn rank_among_all_proxies(&self) -> (usize, usize) {
        let proxies = &self.view.proxies;
        let rank = proxies
            .iter()
            .position(|proxy| proxy.node == self.proxy.node);
        (proxies.len().max(1), rank.unwrap_or(0))
    }

    /// Takes a slot at an upstream. A slot taken where the upstream's warm-up forbids a request is given back at once.
    fn try_acquire(
        &self,
        stats: &UpstreamStats,
        upstream: &Arc<Upstream>,
        notes: &mut SelectionNotes,
    ) -> Result<(), RejectReason> {
        let partition = self.partition();
        let limit = self.in_flight_limit(stats, upstream, partition);
        if !limit.is_some_and(|limit| stats.try_acquire(limit)) {
            return Err(RejectReason::NoSlot);
        }
        let allowed = self.take_warm_up_allowance(stats, upstream, partition, notes);
        if allowed.is_err() {
            stats.release();
        }
        allowed
    }

    /// How many requests this proxy may have in flight at an upstream; none where its load estimate says it is filled.
    fn in_flight_limit(
        &self,
        stats: &UpstreamStats,
        upstream: &Upstream,
        partition: ProxyPartition,
    ) -> Option<u32> {
        if upstream.slots > 0 {
            let own = stats.in_flight();
            let cost_ms =
                stats
                    .load_estimate
                    .cost_ms(self.now, own, upstream.slots, 0.0, DEFAULT_WORK_MS);
            // It estimates what others send too: no fixed division among proxies is needed.
            return cost_ms.map(|_| u32::MAX);
        }
        let reported = ReportedSlots {
            heartbeat: upstream.heartbeat_number,
            free: upstream.free_slots,
        };
        let limit =
            stats
                .slot_limit
                .max_in_flight(self.now, stats.in_flight(), reported, partition);
        Some(limit)
    }
}

/// The key range that a request's key is in, with the instance that owns it; none where the service has no keys, the
/// request none, or nobody owns it.
pub(crate) fn find_key_share(
    view: &View,
    service: &Service,
    request: &RequestInfo,
) -> Option<KeyShare> {
    if !service.keyed {
        return None;
    }
    let key = request.key.as_deref()?;
    let position = service.key_position(key)?;
    let shares = view.shares.get(&service.name)?;
    shares
        .iter()
        .find(|share| (share.from..share.until).contains(&position))
        .cloned()
}
