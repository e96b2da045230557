//! What mothspindle's processes say to each other, how it is framed, and the seal on verdicts.

mod frames;
mod messages;

pub use frames::Frames;
pub use messages::*;
pub use prost::Message;

use sha2::{Digest, Sha256};

/// The hexadecimal digest that names a setup's bytes.
///
/// ```
/// assert_eq!(parcel::digest(b"").len(), 64);
/// assert_ne!(parcel::digest(b"a"), parcel::digest(b"b"));
/// ```
pub fn digest(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// The seal an upstream puts on a verdict: it binds the body to one try, one instance and one status.
///
/// ```
/// let seal = parcel::seal("try-1", "unit-3", 200, b"booked");
/// assert_ne!(seal, parcel::seal("try-2", "unit-3", 200, b"booked"));
/// assert_ne!(seal, parcel::seal("try-1", "unit-3", 200, b"booke"));
/// ```
pub fn seal(tryId: &str, instance: &str, status: u16, body: &[u8]) -> String {
    let mut hash = Sha256::new();
    [tryId.as_bytes(), instance.as_bytes(), &status.to_be_bytes(), body].iter().for_each(|part| {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    });
    hex(&hash.finalize())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
