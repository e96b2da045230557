//! The power is lost, or the process killed, before every operation on the disk, with every kind of remainder.

mod simulated;

use protocol::{Ballot, ClusterState, DurableState};
use random::Random;
use simulated::{Loss, Omits, Platter, SimulatedDisk};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use storage::Storage;

const FOLDER: &str = "/var/data";
/// How many configurations are stored at once; the earliest is deleted for a new one.
const MAX_CONFIGURATIONS: usize = 5;

/// What the storage was given, and what it reported.
#[derive(Clone, Default)]
struct Ledger {
    handed: Vec<DurableState>,
    /// Every state from this one on may be found, up to the last handed over.
    reported: usize,
    configurations: BTreeMap<String, Vec<u8>>,
    reported_configurations: BTreeSet<String>,
}

/// A moment at which the power may go.
struct Moment {
    platter: Platter,
    ledger: Ledger,
}

fn state(random: &mut Random, number: usize) -> DurableState {
    let padding = (0..random.below(200))
        .map(|at| format!("voter-{number}-{at}"))
        .collect();
    let accepted = ClusterState {
        revision: number as u64,
        digest: format!("{number:064}"),
        ..Default::default()
    };
    let promised = Ballot {
        round: number as u64,
        ..Default::default()
    };
    DurableState {
        disk: 7,
        lease_epoch: number as u64,
        promised,
        accepted,
        initial_voters: padding,
        ..Default::default()
    }
}

/// Runs storage on a disk while moments are recorded.
struct Run {
    disk: SimulatedDisk,
    ledger: Arc<Mutex<Ledger>>,
    moments: Arc<Mutex<Vec<Moment>>>,
}

