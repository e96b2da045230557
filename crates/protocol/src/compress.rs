//! Setups travel squeezed (raw deflate).

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::Read;

/// The most bytes that come out of a squeezed setup.
pub const MAX_CONFIGURATION_BYTES: usize = 2 * 1024 * 1024;

/// The bytes as they travel.
///
/// ```
/// let long = b"{\"names\": [\"booking\", \"booking\", \"booking\"]}".repeat(9);
/// assert!(protocol::compress(&long).len() < long.len() / 4);
/// ```
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut compressed = Vec::new();
    // Reading from memory doesn't fail.
    let _ = DeflateEncoder::new(bytes, Compression::default()).read_to_end(&mut compressed);
    compressed
}

/// What was squeezed; none where that is damaged or comes to more than a setup may.
///
/// ```
/// assert_eq!(protocol::decompress(&protocol::compress(b"{}")).as_deref(), Some(&b"{}"[..]));
/// assert_eq!(protocol::decompress(&protocol::compress(&vec![0; protocol::MAX_CONFIGURATION_BYTES + 1])), None);
/// assert_eq!(protocol::decompress(b"\xff\xff\xff"), None);
/// ```
pub fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = MAX_CONFIGURATION_BYTES as u64 + 1;
    let read = DeflateDecoder::new(compressed)
        .take(most)
        .read_to_end(&mut bytes);
    read.is_ok_and(|count| count <= MAX_CONFIGURATION_BYTES)
        .then_some(bytes)
}
