//! What goes into a lease and what comes out of it.

use protocol::{Payload, VoterSet};

/// An input of [`Lease::step`](crate::Lease::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Ticks must come many times within a safety margin.
    Tick,
    /// A message arrived.
    Received {
        /// Name of the sender.
        from: String,
        /// The message; those of other protocols are ignored.
        body: Payload,
    },
    /// Who votes, as far as this node knows.
    VotersChanged {
        /// The voters known here.
        voter_set: VoterSet,
        /// The highest lease epoch on this node's disk.
        persisted_epoch: u64,
    },
    /// The epoch of an [`Effect::PersistLeaseEpoch`] is on the disk.
    LeaseEpochPersisted {
        /// The effect's request id.
        request_id: u64,
    },
    /// This node shuts down: release the lease and never request it again.
    Shutdown,
}

/// An output of [`Lease::step`](crate::Lease::step), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Name of the receiver.
        to: String,
        /// The message.
        body: Payload,
    },
    /// Write this epoch to the disk, then report [`Event::LeaseEpochPersisted`].
    PersistLeaseEpoch {
        /// The epoch to write.
        epoch: u64,
        /// False where the candidate will keep no record of key owners.
        keeps_key_owners: bool,
        /// Tells the completions of several writes apart.
        request_id: u64,
    },
}
