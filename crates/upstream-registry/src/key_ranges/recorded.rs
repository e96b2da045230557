//! Owners on record: where the holder of the placement lease keeps a record of key owners at the voters, a key is granted
//! to whom it names, and to nobody else.

use super::KeyRangeAssigner;
use super::key_range::{KeyRange, Run, join_adjacent};
use super::messages::Grant;
use super::range_table::{FreeKeys, RangeState};
use protocol::KeyOwner;
use std::time::Duration;

/// Owners of ranges, in the order of the keys.
#[derive(Clone, Debug, Default, PartialEq)]
struct Owners(Vec<Run<String>>);

impl Owners {
    fn new(owners: &[KeyOwner], key_count: u32) -> Self {
        let run = |owner: &KeyOwner| {
            let until = owner.until.min(key_count);
            (owner.from < until).then(|| Run {
                range: KeyRange::new(owner.from, until - 1),
                value: owner.instance.clone(),
            })
        };
        Owners(owners.iter().filter_map(run).collect())
    }

    /// The parts of a range that somebody owns.
    fn within(&self, bounds: KeyRange) -> impl Iterator<Item = Run<&str>> {
        let first = self.0.partition_point(|run| run.range.last < bounds.first);
        self.0[first..].iter().map_while(move |run| {
            let range = run.range.intersection(&bounds)?;
            Some(Run {
                range,
                value: run.value.as_str(),
            })
        })
    }

    /// True where one instance owns a whole range.
    fn is_owned_by(&self, instance: &str, range: KeyRange) -> bool {
        let mut next = range.first;
        for run in self.within(range) {
            if run.range.first != next || run.value != instance {
                return false;
            }
            next = run.range.last + 1;
        }
        next == range.last + 1
    }

    /// The parts of some ranges that one instance owns.
    fn owned_by(&self, instance: &str, ranges: &[KeyRange]) -> Vec<KeyRange> {
        let owned = ranges.iter().flat_map(|range| self.within(*range));
        owned
            .filter(|run| run.value == instance)
            .map(|run| run.range)
            .collect()
    }
}

/// What is on record of one service's keys.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordedOwners {
    /// What a quorum of the voters has.
    committed: Owners,
    /// What is being written: some voters may have it.
    pending: Option<Owners>,
    /// The last holder's record is known, so that each key is granted to whom it names without waiting.
    pub(super) is_restored: bool,
}

impl RecordedOwners {
    /// The parts of a range that may be granted to an instance.
    fn grantable(&self, range: KeyRange, instance: &str) -> Vec<KeyRange> {
        let committed = self.committed.owned_by(instance, &[range]);
        match &self.pending {
            Some(pending) => pending.owned_by(instance, &committed),
            None => committed,
        }
    }
}

impl KeyRangeAssigner {
    /// The same where grants follow a record that voters keep. `found` are the owners on record, where the record of the
    /// last holder is known: they get their keys back at once, and others get them once earlier grants have expired.
    ///
    /// ```
    /// use upstream_registry::{Heartbeat, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram};
    /// use std::time::Duration;
    /// let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let owners = [protocol::KeyOwner { from: 0, until: 60, instance: "a".into() }];
    /// let mut ranges = KeyRangeAssigner::new(second, terms, 100, 2, false).with_records(Some(&owners));
    /// let ready = [("a".to_owned(), 1), ("b".to_owned(), 1)].into();
    /// let load = LoadHistogram::uniform(100);
    /// let mut heartbeat = |instance: &str| {
    ///     let heartbeat = Heartbeat { instance: instance.into(), sequence: 1, ..Heartbeat::default() };
    ///     ranges.handle_heartbeat(second, &heartbeat, &ready, &load)
    /// };
    /// assert_eq!(heartbeat("b"), Some(vec![]));
    /// assert_eq!(heartbeat("a").unwrap()[0].to, 59);
    /// ```
    pub fn with_records(mut self, found: Option<&[KeyOwner]>) -> Self {
        let committed = Owners::new(found.unwrap_or_default(), self.key_count);
        if found.is_some() {
            // Whatever an earlier response may still bring about, it does for the owner on record.
            self.responds_from = Duration::ZERO;
            for run in &committed.0 {
                let free = FreeKeys {
                    previous_owner: Some(run.value.clone()),
                    ..FreeKeys::default()
                };
                self.table.set(run.range, RangeState::Free(free));
            }
        }
        self.recorded = Some(RecordedOwners {
            committed,
            pending: None,
            is_restored: found.is_some(),
        });
        self
    }

    /// Takes note of what a quorum of the voters has on record, and of what is being written.
    ///
    /// ```
    /// # use upstream_registry::{Heartbeat, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let mut ranges = KeyRangeAssigner::new(second, terms, 100, 1, true).with_records(None);
    /// let ready = [("a".to_owned(), 1)].into();
    /// let mut heartbeat = |ranges: &mut KeyRangeAssigner, sequence| {
    ///     let heartbeat = Heartbeat { instance: "a".into(), sequence, ..Heartbeat::default() };
    ///     ranges.handle_heartbeat(second, &heartbeat, &ready, &LoadHistogram::uniform(100)).unwrap()
    /// };
    /// assert_eq!(heartbeat(&mut ranges, 1), vec![], "its keys are reserved, and not on record yet");
    /// let owners = ranges.owners_to_record(second).unwrap();
    /// ranges.set_recorded_owners(&owners, None);
    /// assert_eq!(heartbeat(&mut ranges, 2)[0].to, 99);
    /// ```
    pub fn set_recorded_owners(&mut self, committed: &[KeyOwner], pending: Option<&[KeyOwner]>) {
        let key_count = self.key_count;
        if let Some(recorded) = &mut self.recorded {
            recorded.committed = Owners::new(committed, key_count);
            recorded.pending = pending.map(|owners| Owners::new(owners, key_count));
        }
    }

