//! The whole site at a glance, put together from what every node says of itself.

use config::JsonValue;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::JoinSet;
use transport::HttpClient;

const WITHIN: Duration = Duration::from_secs(2);

/// One node as membership knows it, and what it said of itself.
struct Told {
    node: String,
    locality: String,
    is_voter: bool,
    is_suspect: bool,
    said: Option<JsonValue>,
}

async fn ask(address: &str, page: &str) -> Option<JsonValue> {
    let client = HttpClient::default();
    let called = client
        .call(address, "GET", page, &[], Vec::new().into(), WITHIN, false)
        .await;
    let reply = called.ok().filter(|reply| reply.status == 200)?;
    JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok()
}

async fn ask_all(members: &[JsonValue]) -> Vec<Told> {
    let mut asking = JoinSet::new();
    members.iter().for_each(|member| {
        let text = |name: &str| member.text(name).unwrap_or_default().to_owned();
        let (node, locality, http, is_voter) = (
            text("node"),
            text("locality"),
            text("http"),
            text("roles") == "postmaster",
        );
        let is_suspect = text("condition") != "alive";
        asking.spawn(async move {
            let said = ask(&http, if is_voter { "/status" } else { "/node" }).await;
            Told {
                node,
                locality,
                is_voter,
                is_suspect,
                said,
            }
        });
    });
    let mut all = asking.join_all().await;
    all.sort_by(|a, b| (!a.is_voter, &a.node).cmp(&(!b.is_voter, &b.node)));
    all
}

/// Asks a node for the site, and every node for itself. What there is to see, and what is wrong; none where the node
/// tells nothing.
pub async fn glance(node: &str) -> Option<(Vec<String>, Vec<String>)> {
    let status = ask(node, "/status").await?;
    let upstreams = ask(node, "/upstreams").await;
    let told = ask_all(status.list("members")).await;
    Some(describe(&status, &told, upstreams.as_ref()))
}

/// Who votes, as a node knows it, and what is wrong with that; none where the node tells nothing.
pub async fn voters(node: &str) -> Option<(Vec<String>, Vec<String>)> {
    let status = ask(node, "/status").await?;
    status.get("voters").map(describe_voters)
}

fn describe_voters(voters: &JsonValue) -> (Vec<String>, Vec<String>) {
    let epoch = voters.count("epoch").unwrap_or(0);
    let changing = if epoch % 2 == 1 {
        ", a change is under way"
    } else {
        ""
    };
    let mut lines = vec![format!("voter epoch {epoch}{changing}")];
    let mut wrong = Vec::new();
    voters.list("members").iter().for_each(|member| {
        let (node, role) = (
            member.text("node").unwrap_or_default(),
            member.text("role").unwrap_or_default(),
        );
        let silent_ms = member.count("silentMs").unwrap_or(0);
        let synced = member
            .count("syncedRound")
            .map(|round| format!(", synced round {round}"))
            .unwrap_or_default();
        let caught_up = member.get("caughtUp") == Some(&JsonValue::Bool(true));
        let behind = if caught_up { "" } else { ", behind" };
        lines.push(format!(
            "{role} {node}: heard {silent_ms} ms ago{synced}{behind}"
        ));
        if role != "replica" && !caught_up {
            wrong.push(format!("{role} {node} is behind or gone"));
        }
    });
    (lines, wrong)
}

