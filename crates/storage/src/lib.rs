//! Everything that must outlive a process: the voter's state in redb, setups as plain files. All calls
//! block until the disk has synced, so they belong on a thread of their own.

use error_stack::{Report, ResultExt};
use protocol::DurableState;
use redb::{Database, DatabaseError, ReadableDatabase, TableDefinition};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const DURABLE: &str = "durable";

/// The disk could not be used.
#[derive(Debug)]
pub struct StorageError(String);

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "disk: {}", self.0)
    }
}

impl std::error::Error for StorageError {}

fn storage_error(text: impl Into<String>) -> StorageError {
    StorageError(text.into())
}

/// One data folder.
pub struct Storage {
    folder: PathBuf,
    database: Database,
}

/// What a data folder held when it was opened.
#[derive(Default)]
pub struct Contents {
    pub durable: DurableState,
    /// Undamaged setups by digest.
    pub setups: BTreeMap<String, Vec<u8>>,
    /// What was found damaged and counts as missing.
    pub damaged: Vec<String>,
}

impl Storage {
    /// Opens a data folder, making it where it is missing. What is damaged counts as missing.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-open-{}", std::process::id()));
    /// let (storage, contents) = storage::Storage::open(&folder).unwrap();
    /// assert_eq!(contents.durable.disk, 0);
    /// let digest = protocol::digest(b"{}");
    /// storage.keep_setup(&digest, b"{}").unwrap();
    /// storage.keep(&protocol::DurableState { disk: 7, ..Default::default() }).unwrap();
    /// drop(storage);
    /// std::fs::write(folder.join("setups").join(format!("{}.json", protocol::digest(b"x"))), b"rotten").unwrap();
    /// let (_, contents) = storage::Storage::open(&folder).unwrap();
    /// assert_eq!(contents.durable.disk, 7);
    /// assert_eq!(contents.setups[&digest], b"{}");
    /// assert_eq!(contents.damaged.len(), 1);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn open(folder: &Path) -> Result<(Storage, Contents), Report<StorageError>> {
        fs::create_dir_all(folder.join("setups")).change_context(storage_error("cannot make the data folder"))?;
        let mut contents = Contents::default();
        let file = folder.join("word.redb");
        let database = match Database::create(&file) {
            Err(DatabaseError::DatabaseAlreadyOpen) => {
                return Err(Report::new(storage_error("another process uses this data folder")));
            }
            Err(broken) => {
                contents.damaged.push(format!("word.redb: {broken}"));
                fs::rename(&file, folder.join("word.damaged"))
                    .change_context(storage_error("cannot move word.redb aside"))?;
                Database::create(&file).change_context(storage_error("cannot make word.redb"))?
            }
            Ok(database) => database,
        };
        let storage = Storage { folder: folder.to_owned(), database };
        let stored = storage.read_state();
        let readable = stored.as_deref().map(protocol::unpack);
        if readable == Some(None) {
            contents.damaged.push("word.redb: the state is damaged".into());
        }
        contents.durable = readable.flatten().unwrap_or_default();
        storage.read_setups(&mut contents)?;
        Ok((storage, contents))
    }

    fn read_state(&self) -> Option<Vec<u8>> {
        let reading = self.database.begin_read().ok()?;
        let table = reading.open_table(STATE).ok()?;
        let value = table.get(DURABLE).ok()??;
        Some(value.value().to_vec())
    }

    fn read_setups(&self, contents: &mut Contents) -> Result<(), Report<StorageError>> {
        let entries = fs::read_dir(self.folder.join("setups")).change_context(storage_error("cannot read setups"))?;
        entries.filter_map(Result::ok).for_each(|entry| {
            let name = entry.file_name().to_string_lossy().into_owned();
            let digest = name.strip_suffix(".json").map(str::to_owned);
            let bytes = fs::read(entry.path()).unwrap_or_default();
            match digest.filter(|digest| protocol::digest(&bytes) == *digest) {
                Some(digest) => {
                    contents.setups.insert(digest, bytes);
                }
                None => {
                    contents.damaged.push(name);
                    let _ = fs::remove_file(entry.path());
                }
            }
        });
        Ok(())
    }

    /// Syncs the voter's state.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-keep-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// storage.keep(&protocol::DurableState { lease_epoch: 3, ..Default::default() }).unwrap();
    /// drop(storage);
    /// assert_eq!(storage::Storage::open(&folder).unwrap().1.durable.lease_epoch, 3);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn keep(&self, durable: &DurableState) -> Result<(), Report<StorageError>> {
        let context = || storage_error("cannot write word.redb");
        let writing = self.database.begin_write().change_context_lazy(context)?;
        {
            let mut table = writing.open_table(STATE).change_context_lazy(context)?;
            table.insert(DURABLE, protocol::pack(durable).as_slice()).change_context_lazy(context)?;
        }
        writing.commit().change_context_lazy(context)
    }

    /// Syncs a setup as a plain file: written aside, synced, renamed, and the folder synced.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-setup-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let digest = protocol::digest(b"{}");
    /// storage.keep_setup(&digest, b"{}").unwrap();
    /// assert_eq!(std::fs::read(folder.join("setups").join(format!("{digest}.json"))).unwrap(), b"{}");
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn keep_setup(&self, digest: &str, bytes: &[u8]) -> Result<(), Report<StorageError>> {
        let context = || storage_error("cannot write a setup");
        let setups = self.folder.join("setups");
        let (aside, name) = (self.folder.join("setup.new"), setups.join(format!("{digest}.json")));
        let mut file = File::create(&aside).change_context_lazy(context)?;
        file.write_all(bytes).change_context_lazy(context)?;
        file.sync_all().change_context_lazy(context)?;
        fs::rename(&aside, &name).change_context_lazy(context)?;
        File::open(&setups).and_then(|folder| folder.sync_all()).change_context_lazy(context)?;
        Ok(())
    }

    /// Removes a setup's file. Which may go is decided by the register, from what refers to it; a file that comes back
    /// after a power cut does no harm.
    ///
    /// ```
    /// let folder = std::env::temp_dir().join(format!("storage-drop-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let digest = protocol::digest(b"{}");
    /// storage.keep_setup(&digest, b"{}").unwrap();
    /// storage.drop_setup(&digest).unwrap();
    /// storage.drop_setup(&digest).unwrap();
    /// drop(storage);
    /// assert!(storage::Storage::open(&folder).unwrap().1.setups.is_empty());
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn drop_setup(&self, digest: &str) -> Result<(), Report<StorageError>> {
        let file = self.folder.join("setups").join(format!("{digest}.json"));
        match fs::remove_file(file) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(error).change_context(storage_error("cannot remove a setup"))
            }
            _ => Ok(()),
        }
    }
}
