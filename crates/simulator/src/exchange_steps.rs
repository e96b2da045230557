//! The steps of an exchange: events for the data plane's routing state, and what it asks for next.

use crate::exchanges::{Request, Requester};
use crate::nodes::{Core, NodeEvent};
use crate::responses::Response;
use crate::schedule::Action;
use crate::world::World;
use name_directory::View;
use protocol::{KeyShare, Upstream};
use request_routing::{CallOutcome, NextStep};
use result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;

/// How long a proxy tries to reach another that does not answer.
const UNREACHABLE_PROXY_TIMEOUT: Duration = Duration::from_millis(200);
/// After this time TCP has retransmitted a lost packet.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// First sends that a proxy with an unlimited retry budget adds to its count at each outcome.
const FORGED_FIRST_SENDS: usize = 1000;

/// What the routing state of an exchange is notified of.
pub(crate) enum RoutingEvent {
    Start,
    Connected {
        /// The reused connection was closed, or something came on it, before the request was written.
        unwritable: bool,
    },
    WokenUp,
    CallEnded(CallOutcome, Option<Response>),
}

/// What the routing state decided, and what it knew.
struct Decision {
    next: NextStep,
    /// The response that the event brought.
    response: Option<Response>,
    decided_at: Duration,
    view: View,
}

impl World {
    /// Feeds an event to the routing state of an exchange, and does what it asks for next.
    pub(crate) fn advance_exchange(&mut self, id: u64, event: RoutingEvent) {
        let Some(decision) = self.decide_next_step(id, event) else {
            return;
        };
        match decision.next {
            NextStep::Connect { upstream, within } => {
                let decided_by = self
                    .defects
                    .skips_check_after_connect
                    .then_some((decision.decided_at, decision.view));
                self.connect_to_upstream(id, &upstream, within, decided_by);
            }
            NextStep::Send { share, within } => self.call_upstream(id, share, within),
            NextStep::Wait { within } => self.wait_for_capacity(id, within),
            NextStep::Forward { proxies, within } => self.forward_request(id, &proxies, within),
            NextStep::PassResponse => {
                let lost = || Response::coded("", ResultCode::ResponseLost, None);
                let response = decision.response.unwrap_or_else(lost);
                self.end_exchange(id, response);
            }
            NextStep::Answer { code, retry_after } => {
                let Some(exchange) = self.exchanges.get(&id) else {
                    return;
                };
                let response = Response::coded(&exchange.request.attempt_id, code, retry_after);
                self.end_exchange(id, response);
            }
        }
    }

    /// Steps the routing state by the view of its proxy.
    fn decide_next_step(&mut self, id: u64, event: RoutingEvent) -> Option<Decision> {
        let exchange = self.exchanges.get_mut(&id)?;
        let node = &self.nodes[exchange.node];
        let Core::DataNode(data_node, proxy_stats) = &node.core else {
            return None;
        };
        let local = node.local(self.now);
        let mut view = data_node.view().clone();
        if self.defects.ignores_warm_up {
            mark_all_warm(&mut view);
        }
        exchange.waiting = false;
        let routing = &mut exchange.routing;
        let mut response = None;
        let next = match event {
            RoutingEvent::Start => routing.start(local, &view, proxy_stats),
            RoutingEvent::WokenUp => routing.on_wake_up(local, &view, proxy_stats),
            RoutingEvent::Connected { unwritable } => {
                let decided_by = exchange.chosen_by.take();
                let (decided_at, known) = decided_by.unwrap_or((local, view.clone()));
                let next = routing.on_connected(decided_at, &known, proxy_stats);
                if unwritable && matches!(next, NextStep::Send { .. }) {
                    exchange.may_reuse_connection = false;
                    routing.on_not_written(local)
                } else {
                    next
                }
            }
            RoutingEvent::CallEnded(outcome, received) => {
                response = received;
                if self.defects.unlimited_retry_budget {
                    let service = proxy_stats.service(exchange.request.service);
                    for _ in 0..FORGED_FIRST_SENDS {
                        service.retry_budget.record_first_send(local);
                    }
                }
                routing.on_outcome(local, &view, proxy_stats, outcome)
            }
        };
        Some(Decision {
            next,
            response,
            decided_at: local,
            view,
        })
    }

    /// Connects to an upstream, on an idle connection where one may be reused.
    fn connect_to_upstream(
        &mut self,
        id: u64,
        upstream: &Upstream,
        within: Duration,
        decided_by: Option<(Duration, View)>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        exchange.send += 1;
        exchange.instance = Some(upstream.instance.clone());
        exchange.address = upstream.address.clone();
        exchange.incarnation = None;
        exchange.connection = None;
        exchange.skipped = 0;
        exchange.chosen_by = decided_by;
        let (send, proxy, may_reuse) =
            (exchange.send, exchange.node, exchange.may_reuse_connection);
        if !may_reuse || !self.reuse_idle_connection(id, send, proxy, &upstream.address) {
            self.open_new_connection(id, send, proxy, &upstream.address, within);
        }
        self.trigger_ambush(proxy, &upstream.instance);
    }

