//! The path of a request in the simulator: origin, directory, proxy, upstream, and back.

use super::nodes::{Core, NodeEvent};
use super::ranged::busy_key;
use super::world::{Action, World};
use invariants::facts::Ended;
use invariants::facts::Fact;
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

const WITHIN: Duration = Duration::from_millis(3000);
const MAX_TRIES: u32 = 4;
const SOON: Duration = Duration::from_millis(200);

/// An answer on its way, as the wire would carry it.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub code: Option<ResultCode>,
    pub try_id: String,
    pub instance: String,
    pub seal: String,
    pub body: String,
    pub retry_after: Option<Duration>,
    /// Set where no answer came.
    pub failed: Option<CallError>,
}

impl Reply {
    pub fn sealed(try_id: &str, instance: &str, status: u16, body: &str) -> Reply {
        let seal = protocol::seal(try_id, instance, status, body.as_bytes());
        let (try_id, instance, body) = (try_id.to_owned(), instance.to_owned(), body.to_owned());
        Reply {
            status,
            code: Some(ResultCode::Success),
            try_id,
            instance,
            seal,
            body,
            retry_after: None,
            failed: None,
        }
    }

    fn coded(try_id: &str, code: ResultCode, retry_after: Option<Duration>) -> Reply {
        let (try_id, instance) = (try_id.to_owned(), String::new());
        let (seal, body) = (String::new(), String::new());
        Reply {
            status: code.status(),
            code: Some(code),
            try_id,
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
            ("x-try-id", &self.try_id),
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
    pub(super) fn judge(&self, try_id: &str, instance: Option<&str>) -> CallOutcome {
        let reply = transport::Reply {
            status: self.status,
            headers: self.headers(),
            body: self.body.clone().into(),
        };
        let called = self.failed.map(Err).unwrap_or(Ok(reply));
        data_plane::judge_response(&called, try_id, instance)
    }
}

/// A request on its way to a proxy.
#[derive(Clone, Debug)]
pub struct Request {
    pub try_id: String,
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
        try_number: u32,
    },
    /// Nobody: a probe shows by where it arrives.
    Nobody,
    /// Another proxy forwarded it.
    Proxy {
        trip: u64,
        send: u32,
        node: usize,
    },
}

/// What a call carries to an upstream.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    pub try_id: String,
    pub work: String,
    pub path: &'static str,
    pub key: String,
    pub epoch: Option<u64>,
}

/// One request at one proxy.
pub struct Trip {
    pub node: usize,
    pub journey: RequestState,
    pub request: Request,
    pub sent: Sent,
    /// Counts calls, so that an answer to an earlier one is dropped.
    pub send: u32,
    pub instance: Option<String>,
    /// Where the connection leads: the address, and the life of whoever accepted it.
    pub address: String,
    pub life: Option<(usize, u64)>,
    /// The connection, where they are kept, and whether a kept one may be taken.
    pub connection: Option<u64>,
    pub may_reuse: bool,
    /// How many answers to other requests were read past.
    pub passed: usize,
    pub waiting: bool,
    /// In a world that does not judge again: what it chose by.
    pub chosen_by: Option<(Duration, View)>,
}

/// What a journey is told.
enum Told {
    Start,
    Connected {
        /// Its kept connection ended, or something came on it, before it was written to.
        unwritable: bool,
    },
    CallError,
    CallOutcome(CallOutcome, Option<Reply>),
}

/// Where one origin stands with its work.
#[derive(Clone, Copy, PartialEq)]
enum Stand {
    Resting,
    Asking { asked_at: Duration },
    Trying { try_number: u32 },
    Done,
}

