//! One connection to a peer: writes what its queue holds, and delivers what arrives.

use crate::link_queue::{Queue, QueuedEnvelope};
use crate::links::{Arrival, Links};
use crate::recorded_stream::set_unacknowledged_timeout;
use futures::{SinkExt, StreamExt};
use protocol::{Envelope, Frames};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite};

const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that are written before the writer waits for the kernel.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// A link whose other side acknowledges nothing for so long is closed, with all that the kernel holds for it: no view
/// in use is older, so nothing in it is missed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// One connection to a peer.
pub(crate) struct Link {
    links: Links,
    reader: FramedRead<OwnedReadHalf, Frames>,
    writer: FramedWrite<OwnedWriteHalf, Frames>,
    /// The sender is kept here, so that a newer link to the same node does not end this one.
    queue: Queue,
    /// True once the peer is known, and envelopes for it go into this link's queue.
    is_registered: bool,
}

/// What a link does next.
enum LinkEvent {
    Send(QueuedEnvelope),
    Received(Envelope),
    Closed,
}

impl Link {
    /// A link that the peer opened; its first envelope says who it is.
    pub(crate) fn accepted(links: Links, stream: TcpStream) -> Link {
        Link::new(links, stream, Queue::new(), false)
    }

    /// A link to a known peer, whose queue is registered already.
    pub(crate) fn dialled(links: Links, stream: TcpStream, queue: Queue) -> Link {
        Link::new(links, stream, queue, true)
    }

    fn new(links: Links, stream: TcpStream, queue: Queue, is_registered: bool) -> Link {
        // Nagle's algorithm only delays; without the option the link works as well.
        let _ = stream.set_nodelay(true);
        set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
        let (reader, writer) = stream.into_split();
        let frames = || Frames {
            most_bytes: MAX_FRAME_BYTES,
        };
        let mut writer = FramedWrite::new(writer, frames());
        writer.set_backpressure_boundary(WRITE_BUFFER_BYTES);
        Link {
            links,
            reader: FramedRead::new(reader, frames()),
            writer,
            queue,
            is_registered,
        }
    }

    /// Serves the connection until either side ends it.
    pub(crate) async fn run(mut self) {
        loop {
            let goes_on = match self.next_event().await {
                LinkEvent::Send(queued) => self.write(queued).await,
                LinkEvent::Received(envelope) => self.deliver(envelope).await,
                LinkEvent::Closed => false,
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn next_event(&mut self) -> LinkEvent {
        let received = if self.is_registered {
            tokio::select! {
                received = self.reader.next() => received,
                queued = self.queue.receiver.recv() => {
                    return queued.map_or(LinkEvent::Closed, LinkEvent::Send);
                }
            }
        } else {
            self.reader.next().await
        };
        match received {
            Some(Ok(envelope)) => LinkEvent::Received(envelope),
            Some(Err(_)) | None => LinkEvent::Closed,
        }
    }

    /// Writes an envelope unless it waited too long; false where the link is broken.
    async fn write(&mut self, queued: QueuedEnvelope) -> bool {
        let Some(envelope) = queued.if_recent() else {
            return true;
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.writer.send(envelope)).await;
        matches!(written, Ok(Ok(())))
    }

    /// Hands a message to the process; false where it takes no more.
    async fn deliver(&mut self, envelope: Envelope) -> bool {
        let Envelope { from, body } = envelope;
        if !self.is_registered {
            self.is_registered = true;
            let queue = self.queue.sender.clone();
            self.links.register(&from, queue);
        }
        let Some(payload) = body else { return true };
        self.links.deliver(Arrival { from, payload }).await
    }
}
