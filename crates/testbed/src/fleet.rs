//! A site's processes on this one machine: real daemons on loopback addresses.

use crate::link_proxies::{LinkEndpoint, LinkProxies};
use name_directory::OwnershipMode;
use simulator::shapes::Shape;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use transport::HttpClient;

const MAX_STARTS: u32 = 20;
/// How many nodes the others know at their start.
const SEEDS: usize = 3;
/// A daemon that could not open its ports has ended by then.
const STARTED_AFTER: Duration = Duration::from_millis(100);

/// How many sites this process has laid out.
static CREATED_SITES: AtomicU32 = AtomicU32::new(0);

/// One daemon, running or not.
pub struct Process {
    /// Its node's name.
    pub node: String,
    /// The number of its machine.
    pub machine: usize,
    /// Its HTTP address.
    pub http: String,
    program: PathBuf,
    flags: Vec<String>,
    log: PathBuf,
    /// Its data folder, if it has one.
    pub data: Option<PathBuf>,
    child: Option<Child>,
}

/// All daemons of a site.
pub struct Fleet {
    /// Those of the control plane, by machine.
    pub control_nodes: Vec<Process>,
    /// Those of the data plane.
    pub data_nodes: Vec<Process>,
    /// The endpoints of the links between them.
    pub endpoints: Vec<LinkEndpoint>,
    /// Where logs and data folders are.
    pub folder: PathBuf,
    programs: PathBuf,
}

impl Process {
    /// Starts it, or starts it again. A port that is its own may be in use for a moment, by a connection that a
    /// neighbour on the same machine makes: then it ends at once, and is started anew.
    pub fn start(&mut self) -> io::Result<()> {
        for _ in 0..MAX_STARTS {
            self.spawn()?;
            let ended = (0..STARTED_AFTER.as_millis() / 10).find_map(|_| {
                std::thread::sleep(Duration::from_millis(10));
                self.child
                    .as_mut()
                    .and_then(|child| child.try_wait().ok().flatten())
            });
            if ended.and_then(|status| status.code()) != Some(transport::exit::START_FAILED) {
                return Ok(());
            }
        }
        Err(io::Error::other(format!(
            "{} does not start; see {}",
            self.node,
            self.log.display()
        )))
    }

    /// Starts it without a look at whether it stays.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.flags)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// How it ended, where it ran and has ended since.
    pub fn take_end(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The last lines of its log.
    pub fn log_tail(&self, lines: usize) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let mut tail: Vec<String> = log.lines().rev().take(lines).map(str::to_owned).collect();
        tail.reverse();
        tail
    }

    /// Kills it without warning, as a power cut would.
    pub fn kill(&mut self) {
        self.child.take().into_iter().for_each(|mut child| {
            let _ = child.kill();
            let _ = child.wait();
        });
    }

    /// Tells the kernel to kill it, and does not wait until it has ended.
    pub fn begin_kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Sends it a signal by name (TERM, STOP, CONT).
    pub fn signal(&self, name: &str) {
        self.child.iter().for_each(|child| {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        });
    }

    /// The most memory it ever held, in KiB.
    pub fn peak_memory(&self) -> Option<u64> {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Waits until it has ended by itself; its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .take()
            .and_then(|mut child| child.wait().ok())
            .and_then(|status| status.code())
    }

