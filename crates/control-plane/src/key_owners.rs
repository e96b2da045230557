//! The record of key owners: keeps it at the voters while this node holds the placement lease, and lets keys be granted to
//! whom it names.

use crate::node::ControlNode;
use crate::placement::PlacementLease;
use protocol::{KeyOwnersReadBack, KeyOwnersWritten, ServiceKeyOwners};
use std::time::Duration;
use upstream_registry::{KeyRangeAssigner, OwnerRecord, ToVoter};

impl ControlNode {
    /// Reads, writes and repeats what is due, and proposes the owners that are to be on record now.
    pub(crate) fn tick_key_owners(&mut self, now: Duration) {
        let voter_set = self.register.voter_set().clone();
        self.step_key_owners(now, |record| record.tick(now, &voter_set));
        self.propose_key_owners(now);
    }

    pub(crate) fn handle_key_owners_read_back(
        &mut self,
        now: Duration,
        from: &str,
        read_back: KeyOwnersReadBack,
    ) {
        let voter_set = self.register.voter_set().clone();
        self.step_key_owners(now, |record| {
            record.handle_read_back(now, &voter_set, from, read_back)
        });
    }

    pub(crate) fn handle_key_owners_written(
        &mut self,
        now: Duration,
        from: &str,
        written: &KeyOwnersWritten,
    ) {
        let voter_set = self.register.voter_set().clone();
        self.step_key_owners(now, |record| {
            record.handle_written(&voter_set, from, written)
        });
        self.propose_key_owners(now);
    }

    /// Proposes the owners that are to be on record, where they are others than those that are.
    pub(crate) fn propose_key_owners(&mut self, now: Duration) {
        let Some(lease) = &self.placement.lease else {
            return;
        };
        let is_possible = lease
            .owner_record
            .as_ref()
            .is_some_and(OwnerRecord::accepts_proposals);
        let is_needed = lease
            .ranges
            .values()
            .any(KeyRangeAssigner::has_unrecorded_owners);
        // Without a configuration it is not known which services there are.
        if !is_possible || !is_needed || self.configuration.services.is_empty() {
            return;
        }
        let services = self.key_owners_to_record(lease);
        let voter_set = self.register.voter_set().clone();
        self.step_key_owners(now, |record| record.propose(now, &voter_set, services));
    }

    /// The owners of the keys of all services that divide their work by numbers. Of those whose upstreams weren't heard yet
    /// they stay what they are.
    fn key_owners_to_record(&self, lease: &PlacementLease) -> Vec<ServiceKeyOwners> {
        let grant_time = self.grant_clock.now();
        let owners_of = |service: &str| match lease.ranges.get(service) {
            Some(ranges) => ranges.owners_to_record(grant_time),
            None => {
                let record = lease.owner_record.as_ref()?;
                Some(record.committed_owners(service)?.to_vec())
            }
        };
        let numeric = self
            .configuration
            .services
            .values()
            .filter(|service| service.keyed && service.numeric_keys);
        numeric
            .filter_map(|service| {
                Some(ServiceKeyOwners {
                    service: service.name.clone(),
                    owners: owners_of(&service.name)?,
                })
            })
            .collect()
    }

    /// Lets the record take a step, sends its messages, and lets keys be granted by what it is then.
    fn step_key_owners(
        &mut self,
        now: Duration,
        step: impl FnOnce(&mut OwnerRecord) -> Vec<ToVoter>,
    ) {
        let Some(lease) = &mut self.placement.lease else {
            return;
        };
        let Some(record) = &mut lease.owner_record else {
            return;
        };
        let (version_before, was_ready) = (record.version(), record.is_ready());
        let messages = step(record);
        let begun = (record.is_ready() && !was_ready).then(|| record.committed_services());
        let has_changed = record.version() != version_before;
        if has_changed {
            for (service, ranges) in &mut lease.ranges {
                follow_record(record, service, ranges);
            }
        }
        if let Some(services) = begun {
            self.log(found_text(&services));
        }
        let me = self.me.node.clone();
        for ToVoter { to, body } in messages {
            if to == me {
                let from = me.clone();
                self.run_register(now, quorum_register::Event::Received { from, body });
            } else {
                self.send(to, body);
            }
        }
        if has_changed {
            self.answer_waiting_heartbeats(now);
        }
    }
}

/// What the log says once a new lease holder may grant keys.
fn found_text(services: &[String]) -> String {
    if services.is_empty() {
        return "keys: no owners are on record; what an earlier lease may have granted is waited out".into();
    }
    let services = services.join(", ");
    format!("keys: owners are on record of {services}; they get their keys back at once")
}

/// Lets keys of a service be granted by what is on record now.
pub(crate) fn follow_record(record: &OwnerRecord, service: &str, ranges: &mut KeyRangeAssigner) {
    let committed = record.committed_owners(service).unwrap_or_default();
    ranges.set_recorded_owners(committed, record.pending_owners(service));
}
