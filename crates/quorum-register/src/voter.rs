//! The voter's half of a round: promises and acceptances, each synced before it is answered.

use crate::deltas::told_state;
use crate::register::{Effect, Register, VoterPhase};
use protocol::{Accept, Accepted, Ballot, Payload, Prepare, Promise, Read, ReadBack};

impl Register {
    pub(crate) fn prepare(&mut self, from: &str, prepare: Prepare) {
        self.seen_round = self.seen_round.max(prepare.ballot.round);
        self.replicas.told_since(from, prepare.since);
        if self.phase != VoterPhase::Active || !self.disk_is_free() {
            return;
        }
        let given = prepare.ballot >= self.durable.promised;
        if given {
            self.durable.promised = prepare.ballot.clone();
        }
        // To itself a node tells the whole state: that travels nowhere.
        let since = prepare.since.filter(|_| from != self.me);
        let (accepted, delta) = if given {
            told_state(&self.durable.accepted, since)
        } else {
            (None, None)
        };
        let body = Payload::Promise(Promise {
            ballot: prepare.ballot,
            promised: self.durable.promised.clone(),
            accepted_at: self.durable.accepted_at.clone(),
            accepted: accepted.unwrap_or_default(),
            disk: self.durable.disk,
            lease_epoch: self.durable.lease_epoch,
            delta,
            since: self.since(),
        });
        if given {
            self.keep(vec![Effect::Send {
                to: from.to_owned(),
                body,
            }]);
        } else {
            self.send(from, body);
        }
    }

    pub(crate) fn accept(&mut self, from: &str, accept: Accept) {
        let Accept {
            ballot,
            state,
            disk,
            lease_epoch,
        } = accept;
        self.seen_round = self.seen_round.max(ballot.round);
        if self.phase != VoterPhase::Active || !self.disk_is_free() {
            return;
        }
        let mine = disk == self.durable.disk && ballot >= self.durable.promised;
        let wants_bytes =
            !state.digest.is_empty() && !self.configurations.contains_key(&state.digest);
        let done = mine && !wants_bytes;
        if done {
            self.durable.promised = ballot.clone();
            self.durable.accepted_at = ballot.clone();
            self.durable.accepted = state;
            self.durable.lease_epoch = self.durable.lease_epoch.max(lease_epoch);
        }
        let promised = self.durable.promised.clone();
        let body = Payload::Accepted(Accepted {
            ballot,
            promised,
            done,
            wants_bytes: mine && wants_bytes,
            ..Accepted::default()
        });
        if done {
            // The setup's bytes were handed to the disk earlier, and the disk works in order.
            self.keep(vec![Effect::Send {
                to: from.to_owned(),
                body,
            }]);
        } else {
            self.send(from, body);
        }
    }

    pub(crate) fn read(&mut self, from: &str, read: Read) {
        self.replicas.told_since(from, read.since);
        if self.phase != VoterPhase::Active {
            return;
        }
        // A reader that knows nothing yet has nothing that could be left out.
        let other = self.synced.accepted_at != read.known || read.known == Ballot::default();
        let accepted_at = other.then(|| self.synced.accepted_at.clone());
        // Of what is older than what it knows, the ballot is all that a reader needs.
        let is_older = read.since.is_some() && self.synced.accepted_at < read.known;
        let (accepted, delta) = if other && !is_older {
            told_state(&self.synced.accepted, read.since)
        } else {
            (None, None)
        };
        self.send(
            from,
            Payload::ReadBack(ReadBack {
                nonce: read.nonce,
                accepted_at,
                accepted,
                delta,
            }),
        );
    }
}
