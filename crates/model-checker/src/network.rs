//! Messages in flight, and in which order they may arrive.

use crate::model::fingerprint_of;
use protocol::Payload;
use std::sync::Arc;

/// Which deliveries and syncs may come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Schedule {
    /// Any of them, in every state.
    AnyOrder,
    /// Writes are synced at once and messages arrive in the order they were sent, but for so many strays: a stray
    /// message arrives at any later moment or never, the writes of a stray disk are synced at any later moment.
    InOrder { strays: u8 },
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
    is_stray: bool,
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
        if self
            .in_flight
            .iter()
            .any(|other| other.fingerprint == fingerprint)
        {
            return;
        }
        let sorted = || {
            self.in_flight
                .partition_point(|other| other.fingerprint < fingerprint)
        };
        let at = if self.is_ordered {
            self.in_flight.len()
        } else {
            sorted()
        };
        self.in_flight.insert(
            at,
            InFlight {
                fingerprint,
                is_stray: false,
                message: Arc::new(message),
            },
        );
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

    /// The message whose turn it is: the oldest that is no stray.
    pub fn next_in_turn(&self) -> Option<usize> {
        self.in_flight.iter().position(|message| !message.is_stray)
    }

    pub fn strays(&self) -> impl Iterator<Item = usize> {
        (0..self.in_flight.len()).filter(|at| self.in_flight[*at].is_stray)
    }

    pub fn make_stray(&mut self, at: usize) {
        self.in_flight[at].is_stray = true;
    }

    pub fn fingerprints(&self) -> Vec<(u64, bool)> {
        let strays = self.in_flight.iter().filter(|message| message.is_stray);
        let in_turn = self.in_flight.iter().filter(|message| !message.is_stray);
        let mut strays: Vec<u64> = strays.map(|message| message.fingerprint).collect();
        strays.sort_unstable();
        let in_turn = in_turn.map(|message| (message.fingerprint, false));
        strays
            .into_iter()
            .map(|fingerprint| (fingerprint, true))
            .chain(in_turn)
            .collect()
    }
}
