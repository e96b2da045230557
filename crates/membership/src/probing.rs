//! Failure detection: whom to probe next, second opinions, and when a silent node is suspect or gone.

use crate::members::{distance, folded};
use crate::{Effect, Known, Membership, Probing};
use protocol::{IndirectProbe, Member, MemberState, Payload, Probe, ProbeReply};
use std::time::Duration;

/// How many third parties are asked for a second opinion.
const SECOND_OPINIONS: usize = 3;
/// How far the probes go in turn: 0 within the zone, 1 to the region's other zones, 2 to other regions.
const TURNS: [usize; 4] = [2, 0, 1, 0];
/// How many more probes go to another region for each of its nodes that falls silent, and at most.
const MINDED: u64 = 2;
const MAX_MINDED: u64 = 4;
/// How long a node counts as just started, how often it then asks others, and how many at a time.
const YOUNG: Duration = Duration::from_millis(1500);
const INTRODUCE_EVERY: Duration = Duration::from_millis(120);
const INTRODUCED: usize = 2;
/// How long a gone member is remembered.
const REMEMBERED: Duration = Duration::from_secs(120);

impl Membership {
    /// No word half-way through the turn: ask third parties.
    pub(crate) fn escalate(&mut self, now: Duration) {
        let half = self.times.probe_every / 2;
        let late = match &self.probing {
            Probing::Asked {
                nonce,
                node,
                asked_at,
            } if now >= *asked_at + half => Some((*nonce, node.clone())),
            _ => None,
        };
        late.into_iter().for_each(|(nonce, node)| {
            let mut others: Vec<String> = self
                .known
                .values()
                .filter(|known| {
                    known.member.state() == MemberState::Alive && known.member.node != node
                })
                .map(|known| known.member.probe_address.clone())
                .collect();
            while others.len() > SECOND_OPINIONS {
                let drop = self.random.below(others.len() as u64) as usize;
                others.swap_remove(drop);
            }
            others.into_iter().for_each(|address| {
                let members = self.tell(Some(&node));
                let body = Payload::IndirectProbe(IndirectProbe {
                    nonce,
                    target: node.clone(),
                    members,
                });
                self.effects.push(Effect::Send { address, body });
            });
            self.probing = Probing::SecondOpinion { nonce, node };
        });
    }

    pub(crate) fn suspect_silent(&mut self, now: Duration) {
        let silent = match std::mem::replace(&mut self.probing, Probing::Resting) {
            Probing::SecondOpinion { node, .. } if now >= self.slow_until => Some(node),
            _ => None,
        };
        let suspect = silent
            .and_then(|node| self.known.get(&node))
            .map(|known| known.member.clone());
        suspect
            .into_iter()
            .filter(|member| member.state() == MemberState::Alive)
            .for_each(|member| {
                self.learn(
                    now,
                    Member {
                        state: MemberState::Suspect.into(),
                        ..member
                    },
                );
            });
    }

    /// Suspects that did not refute in time are gone; those long gone are forgotten.
    pub(crate) fn bury(&mut self, now: Duration) {
        let patience = if now < self.slow_until {
            self.times.suspect_for * 2
        } else {
            self.times.suspect_for
        };
        let due: Vec<Member> = self
            .known
            .values()
            .filter(|known| {
                known.member.state() == MemberState::Suspect && now >= known.since + patience
            })
            .map(|known| Member {
                state: MemberState::Dead.into(),
                ..known.member.clone()
            })
            .collect();
        due.into_iter().for_each(|member| self.learn(now, member));
        self.known.retain(|_, known| {
            known.member.state() < MemberState::Dead || now < known.since + REMEMBERED
        });
    }

    pub(crate) fn probe_next(&mut self, now: Duration) {
        self.turns += 1;
        let mut all: [Vec<String>; 3] = Default::default();
        let there = self
            .known
            .values()
            .filter(|known| known.member.state() < MemberState::Dead);
        there.for_each(|known| {
            all[distance(&self.me, &known.member)].push(known.member.node.clone())
        });
        // Most probes stay near; what is all dark is found by those further off.
        let turn = TURNS[(self.turns % TURNS.len() as u64) as usize];
        let wanted = if self.far_next > 0 { 2 } else { turn };
        self.far_next = self.far_next.saturating_sub(1);
        let reach = [wanted, 0, 1, 2]
            .into_iter()
            .find(|reach| !all[*reach].is_empty())
            .unwrap_or(wanted);
        let turn = &mut self.turn[reach];
        if turn.is_empty() {
            *turn = std::mem::take(&mut all[reach]);
            (1..turn.len()).for_each(|at| {
                let other = self.random.below(at as u64 + 1) as usize;
                turn.swap(at, other);
            });
        }
        let next = turn.pop().and_then(|node| {
            let known = self
                .known
                .get(&node)
                .filter(|known| known.member.state() < MemberState::Dead);
            known.map(|known| (node, known.member.probe_address.clone()))
        });
        next.into_iter().for_each(|(node, address)| {
            let nonce = self.nonce();
            self.send_probe(address, nonce, Some(&node));
            self.probing = Probing::Asked {
                nonce,
                node,
                asked_at: now,
            };
        });
    }

