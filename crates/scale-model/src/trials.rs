//! Trials: what is done to a modelled deployment, and the figures that are recorded.

use super::call_tracker::CallCounts;
use super::figures::{Figures, print_kinds};
use super::fleet::{Fleet, Load};
use super::observation::ZoneContents;
use super::size::Size;
use std::time::{Duration, Instant};

/// The trials' names and descriptions.
pub const TRIALS: [(&str, &str); 11] = [
    ("idle", "nothing happens; upstreams beat"),
    ("config", "a setup with one further route"),
    ("orders", "a setup every 100 ms, all to one control node"),
    (
        "order-race",
        "a setup every 100 ms, each to another control node",
    ),
    (
        "departures",
        "an upstream says every 100 ms that it ends now",
    ),
    ("node-loss", "one carrier dies without a word"),
    (
        "rack-loss",
        "twelve carriers of one zone, or as many as it has, die at once",
    ),
    ("zone-loss", "all processes and upstreams of a zone die"),
    (
        "cold-start",
        "every process is killed and started again on its disk",
    ),
    (
        "region-cut",
        "a region is cut off for the window, then whole again",
    ),
    (
        "memory",
        "twelve further carriers start, and what the process grows by",
    ),
];

const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long after a placement lease is acquired keys are granted anew.
pub const SETTLING_TIME: Duration = Duration::from_secs(6);
const NOTICE_TIMEOUT: Duration = Duration::from_secs(120);

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The deployment's dimensions.
    pub size: Size,
    /// How much virtual time is measured.
    pub window: Duration,
    /// The seed of all random draws.
    pub seed: u64,
    /// The name of one of the trials.
    pub what: String,
    /// The load on the deployment.
    pub load: Load,
    /// How long the deployment serves, in virtual time, before anything is done or counted.
    pub settle: Duration,
    /// Control nodes without a vote, in addition to the voters.
    pub replicas: usize,
    /// Whether to print tables by kind of message and cause of step.
    pub kinds: bool,
}

/// Runs a trial.
///
/// ```
/// use scale_model::{Load, Run, SETTLING_TIME, Size, CURRENT_SIZE, run};
/// use std::time::Duration;
/// let size = Size { nodes: 3, control_nodes: 3, upstreams: 6, routes: 3, ..CURRENT_SIZE };
/// let window = Duration::from_secs(2);
/// let (what, load, settle, kinds) = ("idle".into(), Load::default(), SETTLING_TIME, false);
/// let figures = run(&Run { size, window, seed: 1, what, load, settle, replicas: 0, kinds }).unwrap();
/// assert!(figures.get("carrier.out.msgs").unwrap() > 1.0);
/// ```
pub fn run(run: &Run) -> Result<Figures, String> {
    let started_at = Instant::now();
    let rss_before = resident_bytes();
    let (mut fleet, ready) = site(run)?;
    let mut figures = Figures::default();
    figures.add("up.s", ready.as_secs_f64());
    fleet.take_stats();
    match run.what.as_str() {
        "idle" => fleet.run_for(run.window),
        "config" => config(&mut fleet, run, &mut figures),
        "orders" => submissions(&mut fleet, run, true, &mut figures),
        "order-race" => submissions(&mut fleet, run, false, &mut figures),
        "departures" => deregistrations(&mut fleet, run, &mut figures),
        "node-loss" => node_loss(&mut fleet, run, &mut figures),
        "rack-loss" => rack_loss(&mut fleet, run, &mut figures),
        "zone-loss" => zone_loss(&mut fleet, run, &mut figures),
        "cold-start" => cold_start(&mut fleet, run, &mut figures),
        "region-cut" => region_cut(&mut fleet, run, &mut figures),
        "memory" => memory(&mut fleet, run, &mut figures),
        other => return Err(format!("--what '{other}' is unknown")),
    }
    let stats = fleet.take_stats();
    let window = figures
        .get("window.s")
        .map(Duration::from_secs_f64)
        .unwrap_or(run.window);
    let all = stats.all();
    figures.add("all.msgs", all.messages as f64);
    figures.add("all.bytes", all.bytes as f64);
    stats.totals().into_iter().for_each(|(kind, total)| {
        let kind = kind.replace(' ', "-");
        figures.add(format!("all.{kind}.msgs"), total.messages as f64);
        figures.add(format!("all.{kind}.bytes"), total.bytes as f64);
    });
    if run.kinds {
        print_kinds(&stats, &run.size, window);
    }
    figures.0.extend(Figures::of(&stats, &run.size, window).0);
    figures.add(
        "rss.mb",
        resident_bytes().saturating_sub(rss_before) as f64 / 1e6,
    );
    figures.add("took.s", started_at.elapsed().as_secs_f64());
    Ok(figures)
}

