//! A data folder of an earlier release (data/README.md) opens with everything that is in it, and new folders look the
//! same: names and formats on disk stay.

mod recorded;

use protocol::Departure;
use recorded::{CONFIGURATION, DEPARTURES_WRITTEN_AT, RecordedFolder, durable_state};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;
use storage::{Contents, Storage};

fn departures() -> Vec<Departure> {
    let departure = |instance: &str, state, heartbeat_number| Departure {
        service: "slots".into(),
        instance: instance.into(),
        state,
        heartbeat_number,
    };
    vec![departure("slots-3", 1, 42), departure("slots-4", 2, 52)]
}

fn assert_recorded(contents: &Contents) {
    assert_eq!(contents.durable, durable_state());
    assert_eq!(contents.damaged, []);
    assert_eq!(contents.configurations.len(), 3);
    let in_force = String::from_utf8_lossy(&contents.configurations[CONFIGURATION]);
    assert!(
        in_force.starts_with(r#"{"number":9,"services":[{"name":"slots","#),
        "{in_force}"
    );
}

/// The names of all files below this folder.
fn file_names(folder: &Path) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().to_string_lossy().into_owned();
        if entry.path().is_dir() {
            let inner = file_names(&entry.path());
            names.extend(inner.iter().map(|inner| format!("{name}/{inner}")));
        } else {
            names.insert(name);
        }
    }
    names
}

#[test]
fn a_recorded_folder_opens_with_its_state_and_configurations() {
    let folder = RecordedFolder::copy("storage-recorded-open");
    let names = file_names(folder.path());
    let (storage, contents) = Storage::open(folder.path()).expect("it opens");
    assert_recorded(&contents);
    drop(storage);
    assert_eq!(file_names(folder.path()), names, "nothing made or moved");
}

#[test]
fn inspecting_a_recorded_folder_finds_the_same() {
    let folder = RecordedFolder::copy("storage-recorded-inspect");
    assert_recorded(&Storage::inspect(folder.path()).expect("it can be read"));
}

#[test]
fn departures_of_a_recorded_folder_are_remembered_for_a_minute() {
    let folder = RecordedFolder::copy("storage-recorded-departures");
    let (storage, _) = Storage::open(folder.path()).expect("it opens");
    let remembered = |now| storage.departure_log(now).1;
    assert_eq!(remembered(DEPARTURES_WRITTEN_AT), departures());
    let last = DEPARTURES_WRITTEN_AT + Duration::from_millis(59_999);
    assert_eq!(remembered(last), departures());
    assert_eq!(remembered(last + Duration::from_millis(1)), []);
}

/// Its number was confirmed in `word.synced`: an older state under it must show.
#[test]
fn the_sequence_of_a_recorded_folder_is_known() {
    let folder = RecordedFolder::copy("storage-recorded-sequence");
    let confirmed = [17u64.to_be_bytes(), (!17u64).to_be_bytes()].concat();
    fs::write(folder.path().join("word.synced"), confirmed).expect("a file");
    let (_storage, contents) = Storage::open(folder.path()).expect("it opens");
    assert_eq!(contents.damaged.len(), 1, "{:?}", contents.damaged);
    let finding = &contents.damaged[0].finding;
    assert!(finding.contains("holds write 16"), "{finding}");
    assert!(file_names(folder.path()).contains("word.damaged"));
}

#[test]
fn a_new_folder_has_the_recorded_names_and_formats() {
    let recorded = RecordedFolder::copy("storage-recorded-names");
    let folder = recorded.path().with_extension("new");
    let _ = fs::remove_dir_all(&folder);
    let written = Storage::inspect(recorded.path()).expect("it can be read");
    let (mut storage, _) = Storage::open(&folder).expect("a new folder");
    // The first write makes the file; the recorded one is the sixteenth.
    for _ in 1..16 {
        storage.persist_state(&written.durable).expect("a write");
    }
    for (digest, bytes) in &written.configurations {
        storage.store_configuration(digest, bytes).expect("a write");
    }
    let mut log = storage.departure_log(Duration::ZERO).0;
    let before = DEPARTURES_WRITTEN_AT - Duration::from_millis(8);
    log.write(departures()[..1].to_vec(), before)
        .expect("a write");
    log.write(departures(), DEPARTURES_WRITTEN_AT)
        .expect("a write");
    drop(storage);
    assert_eq!(file_names(&folder), file_names(recorded.path()));
    for name in ["word.synced", "departures.0", "departures.1"] {
        let bytes = |folder: &Path| fs::read(folder.join(name)).expect("a file");
        assert_eq!(bytes(&folder), bytes(recorded.path()), "{name}");
    }
    fs::remove_dir_all(&folder).expect("it was made");
}
