//! Which upstream a request goes to, and what happens where none has a seat.

use crate::request_state::RequestState;
use crate::stats::{ProxyStats, ServiceStats, UpstreamStats};
use crate::steps::{NextStep, RequestStage};
use crate::trace::{RejectReason, TraceEvent};
use config::Service;
use name_directory::View;
use protocol::{KeyShare, Upstream};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Until the others' views have caught up with a change of who sends, all proxies may be sending.
const SENDERS_SETTLE: Duration = Duration::from_secs(3);

/// How long work is thought to take at an upstream that none was seen to end at.
const USUAL_WORK_MS: f64 = 100.0;

/// An answer is wanted by this part of its target, so that chance leaves most of them in time.
const WELL_IN_TIME: f64 = 0.6;

/// Ejected ones last, those that would be late behind those in time, then nearness, cost or places taken, and an even
/// spread.
type Rank = (bool, bool, u8, u32, u64);

/// A place in a waitlist.
pub(crate) struct Place {
    pub desk: Arc<ServiceStats>,
    pub ticket: u64,
}

impl RequestState {
    /// Chooses an upstream and takes a seat there, or a place in the waitlist.
    pub(crate) fn choose(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        let (Some(service), Some(desk)) = (self.service.clone(), self.desk.clone()) else {
            return self.answer(now, ResultCode::NoSuchName);
        };
        if self.left(now).is_zero() {
            return self.answer(now, ResultCode::DeadlineExceeded);
        }
        // The view may have aged, or the route changed, while the request waited.
        if !self.site.may_use(view, now) {
            return self.answer(now, ResultCode::StaleView);
        }
        if view.revision != self.revision {
            self.leave_place();
            return self.start(now, view, stats);
        }
        let share = self.share(view, &service);
        if service.keyed && share.is_none() {
            return self.answer(now, ResultCode::KeyUnassigned);
        }
        let wants = share.as_ref().map(|share| share.instance.as_str());
        // Whoever came before goes first.
        let behind =
            self.place.is_none() && self.site.wait_for > Duration::ZERO && desk.has_waiting(wants);
        let chosen = if behind {
            None
        } else {
            self.seated(now, view, stats, &service, share.as_ref())
        };
        match chosen {
            None => self.wait(now, &desk, wants),
            Some(upstream) => {
                self.calls += 1;
                self.tried.push(upstream.instance.clone());
                self.notes.push(TraceEvent::Connecting {
                    upstream: upstream.clone(),
                });
                self.turn(RequestStage::Connecting {
                    upstream: upstream.clone(),
                    share,
                });
                if self.place.is_some() {
                    // There may be room for the next one too.
                    self.leave_place();
                    desk.wake(None);
                }
                NextStep::Connect {
                    upstream,
                    within: self.left(now),
                }
            }
        }
    }

    /// A place in the waitlist, for a set span and never for more than half of the time left.
    fn wait(&mut self, now: Duration, desk: &Arc<ServiceStats>, wants: Option<&str>) -> NextStep {
        let until = *self
            .wait_until
            .get_or_insert(now + self.site.wait_for.min(self.left(now) / 2));
        if now >= until {
            return self.answer(now, ResultCode::Overloaded);
        }
        if self.place.is_none() {
            let key = random::stable_hash(
                self.request
                    .key
                    .as_deref()
                    .unwrap_or(&self.request.attempt_id),
            );
            let place = desk.join(key, wants, self.request.wake_up.clone());
            self.place = place.map(|ticket| Place {
                desk: desk.clone(),
                ticket,
            });
            if self.place.is_none() {
                return self.answer(now, ResultCode::Overloaded);
            }
            self.notes.push(TraceEvent::Queued {
                within: until - now,
            });
        }
        self.turn(RequestStage::Waiting);
        NextStep::Wait {
            within: until - now,
        }
    }

    pub(crate) fn share(&self, view: &View, service: &Service) -> Option<KeyShare> {
        let slot = self
            .request
            .key
            .as_deref()
            .filter(|_| service.keyed)
            .and_then(|key| service.key_position(key))?;
        let shares = view.shares.get(&service.name)?;
        shares
            .iter()
            .find(|share| (share.from..share.until).contains(&slot))
            .cloned()
    }

    /// The best of those that may do it and have a seat.
    fn seated(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        service: &Service,
        share: Option<&KeyShare>,
    ) -> Option<Arc<Upstream>> {
        let all = view
            .upstreams
            .get(&service.name)
            .into_iter()
            .flat_map(|known| known.values());
        let mut able: Vec<(Rank, Arc<UpstreamStats>, &Arc<Upstream>)> = Vec::new();
        all.for_each(|upstream| {
            let seat = stats.upstream(&upstream.instance);
            let tried = Some(RejectReason::AlreadyTried)
                .filter(|_| self.tried.contains(&upstream.instance));
            let replaced = Some(RejectReason::InstanceReplaced)
                .filter(|_| seat.replaced.load(Ordering::Acquire));
            match self
                .barred(view, service, share, upstream)
                .or(tried)
                .or(replaced)
            {
                Some(why) => self.notes.push(TraceEvent::UpstreamRejected {
                    upstream: upstream.clone(),
                    why,
                }),
                None => able.push((self.rank(now, &seat, upstream), seat, upstream)),
            }
        });
        able.sort_by_key(|(rank, ..)| *rank);
        let chosen = able.into_iter().find(|(_, seat, upstream)| {
            let why = self.take_seat(now, view, seat, service, upstream).err();
            self.notes
                .extend(why.map(|why| TraceEvent::UpstreamRejected {
                    upstream: (*upstream).clone(),
                    why,
                }));
            why.is_none()
        });
        chosen.map(|(_, seat, upstream)| {
            self.seat = Some((seat, upstream.instance.clone()));
            upstream.clone()
        })
    }

