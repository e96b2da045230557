//! Everything that must outlive a process: the voter's state in redb, setups as plain files. All calls
//! block until the disk has synced, so they belong on a thread of their own.
//!
//! The order of the steps, and what a loss of power leaves after each, is in docs/design/control/disks.md.

mod departures;
mod error;
mod files;
mod state_file;
mod witness;

pub use departures::DepartureLog;
pub use error::{FailureKind, StorageError};
pub use files::{FileSystem, FolderLock, NewFile, RealFiles};
pub use redb::StorageBackend;

use error_stack::Report;
use protocol::{Departure, DurableState};
use redb::Database;
use state_file::{Numbered, Opened};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use witness::Witness;

const STATE_FILE: &str = "word.redb";
/// Where a whole new state file is made.
const NEW_STATE_FILE: &str = "word.new";
/// Where a damaged one is left, for whoever wants to look.
const DAMAGED_STATE_FILE: &str = "word.damaged";
const WITNESS_FILE: &str = "word.synced";
const SETUPS: &str = "setups";
const NEW_SETUP: &str = "setup.new";
const SETUP_ENDING: &str = ".json";

/// A file that is not what was written. It counts as missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    pub finding: String,
    pub consequence: &'static str,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.file, self.finding, self.consequence)
    }
}

/// What a data folder held when it was opened.
#[derive(Debug, Default)]
pub struct Contents {
    pub durable: DurableState,
    /// Undamaged setups by digest.
    pub configurations: BTreeMap<String, Vec<u8>>,
    /// What was found damaged and counts as missing.
    pub damaged: Vec<Damage>,
}

/// One data folder.
pub struct Storage {
    folder: PathBuf,
    files: Arc<dyn FileSystem>,
    /// None after a write failed: redb then refuses everything, and what a failed sync left on the disk is unknown. The
    /// next write makes a whole new file.
    database: Option<Database>,
    /// The number of the last write that was tried.
    sequence: u64,
    witness: Witness,
    _lock: Box<dyn FolderLock>,
}

fn failed(step: &str) -> impl Fn(io::Error) -> Report<StorageError> {
    move |error| {
        let context = StorageError::from_io(step, &error);
        Report::new(error).change_context(context)
    }
}

