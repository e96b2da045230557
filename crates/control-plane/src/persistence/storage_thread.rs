//! A thread that writes the voter's state and configurations: a bounded queue ahead of it, and retries where the disk is
//! full or failing.
//!
//! Writes are executed in the order in which they were submitted, and each is retried until it succeeds: a voter whose disk
//! was full for a while takes part again by itself. Nothing is reported as synced before it is.

use super::RetryBackoff;
use error_stack::Report;
use log::{error, info, warn};
use protocol::DurableState;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use storage::{Storage, StorageError};
use transport::Clock;

/// Most writes that may be queued. The register submits far fewer before it stays out of rounds.
const QUEUE_CAPACITY: usize = 256;
/// Deletes are skipped where more than this is queued; the next start finds the files and deletes them.
const QUEUE_CAPACITY_FOR_DELETES: usize = 128;

/// A write to the data folder.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// The register's durable state; a later one replaces it.
    State {
        /// Reported once the state is synced.
        write_id: u64,
        /// The state to be written.
        durable: DurableState,
    },
    /// The bytes of a configuration.
    Configuration {
        /// Reported once the bytes are synced.
        write_id: u64,
        /// Digest of the bytes, by which states name them.
        digest: String,
        /// The configuration as it was submitted.
        bytes: Vec<u8>,
    },
    /// Delete a configuration that no state names any more.
    DeleteConfiguration {
        /// Digest of its bytes.
        digest: String,
    },
}

/// What the storage thread reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageReport {
    /// The write with this ticket and all before it are synced.
    Synced {
        /// Id of the write.
        write_id: u64,
    },
    /// A write failed, and is retried until it succeeds.
    Retrying,
    /// The write that failed has succeeded.
    Recovered,
    /// A write was lost because the queue was full: nothing after it will ever be reported.
    Lost,
}

/// What the storage thread has done since the start, for operators.
#[derive(Debug, Default)]
pub struct StorageStats {
    /// Writes that succeeded.
    pub writes: AtomicU64,
    /// How long the last write took, in milliseconds.
    pub last_ms: AtomicU64,
    /// How long the slowest write took, in milliseconds.
    pub max_ms: AtomicU64,
    /// Attempts that failed.
    pub failures: AtomicU64,
    /// Writes in the queue.
    pub queued: AtomicU64,
    /// True while a failed write is retried.
    pub retrying: AtomicBool,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<Write>,
    /// A write was lost.
    lost: bool,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    stats: Arc<StorageStats>,
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle to the storage thread, which ends when this is dropped.
pub struct StorageThread {
    shared: Arc<Shared>,
}

impl Drop for StorageThread {
    fn drop(&mut self) {
        self.shared.queue().closed = true;
        self.shared.changed.notify_all();
    }
}

impl StorageThread {
    /// Starts the thread. `report` is called with everything, in order; once it returns false, the thread ends.
    ///
    /// ```
    /// use control_plane::persistence::{StorageThread, StorageReport, RetryBackoff, Write};
    /// let folder = std::env::temp_dir().join(format!("disk-start-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let (tell, reports) = std::sync::mpsc::channel();
    /// let disk = StorageThread::start(storage, RetryBackoff::default(), transport::Clock::default(), move |report| tell.send(report).is_ok());
    /// disk.write(Write::State { write_id: 7, durable: Default::default() });
    /// assert_eq!(reports.recv().unwrap(), StorageReport::Synced { write_id: 7 });
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn start(
        storage: Storage,
        backoff: RetryBackoff,
        clock: Clock,
        report: impl Fn(StorageReport) -> bool + Send + 'static,
    ) -> StorageThread {
        let shared = Arc::new(Shared::default());
        let worker = Worker {
            shared: shared.clone(),
            storage,
            backoff,
            clock,
            report,
        };
        std::thread::spawn(move || worker.run());
        StorageThread { shared }
    }

