//! The operators of a soak: changes of every kind, one after the other without rest, and now and then two at once.

use super::judgement::{Finding, ReadBack, accepted_invalid};
use crate::runs::submit_text;
use bytes::Bytes;
use config::JsonValue;
use invariants::observations::{Observation, ObservationLog};
use random::Random;
use simulator::shapes::{MARKERS, Shape};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use transport::{Clock, HttpClient};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Changes alter so many routes at most: tables don't grow with the number of changes.
const MAX_EXTRA_ROUTES: u64 = 12;
const LONGEST_REST_MS: u64 = 250;

/// What the operators share.
pub(super) struct Operators {
    shape: Shape,
    nodes: Arc<Vec<String>>,
    clock: Clock,
    record: ObservationLog,
    client: HttpClient,
    next: AtomicU64,
    is_over: AtomicBool,
    acknowledged_count: AtomicU64,
    acknowledged: Mutex<ReadBack>,
    findings: Mutex<Vec<Finding>>,
}

impl Operators {
    pub(super) fn new(
        shape: Shape,
        nodes: Arc<Vec<String>>,
        clock: Clock,
        record: ObservationLog,
    ) -> Arc<Self> {
        let nothing = ReadBack {
            node: String::new(),
            revision: 0,
            digest: String::new(),
        };
        Arc::new(Operators {
            shape,
            nodes,
            clock,
            record,
            client: HttpClient::default(),
            next: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            acknowledged_count: AtomicU64::new(0),
            acknowledged: Mutex::new(nothing),
            findings: Mutex::default(),
        })
    }

    /// How many changes were acknowledged.
    pub(super) fn acknowledged_count(&self) -> u64 {
        self.acknowledged_count.load(Ordering::Relaxed)
    }

    /// The newest change that was acknowledged.
    pub(super) fn acknowledged(&self) -> ReadBack {
        self.acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(super) fn stop(&self) {
        self.is_over.store(true, Ordering::Release);
    }

    pub(super) fn take_findings(&self) -> Vec<Finding> {
        std::mem::take(&mut self.findings.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Submits changes until told to stop.
    pub(super) async fn run(self: Arc<Self>, seed: u64) {
        let mut random = Random::new(seed);
        while !self.is_over.load(Ordering::Acquire) {
            match random.below(12) {
                0 => self.submit_invalid(&mut random).await,
                1 => {
                    let mut other = Random::new(random.next_u64());
                    tokio::join!(self.change(&mut random), self.change(&mut other));
                }
                _ => self.change(&mut random).await,
            }
            let rest = Duration::from_millis(random.below(LONGEST_REST_MS));
            tokio::time::sleep(rest).await;
        }
    }

    fn node(&self, random: &mut Random) -> String {
        self.nodes[random.below(self.nodes.len() as u64) as usize].clone()
    }

    /// Submits one change; sent again to the same node until its fate is known, or for too long.
    pub(super) async fn change(&self, random: &mut Random) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let extra = random.below(MAX_EXTRA_ROUTES) as usize;
        let configuration =
            with_varied_route(&self.shape.configuration(extra), &self.shape, random);
        let (node, id) = (self.node(random), format!("soak-{number}"));
        let submitted = submit_text(
            &self.client,
            &self.record,
            &self.clock,
            &node,
            &id,
            &configuration,
            extra % MARKERS.len(),
        );
        // Where nobody answers, whether it was decided is not known: nothing is claimed of it.
        let Ok(revision) = submitted.await else {
            return;
        };
        self.acknowledged_count.fetch_add(1, Ordering::Relaxed);
        let mut newest = self
            .acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if revision > newest.revision {
            *newest = ReadBack {
                node: String::new(),
                revision,
                digest: protocol::digest(configuration.as_bytes()),
            };
        }
    }

    async fn submit_invalid(&self, random: &mut Random) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let bodies = [
            r#"{"services": [], "routes": [{"id": "r", "name": "n", "path": "/", "service": "none"}]}"#,
            r#"{"services": [], "routes": [{"id""#,
            r#"{"services": [{"name": "s", "work": "sometimes"}], "routes": []}"#,
        ];
        let body = bodies[random.below(bodies.len() as u64) as usize];
        let path = format!("/setup?id=soak-invalid-{number}");
        let node = self.node(random);
        let called = self.client.call(
            &node,
            "PUT",
            &path,
            &[],
            Bytes::from(body),
            CALL_TIMEOUT,
            false,
        );
        let Ok(reply) = called.await else {
            return;
        };
        let code = reply.header("x-code").parse().unwrap_or(0);
        self.findings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(accepted_invalid(code));
    }

    /// Evacuates a zone, and takes it back after a while.
    pub(super) async fn evacuate(self: Arc<Self>, locality: String, pause: Duration, seed: u64) {
        let mut random = Random::new(seed);
        self.order_evacuation(&locality, false, &mut random).await;
        tokio::time::sleep(pause).await;
        self.order_evacuation(&locality, true, &mut random).await;
    }

    /// Orders it until it is acknowledged.
    async fn order_evacuation(&self, locality: &str, back: bool, random: &mut Random) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let escaped = locality.replace('/', "%2F");
        let path = format!("/evacuations?id=soak-{number}&locality={escaped}&back={back}");
        let evacuation = Observation::Evacuation {
            locality: locality.to_owned(),
            back,
        };
        if back {
            // Requests may go there from the moment it is asked for.
            self.record.note(self.clock.now(), evacuation.clone());
        }
        for _ in 0..60 {
            let node = self.node(random);
            let called =
                self.client
                    .call(&node, "POST", &path, &[], Bytes::new(), CALL_TIMEOUT, false);
            let reply = called.await.ok().filter(|reply| reply.status == 200);
            let json = reply
                .and_then(|reply| JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok());
            if let Some(json) = json {
                if !back {
                    self.record.note(self.clock.now(), evacuation);
                }
                let revision = json.count("edition").unwrap_or(0);
                self.record
                    .note(self.clock.now(), Observation::RevisionAccepted { revision });
                return;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }

    /// What every node reads back that answers at all.
    pub(super) async fn read_everywhere(&self) -> Vec<ReadBack> {
        let mut read = Vec::new();
        for node in self.nodes.iter() {
            let called = self.client.call(
                node,
                "GET",
                "/setup",
                &[],
                Bytes::new(),
                Duration::from_secs(2),
                false,
            );
            if let Some(reply) = called.await.ok().filter(|reply| reply.status == 200) {
                read.push(ReadBack {
                    node: node.clone(),
                    revision: reply.header("x-edition").parse().unwrap_or(0),
                    digest: protocol::digest(&reply.body),
                });
            }
        }
        read
    }
}

/// A configuration with one more route, whose weights and time-out differ from change to change.
fn with_varied_route(text: &str, shape: &Shape, random: &mut Random) -> String {
    let [first, second, _] = shape.services;
    let weight = 1 + random.below(99);
    let timeout_ms = 500 + random.below(5000);
    let route = format!(
        r#"    {{"id": "soak-route", "name": "soak", "path": "/soak", "split": [{{"service": "{}", "weight": {weight}}}, {{"service": "{}", "weight": {}}}], "timeoutMs": {timeout_ms}}},"#,
        first.service,
        second.service,
        100 - weight
    );
    text.replacen("\"routes\": [\n", &format!("\"routes\": [\n{route}\n"), 1)
}
