//! One seed of a soak, from an empty folder to the verdict.

use super::held_connections::HeldConnections;
use super::judgement::{self, Finding};
use super::operators::Operators;
use super::processes::Processes;
use super::schedule::{self, Cut, Population, Step, TimedStep};
use super::upstreams::SoakUpstreams;
use crate::fleet::Fleet;
use crate::link_proxies::{LinkProxies, Partition};
use crate::runs::{read_everywhere, start_upstreams};
use crate::stand_in_clients::StandInClients;
use bytes::Bytes;
use config::JsonValue;
use invariants::observations::{Observation, ObservationLog};
use invariants::rules;
use random::Random;
use simulator::shapes::{COUNTERS, KALAM, LEDGER, ROADWISE, Shape};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::MissedTickBehavior;
use transport::{Clock, HttpClient};

/// How often processes are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Every process is ready within this after trouble ended.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Every service is served from this on after trouble ended, at the latest.
const RECOVERY: Duration = Duration::from_secs(15);
/// An operation of a stand-in client has ended after so long.
const LONGEST_OPERATION: Duration = Duration::from_secs(4);
/// What is served is looked at for so long.
const CALM: Duration = Duration::from_secs(5);
/// What was acknowledged is read back again and again for so long.
const CONTACT: Duration = Duration::from_secs(5);
/// Requests a second where nothing else is said; the machine is shared.
const DEFAULT_RATE: u64 = 60;
/// How many proxies are asked about a service that is not served.
const EXPLAINING: usize = 3;
/// Zones of every shape.
const ZONES: usize = 6;
const ABORT_POLL: Duration = Duration::from_millis(200);

/// What to soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The site; by seed in turn where none is named.
    pub shape: Option<Shape>,
    /// The seeds.
    pub seeds: RangeInclusive<u64>,
    /// How long trouble lasts.
    pub trouble: Duration,
    /// How many processes, at least those of the shape.
    pub processes: Option<usize>,
    /// Requests a second.
    pub rate: Option<u64>,
    /// Where data and logs are left; a failed seed leaves them in any case.
    pub keep: Option<PathBuf>,
}

/// What one seed came to.
#[derive(Clone, Debug, Default)]
pub struct SeedReport {
    /// What must not be.
    pub findings: Vec<Finding>,
    /// Rules with a time limit that were broken, by number: on a machine that others share they are only counted.
    pub timed: BTreeMap<u32, usize>,
    /// Processes of the site.
    pub processes: usize,
    /// Steps that were drawn.
    pub steps: usize,
    /// Processes that ended by a signal of the soak.
    pub ends: u64,
    /// Changes that were acknowledged.
    pub changes: u64,
    /// Operations that ended, and those that were served.
    pub operations: (usize, usize),
    /// Requests answered on a connection that carried one before.
    pub reused: u64,
}

/// Plays all seeds, one after the other; true where nothing was found.
pub async fn run(options: SoakOptions) -> bool {
    let mut failed = Vec::new();
    for seed in options.seeds.clone() {
        let shape = shape_of(&options, seed);
        let folder = folder_of(&options, seed);
        let session = play_seed(&options, shape.clone(), seed, folder.clone());
        let report = tokio::select! {
            report = session => report,
            () = aborted() => {
                eprintln!("test-harness: told to stop during seed {seed}");
                return false;
            }
        };
        match report {
            Ok(report) => {
                print_report(seed, &shape, &report);
                if !report.findings.is_empty() {
                    failed.push(seed);
                    print_how_to_repeat(&options, &shape, seed, &folder);
                } else if options.keep.is_none() {
                    let _ = std::fs::remove_dir_all(&folder);
                }
            }
            Err(error) => {
                println!("seed {seed}: could not be played: {error}");
                failed.push(seed);
            }
        }
    }
    println!(
        "{} seeds, {} with findings{}",
        options.seeds.clone().count(),
        failed.len(),
        if failed.is_empty() {
            String::new()
        } else {
            format!(": {failed:?}")
        }
    );
    failed.is_empty()
}

/// Waits until this program is told to stop; its processes end with it.
async fn aborted() {
    transport::stop_signal().await;
    tokio::time::sleep(ABORT_POLL).await;
}

