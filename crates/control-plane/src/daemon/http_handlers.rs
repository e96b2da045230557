//! HTTP endpoints of the control node: liveness, readiness and counters are answered here, everything else by the node.

use crate::api_adapter::ApiAdapter;
use crate::daemon::QueuedEvent;
use crate::interface::{ControlRequest, ControlResponse, Event};
use crate::persistence::StorageStats;
use bytes::Bytes;
use config::JsonValue;
use http_body_util::Full;
use hyper::Response;
use result_code::ResultCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use transport::HttpRequest;

/// How long a request waits for the node's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// After how long a node that isn't ready may be asked again.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the HTTP handlers share with the event loop.
pub(super) struct HttpHandlers {
    events: mpsc::Sender<QueuedEvent>,
    /// A majority confirmed the state lately.
    ready: AtomicBool,
    shutting_down: AtomicBool,
    next_request_id: AtomicU64,
    requests: AtomicU64,
    messages: AtomicU64,
    storage: Arc<StorageStats>,
    /// Files found damaged at the start.
    damaged_files: u64,
    api_adapter: ApiAdapter,
}

impl HttpHandlers {
    pub(super) fn new(
        events: mpsc::Sender<QueuedEvent>,
        storage: Arc<StorageStats>,
        damaged_files: u64,
        api_adapter: ApiAdapter,
    ) -> Self {
        HttpHandlers {
            events,
            ready: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
            next_request_id: AtomicU64::new(1),
            requests: AtomicU64::new(0),
            messages: AtomicU64::new(0),
            storage,
            damaged_files,
            api_adapter,
        }
    }

    pub(super) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(super) fn set_shutting_down(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Counts a message that another node sent.
    pub(super) fn count_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) async fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/live") => transport::result_response(ResultCode::Success, None),
            ("GET", "/ready") => self.readiness(),
            ("GET", "/counters") => transport::json_response(ResultCode::Success, &self.counters()),
            _ => self.handle_control_request(&request).await,
        }
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        if self.shutting_down.load(Ordering::Relaxed) {
            transport::result_response(ResultCode::ShuttingDown, None)
        } else if self.ready.load(Ordering::Relaxed) {
            transport::result_response(ResultCode::Success, None)
        } else {
            transport::result_response(ResultCode::StaleView, Some(NOT_READY_RETRY_AFTER))
        }
    }

    /// The counters as JSON. Their names are an interface and stay as they are.
    fn counters(&self) -> JsonValue {
        let count = |counter: &AtomicU64| JsonValue::from(counter.load(Ordering::Relaxed));
        JsonValue::object([
            ("asked", count(&self.requests)),
            ("parcels", count(&self.messages)),
            ("diskWrites", count(&self.storage.writes)),
            ("diskLastMs", count(&self.storage.last_ms)),
            ("diskMostMs", count(&self.storage.max_ms)),
            ("diskWaiting", count(&self.storage.queued)),
            ("diskFailures", count(&self.storage.failures)),
            (
                "diskRetrying",
                self.storage.retrying.load(Ordering::Relaxed).into(),
            ),
            ("diskDamaged", self.damaged_files.into()),
        ])
    }

    async fn handle_control_request(&self, request: &HttpRequest) -> Response<Full<Bytes>> {
        let response = match (self.api_adapter.read_request)(request) {
            Ok(control_request) => {
                let response = self.submit(control_request).await;
                with_full_url(response, &request.target)
            }
            Err(error) => ControlResponse::Rejected {
                code: error.code,
                validation_errors: error.validation_errors,
            },
        };
        (self.api_adapter.write_response)(response)
    }

    /// Hands a request to the node and waits for its response.
    async fn submit(&self, request: ControlRequest) -> ControlResponse {
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (response_sender, response) = oneshot::channel();
        let queued = QueuedEvent {
            event: Event::ControlRequest {
                request_id,
                request,
            },
            response_sender: Some(response_sender),
        };
        if self.events.try_send(queued).is_err() {
            return outcome(ResultCode::TooManyPendingChanges);
        }
        match tokio::time::timeout(RESPONSE_TIMEOUT, response).await {
            Ok(Ok(response)) => response,
            _ => outcome(ResultCode::ChangeOutcomeUnknown),
        }
    }
}

/// An outcome that names no revision.
fn outcome(code: ResultCode) -> ControlResponse {
    ControlResponse::Outcome { code, revision: 0 }
}

/// The node names host and port of a redirect; clients get the whole URL.
fn with_full_url(response: ControlResponse, target: &str) -> ControlResponse {
    match response {
        ControlResponse::Redirect { to } => ControlResponse::Redirect {
            to: format!("http://{to}{target}"),
        },
        other => other,
    }
}
