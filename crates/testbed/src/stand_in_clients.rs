//! Stand-in clients: they look a name up at a directory node, cache its answer for its lifetime, and send requests through a proxy.

use config::JsonValue;
use invariants::observations::{FinishedOperation, Observation, ObservationLog};
use key_space::KEY_COUNT;
use random::Random;
use result_code::{Execution, ResultCode};
use simulator::shapes::Shape;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use transport::{Clock, HttpClient, Reply};

const OPERATION_TIMEOUT: Duration = Duration::from_millis(3000);
const MAX_ATTEMPTS: u32 = 4;
const KEYS: u64 = 400;

/// What a directory node answered, and when it was asked.
#[derive(Clone)]
pub(crate) struct CachedLookup {
    pub(crate) proxies: Vec<String>,
    requested_at: Duration,
    lifetime: Duration,
}

/// All clients of a site.
pub struct StandInClients {
    /// The site.
    pub shape: Shape,
    /// HTTP addresses of the nodes that look names up.
    pub directories: Vec<String>,
    /// The run's clock.
    pub clock: Clock,
    /// Where attempts are noted.
    pub record: ObservationLog,
    client: HttpClient,
    cached: Mutex<HashMap<(String, &'static str), CachedLookup>>,
    finished: Mutex<Vec<FinishedOperation>>,
    next: AtomicU64,
}

impl StandInClients {
    /// Clients that look names up at these directory nodes.
    pub fn new(
        shape: Shape,
        directories: Vec<String>,
        clock: Clock,
        record: ObservationLog,
    ) -> Arc<StandInClients> {
        Arc::new(StandInClients {
            shape,
            directories,
            clock,
            record,
            client: HttpClient::default(),
            cached: Mutex::default(),
            finished: Mutex::default(),
            next: AtomicU64::new(1),
        })
    }

