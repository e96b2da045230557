//! True time, read off clocks that run fast or slow by as much as the bound allows.

use std::time::Duration;

/// The most that a clock may be off, in thousandths.
pub(crate) const MAX_DRIFT: i64 = 10;

/// By how much the clocks of so many nodes are off, in thousandths: slow, fast, true, and half as fast, in turn.
pub(crate) fn drifts(nodes: usize) -> Vec<i64> {
    [-MAX_DRIFT, MAX_DRIFT, 0, MAX_DRIFT / 2]
        .into_iter()
        .cycle()
        .take(nodes)
        .collect()
}

/// What a clock shows that is off by so many thousandths.
pub(crate) fn local_time(lived: Duration, drift: i64) -> Duration {
    Duration::from_micros((lived.as_micros() as i64 * (1000 + drift) / 1000) as u64)
}
