//! Who calls the scripted upstreams: a proxy's own node, and deliberately broken clients that the judge must catch.

use super::{Attempt, Event, EventLog, Outcome, Peer, ResponseParts};
use bytes::Bytes;
use data_plane::{ApiAdapter, ListenerKind, Node, NodeOptions};
use http_body_util::BodyExt;
use name_directory::{ConfigurationParser, OwnershipMode, View};
use protocol::{ClusterState, Upstream, ViewUpdate};
use request_routing::ProxyContext;
use result_code::{Execution, ResultCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use transport::{Clock, HttpRequest};

/// The view is fresh for as long as a case lasts: no health check comes between the attempts.
const IN_TOUCH_UNTIL: Duration = LONG;
const LONG: Duration = Duration::from_secs(3600);

/// How requests and answers look on a site.
pub struct SiteConventions {
    /// The adapter under test.
    pub api_adapter: fn() -> ApiAdapter,
    /// How its configurations are read.
    pub reader: ConfigurationParser,
    /// A configuration with the services `at_most_once` and `again`, one of each kind of work.
    pub configuration: &'static str,
    /// The header that names the attempt in a request to an upstream.
    pub request_id: &'static str,
    /// The same in an upstream's answer.
    pub response_id: &'static str,
    /// The headers of an upstream's answer but for its length.
    pub headers: fn(&ResponseParts) -> Vec<(&'static str, String)>,
    /// A client's request, with the time that it has.
    pub request: fn(&Attempt, Duration) -> HttpRequest,
    /// What an answer tells a client.
    pub outcome: fn(u16, &hyper::HeaderMap, Bytes) -> Outcome,
}

impl SiteConventions {
    /// The product's own interface.
    pub const OWN: SiteConventions = SiteConventions {
        api_adapter: ApiAdapter::own,
        reader: ConfigurationParser(config::Configuration::parse),
        configuration: r#"{"services": [{"name": "once", "work": "once", "mostBytes": 1048576},
                                {"name": "again", "work": "repeatable", "mostBytes": 1048576}],
                   "routes": [{"id": "r1", "name": "once", "path": "/x", "service": "once"},
                              {"id": "r2", "name": "again", "path": "/x", "service": "again"}]}"#,
        request_id: "x-try-id",
        response_id: "x-try-id",
        headers: |response_parts| {
            let seal = protocol::seal(
                response_parts.attempt_id,
                response_parts.instance,
                response_parts.status,
                response_parts.body.as_bytes(),
            );
            vec![
                ("x-try-id", response_parts.attempt_id.into()),
                ("x-instance", response_parts.instance.into()),
                ("x-seal", seal),
            ]
        },
        request: |attempt, within| {
            let within = within.as_millis().to_string();
            HttpRequest {
                method: hyper::Method::POST,
                path: format!("/r/{}/x", service(attempt)),
                target: format!("/r/{}/x", service(attempt)),
                headers: transport::header_map(&[
                    ("x-try-id", attempt.id.as_str()),
                    ("x-remaining-ms", within.as_str()),
                ]),
                body: vec![b'b'; attempt.body_bytes].into(),
                ..HttpRequest::default()
            }
        },
        outcome: |status, headers, body| {
            let code = headers
                .get("x-code")
                .and_then(|code| code.to_str().ok())
                .and_then(|code| code.parse().ok());
            match code.and_then(ResultCode::from_number).map(ResultCode::kind) {
                Some(Execution::Executed) if status == 200 => Outcome::Success { body },
                Some(Execution::NotExecuted) => Outcome::NotExecuted,
                _ => Outcome::Unknown,
            }
        },
    };
}

/// The service of an attempt.
fn service(attempt: &Attempt) -> &'static str {
    if attempt.at_most_once {
        "once"
    } else {
        "again"
    }
}

/// What a proxy believes; the broken ones are twins that the judge must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseCheck {
    /// As the product does.
    MatchingResponse,
    /// A lost answer for a request that was never sent.
    LostAsNotConnected,
    /// Whatever comes for its own whole answer.
    AnyResponse,
}

/// A proxy's node before some scripted upstreams.
pub struct Proxy {
    node: Arc<Node>,
    conventions: &'static SiteConventions,
    events: EventLog,
}

impl Proxy {
    /// A proxy that knows these upstreams, each for both services.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use testbed::scripted::{EventLog, SiteConventions, Peer, Proxy, ResponseCheck, Outcome, Attempt, work};
    /// let events = EventLog::default();
    /// let peer = Peer::start(&SiteConventions::OWN, "u-1", events.clone(), (vec![], vec![])).await;
    /// let proxy = Proxy::start(&SiteConventions::OWN, &[peer], events, ResponseCheck::MatchingResponse);
    /// let attempt = Attempt { id: "t-1".into(), at_most_once: true, body_bytes: 9 };
    /// let outcome = proxy.send_request(&attempt, std::time::Duration::from_secs(5)).await;
    /// assert_eq!(outcome, Outcome::Success { body: work("t-1").into() });
    /// # });
    /// ```
    pub fn start(
        conventions: &'static SiteConventions,
        peers: &[Peer],
        events: EventLog,
        response_check: ResponseCheck,
    ) -> Proxy {
        let mut site =
            ProxyContext::new("p", "n/1".parse().unwrap_or_default(), LONG, Duration::ZERO);
        (site.ownership, site.serve_stale_view) = (OwnershipMode::PerClientZone, true);
        let terms = NodeOptions {
            clock: Clock::default(),
            keeps_connections: true,
            roles: "proxy".into(),
            lifetime: LONG,
        };
        let node = Node::new(
            site,
            broken((conventions.api_adapter)(), response_check),
            terms,
        );
        node.publish(view(conventions, peers));
        Proxy {
            node: Arc::new(node),
            conventions,
            events,
        }
    }

