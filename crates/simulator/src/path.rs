//! The path of a request in the simulator: origin, directory, proxy, upstream, and back.

use super::nodes::{Core, NodeEvent};
use super::range_leases::skewed_key;
use crate::schedule::Action;
use crate::world::World;
use invariants::observations::FinishedOperation;
use invariants::observations::Observation;
use locality::Locality;
use name_directory::{LookupAnswer, View};
use protocol::Upstream;
use random::Random;
use request_routing::{CallOutcome, NextStep, RequestInfo, RequestState, WakeUp};
use result_code::{Execution, ResultCode};
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use transport::CallError;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
const MAX_ATTEMPTS: u32 = 4;
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An answer on its way, as the wire would carry it.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub code: Option<ResultCode>,
    pub attempt_id: String,
    pub instance: String,
    pub seal: String,
    pub body: String,
    pub retry_after: Option<Duration>,
    /// Set where no answer came.
    pub failed: Option<CallError>,
}

impl Reply {
    pub fn sealed(attempt_id: &str, instance: &str, status: u16, body: &str) -> Reply {
        let seal = protocol::seal(attempt_id, instance, status, body.as_bytes());
        let (attempt_id, instance, body) =
            (attempt_id.to_owned(), instance.to_owned(), body.to_owned());
        Reply {
            status,
            code: Some(ResultCode::Success),
            attempt_id,
            instance,
            seal,
            body,
            retry_after: None,
            failed: None,
        }
    }

    fn coded(attempt_id: &str, code: ResultCode, retry_after: Option<Duration>) -> Reply {
        let (attempt_id, instance) = (attempt_id.to_owned(), String::new());
        let (seal, body) = (String::new(), String::new());
        Reply {
            status: code.status(),
            code: Some(code),
            attempt_id,
            instance,
            seal,
            body,
            retry_after,
            failed: None,
        }
    }

    fn failed(called: CallError) -> Reply {
        Reply {
            failed: Some(called),
            status: 0,
            code: None,
            ..Reply::coded("", ResultCode::ResponseLost, None)
        }
    }

    /// Its headers, as the wire would carry them.
    pub(super) fn headers(&self) -> hyper::HeaderMap {
        let mut headers = hyper::HeaderMap::new();
        [
            ("x-try-id", &self.attempt_id),
            ("x-instance", &self.instance),
            ("x-seal", &self.seal),
        ]
        .into_iter()
        .for_each(|(name, value)| {
            value
                .parse()
                .into_iter()
                .for_each(|value: hyper::header::HeaderValue| {
                    headers.insert(name, value);
                });
        });
        headers
    }

    /// The daemons' own judgement of it.
    pub(super) fn judge(&self, attempt_id: &str, instance: Option<&str>) -> CallOutcome {
        let reply = transport::Reply {
            status: self.status,
            headers: self.headers(),
            body: self.body.clone().into(),
        };
        let called = self.failed.map(Err).unwrap_or(Ok(reply));
        data_plane::judge_response(&called, attempt_id, instance)
    }
}

/// A request on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Request {
    pub attempt_id: String,
    pub work: String,
    pub service: &'static str,
    pub key: String,
    pub remaining: Duration,
    pub from: From,
}

