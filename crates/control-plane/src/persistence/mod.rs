//! Threads that write to the data folder, so that the event loop never waits for a disk.

mod departure_writer;
mod retry_backoff;
mod storage_thread;

pub use departure_writer::DepartureWriter;
pub use retry_backoff::RetryBackoff;
pub use storage_thread::{StorageReport, StorageStats, StorageThread, Write, merge_writes};
