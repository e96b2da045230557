//! The voter's part in the record of key owners: the newest record of a holder of the placement lease, on the disk before
//! it is acknowledged. It is no part of the replicated state: one holder at a time writes it, and no round decides it.

use crate::event::Effect;
use crate::register::{Register, VoterPhase};
use protocol::{KeyOwnersRead, KeyOwnersReadBack, KeyOwnersWrite, KeyOwnersWritten, Payload};

impl Register {
    /// Keeps a record that is newer than the one here and meant for this very disk, and tells what the disk holds then.
    pub(crate) fn handle_key_owners_write(&mut self, from: &str, write: KeyOwnersWrite) {
        if !self.can_write_votes() {
            return;
        }
        let latest = &mut self.acceptor.latest;
        let is_newer = latest
            .key_owners
            .as_ref()
            .is_none_or(|known| known.version() < write.record.version());
        if is_newer && write.disk == latest.disk {
            latest.key_owners = Some(write.record);
            let then = Effect::Send {
                to: from.to_owned(),
                body: Payload::KeyOwnersWritten(written(latest)),
            };
            self.persist(vec![then]);
        } else {
            let written = written(&self.acceptor.persisted);
            self.send(from, Payload::KeyOwnersWritten(written));
        }
    }

    pub(crate) fn handle_key_owners_read(&mut self, from: &str, read: &KeyOwnersRead) {
        if self.phase != VoterPhase::Active {
            return;
        }
        let persisted = &self.acceptor.persisted;
        let read_back = KeyOwnersReadBack {
            epoch: read.epoch,
            record: persisted.key_owners.clone(),
            unrecorded_epoch: persisted.unrecorded_lease_epoch,
            disk: persisted.disk,
        };
        self.send(from, Payload::KeyOwnersReadBack(read_back));
    }
}

/// What a disk holds.
fn written(durable: &protocol::DurableState) -> KeyOwnersWritten {
    let (epoch, number) = durable
        .key_owners
        .as_ref()
        .map(protocol::KeyOwnerRecord::version)
        .unwrap_or_default();
    KeyOwnersWritten {
        epoch,
        number,
        voter_epoch: durable
            .key_owners
            .as_ref()
            .map_or(0, |record| record.voter_epoch),
        disk: durable.disk,
    }
}
