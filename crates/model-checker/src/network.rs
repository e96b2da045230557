//! Messages in flight, and in which order they may arrive.

use crate::model::fingerprint_of;
use protocol::Payload;
use std::sync::Arc;

/// Which deliveries and syncs may come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Schedule {
    /// Any of them, in every state.
    AnyOrder,
    /// Writes are synced at once and messages arrive in the order they were sent, but for a number of delays: a
    /// delayed message arrives at any later moment or never, the writes of a delayed disk are synced at any later
    /// moment.
    InOrder {
        /// How many messages and disks may be delayed.
        delays: u8,
    },
}

#[derive(Hash)]
pub(crate) struct Message {
    pub from: usize,
    pub to: usize,
    pub body: Payload,
}

#[derive(Clone)]
pub(crate) struct InFlight {
    fingerprint: u64,
    is_delayed: bool,
    pub message: Arc<Message>,
}

/// All messages in flight. An equal one that is sent again counts as lost: that messages arrive twice is an action of
/// its own.
#[derive(Clone, Default)]
pub(crate) struct Network {
    /// In the order of sending where that matters, else in the order of fingerprints.
    in_flight: Vec<InFlight>,
    is_ordered: bool,
}

impl Network {
    pub fn new(schedule: Schedule) -> Self {
        Network {
            in_flight: Vec::new(),
            is_ordered: schedule != Schedule::AnyOrder,
        }
    }

    pub fn send(&mut self, from: usize, to: usize, body: Payload) {
        let message = Message { from, to, body };
        let fingerprint = fingerprint_of(&message);
        let mut others = self.in_flight.iter();
        if others.any(|other| other.fingerprint == fingerprint) {
            return;
        }
        let at = if self.is_ordered {
            self.in_flight.len()
        } else {
            self.in_flight
                .partition_point(|other| other.fingerprint < fingerprint)
        };
        let message = InFlight {
            fingerprint,
            is_delayed: false,
            message: Arc::new(message),
        };
        self.in_flight.insert(at, message);
    }

    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    pub fn message(&self, at: usize) -> &Message {
        &self.in_flight[at].message
    }

    pub fn copy(&self, at: usize) -> InFlight {
        self.in_flight[at].clone()
    }

    pub fn take(&mut self, at: usize) -> InFlight {
        self.in_flight.remove(at)
    }

    pub fn take_first(&mut self) -> Option<InFlight> {
        (!self.in_flight.is_empty()).then(|| self.in_flight.remove(0))
    }

    /// The message whose turn it is: the oldest that is not delayed.
    pub fn next_in_order(&self) -> Option<usize> {
        self.in_flight
            .iter()
            .position(|message| !message.is_delayed)
    }

    /// The messages that arrive at any moment from now on.
    pub fn delayed(&self) -> impl Iterator<Item = usize> {
        (0..self.in_flight.len()).filter(|at| self.in_flight[*at].is_delayed)
    }

    pub fn delay(&mut self, at: usize) {
        self.in_flight[at].is_delayed = true;
    }

    /// All messages with whether they are delayed. The order of delayed messages among themselves does not matter.
    pub fn fingerprints(&self) -> Vec<(u64, bool)> {
        let (delayed, in_order): (Vec<&InFlight>, Vec<&InFlight>) = self
            .in_flight
            .iter()
            .partition(|message| message.is_delayed);
        let mut delayed: Vec<u64> = delayed.iter().map(|message| message.fingerprint).collect();
        delayed.sort_unstable();
        let delayed = delayed.into_iter().map(|fingerprint| (fingerprint, true));
        let in_order = in_order.iter().map(|message| (message.fingerprint, false));
        delayed.chain(in_order).collect()
    }
}
