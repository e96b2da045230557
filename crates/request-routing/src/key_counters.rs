//! Requests counted by key, from which the control plane decides how key ranges are divided.

use protocol::KeyLoad;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// How many keys one bucket covers.
const KEYS_PER_BUCKET: u32 = key_space::KEY_COUNT / key_space::LOAD_BUCKET_COUNT;

/// Counts requests in equal buckets of the key space; the buckets are allocated with the first request.
#[derive(Default)]
pub(crate) struct KeyCounters(OnceLock<Vec<AtomicU32>>);

impl KeyCounters {
    pub(crate) fn add(&self, key: u32) {
        let buckets = self.0.get_or_init(|| {
            (0..key_space::LOAD_BUCKET_COUNT)
                .map(|_| AtomicU32::new(0))
                .collect()
        });
        if let Some(bucket) = buckets.get((key / KEYS_PER_BUCKET) as usize) {
            bucket.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The counts since the last call; none where nothing was counted.
    pub(crate) fn drain(&self, service: &str) -> Option<KeyLoad> {
        let counts = self
            .0
            .get()?
            .iter()
            .map(|count| count.swap(0, Ordering::Relaxed));
        let (parts, counts): (Vec<u32>, Vec<u32>) =
            (0..).zip(counts).filter(|(_, count)| *count > 0).unzip();
        (!parts.is_empty()).then(|| KeyLoad {
            service: service.to_owned(),
            parts,
            counts,
            ..KeyLoad::default()
        })
    }
}
