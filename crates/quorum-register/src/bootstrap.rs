//! The first start of a fleet, and the return of a voter whose disk was lost.
//!
//! A blank voter asks everybody first. If any was founded, this disk has forgotten promises and must be
//! mended. Only where the full roster is there and none was founded does it endorse a roster, durably.

use crate::register::{Effect, Register, Standing};
use address::majority;
use parcel::{Ballot, Body, Durable, Endorse, Founded, Prepare, Promise, SetupAsk};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MEND_PHASE: Duration = Duration::from_millis(1000);

impl Register {
    pub(crate) fn tick_founding(&mut self, now: Duration) {
        if let Standing::Mending { roster, until, .. } = &self.standing {
            if now >= *until {
                let roster = roster.clone();
                self.start_mending(now, roster);
            }
            return;
        }
        let asking = matches!(self.standing, Standing::Blank { .. } | Standing::Founding { .. });
        if asking && now >= self.next_tell {
            let endorse = self.endorsement(0);
            let others: Vec<String> = self.peers.iter().filter(|peer| **peer != self.me).cloned().collect();
            others.iter().for_each(|peer| self.send(peer, Body::Endorse(endorse.clone())));
            self.endorse_if_alone();
        }
    }

    pub(crate) fn endorse(&mut self, from: &str, endorse: Endorse) {
        if !self.synced.roster.is_empty() {
            if endorse.echo == 0 {
                let roster = self.synced.roster.clone();
                self.send(from, Body::Founded(Founded { roster }));
            }
            return;
        }
        if matches!(self.standing, Standing::Mending { .. } | Standing::Out) {
            return;
        }
        if endorse.echo == 0 {
            let answer = self.endorsement(endorse.stamp);
            self.send(from, Body::Endorse(answer));
        }
        // Disks that an operator left different things on must not found together.
        if endorse.inherits != self.inherits() {
            return;
        }
        match &mut self.standing {
            Standing::Blank { unfounded } if endorse.echo == self.stamp => {
                unfounded.insert(from.to_owned());
                self.endorse_if_alone();
            }
            Standing::Founding { endorsed } if endorse.roster == self.synced.endorsed => {
                endorsed.insert(from.to_owned());
                self.settle_founding();
            }
            _ => {}
        }
    }

    fn endorsement(&self, echo: u64) -> Endorse {
        Endorse { roster: self.synced.endorsed.clone(), stamp: self.stamp, echo, inherits: self.inherits() }
    }

    /// What an operator left on this disk for the founding.
    fn inherits(&self) -> String {
        let word = &self.durable.accepted;
        if word.edition == 0 { String::new() } else { format!("{} {}", word.edition, word.digest) }
    }

    /// Everybody is there and nobody was founded: endorse this roster, once and for all.
    fn endorse_if_alone(&mut self) {
        let Standing::Blank { unfounded } = &self.standing else { return };
        let others = self.peers.iter().filter(|peer| **peer != self.me);
        let full = self.peers.len() == self.roster_size && self.peers.contains(&self.me);
        if full && others.into_iter().all(|peer| unfounded.contains(peer)) && self.durable.endorsed.is_empty() {
            self.durable.endorsed = self.peers.clone();
            self.keep(Vec::new());
        }
    }

    /// After a sync: an endorsement starts the founding, everybody's endorsement ends it.
    pub(crate) fn settle_founding(&mut self) {
        if matches!(self.standing, Standing::Blank { .. }) && !self.synced.endorsed.is_empty() {
            self.stand(Standing::Founding { endorsed: BTreeSet::new() });
        }
        if matches!(self.standing, Standing::Founding { .. }) && !self.synced.roster.is_empty() {
            return self.stand(Standing::Voting);
        }
        let Standing::Founding { endorsed } = &self.standing else { return };
        let others = self.synced.endorsed.iter().filter(|voter| **voter != self.me);
        if others.into_iter().all(|voter| endorsed.contains(voter)) {
            self.found();
        }
    }

    fn found(&mut self) {
        if self.durable.roster.is_empty() {
            self.durable.roster = self.durable.endorsed.clone();
            self.durable.disk = self.dice.roll().max(1);
            let roster = self.durable.roster.clone();
            let tell = |voter: &String| {
                let body = Body::Founded(Founded { roster: roster.clone() });
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
        match &self.standing {
            // It endorsed this roster on this very disk and never voted: nothing was forgotten.
            Standing::Founding { .. } if self.synced.endorsed == roster => self.found(),
            Standing::Blank { .. } if self.durable.endorsed.is_empty() => self.start_mending(now, roster),
            _ => {}
        }
    }

    fn start_mending(&mut self, now: Duration, roster: Vec<String>) {
        self.seen_round += 1;
        let ballot = Ballot { round: self.seen_round, voter: self.me.clone(), stamp: self.stamp };
        let others: Vec<String> = roster.iter().filter(|voter| **voter != self.me).cloned().collect();
        let until = now + MEND_PHASE;
        self.stand(Standing::Mending { roster, ballot: ballot.clone(), promises: BTreeMap::new(), until });
        others.iter().for_each(|voter| self.send(voter, Body::Prepare(Prepare { ballot: ballot.clone() })));
    }

    /// A promise for the mending round. Those who gave it can no longer accept what went before.
    pub(crate) fn mend(&mut self, now: Duration, from: &str, promise: Promise) {
        let Standing::Mending { roster, ballot, promises, until } = &mut self.standing else { return };
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
        let claim_epoch = promises.values().map(|promise| promise.claim_epoch).max().unwrap_or(0);
        let (roster, promised) = (roster.clone(), ballot.clone());
        let Promise { accepted_at, accepted, .. } = newest.unwrap_or_default();
        if !accepted.digest.is_empty() && !self.held.contains(&accepted.digest) {
            // First the bytes: the next try finds them.
            return self.send(from, Body::SetupAsk(SetupAsk { digest: accepted.digest }));
        }
        let disk = self.dice.roll().max(1);
        let endorsed = roster.clone();
        self.durable = Durable { disk, roster, endorsed, promised, accepted_at, accepted, claim_epoch };
        self.keep(Vec::new());
    }

    pub(crate) fn settle_mending(&mut self) {
        if matches!(self.standing, Standing::Mending { .. }) && self.synced.disk != 0 {
            self.stand(Standing::Voting);
        }
    }
}
