//! Disks that are full, that fail to sync, or that corrupt data.

mod simulated;

use protocol::{Departure, DurableState};
use random::Random;
use simulated::{Loss, Omits, SimulatedDisk};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use storage::{Contents, FailureKind, Storage};

const FOLDER: &str = "/data";
const STATE_FILE: &str = "/data/word.redb";

fn open(disk: &SimulatedDisk) -> (Storage, Contents) {
    Storage::open_on(Arc::new(disk.clone()), Path::new(FOLDER)).unwrap()
}

fn state(number: u64) -> DurableState {
    let initial_voters = (0..number * 40).map(|at| format!("voter-{at}")).collect();
    DurableState {
        disk: 1,
        lease_epoch: number,
        initial_voters,
        ..Default::default()
    }
}

/// What is found after the power went and came back.
fn after_power_loss(disk: &SimulatedDisk, loss: Loss, seed: u64) -> Contents {
    let disk = disk
        .platter()
        .after(&mut Random::new(seed), loss, Omits::Nothing);
    let opened = Storage::open_on(Arc::new(disk), Path::new(FOLDER)).unwrap();
    opened.1
}

#[test]
fn a_full_disk_takes_the_write_once_there_is_room() {
    for room in [0, 100, 3000, 20_000, 60_000, 300_000] {
        let disk = SimulatedDisk::new(Omits::Nothing);
        let (mut storage, _) = open(&disk);
        storage.persist_state(&state(1)).unwrap();
        disk.set_room(Some(room));
        let mut last = 1;
        while storage.persist_state(&state(last + 1)).is_ok() {
            last += 1;
        }
        assert!(
            storage.persist_state(&state(last + 1)).is_err(),
            "there is no room for a new file either"
        );
        for seed in 0..20 {
            // What failed was handed over, so it may be there.
            let found = after_power_loss(&disk, Loss::Some, seed);
            assert!(found.damaged.is_empty(), "{:?}", found.damaged);
            assert!([last, last + 1].contains(&found.durable.lease_epoch));
        }
        disk.set_room(None);
        storage.persist_state(&state(last + 1)).unwrap();
        assert_eq!(
            after_power_loss(&disk, Loss::All, 1).durable,
            state(last + 1)
        );
    }
}

#[test]
fn a_full_disk_takes_a_configuration_once_there_is_room() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (mut storage, _) = open(&disk);
    let (digest, bytes) = (protocol::digest(&[7; 9000]), [7; 9000]);
    disk.set_room(Some(5000));
    assert!(storage.store_configuration(&digest, &bytes).is_err());
    disk.set_room(None);
    storage.store_configuration(&digest, &bytes).unwrap();
    storage.persist_state(&state(1)).unwrap();
    let found = after_power_loss(&disk, Loss::All, 1);
    assert_eq!(
        (
            found.configurations.get(&digest).map(Vec::len),
            found.durable
        ),
        (Some(9000), state(1))
    );
}

/// After a failed sync the system may show what never reached the disk, and calls the next sync a success.
#[test]
fn what_is_reported_after_a_failed_sync_is_on_the_disk() {
    for seed in 0..30 {
        let disk = SimulatedDisk::new(Omits::Nothing);
        let (mut storage, _) = open(&disk);
        (1..4).for_each(|number| storage.persist_state(&state(number)).unwrap());
        let (digest, bytes) = (protocol::digest(b"setup"), b"setup");
        disk.set_syncs_fail(true);
        assert!(storage.persist_state(&state(4)).is_err());
        assert!(storage.persist_state(&state(4)).is_err());
        assert!(storage.store_configuration(&digest, bytes).is_err());
        disk.set_syncs_fail(false);
        storage.store_configuration(&digest, bytes).unwrap();
        storage.persist_state(&state(4)).unwrap();
        let found = after_power_loss(&disk, if seed == 0 { Loss::All } else { Loss::Some }, seed);
        assert_eq!(found.durable, state(4), "seed {seed}: {:?}", found.damaged);
        assert!(found.configurations.contains_key(&digest));
    }
}

