//! Messages as files hold them: a digest ahead of the bytes, so that corruption shows.

use crate::digest;
use crate::digest::DIGEST_LENGTH;
use prost::Message;

/// The bytes of a file that holds this message.
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

/// The message in such a file; none where the file is corrupt: too short, or not what was written.
///
/// ```
/// assert_eq!(protocol::unpack::<protocol::Ballot>(b"corrupt"), None);
/// ```
pub fn unpack<M: Message + Default>(stored: &[u8]) -> Option<M> {
    let (expected_digest, bytes) = stored.split_at_checked(DIGEST_LENGTH)?;
    if digest(bytes).as_bytes() != expected_digest {
        return None;
    }
    M::decode(bytes).ok()
}
