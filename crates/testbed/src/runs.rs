//! A run of a real fleet: start, configure, load, inject faults, heal, check.

use crate::fleet::{Fleet, Process};
use crate::link_proxies::LinkProxies;
use crate::plans::FaultInjection;
use crate::stand_in_clients::StandInClients;
use crate::stand_in_upstreams::{ANY_PORT, StandInUpstream};
use bytes::Bytes;
use config::JsonValue;
use invariants::observations::{FinishedOperation, Observation, ObservationLog};
use invariants::rules;
use result_code::ResultCode;
use simulator::report;
use simulator::shapes::{MARKERS, Shape, marker_index};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use transport::{Clock, HttpClient};

/// Within this after the last fault everything must be served again.
const MAX_UNAVAILABILITY: Duration = Duration::from_secs(15);
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// One run.
pub struct Run {
    /// The site to lay out.
    pub shape: Shape,
    /// How long to load it.
    pub load: Duration,
    /// Requests a second; none for the site's own rate.
    pub per_second: Option<u64>,
    /// The name of a plan of [`PLANS`](crate::plans::PLANS).
    pub plan: String,
    /// Where data and logs are left; none for a folder that is removed.
    pub keep: Option<PathBuf>,
    /// Rules with a time limit are reported, and don't fail the run.
    pub untimed: bool,
}

/// Runs it; true where the fleet came up and no rule was broken.
pub async fn fleet(run: Run) -> bool {
    match run_fleet(run).await {
        Ok(passed) => passed,
        Err(text) => {
            eprintln!("test-harness: {text}");
            false
        }
    }
}

async fn run_fleet(run: Run) -> Result<bool, String> {
    let clock = Clock::default();
    let record = ObservationLog::default();
    let (mut fleet, link_proxies) = start_fleet(&run).await?;
    let nodes = Arc::new(fleet.nodes());
    if !Fleet::ready(&nodes, READY_TIMEOUT).await {
        return Err(format!("the fleet was not ready within {READY_TIMEOUT:?}"));
    }
    println!("{} processes ready after {:?}", nodes.len(), clock.now());
    let client = HttpClient::default();
    submit(&client, &record, &clock, &nodes[0], "first", &run.shape, 0).await?;
    println!("first configuration in force after {:?}", clock.now());
    let mut upstreams = start_upstreams(&run.shape, &nodes, clock, &record).await?;
    let directories: Vec<String> = fleet
        .data_nodes
        .iter()
        .map(|data_node| data_node.http.clone())
        .collect();
    let clients = StandInClients::new(
        run.shape.clone(),
        directories.clone(),
        clock,
        record.clone(),
    );
    wait_until_served(&clients).await?;
    println!("every service served after {:?}", clock.now());
    let warm_up = clients.finished().len();
    let observers = Observers::start(&nodes, &directories, &record, clock);
    let loading = clients.clone();
    let (per_second, span) = (run.requests_per_second(), run.load);
    let load = tokio::spawn(async move { loading.load(per_second, span).await });
    let injection = FaultInjection {
        link_proxies,
        fleet: &mut fleet,
        upstreams: &mut upstreams,
        shape: &run.shape,
        record: &record,
        clock,
        span,
    };
    injection.inject(&run.plan).await?;
    load.await.map_err(|e| e.to_string())?;
    observers.stop();
    let matching = read_back_all(&client, &record, &clock, &fleet).await;
    let finished: Vec<FinishedOperation> = clients.finished().into_iter().skip(warm_up).collect();
    let passed = check_rules(&run, &record.all(), &finished);
    let is_consistent = matching == fleet.control_nodes.len();
    print_fleet(&fleet, matching);
    for upstream in &upstreams {
        upstream.crash();
    }
    if run.keep.is_none() {
        fleet.remove();
    }
    Ok(passed && is_consistent && !finished.is_empty())
}

impl Run {
    fn requests_per_second(&self) -> u64 {
        self.per_second.unwrap_or(self.shape.per_second)
    }
}

/// Lays the site out and starts all its processes.
async fn start_fleet(run: &Run) -> Result<(Fleet, Arc<LinkProxies>), String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let programs = program.parent().map(PathBuf::from).unwrap_or_default();
    let temporary = || std::env::temp_dir().join(format!("test-harness-{}", std::process::id()));
    let folder = run.keep.clone().unwrap_or_else(temporary);
    let (mut fleet, link_proxies) = Fleet::create(&run.shape, &programs, &folder)
        .await
        .map_err(|e| e.to_string())?;
    fleet
        .start()
        .map_err(|e| format!("cannot start the daemons beside test-harness: {e}"))?;
    if run.plan == "founding" {
        let interrupted = interrupt_bootstrap(&mut fleet).await;
        interrupted.map_err(|e| e.to_string())?;
    }
    Ok((fleet, link_proxies))
}