fn shape_of(options: &SoakOptions, seed: u64) -> Shape {
    let mut shape = match &options.shape {
        Some(shape) => shape.clone(),
        None => {
            let shapes = [ROADWISE, KALAM, COUNTERS, LEDGER];
            shapes[seed as usize % shapes.len()].clone()
        }
    };
    if let Some(processes) = options.processes {
        shape.machines = shape.machines.max(processes.saturating_sub(shape.disks));
    }
    shape
}

fn folder_of(options: &SoakOptions, seed: u64) -> PathBuf {
    let parent = options.keep.clone().unwrap_or_else(std::env::temp_dir);
    parent.join(format!("soak-{}-{seed}", std::process::id()))
}

fn print_report(seed: u64, shape: &Shape, report: &SeedReport) {
    let (all, served) = report.operations;
    println!(
        "seed {seed}: {} {} processes, {} steps, {} ends, {} changes, {served} of {all} operations served, {} requests on used connections, timed rules {:?}, {} findings",
        shape.name,
        report.processes,
        report.steps,
        report.ends,
        report.changes,
        report.reused,
        report.timed,
        report.findings.len()
    );
    for finding in &report.findings {
        println!("  {finding}");
    }
}

fn print_how_to_repeat(options: &SoakOptions, shape: &Shape, seed: u64, folder: &std::path::Path) {
    println!(
        "  again: test-harness soak --shape {} --seeds {seed}..{seed} --seconds {}{}; logs in {}",
        shape.name,
        options.trouble.as_secs(),
        options
            .processes
            .map(|processes| format!(" --processes {processes}"))
            .unwrap_or_default(),
        folder.display()
    );
}

/// One seed under way.
struct Session {
    clock: Clock,
    shape: Shape,
    record: ObservationLog,
    processes: Processes,
    upstreams: SoakUpstreams,
    operators: Arc<Operators>,
    clients: Arc<StandInClients>,
    held: Arc<HeldConnections>,
    links: Arc<LinkProxies>,
    /// The partitions there are, each with its end.
    partitions: Vec<(Partition, Duration)>,
    random: Random,
    next_sample: Duration,
}

/// Plays one seed.
async fn play_seed(
    options: &SoakOptions,
    shape: Shape,
    seed: u64,
    folder: PathBuf,
) -> Result<SeedReport, String> {
    let mut session = Session::start(shape, seed, folder).await?;
    let steps = session.draw(seed, options.trouble);
    let operating = tokio::spawn(session.operators.clone().run(seed));
    let reading = session.read_back_all_along();
    let (clients, rate) = (
        session.clients.clone(),
        options.rate.unwrap_or(DEFAULT_RATE),
    );
    let longest = options.trouble + 4 * READY_TIMEOUT;
    let loading = tokio::spawn(async move { clients.load(rate, longest).await });
    session.play(&steps, options.trouble).await;
    session.processes.end_trouble();
    session.heal_links(Duration::MAX);
    session.check_recovery().await;
    session.operators.stop();
    let _ = tokio::time::timeout(READY_TIMEOUT, operating).await;
    session.close().await;
    loading.abort();
    reading.abort();
    session.held.stop();
    Ok(session.report(steps.len()))
}

impl Session {
    /// Lays the site out and starts its processes, its upstreams and its callers, all at once.
    async fn start(shape: Shape, seed: u64, folder: PathBuf) -> Result<Session, String> {
        let clock = Clock::default();
        let record = ObservationLog::default();
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let programs = program.parent().map(PathBuf::from).unwrap_or_default();
        let (fleet, links) = Fleet::create(&shape, &programs, &folder)
            .await
            .map_err(|e| e.to_string())?;
        let nodes = Arc::new(fleet.nodes());
        let proxies: Vec<String> = fleet
            .data_nodes
            .iter()
            .map(|process| process.http.clone())
            .collect();
        let mut processes = Processes::new(fleet, clock, seed);
        processes
            .start_all(clock.now())
            .map_err(|e| e.to_string())?;
        let stand_ins = start_upstreams(&shape, &nodes, clock, &record).await?;
        let clients = StandInClients::new(shape.clone(), proxies.clone(), clock, record.clone());
        let held = HeldConnections::new(clients.clone());
        held.start(&proxies, seed);
        Ok(Session {
            clock,
            upstreams: SoakUpstreams::new(stand_ins, nodes.clone(), clock, record.clone()),
            operators: Operators::new(shape.clone(), nodes, clock, record.clone()),
            shape,
            record,
            processes,
            clients,
            held,
            links,
            partitions: Vec::new(),
            random: Random::new(seed),
            next_sample: Duration::ZERO,
        })
    }

