//! A summary of the whole site, put together from what every node reports about itself.

use super::required_nodes;
use crate::arguments::Arguments;
use crate::client::ApiClient;
use crate::error::{CliError, ExitCode};
use crate::output::{self, Summary};
use config::JsonValue;
use protocol::CONTROL_NODE_ROLE;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::JoinSet;

/// How long a node has to serve a page about itself.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The state of a member that failure detection does not suspect.
const ALIVE: &str = "alive";
const READY: &str = "ready";
const VOTING: &str = "voting";

/// One node as membership knows it, and what it reported.
struct NodeReport {
    node: String,
    locality: String,
    is_control_node: bool,
    is_suspect: bool,
    /// None where the node did not answer.
    page: Option<JsonValue>,
}

/// Prints the summary by the first node that answers.
pub async fn show(arguments: &Arguments) -> Result<ExitCode, CliError> {
    let client = ApiClient::default();
    for node in required_nodes(arguments)? {
        match summarize(&client, node).await {
            Some(summary) => return Ok(summary.print()),
            None => output::warn(format!("{node} returned no status of the site")),
        }
    }
    Ok(ExitCode::Unreachable)
}

/// Asks a node for the site, and every node for itself; none where the node does not answer.
async fn summarize(client: &ApiClient, node: &str) -> Option<Summary> {
    let status = client.get_json(node, "/status", PAGE_TIMEOUT).await?;
    let upstreams = client.get_json(node, "/upstreams", PAGE_TIMEOUT).await;
    let reports = ask_members(client, status.list("members")).await;
    let mut summary = Summary::default();
    add_revision(&mut summary, &status);
    add_evacuations(&mut summary, &status, &reports);
    add_placement(&mut summary, &status);
    for report in &reports {
        add_node(&mut summary, report);
    }
    add_missing_voters(&mut summary, &status, &reports);
    add_upstreams(&mut summary, upstreams.as_ref());
    Some(summary)
}

/// Asks all members at once; control nodes come first, each kind by id.
async fn ask_members(client: &ApiClient, members: &[JsonValue]) -> Vec<NodeReport> {
    let mut calls = JoinSet::new();
    for member in members {
        calls.spawn(ask_member(client.clone(), member.clone()));
    }
    let mut reports = calls.join_all().await;
    reports.sort_by(|a, b| (!a.is_control_node, &a.node).cmp(&(!b.is_control_node, &b.node)));
    reports
}

async fn ask_member(client: ApiClient, member: JsonValue) -> NodeReport {
    let text = |name: &str| member.text(name).unwrap_or_default().to_owned();
    let is_control_node = text("roles") == CONTROL_NODE_ROLE;
    let page = if is_control_node { "/status" } else { "/node" };
    NodeReport {
        node: text("node"),
        locality: text("locality"),
        is_control_node,
        is_suspect: text("condition") != ALIVE,
        page: client.get_json(&text("http"), page, PAGE_TIMEOUT).await,
    }
}

fn is_true(json: &JsonValue, name: &str) -> bool {
    json.get(name) == Some(&JsonValue::Bool(true))
}

/// The API calls a revision by the name that it had in earlier releases.
fn revision(json: &JsonValue) -> u64 {
    json.count("edition").unwrap_or(0)
}

fn add_revision(summary: &mut Summary, status: &JsonValue) {
    let age = match status.count("ageMs") {
        Some(age_ms) => format!("{age_ms} ms ago"),
        None => "never".into(),
    };
    summary.lines.push(format!(
        "edition {}, confirmed by a majority {age}",
        revision(status)
    ));
    if !is_true(status, "current") {
        summary.problems.push(
            "the node that was asked has not heard from a majority lately: its view may be stale"
                .into(),
        );
    }
}

/// Evacuated localities, and the ready data-plane nodes that have not applied the newest revision.
fn add_evacuations(summary: &mut Summary, status: &JsonValue, reports: &[NodeReport]) {
    let evacuated: Vec<String> = status
        .list("evacuated")
        .iter()
        .map(JsonValue::to_string)
        .collect();
    if evacuated.is_empty() {
        return;
    }
    let behind: Vec<&str> = reports
        .iter()
        .filter(|report| is_behind(report, revision(status)))
        .map(|report| report.node.as_str())
        .collect();
    let progress = if behind.is_empty() {
        "complete".into()
    } else {
        format!("not yet at {}", behind.join(", "))
    };
    summary
        .lines
        .push(format!("evacuated: {} ({progress})", evacuated.join(", ")));
}

