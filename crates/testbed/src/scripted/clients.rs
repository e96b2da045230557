//! Who calls the scripted upstreams: a proxy's own node, and deliberately broken clients that the judge must catch.

use super::{Fact, Facts, Peer, Said, Told, Try};
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

const LONG: Duration = Duration::from_secs(3600);

/// How requests and answers look on a site.
pub struct Manner {
    pub api_adapter: fn() -> ApiAdapter,
    /// How its configurations are read.
    pub reader: ConfigurationParser,
    /// A configuration with the services `once` and `again`, one of each kind of work.
    pub configuration: &'static str,
    /// The header that names the try in a request to an upstream.
    pub request_id: &'static str,
    /// The same in an upstream's answer.
    pub answer_id: &'static str,
    /// The headers of an upstream's answer but for its length.
    pub headers: fn(&Said) -> Vec<(&'static str, String)>,
    /// A client's request, with the time that it has.
    pub enquiry: fn(&Try, Duration) -> HttpRequest,
    /// What an answer tells a client.
    pub told: fn(u16, &hyper::HeaderMap, Bytes) -> Told,
}

impl Manner {
    /// The product's own interface.
    pub const OWN: Manner = Manner {
        api_adapter: ApiAdapter::own,
        reader: ConfigurationParser(config::Configuration::parse),
        configuration: r#"{"services": [{"name": "once", "work": "once", "mostBytes": 1048576},
                                {"name": "again", "work": "repeatable", "mostBytes": 1048576}],
                   "routes": [{"id": "r1", "name": "once", "path": "/x", "service": "once"},
                              {"id": "r2", "name": "again", "path": "/x", "service": "again"}]}"#,
        request_id: "x-try-id",
        answer_id: "x-try-id",
        headers: |said| {
            let seal = protocol::seal(
                said.try_id,
                said.instance,
                said.status,
                said.body.as_bytes(),
            );
            vec![
                ("x-try-id", said.try_id.into()),
                ("x-instance", said.instance.into()),
                ("x-seal", seal),
            ]
        },
        enquiry: |told, within| {
            let within = within.as_millis().to_string();
            HttpRequest {
                method: hyper::Method::POST,
                path: format!("/r/{}/x", service(told)),
                target: format!("/r/{}/x", service(told)),
                headers: transport::header_map(&[
                    ("x-try-id", told.id.as_str()),
                    ("x-remaining-ms", within.as_str()),
                ]),
                body: vec![b'b'; told.body_bytes].into(),
                ..HttpRequest::default()
            }
        },
        told: |status, headers, body| {
            let code = headers
                .get("x-code")
                .and_then(|code| code.to_str().ok())
                .and_then(|code| code.parse().ok());
            match code.and_then(ResultCode::from_number).map(ResultCode::kind) {
                Some(Execution::Executed) if status == 200 => Told::Success { body },
                Some(Execution::NotExecuted) => Told::NotRun,
                _ => Told::Unknown,
            }
        },
    };
}

/// The service of a try.
fn service(told: &Try) -> &'static str {
    if told.once { "once" } else { "again" }
}

/// What a proxy believes; the broken ones are twins that the judge must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takes {
    /// As the product does.
    ItsOwn,
    /// A lost answer for a request that was never sent.
    LostForUnsent,
    /// Whatever comes for its own whole answer.
    Anything,
}

/// A proxy's node before some scripted upstreams.
pub struct Proxy {
    node: Arc<Node>,
    manner: &'static Manner,
    facts: Facts,
}

