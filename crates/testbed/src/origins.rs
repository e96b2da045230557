//! Stand-in origins: they ask a directory node, keep its answer for its lifetime, and try through a proxy.

use config::JsonValue;
use invariants::observations::{FinishedOperation, Observation, ObservationLog};
use random::Random;
use result_code::{Execution, ResultCode};
use simulator::shapes::Shape;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use transport::{Clock, HttpClient};

const WITHIN: Duration = Duration::from_millis(3000);
const MAX_TRIES: u32 = 4;
const KEYS: u64 = 400;

/// What a directory node told, and when it was asked.
#[derive(Clone)]
struct Known {
    proxies: Vec<String>,
    asked_at: Duration,
    lifetime: Duration,
}

/// All origins of a site.
pub struct Origins {
    pub shape: Shape,
    pub directories: Vec<String>,
    pub clock: Clock,
    pub record: ObservationLog,
    client: HttpClient,
    known: Mutex<HashMap<(String, &'static str), Known>>,
    ended: Mutex<Vec<FinishedOperation>>,
    next: AtomicU64,
}

impl Origins {
    /// Origins that ask these directory nodes.
    pub fn new(
        shape: Shape,
        directories: Vec<String>,
        clock: Clock,
        record: ObservationLog,
    ) -> Arc<Origins> {
        Arc::new(Origins {
            shape,
            directories,
            clock,
            record,
            client: HttpClient::default(),
            known: Mutex::default(),
            ended: Mutex::default(),
            next: AtomicU64::new(1),
        })
    }

    /// Makes `perSecond` requests for a while, each on its own, whatever became of those before.
    pub async fn load(self: &Arc<Self>, per_second: u64, span: Duration) {
        let until = self.clock.now() + span;
        let mut tick = tokio::time::interval(Duration::from_micros(1_000_000 / per_second.max(1)));
        let mut under_way = tokio::task::JoinSet::new();
        while self.clock.now() < until {
            tick.tick().await;
            let origins = self.clone();
            under_way.spawn(async move { origins.one().await });
            while under_way.try_join_next().is_some() {}
        }
        while under_way.join_next().await.is_some() {}
    }

    /// How all work ended so far.
    pub fn ended(&self) -> Vec<FinishedOperation> {
        self.ended
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// One piece of work, tried until it is done, surely lost, or out of time.
    pub async fn one(&self) {
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
        let key = format!("key-{}", random.below(KEYS));
        let (name, id) = (format!("work-{number}"), work.service);
        let started_at = self.clock.now();
        let (mut last, mut attempts) = (0, 0);
        while attempts < MAX_TRIES && self.clock.now() < started_at + WITHIN {
            attempts += 1;
            let left = (started_at + WITHIN).saturating_sub(self.clock.now());
            let attempt_id = format!("try-{number}-{attempts}");
            let (code, wait) = self
                .attempt(&mut random, id, &place, &key, &name, &attempt_id, left)
                .await;
            last = code.map(ResultCode::number).unwrap_or(0);
            if code.is_some_and(|code| code.kind() != Execution::NotExecuted) {
                break;
            }
            let left = (started_at + WITHIN).saturating_sub(self.clock.now());
            if wait >= left {
                break;
            }
            tokio::time::sleep(wait).await;
        }
        let now = self.clock.now();
        let ended = FinishedOperation {
            at: now,
            took: now - started_at,
            service: work.service,
            code: last,
            attempts,
        };
        self.ended
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(ended);
    }

    /// One try: its code (none where surely nothing was reached) and when to come back.
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
        let Some(known) = self.ask(random, service, place).await else {
            return (None, soon);
        };
        let at = random.below(known.proxies.len() as u64) as usize;
        self.record.note(
            self.clock.now(),
            Observation::AddressUsed {
                age: self.clock.now() - known.asked_at,
            },
        );
        self.record.note(
            self.clock.now(),
            Observation::AttemptStarted {
                work: work.into(),
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
                &known.proxies[at],
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
                self.known
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clear();
                (None, soon)
            }
            Err(_) => (Some(ResultCode::ResponseLost), soon),
            Ok(reply) => {
                let code = reply
                    .header("x-code")
                    .parse()
                    .ok()
                    .and_then(ResultCode::from_number);
                let success = reply.status == 200;
                let seal = protocol::seal(
                    attempt_id,
                    reply.header("x-instance"),
                    reply.status,
                    &reply.body,
                );
                let complete = reply.header("x-seal") == seal
                    && reply.header("x-try-id") == attempt_id
                    && reply.body == work.as_bytes();
                let code = code.unwrap_or(ResultCode::InvalidResponse);
                let not_executed = !success && code.kind() == Execution::NotExecuted;
                let answered = Observation::AttemptAnswered {
                    attempt_id: attempt_id.into(),
                    code: code.number(),
                    success,
                    complete,
                    not_executed,
                };
                self.record.note(self.clock.now(), answered);
                let wait = reply
                    .header("retry-after")
                    .parse()
                    .map(Duration::from_secs)
                    .unwrap_or(soon);
                (Some(code), wait)
            }
        }
    }

    async fn ask(&self, random: &mut Random, service: &'static str, place: &str) -> Option<Known> {
        let id = (place.to_owned(), service);
        let known = self
            .known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned();
        let live = known.filter(|known| self.clock.now() < known.asked_at + known.lifetime);
        if live.is_some() {
            return live;
        }
        let (region, zone) = place.split_once('/')?;
        let path = format!(
            "/directory?name={service}.{}.example&region={region}&zone={zone}",
            self.shape.name
        );
        let asked_at = self.clock.now();
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
        let known = Some(Known {
            proxies,
            asked_at,
            lifetime,
        })
        .filter(|known| !known.proxies.is_empty())?;
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, known.clone());
        Some(known)
    }
}
