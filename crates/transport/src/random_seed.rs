//! Entropy at the start of a process.

use random::Random;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// A seed that differs at each call, from the standard library's source of hash keys.
///
/// ```
/// assert_ne!(transport::random_seed(), transport::random_seed());
/// ```
pub fn random_seed() -> u64 {
    let drawn = RandomState::new().build_hasher().finish();
    Random::new(drawn).next_u64()
}
