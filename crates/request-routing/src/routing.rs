//! The first decision on a request: deny it, forward it to the locality that owns its name, or serve it here.

use crate::choosing::region;
use crate::request_state::RequestState;
use crate::stats::ProxyStats;
use crate::steps::{NextStep, RequestStage};
use crate::trace::TraceEvent;
use config::{Route, Service};
use name_directory::{OwnershipMode, View, is_allowed_in, is_in_regions};
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a try id is remembered beyond its deadline.
const TRY_LIFE: Duration = Duration::from_secs(10);

impl RequestState {
    /// The first decision: deny, forward by a mark, or call.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use result_code::ResultCode;
    /// let mut request_state = RequestState::new(RequestInfo::default(), site);
    /// let first = request_state.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(first, NextStep::Answer { code: ResultCode::StaleView, .. }), "a view that was never confirmed");
    /// ```
    pub fn start(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        if !self.site.may_use(view, now) {
            return self.answer(now, ResultCode::StaleView);
        }
        let name = view.configuration.resolve(&self.request.name);
        let route = name.and_then(|name| view.configuration.find_route(name, &self.request.path));
        let service = |route: &Arc<Route>| {
            view.configuration
                .services
                .get(route.select_service(&self.request.attempt_id))
        };
        let found = route.and_then(|route| service(route).map(|service| (route, service)));
        let Some((route, service)) = found else {
            return self.answer(now, ResultCode::NoSuchName);
        };
        self.revision = view.revision;
        self.notes.push(TraceEvent::RouteResolved {
            name: self.request.name.clone(),
            route: route.clone(),
            revision: view.revision,
        });
        self.route = Some(route.clone());
        if self.request.body_bytes > service.max_body_bytes {
            return self.answer(now, ResultCode::TooLarge);
        }
        if service.keyed && self.request.key.is_none() {
            return self.answer(now, ResultCode::MissingKey);
        }
        match self.site.ownership {
            OwnershipMode::PerClientZone => self.serve(now, view, stats, service),
            OwnershipMode::SingleZone => self.serve_or_forward(now, view, stats, route, service),
        }
    }

    /// Where one locality owns the name for everybody: served there, and forwarded from where it was left.
    fn serve_or_forward(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        route: &Route,
        service: &Arc<Service>,
    ) -> NextStep {
        let here = self.site.here.clone();
        let reservation = view.reservations.get(&route.name);
        let Some(reservation) =
            reservation.filter(|owned| !view.evacuated.contains(&owned.locality))
        else {
            return self.answer(now, ResultCode::NoOwner);
        };
        self.notes.push(TraceEvent::Owner {
            locality: reservation.locality.clone(),
            epoch: reservation.epoch,
        });
        let home = self.is_allowed_in(service, &here) && !view.evacuated.contains(&here);
        let mark = view.tombstones.get(&(route.name.clone(), here.clone()));
        self.notes.extend(mark.map(|mark| TraceEvent::Tombstone {
            to: mark.to.clone(),
            epoch: mark.epoch,
        }));
        let away = reservation.locality != here && (mark.is_some() || !home);
        if away {
            return self.forward(now, view, service, &reservation.locality);
        }
        self.serve(now, view, stats, service)
    }

    /// True where its work may go there: both its service's and its route's home regions bind.
    pub(crate) fn is_allowed_in(&self, service: &Service, place: &str) -> bool {
        let route = self
            .route
            .as_ref()
            .is_none_or(|route| is_in_regions(&route.policy.home_regions, place));
        route && is_allowed_in(service, place)
    }

    /// Served by this proxy.
    fn serve(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        service: &Arc<Service>,
    ) -> NextStep {
        let desk = stats.service(&service.name);
        if desk.serving.fetch_add(1, Ordering::AcqRel) >= service.max_concurrency {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
            return self.answer(now, ResultCode::Overloaded);
        }
        self.leave_desk();
        self.desk = Some(desk);
        self.service = Some(service.clone());
        if !self.opened
            && !stats.open_attempt(&self.request.attempt_id, now, self.left(now) + TRY_LIFE)
        {
            return self.answer(now, ResultCode::Duplicate);
        }
        if !self.opened && service.numeric_keys {
            let key = self
                .request
                .key
                .as_deref()
                .and_then(|key| service.key_position(key));
            key.zip(self.desk.as_ref())
                .into_iter()
                .for_each(|(key, desk)| desk.count_key(key));
        }
        self.opened = true;
        self.choose(now, view, stats)
    }

    /// This locality does not own the name any more, or may not carry it: one hop to one that does.
    fn forward(&mut self, now: Duration, view: &View, service: &Service, owner: &str) -> NextStep {
        // A denial by the next proxy would be passed on, and may not be once this one has sent it somewhere.
        if self.request.forwarded || self.doubt.is_some() {
            return self.answer(now, ResultCode::Misdirected);
        }
        let able =
            |place: &str| self.is_allowed_in(service, place) && !view.evacuated.contains(place);
        let places = view.proxies.iter().map(|proxy| {
            (
                proxy.locality.to_string(),
                proxy.address.clone(),
                proxy.suspect,
            )
        });
        let region = region(owner);
        let mut able: Vec<(bool, u8, u64, String)> = places
            .filter(|(place, ..)| able(place))
            .map(|(place, address, suspect)| {
                let near = if place == owner {
                    0
                } else {
                    1 + u8::from(self::region(&place) != region)
                };
                (
                    suspect,
                    near,
                    random::stable_hash_parts([self.request.attempt_id.as_str(), address.as_str()]),
                    address,
                )
            })
            .collect();
        able.sort();
        let within = self.left(now);
        let proxies: Vec<String> = able
            .into_iter()
            .take(2)
            .map(|(.., address)| address)
            .collect();
        if proxies.is_empty() {
            return self.answer(now, ResultCode::NoOwner);
        }
        if within.is_zero() {
            return self.answer(now, ResultCode::DeadlineExceeded);
        }
        self.notes.push(TraceEvent::Forwarded {
            to: owner.to_owned(),
        });
        self.turn(RequestStage::Sent {
            instance: owner.to_owned(),
        });
        NextStep::Forward { proxies, within }
    }
}
