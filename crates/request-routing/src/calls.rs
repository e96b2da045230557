//! Calls to upstreams: judged again once connected, and what follows from their outcomes.

use crate::load::Load;
use crate::request_state::RequestState;
use crate::stats::ProxyStats;
use crate::steps::{CallOutcome, NextStep, RequestStage};
use crate::trace::{RejectReason, TraceEvent};
use config::Service;
use name_directory::View;
use protocol::{KeyShare, Upstream};
use result_code::{Execution, ResultCode};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Most connections tried for one request, those that never came up included.
const MAX_CALLS: u32 = 4;

impl RequestState {
    /// The bell rang, or the waiting is over: one more look for a seat.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), site);
    /// let next = request_state.on_wake_up(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(next, NextStep::Answer { .. }), "it waited for nothing");
    /// ```
    pub fn on_wake_up(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        self.notes.push(TraceEvent::WokenUp);
        self.choose(now, view, stats)
    }

    /// The connection is up, and nothing was sent. The choice is judged once more, since the process may have
    /// stood still in between: only what may still go there is written, and else another is chosen.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), site);
    /// let next = request_state.on_connected(Duration::ZERO, &Default::default(), &Default::default());
    /// assert!(matches!(next, NextStep::Answer { .. }), "it had chosen nobody");
    /// ```
    pub fn on_connected(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        let (RequestStage::Connecting { upstream, share }, Some(service)) =
            (self.stage.clone(), self.service.clone())
        else {
            return self.answer(now, ResultCode::DeadlineExceeded);
        };
        let withdrawn = self.withdrawn(now, view, &service, &upstream, share.as_ref());
        let within = self.left(now);
        if let Some(why) = withdrawn {
            self.notes
                .push(TraceEvent::SelectionWithdrawn { upstream, why });
            self.leave_seat();
            self.turn(RequestStage::Waiting);
            return if self.calls < MAX_CALLS {
                self.choose(now, view, stats)
            } else {
                self.answer(now, ResultCode::Overloaded)
            };
        }
        if !self.written {
            self.written = true;
            self.desk.iter().for_each(|desk| desk.first_sends.add(now));
        }
        self.sends += 1;
        self.sent_at = self
            .seat
            .as_ref()
            .map(|(seat, _)| (now, seat.load(now), upstream.slots));
        self.turn(RequestStage::Sent {
            instance: upstream.instance.clone(),
        });
        self.sent_to = Some((upstream.clone(), share.clone()));
        self.notes.push(TraceEvent::Sent { upstream });
        NextStep::Send { share, within }
    }

    /// The kept connection that it was to be written on had ended, and no byte of it left this process: the same
    /// upstream is called on a new one, and the choice judged again.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// let mut request_state = RequestState::new(RequestInfo::default(), site);
    /// assert!(matches!(request_state.on_not_written(Duration::ZERO), NextStep::Answer { .. }), "it was to be written nowhere");
    /// ```
    pub fn on_not_written(&mut self, now: Duration) -> NextStep {
        let Some((upstream, share)) = self
            .sent_to
            .take()
            .filter(|_| matches!(self.stage, RequestStage::Sent { .. }))
        else {
            return self.answer(now, ResultCode::DeadlineExceeded);
        };
        self.sends -= 1;
        self.notes.push(TraceEvent::NotWritten {
            upstream: upstream.clone(),
        });
        self.turn(RequestStage::Connecting {
            upstream: upstream.clone(),
            share,
        });
        NextStep::Connect {
            upstream,
            within: self.left(now),
        }
    }

    /// Why what was chosen is not allowed any more.
    fn withdrawn(
        &self,
        now: Duration,
        view: &View,
        service: &Service,
        chosen: &Upstream,
        share: Option<&KeyShare>,
    ) -> Option<RejectReason> {
        let stale = !self.site.may_use(view, now) || view.revision != self.revision;
        let late = stale || self.left(now).is_zero();
        let known = view
            .upstreams
            .get(&service.name)
            .and_then(|known| known.get(&chosen.instance));
        let known = known.filter(|known| known.address == chosen.address && !late);
        let held = self.share(view, service);
        let other = service.keyed && held.as_ref() != share;
        known
            .map_or(Some(RejectReason::Removed), |known| {
                self.barred(view, service, share, known)
            })
            .or(Some(RejectReason::KeyOwnedElsewhere).filter(|_| other))
    }

