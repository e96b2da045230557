//! How the keys of a keyed service are divided into slots, which its upstreams own in ranges.

use random::stable_hash;

/// Into how many slots the keys of a service are hashed.
pub const SLOT_COUNT: u32 = 64;
/// How many keys a service has whose keys are whole numbers: from 0 to one less.
pub const KEY_COUNT: u32 = 65_536;
/// Over how many equal parts of those keys requests are counted.
pub const LOAD_BUCKET_COUNT: u32 = 1024;

/// The slot of a key, the same on every node.
///
/// ```
/// assert_eq!(key_space::slot_of_key("learner-7"), key_space::slot_of_key("learner-7"));
/// assert!(key_space::slot_of_key("x") < key_space::SLOT_COUNT);
/// ```
pub fn slot_of_key(key: &str) -> u32 {
    (stable_hash(key) % u64::from(SLOT_COUNT)) as u32
}
