//! The disk's thread over a disk that is full, fails or stalls, and what the register may count on.

#[path = "../../storage/tests/simulated/mod.rs"]
mod simulated;

use control_plane::persistence::{RetryBackoff, StorageReport, StorageThread, Write, merge_writes};
use protocol::DurableState;
use quorum_register::{
    Change, Effect, Event, Register, RegisterConfig, RegisterTiming, VoterPhase,
};
use random::Random;
use simulated::{Loss, Omits, SimulatedDisk};
use std::collections::{BTreeSet, VecDeque};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::time::Duration;
use storage::{Contents, Storage};
use transport::Clock;

const FOLDER: &str = "/data";
const SOON: Duration = Duration::from_secs(20);
const PAUSES: RetryBackoff = RetryBackoff {
    first: Duration::from_millis(1),
    max: Duration::from_millis(4),
};

fn state(number: u64) -> DurableState {
    DurableState {
        disk: 1,
        lease_epoch: number,
        ..Default::default()
    }
}

fn write(number: u64) -> Write {
    Write::State {
        write_id: number,
        durable: state(number),
    }
}

fn configuration(number: u64) -> (String, Vec<u8>) {
    let bytes = format!("setup {number}").into_bytes();
    (protocol::digest(&bytes), bytes)
}

fn start(files: &SimulatedDisk) -> (StorageThread, Receiver<StorageReport>) {
    let (storage, _) = Storage::open_on(Arc::new(files.clone()), Path::new(FOLDER)).unwrap();
    let (tell, told) = channel();
    (
        StorageThread::start(storage, PAUSES, Clock::default(), move |report| {
            tell.send(report).is_ok()
        }),
        told,
    )
}

fn after_power_loss(files: &SimulatedDisk) -> Contents {
    let files = files
        .platter()
        .after(&mut Random::new(1), Loss::All, Omits::Nothing);
    let opened = Storage::open_on(Arc::new(files), Path::new(FOLDER)).unwrap();
    opened.1
}