    /// A node that just started asks seeds and whoever it knows in quick turn, until it knows them all.
    pub(crate) fn introduce(&mut self, now: Duration) {
        let started_at = *self.started_at.get_or_insert(now);
        if now >= started_at + YOUNG || now < self.next_introduction {
            return;
        }
        self.next_introduction = now + INTRODUCE_EVERY;
        let known = self
            .known
            .values()
            .filter(|known| known.member.state() < MemberState::Dead);
        let mut all: Vec<String> = known
            .map(|known| known.member.probe_address.clone())
            .collect();
        all.extend(
            self.seeds
                .iter()
                .filter(|seed| !all.contains(seed))
                .cloned()
                .collect::<Vec<_>>(),
        );
        (0..INTRODUCED).for_each(|_| {
            let at = self.random.below(all.len() as u64) as usize;
            let next = all.get(at).cloned();
            next.into_iter().for_each(|address| {
                let nonce = self.nonce();
                self.send_probe(address, nonce, None);
            });
        });
    }

    /// Seeds and gone nodes are still tried now and then, so that a split heals.
    pub(crate) fn probe_seed(&mut self) {
        let reached = |address: &String| {
            self.known.values().any(|known| {
                known.member.state() < MemberState::Dead && known.member.probe_address == *address
            })
        };
        let gone = self
            .known
            .values()
            .filter(|known| known.member.state() == MemberState::Dead);
        let mut lost: Vec<String> = self.seeds.clone();
        lost.extend(gone.map(|known| known.member.probe_address.clone()));
        lost.retain(|address| !reached(address));
        lost.dedup();
        self.seed_turn = self.seed_turn.wrapping_add(1);
        let next = self
            .seed_turn
            .checked_rem(lost.len())
            .and_then(|at| lost.get(at).cloned());
        next.into_iter().for_each(|address| {
            let nonce = self.nonce();
            self.send_probe(address, nonce, None);
        });
    }

    pub(crate) fn send_probe(&mut self, address: String, nonce: u64, about: Option<&str>) {
        let mut members = self.tell(about);
        // Nothing is known of who stands there.
        if about.is_none() && !members.iter().any(|member| member.node == self.me.node) {
            members.push(folded(&self.me));
        }
        let (node, table) = (self.me.node.clone(), self.table());
        self.effects.push(Effect::Send {
            address,
            body: Payload::Probe(Probe {
                nonce,
                members,
                node,
                table,
            }),
        });
    }

    pub(crate) fn heard(&mut self, nonce: u64, node: &str) {
        let mine = match &self.probing {
            Probing::Asked {
                nonce: asked,
                node: target,
                ..
            }
            | Probing::SecondOpinion {
                nonce: asked,
                node: target,
                ..
            } => *asked == nonce && target == node,
            Probing::Resting => false,
        };
        if mine {
            self.probing = Probing::Resting;
        }
        let favour = self
            .favours
            .iter()
            .position(|favour| favour.nonce == nonce && favour.node == node);
        favour
            .map(|at| self.favours.swap_remove(at))
            .into_iter()
            .for_each(|favour| {
                let body = Payload::ProbeReply(ProbeReply {
                    nonce: favour.theirs,
                    node: favour.node,
                    ..ProbeReply::default()
                });
                self.effects.push(Effect::Send {
                    address: favour.address,
                    body,
                });
            });
    }

    /// Where one of another region falls silent, others there may have: they are looked at next.
    pub(crate) fn mind_region(&mut self, member: &Member) {
        if member.state() != MemberState::Suspect || distance(&self.me, member) < 2 {
            return;
        }
        let alive = |known: &&Known| {
            known.member.state() == MemberState::Alive && known.member.node != member.node
        };
        let others = self
            .known
            .values()
            .filter(alive)
            .filter(|known| distance(member, &known.member) < 2);
        let mut others: Vec<String> = others.map(|known| known.member.node.clone()).collect();
        (1..others.len()).for_each(|at| {
            let other = self.random.below(at as u64 + 1) as usize;
            others.swap(at, other);
        });
        self.turn[2].retain(|node| !others.contains(node));
        self.turn[2].extend(others);
        self.far_next = (self.far_next + MINDED).min(MAX_MINDED);
    }

    /// 32 bits suffice for the few answers that are waited for.
    pub(crate) fn nonce(&mut self) -> u64 {
        (self.random.next_u64() >> 32).max(1)
    }
}