impl Storage {
    /// Opens a data folder, making it where it is missing. What is damaged counts as missing; what it gives is synced.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-open-{}", std::process::id()));
    /// let (mut storage, contents) = storage::Storage::open(&folder).unwrap();
    /// assert_eq!(contents.durable.disk, 0);
    /// let digest = protocol::digest(b"{}");
    /// storage.store_configuration(&digest, b"{}").unwrap();
    /// storage.keep(&protocol::DurableState { disk: 7, ..Default::default() }).unwrap();
    /// drop(storage);
    /// std::fs::write(folder.join("setups").join(format!("{}.json", protocol::digest(b"x"))), b"rotten").unwrap();
    /// let (_, contents) = storage::Storage::open(&folder).unwrap();
    /// assert_eq!(contents.durable.disk, 7);
    /// assert_eq!(contents.configurations[&digest], b"{}");
    /// assert_eq!(contents.damaged.len(), 1);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn open(folder: &Path) -> Result<(Storage, Contents), Report<StorageError>> {
        Storage::open_on(Arc::new(RealFiles), folder)
    }

    /// The same on other files than the operating system's.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-open-on-{}", std::process::id()));
    /// let files = std::sync::Arc::new(storage::RealFiles);
    /// assert!(storage::Storage::open_on(files, &folder).unwrap().1.damaged.is_empty());
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn open_on(
        files: Arc<dyn FileSystem>,
        folder: &Path,
    ) -> Result<(Storage, Contents), Report<StorageError>> {
        make_folders(&*files, folder)?;
        let lock = lock(&*files, folder)?;
        let witness = Witness::open(&*files, &folder.join(WITNESS_FILE));
        let folder = folder.to_owned();
        let mut storage = Storage {
            folder,
            files,
            database: None,
            sequence: 0,
            witness,
            _lock: lock,
        };
        let mut contents = Contents::default();
        read_setups(&*storage.files, &storage.folder, &mut contents, Tidy::Yes)?;
        storage.open_state(&mut contents)?;
        // An earlier process may have ended between a rename and its sync.
        storage.sync_folder(&storage.folder)?;
        Ok((storage, contents))
    }

    /// What a data folder holds. Nothing in it is changed, whatever state it is in; no process may use it meanwhile.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-inspect-{}", std::process::id()));
    /// let (mut storage, _) = storage::Storage::open(&folder).unwrap();
    /// storage.keep(&protocol::DurableState { disk: 7, ..Default::default() }).unwrap();
    /// assert!(storage::Storage::inspect(&folder).is_err(), "it is in use");
    /// drop(storage);
    /// assert_eq!(storage::Storage::inspect(&folder).unwrap().durable.disk, 7);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn inspect(folder: &Path) -> Result<Contents, Report<StorageError>> {
        let files = RealFiles;
        let _lock = lock(&files, folder)?;
        let mut contents = Contents::default();
        read_setups(&files, folder, &mut contents, Tidy::No)?;
        let bytes = match files.read(&folder.join(STATE_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(contents),
            read => read.map_err(failed("cannot read word.redb"))?,
        };
        let confirmed = files
            .read(&folder.join(WITNESS_FILE))
            .map(|bytes| witness::decode(&bytes))
            .unwrap_or(0);
        match state_file::open_copy(&bytes)? {
            Opened::Whole(_, found) => {
                contents
                    .damaged
                    .extend(older_state(&found, confirmed).map(damaged_state));
                contents.durable = found.state;
            }
            Opened::Damaged(finding) => contents.damaged.push(damaged_state(finding)),
            Opened::Missing => {}
        }
        Ok(contents)
    }

    /// The departures of upstreams in this folder, which has to stay open meanwhile: where to write them, from whichever
    /// thread, and those that an earlier process wrote less than a minute before `now`,
    /// the time since the machine's boot.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-log-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// assert!(storage.departure_log(std::time::Duration::from_secs(3600)).1.is_empty());
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn departure_log(&self, now: Duration) -> (DepartureLog, Vec<Departure>) {
        DepartureLog::open(self.files.clone(), &self.folder, now)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn setup_path(&self, digest: &str) -> PathBuf {
        self.path(SETUPS).join(format!("{digest}{SETUP_ENDING}"))
    }

    fn sync_folder(&self, folder: &Path) -> Result<(), Report<StorageError>> {
        self.files
            .sync_folder(folder)
            .map_err(failed("cannot sync the data folder"))
    }

    fn open_state(&mut self, contents: &mut Contents) -> Result<(), Report<StorageError>> {
        let confirmed = self.witness.read();
        self.sequence = confirmed;
        let finding = match state_file::open(&*self.files, &self.path(STATE_FILE))? {
            Opened::Whole(database, found) => match older_state(&found, confirmed) {
                None => {
                    self.database = Some(database);
                    self.sequence = found.sequence;
                    contents.durable = found.state;
                    return Ok(());
                }
                older => older,
            },
            Opened::Damaged(finding) => Some(finding),
            Opened::Missing => None,
        };
        match finding {
            Some(finding) => {
                contents.damaged.push(damaged_state(finding));
                let aside = self
                    .files
                    .rename(&self.path(STATE_FILE), &self.path(DAMAGED_STATE_FILE));
                aside.map_err(failed("cannot move word.redb aside"))?;
            }
            None => contents.damaged.extend(self.lost_state(contents)?),
        }
        self.write_afresh(&contents.durable)
    }

    /// A folder that was used before must hold a state.
    fn lost_state(&self, contents: &Contents) -> Result<Option<Damage>, Report<StorageError>> {
        let aside = self
            .files
            .exists(&self.path(DAMAGED_STATE_FILE))
            .map_err(failed("cannot read the data folder"))?;
        let used = aside || self.sequence > 0 || !contents.configurations.is_empty();
        Ok(used.then(|| damaged_state("missing, though this folder was used before".into())))
    }

    /// Makes a whole new state file, and puts it in the place of the old one only once it is synced.
    fn write_afresh(&mut self, state: &DurableState) -> Result<(), Report<StorageError>> {
        self.database = None;
        let new = self.path(NEW_STATE_FILE);
        self.files
            .remove(&new)
            .map_err(failed("cannot remove word.new"))?;
        self.sequence += 1;
        let database = state_file::create(&*self.files, &new, state, self.sequence)?;
        let renamed = self.files.rename(&new, &self.path(STATE_FILE));
        renamed.map_err(failed("cannot put word.redb in its place"))?;
        self.sync_folder(&self.folder)?;
        self.witness.note(self.sequence);
        self.database = Some(database);
        Ok(())
    }

    /// Syncs the voter's state. After a failure, call it again: it then makes a whole new file.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-keep-{}", std::process::id()));
    /// let (mut storage, _) = storage::Storage::open(&folder).unwrap();
    /// storage.keep(&protocol::DurableState { lease_epoch: 3, ..Default::default() }).unwrap();
    /// drop(storage);
    /// assert_eq!(storage::Storage::open(&folder).unwrap().1.durable.lease_epoch, 3);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn keep(&mut self, durable: &DurableState) -> Result<(), Report<StorageError>> {
        let Some(database) = &self.database else {
            return self.write_afresh(durable);
        };
        self.sequence += 1;
        let written = state_file::write(database, durable, self.sequence);
        match &written {
            Ok(()) => self.witness.note(self.sequence),
            Err(_) => self.database = None,
        }
        written
    }

    /// Syncs a setup as a plain file: written aside, synced, renamed, and the folder synced. After a failure, call it
    /// again.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-setup-{}", std::process::id()));
    /// let (mut storage, _) = storage::Storage::open(&folder).unwrap();
    /// let digest = protocol::digest(b"{}");
    /// storage.store_configuration(&digest, b"{}").unwrap();
    /// assert_eq!(std::fs::read(folder.join("setups").join(format!("{digest}.json"))).unwrap(), b"{}");
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn store_configuration(
        &mut self,
        digest: &str,
        bytes: &[u8],
    ) -> Result<(), Report<StorageError>> {
        let context = "cannot write a setup";
        let (aside, name) = (self.path(NEW_SETUP), self.setup_path(digest));
        // Never written over: a half-done rename may have left both names on one file.
        self.files.remove(&aside).map_err(failed(context))?;
        let mut file = self.files.create(&aside).map_err(failed(context))?;
        file.write_all(bytes).map_err(failed(context))?;
        file.sync().map_err(failed(context))?;
        self.files.rename(&aside, &name).map_err(failed(context))?;
        self.files
            .sync_folder(&self.path(SETUPS))
            .map_err(failed(context))
    }

    /// Removes a setup's file. Which may go is decided by the register, from what refers to it; a file that comes back
    /// after a power cut does no harm.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-drop-{}", std::process::id()));
    /// let (mut storage, _) = storage::Storage::open(&folder).unwrap();
    /// let digest = protocol::digest(b"{}");
    /// storage.store_configuration(&digest, b"{}").unwrap();
    /// storage.delete_configuration(&digest).unwrap();
    /// storage.delete_configuration(&digest).unwrap();
    /// drop(storage);
    /// assert!(storage::Storage::open(&folder).unwrap().1.configurations.is_empty());
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn delete_configuration(&mut self, digest: &str) -> Result<(), Report<StorageError>> {
        self.files
            .remove(&self.setup_path(digest))
            .map_err(failed("cannot remove a setup"))
    }
}