/// Who waits for the answer.
#[derive(Clone, Debug)]
pub enum From {
    Origin {
        work: u64,
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
pub struct Sent {
    pub attempt_id: String,
    pub work: String,
    pub path: &'static str,
    pub key: String,
    pub epoch: Option<u64>,
}

/// One request at one proxy.
pub struct Exchange {
    pub node: usize,
    pub routing: RequestState,
    pub request: Request,
    pub sent: Sent,
    /// Counts calls, so that an answer to an earlier one is dropped.
    pub send: u32,
    pub instance: Option<String>,
    /// Where the connection leads: the address, and the life of whoever accepted it.
    pub address: String,
    pub incarnation: Option<(usize, u64)>,
    /// The connection, where they are kept, and whether a kept one may be taken.
    pub connection: Option<u64>,
    pub may_reuse: bool,
    /// How many answers to other requests were read past.
    pub skipped: usize,
    pub waiting: bool,
    /// In a world that does not judge again: what it chose by.
    pub chosen_by: Option<(Duration, View)>,
}

/// What a journey is told.
enum RoutingEvent {
    Start,
    Connected {
        /// Its kept connection ended, or something came on it, before it was written to.
        unwritable: bool,
    },
    WokenUp,
    CallEnded(CallOutcome, Option<Reply>),
}

/// Where one origin stands with its work.
#[derive(Clone, Copy, PartialEq)]
enum OperationStage {
    Idle,
    LookingUp { asked_at: Duration },
    Attempting { attempt: u32 },
    Done,
}

struct OperationState {
    service: &'static str,
    place: String,
    key: String,
    started_at: Duration,
    attempts: u32,
    last: Option<ResultCode>,
    random: Random,
    stage: OperationStage,
}

#[derive(Clone)]
struct Known {
    proxies: Vec<String>,
    asked_at: Duration,
    lifetime: Duration,
}

/// All origins' state.
#[derive(Default)]
pub struct Origins {
    operations: BTreeMap<u64, OperationState>,
    known: BTreeMap<(String, &'static str), Known>,
}

impl World {
    pub(super) fn origin_start(&mut self) {
        let number = self.id();
        let mut random = Random::new(self.random.next_u64());
        let part = random.below(100);
        let mut up_to = 0;
        let at = self.shape.services.iter().position(|work| {
            up_to += work.percent;
            part < up_to
        });
        let service = self.shape.services[at.unwrap_or(0)].service;
        let place = self.shape.locality(random.below(6) as usize);
        let hot = self.hot_key && random.below(100) < 70;
        let key = match (self.shape.services[at.unwrap_or(0)].numbered, hot) {
            (true, hot) => skewed_key(self.now, hot, &mut random).to_string(),
            (false, true) => "key-hot".to_owned(),
            (false, false) => format!("key-{}", random.below(400)),
        };
        let (started_at, stage) = (self.now, OperationStage::Idle);
        let state = OperationState {
            service,
            place,
            key,
            started_at,
            attempts: 0,
            last: None,
            random,
            stage,
        };
        self.origins.operations.insert(number, state);
        self.origin_try(number);
    }

    pub(super) fn origin_try(&mut self, work: u64) {
        let now = self.now;
        let data_nodes = self.data_nodes();
        let Some(state) = self
            .origins
            .operations
            .get_mut(&work)
            .filter(|state| state.stage == OperationStage::Idle)
        else {
            return;
        };
        if state.attempts >= MAX_ATTEMPTS || now >= state.started_at + REQUEST_TIMEOUT {
            return self.origin_end(work);
        }
        let id = (state.place.clone(), state.service);
        let live = self
            .origins
            .known
            .get(&id)
            .filter(|known| now < known.asked_at + known.lifetime)
            .cloned();
        if let Some(known) = live {
            return self.origin_send(work, &known);
        }
        state.stage = OperationStage::LookingUp { asked_at: now };
        let node = data_nodes[state.random.below(data_nodes.len() as u64) as usize];
        let name = format!("{}.{}.example", state.service, self.shape.name);
        let event = NodeEvent::Lookup {
            work,
            name,
            place: state.place.clone(),
            asked_at: now,
        };
        self.after(Duration::from_millis(8), Action::Deliver { node, event });
        // A directory node that says nothing is given up on after a while.
        self.after(
            Duration::from_millis(700),
            Action::ReceiveLookup {
                work,
                listing: None,
                asked_at: now,
            },
        );
    }

    pub(super) fn lookup(
        &mut self,
        at: usize,
        work: u64,
        name: &str,
        place: &str,
        asked_at: Duration,
    ) {
        let (stale_after, lifetime) = (self.defects.stale_after, self.defects.lifetime);
        let node = &self.nodes[at];
        let origin: Locality = place.parse().unwrap_or_default();
        let view = node.data_node().map(|data_node| data_node.view());
        let fresh = view.filter(|view| view.is_fresh(node.local(self.now), stale_after));
        let listing = fresh.and_then(|view| {
            name_directory::lookup(
                view,
                name,
                &origin,
                lifetime,
                (name_directory::OwnershipMode::SingleZone, 3),
            )
            .ok()
        });
        self.after(
            Duration::from_millis(8),
            Action::ReceiveLookup {
                work,
                listing,
                asked_at,
            },
        );
    }

    pub(super) fn origin_told(
        &mut self,
        work: u64,
        listing: Option<LookupAnswer>,
        asked_at: Duration,
    ) {
        let now = self.now;
        let Some(state) = self.origins.operations.get_mut(&work) else {
            return;
        };
        if state.stage != (OperationStage::LookingUp { asked_at }) {
            return;
        }
        state.stage = OperationStage::Idle;
        let known = listing.map(|listing| Known {
            proxies: listing.proxies,
            asked_at,
            lifetime: listing.lifetime,
        });
        match known.filter(|known| now < asked_at + known.lifetime) {
            Some(known) => {
                self.origins
                    .known
                    .insert((state.place.clone(), state.service), known.clone());
                self.origin_send(work, &known);
            }
            None => {
                state.attempts += 1;
                state.last = Some(ResultCode::NoOwner);
                self.after(RETRY_DELAY, Action::StartAttempt { work });
            }
        }
    }

    fn origin_send(&mut self, work: u64, known: &Known) {
        let now = self.now;
        let Some(state) = self.origins.operations.get_mut(&work) else {
            return;
        };
        state.attempts += 1;
        let attempt = state.attempts;
        state.stage = OperationStage::Attempting { attempt };
        let address =
            known.proxies[state.random.below(known.proxies.len() as u64) as usize].clone();
        let remaining = (state.started_at + REQUEST_TIMEOUT)
            .saturating_sub(now)
            .max(Duration::from_millis(1));
        let request = Request {
            attempt_id: format!("try-{work}-{attempt}"),
            work: format!("work-{work}"),
            service: state.service,
            key: state.key.clone(),
            remaining,
            from: From::Origin { work, attempt },
        };
        self.note(Observation::AddressUsed {
            age: now - known.asked_at,
        });
        self.note(Observation::AttemptStarted {
            work: request.work.clone(),
            attempt_id: request.attempt_id.clone(),
        });
        let patience = remaining + Duration::from_millis(500);
        let failed = Reply::failed(CallError::TimedOut);
        self.after(
            patience,
            Action::ReceiveResponse {
                work,
                attempt,
                answer: failed,
            },
        );
        let exchange = self.id();
        let node = self.nodes.iter().position(|node| node.name == address);
        node.into_iter().for_each(|node| {
            let event = NodeEvent::Request {
                exchange,
                request: request.clone(),
            };
            self.after(Duration::from_millis(8), Action::Deliver { node, event });
        });
    }

    pub(super) fn origin_answer(&mut self, work: u64, attempt: u32, answer: Reply) {
        let Some(state) = self.origins.operations.get_mut(&work) else {
            return;
        };
        if state.stage != (OperationStage::Attempting { attempt }) {
            return;
        }
        state.stage = OperationStage::Idle;
        let (attempt_id, body) = (format!("try-{work}-{attempt}"), format!("work-{work}"));
        if answer.failed == Some(CallError::NotConnected) {
            state.last = None;
            self.origins.known.clear();
            return self.after(RETRY_DELAY, Action::StartAttempt { work });
        }
        let code = answer
            .code
            .filter(|_| answer.failed.is_none())
            .unwrap_or(ResultCode::ResponseLost);
        state.last = Some(code);
        let success = answer.failed.is_none() && answer.status == 200;
        let complete =
            answer.judge(&attempt_id, None) == CallOutcome::Complete && answer.body == body;
        let not_executed =
            !success && answer.failed.is_none() && code.kind() == Execution::NotExecuted;
        if answer.failed.is_none() {
            self.note(Observation::AttemptAnswered {
                attempt_id,
                code: code.number(),
                success,
                complete,
                not_executed,
            });
        }
        if not_executed {
            let told = answer
                .retry_after
                .map(|told| self.load.retry_after_for.unwrap_or(told));
            let wait = told.unwrap_or(RETRY_DELAY);
            self.after(wait, Action::StartAttempt { work });
        } else {
            self.origin_end(work);
        }
    }

    fn origin_end(&mut self, work: u64) {
        let now = self.now;
        let state = self
            .origins
            .operations
            .get_mut(&work)
            .filter(|state| state.stage != OperationStage::Done);
        let ended = state.map(|state| {
            state.stage = OperationStage::Done;
            let (service, attempts) = (state.service, state.attempts);
            FinishedOperation {
                at: now,
                took: now - state.started_at,
                service,
                code: state.last.map(ResultCode::number).unwrap_or(0),
                attempts,
            }
        });
        self.ended.extend(ended);
        self.origins.operations.remove(&work);
    }

    /// One probe through every carrier, once there was more than one setup.
    pub(super) fn probe(&mut self) {
        let several = self.operators.configurations() > 1;
        self.data_nodes()
            .into_iter()
            .filter(|_| several)
            .for_each(|node| {
                let exchange = self.id();
                let (attempt_id, work, key) = (
                    format!("probe-{exchange}"),
                    format!("probe-{exchange}"),
                    String::from("probe"),
                );
                let remaining = Duration::from_millis(1000);
                let request = Request {
                    attempt_id,
                    work,
                    service: "probe",
                    key,
                    remaining,
                    from: From::Nobody,
                };
                let delay = Duration::from_micros(8000 + self.random.below(5000));
                self.after(
                    delay,
                    Action::Deliver {
                        node,
                        event: NodeEvent::Request { exchange, request },
                    },
                );
            });
    }

    /// A request reaches a proxy.
    pub(super) fn request(&mut self, at: usize, exchange: u64, request: Request) {
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
            let denied = Reply::coded(&request.attempt_id, ResultCode::ShuttingDown, retry_after);
            return self.answer(&request, Some(at), denied);
        }
        let wake_ups = self.wake_ups.clone();
        let order = RequestInfo {
            attempt_id: request.attempt_id.clone(),
            name: match request.from {
                From::Nobody => request.service.to_owned(),
                _ => format!("{}.{}.example", request.service, self.shape.name),
            },
            path: format!("/{}", request.service),
            key: Some(request.key.clone()),
            arrived_at: node.local(self.now),
            remaining: request.remaining,
            body_bytes: request.work.len() as u64,
            forwarded: matches!(request.from, From::Proxy { .. }),
            wake_up: WakeUp::new(move || {
                wake_ups
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(exchange)
            }),
        };
        let routing = RequestState::new(order, node.site.clone());
        let sent = Sent {
            attempt_id: request.attempt_id.clone(),
            work: request.work.clone(),
            path: request.service,
            key: request.key.clone(),
            epoch: None,
        };
        let (address, instance, incarnation, waiting, chosen_by) =
            (String::new(), None, None, false, None);
        let made = Exchange {
            node: at,
            routing,
            request,
            sent,
            send: 0,
            instance,
            address,
            incarnation,
            connection: None,
            may_reuse: true,
            skipped: 0,
            waiting,
            chosen_by,
        };
        self.exchanges.insert(exchange, made);
        self.decide(exchange, RoutingEvent::Start);
    }

    /// Whoever waits for a seat and was called, or waited long enough.
    pub(super) fn called(&mut self, at: usize, id: u64) {
        let waits = self
            .exchanges
            .get(&id)
            .is_some_and(|exchange| exchange.node == at && exchange.waiting);
        if waits {
            self.decide(id, RoutingEvent::WokenUp);
        }
    }

    /// The bells that rang while the last thing happened.
    pub(super) fn deliver_wake_ups(&mut self) {
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
    pub(super) fn connected(&mut self, at: usize, id: u64, send: u32, incarnation: (usize, u64)) {
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
            self.decide(id, RoutingEvent::Connected { unwritable });
        });
    }

    /// Steps a journey.
    fn decide(&mut self, id: u64, told: RoutingEvent) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let node = &self.nodes[exchange.node];
        let Core::DataNode(data_node, proxy_stats) = &node.core else {
            return;
        };
        let local = node.local(self.now);
        let mut view = data_node.view().clone();
        if self.defects.ignores_warm_up {
            let warm = |upstream: &Arc<Upstream>| {
                Arc::new(Upstream {
                    warm: true,
                    ..(**upstream).clone()
                })
            };
            Arc::make_mut(&mut view.upstreams)
                .values_mut()
                .for_each(|known| {
                    known
                        .values_mut()
                        .for_each(|upstream| *upstream = warm(upstream));
                });
        }
        exchange.waiting = false;
        let mut reply = None;
        let next = match told {
            RoutingEvent::Start => exchange.routing.start(local, &view, proxy_stats),
            RoutingEvent::WokenUp => exchange.routing.on_wake_up(local, &view, proxy_stats),
            RoutingEvent::Connected { unwritable } => {
                let (judged_at, judged_by) =
                    exchange.chosen_by.take().unwrap_or((local, view.clone()));
                match exchange
                    .routing
                    .on_connected(judged_at, &judged_by, proxy_stats)
                {
                    NextStep::Send { .. } if unwritable => {
                        exchange.may_reuse = false;
                        exchange.routing.on_not_written(local)
                    }
                    next => next,
                }
            }
            RoutingEvent::CallEnded(outcome, came) => {
                reply = came;
                if self.defects.unlimited_retry_budget {
                    let service = proxy_stats.service(exchange.request.service);
                    (0..1000).for_each(|_| service.retry_budget.record_first_send(local));
                }
                exchange
                    .routing
                    .on_outcome(local, &view, proxy_stats, outcome)
            }
        };
        match next {
            NextStep::Connect { upstream, within } => {
                exchange.send += 1;
                exchange.instance = Some(upstream.instance.clone());
                (
                    exchange.address,
                    exchange.incarnation,
                    exchange.connection,
                    exchange.skipped,
                ) = (upstream.address.clone(), None, None, 0);
                exchange.chosen_by =
                    Some((local, view)).filter(|_| self.defects.skips_check_after_connect);
                let (send, at, may_reuse) = (exchange.send, exchange.node, exchange.may_reuse);
                let kept = if may_reuse {
                    self.reuse_connection(at, &upstream.address)
                } else {
                    None
                };
                if let Some((connection, incarnation)) = kept {
                    self.exchanges
                        .get_mut(&id)
                        .into_iter()
                        .for_each(|exchange| exchange.connection = Some(connection));
                    let event = NodeEvent::Connected {
                        exchange: id,
                        send,
                        incarnation,
                    };
                    self.after(Duration::ZERO, Action::Deliver { node: at, event });
                    return self.trigger_ambush(at, &upstream.instance);
                }
                let (delay, cut) = self.way_to(
                    at,
                    &upstream.address,
                    within.min(transport::CONNECT_TIMEOUT),
                );
                self.after(
                    delay,
                    Action::AcceptConnection {
                        exchange: id,
                        send,
                        address: upstream.address.clone(),
                        cut,
                    },
                );
                let late = (CallOutcome::NotConnected, None);
                self.after_outcome(id, send, late, within.min(transport::CONNECT_TIMEOUT));
                self.trigger_ambush(at, &upstream.instance);
            }
            NextStep::Send { share, within } => {
                // From here on an answer to the connecting is of no interest.
                exchange.send += 1;
                exchange.sent.epoch = share.map(|share| share.epoch);
                let (send, at, address) = (exchange.send, exchange.node, exchange.address.clone());
                let (delay, cut) = self.way_to(at, &address, transport::CONNECT_TIMEOUT);
                self.after(
                    delay,
                    Action::ReceiveCall {
                        exchange: id,
                        send,
                        cut,
                    },
                );
                self.after_outcome(id, send, (CallOutcome::TimedOut, None), within);
            }
            NextStep::Wait { within } => {
                exchange.waiting = true;
                let node = exchange.node;
                self.after(
                    within,
                    Action::Deliver {
                        node,
                        event: NodeEvent::WakeUp { exchange: id },
                    },
                );
            }
            NextStep::Forward { proxies, within } => {
                exchange.send += 1;
                exchange.instance = None;
                let (send, at) = (exchange.send, exchange.node);
                let from = From::Proxy {
                    exchange: id,
                    send,
                    node: at,
                };
                let request = Request {
                    remaining: within,
                    from,
                    ..exchange.request.clone()
                };
                let reachable = proxies
                    .iter()
                    .filter_map(|proxy| self.nodes.iter().position(|node| node.name == *proxy));
                let mut reachable = reachable.filter(|to| self.nodes[*to].up);
                let to = reachable.next();
                let delay = to.and_then(|to| {
                    self.network
                        .delay(
                            &mut self.random,
                            &self.nodes[at].place,
                            &self.nodes[to].place,
                        )
                        .map(|delay| (to, delay))
                });
                match delay {
                    Some((node, delay)) => {
                        let next = self.id();
                        self.after(
                            delay,
                            Action::Deliver {
                                node,
                                event: NodeEvent::Request {
                                    exchange: next,
                                    request,
                                },
                            },
                        );
                        self.after_outcome(id, send, (CallOutcome::TimedOut, None), within);
                    }
                    None => self.after_outcome(
                        id,
                        send,
                        (CallOutcome::NotConnected, None),
                        within.min(RETRY_DELAY),
                    ),
                }
            }
            NextStep::PassResponse => self.end_exchange(
                id,
                reply.unwrap_or_else(|| Reply::coded("", ResultCode::ResponseLost, None)),
            ),
            NextStep::Answer { code, retry_after } => {
                let attempt_id = exchange.request.attempt_id.clone();
                self.end_exchange(id, Reply::coded(&attempt_id, code, retry_after));
            }
        }
    }

