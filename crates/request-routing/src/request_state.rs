//! One request's way: an explicit state and one function for every change of it.

use crate::choosing::Place;
use crate::proxy_context::ProxyContext;
use crate::request_info::RequestInfo;
use crate::retry_after::retry_after_for;
use crate::stats::{ProxyStats, ServiceStats, UpstreamStats};
use crate::steps::{NextStep, RequestStage};
use crate::trace::TraceEvent;
use config::{Route, Service};
use name_directory::View;
use protocol::{KeyShare, Upstream};
use result_code::{Execution, ResultCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// One request under way.
pub struct RequestState {
    pub(crate) request: RequestInfo,
    pub(crate) site: ProxyContext,
    pub(crate) stage: RequestStage,
    /// The route and the service it is for, as of this edition.
    pub(crate) route: Option<Arc<Route>>,
    pub(crate) service: Option<Arc<Service>>,
    pub(crate) revision: u64,
    pub(crate) calls: u32,
    /// How many upstreams it was written to.
    pub(crate) sends: u32,
    /// What it was written to last.
    pub(crate) sent_to: Option<(Arc<Upstream>, Option<KeyShare>)>,
    /// When it was written last, and to how many requests on how many slots.
    pub(crate) sent_at: Option<(Duration, f64, u32)>,
    /// True once its try id was noted.
    pub(crate) opened: bool,
    /// True once it was written to any upstream.
    pub(crate) written: bool,
    pub(crate) tried: Vec<String>,
    pub(crate) seat: Option<(Arc<UpstreamStats>, String)>,
    pub(crate) desk: Option<Arc<ServiceStats>>,
    pub(crate) place: Option<Place>,
    pub(crate) wait_until: Option<Duration>,
    /// A send whose outcome nobody knows: from then on it can't be said that nothing ran.
    pub(crate) doubt: Option<ResultCode>,
    pub(crate) notes: Vec<TraceEvent>,
}

impl RequestState {
    /// A request that was just enrolled.
    ///
    /// ```
    /// use request_routing::{RequestState, RequestInfo, ProxyContext, RequestStage};
    /// use std::time::Duration;
    /// let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(*RequestState::new(RequestInfo::default(), site).stage(), RequestStage::Waiting);
    /// ```
    pub fn new(request: RequestInfo, site: ProxyContext) -> Self {
        RequestState {
            request,
            site,
            stage: RequestStage::Waiting,
            route: None,
            service: None,
            revision: 0,
            calls: 0,
            sends: 0,
            sent_to: None,
            sent_at: None,
            opened: false,
            written: false,
            tried: Vec::new(),
            seat: None,
            desk: None,
            place: None,
            wait_until: None,
            doubt: None,
            notes: Vec::new(),
        }
    }

    /// Where it stands.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext, RequestStage};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), site);
    /// request_state.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(request_state.stage(), RequestStage::Answered { .. }));
    /// ```
    pub fn stage(&self) -> &RequestStage {
        &self.stage
    }

    /// What was decided on the way, for a trace.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert!(RequestState::new(RequestInfo::default(), site).into_trace().is_empty());
    /// ```
    pub fn into_trace(mut self) -> Vec<TraceEvent> {
        std::mem::take(&mut self.notes)
    }

    /// The one place where the stage changes. An answered request stays answered, and after the first send
    /// only an outcome of that send can answer it.
    pub(crate) fn turn(&mut self, stage: RequestStage) {
        if !matches!(self.stage, RequestStage::Answered { .. }) {
            self.stage = stage;
        }
    }

    pub(crate) fn answer(&mut self, now: Duration, code: ResultCode) -> NextStep {
        let code = self
            .doubt
            .filter(|_| code.kind() == Execution::NotExecuted)
            .unwrap_or(code);
        // Only a denial for want of room asks for the pressure: it sums whole windows.
        let crowded = self
            .desk
            .as_ref()
            .filter(|_| code == ResultCode::Overloaded);
        let pressure = crowded.map(|desk| {
            desk.rejected.add(now);
            desk.pressure(now)
        });
        let pressure = pressure.unwrap_or_default();
        let retry_after = retry_after_for(code, pressure, &self.request.attempt_id);
        self.leave_seat();
        self.leave_place();
        self.leave_desk();
        self.turn(RequestStage::Answered { code });
        self.notes.push(TraceEvent::Answered { code });
        NextStep::Answer { code, retry_after }
    }

    pub(crate) fn leave_desk(&mut self) {
        self.desk.take().iter().for_each(|desk| {
            desk.serving.fetch_sub(1, Ordering::AcqRel);
        });
    }

    /// Gives the seat back and calls whoever waits for it first.
    pub(crate) fn leave_seat(&mut self) {
        self.seat.take().iter().for_each(|(seat, instance)| {
            seat.release();
            self.desk.iter().for_each(|desk| desk.wake(Some(instance)));
        });
    }

    pub(crate) fn leave_place(&mut self) {
        self.place
            .take()
            .iter()
            .for_each(|place| place.desk.leave(place.ticket));
    }

    pub(crate) fn left(&self, now: Duration) -> Duration {
        let timeout = self.route.as_ref().and_then(|route| route.policy.timeout);
        let given = timeout.map_or(self.request.remaining, |timeout| {
            timeout.min(self.request.remaining)
        });
        (self.request.arrived_at + given).saturating_sub(now)
    }
}

/// What would be decided for a request at this moment, with the seats, ejections and budgets as they are; nothing is
/// taken, counted or noted of it.
///
/// ```
/// use request_routing::{ProxyStats, RequestInfo, ProxyContext, explain};
/// use std::time::Duration;
/// let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
/// let stats = ProxyStats::default();
/// let notes = explain(RequestInfo::default(), &site, Duration::ZERO, &Default::default(), &stats);
/// assert!(notes[0].to_string().starts_with("answered: 1202"));
/// ```
pub fn explain(
    request: RequestInfo,
    site: &ProxyContext,
    now: Duration,
    view: &View,
    stats: &ProxyStats,
) -> Vec<TraceEvent> {
    // A copy of the counts takes what the real ones would have given.
    let copy = stats.copy();
    let mut request_state = RequestState::new(
        request,
        ProxyContext {
            wait_for: Duration::ZERO,
            ..site.clone()
        },
    );
    request_state.start(now, view, &copy);
    request_state.into_trace()
}

/// A request whose origin hung up gives its places back.
impl Drop for RequestState {
    fn drop(&mut self) {
        self.leave_seat();
        self.leave_place();
        self.leave_desk();
    }
}