    fn draw(&self, seed: u64, trouble: Duration) -> Vec<TimedStep> {
        let population = Population {
            control_nodes: self.processes.fleet.control_nodes.len(),
            data_nodes: self.processes.fleet.data_nodes.len(),
            upstreams: self.shape.profiles().map(|(_, count)| count).sum(),
            zones: ZONES,
        };
        schedule::draw(seed, &population, trouble)
    }

    /// Every node's configuration is read all the while; the rules judge what comes.
    fn read_back_all_along(&self) -> tokio::task::JoinHandle<()> {
        let nodes = Arc::new(self.processes.fleet.nodes());
        tokio::spawn(read_everywhere(nodes, self.record.clone(), self.clock))
    }

    /// Plays the steps in their time.
    async fn play(&mut self, steps: &[TimedStep], trouble: Duration) {
        let mut left = steps.iter().peekable();
        let mut tick = tokio::time::interval(WATCH_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.clock.now() < trouble {
            tick.tick().await;
            while let Some(due) = left.next_if(|step| self.clock.now() >= step.at) {
                self.carry_out(&due.step).await;
            }
            self.watch().await;
        }
    }

    async fn carry_out(&mut self, step: &Step) {
        let now = self.clock.now();
        self.record.note(
            now,
            Observation::Fault {
                what: format!("{step:?}"),
            },
        );
        match step {
            Step::Upstreams(chosen, kind) => self.upstreams.carry_out(chosen, *kind).await,
            Step::Evacuate(zone, pause) => {
                let locality = self.shape.locality(*zone);
                let seed = self.random.next_u64();
                tokio::spawn(self.operators.clone().evacuate(locality, *pause, seed));
            }
            Step::Cut(cut, pause) => {
                self.partitions
                    .push((self.partition_of(*cut), now + *pause));
                self.apply_partitions();
            }
            _ => self.processes.carry_out(now, step),
        }
    }

    fn partition_of(&self, cut: Cut) -> Partition {
        match cut {
            Cut::ControlHalves => Partition::Halves(self.shape.disks),
            Cut::Zone(zone) => Partition::Place(self.shape.locality(zone)),
            Cut::ControlMachine(machine) => Partition::Machine(machine),
        }
    }

    fn apply_partitions(&self) {
        let partitions = self.partitions.iter();
        let partitions = partitions.map(|(partition, _)| partition.clone());
        self.links.partition(partitions.collect());
    }

    /// Ends the partitions whose time is over.
    fn heal_links(&mut self, now: Duration) {
        let count_before = self.partitions.len();
        self.partitions.retain(|(_, until)| now < *until);
        if self.partitions.len() < count_before {
            self.apply_partitions();
        }
    }

    async fn watch(&mut self) {
        let now = self.clock.now();
        self.processes.watch(now);
        self.heal_links(now);
        self.upstreams.watch().await;
        if now >= self.next_sample {
            self.next_sample = now + SAMPLE_INTERVAL;
            self.processes.sample(self.operators.acknowledged_count());
        }
    }

    /// Looks on for a while.
    async fn watch_for(&mut self, span: Duration) {
        let until = self.clock.now() + span;
        let mut tick = tokio::time::interval(WATCH_INTERVAL);
        while self.clock.now() < until {
            tick.tick().await;
            self.watch().await;
        }
    }

    /// After the end of trouble: every process runs and is ready, and every service is served.
    async fn check_recovery(&mut self) {
        let ended_at = self.clock.now();
        while !self.processes.all_run() && self.clock.now() < ended_at + READY_TIMEOUT {
            self.watch_for(WATCH_INTERVAL).await;
        }
        let left = (ended_at + READY_TIMEOUT).saturating_sub(self.clock.now());
        self.check_ready(left).await;
        self.check_services(ended_at).await;
    }

    async fn check_ready(&mut self, within: Duration) {
        let until = self.clock.now() + within;
        let nodes = self.processes.fleet.nodes();
        let mut ready: BTreeSet<&str> = BTreeSet::new();
        for node in &nodes {
            let left = until.saturating_sub(self.clock.now());
            if Fleet::ready(std::slice::from_ref(node), left).await {
                ready.insert(node);
            }
            self.watch().await;
        }
        let unready = judgement::unready_nodes(&nodes, |node| ready.contains(node));
        self.processes.findings.extend(unready);
    }

    /// Every service is served among what starts within a calm span, no later than [`RECOVERY`] after trouble ended.
    async fn check_services(&mut self, ended_at: Duration) {
        let services: Vec<&str> = self
            .shape
            .services
            .iter()
            .map(|work| work.service)
            .collect();
        loop {
            // What started last has its time to end.
            let until = self.clock.now().saturating_sub(LONGEST_OPERATION);
            let from = until.saturating_sub(CALM);
            if from >= ended_at {
                let finished = self.clients.finished();
                let findings = judgement::unserved_services(&finished, &services, from, until);
                if findings.is_empty() {
                    return;
                }
                if from >= ended_at + RECOVERY {
                    let explained = self.explain(findings).await;
                    return self.processes.findings.extend(explained);
                }
            }
            self.watch_for(SAMPLE_INTERVAL).await;
        }
    }

    /// Asks some proxies what would become of a request to each service that is not served.
    async fn explain(&self, mut findings: Vec<Finding>) -> Vec<Finding> {
        for finding in &mut findings {
            if let Finding::NotServed {
                service,
                explanation,
                ..
            } = finding
            {
                let name = format!("{service}.{}.example", self.shape.name);
                for proxy in self.processes.fleet.data_nodes.iter().take(EXPLAINING) {
                    explanation.push(format!("{}:", proxy.node));
                    explanation.extend(self.explain_at(&proxy.http, &name, service).await);
                }
            }
        }
        findings
    }

    async fn explain_at(&self, proxy: &str, name: &str, service: &str) -> Vec<String> {
        let path = format!("/trace?name={name}&path=%2F{service}&key=key-1");
        let client = HttpClient::default();
        let timeout = Duration::from_secs(2);
        let called = client.call(proxy, "GET", &path, &[], Bytes::new(), timeout, false);
        let reply = called.await.ok();
        let json =
            reply.and_then(|reply| JsonValue::parse(&String::from_utf8_lossy(&reply.body)).ok());
        let notes = json.map(|json| json.list("notes").to_vec());
        notes
            .unwrap_or_default()
            .iter()
            .map(JsonValue::to_string)
            .collect()
    }

    /// The end: everything is killed right after a change was acknowledged. What was acknowledged is read back at every
    /// node, again and again, and every service is served.
    async fn close(&mut self) {
        let operators = self.operators.clone();
        let mut random = Random::new(self.random.next_u64());
        operators.change(&mut random).await;
        self.processes.kill_all(self.clock.now());
        let acknowledged = self.operators.acknowledged();
        self.check_recovery().await;
        let until = self.clock.now() + CONTACT;
        while self.clock.now() < until {
            let read = self.operators.read_everywhere().await;
            self.watch().await;
            self.processes
                .findings
                .extend(judgement::old_read_backs(&acknowledged, &read));
        }
        // Each node answers at the end.
        let read = self.operators.read_everywhere().await;
        let has_answered = |node: &str| read.iter().any(|read| read.node == node);
        let unready = judgement::unready_nodes(&self.processes.fleet.nodes(), has_answered);
        self.processes.findings.extend(unready);
    }

    fn report(mut self, steps: usize) -> SeedReport {
        let finished = self.clients.finished();
        let mut findings = std::mem::take(&mut self.processes.findings);
        findings.extend(self.operators.take_findings());
        findings.extend(judgement::lost_connections(
            &self.held.take_lost(),
            &self.processes.interruptions,
        ));
        findings.extend(judgement::one_sided_outages(&finished));
        findings.extend(judgement::leaks(&self.processes.samples));
        let mut timed: BTreeMap<u32, usize> = BTreeMap::new();
        for violation in rules::check_all(&self.record.all(), &self.shape.rule_parameters()) {
            if rules::TIMED.contains(&violation.rule) {
                *timed.entry(violation.rule).or_default() += 1;
            } else {
                findings.push(Finding::Rule {
                    violation: format!("{violation:?}"),
                });
            }
        }
        let served = finished
            .iter()
            .filter(|operation| operation.code == result_code::ResultCode::Success.number())
            .count();
        self.upstreams.end();
        SeedReport {
            findings,
            timed,
            processes: self.processes.fleet.nodes().len(),
            steps,
            ends: self.processes.ends,
            changes: self.operators.acknowledged_count(),
            operations: (finished.len(), served),
            reused: self.held.reused.load(Ordering::Relaxed),
        }
    }
}
