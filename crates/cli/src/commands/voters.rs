//! The voters: who they are, and changes of them.

use super::{required_nodes, send_and_print};
use crate::arguments::Arguments;
use crate::client::{ApiClient, ApiRequest};
use crate::command::VoterChange;
use crate::commands::site::PAGE_TIMEOUT;
use crate::error::{CliError, ExitCode};
use crate::output::{self, Summary};
use config::JsonValue;

/// Changes the voters.
pub async fn change(arguments: &Arguments, change: &VoterChange) -> Result<ExitCode, CliError> {
    let query = match change {
        VoterChange::Add { node } => format!("add={node}"),
        VoterChange::Remove { node } => format!("remove={node}"),
        VoterChange::Replace { old, new } => format!("remove={old}&add={new}"),
    };
    send_and_print(arguments, ApiRequest::post(format!("/voters?{query}"))).await
}

/// Lists voters and replicas as the first node knows them that answers.
pub async fn list(arguments: &Arguments) -> Result<ExitCode, CliError> {
    let client = ApiClient::default();
    for node in required_nodes(arguments)? {
        let status = client.get_json(node, "/status", PAGE_TIMEOUT).await;
        match status.as_ref().and_then(|status| status.get("voters")) {
            Some(voters) => return Ok(summarize(voters).print()),
            None => output::warn(format!("{node} returned no list of voters")),
        }
    }
    Ok(ExitCode::Unreachable)
}

/// The list as text; voters that are behind are problems.
fn summarize(voters: &JsonValue) -> Summary {
    let epoch = voters.count("epoch").unwrap_or(0);
    // The epoch is odd from the start of a change to its end.
    let changing = if epoch % 2 == 1 {
        ", a change is under way"
    } else {
        ""
    };
    let mut summary = Summary::default();
    summary.lines.push(format!("voter epoch {epoch}{changing}"));
    for member in voters.list("members") {
        add_member(&mut summary, member);
    }
    summary
}

fn add_member(summary: &mut Summary, member: &JsonValue) {
    let node = member.text("node").unwrap_or_default();
    let role = member.text("role").unwrap_or_default();
    let silent_ms = member.count("silentMs").unwrap_or(0);
    let synced = match member.count("syncedRound") {
        Some(round) => format!(", synced round {round}"),
        None => String::new(),
    };
    let caught_up = member.get("caughtUp") == Some(&JsonValue::Bool(true));
    let behind = if caught_up { "" } else { ", behind" };
    summary.lines.push(format!(
        "{role} {node}: heard {silent_ms} ms ago{synced}{behind}"
    ));
    if role != "replica" && !caught_up {
        summary
            .problems
            .push(format!("{role} {node} is behind or gone"));
    }
}
