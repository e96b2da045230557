//! Links to other processes: one TCP connection for each peer, with a bounded queue before it.
//!
//! An envelope goes over the connection that is open, or over a new one; where neither works, or the queue is full, it
//! is dropped, as the network may drop any message. So a slow peer holds up neither the sender nor other peers, and
//! protocols above must bear losses. What waits too long is dropped too, since messages tell ages as of their sending.

use crate::recorded_stream::set_unacknowledged_timeout;
use futures::{SinkExt, StreamExt};
use protocol::{Envelope, Frames, Message, Payload};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite};

const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// How many envelopes wait for one peer.
const MAX_QUEUED: usize = 512;
/// Beyond so many, links that have ended are forgotten.
const MAX_LINKS: usize = 4096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that are written before the writer waits for the kernel.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// The pause after a connection could not be accepted, for instance because descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long an envelope may wait in a queue before it is dropped.
pub const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
/// A link whose other side acknowledges nothing for so long is closed, with all that the kernel holds for it: no view
/// in use is older, so nothing in it is missed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// An envelope in a link's queue.
struct QueuedEnvelope {
    envelope: Envelope,
    since: Instant,
}

impl QueuedEnvelope {
    fn new(envelope: Envelope) -> QueuedEnvelope {
        QueuedEnvelope {
            envelope,
            since: Instant::now(),
        }
    }

    /// The envelope; none where it waited too long.
    fn if_recent(self) -> Option<Envelope> {
        Some(self.envelope).filter(|_| self.since.elapsed() < MAX_QUEUE_TIME)
    }
}

/// Both ends of a link's queue.
struct Queue {
    sender: mpsc::Sender<QueuedEnvelope>,
    receiver: mpsc::Receiver<QueuedEnvelope>,
}

impl Queue {
    fn new() -> Queue {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        Queue { sender, receiver }
    }
}

/// What is known about peers.
#[derive(Default)]
struct Peers {
    /// The queue of the newest link to each.
    queues: HashMap<String, mpsc::Sender<QueuedEnvelope>>,
    /// Where each can be reached.
    addresses: HashMap<String, String>,
}

impl Peers {
    /// The queue of a link that is up, or about to be.
    fn open_queue(&self, node: &str) -> Option<&mpsc::Sender<QueuedEnvelope>> {
        self.queues.get(node).filter(|queue| !queue.is_closed())
    }

    /// Makes a link's queue the one that envelopes for a node go into.
    fn register(&mut self, node: &str, queue: mpsc::Sender<QueuedEnvelope>) {
        if self.queues.len() >= MAX_LINKS {
            self.queues.retain(|_, queue| !queue.is_closed());
        }
        self.queues.insert(node.to_owned(), queue);
    }
}

/// A connection to open, with the queue that already holds envelopes for it.
struct Dial {
    address: String,
    queue: Queue,
}

/// How much of one kind of message was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// Number of messages.
    pub messages: u64,
    /// Their encoded length, without the frames' headers.
    pub bytes: u64,
}

/// What was sent since the process started, by kind of message.
pub type SentCounts = BTreeMap<&'static str, MessageCount>;

/// A message that was received, and the node that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Id of the sending node, as its envelope says.
    pub from: String,
    /// What it sent.
    pub payload: Payload,
}

/// All links of one process.
#[derive(Clone)]
pub struct Links {
    own_node: String,
    /// The address that connections go out from, so that the other side sees where they come from.
    source: Option<IpAddr>,
    peers: Arc<Mutex<Peers>>,
    sent: Arc<Mutex<SentCounts>>,
    arrivals: mpsc::Sender<Arrival>,
}

impl Links {
    /// Accepts links on a socket, and hands what arrives to `arrivals`. The socket is served until the process ends.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use protocol::{Payload, Read};
    /// let (arrivals, mut arrived) = tokio::sync::mpsc::channel(8);
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let _b = transport::Links::open("b".into(), Some(socket), arrivals);
    /// let a = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(8).0);
    /// a.set_addresses([("b".into(), address)].into());
    /// let read = Payload::Read(Read { nonce: 7, ..Default::default() });
    /// a.send("b", read.clone());
    /// assert_eq!(arrived.recv().await, Some(transport::Arrival { from: "a".into(), payload: read }));
    /// # });
    /// ```
    pub fn open(
        own_node: String,
        socket: Option<TcpListener>,
        arrivals: mpsc::Sender<Arrival>,
    ) -> Links {
        let source = socket
            .as_ref()
            .and_then(|socket| socket.local_addr().ok())
            .map(|address| address.ip());
        let links = Links {
            own_node,
            source,
            peers: Arc::default(),
            sent: Arc::default(),
            arrivals,
        };
        if let Some(socket) = socket {
            tokio::spawn(links.clone().accept(socket));
        }
        links
    }

