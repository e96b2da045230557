//! A node's disk, and the writes that it has not reported as synced.

use protocol::DurableState;
use std::collections::BTreeMap;

/// A write that the disk has not reported as synced.
#[derive(Clone, Hash)]
pub(crate) struct Write {
    pub write_id: u64,
    pub content: Content,
}

#[derive(Clone, Hash)]
pub(crate) enum Content {
    State(DurableState),
    Configuration {
        digest: String,
        bytes: Vec<u8>,
    },
    /// A configuration that nothing refers to any more; nobody waits for this.
    DroppedSetup {
        digest: String,
    },
}

/// One node's disk.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Disk {
    pub durable: DurableState,
    pub configurations: BTreeMap<String, Vec<u8>>,
}

impl Disk {
    /// Writes one thing.
    pub fn apply(&mut self, content: &Content) {
        match content {
            Content::State(durable) => self.durable = durable.clone(),
            Content::Configuration { digest, bytes } => {
                self.configurations.insert(digest.clone(), bytes.clone());
            }
            Content::DroppedSetup { digest } => {
                self.configurations.remove(digest);
            }
        }
    }
}
