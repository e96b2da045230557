//! The first start of a fleet, and the return of a voter whose disk was lost.
//!
//! A blank voter asks everybody first. If any was founded, this disk has forgotten promises and must be
//! mended. Only where the full roster is there and none was founded does it endorse a roster, durably.

use crate::register::{Effect, Register, VoterPhase};
use address::majority;
use protocol::{Ballot, BootstrapVote, Bootstrapped, DurableState, Payload, Prepare, Promise, SetupAsk};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MEND_PHASE: Duration = Duration::from_millis(1000);

impl Register {
    pub(crate) fn tick_founding(&mut self, now: Duration) {
        if let VoterPhase::Recovering { roster, until, .. } = &self.phase {
            if now >= *until {
                let roster = roster.clone();
                self.start_mending(now, roster);
            }
            return;
        }
        let asking = matches!(self.phase, VoterPhase::Blank { .. } | VoterPhase::Bootstrapping { .. });
        if asking && now >= self.next_tell {
            let endorse = self.endorsement(0);
            let others: Vec<String> = self.peers.iter().filter(|peer| **peer != self.me).cloned().collect();
            others.iter().for_each(|peer| self.send(peer, Payload::BootstrapVote(endorse.clone())));
            self.endorse_if_alone();
        }
    }

    pub(crate) fn endorse(&mut self, from: &str, endorse: BootstrapVote) {
        if !self.synced.roster.is_empty() {
            if endorse.echo == 0 {
                let roster = self.synced.roster.clone();
                self.send(from, Payload::Bootstrapped(Bootstrapped { roster }));
            }
            return;
        }
        if matches!(self.phase, VoterPhase::Recovering { .. } | VoterPhase::Out) {
            return;
        }
        if endorse.echo == 0 {
            let answer = self.endorsement(endorse.incarnation);
            self.send(from, Payload::BootstrapVote(answer));
        }
        // Disks that an operator left different things on must not found together.
        if endorse.inherits != self.inherits() {
            return;
        }
        match &mut self.phase {
            VoterPhase::Blank { unfounded } if endorse.echo == self.incarnation => {
                unfounded.insert(from.to_owned());
                self.endorse_if_alone();
            }
            VoterPhase::Bootstrapping { endorsed } if endorse.roster == self.synced.endorsed => {
                endorsed.insert(from.to_owned());
                self.settle_founding();
            }
            _ => {}
        }
    }

    fn endorsement(&self, echo: u64) -> BootstrapVote {
        BootstrapVote {
            roster: self.synced.endorsed.clone(),
            incarnation: self.incarnation,
            echo,
            inherits: self.inherits(),
        }
    }

    /// What an operator left on this disk for the founding.
    fn inherits(&self) -> String {
        let state = &self.durable.accepted;
        if state.edition == 0 { String::new() } else { format!("{} {}", state.edition, state.digest) }
    }

    /// Everybody is there and nobody was founded: endorse this roster, once and for all.
    fn endorse_if_alone(&mut self) {
        let VoterPhase::Blank { unfounded } = &self.phase else { return };
        let others = self.peers.iter().filter(|peer| **peer != self.me);
        let full = self.peers.len() == self.roster_size && self.peers.contains(&self.me);
        if full && others.into_iter().all(|peer| unfounded.contains(peer)) && self.durable.endorsed.is_empty() {
            self.durable.endorsed = self.peers.clone();
            self.keep(Vec::new());
        }
    }

    /// After a sync: an endorsement starts the founding, everybody's endorsement ends it.
    pub(crate) fn settle_founding(&mut self) {
        if matches!(self.phase, VoterPhase::Blank { .. }) && !self.synced.endorsed.is_empty() {
            self.enter_phase(VoterPhase::Bootstrapping { endorsed: BTreeSet::new() });
        }
        if matches!(self.phase, VoterPhase::Bootstrapping { .. }) && !self.synced.roster.is_empty() {
            return self.enter_phase(VoterPhase::Voting);
        }
        let VoterPhase::Bootstrapping { endorsed } = &self.phase else { return };
        let others = self.synced.endorsed.iter().filter(|voter| **voter != self.me);
        if others.into_iter().all(|voter| endorsed.contains(voter)) {
            self.found();
        }
    }

    fn found(&mut self) {
        if self.durable.roster.is_empty() {
            self.durable.roster = self.durable.endorsed.clone();
            self.durable.disk = self.random.next_u64().max(1);
            let roster = self.durable.roster.clone();
            let tell = |voter: &String| {
                let body = Payload::Bootstrapped(Bootstrapped { roster: roster.clone() });
                Effect::Send { to: voter.clone(), body }
            };
            let told = self.durable.roster.iter().filter(|voter| **voter != self.me).map(tell).collect();
            self.keep(told);
        }
    }

    pub(crate) fn founded(&mut self, now: Duration, roster: Vec<String>) {
        if !roster.contains(&self.me) {
            return;
        }
        match &self.phase {
            // It endorsed this roster on this very disk and never voted: nothing was forgotten.
            VoterPhase::Bootstrapping { .. } if self.synced.endorsed == roster => self.found(),
            VoterPhase::Blank { .. } if self.durable.endorsed.is_empty() => self.start_mending(now, roster),
            _ => {}
        }
    }

    fn start_mending(&mut self, now: Duration, roster: Vec<String>) {
        self.seen_round += 1;
        let ballot = Ballot { round: self.seen_round, voter: self.me.clone(), incarnation: self.incarnation };
        let others: Vec<String> = roster.iter().filter(|voter| **voter != self.me).cloned().collect();
        let until = now + MEND_PHASE;
        self.enter_phase(VoterPhase::Recovering { roster, ballot: ballot.clone(), promises: BTreeMap::new(), until });
        others.iter().for_each(|voter| self.send(voter, Payload::Prepare(Prepare { ballot: ballot.clone() })));
    }

    /// A promise for the mending round. Those who gave it can no longer accept what went before.
    pub(crate) fn mend(&mut self, now: Duration, from: &str, promise: Promise) {
        let VoterPhase::Recovering { roster, ballot, promises, until } = &mut self.phase else { return };
        if *ballot != promise.ballot {
            return;
        }
        if promise.promised != promise.ballot {
            *until = now + Duration::from_millis(50);
            return;
        }
        promises.insert(from.to_owned(), promise);
        if promises.len() < majority(roster.len()) || self.durable.disk != 0 {
            return;
        }
        let newest = promises.values().max_by(|a, b| a.accepted_at.cmp(&b.accepted_at)).cloned();
        let lease_epoch = promises.values().map(|promise| promise.lease_epoch).max().unwrap_or(0);
        let (roster, promised) = (roster.clone(), ballot.clone());
        let Promise { accepted_at, accepted, .. } = newest.unwrap_or_default();
        if !accepted.digest.is_empty() && !self.held.contains(&accepted.digest) {
            // First the bytes: the next try finds them.
            return self.send(from, Payload::SetupAsk(SetupAsk { digest: accepted.digest }));
        }
        let disk = self.random.next_u64().max(1);
        let endorsed = roster.clone();
        self.durable = DurableState { disk, roster, endorsed, promised, accepted_at, accepted, lease_epoch };
        self.keep(Vec::new());
    }

    pub(crate) fn settle_mending(&mut self) {
        if matches!(self.phase, VoterPhase::Recovering { .. }) && self.synced.disk != 0 {
            self.enter_phase(VoterPhase::Voting);
        }
    }
}
