//! What mothspindle's processes say to each other, how it is framed, and the seal on verdicts.

mod compress;
mod delta;
mod frames;
mod kinds;
mod messages;
mod states;
mod voters;

pub use compress::{MAX_CONFIGURATION_BYTES, compress, decompress};
pub use frames::Frames;
pub use kinds::kind;
pub use messages::*;
pub use prost::Message;
pub use states::{MemberState, UpstreamState};
pub use voters::{VoterSet, majority};

use sha2::{Digest, Sha256};

/// The hexadecimal digest that names a setup's bytes.
///
/// ```
/// assert_eq!(protocol::digest(b"").len(), 64);
/// assert_ne!(protocol::digest(b"a"), protocol::digest(b"b"));
/// ```
pub fn digest(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// A message as a file holds it: its digest ahead of the bytes, so that rot shows.
///
/// ```
/// let ballot = protocol::Ballot { round: 7, ..Default::default() };
/// let mut bytes = protocol::pack(&ballot);
/// assert_eq!(protocol::unpack(&bytes), Some(ballot));
/// bytes.pop();
/// assert_eq!(protocol::unpack::<protocol::Ballot>(&bytes), None);
/// ```
pub fn pack(message: &impl Message) -> Vec<u8> {
    let bytes = message.encode_to_vec();
    [digest(&bytes).into_bytes(), bytes].concat()
}

/// The message in such a file; none where it is damaged.
///
/// ```
/// assert_eq!(protocol::unpack::<protocol::Ballot>(b"rotten"), None);
/// ```
pub fn unpack<M: Message + Default>(stored: &[u8]) -> Option<M> {
    let (told, bytes) = stored.split_at_checked(64)?;
    Some(bytes)
        .filter(|bytes| digest(bytes).as_bytes() == told)
        .and_then(|bytes| M::decode(bytes).ok())
}

/// The seal an upstream puts on a verdict: it binds the body to one try, one instance and one status.
///
/// ```
/// let seal = protocol::seal("try-1", "unit-3", 200, b"booked");
/// assert_ne!(seal, protocol::seal("try-2", "unit-3", 200, b"booked"));
/// assert_ne!(seal, protocol::seal("try-1", "unit-3", 200, b"booke"));
/// ```
pub fn seal(try_id: &str, instance: &str, status: u16, body: &[u8]) -> String {
    let mut hash = Sha256::new();
    [
        try_id.as_bytes(),
        instance.as_bytes(),
        &status.to_be_bytes(),
        body,
    ]
    .iter()
    .for_each(|part| {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    });
    hex(&hash.finalize())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
