//! What happens when, in virtual time.

use super::upstreams::HeartbeatResponse;
use control_plane::ControlResponse;
use protocol::{DurableState, Payload, Upstream};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// What happens at a moment.
pub enum ScheduledEvent {
    Tick {
        node: usize,
        incarnation: u64,
    },
    Envelope {
        node: usize,
        from: usize,
        body: Payload,
    },
    Datagram {
        node: usize,
        from: usize,
        body: Payload,
    },
    Synced {
        node: usize,
        incarnation: u64,
        write_id: u64,
        write: Write,
    },
    Heartbeat {
        upstream: usize,
        incarnation: u64,
    },
    HeartbeatArrived {
        node: usize,
        upstream: usize,
        incarnation: u64,
        record: Box<Upstream>,
    },
    HeartbeatAnswered {
        upstream: usize,
        answered: HeartbeatResponse,
    },
    Submit {
        bytes: Vec<u8>,
        requested: u32,
    },
    Result {
        requested: u32,
        answer: ControlResponse,
    },
}

/// What a disk is asked to keep.
pub enum Write {
    State(DurableState),
    Configuration(String, Vec<u8>),
}

struct Item {
    at: Duration,
    number: u64,
    what: ScheduledEvent,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events in their order; those of one moment in the order of their making.
#[derive(Default)]
pub struct Queue {
    items: BinaryHeap<Reverse<Item>>,
    number: u64,
}

impl Queue {
    pub fn push(&mut self, at: Duration, what: ScheduledEvent) {
        self.number += 1;
        self.items.push(Reverse(Item {
            at,
            number: self.number,
            what,
        }));
    }

    /// The next that happens no later than `until`.
    pub fn pop(&mut self, until: Duration) -> Option<(Duration, ScheduledEvent)> {
        let due = self
            .items
            .peek()
            .is_some_and(|Reverse(item)| item.at <= until);
        Some(())
            .filter(|()| due)
            .and_then(|()| self.items.pop())
            .map(|Reverse(item)| (item.at, item.what))
    }
}