    /// Queues a write. It never blocks.
    pub fn write(&self, write: Write) {
        let mut queue = self.shared.queue();
        let is_delete = matches!(write, Write::DeleteConfiguration { .. });
        if is_delete && queue.waiting.len() >= QUEUE_CAPACITY_FOR_DELETES {
            return;
        }
        if queue.lost || queue.waiting.len() >= QUEUE_CAPACITY {
            // The report of a later write would say that this one is synced too.
            queue.lost = true;
        } else {
            queue.waiting.push_back(write);
        }
        self.shared
            .stats
            .queued
            .store(queue.waiting.len() as u64, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }

    /// What the thread has done since the start.
    ///
    /// ```
    /// # use control_plane::persistence::{StorageThread, RetryBackoff};
    /// let folder = std::env::temp_dir().join(format!("disk-counts-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let disk = StorageThread::start(storage, RetryBackoff::default(), transport::Clock::default(), |_| true);
    /// assert_eq!(disk.stats().failures.load(std::sync::atomic::Ordering::Relaxed), 0);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn stats(&self) -> Arc<StorageStats> {
        self.shared.stats.clone()
    }
}

/// Drops every state that a later one replaces, so that a burst of states costs one sync. A state stays where a delete
/// follows: the deleted configuration may be named by the state before it.
///
/// ```
/// use control_plane::persistence::{Write, merge_writes};
/// let state = |write_id| Write::State { write_id, durable: Default::default() };
/// let delete = Write::DeleteConfiguration { digest: "a".into() };
/// let merged = merge_writes(vec![state(1), state(2), delete.clone(), state(3), state(4)]);
/// assert_eq!(merged, [state(2), delete, state(4)]);
/// ```
pub fn merge_writes(writes: Vec<Write>) -> Vec<Write> {
    let mut replaced = false;
    let mut kept: Vec<Write> = Vec::with_capacity(writes.len());
    for write in writes.into_iter().rev() {
        match &write {
            Write::State { .. } if replaced => continue,
            Write::State { .. } => replaced = true,
            Write::DeleteConfiguration { .. } => replaced = false,
            Write::Configuration { .. } => {}
        }
        kept.push(write);
    }
    kept.reverse();
    kept
}

struct Worker<R> {
    shared: Arc<Shared>,
    storage: Storage,
    backoff: RetryBackoff,
    clock: Clock,
    report: R,
}

/// The thread has to end: nobody submits writes or takes reports any more, or a write was lost.
struct ThreadStopped;

impl<R: Fn(StorageReport) -> bool> Worker<R> {
    fn run(mut self) {
        while let Ok(writes) = self.next_writes() {
            for write in merge_writes(writes) {
                if self.execute(write).is_err() {
                    return;
                }
            }
        }
    }

    /// Waits for writes; all that are queued are taken at once.
    fn next_writes(&self) -> Result<Vec<Write>, ThreadStopped> {
        let mut queue = self.shared.queue();
        while queue.waiting.is_empty() {
            if queue.lost {
                drop(queue);
                error!(
                    "storage: the write queue overflowed; this voter stays out until it is started again"
                );
                (self.report)(StorageReport::Lost);
                return Err(ThreadStopped);
            }
            if queue.closed {
                return Err(ThreadStopped);
            }
            queue = self
                .shared
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let writes = queue.waiting.drain(..).collect();
        self.shared.stats.queued.store(0, Ordering::Relaxed);
        Ok(writes)
    }

    fn execute(&mut self, write: Write) -> Result<(), ThreadStopped> {
        match write {
            Write::State { write_id, durable } => {
                self.retry(|storage| storage.persist_state(&durable))?;
                self.report(StorageReport::Synced { write_id })
            }
            Write::Configuration {
                write_id,
                digest,
                bytes,
            } => {
                self.retry(|storage| storage.store_configuration(&digest, &bytes))?;
                self.report(StorageReport::Synced { write_id })
            }
            Write::DeleteConfiguration { digest } => {
                // A file that stays only takes space: the next start finds and deletes it.
                if let Err(failure) = self.storage.delete_configuration(&digest) {
                    warn!("storage: {failure:#}");
                }
                Ok(())
            }
        }
    }

    fn report(&self, report: StorageReport) -> Result<(), ThreadStopped> {
        if (self.report)(report) {
            Ok(())
        } else {
            Err(ThreadStopped)
        }
    }

    /// Retries a write until it succeeds.
    fn retry(
        &mut self,
        write: impl Fn(&mut Storage) -> Result<(), Report<StorageError>>,
    ) -> Result<(), ThreadStopped> {
        let started_at = self.clock.now();
        let mut failures = 0;
        loop {
            let attempted_at = self.clock.now();
            let Err(failure) = write(&mut self.storage) else {
                self.count_write(attempted_at);
                break;
            };
            failures += 1;
            self.shared.stats.failures.fetch_add(1, Ordering::Relaxed);
            if failures == 1 {
                error!(
                    "storage: a write failed; nothing is confirmed here until it succeeds, and it is retried: {failure:#}"
                );
                self.shared.stats.retrying.store(true, Ordering::Relaxed);
                self.report(StorageReport::Retrying)?;
            }
            self.wait(self.backoff.after(failures))?;
        }
        if failures > 0 {
            let lasted = self.clock.now() - started_at;
            info!("storage: recovered after {failures} failures in {lasted:?}");
            self.shared.stats.retrying.store(false, Ordering::Relaxed);
            self.report(StorageReport::Recovered)?;
        }
        Ok(())
    }

    fn count_write(&self, attempted_at: Duration) {
        let stats = &self.shared.stats;
        let took_ms = (self.clock.now() - attempted_at).as_millis() as u64;
        stats.writes.fetch_add(1, Ordering::Relaxed);
        stats.last_ms.store(took_ms, Ordering::Relaxed);
        stats.max_ms.fetch_max(took_ms, Ordering::Relaxed);
    }

    /// Waits before a retry; ends early where the process ends.
    fn wait(&self, delay: Duration) -> Result<(), ThreadStopped> {
        let until = self.clock.now() + delay;
        let mut queue = self.shared.queue();
        loop {
            if queue.closed {
                return Err(ThreadStopped);
            }
            let left = until.saturating_sub(self.clock.now());
            if left.is_zero() {
                return Ok(());
            }
            let waited = self.shared.changed.wait_timeout(queue, left);
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
