//! The record of key owners, from the side of the placement lease's holder: it reads what the last holder recorded, writes
//! it again under its own epoch, and replaces it whenever keys are to go to another upstream.
//!
//! Keys are granted to whom a quorum of the voters has on record, and to nobody else. So the next holder knows who may hold
//! a key, and gives it back to that one without waiting until earlier grants have expired. One holder writes at a time, by
//! the lease; a record is a hint of nothing older than itself, and no round decides it.

use protocol::{
    KeyOwner, KeyOwnerRecord, KeyOwnersRead, KeyOwnersReadBack, KeyOwnersWrite, KeyOwnersWritten,
    Payload, ServiceKeyOwners, VoterSet,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long to wait for a voter's answer before it is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long to wait for voters that may know a record, once a quorum has answered.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A message for one voter.
#[derive(Clone, Debug, PartialEq)]
pub struct ToVoter {
    /// The voter.
    pub to: String,
    /// The message.
    pub body: Payload,
}

/// A record that is not known to be on a quorum's disks yet.
struct PendingRecord {
    record: KeyOwnerRecord,
    written_by: BTreeSet<String>,
    last_sent_at: Duration,
}

/// The reading of the last holder's record.
struct Reading {
    began_at: Duration,
    last_sent_at: Option<Duration>,
    answers: BTreeMap<String, KeyOwnersReadBack>,
}

/// The record of one placement lease.
pub struct OwnerRecord {
    epoch: u64,
    /// None once it has ended.
    reading: Option<Reading>,
    /// The identities of the voters' disks, as they told them last.
    disks: BTreeMap<String, u64>,
    /// The newest record that a quorum has on its disks, of this lease.
    committed: Option<KeyOwnerRecord>,
    pending: Option<PendingRecord>,
    last_number: u64,
}

impl OwnerRecord {
    /// The record of a lease that has just been acquired.
    ///
    /// ```
    /// use std::time::Duration;
    /// let record = upstream_registry::OwnerRecord::new(Duration::ZERO, 7);
    /// assert!(!record.is_ready(), "nothing is granted before the last holder's record is known and written again");
    /// ```
    pub fn new(now: Duration, epoch: u64) -> Self {
        OwnerRecord {
            epoch,
            reading: Some(Reading {
                began_at: now,
                last_sent_at: None,
                answers: BTreeMap::new(),
            }),
            disks: BTreeMap::new(),
            committed: None,
            pending: None,
            last_number: 0,
        }
    }

    /// True once a quorum has a record of this lease: from then on keys may be granted by it.
    ///
    /// ```
    /// assert!(!upstream_registry::OwnerRecord::new(Default::default(), 7).is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.committed.is_some()
    }

    /// The services that a quorum has on record.
    ///
    /// ```
    /// let record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// assert!(record.committed_services().is_empty());
    /// ```
    pub fn committed_services(&self) -> Vec<String> {
        let services = self.committed.iter().flat_map(|record| &record.services);
        services.map(|known| known.service.clone()).collect()
    }

    /// The owners of a service's keys that a quorum has on record; none where nothing is known of the service.
    ///
    /// ```
    /// let record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// assert_eq!(record.committed_owners("ledger"), None);
    /// ```
    pub fn committed_owners(&self, service: &str) -> Option<&[KeyOwner]> {
        owners_in(self.committed.as_ref()?, service)
    }

    /// The same of the record that is being written, where one is.
    ///
    /// ```
    /// let record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// assert_eq!(record.pending_owners("ledger"), None);
    /// ```
    pub fn pending_owners(&self, service: &str) -> Option<&[KeyOwner]> {
        let pending = self.pending.as_ref()?;
        Some(owners_in(&pending.record, service).unwrap_or_default())
    }

    /// Which records are on a quorum's disks and being written: their numbers, 0 where there is none.
    ///
    /// ```
    /// assert_eq!(upstream_registry::OwnerRecord::new(Default::default(), 7).version(), (0, 0));
    /// ```
    pub fn version(&self) -> (u64, u64) {
        let committed = self.committed.as_ref().map_or(0, |record| record.number);
        let pending = self
            .pending
            .as_ref()
            .map_or(0, |pending| pending.record.number);
        (committed, pending)
    }

    /// True where a new record may be proposed: none is being written.
    ///
    /// ```
    /// assert!(!upstream_registry::OwnerRecord::new(Default::default(), 7).accepts_proposals());
    /// ```
    pub fn accepts_proposals(&self) -> bool {
        self.committed.is_some() && self.pending.is_none()
    }

    /// Writes new owners, where they differ from those on record and none are being written.
    ///
    /// ```
    /// let mut record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// assert_eq!(record.propose(Default::default(), &Default::default(), vec![]), vec![], "the last record comes first");
    /// ```
    pub fn propose(
        &mut self,
        now: Duration,
        voter_set: &VoterSet,
        services: Vec<ServiceKeyOwners>,
    ) -> Vec<ToVoter> {
        let is_new = self
            .committed
            .as_ref()
            .is_some_and(|committed| committed.services != services);
        match is_new && self.accepts_proposals() {
            true => self.write(now, voter_set, services),
            false => Vec::new(),
        }
    }

    /// Asks again where answers are missing, and writes the record anew where other voters are to keep it.
    ///
    /// ```
    /// let mut record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// let voters = protocol::VoterSet::new(vec!["a".into(), "b".into()]);
    /// assert_eq!(record.tick(Default::default(), &voters).len(), 2, "both are asked for the last record");
    /// ```
    pub fn tick(&mut self, now: Duration, voter_set: &VoterSet) -> Vec<ToVoter> {
        if self.reading.is_some() {
            return self.tick_reading(now, voter_set);
        }
        let written_for = match (&self.pending, &self.committed) {
            (Some(pending), _) => Some(&pending.record),
            (None, committed) => committed.as_ref(),
        };
        if let Some(record) = written_for
            && record.voter_epoch != voter_set.epoch
        {
            let services = record.services.clone();
            return self.write(now, voter_set, services);
        }
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        if now < pending.last_sent_at + RETRY_INTERVAL {
            return Vec::new();
        }
        pending.last_sent_at = now;
        self.send_pending(voter_set.members())
    }

    /// Handles a voter's answer.
    ///
    /// ```
    /// let mut record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// let voters = protocol::VoterSet::new(vec!["a".into()]);
    /// let answer = protocol::KeyOwnersReadBack { epoch: 7, disk: 1, ..Default::default() };
    /// let writes = record.handle_read_back(Default::default(), &voters, "a", answer);
    /// assert_eq!(writes.len(), 1, "that nothing is known is recorded under this lease");
    /// ```
    pub fn handle_read_back(
        &mut self,
        now: Duration,
        voter_set: &VoterSet,
        from: &str,
        answer: KeyOwnersReadBack,
    ) -> Vec<ToVoter> {
        if answer.epoch != self.epoch || !voter_set.contains(from) {
            return Vec::new();
        }
        self.disks.insert(from.to_owned(), answer.disk);
        let Some(reading) = &mut self.reading else {
            return Vec::new();
        };
        reading.answers.insert(from.to_owned(), answer);
        self.end_reading(now, voter_set)
    }

    /// Handles a voter's acknowledgement of a record.
    ///
    /// ```
    /// let mut record = upstream_registry::OwnerRecord::new(Default::default(), 7);
    /// let voters = protocol::VoterSet::new(vec!["a".into()]);
    /// let answer = protocol::KeyOwnersReadBack { epoch: 7, disk: 1, ..Default::default() };
    /// record.handle_read_back(Default::default(), &voters, "a", answer);
    /// let written = protocol::KeyOwnersWritten { epoch: 7, number: 1, voter_epoch: 0, disk: 1 };
    /// record.handle_written(&voters, "a", &written);
    /// assert!(record.is_ready());
    /// ```
    pub fn handle_written(
        &mut self,
        voter_set: &VoterSet,
        from: &str,
        written: &KeyOwnersWritten,
    ) -> Vec<ToVoter> {
        if !voter_set.contains(from) {
            return Vec::new();
        }
        let last_disk = self.disks.insert(from.to_owned(), written.disk);
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        let version = (written.epoch, written.number);
        if version != pending.record.version() || written.voter_epoch != pending.record.voter_epoch
        {
            // The voter has another disk than the write was for.
            let to = from.to_owned();
            return match last_disk == Some(written.disk) {
                true => Vec::new(),
                false => self.send_pending([&to].into_iter()),
            };
        }
        pending.written_by.insert(from.to_owned());
        let is_written = |voter: &str| pending.written_by.contains(voter);
        let is_committed = pending.record.voter_epoch == voter_set.epoch
            && voter_set.is_lease_quorum(is_written, |_| true);
        if is_committed {
            self.committed = self.pending.take().map(|pending| pending.record);
        }
        Vec::new()
    }

    fn tick_reading(&mut self, now: Duration, voter_set: &VoterSet) -> Vec<ToVoter> {
        let epoch = self.epoch;
        let Some(reading) = &mut self.reading else {
            return Vec::new();
        };
        let is_due = reading
            .last_sent_at
            .is_none_or(|sent_at| now >= sent_at + RETRY_INTERVAL);
        let mut messages = Vec::new();
        if is_due {
            reading.last_sent_at = Some(now);
            let unanswered = voter_set
                .members()
                .filter(|voter| !reading.answers.contains_key(*voter));
            messages.extend(unanswered.map(|voter| ToVoter {
                to: voter.clone(),
                body: Payload::KeyOwnersRead(KeyOwnersRead { epoch }),
            }));
        }
        messages.extend(self.end_reading(now, voter_set));
        messages
    }

    /// Ends the reading once the last holder's record is among the answers, or can't be expected any more: then nothing is
    /// known, and that is what is written.
    fn end_reading(&mut self, now: Duration, voter_set: &VoterSet) -> Vec<ToVoter> {
        let Some(reading) = &self.reading else {
            return Vec::new();
        };
        let last = last_record(&reading.answers, voter_set);
        let have_all_answered = voter_set
            .members()
            .all(|voter| reading.answers.contains_key(voter));
        let has_quorum_answered =
            voter_set.is_lease_quorum(|voter| reading.answers.contains_key(voter), |_| true);
        let is_overdue = now >= reading.began_at + READ_TIMEOUT;
        if last.is_none() && !have_all_answered && !(is_overdue && has_quorum_answered) {
            return Vec::new();
        }
        let services = last.map_or(Vec::new(), |record| record.services.clone());
        self.reading = None;
        self.write(now, voter_set, services)
    }

    fn write(
        &mut self,
        now: Duration,
        voter_set: &VoterSet,
        services: Vec<ServiceKeyOwners>,
    ) -> Vec<ToVoter> {
        self.last_number += 1;
        let record = KeyOwnerRecord {
            epoch: self.epoch,
            number: self.last_number,
            voter_epoch: voter_set.epoch,
            services,
        };
        self.pending = Some(PendingRecord {
            record,
            written_by: BTreeSet::new(),
            last_sent_at: now,
        });
        self.send_pending(voter_set.members())
    }

    /// Sends the pending record to those of these voters that are not known to have it.
    fn send_pending<'a>(&self, voters: impl Iterator<Item = &'a String>) -> Vec<ToVoter> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        voters
            .filter(|voter| !pending.written_by.contains(*voter))
            .map(|voter| ToVoter {
                to: voter.clone(),
                body: Payload::KeyOwnersWrite(KeyOwnersWrite {
                    record: pending.record.clone(),
                    disk: self.disks.get(voter).copied().unwrap_or_default(),
                }),
            })
            .collect()
    }
}

