//! A thread that writes departures: beside the storage thread, so that no departure waits for the syncs of other writes.

use super::RetryBackoff;
use log::{error, info};
use protocol::Departure;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use storage::DepartureLog;

/// Departures to be written, and the id that is reported once they are.
struct DepartureWrite {
    write_id: u64,
    departures: Vec<Departure>,
}

/// Handle to the thread, which ends when this is dropped.
pub struct DepartureWriter {
    writes: Sender<DepartureWrite>,
}

impl DepartureWriter {
    /// Starts the thread. `report` is called with the id of each write once it is done; once it returns
    /// false, the thread ends.
    ///
    /// ```
    /// use control_plane::persistence::DepartureWriter;
    /// let folder = std::env::temp_dir().join(format!("departure-writer-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let (log, _) = storage.departure_log(transport::since_boot());
    /// let (sender, reports) = std::sync::mpsc::channel();
    /// let writer = DepartureWriter::start(log, Default::default(), move |write_id| sender.send(write_id).is_ok());
    /// writer.write(7, vec![]);
    /// assert_eq!(reports.recv(), Ok(7));
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn start(
        log: DepartureLog,
        backoff: RetryBackoff,
        report: impl Fn(u64) -> bool + Send + 'static,
    ) -> DepartureWriter {
        let (writes, waiting) = channel();
        std::thread::spawn(move || run(log, backoff, &waiting, report));
        DepartureWriter { writes }
    }

    /// Queues a write. It never blocks; a later write takes the place of one that fails.
    pub fn write(&self, write_id: u64, departures: Vec<Departure>) {
        // The thread ends before this only with the whole process.
        let _ = self.writes.send(DepartureWrite {
            write_id,
            departures,
        });
    }
}

fn run(
    mut log: DepartureLog,
    backoff: RetryBackoff,
    waiting: &Receiver<DepartureWrite>,
    report: impl Fn(u64) -> bool,
) {
    let mut failures = 0;
    let mut next = waiting.recv().ok();
    while let Some(DepartureWrite {
        write_id,
        departures,
    }) = next
    {
        next = match log.write(departures.clone(), transport::since_boot()) {
            Ok(()) => {
                if std::mem::take(&mut failures) > 0 {
                    info!("storage: departures are written again");
                }
                if !report(write_id) {
                    return;
                }
                waiting.recv().ok()
            }
            Err(failure) => {
                failures += 1;
                if failures == 1 {
                    error!(
                        "storage: departures can't be written; none is acknowledged for this node meanwhile: {failure:#}"
                    );
                }
                match waiting.recv_timeout(backoff.after(failures)) {
                    Ok(later) => Some(later),
                    Err(RecvTimeoutError::Timeout) => Some(DepartureWrite {
                        write_id,
                        departures,
                    }),
                    Err(RecvTimeoutError::Disconnected) => None,
                }
            }
        };
    }
}
