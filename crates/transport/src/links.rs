//! Links to other processes: one TCP connection for each peer, with a bounded queue before it.
//!
//! An envelope goes over the connection that is open, or over a new one; where neither works, or the queue is full, it
//! is dropped, as the network may drop any message. So a slow peer holds up neither the sender nor other peers, and
//! protocols above must bear losses. What waits too long is dropped too, since messages tell ages as of their sending.

use crate::link::Link;
use crate::link_queue::{Queue, QueuedEnvelope};
use protocol::{Envelope, Message, Payload};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;

/// Beyond so many, links that have ended are forgotten.
const MAX_LINKS: usize = 4096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The pause after a connection could not be accepted, for instance because descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

    /// Hands a received message to the process; false where it takes no more.
    pub(crate) async fn deliver(&self, arrival: Arrival) -> bool {
        self.arrivals.send(arrival).await.is_ok()
    }

    /// Makes a link's queue the one that messages for a node go into.
    pub(crate) fn register(&self, node: &str, queue: mpsc::Sender<QueuedEnvelope>) {
        self.with_peers(|peers| peers.register(node, queue));
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
