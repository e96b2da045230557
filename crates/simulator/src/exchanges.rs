//! Requests at a proxy: each is routed by the data plane's own core, called at an upstream, and answered.

use crate::exchange_steps::RoutingEvent;
use crate::nodes::NodeEvent;
use crate::responses::Response;
use crate::schedule::Action;
use crate::world::World;
use name_directory::View;
use request_routing::{CallOutcome, RequestInfo, RequestState, WakeUp};
use result_code::ResultCode;
use std::sync::PoisonError;
use std::time::Duration;
use transport::CallError;

/// A request on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Request {
    pub attempt_id: String,
    pub operation: String,
    pub service: &'static str,
    pub key: String,
    pub remaining: Duration,
    pub from: Requester,
}

/// Who waits for the answer.
#[derive(Clone, Debug)]
pub enum Requester {
    Client {
        operation: u64,
        attempt: u32,
    },
    /// Nobody: a probe shows by where it arrives.
    Nobody,
    /// Another proxy forwarded it.
    Proxy {
        exchange: u64,
        send: u32,
        node: usize,
    },
}

/// What a call carries to an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCall {
    pub attempt_id: String,
    pub operation: String,
    pub path: &'static str,
    pub key: String,
    pub epoch: Option<u64>,
}

/// One request at one proxy.
pub struct Exchange {
    pub node: usize,
    pub routing: RequestState,
    pub request: Request,
    pub sent: UpstreamCall,
    /// Counts calls, so that an answer to an earlier one is dropped.
    pub send: u32,
    pub instance: Option<String>,
    /// Where the connection leads: the address, and the upstream that accepted it with its incarnation.
    pub address: String,
    pub incarnation: Option<(usize, u64)>,
    /// The connection, where they are kept, and whether a kept one may be taken.
    pub connection: Option<u64>,
    pub may_reuse_connection: bool,
    /// How many answers to other requests were read past.
    pub skipped: usize,
    pub waiting: bool,
    /// In a world that does not judge again: what it chose by.
    pub chosen_by: Option<(Duration, View)>,
}

impl Exchange {
    /// A request that has reached a proxy and is at no upstream yet.
    fn new(node: usize, routing: RequestState, request: Request) -> Exchange {
        let sent = UpstreamCall {
            attempt_id: request.attempt_id.clone(),
            operation: request.operation.clone(),
            path: request.service,
            key: request.key.clone(),
            epoch: None,
        };
        Exchange {
            node,
            routing,
            request,
            sent,
            send: 0,
            instance: None,
            address: String::new(),
            incarnation: None,
            connection: None,
            may_reuse_connection: true,
            skipped: 0,
            waiting: false,
            chosen_by: None,
        }
    }
}

impl World {
    /// A request reaches a proxy.
    pub(crate) fn receive_request(&mut self, at: usize, exchange: u64, request: Request) {
        let node = &self.nodes[at];
        if node
            .data_node()
            .is_some_and(|data_node| data_node.phase() == data_plane::Phase::Rejecting)
        {
            let retry_after = request_routing::retry_after_for(
                ResultCode::ShuttingDown,
                0.0,
                &request.attempt_id,
            );
            let denied =
                Response::coded(&request.attempt_id, ResultCode::ShuttingDown, retry_after);
            return self.respond(&request, Some(at), denied);
        }
        let routing =
            RequestState::new(self.request_info(at, exchange, &request), node.site.clone());
        self.exchanges
            .insert(exchange, Exchange::new(at, routing, request));
        self.advance_exchange(exchange, RoutingEvent::Start);
    }

    /// What the data plane learns about a request that reaches a proxy.
    fn request_info(&self, at: usize, exchange: u64, request: &Request) -> RequestInfo {
        let wake_ups = self.wake_ups.clone();
        RequestInfo {
            attempt_id: request.attempt_id.clone(),
            name: match request.from {
                Requester::Nobody => request.service.to_owned(),
                _ => format!("{}.{}.example", request.service, self.shape.name),
            },
            path: format!("/{}", request.service),
            key: Some(request.key.clone()),
            arrived_at: self.nodes[at].local(self.now),
            remaining: request.remaining,
            body_bytes: request.operation.len() as u64,
            forwarded: matches!(request.from, Requester::Proxy { .. }),
            wake_up: WakeUp::new(move || {
                wake_ups
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(exchange)
            }),
        }
    }

    /// An exchange waits for capacity, and was woken up or waited long enough.
    pub(crate) fn wake_exchange(&mut self, at: usize, id: u64) {
        let waits = self
            .exchanges
            .get(&id)
            .is_some_and(|exchange| exchange.node == at && exchange.waiting);
        if waits {
            self.advance_exchange(id, RoutingEvent::WokenUp);
        }
    }

    /// Wakes the exchanges that the last action signalled.
    pub(crate) fn deliver_wake_ups(&mut self) {
        let wake_ups =
            std::mem::take(&mut *self.wake_ups.lock().unwrap_or_else(PoisonError::into_inner));
        wake_ups.into_iter().for_each(|exchange| {
            let node = self.exchanges.get(&exchange).map(|exchange| exchange.node);
            node.into_iter().for_each(|node| {
                self.after(
                    Duration::ZERO,
                    Action::Deliver {
                        node,
                        event: NodeEvent::WakeUp { exchange },
                    },
                )
            });
        });
    }