/// A deployment in which every data node serves every name, and how long that took.
fn site(run: &Run) -> Result<(Fleet, Duration), String> {
    let mut fleet = Fleet::new(run.size, run.seed, run.load);
    fleet.run_for(Duration::from_secs(3));
    fleet.submit(0);
    let all = run.size.nodes;
    let ready = fleet.run_until(READY_TIMEOUT, |fleet| fleet.serving() == all);
    let ready = ready.ok_or_else(|| {
        format!(
            "{} of {all} carriers serve after {READY_TIMEOUT:?}",
            fleet.serving()
        )
    })?;
    fleet.grow_replicas(run.replicas);
    fleet.run_for(run.settle);
    Ok((fleet, ready + Duration::from_secs(3)))
}

fn seconds(took: Option<Duration>) -> f64 {
    took.map(|took| took.as_secs_f64()).unwrap_or(f64::NAN)
}

/// Submits a configuration and waits until its revision is in force at every data node.
fn config(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    fleet.submit(1);
    let first = fleet.run_until(READY_TIMEOUT, |fleet| fleet.accepted().is_some());
    let revision = fleet.accepted().unwrap_or(u64::MAX);
    let all = fleet.run_until(READY_TIMEOUT, |fleet| {
        fleet.in_force(revision) == run.size.nodes
    });
    let (first, all) = (seconds(first), seconds(all));
    figures.add("accepted.s", first);
    figures.add("in-force.s", first + all);
    let rest = run
        .window
        .saturating_sub(Duration::from_secs_f64((first + all).max(0.0)));
    fleet.run_for(rest);
}

/// How often a call is made by the trials that make many, and how closely their outcome is watched.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// How long the last calls may take beyond the window.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_secs(2);

fn submissions(fleet: &mut Fleet, run: &Run, to_one: bool, figures: &mut Figures) {
    let until = fleet.now() + run.window;
    let at = Some(run.size.nodes + 1).filter(|_| to_one);
    while fleet.now() < until {
        fleet.submit_configuration(at);
        fleet.run_watching_submissions(CALL_INTERVAL, WATCH_INTERVAL);
    }
    fleet.run_watching_submissions(LAST_CALLS_TIMEOUT, WATCH_INTERVAL);
    figures.add("window.s", (run.window + LAST_CALLS_TIMEOUT).as_secs_f64());
    add_calls(fleet, figures);
    add_percentiles(figures, "in-force", fleet.calls.in_force_after());
}

fn deregistrations(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    let until = fleet.now() + run.window;
    let mut leaving = 0..run.size.upstreams;
    while fleet.now() < until {
        leaving
            .next()
            .into_iter()
            .for_each(|upstream| fleet.deregister_upstream(upstream));
        fleet.run_for(CALL_INTERVAL);
    }
    fleet.run_for(LAST_CALLS_TIMEOUT);
    figures.add("window.s", (run.window + LAST_CALLS_TIMEOUT).as_secs_f64());
    add_calls(fleet, figures);
}

fn add_calls(fleet: &Fleet, figures: &mut Figures) {
    let CallCounts {
        requested,
        rejected,
        redirected,
    } = fleet.calls.counts();
    figures.add("calls", requested as f64);
    figures.add("calls.taken", fleet.calls.accepted_after().len() as f64);
    figures.add("calls.refused", rejected as f64);
    figures.add("calls.redirected", redirected as f64);
    add_percentiles(figures, "answer", fleet.calls.accepted_after());
}

/// The median, the time that 99 of 100 keep, and the longest.
fn add_percentiles(figures: &mut Figures, name: &str, times: &[Duration]) {
    let mut times = times.to_vec();
    times.sort();
    let at = |part: usize| {
        times
            .get((times.len() * part / 100).min(times.len().saturating_sub(1)))
            .copied()
    };
    figures.add(format!("{name}.p50.s"), seconds(at(50)));
    figures.add(format!("{name}.p99.s"), seconds(at(99)));
    figures.add(format!("{name}.most.s"), seconds(at(100)));
}

fn node_loss(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    let lost = [run.size.nodes / 2];
    let lost_at = fleet.now();
    fleet.kill(lost[0]);
    fleet.watch(&lost);
    departure_noticed_at(fleet, lost_at, figures);
}

fn rack_loss(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    let zone = fleet.in_zone(run.size.zones - 1);
    let lost: Vec<usize> = zone
        .nodes
        .into_iter()
        .filter(|at| *at < run.size.nodes)
        .take(12)
        .collect();
    let lost_at = fleet.now();
    lost.iter().for_each(|at| fleet.kill(*at));
    fleet.watch(&lost);
    figures.add("lost.nodes", lost.len() as f64);
    departure_noticed_at(fleet, lost_at, figures);
}

