//! The voter's state in a redb database: one table, with the state as one value under its digest, and its sequence
//! number.

use crate::error::{FailureKind, StorageError, failed, in_use};
use crate::file_system::{BoxedBackend, FileSystem};
use error_stack::{Report, ResultExt};
use protocol::DurableState;
use redb::backends::InMemoryBackend;
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, StorageBackend, TableDefinition, TableError,
};
use std::io;
use std::path::Path;

/// The only table. Its name and keys are part of the file format.
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
/// The key of the state, as [`protocol::pack`] writes it.
const DURABLE: &str = "durable";
/// The key of the sequence number, eight bytes, big-endian.
const SEQUENCE: &str = "sequence";
/// The size of the database's cache. The state is far smaller.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// What is wrong with a file without any bytes.
const EMPTY_FILE: &str = "the file is empty";

/// A state and the sequence number of its write: each write's is higher than the one before.
#[derive(Clone, Debug, Default)]
pub(crate) struct NumberedState {
    pub(crate) state: DurableState,
    pub(crate) sequence: u64,
}

/// The outcome of opening a state file.
pub(crate) enum OpenedState {
    /// There is no such file.
    Missing,
    /// The file can't be what was written; the reason.
    Damaged(String),
    /// The file is valid.
    Valid(Database, NumberedState),
}

/// Why a state can't be read.
enum ReadError {
    /// The file can't be what was written; the reason.
    Damaged(String),
    /// The disk does not work at the moment.
    Failed(redb::Error),
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    // A plain open trusts a file that was closed cleanly, and may panic where it was corrupted since.
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    builder
}

/// Opens an existing state file. What it returns is on the disk: what an earlier process left in the system's cache is
/// synced first.
pub(crate) fn open(
    files: &dyn FileSystem,
    path: &Path,
) -> Result<OpenedState, Report<StorageError>> {
    let step = "cannot open word.redb";
    let backend = match files.open_database(path, false) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(OpenedState::Missing),
        opened => opened.map_err(failed(step))?,
    };
    backend.sync_data().map_err(failed(step))?;
    // redb would take an empty file for a new one.
    if backend.len().is_ok_and(|length| length == 0) {
        return Ok(OpenedState::Damaged(EMPTY_FILE.into()));
    }
    open_backend(BoxedBackend(backend))
}

/// Opens a copy of a state file's bytes, in memory: the file itself is not touched.
pub(crate) fn open_copy(bytes: &[u8]) -> Result<OpenedState, Report<StorageError>> {
    let memory = InMemoryBackend::new();
    let copied = memory
        .set_len(bytes.len() as u64)
        .and_then(|()| memory.write(0, bytes));
    copied
        .change_context_lazy(|| StorageError::new("cannot copy word.redb", FailureKind::Failing))?;
    if bytes.is_empty() {
        return Ok(OpenedState::Damaged(EMPTY_FILE.into()));
    }
    open_backend(memory)
}

fn open_backend(backend: impl StorageBackend) -> Result<OpenedState, Report<StorageError>> {
    let database = match builder().create_with_backend(backend) {
        Ok(database) => database,
        Err(DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch) => {
            return Err(in_use());
        }
        Err(error) => match classify(error.into()) {
            ReadError::Damaged(finding) => return Ok(OpenedState::Damaged(finding)),
            ReadError::Failed(error) => return Err(unreadable(error)),
        },
    };
    match read(&database) {
        Ok(state) => Ok(OpenedState::Valid(database, state)),
        Err(ReadError::Damaged(finding)) => Ok(OpenedState::Damaged(finding)),
        Err(ReadError::Failed(error)) => Err(unreadable(error)),
    }
}

fn unreadable(error: redb::Error) -> Report<StorageError> {
    Report::new(error).change_context(StorageError::new(
        "cannot read word.redb",
        FailureKind::Failing,
    ))
}

/// Distinguishes a damaged file from a disk that does not work at the moment: only the former may be given up.
fn classify(error: redb::Error) -> ReadError {
    match error {
        redb::Error::Io(error) => match error.kind() {
            io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
                ReadError::Damaged(error.to_string())
            }
            _ => ReadError::Failed(redb::Error::Io(error)),
        },
        redb::Error::PreviousIo | redb::Error::DatabaseClosed => ReadError::Failed(error),
        other => ReadError::Damaged(other.to_string()),
    }
}

fn read(database: &Database) -> Result<NumberedState, ReadError> {
    let reading = database
        .begin_read()
        .map_err(|error| classify(error.into()))?;
    let table = match reading.open_table(STATE) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(NumberedState::default()),
        Err(error) => return Err(classify(error.into())),
        Ok(table) => table,
    };
    let value = |key| match table.get(key) {
        Err(error) => Err(classify(error.into())),
        Ok(value) => Ok(value.map(|value| value.value().to_vec())),
    };
    let Some(packed) = value(DURABLE)? else {
        return Ok(NumberedState::default());
    };
    let state = protocol::unpack(&packed)
        .ok_or_else(|| ReadError::Damaged("the state does not match its digest".into()))?;
    // Files of the first versions have no sequence number.
    let sequence = value(SEQUENCE)?
        .and_then(|bytes| bytes.try_into().ok())
        .map(u64::from_be_bytes);
    Ok(NumberedState {
        state,
        sequence: sequence.unwrap_or(0),
    })
}

/// Makes a file with this state, and syncs it. Its name is not synced.
pub(crate) fn create(
    files: &dyn FileSystem,
    path: &Path,
    state: &DurableState,
    sequence: u64,
) -> Result<Database, Report<StorageError>> {
    let context = || StorageError::new("cannot make word.redb", FailureKind::Failing);
    let backend = files
        .open_database(path, true)
        .map_err(failed("cannot make word.redb"))?;
    let database = builder()
        .create_with_backend(BoxedBackend(backend))
        .change_context_lazy(context)?;
    write(&database, state, sequence)?;
    Ok(database)
}

/// Writes this state, and syncs it.
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
