//! Dispatch of an admitted request: to an upstream with a free slot, or into the admission queue.

use crate::permits::QueueEntry;
use crate::proxy_stats::ProxyStats;
use crate::request_state::RequestState;
use crate::selection::{Selected, Selection, SelectionNotes, find_key_share};
use crate::service_stats::ServiceStats;
use crate::stage::{NextStep, RequestStage};
use crate::trace::TraceEvent;
use crate::warm_up_checks::HEALTH_ANSWER_WAIT;
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
        let mut max_wait = self.max_wait(now);
        let selected = if self.must_queue(&service_stats, needed_instance) {
            None
        } else {
            let mut notes = self.take_notes();
            let selected = self.selection(now, view, &service, share.as_ref()).select(
                stats,
                &service_stats,
                &self.tried,
                &mut notes,
            );
            if notes.awaits_health_answer {
                max_wait = max_wait.min(HEALTH_ANSWER_WAIT);
            }
            self.keep_notes(notes);
            selected
        };
        match selected {
            Some(selected) => self.connect(now, selected, share, &service_stats),
            None => self.enqueue(now, max_wait, &service_stats, needed_instance),
        }
    }

    /// What selections have left behind so far, for the next one to add to.
    pub(crate) fn take_notes(&mut self) -> SelectionNotes {
        SelectionNotes {
            trace: std::mem::take(&mut self.trace),
            health_checks: std::mem::take(&mut self.health_checks),
            cold_upstreams: std::mem::take(&mut self.cold_upstreams),
            awaits_health_answer: false,
        }
    }

    /// Keeps what selections have left behind.
    pub(crate) fn keep_notes(&mut self, notes: SelectionNotes) {
        self.trace = notes.trace;
        self.health_checks = notes.health_checks;
        self.cold_upstreams = notes.cold_upstreams;
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
            may_wait: !self.max_wait(now).is_zero(),
        }
    }

    /// How much longer the request may wait for a slot: a set span in all, and never more than half of the time that was
    /// left at first.
    fn max_wait(&self, now: Duration) -> Duration {
        match self.wait_until {
            Some(wait_until) => wait_until.saturating_sub(now),
            None => self.proxy.max_queue_wait.min(self.remaining(now) / 2),
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
        self.selected_at = now;
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

    /// Queues the request, `within` at most until it looks again.
    fn enqueue(
        &mut self,
        now: Duration,
        within: Duration,
        service_stats: &Arc<ServiceStats>,
        needed_instance: Option<&str>,
    ) -> NextStep {
        self.wait_until = Some(now + self.max_wait(now));
        if within.is_zero() {
            return self.answer(now, ResultCode::Overloaded);
        }
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
