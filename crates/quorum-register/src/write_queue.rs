//! Disk writes under way. The disk completes them in the order of their ids.

use crate::event::Effect;
use protocol::DurableState;
use std::collections::VecDeque;

/// How many disk writes may be under way before the voter takes no part in rounds.
const MAX_PENDING_WRITES: usize = 64;

/// What is written.
#[derive(Clone, Debug, Hash)]
pub(crate) enum PendingWrite {
    /// The voter's state, and what may be done once it is on the disk.
    State {
        durable: DurableState,
        then: Vec<Effect>,
    },
    /// The configuration with this digest.
    Configuration { digest: String },
}

/// The writes that the disk hasn't completed.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct WriteQueue {
    pending: VecDeque<(u64, PendingWrite)>,
    last_id: u64,
}

impl WriteQueue {
    /// True while the disk keeps up.
    pub(crate) fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_WRITES
    }

    /// Adds a write and returns its id.
    pub(crate) fn push(&mut self, write: PendingWrite) -> u64 {
        self.last_id += 1;
        self.pending.push_back((self.last_id, write));
        self.last_id
    }

    /// The earliest write up to this id, if there is one left.
    pub(crate) fn pop_completed(&mut self, write_id: u64) -> Option<PendingWrite> {
        let (earliest_id, _) = self.pending.front()?;
        if *earliest_id > write_id {
            return None;
        }
        self.pending.pop_front().map(|(_, write)| write)
    }
}
