//! Seeded random numbers (SplitMix64) and a hash (FNV-1a, finalized by SplitMix64) that is the same on every node.
//!
//! Nodes decide by the hash without talking to each other, and the simulator replays whole runs from a seed: the numbers
//! must never change.

/// Start value of FNV-1a with 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of FNV-1a with 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// What SplitMix64 adds to its state with each number.
const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// An evenly distributed hash of a text, the same on every node.
///
/// ```
/// assert_ne!(random::stable_hash("a"), random::stable_hash("b"));
/// ```
pub fn stable_hash(text: &str) -> u64 {
    stable_hash_parts([text])
}

/// The same hash for the parts of a text as for the complete text.
///
/// ```
/// assert_eq!(random::stable_hash_parts(["a", "b"]), random::stable_hash("ab"));
/// ```
pub fn stable_hash_parts<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    stable_hash_bytes(parts.into_iter().flat_map(str::bytes))
}

/// The same hash of bytes.
///
/// ```
/// assert_eq!(random::stable_hash_bytes("ab".bytes()), random::stable_hash("ab"));
/// ```
pub fn stable_hash_bytes(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    // FNV's high bits are weak for short texts.
    Random::new(hash).next_u64()
}

/// A small seeded source of random numbers (SplitMix64), so that a run can be replayed. It is not for secrets.
///
/// ```
/// let mut a = random::Random::new(7);
/// let mut b = random::Random::new(7);
/// assert_eq!(a.next_u64(), b.next_u64());
/// assert!(a.below(10) < 10);
/// ```
#[derive(Clone, Debug, Hash)]
pub struct Random(u64);

impl Random {
    /// A source that always yields the same numbers for the same seed.
    ///
    /// ```
    /// assert_ne!(random::Random::new(1).next_u64(), random::Random::new(2).next_u64());
    /// ```
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// The next number.
    ///
    /// ```
    /// let mut random = random::Random::new(3);
    /// assert_ne!(random.next_u64(), random.next_u64());
    /// ```
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(SPLITMIX_INCREMENT);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound` (0 when `bound` is 0).
    ///
    /// ```
    /// assert_eq!(random::Random::new(3).below(1), 0);
    /// ```
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64().checked_rem(bound).unwrap_or(0)
    }
}
