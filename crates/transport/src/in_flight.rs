//! The state of a connection while a request is in flight on it.
//!
//! An [`InFlight`] closes its connection when it is dropped; only [`InFlight::into_idle`] hands it on, and only where
//! nothing unexpected happened.

use crate::connection::{Connection, Driver, OutboundRequest, Sender};
use crate::http_client::{CallError, Reply};
use crate::recorded_stream::{ExchangeRecord, Progress};
use crate::response::{self, read_complete};
use crate::response_match::{self, ResponseContext, ResponseId, ResponseMatch};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

/// How many responses to other requests are skipped before the one that is due.
pub const MAX_SKIPPED_RESPONSES: usize = 4;

type LibraryRequest = Request<Full<Bytes>>;

/// A connection with a request in flight.
pub(crate) struct InFlight {
    address: String,
    sender: Sender,
    /// None once it ended without a response.
    driver: Option<Driver>,
    /// False once the other side closed the connection, or sent something without a request.
    is_open: bool,
    record: ExchangeRecord,
    requests_carried: u64,
    method: Method,
    body_bytes: u64,
    skipped_responses: usize,
}

impl InFlight {
    /// Prepares a request; not a byte of it is sent yet.
    pub(crate) fn start(
        connection: Connection,
        outbound: OutboundRequest<'_>,
    ) -> Result<(InFlight, LibraryRequest), CallError> {
        let body_bytes = outbound.body.len() as u64;
        let request = build_request(&connection.address, outbound)?;
        connection.record.start_request();
        let in_flight = InFlight {
            address: connection.address,
            sender: connection.sender,
            driver: Some(connection.driver),
            is_open: true,
            record: connection.record,
            requests_carried: connection.requests_carried + 1,
            method: request.method().clone(),
            body_bytes,
            skipped_responses: 0,
        };
        Ok((in_flight, request))
    }

    /// Sends a request and drives the connection until a response is complete.
    pub(crate) async fn read_response(
        &mut self,
        request: LibraryRequest,
    ) -> Result<Reply, CallError> {
        let mut reply = pin!(read_complete(self.sender.try_send_request(request)));
        let driver = &mut self.driver;
        let ended = poll_fn(|context| match driver {
            Some(driver) => driver.poll_without_shutdown(context),
            None => Poll::Ready(Ok(())),
        });
        tokio::select! {
            biased;
            reply = reply.as_mut() => return reply,
            _ = ended => {}
        }
        self.is_open = false;
        // The response may be there already. Where it is not, the library hands the request back once the driver is gone.
        if let Poll::Ready(reply) = futures::poll!(reply.as_mut()) {
            return reply;
        }
        self.driver = None;
        reply.await
    }

    /// How far the request got.
    pub(crate) fn progress(&self) -> Progress {
        self.record.progress(self.body_bytes)
    }

    fn response_came_early(&self) -> bool {
        self.record.response_came_early(self.body_bytes)
    }

    /// Which request a response belongs to.
    pub(crate) fn match_response(
        &self,
        reply: &Reply,
        id: Option<ResponseId<'_>>,
    ) -> ResponseMatch {
        let context = ResponseContext {
            is_first_on_connection: self.requests_carried == 1 && self.skipped_responses == 0,
            before_request_complete: self.response_came_early(),
        };
        response_match::match_response(&reply.headers, reply.status, id, context)
    }

    /// The same connection after a response to another request, for reading the next one. None where the request did
    /// not go out completely, where that response says that it was the last, or where its end is not certain.
    pub(crate) async fn skip_response(self, skipped: &Reply) -> Option<(InFlight, LibraryRequest)> {
        let is_certain = self.progress() == Progress::Complete && self.method != Method::HEAD;
        if !is_certain
            || self.skipped_responses == MAX_SKIPPED_RESPONSES
            || response::announces_close(skipped)
            || response::has_ambiguous_length(skipped)
        {
            return None;
        }
        let parts = self.driver?.into_parts();
        let stream = parts.io.into_inner().for_next_response(parts.read_buf);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // Stands for the request that is out already: the library reads a response only to a request that it wrote.
        let mut placeholder = Request::new(Full::default());
        *placeholder.method_mut() = self.method.clone();
        let next = InFlight {
            sender,
            driver: Some(driver),
            is_open: true,
            skipped_responses: self.skipped_responses + 1,
            ..self
        };
        Some((next, placeholder))
    }

    /// The connection for another request; none where anything was not as expected.
    pub(crate) fn into_idle(self, reply: &Reply) -> Option<Connection> {
        // What follows a response without its body can't be told from that body.
        let is_clean = self.is_open
            && self.skipped_responses == 0
            && self.progress() == Progress::Complete
            && !self.response_came_early()
            && self.method != Method::HEAD
            && !response::has_ambiguous_length(reply);
        if !is_clean {
            return None;
        }
        Some(Connection {
            idle_timeout: response::idle_timeout(reply)?,
            address: self.address,
            sender: self.sender,
            driver: self.driver?,
            record: self.record,
            requests_carried: self.requests_carried,
        })
    }
}

fn build_request(
    address: &str,
    outbound: OutboundRequest<'_>,
) -> Result<LibraryRequest, CallError> {
    let mut request = Request::builder()
        .method(outbound.method)
        .uri(outbound.path)
        .body(Full::new(outbound.body))
        .map_err(|_| CallError::NotConnected)?;
    *request.headers_mut() = outbound.headers;
    if !request.headers().contains_key("host")
        && let Ok(host) = address.parse()
    {
        request.headers_mut().insert("host", host);
    }
    Ok(request)
}
