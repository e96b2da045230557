//! Signals that ask a process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process is asked to stop (SIGTERM or SIGINT); at once where signals can't be received.
///
/// ```no_run
/// # async fn wait() {
/// transport::stop_signal().await;
/// # }
/// ```
pub async fn stop_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    if let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
