//! Departures of upstreams, stored for the next incarnation of this process.
//!
//! They are never synced: what is written outlives the end of the process, and a machine that lost its power starts
//! again only after the few seconds in which they matter. Two files are written in turn, so that an incomplete write
//! leaves the one before.

use crate::error::{StorageError, failed};
use crate::file_system::FileSystem;
use crate::names::DEPARTURES_FILES;
use error_stack::Report;
use protocol::{Departure, DeparturesFile};
use redb::StorageBackend;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// How long departures are remembered across a restart: as long as in memory.
const RETENTION: Duration = Duration::from_secs(60);
/// How many bytes the length of a record takes. It is ahead of the record, since the file may hold the end of a longer
/// one behind it.
const LENGTH_BYTES: usize = 8;

/// The two files, written by one thread.
pub struct DepartureLog {
    files: Arc<dyn FileSystem>,
    folder: PathBuf,
    open: [Option<Box<dyn StorageBackend>>; 2],
    sequence: u64,
}

/// The record in the file's bytes; none where it is incomplete.
fn decode(bytes: &[u8]) -> Option<DeparturesFile> {
    let (length, rest) = bytes.split_at_checked(LENGTH_BYTES)?;
    let length = u64::from_be_bytes(length.try_into().ok()?);
    let length = usize::try_from(length).ok()?;
    protocol::unpack(rest.get(..length)?)
}

fn encode(record: &DeparturesFile) -> Vec<u8> {
    let packed = protocol::pack(record);
    [(packed.len() as u64).to_be_bytes().as_slice(), &packed].concat()
}

impl DepartureLog {
    /// Opens the log in a data folder that this process has locked, and returns what an earlier process wrote there less
    /// than 60 s before `now`, the time since the machine's boot. Files that can't be read, or have a later time, from
    /// before the last boot, count as missing.
    pub(crate) fn open(
        files: Arc<dyn FileSystem>,
        folder: &Path,
        now: Duration,
    ) -> (DepartureLog, Vec<Departure>) {
        let records = DEPARTURES_FILES
            .iter()
            .filter_map(|name| decode(&files.read(&folder.join(name)).ok()?));
        let latest = records
            .max_by_key(|record| record.sequence)
            .unwrap_or_default();
        let log = DepartureLog {
            files,
            folder: folder.to_owned(),
            open: [None, None],
            sequence: latest.sequence,
        };
        let age_ms = (now.as_millis() as u64).checked_sub(latest.written_at_ms);
        let is_recent = age_ms.is_some_and(|age_ms| Duration::from_millis(age_ms) < RETENTION);
        let departures = if is_recent {
            latest.departures
        } else {
            Vec::new()
        };
        (log, departures)
    }

    /// Writes these departures; they replace those of the write before the last one.
    ///
    /// # Errors
    ///
    /// The disk fails. The departures written before are still there.
    ///
    /// ```
    /// use std::time::Duration;
    /// let folder = std::env::temp_dir().join(format!("storage-departures-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let draining = protocol::Departure { instance: "a".into(), state: 1, ..Default::default() };
    /// let now = Duration::from_secs(3600);
    /// let mut log = storage.departure_log(now).0;
    /// log.write(vec![draining.clone()], now).unwrap();
    /// assert_eq!(storage.departure_log(now).1, [draining]);
    /// assert!(storage.departure_log(now + Duration::from_secs(60)).1.is_empty(), "too long ago");
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn write(
        &mut self,
        departures: Vec<Departure>,
        now: Duration,
    ) -> Result<(), Report<StorageError>> {
        self.sequence += 1;
        let record = DeparturesFile {
            sequence: self.sequence,
            written_at_ms: now.as_millis() as u64,
            departures,
        };
        let written = self.write_record(&encode(&record));
        if written.is_err() {
            // A retry may find the disk repaired, with other files.
            self.open = [None, None];
        }
        written.map_err(failed("cannot write departures"))
    }

    fn write_record(&mut self, bytes: &[u8]) -> io::Result<()> {
        let turn = (self.sequence % 2) as usize;
        if self.open[turn].is_none() {
            let path = self.folder.join(DEPARTURES_FILES[turn]);
            let exists = self.files.exists(&path)?;
            self.open[turn] = Some(self.files.open_database(&path, !exists)?);
        }
        match &self.open[turn] {
            Some(file) => file.write(0, bytes),
            None => Ok(()),
        }
    }
}