/// Records when the first, half and all of the remaining nodes have noticed the departure of all watched nodes.
fn departure_noticed_at(fleet: &mut Fleet, lost_at: Duration, figures: &mut Figures) {
    fleet.run_until(NOTICE_TIMEOUT, |fleet| {
        fleet.departure_noticed_at().len() == fleet.up()
    });
    let (times, up) = (fleet.departure_noticed_at(), fleet.up());
    let at = |rank: usize| times.get(rank).map(|at| at.saturating_sub(lost_at));
    figures.add("first-knows.s", seconds(at(0)));
    figures.add("half-know.s", seconds(at(up / 2)));
    figures.add("all-know.s", seconds(at(up - 1)));
    figures.add("window.s", (fleet.now() - lost_at).as_secs_f64());
}

fn zone_loss(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    // The last: where there are more zones than control nodes, one without a control node.
    let zone = run.size.zones - 1;
    let ZoneContents { nodes, upstreams } = fleet.in_zone(zone);
    let (place, lost_at) = (run.size.locality(zone), fleet.now());
    nodes.iter().for_each(|at| fleet.kill(*at));
    upstreams.iter().for_each(|at| fleet.crash_upstream(*at));
    fleet.watch(&nodes);
    let moved = fleet.run_until(NOTICE_TIMEOUT, |fleet| {
        fleet.views().all(|node| {
            node.view
                .reservations
                .values()
                .all(|owned| owned.locality != place)
        })
    });
    figures.add("lost.nodes", nodes.len() as f64);
    figures.add("lost.upstreams", upstreams.len() as f64);
    figures.add("names-moved.s", seconds(moved));
    departure_noticed_at(fleet, lost_at, figures);
}

fn cold_start(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    let all = run.size.nodes + run.size.control_nodes;
    (0..all).for_each(|at| fleet.kill(at));
    fleet.run_for(Duration::from_secs(10));
    fleet.take_stats();
    (0..all).for_each(|at| fleet.start(at));
    let first = fleet.run_until(READY_TIMEOUT, |fleet| fleet.serving() > 0);
    let soon = fleet.run_until(Duration::from_secs(2), |fleet| {
        fleet.serving() == run.size.nodes
    });
    // Those that are late: without a fresh view, or with one that names no owners.
    figures.add("late.stale", (run.size.nodes - fleet.in_force(1)) as f64);
    figures.add(
        "late.no-owners",
        (fleet.in_force(1) - fleet.serving()) as f64,
    );
    let rest = fleet.run_until(READY_TIMEOUT, |fleet| fleet.serving() == run.size.nodes);
    let rest = rest.map(|rest| rest + soon.unwrap_or(Duration::from_secs(2)));
    let (first, rest) = (seconds(first), seconds(rest));
    figures.add("first-serves.s", first);
    figures.add("all-serve.s", first + rest);
    figures.add("window.s", (first + rest).max(0.1));
}

fn region_cut(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    let region = run.size.regions - 1;
    fleet.partition_region(Some(region));
    fleet.run_for(run.window);
    let during = fleet.take_stats().all();
    figures.add(
        "cut.msgs/s",
        during.messages as f64 / run.window.as_secs_f64(),
    );
    figures.add(
        "cut.bytes/s",
        during.bytes as f64 / run.window.as_secs_f64(),
    );
    figures.add("cut.serving", fleet.serving() as f64);
    figures.add("cut.in-force", fleet.in_force(1) as f64);
    figures.add(
        "cut.names",
        fleet
            .views()
            .map(|node| node.view.reservations.len())
            .min()
            .unwrap_or(0) as f64,
    );
    fleet.partition_region(None);
    let healed = fleet.run_until(NOTICE_TIMEOUT, |fleet| fleet.serving() == run.size.nodes);
    figures.add("healed.s", seconds(healed));
    figures.add("window.s", seconds(healed).max(0.1));
}

fn memory(fleet: &mut Fleet, run: &Run, figures: &mut Figures) {
    const MORE: usize = 12;
    let before = resident_bytes();
    fleet.grow(MORE);
    let all = run.size.nodes + MORE;
    let served = fleet.run_until(READY_TIMEOUT, |fleet| fleet.serving() == all);
    figures.add("more-serve.s", seconds(served));
    figures.add(
        "one-more-carrier.mb",
        resident_bytes().saturating_sub(before) as f64 / 1e6 / MORE as f64,
    );
    fleet.run_for(run.window);
    figures.add(
        "window.s",
        (served.unwrap_or(READY_TIMEOUT) + run.window).as_secs_f64(),
    );
}

/// The bytes of memory that this process has in use, as the kernel counts it.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
