//! The messages between mothspindle's processes, and how they are encoded: framed on TCP links, bare in UDP datagrams,
//! with a digest in files. Also the seal on upstreams' responses.
//!
//! Messages are protocol buffers, declared in Rust by [`prost`]. Releases of different versions talk to each other, so
//! tags and types stay as they are; tests/recorded.rs holds them to frames that an earlier release wrote.

mod compress;
mod delta;
mod digest;
mod frames;
mod key_load;
mod kinds;
mod messages;
mod record;
mod seal;
mod states;
mod voters;

pub use compress::{MAX_CONFIGURATION_BYTES, compress, decompress};
pub use digest::digest;
pub use frames::Frames;
pub use kinds::kind;
pub use messages::*;
pub use prost::Message;
pub use record::{pack, unpack};
pub use seal::seal;
pub use states::{MemberState, UpstreamState};
pub use voters::{VoterSet, majority};
