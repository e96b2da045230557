//! Configurations' bytes: taken in, handed out as they travel, and dropped once nothing refers to them.

use crate::register::{Effect, Register, Write};
use protocol::{ConfigurationBytes, ConfigurationRequest, Payload};
use std::collections::BTreeSet;

/// How many setups are kept beside those that something refers to, and how many bytes of them at most.
const MAX_SPARE_SETUPS: usize = 16;
const MAX_SPARE_BYTES: usize = 8 * 1024 * 1024;

impl Register {
    pub(crate) fn receive_configuration(&mut self, configuration: ConfigurationBytes) {
        let wanted =
            !self.configurations.contains_key(&configuration.digest) && self.disk_is_free();
        let bytes = Some(&configuration.compressed)
            .filter(|_| wanted)
            .and_then(|compressed| protocol::decompress(compressed));
        let right = bytes.filter(|bytes| protocol::digest(bytes) == configuration.digest);
        right
            .into_iter()
            .for_each(|bytes| self.store_configuration(configuration.digest.clone(), bytes));
    }

    /// Takes in a setup's bytes; they count as held once synced.
    pub(crate) fn store_configuration(&mut self, digest: String, bytes: Vec<u8>) {
        if !self.configurations.contains_key(&digest) && self.disk_is_free() {
            self.write_id += 1;
            let write_id = self.write_id;
            self.writes.push_back(Write {
                write_id,
                durable: None,
                digest: Some(digest.clone()),
                then: Vec::new(),
            });
            self.configurations.insert(digest.clone(), bytes.clone());
            self.arrivals.push_back(digest.clone());
            self.effects.push(Effect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            });
        }
    }

    /// A setup as it travels; the last one is kept so.
    pub(crate) fn compressed(&mut self, digest: &str) -> Option<Vec<u8>> {
        if self
            .compressed
            .as_ref()
            .is_none_or(|(last, _)| last != digest)
        {
            let bytes = self.configurations.get(digest)?;
            self.compressed = Some((digest.to_owned(), protocol::compress(bytes)));
        }
        self.compressed
            .as_ref()
            .map(|(_, compressed)| compressed.clone())
    }

    /// The bytes of the setup in force, as they travel.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert_eq!(Register::new(start).compressed_configuration(), None);
    /// ```
    pub fn compressed_configuration(&mut self) -> Option<Vec<u8>> {
        let digest = self.current.state.digest.clone();
        self.compressed(&digest)
    }

    /// Drops the earliest setups that nothing refers to, beyond a bound. What a state on this disk names, decided or
    /// synced, and what a round or a waiting change needs stays, whatever its age: a voter accepts a state only while it
    /// holds the bytes, so a chosen state's bytes stay on a majority.
    pub(crate) fn delete_unreferenced_configurations(&mut self) {
        let referenced = self.referenced_setups();
        let spare = |digest: &&String| !referenced.contains(*digest) && self.held.contains(*digest);
        let mut count = self.arrivals.iter().filter(spare).count();
        let size = |digest: &String| self.configurations.get(digest).map_or(0, Vec::len);
        let mut bytes: usize = self.arrivals.iter().filter(spare).map(size).sum();
        let mut dropped = Vec::new();
        for digest in self.arrivals.iter().filter(spare) {
            if count <= MAX_SPARE_SETUPS && bytes <= MAX_SPARE_BYTES {
                break;
            }
            count -= 1;
            bytes -= size(digest);
            dropped.push(digest.clone());
        }
        self.arrivals.retain(|digest| !dropped.contains(digest));
        for digest in dropped {
            self.configurations.remove(&digest);
            self.held.remove(&digest);
            self.effects.push(Effect::DeleteConfiguration { digest });
        }
    }

    /// Digests of the setups that must be kept.
    fn referenced_setups(&self) -> BTreeSet<String> {
        let states = [
            &self.durable.accepted,
            &self.synced.accepted,
            &self.current.state,
        ];
        let states = states.into_iter().chain(self.round.proposed_state());
        let pending = self.pending.iter().filter_map(|change| change.digest());
        states
            .map(|state| state.digest.clone())
            .chain(pending)
            .collect()
    }

    /// True where the state accepted here names a setup whose bytes this node lacks.
    ///
    /// ```
    /// # use quorum_register::{Register, RegisterConfig, RegisterTiming};
    /// # let start = RegisterConfig { me: "a".into(), initial_voter_count: 3, seed: 1, durable: Default::default(),
    /// #     configurations: Default::default(), times: RegisterTiming::default() };
    /// assert!(!Register::new(start).is_missing_accepted_configuration());
    /// ```
    pub fn is_missing_accepted_configuration(&self) -> bool {
        let digest = &self.durable.accepted.digest;
        !digest.is_empty() && !self.configurations.contains_key(digest)
    }

    pub(crate) fn send_configuration(&mut self, from: &str, ask: &ConfigurationRequest) {
        if let Some(compressed) = self.compressed(&ask.digest) {
            self.send(
                from,
                Payload::ConfigurationBytes(ConfigurationBytes {
                    digest: ask.digest.clone(),
                    compressed,
                }),
            );
        }
    }

    /// A damaged or missing file is mended from the others.
    pub(crate) fn request_missing_configuration(&mut self) {
        if self.is_missing_accepted_configuration() {
            let digest = self.durable.accepted.digest.clone();
            self.send_all(Payload::ConfigurationRequest(ConfigurationRequest {
                digest,
            }));
        }
    }
}
