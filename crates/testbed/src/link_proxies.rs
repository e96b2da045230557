//! The links between the processes on one machine: each process is known to the others by an address of a proxy, which
//! forwards what comes, late by the distance between the localities, and not at all across a partition.

use simulator::shapes::Shape;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// One process's endpoint of the links.
#[derive(Clone, Debug)]
pub struct LinkEndpoint {
    /// The number of the process's machine.
    pub machine: usize,
    /// Where the process listens.
    pub link: SocketAddr,
    /// Where the others believe it listens.
    pub advertised_address: SocketAddr,
}

/// All links of a site.
pub struct LinkProxies {
    shape: Shape,
    endpoints: Vec<LinkEndpoint>,
    sockets: Vec<UdpSocket>,
    /// Regions, zones or machines that are partitioned, by the start of their locality or by number.
    partitions: watch::Sender<Vec<Partition>>,
    machines: BTreeMap<IpAddr, usize>,
    /// Keeps order among what one end sends another.
    last: Mutex<BTreeMap<(usize, usize), Instant>>,
}

/// What is partitioned from everything else.
#[derive(Clone, Debug, PartialEq)]
pub enum Partition {
    /// A region, or a region and zone.
    Place(String),
    /// One machine, by its number.
    Machine(usize),
    /// Machines below the first number that are odd from those that are even; all others reach both.
    Halves(usize),
}

impl LinkProxies {
    /// Starts the proxies and keeps them running as long as the runtime lives.
    pub async fn start(shape: Shape, endpoints: Vec<LinkEndpoint>) -> io::Result<Arc<LinkProxies>> {
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        for end in &endpoints {
            sockets.push(UdpSocket::bind(end.advertised_address).await?);
            listeners.push(TcpListener::bind(end.advertised_address).await?);
        }
        let machines = endpoints
            .iter()
            .map(|end| (end.link.ip(), end.machine))
            .collect();
        let (partitions, _) = watch::channel(Vec::new());
        let last = Mutex::default();
        let link_proxies = Arc::new(LinkProxies {
            shape,
            endpoints,
            sockets,
            partitions,
            machines,
            last,
        });
        listeners
            .into_iter()
            .enumerate()
            .for_each(|(to, listener)| {
                tokio::spawn(link_proxies.clone().accept(to, listener));
                tokio::spawn(link_proxies.clone().pass_datagrams(to));
            });
        Ok(link_proxies)
    }

    /// Partitions these from everything else; none heals all.
    pub fn partition(&self, partitions: Vec<Partition>) {
        self.partitions.send_replace(partitions);
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let inside_one = |inside: &dyn Fn(usize) -> bool| inside(from) != inside(to);
        self.partitions
            .borrow()
            .iter()
            .any(|partition| match partition {
                Partition::Place(place) => {
                    inside_one(&|machine| self.shape.locality(machine).starts_with(place.as_str()))
                }
                Partition::Machine(number) => inside_one(&|machine| machine == *number),
                Partition::Halves(count) => {
                    from.max(to) < *count && inside_one(&|machine| machine.is_multiple_of(2))
                }
            })
    }

    async fn accept(self: Arc<Self>, to: usize, listener: TcpListener) {
        while let Ok((stream, from)) = listener.accept().await {
            let link_proxies = self.clone();
            tokio::spawn(async move {
                let (end, source) = (
                    link_proxies.endpoints[to].clone(),
                    link_proxies.machines.get(&from.ip()).copied(),
                );
                let Some(source) = source else { return };
                let Ok(onward) = TcpStream::connect(end.link).await else {
                    return;
                };
                let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
                let ((near, back), (far, onward)) = (stream.into_split(), onward.into_split());
                tokio::spawn(link_proxies.clone().pump(source, end.machine, near, onward));
                link_proxies.pump(end.machine, source, far, back).await;
            });
        }
    }

    /// Forwards bytes, each late by the distance, none across a partition.
    async fn pump(
        self: Arc<Self>,
        from: usize,
        to: usize,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
    ) {
        let (chunks, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(64);
        let delay = self.shape.distance(from, to);
        tokio::spawn(async move {
            let mut chunk = vec![0u8; 16 * 1024];
            while let Ok(count) = reader.read(&mut chunk).await {
                let due = (Instant::now() + delay, chunk[..count].to_vec());
                if count == 0 || chunks.send(due).await.is_err() {
                    return;
                }
            }
        });
        let mut partitions = self.partitions.subscribe();
        while let Some((due, bytes)) = waiting.recv().await {
            tokio::time::sleep_until(due).await;
            while self.is_partitioned(from, to) {
                if partitions.changed().await.is_err() {
                    return;
                }
            }
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn pass_datagrams(self: Arc<Self>, to: usize) {
        let mut datagram = vec![0u8; 65_536];
        loop {
            let Ok((count, source)) = self.sockets[to].recv_from(&mut datagram).await else {
                continue;
            };
            let from = self.endpoints.iter().position(|end| end.link == source);
            let Some(from) = from else { continue };
            let (near, far) = (self.endpoints[from].machine, self.endpoints[to].machine);
            if self.is_partitioned(near, far) {
                continue;
            }
            let due = self.due(from, to, self.shape.distance(near, far));
            let (link_proxies, bytes) = (self.clone(), datagram[..count].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep_until(due).await;
                let _ = link_proxies.sockets[from]
                    .send_to(&bytes, link_proxies.endpoints[to].link)
                    .await;
            });
        }
    }

    fn due(&self, from: usize, to: usize, delay: Duration) -> Instant {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let due = (Instant::now() + delay)
            .max(last.get(&(from, to)).copied().unwrap_or_else(Instant::now));
        last.insert((from, to), due);
        due
    }
}