    /// What the upstream told of its load with its answer; to be told before the outcome.
    ///
    /// ```
    /// # use request_routing::{RequestState, Load, RequestInfo, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// RequestState::new(RequestInfo::default(), site).record_load(Duration::ZERO, Load::default());
    /// ```
    pub fn record_load(&self, now: Duration, load: Load) {
        self.seat
            .iter()
            .for_each(|(seat, _)| seat.record_load(now, load));
    }

    /// What came of the call: pass it, call again where that is safe and allowed, or answer.
    ///
    /// ```
    /// # use request_routing::{RequestState, NextStep, RequestInfo, CallOutcome, ProxyContext};
    /// # use std::time::Duration;
    /// # let site = ProxyContext::new("p", "n/1".parse().unwrap(), Duration::from_secs(2), Duration::ZERO);
    /// use result_code::ResultCode;
    /// let mut request_state = RequestState::new(RequestInfo::default(), site);
    /// let next = request_state.on_outcome(Duration::ZERO, &Default::default(), &Default::default(), CallOutcome::ResponseLost);
    /// assert!(matches!(next, NextStep::Answer { code: ResultCode::ResponseLost, .. }), "never sent again blindly");
    /// ```
    pub fn on_outcome(
        &mut self,
        now: Duration,
        view: &View,
        stats: &ProxyStats,
        outcome: CallOutcome,
    ) -> NextStep {
        let called = self.seat.is_some();
        let was_sent = self.sent_to.take().is_some();
        // The connection came up and ended before a byte went out.
        self.sends -= u32::from(was_sent && outcome == CallOutcome::NotConnected);
        // A holder of keys may also deny because a share just moved.
        let least = u32::from(self.service.as_ref().is_some_and(|service| service.keyed));
        self.seat.iter().for_each(|(seat, _)| {
            seat.note(
                now,
                matches!(
                    outcome,
                    CallOutcome::Complete
                        | CallOutcome::NotExecuted
                        | CallOutcome::KeyNotOwned
                        | CallOutcome::Failed
                ),
            );
            match outcome {
                CallOutcome::NotExecuted => seat.full(now, least),
                CallOutcome::InstanceReplaced | CallOutcome::InstanceReplacedNotExecuted => {
                    seat.replaced.store(true, Ordering::Release)
                }
                CallOutcome::Complete => self
                    .sent_at
                    .iter()
                    .filter(|(.., slots)| *slots > 0)
                    .for_each(|(at, load, slots)| {
                        seat.load_estimate
                            .record_work_time(now.saturating_sub(*at), *load, *slots);
                    }),
                _ => {}
            }
        });
        self.leave_seat();
        let code = match outcome {
            CallOutcome::Complete => {
                self.answer(now, ResultCode::Success);
                return NextStep::PassResponse;
            }
            CallOutcome::NotExecuted | CallOutcome::InstanceReplacedNotExecuted => {
                ResultCode::Overloaded
            }
            CallOutcome::KeyNotOwned => ResultCode::KeyUnassigned,
            CallOutcome::Failed => ResultCode::UpstreamFailed,
            CallOutcome::NotConnected => ResultCode::RetryBudgetExhausted,
            CallOutcome::ResponseLost => ResultCode::ResponseLost,
            CallOutcome::InvalidResponse | CallOutcome::InstanceReplaced => {
                ResultCode::InvalidResponse
            }
            CallOutcome::TimedOut => ResultCode::UpstreamTimeout,
        };
        self.doubt = self
            .doubt
            .or(Some(code).filter(|code| code.kind() == Execution::Unknown));
        let said = self
            .route
            .as_ref()
            .and_then(|route| route.policy.idempotent);
        let idempotent = said.unwrap_or_else(|| {
            self.service
                .as_ref()
                .is_some_and(|service| service.idempotent)
        });
        let attempts = self
            .route
            .as_ref()
            .and_then(|route| route.policy.max_attempts)
            .unwrap_or(MAX_CALLS);
        let safe = idempotent || code.kind() == Execution::NotExecuted;
        let proxies = view.proxies.len();
        // Where no connection came up, nothing was sent: going elsewhere is no resend.
        let again = safe
            && called
            && self.calls < MAX_CALLS
            && self.sends < attempts
            && !self.left(now).is_zero()
            && (code == ResultCode::RetryBudgetExhausted
                || self
                    .desk
                    .as_ref()
                    .is_some_and(|desk| desk.take_retry(now, proxies)));
        if again {
            self.notes.push(TraceEvent::Retried { after: code });
            return self.choose(now, view, stats);
        }
        let answer = self.answer(now, code);
        // What it said of its failure is for the origin.
        if outcome == CallOutcome::Failed {
            NextStep::PassResponse
        } else {
            answer
        }
    }
}
