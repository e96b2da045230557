//! The disk's own thread: a bounded queue of writes ahead of it, and retries where the disk is full or failing.
//!
//! Writes are carried out in the order in which they came, and each is tried again until it is done: a voter whose disk
//! was full for a while takes part again by itself. Nothing is reported as synced before it is.

use error_stack::Report;
use log::{error, info, warn};
use protocol::DurableState;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use storage::{Storage, StorageError};
use transport::Clock;

/// How many writes may wait. The register hands out far fewer before it stays out of rounds.
const MAX_WAITING: usize = 256;
/// Removals are left out where more than this waits; the next start finds the files and drops them again.
const MAX_WAITING_FOR_REMOVALS: usize = 128;

/// Something to be written.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    State {
        write_id: u64,
        durable: DurableState,
    },
    Configuration {
        write_id: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    DeleteConfiguration {
        digest: String,
    },
}

/// What the disk reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskReport {
    /// The write with this ticket and all before it are synced.
    Synced { write_id: u64 },
    /// A write failed, and is tried again until it is done.
    Retrying,
    /// The write that failed is done.
    Recovered,
    /// A write was lost for want of room in the queue: nothing after it will ever be reported.
    Lost,
}

/// How long the disk rests between two tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    pub first: Duration,
    /// Each is twice as long as the one before, up to this.
    pub longest: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        RetryBackoff {
            first: Duration::from_millis(50),
            longest: Duration::from_secs(2),
        }
    }
}

impl RetryBackoff {
    /// The pause after so many failures in a row.
    ///
    /// ```
    /// let pauses = control_plane::disk::RetryBackoff::default();
    /// assert_eq!(pauses.after(1).as_millis(), 50);
    /// assert_eq!(pauses.after(3).as_millis(), 200);
    /// assert_eq!(pauses.after(1000), pauses.longest);
    /// ```
    pub fn after(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        (self.first * 2u32.pow(doublings)).min(self.longest)
    }
}

/// What the disk has done since the start, for operators.
#[derive(Default)]
pub struct DiskCounts {
    pub writes: AtomicU64,
    pub last_ms: AtomicU64,
    pub most_ms: AtomicU64,
    pub failures: AtomicU64,
    pub waiting: AtomicU64,
    /// True while a failed write is tried again.
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
    counts: Arc<DiskCounts>,
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The way to the disk's thread. It ends when this is dropped.
pub struct Disk {
    shared: Arc<Shared>,
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.shared.queue().closed = true;
        self.shared.changed.notify_all();
    }
}

impl Disk {
    /// Starts the thread. `report` hears of everything, in order; once it gives false, the thread ends.
    ///
    /// ```
    /// use control_plane::disk::{Disk, DiskReport, RetryBackoff, Write};
    /// let folder = std::env::temp_dir().join(format!("disk-start-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let (tell, told) = std::sync::mpsc::channel();
    /// let disk = Disk::start(storage, RetryBackoff::default(), transport::Clock::default(), move |report| tell.send(report).is_ok());
    /// disk.write(Write::State { write_id: 7, durable: Default::default() });
    /// assert_eq!(told.recv().unwrap(), DiskReport::Synced { write_id: 7 });
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn start(
        storage: Storage,
        pauses: RetryBackoff,
        clock: Clock,
        report: impl Fn(DiskReport) -> bool + Send + 'static,
    ) -> Disk {
        let shared = Arc::new(Shared::default());
        let worker = Worker {
            shared: shared.clone(),
            storage,
            pauses,
            clock,
            report,
        };
        std::thread::spawn(move || worker.run());
        Disk { shared }
    }