impl Run {
    /// Records a moment before each operation, each with this chance in a thousand.
    fn new(disk: SimulatedDisk, ledger: Ledger, per_mille: u64, seed: u64) -> Run {
        let (ledger, moments) = (
            Arc::new(Mutex::new(ledger)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let (known, recorded, mut random) = (ledger.clone(), moments.clone(), Random::new(seed));
        disk.watch(move |platter| {
            if random.below(1000) < per_mille {
                let moment = Moment {
                    platter: platter.clone(),
                    ledger: known.lock().unwrap().clone(),
                };
                recorded.lock().unwrap().push(moment);
            }
        });
        Run {
            disk,
            ledger,
            moments,
        }
    }

    /// Opens the folder and checks what it gives against what was reported.
    fn open(&self) -> Result<Storage, String> {
        let opened = Storage::open_on(Arc::new(self.disk.clone()), Path::new(FOLDER));
        let (storage, contents) = opened.map_err(|error| format!("not opened: {error:?}"))?;
        let mut ledger = self.ledger.lock().unwrap();
        if !contents.damaged.is_empty() {
            return Err(format!("damaged: {:?}", contents.damaged));
        }
        let found = ledger
            .handed
            .iter()
            .rposition(|handed| *handed == contents.durable);
        match found {
            Some(number) if number >= ledger.reported => ledger.reported = number,
            Some(number) => {
                return Err(format!(
                    "state {number} after {} was reported",
                    ledger.reported
                ));
            }
            None => return Err("a state that was never handed over".into()),
        }
        let lost = ledger
            .reported_configurations
            .iter()
            .find(|digest| !contents.configurations.contains_key(*digest));
        if let Some(digest) = lost {
            return Err(format!(
                "configuration {digest} was reported and is missing"
            ));
        }
        ledger.reported_configurations = contents.configurations.keys().cloned().collect();
        Ok(storage)
    }

    /// So many changes: a configuration, a state, and now and then an old configuration is deleted.
    fn storm(&self, storage: &mut Storage, changes: usize, random: &mut Random) {
        for _ in 0..changes {
            let bytes = vec![random.below(256) as u8; 100 + random.below(9000) as usize];
            let digest = protocol::digest(&bytes);
            self.ledger
                .lock()
                .unwrap()
                .configurations
                .insert(digest.clone(), bytes.clone());
            storage.store_configuration(&digest, &bytes).unwrap();
            self.ledger
                .lock()
                .unwrap()
                .reported_configurations
                .insert(digest);
            for _ in 0..2 {
                let next = state(random, self.ledger.lock().unwrap().handed.len());
                self.ledger.lock().unwrap().handed.push(next.clone());
                storage.persist_state(&next).unwrap();
                let mut ledger = self.ledger.lock().unwrap();
                ledger.reported = ledger.handed.len() - 1;
            }
            self.drop_one(storage);
        }
    }

    fn drop_one(&self, storage: &mut Storage) {
        let earliest = {
            let mut ledger = self.ledger.lock().unwrap();
            let too_many = ledger.reported_configurations.len() > MAX_CONFIGURATIONS;
            too_many
                .then(|| ledger.reported_configurations.pop_first())
                .flatten()
        };
        earliest
            .into_iter()
            .for_each(|digest| storage.delete_configuration(&digest).unwrap());
    }

    fn moments(&self) -> Vec<Moment> {
        self.disk.unwatch();
        std::mem::take(&mut self.moments.lock().unwrap())
    }
}

/// What a run of many crashes came to.
#[derive(Default, Debug)]
struct Tally {
    crashes: usize,
    broken: Vec<String>,
}

/// Plays a crash at each of these moments; after some, the storage works on and crashes again.
fn crash_at(moments: Vec<Moment>, omits: Omits, depth: usize, seed: u64, tally: &mut Tally) {
    let mut random = Random::new(seed);
    for moment in moments {
        for loss in [Loss::None, Loss::All, Loss::Some, Loss::Some] {
            tally.crashes += 1;
            let disk = moment.platter.after(&mut random, loss, omits);
            // Not every crash is followed by further ones.
            let per_mille = if depth > 0 && random.below(25) == 0 {
                60
            } else {
                0
            };
            let run = Run::new(disk, moment.ledger.clone(), per_mille, random.next_u64());
            match run.open() {
                Err(broken) => tally
                    .broken
                    .push(format!("{loss:?}, depth {depth}: {broken}")),
                Ok(mut storage) if per_mille > 0 => {
                    run.storm(&mut storage, 2, &mut random);
                    drop(storage);
                    crash_at(run.moments(), omits, depth - 1, random.next_u64(), tally);
                }
                Ok(_) => {}
            }
        }
    }
}

/// A first start, a storm, a second start, a storm; crashes everywhere.
fn play(omits: Omits, per_mille: u64, seed: u64) -> Tally {
    let mut random = Random::new(seed);
    let first = Ledger {
        handed: vec![DurableState::default()],
        ..Ledger::default()
    };
    let run = Run::new(SimulatedDisk::new(omits), first, per_mille, seed);
    for _ in 0..2 {
        let mut storage = run.open().unwrap();
        run.storm(&mut storage, 8, &mut random);
    }
    let mut tally = Tally::default();
    crash_at(run.moments(), omits, 2, seed, &mut tally);
    tally
}

#[test]
fn every_crash_leaves_what_was_reported() {
    let mut crashes = 0;
    for seed in 0..6 {
        let tally = play(Omits::Nothing, 800, seed);
        assert_eq!(tally.broken, Vec::<String>::new(), "seed {seed}");
        crashes += tally.crashes;
    }
    println!("{crashes} crashes");
    assert!(crashes > 2000, "only {crashes} crashes were played");
}

#[test]
fn the_checker_sees_the_state_files_name_not_synced() {
    assert!(
        !play(Omits::FolderSync("/var/data"), 200, 1)
            .broken
            .is_empty()
    );
}

#[test]
fn the_checker_sees_the_data_folders_name_not_synced() {
    assert!(!play(Omits::FolderSync("/var"), 200, 1).broken.is_empty());
}

#[test]
fn the_checker_sees_configurations_names_not_synced() {
    assert!(
        !play(Omits::FolderSync("/var/data/setups"), 200, 1)
            .broken
            .is_empty()
    );
}

#[test]
fn the_checker_sees_a_rename_before_the_sync() {
    assert!(!play(Omits::FileSync, 200, 1).broken.is_empty());
}

#[test]
fn the_checker_sees_a_state_that_is_not_synced() {
    assert!(!play(Omits::DatabaseSync, 200, 1).broken.is_empty());
}
