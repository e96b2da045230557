//! The daemon around [`ControlNode`]: sockets, timers and the storage threads become events, and the
//! node's effects are carried out.
//!
//! [`run`] starts everything, drives the event loop until the process was asked to stop, and shuts down.

mod effects;
mod event_loop;
mod http_handlers;
mod settings;
mod startup;

pub use settings::{PROGRAM, SETTINGS, times};

use crate::api_adapter::ApiAdapter;
use crate::interface::{ControlResponse, Event};
use crate::node::ControlNode;
use crate::persistence::{DepartureWriter, RetryBackoff, StorageThread};
use config::Settings;
use effects::EffectExecutor;
use error_stack::Report;
use event_loop::{EventLoop, Inputs};
use http_handlers::HttpHandlers;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use transport::{Clock, Links, Listeners, StartError};

/// Most events, and most messages of other nodes, that wait for the event loop.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// How long the HTTP server may take to finish the open connections at shutdown.
const HTTP_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// An event for the node, and where its response goes if it is a request.
struct QueuedEvent {
    event: Event,
    response_sender: Option<oneshot::Sender<ControlResponse>>,
}

impl From<Event> for QueuedEvent {
    fn from(event: Event) -> Self {
        QueuedEvent {
            event,
            response_sender: None,
        }
    }
}

/// Runs a control node until the process is asked to stop. An error is why it could not start.
///
/// ```no_run
/// # async fn run(settings: config::Settings) {
/// control_plane::daemon::run(settings, control_plane::ApiAdapter::own()).await.unwrap();
/// # }
/// ```
pub async fn run(settings: Settings, api_adapter: ApiAdapter) -> Result<(), Report<StartError>> {
    let clock = Clock::default();
    // Once for the whole life: a signal that comes between two listeners would be lost.
    let mut stop = pin!(transport::stop_signal());
    let reload = transport::reload_signal(&PROGRAM, &settings);
    // Ahead of the sockets: clients that call meanwhile are refused at once, and try another node.
    let Some((storage, contents)) =
        startup::open_storage(settings.get("data"), stop.as_mut()).await?
    else {
        return Ok(());
    };
    startup::log_damaged_files(&contents);
    let damaged_files = contents.damaged.len() as u64;
    let listeners = Listeners::open(&settings).await?;
    let Listeners { http, link, probe } = listeners;
    let me = startup::local_member(&settings);
    let node_id = me.node.clone();
    log::info!("start: control node {node_id} in {}", me.locality);
    let (departure_log, departures) = storage.departure_log(transport::since_boot());
    let control = ControlNode::new(startup::node_start(
        &settings,
        me,
        api_adapter.reader,
        contents,
        departures,
    ));

    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (message_sender, messages) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let links = Links::open(node_id, Some(link), message_sender);
    let storage_thread = StorageThread::start(
        storage,
        RetryBackoff::default(),
        clock,
        effects::forward_storage_reports(event_sender.clone()),
    );
    let departure_writer = DepartureWriter::start(
        departure_log,
        RetryBackoff::default(),
        effects::forward_written_departures(event_sender.clone()),
    );
    let handlers = Arc::new(HttpHandlers::new(
        event_sender,
        storage_thread.stats(),
        damaged_files,
        api_adapter,
    ));
    let (stop_http, http_stopping) = watch::channel(false);
    let http_server = spawn_http_server(http, http_stopping, handlers.clone());

    let probe = Arc::new(probe);
    let executor = EffectExecutor::new(links, probe.clone(), storage_thread, departure_writer);
    let mut inputs = Inputs::new(messages, probe, reload);
    let mut event_loop = EventLoop::new(control, clock, executor, handlers);
    event_loop.run(&mut inputs, events, stop.as_mut()).await;

    // The links and the storage threads stay until the last HTTP connections are finished.
    let _ = stop_http.send(true);
    let _ = tokio::time::timeout(HTTP_SHUTDOWN_TIMEOUT, http_server).await;
    Ok(())
}

/// Starts the HTTP server's task; it ends once `stopping` is true and its connections are finished.
fn spawn_http_server(
    listener: TcpListener,
    stopping: watch::Receiver<bool>,
    handlers: Arc<HttpHandlers>,
) -> JoinHandle<()> {
    tokio::spawn(transport::serve(listener, stopping, move |request| {
        let handlers = handlers.clone();
        async move { handlers.handle(request).await }
    }))
}
