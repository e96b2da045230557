//! The number of the last write known to be synced, in a small file of its own.
//!
//! Where the newest commit of the state file has rotted, redb falls back to the one before: it can't tell rot from a
//! write that the power cut short. This file can: its number is written only after that write was synced. It is never
//! synced itself, so it costs no time; where it is lost, nothing worse happens than without it.

use crate::files::FileSystem;
use redb::StorageBackend;
use std::path::Path;

/// The number and its complement, each of eight bytes.
const LENGTH: usize = 16;

#[derive(Debug)]
pub(crate) struct Witness(Option<Box<dyn StorageBackend>>);

impl Witness {
    /// Opens the file, making it where it is missing. A failure leaves a witness that says nothing.
    pub(crate) fn open(files: &dyn FileSystem, path: &Path) -> Witness {
        let known = files.exists(path).unwrap_or(false);
        Witness(files.open_database(path, !known).ok())
    }

    /// The highest number known to be synced; 0 where nothing is known.
    pub(crate) fn read(&self) -> u64 {
        let mut bytes = [0; LENGTH];
        let read = self
            .0
            .as_ref()
            .and_then(|file| file.read(0, &mut bytes).ok());
        read.map(|()| decode(&bytes)).unwrap_or(0)
    }

    /// Notes that this write is synced.
    pub(crate) fn note(&self, sequence: u64) {
        let bytes = [sequence.to_be_bytes(), (!sequence).to_be_bytes()].concat();
        self.0.iter().for_each(|file| drop(file.write(0, &bytes)));
    }
}

/// The number in the file's bytes; 0 where they are not whole.
pub(crate) fn decode(bytes: &[u8]) -> u64 {
    let number = |from: usize| {
        bytes
            .get(from..from + 8)
            .and_then(|part| part.try_into().ok())
            .map(u64::from_be_bytes)
    };
    number(0)
        .filter(|sequence| number(8) == Some(!sequence))
        .unwrap_or(0)
}
