//! Runs the node's components, membership, register and lease, and handles their effects.

use crate::interface::Effect;
use crate::node::ControlNode;
use std::sync::Arc;
use std::time::Duration;

impl ControlNode {
    pub(crate) fn run_membership(&mut self, now: Duration, effects: Vec<membership::Effect>) {
        let changed = effects.contains(&membership::Effect::Changed);
        for effect in effects {
            if let membership::Effect::Send { address, body } = effect {
                self.effects
                    .push_back(Effect::SendDatagram { address, body });
            }
        }
        if changed {
            self.handle_members_changed();
        }
        let control_nodes = self
            .control_nodes()
            .map(|member| member.node.clone())
            .collect();
        self.run_register(now, quorum_register::Event::Peers(control_nodes));
    }

    fn handle_members_changed(&mut self) {
        self.members = self.membership.members().cloned().collect();
        self.updates.retain_members(&self.members);
        let addresses = self
            .members
            .iter()
            .map(|member| (member.node.clone(), member.link_address.clone()))
            .collect();
        self.effects.push_back(Effect::UpdateAddresses(addresses));
    }

    pub(crate) fn run_register(&mut self, now: Duration, event: quorum_register::Event) {
        for effect in self.register.step(now, event) {
            self.handle_register_effect(now, effect);
        }
    }

    fn handle_register_effect(&mut self, now: Duration, effect: quorum_register::Effect) {
        use quorum_register::Effect as RegisterEffect;
        match effect {
            // An answer to what this node itself asked.
            RegisterEffect::Send { to, body } if to == self.me.node => {
                self.handle_message(now, to, body);
            }
            RegisterEffect::Send { to, body } => self.send_register_message(now, to, body),
            RegisterEffect::Persist { write_id, durable } => {
                self.effects
                    .push_back(Effect::Persist { write_id, durable });
            }
            RegisterEffect::StoreConfiguration {
                write_id,
                digest,
                bytes,
            } => {
                self.effects.push_back(Effect::StoreConfiguration {
                    write_id,
                    digest,
                    bytes,
                });
            }
            RegisterEffect::DeleteConfiguration { digest } => {
                self.effects
                    .push_back(Effect::DeleteConfiguration { digest });
            }
            RegisterEffect::Decided {
                request_id,
                decision,
            } => self.handle_decision(now, request_id, decision),
            RegisterEffect::StateChanged => self.handle_state_changed(),
            RegisterEffect::LeaseEpochPersisted { request_id } => {
                self.run_lease(now, lease::Event::LeaseEpochPersisted { request_id });
            }
        }
    }

    /// Whom the lease asks, and what it may grant, follows every newer state at once.
    pub(crate) fn update_lease_voters(&mut self, now: Duration) {
        let event = lease::Event::VotersChanged {
            voter_set: self.register.voter_set().clone(),
            persisted_epoch: self.register.lease_epoch(),
        };
        self.run_lease(now, event);
    }

    pub(crate) fn run_lease(&mut self, now: Duration, event: lease::Event) {
        for effect in self.lease.step(now, event) {
            match effect {
                lease::Effect::Send { to, body } => self.send(to, body),
                lease::Effect::PersistLeaseEpoch {
                    epoch,
                    keeps_key_owners,
                    request_id,
                } => {
                    let event = quorum_register::Event::PersistLeaseEpoch {
                        epoch,
                        keeps_key_owners,
                        request_id,
                    };
                    self.run_register(now, event);
                }
            }
        }
    }

    /// A newer state is in force: its configuration is parsed once, and goes to the data-plane nodes with the next tick.
    fn handle_state_changed(&mut self) {
        let parsed = match self.register.configuration() {
            Some(bytes) => (self.reader.0)(bytes).ok(),
            None => None,
        };
        self.configuration = parsed.map(Arc::new).unwrap_or_default();
        self.updates.schedule_now();
        self.log(format!("revision {} is in force", self.revision()));
    }
}