impl Proxy {
    /// A proxy that knows these upstreams, each for both services.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use testbed::scripted::{Facts, Manner, Peer, Proxy, Takes, Told, Try, work};
    /// let facts = Facts::default();
    /// let peer = Peer::start(&Manner::OWN, "u-1", facts.clone(), (vec![], vec![])).await;
    /// let proxy = Proxy::start(&Manner::OWN, &[peer], facts, Takes::ItsOwn);
    /// let asked = Try { id: "t-1".into(), once: true, body_bytes: 9 };
    /// let told = proxy.ask(&asked, std::time::Duration::from_secs(5)).await;
    /// assert_eq!(told, Told::Success { body: work("t-1").into() });
    /// # });
    /// ```
    pub fn start(manner: &'static Manner, peers: &[Peer], facts: Facts, takes: Takes) -> Proxy {
        let mut site =
            ProxyContext::new("p", "n/1".parse().unwrap_or_default(), LONG, Duration::ZERO);
        (site.ownership, site.serve_stale_view) = (OwnershipMode::PerClientZone, true);
        let terms = NodeOptions {
            clock: Clock::default(),
            keeps_connections: true,
            roles: "proxy".into(),
            lifetime: LONG,
        };
        let node = Node::new(site, broken((manner.api_adapter)(), takes), terms);
        node.publish(view(manner, peers));
        Proxy {
            node: Arc::new(node),
            manner,
            facts,
        }
    }

    /// Makes a try and notes what it is told.
    pub async fn ask(&self, asked: &Try, within: Duration) -> Told {
        self.facts.note(Fact::Asked {
            try_id: asked.id.clone(),
            once: asked.once,
        });
        let response = self
            .node
            .clone()
            .serve(ListenerKind::Front, (self.manner.enquiry)(asked, within))
            .await;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map(|body| body.to_bytes())
            .unwrap_or_default();
        let told = (self.manner.told)(head.status.as_u16(), &head.headers, body);
        self.facts.note(Fact::Told {
            try_id: asked.id.clone(),
            told: told.clone(),
        });
        told
    }

    /// Why a try went where it went.
    pub async fn trace(&self, try_id: &str) -> String {
        let query = [("try".to_owned(), try_id.to_owned())].into();
        let enquiry = HttpRequest {
            path: "/trace".into(),
            query,
            ..HttpRequest::default()
        };
        let response = self
            .node
            .clone()
            .serve(ListenerKind::Directory, enquiry)
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

fn view(manner: &Manner, peers: &[Peer]) -> View {
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
        configuration: Some(manner.configuration.into()),
        upstreams,
        ..ViewUpdate::default()
    };
    let mut view = View {
        reader: manner.reader,
        as_of: Some(Duration::ZERO),
        ..View::default()
    };
    view.apply_update(news, true)
        .expect("the configuration is fine");
    view
}

fn broken(api_adapter: ApiAdapter, takes: Takes) -> ApiAdapter {
    let judge_response = api_adapter.judge_response;
    match takes {
        Takes::ItsOwn => ApiAdapter {
            judge_response,
            ..api_adapter
        },
        Takes::LostForUnsent => ApiAdapter {
            judge_response: Box::new(move |called, try_id, instance| {
                match judge_response(called, try_id, instance) {
                    request_routing::CallOutcome::ResponseLost => {
                        request_routing::CallOutcome::NotConnected
                    }
                    outcome => outcome,
                }
            }),
            ..api_adapter
        },
        Takes::Anything => ApiAdapter {
            // Nothing names a try by this, so that no answer is told apart.
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
pub async fn ask_naively(
    kept: &mut Option<TcpStream>,
    peer: &Peer,
    manner: &Manner,
    facts: &Facts,
    asked: &Try,
) -> Told {
    facts.note(Fact::Asked {
        try_id: asked.id.clone(),
        once: asked.once,
    });
    let mut read = vec![0; 1 << 20];
    let id = manner.request_id;
    let request = format!(
        "POST /x HTTP/1.1\r\nhost: a\r\n{id}: {}\r\ncontent-length: 0\r\n\r\n",
        asked.id
    );
    let mut told = Told::Unknown;
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
            told = Told::Success { body: body.into() };
            *kept = stream;
        }
    }
    facts.note(Fact::Told {
        try_id: asked.id.clone(),
        told: told.clone(),
    });
    told
}
