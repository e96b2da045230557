//! The shell of a data-plane node: sockets, timers and signals around its core and its shared node.

pub use crate::settings::{PROGRAM, SETTINGS, times};

use crate::api_adapter::{ApiAdapter, ListenerKind};
use crate::data_node::{DataNode, Effect, Event, Phase, Start};
use crate::node::Node;
use crate::settings;
use config::Settings;
use error_stack::{Report, ResultExt};
use futures::future::JoinAll;
use locality::Locality;
use protocol::{Envelope, Message};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Interval, MissedTickBehavior};
use transport::{Arrival, Clock, Links, Listeners, StartError};

const TICK: Duration = Duration::from_millis(20);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Messages from links that wait to be handled.
const MAX_ARRIVALS: usize = 1024;
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// A process that shuts down ends by then, whatever is still under way.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(5500);
/// The end of that time, in which requests that were given up get their answers.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(300);

/// Listeners of their own, where the settings name an address for them.
const EXTRA_LISTENERS: [(&str, ListenerKind); 2] = [
    ("directory", ListenerKind::Directory),
    ("readiness", ListenerKind::Readiness),
];

/// Runs a data-plane node until it is told to shut down. An error is why it could not start.
///
/// ```no_run
/// # async fn run(settings: config::Settings) {
/// data_plane::shell::run(settings, data_plane::ApiAdapter::own()).await.unwrap();
/// # }
/// ```
pub async fn run(settings: Settings, api_adapter: ApiAdapter) -> Result<(), Report<StartError>> {
    let mut stop = pin!(transport::stop_signal());
    let mut reload = transport::reload_signal(&PROGRAM, &settings);
    let (mut shell, mut arrivals, http) = Shell::start(&settings, api_adapter).await?;
    let (shutdown, servers) = spawn_servers(&settings, &shell.node, http).await?;
    let mut tick = ticks();
    let mut datagram = vec![0u8; MAX_DATAGRAM_BYTES];
    while shell.core.phase() != Phase::Rejecting {
        let event = tokio::select! {
            _ = tick.tick() => Event::Tick,
            Some(Arrival { from, payload: body }) = arrivals.recv() => Event::Received { from, body },
            Ok((length, address)) = shell.probe.recv_from(&mut datagram) => {
                match Envelope::decode(&datagram[..length]).ok().and_then(|envelope| envelope.body) {
                    Some(body) => Event::Datagram { address: address.to_string(), body },
                    None => continue,
                }
            }
            seeds = reload.changed_seeds() => Event::SeedsChanged(seeds),
            _ = &mut stop, if shell.core.phase() == Phase::Serving => Event::Shutdown,
        };
        shell.handle(event);
    }
    let _ = shutdown.send(true);
    let lifetime = settings.duration("address-lifetime-ms");
    // Requests under way get the rest of the time; those that are still there then are answered, not cut off.
    let mut servers = pin!(servers);
    let time_left = SHUTDOWN_TIMEOUT.saturating_sub(lifetime);
    let finishing = time_left.saturating_sub(LAST_ANSWERS_TIMEOUT);
    if tokio::time::timeout(finishing, servers.as_mut())
        .await
        .is_err()
    {
        shell.node.give_up_requests();
        let _ = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, servers).await;
    }
    Ok(())
}

fn ticks() -> Interval {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick
}

/// Serves HTTP on all listeners, until `true` is sent.
async fn spawn_servers(
    settings: &Settings,
    node: &Arc<Node>,
    http: TcpListener,
) -> Result<(watch::Sender<bool>, JoinAll<JoinHandle<()>>), Report<StartError>> {
    let (shutdown, is_shutting_down) = watch::channel(false);
    let mut listeners = vec![(ListenerKind::Front, http)];
    for (name, kind) in EXTRA_LISTENERS {
        if !settings.get(name).is_empty() {
            listeners.push((kind, transport::listen(settings, name).await?));
        }
    }
    let mut servers = Vec::new();
    for (kind, socket) in listeners {
        let node = node.clone();
        let serve = transport::serve(socket, is_shutting_down.clone(), move |http_request| {
            node.clone().serve(kind, http_request)
        });
        servers.push(tokio::spawn(serve));
    }
    Ok((shutdown, futures::future::join_all(servers)))
}

/// What the event loop works on.
struct Shell {
    clock: Clock,
    core: DataNode,
    node: Arc<Node>,
    links: Links,
    probe: UdpSocket,
    next_sweep: Duration,
}

impl Shell {
    /// Opens the sockets, and makes the core and the node. Gives the messages from links and the HTTP socket beside.
    async fn start(
        settings: &Settings,
        api_adapter: ApiAdapter,
    ) -> Result<(Shell, mpsc::Receiver<Arrival>, TcpListener), Report<StartError>> {
        let clock = Clock::default();
        let Listeners { http, link, probe } = Listeners::open(settings).await?;
        let locality = settings
            .get("locality")
            .parse::<Locality>()
            .change_context_lazy(|| StartError::new("locality"))?;
        let me = settings::member(settings, &locality);
        log::info!(
            "start: data-plane node {} in {locality}, serving {}",
            me.node,
            me.roles
        );
        let reader = api_adapter.reader;
        let node = Arc::new(Node::new(
            settings::proxy_context(settings, locality),
            api_adapter,
            settings::node_options(settings, clock),
        ));
        let (sender, arrivals) = mpsc::channel(MAX_ARRIVALS);
        let links = Links::open(me.node.clone(), Some(link), sender);
        let core = DataNode::new(Start {
            me,
            seeds: transport::seed_addresses(settings),
            seed: transport::random_seed(),
            reader,
            times: times(settings),
        });
        let shell = Shell {
            clock,
            core,
            node,
            links,
            probe,
            next_sweep: Duration::ZERO,
        };
        Ok((shell, arrivals, http))
    }

    /// Steps the core, does what it wants done, and sweeps when it is time.
    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.core.step(now, event) {
            self.perform(effect);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            let loads = self.node.sweep(now);
            self.core.step(now, Event::KeyLoadsCounted(loads));
            for line in self.node.rejection_report(now) {
                log::warn!("rejections: {line}");
            }
            log::debug!("links: {:?}", self.links.sent_counts());
        }
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.links.send(&to, body),
            Effect::Datagram { address, body } => {
                transport::send_datagram(&self.probe, &address, body);
            }
            Effect::Addresses(addresses) => {
                self.links.set_addresses(addresses.into_iter().collect());
                self.node.learn_control_nodes(self.core.control_nodes());
            }
            Effect::Publish => self.node.publish(self.core.view().clone()),
            Effect::Phase(Phase::Rejecting) => {
                log::info!("close: enrolling no more, finishing what is under way");
                self.node.drain(true);
            }
            Effect::Phase(_) => {
                log::info!("close: not ready any more, serving on while addresses live");
                self.node.drain(false);
            }
            Effect::Log(line) => log::info!("news: {line}"),
        }
    }
}