fn owners_in<'a>(record: &'a KeyOwnerRecord, service: &str) -> Option<&'a [KeyOwner]> {
    let known = record
        .services
        .iter()
        .find(|known| known.service == service)?;
    Some(&known.owners)
}

/// The last record by which anybody can have granted a key, where it is surely among the answers: whatever a quorum kept,
/// one of these voters has it. What was kept for another set of voters proves nothing, nor what is older than a lease
/// whose holder kept no record.
fn last_record<'a>(
    answers: &'a BTreeMap<String, KeyOwnersReadBack>,
    voter_set: &VoterSet,
) -> Option<&'a KeyOwnerRecord> {
    if voter_set.is_joint() {
        return None;
    }
    let kept = |voter: &str| {
        let record = answers.get(voter)?.record.as_ref()?;
        (record.voter_epoch == voter_set.epoch).then_some(record)
    };
    let may_have_decided_without =
        voter_set.is_lease_quorum(|voter| kept(voter).is_none(), |_| true);
    if may_have_decided_without {
        return None;
    }
    let last = voter_set
        .members()
        .filter_map(|voter| kept(voter))
        .max_by_key(|record| record.version())?;
    let unrecorded = answers.values().map(|answer| answer.unrecorded_epoch).max();
    (unrecorded < Some(last.epoch)).then_some(last)
}
