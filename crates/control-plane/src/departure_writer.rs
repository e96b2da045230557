//! The thread that writes departures: beside the disk's own, so that no departure waits for the syncs of other writes.

use crate::disk::RetryBackoff;
use log::{error, info};
use protocol::Departure;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use storage::DepartureLog;

/// Departures to be written, and the ticket that they are reported by.
type Write = (u64, Vec<Departure>);

/// The way to the thread. It ends when this is dropped.
pub struct DepartureWriter {
    writes: Sender<Write>,
}

impl DepartureWriter {
    /// Starts the thread. `report` hears the ticket of each write once it is done; once it gives false, the thread ends.
    ///
    /// ```
    /// use control_plane::departure_writer::DepartureWriter;
    /// let folder = std::env::temp_dir().join(format!("departure-writer-{}", std::process::id()));
    /// let (storage, _) = storage::Storage::open(&folder).unwrap();
    /// let (log, _) = storage.departure_log(transport::since_boot());
    /// let (tell, told) = std::sync::mpsc::channel();
    /// let writer = DepartureWriter::start(log, Default::default(), move |write_id| tell.send(write_id).is_ok());
    /// writer.write(7, vec![]);
    /// assert_eq!(told.recv(), Ok(7));
    /// std::fs::remove_dir_all(&folder).unwrap();
    /// ```
    pub fn start(
        log: DepartureLog,
        pauses: RetryBackoff,
        report: impl Fn(u64) -> bool + Send + 'static,
    ) -> DepartureWriter {
        let (writes, waiting) = channel();
        std::thread::spawn(move || run(log, pauses, &waiting, report));
        DepartureWriter { writes }
    }

    /// Hands a write over. It never waits; a later write takes the place of one that fails.
    pub fn write(&self, write_id: u64, departures: Vec<Departure>) {
        // The thread ends before this only with the whole process.
        let _ = self.writes.send((write_id, departures));
    }
}

fn run(
    mut log: DepartureLog,
    pauses: RetryBackoff,
    waiting: &Receiver<Write>,
    report: impl Fn(u64) -> bool,
) {
    let mut failures = 0;
    let mut next = waiting.recv().ok();
    while let Some((write_id, departures)) = next {
        next = match log.keep(departures.clone(), transport::since_boot()) {
            Ok(()) => {
                if std::mem::take(&mut failures) > 0 {
                    info!("disk: departures are kept again");
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
                        "disk: departures can't be kept; none is acknowledged for this node meanwhile: {failure:#}"
                    );
                }
                match waiting.recv_timeout(pauses.after(failures)) {
                    Ok(later) => Some(later),
                    Err(RecvTimeoutError::Timeout) => Some((write_id, departures)),
                    Err(RecvTimeoutError::Disconnected) => None,
                }
            }
        };
    }
}