fn is_behind(report: &NodeReport, newest: u64) -> bool {
    match &report.page {
        Some(page) => !report.is_control_node && is_true(page, READY) && revision(page) < newest,
        None => false,
    }
}

fn add_placement(summary: &mut Summary, status: &JsonValue) {
    let owner = status.text("placement").filter(|owner| !owner.is_empty());
    let epoch = status.count("placementEpoch").unwrap_or(0);
    summary.lines.push(format!(
        "placement: {}, epoch {epoch}",
        owner.unwrap_or("no owner")
    ));
    if owner.is_none() {
        summary
            .problems
            .push("no node holds the placement lease".into());
    }
}

fn add_node(summary: &mut Summary, report: &NodeReport) {
    let state = match &report.page {
        Some(page) => {
            add_node_problems(summary, &report.node, page);
            node_state(page)
        }
        None => {
            summary
                .problems
                .push(format!("{} does not answer", report.node));
            "no answer".into()
        }
    };
    let suspect = if report.is_suspect { ", suspect" } else { "" };
    let kind = if report.is_control_node {
        "control node"
    } else {
        "data-plane node"
    };
    summary.lines.push(format!(
        "{kind} {} in {}: {state}{suspect}",
        report.node, report.locality
    ));
}

/// How a node stands: a control node by its part in votes, any other by its readiness.
fn standing(page: &JsonValue) -> &str {
    match page.text("standing") {
        Some(standing) => standing,
        None if is_true(page, READY) => READY,
        None => "not ready",
    }
}

fn node_state(page: &JsonValue) -> String {
    let age = match page.count("ageMs") {
        Some(age_ms) => format!("{age_ms} ms old"),
        None => "never confirmed".into(),
    };
    format!("{}, edition {}, {age}", standing(page), revision(page))
}

fn add_node_problems(summary: &mut Summary, node: &str, page: &JsonValue) {
    let standing = standing(page);
    if standing != VOTING && standing != READY {
        summary.problems.push(format!("{node} is {standing}"));
    }
    if page.text("disk") == Some("failing") {
        summary.problems.push(format!(
            "{node}: its disk takes no writes; they are retried"
        ));
    }
    if is_true(page, "setupMissing") {
        summary.problems.push(format!(
            "{node}: the bytes of its configuration are missing; its peers are asked for them"
        ));
    }
}

fn add_missing_voters(summary: &mut Summary, status: &JsonValue, reports: &[NodeReport]) {
    for voter in status.list("roster") {
        let voter = voter.to_string();
        let voter = voter.trim_matches('"');
        if !reports.iter().any(|report| report.node == voter) {
            summary.problems.push(format!("voter {voter} is gone"));
        }
    }
}

/// How many upstreams of each service are in which state.
fn add_upstreams(summary: &mut Summary, upstreams: Option<&JsonValue>) {
    let Some(JsonValue::Array(upstreams)) = upstreams else {
        return;
    };
    let mut services: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
    for upstream in upstreams {
        let service = upstream.text("service").unwrap_or_default();
        let counts = services.entry(service).or_default();
        *counts.entry(upstream_state(upstream)).or_default() += 1;
    }
    for (service, counts) in services {
        let states: Vec<String> = counts
            .iter()
            .map(|(state, count)| format!("{count} {state}"))
            .collect();
        summary
            .lines
            .push(format!("upstreams of {service}: {}", states.join(", ")));
        if !counts.contains_key(READY) {
            summary
                .problems
                .push(format!("{service} has no ready, warmed-up upstream"));
        }
    }
}

fn upstream_state(upstream: &JsonValue) -> &str {
    match upstream.text("condition") {
        Some(READY) if !is_true(upstream, "warm") => "warming up",
        other => other.unwrap_or_default(),
    }
}