    async fn accept(self, socket: TcpListener) {
        loop {
            match socket.accept().await {
                Ok((stream, _)) => {
                    let link = Link::accepted(self.clone(), stream);
                    tokio::spawn(link.run());
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Sets where nodes can be reached, as membership knows it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let links = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(1).0);
    /// links.set_addresses([("b".into(), "127.0.0.1:1".into())].into());
    /// # });
    /// ```
    pub fn set_addresses(&self, addresses: HashMap<String, String>) {
        self.with_peers(|peers| peers.addresses = addresses);
    }

    fn with_peers<T>(&self, change: impl FnOnce(&mut Peers) -> T) -> T {
        change(&mut self.peers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends a message to a node, or drops it where the node can't be reached or is too slow.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let links = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(1).0);
    /// links.send("nobody", protocol::Payload::Bootstrapped(Default::default()));
    /// # });
    /// ```
    pub fn send(&self, to: &str, payload: Payload) {
        let kind = protocol::kind(&payload);
        let envelope = Envelope {
            from: self.own_node.clone(),
            body: Some(payload),
        };
        self.count_sent(kind, envelope.encoded_len() as u64);
        if let Some(dial) = self.enqueue(to, envelope) {
            tokio::spawn(self.clone().dial(dial));
        }
    }

    fn count_sent(&self, kind: &'static str, bytes: u64) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let count = sent.entry(kind).or_default();
        count.messages += 1;
        count.bytes += bytes;
    }

    /// Puts an envelope into the queue of a node's link. Where there is no link but an address, a new queue is
    /// registered at once, so that what follows waits behind the envelope in order, and a connection is to be opened.
    fn enqueue(&self, to: &str, envelope: Envelope) -> Option<Dial> {
        self.with_peers(|peers| {
            if let Some(queue) = peers.open_queue(to) {
                // A full queue drops the envelope.
                let _ = queue.try_send(QueuedEnvelope::new(envelope));
                return None;
            }
            let address = peers.addresses.get(to).cloned()?;
            let queue = Queue::new();
            let _ = queue.sender.try_send(QueuedEnvelope::new(envelope));
            peers.queues.insert(to.to_owned(), queue.sender.clone());
            Some(Dial { address, queue })
        })
    }

    /// Opens a connection and serves it; where that fails, what waits in the queue is dropped with it.
    async fn dial(self, dial: Dial) {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(&dial.address)).await;
        if let Ok(Ok(stream)) = connected {
            Link::dialled(self, stream, dial.queue).run().await;
        }
    }

    /// What was sent since the start, by kind; what was dropped on the way counts too.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let links = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(1).0);
    /// links.send("nobody", protocol::Payload::UpstreamsRequest(Default::default()));
    /// assert_eq!(links.sent_counts()["rollAsk"].messages, 1);
    /// # });
    /// ```
    pub fn sent_counts(&self) -> SentCounts {
        self.sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn connect(&self, address: &str) -> std::io::Result<TcpStream> {
        let to: SocketAddr = address.parse().map_err(std::io::Error::other)?;
        let socket = if to.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        // So that no port is kept from a process that restarts and listens there.
        socket.set_reuseaddr(true)?;
        let source = self
            .source
            .filter(|source| !source.is_unspecified() && source.is_ipv4() == to.is_ipv4());
        if let Some(source) = source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        socket.connect(to).await
    }
}

/// One connection to a peer.
struct Link {
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
    fn accepted(links: Links, stream: TcpStream) -> Link {
        Link::new(links, stream, Queue::new(), false)
    }

    /// A link to a known peer, whose queue is registered already.
    fn dialled(links: Links, stream: TcpStream, queue: Queue) -> Link {
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
    async fn run(mut self) {
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
            self.links.with_peers(|peers| peers.register(&from, queue));
        }
        let Some(payload) = body else { return true };
        let arrival = Arrival { from, payload };
        self.links.arrivals.send(arrival).await.is_ok()
    }
}

/// Sends one message as a datagram; a full socket loses it, as the network may.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
/// transport::send_datagram(&socket, "nowhere", protocol::Payload::Bootstrapped(Default::default()));
/// # });
/// ```
pub fn send_datagram(socket: &UdpSocket, address: &str, payload: Payload) {
    let Ok(to) = address.parse::<SocketAddr>() else {
        return;
    };
    let envelope = Envelope {
        from: String::new(),
        body: Some(payload),
    };
    let _ = socket.try_send_to(&envelope.encode_to_vec(), to);
}
