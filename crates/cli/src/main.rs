//! The operator's tool: drives any node.

mod manifest;
mod rescue;
mod site;

use config::{Configuration, JsonValue, ValidationError};
use error_stack::Report;
use result_code::ResultCode;
use std::time::Duration;
use transport::{CallError, HttpClient, Reply, exit};

/// Nobody can tell whether it was done: ask again with the same id.
const UNKNOWN: i32 = 4;
/// No node could be reached.
const UNREACHED: i32 = 3;
/// How often a call is sent on to another node.
const MAX_REDIRECTS: usize = 2;
const WITHIN: Duration = Duration::from_secs(10);

/// No page of one node, but of all.
const SITE: &str = "site";
const VOTERS: &str = "voters";

const HELP: &str = "clerk drives any mothspindle node.

usage: clerk --node IP:PORT VERB [ARGUMENTS]

  submit FILE [--id ID] [--base EDITION] [--wait]   put a setup in force; --wait until it is everywhere
  read                                              print the setup in force (its edition goes to stderr)
  evacuate LOCALITY [--id ID] [--wait]              take all work away from a locality (region/zone)
  take-back LOCALITY [--id ID] [--wait]             let work go there again
  voters                                            who votes, and how far each is behind
  voters add NODE | remove NODE | replace OLD NEW   change who votes; a node must follow already to be added
  site                                              the whole site at a glance, and what is wrong with it (then 1)
  status | node | upstreams | reservations | marks | counters | ready
  lookup NAME LOCALITY                              ask a directory node as an origin there would
  trace TRY                                         why a request went where it went; asks all proxies
  trace --name NAME --path PATH [--key KEY]         what a node would decide for such a request now
  check FILE                                        check a setup here, without a node
  manifest FILE --services SETUP                    turn manifests in the manner of the Gateway API into a setup

  After a majority of the voters is lost for good (docs/operating.md), without a node:
  survivor NODE FOLDER FILE                         write down what a survivor's data folder says
  settle FILE SURVIVOR ... --lost NODE,...          settle the survivors; every voter is given or lost
  inherit FILE FOLDER                               leave what was settled in a blank data folder

  An order that is sent again is done once: give the --id and the --since that the first sending printed. --since is
  how many orders had been decided before it; without --id both are found out.

  --node may be given several times: the next is tried where one can't be reached.
  --help, --version

exit codes: 0 fine, 1 denied, 2 flags denied, 3 no node reached, 4 unknown outcome (ask again with the same id)";

#[derive(Default)]
struct Flags {
    nodes: Vec<String>,
    words: Vec<String>,
    id: Option<String>,
    base: Option<String>,
    since: Option<u64>,
    wait: bool,
    name: Option<String>,
    path: Option<String>,
    key: Option<String>,
    lost: Vec<String>,
    services: Option<String>,
}

struct Call {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    /// A new order, which tells how many were decided before it.
    is_new_order: bool,
}

fn change_voters(change: &str) -> Call {
    Call {
        method: "POST",
        path: format!("/voters?{change}"),
        body: Vec::new(),
        is_new_order: false,
    }
}

fn get(path: impl Into<String>) -> Call {
    Call {
        method: "GET",
        path: path.into(),
        body: Vec::new(),
        is_new_order: false,
    }
}

#[tokio::main]
async fn main() {
    let code = match read_flags().and_then(|flags| read_call(&flags).map(|call| (flags, call))) {
        Ok((flags, call)) => drive(&flags, call).await,
        Err((code, text)) => {
            let quiet = code == exit::SUCCESS;
            if quiet {
                println!("{text}")
            } else {
                eprintln!("clerk: {text}")
            }
            code
        }
    };
    std::process::exit(code);
}

fn read_flags() -> Result<Flags, (i32, String)> {
    let wrong = |text: String| (exit::USAGE, format!("{text}; see --help"));
    let mut flags = Flags::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser
        .next()
        .map_err(|failure| wrong(failure.to_string()))?
    {
        use lexopt::Arg::{Long, Short, Value};
        let value = |parser: &mut lexopt::Parser| {
            parser
                .value()
                .map(|value| value.to_string_lossy().into_owned())
                .map_err(|failure| wrong(failure.to_string()))
        };
        match arg {
            Long("help") | Short('h') => return Err((exit::SUCCESS, HELP.to_owned())),
            Long("version") | Short('V') => {
                return Err((
                    exit::SUCCESS,
                    format!("clerk {}", env!("CARGO_PKG_VERSION")),
                ));
            }
            Long("node") => {
                let node = value(&mut parser)?;
                node.parse::<std::net::SocketAddr>()
                    .map_err(|_| wrong(format!("--node '{node}': must be IP:port")))?;
                flags.nodes.push(node);
            }
            Long("id") => flags.id = Some(value(&mut parser)?),
            Long("base") => flags.base = Some(value(&mut parser)?),
            Long("since") => {
                let since = value(&mut parser)?;
                let count = since
                    .parse()
                    .map_err(|_| wrong(format!("--since '{since}': must be a count")))?;
                flags.since = Some(count);
            }
            Long("name") => flags.name = Some(value(&mut parser)?),
            Long("path") => flags.path = Some(value(&mut parser)?),
            Long("key") => flags.key = Some(value(&mut parser)?),
            Long("services") => flags.services = Some(value(&mut parser)?),
            Long("lost") => flags
                .lost
                .extend(value(&mut parser)?.split(',').map(str::to_owned)),
            Long("wait") => flags.wait = true,
            Value(word) => flags.words.push(word.to_string_lossy().into_owned()),
            other => return Err(wrong(other.unexpected().to_string())),
        }
    }
    Ok(flags)
}