/// Whether reading may remove what is damaged.
#[derive(Clone, Copy, PartialEq)]
enum Tidy {
    Yes,
    No,
}

fn read_setups(
    files: &dyn FileSystem,
    folder: &Path,
    contents: &mut Contents,
    tidy: Tidy,
) -> Result<(), Report<StorageError>> {
    let context = "cannot read setups";
    let configurations = folder.join(SETUPS);
    let names = match files.list(&configurations) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        names => names.map_err(failed(context))?,
    };
    if tidy == Tidy::Yes {
        // What is told as held must stay held: an earlier process may have ended between a rename and its sync.
        files
            .sync_folder(&configurations)
            .map_err(failed(context))?;
    }
    for name in names {
        let Some(digest) = name.strip_suffix(SETUP_ENDING) else {
            continue;
        };
        match files.read(&configurations.join(&name)) {
            Ok(bytes) if protocol::digest(&bytes) == digest => {
                contents.configurations.insert(digest.to_owned(), bytes);
            }
            Ok(_) => {
                contents
                    .damaged
                    .push(damaged_setup(&name, "does not match its digest".into()));
                if tidy == Tidy::Yes {
                    files
                        .remove(&configurations.join(&name))
                        .map_err(failed("cannot remove a damaged setup"))?;
                }
            }
            // It may be readable again later.
            Err(error) => contents
                .damaged
                .push(damaged_setup(&name, format!("can't be read: {error}"))),
        }
    }
    Ok(())
}

