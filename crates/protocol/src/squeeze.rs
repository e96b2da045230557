//! Setups travel squeezed (raw deflate).

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::Read;

/// The most bytes that come out of a squeezed setup.
pub const MOST_SETUP_BYTES: usize = 2 * 1024 * 1024;

/// The bytes as they travel.
///
/// ```
/// let long = b"{\"names\": [\"booking\", \"booking\", \"booking\"]}".repeat(9);
/// assert!(protocol::squeeze(&long).len() < long.len() / 4);
/// ```
pub fn squeeze(bytes: &[u8]) -> Vec<u8> {
    let mut squeezed = Vec::new();
    // Reading from memory doesn't fail.
    let _ = DeflateEncoder::new(bytes, Compression::default()).read_to_end(&mut squeezed);
    squeezed
}

/// What was squeezed; none where that is damaged or comes to more than a setup may.
///
/// ```
/// assert_eq!(protocol::unsqueeze(&protocol::squeeze(b"{}")).as_deref(), Some(&b"{}"[..]));
/// assert_eq!(protocol::unsqueeze(&protocol::squeeze(&vec![0; protocol::MOST_SETUP_BYTES + 1])), None);
/// assert_eq!(protocol::unsqueeze(b"\xff\xff\xff"), None);
/// ```
pub fn unsqueeze(squeezed: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = MOST_SETUP_BYTES as u64 + 1;
    let read = DeflateDecoder::new(squeezed)
        .take(most)
        .read_to_end(&mut bytes);
    read.is_ok_and(|count| count <= MOST_SETUP_BYTES)
        .then_some(bytes)
}
