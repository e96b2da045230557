//! One data folder, open for this process.

use crate::configurations::{self, ReadMode};
use crate::confirmed_sequence::{self, ConfirmedSequence};
use crate::contents::{Contents, Damage};
use crate::data_folder;
use crate::departure_log::DepartureLog;
use crate::error::{StorageError, failed};
use crate::file_system::{FileSystem, FolderLock, RealFiles};
use crate::names::{CONFIRMED_SEQUENCE_FILE, DAMAGED_STATE_FILE, NEW_STATE_FILE, STATE_FILE};
use crate::state_file::{self, OpenedState};
use error_stack::Report;
use protocol::{Departure, DurableState};
use redb::Database;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// One data folder, locked for this process.
pub struct Storage {
    folder: PathBuf,
    files: Arc<dyn FileSystem>,
    /// None after a write failed: redb then refuses everything, and what a failed sync left on the disk is unknown. The
    /// next write makes a new file.
    database: Option<Database>,
    /// The number of the last write that was attempted.
    sequence: u64,
    confirmed: ConfirmedSequence,
    _lock: Box<dyn FolderLock>,
}

impl Storage {
    /// Opens a data folder, making it where it is missing. What is damaged counts as missing; what is returned is synced.
    ///
    /// # Errors
    ///
    /// Another process has the folder open, or the disk fails.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-open-{}", std::process::id()));
    /// let (mut storage, contents) = storage::Storage::open(&folder).unwrap();
    /// assert_eq!(contents.durable.disk, 0);
    /// let digest = protocol::digest(b"{}");
    /// storage.store_configuration(&digest, b"{}").unwrap();
    /// storage.persist_state(&protocol::DurableState { disk: 7, ..Default::default() }).unwrap();
    /// drop(storage);
    /// std::fs::write(folder.join("setups").join(format!("{}.json", protocol::digest(b"x"))), b"corrupt").unwrap();
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
    /// # Errors
    ///
    /// As for [`Storage::open`].
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
        data_folder::create(&*files, folder)?;
        let lock = data_folder::lock(&*files, folder)?;
        let confirmed = ConfirmedSequence::open(&*files, &folder.join(CONFIRMED_SEQUENCE_FILE));
        let mut storage = Storage {
            folder: folder.to_owned(),
            files,
            database: None,
            sequence: 0,
            confirmed,
            _lock: lock,
        };
        let mut contents = Contents::default();
        configurations::read_all(
            &*storage.files,
            &storage.folder,
            &mut contents,
            ReadMode::Repair,
        )?;
        storage.open_state(&mut contents)?;
        // An earlier process may have ended between a rename and its sync.
        storage.sync_folder()?;
        Ok((storage, contents))
    }

    /// What a data folder holds. Nothing in it is changed, whatever state it is in; no process may use it meanwhile.
    ///
    /// # Errors
    ///
    /// As for [`Storage::open`].
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-inspect-{}", std::process::id()));
    /// let (mut storage, _) = storage::Storage::open(&folder).unwrap();
    /// storage.persist_state(&protocol::DurableState { disk: 7, ..Default::default() }).unwrap();
    /// assert!(storage::Storage::inspect(&folder).is_err(), "it is in use");
    /// drop(storage);
    /// assert_eq!(storage::Storage::inspect(&folder).unwrap().durable.disk, 7);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn inspect(folder: &Path) -> Result<Contents, Report<StorageError>> {
        let files = RealFiles;
        let _lock = data_folder::lock(&files, folder)?;
        let mut contents = Contents::default();
        configurations::read_all(&files, folder, &mut contents, ReadMode::ReadOnly)?;
        let state = match files.read(&folder.join(STATE_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(contents),
            read => read.map_err(failed("cannot read word.redb"))?,
        };
        let confirmed = match files.read(&folder.join(CONFIRMED_SEQUENCE_FILE)) {
            Ok(bytes) => confirmed_sequence::decode(&bytes),
            Err(_) => 0,
        };
        match state_file::open_copy(&state)? {
            OpenedState::Valid(_, found) => {
                contents
                    .damaged
                    .extend(Damage::of_older_state(&found, confirmed));
                contents.durable = found.state;
            }
            OpenedState::Damaged(finding) => contents.damaged.push(Damage::of_state(finding)),
            OpenedState::Missing => {}
        }
        Ok(contents)
    }

    /// The log of departures in this folder, which has to stay open meanwhile, and the departures that an earlier
    /// process wrote less than a minute before `now`, the time since the machine's boot. The log may be written from any
    /// thread.
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

    /// Syncs the voter's state. After a failure, call it again: it then makes a new file.
    ///
    /// # Errors
    ///
    /// The disk fails. The state may be on it or not.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-persist-{}", std::process::id()));
    /// let (mut storage, _) = storage::Storage::open(&folder).unwrap();
    /// storage.persist_state(&protocol::DurableState { lease_epoch: 3, ..Default::default() }).unwrap();
    /// drop(storage);
    /// assert_eq!(storage::Storage::open(&folder).unwrap().1.durable.lease_epoch, 3);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn persist_state(&mut self, durable: &DurableState) -> Result<(), Report<StorageError>> {
        let Some(database) = &self.database else {
            return self.replace_state_file(durable);
        };
        self.sequence += 1;
        let written = state_file::write(database, durable, self.sequence);
        match &written {
            Ok(()) => self.confirmed.record(self.sequence),
            Err(_) => self.database = None,
        }
        written
    }

    /// Syncs a configuration as a plain file. After a failure, call it again.
    ///
    /// # Errors
    ///
    /// The disk fails.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-store-{}", std::process::id()));
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
        configurations::store(&*self.files, &self.folder, digest, bytes)
    }

    /// Removes a configuration's file. The register decides which may be removed, from what refers to it; a file that
    /// reappears after a loss of power does no harm.
    ///
    /// # Errors
    ///
    /// The disk fails.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-delete-{}", std::process::id()));
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
        configurations::delete(&*self.files, &self.folder, digest)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn sync_folder(&self) -> Result<(), Report<StorageError>> {
        self.files
            .sync_folder(&self.folder)
            .map_err(failed("cannot sync the data folder"))
    }

    /// Opens the state file. One that is damaged or older than what was synced is moved away, and a blank one made.
    fn open_state(&mut self, contents: &mut Contents) -> Result<(), Report<StorageError>> {
        let confirmed = self.confirmed.read();
        self.sequence = confirmed;
        match state_file::open(&*self.files, &self.path(STATE_FILE))? {
            OpenedState::Valid(database, found) => {
                match Damage::of_older_state(&found, confirmed) {
                    None => {
                        self.database = Some(database);
                        self.sequence = found.sequence;
                        contents.durable = found.state;
                        return Ok(());
                    }
                    Some(damage) => {
                        drop(database);
                        contents.damaged.push(damage);
                        self.move_damaged_state()?;
                    }
                }
            }
            OpenedState::Damaged(finding) => {
                contents.damaged.push(Damage::of_state(finding));
                self.move_damaged_state()?;
            }
            OpenedState::Missing => contents.damaged.extend(self.missing_state(contents)?),
        }
        self.replace_state_file(&contents.durable)
    }

    fn move_damaged_state(&self) -> Result<(), Report<StorageError>> {
        self.files
            .rename(&self.path(STATE_FILE), &self.path(DAMAGED_STATE_FILE))
            .map_err(failed("cannot move word.redb aside"))
    }

    /// A folder that was used before must hold a state.
    fn missing_state(&self, contents: &Contents) -> Result<Option<Damage>, Report<StorageError>> {
        let was_damaged = self
            .files
            .exists(&self.path(DAMAGED_STATE_FILE))
            .map_err(failed("cannot read the data folder"))?;
        let was_used = was_damaged || self.sequence > 0 || !contents.configurations.is_empty();
        let damage = || Damage::of_state("missing, though this folder was used before");
        Ok(was_used.then(damage))
    }

    /// Makes a new state file, and replaces the old one only once it is synced.
    fn replace_state_file(&mut self, state: &DurableState) -> Result<(), Report<StorageError>> {
        self.database = None;
        let new = self.path(NEW_STATE_FILE);
        self.files
            .remove(&new)
            .map_err(failed("cannot remove word.new"))?;
        self.sequence += 1;
        let database = state_file::create(&*self.files, &new, state, self.sequence)?;
        self.files
            .rename(&new, &self.path(STATE_FILE))
            .map_err(failed("cannot put word.redb in its place"))?;
        self.sync_folder()?;
        self.confirmed.record(self.sequence);
        self.database = Some(database);
        Ok(())
    }
}
