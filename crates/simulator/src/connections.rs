//! Connections that proxies keep to upstreams, and what upstreams do wrong on them.
//!
//! Nothing here is drawn or kept while no fault asks for it, so that runs without such faults stay as they were.

use super::nodes::NodeEvent;
use super::path::Reply;
use super::world::{Action, World};
use request_routing::{CallOutcome, RequestStage};
use std::collections::BTreeMap;
use std::time::Duration;
use transport::{ResponseContext, ResponseId, ResponseMatch};

/// So much later than its answer a surplus one comes at most.
const SURPLUS_WITHIN: Duration = Duration::from_millis(200);

/// How upstreams behave on connections, of a thousand requests each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Manners {
    /// An answer is sent a second time, later.
    pub surplus_per_mille: u64,
    /// The connection is reset when the request arrives, or in the place of the answer.
    pub resets_per_mille: u64,
    /// The request is never answered.
    pub hangs_per_mille: u64,
}

/// One connection of a proxy.
pub struct Kept {
    node: usize,
    node_life: u64,
    address: String,
    /// Which upstream accepted it, in which of its lives.
    accepted_by: (usize, u64),
    carried: u32,
    idle: bool,
    /// Something came on it that no request under way waits for.
    spoiled: bool,
}

/// All connections of a run.
#[derive(Default)]
pub struct Connections {
    /// How many faults want them kept.
    pub keeping: u32,
    pub manners: Manners,
    open: BTreeMap<u64, Kept>,
    /// How often one was used again, and how many answers to other requests were read past.
    pub reused: u64,
    pub passed_over: u64,
}

impl World {
    /// The look at kept connections: one on which nothing stands, with who accepted it. Whether the end of one has
    /// been heard of yet is chance.
    pub(super) fn take_kept(&mut self, node: usize, address: &str) -> Option<(u64, (usize, u64))> {
        let life = self.nodes[node].life;
        let wanted = |kept: &Kept| kept.idle && kept.node == node && kept.address == address;
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
            let (accepted_by, usable) = (kept.accepted_by, kept.node_life == life && !kept.spoiled);
            let seen_closed = !self.is_accepted(accepted_by) && self.random.below(2) == 0;
            if usable && !seen_closed {
                self.connections.reused += 1;
                return Some((id, accepted_by));
            }
            self.connections.open.remove(&id);
        }
        None
    }

    fn is_accepted(&self, (unit, life): (usize, u64)) -> bool {
        self.units[unit].up && self.units[unit].life == life
    }

    /// A new connection of a request, where they are kept.
    pub(super) fn open_kept(
        &mut self,
        node: usize,
        address: &str,
        accepted_by: (usize, u64),
    ) -> Option<u64> {
        if self.connections.keeping == 0 {
            return None;
        }
        let id = self.id();
        let (address, node_life) = (address.to_owned(), self.nodes[node].life);
        let kept = Kept {
            node,
            node_life,
            address,
            accepted_by,
            carried: 0,
            idle: false,
            spoiled: false,
        };
        self.connections.open.insert(id, kept);
        Some(id)
    }

    /// True where the kernel tells, right before the write, that the connection can't be written to any more.
    pub(super) fn is_unwritable(&mut self, connection: u64) -> bool {
        let Some(kept) = self.connections.open.get_mut(&connection) else {
            return false;
        };
        let (used, spoiled, accepted_by) = (kept.carried > 0, kept.spoiled, kept.accepted_by);
        kept.carried += 1;
        let unwritable =
            spoiled || (used && !self.is_accepted(accepted_by) && self.random.below(2) == 0);
        if unwritable {
            self.connections.open.remove(&connection);
        }
        unwritable
    }

    /// A call ended: its connection is kept only where exactly its answer came.
    pub(super) fn end_kept(&mut self, connection: u64, expected: bool) {
        match self.connections.open.get_mut(&connection) {
            Some(kept) if expected && !kept.spoiled => kept.idle = true,
            _ => drop(self.connections.open.remove(&connection)),
        }
    }

    pub(super) fn resets(&mut self) -> bool {
        let resets = self.connections.manners.resets_per_mille;
        resets > 0 && self.random.below(1000) < resets
    }

    pub(super) fn hangs(&mut self) -> bool {
        let hangs = self.connections.manners.hangs_per_mille;
        hangs > 0 && self.random.below(1000) < hangs
    }

    /// An answer is perhaps sent a second time, on the connection of its request.
    pub(super) fn send_surplus(&mut self, trip: u64, reply: &Reply, delay: Duration) {
        let surplus = self.connections.manners.surplus_per_mille;
        let connection = self.trips.get(&trip).and_then(|trip| trip.connection);
        if surplus == 0 || self.random.below(1000) >= surplus {
            return;
        }
        let later = Duration::from_micros(self.random.below(SURPLUS_WITHIN.as_micros() as u64));
        connection.into_iter().for_each(|connection| {
            let reply = reply.clone();
            self.after(delay + later, Action::Surplus { connection, reply });
        });
    }

    /// A surplus answer reaches the proxy: it is what the next look finds, or it stands in the place of the answer to
    /// the request that was written meanwhile.
    pub(super) fn surplus(&mut self, connection: u64, reply: Reply) {
        let Some(kept) = self.connections.open.get_mut(&connection) else {
            return;
        };
        kept.spoiled = true;
        let sent = |stage: &RequestStage| matches!(stage, RequestStage::Sent { .. });
        let mut trips = self.trips.iter_mut();
        let waiting = trips
            .find(|(_, trip)| trip.connection == Some(connection) && sent(trip.journey.stage()));
        let Some((id, trip)) = waiting else { return };
        let came = ResponseContext {
            is_first_on_connection: kept.carried == 1,
            before_request_complete: false,
        };
        let due = ResponseId {
            header: "x-try-id",
            value: &trip.sent.try_id,
        };
        let outcome =
            match transport::match_response(&reply.headers(), reply.status, Some(due), came) {
                _ if self.weak.takes_next => CallOutcome::Complete,
                ResponseMatch::OtherRequest if trip.passed < transport::MAX_SKIPPED_RESPONSES => {
                    trip.passed += 1;
                    self.connections.passed_over += 1;
                    return;
                }
                ResponseMatch::CurrentRequest => {
                    reply.judge(&trip.sent.try_id, trip.instance.as_deref())
                }
                _ => CallOutcome::InvalidResponse,
            };
        let (node, trip, send) = (trip.node, *id, trip.send);
        let event = NodeEvent::CallOutcome {
            trip,
            send,
            outcome,
            reply: Some(reply),
        };
        self.after(Duration::ZERO, Action::Deliver { node, event });
    }
}
