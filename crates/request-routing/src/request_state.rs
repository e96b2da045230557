//! The state of one request, and the rules that all its transitions share.

use crate::distance::Distance;
use crate::health_check::HealthCheck;
use crate::permits::{AdmissionPermit, QueueEntry, SlotPermit};
use crate::proxy_context::ProxyContext;
use crate::recent_sends::ColdUpstream;
use crate::request_info::RequestInfo;
use crate::retry_after::retry_after_for;
use crate::service_stats::ServiceStats;
use crate::stage::{NextStep, RequestStage};
use crate::trace::TraceEvent;
use config::{Route, Service};
use protocol::{KeyShare, Upstream};
use result_code::{Execution, ResultCode};
use std::sync::Arc;
use std::time::Duration;

/// What a request was written to last.
pub(crate) struct WrittenTo {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) share: Option<KeyShare>,
}

/// The load at an upstream when a request was written to it, from which the duration of its work is estimated.
pub(crate) struct LoadAtSend {
    pub(crate) sent_at: Duration,
    pub(crate) load: f64,
    pub(crate) slots: u32,
    pub(crate) distance: Distance,
}

/// One request under way. It holds its slot, its queue entry and its admission as long as it needs them; one whose
/// client hung up gives them back when it is dropped.
pub struct RequestState {
    // Dropped in this order: the slot first, which wakes a queued request, and the admission last.
    pub(crate) slot: Option<SlotPermit>,
    pub(crate) queue_entry: Option<QueueEntry>,
    pub(crate) admission: Option<AdmissionPermit>,
    pub(crate) request: RequestInfo,
    pub(crate) proxy: ProxyContext,
    stage: RequestStage,
    /// The route and the service it is for, as of `revision` of the configuration.
    pub(crate) route: Option<Arc<Route>>,
    pub(crate) service: Option<Arc<Service>>,
    pub(crate) revision: u64,
    /// When its upstream was selected.
    pub(crate) selected_at: Duration,
    /// Connections tried, those that never came up included.
    pub(crate) call_count: u32,
    /// How many upstreams it was written to.
    pub(crate) send_count: u32,
    pub(crate) written_to: Option<WrittenTo>,
    pub(crate) load_at_send: Option<LoadAtSend>,
    /// True once its attempt id was registered.
    pub(crate) is_registered: bool,
    /// True once it was written to any upstream.
    pub(crate) was_written: bool,
    /// Instances that were tried.
    pub(crate) tried: Vec<String>,
    /// The end of the time that it may spend in the admission queue.
    pub(crate) wait_until: Option<Duration>,
    /// A send after which nobody knows whether the request was executed: from then on "not executed" can't be said.
    pub(crate) ambiguous_outcome: Option<ResultCode>,
    /// Health checks that became due by this request.
    pub(crate) health_checks: Vec<HealthCheck>,
    /// Upstreams that turned out to be cold by this request.
    pub(crate) cold_upstreams: Vec<ColdUpstream>,
    pub(crate) trace: Vec<TraceEvent>,
}

impl RequestState {
    /// A request that just came in.
    ///
    /// ```
    /// use request_routing::{RequestState, RequestInfo, ProxyContext, RequestStage};
    /// use std::time::Duration;
    /// let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(*RequestState::new(RequestInfo::default(), proxy).stage(), RequestStage::Waiting);
    /// ```
    pub fn new(request: RequestInfo, proxy: ProxyContext) -> Self {
        RequestState {
            slot: None,
            queue_entry: None,
            admission: None,
            request,
            proxy,
            stage: RequestStage::Waiting,
            route: None,
            service: None,
            revision: 0,
            selected_at: Duration::ZERO,
            call_count: 0,
            send_count: 0,
            written_to: None,
            load_at_send: None,
            is_registered: false,
            was_written: false,
            tried: Vec::new(),
            wait_until: None,
            ambiguous_outcome: None,
            health_checks: Vec::new(),
            cold_upstreams: Vec::new(),
            trace: Vec::new(),
        }
    }

