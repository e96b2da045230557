//! Traces: why a request was routed as it was, or would be.

use super::{required_nodes, send_and_print};
use crate::arguments::Arguments;
use crate::client::{ApiClient, ApiRequest, COMMAND_TIMEOUT};
use crate::error::{CliError, ExitCode};
use crate::output;
use transport::Reply;

/// Among a member's roles, marks a node that forwards requests.
const PROXY_ROLE: &str = "proxy";
const NOT_FOUND: u16 = 404;

/// Prints the trace of an attempt. Only the proxy that served it knows it: where the node that was asked does not,
/// every proxy is asked.
pub async fn attempt(arguments: &Arguments, attempt_id: &str) -> Result<ExitCode, CliError> {
    let nodes = required_nodes(arguments)?;
    let client = ApiClient::default();
    let path = format!("/trace?try={attempt_id}");
    let request = ApiRequest::get(path.as_str());
    let Some(answered) = client.send_to_first_reachable(nodes, request).await? else {
        return Ok(ExitCode::Unreachable);
    };
    let mut reply = answered.reply;
    if reply.status == NOT_FOUND
        && let Some(found) = ask_all_proxies(&client, &answered.node, &path).await
    {
        reply = found;
    }
    Ok(output::print_reply(&reply))
}

/// Prints what a node would decide for a request now.
pub async fn supposed(
    arguments: &Arguments,
    name: &str,
    path: &str,
    key: &str,
) -> Result<ExitCode, CliError> {
    let path = format!("/trace?name={name}&path={path}&key={key}");
    send_and_print(arguments, ApiRequest::get(path)).await
}

/// Asks every proxy that a node's membership knows, until one has the page.
async fn ask_all_proxies(client: &ApiClient, node: &str, path: &str) -> Option<Reply> {
    let status = client.get_json(node, "/status", COMMAND_TIMEOUT).await?;
    for member in status.list("members") {
        let is_proxy = member
            .text("roles")
            .is_some_and(|roles| roles.contains(PROXY_ROLE));
        let Some(address) = member.text("http").filter(|_| is_proxy) else {
            continue;
        };
        if let Some(found) = client.get(address, path, COMMAND_TIMEOUT).await {
            return Some(found);
        }
    }
    None
}
