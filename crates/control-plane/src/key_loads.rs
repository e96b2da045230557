//! Loads by numeric keys: data-plane nodes count requests, control nodes forward the counts to the holder of the placement
//! lease, which divides the keys by them.

use crate::node::ControlNode;
use key_space::{KEY_COUNT, LOAD_BUCKET_COUNT};
use protocol::{KeyLoad, KeyLoads, Payload};
use std::collections::BTreeMap;
use std::time::Duration;
use upstream_registry::LoadHistogram;

/// After this long a request counts for half.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// Histograms count in so many parts of a request.
const COUNTS_PER_REQUEST: f64 = 16.0;
/// Most services whose keys are counted.
const MAX_SERVICES: usize = 1024;

/// Requests by buckets of the key space, for each service.
#[derive(Default)]
pub(crate) struct KeyLoadCounts(BTreeMap<String, BTreeMap<u32, f64>>);

impl KeyLoadCounts {
    pub(crate) fn add(&mut self, load: KeyLoad) {
        if self.0.len() >= MAX_SERVICES && !self.0.contains_key(&load.service) {
            return;
        }
        let counts = self.0.entry(load.service).or_default();
        for (bucket, count) in load.parts.iter().zip(load.counts) {
            if *bucket < LOAD_BUCKET_COUNT {
                *counts.entry(*bucket).or_insert(0.0) += f64::from(count);
            }
        }
    }

    /// Takes what was counted, as a message.
    fn drain(&mut self) -> Vec<KeyLoad> {
        let mut loads = Vec::new();
        for (service, counts) in std::mem::take(&mut self.0) {
            let (parts, counts) = counts
                .into_iter()
                .map(|(bucket, count)| (bucket, count as u32))
                .unzip();
            loads.push(KeyLoad {
                service,
                parts,
                counts,
            });
        }
        loads
    }

    /// Lets what is past count for less.
    pub(crate) fn decay(&mut self, elapsed: Duration) {
        let remaining = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for counts in self.0.values_mut() {
            for count in counts.values_mut() {
                *count *= remaining;
            }
            counts.retain(|_, count| *count > 1.0 / COUNTS_PER_REQUEST);
        }
    }

    /// How a service's requests are distributed over its keys.
    pub(crate) fn histogram(&self, service: &str) -> LoadHistogram {
        let counts = self.0.get(service);
        let count = |bucket: u32| {
            let count = counts.and_then(|counts| counts.get(&bucket));
            count.map_or(0, |count| (count * COUNTS_PER_REQUEST) as u64)
        };
        let buckets: Vec<u64> = (0..LOAD_BUCKET_COUNT).map(count).collect();
        LoadHistogram::new(KEY_COUNT, &buckets)
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
