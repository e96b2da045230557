//! Ids, localities and numbered result codes: the words every other package shares.

mod code;

pub use code::{Code, Kind};

use std::fmt;

/// Where a process, a back end or an origin stands: a region and a locality (zone) inside it.
///
/// ```
/// use address::Locality;
/// let east: Locality = "north/n1".parse().unwrap();
/// assert_eq!(east.region, "north");
/// assert_eq!(east.to_string(), "north/n1");
/// assert!("north".parse::<Locality>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Locality {
    pub region: String,
    pub zone: String,
}

impl fmt::Display for Locality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.zone)
    }
}

/// Compares with the text form.
///
/// ```
/// assert!("n/1".parse::<address::Locality>().unwrap() == *"n/1");
/// ```
impl PartialEq<str> for Locality {
    fn eq(&self, text: &str) -> bool {
        text.split_once('/') == Some((self.region.as_str(), self.zone.as_str()))
    }
}

/// A text that names no locality.
///
/// ```
/// let failure = "north".parse::<address::Locality>().unwrap_err();
/// assert_eq!(failure.to_string(), "'north' is not a locality; write region/zone");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoLocality(String);

impl fmt::Display for NoLocality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is not a locality; write region/zone", self.0)
    }
}

impl std::error::Error for NoLocality {}

/// As a complaint says it.
///
/// ```
/// let failure = "north".parse::<address::Locality>().unwrap_err();
/// assert!(String::from(failure).ends_with("region/zone"));
/// ```
impl From<NoLocality> for String {
    fn from(failure: NoLocality) -> String {
        failure.to_string()
    }
}

impl std::str::FromStr for Locality {
    type Err = NoLocality;

    fn from_str(text: &str) -> Result<Self, NoLocality> {
        text.split_once('/')
            .filter(|(region, zone)| is_id(region) && is_id(zone))
            .map(|(region, zone)| Locality {
                region: region.into(),
                zone: zone.into(),
            })
            .ok_or_else(|| NoLocality(text.to_owned()))
    }
}

/// True for the ids that setups, nodes and tries may carry: 1 to 64 of `a-z A-Z 0-9 - _ .`.
///
/// ```
/// assert!(address::is_id("exam-slot.7"));
/// assert!(!address::is_id(""));
/// assert!(!address::is_id("two words"));
/// ```
pub fn is_id(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// How many of `count` voters make a majority.
///
/// ```
/// assert_eq!(address::majority(6), 4);
/// assert_eq!(address::majority(3), 2);
/// ```
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Into how many slots a keyed service's keys are divided.
pub const SLOTS: u32 = 64;
/// How many keys a service has whose keys are whole numbers: 0 to one less.
pub const KEYS: u32 = 65_536;
/// Over how many equal parts of those keys requests are counted.
pub const KEY_PARTS: u32 = 1024;

/// The slot of a key.
///
/// ```
/// assert_eq!(address::slot("learner-7"), address::slot("learner-7"));
/// assert!(address::slot("x") < address::SLOTS);
/// ```
pub fn slot(key: &str) -> u32 {
    (spread(key) % u64::from(SLOTS)) as u32
}

/// A number that spreads texts evenly and is the same on every node.
///
/// ```
/// assert_ne!(address::spread("a"), address::spread("b"));
/// ```
pub fn spread(text: &str) -> u64 {
    spread_all([text])
}

/// The same number for the parts of a text as for the whole.
///
/// ```
/// assert_eq!(address::spread_all(["a", "b"]), address::spread("ab"));
/// ```
pub fn spread_all<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    let bytes = parts.into_iter().flat_map(str::bytes);
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    Random::new(bytes.fold(0xcbf2_9ce4_8422_2325u64, fold)).next_u64()
}

/// A small seeded source of random numbers (splitmix64), so that a core's choices can be replayed.
///
/// ```
/// let mut a = address::Random::new(7);
/// let mut b = address::Random::new(7);
/// assert_eq!(a.next_u64(), b.next_u64());
/// assert!(a.below(10) < 10);
/// ```
#[derive(Clone, Debug, Hash)]
pub struct Random(u64);

impl Random {
    /// A source that always yields the same numbers for the same seed.
    ///
    /// ```
    /// assert_ne!(address::Random::new(1).next_u64(), address::Random::new(2).next_u64());
    /// ```
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// The next number.
    ///
    /// ```
    /// let mut random = address::Random::new(3);
    /// assert_ne!(random.next_u64(), random.next_u64());
    /// ```
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound` (0 when `bound` is 0).
    ///
    /// ```
    /// assert_eq!(address::Random::new(3).below(1), 0);
    /// ```
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64().checked_rem(bound).unwrap_or(0)
    }
}
