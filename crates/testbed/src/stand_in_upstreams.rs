//! Stand-in upstreams: they send heartbeats, execute requests, seal responses, and own key shares by the rules of the interface.

use bytes::Bytes;
use config::JsonValue;
use http_body_util::Full;
use hyper::Response;
use invariants::observations::{Observation, ObservationLog};
use protocol::KeyShare;
use random::Random;
pub use simulator::grants::granted_slots;
use simulator::range_leases::RangeLeases;
use simulator::shapes::{ServiceProfile, marker_index};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use transport::{Clock, HttpClient, HttpRequest};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A response with numeric keys that takes longer is not taken.
const RANGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: u32 = 16;
const EXECUTION_TIME: Duration = Duration::from_millis(4);

/// A port that the kernel gives.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// One running stand-in.
pub struct StandInUpstream {
    /// The service that it executes.
    pub work: ServiceProfile,
    /// Its instance id.
    pub instance: String,
    /// Its region and zone.
    pub locality: String,
    /// Where it listens.
    pub address: String,
    clock: Clock,
    record: ObservationLog,
    busy: AtomicU32,
    warm: AtomicBool,
    is_draining: AtomicBool,
    heartbeat_number: AtomicU64,
    /// The lease holder of the placement role that answered last.
    lease_holder: AtomicU64,
    key_shares: Mutex<BTreeMap<u32, (u64, Duration)>>,
    /// Where its keys are numeric.
    ranges: Mutex<RangeLeases>,
    next_request: AtomicU64,
    fault: Mutex<UpstreamFault>,
    close: watch::Sender<bool>,
}

/// The fault of a stand-in, until it is set again.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFault {
    /// Of a thousand responses, how many are cut short, another's, noise or never sent, after the work was done.
    pub invalid_responses_per_mille: u64,
    /// Does and sends nothing before this.
    pub paused_until: Duration,
    /// Requests of these proxies never come through.
    pub ignores_requests_of: Vec<String>,
    /// Verdicts for these proxies never come through.
    pub withholds_responses_to: Vec<String>,
}

/// One request under way. Where its client leaves midway, the slot is free again with it.
struct BusySlot<'a> {
    busy: &'a AtomicU32,
    /// How many were under way before it.
    number: u32,
}

impl<'a> BusySlot<'a> {
    fn take(busy: &'a AtomicU32) -> Self {
        let number = busy.fetch_add(1, Ordering::AcqRel);
        BusySlot { busy, number }
    }
}

impl Drop for BusySlot<'_> {
    fn drop(&mut self) {
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A key that a request works on: it is not released before the request's end.
struct BusyKey<'a> {
    ranges: &'a Mutex<RangeLeases>,
    request: u64,
}

impl Drop for BusyKey<'_> {
    fn drop(&mut self) {
        let mut ranges = self.ranges.lock().unwrap_or_else(PoisonError::into_inner);
        ranges.working.remove(&(self.request, 0));
    }
}

/// Whether a request may be executed by the keys that are held.
enum KeyAdmission<'a> {
    /// Its key is not held here.
    Rejected,
    /// It needs no numeric key, or holds it until its end.
    Admitted(Option<BusyKey<'a>>),
}

/// A heartbeat that is sent.
struct SentHeartbeat {
    number: u64,
    sent_at: Duration,
}

impl StandInUpstream {
    /// Starts a stand-in at an address, [`ANY_PORT`] or one that another had before; it sends heartbeats to the nodes in turn.
    #[allow(clippy::too_many_arguments)]
    pub async fn start(
        at: &str,
        work: ServiceProfile,
        instance: String,
        locality: String,
        warm: bool,
        nodes: Arc<Vec<String>>,
        clock: Clock,
        record: ObservationLog,
    ) -> std::io::Result<Arc<StandInUpstream>> {
        let socket = TcpListener::bind(at).await?;
        let (close, closing) = watch::channel(false);
        let upstream = Arc::new(StandInUpstream {
            work,
            instance,
            locality,
            address: socket.local_addr()?.to_string(),
            clock,
            record,
            busy: AtomicU32::new(0),
            warm: AtomicBool::new(warm),
            is_draining: AtomicBool::new(false),
            heartbeat_number: AtomicU64::new(0),
            lease_holder: AtomicU64::new(0),
            key_shares: Mutex::default(),
            ranges: Mutex::default(),
            next_request: AtomicU64::new(0),
            fault: Mutex::default(),
            close,
        });
        let handler = upstream.clone();
        tokio::spawn(transport::serve(socket, closing.clone(), move |request| {
            let upstream = handler.clone();
            async move { upstream.serve(request).await }
        }));
        tokio::spawn(upstream.clone().send_heartbeats(nodes, closing));
        Ok(upstream)
    }