fn read_call(flags: &Flags) -> Result<Call, (i32, String)> {
    let words: Vec<&str> = flags.words.iter().map(String::as_str).collect();
    let id = flags
        .id
        .clone()
        .unwrap_or_else(|| format!("clerk-{:016x}", transport::random_seed()));
    let wait = if flags.wait { "&wait=force" } else { "" };
    let since = flags
        .since
        .map(|since| format!("&since={since}"))
        .unwrap_or_default();
    let is_new_order = flags.id.is_none() && flags.since.is_none();
    let read = |file: &str| {
        std::fs::read(file).map_err(|failure| (exit::USAGE, format!("{file}: {failure}")))
    };
    let evacuate = |place: &str, back: &str| Call {
        method: "POST",
        path: format!("/evacuations?id={id}&locality={place}{back}{wait}{since}"),
        body: Vec::new(),
        is_new_order,
    };
    let done = |told: Result<String, Report<rescue::Failure>>| {
        told.map(|text| (exit::SUCCESS, text))
            .unwrap_or_else(|failed| (exit::FAILURE, transport::error_chain(&failed)))
    };
    let call = match words.as_slice() {
        ["manifest", file] => {
            let services = flags
                .services
                .as_deref()
                .ok_or((exit::USAGE, "manifest: give --services".to_owned()))?;
            let text =
                |file: &str| read(file).map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
            return Err(turned(manifest::turn(&text(file)?, &text(services)?)));
        }
        ["survivor" | "testament", node, folder, file] => {
            return Err(done(rescue::survivor(node, folder, file)));
        }
        ["settle", file, survivors @ ..] => {
            return Err(done(rescue::settle(file, &flags.lost, survivors)));
        }
        ["inherit", file, folder] => return Err(done(rescue::inherit(file, folder))),
        ["check", file] => {
            let validation_errors = Configuration::parse(&read(file)?).err().unwrap_or_default();
            let fine = validation_errors.is_empty();
            let text = validation_errors
                .iter()
                .map(|complaint| complaint.to_string())
                .collect::<Vec<_>>()
                .join("\n");
            return Err(if fine {
                (exit::SUCCESS, "the setup is fine".into())
            } else {
                (exit::FAILURE, text)
            });
        }
        ["submit", file] => {
            let base = flags
                .base
                .as_ref()
                .map(|base| format!("&base={base}"))
                .unwrap_or_default();
            eprintln!("submission {id}");
            Call {
                method: "PUT",
                path: format!("/setup?id={id}{base}{wait}{since}"),
                body: read(file)?,
                is_new_order,
            }
        }
        ["read"] => get("/setup"),
        ["evacuate", place] => evacuate(place, ""),
        ["take-back", place] => evacuate(place, "&back=true"),
        [
            page @ ("status" | "node" | "upstreams" | "reservations" | "marks" | "counters"
            | "ready"),
        ] => get(format!("/{page}")),
        ["lookup", name, place] => {
            let (region, zone) = place.split_once('/').unwrap_or((place, ""));
            get(format!(
                "/directory?name={name}&region={region}&zone={zone}"
            ))
        }
        ["trace", try_id] => get(format!("/trace?try={try_id}")),
        ["trace"] => {
            let wanted = flags.name.as_deref().zip(flags.path.as_deref());
            let (name, path) = wanted.ok_or((
                exit::USAGE,
                "trace: give a try, or --name and --path".to_owned(),
            ))?;
            get(format!(
                "/trace?name={name}&path={path}&key={}",
                flags.key.as_deref().unwrap_or_default()
            ))
        }
        ["site"] => get(SITE),
        ["voters"] => get(VOTERS),
        ["voters", "add", node] => change_voters(&format!("add={node}")),
        ["voters", "remove", node] => change_voters(&format!("remove={node}")),
        ["voters", "replace", old, new] => change_voters(&format!("remove={old}&add={new}")),
        [] => return Err((exit::USAGE, HELP.to_owned())),
        _ => {
            return Err((
                exit::USAGE,
                format!("'{}' is no verb of mine; see --help", words.join(" ")),
            ));
        }
    };
    if flags.nodes.is_empty() {
        return Err((exit::USAGE, "--node is missing; see --help".into()));
    }
    Ok(call)
}

fn show_site((lines, wrong): (Vec<String>, Vec<String>)) -> i32 {
    lines.iter().for_each(|line| println!("{line}"));
    wrong.iter().for_each(|line| println!("wrong: {line}"));
    if wrong.is_empty() {
        exit::SUCCESS
    } else {
        exit::FAILURE
    }
}

