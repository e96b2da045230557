//! Simulated clients: each looks a name up, attempts its operation through a proxy, and retries what was not executed.

use crate::exchanges::{Request, Requester};
use crate::nodes::NodeEvent;
use crate::range_leases::skewed_key;
use crate::responses::Response;
use crate::schedule::Action;
use crate::world::World;
use invariants::observations::{FinishedOperation, Observation};
use locality::Locality;
use name_directory::LookupAnswer;
use random::Random;
use request_routing::CallOutcome;
use result_code::{Execution, ResultCode};
use std::collections::BTreeMap;
use std::time::Duration;
use transport::CallError;

const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
const MAX_ATTEMPTS: u32 = 4;
/// How long a client waits before it tries again, where the response does not say how long.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The stage of a client's operation.
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
struct CachedLookup {
    proxies: Vec<String>,
    asked_at: Duration,
    lifetime: Duration,
}

/// All clients' state.
#[derive(Default)]
pub struct Clients {
    operations: BTreeMap<u64, OperationState>,
    lookups: BTreeMap<(String, &'static str), CachedLookup>,
}

impl World {
    pub(crate) fn start_operation(&mut self) {
        let number = self.allocate_id();
        let mut random = Random::new(self.random.next_u64());
        let part = random.below(100);
        let mut up_to = 0;
        let at = self.shape.services.iter().position(|operation| {
            up_to += operation.percent;
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
        self.clients.operations.insert(number, state);
        self.start_attempt(number);
    }

    pub(crate) fn start_attempt(&mut self, operation: u64) {
        let now = self.now;
        let data_nodes = self.data_nodes();
        let Some(state) = self
            .clients
            .operations
            .get_mut(&operation)
            .filter(|state| state.stage == OperationStage::Idle)
        else {
            return;
        };
        if state.attempts >= MAX_ATTEMPTS || now >= state.started_at + REQUEST_TIMEOUT {
            return self.finish_operation(operation);
        }
        let id = (state.place.clone(), state.service);
        let live = self
            .clients
            .lookups
            .get(&id)
            .filter(|lookups| now < lookups.asked_at + lookups.lifetime)
            .cloned();
        if let Some(lookups) = live {
            return self.send_attempt(operation, &lookups);
        }
        state.stage = OperationStage::LookingUp { asked_at: now };
        let node = data_nodes[state.random.below(data_nodes.len() as u64) as usize];
        let name = format!("{}.{}.example", state.service, self.shape.name);
        let event = NodeEvent::Lookup {
            operation,
            name,
            place: state.place.clone(),
            asked_at: now,
        };
        self.after(Duration::from_millis(8), Action::Deliver { node, event });
        // A directory node that says nothing is given up on after a while.
        self.after(
            Duration::from_millis(700),
            Action::ReceiveLookup {
                operation,
                answer: None,
                asked_at: now,
            },
        );
    }

    pub(crate) fn answer_lookup(
        &mut self,
        at: usize,
        operation: u64,
        name: &str,
        place: &str,
        asked_at: Duration,
    ) {
        let lifetime = self.defects.lifetime;
        let node = &self.nodes[at];
        let client: Locality = place.parse().unwrap_or_default();
        let view = node.data_node().map(|data_node| data_node.view());
        let usable = view.filter(|view| node.site.may_use(view, node.local(self.now)));
        let answer = usable.and_then(|view| {
            name_directory::lookup(
                view,
                name,
                &client,
                &name_directory::LookupOptions {
                    ownership: self.shape.ownership,
                    max_proxies: 3,
                    lifetime,
                },
            )
            .ok()
        });
        self.after(
            Duration::from_millis(8),
            Action::ReceiveLookup {
                operation,
                answer,
                asked_at,
            },
        );
    }

    pub(crate) fn receive_lookup(
        &mut self,
        operation: u64,
        answer: Option<LookupAnswer>,
        asked_at: Duration,
    ) {
        let now = self.now;
        let Some(state) = self.clients.operations.get_mut(&operation) else {
            return;
        };
        if state.stage != (OperationStage::LookingUp { asked_at }) {
            return;
        }
        state.stage = OperationStage::Idle;
        let lookups = answer.map(|answer| CachedLookup {
            proxies: answer.proxies,
            asked_at,
            lifetime: answer.lifetime,
        });
        match lookups.filter(|lookups| now < asked_at + lookups.lifetime) {
            Some(lookups) => {
                self.clients
                    .lookups
                    .insert((state.place.clone(), state.service), lookups.clone());
                self.send_attempt(operation, &lookups);
            }
            None => {
                state.attempts += 1;
                state.last = Some(ResultCode::NoOwner);
                self.after(RETRY_DELAY, Action::StartAttempt { operation });
            }
        }
    }

    fn send_attempt(&mut self, operation: u64, lookups: &CachedLookup) {
        let now = self.now;
        let Some(state) = self.clients.operations.get_mut(&operation) else {
            return;
        };
        state.attempts += 1;
        let attempt = state.attempts;
        state.stage = OperationStage::Attempting { attempt };
        let address =
            lookups.proxies[state.random.below(lookups.proxies.len() as u64) as usize].clone();
        let remaining = (state.started_at + REQUEST_TIMEOUT)
            .saturating_sub(now)
            .max(Duration::from_millis(1));
        let request = Request {
            attempt_id: format!("try-{operation}-{attempt}"),
            operation: format!("work-{operation}"),
            service: state.service,
            key: state.key.clone(),
            remaining,
            from: Requester::Client { operation, attempt },
        };
        self.note(Observation::AddressUsed {
            age: now - lookups.asked_at,
        });
        self.note(Observation::AttemptStarted {
            operation: request.operation.clone(),
            attempt_id: request.attempt_id.clone(),
        });
        let patience = remaining + Duration::from_millis(500);
        let failed = Response::failed(CallError::TimedOut);
        self.after(
            patience,
            Action::ReceiveResponse {
                operation,
                attempt,
                answer: failed,
            },
        );
        let exchange = self.allocate_id();
        let node = self.nodes.iter().position(|node| node.name == address);
        node.into_iter().for_each(|node| {
            let event = NodeEvent::Request {
                exchange,
                request: request.clone(),
            };
            self.after(Duration::from_millis(8), Action::Deliver { node, event });
        });
    }

    pub(crate) fn receive_response(&mut self, operation: u64, attempt: u32, answer: Response) {
        let Some(state) = self.clients.operations.get_mut(&operation) else {
            return;
        };
        if state.stage != (OperationStage::Attempting { attempt }) {
            return;
        }
        state.stage = OperationStage::Idle;
        let (attempt_id, body) = (
            format!("try-{operation}-{attempt}"),
            format!("work-{operation}"),
        );
        if answer.failed == Some(CallError::NotConnected) {
            state.last = None;
            self.clients.lookups.clear();
            return self.after(RETRY_DELAY, Action::StartAttempt { operation });
        }
        let code = answer
            .code
            .filter(|_| answer.failed.is_none())
            .unwrap_or(ResultCode::ResponseLost);
        state.last = Some(code);
        let success = answer.failed.is_none() && answer.status == 200;
        let complete =
            answer.classify(&attempt_id, None) == CallOutcome::Complete && answer.body == body;
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
            self.after(wait, Action::StartAttempt { operation });
        } else {
            self.finish_operation(operation);
        }
    }

    fn finish_operation(&mut self, operation: u64) {
        let now = self.now;
        let state = self
            .clients
            .operations
            .get_mut(&operation)
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
        self.clients.operations.remove(&operation);
    }

    /// Sends one probe through every data-plane node, once there was more than one configuration.
    pub(crate) fn probe_markers(&mut self) {
        let several = self.operators.configurations() > 1;
        self.data_nodes()
            .into_iter()
            .filter(|_| several)
            .for_each(|node| {
                let exchange = self.allocate_id();
                let (attempt_id, operation, key) = (
                    format!("probe-{exchange}"),
                    format!("probe-{exchange}"),
                    String::from("probe"),
                );
                let remaining = Duration::from_millis(1000);
                let request = Request {
                    attempt_id,
                    operation,
                    service: "probe",
                    key,
                    remaining,
                    from: Requester::Nobody,
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
}
