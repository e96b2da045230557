//! Held connections to other processes. A envelope to a node goes over the connection that is open, or a new
//! one; where neither works it is dropped, as any message may be.

use crate::wire::close_unacknowledged_after;
use futures::{SinkExt, StreamExt};
use protocol::{Envelope, Frames, Message, Payload};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite};

const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const MAX_WAITING: usize = 512;
/// Beyond so many, links that have ended are forgotten.
const MAX_LINKS: usize = 4096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const WRITE_WITHIN: Duration = Duration::from_secs(3);
/// What waited so long to be sent is dropped: messages tell ages as of their sending, and none of them may be counted on.
pub const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
/// A link whose other side takes nothing for so long is closed, with all that lies in the kernel: no view in use is
/// older, so nothing in it is missed.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(2);

/// A message in a link's queue.
struct Waiting {
    envelope: Envelope,
    since: Instant,
}

impl Waiting {
    fn now(envelope: Envelope) -> Waiting {
        Waiting {
            envelope,
            since: Instant::now(),
        }
    }

    /// The message, where it is still worth sending.
    fn in_time(self) -> Option<Envelope> {
        Some(self.envelope).filter(|_| self.since.elapsed() < MAX_QUEUE_TIME)
    }
}

#[derive(Default)]
struct Table {
    open: HashMap<String, mpsc::Sender<Waiting>>,
    addresses: HashMap<String, String>,
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

type Waitlist = (mpsc::Sender<Waiting>, mpsc::Receiver<Waiting>);

/// All links of one process.
#[derive(Clone)]
pub struct Links {
    me: String,
    /// The number that connections go out from, so that the other side sees where they come from.
    source: Option<IpAddr>,
    table: Arc<Mutex<Table>>,
    sent: Arc<Mutex<SentCounts>>,
    arrivals: mpsc::Sender<Arrival>,
}

impl Links {
    /// Accepts links on a socket and hands what arrives to `arrivals`.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use protocol::{Payload, Read};
    /// let (told, mut heard) = tokio::sync::mpsc::channel(8);
    /// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = socket.local_addr().unwrap().to_string();
    /// let _b = transport::Links::open("b".into(), Some(socket), told);
    /// let a = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(8).0);
    /// a.set_addresses([("b".into(), address)].into());
    /// let read = Payload::Read(Read { nonce: 7, ..Default::default() });
    /// a.send("b", read.clone());
    /// assert_eq!(heard.recv().await, Some(transport::Arrival { from: "a".into(), payload: read }));
    /// # });
    /// ```
    pub fn open(me: String, socket: Option<TcpListener>, arrivals: mpsc::Sender<Arrival>) -> Links {
        let source = socket
            .as_ref()
            .and_then(|socket| socket.local_addr().ok())
            .map(|address| address.ip());
        let links = Links {
            me,
            source,
            table: Arc::default(),
            sent: Arc::default(),
            arrivals,
        };
        socket.into_iter().for_each(|socket| {
            let links = links.clone();
            tokio::spawn(async move {
                loop {
                    match socket.accept().await {
                        Ok((stream, _)) => drop(tokio::spawn(links.clone().hold(stream, None))),
                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
            });
        });
        links
    }

    /// Where nodes can be reached, as membership knows it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let links = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(1).0);
    /// links.set_addresses([("b".into(), "127.0.0.1:1".into())].into());
    /// # });
    /// ```
    pub fn set_addresses(&self, addresses: HashMap<String, String>) {
        self.with(|table| table.addresses = addresses);
    }

    fn with<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        change(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends a body to a node, or drops it where the node can't be reached or is too slow.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let links = transport::Links::open("a".into(), None, tokio::sync::mpsc::channel(1).0);
    /// links.send("nobody", protocol::Payload::Bootstrapped(Default::default()));
    /// # });
    /// ```
    pub fn send(&self, to: &str, body: Payload) {
        let kind = protocol::kind(&body);
        let envelope = Envelope {
            from: self.me.clone(),
            body: Some(body),
        };
        {
            let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
            let counts = sent.entry(kind).or_default();
            counts.messages += 1;
            counts.bytes += envelope.encoded_len() as u64;
        }
        let dial = self.with(|table| {
            let open = table.open.get(to).filter(|sender| !sender.is_closed());
            if let Some(sender) = open {
                let _ = sender.try_send(Waiting::now(envelope));
                return None;
            }
            let address = table.addresses.get(to).cloned();
            address.map(|address| {
                // Registered at once, so that what follows waits behind it in order.
                let (sender, receiver) = mpsc::channel(MAX_WAITING);
                let _ = sender.try_send(Waiting::now(envelope));
                table.open.insert(to.to_owned(), sender.clone());
                (address, (sender, receiver))
            })
        });
        dial.into_iter().for_each(|(address, waitlist)| {
            let links = self.clone();
            tokio::spawn(async move {
                let connected =
                    tokio::time::timeout(CONNECT_TIMEOUT, links.connect(&address)).await;
                if let Ok(Ok(stream)) = connected {
                    links.hold(stream, Some(waitlist)).await;
                }
            });
        });
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
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        let source = self
            .source
            .filter(|source| !source.is_unspecified() && source.is_ipv4() == to.is_ipv4());
        // So that no port is kept from a process that starts again and listens there.
        socket.set_reuseaddr(true)?;
        source
            .map(|source| socket.bind(SocketAddr::new(source, 0)))
            .transpose()?;
        socket.connect(to).await
    }

    /// Serves one connection until either side ends it. An accepted one is known by its first envelope.
    async fn hold(self, stream: TcpStream, dialled: Option<Waitlist>) {
        let _ = stream.set_nodelay(true);
        close_unacknowledged_after(&stream, ACKNOWLEDGED_WITHIN);
        let (reader, writer) = stream.into_split();
        let frames = || Frames {
            most_bytes: MAX_FRAME_BYTES,
        };
        let mut reader = FramedRead::new(reader, frames());
        let mut writer = FramedWrite::new(writer, frames());
        writer.set_backpressure_boundary(64 * 1024);
        // The sender is kept here, so that a newer link to the same node does not end this one.
        let mut registered = dialled.is_some();
        let (sender, mut receiver) = dialled.unwrap_or_else(|| mpsc::channel(MAX_WAITING));
        loop {
            let next = if registered {
                tokio::select! {
                    arrived = reader.next() => Err(arrived),
                    waiting = receiver.recv() => Ok(waiting),
                }
            } else {
                Err(reader.next().await)
            };
            match next {
                Ok(Some(waiting)) => {
                    let Some(envelope) = waiting.in_time() else {
                        continue;
                    };
                    let sent = tokio::time::timeout(WRITE_WITHIN, writer.send(envelope)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return;
                    }
                }
                Err(Some(Ok(Envelope { from, body }))) => {
                    if !registered {
                        registered = true;
                        self.with(|table| {
                            if table.open.len() >= MAX_LINKS {
                                table.open.retain(|_, sender| !sender.is_closed());
                            }
                            table.open.insert(from.clone(), sender.clone());
                        });
                    }
                    let Some(payload) = body else { continue };
                    if self.arrivals.send(Arrival { from, payload }).await.is_err() {
                        return;
                    }
                }
                Ok(None) | Err(None) | Err(Some(Err(_))) => return,
            }
        }
    }
}

/// Sends one envelope as a datagram; a full socket loses it, as the network may.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
/// transport::send_datagram(&socket, "nowhere", protocol::Payload::Bootstrapped(Default::default()));
/// # });
/// ```
pub fn send_datagram(socket: &UdpSocket, address: &str, body: Payload) {
    let bytes = Envelope {
        from: String::new(),
        body: Some(body),
    }
    .encode_to_vec();
    let to = address.parse::<std::net::SocketAddr>().ok();
    to.into_iter()
        .for_each(|to| drop(socket.try_send_to(&bytes, to)));
}