/// Starts the stand-in upstreams of every service.
pub(crate) async fn start_upstreams(
    shape: &Shape,
    nodes: &Arc<Vec<String>>,
    clock: Clock,
    record: &ObservationLog,
) -> Result<Vec<Arc<StandInUpstream>>, String> {
    let mut upstreams = Vec::new();
    for (work, count) in shape.profiles() {
        for at in 0..count {
            let at = marker_index(work.service).unwrap_or(at);
            let upstream = StandInUpstream::start(
                ANY_PORT,
                work,
                format!("{}-{at}", work.service),
                shape.locality(at),
                true,
                nodes.clone(),
                clock,
                record.clone(),
            );
            upstreams.push(upstream.await.map_err(|e| e.to_string())?);
        }
    }
    Ok(upstreams)
}

/// Tasks that note what nodes answer while the site is loaded.
struct Observers(Vec<JoinHandle<()>>);

impl Observers {
    fn start(
        nodes: &Arc<Vec<String>>,
        directories: &[String],
        record: &ObservationLog,
        clock: Clock,
    ) -> Self {
        let directories = directories.to_vec();
        Observers(vec![
            tokio::spawn(read_everywhere(nodes.clone(), record.clone(), clock)),
            tokio::spawn(probe(directories.clone())),
            tokio::spawn(watch_revisions(directories, record.clone(), clock)),
        ])
    }

