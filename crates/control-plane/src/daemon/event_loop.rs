//! The event loop: one event at a time goes into the node, and its effects are carried out before the next.

use crate::daemon::QueuedEvent;
use crate::daemon::effects::EffectExecutor;
use crate::daemon::http_handlers::HttpHandlers;
use crate::interface::Event;
use crate::node::ControlNode;
use protocol::{Envelope, Message, Payload};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};
use transport::{Arrival, Clock, Reload};

/// How often the node sees that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a process that may end stays, so that its last messages get out and requests under way are answered.
const FINAL_FLUSH: Duration = Duration::from_millis(300);
/// How often the counts of sent messages are logged.
const LOG_SENT_COUNTS_INTERVAL: Duration = Duration::from_secs(5);
/// The largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Where events come from, beside the queue of this process's own.
pub(super) struct Inputs {
    messages: mpsc::Receiver<Arrival>,
    probe: Arc<UdpSocket>,
    reload: Reload,
    tick: Interval,
    datagram: Vec<u8>,
}

impl Inputs {
    pub(super) fn new(
        messages: mpsc::Receiver<Arrival>,
        probe: Arc<UdpSocket>,
        reload: Reload,
    ) -> Self {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Inputs {
            messages,
            probe,
            reload,
            tick,
            datagram: vec![0; MAX_DATAGRAM_BYTES],
        }
    }
}

/// The node with what its effects act on.
pub(super) struct EventLoop {
    control: ControlNode,
    clock: Clock,
    executor: EffectExecutor,
    handlers: Arc<HttpHandlers>,
    /// When the loop ends, once the node is shut down.
    end_at: Option<Duration>,
    next_sent_counts_log: Duration,
}

impl EventLoop {
    pub(super) fn new(
        control: ControlNode,
        clock: Clock,
        executor: EffectExecutor,
        handlers: Arc<HttpHandlers>,
    ) -> Self {
        EventLoop {
            control,
            clock,
            executor,
            handlers,
            end_at: None,
            next_sent_counts_log: Duration::ZERO,
        }
    }

    /// Runs until the process was asked to stop and the node has shut down. Requests that are open or queued then are
    /// dropped, so that their clients hear at once that no response comes.
    pub(super) async fn run(
        &mut self,
        inputs: &mut Inputs,
        mut queued_events: mpsc::Receiver<QueuedEvent>,
        mut stop: Pin<&mut impl Future<Output = ()>>,
    ) {
        let mut stopping = false;
        while self.end_at.is_none_or(|end_at| self.clock.now() < end_at) {
            let event = tokio::select! {
                _ = inputs.tick.tick() => Event::Tick,
                Some(queued) = queued_events.recv() => self.accept_queued(queued),
                Some(Arrival { from, payload: body }) = inputs.messages.recv() => {
                    self.handlers.count_message();
                    Event::Received { from, body }
                }
                Ok((length, address)) = inputs.probe.recv_from(&mut inputs.datagram) => {
                    match decode_datagram(&inputs.datagram[..length], address) {
                        Some(event) => event,
                        None => continue,
                    }
                }
                seeds = inputs.reload.changed_seeds() => Event::SeedsChanged(seeds),
                _ = &mut stop, if !stopping => {
                    log::info!("close: asked to stop");
                    self.handlers.set_shutting_down();
                    stopping = true;
                    Event::Shutdown
                }
            };
            self.step(event);
        }
        self.executor.drop_open_requests();
    }

    fn accept_queued(&mut self, queued: QueuedEvent) -> Event {
        if let (Event::ControlRequest { request_id, .. }, Some(sender)) =
            (&queued.event, queued.response_sender)
        {
            self.executor.expect_response(*request_id, sender);
        }
        queued.event
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let is_tick = matches!(event, Event::Tick);
        let effects = self.control.step(now, event);
        self.executor.execute(effects);
        if self.control.is_shut_down() && self.end_at.is_none() {
            self.end_at = Some(now + FINAL_FLUSH);
        }
        if is_tick {
            self.after_tick(now);
        }
    }

    fn after_tick(&mut self, now: Duration) {
        self.handlers.set_ready(self.control.is_current(now));
        self.executor.drop_abandoned_requests();
        if now >= self.next_sent_counts_log {
            self.next_sent_counts_log = now + LOG_SENT_COUNTS_INTERVAL;
            log::debug!("links: {:?}", self.executor.sent_counts());
        }
    }
}

/// The event that a datagram carries; `None` where it can't be read.
fn decode_datagram(bytes: &[u8], address: SocketAddr) -> Option<Event> {
    let body: Payload = Envelope::decode(bytes).ok()?.body?;
    Some(Event::Datagram {
        address: address.to_string(),
        body,
    })
}
