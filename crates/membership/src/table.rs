//! The membership table: what one node knows of itself and the others, and which records it sends on.

use crate::record::{compact, digest, expand, supersedes};
use protocol::{Member, MemberState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many records are sent with one message.
pub(crate) const MAX_UPDATES: usize = 12;
/// How many digests of records are sent with one message.
pub(crate) const MAX_DIGESTS: usize = 128;
/// The most members in the table.
const MAX_MEMBERS: usize = 4096;
/// How long a dead member is remembered.
const DEAD_RETENTION: Duration = Duration::from_secs(120);

/// What is known of another node.
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) digest: u64,
    pub(crate) changed_at: Duration,
    /// How often this record was sent since it changed.
    transmissions: u32,
}

impl Entry {
    /// True unless the node is dead or has left.
    pub(crate) fn is_present(&self) -> bool {
        self.member.state() < MemberState::Dead
    }

    /// True where the node is alive, and not suspect.
    pub(crate) fn is_alive(&self) -> bool {
        self.member.state() == MemberState::Alive
    }
}

/// A share of the table, whose records are compared at once.
#[derive(Clone, Copy)]
pub(crate) struct Partition {
    pub(crate) index: u64,
    pub(crate) count: u64,
}

impl Partition {
    /// True for a node whose record belongs to this partition; never true where there are none.
    fn contains(self, member: &Member) -> bool {
        random::stable_hash(&member.node).checked_rem(self.count) == Some(self.index)
    }
}

/// The records of this node and of all others.
pub(crate) struct MemberTable {
    me: Member,
    /// How often this node's own record was sent since it changed.
    my_transmissions: u32,
    entries: BTreeMap<String, Entry>,
}

impl MemberTable {
    /// A table with this node alone.
    pub(crate) fn new(me: Member) -> MemberTable {
        let me = expand(Member {
            incarnation: me.incarnation.max(1),
            state: MemberState::Alive.into(),
            ..me
        });
        MemberTable {
            me,
            my_transmissions: 0,
            entries: BTreeMap::new(),
        }
    }

    /// This node's own record.
    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    /// The other nodes, in the order of their ids.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The other nodes that are not known to be dead or to have left.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Entry> {
        self.entries().filter(|entry| entry.is_present())
    }

    /// What is known of another node.
    pub(crate) fn get(&self, node: &str) -> Option<&Entry> {
        self.entries.get(node)
    }

    /// This node and those present, with the digests of their records.
    fn present_records(&self) -> impl Iterator<Item = (&Member, u64)> {
        self.present()
            .map(|entry| (&entry.member, entry.digest))
            .chain([(&self.me, digest(&self.me))])
    }

    /// This node and those present, in the order of their ids.
    pub(crate) fn members(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = self.present().map(|entry| &entry.member).collect();
        members.push(&self.me);
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members
    }

    /// A digest of all present records; never 0.
    pub(crate) fn digest(&self) -> u64 {
        self.present_records()
            .fold(0, |sum: u64, (_, digest)| sum.wrapping_add(digest))
            .max(1)
    }

    /// Into how many partitions the table is divided, so that the digests of one fit into a message.
    pub(crate) fn partition_count(&self) -> u64 {
        (self.entries.len() as u64 + 1).div_ceil(MAX_DIGESTS as u64)
    }

    /// The digests of the records in one partition.
    pub(crate) fn partition_digests(&self, partition: Partition) -> Vec<u64> {
        self.present_records()
            .filter(|(member, _)| partition.contains(member))
            .map(|(_, digest)| digest)
            .take(2 * MAX_DIGESTS)
            .collect()
    }

    /// Up to `limit` records of a partition whose digests are not in `digests`, ready to send.
    pub(crate) fn records_missing_from(
        &self,
        digests: &BTreeSet<u64>,
        partition: Partition,
        limit: usize,
    ) -> Vec<Member> {
        self.present_records()
            .filter(|(member, digest)| partition.contains(member) && !digests.contains(digest))
            .take(limit)
            .map(|(member, _)| compact(member))
            .collect()
    }

    /// How often a record that changed is sent: every node sends it as often, so that it reaches nearly all of them.
    fn transmission_limit(&self) -> u32 {
        (self.entries.len() as u32 + 1).ilog2() + 2
    }

    /// The records to send with one message: the receiver's own where it is in doubt, then those that changed, the least
    /// sent first.
    pub(crate) fn select_updates(&mut self, receiver: Option<&str>) -> Vec<Member> {
        let limit = self.transmission_limit();
        let mut updates = Vec::new();
        if let Some(entry) = receiver.and_then(|node| self.entries.get(node))
            && !entry.is_alive()
        {
            updates.push(compact(&entry.member));
        }
        if self.my_transmissions < limit {
            self.my_transmissions += 1;
            updates.push(compact(&self.me));
        }
        let mut changed: Vec<&mut Entry> = self
            .entries
            .values_mut()
            .filter(|entry| entry.transmissions < limit)
            .collect();
        changed.sort_by_key(|entry| entry.transmissions);
        for entry in changed.into_iter().take(MAX_UPDATES) {
            entry.transmissions += 1;
            let is_selected = updates
                .iter()
                .any(|member: &Member| member.node == entry.member.node);
            if !is_selected {
                updates.push(compact(&entry.member));
            }
        }
        updates
    }

    /// The record known here, ready to send, where it is newer than this one.
    pub(crate) fn newer_than(&self, member: &Member) -> Option<Member> {
        let known = &self.entries.get(&member.node)?.member;
        supersedes(known, member).then(|| compact(known))
    }

    /// True where a record of another node is newer than what is known, or the node is new.
    pub(crate) fn accepts(&self, member: &Member) -> bool {
        let is_newer = match self.entries.get(&member.node) {
            Some(entry) => supersedes(member, &entry.member),
            None => member.state() < MemberState::Dead && self.entries.len() < MAX_MEMBERS,
        };
        is_newer && locality::is_valid_id(&member.node)
    }

    /// Stores a record of another node.
    pub(crate) fn insert(&mut self, now: Duration, member: Member) {
        let entry = Entry {
            digest: digest(&member),
            changed_at: now,
            transmissions: 0,
            member,
        };
        self.entries.insert(entry.member.node.clone(), entry);
    }

    /// Refutes what others say of this node by a higher incarnation, unless it is what this node says itself.
    pub(crate) fn refute(&mut self, update: &Member) {
        if update.incarnation >= self.me.incarnation
            && *update != self.me
            && self.me.state() == MemberState::Alive
        {
            self.me.incarnation = update.incarnation + 1;
            self.my_transmissions = 0;
        }
    }

    /// This node leaves.
    pub(crate) fn leave(&mut self) {
        self.me.state = MemberState::Left.into();
        self.my_transmissions = 0;
    }

    /// Gives all suspects the full time again to refute.
    pub(crate) fn restart_suspicions(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            if entry.member.state() == MemberState::Suspect {
                entry.changed_at = now;
            }
        }
    }

    /// Forgets members that have been dead, or have left, for a while.
    pub(crate) fn forget_dead(&mut self, now: Duration) {
        self.entries
            .retain(|_, entry| entry.is_present() || now < entry.changed_at + DEAD_RETENTION);
    }
}