fn describe(
    status: &JsonValue,
    told: &[Told],
    upstreams: Option<&JsonValue>,
) -> (Vec<String>, Vec<String>) {
    let (mut lines, mut wrong) = (Vec::new(), Vec::new());
    let truth = |json: &JsonValue, name: &str| json.get(name) == Some(&JsonValue::Bool(true));
    let revision = status.count("edition").unwrap_or(0);
    let age_ms = status
        .count("ageMs")
        .map(|age| format!("{age} ms ago"))
        .unwrap_or("never".into());
    lines.push(format!(
        "edition {revision}, confirmed by a majority {age_ms}"
    ));
    if !truth(status, "current") {
        wrong.push(
            "the node that was asked has not heard from a majority lately: it can't know now"
                .into(),
        );
    }
    let behind: Vec<&str> = told
        .iter()
        .filter(|told| !told.is_voter)
        .filter(|told| told.said.as_ref().is_some_and(|said| truth(said, "ready")))
        .filter(|told| {
            told.said
                .as_ref()
                .and_then(|said| said.count("edition"))
                .unwrap_or(0)
                < revision
        })
        .map(|told| told.node.as_str())
        .collect();
    let evacuated: Vec<String> = status
        .list("evacuated")
        .iter()
        .map(|place| place.to_string())
        .collect();
    if !evacuated.is_empty() {
        let done = if behind.is_empty() {
            "complete".into()
        } else {
            format!("not yet at {}", behind.join(", "))
        };
        lines.push(format!("evacuated: {} ({done})", evacuated.join(", ")));
    }
    let holder = status.text("placement").filter(|holder| !holder.is_empty());
    let epoch = status.count("placementEpoch").unwrap_or(0);
    lines.push(format!(
        "placement: {}, epoch {epoch}",
        holder.unwrap_or("nobody")
    ));
    if holder.is_none() {
        wrong.push("nobody holds the placement".into());
    }
    told.iter().for_each(|told| {
        let line = told.said.as_ref().map(|said| {
            let revision = said.count("edition").unwrap_or(0);
            let age_ms = said
                .count("ageMs")
                .map(|age| format!("{age} ms old"))
                .unwrap_or("never confirmed".into());
            let standing = match said.text("standing") {
                Some(standing) => standing.to_owned(),
                None if truth(said, "ready") => "ready".into(),
                None => "not ready".into(),
            };
            if standing != "voting" && standing != "ready" {
                wrong.push(format!("{} is {standing}", told.node));
            }
            if said.text("disk") == Some("failing") {
                wrong.push(format!(
                    "{}: its disk takes no writes; they are tried again",
                    told.node
                ));
            }
            if truth(said, "setupMissing") {
                wrong.push(format!(
                    "{}: the bytes of its setup are missing; the others are asked for them",
                    told.node
                ));
            }
            format!("{standing}, edition {revision}, {age_ms}")
        });
        if line.is_none() {
            wrong.push(format!("{} does not answer", told.node));
        }
        let suspect = if told.is_suspect { ", suspect" } else { "" };
        let kind = if told.is_voter {
            "postmaster"
        } else {
            "carrier"
        };
        let line = line.unwrap_or("no answer".into());
        lines.push(format!(
            "{kind} {} in {}: {line}{suspect}",
            told.node, told.locality
        ));
    });
    let voters: Vec<String> = status
        .list("roster")
        .iter()
        .map(|voter| voter.to_string())
        .collect();
    voters
        .iter()
        .map(|voter| voter.trim_matches('"'))
        .for_each(|voter| {
            if !told.iter().any(|told| told.node == voter) {
                wrong.push(format!("voter {voter} is gone"));
            }
        });
    let mut services: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
    let listed = upstreams.map(|json| {
        if let JsonValue::Array(all) = json {
            all.as_slice()
        } else {
            &[]
        }
    });
    listed.unwrap_or_default().iter().for_each(|upstream| {
        let condition = match upstream.text("condition") {
            Some("ready") if !truth(upstream, "warm") => "cold",
            other => other.unwrap_or_default(),
        };
        let service = services
            .entry(upstream.text("service").unwrap_or_default())
            .or_default();
        *service.entry(condition).or_default() += 1;
    });
    services.into_iter().for_each(|(service, counts)| {
        let told: Vec<String> = counts
            .iter()
            .map(|(condition, count)| format!("{count} {condition}"))
            .collect();
        lines.push(format!("upstreams of {service}: {}", told.join(", ")));
        if !counts.contains_key("ready") {
            wrong.push(format!("{service} has no warm upstream"));
        }
    });
    (lines, wrong)
}
