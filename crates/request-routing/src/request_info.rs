//! A request as it came in.

use crate::admission_queue::WakeUp;
use std::time::Duration;

/// A request as it came in.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// The id that the client gave to this attempt; each attempt has its own.
    pub attempt_id: String,
    /// The name asked for: a name, an id-form name or an alias.
    pub name: String,
    /// The path at the service.
    pub path: String,
    /// The key that the request concerns, where the client named one.
    pub key: Option<String>,
    /// When it came in, by the proxy's clock.
    pub arrived_at: Duration,
    /// How much time the client gave.
    pub remaining: Duration,
    /// The body's length in bytes.
    pub body_bytes: u64,
    /// True where another proxy forwarded it.
    pub forwarded: bool,
    /// Called when a slot that the request waits for may be free.
    pub wake_up: WakeUp,
}