    fn stop(self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Checks the rules and how soon requests succeeded again after the last fault, and prints both.
fn check_rules(
    run: &Run,
    seen: &[(Duration, Observation)],
    finished: &[FinishedOperation],
) -> bool {
    let violations = rules::check_all(seen, &run.shape.rule_parameters());
    let (per_second, span) = (run.requests_per_second(), run.load);
    let title = format!(
        "{} at {per_second}/s for {span:?}, plan {}",
        run.shape.name, run.plan
    );
    report::print(&title, seen, finished, &violations);
    let follows_rules = violations
        .iter()
        .all(|violation| run.untimed && rules::TIMED.contains(&violation.rule));
    let faults = seen
        .iter()
        .filter(|(_, observation)| matches!(observation, Observation::Fault { .. }));
    let healed_at = faults.map(|(at, _)| *at).max().unwrap_or_default();
    let failed = finished
        .iter()
        .filter(|operation| operation.code != ResultCode::Success.number())
        .map(|operation| operation.at.saturating_sub(operation.took));
    let resumed = failed.max().unwrap_or_default().saturating_sub(healed_at);
    println!("last failure {resumed:?} after the last fault ended");
    follows_rules && (run.untimed || resumed <= MAX_UNAVAILABILITY)
}

/// Prints how many control nodes agree, and what memory the processes took.
fn print_fleet(fleet: &Fleet, matching: usize) {
    println!(
        "control nodes that read the same configuration back: {matching} of {}",
        fleet.control_nodes.len()
    );
    let data_node = peak_mib(&fleet.data_nodes);
    let control_node = peak_mib(&fleet.control_nodes);
    println!(
        "most memory of one data node: {data_node} MiB, of one control node: {control_node} MiB"
    );
}

fn peak_mib(processes: &[Process]) -> u64 {
    let peaks = processes.iter().filter_map(Process::peak_memory);
    peaks.max().unwrap_or(0) / 1024
}

/// While the cluster bootstraps: two are killed, one of them loses its disk, and both come back.
async fn interrupt_bootstrap(fleet: &mut Fleet) -> std::io::Result<()> {
    for wait_ms in [150, 300, 450] {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        fleet.control_nodes[1].kill();
        fleet.control_nodes[4].kill();
        fleet.control_nodes[4].wipe();
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        fleet.control_nodes[1].start()?;
        fleet.control_nodes[4].start()?;
    }
    Ok(())
}

/// Submits a configuration and waits until it is in force.
pub async fn submit(
    client: &HttpClient,
    record: &ObservationLog,
    clock: &Clock,
    node: &str,
    id: &str,
    shape: &Shape,
    extra: usize,
) -> Result<u64, String> {
    let configuration = shape.configuration(extra);
    let marker = extra % MARKERS.len();
    submit_text(client, record, clock, node, id, &configuration, marker).await
}

/// Submits the text of a configuration, whose name `probe` leads to this marker, and waits until it is in force.
pub async fn submit_text(
    client: &HttpClient,
    record: &ObservationLog,
    clock: &Clock,
    node: &str,
    id: &str,
    configuration: &str,
    marker: usize,
) -> Result<u64, String> {
    let submitted_at = clock.now();
    let digest = protocol::digest(configuration.as_bytes());
    let path = format!("/setup?id={id}");
    // Unknown or not yet possible: the same id is asked again, and is decided once.
    for _ in 0..40 {
        let called = client.call(
            node,
            "PUT",
            &path,
            &[],
            Bytes::from(configuration.to_owned()),
            Duration::from_secs(10),
            false,
        );
        let reply = called.await.ok();
        let json =
            reply.and_then(|reply| JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok());
        let code = json.as_ref().and_then(|json| json.count("code"));
        if code == Some(u64::from(ResultCode::Success.number())) {
            let revision = json.and_then(|json| json.count("edition")).unwrap_or(0);
            let took = clock.now() - submitted_at;
            record.note(
                clock.now(),
                Observation::ConfigurationAccepted {
                    revision,
                    digest,
                    marker,
                    took,
                },
            );
            record.note(clock.now(), Observation::RevisionAccepted { revision });
            return Ok(revision);
        }
        if code == Some(u64::from(ResultCode::RevisionConflict.number())) {
            return Err(format!("{id} was made from an older edition"));
        }
        if code == Some(u64::from(ResultCode::InvalidConfiguration.number())) {
            return Err(format!("{id} is invalid: {json:?}"));
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    Err("the setup was not accepted".into())
}

/// Waits until each service was served once, so that the load meets a site that is up.
async fn wait_until_served(clients: &Arc<StandInClients>) -> Result<(), String> {
    for _ in 0..400 {
        clients.run_operation().await;
        let finished = clients.finished();
        let served = |service: &str| {
            finished.iter().any(|finished| {
                finished.service == service && finished.code == ResultCode::Success.number()
            })
        };
        if clients
            .shape
            .services
            .iter()
            .all(|work| served(work.service))
        {
            return Ok(());
        }
    }
    Err("not every service was served".into())
}

/// Sends probes through every data node: where they arrive shows which configuration is in force there.
async fn probe(data_nodes: Vec<String>) {
    let client = HttpClient::default();
    for number in 0u64.. {
        for (at, data_node) in data_nodes.iter().enumerate() {
            let (attempt_id, client, data_node) = (
                format!("probe-{number}-{at}"),
                client.clone(),
                data_node.clone(),
            );
            tokio::spawn(async move {
                let headers = [
                    ("x-try-id", attempt_id.as_str()),
                    ("x-remaining-ms", "1000"),
                ];
                let within = Duration::from_secs(2);
                let _ = client
                    .call(
                        &data_node,
                        "POST",
                        "/r/probe/probe",
                        &headers,
                        Bytes::new(),
                        within,
                        false,
                    )
                    .await;
            });
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Reads the configuration back from every node, again and again: each gives the same answer, or says that it can't know.
pub(crate) async fn read_everywhere(nodes: Arc<Vec<String>>, record: ObservationLog, clock: Clock) {
    loop {
        nodes.iter().for_each(|node| {
            let (node, record) = (node.clone(), record.clone());
            tokio::spawn(async move {
                let (asked_at, within) = (clock.now(), Duration::from_secs(3));
                let client = HttpClient::default();
                let called = client
                    .call(&node, "GET", "/setup", &[], Bytes::new(), within, false)
                    .await;
                called
                    .ok()
                    .filter(|reply| reply.status == 200)
                    .into_iter()
                    .for_each(|reply| {
                        let revision = reply.header("x-edition").parse().unwrap_or(0);
                        let digest = protocol::digest(&reply.body);
                        record.note(
                            clock.now(),
                            Observation::ConfigurationRead {
                                node: node.clone(),
                                revision,
                                digest,
                                asked_at,
                            },
                        );
                    });
            });
        });
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Notes the revision in force at each data node that says it serves.
async fn watch_revisions(nodes: Vec<String>, record: ObservationLog, clock: Clock) {
    let client = HttpClient::default();
    loop {
        for node in &nodes {
            let called = client
                .call(
                    node,
                    "GET",
                    "/node",
                    &[],
                    Bytes::new(),
                    Duration::from_secs(1),
                    true,
                )
                .await;
            let json = called
                .ok()
                .and_then(|reply| JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok());
            let serving = json.filter(|json| json.get("ready") == Some(&JsonValue::Bool(true)));
            serving
                .and_then(|json| json.count("edition"))
                .into_iter()
                .for_each(|revision| {
                    record.note(
                        clock.now(),
                        Observation::RevisionInForce {
                            node: node.clone(),
                            revision,
                        },
                    );
                });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// How many control nodes read the same configuration back as the first.
async fn read_back_all(
    client: &HttpClient,
    record: &ObservationLog,
    clock: &Clock,
    fleet: &Fleet,
) -> usize {
    let mut read = Vec::new();
    for process in &fleet.control_nodes {
        let asked_at = clock.now();
        let called = client.call(
            &process.http,
            "GET",
            "/setup",
            &[],
            Bytes::new(),
            Duration::from_secs(5),
            false,
        );
        if let Some(reply) = called.await.ok().filter(|reply| reply.status == 200) {
            let revision = reply.header("x-edition").parse().unwrap_or(0);
            let digest = protocol::digest(&reply.body);
            let back = Observation::ConfigurationRead {
                node: process.node.clone(),
                revision,
                digest: digest.clone(),
                asked_at,
            };
            record.note(clock.now(), back);
            read.push((revision, digest));
        }
    }
    read.iter()
        .filter(|other| Some(*other) == read.first())
        .count()
}
