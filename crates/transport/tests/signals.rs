//! Signals that come before anything waits for them.

use std::process::Command;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(10);

/// A process that is told to stop while it starts has asked for the signal, and does not look at it yet.
#[tokio::test]
async fn a_signal_between_the_call_and_the_first_look_is_not_lost() {
    let stop = transport::stop_signal();
    let sent = Command::new("kill")
        .args(["-TERM", &std::process::id().to_string()])
        .status();
    assert!(sent.is_ok_and(|status| status.success()));
    tokio::time::timeout(LIMIT, stop)
        .await
        .expect("the signal is seen");
}
