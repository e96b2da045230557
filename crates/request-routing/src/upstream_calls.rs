//! Calls to upstreams: the choice is checked again once connected, and each outcome leads to the next step.

use crate::distance::Distance;
use crate::load_estimate::{Load, work_time};
use crate::proxy_stats::ProxyStats;
use crate::request_state::{LoadAtSend, RequestState, WrittenTo};
use crate::selection::find_key_share;
use crate::stage::{CallOutcome, NextStep, RequestStage};
use crate::trace::{RejectReason, TraceEvent};
use crate::upstream_stats::UpstreamStats;
use config::Service;
use name_directory::View;
use protocol::{KeyShare, Upstream};
use result_code::{Execution, ResultCode};
use std::time::Duration;

/// Most connections tried for one request, those that never came up included.
const MAX_CALLS: u32 = 4;

/// A connection that took longer may have waited out a partition: what allowed a request to its upstream is void.
const ALLOWANCE_LIFETIME: Duration = Duration::from_millis(250);

/// Of the time that a request took, at least one part in so many was work, however far its upstream is.
const MAX_WAY_DIVISOR: u32 = 4;

impl RequestState {
    /// A slot may be free, or the time in the admission queue is over: looks for a slot once more.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// let next = request_state.on_wake_up(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(next, NextStep::Answer { .. }), "it waited for nothing");
    /// ```
    pub fn on_wake_up(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        self.trace.push(TraceEvent::WokenUp);
        self.dispatch(now, view, stats)
    }

    /// The connection is up, and nothing was sent. The choice is checked once more, since the process may have been
    /// suspended in between: only what may still go there is written, and else another upstream is selected.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// let next = request_state.on_connected(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(next, NextStep::Answer { .. }), "it had selected nobody");
    /// ```
    pub fn on_connected(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        let (RequestStage::Connecting { upstream, share }, Some(service)) =
            (self.stage().clone(), self.service.clone())
        else {
            return self.answer(now, ResultCode::DeadlineExceeded);
        };
        let withdrawn = self
            .withdrawal_reason(now, view, &service, &upstream, share.as_ref())
            .or_else(|| self.renew_warm_up_allowance(now, view, &service, &upstream));
        if let Some(reason) = withdrawn {
            self.trace
                .push(TraceEvent::SelectionWithdrawn { upstream, reason });
            self.slot = None;
            self.set_stage(RequestStage::Waiting);
            return if self.call_count < MAX_CALLS {
                self.dispatch(now, view, stats)
            } else {
                self.answer(now, ResultCode::Overloaded)
            };
        }
        if !self.was_written {
            self.was_written = true;
            if let Some(service_stats) = self.service_stats() {
                service_stats.retry_budget.record_first_send(now);
            }
        }
        self.send_count += 1;
        self.load_at_send = self.slot.as_ref().map(|slot| LoadAtSend {
            sent_at: now,
            load: slot.upstream_stats().load(now),
            slots: upstream.slots,
            distance: Distance::between(&self.proxy.locality_text, &upstream.locality),
        });
        self.set_stage(RequestStage::Sent {
            instance: upstream.instance.clone(),
        });
        self.written_to = Some(WrittenTo {
            upstream: upstream.clone(),
            share: share.clone(),
        });
        self.trace.push(TraceEvent::Sent { upstream });
        NextStep::Send {
            share,
            within: self.remaining(now),
        }
    }

    /// The reused connection that the request was to be written on had ended, and no byte of it left this process: the
    /// same upstream is called on a new connection, and the choice checked again.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// let next = request_state.on_not_written(Duration::ZERO);
    /// assert!(matches!(next, NextStep::Answer { .. }), "it was to be written nowhere");
    /// ```
    pub fn on_not_written(&mut self, now: Duration) -> NextStep {
        let is_sent = matches!(self.stage(), RequestStage::Sent { .. });
        let written_to = self.written_to.take().filter(|_| is_sent);
        let Some(WrittenTo { upstream, share }) = written_to else {
            return self.answer(now, ResultCode::DeadlineExceeded);
        };
        self.send_count -= 1;
        self.trace.push(TraceEvent::NotWritten {
            upstream: upstream.clone(),
        });
        self.set_stage(RequestStage::Connecting {
            upstream: upstream.clone(),
            share,
        });
        NextStep::Connect {
            upstream,
            within: self.remaining(now),
        }
    }

    /// Why the selected upstream may not be used any more.
    fn withdrawal_reason(
        &self,
        now: Duration,
        view: &View,
        service: &Service,
        selected: &Upstream,
        share: Option<&KeyShare>,
    ) -> Option<RejectReason> {
        let is_stale = !self.proxy.may_use(view, now) || view.revision != self.revision;
        if is_stale || self.remaining(now).is_zero() {
            return Some(RejectReason::Removed);
        }
        let present = view
            .upstreams
            .get(&service.name)
            .and_then(|upstreams| upstreams.get(&selected.instance))
            .filter(|upstream| upstream.address == selected.address);
        let Some(upstream) = present else {
            return Some(RejectReason::Removed);
        };
        let selection = self.selection(now, view, service, share);
        if let Some(reason) = selection.reject_reason(upstream) {
            return Some(reason);
        }
        let share_changed =
            service.keyed && find_key_share(view, service, &self.request).as_ref() != share;
        share_changed.then_some(RejectReason::KeyOwnedElsewhere)
    }

