//! What the path costs: ratios within one run, alternating.

use bytes::Bytes;
use config::JsonValue;
use invariants::observations::ObservationLog;
use name_directory::View;
use protocol::{Upstream, ViewUpdate};
use simulator::shapes::{KALAM, ROADWISE, ServiceProfile, Shape};
use simulator::{Plan, World};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use testbed::fleet::Fleet;
use testbed::link_proxies::LinkProxies;
use testbed::runs::submit;
use testbed::stand_in_clients::StandInClients;
use testbed::stand_in_upstreams::{ANY_PORT, StandInUpstream};
use transport::{Clock, HttpClient};

const ROUNDS: usize = 5;
const CALLS: usize = 400;
const LIMIT: Duration = Duration::from_secs(30);
/// The service whose calls are measured, and how many upstreams serve it.
const MEASURED_SERVICE: ServiceProfile = ROADWISE.services[0];
const UPSTREAMS: usize = 6;

/// Runs all measurements and prints them; true where all could be made.
pub async fn run() -> bool {
    match measure_all().await {
        Ok(()) => true,
        Err(text) => {
            eprintln!("test-harness: {text}");
            false
        }
    }
}

/// Runs all measurements and prints them.
async fn measure_all() -> Result<(), String> {
    messages();
    let record = ObservationLog::default();
    let clock = Clock::default();
    let (fleet, _links) = start_fleet().await?;
    let nodes = Arc::new(fleet.nodes());
    if !Fleet::ready(&nodes, LIMIT).await {
        return Err("the fleet was not ready".into());
    }
    submit(
        &HttpClient::default(),
        &record,
        &clock,
        &nodes[0],
        "first",
        &ROADWISE,
        0,
    )
    .await?;
    let upstreams = start_upstreams(&nodes, clock, &record).await?;
    await_first_success(&nodes, clock, &record).await;
    latency(&nodes[0], &upstreams[0], MEASURED_SERVICE.service).await?;
    update(&record, &clock, &nodes).await?;
    upstreams.iter().for_each(|upstream| upstream.crash());
    fleet.remove();
    Ok(())
}

/// Starts the processes of a site, and the links between them.
async fn start_fleet() -> Result<(Fleet, Arc<LinkProxies>), String> {
    let programs = std::env::current_exe()
        .map_err(|e| e.to_string())?
        .parent()
        .map(PathBuf::from)
        .unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("measure-{}", std::process::id()));
    let (mut fleet, links) = Fleet::create(&ROADWISE, &programs, &folder)
        .await
        .map_err(|e| e.to_string())?;
    fleet.start().map_err(|e| e.to_string())?;
    Ok((fleet, links))
}

/// Starts the upstreams of the measured service.
async fn start_upstreams(
    nodes: &Arc<Vec<String>>,
    clock: Clock,
    record: &ObservationLog,
) -> Result<Vec<Arc<StandInUpstream>>, String> {
    let mut upstreams = Vec::new();
    for at in 0..UPSTREAMS {
        let (name, place) = (format!("unit-{at}"), ROADWISE.locality(at));
        let upstream = StandInUpstream::start(
            ANY_PORT,
            MEASURED_SERVICE,
            name,
            place,
            true,
            nodes.clone(),
            clock,
            record.clone(),
        );
        upstreams.push(upstream.await.map_err(|e| e.to_string())?);
    }
    Ok(upstreams)
}

/// Runs operations until one of the measured service succeeds.
async fn await_first_success(nodes: &[String], clock: Clock, record: &ObservationLog) {
    let clients = StandInClients::new(
        ROADWISE,
        nodes[..ROADWISE.machines].to_vec(),
        clock,
        record.clone(),
    );
    while !clients
        .finished()
        .iter()
        .any(|finished| finished.service == MEASURED_SERVICE.service && finished.code == 1000)
    {
        clients.run_operation().await;
    }
}

/// Parcels a second and node, over links, at several sizes of fleet (simulated, quiet).
fn messages() {
    println!("links, simulated, at the site's rate; then a region cut for some seconds:");
    [ROADWISE, KALAM].into_iter().for_each(|site| {
        [1, 2, 4, 8].into_iter().for_each(|times| {
            let shape = Shape { machines: site.machines * times, per_service: site.per_service * times, ..site.clone() };
            let (machines, upstreams) = (shape.machines, shape.per_service * 3);
            let quiet = World::new(1, Some(Plan::quiet()), shape.clone()).run();
            let (nodes, seconds) = ((machines + shape.disks) as f64, quiet.lasted.as_secs_f64());
            let partition = World::new(1, Plan::named("cut-region", 1), shape).run();
            println!(
                "  {} times {times}: {machines} machines, {upstreams} upstreams: {:.1} parcels and {:.0} bytes a second and \
                 node; {} of {} served; after the cut served again in {:?}, {} violations",
                site.name,
                quiet.messages as f64 / nodes / seconds,
                quiet.message_bytes as f64 / nodes / seconds,
                quiet.ended.iter().filter(|finished| finished.code == 1000).count(),
                quiet.ended.len(),
                partition.resumed_after,
                partition.violations.len() + quiet.violations.len(),
            );
        });
    });
    publishing();
}

