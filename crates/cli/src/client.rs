//! Requests to nodes: follows redirects, and tries the next node where one can't be reached.

use crate::error::CliError;
use crate::output;
use config::JsonValue;
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpClient, Reply};

/// How long a node has to answer a command.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// How many redirects are followed.
const MAX_REDIRECTS: usize = 2;

/// A request of the nodes' API.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// True for a new change, which carries how many changes were decided before it.
    pub needs_since: bool,
}

impl ApiRequest {
    /// A request that reads.
    ///
    /// ```
    /// assert_eq!(cli::client::ApiRequest::get("/status").method, "GET");
    /// ```
    pub fn get(path: impl Into<String>) -> ApiRequest {
        ApiRequest {
            method: "GET",
            path: path.into(),
            body: Vec::new(),
            needs_since: false,
        }
    }

    /// A request that changes something and has no body.
    ///
    /// ```
    /// assert_eq!(cli::client::ApiRequest::post("/voters?add=pm-7").method, "POST");
    /// ```
    pub fn post(path: impl Into<String>) -> ApiRequest {
        ApiRequest {
            method: "POST",
            ..ApiRequest::get(path)
        }
    }
}

/// A reply, and the node that was asked for it.
pub struct NodeReply {
    /// Address of the node.
    pub node: String,
    /// What it replied, or the node that it redirected to.
    pub reply: Reply,
}

/// Calls nodes over HTTP.
#[derive(Clone, Default)]
pub struct ApiClient {
    http: HttpClient,
}

impl ApiClient {
    /// Sends a request to the first of the nodes that can be reached. None where no node can. A request that may have
    /// reached a node is not sent to another one: its outcome is unknown.
    pub async fn send_to_first_reachable(
        &self,
        nodes: &[String],
        mut request: ApiRequest,
    ) -> Result<Option<NodeReply>, CliError> {
        for node in nodes {
            self.add_since(node, &mut request).await;
            match self.send(node, &request).await {
                Ok(reply) => {
                    let node = node.clone();
                    return Ok(Some(NodeReply { node, reply }));
                }
                Err(CallError::NotConnected) => output::warn(format!("{node} can't be reached")),
                Err(source) => {
                    let node = node.clone();
                    return Err(CliError::OutcomeUnknown { node, source });
                }
            }
        }
        Ok(None)
    }

    /// Adds to a new change how many changes were decided so far, as a node knows it: where the same change is sent
    /// again, a node can then tell whether it may have been forgotten.
    async fn add_since(&self, node: &str, request: &mut ApiRequest) {
        if !request.needs_since {
            return;
        }
        let status = self.get_json(node, "/status", COMMAND_TIMEOUT).await;
        let Some(since) = status.and_then(|status| status.count("decided")) else {
            return;
        };
        eprintln!("since {since}");
        request.path.push_str(&format!("&since={since}"));
        request.needs_since = false;
    }

    /// Sends a request to a node, and to the one that it redirects to.
    async fn send(&self, node: &str, request: &ApiRequest) -> Result<Reply, CallError> {
        let mut target = Target {
            address: node.to_owned(),
            path: request.path.clone(),
        };
        for _ in 0..MAX_REDIRECTS {
            let reply = self.send_once(&target, request).await?;
            match Target::of_redirect(&reply) {
                Some(next) => target = next,
                None => return Ok(reply),
            }
        }
        self.send_once(&target, request).await
    }

    async fn send_once(&self, target: &Target, request: &ApiRequest) -> Result<Reply, CallError> {
        let body = request.body.clone().into();
        self.http
            .call(
                &target.address,
                request.method,
                &target.path,
                &[],
                body,
                COMMAND_TIMEOUT,
                false,
            )
            .await
    }

    /// Reads a page without following redirects; none where it can't be had.
    pub async fn get(&self, address: &str, path: &str, timeout: Duration) -> Option<Reply> {
        let body = Vec::new().into();
        let called = self
            .http
            .call(address, "GET", path, &[], body, timeout, false)
            .await;
        called.ok().filter(|reply| reply.status == 200)
    }

    /// Reads a page that is JSON; none where it can't be had.
    pub async fn get_json(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Option<JsonValue> {
        let reply = self.get(address, path, timeout).await?;
        JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok()
    }
}

/// Where a request goes.
struct Target {
    address: String,
    path: String,
}

impl Target {
    fn of_redirect(reply: &Reply) -> Option<Target> {
        if reply.status != ResultCode::Redirected.status() {
            return None;
        }
        let location = reply.header("location").strip_prefix("http://")?;
        let (address, path) = location.split_once('/')?;
        Some(Target {
            address: address.to_owned(),
            path: format!("/{path}"),
        })
    }
}
