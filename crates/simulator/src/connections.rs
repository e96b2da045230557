//! Connections that proxies keep to upstreams, and what upstreams do wrong on them.
//!
//! Nothing here is drawn or kept while no fault asks for it, so that runs without such faults stay as they were.

use super::nodes::NodeEvent;
use crate::responses::Response;
use crate::schedule::Action;
use crate::world::World;
use request_routing::{CallOutcome, RequestStage};
use std::collections::BTreeMap;
use std::time::Duration;
use transport::{ResponseContext, ResponseId, ResponseMatch};

/// So much later than its answer a surplus one comes at most.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(200);

/// How upstreams behave on connections, of a thousand requests each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionFaults {
    /// An answer is sent a second time, later.
    pub duplicates_per_mille: u64,
    /// The connection is reset when the request arrives, or in the place of the answer.
    pub resets_per_mille: u64,
    /// The request is never answered.
    pub hangs_per_mille: u64,
}

/// One connection of a proxy.
pub struct OpenConnection {
    node: usize,
    node_incarnation: u64,
    address: String,
    /// Which upstream accepted it, and in which incarnation.
    accepted_by: (usize, u64),
    carried: u32,
    idle: bool,
    /// Something came on it that no request under way waits for.
    has_unexpected_response: bool,
}

/// All connections of a run.
#[derive(Default)]
pub struct Connections {
    /// How many faults want them kept.
    pub keep_alive_faults: u32,
    pub faults_on_connections: ConnectionFaults,
    open: BTreeMap<u64, OpenConnection>,
    /// How often one was used again, and how many answers to other requests were read past.
    pub reused_connections: u64,
    pub skipped_responses: u64,
}

impl World {
    /// The look at kept connections: one on which nothing stands, with who accepted it. Whether the end of one has
    /// been received yet is random.
    pub(super) fn reuse_connection(
        &mut self,
        node: usize,
        address: &str,
    ) -> Option<(u64, (usize, u64))> {
        let incarnation = self.nodes[node].incarnation;
        let wanted =
            |kept: &OpenConnection| kept.idle && kept.node == node && kept.address == address;
        while let Some(id) = self
            .connections
            .open
            .iter()
            .rev()
            .find(|(_, kept)| wanted(kept))
            .map(|(id, _)| *id)
        {
            let kept = self.connections.open.get_mut(&id)?;
            kept.idle = false;
            let (accepted_by, usable) = (
                kept.accepted_by,
                kept.node_incarnation == incarnation && !kept.has_unexpected_response,
            );
            let seen_closed = !self.is_accepted(accepted_by) && self.random.below(2) == 0;
            if usable && !seen_closed {
                self.connections.reused_connections += 1;
                return Some((id, accepted_by));
            }
            self.connections.open.remove(&id);
        }
        None
    }

    fn is_accepted(&self, (upstream, incarnation): (usize, u64)) -> bool {
        self.upstreams[upstream].up && self.upstreams[upstream].incarnation == incarnation
    }

    /// A new connection of a request, where they are kept.
    pub(super) fn open_connection(
        &mut self,
        node: usize,
        address: &str,
        accepted_by: (usize, u64),
    ) -> Option<u64> {
        if self.connections.keep_alive_faults == 0 {
            return None;
        }
        let id = self.allocate_id();
        let (address, node_incarnation) = (address.to_owned(), self.nodes[node].incarnation);
        let kept = OpenConnection {
            node,
            node_incarnation,
            address,
            accepted_by,
            carried: 0,
            idle: false,
            has_unexpected_response: false,
        };
        self.connections.open.insert(id, kept);
        Some(id)
    }

    /// True where the kernel reports, right before the write, that the connection can't be written to any more.
    pub(super) fn is_unwritable(&mut self, connection: u64) -> bool {
        let Some(kept) = self.connections.open.get_mut(&connection) else {
            return false;
        };
        let (used, has_unexpected_response, accepted_by) = (
            kept.carried > 0,
            kept.has_unexpected_response,
            kept.accepted_by,
        );
        kept.carried += 1;
        let unwritable = has_unexpected_response
            || (used && !self.is_accepted(accepted_by) && self.random.below(2) == 0);
        if unwritable {
            self.connections.open.remove(&connection);
        }
        unwritable
    }

    /// A call ended: its connection is kept only where exactly its answer came.
    pub(super) fn release_connection(&mut self, connection: u64, expected: bool) {
        match self.connections.open.get_mut(&connection) {
            Some(kept) if expected && !kept.has_unexpected_response => kept.idle = true,
            _ => drop(self.connections.open.remove(&connection)),
        }
    }

    pub(super) fn draw_reset(&mut self) -> bool {
        let resets = self.connections.faults_on_connections.resets_per_mille;
        resets > 0 && self.random.below(1000) < resets
    }

    pub(super) fn draw_hang(&mut self) -> bool {
        let hangs = self.connections.faults_on_connections.hangs_per_mille;
        hangs > 0 && self.random.below(1000) < hangs
    }

    /// An answer is perhaps sent a second time, on the connection of its request.
    pub(super) fn send_duplicate_response(
        &mut self,
        exchange: u64,
        reply: &Response,
        delay: Duration,
    ) {
        let surplus = self.connections.faults_on_connections.duplicates_per_mille;
        let connection = self
            .exchanges
            .get(&exchange)
            .and_then(|exchange| exchange.connection);
        if surplus == 0 || self.random.below(1000) >= surplus {
            return;
        }
        let later =
            Duration::from_micros(self.random.below(MAX_DUPLICATE_DELAY.as_micros() as u64));
        connection.into_iter().for_each(|connection| {
            let reply = reply.clone();
            self.after(
                delay + later,
                Action::ReceiveDuplicateResponse { connection, reply },
            );
        });
    }

    /// A surplus answer reaches the proxy: it is what the next look finds, or it stands in the place of the answer to
    /// the request that was written meanwhile.
    pub(super) fn receive_duplicate_response(&mut self, connection: u64, reply: Response) {
        let Some(kept) = self.connections.open.get_mut(&connection) else {
            return;
        };
        kept.has_unexpected_response = true;
        let sent = |stage: &RequestStage| matches!(stage, RequestStage::Sent { .. });
        let mut exchanges = self.exchanges.iter_mut();
        let waiting = exchanges.find(|(_, exchange)| {
            exchange.connection == Some(connection) && sent(exchange.routing.stage())
        });
        let Some((id, exchange)) = waiting else {
            return;
        };
        let came = ResponseContext {
            is_first_on_connection: kept.carried == 1,
            before_request_complete: false,
        };
        let due = ResponseId {
            header: "x-try-id",
            value: &exchange.sent.attempt_id,
        };
        let outcome =
            match transport::match_response(&reply.headers(), reply.status, Some(due), came) {
                _ if self.defects.accepts_any_response_on_connection => CallOutcome::Complete,
                ResponseMatch::OtherRequest
                    if exchange.skipped < transport::MAX_SKIPPED_RESPONSES =>
                {
                    exchange.skipped += 1;
                    self.connections.skipped_responses += 1;
                    return;
                }
                ResponseMatch::CurrentRequest => {
                    reply.classify(&exchange.sent.attempt_id, exchange.instance.as_deref())
                }
                _ => CallOutcome::InvalidResponse,
            };
        let (node, exchange, send) = (exchange.node, *id, exchange.send);
        let event = NodeEvent::CallEnded {
            exchange,
            send,
            outcome,
            reply: Some(reply),
        };
        self.after(Duration::ZERO, Action::Deliver { node, event });
    }
}
