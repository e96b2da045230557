//! Whatever bytes arrive on a link, decoding ends with envelopes, with a wait for more, or with an error.

use arbtest::arbtest;
use bytes::BytesMut;
use protocol::{Envelope, Frames, Message};
use tokio_util::codec::Decoder;

#[test]
fn no_bytes_make_decoding_panic_or_grow_without_bound() {
    // Fixed seeds, each of a fixed size: the same run every time.
    (1..400u64).for_each(|number| {
        arbtest(|noise| {
            let bytes: Vec<u8> = noise.arbitrary()?;
            let _ = Envelope::decode(bytes.as_slice());
            let mut wire = BytesMut::from(bytes.as_slice());
            let mut frames = Frames { most_bytes: 4096 };
            while let Ok(Some(_)) = frames.decode(&mut wire) {}
            assert!(wire.capacity() <= bytes.len() + 2 * 4096);
            Ok(())
        })
        .seed(number << 32 | 512);
    });
}

/// A configuration is decompressed to what was compressed, and garbage to nothing or to something bounded.
#[test]
fn configurations_survive_compression_and_garbage_stays_bounded() {
    (1..17u64).for_each(|number| {
        arbtest(|noise| {
            let bytes = noise.bytes(noise.len())?;
            assert_eq!(
                protocol::decompress(&protocol::compress(bytes)).as_deref(),
                Some(bytes)
            );
            assert!(
                protocol::decompress(bytes)
                    .is_none_or(|out| out.len() <= protocol::MAX_CONFIGURATION_BYTES)
            );
            Ok(())
        })
        .seed(number << 32 | 5_000);
    });
    let bomb = protocol::compress(&vec![b' '; 64 * 1024 * 1024]);
    assert!(bomb.len() < 100_000);
    assert_eq!(protocol::decompress(&bomb), None);
}
