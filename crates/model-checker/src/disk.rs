//! A node's disk, and the writes that it has not reported as synced.

use protocol::DurableState;
use std::collections::{BTreeMap, VecDeque};

/// Writes in the order of their issue that the disk has not reported as synced.
#[derive(Clone, Hash)]
pub(crate) struct WriteQueue<W> {
    writes: VecDeque<W>,
    /// The sync comes at any later moment, until the queue is empty.
    is_delayed: bool,
}

impl<W> Default for WriteQueue<W> {
    fn default() -> Self {
        WriteQueue {
            writes: VecDeque::new(),
            is_delayed: false,
        }
    }
}

impl<W> WriteQueue<W> {
    pub fn push(&mut self, write: W) {
        self.writes.push_back(write);
    }

    /// Takes the write that is synced next.
    pub fn pop_oldest(&mut self) -> Option<W> {
        let oldest = self.writes.pop_front();
        self.is_delayed &= !self.writes.is_empty();
        oldest
    }

    /// The write that is synced next.
    pub fn oldest(&self) -> Option<&W> {
        self.writes.front()
    }

    /// Ends the queue by a crash that lets the first writes persist, and returns those.
    pub fn crash(&mut self, persisted: usize) -> Vec<W> {
        self.writes.drain(..).take(persisted).collect()
    }

    pub fn delay(&mut self) {
        self.is_delayed = true;
    }

    pub fn is_delayed(&self) -> bool {
        self.is_delayed
    }

    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    pub fn len(&self) -> usize {
        self.writes.len()
    }
}

/// A write of the register.
#[derive(Clone, Hash)]
pub(crate) struct Write {
    /// The register's own name for the write, to be reported when it is synced.
    pub write_id: u64,
    pub content: Content,
}

/// What the register writes.
#[derive(Clone, Hash)]
pub(crate) enum Content {
    State(DurableState),
    Configuration {
        digest: String,
        bytes: Vec<u8>,
    },
    /// A configuration that nothing refers to any more; nobody waits for this.
    DeletedConfiguration {
        digest: String,
    },
}

impl Content {
    /// True where the register is to be notified of the sync.
    pub fn is_awaited(&self) -> bool {
        !matches!(self, Content::DeletedConfiguration { .. })
    }
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
            Content::DeletedConfiguration { digest } => {
                self.configurations.remove(digest);
            }
        }
    }
}