/// A disk that does not work just now is no damaged one: giving its state up would make this voter forget its promises.
#[test]
fn a_failing_disk_at_the_start_is_not_taken_for_a_damaged_one() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (mut storage, _) = open(&disk);
    storage.persist_state(&state(3)).unwrap();
    drop(storage);
    disk.set_syncs_fail(true);
    let refused = Storage::open_on(Arc::new(disk.clone()), Path::new(FOLDER))
        .err()
        .unwrap();
    assert_eq!(refused.current_context().kind(), FailureKind::Failing);
    disk.set_syncs_fail(false);
    let (_, contents) = open(&disk);
    assert_eq!((contents.durable, contents.damaged.len()), (state(3), 0));
}

#[test]
fn a_full_disk_at_the_start_opens() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (mut storage, _) = open(&disk);
    (1..5).for_each(|number| storage.persist_state(&state(number)).unwrap());
    // Killed, so that the next start has to repair.
    let disk = disk
        .platter()
        .after(&mut Random::new(1), Loss::All, Omits::Nothing);
    disk.set_room(Some(0));
    let refused = Storage::open_on(Arc::new(disk.clone()), Path::new(FOLDER)).err();
    assert!(refused.is_none_or(|refused| refused.current_context().kind() == FailureKind::Failing));
    disk.set_room(None);
    assert_eq!(open(&disk).1.durable, state(4));
}

/// Corrupts the bytes of a file in one place.
fn corrupt(random: &mut Random, bytes: &mut Vec<u8>) {
    let length = bytes.len() as u64;
    match random.below(5) {
        0 => bytes.truncate(random.below(length) as usize),
        1 => {
            let from = random.below(length) as usize;
            let until = (from + 4096).min(bytes.len());
            bytes[from..until].fill(0);
        }
        2 => bytes.clear(),
        // The part of the file that redb trusts.
        3 => bytes[random.below(length.min(320)) as usize] ^= 1 << random.below(8),
        _ => (0..1 + random.below(40))
            .for_each(|_| bytes[random.below(length) as usize] ^= 1 << random.below(8)),
    }
}

#[test]
fn corruption_is_reported_or_harmless() {
    let intact = SimulatedDisk::new(Omits::Nothing);
    let (mut storage, _) = open(&intact);
    (1..5).for_each(|number| storage.persist_state(&state(number)).unwrap());
    let in_use = intact.platter();
    drop(storage);
    let closed = intact.platter();
    let (mut reported, mut random) = (0, Random::new(5));
    for round in 0..600 {
        let platter = if round % 2 == 0 { &in_use } else { &closed };
        let disk = platter.after(&mut random, Loss::None, Omits::Nothing);
        disk.corrupt(Path::new(STATE_FILE), |bytes| corrupt(&mut random, bytes));
        let (mut storage, contents) = open(&disk);
        if contents.damaged.is_empty() {
            // redb falls back to the commit before where the newest is corrupt: a voter that forgot a promise.
            assert_eq!(contents.durable, state(4), "round {round}");
        } else {
            reported += 1;
            assert_eq!(contents.durable, DurableState::default());
            assert_eq!(contents.damaged[0].file, "word.redb");
        }
        // It works on either way.
        storage.persist_state(&state(9)).unwrap();
        drop(storage);
        let again = open(&disk).1;
        assert_eq!(
            (again.durable, again.damaged.len()),
            (state(9), 0),
            "round {round}"
        );
    }
    println!("{reported} of 600 reported");
    assert!(reported > 100);
}

#[test]
fn a_missing_state_file_is_reported() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (mut storage, contents) = open(&disk);
    assert!(contents.damaged.is_empty(), "a blank folder is no damage");
    storage
        .store_configuration(&protocol::digest(b"{}"), b"{}")
        .unwrap();
    drop(storage);
    storage::FileSystem::remove(&disk, Path::new(STATE_FILE)).unwrap();
    let (_, contents) = open(&disk);
    assert!(
        contents.damaged[0]
            .to_string()
            .starts_with("word.redb: missing, though"),
        "{:?}",
        contents.damaged
    );
}

