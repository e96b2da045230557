//! Everything that must outlive a process: a voter's state in a redb database, configurations as plain files, and recent
//! departures of upstreams. All calls block until the disk has synced, so they belong on a thread of their own.
//!
//! A write is reported only once it would survive a loss of power. The order of the steps, and what a loss of power
//! leaves after each, is in docs/design/control/disks.md; tests/crashes.rs checks it on a simulated disk.

mod configurations;
mod confirmed_sequence;
mod contents;
mod data_folder;
mod departure_log;
mod error;
mod file_system;
mod names;
mod state_file;
mod storage;

pub use contents::{Contents, Damage};
pub use departure_log::DepartureLog;
pub use error::{FailureKind, StorageError};
pub use file_system::{FileSystem, FolderLock, NewFile, RealFiles};
pub use redb::StorageBackend;
pub use storage::Storage;
