//! The acceptor's part of a round: promises and acceptances, each on the disk before it is sent.

use crate::event::Effect;
use crate::register::{Register, VoterPhase};
use crate::state_transfer::TransferredState;
use crate::write_queue::PendingWrite;
use protocol::{Accept, Accepted, Ballot, DurableState, Payload, Prepare, Promise, Read, ReadBack};

/// The state of one acceptor.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Acceptor {
    /// What was decided here, perhaps not on the disk yet.
    pub(crate) latest: DurableState,
    /// What the disk surely holds: reads are answered from it.
    pub(crate) persisted: DurableState,
}

impl Acceptor {
    /// The state found on the disk.
    pub(crate) fn new(mut durable: DurableState) -> Acceptor {
        // A disk written before voters could change names only the initial ones.
        if durable.accepted.voter_set.voters.is_empty() {
            durable
                .accepted
                .voter_set
                .voters
                .clone_from(&durable.initial_voters);
        }
        Acceptor {
            persisted: durable.clone(),
            latest: durable,
        }
    }

    /// Promises to accept nothing under a lower ballot. False where a higher one was promised already.
    fn promise(&mut self, ballot: &Ballot) -> bool {
        let promises = *ballot >= self.latest.promised;
        if promises {
            self.latest.promised = ballot.clone();
        }
        promises
    }

    /// True where a proposal under this ballot may be accepted, and its proposer counted a promise of this very disk.
    fn may_accept(&self, ballot: &Ballot, disk: u64) -> bool {
        disk == self.latest.disk && *ballot >= self.latest.promised
    }
}

impl Register {
    /// True while this node votes and its disk keeps up.
    pub(crate) fn can_write_votes(&self) -> bool {
        self.phase == VoterPhase::Active && self.writes.has_capacity()
    }

    pub(crate) fn handle_prepare(&mut self, from: &str, prepare: Prepare) {
        self.proposer.observe_round(&prepare.ballot);
        self.replicas.record_since(from, prepare.since);
        if !self.can_write_votes() {
            return;
        }
        let promises = self.acceptor.promise(&prepare.ballot);
        // What a node sends to itself travels nowhere: it gets the full state.
        let since = prepare.since.filter(|_| from != self.node);
        let latest = &self.acceptor.latest;
        let (accepted, delta) = if promises {
            TransferredState::encode(&latest.accepted, since).into_fields()
        } else {
            (None, None)
        };
        let body = Payload::Promise(Promise {
            ballot: prepare.ballot,
            promised: latest.promised.clone(),
            accepted_at: latest.accepted_at.clone(),
            accepted: accepted.unwrap_or_default(),
            disk: latest.disk,
            lease_epoch: latest.lease_epoch,
            delta,
            since: self.known_decision_count(),
        });
        if promises {
            self.persist_then_send(from, body);
        } else {
            self.send(from, body);
        }
    }

    pub(crate) fn handle_accept(&mut self, from: &str, accept: Accept) {
        let Accept {
            ballot,
            state,
            disk,
            lease_epoch,
        } = accept;
        self.proposer.observe_round(&ballot);
        if !self.can_write_votes() {
            return;
        }
        let may_accept = self.acceptor.may_accept(&ballot, disk);
        let lacks_bytes = !self.configurations.is_complete(&state.digest);
        let accepts = may_accept && !lacks_bytes;
        let latest = &mut self.acceptor.latest;
        if accepts {
            latest.promised = ballot.clone();
            latest.accepted_at = ballot.clone();
            latest.accepted = state;
            latest.lease_epoch = latest.lease_epoch.max(lease_epoch);
        }
        let body = Payload::Accepted(Accepted {
            ballot,
            promised: latest.promised.clone(),
            done: accepts,
            needs_configuration: may_accept && lacks_bytes,
            ..Accepted::default()
        });
        if accepts {
            // The configuration's write was begun earlier, and the disk completes writes in order.
            self.persist_then_send(from, body);
        } else {
            self.send(from, body);
        }
    }

    /// Answers that this acceptor lacks the state to which a proposed difference applies.
    pub(crate) fn request_full_state(&mut self, from: &str, ballot: Ballot, disk: u64) {
        self.proposer.observe_round(&ballot);
        if !self.can_write_votes() {
            return;
        }
        let needs_state = self.acceptor.may_accept(&ballot, disk);
        let accepted = Accepted {
            ballot,
            promised: self.acceptor.latest.promised.clone(),
            needs_state,
            ..Accepted::default()
        };
        self.send(from, Payload::Accepted(accepted));
    }

    pub(crate) fn handle_read(&mut self, from: &str, read: Read) {
        self.replicas.record_since(from, read.since);
        if self.phase != VoterPhase::Active {
            return;
        }
        let persisted = &self.acceptor.persisted;
        // A reader that knows nothing yet has nothing that could be left out.
        let is_other = persisted.accepted_at != read.known || read.known == Ballot::default();
        // Of what is older than what it knows, a reader needs only the ballot.
        let is_older = read.since.is_some() && persisted.accepted_at < read.known;
        let (accepted, delta) = if is_other && !is_older {
            TransferredState::encode(&persisted.accepted, read.since).into_fields()
        } else {
            (None, None)
        };
        let body = Payload::ReadBack(ReadBack {
            nonce: read.nonce,
            accepted_at: is_other.then(|| persisted.accepted_at.clone()),
            accepted,
            delta,
        });
        self.send(from, body);
    }

    pub(crate) fn persist_lease_epoch(
        &mut self,
        epoch: u64,
        keeps_key_owners: bool,
        request_id: u64,
    ) {
        if self.can_write_votes() && epoch >= self.acceptor.latest.lease_epoch {
            self.acceptor.latest.lease_epoch = epoch;
            if !keeps_key_owners {
                self.acceptor.latest.unrecorded_lease_epoch = epoch;
            }
            self.persist(vec![Effect::LeaseEpochPersisted { request_id }]);
        }
    }

    fn persist_then_send(&mut self, to: &str, body: Payload) {
        self.persist(vec![Effect::Send {
            to: to.to_owned(),
            body,
        }]);
    }

    /// Writes the latest state to the disk; `then` is done once it is there.
    pub(crate) fn persist(&mut self, then: Vec<Effect>) {
        self.statistics.disk_writes += 1;
        let durable = self.acceptor.latest.clone();
        let write_id = self.writes.push(PendingWrite::State {
            durable: durable.clone(),
            then,
        });
        self.effects.push(Effect::Persist { write_id, durable });
    }

    pub(crate) fn complete_writes(&mut self, write_id: u64) {
        while let Some(write) = self.writes.pop_completed(write_id) {
            match write {
                PendingWrite::State { durable, then } => {
                    self.acceptor.persisted = durable;
                    self.run_after_write(then);
                }
                PendingWrite::Configuration { digest } => {
                    self.configurations.mark_persisted(digest);
                }
            }
        }
        self.advance_bootstrap();
        self.advance_recovery();
        self.delete_unreferenced_configurations();
    }

    fn run_after_write(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, body } => self.send(&to, body),
                other => self.effects.push(other),
            }
        }
    }
}