/// A setup goes out as it is; remarks and complaints go beside it.
fn turned(turned: Result<manifest::Turned, Vec<ValidationError>>) -> (i32, String) {
    let lines = |all: Vec<String>| all.join("\n");
    match turned {
        Ok((configuration, remarks)) => {
            remarks
                .iter()
                .for_each(|remark| eprintln!("clerk: {remark}"));
            (exit::SUCCESS, configuration)
        }
        Err(validation_errors) => (
            exit::FAILURE,
            lines(
                validation_errors
                    .iter()
                    .map(ValidationError::to_string)
                    .collect(),
            ),
        ),
    }
}

async fn drive(flags: &Flags, mut call: Call) -> i32 {
    let client = HttpClient::default();
    for node in &flags.nodes {
        if call.path == SITE {
            match site::glance(node).await {
                Some(told) => return show_site(told),
                None => eprintln!("clerk: {node} tells nothing of the site"),
            }
            continue;
        }
        if call.path == VOTERS {
            match site::voters(node).await {
                Some(told) => return show_site(told),
                None => eprintln!("clerk: {node} tells nothing of the voters"),
            }
            continue;
        }
        if call.is_new_order
            && let Some(since) = decided_orders(&client, node).await
        {
            eprintln!("since {since}");
            call.path.push_str(&format!("&since={since}"));
            call.is_new_order = false;
        }
        match follow(&client, node, &call).await {
            Ok(reply) if call.path.starts_with("/trace?try=") && reply.status == 404 => {
                return show(
                    &ask_all_proxies(&client, node, &call.path)
                        .await
                        .unwrap_or(reply),
                );
            }
            Ok(reply) => return show(&reply),
            Err(CallError::NotConnected) => eprintln!("clerk: {node} can't be reached"),
            Err(failure) => {
                eprintln!(
                    "clerk: {node}: {failure:?}; the outcome is unknown, ask again with the same id"
                );
                return UNKNOWN;
            }
        }
    }
    UNREACHED
}

/// Calls a node, and where it sends the caller on, the one that it names.
async fn follow(client: &HttpClient, node: &str, call: &Call) -> Result<Reply, CallError> {
    let (mut node, mut path) = (node.to_owned(), call.path.clone());
    for _ in 0..MAX_REDIRECTS {
        let body = call.body.clone().into();
        let reply = client
            .call(&node, call.method, &path, &[], body, WITHIN, false)
            .await?;
        let location = reply
            .header("location")
            .strip_prefix("http://")
            .and_then(|at| at.split_once('/'));
        match location.filter(|_| reply.status == ResultCode::Redirected.status()) {
            Some((address, target)) => (node, path) = (address.to_owned(), format!("/{target}")),
            None => return Ok(reply),
        }
    }
    client
        .call(
            &node,
            call.method,
            &path,
            &[],
            call.body.clone().into(),
            WITHIN,
            false,
        )
        .await
}

/// How many orders were decided so far, as a node knows it.
async fn decided_orders(client: &HttpClient, node: &str) -> Option<u64> {
    let status = client
        .call(
            node,
            "GET",
            "/status",
            &[],
            Vec::new().into(),
            WITHIN,
            false,
        )
        .await
        .ok()?;
    JsonValue::parse(&String::from_utf8_lossy(&status.body))
        .ok()?
        .count("decided")
}

/// The proxy that served a try is not known: every proxy that membership knows is asked.
async fn ask_all_proxies(client: &HttpClient, node: &str, path: &str) -> Option<Reply> {
    let status = client
        .call(
            node,
            "GET",
            "/status",
            &[],
            Vec::new().into(),
            WITHIN,
            false,
        )
        .await
        .ok()?;
    let json = JsonValue::parse(&String::from_utf8_lossy(&status.body)).ok()?;
    let proxies = json
        .list("members")
        .iter()
        .filter(|member| member.text("roles").is_some_and(|r| r.contains("proxy")));
    for address in proxies.filter_map(|member| member.text("http")) {
        let reply = client
            .call(address, "GET", path, &[], Vec::new().into(), WITHIN, false)
            .await;
        if let Some(found) = reply.ok().filter(|reply| reply.status == 200) {
            return Some(found);
        }
    }
    None
}

fn show(reply: &Reply) -> i32 {
    let text = String::from_utf8_lossy(&reply.body);
    let revision = reply.header("x-edition");
    if !revision.is_empty() {
        eprintln!("edition {revision}");
    }
    println!("{text}");
    let code = reply
        .header("x-code")
        .parse()
        .ok()
        .and_then(ResultCode::from_number);
    JsonValue::parse(&text)
        .ok()
        .iter()
        .flat_map(|json| json.list("complaints").to_vec())
        .for_each(|complaint| {
            let told = complaint.text("path").zip(complaint.text("text"));
            told.into_iter()
                .for_each(|(path, text)| eprintln!("clerk: {path}: {text}"));
        });
    match code {
        Some(ResultCode::Success | ResultCode::Superseded) => exit::SUCCESS,
        Some(ResultCode::ChangeOutcomeUnknown) => UNKNOWN,
        _ => exit::FAILURE,
    }
}
