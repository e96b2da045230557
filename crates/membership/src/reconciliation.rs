//! How records spread: what a message brings is applied, and where two tables differ, each side sends what the other
//! lacks (anti-entropy).

use crate::node::{Effect, Membership};
use crate::record::expand;
use crate::table::{MAX_UPDATES, Partition};
use protocol::{Member, Payload, Probe, ProbeReply};
use std::collections::BTreeSet;
use std::time::Duration;

/// How many records are sent in response to one list of digests.
const MAX_MISSING: usize = 4 * MAX_UPDATES;

impl Membership {
    /// Replies to a probe, with the digests of one partition where the two tables differ.
    pub(crate) fn reply_to_probe(&mut self, now: Duration, address: &str, probe: Probe) {
        let newer = self.apply_all(now, probe.members);
        let updates = self.table.select_updates(Some(&probe.node));
        let mut reply = ProbeReply {
            nonce: probe.nonce,
            members: merge(updates, newer),
            ..self.empty_reply()
        };
        if probe.table_digest != self.table.digest() {
            let count = self.table.partition_count();
            self.compared_partition = (self.compared_partition + 1) % count;
            let partition = Partition {
                index: self.compared_partition,
                count,
            };
            reply.partition = partition.index;
            reply.partitions = partition.count;
            reply.record_digests = self.table.partition_digests(partition);
        }
        self.send_reply(address.to_owned(), reply);
    }

    /// A reply from this node without anything in it.
    pub(crate) fn empty_reply(&self) -> ProbeReply {
        ProbeReply {
            node: self.table.me().node.clone(),
            ..ProbeReply::default()
        }
    }

    pub(crate) fn send_reply(&mut self, address: String, reply: ProbeReply) {
        self.effects.push(Effect::Send {
            address,
            body: Payload::ProbeReply(reply),
        });
    }

    /// Applies what a reply brings, and sends what the other side lacks or has only an older record of. Where this side
    /// lacks something, its own digests go along. Such messages have nonce 0, and are answered once more at most.
    pub(crate) fn reconcile(&mut self, now: Duration, address: &str, reply: ProbeReply) {
        let newer = self.apply_all(now, reply.members);
        let partition = Partition {
            index: reply.partition,
            count: reply.partitions,
        };
        let their_digests: BTreeSet<u64> = reply.record_digests.into_iter().collect();
        let missing = self
            .table
            .records_missing_from(&their_digests, partition, MAX_MISSING);
        let own_digests = self.table.partition_digests(Partition {
            count: partition.count.max(1),
            ..partition
        });
        let has_digests = reply.nonce != 0 && partition.count > 0;
        let lacks_records = has_digests
            && their_digests
                .iter()
                .any(|digest| !own_digests.contains(digest));
        let first = lacks_records.then(|| ProbeReply {
            partition: partition.index,
            partitions: partition.count,
            record_digests: own_digests,
            ..self.empty_reply()
        });
        self.send_records(address, merge(newer, missing), first);
    }

    /// Sends records in as many messages as they need, the first of them in `first` where there is one.
    fn send_records(
        &mut self,
        address: &str,
        mut records: Vec<Member>,
        mut first: Option<ProbeReply>,
    ) {
        while first.is_some() || !records.is_empty() {
            let rest = records.split_off(records.len().min(MAX_UPDATES));
            let reply = ProbeReply {
                members: records,
                ..first.take().unwrap_or_else(|| self.empty_reply())
            };
            self.send_reply(address.to_owned(), reply);
            records = rest;
        }
    }

    /// Applies records; returns the newer ones of those that are known here, ready to send.
    pub(crate) fn apply_all(&mut self, now: Duration, members: Vec<Member>) -> Vec<Member> {
        let mut newer = Vec::new();
        for member in members {
            let member = expand(member);
            newer.extend(self.table.newer_than(&member));
            self.apply(now, member);
        }
        newer
    }

    /// Applies one record. This is the only place where a member's record changes.
    pub(crate) fn apply(&mut self, now: Duration, member: Member) {
        if member.node == self.table.me().node {
            self.table.refute(&member);
            return;
        }
        if self.table.accepts(&member) {
            self.prefer_region_of_suspect(&member);
            self.table.insert(now, member);
            self.effects.push(Effect::Changed);
        }
    }
}

/// Both lists, each node once.
fn merge(mut members: Vec<Member>, more: Vec<Member>) -> Vec<Member> {
    for member in more {
        if !members.iter().any(|other| other.node == member.node) {
            members.push(member);
        }
    }
    members
}