    /// The owners that are to be on record: whoever holds keys or is to be granted them; of other keys, who is on record
    /// now. None as long as it is not known who may hold keys.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ranges = KeyRangeAssigner::new(second, terms, 100, 2, false).with_records(None);
    /// assert_eq!(ranges.owners_to_record(second), None);
    /// assert_eq!(ranges.owners_to_record(5 * second), Some(vec![]));
    /// ```
    pub fn owners_to_record(&self, now: Duration) -> Option<Vec<KeyOwner>> {
        let recorded = self.recorded.as_ref()?;
        if now < self.grants_from && !recorded.is_restored {
            return None;
        }
        let mut owners: Vec<Run<&str>> = Vec::new();
        for (range, state) in self.table.iter() {
            let next_owner = state
                .lease()
                .map(|lease| lease.owner.as_str())
                .or(state.reserved_for());
            match next_owner {
                Some(value) => owners.push(Run { range, value }),
                None => owners.extend(recorded.committed.within(range)),
            }
        }
        let owner = |run: Run<&str>| KeyOwner {
            from: run.range.first,
            until: run.range.last + 1,
            instance: run.value.to_owned(),
        };
        Some(
            join_adjacent(owners.into_iter())
                .into_iter()
                .map(owner)
                .collect(),
        )
    }

    /// True where keys are held by an instance, or reserved for one, that is not on record for them.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ranges = KeyRangeAssigner::new(second, terms, 100, 2, false).with_records(None);
    /// assert!(!ranges.has_unrecorded_owners(), "nobody holds any");
    /// ```
    pub fn has_unrecorded_owners(&self) -> bool {
        let Some(recorded) = &self.recorded else {
            return false;
        };
        self.table.iter().any(|(range, state)| {
            let lease_owner = state.lease().map(|lease| lease.owner.as_str());
            let owner = lease_owner.or(state.reserved_for());
            owner.is_some_and(|owner| !recorded.committed.is_owned_by(owner, range))
        })
    }

    /// True where free keys are reserved for an instance that is not on record for them yet.
    ///
    /// ```
    /// # use upstream_registry::{KeyRangeAssigner, KeyLeaseTerms};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let ranges = KeyRangeAssigner::new(second, terms, 100, 2, false).with_records(None);
    /// assert!(!ranges.awaits_record("a"), "none are reserved");
    /// ```
    pub fn awaits_record(&self, instance: &str) -> bool {
        let reserved = self
            .table
            .iter()
            .filter(|(_, state)| state.reserved_for() == Some(instance));
        reserved
            .map(|(range, _)| range)
            .any(|range| self.grantable(range, instance) != [range])
    }

    /// Answers once more the heartbeat that an instance sent last: with what it was reserved and is on record for now, too.
    /// None where a newer one was handled meanwhile.
    ///
    /// ```
    /// # use upstream_registry::{Heartbeat, KeyLeaseTerms, KeyRangeAssigner, LoadHistogram};
    /// # use std::time::Duration;
    /// # let (second, margin) = (Duration::from_secs(1), Duration::from_millis(50));
    /// # let terms = KeyLeaseTerms { lease_duration: 3 * second, response_timeout: second, margin, rebalance_interval: 2 * second, accepts_late_responses: false };
    /// let mut ranges = KeyRangeAssigner::new(second, terms, 100, 1, true).with_records(None);
    /// let ready = [("a".to_owned(), 1)].into();
    /// let heartbeat = Heartbeat { instance: "a".into(), sequence: 4, ..Heartbeat::default() };
    /// let load = LoadHistogram::uniform(100);
    /// assert_eq!(ranges.handle_heartbeat(second, &heartbeat, &ready, &load), Some(vec![]));
    /// assert!(ranges.awaits_record("a"));
    /// let owners = ranges.owners_to_record(second).unwrap();
    /// ranges.set_recorded_owners(&owners, None);
    /// assert_eq!(ranges.grant_recorded(second, "a", 4).unwrap()[0].to, 99);
    /// assert_eq!(ranges.grant_recorded(second, "a", 3), None);
    /// ```
    pub fn grant_recorded(
        &mut self,
        now: Duration,
        instance: &str,
        sequence: u64,
    ) -> Option<Vec<Grant>> {
        let last = self.last_heartbeats.get(instance)?;
        if last.sequence != Some(sequence) {
            return None;
        }
        self.expire_leases(now);
        self.grant_reserved_keys(now, instance);
        self.renew_leases(now, instance);
        self.table.join_adjacent();
        Some(self.grants_of(instance))
    }

    /// The parts of a range that may be granted to an instance: all of it where no record is kept.
    pub(super) fn grantable(&self, range: KeyRange, instance: &str) -> Vec<KeyRange> {
        match &self.recorded {
            Some(recorded) => recorded.grantable(range, instance),
            None => vec![range],
        }
    }

    /// True where the last holder's record tells who may hold keys.
    pub(super) fn is_restored(&self) -> bool {
        self.recorded
            .as_ref()
            .is_some_and(|recorded| recorded.is_restored)
    }
}