/// A fault, and how it heals.
type Fault = (&'static str, fn(&SimulatedDisk), fn(&SimulatedDisk));

const FAULTS: [Fault; 2] = [
    (
        "full",
        |files| files.set_room(Some(0)),
        |files| files.set_room(None),
    ),
    (
        "failing syncs",
        |files| files.set_syncs_fail(true),
        |files| files.set_syncs_fail(false),
    ),
];

#[test]
fn writes_to_a_full_or_failing_disk_are_retried_until_they_succeed() {
    for (name, break_it, heal) in FAULTS {
        let files = SimulatedDisk::new(Omits::Nothing);
        let (disk, told) = start(&files);
        disk.write(write(1));
        assert_eq!(
            told.recv_timeout(SOON),
            Ok(StorageReport::Synced { write_id: 1 }),
            "{name}"
        );
        break_it(&files);
        let (digest, bytes) = configuration(2);
        disk.write(Write::Configuration {
            write_id: 2,
            digest: digest.clone(),
            bytes,
        });
        disk.write(write(3));
        disk.write(write(4));
        assert_eq!(
            told.recv_timeout(SOON),
            Ok(StorageReport::Retrying),
            "{name}"
        );
        let tries = || {
            disk.stats()
                .failures
                .load(std::sync::atomic::Ordering::Relaxed)
        };
        while tries() < 20 {
            std::thread::yield_now();
        }
        // However often it was tried: nothing is reported before it is synced.
        assert_eq!(told.try_recv(), Err(TryRecvError::Empty), "{name}");
        assert_eq!(after_power_loss(&files).durable, state(1), "{name}");
        heal(&files);
        assert_eq!(
            told.recv_timeout(SOON),
            Ok(StorageReport::Recovered),
            "{name}"
        );
        let mut synced = Vec::new();
        while synced.last() != Some(&4) {
            match told.recv_timeout(SOON) {
                Ok(StorageReport::Synced { write_id }) => synced.push(write_id),
                other => panic!("{name}: {other:?}"),
            }
            let found = after_power_loss(&files);
            assert!(found.configurations.contains_key(&digest), "{name}");
            assert!(
                synced.last() < Some(&3) || found.durable == state(4),
                "{name}: {synced:?}"
            );
        }
        assert!(synced.is_sorted(), "{name}: {synced:?}");
        assert_eq!(after_power_loss(&files).durable, state(4), "{name}");
    }
}

#[test]
fn each_spell_of_disk_failures_is_reported() {
    let files = SimulatedDisk::new(Omits::Nothing);
    let (disk, told) = start(&files);
    for number in 1..6 {
        files.set_room(Some(0));
        disk.write(write(number));
        assert_eq!(told.recv_timeout(SOON), Ok(StorageReport::Retrying));
        files.set_room(None);
        assert_eq!(told.recv_timeout(SOON), Ok(StorageReport::Recovered));
        assert_eq!(
            told.recv_timeout(SOON),
            Ok(StorageReport::Synced { write_id: number })
        );
    }
}

/// Every operation on the disk waits until the returned gate is dropped.
struct Stall {
    gate: Sender<()>,
    reached: Receiver<()>,
}

impl Stall {
    fn of(files: &SimulatedDisk) -> Stall {
        let (gate, opened) = channel::<()>();
        let (arrived, reached) = channel::<()>();
        files.watch(move |_| {
            let _ = arrived.send(());
            let _ = opened.recv();
        });
        Stall { gate, reached }
    }

    /// Waits until the disk's thread stands in an operation: what it took from the queue by then is fixed.
    fn wait_until_reached(&self) {
        self.reached
            .recv_timeout(SOON)
            .expect("the disk's thread reaches the disk");
    }

    fn end(self) {
        drop(self.gate);
    }
}

/// As many as `control_plane::persistence` lets wait.
const QUEUE_ROOM: u64 = 256;

#[test]
fn writes_that_overflow_the_queue_are_never_reported() {
    let files = SimulatedDisk::new(Omits::Nothing);
    let (disk, told) = start(&files);
    let stall = Stall::of(&files);
    disk.write(write(1));
    stall.wait_until_reached();
    let (digest, bytes) = configuration(0);
    (2..=400).for_each(|number| match number {
        300 => disk.write(Write::Configuration {
            write_id: 300,
            digest: digest.clone(),
            bytes: bytes.clone(),
        }),
        number => disk.write(write(number)),
    });
    // It goes on, and takes whatever waited.
    stall.end();
    let mut last = 0;
    loop {
        match told.recv_timeout(SOON) {
            Ok(StorageReport::Synced { write_id }) => last = write_id,
            Ok(StorageReport::Lost) => break,
            other => panic!("{other:?}"),
        }
    }
    // The first write was under way, and the queue took as many more as it has room for.
    assert_eq!(last, 1 + QUEUE_ROOM);
    disk.write(write(401));
    assert_eq!(
        told.recv_timeout(SOON),
        Err(std::sync::mpsc::RecvTimeoutError::Disconnected)
    );
    files.unwatch();
    assert_eq!(after_power_loss(&files).durable, state(last));
}

/// A start on a folder with very many files drops them all at once.
#[test]
fn deletes_leave_capacity_for_other_writes() {
    let files = SimulatedDisk::new(Omits::Nothing);
    let (disk, told) = start(&files);
    let stall = Stall::of(&files);
    disk.write(write(1));
    stall.wait_until_reached();
    (0..400).for_each(|number| {
        disk.write(Write::DeleteConfiguration {
            digest: configuration(number).0,
        })
    });
    (2..100).for_each(|number| disk.write(write(number)));
    stall.end();
    let mut last = 0;
    while last < 99 {
        match told.recv_timeout(SOON) {
            Ok(StorageReport::Synced { write_id }) => last = write_id,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_thread_that_retries_ends_with_the_process() {
    let files = SimulatedDisk::new(Omits::Nothing);
    let (disk, told) = start(&files);
    files.set_room(Some(0));
    disk.write(write(1));
    assert_eq!(told.recv_timeout(SOON), Ok(StorageReport::Retrying));
    drop(disk);
    assert_eq!(
        told.recv_timeout(SOON),
        Err(std::sync::mpsc::RecvTimeoutError::Disconnected)
    );
}

/// The register of a single voter, with a queue of writes that a test carries out as it likes.
struct OneVoter {
    register: Register,
    now: Duration,
    waiting: VecDeque<Write>,
    most_waiting: usize,
    request_id: u64,
}

impl OneVoter {
    fn new(seed: u64) -> OneVoter {
        let times = RegisterTiming::default();
        let (durable, configurations) = Default::default();
        let start = RegisterConfig {
            node: "pm".into(),
            initial_voter_count: 1,
            seed,
            durable,
            configurations,
            timing: times,
        };
        let register = Register::new(start);
        let (now, waiting) = (Duration::ZERO, VecDeque::new());
        let mut voter = OneVoter {
            register,
            now,
            waiting,
            most_waiting: 0,
            request_id: 0,
        };
        voter.step(Event::Peers(vec!["pm".into()]));
        while *voter.register.phase() != VoterPhase::Active {
            voter.step(Event::Tick);
            voter.report(usize::MAX);
        }
        voter
    }

    fn step(&mut self, event: Event) {
        self.now += Duration::from_millis(10);
        for effect in self.register.step(self.now, event) {
            match effect {
                Effect::Persist { write_id, durable } => {
                    self.waiting.push_back(Write::State { write_id, durable })
                }
                Effect::StoreConfiguration {
                    write_id,
                    digest,
                    bytes,
                } => {
                    self.waiting.push_back(Write::Configuration {
                        write_id,
                        digest,
                        bytes,
                    });
                }
                Effect::DeleteConfiguration { digest } => self
                    .waiting
                    .push_back(Write::DeleteConfiguration { digest }),
                _ => {}
            }
        }
        self.most_waiting = self.most_waiting.max(self.waiting.len());
    }

    /// Reports so many writes as synced, one by one.
    fn report(&mut self, count: usize) {
        for _ in 0..count {
            match self.waiting.pop_front() {
                Some(Write::State { write_id, .. } | Write::Configuration { write_id, .. }) => {
                    self.step(Event::WriteCompleted { write_id })
                }
                Some(Write::DeleteConfiguration { .. }) => {}
                None => return,
            }
        }
    }

    fn submit(&mut self, number: u64) {
        let (digest, bytes) = configuration(number);
        self.request_id += 1;
        let change = Change::Configuration {
            id: format!("{number}").into(),
            base_revision: None,
            version: None,
            digest,
        };
        self.step(Event::Submit {
            request_id: self.request_id,
            change,
            bytes: Some(bytes),
        });
    }
}

#[test]
fn the_register_never_submits_more_writes_than_the_queue_holds() {
    for seed in 0..30 {
        let (mut voter, mut random) = (OneVoter::new(seed), Random::new(seed));
        for number in 0..400 {
            voter.submit(number);
            voter.step(Event::Tick);
            // The disk stalls now and then.
            let stalls = number / 100 % 2 == 1;
            voter.report(if stalls { 0 } else { random.below(6) as usize });
        }
        assert!(
            voter.most_waiting < 128,
            "{} writes waited",
            voter.most_waiting
        );
    }
}

/// What a disk holds, as far as it matters here.
#[derive(Default)]
struct Held {
    state: DurableState,
    configurations: BTreeSet<String>,
}

/// Plays a storm against batches of random length, and looks at the disk after every single write.
fn play_batches(seed: u64, merge: impl Fn(Vec<Write>) -> Vec<Write>) -> Result<(), String> {
    let (mut voter, mut random, mut held) =
        (OneVoter::new(seed), Random::new(seed), Held::default());
    for number in 0..200 {
        (0..random.below(3)).for_each(|_| voter.submit(number * 8 + random.below(8)));
        voter.step(Event::Tick);
        let count = (random.below(12) as usize).min(voter.waiting.len());
        let batch: Vec<Write> = voter.waiting.drain(..count).collect();
        for write in merge(batch) {
            let write_id = match write {
                Write::State { write_id, durable } => {
                    held.state = durable;
                    Some(write_id)
                }
                Write::Configuration {
                    write_id, digest, ..
                } => {
                    held.configurations.insert(digest);
                    Some(write_id)
                }
                Write::DeleteConfiguration { digest } => {
                    held.configurations.remove(&digest);
                    None
                }
            };
            let digest = &held.state.accepted.digest;
            if !digest.is_empty() && !held.configurations.contains(digest) {
                return Err(format!(
                    "the state on the disk names {digest}, which is not there"
                ));
            }
            write_id
                .into_iter()
                .for_each(|write_id| voter.step(Event::WriteCompleted { write_id }));
        }
    }
    Ok(())
}

#[test]
fn however_writes_are_merged_the_disk_holds_the_configuration_of_its_state() {
    for seed in 0..60 {
        assert_eq!(play_batches(seed, merge_writes), Ok(()), "seed {seed}");
    }
}

/// The broken twin: the last state of a batch goes ahead of what it refers to.
#[test]
fn the_checker_detects_a_state_ahead_of_its_configuration() {
    let hasty = |batch: Vec<Write>| {
        let (states, others): (Vec<Write>, Vec<Write>) = batch
            .into_iter()
            .partition(|write| matches!(write, Write::State { .. }));
        states.into_iter().chain(others).collect()
    };
    assert!((0..60).any(|seed| play_batches(seed, hasty).is_err()));
}
