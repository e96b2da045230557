//! How the requests of one service are distributed over its keys.

use super::key_range::KeyRange;

/// Buckets of a histogram in which nothing was counted yet.
const UNIFORM_BUCKETS: u32 = 4096;
/// One part in so many of the whole weight is spread evenly over all keys, beside the counted requests.
const BASE_WEIGHT_DIVISOR: f64 = 16.0;

/// Request counts over equal buckets of the key space, with a sixteenth of the whole spread evenly on top, so that idle
/// keys have a weight too. Key ranges are only ever divided at the boundaries of these buckets.
#[derive(Clone, Debug)]
pub struct LoadHistogram {
    key_count: u32,
    /// Summed weight up to each bucket boundary, the total at the end.
    cumulative_weights: Vec<f64>,
}

impl LoadHistogram {
    /// A histogram of `key_count` keys from the counts of equal buckets. Buckets beyond the number of keys are cut off;
    /// no buckets, or only zeros, give a uniform histogram.
    ///
    /// ```
    /// use upstream_registry::LoadHistogram;
    /// let load = LoadHistogram::new(100, &[15, 0]);
    /// assert_eq!(load.weight(0, 49), 15.5);
    /// assert_eq!(load.weight(50, 99), 0.5);
    /// ```
    pub fn new(key_count: u32, counts: &[u64]) -> Self {
        let counts = &counts[..counts.len().min(key_count as usize)];
        let counted = counts.iter().map(|count| *count as f64).sum::<f64>();
        if counted == 0.0 {
            return Self::uniform(key_count);
        }
        let base_weight = (counted / (BASE_WEIGHT_DIVISOR - 1.0)).max(1.0) / counts.len() as f64;
        let mut sum = 0.0;
        let mut cumulative_weights = vec![sum];
        for count in counts {
            sum += *count as f64 + base_weight;
            cumulative_weights.push(sum);
        }
        LoadHistogram {
            key_count,
            cumulative_weights,
        }
    }

    /// A histogram in which all keys weigh the same.
    ///
    /// ```
    /// assert_eq!(upstream_registry::LoadHistogram::uniform(65536).weight(0, 32767), 2048.0);
    /// ```
    pub fn uniform(key_count: u32) -> Self {
        let buckets = UNIFORM_BUCKETS.min(key_count.max(1));
        LoadHistogram {
            key_count,
            cumulative_weights: (0..=buckets).map(f64::from).collect(),
        }
    }

    fn bucket_count(&self) -> u64 {
        self.cumulative_weights.len() as u64 - 1
    }

    /// The first key of a bucket.
    fn boundary(&self, bucket: u64) -> u32 {
        (bucket * u64::from(self.key_count)).div_ceil(self.bucket_count()) as u32
    }

    fn bucket_of(&self, key: u32) -> u64 {
        u64::from(key) * self.bucket_count() / u64::from(self.key_count.max(1))
    }

    /// The weight of all keys below this one.
    fn weight_below(&self, key: u32) -> f64 {
        if key >= self.key_count {
            return self.total_weight();
        }
        let bucket = self.bucket_of(key);
        let (first, next) = (self.boundary(bucket), self.boundary(bucket + 1));
        let fraction = f64::from(key - first) / f64::from((next - first).max(1));
        let low = self.cumulative_weights[bucket as usize];
        let high = self.cumulative_weights[bucket as usize + 1];
        low + (high - low) * fraction
    }

    /// The weight of the keys from `from` to `to`, both included.
    ///
    /// ```
    /// assert_eq!(upstream_registry::LoadHistogram::new(4, &[0, 30, 0, 0]).weight(1, 1), 30.5);
    /// ```
    pub fn weight(&self, from: u32, to: u32) -> f64 {
        self.weight_below(to.saturating_add(1)) - self.weight_below(from)
    }

    /// The weight of all keys.
    ///
    /// ```
    /// assert_eq!(upstream_registry::LoadHistogram::new(4, &[0, 30, 0, 0]).total_weight(), 32.0);
    /// ```
    pub fn total_weight(&self) -> f64 {
        self.cumulative_weights[self.bucket_count() as usize]
    }

    /// A range divided at the bucket boundaries within it.
    pub(super) fn chunks(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut chunks = Vec::new();
        let mut first = range.first;
        for boundary in self.boundaries_within(range) {
            chunks.push(KeyRange::new(first, boundary - 1));
            first = boundary;
        }
        chunks.push(KeyRange::new(first, range.last));
        chunks
    }

    /// The boundaries strictly inside a range: each the first key of the bucket to its right.
    fn boundaries_within(&self, range: KeyRange) -> impl Iterator<Item = u32> {
        let last_key = range.last.min(self.key_count.saturating_sub(1));
        let buckets = self.bucket_of(range.first) + 1..=self.bucket_of(last_key);
        buckets
            .map(|bucket| self.boundary(bucket))
            .filter(move |boundary| range.first < *boundary && *boundary <= range.last)
    }
}
