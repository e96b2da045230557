//! How records of members spread: what each message tells on, and how two tables are made alike.

use crate::members::{folded, mark, supersedes, unfolded};
use crate::{Effect, Known, Membership};
use protocol::{Member, MemberState, Payload, ProbeReply};
use std::collections::BTreeSet;
use std::time::Duration;

/// How many members travel on one message.
const MAX_TOLD: usize = 12;
/// How many messages of members answer one set of marks.
const MAX_LACKED: usize = 4 * MAX_TOLD;
/// How many marks travel on one message.
pub(crate) const MAX_MARKS: usize = 128;
/// Most members kept at all.
const MAX_MEMBERS: usize = 4096;

impl Membership {
    /// A digest of all that count as there.
    pub(crate) fn table(&self) -> u64 {
        self.there()
            .fold(0, |sum: u64, (_, mark)| sum.wrapping_add(mark))
            .max(1)
    }

    /// This node and those not known to be gone, with their marks.
    fn there(&self) -> impl Iterator<Item = (&Member, u64)> {
        let others = self
            .known
            .values()
            .filter(|known| known.member.state() < MemberState::Dead);
        others
            .map(|known| (&known.member, known.mark))
            .chain([(&self.me, mark(&self.me))])
    }

    /// The marks of one part of the table.
    pub(crate) fn marks(&self, part: u64, parts: u64) -> Vec<u64> {
        let within =
            |member: &Member| random::stable_hash(&member.node).checked_rem(parts) == Some(part);
        self.there()
            .filter(|(member, _)| within(member))
            .map(|(_, mark)| mark)
            .take(2 * MAX_MARKS)
            .collect()
    }

    /// How often a record that changed is told: every node tells as often, so that it reaches nearly all of them.
    fn often(&self) -> u32 {
        (self.known.len() as u32 + 1).ilog2() + 2
    }

    /// What one message tells on: the receiver's own record where it is in doubt, then news, the least told first.
    pub(crate) fn tell(&mut self, about: Option<&str>) -> Vec<Member> {
        let often = self.often();
        let doubt = about
            .and_then(|node| self.known.get(node))
            .filter(|known| known.member.state() != MemberState::Alive);
        let mut members: Vec<Member> = doubt
            .map(|known| folded(&known.member))
            .into_iter()
            .collect();
        if self.me_told < often {
            self.me_told += 1;
            members.push(folded(&self.me));
        }
        let mut news: Vec<&mut Known> = self
            .known
            .values_mut()
            .filter(|known| known.told < often)
            .collect();
        news.sort_by_key(|known| known.told);
        news.into_iter().take(MAX_TOLD).for_each(|known| {
            known.told += 1;
            if !members
                .iter()
                .any(|member| member.node == known.member.node)
            {
                members.push(folded(&known.member));
            }
        });
        members
    }

    pub(crate) fn said(&self) -> ProbeReply {
        ProbeReply {
            node: self.me.node.clone(),
            ..ProbeReply::default()
        }
    }

    /// Tells what the other side lacks or has only an older record of, and the own marks where this side lacks
    /// something. What is told so has nonce 0; it is answered once more at most.
    pub(crate) fn settle(
        &mut self,
        address: &str,
        nonce: u64,
        stale: Vec<Member>,
        part: u64,
        parts: u64,
        marks: Vec<u64>,
    ) {
        let theirs: BTreeSet<u64> = marks.into_iter().collect();
        let within =
            |member: &Member| random::stable_hash(&member.node).checked_rem(parts) == Some(part);
        let lacked = self
            .there()
            .filter(|(member, mark)| within(member) && !theirs.contains(mark));
        let lacked: Vec<Member> = lacked
            .take(MAX_LACKED)
            .map(|(member, _)| folded(member))
            .collect();
        let mut told = with(stale, lacked);
        let mine = self.marks(part, parts.max(1));
        let lacks = nonce != 0 && parts > 0 && theirs.iter().any(|mark| !mine.contains(mark));
        let mut first = lacks.then(|| ProbeReply {
            part,
            parts,
            marks: mine,
            ..self.said()
        });
        while first.is_some() || !told.is_empty() {
            let rest = told.split_off(told.len().min(MAX_TOLD));
            let body = ProbeReply {
                members: told,
                ..first.take().unwrap_or_else(|| self.said())
            };
            self.effects.push(Effect::Send {
                address: address.to_owned(),
                body: Payload::ProbeReply(body),
            });
            told = rest;
        }
    }

    /// Takes records in; gives what is known better of those that were overtaken.
    pub(crate) fn learn_all(&mut self, now: Duration, members: Vec<Member>) -> Vec<Member> {
        let mut stale = Vec::new();
        members.into_iter().map(unfolded).for_each(|member| {
            let known = self.known.get(&member.node).map(|known| &known.member);
            stale.extend(known.filter(|known| supersedes(known, &member)).map(folded));
            self.learn(now, member);
        });
        stale
    }

    /// The one place where a member's record changes.
    pub(crate) fn learn(&mut self, now: Duration, member: Member) {
        if member.node == self.me.node {
            // Whatever is told of this node is refuted by a higher incarnation, unless it is what it says itself.
            if member.incarnation >= self.me.incarnation
                && member != self.me
                && self.me.state() == MemberState::Alive
            {
                self.me.incarnation = member.incarnation + 1;
                self.me_told = 0;
            }
            return;
        }
        let newer = self
            .known
            .get(&member.node)
            .map(|known| supersedes(&member, &known.member));
        let fresh =
            newer.unwrap_or(member.state() < MemberState::Dead && self.known.len() < MAX_MEMBERS);
        if fresh && locality::is_valid_id(&member.node) {
            self.mind_region(&member);
            let mark = mark(&member);
            self.known.insert(
                member.node.clone(),
                Known {
                    member,
                    mark,
                    since: now,
                    told: 0,
                },
            );
            self.effects.push(Effect::Changed);
        }
    }
}

/// Both lists, each node once.
pub(crate) fn with(mut members: Vec<Member>, more: Vec<Member>) -> Vec<Member> {
    let new = |members: &[Member], member: &Member| {
        !members.iter().any(|other| other.node == member.node)
    };
    more.into_iter().for_each(|member| {
        if new(&members, &member) {
            members.push(member);
        }
    });
    members
}
