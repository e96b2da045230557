//! The links between places on one machine: each process is known to the others by an address of drill's, which
//! passes on what comes, late by the distance between the places, and not at all where a cut lies between.

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

/// One process's end of the wires.
#[derive(Clone, Debug)]
pub struct End {
    pub machine: usize,
    /// Where the process listens.
    pub link: SocketAddr,
    /// Where the others believe it listens.
    pub told: SocketAddr,
}

/// All wires of a site.
pub struct Wires {
    shape: Shape,
    ends: Vec<End>,
    sockets: Vec<UdpSocket>,
    /// Regions, zones or machines that are cut off, by the start of their locality or by number.
    cuts: watch::Sender<Vec<Cut>>,
    machines: BTreeMap<IpAddr, usize>,
    /// Keeps order among what one end sends another.
    last: Mutex<BTreeMap<(usize, usize), Instant>>,
}

/// What is cut off from everything else.
#[derive(Clone, Debug, PartialEq)]
pub enum Cut {
    /// A region, or a region and zone.
    Place(String),
    Machine(usize),
}

impl Wires {
    /// Lays the wires and keeps them going as long as the runtime lives.
    pub async fn lay(shape: Shape, ends: Vec<End>) -> io::Result<Arc<Wires>> {
        let mut sockets = Vec::new();
        let mut listeners = Vec::new();
        for end in &ends {
            sockets.push(UdpSocket::bind(end.told).await?);
            listeners.push(TcpListener::bind(end.told).await?);
        }
        let machines = ends
            .iter()
            .map(|end| (end.link.ip(), end.machine))
            .collect();
        let (cuts, _) = watch::channel(Vec::new());
        let last = Mutex::default();
        let wires = Arc::new(Wires {
            shape,
            ends,
            sockets,
            cuts,
            machines,
            last,
        });
        listeners
            .into_iter()
            .enumerate()
            .for_each(|(to, listener)| {
                tokio::spawn(wires.clone().accept(to, listener));
                tokio::spawn(wires.clone().pass_datagrams(to));
            });
        Ok(wires)
    }

    /// Cuts these off from everything else; none mends all.
    pub fn cut(&self, cuts: Vec<Cut>) {
        self.cuts.send_replace(cuts);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.borrow().iter().any(|cut| {
            let inside = |machine: usize| match cut {
                Cut::Place(place) => self.shape.locality(machine).starts_with(place.as_str()),
                Cut::Machine(number) => machine == *number,
            };
            inside(from) != inside(to)
        })
    }

    async fn accept(self: Arc<Self>, to: usize, listener: TcpListener) {
        while let Ok((stream, from)) = listener.accept().await {
            let wires = self.clone();
            tokio::spawn(async move {
                let (end, source) = (
                    wires.ends[to].clone(),
                    wires.machines.get(&from.ip()).copied(),
                );
                let Some(source) = source else { return };
                let Ok(onward) = TcpStream::connect(end.link).await else {
                    return;
                };
                let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
                let ((near, back), (far, onward)) = (stream.into_split(), onward.into_split());
                tokio::spawn(wires.clone().pump(source, end.machine, near, onward));
                wires.pump(end.machine, source, far, back).await;
            });
        }
    }

    /// Passes bytes on, each late by the distance, none while a cut lies between.
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
        let mut cuts = self.cuts.subscribe();
        while let Some((due, bytes)) = waiting.recv().await {
            tokio::time::sleep_until(due).await;
            while self.is_cut(from, to) {
                if cuts.changed().await.is_err() {
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
            let from = self.ends.iter().position(|end| end.link == source);
            let Some(from) = from else { continue };
            let (near, far) = (self.ends[from].machine, self.ends[to].machine);
            if self.is_cut(near, far) {
                continue;
            }
            let due = self.due(from, to, self.shape.distance(near, far));
            let (wires, bytes) = (self.clone(), datagram[..count].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep_until(due).await;
                let _ = wires.sockets[from]
                    .send_to(&bytes, wires.ends[to].link)
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
