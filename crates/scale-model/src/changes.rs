//! What thousands of changes cost: the real register and storage of a few control nodes in virtual time, one of them on
//! a real disk, and a node that comes back over a slow link.

use crate::Size;
use protocol::{Envelope, Message, Payload};
use quorum_register::{Change, ChangeId, Effect, Event, Register, RegisterConfig, RegisterTiming};
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use storage::{Contents, Storage};

const TICK: Duration = Duration::from_millis(20);
/// How long a sync takes, and the way between two nodes.
const SYNC: Duration = Duration::from_millis(5);
const WAY: Duration = Duration::from_millis(30);
/// Messages that wait for a link, as in the transport; more are dropped.
const MAX_ON_LINK: usize = 512;

/// So many changes a node follows that comes back over a slow link.
const FOLLOWED_CHANGES: usize = 250;

/// What is to be measured.
#[derive(Clone, Debug)]
pub struct Trial {
    pub nodes: usize,
    pub routes: usize,
    pub changes: usize,
    /// Between two changes, in virtual time.
    pub gap: Duration,
    /// Where the first node keeps its data; removed when the site ends. Without it all disks are simulated.
    pub folder: Option<PathBuf>,
}

/// What a node and its disk look like after so many changes.
#[derive(Clone, Debug, Default)]
pub struct Checkpoint {
    pub changes: usize,
    pub folder_bytes: u64,
    pub files: usize,
    /// From the start of a process until it has its data.
    pub open_took: Duration,
    /// Memory of this whole process.
    pub resident_bytes: u64,
    /// The state as it is stored, and everything that was handed to the system to write, per change.
    pub state_bytes: usize,
    pub written_per_change: u64,
}

/// Counts and bytes of what was sent, by kind.
pub type TrafficByKind = BTreeMap<&'static str, (u64, u64)>;

/// How a node came back.
#[derive(Clone, Debug)]
pub struct CatchUp {
    /// Until it had what was in force when it came back, confirmed by a majority, on its disk.
    pub took: Option<Duration>,
    /// What it was sent until then.
    pub received: TrafficByKind,
}

/// How a node followed a storm of changes, looked at after each of them.
#[derive(Clone, Debug)]
pub struct Following {
    /// How long ago a majority confirmed its state to it; none before the first time.
    pub ages: Vec<Option<Duration>>,
    /// How many revisions it was behind the first node.
    pub revisions_behind: Vec<u64>,
    /// Between two looks.
    pub gap: Duration,
    /// What it was sent.
    pub received: TrafficByKind,
}

impl Following {
    /// How long it took until the node was never again further behind than this; none where it still was at the end.
    pub fn caught_up_after(
        &self,
        max_age: Duration,
        max_revisions_behind: u64,
    ) -> Option<Duration> {
        let looks = self.ages.iter().zip(&self.revisions_behind);
        let is_late = |(age, behind): (&Option<Duration>, &u64)| {
            age.is_none_or(|age| age > max_age) || *behind > max_revisions_behind
        };
        let looks_before = looks
            .map(is_late)
            .rposition(|late| late)
            .map_or(0, |at| at + 1);
        (looks_before < self.ages.len()).then(|| self.gap * looks_before as u32)
    }
}

enum Disk {
    Memory(Box<Contents>),
    Real(Box<Storage>),
}

enum Write {
    State(u64, protocol::DurableState),
    Configuration(u64, String, Vec<u8>),
    Drop(String),
}

struct Node {
    name: String,
    register: Register,
    disk: Disk,
    writes: VecDeque<Write>,
    up: bool,
    incarnation: u64,
    /// Bits a second that reach it; none: any number.
    bits: Option<u64>,
    link_free_at: Duration,
    on_link: usize,
    received: TrafficByKind,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Tick,
    Disk,
    Message(usize),
}

/// When, in which order, to which life of which node.
type Item = std::cmp::Reverse<(Duration, u64, usize, u64, ScheduledEvent)>;

/// A few control nodes.
pub struct Site {
    trial: Trial,
    now: Duration,
    nodes: Vec<Node>,
    queue: BinaryHeap<Item>,
    messages: BTreeMap<usize, (String, Payload)>,
    number: u64,
    pub sent: TrafficByKind,
    requested: usize,
    pub accepted: usize,
}