    /// The stage that it is in.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext, RequestStage};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// request_state.start(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(request_state.stage(), RequestStage::Answered { .. }));
    /// ```
    pub fn stage(&self) -> &RequestStage {
        &self.stage
    }

    /// The id of the route that it is on, once that is known.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert_eq!(RequestState::new(RequestInfo::default(), proxy).route_id(), None);
    /// ```
    pub fn route_id(&self) -> Option<&str> {
        self.route.as_ref().map(|route| route.id.as_str())
    }

    /// Ends the request where it is, since its proxy ends: not executed where it was never written to an upstream, else
    /// unknown.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// assert_eq!(request_state.give_up(Duration::ZERO), result_code::ResultCode::ShuttingDown);
    /// ```
    pub fn give_up(&mut self, now: Duration) -> ResultCode {
        let code = match self.was_written {
            true => ResultCode::ResponseLost,
            false => ResultCode::ShuttingDown,
        };
        match self.answer(now, code) {
            NextStep::Answer { code, .. } => code,
            _ => code,
        }
    }

    /// The health checks that became due since the last call; to be called after each step, and to be sent at once.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert!(RequestState::new(RequestInfo::default(), proxy).take_health_checks().is_empty());
    /// ```
    pub fn take_health_checks(&mut self) -> Vec<HealthCheck> {
        std::mem::take(&mut self.health_checks)
    }

    /// The upstreams that turned out to be cold since the last call, after this proxy had sent there as to warm ones.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert!(RequestState::new(RequestInfo::default(), proxy).take_cold_upstreams().is_empty());
    /// ```
    pub fn take_cold_upstreams(&mut self) -> Vec<ColdUpstream> {
        std::mem::take(&mut self.cold_upstreams)
    }

    /// What was decided on the way, in order.
    ///
    /// ```
    /// # use request_routing::{RequestState, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// assert!(RequestState::new(RequestInfo::default(), proxy).into_trace().is_empty());
    /// ```
    pub fn into_trace(self) -> Vec<TraceEvent> {
        self.trace
    }

    /// The one place where the stage changes. An answered request stays answered.
    pub(crate) fn set_stage(&mut self, stage: RequestStage) {
        if !matches!(self.stage, RequestStage::Answered { .. }) {
            self.stage = stage;
        }
    }

    /// Answers the request and gives back all that it holds. After a send whose outcome is ambiguous, a code that says
    /// "not executed" is replaced by that outcome.
    pub(crate) fn answer(&mut self, now: Duration, code: ResultCode) -> NextStep {
        let code = match self.ambiguous_outcome {
            Some(ambiguous) if code.kind() == Execution::NotExecuted => ambiguous,
            _ => code,
        };
        let retry_after = self.retry_after(now, code);
        self.slot = None;
        self.queue_entry = None;
        self.admission = None;
        self.set_stage(RequestStage::Answered { code });
        self.trace.push(TraceEvent::Answered { code });
        NextStep::Answer { code, retry_after }
    }

    fn retry_after(&self, now: Duration, code: ResultCode) -> Option<Duration> {
        // Only a rejection for lack of capacity needs the ratio: it sums whole windows.
        let rejection_ratio = match &self.admission {
            Some(admission) if code == ResultCode::Overloaded => {
                let service_stats = admission.service_stats();
                service_stats.rejected.add(now);
                service_stats.rejection_ratio(now)
            }
            _ => 0.0,
        };
        retry_after_for(code, rejection_ratio, &self.request.attempt_id)
    }

    /// The time left until the client's deadline, or the route's time-out where that comes first.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        let timeout = self.route.as_ref().and_then(|route| route.policy.timeout);
        let given = match timeout {
            Some(timeout) => timeout.min(self.request.remaining),
            None => self.request.remaining,
        };
        (self.request.arrived_at + given).saturating_sub(now)
    }

    pub(crate) fn service_stats(&self) -> Option<&Arc<ServiceStats>> {
        self.admission.as_ref().map(AdmissionPermit::service_stats)
    }
}
