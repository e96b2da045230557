//! What goes into a register and what comes out of it.

use crate::change::{Change, Decision};
use protocol::{DurableState, Payload};

/// An input of [`Register::step`](crate::Register::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message arrived.
    Received {
        /// Name of the sender.
        from: String,
        /// The message; those of other protocols are ignored.
        body: Payload,
    },
    /// The control nodes that membership knows, this one included.
    Peers(Vec<String>),
    /// An operator's change; answered by [`Effect::Decided`].
    Submit {
        /// Returned with the decision.
        request_id: u64,
        /// The change.
        change: Change,
        /// The configuration's bytes where the change brings one.
        bytes: Option<Vec<u8>>,
    },
    /// A change that nobody waits for.
    Propose(Change),
    /// Confirm the state by a majority read that begins now or later.
    Confirm,
    /// A write, and all before it, is on the disk.
    WriteCompleted {
        /// The write's id.
        write_id: u64,
    },
    /// The disk failed: this voter takes no part any more.
    DiskFailed,
    /// Persist a lease epoch; answered by [`Effect::LeaseEpochPersisted`].
    PersistLeaseEpoch {
        /// The epoch to persist.
        epoch: u64,
        /// False where its candidate keeps no record of key owners.
        keeps_key_owners: bool,
        /// Returned with the answer.
        request_id: u64,
    },
}

/// An output of [`Register::step`](crate::Register::step), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Name of the receiver.
        to: String,
        /// The message.
        body: Payload,
    },
    /// Write this state to the disk, then report [`Event::WriteCompleted`].
    Persist {
        /// Rises with each write.
        write_id: u64,
        /// The whole record to write.
        durable: DurableState,
    },
    /// Write this configuration to the disk, then report [`Event::WriteCompleted`].
    StoreConfiguration {
        /// Rises with each write.
        write_id: u64,
        /// Digest of the bytes, and the configuration's name.
        digest: String,
        /// The configuration.
        bytes: Vec<u8>,
    },
    /// Nothing refers to this configuration any more: delete its file, after all writes before.
    DeleteConfiguration {
        /// Digest of the configuration.
        digest: String,
    },
    /// A submitted change was decided.
    Decided {
        /// The id it was submitted with.
        request_id: u64,
        /// What became of it.
        decision: Decision,
    },
    /// Another state is in force.
    StateChanged,
    /// The lease epoch is on the disk.
    LeaseEpochPersisted {
        /// The id it was asked for with.
        request_id: u64,
    },
}
