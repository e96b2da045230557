//! The voter's state in a redb file: one table, one value, sealed with a digest.

use crate::error::{FailureKind, StorageError};
use crate::files::{AnyBackend, FileSystem};
use error_stack::{Report, ResultExt};
use protocol::DurableState;
use redb::backends::InMemoryBackend;
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, StorageBackend, TableDefinition, TableError,
};
use std::io;
use std::path::Path;

const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const DURABLE: &str = "durable";
const SEQUENCE: &str = "sequence";
/// The state is far smaller.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// A state and the number of its write: each write's is higher than the one before.
#[derive(Clone, Debug, Default)]
pub(crate) struct Numbered {
    pub(crate) state: DurableState,
    pub(crate) sequence: u64,
}

/// What came of opening a state file.
pub(crate) enum Opened {
    /// No such file.
    Missing,
    /// The file can't be what was written; why.
    Damaged(String),
    Whole(Database, Numbered),
}

/// Why a read gave no state.
enum Unread {
    Damaged(String),
    Failed(redb::Error),
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    // A plain open trusts a file that was closed cleanly, and may panic where it rotted since.
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    builder
}

/// Opens an existing state file. Whatever it gives is on the disk: what an earlier process left in the system's cache
/// is synced first.
pub(crate) fn open(files: &dyn FileSystem, path: &Path) -> Result<Opened, Report<StorageError>> {
    let failed = |error: &io::Error| StorageError::from_io("cannot open word.redb", error);
    let backend = match files.open_database(path, false) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Opened::Missing),
        Err(error) => {
            let context = failed(&error);
            return Err(Report::new(error).change_context(context));
        }
        Ok(backend) => backend,
    };
    if let Err(error) = backend.sync_data() {
        let context = failed(&error);
        return Err(Report::new(error).change_context(context));
    }
    // redb would take an empty file for one to be made.
    if backend.len().is_ok_and(|length| length == 0) {
        return Ok(Opened::Damaged("the file is empty".into()));
    }
    open_backend(AnyBackend(backend))
}

/// Opens a copy of a state file's bytes, in memory: the file itself is not touched.
pub(crate) fn open_copy(bytes: &[u8]) -> Result<Opened, Report<StorageError>> {
    let memory = InMemoryBackend::new();
    let copied = memory
        .set_len(bytes.len() as u64)
        .and_then(|()| memory.write(0, bytes));
    copied
        .change_context_lazy(|| StorageError::new("cannot copy word.redb", FailureKind::Failing))?;
    match bytes.is_empty() {
        true => Ok(Opened::Damaged("the file is empty".into())),
        false => open_backend(memory),
    }
}

fn open_backend(backend: impl StorageBackend) -> Result<Opened, Report<StorageError>> {
    let database = match builder().create_with_backend(backend) {
        Ok(database) => database,
        Err(DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch) => {
            return Err(Report::new(StorageError::new(
                "another process uses this data folder",
                FailureKind::InUse,
            )));
        }
        Err(error) => match damage(error.into()) {
            Unread::Damaged(why) => return Ok(Opened::Damaged(why)),
            Unread::Failed(error) => return Err(unreadable(error)),
        },
    };
    match read(&database) {
        Ok(state) => Ok(Opened::Whole(database, state)),
        Err(Unread::Damaged(why)) => Ok(Opened::Damaged(why)),
        Err(Unread::Failed(error)) => Err(unreadable(error)),
    }
}

fn unreadable(error: redb::Error) -> Report<StorageError> {
    Report::new(error).change_context(StorageError::new(
        "cannot read word.redb",
        FailureKind::Failing,
    ))
}

/// Tells a damaged file from a disk that does not work just now: only the former may be given up.
fn damage(error: redb::Error) -> Unread {
    match error {
        redb::Error::Io(error) => match error.kind() {
            io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
                Unread::Damaged(error.to_string())
            }
            _ => Unread::Failed(redb::Error::Io(error)),
        },
        redb::Error::PreviousIo | redb::Error::DatabaseClosed => Unread::Failed(error),
        other => Unread::Damaged(other.to_string()),
    }
}

fn read(database: &Database) -> Result<Numbered, Unread> {
    let reading = database
        .begin_read()
        .map_err(|error| damage(error.into()))?;
    let table = match reading.open_table(STATE) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(Numbered::default()),
        Err(error) => return Err(damage(error.into())),
        Ok(table) => table,
    };
    let value = |key| match table.get(key) {
        Err(error) => Err(damage(error.into())),
        Ok(value) => Ok(value.map(|value| value.value().to_vec())),
    };
    let Some(packed) = value(DURABLE)? else {
        return Ok(Numbered::default());
    };
    let state = protocol::unpack(&packed);
    let state =
        state.ok_or_else(|| Unread::Damaged("the state does not match its digest".into()))?;
    // Files of earlier versions number nothing.
    let sequence = value(SEQUENCE)?
        .and_then(|bytes| bytes.try_into().ok())
        .map(u64::from_be_bytes);
    Ok(Numbered {
        state,
        sequence: sequence.unwrap_or(0),
    })
}

/// Makes a file that holds this state, synced. Its name is not.
pub(crate) fn create(
    files: &dyn FileSystem,
    path: &Path,
    state: &DurableState,
    sequence: u64,
) -> Result<Database, Report<StorageError>> {
    let context = || StorageError::new("cannot make word.redb", FailureKind::Failing);
    let backend = files.open_database(path, true).map_err(|error| {
        let context = StorageError::from_io("cannot make word.redb", &error);
        Report::new(error).change_context(context)
    })?;
    let database = builder()
        .create_with_backend(AnyBackend(backend))
        .change_context_lazy(context)?;
    write(&database, state, sequence)?;
    Ok(database)
}

/// Syncs this state.
pub(crate) fn write(
    database: &Database,
    state: &DurableState,
    sequence: u64,
) -> Result<(), Report<StorageError>> {
    let context = || StorageError::new("cannot write word.redb", FailureKind::Failing);
    let writing = database.begin_write().change_context_lazy(context)?;
    {
        let mut table = writing.open_table(STATE).change_context_lazy(context)?;
        table
            .insert(DURABLE, protocol::pack(state).as_slice())
            .change_context_lazy(context)?;
        table
            .insert(SEQUENCE, sequence.to_be_bytes().as_slice())
            .change_context_lazy(context)?;
    }
    writing.commit().change_context_lazy(context)
}