    /// Own locality, own region, other home regions; ejected ones last; the least taken first.
    fn rank(&self, now: Duration, seat: &UpstreamStats, upstream: &Upstream) -> Rank {
        let place = upstream.locality.as_str();
        let near = if place == self.site.here {
            0
        } else {
            1 + u8::from(region(place) != self.site.locality.region)
        };
        let taken = seat.in_flight.load(Ordering::Acquire);
        let spread = random::stable_hash_parts([
            self.request.attempt_id.as_str(),
            upstream.instance.as_str(),
        ]);
        if upstream.slots > 0 {
            let far_ms = [0.0, self.site.far_ms.0, self.site.far_ms.1][usize::from(near.min(2))];
            let cost =
                seat.load_estimate
                    .cost_ms(now, taken, upstream.slots, far_ms, USUAL_WORK_MS);
            let late = cost.is_none_or(|cost| cost > self.wanted_ms(now));
            // Bytes that cross are dear, so the near are taken as long as they are in time.
            let near = if late { 0 } else { near };
            return (
                seat.is_ejected(now),
                late,
                near,
                cost.map_or(u32::MAX, |cost| (cost * 10.0) as u32),
                spread,
            );
        }
        (seat.is_ejected(now), false, near, taken, spread)
    }

    /// How long an answer may take from now on to be well in time, in milliseconds.
    fn wanted_ms(&self, now: Duration) -> f64 {
        let target = self
            .route
            .as_ref()
            .and_then(|route| route.policy.latency_target)
            .unwrap_or(self.request.remaining);
        let spent = now.saturating_sub(self.request.arrived_at);
        target
            .mul_f64(WELL_IN_TIME)
            .saturating_sub(spent)
            .as_secs_f64()
            * 1000.0
    }

    /// What keeps the request from an upstream, whenever it is judged: when it is chosen, and just before the first byte.
    pub(crate) fn barred(
        &self,
        view: &View,
        service: &Service,
        share: Option<&KeyShare>,
        upstream: &Upstream,
    ) -> Option<RejectReason> {
        let bars: [(RejectReason, &dyn Fn() -> bool); 4] = [
            (RejectReason::Draining, &|| upstream.condition != 0),
            (RejectReason::Evacuated, &|| {
                view.evacuated.contains(&upstream.locality)
            }),
            (RejectReason::OutsideHomes, &|| {
                !self.is_allowed_in(service, &upstream.locality)
            }),
            (RejectReason::KeyOwnedElsewhere, &|| {
                share.is_some_and(|share| share.instance != upstream.instance)
            }),
        ];
        bars.iter().find(|(_, bars)| bars()).map(|(why, _)| *why)
    }

    /// Among how many proxies an upstream's room is divided, and which of them this one is.
    fn division(&self, now: Duration, view: &View, service: &Service) -> (u32, u32) {
        let senders = view.senders.rank_of(&service.name, &self.site.node);
        let settled = senders.filter(|_| now >= view.senders.since + SENDERS_SETTLE);
        let anyone = || {
            let rank = view
                .proxies
                .iter()
                .position(|proxy| proxy.node == self.site.node)
                .unwrap_or(0);
            (view.proxies.len().max(1), rank)
        };
        let (count, rank) = settled.unwrap_or_else(anyone);
        (count as u32, rank as u32)
    }

    fn take_seat(
        &self,
        now: Duration,
        view: &View,
        seat: &UpstreamStats,
        service: &Service,
        upstream: &Upstream,
    ) -> Result<(), RejectReason> {
        let (proxies, rank) = self.division(now, view, service);
        if upstream.slots > 0 {
            let own = seat.in_flight.load(Ordering::Acquire);
            let room = seat
                .load_estimate
                .cost_ms(now, own, upstream.slots, 0.0, USUAL_WORK_MS)
                .is_some();
            if !room || !seat.try_acquire(u32::MAX) {
                return Err(RejectReason::NoSlot);
            }
            return self.warm_seat(now, seat, service, upstream, (proxies, rank));
        }
        let most = seat.most(now, upstream.beat, upstream.free_slots, (proxies, rank));
        if !seat.try_acquire(most) {
            return Err(RejectReason::NoSlot);
        }
        self.warm_seat(now, seat, service, upstream, (proxies, rank))
    }

    /// The seat that was taken is given back where the upstream is cold and this proxy's part of its rate is used up.
    fn warm_seat(
        &self,
        now: Duration,
        seat: &UpstreamStats,
        service: &Service,
        upstream: &Upstream,
        (proxies, rank): (u32, u32),
    ) -> Result<(), RejectReason> {
        let warm = upstream.warm
            || seat.warm_up(now, service.warm_up_per_second, proxies.into(), rank.into());
        if !warm {
            seat.release();
        }
        warm.then_some(()).ok_or(RejectReason::WarmingUp)
    }
}

pub(crate) fn region(place: &str) -> &str {
    place.split('/').next().unwrap_or_default()
}
