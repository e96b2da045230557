//! The bounded queue before a link.

use protocol::Envelope;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How many envelopes wait for one peer.
const MAX_QUEUED: usize = 512;
/// How long an envelope may wait in a queue before it is dropped.
pub const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// An envelope in a link's queue.
pub(crate) struct QueuedEnvelope {
    envelope: Envelope,
    since: Instant,
}

impl QueuedEnvelope {
    pub(crate) fn new(envelope: Envelope) -> QueuedEnvelope {
        QueuedEnvelope {
            envelope,
            since: Instant::now(),
        }
    }

    /// The envelope; none where it waited too long.
    pub(crate) fn if_recent(self) -> Option<Envelope> {
        Some(self.envelope).filter(|_| self.since.elapsed() < MAX_QUEUE_TIME)
    }
}

/// Both ends of a link's queue.
pub(crate) struct Queue {
    pub(crate) sender: mpsc::Sender<QueuedEnvelope>,
    pub(crate) receiver: mpsc::Receiver<QueuedEnvelope>,
}

impl Queue {
    pub(crate) fn new() -> Queue {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        Queue { sender, receiver }
    }
}
