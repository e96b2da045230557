//! The first decision on a request: reject it, forward it to the locality that owns its name, or admit it here.

use crate::distance::Distance;
use crate::permits::AdmissionPermit;
use crate::proxy_stats::ProxyStats;
use crate::request_state::RequestState;
use crate::stage::{NextStep, RequestStage};
use crate::trace::TraceEvent;
use config::{Route, Service};
use name_directory::{OwnershipMode, Proxy, View, is_in_regions};
use result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;

/// How long an attempt id is remembered beyond its deadline.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(10);

/// To how many proxies, in turn, a request may be forwarded.
const MAX_FORWARD_PROXIES: usize = 2;

impl RequestState {
    /// Begins the request: rejects it, forwards it, or admits and dispatches it.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use result_code::ResultCode;
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// let first = request_state.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(first, NextStep::Answer { code: ResultCode::StaleView, .. }), "a view that was never confirmed");
    /// ```
    pub fn start(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        if !self.proxy.may_use(view, now) {
            return self.answer(now, ResultCode::StaleView);
        }
        let Some((route, service)) = self.resolve(view) else {
            return self.answer(now, view.unknown_name_code());
        };
        self.revision = view.revision;
        self.trace.push(TraceEvent::RouteResolved {
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
        match self.proxy.ownership {
            OwnershipMode::PerClientZone => self.admit(now, view, stats, service),
            OwnershipMode::SingleZone => self.admit_or_forward(now, view, stats, route, service),
        }
    }

    /// The route and the service that the request is for.
    fn resolve<'a>(&self, view: &'a View) -> Option<(&'a Arc<Route>, &'a Arc<Service>)> {
        let configuration = &view.configuration;
        let name = configuration.resolve(&self.request.name)?;
        let route = configuration.find_route(name, &self.request.path)?;
        let service = route.select_service(&self.request.attempt_id);
        Some((route, configuration.services.get(service)?))
    }

    /// Where one locality owns the name for everybody: admitted there, and forwarded by those that it moved away from.
    fn admit_or_forward(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        route: &Route,
        service: &Arc<Service>,
    ) -> NextStep {
        let here = self.proxy.locality_text.clone();
        let reservation = view
            .reservations
            .get(&route.name)
            .filter(|reservation| !view.evacuated.contains(&reservation.locality));
        let Some(reservation) = reservation else {
            return self.answer(now, ResultCode::NoOwner);
        };
        self.trace.push(TraceEvent::Owner {
            locality: reservation.locality.clone(),
            epoch: reservation.epoch,
        });
        let tombstone = view.tombstone(&route.name, &here);
        if let Some(tombstone) = tombstone {
            self.trace.push(TraceEvent::Tombstone {
                to: tombstone.to.clone(),
                epoch: tombstone.epoch,
            });
        }
        let may_serve_here = self.may_serve_in(view, service, &here);
        let is_owned_elsewhere = reservation.locality != here;
        if is_owned_elsewhere && (tombstone.is_some() || !may_serve_here) {
            return self.forward(now, view, service, &reservation.locality);
        }
        self.admit(now, view, stats, service)
    }

    /// True where the request may be served by a proxy in this locality.
    fn may_serve_in(&self, view: &View, service: &Service, locality: &str) -> bool {
        is_allowed_in(self.route.as_deref(), service, locality)
            && !view.evacuated.contains(locality)
    }

    /// Admits the request to this proxy, and dispatches it.
    fn admit(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        service: &Arc<Service>,
    ) -> NextStep {
        let service_stats = stats.service(&service.name);
        let admission =
            AdmissionPermit::try_acquire(service_stats.clone(), service.max_concurrency);
        let Some(admission) = admission else {
            return self.answer(now, ResultCode::Overloaded);
        };
        // An admission under an older configuration is given back.
        self.admission = Some(admission);
        self.service = Some(service.clone());
        if !self.is_registered {
            let retention = self.remaining(now) + ATTEMPT_RETENTION;
            if !stats.register_attempt(&self.request.attempt_id, now, retention) {
                return self.answer(now, ResultCode::Duplicate);
            }
            if service.keyed
                && let Some(key) = self.request.key.as_deref()
                && let Some(position) = service.key_position(key)
            {
                service_stats.count_key(position);
                if let Some(homes) = name_directory::home_regions(self.route.as_deref(), service) {
                    service_stats.count_bound(&homes);
                }
            }
        }
        self.is_registered = true;
        self.dispatch(now, view, stats)
    }

    /// This locality does not own the name any more, or may not serve it: one hop to a locality that may, the owner
    /// first.
    fn forward(&mut self, now: Duration, view: &View, service: &Service, owner: &str) -> NextStep {
        // A rejection by the next proxy would be passed on, and may not be once this one has sent it somewhere.
        if self.request.forwarded || self.ambiguous_outcome.is_some() {
            return self.answer(now, ResultCode::Misdirected);
        }
        let within = self.remaining(now);
        let proxies = self.forward_proxies(view, service, owner);
        if proxies.is_empty() {
            return self.answer(now, ResultCode::NoOwner);
        }
        if within.is_zero() {
            return self.answer(now, ResultCode::DeadlineExceeded);
        }
        self.trace.push(TraceEvent::Forwarded {
            to: owner.to_owned(),
        });
        self.set_stage(RequestStage::Sent {
            instance: owner.to_owned(),
        });
        NextStep::Forward { proxies, within }
    }

    /// The addresses of proxies that may serve the request: those not suspected of a failure first, then those nearest
    /// to the owner, spread by a stable hash.
    fn forward_proxies(&self, view: &View, service: &Service, owner: &str) -> Vec<String> {
        let rank = |proxy: &Proxy, locality: &str| {
            let address = proxy.address.clone();
            let tie_breaker =
                random::stable_hash_parts([self.request.attempt_id.as_str(), address.as_str()]);
            let distance = Distance::between(owner, locality);
            (proxy.suspect, distance, tie_breaker, address)
        };
        let mut ranked: Vec<(bool, Distance, u64, String)> = Vec::new();
        for proxy in view.proxies.iter() {
            let locality = proxy.locality.to_string();
            if self.may_serve_in(view, service, &locality) {
                ranked.push(rank(proxy, &locality));
            }
        }
        ranked.sort();
        ranked
            .into_iter()
            .take(MAX_FORWARD_PROXIES)
            .map(|(.., address)| address)
            .collect()
    }
}

/// True where work may go to a locality: the home regions of both the service and the route bind.
pub(crate) fn is_allowed_in(route: Option<&Route>, service: &Service, locality: &str) -> bool {
    route.is_none_or(|route| is_in_regions(&route.policy.home_regions, locality))
        && name_directory::is_allowed_in(service, locality)
}