struct WorkState {
    service: &'static str,
    place: String,
    key: String,
    started_at: Duration,
    tries: u32,
    last: Option<ResultCode>,
    random: Random,
    stand: Stand,
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
    works: BTreeMap<u64, WorkState>,
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
            (true, hot) => busy_key(self.now, hot, &mut random).to_string(),
            (false, true) => "key-hot".to_owned(),
            (false, false) => format!("key-{}", random.below(400)),
        };
        let (started_at, stand) = (self.now, Stand::Resting);
        let state = WorkState {
            service,
            place,
            key,
            started_at,
            tries: 0,
            last: None,
            random,
            stand,
        };
        self.origins.works.insert(number, state);
        self.origin_try(number);
    }

    pub(super) fn origin_try(&mut self, work: u64) {
        let now = self.now;
        let carriers = self.carriers();
        let Some(state) = self
            .origins
            .works
            .get_mut(&work)
            .filter(|state| state.stand == Stand::Resting)
        else {
            return;
        };
        if state.tries >= MAX_TRIES || now >= state.started_at + WITHIN {
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
        state.stand = Stand::Asking { asked_at: now };
        let node = carriers[state.random.below(carriers.len() as u64) as usize];
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
            Action::OriginTold {
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
        let (stale_after, lifetime) = (self.weak.stale_after, self.weak.lifetime);
        let node = &self.nodes[at];
        let origin: Locality = place.parse().unwrap_or_default();
        let view = node.carrier().map(|carrier| carrier.view());
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
            Action::OriginTold {
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
        let Some(state) = self.origins.works.get_mut(&work) else {
            return;
        };
        if state.stand != (Stand::Asking { asked_at }) {
            return;
        }
        state.stand = Stand::Resting;
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
                state.tries += 1;
                state.last = Some(ResultCode::NoOwner);
                self.after(SOON, Action::OriginTry { work });
            }
        }
    }

    fn origin_send(&mut self, work: u64, known: &Known) {
        let now = self.now;
        let Some(state) = self.origins.works.get_mut(&work) else {
            return;
        };
        state.tries += 1;
        let try_number = state.tries;
        state.stand = Stand::Trying { try_number };
        let address =
            known.proxies[state.random.below(known.proxies.len() as u64) as usize].clone();
        let remaining = (state.started_at + WITHIN)
            .saturating_sub(now)
            .max(Duration::from_millis(1));
        let request = Request {
            try_id: format!("try-{work}-{try_number}"),
            work: format!("work-{work}"),
            service: state.service,
            key: state.key.clone(),
            remaining,
            from: From::Origin { work, try_number },
        };
        self.note(Fact::AddressUsed {
            age: now - known.asked_at,
        });
        self.note(Fact::Tried {
            work: request.work.clone(),
            try_id: request.try_id.clone(),
        });
        let patience = remaining + Duration::from_millis(500);
        let failed = Reply::failed(CallError::TimedOut);
        self.after(
            patience,
            Action::OriginAnswer {
                work,
                try_number,
                answer: failed,
            },
        );
        let trip = self.id();
        let node = self.nodes.iter().position(|node| node.name == address);
        node.into_iter().for_each(|node| {
            let event = NodeEvent::Request {
                trip,
                request: request.clone(),
            };
            self.after(Duration::from_millis(8), Action::Deliver { node, event });
        });
    }

    pub(super) fn origin_answer(&mut self, work: u64, try_number: u32, answer: Reply) {
        let Some(state) = self.origins.works.get_mut(&work) else {
            return;
        };
        if state.stand != (Stand::Trying { try_number }) {
            return;
        }
        state.stand = Stand::Resting;
        let (try_id, body) = (format!("try-{work}-{try_number}"), format!("work-{work}"));
        if answer.failed == Some(CallError::NotConnected) {
            state.last = None;
            self.origins.known.clear();
            return self.after(SOON, Action::OriginTry { work });
        }
        let code = answer
            .code
            .filter(|_| answer.failed.is_none())
            .unwrap_or(ResultCode::ResponseLost);
        state.last = Some(code);
        let success = answer.failed.is_none() && answer.status == 200;
        let whole = answer.judge(&try_id, None) == CallOutcome::Complete && answer.body == body;
        let not_run = !success && answer.failed.is_none() && code.kind() == Execution::NotExecuted;
        if answer.failed.is_none() {
            self.note(Fact::Answered {
                try_id,
                code: code.number(),
                success,
                whole,
                not_run,
            });
        }
        if not_run {
            let told = answer
                .retry_after
                .map(|told| self.load.retry_after_for.unwrap_or(told));
            let wait = told.unwrap_or(SOON);
            self.after(wait, Action::OriginTry { work });
        } else {
            self.origin_end(work);
        }
    }

    fn origin_end(&mut self, work: u64) {
        let now = self.now;
        let state = self
            .origins
            .works
            .get_mut(&work)
            .filter(|state| state.stand != Stand::Done);
        let ended = state.map(|state| {
            state.stand = Stand::Done;
            let (service, tries) = (state.service, state.tries);
            Ended {
                at: now,
                took: now - state.started_at,
                service,
                code: state.last.map(ResultCode::number).unwrap_or(0),
                tries,
            }
        });
        self.ended.extend(ended);
        self.origins.works.remove(&work);
    }

    /// One probe through every carrier, once there was more than one setup.
    pub(super) fn probe(&mut self) {
        let several = self.operators.configurations() > 1;
        self.carriers()
            .into_iter()
            .filter(|_| several)
            .for_each(|node| {
                let trip = self.id();
                let (try_id, work, key) = (
                    format!("probe-{trip}"),
                    format!("probe-{trip}"),
                    String::from("probe"),
                );
                let remaining = Duration::from_millis(1000);
                let request = Request {
                    try_id,
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
                        event: NodeEvent::Request { trip, request },
                    },
                );
            });
    }

    /// A request reaches a proxy.
    pub(super) fn request(&mut self, at: usize, trip: u64, request: Request) {
        let node = &self.nodes[at];
        if node
            .carrier()
            .is_some_and(|carrier| carrier.phase() == data_plane::Phase::Denying)
        {
            let retry_after =
                request_routing::retry_after_for(ResultCode::ShuttingDown, 0.0, &request.try_id);
            let denied = Reply::coded(&request.try_id, ResultCode::ShuttingDown, retry_after);
            return self.answer(&request, Some(at), denied);
        }
        let rung = self.rung.clone();
        let order = RequestInfo {
            attempt_id: request.try_id.clone(),
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
                rung.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(trip)
            }),
        };
        let journey = RequestState::new(order, node.site.clone());
        let sent = Sent {
            try_id: request.try_id.clone(),
            work: request.work.clone(),
            path: request.service,
            key: request.key.clone(),
            epoch: None,
        };
        let (address, instance, life, waiting, chosen_by) =
            (String::new(), None, None, false, None);
        let made = Trip {
            node: at,
            journey,
            request,
            sent,
            send: 0,
            instance,
            address,
            life,
            connection: None,
            may_reuse: true,
            passed: 0,
            waiting,
            chosen_by,
        };
        self.trips.insert(trip, made);
        self.decide(trip, Told::Start);
    }

    /// Whoever waits for a seat and was called, or waited long enough.
    pub(super) fn called(&mut self, at: usize, id: u64) {
        let waits = self
            .trips
            .get(&id)
            .is_some_and(|trip| trip.node == at && trip.waiting);
        if waits {
            self.decide(id, Told::CallError);
        }
    }

    /// The bells that rang while the last thing happened.
    pub(super) fn answer_bells(&mut self) {
        let rung = std::mem::take(&mut *self.rung.lock().unwrap_or_else(PoisonError::into_inner));
        rung.into_iter().for_each(|trip| {
            let node = self.trips.get(&trip).map(|trip| trip.node);
            node.into_iter().for_each(|node| {
                self.after(
                    Duration::ZERO,
                    Action::Deliver {
                        node,
                        event: NodeEvent::CallError { trip },
                    },
                )
            });
        });
    }

    /// The connection that a proxy asked for came up.
    pub(super) fn connected(&mut self, at: usize, id: u64, send: u32, life: (usize, u64)) {
        let mine = self
            .trips
            .get_mut(&id)
            .filter(|trip| trip.node == at && trip.send == send && trip.life.is_none());
        let opened = mine.map(|trip| {
            trip.life = Some(life);
            (trip.address.clone(), trip.connection)
        });
        opened.into_iter().for_each(|(address, kept)| {
            let connection = kept.or_else(|| self.open_kept(at, &address, life));
            let unwritable = connection.is_some_and(|connection| self.is_unwritable(connection));
            self.trips
                .get_mut(&id)
                .into_iter()
                .for_each(|trip| trip.connection = connection);
            self.decide(id, Told::Connected { unwritable });
        });
    }

    /// Steps a journey.
    fn decide(&mut self, id: u64, told: Told) {
        let Some(trip) = self.trips.get_mut(&id) else {
            return;
        };
        let node = &self.nodes[trip.node];
        let Core::DataNode(carrier, board) = &node.core else {
            return;
        };
        let local = node.local(self.now);
        let mut view = carrier.view().clone();
        if self.weak.forgets_warm_up {
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
        trip.waiting = false;
        let mut reply = None;
        let next = match told {
            Told::Start => trip.journey.start(local, &view, board),
            Told::CallError => trip.journey.on_wake_up(local, &view, board),
            Told::Connected { unwritable } => {
                let (judged_at, judged_by) = trip.chosen_by.take().unwrap_or((local, view.clone()));
                match trip.journey.on_connected(judged_at, &judged_by, board) {
                    NextStep::Send { .. } if unwritable => {
                        trip.may_reuse = false;
                        trip.journey.on_not_written(local)
                    }
                    next => next,
                }
            }
            Told::CallOutcome(outcome, came) => {
                reply = came;
                if self.weak.spendthrift {
                    let desk = board.service(trip.request.service);
                    (0..1000).for_each(|_| desk.first_sends.add(local));
                }
                trip.journey.on_outcome(local, &view, board, outcome)
            }
        };
        match next {
            NextStep::Connect { upstream, within } => {
                trip.send += 1;
                trip.instance = Some(upstream.instance.clone());
                (trip.address, trip.life, trip.connection, trip.passed) =
                    (upstream.address.clone(), None, None, 0);
                trip.chosen_by = Some((local, view)).filter(|_| self.weak.hasty);
                let (send, at, may_reuse) = (trip.send, trip.node, trip.may_reuse);
                let kept = if may_reuse {
                    self.take_kept(at, &upstream.address)
                } else {
                    None
                };
                if let Some((connection, life)) = kept {
                    self.trips
                        .get_mut(&id)
                        .into_iter()
                        .for_each(|trip| trip.connection = Some(connection));
                    let event = NodeEvent::Connected {
                        trip: id,
                        send,
                        life,
                    };
                    self.after(Duration::ZERO, Action::Deliver { node: at, event });
                    return self.spring_ambush(at, &upstream.instance);
                }
                let (delay, cut) = self.way_to(
                    at,
                    &upstream.address,
                    within.min(transport::CONNECT_TIMEOUT),
                );
                self.after(
                    delay,
                    Action::UnitConnect {
                        trip: id,
                        send,
                        address: upstream.address.clone(),
                        cut,
                    },
                );
                let late = (CallOutcome::NotConnected, None);
                self.after_outcome(id, send, late, within.min(transport::CONNECT_TIMEOUT));
                self.spring_ambush(at, &upstream.instance);
            }
            NextStep::Send { share, within } => {
                // From here on an answer to the connecting is of no interest.
                trip.send += 1;
                trip.sent.epoch = share.map(|share| share.epoch);
                let (send, at, address) = (trip.send, trip.node, trip.address.clone());
                let (delay, cut) = self.way_to(at, &address, transport::CONNECT_TIMEOUT);
                self.after(
                    delay,
                    Action::UnitCall {
                        trip: id,
                        send,
                        cut,
                    },
                );
                self.after_outcome(id, send, (CallOutcome::TimedOut, None), within);
            }
            NextStep::Wait { within } => {
                trip.waiting = true;
                let node = trip.node;
                self.after(
                    within,
                    Action::Deliver {
                        node,
                        event: NodeEvent::CallError { trip: id },
                    },
                );
            }
            NextStep::Forward { proxies, within } => {
                trip.send += 1;
                trip.instance = None;
                let (send, at) = (trip.send, trip.node);
                let from = From::Proxy {
                    trip: id,
                    send,
                    node: at,
                };
                let request = Request {
                    remaining: within,
                    from,
                    ..trip.request.clone()
                };
                let reachable = proxies
                    .iter()
                    .filter_map(|proxy| self.nodes.iter().position(|node| node.name == *proxy));
                let mut reachable = reachable.filter(|to| self.nodes[*to].up);
                let to = reachable.next();
                let delay = to.and_then(|to| {
                    self.net
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
                                    trip: next,
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
                        within.min(SOON),
                    ),
                }
            }
            NextStep::PassResponse => self.end_trip(
                id,
                reply.unwrap_or_else(|| Reply::coded("", ResultCode::ResponseLost, None)),
            ),
            NextStep::Answer { code, retry_after } => {
                let try_id = trip.request.try_id.clone();
                self.end_trip(id, Reply::coded(&try_id, code, retry_after));
            }
        }
    }

    /// How long something takes from a proxy to an address, and whether a cut keeps it from arriving; `patience` is
    /// how long the proxy's machine goes on trying.
    fn way_to(&mut self, from: usize, address: &str, patience: Duration) -> (Duration, bool) {
        let from = self.nodes[from].place.clone();
        let to = self
            .units
            .iter()
            .find(|unit| unit.address == address)
            .map(|unit| unit.place.clone());
        let cut = to.as_ref().is_none_or(|to| self.net.blocked(&from, to));
        let delay = to.and_then(|to| self.net.delay(&mut self.random, &from, &to));
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

    fn end_trip(&mut self, id: u64, reply: Reply) {
        let trip = self.trips.remove(&id);
        trip.into_iter()
            .for_each(|trip| self.answer(&trip.request, Some(trip.node), reply.clone()));
    }

    /// Sends an answer back to whoever waits for it.
    fn answer(&mut self, request: &Request, node: Option<usize>, reply: Reply) {
        match &request.from {
            From::Origin { work, try_number } => {
                let (work, try_number) = (*work, *try_number);
                self.after(
                    Duration::from_millis(8),
                    Action::OriginAnswer {
                        work,
                        try_number,
                        answer: reply,
                    },
                );
            }
            From::Nobody => {}
            From::Proxy {
                trip,
                send,
                node: to,
            } => {
                let (trip, send, to) = (*trip, *send, *to);
                let places =
                    node.map(|node| (self.nodes[node].place.clone(), self.nodes[to].place.clone()));
                let delay = match places {
                    None => Some(Duration::from_millis(1)),
                    Some((from, to)) => self.net.delay(&mut self.random, &from, &to),
                };
                let code = reply.code.filter(|_| reply.failed.is_none());
                let denied =
                    reply.seal.is_empty() && code.is_some_and(|code| code != ResultCode::Success);
                let judged = reply.judge(&request.try_id, None);
                let outcome = if denied || judged == CallOutcome::NotExecuted {
                    CallOutcome::Complete
                } else {
                    judged
                };
                delay.into_iter().for_each(|delay| {
                    self.after_outcome(trip, send, (outcome.clone(), Some(reply.clone())), delay);
                });
            }
        }
    }

    /// A process died, or was down, with this request.
    pub(super) fn reply(&mut self, trip: &Trip, called: Result<(), CallError>) {
        called.err().into_iter().for_each(|called| {
            self.answer(&trip.request, Some(trip.node), Reply::failed(called));
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
        trip: u64,
        send: u32,
        outcome: (CallOutcome, Option<Reply>),
        span: Duration,
    ) {
        let node = self.trips.get(&trip).map(|trip| trip.node);
        node.into_iter().for_each(|node| {
            let (outcome, reply) = outcome.clone();
            let event = NodeEvent::CallOutcome {
                trip,
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
        trip: u64,
        send: u32,
        called: Result<Reply, CallError>,
        delay: Duration,
    ) {
        let Some(waiting) = self.trips.get(&trip) else {
            return;
        };
        let reply = called.unwrap_or_else(Reply::failed);
        if self.weak.trusting {
            let outcome = reply
                .failed
                .map(|_| CallOutcome::NotExecuted)
                .unwrap_or(CallOutcome::Complete);
            return self.after_outcome(trip, send, (outcome, Some(reply)), delay);
        }
        let outcome = reply.judge(&waiting.sent.try_id, waiting.instance.as_deref());
        self.after_outcome(trip, send, (outcome, Some(reply)), delay);
    }

    pub(super) fn outcome(
        &mut self,
        at: usize,
        trip: u64,
        send: u32,
        outcome: CallOutcome,
        reply: Option<Reply>,
    ) {
        let mine = self
            .trips
            .get(&trip)
            .is_some_and(|trip| trip.node == at && trip.send == send);
        if mine {
            let connection = self
                .trips
                .get_mut(&trip)
                .and_then(|trip| trip.connection.take());
            let answered = reply.as_ref().is_some_and(|reply| reply.failed.is_none());
            let expected = answered && outcome != CallOutcome::InvalidResponse;
            connection
                .into_iter()
                .for_each(|connection| self.end_kept(connection, expected));
            self.decide(trip, Told::CallOutcome(outcome, reply));
        }
    }
}