    /// Makes an attempt and notes what it is told.
    pub async fn send_request(&self, attempt: &Attempt, within: Duration) -> Outcome {
        self.events.note(Event::Requested {
            attempt_id: attempt.id.clone(),
            at_most_once: attempt.at_most_once,
        });
        let response = self
            .node
            .clone()
            .serve(
                ListenerKind::Front,
                (self.conventions.request)(attempt, within),
            )
            .await;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        let outcome = (self.conventions.outcome)(head.status.as_u16(), &head.headers, body);
        self.events.note(Event::OutcomeReported {
            attempt_id: attempt.id.clone(),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Why an attempt went where it went.
    pub async fn trace(&self, attempt_id: &str) -> String {
        let query = [("try".to_owned(), attempt_id.to_owned())].into();
        let request = HttpRequest {
            path: "/trace".into(),
            query,
            ..HttpRequest::default()
        };
        let response = self
            .node
            .clone()
            .serve(ListenerKind::Directory, request)
            .await;
        let body = response
            .into_body()
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }
}

fn view(conventions: &SiteConventions, peers: &[Peer]) -> View {
    let known = |service: &str, peer: &Peer| Upstream {
        service: service.into(),
        instance: peer.instance.clone(),
        address: peer.address.clone(),
        locality: "n/1".into(),
        free_slots: 1000,
        warm: true,
        ..Upstream::default()
    };
    let upstreams = peers
        .iter()
        .flat_map(|peer| [known("once", peer), known("again", peer)])
        .collect();
    let state = ClusterState {
        revision: 1,
        ..ClusterState::default()
    };
    let news = ViewUpdate {
        state: Some(state),
        configuration: Some(conventions.configuration.into()),
        upstreams,
        ..ViewUpdate::default()
    };
    let mut view = View {
        reader: conventions.reader,
        as_of: Some(IN_TOUCH_UNTIL),
        ..View::default()
    };
    view.apply_update(news, true)
        .expect("the configuration is fine");
    view
}

fn broken(api_adapter: ApiAdapter, response_check: ResponseCheck) -> ApiAdapter {
    let judge_response = api_adapter.judge_response;
    match response_check {
        ResponseCheck::MatchingResponse => ApiAdapter {
            judge_response,
            ..api_adapter
        },
        ResponseCheck::LostAsNotConnected => ApiAdapter {
            judge_response: Box::new(move |called, attempt_id, instance| {
                match judge_response(called, attempt_id, instance) {
                    request_routing::CallOutcome::ResponseLost => {
                        request_routing::CallOutcome::NotConnected
                    }
                    outcome => outcome,
                }
            }),
            ..api_adapter
        },
        ResponseCheck::AnyResponse => ApiAdapter {
            // Nothing names an attempt by this, so that no answer is told apart.
            response_id_header: "x-nobody",
            judge_response: Box::new(move |called, _, _| match called {
                Ok(reply) if reply.status == 200 => request_routing::CallOutcome::Complete,
                Ok(_) => request_routing::CallOutcome::NotExecuted,
                Err(_) => request_routing::CallOutcome::ResponseLost,
            }),
            ..api_adapter
        },
    }
}

/// A client that keeps one connection and takes whatever comes next on it for its answer, as long as it seems to be.
pub async fn request_without_checks(
    kept: &mut Option<TcpStream>,
    peer: &Peer,
    conventions: &SiteConventions,
    events: &EventLog,
    attempt: &Attempt,
) -> Outcome {
    events.note(Event::Requested {
        attempt_id: attempt.id.clone(),
        at_most_once: attempt.at_most_once,
    });
    let mut read = vec![0; 1 << 20];
    let id = conventions.request_id;
    let request = format!(
        "POST /x HTTP/1.1\r\nhost: a\r\n{id}: {}\r\ncontent-length: 0\r\n\r\n",
        attempt.id
    );
    let mut outcome = Outcome::Unknown;
    if kept.is_none() {
        *kept = TcpStream::connect(&peer.address).await.ok();
    }
    let mut stream = kept.take();
    if let Some(open) = &mut stream {
        let wrote = open.write_all(request.as_bytes()).await;
        let came = tokio::time::timeout(Duration::from_millis(20), open.read(&mut read)).await;
        if let (Ok(()), Ok(Ok(count @ 1..))) = (wrote, came) {
            let text = String::from_utf8_lossy(&read[..count]).into_owned();
            let body = text
                .split_once("\r\n\r\n")
                .map(|(_, body)| body.to_owned())
                .unwrap_or_default();
            outcome = Outcome::Success { body: body.into() };
            *kept = stream;
        }
    }
    events.note(Event::OutcomeReported {
        attempt_id: attempt.id.clone(),
        outcome: outcome.clone(),
    });
    outcome
}
