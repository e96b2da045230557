//! Compression of configurations on the wire (raw deflate).

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::Read;

/// The largest configuration that is decompressed, in bytes.
pub const MAX_CONFIGURATION_BYTES: usize = 2 * 1024 * 1024;

/// Compresses a configuration.
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

/// The configuration; none where the bytes are corrupt, or more than [`MAX_CONFIGURATION_BYTES`] would come out.
///
/// ```
/// assert_eq!(protocol::decompress(&protocol::compress(b"{}")).as_deref(), Some(&b"{}"[..]));
/// assert_eq!(protocol::decompress(&protocol::compress(&vec![0; protocol::MAX_CONFIGURATION_BYTES + 1])), None);
/// assert_eq!(protocol::decompress(b"\xff\xff\xff"), None);
/// ```
pub fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    // One byte more shows that it is too large.
    let limit = MAX_CONFIGURATION_BYTES as u64 + 1;
    let count = DeflateDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut bytes)
        .ok()?;
    (count <= MAX_CONFIGURATION_BYTES).then_some(bytes)
}
