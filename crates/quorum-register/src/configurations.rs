//! The configurations' bytes: received, sent compressed, and deleted once nothing refers to them.

use crate::event::Effect;
use crate::register::Register;
use crate::write_queue::PendingWrite;
use protocol::{ConfigurationBytes, ConfigurationRequest, Payload};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How many configurations are kept beside those that something refers to.
const MAX_SPARE_CONFIGURATIONS: usize = 16;
/// How many bytes of spare configurations are kept.
const MAX_SPARE_BYTES: usize = 8 * 1024 * 1024;

/// A configuration as it is sent.
#[derive(Clone, Debug, Hash)]
struct CompressedConfiguration {
    digest: String,
    compressed: Vec<u8>,
}

/// The configurations that this node has, by digest.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ConfigurationStore {
    contents: BTreeMap<String, Vec<u8>>,
    /// Digests, the earliest received first.
    arrival_order: VecDeque<String>,
    /// Digests of those that are on the disk.
    persisted: BTreeSet<String>,
    /// The one that was sent last.
    last_compressed: Option<CompressedConfiguration>,
}

impl ConfigurationStore {
    /// The configurations found on the disk.
    pub(crate) fn new(contents: BTreeMap<String, Vec<u8>>) -> ConfigurationStore {
        ConfigurationStore {
            arrival_order: contents.keys().cloned().collect(),
            persisted: contents.keys().cloned().collect(),
            contents,
            last_compressed: None,
        }
    }

    pub(crate) fn get(&self, digest: &str) -> Option<&[u8]> {
        self.contents.get(digest).map(Vec::as_slice)
    }

    /// True where the bytes are here; also where there are none, as in a state before the first configuration.
    pub(crate) fn is_complete(&self, digest: &str) -> bool {
        digest.is_empty() || self.contents.contains_key(digest)
    }

    /// True where the bytes are on the disk.
    pub(crate) fn is_persisted(&self, digest: &str) -> bool {
        self.persisted.contains(digest)
    }

    pub(crate) fn mark_persisted(&mut self, digest: String) {
        self.persisted.insert(digest);
    }

    fn insert(&mut self, digest: String, bytes: Vec<u8>) {
        self.arrival_order.push_back(digest.clone());
        self.contents.insert(digest, bytes);
    }

    /// A configuration as it is sent.
    pub(crate) fn compressed(&mut self, digest: &str) -> Option<Vec<u8>> {
        if let Some(last) = &self.last_compressed
            && last.digest == digest
        {
            return Some(last.compressed.clone());
        }
        let compressed = protocol::compress(self.contents.get(digest)?);
        self.last_compressed = Some(CompressedConfiguration {
            digest: digest.to_owned(),
            compressed: compressed.clone(),
        });
        Some(compressed)
    }

    /// Removes the earliest configurations that nothing refers to, beyond a bound, and returns their digests. Those that
    /// aren't on the disk yet stay.
    fn remove_unreferenced(&mut self, referenced: &BTreeSet<String>) -> Vec<String> {
        let size_of = |digest: &String| self.contents.get(digest).map_or(0, Vec::len);
        let spare: Vec<String> = self
            .arrival_order
            .iter()
            .filter(|digest| !referenced.contains(*digest) && self.persisted.contains(*digest))
            .cloned()
            .collect();
        let mut count = spare.len();
        let mut bytes: usize = spare.iter().map(size_of).sum();
        let mut removed = Vec::new();
        for digest in spare {
            if count <= MAX_SPARE_CONFIGURATIONS && bytes <= MAX_SPARE_BYTES {
                break;
            }
            count -= 1;
            bytes -= size_of(&digest);
            removed.push(digest);
        }
        self.arrival_order
            .retain(|digest| !removed.contains(digest));
        for digest in &removed {
            self.contents.remove(digest);
            self.persisted.remove(digest);
        }
        removed
    }
}

impl Register {
    /// Stores a configuration that another node sent, where its bytes match its digest.
    pub(crate) fn handle_configuration(&mut self, configuration: ConfigurationBytes) {
        let ConfigurationBytes { digest, compressed } = configuration;
        if self.configurations.get(&digest).is_some() || !self.writes.has_capacity() {
            return;
        }
        let Some(bytes) = protocol::decompress(&compressed) else {
            return;
        };
        if protocol::digest(&bytes) == digest {
            self.store_configuration(digest, bytes);
        }
    }

    /// Keeps a configuration and writes it to the disk.
    pub(crate) fn store_configuration(&mut self, digest: String, bytes: Vec<u8>) {
        if self.configurations.get(&digest).is_some() || !self.writes.has_capacity() {
            return;
        }
        let write_id = self.writes.push(PendingWrite::Configuration {
            digest: digest.clone(),
        });
        self.configurations.insert(digest.clone(), bytes.clone());
        self.effects.push(Effect::StoreConfiguration {
            write_id,
            digest,
            bytes,
        });
    }

    /// The bytes of the configuration in force, as they are sent.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert_eq!(Register::new(config).compressed_configuration(), None);
    /// ```
    pub fn compressed_configuration(&mut self) -> Option<Vec<u8>> {
        self.configurations.compressed(&self.chosen.state.digest)
    }

    /// Deletes the earliest configurations that nothing refers to, beyond a bound. What a state here names, decided or
    /// on the disk, and what a round or a pending change needs stays, whatever its age: a voter accepts a state only
    /// while it has the bytes, so a chosen state's bytes stay on a quorum.
    pub(crate) fn delete_unreferenced_configurations(&mut self) {
        let referenced = self.referenced_configurations();
        for digest in self.configurations.remove_unreferenced(&referenced) {
            self.effects.push(Effect::DeleteConfiguration { digest });
        }
    }

    /// Digests of the configurations that must be kept.
    fn referenced_configurations(&self) -> BTreeSet<String> {
        let states = [
            &self.acceptor.latest.accepted,
            &self.acceptor.persisted.accepted,
            &self.chosen.state,
        ];
        states
            .into_iter()
            .chain(self.proposer.proposed_state())
            .map(|state| state.digest.clone())
            .chain(self.proposer.pending_digests())
            .collect()
    }

    /// True where the state accepted here names a configuration whose bytes this node lacks.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let config = RegisterConfig { node: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), timing: RegisterTiming::default() };
    /// assert!(!Register::new(config).is_missing_accepted_configuration());
    /// ```
    pub fn is_missing_accepted_configuration(&self) -> bool {
        let digest = &self.acceptor.latest.accepted.digest;
        !self.configurations.is_complete(digest)
    }

    pub(crate) fn handle_configuration_request(&mut self, from: &str, digest: String) {
        if let Some(compressed) = self.configurations.compressed(&digest) {
            let configuration = ConfigurationBytes { digest, compressed };
            self.send(from, Payload::ConfigurationBytes(configuration));
        }
    }

    /// Requests a damaged or missing file from the other nodes.
    pub(crate) fn request_missing_configuration(&mut self) {
        if self.is_missing_accepted_configuration() {
            let digest = self.acceptor.latest.accepted.digest.clone();
            self.request_configuration(digest);
        }
    }

    /// Requests a configuration from every node.
    pub(crate) fn request_configuration(&mut self, digest: String) {
        self.broadcast(Payload::ConfigurationRequest(ConfigurationRequest {
            digest,
        }));
    }
}