/// Why a state is not the newest that was synced: its promises would be older than those that were given.
fn older_state(found: &Numbered, confirmed: u64) -> Option<String> {
    let older = found.sequence < confirmed;
    older.then(|| {
        format!(
            "holds write {} though write {confirmed} was synced",
            found.sequence
        )
    })
}

fn damaged_state(finding: String) -> Damage {
    let consequence = "this voter counts as blank and takes the state from a majority of the others; \
                       where the file still exists it lies in word.damaged";
    Damage {
        file: STATE_FILE.into(),
        finding,
        consequence,
    }
}

fn damaged_setup(name: &str, finding: String) -> Damage {
    Damage {
        file: format!("{SETUPS}/{name}"),
        finding,
        consequence: "it is fetched from the others where it is needed",
    }
}

fn lock(
    files: &dyn FileSystem,
    folder: &Path,
) -> Result<Box<dyn FolderLock>, Report<StorageError>> {
    let lock = files
        .lock(folder)
        .map_err(failed("cannot lock the data folder"))?;
    lock.ok_or_else(|| {
        Report::new(StorageError::new(
            "another process uses this data folder",
            FailureKind::InUse,
        ))
    })
}

/// Makes the data folder and its parts, each with its name synced.
fn make_folders(files: &dyn FileSystem, folder: &Path) -> Result<(), Report<StorageError>> {
    let context = "cannot make the data folder";
    let missing =
        |folder: &&Path| !folder.as_os_str().is_empty() && !files.exists(folder).unwrap_or(true);
    let mut to_make: Vec<&Path> = folder.ancestors().take_while(missing).collect();
    while let Some(folder) = to_make.pop() {
        files.create_folder(folder).map_err(failed(context))?;
        sync_parent(files, folder).map_err(failed(context))?;
    }
    files
        .create_folder(&folder.join(SETUPS))
        .map_err(failed(context))?;
    files.sync_folder(folder).map_err(failed(context))?;
    // An earlier process may have ended before it did so.
    match sync_parent(files, folder) {
        Err(error) if error.kind() == io::ErrorKind::PermissionDenied => Ok(()),
        synced => synced.map_err(failed(context)),
    }
}

fn sync_parent(files: &dyn FileSystem, folder: &Path) -> io::Result<()> {
    let parent = folder.parent().unwrap_or(folder);
    files.sync_folder(if parent.as_os_str().is_empty() {
        Path::new(".")
    } else {
        parent
    })
}