    /// Takes the warm-up allowance anew where connecting took long; why the upstream may not be used, where there is none.
    fn renew_warm_up_allowance(
        &mut self,
        now: Duration,
        view: &View,
        service: &Service,
        selected: &Upstream,
    ) -> Option<RejectReason> {
        if now < self.selected_at + ALLOWANCE_LIFETIME {
            return None;
        }
        let upstream = view.upstreams.get(&service.name)?.get(&selected.instance)?;
        let mut notes = self.take_notes();
        let allowed = self.slot.as_ref().map(|slot| {
            let selection = self.selection(now, view, service, None);
            let partition = selection.partition();
            selection.take_warm_up_allowance(slot.upstream_stats(), upstream, partition, &mut notes)
        });
        self.keep_notes(notes);
        allowed?.err()
    }

    /// Records the load that the upstream reported with its response; to be called before
    /// [`RequestState::on_outcome`].
    ///
    /// ```
    /// # use request_routing::{RequestState, Load, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// RequestState::new(RequestInfo::default(), proxy).record_load(Duration::ZERO, Load::default());
    /// ```
    pub fn record_load(&self, now: Duration, load: Load) {
        if let Some(slot) = &self.slot {
            slot.upstream_stats().record_load(now, load);
        }
    }

    /// The outcome of a call: passes the response, retries where that is safe and allowed, or answers.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, CallOutcome, ProxyContext};
    /// # use std::time::Duration;
    /// # let proxy = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use result_code::ResultCode;
    /// let mut request_state = RequestState::new(RequestInfo::default(), proxy);
    /// let next = request_state.on_outcome(Duration::ZERO, &Default::default(), &Default::default(), CallOutcome::ResponseLost);
    /// assert!(matches!(next, NextStep::Answer { code: ResultCode::ResponseLost, .. }), "never retried blindly");
    /// ```
    pub fn on_outcome(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        outcome: CallOutcome,
    ) -> NextStep {
        let was_written = self.written_to.take().is_some();
        if was_written && outcome == CallOutcome::NotConnected {
            // The connection came up and ended before a byte went out.
            self.send_count -= 1;
        }
        self.record_outcome(now, &outcome);
        let had_slot = self.slot.take().is_some();
        let code = outcome.result_code();
        if outcome == CallOutcome::Complete {
            self.answer(now, code);
            return NextStep::PassResponse;
        }
        if self.ambiguous_outcome.is_none() && code.kind() == Execution::Unknown {
            self.ambiguous_outcome = Some(code);
        }
        if had_slot && self.take_retry(now, view, code) {
            self.trace.push(TraceEvent::Retried { after: code });
            return self.dispatch(now, view, stats);
        }
        let answer = self.answer(now, code);
        // The client gets what the upstream says of its failure.
        if outcome == CallOutcome::Failed {
            NextStep::PassResponse
        } else {
            answer
        }
    }

    /// Records an outcome in the counts of the upstream that was called.
    fn record_outcome(&self, now: Duration, outcome: &CallOutcome) {
        let Some(slot) = &self.slot else {
            return;
        };
        let upstream_stats = slot.upstream_stats();
        upstream_stats
            .ejection
            .record(now, outcome.is_own_response());
        match outcome {
            CallOutcome::NotExecuted => {
                // An owner of keys may also reject because a key range just moved.
                let is_keyed = self.service.as_ref().is_some_and(|service| service.keyed);
                upstream_stats.slot_limit.record_full(
                    now,
                    upstream_stats.in_flight(),
                    u32::from(is_keyed),
                );
            }
            CallOutcome::InstanceReplaced | CallOutcome::InstanceReplacedNotExecuted => {
                upstream_stats.mark_replaced();
            }
            CallOutcome::Complete => {
                if let Some(sent) = &self.load_at_send {
                    self.record_duration(now, sent, upstream_stats);
                }
            }
            _ => {}
        }
    }

    /// Records how long a request took that was answered completely.
    fn record_duration(&self, now: Duration, sent: &LoadAtSend, upstream_stats: &UpstreamStats) {
        let took = now.saturating_sub(sent.sent_at);
        // Where no slots are told, requests are only sent where one is free.
        let work = match sent.slots {
            0 => took,
            slots => work_time(took, sent.load, slots),
        };
        if sent.slots > 0 {
            upstream_stats
                .load_estimate
                .record_duration(took, sent.load, sent.slots);
        }
        let service = self.service.as_ref().filter(|service| service.keyed);
        if service.is_some()
            && let Some(service_stats) = self.service_stats()
        {
            let distance_ms = self.proxy.distance_cost.of(sent.distance);
            let on_the_way = Duration::from_secs_f64(distance_ms / 1000.0);
            service_stats.record_work(work.saturating_sub(on_the_way).max(work / MAX_WAY_DIVISOR));
        }
    }

    /// True where the request may be sent to another upstream after this code; takes a retry from the budget for it.
    fn take_retry(&self, now: Duration, view: &View, code: ResultCode) -> bool {
        let is_safe = self.is_idempotent() || code.kind() == Execution::NotExecuted;
        if !is_safe
            || self.call_count >= MAX_CALLS
            || self.send_count >= self.max_attempts()
            || self.remaining(now).is_zero()
        {
            return false;
        }
        // Where no connection came up, nothing was sent: going elsewhere is no retry.
        if code == ResultCode::RetryBudgetExhausted {
            return true;
        }
        self.service_stats().is_some_and(|service_stats| {
            service_stats.retry_budget.try_take(now, view.proxies.len())
        })
    }

    /// True where the request may be executed more than once; what the route says goes before what the service says.
    fn is_idempotent(&self) -> bool {
        let by_route = self
            .route
            .as_ref()
            .and_then(|route| route.policy.idempotent);
        by_route.unwrap_or_else(|| {
            self.service
                .as_ref()
                .is_some_and(|service| service.idempotent)
        })
    }

    /// How many upstreams the request may be written to.
    fn max_attempts(&self) -> u32 {
        let by_route = self
            .route
            .as_ref()
            .and_then(|route| route.policy.max_attempts);
        by_route.unwrap_or(MAX_CALLS)
    }
}
