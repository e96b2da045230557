//! A node's own counters, beside those of request routing.

use config::JsonValue;
use dashmap::DashMap;
use result_code::ResultCode;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the node started.
#[derive(Default)]
pub(crate) struct Counters {
    /// Requests that another locality's proxy answered.
    pub(crate) forwarded: AtomicU64,
    /// Lookups of names.
    pub(crate) lookups: AtomicU64,
    /// Health checks of upstreams.
    pub(crate) health_checks: AtomicU64,
    /// Health checks without a valid answer.
    pub(crate) failed_health_checks: AtomicU64,
    /// How often an upstream turned out to be cold after requests were sent there as to a warm one.
    pub(crate) cold_upstreams: AtomicU64,
    /// Answers by code.
    codes: DashMap<u32, u64>,
}

impl Counters {
    pub(crate) fn count_code(&self, code: ResultCode) {
        *self.codes.entry(code.number()).or_insert(0) += 1;
    }

    /// Answers by code, in the order of the codes' texts.
    pub(crate) fn codes(&self) -> Vec<(String, JsonValue)> {
        let mut codes: Vec<(String, JsonValue)> = self
            .codes
            .iter()
            .map(|entry| (entry.key().to_string(), (*entry.value()).into()))
            .collect();
        codes.sort_by(|a, b| a.0.cmp(&b.0));
        codes
    }

    pub(crate) fn value_of(counter: &AtomicU64) -> JsonValue {
        counter.load(Ordering::Relaxed).into()
    }
}
