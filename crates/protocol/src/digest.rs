//! Digests in hexadecimal.

use sha2::{Digest, Sha256};

/// How many hexadecimal digits a digest has.
pub(crate) const DIGEST_LENGTH: usize = 64;

/// The SHA-256 of these bytes in hexadecimal; it names a configuration.
///
/// ```
/// assert_eq!(protocol::digest(b"").len(), 64);
/// assert_ne!(protocol::digest(b"a"), protocol::digest(b"b"));
/// ```
pub fn digest(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