    /// Makes `perSecond` requests for a while, each on its own, whatever became of those before.
    pub async fn load(self: &Arc<Self>, per_second: u64, span: Duration) {
        let until = self.clock.now() + span;
        let mut tick = tokio::time::interval(Duration::from_micros(1_000_000 / per_second.max(1)));
        let mut in_flight = tokio::task::JoinSet::new();
        while self.clock.now() < until {
            tick.tick().await;
            let clients = self.clone();
            in_flight.spawn(async move { clients.run_operation().await });
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// How all work ended so far.
    pub fn finished(&self) -> Vec<FinishedOperation> {
        self.finished
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// One operation, retried until it is done, certainly failed, or out of time.
    pub async fn run_operation(&self) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let mut random = Random::new(number);
        let part = random.below(100);
        let mut up_to = 0;
        let at = self.shape.services.iter().position(|work| {
            up_to += work.percent;
            part < up_to
        });
        let work = self.shape.services[at.unwrap_or(0)];
        let place = self.shape.locality(random.below(6) as usize);
        let key = if work.numbered {
            random.below(KEY_COUNT.into()).to_string()
        } else {
            format!("key-{}", random.below(KEYS))
        };
        let (name, id) = (format!("work-{number}"), work.service);
        let started_at = self.clock.now();
        let (mut last, mut attempts) = (0, 0);
        while attempts < MAX_ATTEMPTS && self.clock.now() < started_at + OPERATION_TIMEOUT {
            attempts += 1;
            let left = (started_at + OPERATION_TIMEOUT).saturating_sub(self.clock.now());
            let attempt_id = format!("try-{number}-{attempts}");
            let (code, wait) = self
                .attempt(&mut random, id, &place, &key, &name, &attempt_id, left)
                .await;
            last = code.map(ResultCode::number).unwrap_or(0);
            if code.is_some_and(|code| code.kind() != Execution::NotExecuted) {
                break;
            }
            let left = (started_at + OPERATION_TIMEOUT).saturating_sub(self.clock.now());
            if wait >= left {
                break;
            }
            tokio::time::sleep(wait).await;
        }
        let now = self.clock.now();
        let finished = FinishedOperation {
            at: now,
            took: now - started_at,
            service: work.service,
            code: last,
            attempts,
        };
        self.finished
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(finished);
    }

    /// One attempt: its code (none where nothing was reached) and when to retry.
    #[allow(clippy::too_many_arguments)]
    async fn attempt(
        &self,
        random: &mut Random,
        service: &'static str,
        place: &str,
        key: &str,
        work: &str,
        attempt_id: &str,
        left: Duration,
    ) -> (Option<ResultCode>, Duration) {
        let soon = Duration::from_millis(200);
        let Some(cached) = self.look_up(random, service, place).await else {
            return (None, soon);
        };
        let at = random.below(cached.proxies.len() as u64) as usize;
        self.record.note(
            self.clock.now(),
            Observation::AddressUsed {
                age: self.clock.now() - cached.requested_at,
            },
        );
        self.record.note(
            self.clock.now(),
            Observation::AttemptStarted {
                operation: work.into(),
                attempt_id: attempt_id.into(),
            },
        );
        let remaining = left.as_millis().max(1).to_string();
        let headers = [
            ("x-try-id", attempt_id),
            ("x-remaining-ms", remaining.as_str()),
            ("x-key", key),
        ];
        let path = format!("/r/{service}.{}.example/{service}", self.shape.name);
        let patience = left + Duration::from_millis(500);
        let body = bytes::Bytes::from(work.to_owned());
        let called = self
            .client
            .call(
                &cached.proxies[at],
                "POST",
                &path,
                &headers,
                body,
                patience,
                false,
            )
            .await;
        match called {
            Err(transport::CallError::NotConnected) => {
                self.cached
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clear();
                (None, soon)
            }
            Err(_) => (Some(ResultCode::ResponseLost), soon),
            Ok(reply) => {
                let code = self.note_answer(attempt_id, work, &reply);
                let retry_after = reply.header("retry-after").parse();
                let wait = retry_after.map(Duration::from_secs).unwrap_or(soon);
                (Some(code), wait)
            }
        }
    }

    /// Notes a proxy's answer to an attempt, and returns its code.
    pub(crate) fn note_answer(&self, attempt_id: &str, work: &str, reply: &Reply) -> ResultCode {
        let code = reply.header("x-code").parse().ok();
        let code = code.and_then(ResultCode::from_number);
        let code = code.unwrap_or(ResultCode::InvalidResponse);
        let success = reply.status == 200;
        let instance = reply.header("x-instance");
        let seal = protocol::seal(attempt_id, instance, reply.status, &reply.body);
        let complete = reply.header("x-seal") == seal
            && reply.header("x-try-id") == attempt_id
            && reply.body == work.as_bytes();
        let answered = Observation::AttemptAnswered {
            attempt_id: attempt_id.into(),
            code: code.number(),
            success,
            complete,
            not_executed: !success && code.kind() == Execution::NotExecuted,
        };
        self.record.note(self.clock.now(), answered);
        code
    }

    pub(crate) async fn look_up(
        &self,
        random: &mut Random,
        service: &'static str,
        place: &str,
    ) -> Option<CachedLookup> {
        let id = (place.to_owned(), service);
        let cached = self
            .cached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned();
        let live = cached.filter(|cached| self.clock.now() < cached.requested_at + cached.lifetime);
        if live.is_some() {
            return live;
        }
        let (region, zone) = place.split_once('/')?;
        let path = format!(
            "/directory?name={service}.{}.example&region={region}&zone={zone}",
            self.shape.name
        );
        let requested_at = self.clock.now();
        let node = &self.directories[random.below(self.directories.len() as u64) as usize];
        let called = self
            .client
            .call(
                node,
                "GET",
                &path,
                &[],
                bytes::Bytes::new(),
                Duration::from_secs(1),
                true,
            )
            .await;
        let reply = called.ok().filter(|reply| reply.status == 200)?;
        let json = JsonValue::parse(std::str::from_utf8(&reply.body).ok()?).ok()?;
        let proxies: Vec<String> = json
            .list("proxies")
            .iter()
            .filter_map(|proxy| match proxy {
                JsonValue::String(address) => Some(address.clone()),
                _ => None,
            })
            .collect();
        let lifetime = Duration::from_millis(json.count("lifetimeMs")?);
        let cached = Some(CachedLookup {
            proxies,
            requested_at,
            lifetime,
        })
        .filter(|cached| !cached.proxies.is_empty())?;
        self.cached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, cached.clone());
        Some(cached)
    }
}