#[test]
fn a_corrupt_configuration_is_reported_and_removed() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (mut storage, _) = open(&disk);
    let digest = protocol::digest(b"{}");
    storage.store_configuration(&digest, b"{}").unwrap();
    drop(storage);
    disk.corrupt(
        &Path::new("/data/setups").join(format!("{digest}.json")),
        |bytes| bytes.clear(),
    );
    let (storage, contents) = open(&disk);
    assert_eq!(
        (contents.configurations.len(), contents.damaged.len()),
        (0, 1)
    );
    drop(storage);
    assert_eq!(open(&disk).1.damaged.len(), 0);
}

/// The last copy of a lost majority's state may lie in such a folder.
#[test]
fn inspecting_a_damaged_folder_changes_nothing() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("inspect-{}", std::process::id()));
    let (mut storage, _) = Storage::open(&folder).unwrap();
    storage.persist_state(&state(2)).unwrap();
    storage
        .store_configuration(&protocol::digest(b"{}"), b"{}")
        .unwrap();
    drop(storage);
    let configuration = folder
        .join("setups")
        .join(format!("{}.json", protocol::digest(b"{}")));
    let mut bytes = std::fs::read(folder.join("word.redb")).unwrap();
    bytes.truncate(5000);
    std::fs::write(folder.join("word.redb"), &bytes).unwrap();
    std::fs::write(&configuration, b"corrupt").unwrap();
    let contents = Storage::inspect(&folder).unwrap();
    assert_eq!(
        (contents.durable, contents.damaged.len()),
        (DurableState::default(), 2)
    );
    assert_eq!(std::fs::read(folder.join("word.redb")).unwrap(), bytes);
    assert_eq!(std::fs::read(&configuration).unwrap(), b"corrupt");
    assert!(!folder.join("word.damaged").exists());
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn two_processes_never_share_a_folder() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("shared-{}", std::process::id()));
    let first = Storage::open(&folder).unwrap();
    let second = Storage::open(&folder).err().unwrap();
    assert_eq!(second.current_context().kind(), FailureKind::InUse);
    drop(first);
    assert!(Storage::open(&folder).is_ok());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Since the machine's boot.
const AN_HOUR: Duration = Duration::from_secs(3600);

fn departures(count: usize) -> Vec<Departure> {
    (0..count)
        .map(|at| Departure {
            instance: format!("unit-{at}"),
            state: 1,
            ..Default::default()
        })
        .collect()
}

/// A process that is killed in the middle of a write leaves any part of it.
#[test]
fn an_incomplete_write_of_departures_leaves_the_one_before() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (storage, _) = open(&disk);
    let now = AN_HOUR;
    let mut log = storage.departure_log(now).0;
    // The longer one's end stays behind the shorter one.
    [7, 9, 3, 2]
        .into_iter()
        .for_each(|count| log.write(departures(count), now).unwrap());
    assert_eq!(storage.departure_log(now).1, departures(2));
    let newest = Path::new("/data/departures.0");
    let length = 8 + 64 + departures(2).len();
    (0..length).for_each(|written| {
        disk.corrupt(newest, |bytes| {
            bytes
                .iter_mut()
                .skip(written)
                .for_each(|byte| *byte = !*byte)
        });
        assert_eq!(
            storage.departure_log(now).1,
            departures(3),
            "{written} bytes were written"
        );
        disk.corrupt(newest, |bytes| {
            bytes
                .iter_mut()
                .skip(written)
                .for_each(|byte| *byte = !*byte)
        });
    });
    assert_eq!(
        storage.departure_log(now).1,
        departures(2),
        "the test repaired it each time"
    );
}

#[test]
fn departures_survive_a_restart_and_are_forgotten_after_a_minute() {
    let disk = SimulatedDisk::new(Omits::Nothing);
    let (storage, _) = open(&disk);
    let (now, minute) = (AN_HOUR, Duration::from_secs(60));
    (1..6).for_each(|count| {
        let (mut log, found) = storage.departure_log(now);
        assert_eq!(found, departures(count - 1));
        log.write(departures(count), now).unwrap();
    });
    assert!(
        storage.departure_log(now + minute).1.is_empty(),
        "an instance id may be in use again"
    );
    assert!(
        storage.departure_log(now - minute).1.is_empty(),
        "the machine has booted since: nobody knows how old they are"
    );
}
