//! Loads by numeric keys: data-plane nodes count requests, control nodes forward the counts to the holder of the placement
//! lease, which divides the keys by them.

use crate::key_regions::{KeyDemand, NeededSlots};
use crate::node::ControlNode;
use key_space::{KEY_COUNT, LOAD_BUCKET_COUNT};
use protocol::{BoundLoad, KeyLoad, KeyLoads, Payload};
use std::collections::BTreeMap;
use std::time::Duration;
use upstream_registry::LoadHistogram;

/// After this long a request counts for half.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// Histograms count in so many parts of a request.
const COUNTS_PER_REQUEST: f64 = 16.0;
/// Most lists of home regions that a service's requests are counted by.
const MAX_HOME_LISTS: usize = 64;
/// Most services whose keys are counted.
const MAX_SERVICES: usize = 1024;

/// Fewer counted requests say nothing of how many slots they need, ...
const MIN_MEASURED_REQUESTS: f64 = 16.0;
/// ... nor does a shorter time.
const MIN_MEASURED_SECONDS: f64 = 1.5;

/// What was counted of one service; what is past counts for less and less.
#[derive(Default)]
struct ServiceCounts {
    by_bucket: BTreeMap<u32, f64>,
    by_home_list: BTreeMap<Vec<String>, f64>,
    ended: f64,
    work_seconds: f64,
    /// Over how long it was counted, decayed alike.
    seconds: f64,
}

impl ServiceCounts {
    fn add(&mut self, load: KeyLoad) {
        for (bucket, count) in load.parts.into_iter().zip(load.counts) {
            if bucket < LOAD_BUCKET_COUNT {
                *self.by_bucket.entry(bucket).or_default() += f64::from(count);
            }
        }
        for bound in load.bound {
            if self.by_home_list.len() < MAX_HOME_LISTS
                || self.by_home_list.contains_key(&bound.regions)
            {
                *self.by_home_list.entry(bound.regions).or_default() += f64::from(bound.count);
            }
        }
        self.ended += f64::from(load.ended);
        self.work_seconds += Duration::from_millis(load.work_ms).as_secs_f64();
    }

    fn decay(&mut self, elapsed: Duration, remaining: f64) {
        let counts = self
            .by_bucket
            .values_mut()
            .chain(self.by_home_list.values_mut());
        for count in counts {
            *count *= remaining;
        }
        let is_kept = |count: &f64| *count > 1.0 / COUNTS_PER_REQUEST;
        self.by_bucket.retain(|_, count| is_kept(count));
        self.by_home_list.retain(|_, count| is_kept(count));
        self.ended *= remaining;
        self.work_seconds *= remaining;
        self.seconds = self.seconds * remaining + elapsed.as_secs_f64();
    }

    /// What was asked for; none where too little was counted.
    fn demand(&self) -> Option<KeyDemand> {
        let requests: f64 = self.by_bucket.values().sum();
        if requests < MIN_MEASURED_REQUESTS || self.seconds < MIN_MEASURED_SECONDS {
            return None;
        }
        let bound: Vec<(Vec<String>, f64)> = self
            .by_home_list
            .iter()
            .map(|(homes, count)| (homes.clone(), *count))
            .collect();
        let bound_requests: f64 = bound.iter().map(|(_, count)| count).sum();
        let slots = if self.ended < MIN_MEASURED_REQUESTS {
            NeededSlots::Unknown
        } else {
            let work_seconds = self.work_seconds / self.ended;
            NeededSlots::Measured(requests / self.seconds * work_seconds)
        };
        Some(KeyDemand {
            unbound: (requests - bound_requests).max(0.0),
            bound,
            slots,
        })
    }

    /// As a message; fractions of requests are dropped.
    fn into_message(self, service: String) -> KeyLoad {
        let buckets = self.by_bucket.into_iter();
        let (parts, counts) = buckets
            .map(|(bucket, count)| (bucket, count as u32))
            .unzip();
        let bound = self.by_home_list.into_iter();
        KeyLoad {
            service,
            parts,
            counts,
            bound: bound
                .map(|(regions, count)| BoundLoad {
                    regions,
                    count: count as u32,
                })
                .collect(),
            ended: self.ended as u32,
            work_ms: Duration::from_secs_f64(self.work_seconds).as_millis() as u64,
        }
    }
}

/// Requests by key, and what they needed, for each service.
#[derive(Default)]
pub(crate) struct KeyLoadCounts(BTreeMap<String, ServiceCounts>);

impl KeyLoadCounts {
    pub(crate) fn add(&mut self, load: KeyLoad) {
        if self.0.len() >= MAX_SERVICES && !self.0.contains_key(&load.service) {
            return;
        }
        self.0.entry(load.service.clone()).or_default().add(load);
    }

    /// Takes what was counted, as a message.
    fn drain(&mut self) -> Vec<KeyLoad> {
        std::mem::take(&mut self.0)
            .into_iter()
            .map(|(service, counts)| counts.into_message(service))
            .collect()
    }

    /// Lets what is past count for less.
    pub(crate) fn decay(&mut self, elapsed: Duration) {
        let remaining = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for counts in self.0.values_mut() {
            counts.decay(elapsed, remaining);
        }
    }

    /// How a service's requests are distributed over its keys.
    pub(crate) fn histogram(&self, service: &str) -> LoadHistogram {
        let counts = self.0.get(service);
        let count = |bucket: u32| {
            let count = counts.and_then(|counts| counts.by_bucket.get(&bucket));
            count.map_or(0, |count| (count * COUNTS_PER_REQUEST) as u64)
        };
        let buckets: Vec<u64> = (0..LOAD_BUCKET_COUNT).map(count).collect();
        LoadHistogram::new(KEY_COUNT, &buckets)
    }

    /// What was asked of a service lately; none where too little was counted to tell.
    pub(crate) fn demand(&self, service: &str) -> Option<KeyDemand> {
        self.0.get(service)?.demand()
    }
}

impl ControlNode {
    /// Adds requests by key that a data-plane node counted, or that another control node forwarded.
    pub(crate) fn count_key_loads(&mut self, loads: Vec<KeyLoad>) {
        let counts = match self.placement.lease.as_mut() {
            Some(lease) => &mut lease.key_loads,
            None => &mut self.placement.unreported_loads,
        };
        for load in loads {
            counts.add(load);
        }
    }

    /// Forwards what was counted to the holder of the placement lease.
    pub(crate) fn forward_key_loads(&mut self) {
        let loads = self.placement.unreported_loads.drain();
        if loads.is_empty() {
            return;
        }
        if self.placement.lease.is_some() {
            return self.count_key_loads(loads);
        }
        let holder = self.placement.lease_holder.clone();
        if !holder.is_empty() && holder != self.me.node {
            self.send(holder, Payload::KeyLoads(KeyLoads { loads }));
        }
    }
}