    /// Empties its data folder. Only while it does not run.
    pub fn wipe(&self) {
        self.data.iter().for_each(|data| {
            let _ = std::fs::remove_dir_all(data);
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address on this machine whose port the kernel just gave, free for TCP and UDP, and not given out before.
fn free_address(ip: &str, taken: &mut BTreeSet<String>) -> io::Result<String> {
    let found = (0..50).find_map(|_| {
        let tcp = TcpListener::bind((ip, 0)).ok()?;
        let address = tcp.local_addr().ok()?;
        UdpSocket::bind(address)
            .ok()
            .map(|_| address.to_string())
            .filter(|address| taken.insert(address.clone()))
    });
    found.ok_or_else(|| io::Error::other("no free port"))
}

/// Gives out addresses and describes the processes of one site.
struct Layout<'a> {
    shape: &'a Shape,
    programs: &'a Path,
    folder: &'a Path,
    /// A loopback network of its own for each site keeps the ports of sites apart.
    network: u32,
    taken: BTreeSet<String>,
}

impl<'a> Layout<'a> {
    fn new(shape: &'a Shape, programs: &'a Path, folder: &'a Path) -> Self {
        Layout {
            shape,
            programs,
            folder,
            network: 64 + CREATED_SITES.fetch_add(1, Ordering::Relaxed) % 64,
            taken: BTreeSet::new(),
        }
    }

    /// A loopback address of its own for each machine.
    fn ip(&self, machine: usize) -> String {
        let process = 1 + std::process::id() % 200;
        format!("127.{}.{process}.{}", self.network, 1 + machine)
    }

    fn link_address(&mut self, machine: usize) -> io::Result<SocketAddr> {
        let address = free_address(&self.ip(machine), &mut self.taken)?;
        address.parse().map_err(io::Error::other)
    }

    /// The endpoints of all processes: a machine with a disk has two of them.
    fn endpoints(&mut self) -> io::Result<Vec<LinkEndpoint>> {
        let mut endpoints = Vec::new();
        for machine in 0..self.shape.machines {
            let processes = if machine < self.shape.disks { 2 } else { 1 };
            for _ in 0..processes {
                endpoints.push(LinkEndpoint {
                    machine,
                    link: self.link_address(machine)?,
                    advertised_address: self.link_address(machine)?,
                });
            }
        }
        Ok(endpoints)
    }

    fn control_node(&mut self, end: &LinkEndpoint, seeds: &str) -> io::Result<Process> {
        let data = self.folder.join(format!("data-{}", end.machine));
        let more = vec![
            "--roster-size".to_owned(),
            self.shape.disks.to_string(),
            "--data".to_owned(),
            data.to_string_lossy().into_owned(),
        ];
        self.process("control-plane", end, seeds, more, Some(data))
    }

    fn process(
        &mut self,
        kind: &str,
        end: &LinkEndpoint,
        seeds: &str,
        more: Vec<String>,
        data: Option<PathBuf>,
    ) -> io::Result<Process> {
        let machine = end.machine;
        let http = free_address(&self.ip(machine), &mut self.taken)?;
        let node = format!("{kind}-{machine}");
        let settings = [
            ("--node", node.clone()),
            ("--locality", self.shape.locality(machine)),
            ("--http", http.clone()),
            ("--link", end.link.to_string()),
            ("--told", end.advertised_address.to_string()),
            ("--seeds", seeds.to_owned()),
        ];
        let mut flags = Vec::new();
        for (name, value) in settings {
            flags.extend([name.to_owned(), value]);
        }
        if self.shape.ownership == OwnershipMode::PerClientZone {
            flags.extend(["--owners", "by-caller"].map(str::to_owned));
        }
        flags.extend(more);
        Ok(Process {
            program: self.programs.join(kind),
            log: self.folder.join(format!("{node}.log")),
            node,
            machine,
            http,
            flags,
            data,
            child: None,
        })
    }
}

impl Fleet {
    /// Lays a site out in a folder; nothing runs yet. `programs` holds the daemons.
    fn new(shape: &Shape, programs: &Path, folder: &Path) -> io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let mut layout = Layout::new(shape, programs, folder);
        let endpoints = layout.endpoints()?;
        let first_of = |machine: usize| endpoints.iter().find(|end| end.machine == machine);
        let seeds: Vec<String> = (0..SEEDS)
            .filter_map(first_of)
            .map(|end| end.advertised_address.to_string())
            .collect();
        let seeds = seeds.join(",");
        let (mut control_nodes, mut data_nodes) = (Vec::new(), Vec::new());
        for end in &endpoints {
            let is_first = first_of(end.machine).is_some_and(|first| first.link == end.link);
            if end.machine < shape.disks && is_first {
                control_nodes.push(layout.control_node(end, &seeds)?);
            } else {
                data_nodes.push(layout.process("data-plane", end, &seeds, Vec::new(), None)?);
            }
        }
        Ok(Fleet {
            control_nodes,
            data_nodes,
            endpoints,
            folder: folder.to_owned(),
            programs: programs.to_owned(),
        })
    }

    /// Lays a site out with its links. Ports that the kernel gave may be taken by others before they are used: then it
    /// is laid out anew.
    pub async fn create(
        shape: &Shape,
        programs: &Path,
        folder: &Path,
    ) -> io::Result<(Fleet, Arc<LinkProxies>)> {
        let mut last = io::Error::other("not tried");
        for _ in 0..5 {
            let fleet = Fleet::new(shape, programs, folder)?;
            match LinkProxies::start(shape.clone(), fleet.endpoints.clone()).await {
                Ok(link_proxies) => return Ok((fleet, link_proxies)),
                Err(failure) => last = failure,
            }
        }
        Err(last)
    }

    /// Starts everything.
    pub fn start(&mut self) -> io::Result<()> {
        self.all().try_for_each(Process::start)
    }

    /// Runs the operator's tool to its end; its error output where it failed.
    pub fn run_operator_tool(&self, args: &[&str]) -> Result<(), String> {
        let done = Command::new(self.programs.join("mothspindlectl"))
            .args(args)
            .output()
            .map_err(|e| e.to_string())?;
        let stderr = String::from_utf8_lossy(&done.stderr).into_owned();
        done.status.success().then_some(()).ok_or(stderr)
    }

    /// Every process.
    pub fn all(&mut self) -> impl Iterator<Item = &mut Process> {
        self.control_nodes
            .iter_mut()
            .chain(self.data_nodes.iter_mut())
    }

    /// Every node's HTTP address, data nodes first.
    pub fn nodes(&self) -> Vec<String> {
        self.data_nodes
            .iter()
            .chain(&self.control_nodes)
            .map(|process| process.http.clone())
            .collect()
    }

    /// Waits until all these answer that they are ready. False where that took longer than `within`.
    pub async fn ready(addresses: &[String], within: Duration) -> bool {
        let client = HttpClient::default();
        let until = tokio::time::Instant::now() + within;
        for address in addresses {
            loop {
                let called = client.call(
                    address,
                    "GET",
                    "/ready",
                    &[],
                    bytes::Bytes::new(),
                    Duration::from_secs(2),
                    false,
                );
                if called.await.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                if tokio::time::Instant::now() > until {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Ends everything and removes the folder.
    pub fn remove(mut self) {
        self.all().for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