    /// Sets whether it is warmed up.
    pub fn set_warm(&self, warm: bool) {
        self.warm.store(warm, Ordering::Release);
    }

    /// Begins to drain; the caller sends the next heartbeat, which says so, at once.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.record.note(
            self.clock.now(),
            Observation::UpstreamDraining {
                instance: self.instance.clone(),
            },
        );
    }

    /// Sets its fault, or clears it.
    pub fn set_fault(&self, fault: UpstreamFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> UpstreamFault {
        self.fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn pause(&self) {
        let left = self.fault().paused_until.saturating_sub(self.clock.now());
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }

    /// Ends without notice.
    pub fn crash(&self) {
        let _ = self.close.send(true);
    }

    async fn send_heartbeats(
        self: Arc<Self>,
        nodes: Arc<Vec<String>>,
        mut closing: watch::Receiver<bool>,
    ) {
        let client = HttpClient::default();
        let mut random = Random::new(random::stable_hash(&self.instance));
        loop {
            let node = nodes[random.below(nodes.len() as u64) as usize].clone();
            self.pause().await;
            let known = self.lease_holder.load(Ordering::Acquire);
            let taken = self.send_heartbeat(&client, &node).await;
            let new_holder = self.work.keyed && self.lease_holder.load(Ordering::Acquire) != known;
            // The next heartbeat proves that it knows the new holder: the sooner, the less runs out.
            let pause = if taken && !new_holder && !self.is_releasing() {
                HEARTBEAT_INTERVAL
            } else {
                HEARTBEAT_RETRY_DELAY
            };
            let closed = async {
                let _ = closing.wait_for(|closing| *closing).await;
            };
            tokio::select! {
                _ = tokio::time::sleep(pause) => {}
                () = closed => return,
            }
        }
    }

    /// Sends one heartbeat; true where the node took it.
    pub async fn send_heartbeat(&self, client: &HttpClient, node: &str) -> bool {
        let sent = SentHeartbeat {
            number: self.heartbeat_number.fetch_add(1, Ordering::AcqRel) + 1,
            sent_at: self.clock.now(),
        };
        let body = self.describe(&sent).to_string();
        let called = client
            .call(
                node,
                "POST",
                "/beats",
                &[],
                body.into(),
                HEARTBEAT_TIMEOUT,
                false,
            )
            .await;
        let reply = called.ok().filter(|reply| reply.status == 200);
        let json = reply
            .as_ref()
            .and_then(|reply| std::str::from_utf8(&reply.body).ok())
            .and_then(|text| JsonValue::parse(text).ok());
        match &json {
            Some(json) if self.work.numbered => self.update_ranges(&sent, json),
            Some(json) => self.update_shares(sent.sent_at, json),
            None => {}
        }
        reply.is_some()
    }

    fn describe(&self, sent: &SentHeartbeat) -> JsonValue {
        let condition = if self.is_draining.load(Ordering::Acquire) {
            "leaving"
        } else {
            "ready"
        };
        let mut fields = vec![
            ("service".to_owned(), JsonValue::from(self.work.service)),
            ("instance".to_owned(), self.instance.as_str().into()),
            ("address".to_owned(), self.address.as_str().into()),
            ("locality".to_owned(), self.locality.as_str().into()),
            (
                "freeSlots".to_owned(),
                u64::from(SLOTS.saturating_sub(self.busy.load(Ordering::Acquire))).into(),
            ),
            ("warm".to_owned(), self.warm.load(Ordering::Acquire).into()),
            ("condition".to_owned(), condition.into()),
            (
                "holder".to_owned(),
                self.lease_holder.load(Ordering::Acquire).into(),
            ),
            ("beat".to_owned(), sent.number.into()),
        ];
        let held = if self.work.numbered {
            self.listed_ranges(sent.sent_at)
        } else {
            self.held_shares(sent.sent_at)
        };
        let runs = held.into_iter().map(|share| {
            JsonValue::object([
                ("from", u64::from(share.from).into()),
                ("until", u64::from(share.until).into()),
                ("epoch", share.epoch.into()),
            ])
        });
        fields.push(("holds".to_owned(), runs.collect()));
        JsonValue::Object(fields)
    }

    fn held_shares(&self, now: Duration) -> Vec<KeyShare> {
        let key_shares = self
            .key_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let live = key_shares.iter().filter(|(_, (_, until))| now < *until);
        live.map(|(slot, (epoch, _))| KeyShare {
            from: *slot,
            until: slot + 1,
            epoch: *epoch,
            ..KeyShare::default()
        })
        .collect()
    }

    fn ranges(&self) -> std::sync::MutexGuard<'_, RangeLeases> {
        self.ranges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_releasing(&self) -> bool {
        self.ranges().is_releasing()
    }

    /// The numeric keys that a heartbeat lists, once what is to be released and no request works on is released.
    fn listed_ranges(&self, now: Duration) -> Vec<KeyShare> {
        let mut ranges = self.ranges();
        ranges.run_out(now);
        for keys in ranges.release_keys("") {
            self.record.note(
                now,
                Observation::KeysReleased {
                    service: self.work.service.to_owned(),
                    keys,
                    instance: self.instance.clone(),
                },
            );
        }
        ranges.released.clear();
        ranges.listed(now)
    }

    /// An answer in time to the latest heartbeat that names shares says all that it holds from now on.
    fn update_ranges(&self, sent: &SentHeartbeat, json: &JsonValue) {
        let now = self.clock.now();
        let is_latest = sent.number == self.heartbeat_number.load(Ordering::Acquire);
        let span_ms = json
            .count("spanMs")
            .filter(|_| json.get("shares").is_some());
        let Some(span_ms) =
            span_ms.filter(|_| is_latest && now < sent.sent_at + RANGE_RESPONSE_TIMEOUT)
        else {
            return;
        };
        let row = |row: &JsonValue| {
            let (from, until) = (row.count("from")?, row.count("until")?);
            Some((from as u32..until as u32, row.count("epoch")?))
        };
        let granted = json.list("shares").iter().filter_map(row).collect();
        let mut ranges = self.ranges();
        ranges.run_out(now);
        ranges.take(granted, sent.sent_at + Duration::from_millis(span_ms));
        for (keys, until) in ranges.spans() {
            if now < until {
                self.record.note(
                    now,
                    Observation::KeysHeld {
                        service: self.work.service.to_owned(),
                        keys,
                        instance: self.instance.clone(),
                        until,
                    },
                );
            }
        }
    }

    /// An answer that names shares says all that it holds from now on, counted from when the heartbeat was sent.
    fn update_shares(&self, sent_at: Duration, json: &JsonValue) {
        json.count("holder")
            .into_iter()
            .for_each(|lease_holder| self.lease_holder.store(lease_holder, Ordering::Release));
        let Some(span_ms) = json
            .count("spanMs")
            .filter(|_| json.get("shares").is_some())
        else {
            return;
        };
        let until = sent_at + Duration::from_millis(span_ms);
        let now = self.clock.now();
        let granted = granted_slots(json);
        let mut key_shares = self
            .key_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let service = self.work.service.to_owned();
        key_shares.retain(|slot, _| {
            let kept = granted.contains_key(slot);
            if !kept {
                let (service, instance) = (service.clone(), self.instance.clone());
                self.record.note(
                    now,
                    Observation::KeysReleased {
                        service,
                        keys: *slot..slot + 1,
                        instance,
                    },
                );
            }
            kept
        });
        if now < until {
            granted.into_iter().for_each(|(slot, epoch)| {
                key_shares.insert(slot, (epoch, until));
                let (service, instance) = (service.clone(), self.instance.clone());
                self.record.note(
                    now,
                    Observation::KeysHeld {
                        service,
                        keys: slot..slot + 1,
                        instance,
                        until,
                    },
                );
            });
        }
    }

    /// Keyed work runs only under a share that is held at this moment, in the epoch that the proxy names.
    fn admit(&self, request: &HttpRequest) -> KeyAdmission<'_> {
        if self.work.numbered {
            return self.admit_numeric_key(request);
        }
        if self.holds_slot_of(request) {
            KeyAdmission::Admitted(None)
        } else {
            KeyAdmission::Rejected
        }
    }

    fn admit_numeric_key(&self, request: &HttpRequest) -> KeyAdmission<'_> {
        let mut ranges = self.ranges();
        let key = request.header("x-key").parse::<u32>();
        let held = key.ok().filter(|key| ranges.holds(*key, self.clock.now()));
        let Some(key) = held else {
            return KeyAdmission::Rejected;
        };
        let request = self.next_request.fetch_add(1, Ordering::AcqRel);
        ranges.working.insert((request, 0), key);
        KeyAdmission::Admitted(Some(BusyKey {
            ranges: &self.ranges,
            request,
        }))
    }

    fn holds_slot_of(&self, request: &HttpRequest) -> bool {
        let now = self.clock.now();
        let slot = key_space::slot_of_key(request.header("x-key"));
        let epoch = request.header("x-share-epoch").parse::<u64>().ok();
        let held_shares = self
            .held_shares(now)
            .into_iter()
            .find(|share| share.from == slot)
            .map(|share| share.epoch);
        !self.work.keyed || (held_shares.is_some() && held_shares == epoch)
    }

    async fn serve(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.pause().await;
        let fault = self.fault();
        let lost = |proxies: &[String]| {
            proxies
                .iter()
                .any(|proxy| proxy == request.header("x-proxy"))
        };
        if lost(&fault.ignores_requests_of) {
            return std::future::pending().await;
        }
        let attempt_id = request.header("x-try-id").to_owned();
        self.note_arrival(&request);
        let slot = BusySlot::take(&self.busy);
        let admission = if slot.number < SLOTS {
            self.admit(&request)
        } else {
            KeyAdmission::Rejected
        };
        let (runs, body) = match admission {
            KeyAdmission::Admitted(busy_key) => {
                let body = self.execute(&request).await;
                drop(busy_key);
                (true, body)
            }
            KeyAdmission::Rejected => (false, "not run".to_owned()),
        };
        drop(slot);
        let status = if runs { 200 } else { 503 };
        let mut random = Random::new(random::stable_hash(&attempt_id));
        let garbled = random.below(1000) < fault.invalid_responses_per_mille;
        match (
            lost(&fault.withholds_responses_to),
            garbled.then(|| random.below(4)),
        ) {
            (true, _) | (_, Some(0)) => std::future::pending().await,
            (_, Some(kind)) => self.garbled_response(kind, &attempt_id, status, body),
            _ => self.sealed_response(&attempt_id, status, body),
        }
    }

    /// Notes that a request arrived, and by which marker.
    fn note_arrival(&self, request: &HttpRequest) {
        let arrived = Observation::RequestArrived {
            attempt_id: request.header("x-try-id").to_owned(),
            service: request.path.trim_start_matches('/').into(),
            instance: self.instance.clone(),
            locality: self.locality.clone(),
            cold: !self.warm.load(Ordering::Acquire),
        };
        self.record.note(self.clock.now(), arrived);
        if let Some(marker) = marker_index(self.work.service) {
            let node = request.header("x-proxy").to_owned();
            self.record.note(
                self.clock.now(),
                Observation::MarkerReached { node, marker },
            );
        }
    }

    /// Executes the operation of a request, which is also its result.
    async fn execute(&self, request: &HttpRequest) -> String {
        let operation = String::from_utf8_lossy(&request.body).into_owned();
        let executed = Observation::OperationExecuted {
            operation: operation.clone(),
            attempt_id: request.header("x-try-id").to_owned(),
            at_most_once: self.work.at_most_once,
        };
        self.record.note(self.clock.now(), executed);
        tokio::time::sleep(EXECUTION_TIME).await;
        operation
    }

    /// A response that no proxy may take for the result: another attempt's, one without headers, or a truncated one.
    fn garbled_response(
        &self,
        kind: u64,
        attempt_id: &str,
        status: u16,
        body: String,
    ) -> Response<Full<Bytes>> {
        match kind {
            1 => self.sealed_response("try-of-another", status, "work-of-another".into()),
            2 => Response::new(Full::new(Bytes::from("noise"))),
            _ => {
                let mut short = self.sealed_response(attempt_id, status, body.clone());
                *short.body_mut() = Full::new(Bytes::from(body[..body.len() / 2].to_owned()));
                short
            }
        }
    }

    fn sealed_response(
        &self,
        attempt_id: &str,
        status: u16,
        body: String,
    ) -> Response<Full<Bytes>> {
        let seal = protocol::seal(attempt_id, &self.instance, status, body.as_bytes());
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
        let named = [
            ("x-try-id", attempt_id.to_owned()),
            ("x-instance", self.instance.clone()),
            ("x-seal", seal),
        ];
        named.into_iter().for_each(|(name, value)| {
            value
                .parse()
                .into_iter()
                .for_each(|value: hyper::header::HeaderValue| {
                    response.headers_mut().insert(name, value);
                });
        });
        response
    }
}
