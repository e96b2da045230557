//! Length-prefixed frames of one `Envelope` each.

use crate::Envelope;
use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Splits a byte stream into envelopes. Each frame is the length in four bytes, big-endian, then the envelope; one that
/// is longer than `most_bytes` is an error.
///
/// ```
/// use bytes::BytesMut;
/// use protocol::{Frames, Envelope};
/// use tokio_util::codec::{Decoder, Encoder};
/// let mut frames = Frames { most_bytes: 1024 };
/// let mut wire = BytesMut::new();
/// let sent = Envelope { from: "pm-1".into(), ..Envelope::default() };
/// frames.encode(sent.clone(), &mut wire).unwrap();
/// assert_eq!(frames.decode(&mut wire).unwrap(), Some(sent));
/// let mut absurd = BytesMut::from(&[255u8; 8][..]);
/// assert!(frames.decode(&mut absurd).is_err());
/// ```
pub struct Frames {
    /// The longest frame, in bytes, without the four bytes of the length.
    pub most_bytes: usize,
}

/// How many bytes the length takes.
const LENGTH_BYTES: usize = 4;

impl Decoder for Frames {
    type Item = Envelope;
    type Error = io::Error;

    fn decode(&mut self, wire: &mut BytesMut) -> io::Result<Option<Envelope>> {
        if wire.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&wire[..LENGTH_BYTES]).get_u32() as usize;
        if length > self.most_bytes {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "frame too large",
            ));
        }
        if wire.len() < LENGTH_BYTES + length {
            wire.reserve(LENGTH_BYTES + length - wire.len());
            return Ok(None);
        }
        wire.advance(LENGTH_BYTES);
        Envelope::decode(wire.split_to(length))
            .map(Some)
            .map_err(|failure| io::Error::new(io::ErrorKind::InvalidData, failure))
    }
}

impl Encoder<Envelope> for Frames {
    type Error = io::Error;

    fn encode(&mut self, envelope: Envelope, wire: &mut BytesMut) -> io::Result<()> {
        let length = envelope.encoded_len();
        if length > self.most_bytes {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "frame too large",
            ));
        }
        wire.reserve(LENGTH_BYTES + length);
        wire.put_u32(length as u32);
        envelope.encode(wire).map_err(io::Error::other)
    }
}