    /// How long something takes from a proxy to an address, and whether a cut keeps it from arriving; `patience` is
    /// how long the proxy's machine goes on trying.
    fn way_to(&mut self, from: usize, address: &str, patience: Duration) -> (Duration, bool) {
        let from = self.nodes[from].place.clone();
        let to = self
            .upstreams
            .iter()
            .find(|upstream| upstream.address == address)
            .map(|upstream| upstream.place.clone());
        let cut = to.as_ref().is_none_or(|to| self.network.blocked(&from, to));
        let delay = to.and_then(|to| self.network.delay(&mut self.random, &from, &to));
        // TCP sends a lost packet again; only a cut keeps it from arriving at all.
        (
            delay.unwrap_or(if cut {
                patience
            } else {
                Duration::from_millis(200)
            }),
            cut,
        )
    }

    fn end_exchange(&mut self, id: u64, reply: Reply) {
        let exchange = self.exchanges.remove(&id);
        exchange.into_iter().for_each(|exchange| {
            self.answer(&exchange.request, Some(exchange.node), reply.clone())
        });
    }

    /// Sends an answer back to whoever waits for it.
    fn answer(&mut self, request: &Request, node: Option<usize>, reply: Reply) {
        match &request.from {
            From::Origin { work, attempt } => {
                let (work, attempt) = (*work, *attempt);
                self.after(
                    Duration::from_millis(8),
                    Action::ReceiveResponse {
                        work,
                        attempt,
                        answer: reply,
                    },
                );
            }
            From::Nobody => {}
            From::Proxy {
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
                let judged = reply.judge(&request.attempt_id, None);
                let outcome = if denied || judged == CallOutcome::NotExecuted {
                    CallOutcome::Complete
                } else {
                    judged
                };
                delay.into_iter().for_each(|delay| {
                    self.after_outcome(
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
    pub(super) fn reply(&mut self, exchange: &Exchange, called: Result<(), CallError>) {
        called.err().into_iter().for_each(|called| {
            self.answer(
                &exchange.request,
                Some(exchange.node),
                Reply::failed(called),
            );
        });
    }

    pub(super) fn reply_to(&mut self, request: &Request, called: Result<(), CallError>) {
        called
            .err()
            .into_iter()
            .for_each(|called| self.answer(request, None, Reply::failed(called)));
    }

    fn after_outcome(
        &mut self,
        exchange: u64,
        send: u32,
        outcome: (CallOutcome, Option<Reply>),
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
    pub(super) fn back(
        &mut self,
        exchange: u64,
        send: u32,
        called: Result<Reply, CallError>,
        delay: Duration,
    ) {
        let Some(waiting) = self.exchanges.get(&exchange) else {
            return;
        };
        let reply = called.unwrap_or_else(Reply::failed);
        if self.defects.trusts_any_response {
            let outcome = reply
                .failed
                .map(|_| CallOutcome::NotExecuted)
                .unwrap_or(CallOutcome::Complete);
            return self.after_outcome(exchange, send, (outcome, Some(reply)), delay);
        }
        let outcome = reply.judge(&waiting.sent.attempt_id, waiting.instance.as_deref());
        self.after_outcome(exchange, send, (outcome, Some(reply)), delay);
    }

    pub(super) fn outcome(
        &mut self,
        at: usize,
        exchange: u64,
        send: u32,
        outcome: CallOutcome,
        reply: Option<Reply>,
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
            self.decide(exchange, RoutingEvent::CallEnded(outcome, reply));
        }
    }
}
