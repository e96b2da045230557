//! Clients that open a connection to one proxy and keep using it until the process behind it is gone: through drain,
//! freeze and restart. Some send one request after the other, some rest between them, some leave midway.

use super::judgement::LostConnection;
use crate::stand_in_clients::StandInClients;
use bytes::Bytes;
use invariants::observations::Observation;
use random::Random;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use transport::{Connection, OutboundRequest, header_map};

/// How long one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the client waits beyond that for an answer.
const EXTRA_PATIENCE: Duration = Duration::from_secs(1);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A slow client rests for up to so long, which is within the time that proxies keep a connection idle.
const LONGEST_REST_MS: u64 = 3000;
/// A client that leaves does so within this after sending a request.
const LEAVES_WITHIN_MS: u64 = 10;

/// How a client uses its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Habit {
    Busy,
    Slow,
    Leaving,
}

/// What all of these clients share.
pub(super) struct HeldConnections {
    clients: Arc<StandInClients>,
    is_over: AtomicBool,
    next: AtomicU64,
    /// Requests answered on a connection that carried one before.
    pub(super) reused: AtomicU64,
    lost: Mutex<Vec<LostConnection>>,
}

impl HeldConnections {
    pub(super) fn new(clients: Arc<StandInClients>) -> Arc<Self> {
        Arc::new(HeldConnections {
            clients,
            is_over: AtomicBool::new(false),
            next: AtomicU64::new(0),
            reused: AtomicU64::new(0),
            lost: Mutex::default(),
        })
    }

    /// Starts one client for each proxy.
    pub(super) fn start(self: &Arc<Self>, proxies: &[String], seed: u64) {
        for (at, proxy) in proxies.iter().enumerate() {
            let habit = [Habit::Busy, Habit::Slow, Habit::Leaving][at % 3];
            let (shared, proxy) = (self.clone(), proxy.clone());
            let random = Random::new(seed ^ random::stable_hash(&proxy));
            tokio::spawn(async move { shared.run(&proxy, habit, random).await });
        }
    }

    pub(super) fn stop(&self) {
        self.is_over.store(true, Ordering::Release);
    }

    /// Every connection that ended without an answer to a request.
    pub(super) fn take_lost(&self) -> Vec<LostConnection> {
        std::mem::take(&mut self.lost.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn run(&self, proxy: &str, habit: Habit, mut random: Random) {
        let mut connection: Option<Connection> = None;
        while !self.is_over.load(Ordering::Acquire) {
            let open = match connection.take() {
                Some(open) => open,
                None => match Connection::open(proxy, REQUEST_TIMEOUT).await {
                    Ok(opened) => opened,
                    Err(_) => {
                        tokio::time::sleep(RECONNECT_DELAY).await;
                        continue;
                    }
                },
            };
            connection = self.request(proxy, open, habit, &mut random).await;
            let rest_ms = match habit {
                Habit::Busy => 20 + random.below(60),
                Habit::Slow => random.below(LONGEST_REST_MS),
                Habit::Leaving => 50 + random.below(500),
            };
            tokio::time::sleep(Duration::from_millis(rest_ms)).await;
        }
    }

    /// One request on a connection, which is given back where it can be used again.
    async fn request(
        &self,
        proxy: &str,
        connection: Connection,
        habit: Habit,
        random: &mut Random,
    ) -> Option<Connection> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (operation, attempt_id) = (format!("held-{number}"), format!("try-held-{number}"));
        let services = &self.clients.shape.services;
        let service = services[random.below(services.len() as u64) as usize].service;
        let key = format!("key-{}", random.below(400));
        let remaining = REQUEST_TIMEOUT.as_millis().to_string();
        let path = format!("/r/{service}.{}.example/{service}", self.clients.shape.name);
        let headers = [
            ("x-try-id", attempt_id.as_str()),
            ("x-remaining-ms", remaining.as_str()),
            ("x-key", key.as_str()),
        ];
        let clock = self.clients.clock;
        let sent_at = clock.now();
        self.clients.record.note(
            sent_at,
            Observation::AttemptStarted {
                operation: operation.clone(),
                attempt_id: attempt_id.clone(),
            },
        );
        let was_used = connection.is_used();
        let outbound = OutboundRequest {
            method: "POST",
            path: &path,
            headers: header_map(&headers),
            body: Bytes::from(operation.clone()),
            id: None,
        };
        let exchange = connection.exchange(outbound, REQUEST_TIMEOUT + EXTRA_PATIENCE);
        let patience = match habit {
            Habit::Leaving if random.below(2) == 0 => {
                Duration::from_millis(random.below(LEAVES_WITHIN_MS))
            }
            _ => REQUEST_TIMEOUT + 2 * EXTRA_PATIENCE,
        };
        // Where the client leaves midway, its connection goes with the exchange.
        let exchange = tokio::time::timeout(patience, exchange).await.ok()?;
        match &exchange.result {
            Ok(reply) => {
                self.clients.note_answer(&attempt_id, &operation, reply);
                self.reused
                    .fetch_add(u64::from(was_used), Ordering::Relaxed);
            }
            Err(transport::CallError::ConnectionLost) => {
                let lost = LostConnection {
                    address: proxy.to_owned(),
                    sent_at,
                    lost_at: clock.now(),
                };
                self.lost
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(lost);
            }
            Err(_) => {}
        }
        exchange.connection
    }
}