    /// The connection that a proxy asked for came up.
    pub(crate) fn connection_opened(
        &mut self,
        at: usize,
        id: u64,
        send: u32,
        incarnation: (usize, u64),
    ) {
        let mine = self.exchanges.get_mut(&id).filter(|exchange| {
            exchange.node == at && exchange.send == send && exchange.incarnation.is_none()
        });
        let opened = mine.map(|exchange| {
            exchange.incarnation = Some(incarnation);
            (exchange.address.clone(), exchange.connection)
        });
        opened.into_iter().for_each(|(address, kept)| {
            let connection = kept.or_else(|| self.open_connection(at, &address, incarnation));
            let unwritable = connection.is_some_and(|connection| self.is_unwritable(connection));
            self.exchanges
                .get_mut(&id)
                .into_iter()
                .for_each(|exchange| exchange.connection = connection);
            self.advance_exchange(id, RoutingEvent::Connected { unwritable });
        });
    }

    pub(crate) fn end_exchange(&mut self, id: u64, reply: Response) {
        let exchange = self.exchanges.remove(&id);
        exchange.into_iter().for_each(|exchange| {
            self.respond(&exchange.request, Some(exchange.node), reply.clone())
        });
    }

    /// Sends an answer back to whoever waits for it.
    fn respond(&mut self, request: &Request, node: Option<usize>, reply: Response) {
        match &request.from {
            Requester::Client { operation, attempt } => {
                let (operation, attempt) = (*operation, *attempt);
                self.after(
                    Duration::from_millis(8),
                    Action::ReceiveResponse {
                        operation,
                        attempt,
                        answer: reply,
                    },
                );
            }
            Requester::Nobody => {}
            Requester::Proxy {
                exchange,
                send,
                node: to,
            } => {
                let (exchange, send, to) = (*exchange, *send, *to);
                let places =
                    node.map(|node| (self.nodes[node].place.clone(), self.nodes[to].place.clone()));
                let delay = match places {
                    None => Some(Duration::from_millis(1)),
                    Some((from, to)) => self.network.delay(&mut self.random, &from, &to),
                };
                let code = reply.code.filter(|_| reply.failed.is_none());
                let denied =
                    reply.seal.is_empty() && code.is_some_and(|code| code != ResultCode::Success);
                let judged = reply.classify(&request.attempt_id, None);
                let outcome = if denied || judged == CallOutcome::NotExecuted {
                    CallOutcome::Complete
                } else {
                    judged
                };
                delay.into_iter().for_each(|delay| {
                    self.schedule_outcome(
                        exchange,
                        send,
                        (outcome.clone(), Some(reply.clone())),
                        delay,
                    );
                });
            }
        }
    }

    /// A process died, or was down, with this request.
    pub(crate) fn fail_exchange(&mut self, exchange: &Exchange, called: Result<(), CallError>) {
        called.err().into_iter().for_each(|called| {
            self.respond(
                &exchange.request,
                Some(exchange.node),
                Response::failed(called),
            );
        });
    }

    pub(crate) fn fail_request(&mut self, request: &Request, called: Result<(), CallError>) {
        called
            .err()
            .into_iter()
            .for_each(|called| self.respond(request, None, Response::failed(called)));
    }

    pub(crate) fn schedule_outcome(
        &mut self,
        exchange: u64,
        send: u32,
        outcome: (CallOutcome, Option<Response>),
        span: Duration,
    ) {
        let node = self.exchanges.get(&exchange).map(|exchange| exchange.node);
        node.into_iter().for_each(|node| {
            let (outcome, reply) = outcome.clone();
            let event = NodeEvent::CallEnded {
                exchange,
                send,
                outcome,
                reply,
            };
            self.after(span, Action::Deliver { node, event });
        });
    }

    /// What came of a call to an upstream, on its way back to the proxy.
    pub(crate) fn return_response(
        &mut self,
        exchange: u64,
        send: u32,
        called: Result<Response, CallError>,
        delay: Duration,
    ) {
        let Some(waiting) = self.exchanges.get(&exchange) else {
            return;
        };
        let reply = called.unwrap_or_else(Response::failed);
        if self.defects.trusts_any_response {
            let outcome = reply
                .failed
                .map(|_| CallOutcome::NotExecuted)
                .unwrap_or(CallOutcome::Complete);
            return self.schedule_outcome(exchange, send, (outcome, Some(reply)), delay);
        }
        let outcome = reply.classify(&waiting.sent.attempt_id, waiting.instance.as_deref());
        self.schedule_outcome(exchange, send, (outcome, Some(reply)), delay);
    }

    pub(crate) fn receive_outcome(
        &mut self,
        at: usize,
        exchange: u64,
        send: u32,
        outcome: CallOutcome,
        reply: Option<Response>,
    ) {
        let mine = self
            .exchanges
            .get(&exchange)
            .is_some_and(|exchange| exchange.node == at && exchange.send == send);
        if mine {
            let connection = self
                .exchanges
                .get_mut(&exchange)
                .and_then(|exchange| exchange.connection.take());
            let answered = reply.as_ref().is_some_and(|reply| reply.failed.is_none());
            let expected = answered && outcome != CallOutcome::InvalidResponse;
            connection
                .into_iter()
                .for_each(|connection| self.release_connection(connection, expected));
            self.advance_exchange(exchange, RoutingEvent::CallEnded(outcome, reply));
        }
    }
}
