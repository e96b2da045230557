//! How the requests of one service lie over its keys.

/// Request counts over equal parts of the key space, with a sixteenth of all spread evenly on top, so that idle
/// keys weigh something too. Keys are only ever divided at the edges of these parts.
#[derive(Clone)]
pub struct LoadHistogram {
    keys: u32,
    /// Summed weight up to each edge, and the whole at the end.
    sums: Vec<f64>,
}

/// As many parts, where nothing was counted yet.
const EVEN_PARTS: u32 = 4096;

impl LoadHistogram {
    /// The counts of equal parts of `keys` keys. More parts than keys are cut off; none, or only zeros, weigh evenly.
    ///
    /// ```
    /// use upstream_registry::LoadHistogram;
    /// let load = LoadHistogram::new(100, &[15, 0]);
    /// assert_eq!(load.weight(0, 49), 15.5);
    /// assert_eq!(load.weight(50, 99), 0.5);
    /// ```
    pub fn new(keys: u32, counts: &[u64]) -> Self {
        let counts = &counts[..counts.len().min(keys as usize)];
        let all = counts.iter().map(|count| *count as f64).sum::<f64>();
        if all == 0.0 {
            return Self::uniform(keys);
        }
        // A whole of 16 counted parts gets one more, evenly.
        let base = (all / 15.0).max(1.0) / counts.len() as f64;
        let mut sum = 0.0;
        let sums = counts.iter().map(|count| {
            sum += *count as f64 + base;
            sum
        });
        LoadHistogram {
            keys,
            sums: [0.0].into_iter().chain(sums).collect(),
        }
    }

    /// All keys alike.
    ///
    /// ```
    /// assert_eq!(upstream_registry::LoadHistogram::uniform(65536).weight(0, 32767), 2048.0);
    /// ```
    pub fn uniform(keys: u32) -> Self {
        LoadHistogram {
            keys,
            sums: (0..=EVEN_PARTS.min(keys.max(1))).map(f64::from).collect(),
        }
    }

    fn parts(&self) -> u64 {
        self.sums.len() as u64 - 1
    }

    /// The first key of a part.
    fn edge(&self, part: u64) -> u32 {
        (part * u64::from(self.keys)).div_ceil(self.parts()) as u32
    }

    fn part(&self, key: u32) -> u64 {
        u64::from(key) * self.parts() / u64::from(self.keys.max(1))
    }

    fn below(&self, key: u32) -> f64 {
        if key >= self.keys {
            return self.sums[self.parts() as usize];
        }
        let part = self.part(key);
        let (from, to) = (self.edge(part), self.edge(part + 1));
        let within = f64::from(key - from) / f64::from((to - from).max(1));
        let (low, high) = (self.sums[part as usize], self.sums[part as usize + 1]);
        low + (high - low) * within
    }

    /// The weight of the keys from `from` to `to`, both counted.
    ///
    /// ```
    /// assert_eq!(upstream_registry::LoadHistogram::new(4, &[0, 30, 0, 0]).weight(1, 1), 30.5);
    /// ```
    pub fn weight(&self, from: u32, to: u32) -> f64 {
        self.below(to.saturating_add(1)) - self.below(from)
    }

    /// The weight of all keys.
    ///
    /// ```
    /// assert_eq!(upstream_registry::LoadHistogram::new(4, &[0, 30, 0, 0]).total_weight(), 32.0);
    /// ```
    pub fn total_weight(&self) -> f64 {
        self.sums[self.parts() as usize]
    }

    /// The edges strictly inside a range: each a first key of the part to its right.
    pub(crate) fn edges(&self, from: u32, to: u32) -> Vec<u32> {
        let parts = self.part(from) + 1..=self.part(to.min(self.keys.saturating_sub(1)));
        parts
            .map(|part| self.edge(part))
            .filter(|edge| *edge > from && *edge <= to)
            .collect()
    }
}