    /// Hands a write over. It never waits.
    pub fn write(&self, write: Write) {
        let mut queue = self.shared.queue();
        let removal = matches!(write, Write::DeleteConfiguration { .. });
        if removal && queue.waiting.len() >= MAX_WAITING_FOR_REMOVALS {
            return;
        }
        if queue.lost || queue.waiting.len() >= MAX_WAITING {
            // A later report would tell that this one is synced too.
            queue.lost = true;
        } else {
            queue.waiting.push_back(write);
        }
        self.shared
            .counts
            .waiting
            .store(queue.waiting.len() as u64, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }

    /// What the disk has done since the start.
    ///
    /// ```
    /// # use control_plane::disk::{Disk, RetryBackoff};
    /// let folder = std::env::temp_dir().join(format!("disk-counts-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let disk = Disk::start(storage, RetryBackoff::default(), transport::Clock::default(), |_| true);
    /// assert_eq!(disk.counts().failures.load(std::sync::atomic::Ordering::Relaxed), 0);
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn counts(&self) -> Arc<DiskCounts> {
        self.shared.counts.clone()
    }
}

/// Leaves out every state that a later one replaces, so that a burst of states costs one sync. A state stays where a
/// removal follows: the setup that goes may be named by the state before it.
///
/// ```
/// use control_plane::disk::{Write, merge};
/// let state = |write_id| Write::State { write_id, durable: Default::default() };
/// let removal = Write::DeleteConfiguration { digest: "a".into() };
/// let merged = merge(vec![state(1), state(2), removal.clone(), state(3), state(4)]);
/// assert_eq!(merged, [state(2), removal, state(4)]);
/// ```
pub fn merge(writes: Vec<Write>) -> Vec<Write> {
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
    pauses: RetryBackoff,
    clock: Clock,
    report: R,
}

/// The thread has nothing more to do.
struct Ended;

impl<R: Fn(DiskReport) -> bool> Worker<R> {
    fn run(mut self) {
        while let Ok(writes) = self.next_writes() {
            let done = merge(writes)
                .into_iter()
                .try_for_each(|write| self.carry_out(write));
            if done.is_err() {
                return;
            }
        }
    }

    /// Waits for writes; all that wait are taken at once.
    fn next_writes(&self) -> Result<Vec<Write>, Ended> {
        let mut queue = self.shared.queue();
        while queue.waiting.is_empty() {
            if queue.lost {
                drop(queue);
                error!(
                    "disk: more writes waited than there is room for; this voter stays out until it is started again"
                );
                (self.report)(DiskReport::Lost);
                return Err(Ended);
            }
            if queue.closed {
                return Err(Ended);
            }
            queue = self
                .shared
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let writes = queue.waiting.drain(..).collect();
        self.shared.counts.waiting.store(0, Ordering::Relaxed);
        Ok(writes)
    }

    fn carry_out(&mut self, write: Write) -> Result<(), Ended> {
        match write {
            Write::State { write_id, durable } => {
                self.retry(|storage| storage.keep(&durable))?;
                self.tell(DiskReport::Synced { write_id })
            }
            Write::Configuration {
                write_id,
                digest,
                bytes,
            } => {
                self.retry(|storage| storage.store_configuration(&digest, &bytes))?;
                self.tell(DiskReport::Synced { write_id })
            }
            Write::DeleteConfiguration { digest } => {
                // It takes room and nothing else: the next start finds it and drops it again.
                let dropped = self.storage.delete_configuration(&digest);
                dropped.unwrap_or_else(|failure| warn!("disk: {failure:#}"));
                Ok(())
            }
        }
    }

    fn tell(&self, report: DiskReport) -> Result<(), Ended> {
        if (self.report)(report) {
            Ok(())
        } else {
            Err(Ended)
        }
    }

    /// Tries a write until it is done.
    fn retry(
        &mut self,
        write: impl Fn(&mut Storage) -> Result<(), Report<StorageError>>,
    ) -> Result<(), Ended> {
        let first_at = self.clock.now();
        let mut failures = 0;
        loop {
            let begun_at = self.clock.now();
            let Err(failure) = write(&mut self.storage) else {
                self.count(begun_at);
                break;
            };
            failures += 1;
            self.shared.counts.failures.fetch_add(1, Ordering::Relaxed);
            if failures == 1 {
                error!(
                    "disk: a write failed; nothing is confirmed here until it is done, and it is tried again: {failure:#}"
                );
                self.shared.counts.retrying.store(true, Ordering::Relaxed);
                self.tell(DiskReport::Retrying)?;
            }
            self.rest(self.pauses.after(failures))?;
        }
        if failures > 0 {
            let lasted = self.clock.now() - first_at;
            info!("disk: works again, after {failures} failures in {lasted:?}");
            self.shared.counts.retrying.store(false, Ordering::Relaxed);
            self.tell(DiskReport::Recovered)?;
        }
        Ok(())
    }

    fn count(&self, begun_at: Duration) {
        let (counts, took) = (&self.shared.counts, self.clock.now() - begun_at);
        let took_ms = took.as_millis() as u64;
        counts.writes.fetch_add(1, Ordering::Relaxed);
        counts.last_ms.store(took_ms, Ordering::Relaxed);
        counts.most_ms.fetch_max(took_ms, Ordering::Relaxed);
    }

    /// Waits between two tries; cut short where the process ends.
    fn rest(&self, pause: Duration) -> Result<(), Ended> {
        let until = self.clock.now() + pause;
        let mut queue = self.shared.queue();
        loop {
            if queue.closed {
                return Err(Ended);
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
