//! Signals that ask a process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process is asked to stop (SIGTERM or SIGINT); at once where signals can't be received. From the call
/// on, not only from the first look at the future, these signals don't end the process by themselves: a program calls
/// this before it begins any work.
///
/// ```no_run
/// # async fn wait() {
/// let stop = transport::stop_signal();
/// // Work that a signal must not cut short.
/// stop.await;
/// # }
/// ```
pub fn stop_signal() -> impl Future<Output = ()> {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    async {
        if let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
    }
}
