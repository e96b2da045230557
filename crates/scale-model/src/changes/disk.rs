//! A node's disk, simulated in memory or real.

use std::path::Path;
use storage::{Contents, Storage};

/// Where a node keeps its durable state and configurations.
pub(super) enum Disk {
    Memory(Box<Contents>),
    Real(Box<Storage>),
}

/// A write that the register requested.
pub(super) enum Write {
    State {
        write_id: u64,
        durable: protocol::DurableState,
    },
    Configuration {
        write_id: u64,
        digest: String,
        bytes: Vec<u8>,
    },
    DeleteConfiguration {
        digest: String,
    },
}

impl Disk {
    /// Carries a write out; returns its id where the register waits for it.
    pub(super) fn apply(&mut self, write: Write) -> Option<u64> {
        match (self, write) {
            (Disk::Memory(contents), Write::State { write_id, durable }) => {
                contents.durable = durable;
                Some(write_id)
            }
            (
                Disk::Memory(contents),
                Write::Configuration {
                    write_id,
                    digest,
                    bytes,
                },
            ) => {
                contents.configurations.insert(digest, bytes);
                Some(write_id)
            }
            (Disk::Memory(contents), Write::DeleteConfiguration { digest }) => {
                contents.configurations.remove(&digest);
                None
            }
            (Disk::Real(storage), Write::State { write_id, durable }) => {
                storage.persist_state(&durable).expect("the disk works");
                Some(write_id)
            }
            (
                Disk::Real(storage),
                Write::Configuration {
                    write_id,
                    digest,
                    bytes,
                },
            ) => {
                storage
                    .store_configuration(&digest, &bytes)
                    .expect("the disk works");
                Some(write_id)
            }
            (Disk::Real(storage), Write::DeleteConfiguration { digest }) => {
                storage
                    .delete_configuration(&digest)
                    .expect("the disk works");
                None
            }
        }
    }
}

/// The size of a data folder.
#[derive(Clone, Copy, Default)]
pub(super) struct FolderSize {
    pub(super) bytes: u64,
    pub(super) files: usize,
}

/// Adds up the files of a folder and the folders in it; what can't be read doesn't count.
pub(super) fn folder_size(folder: &Path) -> FolderSize {
    let mut size = FolderSize::default();
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for entry in entries {
        let Ok(metadata) = entry.metadata() else {
            continue;
        };
        let entry_size = if metadata.is_dir() {
            folder_size(&entry.path())
        } else {
            FolderSize {
                bytes: metadata.len(),
                files: 1,
            }
        };
        size.bytes += entry_size.bytes;
        size.files += entry_size.files;
    }
    size
}

/// Removes a data folder of a measurement; one that doesn't exist is no error.
pub(super) fn remove_folder(folder: Option<&Path>) {
    if let Some(folder) = folder {
        drop(std::fs::remove_dir_all(folder));
    }
}
