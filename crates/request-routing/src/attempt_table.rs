//! The attempt ids seen lately, by which a request that comes in twice is recognised.

use dashmap::DashMap;
use std::time::Duration;

/// Beyond so many no new attempt is admitted.
const MAX_ATTEMPTS: usize = 100_000;

/// Attempt ids, each with the moment until when it is remembered.
#[derive(Default)]
pub(crate) struct AttemptTable(DashMap<String, Duration>);

impl AttemptTable {
    /// Registers an attempt; false where it is registered already, or the table is full.
    pub(crate) fn register(&self, attempt_id: &str, now: Duration, retention: Duration) -> bool {
        if self.0.len() >= MAX_ATTEMPTS {
            return false;
        }
        let until = now + retention;
        let mut is_new = false;
        self.0
            .entry(attempt_id.to_owned())
            .and_modify(|known| {
                is_new = *known <= now;
                *known = until.max(*known);
            })
            .or_insert_with(|| {
                is_new = true;
                until
            });
        is_new
    }

    /// Forgets attempts whose time is over.
    pub(crate) fn sweep(&self, now: Duration) {
        self.0.retain(|_, until| *until > now);
    }
}
