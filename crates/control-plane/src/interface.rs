//! What goes into a control node and what comes out: requests, responses, events and effects.

use config::{JsonValue, ValidationError};
use protocol::{Departure, DurableState, KeyShare, Payload, Upstream};
use quorum_register::ChangeId;
use result_code::ResultCode;
use std::time::Duration;

/// A request of an operator or an upstream, read from HTTP.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// Replace the configuration.
    SubmitConfiguration {
        /// Makes retries of the request idempotent.
        id: ChangeId,
        /// The revision that the new configuration was made from; it is rejected where another is in force.
        base: Option<u64>,
        /// The configuration as it was submitted.
        bytes: Vec<u8>,
        /// Respond only once it is in force everywhere.
        in_force: bool,
    },
    /// Evacuate a locality, or end its evacuation.
    Evacuate {
        /// Makes retries of the request idempotent; may be empty.
        id: ChangeId,
        /// Region and zone.
        locality: String,
        /// True to end the evacuation.
        back: bool,
        /// Respond only once it is in force everywhere.
        in_force: bool,
    },
    /// Give one node a vote, take another's away, or both at once.
    ChangeVoters {
        /// The node that becomes a voter.
        add: Option<String>,
        /// The voter that loses its vote.
        remove: Option<String>,
    },
    /// Read the configuration in force, confirmed by a majority.
    ReadConfiguration,
    /// The status page of this node.
    Status,
    /// The upstreams known here.
    Upstreams,
    /// Which locality owns which name.
    Reservations,
    /// Names that moved to another locality lately.
    Tombstones,
    /// An upstream's heartbeat.
    Heartbeat(Upstream),
    /// An upstream says that it ends now.
    Deregister {
        /// Its instance id.
        instance: String,
    },
}

/// The response to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ControlResponse {
    /// How a change went, or why a request could not be served.
    Outcome {
        /// Success, or what prevented it.
        code: ResultCode,
        /// The revision in force afterwards; zero where none is named.
        revision: u64,
    },
    /// The request itself is invalid.
    Rejected {
        /// What kind of error it is.
        code: ResultCode,
        /// One entry for each error found.
        validation_errors: Vec<ValidationError>,
    },
    /// The configuration in force.
    Configuration {
        /// Its revision.
        revision: u64,
        /// The configuration as it was submitted.
        bytes: Vec<u8>,
    },
    /// To a heartbeat: all keys that the upstream holds from now on. Without shares it learns nothing new.
    Heartbeat {
        /// Epoch of the placement lease under which the shares were granted.
        holder: u64,
        /// The key ranges granted.
        shares: Option<Vec<KeyShare>>,
        /// How long the shares are granted for.
        span: Duration,
    },
    /// A page of facts.
    Json(JsonValue),
    /// This node is out of contact with a majority, another was lately in contact. Nothing was done here.
    Redirect {
        /// Host and port as the node says it; the whole URL as it is written to clients.
        to: String,
    },
}

/// An input of a control node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another node.
    Received {
        /// Id of the sending node.
        from: String,
        /// The message.
        body: Payload,
    },
    /// A membership message over UDP.
    Datagram {
        /// Address of the sender.
        address: String,
        /// The message.
        body: Payload,
    },
    /// A request over HTTP.
    ControlRequest {
        /// Names the request in its [`Effect::Respond`].
        request_id: u64,
        /// What is requested.
        request: ControlRequest,
    },
    /// This write and all before it are synced.
    WriteCompleted {
        /// As in the effect that asked for the write.
        write_id: u64,
    },
    /// A write was lost: nothing more will be reported of the disk.
    DiskFailed,
    /// These departures survive a restart of this process.
    DeparturesPersisted {
        /// As in [`Effect::PersistDepartures`].
        write_id: u64,
    },
    /// A write failed, and is retried until it succeeds.
    DiskRetrying,
    /// The write that failed has succeeded.
    DiskRecovered,
    /// The settings name other seeds.
    SeedsChanged(Vec<String>),
    /// The process was asked to stop.
    Shutdown,
}

/// What a control node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another node.
    Send {
        /// Id of the node.
        to: String,
        /// The message.
        body: Payload,
    },
    /// Send a membership message over UDP.
    SendDatagram {
        /// Where to.
        address: String,
        /// The message.
        body: Payload,
    },
    /// Write the register's state, then report [`Event::WriteCompleted`].
    Persist {
        /// Names the write in its report.
        write_id: u64,
        /// The state to be written; it replaces the one before.
        durable: DurableState,
    },
    /// Write a configuration, then report [`Event::WriteCompleted`].
    StoreConfiguration {
        /// Names the write in its report.
        write_id: u64,
        /// Digest of the bytes.
        digest: String,
        /// The configuration as it was submitted.
        bytes: Vec<u8>,
    },
    /// Write these departures, without a sync and without waiting for other writes, then report
    /// [`Event::DeparturesPersisted`]. They replace those written before.
    PersistDepartures {
        /// Names the write in its report.
        write_id: u64,
        /// Upstreams that are draining or gone.
        departures: Vec<Departure>,
    },
    /// Delete the file of this configuration, after all writes before.
    DeleteConfiguration {
        /// Digest of its bytes.
        digest: String,
    },
    /// Respond to a request.
    Respond {
        /// As in [`Event::ControlRequest`].
        request_id: u64,
        /// What is responded.
        response: ControlResponse,
    },
    /// Membership changed: node ids with their link addresses.
    UpdateAddresses(Vec<(String, String)>),
    /// Log a line of information.
    Log(String),
    /// Log a line that an operator has to see.
    LogError(String),
}
