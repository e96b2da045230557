//! The sequence number of the last write of the state that is known to be synced, in a small file of its own.
//!
//! Where the newest commit of the state file is corrupt, redb falls back to the one before: it can't tell corruption from
//! a write that a loss of power cut short. This file can: its number is written only after that write was synced. It is
//! never synced itself, so it costs no time; where it is lost, nothing worse happens than without it.

use crate::file_system::FileSystem;
use redb::StorageBackend;
use std::path::Path;

/// How many bytes a number takes.
const NUMBER_BYTES: usize = size_of::<u64>();
/// The number and its bitwise complement, which shows an incomplete write.
const FILE_BYTES: usize = 2 * NUMBER_BYTES;

/// The open file; none where it can't be opened.
#[derive(Debug)]
pub(crate) struct ConfirmedSequence(Option<Box<dyn StorageBackend>>);

impl ConfirmedSequence {
    /// Opens the file, making it where it is missing. After a failure it reads as 0 and ignores writes.
    pub(crate) fn open(files: &dyn FileSystem, path: &Path) -> ConfirmedSequence {
        let exists = files.exists(path).unwrap_or(false);
        ConfirmedSequence(files.open_database(path, !exists).ok())
    }

    /// The highest number known to be synced; 0 where nothing is known.
    pub(crate) fn read(&self) -> u64 {
        let mut bytes = [0; FILE_BYTES];
        match &self.0 {
            Some(file) if file.read(0, &mut bytes).is_ok() => decode(&bytes),
            _ => 0,
        }
    }

    /// Records that the write with this number is synced.
    pub(crate) fn record(&self, sequence: u64) {
        let bytes = [sequence.to_be_bytes(), (!sequence).to_be_bytes()].concat();
        if let Some(file) = &self.0 {
            // A failure leaves an older number, which does no harm.
            let _ = file.write(0, &bytes);
        }
    }
}

/// The number in the file's bytes; 0 where they are incomplete.
pub(crate) fn decode(bytes: &[u8]) -> u64 {
    let number = |from: usize| {
        let bytes = bytes.get(from..from + NUMBER_BYTES)?;
        bytes.try_into().ok().map(u64::from_be_bytes)
    };
    match (number(0), number(NUMBER_BYTES)) {
        (Some(sequence), Some(complement)) if complement == !sequence => sequence,
        _ => 0,
    }
}
