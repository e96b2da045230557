//! The seal on an upstream's response.

use crate::digest::hex;
use sha2::{Digest, Sha256};

/// The seal that an upstream puts on its response. It binds the body to one attempt, one instance and one status, so
/// that a truncated or misdirected response is never taken for a complete one. Each part is hashed with its length
/// ahead of it.
///
/// ```
/// let seal = protocol::seal("try-1", "unit-3", 200, b"booked");
/// assert_ne!(seal, protocol::seal("try-2", "unit-3", 200, b"booked"));
/// assert_ne!(seal, protocol::seal("try-1", "unit-3", 200, b"booke"));
/// ```
pub fn seal(attempt_id: &str, instance: &str, status: u16, body: &[u8]) -> String {
    let status = status.to_be_bytes();
    let mut hash = Sha256::new();
    for part in [attempt_id.as_bytes(), instance.as_bytes(), &status, body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hex(&hash.finalize())
}
