//! Carries the node's effects out, and turns the storage threads' reports into events.

use crate::daemon::QueuedEvent;
use crate::interface::{ControlResponse, Effect, Event};
use crate::persistence::{DepartureWriter, StorageReport, StorageThread, Write};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use transport::{Links, SentCounts};

/// Everything that effects act on.
pub(super) struct EffectExecutor {
    links: Links,
    probe: Arc<UdpSocket>,
    storage_thread: StorageThread,
    departure_writer: DepartureWriter,
    /// Where the responses to open requests go, by request id.
    response_senders: HashMap<u64, oneshot::Sender<ControlResponse>>,
}

impl EffectExecutor {
    pub(super) fn new(
        links: Links,
        probe: Arc<UdpSocket>,
        storage_thread: StorageThread,
        departure_writer: DepartureWriter,
    ) -> Self {
        EffectExecutor {
            links,
            probe,
            storage_thread,
            departure_writer,
            response_senders: HashMap::new(),
        }
    }

    /// Notes where the response to a request goes.
    pub(super) fn expect_response(
        &mut self,
        request_id: u64,
        sender: oneshot::Sender<ControlResponse>,
    ) {
        self.response_senders.insert(request_id, sender);
    }

    /// Forgets the requests whose clients have gone.
    pub(super) fn drop_abandoned_requests(&mut self) {
        self.response_senders
            .retain(|_, sender| !sender.is_closed());
    }

    /// Drops all open requests: no response comes any more.
    pub(super) fn drop_open_requests(&mut self) {
        self.response_senders.clear();
    }

    /// Messages sent over the links so far, for the log.
    pub(super) fn sent_counts(&self) -> SentCounts {
        self.links.sent_counts()
    }

    pub(super) fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.execute_one(effect);
        }
    }

    fn execute_one(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, body } => self.links.send(&to, body),
            Effect::SendDatagram { address, body } => {
                transport::send_datagram(&self.probe, &address, body);
            }
            Effect::Persist { write_id, durable } => {
                self.storage_thread
                    .write(Write::State { write_id, durable });
            }
            Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => self.storage_thread.write(Write::Configuration {
                write_id,
                digest,
                bytes,
            }),
            Effect::DeleteConfiguration { digest } => {
                self.storage_thread
                    .write(Write::DeleteConfiguration { digest });
            }
            Effect::PersistDepartures {
                write_id,
                departures,
            } => self.departure_writer.write(write_id, departures),
            Effect::Respond {
                request_id,
                response,
            } => self.respond(request_id, response),
            Effect::UpdateAddresses(addresses) => {
                log::debug!("membership: {} members", addresses.len());
                self.links.set_addresses(addresses.into_iter().collect());
            }
            Effect::Log(text) => log::info!("control: {text}"),
            Effect::LogError(text) => log::error!("control: {text}"),
        }
    }

    fn respond(&mut self, request_id: u64, response: ControlResponse) {
        if let Some(sender) = self.response_senders.remove(&request_id) {
            // The client may have gone meanwhile.
            let _ = sender.send(response);
        }
    }
}

/// A callback for the storage thread that makes events of its reports; false once the event loop is gone.
pub(super) fn forward_storage_reports(
    events: mpsc::Sender<QueuedEvent>,
) -> impl Fn(StorageReport) -> bool {
    move |report| {
        let event = match report {
            StorageReport::Synced { write_id } => Event::WriteCompleted { write_id },
            StorageReport::Retrying => Event::DiskRetrying,
            StorageReport::Recovered => Event::DiskRecovered,
            StorageReport::Lost => Event::DiskFailed,
        };
        events.blocking_send(event.into()).is_ok()
    }
}

/// A callback for the departure writer that makes events of its finished writes; false once the event loop is gone.
pub(super) fn forward_written_departures(
    events: mpsc::Sender<QueuedEvent>,
) -> impl Fn(u64) -> bool {
    move |write_id| {
        let event = Event::DeparturesPersisted { write_id };
        events.blocking_send(event.into()).is_ok()
    }
}