impl Drop for Site {
    fn drop(&mut self) {
        remove(&self.trial.folder);
    }
}

fn remove(folder: &Option<PathBuf>) {
    folder
        .iter()
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

fn register(name: &str, trial: &Trial, seed: u64, contents: &Contents) -> Register {
    Register::new(RegisterConfig {
        node: name.to_owned(),
        initial_voter_count: trial.nodes,
        seed,
        durable: contents.durable.clone(),
        configurations: contents.configurations.clone(),
        timing: RegisterTiming::default(),
    })
}

impl Site {
    /// A founded site.
    pub fn new(trial: Trial) -> Site {
        remove(&trial.folder);
        let names: Vec<String> = (0..trial.nodes).map(|at| format!("pm-{at}")).collect();
        let nodes = names.iter().enumerate().map(|(at, name)| Node {
            name: name.clone(),
            register: register(name, &trial, at as u64 + 1, &Contents::default()),
            disk: match &trial.folder {
                Some(folder) if at == 0 => {
                    Disk::Real(Box::new(Storage::open(folder).expect("a data folder").0))
                }
                _ => Disk::Memory(Box::default()),
            },
            writes: VecDeque::new(),
            up: true,
            incarnation: 0,
            bits: None,
            link_free_at: Duration::ZERO,
            on_link: 0,
            received: TrafficByKind::new(),
        });
        let nodes: Vec<Node> = nodes.collect();
        let mut site = Site {
            trial,
            now: Duration::ZERO,
            nodes,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            number: 0,
            sent: TrafficByKind::new(),
            requested: 0,
            accepted: 0,
        };
        (0..site.nodes.len()).for_each(|at| site.at(site.now, at, ScheduledEvent::Tick));
        site.run_until(Duration::from_secs(8));
        site
    }

    fn at(&mut self, at: Duration, node: usize, what: ScheduledEvent) {
        self.number += 1;
        self.queue.push(std::cmp::Reverse((
            at,
            self.number,
            node,
            self.nodes[node].incarnation,
            what,
        )));
    }

    fn run_until(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|item| item.0.0 <= until) {
            let Some(std::cmp::Reverse((at, _, node, incarnation, what))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            let alive = self.nodes[node].incarnation == incarnation && self.nodes[node].up;
            match what {
                ScheduledEvent::Message(id) => self.deliver(node, id, alive),
                _ if !alive => {}
                ScheduledEvent::Tick => {
                    self.at(at + TICK, node, ScheduledEvent::Tick);
                    let peers = self
                        .nodes
                        .iter()
                        .filter(|node| node.up)
                        .map(|node| node.name.clone())
                        .collect();
                    self.step(node, Event::Peers(peers));
                    self.step(node, Event::Tick);
                }
                ScheduledEvent::Disk => self.write_one(node),
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, node: usize, id: usize, alive: bool) {
        let Some((from, body)) = self.messages.remove(&id) else {
            return;
        };
        let receiver = &mut self.nodes[node];
        receiver.on_link = receiver.on_link.saturating_sub(1);
        if alive {
            let envelope = Envelope {
                from: from.clone(),
                body: Some(body.clone()),
            };
            let counted = receiver.received.entry(protocol::kind(&body)).or_default();
            *counted = (counted.0 + 1, counted.1 + envelope.encoded_len() as u64);
            self.step(node, Event::Received { from, body });
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let effects = self.nodes[at].register.step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send { to, body } => self.send(at, &to, body),
                Effect::Persist { write_id, durable } => {
                    self.write(at, Write::State(write_id, durable))
                }
                Effect::StoreConfiguration {
                    write_id,
                    digest,
                    bytes,
                } => self.write(at, Write::Configuration(write_id, digest, bytes)),
                Effect::DeleteConfiguration { digest } => self.write(at, Write::Drop(digest)),
                Effect::Decided { decision, .. } => {
                    self.accepted += usize::from(decision.code == result_code::ResultCode::Success);
                }
                Effect::StateChanged | Effect::LeaseEpochPersisted { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, body: Payload) {
        let Some(to) = self.nodes.iter().position(|node| node.name == to) else {
            return;
        };
        let envelope = Envelope {
            from: self.nodes[from].name.clone(),
            body: Some(body.clone()),
        };
        let bytes = envelope.encoded_len() as u64;
        let counted = self.sent.entry(protocol::kind(&body)).or_default();
        *counted = (counted.0 + 1, counted.1 + bytes);
        let node = &mut self.nodes[to];
        if !node.up || node.on_link >= MAX_ON_LINK {
            return;
        }
        let takes = node
            .bits
            .map(|bits| Duration::from_secs_f64(bytes as f64 * 8.0 / bits as f64));
        node.link_free_at = node.link_free_at.max(self.now) + takes.unwrap_or_default();
        node.on_link += 1;
        let (at, id) = (node.link_free_at + WAY, self.number as usize);
        self.messages
            .insert(id, (self.nodes[from].name.clone(), body));
        self.at(at, to, ScheduledEvent::Message(id));
    }

    fn write(&mut self, at: usize, write: Write) {
        self.nodes[at].writes.push_back(write);
        if self.nodes[at].writes.len() == 1 {
            self.at(self.now + SYNC, at, ScheduledEvent::Disk);
        }
    }

    fn write_one(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(write) = node.writes.pop_front() else {
            return;
        };
        let write_id = node.disk.apply(write);
        if !node.writes.is_empty() {
            self.at(self.now + SYNC, at, ScheduledEvent::Disk);
        }
        write_id
            .into_iter()
            .for_each(|write_id| self.step(at, Event::WriteCompleted { write_id }));
    }

    fn bytes_of_change(&self) -> Vec<u8> {
        let size = Size {
            routes: self.trial.routes,
            services: 40,
            ..crate::CURRENT_SIZE
        };
        // Each change is another one, of the same size.
        size.configuration(0)
            .replace("\"r0\"", &format!("\"r0-{:06}\"", self.requested))
            .into_bytes()
    }

    /// So many changes, all handed to one node: what a race of two costs is another question.
    pub fn change(&mut self, count: usize) {
        for _ in 0..count {
            self.requested += 1;
            let bytes = self.bytes_of_change();
            let digest = protocol::digest(&bytes);
            let up: Vec<usize> = (0..self.nodes.len())
                .filter(|at| self.nodes[*at].up)
                .collect();
            let node = up[1 % up.len()];
            let since = Some(self.nodes[node].register.state().decided);
            let id = ChangeId {
                id: format!("change-{:012}", self.requested),
                since,
            };
            let change = Change::Configuration {
                id,
                base_revision: None,
                version: None,
                digest,
            };
            self.step(
                node,
                Event::Submit {
                    request_id: self.requested as u64,
                    change,
                    bytes: Some(bytes),
                },
            );
            self.run_until(self.now + self.trial.gap);
        }
    }

    /// Lets everything settle.
    pub fn run_until_idle(&mut self) {
        self.run_until(self.now + Duration::from_secs(6));
    }

    /// Ends the first node's process and starts it on what its real disk holds.
    pub fn restart_first(&mut self) -> Checkpoint {
        let folder = self.trial.folder.clone().expect("a real disk");
        self.nodes[0].disk = Disk::Memory(Box::default());
        let begun_at = Instant::now();
        let (storage, contents) = Storage::open(&folder).expect("the data folder opens");
        let open_took = begun_at.elapsed();
        assert!(contents.damaged.is_empty(), "{:?}", contents.damaged);
        let state_bytes = protocol::pack(&contents.durable).len();
        let (folder_bytes, files) = folder_size(&folder);
        let seed = self.number;
        let (trial, node) = (&self.trial, &mut self.nodes[0]);
        node.register = register(&node.name, trial, seed, &contents);
        node.disk = Disk::Real(Box::new(storage));
        node.writes.clear();
        node.incarnation += 1;
        self.at(self.now, 0, ScheduledEvent::Tick);
        Checkpoint {
            changes: self.requested,
            folder_bytes,
            files,
            open_took,
            resident_bytes: resident_bytes(),
            state_bytes,
            written_per_change: 0,
        }
    }

    /// Takes the last node away.
    pub fn stop_last(&mut self) {
        let last = self.nodes.len() - 1;
        let node = &mut self.nodes[last];
        node.up = false;
        node.incarnation += 1;
        node.writes.clear();
    }

    /// The last node comes back, with its disk or a blank one, behind a link of so many bits a second. With a storm, the
    /// changes go on meanwhile.
    pub fn restart_last(&mut self, blank: bool, bits: u64, submit_in_parts: bool) -> CatchUp {
        let (last, begun_at) = (self.nodes.len() - 1, self.now);
        let wanted = self.nodes[0].register.state().revision;
        self.start_last(blank, bits);
        let mut took = None;
        while took.is_none() && self.now < begun_at + Duration::from_secs(60) {
            if submit_in_parts {
                self.change(1);
            } else {
                self.run_until(self.now + TICK);
            }
            let node = &self.nodes[last];
            let there = node.register.state().revision >= wanted
                && node.register.is_confirmed_since(begun_at)
                && !node.register.is_missing_accepted_configuration()
                && node.register.configuration().is_some();
            took = there.then(|| self.now - begun_at);
        }
        self.nodes[last].bits = None;
        CatchUp {
            took,
            received: self.nodes[last].received.clone(),
        }
    }

    /// The last node comes back behind a link of so many bits a second, and so many changes are made: how long ago a
    /// majority confirmed its state to it after each of them, and none where nothing is confirmed to it, or where it
    /// lacks the bytes.
    pub fn follow_with_last(&mut self, blank: bool, bits: u64, changes: usize) -> Following {
        let last = self.nodes.len() - 1;
        self.start_last(blank, bits);
        let ages = (0..changes).map(|_| {
            self.change(1);
            let register = &self.nodes[last].register;
            let age = register
                .confirmation_age(self.now)
                .filter(|_| register.configuration().is_some());
            (
                age,
                self.nodes[0]
                    .register
                    .state()
                    .revision
                    .saturating_sub(register.state().revision),
            )
        });
        let (ages, revisions_behind) = ages.unzip();
        self.nodes[last].bits = None;
        let gap = self.trial.gap;
        Following {
            ages,
            revisions_behind,
            gap,
            received: self.nodes[last].received.clone(),
        }
    }

    fn start_last(&mut self, blank: bool, bits: u64) {
        let (last, begun_at, seed) = (self.nodes.len() - 1, self.now, self.number);
        let (trial, node) = (&self.trial, &mut self.nodes[last]);
        let contents = match &mut node.disk {
            Disk::Memory(contents) => contents,
            Disk::Real(_) => unreachable!("only the first node has a real disk"),
        };
        if blank {
            **contents = Contents::default();
        }
        node.register = register(&node.name, trial, seed, contents);
        node.up = true;
        node.bits = Some(bits);
        (node.link_free_at, node.on_link, node.received) = (begun_at, 0, TrafficByKind::new());
        self.at(begun_at, last, ScheduledEvent::Tick);
    }
}

impl Disk {
    fn apply(&mut self, write: Write) -> Option<u64> {
        match (self, write) {
            (Disk::Memory(contents), Write::State(write_id, durable)) => {
                contents.durable = durable;
                Some(write_id)
            }
            (Disk::Memory(contents), Write::Configuration(write_id, digest, bytes)) => {
                contents.configurations.insert(digest, bytes);
                Some(write_id)
            }
            (Disk::Memory(contents), Write::Drop(digest)) => {
                contents.configurations.remove(&digest);
                None
            }
            (Disk::Real(storage), Write::State(write_id, durable)) => {
                storage.persist_state(&durable).expect("the disk works");
                Some(write_id)
            }
            (Disk::Real(storage), Write::Configuration(write_id, digest, bytes)) => {
                storage
                    .store_configuration(&digest, &bytes)
                    .expect("the disk works");
                Some(write_id)
            }
            (Disk::Real(storage), Write::Drop(digest)) => {
                storage
                    .delete_configuration(&digest)
                    .expect("the disk works");
                None
            }
        }
    }
}

fn folder_size(folder: &Path) -> (u64, usize) {
    let entries = std::fs::read_dir(folder)
        .into_iter()
        .flatten()
        .filter_map(Result::ok);
    let sizes = entries.filter_map(|entry| match entry.metadata().ok()? {
        about if about.is_dir() => Some(folder_size(&entry.path())),
        about => Some((about.len(), 1)),
    });
    sizes.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
}

/// A number from a file of the system's about this process.
fn about_this_process(file: &str, name: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/self/{file}")).unwrap_or_default();
    let line = text.lines().find_map(|line| {
        line.strip_prefix(name)?
            .split_whitespace()
            .next()?
            .parse()
            .ok()
    });
    line.unwrap_or(0)
}

fn resident_bytes() -> u64 {
    about_this_process("status", "VmRSS:") * 1024
}

/// The checkpoints of a storm of changes, after each of so many parts; the first node is started anew at each.
pub fn submit_in_parts(site: &mut Site, parts: usize) -> Vec<Checkpoint> {
    let each = site.trial.changes / parts;
    let checkpoints = (0..parts).map(|_| {
        let written = about_this_process("io", "wchar:");
        site.change(each);
        site.run_until_idle();
        let written = about_this_process("io", "wchar:") - written;
        Checkpoint {
            written_per_change: written / each as u64,
            ..site.restart_first()
        }
    });
    checkpoints.collect()
}

fn show_sent(sent: &TrafficByKind) -> String {
    let kinds = sent
        .iter()
        .map(|(kind, (count, bytes))| format!("{kind} {count} of {bytes} B"));
    kinds.collect::<Vec<_>>().join(", ")
}

/// Measures and prints it all.
pub fn measure(trial: Trial) {
    let (changes, routes, nodes) = (trial.changes, trial.routes, trial.nodes);
    let mut site = Site::new(trial);
    let bytes = site.bytes_of_change();
    println!(
        "{nodes} control nodes, {routes} routes: {} B a setup, {} B squeezed",
        bytes.len(),
        protocol::compress(&bytes).len()
    );
    for checkpoint in submit_in_parts(&mut site, 10) {
        println!("{checkpoint:?}");
    }
    println!(
        "{} of {changes} changes accepted; sent per change:",
        site.accepted
    );
    let per_change = site
        .sent
        .iter()
        .map(|(kind, (count, bytes))| (*kind, (count / changes as u64, bytes / changes as u64)));
    println!("  {}", show_sent(&per_change.collect()));
    for (blank, bits, submit_in_parts) in [
        (false, 2_000_000, false),
        (true, 2_000_000, false),
        (false, 2_000_000, true),
        (true, 2_000_000, true),
        (true, 20_000_000, true),
    ] {
        site.stop_last();
        site.change(40);
        site.run_until_idle();
        let back = site.restart_last(blank, bits, submit_in_parts);
        site.run_until_idle();
        println!(
            "back with {} disk over {bits} bit/s{}: {:?}; received {}",
            if blank { "a blank" } else { "its" },
            if submit_in_parts {
                ", changes going on"
            } else {
                ""
            },
            back.took,
            show_sent(&back.received)
        );
    }
    for (blank, bits) in [
        (false, 2_000_000),
        (true, 2_000_000),
        (true, 1_000_000),
        (true, 500_000),
    ] {
        site.stop_last();
        site.change(40);
        site.run_until_idle();
        let followed = site.follow_with_last(blank, bits, FOLLOWED_CHANGES);
        site.run_until_idle();
        let second_half = FOLLOWED_CHANGES / 2;
        println!(
            "follows {FOLLOWED_CHANGES} changes with {} disk over {bits} bit/s: no older than 1 s and 8 editions after {:?}; \
             in the second half confirmed {:?} ago at the most, {:?} editions behind; received {}",
            if blank { "a blank" } else { "its" },
            followed.caught_up_after(Duration::from_secs(1), 8),
            followed.ages[second_half..].iter().max(),
            followed.revisions_behind[second_half..].iter().max(),
            show_sent(&followed.received)
        );
    }
}