    /// Takes an idle connection for an exchange; false where there is none.
    fn reuse_idle_connection(&mut self, id: u64, send: u32, proxy: usize, address: &str) -> bool {
        let Some((connection, incarnation)) = self.reuse_connection(proxy, address) else {
            return false;
        };
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.connection = Some(connection);
        }
        let event = NodeEvent::Connected {
            exchange: id,
            send,
            incarnation,
        };
        self.after(Duration::ZERO, Action::Deliver { node: proxy, event });
        true
    }

    fn open_new_connection(
        &mut self,
        id: u64,
        send: u32,
        proxy: usize,
        address: &str,
        within: Duration,
    ) {
        let patience = within.min(transport::CONNECT_TIMEOUT);
        let (delay, cut) = self.route_to_upstream(proxy, address, patience);
        let accept = Action::AcceptConnection {
            exchange: id,
            send,
            address: address.to_owned(),
            cut,
        };
        self.after(delay, accept);
        self.schedule_outcome(id, send, (CallOutcome::NotConnected, None), patience);
    }

    /// Writes the request on the open connection.
    fn call_upstream(&mut self, id: u64, share: Option<KeyShare>, within: Duration) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        // The outcome of connecting no longer matters.
        exchange.send += 1;
        exchange.sent.epoch = share.map(|share| share.epoch);
        let (send, proxy, address) = (exchange.send, exchange.node, exchange.address.clone());
        let (delay, cut) = self.route_to_upstream(proxy, &address, transport::CONNECT_TIMEOUT);
        let call = Action::ReceiveCall {
            exchange: id,
            send,
            cut,
        };
        self.after(delay, call);
        self.schedule_outcome(id, send, (CallOutcome::TimedOut, None), within);
    }

    fn wait_for_capacity(&mut self, id: u64, within: Duration) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        exchange.waiting = true;
        let node = exchange.node;
        let event = NodeEvent::WakeUp { exchange: id };
        self.after(within, Action::Deliver { node, event });
    }

    /// Forwards the request to the first of these proxies that runs.
    fn forward_request(&mut self, id: u64, proxies: &[String], within: Duration) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        exchange.send += 1;
        exchange.instance = None;
        let (send, proxy) = (exchange.send, exchange.node);
        let request = Request {
            remaining: within,
            from: Requester::Proxy {
                exchange: id,
                send,
                node: proxy,
            },
            ..exchange.request.clone()
        };
        let Some((node, delay)) = self.route_to_proxy(proxy, proxies) else {
            let unreachable = (CallOutcome::NotConnected, None);
            let timeout = within.min(UNREACHABLE_PROXY_TIMEOUT);
            return self.schedule_outcome(id, send, unreachable, timeout);
        };
        let event = NodeEvent::Request {
            exchange: self.allocate_id(),
            request,
        };
        self.after(delay, Action::Deliver { node, event });
        self.schedule_outcome(id, send, (CallOutcome::TimedOut, None), within);
    }

    /// The first of these proxies that runs, and how long a message to it takes; none where it is lost.
    fn route_to_proxy(&mut self, from: usize, proxies: &[String]) -> Option<(usize, Duration)> {
        let to = proxies
            .iter()
            .filter_map(|proxy| self.named(proxy))
            .find(|to| self.nodes[*to].up)?;
        let (from, place) = (&self.nodes[from].place, &self.nodes[to].place);
        let delay = self.network.delay(&mut self.random, from, place)?;
        Some((to, delay))
    }

    /// How long something takes from a proxy to an address, and whether a partition keeps it from arriving;
    /// `patience` is how long the proxy's machine goes on trying.
    fn route_to_upstream(
        &mut self,
        from: usize,
        address: &str,
        patience: Duration,
    ) -> (Duration, bool) {
        let from = &self.nodes[from].place;
        let to = self
            .upstreams
            .iter()
            .find(|upstream| upstream.address == address)
            .map(|upstream| &upstream.place);
        let cut = to.is_none_or(|to| self.network.blocked(from, to));
        let delay = to.and_then(|to| self.network.delay(&mut self.random, from, to));
        // TCP retransmits a lost packet; only a partition keeps it from arriving at all.
        let without_delivery = if cut { patience } else { RETRANSMISSION_DELAY };
        (delay.unwrap_or(without_delivery), cut)
    }
}

/// In a defective system: every upstream of the view counts as warm.
fn mark_all_warm(view: &mut View) {
    for instances in Arc::make_mut(&mut view.upstreams).values_mut() {
        for upstream in instances.values_mut() {
            *upstream = Arc::new(Upstream {
                warm: true,
                ..(**upstream).clone()
            });
        }
    }
}