/// What it costs a data node to publish its view, against its size.
fn publishing() {
    println!("publishing a view, median of 2000:");
    [36, 288, 2304].into_iter().for_each(|count: u64| {
        let mut view = View::default();
        let upstreams = (0..count).map(|at| Upstream {
            service: format!("s{}", at % 3),
            instance: format!("unit-{at}"),
            address: format!("127.0.0.1:{at}"),
            locality: "north/north-1".into(),
            ..Upstream::default()
        });
        view.apply_update(
            ViewUpdate {
                upstreams: upstreams.collect(),
                ..ViewUpdate::default()
            },
            true,
        )
        .expect("no setup to misread");
        let median = |mut all: Vec<Duration>| {
            all.sort();
            all[all.len() / 2]
        };
        let shared = (0..2000).map(|_| {
            let started_at = Instant::now();
            let copy = std::hint::black_box(view.clone());
            let took = started_at.elapsed();
            drop(copy);
            took
        });
        let shared = median(shared.collect());
        let complete = (0..2000).map(|_| {
            let started_at = Instant::now();
            let copy: Vec<Upstream> = view
                .upstreams
                .values()
                .flat_map(|known| known.values())
                .map(|up| (**up).clone())
                .collect();
            std::hint::black_box(copy);
            started_at.elapsed()
        });
        println!(
            "  {count} upstreams: {shared:?} sharing them, {:?} copying them",
            median(complete.collect())
        );
    });
}

async fn latency(node: &str, upstream: &StandInUpstream, service: &str) -> Result<(), String> {
    let client = HttpClient::default();
    let mut ratios = Vec::new();
    println!("medians of {CALLS} calls each, alternating, one at a time:");
    for round in 0..ROUNDS {
        let (mut direct, mut proxied, mut looked) = (Vec::new(), Vec::new(), Vec::new());
        for at in 0..CALLS {
            let attempt_id = format!("m-{round}-{at}");
            let headers = [
                ("x-try-id", attempt_id.as_str()),
                ("x-remaining-ms", "3000"),
            ];
            let routed = format!("/r/{service}/{service}");
            let listed = format!("/directory?name={service}&region=north&zone=north-1");
            direct.push(
                timed(
                    &client,
                    &upstream.address,
                    "POST",
                    &format!("/{service}"),
                    &headers,
                )
                .await?,
            );
            proxied.push(timed(&client, node, "POST", &routed, &headers).await?);
            looked.push(timed(&client, node, "GET", &listed, &[]).await?);
        }
        let median = |mut all: Vec<Duration>| {
            all.sort();
            all[all.len() / 2]
        };
        let (direct, proxied, looked) = (median(direct), median(proxied), median(looked));
        let ratio = proxied.as_secs_f64() / direct.as_secs_f64();
        ratios.push(ratio);
        println!(
            "  direct {direct:?}, through a proxy {proxied:?} ({ratio:.2} times), directory {looked:?}"
        );
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "  proxy to direct: median {:.2}, from {:.2} to {:.2}",
        ratios[ROUNDS / 2],
        ratios[0],
        ratios[ROUNDS - 1]
    );
    Ok(())
}

async fn timed(
    client: &HttpClient,
    node: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Duration, String> {
    let started_at = Instant::now();
    let called = client
        .call(
            node,
            method,
            path,
            headers,
            Bytes::from_static(b"work"),
            LIMIT,
            false,
        )
        .await;
    let reply = called.map_err(|e| format!("{path}: {e:?}"))?;
    Some(started_at.elapsed())
        .filter(|_| reply.status == 200)
        .ok_or(format!("{path}: {}", reply.status))
}

/// From the asking to the revision in force at the last data-plane node.
async fn update(record: &ObservationLog, clock: &Clock, nodes: &[String]) -> Result<(), String> {
    let data_nodes = &nodes[..ROADWISE.machines];
    println!(
        "a setup, from the asking until the yes and until it is in force at all {} carriers:",
        data_nodes.len()
    );
    let client = HttpClient::default();
    for round in 0..3 {
        for extra in [0, 1000, 5000, 15000] {
            let (bytes, started_at) = (ROADWISE.configuration(extra).len(), Instant::now());
            let id = format!("n-{round}-{extra}");
            let revision = submit(&client, record, clock, &nodes[1], &id, &ROADWISE, extra).await?;
            let yes = started_at.elapsed();
            let mut behind: BTreeSet<&String> = data_nodes.iter().collect();
            while !behind.is_empty() {
                for node in behind.clone() {
                    let called = client
                        .call(node, "GET", "/node", &[], Bytes::new(), LIMIT, true)
                        .await;
                    let json = called.ok().and_then(|reply| {
                        JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok()
                    });
                    if json
                        .and_then(|json| json.count("edition"))
                        .is_some_and(|known| known >= revision)
                    {
                        behind.remove(node);
                    }
                }
            }
            println!(
                "  {bytes} bytes: yes after {yes:?}, everywhere after {:?}",
                started_at.elapsed()
            );
        }
    }
    Ok(())
}
