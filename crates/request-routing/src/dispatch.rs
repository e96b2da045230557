//! Dispatch of an admitted request: to an upstream with a free slot, or into the admission queue.

use crate::permits::QueueEntry;
use crate::proxy_stats::ProxyStats;
use crate::request_state::RequestState;
use crate::selection::{Selected, Selection, find_key_share};
use crate::service_stats::ServiceStats;
use crate::stage::{NextStep, RequestStage};
use crate::trace::TraceEvent;
use config::Service;
use name_directory::View;
use protocol::KeyShare;
use result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;

impl RequestState {
    /// Selects an upstream and takes a slot there, or queues the request.
    pub(crate) fn dispatch(&mut self, now: Duration, view: &View, stats: &ProxyStats) -> NextStep {
        let (Some(service), Some(service_stats)) =
            (self.service.clone(), self.service_stats().cloned())
        else {
            return self.answer(now, ResultCode::NoSuchName);
        };
        if self.remaining(now).is_zero() {
            return self.answer(now, ResultCode::DeadlineExceeded);
        }
        // The view may have aged, or the route changed, while the request waited.
        if !self.proxy.may_use(view, now) {
            return self.answer(now, ResultCode::StaleView);
        }
        if view.revision != self.revision {
            self.queue_entry = None;
            return self.start(now, view, stats);
        }
        let share = find_key_share(view, &service, &self.request);
        if service.keyed && share.is_none() {
            return self.answer(now, ResultCode::KeyUnassigned);
        }
        let needed_instance = share.as_ref().map(|share| share.instance.as_str());
        let selected = if self.must_queue(&service_stats, needed_instance) {
            None
        } else {
            let mut trace = std::mem::take(&mut self.trace);
            let selected = self.selection(now, view, &service, share.as_ref()).select(
                stats,
                &service_stats,
                &self.tried,
                &mut trace,
            );
            self.trace = trace;
            selected
        };
        match selected {
            Some(selected) => self.connect(now, selected, share, &service_stats),
            None => self.enqueue(now, &service_stats, needed_instance),
        }
    }

    /// The rules by which upstreams are selected for this request.
    pub(crate) fn selection<'a>(
        &'a self,
        now: Duration,
        view: &'a View,
        service: &'a Service,
        key_share: Option<&'a KeyShare>,
    ) -> Selection<'a> {
        Selection {
            now,
            view,
            proxy: &self.proxy,
            request: &self.request,
            route: self.route.as_deref(),
            service,
            key_share,
        }
    }

    /// True where others that need the same are queued: who came before goes first.
    fn must_queue(&self, service_stats: &ServiceStats, needed_instance: Option<&str>) -> bool {
        self.queue_entry.is_none()
            && self.proxy.max_queue_wait > Duration::ZERO
            && service_stats.has_queued(needed_instance)
    }

    fn connect(
        &mut self,
        now: Duration,
        selected: Selected,
        share: Option<KeyShare>,
        service_stats: &ServiceStats,
    ) -> NextStep {
        let Selected { upstream, slot } = selected;
        self.slot = Some(slot);
        self.call_count += 1;
        self.tried.push(upstream.instance.clone());
        self.trace.push(TraceEvent::Connecting {
            upstream: upstream.clone(),
        });
        self.set_stage(RequestStage::Connecting {
            upstream: upstream.clone(),
            share,
        });
        if let Some(queue_entry) = self.queue_entry.take() {
            drop(queue_entry);
            // There may be a slot for the next one too.
            service_stats.wake_first(None);
        }
        NextStep::Connect {
            upstream,
            within: self.remaining(now),
        }
    }

    /// Queues the request, for a set span and never for more than half of the time left.
    fn enqueue(
        &mut self,
        now: Duration,
        service_stats: &Arc<ServiceStats>,
        needed_instance: Option<&str>,
    ) -> NextStep {
        let max_wait = self.proxy.max_queue_wait.min(self.remaining(now) / 2);
        let wait_until = *self.wait_until.get_or_insert(now + max_wait);
        if now >= wait_until {
            return self.answer(now, ResultCode::Overloaded);
        }
        let within = wait_until - now;
        if self.queue_entry.is_none() {
            let key = self.request.key.as_deref();
            let key_hash = random::stable_hash(key.unwrap_or(&self.request.attempt_id));
            let wake_up = self.request.wake_up.clone();
            let Some(ticket) = service_stats.enqueue(key_hash, needed_instance, wake_up) else {
                return self.answer(now, ResultCode::Overloaded);
            };
            self.queue_entry = Some(QueueEntry::for_ticket(service_stats.clone(), ticket));
            self.trace.push(TraceEvent::Queued { within });
        }
        self.set_stage(RequestStage::Waiting);
        NextStep::Wait { within }
    }
}
